package migrate

import (
	"math"
	"time"

	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// ShiftsMost in one plan. Twice as many: an entry of the log has as much more; half: a receiver without slots at 1,000
// replicas waits for two plans.
const ShiftsMost = 1000

// SupplyLooks at slots of one co-ordinator at one replica are made in a step to deal free ones. Half: in a site of 300 with
// 200 replicas a new one waits twice as long for its first; twice: a step takes so much longer.
const SupplyLooks = 2000

// SlotsWait is how long slots may be on their way before they are called back and looked for elsewhere: their giver waits
// for queries of its own. Twice: sessions wait so long for one query of another; half: slow queries are never waited for.
const SlotsWait = 10 * time.Second

type slotKey struct{ co, replica string }

type shiftKey struct{ from, to, replica string }

// pendingSlots is a shift that was planned: until what was there changes, or its time is over, it is taken to come.
type pendingSlots struct {
	was, n int
	until  time.Duration
}

// slotsFor is how many slots at each replica so many sessions need.
func (v *View) slotsFor(sessions int) int { return (sessions + v.PerSlot - 1) / v.PerSlot }

// noSlots says that one more session needs more slots than the receiver has, and are on their way.
func (s *site) noSlots(v *View, to *place) bool {
	if v.PerSlot <= 0 || v.Slots == nil {
		to.held = math.MaxInt
		return false
	}
	s.load(v, to)
	return to.owned+to.inbound+to.here+1 > to.slots
}

// load reads a co-ordinator's slots, once in a step.
func (s *site) load(v *View, to *place) {
	if to.have != nil {
		return
	}
	to.have, to.slots, to.held = make([]int, len(v.Replicas)), math.MaxInt, math.MaxInt
	for i, r := range v.Replicas {
		held := v.Slots.Held(to.c.Name, r)
		to.have[i] = held + s.arriving[slotKey{to.c.Name, r}]
		to.held = min(to.held, held*v.PerSlot)
		to.slots = min(to.slots, to.have[i]*v.PerSlot)
	}
}

// transfers counts the slots on their way, and those that were asked for and are not seen yet.
func (s *site) transfers(p *Planner, now time.Duration, v *View) {
	if v.Slots == nil {
		return
	}
	open := map[uint64]time.Duration{}
	for _, t := range v.Slots.Transfers() {
		since, ok := p.shifts[t.Fence]
		if !ok {
			since = now
		}
		open[t.Fence] = since
		if t.To != "" && t.Until == 0 && now < since+SlotsWait {
			s.way[slotKey{t.To, t.Replica}] += t.Slots
			s.arriving[slotKey{t.To, t.Replica}] += t.Slots
		}
	}
	for fence := range p.backs { // in any order: each is on its own
		if _, ok := open[fence]; !ok {
			delete(p.backs, fence)
		}
	}
	p.shifts = open
	for k, q := range p.coming { // in any order: each is on its own
		if v.Slots.Held(k.co, k.replica)+s.way[k] != q.was || now >= q.until {
			delete(p.coming, k)
			continue
		}
		s.arriving[k] += q.n
	}
	for k, q := range p.going { // in any order, too
		if v.there(k) != q.was || now >= q.until {
			delete(p.going, k)
		}
	}
}

// there is how many slots are in a hand, or free.
func (v *View) there(k slotKey) int {
	if k.co == "" {
		return v.Slots.Free(k.replica)
	}
	return v.Slots.Held(k.co, k.replica)
}

// ask finds the slots that a receiver lacks for one more session: free ones first, then of those that leave.
func (s *site) ask(p *Planner, v *View, to *place) bool {
	return s.want(p, v, to, v.slotsFor(to.owned+to.inbound+to.here+1), true)
}

// want finds all that a co-ordinator lacks to have so many at each replica, or nothing.
func (s *site) want(p *Planner, v *View, to *place, need int, leaving bool) bool {
	var found []shiftKey
	undo := func(replica string) bool {
		for _, k := range found {
			s.spare[slotKey{k.from, k.replica}]++
		}
		to.lack = replica
		return false
	}
	s.load(v, to)
	for i, r := range v.Replicas {
		for have := to.have[i]; have < need; have++ {
			from, ok := s.giver(p, v, r, leaving)
			if !ok || len(s.askOrder)+len(found) >= ShiftsMost {
				return undo(r)
			}
			s.spare[slotKey{from, r}]--
			found = append(found, shiftKey{from, to.c.Name, r})
		}
	}
	for _, k := range found {
		s.put(k, 1)
	}
	for i := range to.have {
		to.have[i] = max(to.have[i], need)
	}
	to.slots = max(to.slots, need*v.PerSlot)
	return true
}

func (s *site) put(k shiftKey, n int) {
	if s.asked[k] == 0 {
		s.askOrder = append(s.askOrder, k)
	}
	s.asked[k] += n
}

// giver is who can give a slot at a replica: "" if one is free.
func (s *site) giver(p *Planner, v *View, replica string, leaving bool) (string, bool) {
	if s.spares(p, v, slotKey{"", replica}, 0) > 0 {
		return "", true
	}
	if !leaving {
		return "", false
	}
	for _, from := range s.sources {
		if s.spares(p, v, slotKey{from.c.Name, replica}, from.keeps) > 0 {
			return from.c.Name, true
		}
	}
	return "", false
}

// spares are what is there to give, less what it keeps and what was planned of it already.
func (s *site) spares(p *Planner, v *View, k slotKey, keeps int) int {
	n, ok := s.spare[k]
	if !ok {
		n = v.there(k) - keeps - p.going[k].n
		s.spare[k] = n
	}
	return n
}

// supply deals free slots to those who stay: enough for their sessions, and at least one each; and frees those of who leaves
// and has no session any more. In each step some are looked at, in turn.
func (p *Planner) supply(v *View) {
	s := &p.site
	if v.PerSlot <= 0 || v.Slots == nil || len(v.Replicas) == 0 {
		return
	}
	for range min(len(s.places), max(1, SupplyLooks/len(v.Replicas))) {
		p.turn = (p.turn + 1) % len(s.places)
		c := &s.places[p.turn]
		switch {
		case !c.c.Live:
		case !c.c.Leaving && c.lack == "":
			s.want(p, v, c, max(1, v.slotsFor(c.owned+c.inbound)), false)
		case c.c.Leaving && c.owned == 0:
			for _, r := range v.Replicas {
				k := slotKey{c.c.Name, r}
				if n := s.spares(p, v, k, c.keeps); n > 0 && len(s.askOrder) < ShiftsMost {
					s.spare[k] = 0
					s.put(shiftKey{c.c.Name, "", r}, n)
				}
			}
		}
	}
}

// shift puts into the plan what was found.
func (s *site) shift(p *Planner, now time.Duration, v *View, plan *Plan) {
	for _, k := range s.askOrder {
		n := s.asked[k]
		plan.Body.Shifts = append(plan.Body.Shifts, session.Shift{From: k.from, To: k.to, Replica: k.replica, N: n})
		from, to := slotKey{k.from, k.replica}, slotKey{k.to, k.replica}
		p.going[from] = pendingSlots{was: v.there(from), n: p.going[from].n + n, until: now + ProposeFor}
		if k.to != "" {
			p.coming[to] = pendingSlots{was: v.there(to) + s.way[to], n: p.coming[to].n + n, until: now + ProposeFor}
		}
	}
}

// callBack calls slots back that are on their way to one that takes no more, or have been for too long: what their giver
// still uses may be open for long.
func (p *Planner) callBack(now time.Duration, v *View, plan *Plan) {
	if v.Slots == nil {
		return
	}
	for _, t := range v.Slots.Transfers() {
		if t.Stage != pool.Moving || t.Until != 0 || t.To == "" {
			continue
		}
		to := p.site.find(t.To)
		if v.Paused || to == nil || !to.c.Live || to.c.Leaving || now >= p.shifts[t.Fence]+SlotsWait {
			if at, ok := p.backs[t.Fence]; !ok || now >= at+ProposeFor {
				p.backs[t.Fence] = now
				plan.Body.CancelledTransfers = append(plan.Body.CancelledTransfers, t.Fence)
			}
		}
	}
}
