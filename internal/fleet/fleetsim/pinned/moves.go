package pinned

import (
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/fleetsim/pinned/history"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
)

// move is one thing that may happen next in the small world.
type move struct {
	tag    string // what kind, and of whom
	do     func()
	format string
	args   []any
}

func (m move) name() string { return fmt.Sprintf(m.format, m.args...) }

// moves are all that may happen now, in a fixed order.
func (s *small) moves() (out []move) {
	add := func(tag string, do func(), format string, a ...any) { out = append(out, move{tag, do, format, a}) }
	for i := range s.words {
		w := s.words[i]
		if !w.answer || !s.nodes[w.node].asleep {
			add("comes", func() { s.deliver(i) }, "comes: %v", w)
		}
		if s.left.Lose > 0 && w.released == 0 {
			add("lost", func() { s.left.Lose--; s.words = slices.Delete(slices.Clone(s.words), i, i+1) }, "lost: %v", w)
		}
		if s.left.Repeat > 0 && !w.twice && w.released == 0 {
			add("twice", func() { s.left.Repeat--; s.words = slices.Clone(s.words); s.words[i].twice = true }, "comes twice: %v", w)
		}
	}
	for i := range s.nodes {
		s.nodeMoves(i, add)
	}
	for i := range s.queries {
		s.queryMoves(i, add)
	}
	for i := range 2 {
		r, ok := s.top().Get(smallID(i))
		switch {
		case ok && r.Phase == session.Pinned && s.left.Offer > 0:
			for to := range smallCos {
				if smallName(to) != r.Owner {
					add(fmt.Sprint("offer", i, smallName(to)), func() {
						s.left.Offer--
						s.commit(session.KindPlan, session.PlanBody{Offers: []session.Offer{{ID: r.ID, Epoch: r.Epoch, From: r.Owner, To: smallName(to)}}})
					}, "session %d of %s is offered to %c", i, r.Owner, 'a'+to)
				}
			}
		case ok && r.Phase == session.Offered && s.left.Withdraw > 0:
			add("withdraw", func() {
				s.left.Withdraw--
				s.commit(session.KindPlan, session.PlanBody{Withdrawals: []session.Withdrawal{{ID: r.ID, Epoch: r.Epoch, Fence: r.Fence}}})
			}, "the offer of session %d is withdrawn", i)
		}
	}
	if s.left.Shift > 0 {
		add("shift", func() {
			s.left.Shift--
			s.commit(session.KindPlan, session.PlanBody{Shifts: []session.Shift{{From: "a", To: "b", Replica: "r", N: 1}}})
			if s.off == OffFreed {
				for _, t := range s.top().Pool().PendingReleases("a") {
					s.commit(session.KindActs, session.ActsBody{From: "a", Acts: []session.Act{{Kind: session.Freed, Fence: t.Fence}}})
				}
			}
		}, "the slot of a is to go to b")
	}
	if s.left.Wait == 0 {
		return out
	}
	add("short", func() { s.left.Wait--; s.wait(smallShort) }, "%v pass", smallShort)
	add("mid", func() { s.left.Wait--; s.wait(smallMid) }, "%v pass", smallMid)
	add("long", func() { s.left.Wait--; s.wait(smallLong) }, "%v pass", smallLong)
	return out
}

func (s *small) nodeMoves(i int, add func(string, func(), string, ...any)) {
	n := &s.nodes[i]
	name := 'a' + i
	if !n.asleep && s.left.Poll > 0 && !slices.ContainsFunc(s.words, func(w smallWord) bool { return w.answer && w.node == i && w.sent == s.now }) {
		add("poll"+smallName(i), func() {
			s.left.Poll--
			s.heard[i] = s.now
			s.words = append(slices.Clone(s.words), smallWord{answer: true, node: i, sent: s.now, index: len(s.books) - 1,
				lease: !s.releasing[i] || s.off == OffReleasing})
		}, "%c polls", name)
	}
	if s.left.Stall > 0 && !n.asleep {
		add("stop"+smallName(i), func() {
			s.left.Stall--
			n.asleep = true
			s.tell(history.Event{Kind: history.Stopped, By: int32(i), On: true})
		}, "%c is stopped", name)
	}
	if n.asleep {
		add("go", func() {
			n.asleep = false
			s.tell(history.Event{Kind: history.Stopped, By: int32(i)})
		}, "%c goes on", name)
	}
	if s.left.Crash > 0 && !n.asleep {
		add("crash"+smallName(i), func() { s.crash(i) }, "%c ends and begins anew", name)
	}
	need := s.top().Pool().Held(smallName(i), "r") + s.top().Owned(smallName(i))
	if limits, _ := s.top().Limits(); need > 0 && !s.releasing[i] && (s.now-s.heard[i] > limits.SilentFor()) {
		add("release"+smallName(i), func() {
			s.releasing[i] = true
			s.words = append(slices.Clone(s.words), smallWord{node: i, kind: session.KindRelease, released: i + 1, at: s.now, silent: limits.SilentFor()})
		}, "the release of %c is proposed", name)
	}
}

