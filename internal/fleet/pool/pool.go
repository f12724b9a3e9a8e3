// Package pool tracks the slots at each replica, which co-ordinators hold, lend and transfer. It is part of the agreed state of
// pinned sessions. It has no clock, goroutine or I/O; times are agreed time since the Unix epoch. At each replica
//
//	cap = free + held by each co-ordinator + lent + in transfer      (S2)
//
// whichever messages are lost, late or repeated. Slots in transfer may not be used by their target until the source has confirmed,
// by the number of the transfer, that it no longer uses them: until then a source whose local copy of the state is behind may use
// them.
package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// MaxSlots is the maximum of slots at one replica. More would not overflow, but a larger number in a file is most likely a mistake.
	MaxSlots = 1 << 20
	// MaxReplicas is the maximum of replicas with slots, including those with a cap lowered to 0 whose slots are still in use. It is
	// the maximum of machines.
	MaxReplicas = 10_000
	// MaxHolders is the maximum of co-ordinators that hold slots at one replica: that of a fleet.
	MaxHolders = 1_000
	// MaxTransfers is the maximum of open transfers. One more is rejected; the planner repeats it once others have ended.
	MaxTransfers = 4_096
	// MaxNameBytes is the maximum length of a name.
	MaxNameBytes = 128
)

// replicaSlots are the slots at one replica.
type replicaSlots struct {
	cap         int // free + held + lent + in transfer
	targetCap   int // the cap by SetCap; less than cap while more slots are in use
	free        int
	held        map[string]int // by co-ordinator, each greater than 0
	outstanding int            // slots lent or in transfer
	lent        map[string]int // by borrower, each greater than 0; nil if none
}

// Pool holds the slots of all replicas. Use New to create one; the zero value isn't usable. It is not safe for concurrent use.
type Pool struct {
	replicas   map[string]*replicaSlots
	transfers  map[uint64]Transfer
	now        time.Duration // the latest agreed time
	nextExpiry time.Duration // the earliest end of a loan, -1 if none is open
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{replicas: map[string]*replicaSlots{}, transfers: map[uint64]Transfer{}, nextExpiry: -1}
}

// Clone returns an independent copy.
func (p *Pool) Clone() *Pool {
	n := &Pool{replicas: make(map[string]*replicaSlots, len(p.replicas)), transfers: maps.Clone(p.transfers), now: p.now, nextExpiry: p.nextExpiry}
	for name, s := range p.replicas {
		c := *s
		c.held, c.lent = maps.Clone(s.held), maps.Clone(s.lent)
		n.replicas[name] = &c
	}
	return n
}

// SetCap sets the number of slots at a replica, 0 if the replica is gone. A lower number takes effect at once for free slots, and
// for the others when they are released, since they are in use. A replica is removed only once it has no slots at all: otherwise
// one that returns under the same name would conflict with slots in use from before.
func (p *Pool) SetCap(replica string, n int) error {
	s := p.replicas[replica]
	switch {
	case replica == "" || len(replica) > MaxNameBytes:
		return fmt.Errorf("pool: a replica's name has 1 to %d bytes, not %d", MaxNameBytes, len(replica))
	case n < 0 || n > MaxSlots:
		return fmt.Errorf("pool: %d slots at %s, 0 to %d are allowed", n, replica, MaxSlots)
	case s == nil && n == 0:
		return nil
	case s == nil && len(p.replicas) >= MaxReplicas:
		return fmt.Errorf("pool: %d replicas have slots, no more are allowed", len(p.replicas))
	case s == nil:
		s = &replicaSlots{held: map[string]int{}}
		p.replicas[replica] = s
	}
	s.targetCap = n
	if increase := n - s.cap; increase > 0 {
		s.cap += increase
		s.free += increase
	}
	p.applyLoweredCap(replica)
	return nil
}

