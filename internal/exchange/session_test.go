package exchange

import (
	"container/heap"
	"slices"
	"testing"
	"time"

	"birchcart/policy"
)

// fakeSessionGate pins each query that names a session, other than the session "open", and records the calls to it.
type fakeSessionGate struct {
	admitted   []*Query
	outcomes   []QueryOutcome
	finalReply func(Reply) Reply
	beginReply *Reply // the reply to a released query instead of letting it begin
}

func (p *fakeSessionGate) Admit(q *Query, _ string) bool {
	if q.Session == "open" {
		return false
	}
	p.admitted = append(p.admitted, q)
	return true
}
func (p *fakeSessionGate) MayBegin(*Query) (Reply, bool) {
	if p.beginReply != nil {
		return *p.beginReply, false
	}
	return Reply{}, true
}
func (p *fakeSessionGate) FinalReply(_ *Query, r Reply) Reply {
	if p.finalReply != nil {
		return p.finalReply(r)
	}
	return r
}
func (p *fakeSessionGate) QueryEnded(_ *Query, o QueryOutcome) { p.outcomes = append(p.outcomes, o) }

func newSessionFixture(t *testing.T) (*fixture, *fakeSessionGate) {
	s, p := newFixture(t, nil), &fakeSessionGate{}
	s.e.SetSessionGate(p)
	return s, p
}

// submitInSession submits a query of a session and runs a turn.
func (s *fixture) submitInSession(session, id string, class int) *Query {
	now := time.Now()
	q := &Query{ID: id, Class: class, Tenant: -1, Received: now, Due: now.Add(2 * time.Second), Text: []byte("t"), Session: session,
		Parts: []Part{{Shard: 0, Weight: 1}}}
	q.Reply = func(r Reply) { s.replies = append(s.replies, r) }
	s.e.Submit(q)
	s.e.turn()
	return q
}

func TestPinnedQueryWaitsForRelease(t *testing.T) {
	s, p := newSessionFixture(t)
	q := s.submitInSession("k", "a", 0)
	if len(s.takeSent()) != 0 || len(p.admitted) != 1 || len(s.replies) != 0 {
		t.Fatal("the query did not wait")
	}
	s.submitInSession("k", "a", 0) // its id is in use
	if len(s.replies) != 1 || s.replies[0].Status != Conflict {
		t.Fatalf("%+v", s.replies)
	}
	s.e.Release(q)
	s.e.Release(q) // the second does nothing
	s.e.turn()
	sent := s.takeSent()
	if len(sent) != 1 {
		t.Fatalf("%d sent", len(sent))
	}
	s.e.AttemptEnded(Result{Attempt: sent[0], Outcome: policy.OK, At: time.Now(), Value: []byte("v")})
	s.e.turn()
	s.e.turn()
	if len(s.replies) != 2 || s.replies[1].Status != Served {
		t.Fatalf("%+v", s.replies)
	}
	if want := []QueryOutcome{{Served: true, Ran: true}}; !slices.Equal(p.outcomes, want) {
		t.Errorf("%+v", p.outcomes)
	}
	s.e.Reject(q, Reply{Status: Failed}) // has no effect after the end
	s.e.turn()
	if len(s.replies) != 2 || len(p.outcomes) != 1 {
		t.Error("the query ended twice")
	}
	s.checkNothingHeld()
	s.submitInSession("open", "b", 0) // this session is not pinned
	if len(s.takeSent()) != 1 || len(p.admitted) != 1 {
		t.Error("a query that is not pinned waited")
	}
}

