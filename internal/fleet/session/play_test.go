package session

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

var limits = Limits{Revision: 1, Caps: map[string]int{"r0": 4, "r1": 4}, InFlight: 2, PerMinute: 4, OfferFor: 10 * sec, IdleFor: 60 * sec,
	Lease: 10 * sec, Grace: 5 * sec, SessionsMost: 5, StateMost: 64, Slots: 2}

// play applies commands to a book.
type play struct {
	t     rapid.TB
	b     *Book
	now   time.Duration
	fence uint64
	want  string // of the next refusal
}

func start(t rapid.TB, l Limits) *play {
	p := &play{t: t, b: New(), now: 1000 * sec}
	p.must(KindLimits, LimitsBody{l})
	return p
}

// apply gives back the numbers that a refused command took, as the state machine does. A refused one changes nothing but time.
func (p *play) apply(kind string, body any) error {
	p.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	p.b.Tick(p.now)
	before := p.save()
	next := p.fence
	err = p.b.Apply(p.now, func() uint64 { next++; return next }, kind, raw)
	if err == nil {
		p.fence = next
	} else if after := p.save(); after != before {
		p.t.Fatalf("refused %s has changed the book: %v\n%s\n%s", kind, err, before, after)
	}
	if broken := p.b.Check(); broken != nil {
		p.t.Fatalf("after %s %s: %v", kind, raw, broken)
	}
	return err
}

func (p *play) save() string {
	p.t.Helper()
	raw, err := p.b.Save()
	if err != nil {
		p.t.Fatal(err)
	}
	return string(raw)
}

func (p *play) must(kind string, body any) {
	p.t.Helper()
	if err := p.apply(kind, body); err != nil {
		p.t.Fatal(err)
	}
}

func (p *play) refused(words, kind string, body any) {
	p.t.Helper()
	if err := p.apply(kind, body); err == nil || !strings.Contains(err.Error(), words) {
		p.t.Fatalf("%v, want %q", err, words)
	}
}

func acts(from string, a ...Act) ActsBody { return ActsBody{from, a} }

// is compares a session with what it should be: owner, epoch, phase.
func (p *play) is(id ID, owner string, epoch uint64, phase Phase) Record {
	p.t.Helper()
	r, ok := p.b.Get(id)
	if r.Owner != owner || r.Epoch != epoch || r.Phase != phase || ok != (phase != Free) {
		p.t.Fatalf("%+v, want %s %d %s", r, owner, epoch, phase)
	}
	for _, co := range []string{"c0", "c1", "c2"} {
		moves := false
		p.b.Flights(func(r Record) bool {
			moves = moves || r.Owner == co || r.To == co || r.Source == co
			return true
		})
		if p.b.MovesOf(co) != moves {
			p.t.Fatalf("that a session of %s moves: %v, by what moves %v", co, !moves, moves)
		}
	}
	return r
}

var a, b, c = ID{1}, ID{2}, ID{3}

func (p *play) claim(co string, id ID) {
	p.t.Helper()
	r, _ := p.b.Get(id)
	p.must(KindActs, acts(co, Act{Kind: Claim, ID: id, Epoch: r.Epoch, Lane: 3}))
}

// offer gives the offer's number.
func (p *play) offer(id ID, to string) uint64 {
	p.t.Helper()
	r, _ := p.b.Get(id)
	p.must(KindPlan, PlanBody{Offers: []Offer{{ID: id, Epoch: r.Epoch, From: r.Owner, To: to}}})
	return p.fence
}

// A whole move, and the same words again.
func TestMove(t *testing.T) {
	p := start(t, limits)
	claim := acts("c0", Act{Kind: Claim, ID: a, Lane: 3})
	p.must(KindActs, claim)
	p.refused("pinned of \"c0\" in epoch 1", KindActs, claim)
	n := p.offer(a, "c1")
	if r := p.is(a, "c0", 1, Offered); r.To != "c1" || r.Until != p.now+10*sec || r.Fence != n || r.Lane != 3 {
		t.Fatalf("%+v", r)
	}
	hand := acts("c0", Act{Kind: Hand, ID: a, Epoch: 1, Fence: n, Seq: 7, State: []byte("x"), Lane: 4})
	p.must(KindActs, hand)
	if r := p.is(a, "c1", 2, Handed); r.Source != "c0" || r.Seq != 7 || string(r.State) != "x" || r.Lane != 4 {
		t.Fatalf("%+v", r)
	}
	p.refused("it is in epoch 2", KindActs, hand)
	adopt := acts("c1", Act{Kind: Adopt, ID: a, Epoch: 2})
	p.must(KindActs, adopt)
	p.is(a, "c1", 2, Pinned)
	p.refused("it is pinned", KindActs, adopt)
	end := acts("c1", Act{Kind: End, ID: a, Epoch: 2, Seq: 9, Why: "idle"})
	p.must(KindActs, end)
	if r := p.is(a, "", 2, Free); r.Why != "idle" || r.Seq != 9 {
		t.Fatalf("%+v", r)
	}
	p.refused("it is free", KindActs, end)
	p.refused("last in epoch 2", KindActs, claim)
	p.claim("c2", a)
	if r := p.is(a, "c2", 3, Pinned); r.Seq != 9 {
		t.Fatalf("%+v", r)
	}
}

// The place of an end whose session was claimed again is not saved. That it goes must not take the next end with it, or a
// copy from a snapshot and one that applied all would differ.
func TestClaimedAgainAndSaved(t *testing.T) {
	p := start(t, limits)
	for _, id := range []ID{a, b} {
		p.claim("c0", id)
		p.must(KindActs, acts("c0", Act{Kind: End, ID: id, Epoch: 1, Why: "idle"}))
	}
	p.claim("c0", a)
	other := New()
	if err := other.Load([]byte(p.save())); err != nil {
		t.Fatal(err)
	}
	p.now += sec
	p.b.Tick(p.now)
	other.Tick(p.now)
	if r := p.is(b, "", 1, Free); r.Why != "idle" {
		t.Errorf("forgotten too early: %+v", r)
	}
	if raw, err := other.Save(); err != nil || string(raw) != p.save() {
		t.Errorf("saved and not saved differ, %v:\n%s\n%s", err, raw, p.save())
	}
}
