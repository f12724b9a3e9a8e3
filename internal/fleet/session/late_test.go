package session

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"birchcart/internal/fleet/statemachine"
)

// actor is a co-ordinator whose copy of the book is behind and whose words are lost, late, repeated and out of order.
type simCoordinator struct {
	version        int                   // its copy: the book after so many commands
	leaseLostAt    time.Duration         // since when it has no lease; -1: it has one
	releasePending bool                  // its release was proposed since then: no lease before that was applied
	frozen         map[ID]uint64         // by the number of the offer
	ended          map[ID]uint64         // by the epoch
	seq            map[queryEpoch]uint64 // begun in an epoch
}

type queryEpoch struct {
	id    ID
	epoch uint64
}

type message struct {
	kind string
	body any
}

// late plays co-ordinators and a leader around one book, and judges from outside.
type simulation struct {
	t            *testing.T
	seed         int
	restored     *State
	rand         *rand.Rand
	b            *State
	history      []*State
	eraStart     int // the log's first of this era
	blockedUntil time.Duration
	coordinators map[string]*simCoordinator
	messages     []message
	now          time.Duration
	lastJump     time.Duration // time went on at once until then, and no one could act in between
	fence        uint64

	lastQuery map[ID]queryEpoch // of the last query that was begun anywhere: its epoch
	actingFor map[queryEpoch]string
	seq       map[ID]uint64            // the last one begun, unless its owner was lost
	maxEpoch  map[ID]uint64            // the highest epoch
	moveStart map[uint64]time.Duration // when an offer was first seen
	events    map[string]int
}

var coNames, ids = []string{"c0", "c1", "c2"}, []ID{a, b, c}

// acts says whether co acts for a session now: its copy says so, it has a lease, and has not frozen or ended it.
func (w *simulation) mayAct(co string, id ID) (Record, bool) {
	x := w.coordinators[co]
	r, ok := w.history[x.version].Get(id)
	ok = ok && x.leaseLostAt < 0 && r.Owner == co && (r.Phase == Pinned || r.Phase == Offered) && x.ended[id] != r.Epoch
	return r, ok && (r.Phase == Pinned || x.frozen[id] != r.Fence)
}

func pick[T any](w *simulation, from []T) T { return from[w.rand.IntN(len(from))] }

// begin is a query at co: after the last one of any epoch, in order.
func (w *simulation) begin(co string, id ID) {
	r, ok := w.mayAct(co, id)
	if !ok {
		return
	}
	q := queryEpoch{id, r.Epoch}
	x := w.coordinators[co]
	x.seq[q] = max(x.seq[q], r.Seq) + 1
	if last := w.lastQuery[id]; last.epoch > r.Epoch || w.actingFor[q] != "" && w.actingFor[q] != co {
		w.t.Fatalf("seed %d: S1: %s begins a query of %s in epoch %d, after one in %d, of %s", w.seed, co, id, r.Epoch, last.epoch, w.actingFor[q])
	}
	if x.seq[q] <= w.seq[id] {
		w.t.Fatalf("seed %d: S3: %s begins query %d of %s in epoch %d, %d were begun", w.seed, co, x.seq[q], id, r.Epoch, w.seq[id])
	}
	w.lastQuery[id], w.actingFor[q], w.seq[id] = q, co, x.seq[q]
	w.events["begin"]++
}

func (w *simulation) send(from string, a Act) {
	w.messages = append(w.messages, message{KindActs, acts(from, a)})
}

// word is what co says of a session by what its copy shows.
func (w *simulation) sendAct(co string, id ID) {
	x := w.coordinators[co]
	r, ok := w.history[x.version].Get(id)
	_, may := w.mayAct(co, id)
	end := w.rand.IntN(4) == 0
	switch {
	case x.leaseLostAt >= 0:
	case !ok:
		w.send(co, Act{Kind: Claim, ID: id, Epoch: r.Epoch})
	case may && end:
		x.ended[id] = r.Epoch
		w.send(co, Act{Kind: End, ID: id, Epoch: r.Epoch, Seq: max(x.seq[queryEpoch{id, r.Epoch}], r.Seq)})
	case may && r.Phase == Offered:
		x.frozen[id] = r.Fence
		w.send(co, Act{Kind: HandOver, ID: id, Epoch: r.Epoch, Fence: r.Fence, Seq: max(x.seq[queryEpoch{id, r.Epoch}], r.Seq)})
	case r.Phase == HandedOver && r.Owner == co && !end:
		w.send(co, Act{Kind: Adopt, ID: id, Epoch: r.Epoch})
	case r.Phase == HandedOver && r.Owner == co, r.Phase == Offered && r.To == co:
		w.send(co, Act{Kind: Decline, ID: id, Epoch: r.Epoch, Fence: r.Fence})
	}
}

