// Package agreedstate holds one co-ordinator's copy of the agreed state. On a voter the raft group applies commands to it; on any other
// co-ordinator the leader's replies to polls update it.
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

// Copy is the state machine with its parts, and the raft group that applies commands to it.
type Copy struct {
	mu          sync.Mutex
	group       *raftgroup.Group // nil on a co-ordinator without a vote
	Machine     *statemachine.Machine
	Maintenance *maintenance.State
	Sessions    *session.State
	Lanes       *laneconfig.State
}

// Names of the parts in the state machine. They are stored, so they stay those of earlier versions.
const (
	MaintenancePart = "takeout"
	SessionsPart    = "sessions"
)

// New returns an empty copy without a raft group.
func New() *Copy {
	s, b, machine := maintenance.New(), session.New(), laneconfig.New()
	return &Copy{Maintenance: s, Sessions: b, Lanes: machine, Machine: statemachine.New(map[string]statemachine.Part{MaintenancePart: s, SessionsPart: b, laneconfig.Part: machine})}
}

// WithLock calls do while no command is applied; do must not block.
func (c *Copy) WithLock(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.group != nil {
		c.group.WithLock(do)
		return
	}
	do()
}

// Attach hands the copy over to a raft group, which alone applies commands from then on. nil detaches it; the group must have
// stopped applying by then.
func (c *Copy) Attach(group *raftgroup.Group) {
	c.mu.Lock()
	c.group = group
	c.mu.Unlock()
}

// Group returns the raft group that applies commands to the copy, or nil.
func (c *Copy) Group() *raftgroup.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.group
}

// Epoch returns the epoch of the log that the copy was built from.
func (c *Copy) Epoch() (epoch uint64) {
	c.WithLock(func() { epoch = c.Machine.Epoch() })
	return epoch
}

// ApplyReply applies the entries or the snapshot of a reply of the leader, unless a raft group applies commands to this copy. It
// returns an error if the reply can't be applied: it is of another epoch, entries before its own are missing here, or its snapshot
// can't be decoded.
func (c *Copy) ApplyReply(reply peerproto.Reply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.Machine
	if c.group != nil || machine.Halted() != nil {
		return nil
	}
	epoch := max(reply.Epoch, 1)
	if epoch < machine.Epoch() {
		return fmt.Errorf("the reply is of epoch %d, this copy of epoch %d", epoch, machine.Epoch())
	}
	if epoch == machine.Epoch() && reply.Index <= machine.Index() {
		reply.Snapshot, reply.Packed = nil, nil // the copy is already at this index
	}
	state, err := reply.DecodeSnapshot()
	if err != nil {
		return err
	}
	if epoch > machine.Epoch() && len(state) == 0 {
		return fmt.Errorf("the entries are of epoch %d, this copy of epoch %d", epoch, machine.Epoch())
	}
	if len(state) > 0 {
		return machine.Load(state)
	}
	if len(reply.Entries) > 0 && reply.After > machine.Index() {
		return fmt.Errorf("the entries follow index %d, this copy is at index %d", reply.After, machine.Index())
	}
	for _, e := range reply.Entries {
		if e.Index <= machine.Index() {
			continue
		}
		if err := machine.Apply(e.Index, e.Raw); errors.Is(err, statemachine.ErrVersion) {
			return nil // the machine has halted; callers check Halted
		}
	}
	return nil
}
