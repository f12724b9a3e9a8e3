package fleet

import (
	"errors"
	"fmt"
	"sync"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
)

// copied is this co-ordinator's copy of the agreed state. A voter's council applies to it; without a seat the words that
// answer polls do.
type copied struct {
	mu           sync.Mutex
	seat         *raftgroup.Group // nil: without a vote, or no more
	stateMachine *statemachine.Machine
	order        *maintenance.State
	book         *session.Book
	lanes        *laneconfig.Agreed
}

// part is the name of the order of work in the state machine.
const part = "takeout"

func newCopy() *copied {
	s, b, l := maintenance.New(), session.New(), laneconfig.New()
	return &copied{order: s, book: b, lanes: l, stateMachine: statemachine.New(map[string]statemachine.Part{part: s, sessionsPart: b, laneconfig.Part: l})}
}

// withLock calls do while no command is applied; it must not wait.
func (c *copied) withLock(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seat != nil {
		c.seat.WithLock(do)
		return
	}
	do()
}

// sit gives the copy to a seat of the raft group, nil takes it back. The seat must not apply any more then.
func (c *copied) sit(seat *raftgroup.Group) {
	c.mu.Lock()
	c.seat = seat
	c.mu.Unlock()
}

// era of the log that the copy is of.
func (c *copied) era() (era uint64) {
	c.withLock(func() { era = c.stateMachine.Epoch() })
	return era
}

// take applies what a word of the leader brought, if this copy is not the raft group's to apply to. It says why the
// copy can't go on from it: entries that follow on what is missing here, a snapshot that can't be read.
func (c *copied) take(w peerproto.Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.stateMachine
	if c.seat != nil || l.Halted() != nil {
		return nil
	}
	era := max(w.Epoch, 1)
	if era < l.Epoch() {
		return fmt.Errorf("words of era %d, this copy is of %d", era, l.Epoch())
	}
	if era == l.Epoch() && w.Index <= l.Index() {
		w.Snapshot, w.Packed = nil, nil // nothing new
	}
	state, err := w.DecodeSnapshot()
	if err != nil {
		return err
	}
	if era > l.Epoch() && len(state) == 0 {
		return fmt.Errorf("entries of era %d, this copy is of %d", era, l.Epoch())
	}
	if len(state) > 0 {
		return l.Load(state)
	}
	if len(w.Entries) > 0 && w.After > l.Index() {
		return fmt.Errorf("entries follow on %d, this copy stands at %d", w.After, l.Index())
	}
	for _, e := range w.Entries {
		if e.Index <= l.Index() {
			continue
		}
		if err := l.Apply(e.Index, e.Raw); errors.Is(err, statemachine.ErrVersion) {
			return nil // halted; it is looked at with the next step
		}
	}
	return nil
}
