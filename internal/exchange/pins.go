package exchange

import (
	"container/heap"
	"time"

	"birchcart/policy"
)

// Pins keeps the queries of a session in order before the decisions see them. It only narrows: a query waits for its turn,
// is turned away, or is given a lesser answer than the decisions gave. Its calls come in the turn and must not block; what
// it wants of a query it says by Release and TurnAway.
type Pins interface {
	// Pinned tells whether a query that names a session is pinned, and takes it if so: it waits for Release or TurnAway. route
	// is that of the table in force, "" for none.
	Pinned(q *Query, route string) bool
	// Begin is asked right before a released query is handed to the decisions: whether it still may begin, and its answer if
	// not. Between the release and here the process may have been stopped.
	Begin(q *Query) (Reply, bool)
	// Final is asked right before the answer of a released query is given: it returns it, or a lesser one.
	Final(q *Query, r Reply) Reply
	// Over tells how a query that was taken has ended, in the turn of its end.
	Over(q *Query, o Over)
}

// Over is how a query that was pinned has ended.
type Over struct {
	Served bool      // with a served answer, whole or not
	Ran    bool      // a part of it ran, or may have
	Until  time.Time // parts of it may still run until then; zero: none is out
}

type (
	release  struct{ q *Query }
	turnAway struct {
		q *Query
		r Reply
	}
)

// Pin has queries that name a session shown to p first. To be called before Run.
func (e *Exchange) Pin(p Pins) { e.pins = p }

// Release hands a query that waits to the decisions. Of one that has ended it does nothing.
func (e *Exchange) Release(q *Query) { e.put(release{q}) }

// TurnAway ends a query that waits or is open with this answer: what is out of it is given up, as if its client had gone.
// Of one that has ended it does nothing.
func (e *Exchange) TurnAway(q *Query, r Reply) { e.put(turnAway{q, r}) }

// hold has a query of a session wait, if it is pinned.
func (e *Exchange) hold(q *query) bool {
	if e.pins == nil || q.Session == "" {
		return false
	}
	route := ""
	if i := e.routeOf(q); i >= 0 {
		route = e.routes.table.Routes[i].Name
	}
	if !e.pins.Pinned(q.Query, route) {
		return false
	}
	q.pinned, q.waits = true, true
	e.byID[q.ID] = q // its id is taken while it waits
	e.held++
	heap.Push(&e.timers, timer{at: q.Due.Add(e.limits.AnswerBy), query: q})
	return true
}

// released opens a query that waited.
func (e *Exchange) released(m *Query) {
	if q := e.byID[m.ID]; q != nil && q.Query == m && q.waits {
		if r, may := e.pins.Begin(m); !may {
			e.endWaiting(q, r)
			return
		}
		e.stopWaiting(q)
		if !e.open(q) {
			e.unpin(q)
		}
	}
}

// stopWaiting takes a query out of those that wait. Its timer lives on.
func (e *Exchange) stopWaiting(q *query) {
	q.waits = false
	delete(e.byID, q.ID)
	e.held--
}

// turnedAway ends a query by the word of its session.
func (e *Exchange) turnedAway(m *Query, r Reply) {
	switch q := e.byID[m.ID]; {
	case q == nil || q.Query != m || q.over:
	case q.waits:
		e.endWaiting(q, r)
	default:
		q.last = &r
		e.events = append(e.events, policy.Event{Kind: policy.ClientLeft, Query: q.id})
		e.leaving = append(e.leaving, q)
	}
}

// endWaiting gives a query that waits its one answer.
func (e *Exchange) endWaiting(q *query, r Reply) {
	e.stopWaiting(q)
	q.over = true
	e.recordEnd(q, r.ending(), 0)
	e.sums.replies[r.Status]++
	q.Reply(r)
	e.unpin(q)
}

// leftWaiting ends a query whose client went while it waited.
func (e *Exchange) leftWaiting(q *query) {
	e.stopWaiting(q)
	q.over = true
	e.sums.left++
	e.recordEnd(q, "left", 0)
	e.unpin(q)
}

// unpin tells the session that a query of it has ended.
func (e *Exchange) unpin(q *query) {
	if !q.pinned {
		return
	}
	q.pinned = false
	o := Over{Served: q.served, Ran: q.ran}
	if q.strays || q.out > 0 {
		o.Ran, o.Until = true, q.Due // the frames carry the deadline: nothing of it runs after
	}
	e.pins.Over(q.Query, o)
}

// attemptOver notes what the end of an attempt says of whether its part ran, or may run still.
func (q *query) attemptOver(o policy.Outcome) {
	q.out--
	switch o {
	case policy.Moot, policy.Unreachable, policy.Rejected:
	case policy.OK, policy.Failed:
		q.ran = true
	default:
		q.ran, q.strays = true, true
	}
}
