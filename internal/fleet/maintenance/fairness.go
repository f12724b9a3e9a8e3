package maintenance

import (
	"fmt"
	"time"
)

// Rule W5 keeps requests from starving. A pending item is passed over when a later item of another request is granted. Once
// passed over MaxPassedOver times, it reserves its turn: the first of the reserved items (urgent before routine, then in
// request order) is the head, and no grant may take what the head needs: one of its shards, the last slot in its zone, the last
// slot in total, capacity, or the single voter slot. Grants that take none of these proceed.
//
// Urgent requests do not bypass the head, because a steady stream of them would starve a routine request. The cost to them is
// small: the head reserves only what it needs itself, and not indefinitely. It loses its reservation while nothing that is
// granted or ends could make it grantable, for example when its machine is gone or too few holders of one of its shards remain.
// Machines of one request neither pass over nor yield to each other: their number is finite, and the planner may order
// them in waves. Reserved items are totally ordered, so no two of them wait for each other.

// isWaiting reports whether e is pending and now lies between its earliest and latest times.
func (s *State) isWaiting(now time.Duration, e *entry) bool {
	return e.Phase == Pending && now >= e.req.Earliest && (e.req.Latest == 0 || now <= e.req.Latest)
}

// hasReservedTurn reports whether e was passed over often enough to reserve its turn.
func (s *State) hasReservedTurn(e *entry) bool { return e.PassedOver >= s.limits.MaxPassedOver }

// precedes orders items by priority, urgent first, then by request order.
func precedes(a, b *entry) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority > b.req.Priority
	}
	return a.seq < b.seq
}

// reservedHead returns the reserved item whose resources e must leave free, or nil if there is none.
func (s *State) reservedHead(now time.Duration, e *entry) *entry {
	var head *entry
	for _, o := range s.inventorySums(now).reserved {
		if o.Request == e.Request || !s.isWaiting(now, o) || s.hasReservedTurn(e) && !precedes(o, e) ||
			head != nil && !precedes(o, head) {
			continue
		}
		if s.canEverBeGranted(now, o) {
			head = o
		}
	}
	return head
}

// canEverBeGranted reports whether e could be granted once all current maintenance has ended. An item for which this is false
// holds no reservation.
func (s *State) canEverBeGranted(now time.Duration, e *entry) bool {
	m, l := s.machines[e.Machine], &s.limits
	if m == nil || m.Status == Gone || m.inMaintenance(now) || l.MaxOut < 1 || l.MaxOutPerZone < 1 {
		return false
	}
	sums, removed := s.inventorySums(now), 1
	if s.isFlapping(m, now) {
		removed = 0
	}
	if m.Voter && sums.votersPresent-removed < l.MinVoters {
		return false
	}
	if m.Kind != Replica {
		return true
	}
	if m.Cell < 0 || m.Cell >= l.Cells {
		return false
	}
	left, _, ok := l.fewestHolders(sums.present, m.Cell, removed)
	return !ok || left >= l.MinHolders
}

// checkReservation returns an error if granting e would take a resource that the reserved item head needs.
func (s *State) checkReservation(now time.Duration, e, head *entry) error {
	m, other, sums, l := s.machines[e.Machine], s.machines[head.Machine], s.inventorySums(now), &s.limits
	resource := ""
	switch {
	case m.Kind == Replica && other.Kind == Replica && l.shareShard(m.Cell, other.Cell):
		resource = "a shard"
	case sums.out+2 > l.MaxOut:
		resource = "the last slot"
	case m.Zone == other.Zone && sums.zones[m.Zone]+2 > l.MaxOutPerZone:
		resource = "the last slot in its zone"
	case m.Voter && other.Voter:
		resource = "the voter slot"
	case m.Kind == Replica && other.Kind == Replica && s.capacityTooSmall(sums, m, other, now):
		resource = "capacity"
	default:
		return nil
	}
	return fmt.Errorf("W5: %s, passed over %d times, has reserved %s", head.Machine, head.PassedOver, resource)
}

// capacityTooSmall reports whether the capacity left with both machines out would not cover the load with headroom.
func (s *State) capacityTooSmall(sums *inventorySums, m, other *machine, now time.Duration) bool {
	left := sums.readySize
	for _, x := range []*machine{m, other} {
		if s.isReady(x, now) {
			left -= x.size()
		}
	}
	return left < s.requiredCapacity()
}

// shareShard reports whether two cells hold a shard in common.
func (l *Limits) shareShard(a, b int) bool {
	d := a - b
	if d < 0 {
		d = -d
	}
	return min(d, l.Cells-d) < l.Reach
}

// countPassedOver increments PassedOver of the waiting items that a grant of e passes over; it runs before e is granted. The
// count stops at MaxPassedOver unless the grant takes what the head has reserved, which Check then reports.
func (s *State) countPassedOver(e *entry) {
	head := s.reservedHead(s.now, e)
	for _, o := range s.open {
		if o.seq >= e.seq || o.Request == e.Request || !s.isWaiting(s.now, o) || s.machines[o.Machine].inMaintenance(s.now) {
			continue
		}
		if o.PassedOver < s.limits.MaxPassedOver {
			o.PassedOver++
		}
	}
	if head != nil && s.checkReservation(s.now, e, head) != nil {
		head.PassedOver++
	}
}
