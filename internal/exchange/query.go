package exchange

import (
	"container/heap"
	"strconv"

	"birchcart/policy"
)

// handleQuery opens a query, or rejects it before the policy sees it: if its id is in use or the exchange is full. It drops a query
// whose client has already disconnected.
func (e *Exchange) handleQuery(m *Query) {
	e.counters.queries++
	if e.isClientGone(m) { // nobody waits for a reply; the clientGone message may have come first
		e.counters.abandoned++
		return
	}
	if e.byRequestID[m.ID] != nil { // replicas may still hold parts with the same ids
		e.counters.replies[Conflict]++
		m.Reply(Reply{Status: Conflict})
		return
	}
	if e.limits.Held > 0 && e.openCount >= e.limits.Held {
		e.counters.rejectedFull++
		m.Reply(Reply{Status: Rejected, RetryAfter: e.limits.ComeBack})
		return
	}
	q := &query{Query: m, id: e.newID(), step: 1, timerIndex: noTimer}
	e.recordQuery(q)
	if !e.admitToSession(q) {
		e.open(q)
	}
}

// open passes a query to the policy. It returns false if the lane gate or the gate of its route rejected the query.
func (e *Exchange) open(q *query) bool {
	m := q.Query
	if !e.admit(q) {
		q.closed = true
		e.timers.remove(q.timerIndex)
		e.recordEnd(q, "refused", 0)
		return false
	}
	e.queries[q.id], e.byRequestID[m.ID] = q, q
	e.openCount++
	ev := policy.Event{
		Kind: policy.QueryArrived, Query: q.id, Group: q.id, Class: m.Class, Tenant: m.Tenant,
		Deadline: e.policyTime(m.Due), Count: len(m.Parts), Retry: m.Retry,
	}
	if q.routes != nil {
		ev.Route = q.route + 1
	}
	ev.Limits = e.limitsOf(q)
	for _, p := range m.Parts {
		ev.Work += p.Work
	}
	e.events = append(e.events, ev)
	for _, p := range m.Parts {
		e.events = append(e.events, e.newPart(q, &part{shard: p.Shard}, p.Weight, p.Work))
	}
	if !q.pinned {
		heap.Push(&e.timers, timer{at: m.Due.Add(e.limits.AnswerBy), query: q})
	}
	return true
}

func (e *Exchange) newID() uint64 {
	e.lastID++
	return e.lastID
}

// newPart adds a part to a query and returns the event that reports it to the policy.
func (e *Exchange) newPart(q *query, pt *part, weight, work float64) policy.Event {
	pt.id, pt.query = e.newID(), q
	pt.frameID = q.ID + "." + strconv.Itoa(pt.shard)
	if q.step == 2 {
		pt.frameID += ".load"
	}
	q.parts = append(q.parts, pt)
	e.parts[pt.id] = pt
	e.openCount++
	return policy.Event{
		Kind: policy.PartArrived, Part: pt.id, Group: q.id, Class: q.Class, Tenant: -1, Shard: pt.shard,
		Weight: weight, Work: work,
	}
}

// handleClientGone tells the policy that the client of a query has disconnected. The query is closed only after the turn's actions:
// the policy may send attempts for it before it handles this event, and they must end like any others.
func (e *Exchange) handleClientGone(m *Query) {
	if q := e.byRequestID[m.ID]; q != nil && q.Query == m && q.waiting {
		e.clientGoneWaiting(q)
	} else if q != nil && q.Query == m && !q.closed {
		e.events = append(e.events, policy.Event{Kind: policy.ClientLeft, Query: q.id})
		e.clientsGone = append(e.clientsGone, q)
	}
}

// closeGoneClients closes the queries whose clients disconnected, or whose session rejected them, in this turn.
func (e *Exchange) closeGoneClients() {
	for _, q := range e.clientsGone {
		switch {
		case q.closed:
		case q.sessionReply != nil:
			e.finish(q.id, *q.sessionReply)
		default:
			e.counters.abandoned++
			e.recordEnd(q, "left", 0)
			e.close(q, LaneOutcome{ClientGone: true})
		}
	}
	clear(e.clientsGone)
	e.clientsGone = e.clientsGone[:0]
}

// queryOverdue handles a query whose deadline, and the time for closing it, have passed. It fails the query if it is still open, and
// makes the policy drop it. The id of the query is free from then on.
func (e *Exchange) queryOverdue(q *query) {
	if e.byRequestID[q.ID] == q {
		delete(e.byRequestID, q.ID)
	}
	if q.closed {
		return
	}
	e.log.WithField("query", q.ID).Error("query still open after its deadline")
	if q.waiting {
		e.endWaiting(q, Reply{Status: Rejected, RetryAfter: e.limits.ComeBack}) // no part of it was sent
		return
	}
	e.events = append(e.events, policy.Event{Kind: policy.ClientLeft, Query: q.id})
	e.close(q, LaneOutcome{Status: Failed})
	e.counters.replies[Failed]++
	q.Reply(Reply{Status: Failed})
}

// close closes a query and removes it from the open ones. Attempts in flight are kept until they end.
func (e *Exchange) close(q *query, o LaneOutcome) {
	q.closed = true
	e.releaseRoute(q)
	e.notifyLaneGate(q, o)
	delete(e.queries, q.id)
	e.openCount--
	e.closeStep(q)
	q.parts = nil
	if !q.sent {
		delete(e.byRequestID, q.ID)
		e.timers.remove(q.timerIndex)
	}
	q.Text, q.Header = nil, nil // the id stays in use until the timer is due, and with it the query
	e.notifySessionGate(q)
}

// closeStep closes the parts of a step and releases their values. A part with attempts in flight is kept, so that the policy can
// cancel them, until they end.
func (e *Exchange) closeStep(q *query) {
	e.openCount -= len(q.parts)
	for _, pt := range q.parts {
		pt.value = nil
		for _, a := range pt.attempts {
			// An attempt that is not yet written must not be sent after the step, even if the settings forbid cancelling.
			if !a.ended {
				e.cancelUnsent(a)
			}
		}
		if !pt.inFlight() {
			delete(e.parts, pt.id)
		}
	}
}

func (pt *part) inFlight() bool {
	for _, a := range pt.attempts {
		if !a.ended {
			return true
		}
	}
	return false
}
