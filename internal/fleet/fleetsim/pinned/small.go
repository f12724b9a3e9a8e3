package pinned

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/pinned/history"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
)

// The small world that is searched through: co-ordinators a and b, who own a session each and hold a slot each of the two
// at the one replica, and a third, c; clients that send one unsafe query and three safe ones. The council agrees at once
// upon each word that comes to it. Words to it and from it are lost, late, twice and out of order; time moves by three steps.
const (
	smallCos   = 3
	smallShort = time.Second
	smallMid   = 3 * time.Second // longer than a lease, shorter than a query
	smallLong  = 8 * time.Second // longer than the silence after which one is released
	smallQuery = 4 * time.Second // that a query has
)

// Off names the guard of the wiring that is left out in a search.
type Off string

// Guards, and what they are for.
const (
	OffLease     Off = "lease"     // who acts looks whether its lease holds
	OffSending   Off = "sending"   // a lease counts from the sending of its poll, not from the coming of the answer
	OffReleasing Off = "releasing" // no lease for one whose release is under way
	OffSilence   Off = "silence"   // a release waits for the end of the silent one's lease
	OffGrace     Off = "grace"     // and for the end of what it had out at replicas
	OffFresh     Off = "fresh"     // a process waits for the end of what the one before had out
	OffAsk       Off = "ask"       // a served answer asks the keeper first
	OffEpoch     Off = "epoch"     // an act counts in its epoch and for its offer only
	OffFreed     Off = "freed"     // slots move once their source has said that it uses them no more
	OffEnded     Off = "ended"     // a query has ended when nothing of it is out any more, not when it was told
	OffAgain     Off = "again"     // an unsafe query that may have run is not sent again
	OffLeader    Off = "leader"    // a leader moves agreed time on while something moves, and releases who is silent
)

// Offs are all guards that can be left out.
var Offs = []Off{OffLease, OffSending, OffReleasing, OffSilence, OffGrace, OffFresh, OffAsk, OffEpoch, OffFreed, OffEnded, OffAgain, OffLeader}

type smallNode struct {
	keeper       *sessionowner.Owner
	applied      int
	until, born  time.Duration
	sure, asleep bool
	started      bool // a process before this one may have something out
}

type smallQueryState struct {
	session int
	effect  sessionowner.Effect
	tries   int
	request uint64 // of the open try; 0: none
	at      int
	due     time.Duration
	parts   int // 0: not out, 1: on its way, 2: runs, 3: its end is on its way back
	outcome sessionowner.Outcome
	epoch   uint64
	over    bool // served, or never sent again
}

// smallWord is one that is in flight: acts or a release to the raft group, or its answer.
type smallWord struct {
	answer   bool
	node     int
	sent     time.Duration
	index    int
	lease    bool
	kind     string
	body     string
	twice    bool
	released int           // node+1
	at       time.Duration // of a release: when the silence was measured
	silent   time.Duration // as it was said; more than what is needed is all that counts
}

func (w smallWord) String() string {
	if w.answer {
		return fmt.Sprintf("answer to %c of %v, entry %d, lease %v", 'a'+w.node, w.sent, w.index, w.lease)
	}
	return fmt.Sprintf("%s of %c: %s", w.kind, 'a'+w.node, w.body)
}

// smallBudget is how often each may still happen.
type smallBudget struct{ Crash, Stall, Lose, Repeat, Offer, Withdraw, Shift, Poll, Wait int }

type small struct {
	off       Off
	now       time.Duration
	books     []*session.State
	fence     uint64
	nodes     [smallCos]smallNode
	queries   []smallQueryState
	asked     map[uint64]int // requests still to be told: the query
	tokens    map[uint64]int
	words     []smallWord
	heard     [smallCos]time.Duration
	releasing [smallCos]bool
	left      smallBudget
	stands    [2]stand
	checker   *history.Checker
	err       error
	again     bool // what was checked already is played again
}

var smallLimits = session.Limits{Revision: 1, Caps: map[string]int{"r": 2}, InFlight: 2, PerMinute: 60, StepTimeout: 4 * time.Second,
	IdleTimeout: time.Hour, Lease: 2 * time.Second, Grace: 5 * time.Second, MaxSessions: 2, MaxStateBytes: 16, Slots: 2}

