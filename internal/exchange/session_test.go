package exchange

import (
	"container/heap"
	"slices"
	"testing"
	"time"

	"birchcart/policy"
)

// fakeSessionGate notes what it is told, and takes all that names a session.
type fakeSessionGate struct {
	admitted   []*Query
	outcomes   []QueryOutcome
	finalReply func(Reply) Reply
	beginReply *Reply // what a released query is told instead of beginning
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

// submitInSession asks a query of a session; what of it goes out is written.
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
		t.Fatal("it did not wait")
	}
	s.submitInSession("k", "a", 0) // its id is taken
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
	s.e.Reject(q, Reply{Status: Failed}) // after its end: nothing
	s.e.turn()
	if len(s.replies) != 2 || len(p.outcomes) != 1 {
		t.Error("a second end")
	}
	s.checkNothingHeld()
	s.submitInSession("open", "b", 0) // route no pinned class
	if len(s.takeSent()) != 1 || len(p.admitted) != 1 {
		t.Error("what is not pinned waited")
	}
}

// While it waits, a query is rejected at once, may be left by its client, and is never late; nothing of it is sent.
func TestWaitingQueryEnds(t *testing.T) {
	for name, end := range map[string]func(s *fixture, q *Query){
		"turned away": func(s *fixture, q *Query) {
			s.e.Reject(q, Reply{Status: Rejected, RetryAfter: time.Second, Owner: "c2"})
		},
		"left": func(s *fixture, q *Query) { s.e.ClientGone(q) },
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
				t.Errorf("sent, or told %+v", p.outcomes)
			}
			switch {
			case name == "left" && len(s.replies) == 0:
			case name == "overdue" && len(s.replies) == 1 && s.replies[0].Status == Rejected:
			case name == "turned away" && len(s.replies) == 1 && s.replies[0].Owner == "c2" && s.replies[0].RetryAfter == time.Second:
			default:
				t.Errorf("%+v", s.replies)
			}
			s.checkNothingHeld()
		})
	}
}

// A release that comes after the lease was lost begins nothing: what is told then is harmless, and nothing ran.
func TestReleasedQueryRecheckedBeforeStart(t *testing.T) {
	s, p := newSessionFixture(t)
	q := s.submitInSession("k", "a", 2)
	p.beginReply = &Reply{Status: Rejected, RetryAfter: time.Second}
	s.e.Release(q)
	s.e.turn()
	s.e.turn()
	if len(s.takeSent()) != 0 || !slices.Equal(p.outcomes, []QueryOutcome{{}}) {
		t.Errorf("sent, or told %+v", p.outcomes)
	}
	if len(s.replies) != 1 || s.replies[0].Status != Rejected || s.replies[0].RetryAfter != time.Second {
		t.Errorf("%+v", s.replies)
	}
	s.checkNothingHeld()
}

// An open one that is rejected gets that answer in the same turn; its part may run until its time, and is told so.
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
		t.Error("a second answer")
	}
}

// The answer of the decisions is given only as the session says: one that may not be served any more is not.
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
