package exchange

import (
	"time"

	"birchcart/policy"
)

// LaneGate decides whether to admit a query, by the load shedding of the whole fleet, before the policy sees it. It rejects the
// query at once or passes it on to its route's gate and the policy, either of which may still reject it. An admitted query is
// never shed later. All methods are called within a turn and must not block.
type LaneGate interface {
	// Admit decides on a query that is about to be opened. route is its index in the current table, -1 for none.
	Admit(now time.Time, q *Query, route int) LaneVerdict
	// QueryEnded reports how an admitted query ended, in the turn in which it ended.
	QueryEnded(now time.Time, v LaneVerdict, o LaneOutcome)
}

// LaneVerdict is the decision of a LaneGate on one query. An exchange passes it back to QueryEnded unchanged.
type LaneVerdict struct {
	Rejected   bool
	RetryAfter time.Duration // if rejected: when to retry; 0 for no advice
	Account    int           // for QueryEnded, as are the next three
	Lane       int
	Class      int
	Cost       float64
	YieldBy    float64 // see policy.Limits.PromiseDivisor; no effect at 1 or less
}

// LaneOutcome tells how an admitted query ended.
type LaneOutcome struct {
	Status          Status
	ClientGone      bool          // its client disconnected
	RejectedByRoute bool          // its route's gate rejected it, so the policy never saw it
	Took            time.Duration // since the query was received
}

// SetLaneGate sets the gate that decides on each query before its route's gate does. It must be called before Run.
func (e *Exchange) SetLaneGate(g LaneGate) { e.laneGate = g }

// admitToLane asks the lane gate about a query and replies at once if it is rejected.
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

// retryAfter limits a Retry-After time to what the settings allow; 0 if they allow none.
func (e *Exchange) retryAfter(after time.Duration) time.Duration {
	if !e.config.RetryAfter {
		return 0
	}
	return min(after, duration(e.config.MaxRetryAfter))
}

// notifyLaneGate notifies the lane gate once that a query it admitted has ended.
func (e *Exchange) notifyLaneGate(q *query, o LaneOutcome) {
	if !q.inLane {
		return
	}
	q.inLane = false
	o.Took = e.turnAt.Sub(q.Received)
	e.laneGate.QueryEnded(e.turnAt, q.laneVerdict, o)
}

// limitKey identifies the combined limits of a route and a lane.
type limitKey struct {
	route          *policy.Limits // nil: no route
	promiseDivisor float64
}

// limitsOf returns the combined limits of a query's route and lane, nil for none. The policy keeps the pointer, so all
// queries with the same route and lane share one value while the route's table is in use.
func (e *Exchange) limitsOf(q *query) *policy.Limits {
	var routeLimits *policy.Limits
	if q.routes != nil {
		routeLimits = &q.routes.table.Routes[q.route].Limits
	}
	if !q.inLane || q.laneVerdict.YieldBy <= 1 {
		return routeLimits
	}
	k := limitKey{routeLimits, q.laneVerdict.YieldBy}
	l := e.combinedLimits[k]
	if l == nil {
		if len(e.combinedLimits) >= maxCombinedLimits {
			e.combinedLimits = nil // drops the limits of replaced tables
		}
		if e.combinedLimits == nil {
			e.combinedLimits = map[limitKey]*policy.Limits{}
		}
		l = &policy.Limits{}
		if routeLimits != nil {
			*l = *routeLimits
		}
		l.PromiseDivisor = max(l.PromiseDivisor, k.promiseDivisor)
		e.combinedLimits[k] = l
	}
	return l
}

// maxCombinedLimits limits the cache of combined limits: a thousand routes in eight lanes each.
const maxCombinedLimits = 8192
