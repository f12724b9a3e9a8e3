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
type actor struct {
	at     int              // its copy: the book after so many commands
	down   time.Duration    // since when it has no lease; -1: it has one
	asked  bool             // its release was proposed since then: no lease before that was applied
	frozen map[ID]uint64    // by the number of the offer
	ended  map[ID]uint64    // by the epoch
	seq    map[query]uint64 // begun in an epoch
}

type query struct {
	id    ID
	epoch uint64
}

type said struct {
	kind string
	body any
}

// late plays co-ordinators and a leader around one book, and judges from outside.
type late struct {
	t      *testing.T
	seed   int
	twin   *Book
	rand   *rand.Rand
	b      *Book
	log    []*Book
	era    int // the log's first of this era
	quiet  time.Duration
	actors map[string]*actor
	words  []said
	now    time.Duration
	jump   time.Duration // time went on at once until then, and no one could act in between
	fence  uint64

	last   map[ID]query // of the last query that was begun anywhere: its epoch
	by     map[query]string
	seq    map[ID]uint64            // the last one begun, unless its owner was lost
	top    map[ID]uint64            // the highest epoch
	moves  map[uint64]time.Duration // when an offer was first seen
	events map[string]int
}

var coNames, ids = []string{"c0", "c1", "c2"}, []ID{a, b, c}

// acts says whether co acts for a session now: its copy says so, it has a lease, and has not frozen or ended it.
func (w *late) acts(co string, id ID) (Record, bool) {
	x := w.actors[co]
	r, ok := w.log[x.at].Get(id)
	ok = ok && x.down < 0 && r.Owner == co && (r.Phase == Pinned || r.Phase == Offered) && x.ended[id] != r.Epoch
	return r, ok && (r.Phase == Pinned || x.frozen[id] != r.Fence)
}

func pick[T any](w *late, from []T) T { return from[w.rand.IntN(len(from))] }

// begin is a query at co: after the last one of any epoch, in order.
func (w *late) begin(co string, id ID) {
	r, ok := w.acts(co, id)
	if !ok {
		return
	}
	q := query{id, r.Epoch}
	x := w.actors[co]
	x.seq[q] = max(x.seq[q], r.Seq) + 1
	if last := w.last[id]; last.epoch > r.Epoch || w.by[q] != "" && w.by[q] != co {
		w.t.Fatalf("seed %d: S1: %s begins a query of %s in epoch %d, after one in %d, of %s", w.seed, co, id, r.Epoch, last.epoch, w.by[q])
	}
	if x.seq[q] <= w.seq[id] {
		w.t.Fatalf("seed %d: S3: %s begins query %d of %s in epoch %d, %d were begun", w.seed, co, x.seq[q], id, r.Epoch, w.seq[id])
	}
	w.last[id], w.by[q], w.seq[id] = q, co, x.seq[q]
	w.events["begin"]++
}

func (w *late) say(from string, a Act) { w.words = append(w.words, said{KindActs, acts(from, a)}) }

// word is what co says of a session by what its copy shows.
func (w *late) word(co string, id ID) {
	x := w.actors[co]
	r, ok := w.log[x.at].Get(id)
	_, may := w.acts(co, id)
	end := w.rand.IntN(4) == 0
	switch {
	case x.down >= 0:
	case !ok:
		w.say(co, Act{Kind: Claim, ID: id, Epoch: r.Epoch})
	case may && end:
		x.ended[id] = r.Epoch
		w.say(co, Act{Kind: End, ID: id, Epoch: r.Epoch, Seq: max(x.seq[query{id, r.Epoch}], r.Seq)})
	case may && r.Phase == Offered:
		x.frozen[id] = r.Fence
		w.say(co, Act{Kind: Hand, ID: id, Epoch: r.Epoch, Fence: r.Fence, Seq: max(x.seq[query{id, r.Epoch}], r.Seq)})
	case r.Phase == Handed && r.Owner == co && !end:
		w.say(co, Act{Kind: Adopt, ID: id, Epoch: r.Epoch})
	case r.Phase == Handed && r.Owner == co, r.Phase == Offered && r.To == co:
		w.say(co, Act{Kind: Decline, ID: id, Epoch: r.Epoch, Fence: r.Fence})
	}
}

// plan is what a leader with a copy that is behind says, or the release of one that is silent.
func (w *late) plan(co string, id ID) {
	r, ok := w.log[(w.era + w.rand.IntN(len(w.log)-w.era))].Get(id)
	x := w.actors[co]
	switch {
	case x.down >= 0 && w.now-x.down >= limits.SilentFor():
		x.asked = true
		w.words = append(w.words, said{KindRelease, ReleaseBody{co, w.now - x.down, w.now}})
	case !ok:
	case r.Phase == Offered:
		w.words = append(w.words, said{KindPlan, PlanBody{Withdrawals: []Withdrawal{{id, r.Epoch, r.Fence}}}})
	default:
		w.words = append(w.words, said{KindPlan, PlanBody{Offers: []Offer{{ID: id, Epoch: r.Epoch, From: r.Owner, To: co}}}})
	}
}

