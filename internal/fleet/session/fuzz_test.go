package session

import (
	"bytes"
	"encoding/json"
	"testing"
)

// stateWithAllPhases returns a state with a session in each phase and a transfer of slots.
func stateWithAllPhases(t testing.TB) *State {
	h := &harness{t: t, state: New(), now: 1000 * second}
	h.mustApply(KindLimits, LimitsBody{limits})
	for _, id := range []ID{idA, idB, idC} {
		h.claim("c0", id)
	}
	h.claim("c0", ID{4})
	h.mustApply(KindActs, acts("c0", Act{Kind: End, ID: ID{4}, Epoch: 1, Reason: "idle"}))
	h.offer(idB, "c1")
	h.offer(idC, "c1")
	h.handOver(idC, 4)
	h.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 4, 0}, {"c0", "c1", "r0", 2, 0}}})
	return h.state
}

// FuzzApply applies arbitrary command bodies. A refused command changes nothing; after an accepted one all invariants hold, and the
// state can be saved and loaded.
func FuzzApply(f *testing.F) {
	initial := stateWithAllPhases(f)
	for kind, body := range []any{
		LimitsBody{limits},
		acts("c1", Act{Kind: Adopt, ID: idC, Epoch: 2}, Act{Kind: Decline, ID: idB, Epoch: 1, Fence: 1}),
		PlanBody{Withdrawals: []Withdrawal{{idB, 1, 1}}, Offers: []Offer{{idA, 1, "c0", "c2", 0}}, Shifts: []Shift{{"", "c0", "r1", 1, 0}}, CancelledTransfers: []uint64{3}},
		ReleaseBody{"c1", limits.SilentFor(), 0},
	} {
		raw, _ := json.Marshal(body)
		f.Add(kind, raw)
	}
	f.Fuzz(func(t *testing.T, kind int, raw []byte) {
		state := initial.Clone()
		before, _ := state.Save()
		fence := uint64(10)
		kinds := []string{KindLimits, KindActs, KindPlan, KindRelease}
		err := state.Apply(1000*second, func() uint64 { fence++; return fence }, kinds[uint(kind)%4], raw)
		after, serr := state.Save()
		if serr != nil || err != nil && !bytes.Equal(before, after) {
			t.Fatalf("%v, %v\n%s\n%s", err, serr, before, after)
		}
		if err := state.Check(); err != nil {
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

// FuzzLoad loads states with arbitrary JSON and binary lists. In every state that Load accepts, all invariants hold, and it can be
// saved and loaded again.
func FuzzLoad(f *testing.F) {
	raw, _ := stateWithAllPhases(f).Save()
	var o envelope
	var v savedState
	_, _ = json.Unmarshal(raw, &o), json.Unmarshal(o.State, &v)
	f.Add([]byte(o.State), v.Sessions, v.Ended)
	f.Fuzz(func(t *testing.T, encoded, live, ended []byte) {
		var v savedState
		if json.Unmarshal(encoded, &v) != nil {
			return
		}
		v.Sessions, v.Ended = live, ended
		encoded, _ = json.Marshal(v)
		state := New()
		if state.Load(wrapWithChecksum(encoded)) != nil {
			return
		}
		if err := state.Check(); err != nil {
			t.Fatal(err)
		}
		raw, err := state.Save()
		if err != nil {
			t.Fatal(err)
		}
		n := New()
		if err := n.Load(raw); err != nil {
			t.Fatalf("%v\n%s", err, raw)
		}
		for range 3 { // ticks still work
			n.Tick(n.Now() + 10*second)
		}
		if err := n.Check(); err != nil {
			t.Fatal(err)
		}
	})
}
