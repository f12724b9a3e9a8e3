package exchange

import (
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/policy"
)

// newQuery returns a query without submitting it.
func (s *fixture) newQuery(id string, class int, shards ...int) *Query {
	now := time.Now()
	q := &Query{ID: id, Class: class, Tenant: -1, Received: now, Due: now.Add(2 * time.Second), Text: []byte("t")}
	for _, shard := range shards {
		q.Parts = append(q.Parts, Part{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	q.Reply = func(r Reply) { s.replies = append(s.replies, r) }
	return q
}

// checkNothingSent runs some turns and checks that they sent no attempt and no reply, and that no query or part is left open.
func (s *fixture) checkNothingSent() {
	s.Helper()
	for range 3 {
		s.e.turn()
	}
	if sent := s.takeSent(); len(sent) != 0 || len(s.replies) != 0 {
		s.Errorf("%d attempts were sent and %d replies given", len(sent), len(s.replies))
	}
	s.checkNothingHeld()
}

// One goroutine submits a query and another reports that its client has disconnected, so the report may come in the same turn as
// the query, or before it. No part of the query is sent, and its id is free.
func TestClientGoneAroundSubmit(t *testing.T) {
	for name, steps := range map[string]func(s *fixture, q *Query){
		"after Submit, same turn":    func(s *fixture, q *Query) { s.e.Submit(q); s.e.ClientGone(q) },
		"before Submit, same turn":   func(s *fixture, q *Query) { s.e.ClientGone(q); s.e.Submit(q) },
		"before Submit, turn before": func(s *fixture, q *Query) { s.e.ClientGone(q); s.e.turn(); s.e.Submit(q) },
		"before and after Submit":    func(s *fixture, q *Query) { s.e.ClientGone(q); s.e.Submit(q); s.e.ClientGone(q) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, nil)
			steps(s, s.newQuery("q", 0, 1, 2))
			s.checkNothingSent()
			s.submit("q", 0, 1)
			if len(s.takeSent()) != 1 {
				t.Error("the id is still in use")
			}
		})
	}
}

// answerFirstStep submits a query with two steps, answers its first step, and calls leave with it. The next turn would start the
// second step.
func (s *fixture) answerFirstStep(leave func(q *Query)) {
	q := s.submit("q", 1, 1, 2, 3)
	for _, a := range s.takeSent() {
		s.succeed(a, int64(a.Shard), "first")
	}
	leave(q)
}

// If the client disconnects in the turn that starts the second step, or while its parts wait for the next turn, none of them is sent.
func TestClientGoneAsSecondStepOpens(t *testing.T) {
	for name, waits := range map[string]bool{"in the turn that opens it": false, "while its parts are deferred": true} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, nil)
			s.answerFirstStep(func(q *Query) {
				if waits {
					s.e.turn()
					if len(s.e.deferred) == 0 {
						t.Fatal("the second step was not started")
					}
				}
				s.e.ClientGone(q)
			})
			s.checkNothingSent()
		})
	}
}

// When the client disconnects during the second step, both a part that is not yet written and one that is are cancelled.
func TestClientGoneDuringSecondStep(t *testing.T) {
	s := newFixture(t, func(c *config.Config) { c.Limits.CallParts = 1 })
	var submitted *Query
	s.answerFirstStep(func(q *Query) { submitted = q })
	s.e.turn()
	s.e.turn()
	sent := s.takeSent()
	if len(sent) != 2 || sent[0].Previous == nil {
		t.Fatalf("%d sent", len(sent))
	}
	s.replicas.written[sent[1]] = false
	s.replicas.log = nil
	s.e.ClientGone(submitted)
	s.e.turn()
	for _, a := range sent {
		if !slices.Contains(s.replicas.log, "withdraw "+a.ID) {
			t.Errorf("%s was not cancelled: %v", a.ID, s.replicas.log)
		}
	}
	s.checkNothingSent()
}

