package exchange

import (
	"time"

	"birchcart/policy"
)

// Lanes decide on a query before the decisions see it, by what the whole fleet sheds. It only narrows: a query is turned away
// at once, or goes on to its route's gate and to the decisions, which may turn it away still. What was taken is never shed
// later. Its calls come in the turn and must not block.
type Lanes interface {
	// Enter decides on a query whose turn has come; route is that of the table in force, -1 for none.
	Enter(now time.Time, q *Query, route int) Entered
	// Over tells how a query that was taken has ended, in the turn of its end.
	Over(now time.Time, e Entered, o LaneOver)
}

// Entered is the word on one query.
type Entered struct {
	Refused bool
	After   time.Duration // refused: when to come back; 0 for no advice
	Account int           // for Over, as the next three
	Lane    int
	Class   int
	Cost    float64
	YieldBy float64 // see policy.Limits; under 1: not at all
}

// LaneOver is how a query that was taken has ended.
type LaneOver struct {
	Status Status
	Left   bool          // its client went
	Gate   bool          // its route's gate turned it away: the decisions never saw it
	Took   time.Duration // since it was received
}

// Lane has queries shown to l first. To be called before Run.
func (e *Exchange) Lane(l Lanes) { e.lanes = l }

// enter asks the lanes about a query. What is turned away is told so at once.
func (e *Exchange) enter(q *query, route int) bool {
	if e.lanes == nil {
		return true
	}
	q.entered = e.lanes.Enter(e.turned, q.Query, route)
	if q.entered.Refused {
		e.sums.replies[Refused]++
		q.Reply(Reply{Status: Refused, After: e.comeBack(q.entered.After)})
		return false
	}
	q.laned = true
	return true
}

// comeBack is a time to come back as the settings allow it.
func (e *Exchange) comeBack(after time.Duration) time.Duration {
	if !e.cfg.RetryAfter {
		return 0
	}
	return min(after, duration(e.cfg.MaxRetryAfter))
}

// outOfLane tells the lanes that a query of theirs has ended.
func (e *Exchange) outOfLane(q *query, o LaneOver) {
	if !q.laned {
		return
	}
	q.laned = false
	o.Took = e.turned.Sub(q.Received)
	e.lanes.Over(e.turned, q.entered, o)
}

// bounded are limits of a route that yield as a lane says; of no route those are the lane's alone.
type bounded struct {
	of *policy.Limits // nil: no route
	by float64
}

// limits of a query, of its route and its lane together; nil for none. The decisions hold them, so that each pair has one
// place, for as long as the table is in force.
func (e *Exchange) limitsOf(q *query) *policy.Limits {
	var of *policy.Limits
	if q.way != nil {
		of = &q.way.table.Routes[q.route].Limits
	}
	if !q.laned || q.entered.YieldBy <= 1 {
		return of
	}
	k := bounded{of, q.entered.YieldBy}
	l := e.yielding[k]
	if l == nil {
		if len(e.yielding) >= yieldingMost {
			e.yielding = nil // of tables that are gone
		}
		if e.yielding == nil {
			e.yielding = map[bounded]*policy.Limits{}
		}
		l = &policy.Limits{}
		if of != nil {
			*l = *of
		}
		l.YieldBy = max(l.YieldBy, k.by)
		e.yielding[k] = l
	}
	return l
}

// yieldingMost pairs of limits and lanes are kept: a thousand routes in eight lanes each.
const yieldingMost = 8192
