package migrate

import (
	"math"
	"time"

	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// MaxShifts limits the shifts in one plan. With twice as many a log entry grows accordingly; with half as many, a receiver without
// slots at 1,000 replicas waits for two plans.
const MaxShifts = 1000

// MaxSupplyChecks limits how many pairs of a co-ordinator and a replica are checked in a step to distribute free slots. With half
// as many, a new co-ordinator in a site of 300 with 200 replicas waits twice as long for its first slots; with twice as many a
// step takes correspondingly longer.
const MaxSupplyChecks = 2000

// SlotTransferTimeout is how long a transfer of slots may take before it is cancelled and the slots are requested elsewhere: the
// co-ordinator that gives them up waits for its own queries. With twice as long, sessions wait that long for one query of another
// co-ordinator; with half of it, slow queries are never waited for.
const SlotTransferTimeout = 10 * time.Second

// slotKey identifies the slots of a co-ordinator at a replica; co is "" for free slots.
type slotKey struct{ co, replica string }

// shiftKey identifies a shift of slots; from and to are "" for free slots.
type shiftKey struct{ from, to, replica string }

// pendingSlots is a planned shift of n slots. before is the number of slots there when the shift was planned: the shift counts as
// pending until that number changes or until its time is over.
type pendingSlots struct {
	before, n int
	until     time.Duration
}

// slotsFor returns how many slots at each replica the given number of sessions needs.
func (v *View) slotsFor(sessions int) int {
	return (sessions + v.SessionsPerSlot - 1) / v.SessionsPerSlot
}

// needsSlots reports whether one more session needs more slots than the receiver has, including those in transfer to it.
func (s *site) needsSlots(v *View, to *candidate) bool {
	if v.SessionsPerSlot <= 0 || v.Slots == nil {
		to.heldCapacity = math.MaxInt
		return false
	}
	s.loadSlots(v, to)
	return to.owned+to.inbound+to.plannedInbound+1 > to.slotCapacity
}

// loadSlots reads the slots of a co-ordinator, once in a step.
func (s *site) loadSlots(v *View, to *candidate) {
	if to.slotsByReplica != nil {
		return
	}
	to.slotsByReplica, to.slotCapacity, to.heldCapacity = make([]int, len(v.Replicas)), math.MaxInt, math.MaxInt
	for i, r := range v.Replicas {
		held := v.Slots.Held(to.c.Name, r)
		to.slotsByReplica[i] = held + s.arriving[slotKey{to.c.Name, r}]
		to.heldCapacity = min(to.heldCapacity, held*v.SessionsPerSlot)
		to.slotCapacity = min(to.slotCapacity, to.slotsByReplica[i]*v.SessionsPerSlot)
	}
}

// countTransfers counts the slots in transfer, and those in proposed shifts that have not appeared yet.
func (s *site) countTransfers(p *Planner, now time.Duration, v *View) {
	if v.Slots == nil {
		return
	}
	open := map[uint64]time.Duration{}
	for _, t := range v.Slots.Transfers() {
		since, ok := p.openTransfers[t.Fence]
		if !ok {
			since = now
		}
		open[t.Fence] = since
		if t.To != "" && t.Until == 0 && now < since+SlotTransferTimeout {
			s.inTransfer[slotKey{t.To, t.Replica}] += t.Slots
			s.arriving[slotKey{t.To, t.Replica}] += t.Slots
		}
	}
	for fence := range p.cancelledTransfers { // the order does not matter: entries are independent
		if _, ok := open[fence]; !ok {
			delete(p.cancelledTransfers, fence)
		}
	}
	p.openTransfers = open
	for k, q := range p.incomingShifts { // the order does not matter: entries are independent
		if v.Slots.Held(k.co, k.replica)+s.inTransfer[k] != q.before || now >= q.until {
			delete(p.incomingShifts, k)
			continue
		}
		s.arriving[k] += q.n
	}
	for k, q := range p.outgoingShifts { // the order does not matter here either
		if v.slotsAt(k) != q.before || now >= q.until {
			delete(p.outgoingShifts, k)
		}
	}
}

// slotsAt returns how many slots a co-ordinator holds at a replica, or how many are free there if the co-ordinator is "".
func (v *View) slotsAt(k slotKey) int {
	if k.co == "" {
		return v.Slots.Free(k.replica)
	}
	return v.Slots.Held(k.co, k.replica)
}

// requestSlots plans shifts of the slots that a receiver lacks for one more session: free slots first, then slots of leaving
// co-ordinators.
func (s *site) requestSlots(p *Planner, v *View, to *candidate) bool {
	return s.reserveSlots(p, v, to, v.slotsFor(to.owned+to.inbound+to.plannedInbound+1), true)
}

// reserveSlots plans shifts of all slots that a co-ordinator lacks to have need slots at each replica, or none. leaving allows
// slots of leaving co-ordinators to be used.
func (s *site) reserveSlots(p *Planner, v *View, to *candidate, need int, leaving bool) bool {
	var found []shiftKey
	undo := func(replica string) bool {
		for _, k := range found {
			s.spare[slotKey{k.from, k.replica}]++
		}
		to.lackingReplica = replica
		return false
	}
	s.loadSlots(v, to)
	for i, r := range v.Replicas {
		for have := to.slotsByReplica[i]; have < need; have++ {
			from, ok := s.findGiver(p, v, r, leaving)
			if !ok || len(s.shiftOrder)+len(found) >= MaxShifts {
				return undo(r)
			}
			s.spare[slotKey{from, r}]--
			found = append(found, shiftKey{from, to.c.Name, r})
		}
	}
	for _, k := range found {
		s.addShift(k, 1)
	}
	for i := range to.slotsByReplica {
		to.slotsByReplica[i] = max(to.slotsByReplica[i], need)
	}
	to.slotCapacity = max(to.slotCapacity, need*v.SessionsPerSlot)
	return true
}

// addShift adds n slots to a planned shift.
func (s *site) addShift(k shiftKey, n int) {
	if s.shiftCounts[k] == 0 {
		s.shiftOrder = append(s.shiftOrder, k)
	}
	s.shiftCounts[k] += n
}

// findGiver returns the co-ordinator that can give up a slot at a replica, or "" if a slot is free.
func (s *site) findGiver(p *Planner, v *View, replica string, leaving bool) (string, bool) {
	if s.spareSlots(p, v, slotKey{"", replica}, 0) > 0 {
		return "", true
	}
	if !leaving {
		return "", false
	}
	for _, from := range s.sources {
		if s.spareSlots(p, v, slotKey{from.c.Name, replica}, from.reservedSlots) > 0 {
			return from.c.Name, true
		}
	}
	return "", false
}

// spareSlots returns the slots that can be given up, without those that are kept and those in shifts that are already planned.
func (s *site) spareSlots(p *Planner, v *View, k slotKey, reserved int) int {
	n, ok := s.spare[k]
	if !ok {
		n = v.slotsAt(k) - reserved - p.outgoingShifts[k].n
		s.spare[k] = n
	}
	return n
}

// supplySlots distributes free slots to co-ordinators that stay, enough for their sessions and at least one each, and frees the
// slots of leaving co-ordinators that have no sessions left. Each step checks some of the co-ordinators, in rotation.
func (p *Planner) supplySlots(v *View) {
	s := &p.site
	if v.SessionsPerSlot <= 0 || v.Slots == nil || len(v.Replicas) == 0 {
		return
	}
	for range min(len(s.candidates), max(1, MaxSupplyChecks/len(v.Replicas))) {
		p.supplyCursor = (p.supplyCursor + 1) % len(s.candidates)
		c := &s.candidates[p.supplyCursor]
		switch {
		case !c.c.Live:
		case !c.c.Leaving && c.lackingReplica == "":
			s.reserveSlots(p, v, c, max(1, v.slotsFor(c.owned+c.inbound)), false)
		case c.c.Leaving && c.owned == 0:
			for _, r := range v.Replicas {
				k := slotKey{c.c.Name, r}
				if n := s.spareSlots(p, v, k, c.reservedSlots); n > 0 && len(s.shiftOrder) < MaxShifts {
					s.spare[k] = 0
					s.addShift(shiftKey{c.c.Name, "", r}, n)
				}
			}
		}
	}
}

// planShifts adds the collected shifts to the plan.
func (s *site) planShifts(p *Planner, now time.Duration, v *View, plan *Plan) {
	for _, k := range s.shiftOrder {
		n := s.shiftCounts[k]
		plan.Body.Shifts = append(plan.Body.Shifts, session.Shift{From: k.from, To: k.to, Replica: k.replica, N: n})
		from, to := slotKey{k.from, k.replica}, slotKey{k.to, k.replica}
		p.outgoingShifts[from] = pendingSlots{before: v.slotsAt(from), n: p.outgoingShifts[from].n + n, until: now + ProposalTimeout}
		if k.to != "" {
			p.incomingShifts[to] = pendingSlots{before: v.slotsAt(to) + s.inTransfer[to], n: p.incomingShifts[to].n + n, until: now + ProposalTimeout}
		}
	}
}

// cancelTransfers cancels transfers of slots to co-ordinators that take no more sessions, and transfers that take too long: the
// slots may be in use by a query of the giving co-ordinator that stays open for long.
func (p *Planner) cancelTransfers(now time.Duration, v *View, plan *Plan) {
	if v.Slots == nil {
		return
	}
	for _, t := range v.Slots.Transfers() {
		if t.Stage != pool.Moving || t.Until != 0 || t.To == "" {
			continue
		}
		to := p.site.find(t.To)
		if v.Paused || to == nil || !to.c.Live || to.c.Leaving || now >= p.openTransfers[t.Fence]+SlotTransferTimeout {
			if at, ok := p.cancelledTransfers[t.Fence]; !ok || now >= at+ProposalTimeout {
				p.cancelledTransfers[t.Fence] = now
				plan.Body.CancelledTransfers = append(plan.Body.CancelledTransfers, t.Fence)
			}
		}
	}
}
