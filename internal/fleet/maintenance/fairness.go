package maintenance

import (
	"fmt"
	"time"
)

// W5. A request that waits while later ones of others are granted is passed over. Passed over MaxPassedOver times, it
// reserves its turn: of all who wait so, the first (urgent before routine, then by asking) is the head, and no grant
// takes what the head needs: a shard, the last place in its zone, the last place in all, capacity, the voters' one.
// What shares none of these goes on.
//
// An urgent request does not pass the head: with a steady stream of urgent ones a routine one would wait for ever. It
// gives up little, since the head only holds what it needs itself, and the head can not hold it for ever: it gives up
// its turn as long as it can not go by anything that is granted or ended, as with its machine gone, or too few holders
// of its shard left for good. Machines of one request do not count as passing each other, nor do they yield to each other:
// there is an end to them, and the planner is free to order them in waves. Since heads are ordered, no two wait for
// each other.

// isWaiting: e could be granted as far as its own times go.
func (s *State) isWaiting(now time.Duration, e *entry) bool {
	return e.Phase == Pending && now >= e.req.Earliest && (e.req.Latest == 0 || now <= e.req.Latest)
}

func (s *State) hasReservedTurn(e *entry) bool { return e.PassedOver >= s.limits.MaxPassedOver }

// before: by rank, urgent first, then in the order of asking.
func precedes(a, b *entry) bool {
	if a.req.Priority != b.req.Priority {
		return a.req.Priority > b.req.Priority
	}
	return a.seq < b.seq
}

// reservedHead is the reserved item that e has to leave room for; nil if there is none.
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

// canEverBeGranted: the end of what is in the plan now could let it go. While that is not so it holds no turn.
func (s *State) canEverBeGranted(now time.Duration, e *entry) bool {
	m, l := s.machines[e.Machine], &s.limits
	if m == nil || m.Status == Gone || m.inMaintenance(now) || l.MaxOut < 1 || l.MaxOutPerZone < 1 {
		return false
	}
	t, removed := s.inventorySums(now), 1
	if s.isFlapping(m, now) {
		removed = 0
	}
	if m.Voter && t.votersPresent-removed < l.MinVoters {
		return false
	}
	if m.Kind != Replica {
		return true
	}
	if m.Cell < 0 || m.Cell >= l.Cells {
		return false
	}
	left, _, ok := l.fewestHolders(t.present, m.Cell, removed)
	return !ok || left >= l.MinHolders
}

// checkReservation says what of the head's e would take.
func (s *State) checkReservation(now time.Duration, e, head *entry) error {
	m, o, t, l := s.machines[e.Machine], s.machines[head.Machine], s.inventorySums(now), &s.limits
	resource := ""
	switch {
	case m.Kind == Replica && o.Kind == Replica && l.shareShard(m.Cell, o.Cell):
		resource = "a shard"
	case t.out+2 > l.MaxOut:
		resource = "the last place"
	case m.Zone == o.Zone && t.zones[m.Zone]+2 > l.MaxOutPerZone:
		resource = "the last place in its zone"
	case m.Voter && o.Voter:
		resource = "the voters' one place"
	case m.Kind == Replica && o.Kind == Replica && s.capacityTooSmall(t, m, o, now):
		resource = "capacity"
	default:
		return nil
	}
	return fmt.Errorf("W5: %s, passed over %d times, has reserved %s", head.Machine, head.PassedOver, resource)
}

// capacityTooSmall: with both out, the capacity left does not cover the load.
func (s *State) capacityTooSmall(t *inventorySums, m, o *machine, now time.Duration) bool {
	left := t.readySize
	for _, x := range []*machine{m, o} {
		if s.isReady(x, now) {
			left -= x.size()
		}
	}
	return left < s.requiredCapacity()
}

// shareShard: two cells hold a shard in common.
func (l *Limits) shareShard(a, b int) bool {
	d := a - b
	if d < 0 {
		d = -d
	}
	return min(d, l.Cells-d) < l.Reach
}

// countPassedOver counts the grant of e against all that wait before it, before it is made. Past MaxPassedOver only a grant that
// takes what the head has reserved counts, which Check finds.
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
