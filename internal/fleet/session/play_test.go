package session

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

var limits = Limits{Revision: 1, Caps: map[string]int{"r0": 4, "r1": 4}, InFlight: 2, PerMinute: 4, StepTimeout: 10 * second, IdleTimeout: 60 * second,
	Lease: 10 * second, Grace: 5 * second, MaxSessions: 5, MaxStateBytes: 64, Slots: 2}

// play applies commands to a book.
type harness struct {
	t         rapid.TB
	b         *State
	now       time.Duration
	fence     uint64
	wantError string // of the next refusal
}

func newHarness(t rapid.TB, l Limits) *harness {
	p := &harness{t: t, b: New(), now: 1000 * second}
	p.mustApply(KindLimits, LimitsBody{l})
	return p
}

// apply gives back the numbers that a refused command took, as the state machine does. A refused one changes nothing but time.
func (p *harness) apply(kind string, body any) error {
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

func (p *harness) save() string {
	p.t.Helper()
	raw, err := p.b.Save()
	if err != nil {
		p.t.Fatal(err)
	}
	return string(raw)
}

func (p *harness) mustApply(kind string, body any) {
	p.t.Helper()
	if err := p.apply(kind, body); err != nil {
		p.t.Fatal(err)
	}
}

func (p *harness) mustRefuse(words, kind string, body any) {
	p.t.Helper()
	if err := p.apply(kind, body); err == nil || !strings.Contains(err.Error(), words) {
		p.t.Fatalf("%v, want %q", err, words)
	}
}

func acts(from string, a ...Act) ActsBody { return ActsBody{from, a} }

// is compares a session with what it should be: owner, epoch, phase.
func (p *harness) expect(id ID, owner string, epoch uint64, phase Phase) Record {
	p.t.Helper()
	r, ok := p.b.Get(id)
	if r.Owner != owner || r.Epoch != epoch || r.Phase != phase || ok != (phase != Free) {
		p.t.Fatalf("%+v, want %s %d %s", r, owner, epoch, phase)
	}
	for _, co := range []string{"c0", "c1", "c2"} {
		moves := false
		p.b.Moves(func(r Record) bool {
			moves = moves || r.Owner == co || r.To == co || r.Source == co
			return true
		})
		if p.b.HasMoves(co) != moves {
			p.t.Fatalf("that a session of %s moves: %v, by what moves %v", co, !moves, moves)
		}
	}
	return r
}

var a, b, c = ID{1}, ID{2}, ID{3}

func (p *harness) claim(co string, id ID) {
	p.t.Helper()
	r, _ := p.b.Get(id)
	p.mustApply(KindActs, acts(co, Act{Kind: Claim, ID: id, Epoch: r.Epoch, Lane: 3}))
}

// offer gives the offer's number.
func (p *harness) offer(id ID, to string) uint64 {
	p.t.Helper()
	r, _ := p.b.Get(id)
	p.mustApply(KindPlan, PlanBody{Offers: []Offer{{ID: id, Epoch: r.Epoch, From: r.Owner, To: to}}})
	return p.fence
}

// A whole move, and the same words again.
func TestMoveCompletesAndRejectsDuplicates(t *testing.T) {
	p := newHarness(t, limits)
	claim := acts("c0", Act{Kind: Claim, ID: a, Lane: 3})
	p.mustApply(KindActs, claim)
	p.mustRefuse("pinned, owned by \"c0\", in epoch 1", KindActs, claim)
	n := p.offer(a, "c1")
	if r := p.expect(a, "c0", 1, Offered); r.To != "c1" || r.Until != p.now+10*second || r.Fence != n || r.Lane != 3 {
		t.Fatalf("%+v", r)
	}
	hand := acts("c0", Act{Kind: HandOver, ID: a, Epoch: 1, Fence: n, Seq: 7, State: []byte("x"), Lane: 4})
	p.mustApply(KindActs, hand)
	if r := p.expect(a, "c1", 2, HandedOver); r.Source != "c0" || r.Seq != 7 || string(r.State) != "x" || r.Lane != 4 {
		t.Fatalf("%+v", r)
	}
	p.mustRefuse("the session is in epoch 2", KindActs, hand)
	adopt := acts("c1", Act{Kind: Adopt, ID: a, Epoch: 2})
	p.mustApply(KindActs, adopt)
	p.expect(a, "c1", 2, Pinned)
	p.mustRefuse("the session is pinned", KindActs, adopt)
	end := acts("c1", Act{Kind: End, ID: a, Epoch: 2, Seq: 9, Reason: "idle"})
	p.mustApply(KindActs, end)
	if r := p.expect(a, "", 2, Free); r.Reason != "idle" || r.Seq != 9 {
		t.Fatalf("%+v", r)
	}
	p.mustRefuse("the session is free", KindActs, end)
	p.mustRefuse("last in epoch 2", KindActs, claim)
	p.claim("c2", a)
	if r := p.expect(a, "c2", 3, Pinned); r.Seq != 9 {
		t.Fatalf("%+v", r)
	}
}

// The place of an end whose session was claimed again is not saved. That it goes must not take the next end with it, or a
// copy from a snapshot and one that applied all would differ.
func TestEndPositionsAfterReclaimSurviveRestore(t *testing.T) {
	p := newHarness(t, limits)
	for _, id := range []ID{a, b} {
		p.claim("c0", id)
		p.mustApply(KindActs, acts("c0", Act{Kind: End, ID: id, Epoch: 1, Reason: "idle"}))
	}
	p.claim("c0", a)
	other := New()
	if err := other.Load([]byte(p.save())); err != nil {
		t.Fatal(err)
	}
	p.now += second
	p.b.Tick(p.now)
	other.Tick(p.now)
	if r := p.expect(b, "", 1, Free); r.Reason != "idle" {
		t.Errorf("forgotten too early: %+v", r)
	}
	if raw, err := other.Save(); err != nil || string(raw) != p.save() {
		t.Errorf("saved and not saved differ, %v:\n%s\n%s", err, raw, p.save())
	}
}
