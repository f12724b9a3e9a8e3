package sessionowner

import (
	"slices"

	"birchcart/internal/fleet/session"
)

// slot counts the slots of this co-ordinator at one replica. S2 depends on it: used grows only while it is below quota.
type slot struct {
	name        string
	used, quota int
	head, tail  *sessionEntry // queue of sessions whose first waiting query needs a slot here
	blocked     int           // length of the queue
	retries     int           // how many sessions of the queue may still try again in this round
}

// enqueue appends a session to the queue.
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

// reserveSlots takes a slot at each replica that the query needs and returns nil, or takes none and returns the first slot that is not
// available. A slot for which other sessions are queued is not available, unless woken says that it is this session's turn.
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

// releaseSlots frees the slots of a query and wakes the sessions that are queued for them.
func (o *Owner) releaseSlots(q *query) {
	for _, name := range q.replicas {
		o.slots[name].used--
	}
	for _, name := range q.replicas {
		l := o.slots[name]
		l.retries = l.blocked
	}
	for {
		var first *slot // of those with a free slot, the one whose first queued query arrived first
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
	for i := range o.requestedTransfers { // fewer slots are in use now, so a transfer may be complete
		if o.requestedTransfers[i].dueAt == 0 {
			o.proposeFreed(&o.requestedTransfers[i])
		}
	}
}

// mayRetry reports whether a session in the queue may try again.
func (l *slot) mayRetry() bool { return l.retries > 0 && l.head != nil && l.used < l.quota }

// wakeFirst lets the first session in the queue try again.
func (o *Owner) wakeFirst(l *slot) {
	l.retries--
	s := l.head
	l.dequeue(s)
	o.startIfOwned(s, l)
	if s.phase == Active && s.blockedAt == nil {
		o.continueSession(s)
	}
}

// refreshSlots takes the number of slots that may be used, and the requested transfers, from the agreed state.
func (o *Owner) refreshSlots() {
	p := o.state.Pool()
	o.hasSlots = true
	for _, name := range o.options.Replicas {
		o.hasSlots = o.hasSlots && p.Held(o.name, name) > 0
	}
	old := o.requestedTransfers
	o.requestedTransfers = nil
	for _, t := range p.PendingReleases(o.name) {
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

// repeatFreed repeats the Freed acts that are due, as long as their transfers are requested.
func (o *Owner) repeatFreed() {
	for i := range o.requestedTransfers {
		if o.requestedTransfers[i].dueAt <= o.now {
			o.proposeFreed(&o.requestedTransfers[i])
		}
	}
}

// proposeFreed proposes the Freed act of a transfer, once no more slots are in use here than the quota that the transfer leaves.
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

// trimSlots removes the replicas at which no slot is held, in use or queued for.
func (o *Owner) trimSlots() {
	o.slotList = slices.DeleteFunc(o.slotList, func(l *slot) bool {
		if l.used > 0 || l.quota > 0 || l.head != nil {
			return false
		}
		delete(o.slots, l.name)
		return true
	})
}