// A waiting query can be rejected by its session, lose its client or become overdue. Each ends it at once with nothing sent, and a
// later release has no effect.
func TestWaitingQueryEnds(t *testing.T) {
	for name, end := range map[string]func(s *fixture, q *Query){
		"rejected": func(s *fixture, q *Query) {
			s.e.Reject(q, Reply{Status: Rejected, RetryAfter: time.Second, Owner: "c2"})
		},
		"client gone": func(s *fixture, q *Query) { s.e.ClientGone(q) },
		"overdue": func(s *fixture, q *Query) {
			i := slices.IndexFunc(s.e.timers, func(t timer) bool { return t.query != nil })
			s.e.timers[i].at = time.Now()
			heap.Init(&s.e.timers)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newSessionFixture(t)
			q := s.submitInSession("k", "a", 2)
			end(s, q)
			s.e.turn()
			s.e.Release(q) // too late
			s.e.turn()
			if len(s.takeSent()) != 0 || !slices.Equal(p.outcomes, []QueryOutcome{{}}) {
				t.Errorf("attempts were sent, or the outcomes are %+v", p.outcomes)
			}
			switch {
			case name == "client gone" && len(s.replies) == 0:
			case name == "overdue" && len(s.replies) == 1 && s.replies[0].Status == Rejected:
			case name == "rejected" && len(s.replies) == 1 && s.replies[0].Owner == "c2" && s.replies[0].RetryAfter == time.Second:
			default:
				t.Errorf("%+v", s.replies)
			}
			s.checkNothingHeld()
		})
	}
}

// A query that is released but may no longer begin, because the lease was lost since then, is not sent. It gets a reply after
// which a retry is safe, and its outcome says that no part ran.
func TestReleasedQueryRecheckedBeforeStart(t *testing.T) {
	s, p := newSessionFixture(t)
	q := s.submitInSession("k", "a", 2)
	p.beginReply = &Reply{Status: Rejected, RetryAfter: time.Second}
	s.e.Release(q)
	s.e.turn()
	s.e.turn()
	if len(s.takeSent()) != 0 || !slices.Equal(p.outcomes, []QueryOutcome{{}}) {
		t.Errorf("attempts were sent, or the outcomes are %+v", p.outcomes)
	}
	if len(s.replies) != 1 || s.replies[0].Status != Rejected || s.replies[0].RetryAfter != time.Second {
		t.Errorf("%+v", s.replies)
	}
	s.checkNothingHeld()
}

// An open query that its session rejects gets that reply in the same turn. The session gate is told that its part may run until
// the query's deadline.
func TestOpenPinnedQueryRejected(t *testing.T) {
	s, p := newSessionFixture(t)
	q := s.submitInSession("k", "a", 2)
	s.e.Release(q)
	s.e.turn()
	if len(s.takeSent()) != 1 {
		t.Fatal("not sent")
	}
	s.e.Reject(q, Reply{Status: Failed})
	s.e.turn()
	if len(s.replies) != 1 || s.replies[0].Status != Failed {
		t.Fatalf("%+v", s.replies)
	}
	if want := []QueryOutcome{{Ran: true, MayRunUntil: q.Due}}; !slices.Equal(p.outcomes, want) {
		t.Errorf("%+v", p.outcomes)
	}
	s.e.turn()
	if len(s.replies) != 1 {
		t.Error("a second reply")
	}
}

// The session gate may replace the policy's reply, for example when the query may no longer be served.
func TestSessionGateOverridesReply(t *testing.T) {
	s, p := newSessionFixture(t)
	q := s.submitInSession("k", "a", 2)
	s.e.Release(q)
	s.e.turn()
	p.finalReply = func(r Reply) Reply { return Reply{Status: Failed} }
	s.e.AttemptEnded(Result{Attempt: s.takeSent()[0], Outcome: policy.OK, At: time.Now(), Value: []byte("v")})
	s.e.turn()
	s.e.turn()
	if len(s.replies) != 1 || s.replies[0].Status != Failed || len(s.replies[0].Values) != 0 {
		t.Fatalf("%+v", s.replies)
	}
	if want := []QueryOutcome{{Ran: true}}; !slices.Equal(p.outcomes, want) {
		t.Errorf("%+v", p.outcomes)
	}
	s.checkNothingHeld()
}
