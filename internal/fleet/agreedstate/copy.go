// Package agreedstate is one co-ordinator's copy of the agreed state: a voter's raft group applies commands to it; without a vote
// the replies to its polls do.
package agreedstate

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

// Copy is the state machine with its parts, and the raft group that applies to it.
type Copy struct {
	mu          sync.Mutex
	group       *raftgroup.Group // nil: without a vote
	Machine     *statemachine.Machine
	Maintenance *maintenance.State
	Sessions    *session.State
	Lanes       *laneconfig.State
}

// Names of the parts in the state machine; they are stored, so they keep the words of earlier versions.
const (
	MaintenancePart = "takeout"
	SessionsPart    = "sessions"
)

// New makes the empty copy of a co-ordinator without a vote.
func New() *Copy {
	s, b, l := maintenance.New(), session.New(), laneconfig.New()
	return &Copy{Maintenance: s, Sessions: b, Lanes: l, Machine: statemachine.New(map[string]statemachine.Part{MaintenancePart: s, SessionsPart: b, laneconfig.Part: l})}
}

// WithLock calls do while no command is applied; do must not wait.
func (c *Copy) WithLock(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.group != nil {
		c.group.WithLock(do)
		return
	}
	do()
}

// Attach gives the copy to a raft group; nil takes it back, and the group must not apply any more then.
func (c *Copy) Attach(seat *raftgroup.Group) {
	c.mu.Lock()
	c.group = seat
	c.mu.Unlock()
}

// Group is the raft group that applies to the copy, nil for none.
func (c *Copy) Group() *raftgroup.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group
}

// Epoch of the log that the copy is of.
func (c *Copy) Epoch() (epoch uint64) {
	c.WithLock(func() { epoch = c.Machine.Epoch() })
	return epoch
}

// ApplyReply applies what a reply of the leader brought, unless a raft group applies to this copy. It says why the copy can't go
// on from it: entries that follow on what is missing here, or a snapshot that can't be read.
func (c *Copy) ApplyReply(w peerproto.Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.Machine
	if c.group != nil || l.Halted() != nil {
		return nil
	}
	epoch := max(w.Epoch, 1)
	if epoch < l.Epoch() {
		return fmt.Errorf("replies of epoch %d, this copy is of %d", epoch, l.Epoch())
	}
	if epoch == l.Epoch() && w.Index <= l.Index() {
		w.Snapshot, w.Packed = nil, nil // nothing new
	}
	state, err := w.DecodeSnapshot()
	if err != nil {
		return err
	}
	if epoch > l.Epoch() && len(state) == 0 {
		return fmt.Errorf("entries of epoch %d, this copy is of %d", epoch, l.Epoch())
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
			return nil // halted; the next step sees it
		}
	}
	return nil
}
