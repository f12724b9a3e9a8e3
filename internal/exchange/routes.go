package exchange

import (
	"github.com/sirupsen/logrus"

	"birchcart/internal/admission"
	"birchcart/internal/route"
)

// routeState is a route table with the state of its gate and its counters. A query keeps the routeState by which it was admitted,
// so a new table does not affect it.
type routeState struct {
	table    *route.Table
	gate     *admission.Gate
	counters []routeCounters
}

// routeCounters counts the queries of one route since the last summary.
type routeCounters struct {
	admitted, complete, partial, refused, failed int
	rejected                                     [len(admission.Reasons)]int // by the route's gate, by reason
}

// SetRoutes sets the route table for queries opened from now on, nil for none. It may be called from any goroutine. The new table's
// query limits count from zero: queries already open still count against the table by which they were admitted.
func (e *Exchange) SetRoutes(t *route.Table) {
	if t == nil {
		e.enqueue(&routeState{})
		return
	}
	rules := make([]admission.Rule, len(t.Routes))
	for i := range t.Routes {
		rules[i] = admission.Rule(t.Routes[i].Room)
	}
	e.enqueue(&routeState{table: t, gate: admission.New(rules, len(e.names.Tenants), e.config.Seed), counters: make([]routeCounters, len(rules))})
}

// handleRoutes replaces the route table.
func (e *Exchange) handleRoutes(r *routeState) {
	if e.routes = r; r.table == nil {
		e.routes = nil
	}
}

// routeOf returns the index of a query's route in the current table, -1 for none.
func (e *Exchange) routeOf(q *query) int {
	if e.routes == nil {
		return -1
	}
	return e.routes.table.Find(&route.Query{
		Front: q.Front, Class: q.Class, Tenant: q.Tenant, Retry: q.Retry, Header: q.Header,
		Shards: func(yield func(int) bool) {
			for _, p := range q.Parts {
				if !yield(p.Shard) {
					return
				}
			}
		},
	})
}

// admit finds a query's route, then asks the lane gate and the route's gate. It replies at once if either rejects the query.
func (e *Exchange) admit(q *query) bool {
	r := e.routes
	i := e.routeOf(q)
	if !e.admitToLane(q, i) {
		return false
	}
	if i < 0 {
		return true
	}
	d := r.gate.Admit(e.turnAt, i, q.Tenant, q.Client, q.Retry)
	if d.Reason != admission.Admitted {
		r.counters[i].rejected[d.Reason]++
		e.counters.replies[Rejected]++
		e.notifyLaneGate(q, LaneOutcome{Status: Rejected, RejectedByRoute: true})
		q.Reply(Reply{Status: Rejected, RetryAfter: e.retryAfter(d.After)})
		return false
	}
	q.routes, q.route = r, i
	r.counters[i].admitted++
	return true
}

// releaseRoute tells the gate of a query's route that the query has ended, so that it no longer counts as open.
func (e *Exchange) releaseRoute(q *query) {
	if q.routes != nil {
		q.routes.gate.Release(q.route)
	}
}

// countReply counts the reply of a query in the counters of its route.
func (q *query) countReply(r Reply) {
	if q.routes == nil {
		return
	}
	s := &q.routes.counters[q.route]
	switch {
	case r.Status == Served && r.Complete:
		s.complete++
	case r.Status == Served:
		s.partial++
	case r.Status == Rejected:
		s.refused++
	default:
		s.failed++
	}
}

// logRoutes logs the counters of each route that had queries since the last summary, then resets them.
func (e *Exchange) logRoutes() {
	if e.routes == nil {
		return
	}
	for i := range e.routes.counters {
		s := &e.routes.counters[i]
		if *s == (routeCounters{}) {
			continue
		}
		f := logrus.Fields{
			"route": e.routes.table.Routes[i].Name, "taken": s.admitted, "whole": s.complete, "short": s.partial, "refused": s.refused, "failed": s.failed,
			"open": e.routes.gate.Open(i),
		}
		for reason := admission.Admitted + 1; int(reason) < len(admission.Reasons); reason++ {
			if n := s.rejected[reason]; n > 0 {
				f["turned_away_"+admission.Reasons[reason]] = n
			}
		}
		e.log.WithFields(f).Info("route")
		*s = routeCounters{}
	}
}
