package exchange

import (
	"fmt"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/route"
	"birchcart/policy"
)

func (s *fixture) setRoutes(specs ...route.Spec) {
	s.Helper()
	table, err := route.Compile(append(specs, route.Spec{Name: "rest", Default: true}), s.e.names, 4)
	if err != nil {
		s.Fatal(err)
	}
	s.e.SetRoutes(table)
}

// A query over its route's limit of open queries is rejected at once with a Retry-After, and the policy never sees it.
func TestRouteQueryLimitRejects(t *testing.T) {
	s := newFixture(t, nil)
	s.setRoutes(route.Spec{Name: "plain", Match: route.Match{Class: "plain"}, Room: route.Room{Queries: 1}})
	s.submit("a", 0, 1)
	a := s.takeSent()[0]
	s.submit("b", 0, 1)
	if r := s.takeReply(); r.Status != Rejected || r.RetryAfter <= 0 || r.RetryAfter > time.Second || len(s.takeSent()) > 0 {
		t.Fatalf("%+v", r)
	}
	s.submit("other", 2, 1) // another class has its own route
	other := s.takeSent()[0]
	for _, sent := range []*Attempt{a, other} {
		s.succeed(sent, 1, "v")
		s.e.turn()
		s.takeReply()
	}
	s.submit("c", 0, 1)
	if sent := s.takeSent(); len(sent) != 1 {
		t.Errorf("a query after the end of the first was not admitted: %d sent", len(sent))
	} else {
		s.succeed(sent[0], 1, "v")
		s.e.turn()
		s.takeReply()
	}
	s.checkNothingHeld()
}

// When routes are reloaded under load, open queries keep the limits under which they were admitted, new ones get the new limits,
// and each query gets one reply.
func TestRoutesReloadedUnderLoad(t *testing.T) {
	s := newFixture(t, nil)
	s.setRoutes(route.Spec{Name: "plain", Match: route.Match{Class: "plain"}, Limits: policy.Limits{Timeout: 1.5}, Room: route.Room{Queries: 5}})
	s.submit("old", 0, 1)
	old := s.takeSent()[0]
	s.setRoutes(route.Spec{Name: "plain", Match: route.Match{Class: "plain"}, Limits: policy.Limits{Timeout: 0.05}, Room: route.Room{Queries: 1}})
	s.submit("new", 0, 2)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.e.turn()
	}
	if len(s.replies) != 1 { // the new query has timed out, the old one has not
		t.Fatalf("%d replies", len(s.replies))
	}
	s.replies = nil
	s.succeed(old, 1, "v")
	s.e.turn()
	if r := s.takeReply(); r.Status != Served {
		t.Errorf("%+v", r)
	}
	s.takeSent()
}

// Routes that are reloaded before each of many queries leave no query open or counted.
func TestRepeatedRouteReloadsLeaveNothingOpen(t *testing.T) {
	s := newFixture(t, func(c *config.Config) { c.Policy.Resolution = 0 })
	for i := range 2000 {
		s.setRoutes(route.Spec{Name: "plain", Match: route.Match{Class: "plain"}, Limits: policy.Limits{MaxAttempts: 1 + i%3}, Room: route.Room{Queries: 1 + i%7}})
		s.submit(fmt.Sprint("q", i), 0, 1)
		sent := s.takeSent()
		if len(sent) != 1 {
			t.Fatalf("%d: %d sent", i, len(sent))
		}
		s.succeed(sent[0], 1, "v")
		s.e.turn()
		s.takeReply()
	}
	if len(s.e.queries) > 0 || s.e.routes.gate.Open(0) != 0 {
		t.Errorf("%d queries held, %d open", len(s.e.queries), s.e.routes.gate.Open(0))
	}
}
