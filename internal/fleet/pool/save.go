package pool

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// Saved is the state for a snapshot: lists in a fixed order.
type Saved struct {
	Now       time.Duration  `json:"now"`
	Replicas  []SavedReplica `json:"sites,omitempty"`     // by name
	Transfers []Transfer     `json:"transfers,omitempty"` // by number
}

// SavedReplica is one replica. What is free and what the cap is follow from the rest.
type SavedReplica struct {
	Replica   string    `json:"replica"`
	TargetCap int       `json:"wanted"`
	Free      int       `json:"free"`
	Held      []Holding `json:"held,omitempty"` // by name
}

// Holding is what one co-ordinator has in its hand.
type Holding struct {
	Coordinator string `json:"co"`
	Slots       int    `json:"n"`
}

// Save gives the same lists for the same state.
func (p *Pool) Save() Saved {
	v := Saved{Now: p.now}
	if len(p.transfers) > 0 {
		v.Transfers = p.Transfers()
	}
	for _, name := range p.Replicas() {
		s := p.replicas[name]
		one := SavedReplica{Replica: name, TargetCap: s.targetCap, Free: s.free}
		for _, co := range p.Holders(name) {
			one.Held = append(one.Held, Holding{co, s.held[co]})
		}
		v.Replicas = append(v.Replicas, one)
	}
	return v
}

// Load takes all of v in place of what is there, or nothing, and says why.
func (p *Pool) Load(v Saved) error {
	n := New()
	n.now = v.Now
	if len(v.Replicas) > MaxReplicas || len(v.Transfers) > MaxTransfers {
		return fmt.Errorf("pool: saved with %d replicas and %d transfers", len(v.Replicas), len(v.Transfers))
	}
	for i, one := range v.Replicas {
		if i > 0 && v.Replicas[i-1].Replica >= one.Replica || one.Replica == "" || len(one.Replica) > MaxNameBytes {
			return fmt.Errorf("pool: saved replica %q is out of order", one.Replica)
		}
		s := &replicaSlots{targetCap: one.TargetCap, free: one.Free, cap: one.Free, held: make(map[string]int, len(one.Held))}
		for j, h := range one.Held {
			if j > 0 && one.Held[j-1].Coordinator >= h.Coordinator || h.Coordinator == "" || h.Slots < 1 || h.Slots > MaxSlots || j >= MaxHolders+MaxTransfers {
				return fmt.Errorf("pool: saved share %d of %q at %s", h.Slots, h.Coordinator, one.Replica)
			}
			s.held[h.Coordinator] = h.Slots
			s.cap += h.Slots
		}
		n.replicas[one.Replica] = s
	}
	for i, t := range v.Transfers {
		s := n.replicas[t.Replica]
		switch {
		case s == nil:
			return fmt.Errorf("pool: saved transfer %d is at %q, which has no slots", t.Fence, t.Replica)
		case i > 0 && v.Transfers[i-1].Fence >= t.Fence || t.Fence == 0:
			return fmt.Errorf("pool: saved transfer %d is out of order", t.Fence)
		case t.Slots < 1 || t.Slots > MaxSlots || t.Stage > Returning || t.Until < 0 || t.From == t.To:
			return fmt.Errorf("pool: saved transfer %d of %d slots, %s", t.Fence, t.Slots, t.Stage)
		case t.Until == 0 && t.Stage != Moving || t.Until > 0 && t.To == "" || t.Stage == Moving && t.From == "":
			return fmt.Errorf("pool: saved transfer %d is %s from %q to %q until %v", t.Fence, t.Stage, t.From, t.To, t.Until)
		}
		s.cap += t.Slots
		s.outstanding += t.Slots
		if t.Stage == Lent {
			s.addLent(t.To, t.Slots)
		}
		n.store(t)
	}
	if err := n.Check(); err != nil {
		return errors.Join(errors.New("pool: saved"), err)
	}
	*p = *n
	return nil
}

// Check is S2 and the order of loans: slots at each replica add up, and no loan is used past its time.
func (p *Pool) Check() error {
	open, lent := make(map[string]int, len(p.transfers)), map[string]map[string]int{}
	for _, t := range p.Transfers() {
		if t.Slots < 1 || p.replicas[t.Replica] == nil {
			return fmt.Errorf("S2: transfer %d of %d slots at %s, which has none", t.Fence, t.Slots, t.Replica)
		}
		if t.Until > 0 && t.Until <= p.now && t.Stage != Returning {
			return fmt.Errorf("S2: the loan %d of %d slots at %s is %s past its time, %v, at %v",
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
		for _, co := range p.Holders(name) {
			if held += s.held[co]; s.held[co] < 1 {
				return fmt.Errorf("S2: %s holds %d slots at %s", co, s.held[co], name)
			}
		}
		switch {
		case !maps.Equal(s.lent, lent[name]):
			return fmt.Errorf("S2: %v are counted as lent at %s, %v are", s.lent, name, lent[name])
		case s.free < 0 || s.free+held+open[name] != s.cap || open[name] != s.outstanding:
			return fmt.Errorf("S2: %d free, %d held and %d (%d) lent or in transfer at %s make no cap of %d",
				s.free, held, open[name], s.outstanding, name, s.cap)
		case s.targetCap < 0 || s.targetCap > s.cap || s.targetCap > MaxSlots || s.targetCap < s.cap && s.free > 0 || s.cap == 0:
			return fmt.Errorf("S2: %s has a cap of %d with %d free, %d are wanted", name, s.cap, s.free, s.targetCap)
		}
	}
	return nil
}
