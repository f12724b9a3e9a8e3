package exchange

import (
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/policy"
)

// newQuery is one that is not yet submitted.
func (s *fixture) newQuery(id string, class int, shards ...int) *Query {
	now := time.Now()
	q := &Query{ID: id, Class: class, Tenant: -1, Received: now, Due: now.Add(2 * time.Second), Text: []byte("t")}
	for _, shard := range shards {
		q.Parts = append(q.Parts, Part{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	q.Reply = func(r Reply) { s.replies = append(s.replies, r) }
	return q
}

// checkNothingSent checks that nothing was sent or answered in some turns, and that nothing is held.
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

// A client may go in the moment in which its query is handed on, by another goroutine than sees it go: the news of it then
// comes with the query, or even before. Nothing of it is sent, and its id is free.
func TestClientGoneAroundSubmit(t *testing.T) {
	for name, steps := range map[string]func(s *fixture, q *Query){
		"behind it in its turn":    func(s *fixture, q *Query) { s.e.Submit(q); s.e.ClientGone(q) },
		"before it in its turn":    func(s *fixture, q *Query) { s.e.ClientGone(q); s.e.Submit(q) },
		"in the turn before it":    func(s *fixture, q *Query) { s.e.ClientGone(q); s.e.turn(); s.e.Submit(q) },
		"twice, and on both sides": func(s *fixture, q *Query) { s.e.ClientGone(q); s.e.Submit(q); s.e.ClientGone(q) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, nil)
			steps(s, s.newQuery("q", 0, 1, 2))
			s.checkNothingSent()
			s.submit("q", 0, 1)
			if len(s.takeSent()) != 1 {
				t.Error("the id is not free")
			}
		})
	}
}

// answerFirstStep has a query's first step answered; with the next turn its second would begin.
func (s *fixture) answerFirstStep(leave func(q *Query)) {
	q := s.submit("q", 1, 1, 2, 3)
	for _, a := range s.takeSent() {
		s.succeed(a, int64(a.Shard), "first")
	}
	leave(q)
}

// A client that goes as its second step opens, or when that waits for its turn, has none of it sent.
func TestClientGoneAsSecondStepOpens(t *testing.T) {
	for name, waits := range map[string]bool{"in the turn that opens it": false, "while its parts wait": true} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, nil)
			s.answerFirstStep(func(q *Query) {
				if waits {
					s.e.turn()
					if len(s.e.deferred) == 0 {
						t.Fatal("no second step")
					}
				}
				s.e.ClientGone(q)
			})
			s.checkNothingSent()
		})
	}
}

// A part of a second step that waits for its connection when the client goes is taken back, and what was written is
// given up.
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
			t.Errorf("%s is out still: %v", a.ID, s.replicas.log)
		}
	}
	s.checkNothingSent()
}

// Where a query may not be cancelled, what of it is not written is taken back all the same when its client goes.
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

// The last value and the news that the client has gone come in one turn: there is one answer at most, whichever is first.
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
			t.Errorf("left first %v: %d replies", goneFirst, len(s.replies))
		}
		s.replies = nil
		s.checkNothingSent()
	}
}

// A query whose end has passed is failed once: not again by the value that comes in the same turn, nor by its client's
// leaving. What of it is out is given up.
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

// An attempt has no more time than its client, nor than the decisions give it.
func TestAttemptDeadline(t *testing.T) {
	for tryFor, fullTime := range map[float64]bool{0: true, 60: true, 1: false} {
		s := newFixture(t, nil)
		q := s.submit("q", 0, 1)
		s.e.send(&policy.Action{
			Verb: policy.Send, Part: s.e.byRequestID["q"].parts[0].id, Replica: s.e.replicasByName["r0"].Replica, AttemptTimeout: tryFor,
		})
		if a := s.e.outgoing[0].attempts[0]; a.Due.Equal(q.Due) != fullTime || a.Due.After(q.Due) {
			t.Errorf("tried for %v s: due %v after the client", tryFor, a.Due.Sub(q.Due))
		}
	}
}

// Nor has a further attempt, or one of a second step, more time than the client: it counts from the query's arrival.
func TestLaterAttemptsKeepQueryDeadline(t *testing.T) {
	s := newFixture(t, nil)
	q := s.submit("q", 1, 1, 2)
	first := s.takeSent()
	s.e.AttemptEnded(Result{Attempt: first[0], Outcome: policy.Failed, At: time.Now()})
	s.e.turn()
	retries := s.takeSent()
	if len(retries) != 1 {
		t.Fatalf("%d further attempts", len(retries))
	}
	s.succeed(retries[0], 1, "v")
	s.succeed(first[1], 1, "v")
	s.e.turn()
	s.e.turn()
	second := s.takeSent()
	if len(second) != 2 || second[0].Previous == nil {
		t.Fatalf("%d attempts of a second step", len(second))
	}
	for _, a := range slices.Concat(retries, second) {
		if a.Due.After(q.Due) {
			t.Errorf("%s is due %v after its client", a.ID, a.Due.Sub(q.Due))
		}
	}
}
