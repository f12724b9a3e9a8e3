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

// harness applies commands to a State and checks the invariants after each.
type harness struct {
	t         rapid.TB
	state     *State
	now       time.Duration
	fence     uint64
	wantError string // expected in the error of the next refused command
}

func newHarness(t rapid.TB, l Limits) *harness {
	h := &harness{t: t, state: New(), now: 1000 * second}
	h.mustApply(KindLimits, LimitsBody{l})
	return h
}

// apply applies a command. If it is refused, the fence numbers that it took are free again, as in the state machine, and apply
// fails the test if the command changed more than the time.
func (h *harness) apply(kind string, body any) error {
	h.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		h.t.Fatal(err)
	}
	h.state.Tick(h.now)
	before := h.save()
	next := h.fence
	err = h.state.Apply(h.now, func() uint64 { next++; return next }, kind, raw)
	if err == nil {
		h.fence = next
	} else if after := h.save(); after != before {
		h.t.Fatalf("refused %s has changed the state: %v\n%s\n%s", kind, err, before, after)
	}
	if violation := h.state.Check(); violation != nil {
		h.t.Fatalf("after %s %s: %v", kind, raw, violation)
	}
	return err
}

func (h *harness) save() string {
	h.t.Helper()
	raw, err := h.state.Save()
	if err != nil {
		h.t.Fatal(err)
	}
	return string(raw)
}

func (h *harness) mustApply(kind string, body any) {
	h.t.Helper()
	if err := h.apply(kind, body); err != nil {
		h.t.Fatal(err)
	}
}

func (h *harness) mustRefuse(text, kind string, body any) {
	h.t.Helper()
	if err := h.apply(kind, body); err == nil || !strings.Contains(err.Error(), text) {
		h.t.Fatalf("%v, want %q", err, text)
	}
}

func acts(from string, a ...Act) ActsBody { return ActsBody{from, a} }

// expect fails the test unless a session has this owner, epoch and phase, and HasMoves agrees with Moves.
func (h *harness) expect(id ID, owner string, epoch uint64, phase Phase) Record {
	h.t.Helper()
	r, ok := h.state.Get(id)
	if r.Owner != owner || r.Epoch != epoch || r.Phase != phase || ok != (phase != Free) {
		h.t.Fatalf("%+v, want %s %d %s", r, owner, epoch, phase)
	}
	for _, co := range []string{"c0", "c1", "c2"} {
		moves := false
		h.state.Moves(func(r Record) bool {
			moves = moves || r.Owner == co || r.To == co || r.Source == co
			return true
		})
		if h.state.HasMoves(co) != moves {
			h.t.Fatalf("HasMoves(%s) is %v, by Moves it is %v", co, !moves, moves)
		}
	}
	return r
}

var idA, idB, idC = ID{1}, ID{2}, ID{3}

func (h *harness) claim(co string, id ID) {
	h.t.Helper()
	r, _ := h.state.Get(id)
	h.mustApply(KindActs, acts(co, Act{Kind: Claim, ID: id, Epoch: r.Epoch, Lane: 3}))
}

// offer offers a session and returns the number of the offer.
func (h *harness) offer(id ID, to string) uint64 {
	h.t.Helper()
	r, _ := h.state.Get(id)
	h.mustApply(KindPlan, PlanBody{Offers: []Offer{{ID: id, Epoch: r.Epoch, From: r.Owner, To: to}}})
	return h.fence
}

// A complete move, with each command sent a second time: the duplicates must be refused.
func TestMoveCompletesAndRejectsDuplicates(t *testing.T) {
	h := newHarness(t, limits)
	claim := acts("c0", Act{Kind: Claim, ID: idA, Lane: 3})
	h.mustApply(KindActs, claim)
	h.mustRefuse("pinned, owned by \"c0\", in epoch 1", KindActs, claim)
	n := h.offer(idA, "c1")
	if r := h.expect(idA, "c0", 1, Offered); r.To != "c1" || r.Until != h.now+10*second || r.Fence != n || r.Lane != 3 {
		t.Fatalf("%+v", r)
	}
	handOver := acts("c0", Act{Kind: HandOver, ID: idA, Epoch: 1, Fence: n, Seq: 7, State: []byte("x"), Lane: 4})
	h.mustApply(KindActs, handOver)
	if r := h.expect(idA, "c1", 2, HandedOver); r.Source != "c0" || r.Seq != 7 || string(r.State) != "x" || r.Lane != 4 {
		t.Fatalf("%+v", r)
	}
	h.mustRefuse("the session is in epoch 2", KindActs, handOver)
	adopt := acts("c1", Act{Kind: Adopt, ID: idA, Epoch: 2})
	h.mustApply(KindActs, adopt)
	h.expect(idA, "c1", 2, Pinned)
	h.mustRefuse("the session is pinned", KindActs, adopt)
	end := acts("c1", Act{Kind: End, ID: idA, Epoch: 2, Seq: 9, Reason: "idle"})
	h.mustApply(KindActs, end)
	if r := h.expect(idA, "", 2, Free); r.Reason != "idle" || r.Seq != 9 {
		t.Fatalf("%+v", r)
	}
	h.mustRefuse("the session is free", KindActs, end)
	h.mustRefuse("last in epoch 2", KindActs, claim)
	h.claim("c2", idA)
	if r := h.expect(idA, "c2", 3, Pinned); r.Seq != 9 {
		t.Fatalf("%+v", r)
	}
}

// The entry in endOrder of an end whose session was claimed again is not saved. Dropping it must not drop the next end too;
// otherwise a copy restored from a snapshot would differ from one that applied every command.
func TestEndPositionsAfterReclaimSurviveRestore(t *testing.T) {
	h := newHarness(t, limits)
	for _, id := range []ID{idA, idB} {
		h.claim("c0", id)
		h.mustApply(KindActs, acts("c0", Act{Kind: End, ID: id, Epoch: 1, Reason: "idle"}))
	}
	h.claim("c0", idA)
	other := New()
	if err := other.Load([]byte(h.save())); err != nil {
		t.Fatal(err)
	}
	h.now += second
	h.state.Tick(h.now)
	other.Tick(h.now)
	if r := h.expect(idB, "", 1, Free); r.Reason != "idle" {
		t.Errorf("forgotten too early: %+v", r)
	}
	if raw, err := other.Save(); err != nil || string(raw) != h.save() {
		t.Errorf("restored and original state differ, %v:\n%s\n%s", err, raw, h.save())
	}
}
