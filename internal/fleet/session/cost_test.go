package session

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// largeState returns a state with n sessions of 20 co-ordinators, a tenth of them handed over with a state, up to MaxInFlight.
func largeState(t testing.TB, n int) *State {
	l := limits
	l.MaxSessions, l.InFlight, l.PerMinute, l.StepTimeout, l.MaxStateBytes = MaxSessions, MaxInFlight, MaxOffersPerMinute, time.Hour, MaxStateBytes
	state, fence := New(), uint64(0)
	apply := func(kind string, body any) {
		raw, err := json.Marshal(body)
		if err == nil {
			err = state.Apply(1000*second, func() uint64 { fence++; return fence }, kind, raw)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	apply(KindLimits, LimitsBody{l})
	for i := 0; i < n; i += 1000 {
		co, plan, hands := fmt.Sprint("co-ordinator-", i/1000%20), PlanBody{}, ActsBody{}
		body := claims(co, i)
		apply(KindActs, body)
		hands.From = co
		for _, x := range body.Acts[:100] {
			plan.Offers = append(plan.Offers, Offer{ID: x.ID, Epoch: 1, From: co, To: "co-ordinator-x"})
			n := fence + uint64(len(plan.Offers))
			hands.Acts = append(hands.Acts, Act{Kind: HandOver, ID: x.ID, Epoch: 1, Fence: n, State: []byte("a state of some bytes")})
		}
		if state.Moving()+100 <= MaxInFlight {
			apply(KindPlan, plan)
			apply(KindActs, hands)
		}
	}
	return state
}

func claims(co string, from int) ActsBody {
	body := ActsBody{From: co}
	for i := range 1000 {
		body.Acts = append(body.Acts, Act{Kind: Claim, ID: IDOf(from%7, fmt.Append(nil, "a client's key ", from+i)), Lane: 1})
	}
	return body
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Bounds the cost of 100,000 sessions, 10,000 of them handed over: memory, snapshot size and the time of a command of 1,000 claims.
func TestMemorySnapshotAndApplyCost(t *testing.T) {
	n := 100_000
	if raceEnabled {
		n = 10_000 // the race detector changes the costs, so they are not checked
	}
	before := heapBytes()
	state := largeState(t, n)
	if state.Len() != n || state.Moving() != n/10 {
		t.Fatal(state.Len(), state.Moving())
	}
	bytesPerSession := int(heapBytes()-before) / n
	raw, err := state.Save()
	if err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	again := New()
	if err := again.Load(raw); err != nil {
		t.Fatal(err)
	}
	load := time.Since(begin)
	if resaved, _ := again.Save(); string(resaved) != string(raw) {
		t.Fatal("the restored state saves to other bytes")
	}
	body, _ := json.Marshal(claims("c0", n))
	best := time.Hour
	for range 20 { // the best of 20, because the machine is shared
		c := state.Clone()
		begin := time.Now()
		if err := c.Apply(1000*second, nil, KindActs, body); err != nil || c.Len() != n+1000 {
			t.Fatal(err, c.Len())
		}
		best = min(best, time.Since(begin))
	}
	t.Logf("%d bytes of heap and %d of a snapshot each; load %v; 1,000 claims (%d bytes) %v", bytesPerSession, len(raw)/n, load, len(body), best)
	if raceEnabled {
		return
	}
	if bytesPerSession >= 200 || len(raw)/n >= 100 { // the requirement is less than 400 bytes a session
		t.Errorf("%d bytes of heap and %d of a snapshot each, 200 and 100 are allowed", bytesPerSession, len(raw)/n)
	}
	if best > 5*time.Millisecond {
		t.Errorf("1,000 claims take %v, 5 ms are allowed", best)
	}
}

// Loading a snapshot that is truncated or damaged at any byte, of another version, or with an unknown field fails and changes
// nothing.
func TestLoadIsAtomic(t *testing.T) {
	h := newHarness(t, limits)
	for _, id := range []ID{idA, idB, idC} {
		h.claim("c0", id)
	}
	h.mustApply(KindActs, acts("c0", Act{Kind: End, ID: idC, Epoch: 1, Reason: "idle"}))
	h.offer(idB, "c1")
	h.handOver(idB, 4)
	h.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 4, 0}, {"c0", "c1", "r0", 2, 0}}})
	good := h.save()
	damaged := []string{strings.Replace(good, `"v":1`, `"v":2`, 1), strings.Replace(good, `"v":1`, `"v":1,"x":1`, 1), good + good,
		strings.Replace(good, `"sum":`, `"sum":1`, 1)}
	for i := range good {
		damaged = append(damaged, good[:i], good[:i]+string(good[i]^1)+good[i+1:])
	}
	for _, raw := range damaged {
		if err := h.state.Load([]byte(raw)); err == nil || h.save() != good {
			t.Fatalf("%v of %s", err, raw)
		}
	}
	n := New()
	if err := n.Load([]byte(good)); err != nil {
		t.Fatal(err)
	}
	h.state = n
	h.expect(idB, "c1", 2, HandedOver)
	if h.save() != good || h.expect(idC, "", 1, Free).Reason != "idle" {
		t.Fatal(h.save())
	}
	clone := n.Clone()
	h.claim("c2", idC)
	h.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: idB, Epoch: 2}))
	if h.state = clone; h.save() != good {
		t.Fatal("a change of the original shows in its clone")
	}
}

