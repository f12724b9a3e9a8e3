package pool

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// Saved is the state for a snapshot: lists in a fixed order.
type Saved struct {
	Now       time.Duration `json:"now"`
	Sites     []SavedSite   `json:"sites,omitempty"`     // by name
	Transfers []Transfer    `json:"transfers,omitempty"` // by number
}

// SavedSite is one replica. What is free and what the cap is follow from the rest.
type SavedSite struct {
	Replica string  `json:"replica"`
	Wanted  int     `json:"wanted"`
	Free    int     `json:"free"`
	Held    []Share `json:"held,omitempty"` // by name
}

// Share is what one co-ordinator has in its hand.
type Share struct {
	Co string `json:"co"`
	N  int    `json:"n"`
}

// Save gives the same lists for the same state.
func (p *Pool) Save() Saved {
	v := Saved{Now: p.now}
	if len(p.moves) > 0 {
		v.Transfers = p.Transfers()
	}
	for _, name := range p.Replicas() {
		s := p.sites[name]
		one := SavedSite{Replica: name, Wanted: s.wanted, Free: s.free}
		for _, co := range p.Holders(name) {
			one.Held = append(one.Held, Share{co, s.held[co]})
		}
		v.Sites = append(v.Sites, one)
	}
	return v
}

// Load takes all of v in place of what is there, or nothing, and says why.
func (p *Pool) Load(v Saved) error {
	n := New()
	n.now = v.Now
	if len(v.Sites) > ReplicasMost || len(v.Transfers) > TransfersMost {
		return fmt.Errorf("pool: saved with %d replicas and %d transfers", len(v.Sites), len(v.Transfers))
	}
	for i, one := range v.Sites {
		if i > 0 && v.Sites[i-1].Replica >= one.Replica || one.Replica == "" || len(one.Replica) > NameMost {
			return fmt.Errorf("pool: saved replica %q is out of order", one.Replica)
		}
		s := &site{wanted: one.Wanted, free: one.Free, cap: one.Free, held: make(map[string]int, len(one.Held))}
		for j, h := range one.Held {
			if j > 0 && one.Held[j-1].Co >= h.Co || h.Co == "" || h.N < 1 || h.N > SlotsMost || j >= HoldersMost+TransfersMost {
				return fmt.Errorf("pool: saved share %d of %q at %s", h.N, h.Co, one.Replica)
			}
			s.held[h.Co] = h.N
			s.cap += h.N
		}
		n.sites[one.Replica] = s
	}
	for i, t := range v.Transfers {
		s := n.sites[t.Replica]
		switch {
		case s == nil:
			return fmt.Errorf("pool: saved transfer %d is at %q, which has no slots", t.Fence, t.Replica)
		case i > 0 && v.Transfers[i-1].Fence >= t.Fence || t.Fence == 0:
			return fmt.Errorf("pool: saved transfer %d is out of order", t.Fence)
		case t.N < 1 || t.N > SlotsMost || t.Stage > Returning || t.Until < 0 || t.From == t.To:
			return fmt.Errorf("pool: saved transfer %d of %d slots, %s", t.Fence, t.N, t.Stage)
		case t.Until == 0 && t.Stage != Moving || t.Until > 0 && t.To == "" || t.Stage == Moving && t.From == "":
			return fmt.Errorf("pool: saved transfer %d is %s from %q to %q until %v", t.Fence, t.Stage, t.From, t.To, t.Until)
		}
		s.cap += t.N
		s.open += t.N
		if t.Stage == Lent {
			s.lend(t.To, t.N)
		}
		n.put(t)
	}
	if err := n.Check(); err != nil {
		return errors.Join(errors.New("pool: saved"), err)
	}
	*p = *n
	return nil
}

// Check is S2 and the order of loans: slots at each replica add up, and no loan is used past its time.
func (p *Pool) Check() error {
	open, lent := make(map[string]int, len(p.moves)), map[string]map[string]int{}
	for _, t := range p.Transfers() {
		if t.N < 1 || p.sites[t.Replica] == nil {
			return fmt.Errorf("S2: transfer %d of %d slots at %s, which has none", t.Fence, t.N, t.Replica)
		}
		if t.Until > 0 && t.Until <= p.now && t.Stage != Returning {
			return fmt.Errorf("S2: the loan %d of %d slots at %s is %s past its time, %v, at %v",
				t.Fence, t.N, t.Replica, t.Stage, t.Until, p.now)
		}
		open[t.Replica] += t.N
		if t.Stage == Lent {
			if lent[t.Replica] == nil {
				lent[t.Replica] = map[string]int{}
			}
			lent[t.Replica][t.To] += t.N
		}
	}
	for _, name := range p.Replicas() {
		s, held := p.sites[name], 0
		for _, co := range p.Holders(name) {
			if held += s.held[co]; s.held[co] < 1 {
				return fmt.Errorf("S2: %s holds %d slots at %s", co, s.held[co], name)
			}
		}
		switch {
		case !maps.Equal(s.lent, lent[name]):
			return fmt.Errorf("S2: %v are counted as lent at %s, %v are", s.lent, name, lent[name])
		case s.free < 0 || s.free+held+open[name] != s.cap || open[name] != s.open:
			return fmt.Errorf("S2: %d free, %d held and %d (%d) lent or in transfer at %s make no cap of %d",
				s.free, held, open[name], s.open, name, s.cap)
		case s.wanted < 0 || s.wanted > s.cap || s.wanted > SlotsMost || s.wanted < s.cap && s.free > 0 || s.cap == 0:
			return fmt.Errorf("S2: %s has a cap of %d with %d free, %d are wanted", name, s.cap, s.free, s.wanted)
		}
	}
	return nil
}
