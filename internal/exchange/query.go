package exchange

import (
	"container/heap"
	"strconv"

	"birchcart/policy"
)

// handleQuery takes a query in, or turns it away before it reaches the decisions: what is full or malformed, or was left.
func (e *Exchange) handleQuery(m *Query) {
	e.counters.queries++
	if e.isClientGone(m) { // nobody waits for it, and the news of that may have come before it
		e.counters.clientsGone++
		return
	}
	if e.byRequestID[m.ID] != nil { // the ids of its parts are at replicas, or may be still
		e.counters.replies[Conflict]++
		m.Reply(Reply{Status: Conflict})
		return
	}
	if e.limits.Held > 0 && e.openCount >= e.limits.Held {
		e.counters.rejectedFull++
		m.Reply(Reply{Status: Rejected, RetryAfter: e.limits.ComeBack})
		return
	}
	q := &query{Query: m, id: e.newID(), step: 1}
	e.recordQuery(q)
	if !e.admitToSession(q) {
		e.open(q)
	}
}

// open hands a query to the decisions, or tells that its route's gate rejected it.
func (e *Exchange) open(q *query) bool {
	m := q.Query
	if !e.admit(q) {
		q.closed = true
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

// newPart enters a part and returns the event that tells of it.
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

// handleClientGone tells the decisions that a query's client has gone. The query is closed when the turn's actions are done: what
// they sent for it before they came to this event has an end then like any other.
func (e *Exchange) handleClientGone(m *Query) {
	if q := e.byRequestID[m.ID]; q != nil && q.Query == m && q.waiting {
		e.clientGoneWaiting(q)
	} else if q != nil && q.Query == m && !q.closed {
		e.events = append(e.events, policy.Event{Kind: policy.ClientLeft, Query: q.id})
		e.clientsGone = append(e.clientsGone, q)
	}
}

// closeGoneClients closes the queries whose clients have gone in this turn.
func (e *Exchange) closeGoneClients() {
	for _, q := range e.clientsGone {
		switch {
		case q.closed:
		case q.sessionReply != nil:
			e.finish(q.id, *q.sessionReply)
		default:
			e.counters.clientsGone++
			e.recordEnd(q, "left", 0)
			e.close(q, LaneOutcome{ClientGone: true})
		}
	}
	clear(e.clientsGone)
	e.clientsGone = e.clientsGone[:0]
}

// queryOverdue guards against a query that nobody ended: its client is told, and the decisions drop it. The id of one
// that has ended is free from now on.
func (e *Exchange) queryOverdue(q *query) {
	if e.byRequestID[q.ID] == q {
		delete(e.byRequestID, q.ID)
	}
	if q.closed {
		return
	}
	e.log.WithField("query", q.ID).Error("a query was still open after its end")
	if q.waiting {
		e.endWaiting(q, Reply{Status: Rejected, RetryAfter: e.limits.ComeBack}) // nothing of it ran
		return
	}
	e.events = append(e.events, policy.Event{Kind: policy.ClientLeft, Query: q.id})
	e.close(q, LaneOutcome{Status: Failed})
	e.counters.replies[Failed]++
	q.Reply(Reply{Status: Failed})
}

// close forgets a query; attempts that are out live on until they end.
func (e *Exchange) close(q *query, o LaneOutcome) {
	q.closed = true
	e.releaseRoute(q)
	e.notifyLaneGate(q, o)
	delete(e.queries, q.id)
	e.openCount--
	e.closeStep(q)
	if !q.sent {
		delete(e.byRequestID, q.ID)
	}
	q.Text = nil // its timers live on for a while
	e.notifySessionGate(q)
}

// closeStep ends the parts of a step. Those still out can be cancelled until their end is told.
func (e *Exchange) closeStep(q *query) {
	e.openCount -= len(q.parts)
	for _, pt := range q.parts {
		for _, a := range pt.attempts {
			// What is not yet written must not go after the end, whether or not it may be cancelled.
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