func smallID(n int) session.ID { return session.IDOf(1, fmt.Appendf(nil, "s%d", n)) }

func smallName(n int) string { return string(rune('a' + n)) }

func newSmall(off Off) *small {
	s := &small{off: off, now: smallBegin, again: true, checker: history.New(history.Rules{Slack: 20 * time.Second, OfferFor: 20 * time.Second}), asked: map[uint64]int{},
		tokens: map[uint64]int{}, left: smallBudget{1, 1, 1, 1, 2, 1, 1, 4, 4}}
	limits := smallLimits
	if off == OffGrace || off == OffSilence { // by which a release is judged; the leases stay as they are
		limits.Grace = time.Millisecond
	}
	if off == OffSilence {
		limits.Lease = time.Millisecond
	}
	book := session.New()
	book.Tick(clockwork.Epoch + s.now)
	s.books = []*session.State{book}
	s.commit(session.KindLimits, session.LimitsBody{Limits: limits})
	s.tell(history.Event{Kind: history.Capped, N: 2})
	s.commit(session.KindPlan, session.PlanBody{Shifts: []session.Shift{{To: "a", Replica: "r", N: 1}, {To: "b", Replica: "r", N: 1}}})
	for i := range smallCos {
		s.heard[i] = s.now
		s.nodes[i] = smallNode{keeper: sessionowner.New(smallName(i), sessionowner.Options{})}
		s.answered(smallWord{answer: true, node: i, sent: s.now, index: len(s.books) - 1, lease: true})
	}
	s.queries = []smallQueryState{{session: 0, effect: sessionowner.NonIdempotent}, {session: 0, effect: sessionowner.Idempotent}, {session: 1, effect: sessionowner.Idempotent},
		{session: 1, effect: sessionowner.Idempotent}}
	for i := range 2 { // each session is claimed by a query that is not counted
		s.words = nil
		s.step(i, sessionowner.Arrived{Token: 1000 + uint64(i), Session: smallID(i), Deadline: s.now + smallQuery, Replicas: []string{"r"}})
		s.step(i, sessionowner.ClientGone{Token: 1000 + uint64(i)})
		s.deliver(0)
		s.answered(smallWord{answer: true, node: i, sent: s.now, index: len(s.books) - 1, lease: true})
	}
	s.words = nil
	return s
}

// tell hands an event to the checker.
func (s *small) tell(e history.Event) {
	e.At = s.now
	if err := s.checker.Add(e); err != nil && s.err == nil {
		s.err = err
	}
}

func (s *small) top() *session.State { return s.books[len(s.books)-1] }

// commit agrees upon a command.
func (s *small) commit(kind string, body any) {
	raw, err := json.Marshal(body)
	if text, ok := body.(string); ok {
		raw, err = []byte(text), nil
	}
	if err != nil {
		s.err = err
		return
	}
	book := s.top().Clone()
	book.Tick(clockwork.Epoch + s.now)
	next := s.fence
	if book.Apply(clockwork.Epoch+s.now, func() uint64 { next++; return next }, kind, raw) == nil {
		s.fence = next
	}
	s.books = append(s.books, book)
	for i := range 2 {
		r, ok := book.Get(smallID(i))
		now := stand{r.Owner, r.Epoch, r.Phase}
		switch {
		case !ok && s.stands[i].phase == session.Free:
		case !ok:
			s.stands[i] = stand{}
			s.tell(history.Event{Kind: history.Freed, Session: int32(i), Why: r.Reason})
		case now != s.stands[i]:
			s.stands[i] = now
			s.tell(history.Event{Kind: history.Owned, Session: int32(i), By: int32(r.Owner[0] - 'a'), Epoch: r.Epoch, Phase: history.Phase(r.Phase)})
		}
	}
	if s.again {
		return
	}
	if err := book.Check(); err != nil && s.err == nil {
		s.err = err
	}
}

// lease as the keeper of a node is told of it.
func (s *small) lease(n *smallNode) sessionowner.Lease {
	if s.off == OffLease && n.sure {
		return sessionowner.Lease{Until: s.now + time.Hour, Valid: true}
	}
	if n.started && s.off != OffFresh && s.now < n.born+smallLimits.Grace {
		return sessionowner.Lease{}
	}
	return sessionowner.Lease{Until: n.until, Valid: n.sure}
}

