package session

import (
	"bytes"
	"encoding/json"
	"testing"
)

// fuzzed is a book with something in each phase.
func stateWithAllPhases(t testing.TB) *State {
	p := &harness{t: t, b: New(), now: 1000 * second}
	p.mustApply(KindLimits, LimitsBody{limits})
	for _, id := range []ID{a, b, c} {
		p.claim("c0", id)
	}
	p.claim("c0", ID{4})
	p.mustApply(KindActs, acts("c0", Act{Kind: End, ID: ID{4}, Epoch: 1, Reason: "idle"}))
	p.offer(b, "c1")
	p.offer(c, "c1")
	p.handOver(c, 4)
	p.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 4, 0}, {"c0", "c1", "r0", 2, 0}}})
	return p.b
}

// FuzzApply: whatever a body says, what is refused changes nothing, and what is taken breaks nothing and can be saved.
func FuzzApply(f *testing.F) {
	start := stateWithAllPhases(f)
	for kind, body := range []any{
		LimitsBody{limits},
		acts("c1", Act{Kind: Adopt, ID: c, Epoch: 2}, Act{Kind: Decline, ID: b, Epoch: 1, Fence: 1}),
		PlanBody{Withdrawals: []Withdrawal{{b, 1, 1}}, Offers: []Offer{{a, 1, "c0", "c2", 0}}, Shifts: []Shift{{"", "c0", "r1", 1, 0}}, CancelledTransfers: []uint64{3}},
		ReleaseBody{"c1", limits.SilentFor(), 0},
	} {
		raw, _ := json.Marshal(body)
		f.Add(kind, raw)
	}
	f.Fuzz(func(t *testing.T, kind int, raw []byte) {
		b := start.Clone()
		before, _ := b.Save()
		fence := uint64(10)
		kinds := []string{KindLimits, KindActs, KindPlan, KindRelease}
		err := b.Apply(1000*second, func() uint64 { fence++; return fence }, kinds[uint(kind)%4], raw)
		after, serr := b.Save()
		if serr != nil || err != nil && !bytes.Equal(before, after) {
			t.Fatalf("%v, %v\n%s\n%s", err, serr, before, after)
		}
		if err := b.Check(); err != nil {
			t.Fatal(err)
		}
		n := New()
		if err := n.Load(after); err != nil {
			t.Fatalf("%v\n%s", err, after)
		}
		if again, _ := n.Save(); !bytes.Equal(again, after) {
			t.Fatalf("%s\n%s", after, again)
		}
	})
}

// FuzzLoad: what is loaded, with its binary lists spoiled each on its own, holds all rules, and saves and loads again.
func FuzzLoad(f *testing.F) {
	raw, _ := stateWithAllPhases(f).Save()
	var o envelope
	var v savedState
	_, _ = json.Unmarshal(raw, &o), json.Unmarshal(o.State, &v)
	f.Add([]byte(o.State), v.Sessions, v.Ended)
	f.Fuzz(func(t *testing.T, book, live, ended []byte) {
		var v savedState
		if json.Unmarshal(book, &v) != nil {
			return
		}
		v.Sessions, v.Ended = live, ended
		book, _ = json.Marshal(v)
		b := New()
		if b.Load(wrapWithChecksum(book)) != nil {
			return
		}
		if err := b.Check(); err != nil {
			t.Fatal(err)
		}
		raw, err := b.Save()
		if err != nil {
			t.Fatal(err)
		}
		n := New()
		if err := n.Load(raw); err != nil {
			t.Fatalf("%v\n%s", err, raw)
		}
		for range 3 { // it goes on
			n.Tick(n.Now() + 10*second)
		}
		if err := n.Check(); err != nil {
			t.Fatal(err)
		}
	})
}
