package sessionowner

import (
	"slices"

	"birchcart/internal/fleet/session"
)

// slot is a replica and what is in use there. S2 rests on it: used goes up only below held.
type slot struct {
	name        string
	used, quota int
	head, tail  *sessionEntry // whose first waiting query lacks one here, in their order
	blocked     int
	retries     int // of these, how many may try once more
}

// enqueue lets a session wait for its turn.
func (l *slot) enqueue(s *sessionEntry) {
	s.blockedAt = l
	s.prevSlot, s.nextSlot = l.tail, nil
	if l.tail == nil {
		l.head = s
	} else {
		l.tail.nextSlot = s
	}
	l.tail = s
	l.blocked++
}

func (l *slot) dequeue(s *sessionEntry) {
	if s.prevSlot == nil {
		l.head = s.nextSlot
	} else {
		s.prevSlot.nextSlot = s.nextSlot
	}
	if s.nextSlot == nil {
		l.tail = s.prevSlot
	} else {
		s.nextSlot.prevSlot = s.prevSlot
	}
	s.prevSlot, s.nextSlot, s.blockedAt = nil, nil, nil
	l.blocked--
}

func (o *Owner) slotOf(name string) *slot {
	l := o.slots[name]
	if l == nil {
		l = &slot{name: name, quota: o.state.Pool().Held(o.name, name)}
		o.slots[name] = l
		o.slotList = append(o.slotList, l)
	}
	return l
}

// reserveSlots takes a slot at each replica that the query needs, or none and says where one lacks. Where others wait for one it is
// their turn, unless woken says that it is this one's.
func (o *Owner) reserveSlots(q *query, woken *slot) *slot {
	for i, name := range q.replicas {
		l := o.slotOf(name)
		if l.used >= l.quota || l.head != nil && woken == nil {
			for _, name := range q.replicas[:i] {
				o.slots[name].used--
			}
			return l
		}
		l.used++
	}
	return nil
}

// releaseSlots ends the use of a query's slots, and wakes who waits for them.
func (o *Owner) releaseSlots(q *query) {
	for _, name := range q.replicas {
		o.slots[name].used--
	}
	for _, name := range q.replicas {
		l := o.slots[name]
		l.retries = l.blocked
	}
	for {
		var first *slot // whose turn came first, of those where one is free
		for _, name := range q.replicas {
			if l := o.slots[name]; l.mayRetry() && (first == nil || l.head.waitingQueries.head.arrival < first.head.waitingQueries.head.arrival) {
				first = l
			}
		}
		if first == nil {
			break
		}
		o.wakeFirst(first)
	}
	for i := range o.requestedTransfers { // what is left may do now
		if o.requestedTransfers[i].dueAt == 0 {
			o.proposeFreed(&o.requestedTransfers[i])
		}
	}
}

// mayRetry says that one that waits for a slot here may try again.
func (l *slot) mayRetry() bool { return l.retries > 0 && l.head != nil && l.used < l.quota }

// wakeFirst lets the first try again that waits for a slot.
func (o *Owner) wakeFirst(l *slot) {
	l.retries--
	s := l.head
	l.dequeue(s)
	o.startIfOwned(s, l)
	if s.phase == Active && s.blockedAt == nil {
		o.continueSession(s)
	}
}

// refreshSlots takes over how many slots may be used now, and what is asked for.
func (o *Owner) refreshSlots() {
	p := o.state.Pool()
	o.hasSlots = true
	for _, name := range o.options.Replicas {
		o.hasSlots = o.hasSlots && p.Held(o.name, name) > 0
	}
	old := o.requestedTransfers
	o.requestedTransfers = nil
	for _, t := range p.Asked(o.name) {
		proposal := pendingProposal{fence: t.Fence}
		if i := slices.IndexFunc(old, func(previous pendingProposal) bool { return previous.fence == t.Fence }); i >= 0 {
			proposal = old[i]
		}
		o.requestedTransfers = append(o.requestedTransfers, proposal)
	}
	for _, l := range o.slotList {
		l.quota = p.Held(o.name, l.name)
	}
	for i := range o.requestedTransfers {
		if o.requestedTransfers[i].dueAt == 0 {
			o.proposeFreed(&o.requestedTransfers[i])
		}
	}
	for _, l := range o.slotList {
		for l.retries = l.blocked; l.mayRetry(); {
			o.wakeFirst(l)
		}
	}
}

// repeatFreed says again what was said of the slots, as long as it is asked for.
func (o *Owner) repeatFreed() {
	for i := range o.requestedTransfers {
		if o.requestedTransfers[i].dueAt <= o.now {
			o.proposeFreed(&o.requestedTransfers[i])
		}
	}
}

// proposeFreed says that a transfer leaves no more in use here than may be, once that is so.
func (o *Owner) proposeFreed(proposal *pendingProposal) {
	t, ok := o.state.Pool().Transfer(proposal.fence)
	if !ok || !o.mayAct() {
		return
	}
	if l := o.slots[t.Replica]; l != nil && l.used > l.quota {
		return
	}
	proposal.dueAt = o.now + ActRetryInterval
	o.emitAct(session.Act{Kind: session.Freed, Fence: proposal.fence})
}

// trimSlots forgets the replicas of which nothing is held, in use or waited for.
func (o *Owner) trimSlots() {
	o.slotList = slices.DeleteFunc(o.slotList, func(l *slot) bool {
		if l.used > 0 || l.quota > 0 || l.head != nil {
			return false
		}
		delete(o.slots, l.name)
		return true
	})
}
