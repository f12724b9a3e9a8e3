package exchange

import (
	"container/heap"
	"slices"
	"testing"
	"time"

	"birchcart/policy"
)

// pinning notes what it is told, and takes all that names a session.
type pinning struct {
	held  []*Query
	overs []QueryOutcome
	final func(Reply) Reply
	begin *Reply // what a released query is told instead of beginning
}

func (p *pinning) Admit(q *Query, _ string) bool {
	if q.Session == "open" {
		return false
	}
	p.held = append(p.held, q)
	return true
}
func (p *pinning) MayBegin(*Query) (Reply, bool) {
	if p.begin != nil {
		return *p.begin, false
	}
	return Reply{}, true
}
func (p *pinning) FinalReply(_ *Query, r Reply) Reply {
	if p.final != nil {
		return p.final(r)
	}
	return r
}
func (p *pinning) QueryEnded(_ *Query, o QueryOutcome) { p.overs = append(p.overs, o) }

func newPinned(t *testing.T) (*stand, *pinning) {
	s, p := newStand(t, nil), &pinning{}
	s.e.SetSessionGate(p)
	return s, p
}

// askOf asks a query of a session; what of it goes out is written.
func (s *stand) askOf(session, id string, class int) *Query {
	now := time.Now()
	q := &Query{ID: id, Class: class, Tenant: -1, Received: now, Due: now.Add(2 * time.Second), Text: []byte("t"), Session: session,
		Parts: []Part{{Shard: 0, Weight: 1}}}
	q.Reply = func(r Reply) { s.replies = append(s.replies, r) }
	s.e.Submit(q)
	s.e.turn()
	return q
}

func TestAPinnedQueryWaitsForItsTurn(t *testing.T) {
	s, p := newPinned(t)
	q := s.askOf("k", "a", 0)
	if len(s.handle()) != 0 || len(p.held) != 1 || len(s.replies) != 0 {
		t.Fatal("it did not wait")
	}
	s.askOf("k", "a", 0) // its id is taken
	if len(s.replies) != 1 || s.replies[0].Status != Conflict {
		t.Fatalf("%+v", s.replies)
	}
	s.e.Release(q)
	s.e.Release(q) // the second does nothing
	s.e.turn()
	sent := s.handle()
	if len(sent) != 1 {
		t.Fatalf("%d sent", len(sent))
	}
	s.e.AttemptEnded(Result{Attempt: sent[0], Outcome: policy.OK, At: time.Now(), Value: []byte("v")})
	s.e.turn()
	s.e.turn()
	if len(s.replies) != 2 || s.replies[1].Status != Served {
		t.Fatalf("%+v", s.replies)
	}
	if want := []QueryOutcome{{Served: true, Ran: true}}; !slices.Equal(p.overs, want) {
		t.Errorf("%+v", p.overs)
	}
	s.e.Reject(q, Reply{Status: Failed}) // after its end: nothing
	s.e.turn()
	if len(s.replies) != 2 || len(p.overs) != 1 {
		t.Error("a second end")
	}
	s.empty()
	s.askOf("open", "b", 0) // of no pinned class
	if len(s.handle()) != 1 || len(p.held) != 1 {
		t.Error("what is not pinned waited")
	}
}

// While it waits, a query is rejected at once, may be left by its client, and is never late; nothing of it is sent.
func TestAWaitingQueryEnds(t *testing.T) {
	for name, end := range map[string]func(s *stand, q *Query){
		"turned away": func(s *stand, q *Query) { s.e.Reject(q, Reply{Status: Rejected, RetryAfter: time.Second, Owner: "c2"}) },
		"left":        func(s *stand, q *Query) { s.e.ClientGone(q) },
		"overdue": func(s *stand, q *Query) {
			i := slices.IndexFunc(s.e.timers, func(t timer) bool { return t.query != nil })
			s.e.timers[i].at = time.Now()
			heap.Init(&s.e.timers)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newPinned(t)
			q := s.askOf("k", "a", 2)
			end(s, q)
			s.e.turn()
			s.e.Release(q) // too late
			s.e.turn()
			if len(s.handle()) != 0 || !slices.Equal(p.overs, []QueryOutcome{{}}) {
				t.Errorf("sent, or told %+v", p.overs)
			}
			switch {
			case name == "left" && len(s.replies) == 0:
			case name == "overdue" && len(s.replies) == 1 && s.replies[0].Status == Rejected:
			case name == "turned away" && len(s.replies) == 1 && s.replies[0].Owner == "c2" && s.replies[0].RetryAfter == time.Second:
			default:
				t.Errorf("%+v", s.replies)
			}
			s.empty()
		})
	}
}

// A release that comes after the lease was lost begins nothing: what is told then is harmless, and nothing ran.
func TestAReleasedQueryIsAskedAboutOnceMore(t *testing.T) {
	s, p := newPinned(t)
	q := s.askOf("k", "a", 2)
	p.begin = &Reply{Status: Rejected, RetryAfter: time.Second}
	s.e.Release(q)
	s.e.turn()
	s.e.turn()
	if len(s.handle()) != 0 || !slices.Equal(p.overs, []QueryOutcome{{}}) {
		t.Errorf("sent, or told %+v", p.overs)
	}
	if len(s.replies) != 1 || s.replies[0].Status != Rejected || s.replies[0].RetryAfter != time.Second {
		t.Errorf("%+v", s.replies)
	}
	s.empty()
}

// An open one that is rejected gets that answer in the same turn; its part may run until its time, and is told so.
func TestAnOpenPinnedQueryIsTurnedAway(t *testing.T) {
	s, p := newPinned(t)
	q := s.askOf("k", "a", 2)
	s.e.Release(q)
	s.e.turn()
	if len(s.handle()) != 1 {
		t.Fatal("not sent")
	}
	s.e.Reject(q, Reply{Status: Failed})
	s.e.turn()
	if len(s.replies) != 1 || s.replies[0].Status != Failed {
		t.Fatalf("%+v", s.replies)
	}
	if want := []QueryOutcome{{Ran: true, MayRunUntil: q.Due}}; !slices.Equal(p.overs, want) {
		t.Errorf("%+v", p.overs)
	}
	s.e.turn()
	if len(s.replies) != 1 {
		t.Error("a second answer")
	}
}

// The answer of the decisions is given only as the session says: one that may not be served any more is not.
func TestTheLastWordIsTheSessions(t *testing.T) {
	s, p := newPinned(t)
	q := s.askOf("k", "a", 2)
	s.e.Release(q)
	s.e.turn()
	p.final = func(r Reply) Reply { return Reply{Status: Failed} }
	s.e.AttemptEnded(Result{Attempt: s.handle()[0], Outcome: policy.OK, At: time.Now(), Value: []byte("v")})
	s.e.turn()
	s.e.turn()
	if len(s.replies) != 1 || s.replies[0].Status != Failed || len(s.replies[0].Values) != 0 {
		t.Fatalf("%+v", s.replies)
	}
	if want := []QueryOutcome{{Ran: true}}; !slices.Equal(p.overs, want) {
		t.Errorf("%+v", p.overs)
	}
	s.empty()
}
