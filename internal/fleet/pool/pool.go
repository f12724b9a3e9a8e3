// Package pool keeps the slots at each replica, which co-ordinators hold, lend and hand on: a part of the agreed state of
// pinned sessions. It is pure: no clock, goroutine or I/O; times are agreed time, since the Unix epoch. At each replica
//
//	cap = free + held by each co-ordinator + lent + in transfer      (S2)
//
// whatever is lost, late or repeated. What leaves a co-ordinator's hand is no one's until it has said, by the number of
// the transfer, that it uses no more than what is left to it: until then a copy behind the others could use it still.
package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// MaxSlots at one replica. Twice as many overflow nothing; a file with more is a slip of the pen.
	MaxSlots = 1 << 20
	// MaxReplicas with slots, those included whose cap is lowered to 0 and whose slots are still out: as many as machines.
	MaxReplicas = 10_000
	// MaxHolders of slots at one replica: as many as co-ordinators of a fleet.
	MaxHolders = 1_000
	// MaxTransfers at once. One more is refused, and the planner asks again once others are over.
	MaxTransfers = 4_096
	// MaxNameBytes bytes in a name.
	MaxNameBytes = 128
)

// site is one replica.
type replicaSlots struct {
	cap         int // free + held + lent + in transfer
	targetCap   int // what SetCap said; under cap while more is out
	free        int
	held        map[string]int // by co-ordinator, over 0
	outstanding int            // lent or in transfer
	lent        map[string]int // by who uses it as a loan, over 0; nil: no one
}

// Pool is the state. The zero value is of no use; New makes one. Not for two goroutines at once.
type Pool struct {
	replicas   map[string]*replicaSlots
	transfers  map[uint64]Transfer
	now        time.Duration
	nextExpiry time.Duration // the first end of a loan, if any is open
}

// New makes an empty pool.
func New() *Pool {
	return &Pool{replicas: map[string]*replicaSlots{}, transfers: map[uint64]Transfer{}, nextExpiry: -1}
}

// Clone is an independent copy.
func (p *Pool) Clone() *Pool {
	n := &Pool{replicas: make(map[string]*replicaSlots, len(p.replicas)), transfers: maps.Clone(p.transfers), now: p.now, nextExpiry: p.nextExpiry}
	for name, s := range p.replicas {
		c := *s
		c.held, c.lent = maps.Clone(s.held), maps.Clone(s.lent)
		n.replicas[name] = &c
	}
	return n
}

// SetCap says how many slots a replica has, 0 if it is gone. A lower number takes effect at once for free slots and for
// the rest as they come back: those out are in someone's use. A replica with none and nothing out is forgotten; there is
// no shorter way, since a replica that comes back under its name would meet what is out for the one before.
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
	if more := n - s.cap; more > 0 {
		s.cap += more
		s.free += more
	}
	p.applyLoweredCap(replica)
	return nil
}

// settle lets a lowered cap take the free slots, and forgets a replica that has none.
func (p *Pool) applyLoweredCap(replica string) {
	s := p.replicas[replica]
	less := min(s.cap-s.targetCap, s.free)
	s.cap -= less
	s.free -= less
	if s.cap == 0 && s.targetCap == 0 {
		delete(p.replicas, replica)
	}
}

// Allocate moves n slots from the free ones into the hand of co.
func (p *Pool) Allocate(co, replica string, n int) error {
	s := p.replicas[replica]
	switch {
	case co == "" || len(co) > MaxNameBytes:
		return fmt.Errorf("pool: a co-ordinator's name has 1 to %d bytes, not %d", MaxNameBytes, len(co))
	case n < 1:
		return fmt.Errorf("pool: %s takes %d slots at %s", co, n, replica)
	case s == nil || s.free < n:
		return fmt.Errorf("pool: %s takes %d slots at %s, %d are free", co, n, replica, p.Free(replica))
	case s.held[co] == 0 && len(s.held) >= MaxHolders:
		return fmt.Errorf("pool: %d co-ordinators hold slots at %s, no more are allowed", len(s.held), replica)
	}
	s.free -= n
	s.held[co] += n
	return nil
}

// Release is the word of co itself that it uses n of its slots no more: they are free.
func (p *Pool) Release(co, replica string, n int) error {
	if err := p.removeHeld(co, replica, n); err != nil {
		return err
	}
	p.replicas[replica].free += n
	p.applyLoweredCap(replica)
	return nil
}

// leave takes n slots out of the hand of co; the caller puts them somewhere.
func (p *Pool) removeHeld(co, replica string, n int) error {
	s := p.replicas[replica]
	if n < 1 || s == nil || s.held[co] < n {
		held := 0
		if s != nil {
			held = s.held[co]
		}
		return fmt.Errorf("pool: %d slots at %s of %q, which holds %d", n, replica, co, held)
	}
	if s.held[co] -= n; s.held[co] == 0 {
		delete(s.held, co)
	}
	return nil
}

// Held is how many slots co may use at a replica: in its hand, and lent to it; what it lent or lets go is out of it.
func (p *Pool) Held(co, replica string) int {
	if s := p.replicas[replica]; s != nil {
		return s.held[co] + s.lent[co]
	}
	return 0
}

// Free is how many slots at a replica are no one's.
func (p *Pool) Free(replica string) int {
	if s := p.replicas[replica]; s != nil {
		return s.free
	}
	return 0
}

// Cap is how many slots a replica has, those that a lowered cap still waits for included.
func (p *Pool) Cap(replica string) int {
	if s := p.replicas[replica]; s != nil {
		return s.cap
	}
	return 0
}

// TargetCap is what SetCap said last; under Cap while more is out.
func (p *Pool) TargetCap(replica string) int {
	if s := p.replicas[replica]; s != nil {
		return s.targetCap
	}
	return 0
}

// Replicas with slots, sorted.
func (p *Pool) Replicas() []string { return slices.Sorted(maps.Keys(p.replicas)) }

// EachHolder gives what is in each hand at a replica, in no order.
func (p *Pool) EachHolder(replica string, yield func(co string, n int)) {
	if s := p.replicas[replica]; s != nil {
		for co, n := range s.held {
			yield(co, n)
		}
	}
}

// Holders of slots at a replica, in the hand, sorted.
func (p *Pool) Holders(replica string) []string {
	if s := p.replicas[replica]; s != nil {
		return slices.Sorted(maps.Keys(s.held))
	}
	return nil
}