// apply applies a word, at the book and at one that was loaded from a snapshot, a while ago mostly.
func (w *late) apply(s said) {
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
	if w.twin != nil {
		_ = w.twin.Apply(w.now, func() uint64 { also++; return also }, s.kind, raw)
		if other, _ := w.twin.Save(); !bytes.Equal(after, other) {
			w.t.Fatalf("seed %d: a loaded one differs after %s: %v\n%s\n%s", w.seed, raw, err, after, other)
		}
	}
	if w.twin == nil || w.rand.IntN(8) == 0 { // right after an entry, as a snapshot is taken
		w.twin = New()
		if err := w.twin.Load(after); err != nil {
			w.t.Fatalf("seed %d: %v", w.seed, err)
		}
	}
	if err == nil {
		w.fence = next
		w.events[s.kind]++
	}
	if r, ok := s.body.(ReleaseBody); ok {
		if x := w.actors[r.Name]; x.down >= 0 && r.At-r.Silent == x.down {
			x.asked = false
		}
		if err == nil {
			w.lost() // what it owned goes on from what was last agreed
		}
	}
	w.log = append(w.log, w.b.Clone())
}

// lost forgets the sequence of what is free.
func (w *late) lost() {
	for _, id := range ids {
		if _, ok := w.b.Get(id); !ok {
			delete(w.seq, id)
		}
	}
}

// renew sets a raft group up anew from a copy that may be behind. Others act as they did until their leases have ended.
func (w *late) renew() {
	w.b = w.log[(w.era + w.rand.IntN(len(w.log)-w.era))].Clone()
	w.quiet = w.now + 20*sec
	w.fence += statemachine.FenceGap
	w.b.Tick(w.now)
	w.b.Renew(w.quiet)
	w.era, w.twin = len(w.log), nil
	w.log = append(w.log, w.b.Clone())
	clear(w.moves)
	w.events["renew"]++
	w.lost()
}

func (w *late) step() {
	co, id := pick(w, coNames), pick(w, ids)
	x := w.actors[co]
	switch op := w.rand.IntN(64); {
	case op < 16:
		x.at = max(x.at, w.era+w.rand.IntN(len(w.log)-w.era), len(w.log)-1-w.rand.IntN(8))
	case op < 24:
		w.begin(co, id)
	case op < 36:
		w.word(co, id)
	case op < 42:
		w.plan(co, id)
	case op < 58 && len(w.words) > 0:
		w.apply(w.words[max(0, len(w.words)-1-w.rand.IntN(5))])
	case op < 60 && len(w.words) > 0:
		w.apply(pick(w, w.words))
	case op < 62:
		w.now += time.Duration(w.rand.IntN(3)) * sec
	case op == 62 && x.down < 0 && w.rand.IntN(2) == 0:
		x.down, x.asked = w.now, false
	case op == 62 && x.down >= 0 && !x.asked: // a lease again, and a copy that has what was agreed before it
		x.down, x.at = -1, len(w.log)-1
	case op == 63 && w.rand.IntN(8) == 0:
		w.now += time.Duration(pick(w, []int{16, 61, 601})) * sec
		w.jump = w.now
	case op == 63 && w.rand.IntN(16) == 0:
		w.renew()
	}
	for _, x := range w.actors {
		if x.at < w.era && w.now >= w.quiet && x.down < 0 {
			x.down = w.now
		}
	}
	w.judge()
}

// judge counts from outside.
func (w *late) judge() {
	if w.b.Now() < w.now {
		w.b.Tick(w.now) // as an entry that does nothing
		w.log[len(w.log)-1] = w.b.Clone()
		if w.twin != nil {
			w.twin.Tick(w.now)
		}
	}
	if err := w.b.Check(); err != nil {
		w.t.Fatalf("seed %d: %v", w.seed, err)
	}
	if w.now < w.quiet { // what those of the era before begin is not known in this one
		clear(w.seq)
	}
	for _, id := range ids {
		who := ""
		for _, co := range coNames {
			if r, ok := w.acts(co, id); ok {
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
		if q := (query{id, r.Epoch}); ok && w.era == 0 {
			if w.by[q] == "" && r.Epoch <= w.top[id] || w.by[q] != "" && w.by[q] != r.Owner {
				w.t.Fatalf("seed %d: S1: %s is of %s in epoch %d, after %d", w.seed, id, r.Owner, r.Epoch, w.top[id])
			}
			w.by[q], w.top[id] = r.Owner, max(w.top[id], r.Epoch)
		}
		if (r.Phase == Offered || r.Phase == Handed) && w.moves[r.Fence] == 0 {
			w.moves[r.Fence] = w.now
		}
		if began := w.moves[r.Fence]; r.Fence > 0 && w.now >= max(began, w.jump)+3*limits.OfferFor {
			w.t.Fatalf("seed %d: S7: %s is %s since %v, now %v", w.seed, id, r.Phase, began, w.now)
		}
		w.events[r.Phase.String()]++
	}
	minute := 0
	for _, at := range w.moves {
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
func TestLateWords(t *testing.T) {
	events := map[string]int{}
	plays := 200
	if testing.Short() {
		plays = 30
	}
	for seed := range plays {
		l := limits
		l.SessionsMost = 2
		p := start(t, l)
		w := &late{t: t, seed: seed, rand: rand.New(rand.NewPCG(uint64(seed), 1)), b: p.b, now: p.now, actors: map[string]*actor{},
			last: map[ID]query{}, by: map[query]string{}, seq: map[ID]uint64{}, top: map[ID]uint64{},
			moves: map[uint64]time.Duration{}, events: events}
		w.log = append(w.log, p.b.Clone())
		for _, co := range coNames {
			w.actors[co] = &actor{down: -1, frozen: map[ID]uint64{}, ended: map[ID]uint64{}, seq: map[query]uint64{}}
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