// A snapshot with a correct checksum but invalid lists is refused.
func TestLoadRefusesInvalidLists(t *testing.T) {
	raw, _ := stateWithAllPhases(t).Save()
	var o envelope
	if err := json.Unmarshal(raw, &o); err != nil {
		t.Fatal(err)
	}
	long := strings.Repeat("x", MaxNameBytes+1)
	for want, corrupt := range map[string]func(*savedState){
		"in_flight":          func(v *savedState) { v.Limits.InFlight = -1 },
		"4097 co-ordinators": func(v *savedState) { v.Coordinators = make([]savedCoordinator, MaxCoordinators+1) },
		"10001 moves":        func(v *savedState) { v.Moves = make([]savedMove, MaxInFlight+1) },
		"65537 rea":          func(v *savedState) { v.Reasons = make([]string, MaxEnds+1) },
		"63 seconds":         func(v *savedState) { v.Offers = make([]offerCount, 63) },
		"invalid time -1n":   func(v *savedState) { v.BlockedUntil = -1 },
		"invalid time 219":   func(v *savedState) { v.BlockedUntil = 250*365*24*time.Hour + 1 },
		"state at 16m40s has limits of 16m40.000000001s": func(v *savedState) { v.LimitsAt++ },
		"slots of 16m39.999999999s":                      func(v *savedState) { v.Pool.Now-- },
		`co-ordinator "c1" is out of order`:              func(v *savedState) { v.Coordinators = append(v.Coordinators, v.Coordinators[1]) },
		`co-ordinator ""`:                                func(v *savedState) { v.Coordinators[0].Name = "" },
		`co-ordinator "xxxx`:                             func(v *savedState) { v.Coordinators[1].Name = long },
		"0 offers at":                                    func(v *savedState) { v.Offers[0].N = 0 },
		"1000001 offers":                                 func(v *savedState) { v.Offers[0].N = MaxOffersPerMinute + 1 },
		"2 offers at 16m40.000000001s":                   func(v *savedState) { v.Offers[0].At++ },
		"2 offers at -1s":                                func(v *savedState) { v.Offers[0].At = -second },
		"2 offers at 16m41s":                             func(v *savedState) { v.Offers[0].At += second },
		"2 offers at 16m40s":                             func(v *savedState) { v.Offers = append(v.Offers, v.Offers[0]) },
		"session 2 is truncated":                         func(v *savedState) { v.Sessions = v.Sessions[:len(v.Sessions)-1] },
		"session 1 is truncated":                         func(v *savedState) { v.Sessions = append(v.Sessions[:22:22], v.Sessions[:22]...) },
		"session 0 is truncated":                         func(v *savedState) { v.Sessions[16] = 2 },
		"move of 0300":                                   func(v *savedState) { v.Moves[0] = v.Moves[1] },
		"reason 1 is out":                                func(v *savedState) { v.Reasons = append(v.Reasons, v.Reasons...) },
		"reason 0 is out":                                func(v *savedState) { v.Reasons[0] = long },
		"end 0 is truncated":                             func(v *savedState) { v.Ended = v.Ended[:len(v.Ended)-1] },
		"end 1 is truncated, invalid or duplicate":       func(v *savedState) { v.Ended = append(v.Ended, v.Ended...) },
		"pool: saved":                                    func(v *savedState) { v.Pool.Replicas[0].Free = -1 },
		"S7:":                                            func(v *savedState) { v.Moves[0].Until = v.Now },
		"S1: c0 owns 2 sessions":                         func(v *savedState) { v.Coordinators[0].LastActAt = v.Now + 1 },
	} {
		var v savedState
		if err := json.Unmarshal(o.State, &v); err != nil {
			t.Fatal(err)
		}
		corrupt(&v)
		encoded, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		state := New()
		if err := state.Load(wrapWithChecksum(encoded)); err == nil || !strings.Contains(err.Error(), want) || state.Len() != 0 {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