// applyLoweredCap removes free slots above the target cap, and removes a replica without slots.
func (p *Pool) applyLoweredCap(replica string) {
	s := p.replicas[replica]
	decrease := min(s.cap-s.targetCap, s.free)
	s.cap -= decrease
	s.free -= decrease
	if s.cap == 0 && s.targetCap == 0 {
		delete(p.replicas, replica)
	}
}

// Allocate gives n free slots at a replica to a co-ordinator.
func (p *Pool) Allocate(coordinator, replica string, n int) error {
	s := p.replicas[replica]
	switch {
	case coordinator == "" || len(coordinator) > MaxNameBytes:
		return fmt.Errorf("pool: a co-ordinator's name has 1 to %d bytes, not %d", MaxNameBytes, len(coordinator))
	case n < 1:
		return fmt.Errorf("pool: %s requests %d slots at %s, at least 1 is required", coordinator, n, replica)
	case s == nil || s.free < n:
		return fmt.Errorf("pool: %s requests %d slots at %s, %d are free", coordinator, n, replica, p.Free(replica))
	case s.held[coordinator] == 0 && len(s.held) >= MaxHolders:
		return fmt.Errorf("pool: %d co-ordinators hold slots at %s, no more are allowed", len(s.held), replica)
	}
	s.free -= n
	s.held[coordinator] += n
	return nil
}

// Release frees n slots of a co-ordinator. Only the co-ordinator itself may request it, once it no longer uses them.
func (p *Pool) Release(coordinator, replica string, n int) error {
	if err := p.removeHeld(coordinator, replica, n); err != nil {
		return err
	}
	p.replicas[replica].free += n
	p.applyLoweredCap(replica)
	return nil
}

// removeHeld subtracts n slots from those that a co-ordinator holds; the caller accounts for them elsewhere.
func (p *Pool) removeHeld(coordinator, replica string, n int) error {
	s := p.replicas[replica]
	if n < 1 || s == nil || s.held[coordinator] < n {
		held := 0
		if s != nil {
			held = s.held[coordinator]
		}
		return fmt.Errorf("pool: %d slots at %s requested from %q, which holds %d", n, replica, coordinator, held)
	}
	if s.held[coordinator] -= n; s.held[coordinator] == 0 {
		delete(s.held, coordinator)
	}
	return nil
}

// Held returns how many slots a co-ordinator may use at a replica: those it holds and those lent to it. Slots that it has lent or
// that are in transfer from it don't count.
func (p *Pool) Held(coordinator, replica string) int {
	if s := p.replicas[replica]; s != nil {
		return s.held[coordinator] + s.lent[coordinator]
	}
	return 0
}

// Free returns how many slots at a replica are free.
func (p *Pool) Free(replica string) int {
	if s := p.replicas[replica]; s != nil {
		return s.free
	}
	return 0
}

// Cap returns how many slots a replica has, including those above a lowered cap that are still in use.
func (p *Pool) Cap(replica string) int {
	if s := p.replicas[replica]; s != nil {
		return s.cap
	}
	return 0
}

// TargetCap returns the cap last set by SetCap; it is less than Cap while more slots are in use.
func (p *Pool) TargetCap(replica string) int {
	if s := p.replicas[replica]; s != nil {
		return s.targetCap
	}
	return 0
}

// Replicas returns the names of replicas with slots, sorted.
func (p *Pool) Replicas() []string { return slices.Sorted(maps.Keys(p.replicas)) }

// EachHolder calls yield with each co-ordinator that holds slots at a replica and their number, in no particular order.
func (p *Pool) EachHolder(replica string, yield func(coordinator string, n int)) {
	if s := p.replicas[replica]; s != nil {
		for coordinator, n := range s.held {
			yield(coordinator, n)
		}
	}
}

// Holders returns the co-ordinators that hold slots at a replica, sorted; borrowers don't count.
func (p *Pool) Holders(replica string) []string {
	if s := p.replicas[replica]; s != nil {
		return slices.Sorted(maps.Keys(s.held))
	}
	return nil
}
