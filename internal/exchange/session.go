package exchange

import (
	"container/heap"
	"time"

	"birchcart/policy"
)

// SessionGate keeps the queries of a session in order before the policy sees them. It can delay a query, reject it, or replace its
// reply with a weaker one, for example failed instead of served. All methods are called within a turn and must not block. The gate
// acts on a query that it admitted by calling Exchange.Release and Exchange.Reject.
type SessionGate interface {
	// Admit reports whether a query that names a session is pinned. If so, the gate takes the query, which waits until Release
	// or Reject. route is the name of its route in the current table, "" for none.
	Admit(q *Query, route string) bool
	// MayBegin is called right before a released query is passed to the policy. It returns whether the query may still begin
	// and, if not, the reply: the process may have been stopped since the release.
	MayBegin(q *Query) (Reply, bool)
	// FinalReply is called right before the reply of a released query is sent. It returns that reply or a weaker one.
	FinalReply(q *Query, r Reply) Reply
	// QueryEnded reports how an admitted query ended, in the turn in which it ended.
	QueryEnded(q *Query, o QueryOutcome)
}

// QueryOutcome tells how a pinned query ended.
type QueryOutcome struct {
	Served      bool      // its reply had status Served, complete or not
	Ran         bool      // a part of it ran, or may have run
	MayRunUntil time.Time // parts of it may still run until then; zero: no part is running
}

type (
	releaseQuery struct{ q *Query }
	rejectQuery  struct {
		q *Query
		r Reply
	}
)

// SetSessionGate sets the gate that decides first on queries that name a session. It must be called before Run.
func (e *Exchange) SetSessionGate(g SessionGate) { e.sessionGate = g }

// Release passes a waiting query to the policy. It does nothing if the query is not waiting.
func (e *Exchange) Release(q *Query) { e.enqueue(releaseQuery{q}) }

// Reject ends a waiting or open query with the given reply. Its attempts in flight are given up as if its client had disconnected.
// Reject does nothing if the query has ended.
func (e *Exchange) Reject(q *Query, r Reply) { e.enqueue(rejectQuery{q, r}) }

// admitToSession reports whether a query is pinned to its session; if so, the query waits for the session gate.
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
	e.byRequestID[q.ID] = q // the id is in use while the query waits
	e.openCount++
	heap.Push(&e.timers, timer{at: q.Due.Add(e.limits.AnswerBy), query: q})
	return true
}

// handleRelease opens a waiting query unless the session gate no longer lets it begin.
func (e *Exchange) handleRelease(m *Query) {
	if q := e.byRequestID[m.ID]; q != nil && q.Query == m && q.waiting {
		if r, mayBegin := e.sessionGate.MayBegin(m); !mayBegin {
			e.endWaiting(q, r)
			return
		}
		e.stopWaiting(q)
		if !e.open(q) {
			e.notifySessionGate(q)
		}
	}
}

// stopWaiting removes a query from the waiting ones. Its timer stays, as it may be opened.
func (e *Exchange) stopWaiting(q *query) {
	q.waiting = false
	delete(e.byRequestID, q.ID)
	e.openCount--
}

// handleRejection ends a query with the reply of the session gate.
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

// endWaiting ends a waiting query with its only reply.
func (e *Exchange) endWaiting(q *query, r Reply) {
	e.stopWaiting(q)
	q.closed = true
	e.timers.remove(q.timerIndex)
	e.recordEnd(q, r.recordStatus(), 0)
	e.counters.replies[r.Status]++
	q.Reply(r)
	e.notifySessionGate(q)
}

// clientGoneWaiting ends a waiting query whose client has disconnected.
func (e *Exchange) clientGoneWaiting(q *query) {
	e.stopWaiting(q)
	q.closed = true
	e.timers.remove(q.timerIndex)
	e.counters.abandoned++
	e.recordEnd(q, "left", 0)
	e.notifySessionGate(q)
}

// notifySessionGate notifies the session gate once that a pinned query has ended.
func (e *Exchange) notifySessionGate(q *query) {
	if !q.pinned {
		return
	}
	q.pinned = false
	o := QueryOutcome{Served: q.served, Ran: q.ran}
	if q.mayStillRun || q.openAttempts > 0 {
		o.Ran, o.MayRunUntil = true, q.Due // frames carry the deadline, and replicas run no part after it
	}
	e.sessionGate.QueryEnded(q.Query, o)
}

// recordAttemptEnd records whether a part ran, or may still be running, by the outcome of its attempt.
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