// plan is what a leader with a copy that is behind says, or the release of one that is silent.
func (w *simulation) sendLeaderCommand(co string, id ID) {
	r, ok := w.history[(w.eraStart + w.rand.IntN(len(w.history)-w.eraStart))].Get(id)
	x := w.coordinators[co]
	switch {
	case x.leaseLostAt >= 0 && w.now-x.leaseLostAt >= limits.SilentFor():
		x.releasePending = true
		w.messages = append(w.messages, message{KindRelease, ReleaseBody{co, w.now - x.leaseLostAt, w.now}})
	case !ok:
	case r.Phase == Offered:
		w.messages = append(w.messages, message{KindPlan, PlanBody{Withdrawals: []Withdrawal{{id, r.Epoch, r.Fence}}}})
	default:
		w.messages = append(w.messages, message{KindPlan, PlanBody{Offers: []Offer{{ID: id, Epoch: r.Epoch, From: r.Owner, To: co}}}})
	}
}

// apply applies a word, at the book and at one that was loaded from a snapshot, a while ago mostly.
func (w *simulation) apply(s message) {
	w.b.Tick(w.now)
	before, err := w.b.Save()
	if err != nil {
		w.t.Fatal(err)
	}
	raw, _ := json.Marshal(s.body)
	next, also := w.fence, w.fence
	err = w.b.Apply(w.now, func() uint64 { next++; return next }, s.kind, raw)
	after, _ := w.b.Save()
	if err != nil && !bytes.Equal(before, after) {
		w.t.Fatalf("seed %d: refused and changed: %v\n%s\n%s", w.seed, err, before, after)
	}
	if w.restored != nil {
		_ = w.restored.Apply(w.now, func() uint64 { also++; return also }, s.kind, raw)
		if other, _ := w.restored.Save(); !bytes.Equal(after, other) {
			w.t.Fatalf("seed %d: a loaded one differs after %s: %v\n%s\n%s", w.seed, raw, err, after, other)
		}
	}
	if w.restored == nil || w.rand.IntN(8) == 0 { // right after an entry, as a snapshot is taken
		w.restored = New()
		if err := w.restored.Load(after); err != nil {
			w.t.Fatalf("seed %d: %v", w.seed, err)
		}
	}
	if err == nil {
		w.fence = next
		w.events[s.kind]++
	}
	if r, ok := s.body.(ReleaseBody); ok {
		if x := w.coordinators[r.Name]; x.leaseLostAt >= 0 && r.At-r.Silent == x.leaseLostAt {
			x.releasePending = false
		}
		if err == nil {
			w.forgetFreeSequences() // what it owned goes on from what was last agreed
		}
	}
	w.history = append(w.history, w.b.Clone())
}

// lost forgets the sequence of what is free.
func (w *simulation) forgetFreeSequences() {
	for _, id := range ids {
		if _, ok := w.b.Get(id); !ok {
			delete(w.seq, id)
		}
	}
}

// renew sets a raft group up anew from a copy that may be behind. Others act as they did until their leases have ended.
func (w *simulation) renew() {
	w.b = w.history[(w.eraStart + w.rand.IntN(len(w.history)-w.eraStart))].Clone()
	w.blockedUntil = w.now + 20*second
	w.fence += statemachine.FenceGap
	w.b.Tick(w.now)
	w.b.Renew(w.blockedUntil)
	w.eraStart, w.restored = len(w.history), nil
	w.history = append(w.history, w.b.Clone())
	clear(w.moveStart)
	w.events["renew"]++
	w.forgetFreeSequences()
}

func (w *simulation) step() {
	co, id := pick(w, coNames), pick(w, ids)
	x := w.coordinators[co]
	switch op := w.rand.IntN(64); {
	case op < 16:
		x.version = max(x.version, w.eraStart+w.rand.IntN(len(w.history)-w.eraStart), len(w.history)-1-w.rand.IntN(8))
	case op < 24:
		w.begin(co, id)
	case op < 36:
		w.sendAct(co, id)
	case op < 42:
		w.sendLeaderCommand(co, id)
	case op < 58 && len(w.messages) > 0:
		w.apply(w.messages[max(0, len(w.messages)-1-w.rand.IntN(5))])
	case op < 60 && len(w.messages) > 0:
		w.apply(pick(w, w.messages))
	case op < 62:
		w.now += time.Duration(w.rand.IntN(3)) * second
	case op == 62 && x.leaseLostAt < 0 && w.rand.IntN(2) == 0:
		x.leaseLostAt, x.releasePending = w.now, false
	case op == 62 && x.leaseLostAt >= 0 && !x.releasePending: // a lease again, and a copy that has what was agreed before it
		x.leaseLostAt, x.version = -1, len(w.history)-1
	case op == 63 && w.rand.IntN(8) == 0:
		w.now += time.Duration(pick(w, []int{16, 61, 601})) * second
		w.lastJump = w.now
	case op == 63 && w.rand.IntN(16) == 0:
		w.renew()
	}
	for _, x := range w.coordinators {
		if x.version < w.eraStart && w.now >= w.blockedUntil && x.leaseLostAt < 0 {
			x.leaseLostAt = w.now
		}
	}
	w.checkInvariants()
}

