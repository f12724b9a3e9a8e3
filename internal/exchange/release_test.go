package exchange

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
	"weak"

	"birchcart/internal/config"
	"birchcart/policy"
)

// largeValue returns a value and a weak pointer that is nil once the value has been released.
func largeValue() ([]byte, weak.Pointer[byte]) {
	value := make([]byte, 60<<10)
	return value, weak.Make(&value[0])
}

// Guards against values that stay in memory until the deadline of a query that has ended: its timers kept them reachable.
func TestEndedQueryReleasesValues(t *testing.T) {
	for name, end := range map[string]func(s *fixture, q *Query){
		"answered": func(s *fixture, _ *Query) {
			for _, a := range s.takeSent() {
				s.succeed(a, 1, "last")
			}
		},
		"client gone": func(s *fixture, q *Query) { s.e.ClientGone(q) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, nil)
			q := s.submit("q", 0, 1, 2)
			sent := s.takeSent()
			value, released := largeValue()
			s.e.AttemptEnded(Result{Attempt: sent[0], Outcome: policy.OK, At: time.Now(), Score: 1, Value: value})
			s.replicas.sent = sent[1:]
			s.e.turn()
			end(s, q)
			for range 3 {
				s.e.turn()
			}
			s.replies, s.replicas.calls, s.replicas.sent = nil, nil, nil
			clear(s.replicas.written)
			clear(sent)
			runtime.GC()
			if released.Value() != nil {
				t.Error("the value is still in memory")
			}
			if len(s.e.byRequestID) != 1 {
				t.Error("the id is free although its parts have been sent")
			}
			runtime.KeepAlive(s)
		})
	}
}

// Guards against a flood of rejected queries, each of which stays in memory until its deadline.
func TestRejectedQueryKeepsNoTimer(t *testing.T) {
	const queries, unheld = 100, 2
	s := newFixture(t, func(c *config.Config) { c.Policy.Cells = 4 }) // there is no replica in the cells of shard unheld
	for i := range queries {
		q := s.newQuery(fmt.Sprint("q", i), 0, unheld)
		q.Due = time.Now().Add(time.Hour)
		s.e.Submit(q)
		s.e.turn()
		if r := s.takeReply(); r.Status != Rejected {
			t.Fatalf("%+v, want a rejection", r)
		}
	}
	s.checkNothingHeld()
	if i := slices.IndexFunc(s.e.timers, func(t timer) bool { return t.query != nil }); i >= 0 {
		t.Errorf("the timer of query %s is left", s.e.timers[i].query.ID)
	}
}
