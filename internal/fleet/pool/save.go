package pool

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// Saved is the form of a pool in snapshots. Its lists are sorted.
type Saved struct {
	Now       time.Duration  `json:"now"`
	Replicas  []SavedReplica `json:"sites,omitempty"`     // by name
	Transfers []Transfer     `json:"transfers,omitempty"` // by number
}

// SavedReplica is the form of one replica's slots in snapshots. The cap follows from these fields and the transfers.
type SavedReplica struct {
	Replica   string    `json:"replica"`
	TargetCap int       `json:"wanted"`
	Free      int       `json:"free"`
	Held      []Holding `json:"held,omitempty"` // by name
}

// Holding is the number of slots that one co-ordinator holds at a replica.
type Holding struct {
	Coordinator string `json:"co"`
	Slots       int    `json:"n"`
}

// Save returns the state for a snapshot. Equal states give equal results.
func (p *Pool) Save() Saved {
	v := Saved{Now: p.now}
	if len(p.transfers) > 0 {
		v.Transfers = p.Transfers()
	}
	for _, name := range p.Replicas() {
		s := p.replicas[name]
		saved := SavedReplica{Replica: name, TargetCap: s.targetCap, Free: s.free}
		for _, coordinator := range p.Holders(name) {
			saved.Held = append(saved.Held, Holding{coordinator, s.held[coordinator]})
		}
		v.Replicas = append(v.Replicas, saved)
	}
	return v
}

// Load replaces the state with v. If v is invalid it returns an error and changes nothing.
func (p *Pool) Load(v Saved) error {
	n := New()
	n.now = v.Now
	if len(v.Replicas) > MaxReplicas || len(v.Transfers) > MaxTransfers {
		return fmt.Errorf("pool: saved state has %d replicas and %d transfers, more than allowed", len(v.Replicas), len(v.Transfers))
	}
	for i, saved := range v.Replicas {
		if i > 0 && v.Replicas[i-1].Replica >= saved.Replica || saved.Replica == "" || len(saved.Replica) > MaxNameBytes {
			return fmt.Errorf("pool: saved replica %q is out of order", saved.Replica)
		}
		s := &replicaSlots{targetCap: saved.TargetCap, free: saved.Free, cap: saved.Free, held: make(map[string]int, len(saved.Held))}
		for j, h := range saved.Held {
			if j > 0 && saved.Held[j-1].Coordinator >= h.Coordinator || h.Coordinator == "" || h.Slots < 1 || h.Slots > MaxSlots || j >= MaxHolders+MaxTransfers {
				return fmt.Errorf("pool: saved holding of %d slots by %q at %s is invalid or out of order", h.Slots, h.Coordinator, saved.Replica)
			}
			s.held[h.Coordinator] = h.Slots
			s.cap += h.Slots
		}
		n.replicas[saved.Replica] = s
	}
	for i, t := range v.Transfers {
		s := n.replicas[t.Replica]
		switch {
		case s == nil:
			return fmt.Errorf("pool: saved transfer %d is at %q, which has no slots", t.Fence, t.Replica)
		case i > 0 && v.Transfers[i-1].Fence >= t.Fence || t.Fence == 0:
			return fmt.Errorf("pool: saved transfer %d is out of order", t.Fence)
		case t.Slots < 1 || t.Slots > MaxSlots || t.Stage > Returning || t.Until < 0 || t.From == t.To:
			return fmt.Errorf("pool: saved transfer %d of %d slots in stage %s is invalid", t.Fence, t.Slots, t.Stage)
		case t.Until == 0 && t.Stage != Moving || t.Until > 0 && t.To == "" || t.Stage == Moving && t.From == "":
			return fmt.Errorf("pool: saved transfer %d has an invalid combination: %s from %q to %q until %v", t.Fence, t.Stage, t.From, t.To, t.Until)
		}
		s.cap += t.Slots
		s.outstanding += t.Slots
		if t.Stage == Lent {
			s.addLent(t.To, t.Slots)
		}
		n.store(t)
	}
	if err := n.Check(); err != nil {
		return errors.Join(errors.New("pool: saved state is inconsistent"), err)
	}
	*p = *n
	return nil
}

// Check verifies the invariant S2: the slots at each replica add up to its cap, and no loan is used after its end.
func (p *Pool) Check() error {
	open, lent := make(map[string]int, len(p.transfers)), map[string]map[string]int{}
	for _, t := range p.Transfers() {
		if t.Slots < 1 || p.replicas[t.Replica] == nil {
			return fmt.Errorf("S2: transfer %d of %d slots at %s, which has none", t.Fence, t.Slots, t.Replica)
		}
		if t.Until > 0 && t.Until <= p.now && t.Stage != Returning {
			return fmt.Errorf("S2: loan %d of %d slots at %s is still %s after its end, %v, at %v",
				t.Fence, t.Slots, t.Replica, t.Stage, t.Until, p.now)
		}
		open[t.Replica] += t.Slots
		if t.Stage == Lent {
			if lent[t.Replica] == nil {
				lent[t.Replica] = map[string]int{}
			}
			lent[t.Replica][t.To] += t.Slots
		}
	}
	for _, name := range p.Replicas() {
		s, held := p.replicas[name], 0
		for _, coordinator := range p.Holders(name) {
			if held += s.held[coordinator]; s.held[coordinator] < 1 {
				return fmt.Errorf("S2: %s holds %d slots at %s", coordinator, s.held[coordinator], name)
			}
		}
		switch {
		case !maps.Equal(s.lent, lent[name]):
			return fmt.Errorf("S2: %v counted as lent at %s, but the open loans are %v", s.lent, name, lent[name])
		case s.free < 0 || s.free+held+open[name] != s.cap || open[name] != s.outstanding:
			return fmt.Errorf("S2: %d free, %d held and %d (counted %d) lent or in transfer at %s don't add up to the cap of %d",
				s.free, held, open[name], s.outstanding, name, s.cap)
		case s.targetCap < 0 || s.targetCap > s.cap || s.targetCap > MaxSlots || s.targetCap < s.cap && s.free > 0 || s.cap == 0:
			return fmt.Errorf("S2: %s has a cap of %d with %d free slots and a target cap of %d", name, s.cap, s.free, s.targetCap)
		}
	}
	return nil
}