func (s *small) step(i int, in ...sessionowner.Input) {
	n := &s.nodes[i]
	outs := slices.Clone(n.keeper.Step(s.now, append(in, s.lease(n))))
	for _, o := range outs {
		switch o := o.(type) {
		case sessionowner.Run:
			s.run(i, o)
		case sessionowner.Reject:
			s.told(i, o.Token, history.Refused, o.Reason.String())
		case sessionowner.Cancel:
			s.told(i, o.Token, history.Refused, o.Reason.String())
		case sessionowner.Fail:
			s.told(i, o.Token, history.Failed, o.Reason.String())
		case sessionowner.Propose:
			raw, err := json.Marshal(session.ActsBody{From: smallName(i), Acts: []session.Act{o.Act}})
			if err != nil {
				s.err = err
			}
			w := smallWord{node: i, kind: session.KindActs, body: string(raw)}
			if !slices.Contains(s.words, w) { // one that comes again is no other
				s.words = append(s.words, w)
			}
		}
	}
	if s.again {
		return
	}
	if err := n.keeper.Check(); err != nil && s.err == nil {
		s.err = err
	}
}

func (s *small) run(i int, r sessionowner.Run) {
	at, known := s.tokens[r.Token]
	if !known {
		return // one of those before the beginning
	}
	q := &s.queries[at]
	record, _ := s.books[s.nodes[i].applied].Get(smallID(q.session))
	q.parts, q.epoch = 1, record.Epoch
	s.tell(history.Event{Kind: history.Begun, Request: r.Token, By: int32(i), Epoch: q.epoch, Seq: r.Seq, N: 1})
}

// told is the word that a client gets, at once.
func (s *small) told(i int, token uint64, outcome history.Outcome, why string) {
	at, known := s.asked[token]
	if !known {
		return
	}
	delete(s.asked, token)
	q := &s.queries[at]
	e := history.Event{Kind: history.Answered, Request: token, By: int32(i), Outcome: outcome, Why: why}
	if outcome == history.Served {
		e.Epoch = q.epoch
	}
	s.tell(e)
	s.tell(history.Event{Kind: history.Got, Request: token, Outcome: outcome})
	q.over = q.over || outcome == history.Served || outcome == history.Failed && (q.effect != sessionowner.NonIdempotent || s.off != OffAgain)
	if s.off == OffEnded && q.parts > 0 {
		s.step(i, sessionowner.QueryEnded{Token: token, Outcome: sessionowner.MayHaveRun})
	}
	if q.parts == 0 {
		q.request = 0
	}
}

// answered is a node's copy after an answer of the raft group.
func (s *small) answered(w smallWord) {
	n := &s.nodes[w.node]
	n.applied = max(n.applied, w.index)
	if w.lease {
		from := w.sent
		if s.off == OffSending {
			from = s.now
		}
		n.sure, n.until = true, max(n.until, from+smallLimits.Lease-smallLimits.Lease/100)
	}
	book := s.books[n.applied]
	s.step(w.node, sessionowner.Applied{State: book, Index: uint64(n.applied), AgreedTime: book.Now()})
	s.step(w.node)
}

// deliver lets a word come.
func (s *small) deliver(at int) {
	w := s.words[at]
	if !w.twice {
		s.words = slices.Delete(slices.Clone(s.words), at, at+1)
	} else {
		s.words = slices.Clone(s.words)
		s.words[at].twice = false
	}
	switch {
	case w.answer:
		s.answered(w)
	case w.released > 0:
		s.commit(w.kind, session.ReleaseBody{Name: smallName(w.node), Silent: w.silent, At: clockwork.Epoch + w.at})
		s.releasing[w.released-1] = false
	default:
		s.heard[w.node] = s.now
		s.commit(w.kind, s.loosened(w.body))
	}
}

// loosened lets an act count as if it were of now.
func (s *small) loosened(body string) string {
	var acts session.ActsBody
	if s.off != OffEpoch || json.Unmarshal([]byte(body), &acts) != nil {
		return body
	}
	a := &acts.Acts[0]
	if r, ok := s.top().Get(a.ID); ok {
		a.Epoch, a.Fence = r.Epoch, r.Fence
		if a.Seq < r.Seq {
			a.Seq = r.Seq
		}
	}
	raw, err := json.Marshal(acts)
	if err != nil {
		return body
	}
	return string(raw)
}