// judge counts from outside.
func (w *simulation) checkInvariants() {
	if w.b.Now() < w.now {
		w.b.Tick(w.now) // as an entry that does nothing
		w.history[len(w.history)-1] = w.b.Clone()
		if w.restored != nil {
			w.restored.Tick(w.now)
		}
	}
	if err := w.b.Check(); err != nil {
		w.t.Fatalf("seed %d: %v", w.seed, err)
	}
	if w.now < w.blockedUntil { // what those of the era before begin is not known in this one
		clear(w.seq)
	}
	for _, id := range ids {
		who := ""
		for _, co := range coNames {
			if r, ok := w.mayAct(co, id); ok {
				if who != "" {
					w.t.Fatalf("seed %d: S1: %s and %s act for %s, the latter in epoch %d", w.seed, who, co, id, r.Epoch)
				}
				who = co
			}
		}
		r, ok := w.b.Get(id)
		if !ok && r.Since == 0 { // its end is forgotten
			delete(w.seq, id)
		}
		if q := (queryEpoch{id, r.Epoch}); ok && w.eraStart == 0 {
			if w.actingFor[q] == "" && r.Epoch <= w.maxEpoch[id] || w.actingFor[q] != "" && w.actingFor[q] != r.Owner {
				w.t.Fatalf("seed %d: S1: %s is of %s in epoch %d, after %d", w.seed, id, r.Owner, r.Epoch, w.maxEpoch[id])
			}
			w.actingFor[q], w.maxEpoch[id] = r.Owner, max(w.maxEpoch[id], r.Epoch)
		}
		if (r.Phase == Offered || r.Phase == HandedOver) && w.moveStart[r.Fence] == 0 {
			w.moveStart[r.Fence] = w.now
		}
		if began := w.moveStart[r.Fence]; r.Fence > 0 && w.now >= max(began, w.lastJump)+3*limits.StepTimeout {
			w.t.Fatalf("seed %d: S7: %s is %s since %v, now %v", w.seed, id, r.Phase, began, w.now)
		}
		w.events[r.Phase.String()]++
	}
	minute := 0
	for _, at := range w.moveStart {
		if at > w.now-time.Minute {
			minute++
		}
	}
	if w.b.Moving() > limits.InFlight || minute > limits.PerMinute || w.b.Len() > 2 {
		w.t.Fatalf("seed %d: S7: %d in flight, %d in a minute, %d sessions", w.seed, w.b.Moving(), minute, w.b.Len())
	}
}

// One owner acts for a session, in order, whatever is lost, late, repeated or out of order: two moves with a late word of the
// first, a hand against a withdrawal or a release, a release repeated after a return, a raft group set up anew.
func TestDelayedLostAndRepeatedMessages(t *testing.T) {
	events := map[string]int{}
	plays := 200
	if testing.Short() {
		plays = 30
	}
	for seed := range plays {
		l := limits
		l.MaxSessions = 2
		p := newHarness(t, l)
		w := &simulation{t: t, seed: seed, rand: rand.New(rand.NewPCG(uint64(seed), 1)), b: p.b, now: p.now, coordinators: map[string]*simCoordinator{},
			lastQuery: map[ID]queryEpoch{}, actingFor: map[queryEpoch]string{}, seq: map[ID]uint64{}, maxEpoch: map[ID]uint64{},
			moveStart: map[uint64]time.Duration{}, events: events}
		w.history = append(w.history, p.b.Clone())
		for _, co := range coNames {
			w.coordinators[co] = &simCoordinator{leaseLostAt: -1, frozen: map[ID]uint64{}, ended: map[ID]uint64{}, seq: map[queryEpoch]uint64{}}
		}
		for range 400 {
			w.step()
		}
	}
	for _, what := range []string{"begin", "acts", "plan", "release", "pinned", "offered", "handed", "renew"} {
		if events[what] < 5 {
			t.Errorf("%s: %d", what, events[what])
		}
	}
	t.Log(events)
}