// Where the settings forbid cancelling, a part that is not yet written is still withdrawn when the client disconnects.
func TestClientGoneWithoutCancellation(t *testing.T) {
	s := newFixture(t, func(c *config.Config) { c.Policy.Cancel = false })
	q := s.submit("q", 0, 1, 2)
	sent := s.takeSent()
	s.replicas.written[sent[1]] = false
	s.replicas.log = nil
	s.e.ClientGone(q)
	s.e.turn()
	if !slices.Equal(s.replicas.log, []string{"unsend " + sent[1].ID}) {
		t.Errorf("%v", s.replicas.log)
	}
	s.e.AttemptEnded(Result{Attempt: sent[0], Outcome: policy.OK, At: time.Now()})
	s.checkNothingSent()
}

// The last value and the report that the client has disconnected come in the same turn. There is at most one reply, and none if the
// report comes first.
func TestClientGoneInTurnOfLastValue(t *testing.T) {
	for _, goneFirst := range []bool{true, false} {
		s := newFixture(t, nil)
		q := s.submit("q", 0, 1)
		a := s.takeSent()[0]
		if goneFirst {
			s.e.ClientGone(q)
		}
		s.succeed(a, 1, "v")
		if !goneFirst {
			s.e.ClientGone(q)
		}
		s.e.turn()
		if goneFirst == (len(s.replies) == 1) || len(s.replies) > 1 {
			t.Errorf("client gone first %v: %d replies", goneFirst, len(s.replies))
		}
		s.replies = nil
		s.checkNothingSent()
	}
}

// An overdue query fails once. A value in the same turn and a disconnect of its client afterwards cause no second reply and no
// further attempt.
func TestOverdueQueryFailsOnce(t *testing.T) {
	s := newFixture(t, nil)
	q := s.submit("q", 0, 1, 2)
	sent := s.takeSent()
	s.replicas.log = nil
	s.succeed(sent[0], 1, "v")
	s.succeed(sent[1], 1, "v")
	for i := range s.e.timers {
		if s.e.timers[i].query != nil {
			s.e.timers[i].at = time.Time{}
			s.e.timers[0], s.e.timers[i] = s.e.timers[i], s.e.timers[0]
		}
	}
	s.e.turn()
	if r := s.takeReply(); r.Status != Failed {
		t.Errorf("%+v", r)
	}
	if strings.Contains(strings.Join(s.replicas.log, " "), "send") {
		t.Errorf("%v", s.replicas.log)
	}
	s.e.ClientGone(q)
	s.checkNothingSent()
}

// The deadline of an attempt is the earlier of the query's deadline and the policy's attempt timeout.
func TestAttemptDeadline(t *testing.T) {
	for tryFor, fullTime := range map[float64]bool{0: true, 60: true, 1: false} {
		s := newFixture(t, nil)
		q := s.submit("q", 0, 1)
		s.e.send(&policy.Action{
			Verb: policy.Send, Part: s.e.byRequestID["q"].parts[0].id, Replica: s.e.replicasByName["r0"].Replica, AttemptTimeout: tryFor,
		})
		if a := s.e.outgoing[0].attempts[0]; a.Due.Equal(q.Due) != fullTime || a.Due.After(q.Due) {
			t.Errorf("attempt timeout %v s: due %v after the query", tryFor, a.Due.Sub(q.Due))
		}
	}
}

// Retries and attempts of the second step are due no later than the query, whose time counts from its arrival.
func TestLaterAttemptsKeepQueryDeadline(t *testing.T) {
	s := newFixture(t, nil)
	q := s.submit("q", 1, 1, 2)
	first := s.takeSent()
	s.e.AttemptEnded(Result{Attempt: first[0], Outcome: policy.Failed, At: time.Now()})
	s.e.turn()
	retries := s.takeSent()
	if len(retries) != 1 {
		t.Fatalf("%d retries", len(retries))
	}
	s.succeed(retries[0], 1, "v")
	s.succeed(first[1], 1, "v")
	s.e.turn()
	s.e.turn()
	second := s.takeSent()
	if len(second) != 2 || second[0].Previous == nil {
		t.Fatalf("%d attempts in the second step", len(second))
	}
	for _, a := range slices.Concat(retries, second) {
		if a.Due.After(q.Due) {
			t.Errorf("%s is due %v after its query", a.ID, a.Due.Sub(q.Due))
		}
	}
}
