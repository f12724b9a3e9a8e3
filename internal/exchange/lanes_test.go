package exchange

import (
	"testing"
	"time"

	"birchcart/internal/route"
	"birchcart/policy"
)

// fakeLaneGate returns one verdict for all queries and records the calls to it.
type fakeLaneGate struct {
	verdict  LaneVerdict
	routes   []int // passed to Admit
	outcomes []LaneOutcome
}

func (l *fakeLaneGate) Admit(_ time.Time, _ *Query, route int) LaneVerdict {
	l.routes = append(l.routes, route)
	return l.verdict
}

func (l *fakeLaneGate) QueryEnded(_ time.Time, v LaneVerdict, o LaneOutcome) {
	if v != l.verdict {
		panic("the end of a query with another verdict was reported")
	}
	if o.Took < 0 || o.Took > time.Minute {
		panic("took " + o.Took.String())
	}
	o.Took = 0
	l.outcomes = append(l.outcomes, o)
}

func newLaneFixture(t *testing.T, verdict LaneVerdict) (*fixture, *fakeLaneGate) {
	s, l := newFixture(t, nil), &fakeLaneGate{verdict: verdict}
	s.e.SetLaneGate(l)
	return s, l
}

// A query that the lane gate rejects gets its reply at once, with a Retry-After as the settings allow. Neither the route's gate
// nor the policy sees it.
func TestLaneRejectionSkipsRouteGateAndPolicy(t *testing.T) {
	s, l := newLaneFixture(t, LaneVerdict{Rejected: true, RetryAfter: time.Hour})
	s.setRoutes(route.Spec{Name: "plain", Match: route.Match{Class: "plain"}, Room: route.Room{Queries: 1}})
	s.submit("a", 0, 1)
	if r := s.takeReply(); r.Status != Rejected || r.RetryAfter != time.Second || len(s.takeSent()) > 0 {
		t.Fatalf("%+v", r)
	}
	if s.e.routes.gate.Open(0) != 0 || len(l.outcomes) != 0 || len(l.routes) != 1 || l.routes[0] != 0 {
		t.Errorf("open %d, ends %+v, admission of routes %v", s.e.routes.gate.Open(0), l.outcomes, l.routes)
	}
	s.e.config.RetryAfter = false
	s.submit("b", 0, 1)
	if r := s.takeReply(); r.RetryAfter != 0 {
		t.Errorf("Retry-After is %v though the settings forbid it", r.RetryAfter)
	}
	s.checkNothingHeld()
}

// The lane gate is notified exactly once of the end of each query that it admitted.
func TestLaneGateNotifiedOfEachEnd(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(s *fixture, q *Query, a *Attempt)
		want LaneOutcome
	}{
		"served":      {func(s *fixture, q *Query, a *Attempt) { s.succeed(a, 1, "v") }, LaneOutcome{Status: Served}},
		"client gone": {func(s *fixture, q *Query, a *Attempt) { s.e.ClientGone(q) }, LaneOutcome{ClientGone: true}},
		"failed": {func(s *fixture, q *Query, a *Attempt) {
			s.e.AttemptEnded(Result{Attempt: a, Outcome: policy.ConnectionBroken, At: time.Now()})
		}, LaneOutcome{Status: Failed}},
		"overdue": {func(s *fixture, q *Query, a *Attempt) { s.e.queryOverdue(s.e.byRequestID[q.ID]) }, LaneOutcome{Status: Failed}},
	} {
		s, l := newLaneFixture(t, LaneVerdict{Account: 3, Lane: 1, Class: 2, Cost: 1.5})
		q := s.submit("a", 2, 1)
		a := s.takeSent()
		if len(a) != 1 {
			t.Fatalf("%s: %d sent", name, len(a))
		}
		c.end(s, q, a[0])
		s.e.turn()
		s.e.turn()
		if len(l.outcomes) != 1 || l.outcomes[0] != c.want {
			t.Errorf("%s: ends %+v", name, l.outcomes)
		}
	}
}

// The gate of a route may reject a query that the lane gate admitted; the outcome then says that the policy never saw it.
func TestRouteRejectionReportedToLaneGate(t *testing.T) {
	s, l := newLaneFixture(t, LaneVerdict{Cost: 1})
	s.setRoutes(route.Spec{Name: "plain", Match: route.Match{Class: "plain"}, Room: route.Room{Queries: 1}})
	s.submit("a", 0, 1)
	s.submit("b", 0, 1)
	if want := (LaneOutcome{Status: Rejected, RejectedByRoute: true}); len(l.outcomes) != 1 || l.outcomes[0] != want {
		t.Errorf("%+v", l.outcomes)
	}
}

// The policy gets the verdict's YieldBy combined with the limits of the route, in one value that all such queries share. The
// route's own limits are not changed.
func TestLaneYieldMergedWithRouteLimits(t *testing.T) {
	s, l := newLaneFixture(t, LaneVerdict{YieldBy: 4})
	var seen []policy.Event
	s.e.Observe(func(_ float64, events []policy.Event, _ []policy.Action) {
		for _, ev := range events {
			if ev.Kind == policy.QueryArrived {
				seen = append(seen, ev)
			}
		}
	})
	s.setRoutes(route.Spec{Name: "plain", Match: route.Match{Class: "plain"}, Limits: policy.Limits{Timeout: 1.5}})
	s.submit("a", 0, 1)
	s.submit("b", 0, 2)
	s.submit("c", 2, 1)
	l.verdict.YieldBy = 1
	s.submit("d", 0, 3)
	if len(seen) != 4 || *seen[0].Limits != (policy.Limits{Timeout: 1.5, PromiseDivisor: 4}) || seen[1].Limits != seen[0].Limits || seen[0].Route != 1 {
		t.Fatalf("%+v", seen)
	}
	if *seen[2].Limits != (policy.Limits{PromiseDivisor: 4}) || seen[3].Limits != &s.e.routes.table.Routes[0].Limits || seen[3].Limits.PromiseDivisor != 0 {
		t.Errorf("%+v, %+v", seen[2].Limits, seen[3].Limits)
	}
	for i := range 2 * maxCombinedLimits {
		s.e.limitsOf(&query{inLane: true, laneVerdict: LaneVerdict{YieldBy: 2 + float64(i)}})
	}
	if len(s.e.combinedLimits) > maxCombinedLimits {
		t.Errorf("%d combined limits are kept", len(s.e.combinedLimits))
	}
}
