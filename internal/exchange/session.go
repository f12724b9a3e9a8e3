package exchange

import (
	"container/heap"
	"time"

	"birchcart/policy"
)

// SessionGate keeps the queries of a session in order before the decisions see them. It only restricts: a query waits for its turn,
// is rejected, or is given a lesser answer than the decisions gave. Its calls come in the turn and must not block; what
// it wants of a query it says by Release and Reject.
type SessionGate interface {
	// Admit tells whether a query that names a session is pinned, and takes it if so: it waits for Release or Reject. route
	// is that of the table in force, "" for none.
	Admit(q *Query, route string) bool
	// MayBegin is asked right before a released query is handed to the decisions: whether it still may begin, and its answer if
	// not. Between the release and here the process may have been stopped.
	MayBegin(q *Query) (Reply, bool)
	// FinalReply is asked right before the answer of a released query is given: it returns it, or a lesser one.
	FinalReply(q *Query, r Reply) Reply
	// QueryEnded reports how a query that was taken has ended, in the turn of its end.
	QueryEnded(q *Query, o QueryOutcome)
}

// QueryOutcome is how a query that was pinned has ended.
type QueryOutcome struct {
	Served      bool      // with a served answer, complete or not
	Ran         bool      // a part of it ran, or may have
	MayRunUntil time.Time // parts of it may still run until then; zero: none is out
}

type (
	releaseQuery struct{ q *Query }
	rejectQuery  struct {
		q *Query
		r Reply
	}
)

// SetSessionGate has queries that name a session shown to p first. To be called before Run.
func (e *Exchange) SetSessionGate(g SessionGate) { e.sessionGate = g }

// Release hands a query that waits to the decisions. Of one that has ended it does nothing.
func (e *Exchange) Release(q *Query) { e.enqueue(releaseQuery{q}) }

// Reject ends a query that waits or is open with this answer: what is out of it is given up, as if its client had gone.
// Of one that has ended it does nothing.
func (e *Exchange) Reject(q *Query, r Reply) { e.enqueue(rejectQuery{q, r}) }

// admitToSession has a query of a session wait, if it is pinned.
func (e *Exchange) admitToSession(q *query) bool {
	if e.sessionGate == nil || q.Session == "" {
		return false
	}
	route := ""
	if i := e.routeOf(q); i >= 0 {
		route = e.routes.table.Routes[i].Name
	}
	if !e.sessionGate.Admit(q.Query, route) {
		return false
	}
	q.pinned, q.waiting = true, true
	e.byRequestID[q.ID] = q // its id is taken while it waits
	e.openCount++
	heap.Push(&e.timers, timer{at: q.Due.Add(e.limits.AnswerBy), query: q})
	return true
}

// handleRelease opens a query that waited.
func (e *Exchange) handleRelease(m *Query) {
	if q := e.byRequestID[m.ID]; q != nil && q.Query == m && q.waiting {
		if r, may := e.sessionGate.MayBegin(m); !may {
			e.endWaiting(q, r)
			return
		}
		e.stopWaiting(q)
		if !e.open(q) {
			e.notifySessionGate(q)
		}
	}
}

// stopWaiting takes a query out of those that wait. Its timer lives on.
func (e *Exchange) stopWaiting(q *query) {
	q.waiting = false
	delete(e.byRequestID, q.ID)
	e.openCount--
}

// handleRejection ends a query with the answer of its session gate.
func (e *Exchange) handleRejection(m *Query, r Reply) {
	switch q := e.byRequestID[m.ID]; {
	case q == nil || q.Query != m || q.closed:
	case q.waiting:
		e.endWaiting(q, r)
	default:
		q.sessionReply = &r
		e.events = append(e.events, policy.Event{Kind: policy.ClientLeft, Query: q.id})
		e.clientsGone = append(e.clientsGone, q)
	}
}

// endWaiting gives a query that waits its one answer.
func (e *Exchange) endWaiting(q *query, r Reply) {
	e.stopWaiting(q)
	q.closed = true
	e.recordEnd(q, r.recordStatus(), 0)
	e.counters.replies[r.Status]++
	q.Reply(r)
	e.notifySessionGate(q)
}

// clientGoneWaiting ends a query whose client went while it waited.
func (e *Exchange) clientGoneWaiting(q *query) {
	e.stopWaiting(q)
	q.closed = true
	e.counters.clientsGone++
	e.recordEnd(q, "left", 0)
	e.notifySessionGate(q)
}

// notifySessionGate notifies the session gate that a query has ended.
func (e *Exchange) notifySessionGate(q *query) {
	if !q.pinned {
		return
	}
	q.pinned = false
	o := QueryOutcome{Served: q.served, Ran: q.ran}
	if q.mayStillRun || q.openAttempts > 0 {
		o.Ran, o.MayRunUntil = true, q.Due // the frames carry the deadline: nothing of it runs after
	}
	e.sessionGate.QueryEnded(q.Query, o)
}

// recordAttemptEnd notes what the end of an attempt says of whether its part ran, or may run still.
func (q *query) recordAttemptEnd(o policy.Outcome) {
	q.openAttempts--
	switch o {
	case policy.NotSent, policy.Unreachable, policy.Rejected:
	case policy.OK, policy.Failed:
		q.ran = true
	default:
		q.ran, q.mayStillRun = true, true
	}
}