// crash ends a process and begins another, with the same copy of what is agreed.
func (s *small) crash(i int) {
	s.left.Crash--
	n := &s.nodes[i]
	s.tell(history.Event{Kind: history.Ended, By: int32(i), On: true})
	for at := range s.queries {
		q := &s.queries[at]
		if q.request > 0 && q.at == i {
			if _, open := s.asked[q.request]; open {
				delete(s.asked, q.request)
				s.tell(history.Event{Kind: history.Got, Request: q.request, Outcome: history.Broken})
				q.over = q.effect == sessionowner.NonIdempotent && s.off != OffAgain
			}
			delete(s.tokens, q.request)
		}
	}
	s.tell(history.Event{Kind: history.Ended, By: int32(i)})
	*n = smallNode{keeper: sessionowner.New(smallName(i), sessionowner.Options{}), applied: n.applied, born: s.now, started: true}
	s.words = slices.DeleteFunc(slices.Clone(s.words), func(w smallWord) bool { return w.answer && w.node == i })
	book := s.books[n.applied]
	s.step(i, sessionowner.Applied{State: book, Index: uint64(n.applied), AgreedTime: book.Now()})
}

func (s *small) queryMoves(at int, add func(string, func(), string, ...any)) {
	q := &s.queries[at]
	like := at == 3 && s.queries[2].tries == 0 // of two that are alike, the first is sent first
	if !q.over && q.request == 0 && q.tries < 2 && !like {
		for to := range smallCos {
			if !s.nodes[to].asleep {
				add(fmt.Sprint("send", at, smallName(to)), func() { s.sends(at, to) }, "query %d is sent to %c", at, 'a'+to)
			}
		}
	}
	switch q.parts {
	case 1:
		add("runs", func() {
			q.parts = 2
			s.tell(history.Event{Kind: history.Runs, Request: q.request})
		}, "the replica runs query %d", at)
	case 2:
		add("ends", func() { s.ends(at, true) }, "query %d ends there", at)
	case 3:
		if !s.nodes[q.at].asleep {
			add("back", func() { s.back(at) }, "its end comes to %c: query %d", 'a'+q.at, at)
		}
	}
}

func (s *small) sends(at, to int) {
	q := &s.queries[at]
	q.tries++
	q.request, q.at, q.due = uint64(at*8+q.tries), to, s.now+smallQuery
	s.asked[q.request], s.tokens[q.request] = at, at
	s.tell(history.Event{Kind: history.Sent, Request: q.request, Session: int32(q.session), Query: int32(at), Effect: history.Effect(q.effect),
		By: int32(to), Due: q.due})
	s.tell(history.Event{Kind: history.Arrived, Request: q.request})
	s.step(to, sessionowner.Arrived{Token: q.request, Session: smallID(q.session), Effect: q.effect, Deadline: q.due, Window: time.Minute, Replicas: []string{"r"}})
}

// ends is the end of a part at the replica.
func (s *small) ends(at int, effect bool) {
	q := &s.queries[at]
	s.tell(history.Event{Kind: history.Ran, Request: q.request, On: effect})
	q.parts, q.outcome = 3, sessionowner.MayHaveRun
	if effect {
		q.outcome = sessionowner.Done
	}
	if _, known := s.tokens[q.request]; !known { // its process has gone
		q.parts, q.request = 0, 0
	}
}

// back is the end of a query at its co-ordinator.
func (s *small) back(at int) {
	q := &s.queries[at]
	token := q.request
	q.parts = 0
	_, open := s.asked[token]
	if open && q.outcome == sessionowner.Done && (s.off == OffAsk || s.nodes[q.at].keeper.MayAnswer(s.now, token)) {
		s.told(q.at, token, history.Served, "")
	} else {
		s.tell(history.Event{Kind: history.GivenUp, Request: token, By: int32(q.at)})
	}
	s.step(q.at, sessionowner.QueryEnded{Token: token, Outcome: q.outcome})
	delete(s.tokens, token)
	q.request = 0
}

// wait lets time pass. What runs at the replica ends by its time; what was on its way there never comes.
func (s *small) wait(d time.Duration) {
	until := s.now + d
	for at := range s.queries {
		q := &s.queries[at]
		if q.parts == 0 || q.parts == 3 || q.due > until {
			continue
		}
		s.now = max(s.now, q.due)
		if q.parts == 2 {
			s.ends(at, false)
		} else {
			q.parts, q.outcome = 3, sessionowner.MayHaveRun
			if _, known := s.tokens[q.request]; !known {
				q.parts, q.request = 0, 0
			}
		}
	}
	s.now = until
	if s.off != OffLeader && s.top().Moving() > 0 {
		s.commit(session.KindTick, session.TickBody{})
	}
	for i := range s.nodes {
		if !s.nodes[i].asleep {
			s.step(i)
		}
	}
}

// rest lets everything go on without further faults, but for one that is stopped for good, and says whether all comes to an
// end as it should: S4, S7.
func (s *small) rest() error {
	limits, _ := s.top().Limits()
	for range 40 {
		for i := range s.nodes {
			switch name := smallName(i); {
			case !s.nodes[i].asleep:
				s.heard[i] = s.now
				s.words = append(slices.Clone(s.words), smallWord{answer: true, node: i, sent: s.now, index: len(s.books) - 1, lease: !s.releasing[i]})
			case s.off != OffLeader && s.now-s.heard[i] > limits.SilentFor() && s.top().Owned(name) > 0:
				s.commit(session.KindRelease, session.ReleaseBody{Name: name, Silent: s.now - s.heard[i]})
			}
		}
		s.words = slices.DeleteFunc(s.words, func(w smallWord) bool { return w.answer && s.nodes[w.node].asleep })
		for n := 0; len(s.words) > 0 && n < 50; n++ {
			s.deliver(0)
		}
		for at := range s.queries {
			if q := &s.queries[at]; q.parts == 3 && !s.nodes[q.at].asleep {
				s.back(at)
			}
		}
		s.wait(smallShort)
	}
	s.tell(history.Event{Kind: history.Closed, Quiet: 40 * time.Second})
	return s.err
}
