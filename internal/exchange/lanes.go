package exchange

import (
	"time"

	"birchcart/policy"
)

// LaneGate decides on a query before the decisions see it, by what the whole fleet sheds. It only restricts: a query is rejected
// at once, or goes on to its route's gate and to the decisions, which may reject it still. What was taken is never shed
// later. Its calls come in the turn and must not block.
type LaneGate interface {
	// Admit decides on a query whose turn has come; route is that of the table in force, -1 for none.
	Admit(now time.Time, q *Query, route int) LaneVerdict
	// QueryEnded reports how a query that was taken has ended, in the turn of its end.
	QueryEnded(now time.Time, v LaneVerdict, o LaneOutcome)
}

// LaneVerdict is the decision on one query.
type LaneVerdict struct {
	Rejected   bool
	RetryAfter time.Duration // rejected: when to retry; 0 for no advice
	Account    int           // for Over, as the next three
	Lane       int
	Class      int
	Cost       float64
	YieldBy    float64 // see policy.Limits; under 1: not at all
}

// LaneOutcome is how a query that was taken has ended.
type LaneOutcome struct {
	Status          Status
	ClientGone      bool          // its client went
	RejectedByRoute bool          // its route's gate rejected it: the decisions never saw it
	Took            time.Duration // since it was received
}

// SetLaneGate has queries shown to l first. To be called before Run.
func (e *Exchange) SetLaneGate(g LaneGate) { e.laneGate = g }

// admitToLane asks the lanes about a query. What is rejected is answered at once.
func (e *Exchange) admitToLane(q *query, route int) bool {
	if e.laneGate == nil {
		return true
	}
	q.laneVerdict = e.laneGate.Admit(e.turnAt, q.Query, route)
	if q.laneVerdict.Rejected {
		e.counters.replies[Rejected]++
		q.Reply(Reply{Status: Rejected, RetryAfter: e.retryAfter(q.laneVerdict.RetryAfter)})
		return false
	}
	q.inLane = true
	return true
}

// retryAfter is a Retry-After time as the settings allow it.
func (e *Exchange) retryAfter(after time.Duration) time.Duration {
	if !e.config.RetryAfter {
		return 0
	}
	return min(after, duration(e.config.MaxRetryAfter))
}

// notifyLaneGate notifies the lane gate that a query of its has ended.
func (e *Exchange) notifyLaneGate(q *query, o LaneOutcome) {
	if !q.inLane {
		return
	}
	q.inLane = false
	o.Took = e.turnAt.Sub(q.Received)
	e.laneGate.QueryEnded(e.turnAt, q.laneVerdict, o)
}

// limitKey are limits of a route that yield as a lane says; of no route those are the lane's alone.
type limitKey struct {
	route   *policy.Limits // nil: no route
	yieldBy float64
}

// limits of a query, of its route and its lane together; nil for none. The decisions hold them, so that each pair has one
// place, for as long as the table is in force.
func (e *Exchange) limitsOf(q *query) *policy.Limits {
	var routeLimits *policy.Limits
	if q.routes != nil {
		routeLimits = &q.routes.table.Routes[q.route].Limits
	}
	if !q.inLane || q.laneVerdict.YieldBy <= 1 {
		return routeLimits
	}
	k := limitKey{routeLimits, q.laneVerdict.YieldBy}
	l := e.limitOverrides[k]
	if l == nil {
		if len(e.limitOverrides) >= maxLimitOverrides {
			e.limitOverrides = nil // route tables that are gone
		}
		if e.limitOverrides == nil {
			e.limitOverrides = map[limitKey]*policy.Limits{}
		}
		l = &policy.Limits{}
		if routeLimits != nil {
			*l = *routeLimits
		}
		l.PromiseDivisor = max(l.PromiseDivisor, k.yieldBy)
		e.limitOverrides[k] = l
	}
	return l
}

// maxLimitOverrides pairs of limits and lanes are kept: a thousand routes in eight lanes each.
const maxLimitOverrides = 8192
