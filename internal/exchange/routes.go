package exchange

import (
	"github.com/sirupsen/logrus"

	"birchcart/internal/admission"
	"birchcart/internal/route"
)

// setRoutes is one table in force, with the state of its gate and its sums. Queries keep the one that they were taken
// under, so a new table changes nothing for them.
type routeState struct {
	table    *route.Table
	gate     *admission.Gate
	counters []routeCounters
}

// routeCounters count by route since the last summary.
type routeCounters struct {
	admitted, complete, partial, refused, failed int
	rejected                                     [len(admission.Reasons)]int // away before the decisions, by reason
}

// SetRoutes puts a table into force for queries from now on, nil for none. It may be called from anywhere. Rooms begin
// empty: what is open was taken under the table before.
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

// handleRoutes takes a new table.
func (e *Exchange) handleRoutes(r *routeState) {
	if e.routes = r; r.table == nil {
		e.routes = nil
	}
}

// routeOf finds a query's route in the table in force; -1 for none.
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

// admit finds a query's route and asks the lanes and its gate. What is rejected is answered at once.
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

// releaseRoute gives back the room of a query that has ended.
func (e *Exchange) releaseRoute(q *query) {
	if q.routes != nil {
		q.routes.gate.Release(q.route)
	}
}

// countReply takes the end of a query into its route's sums.
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

// logRoutes logs a line for each route on which something happened.
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
