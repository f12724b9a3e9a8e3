package session

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/statemachine"
)

func (h *harness) handOver(id ID, seq uint64) {
	h.t.Helper()
	r, _ := h.state.Get(id)
	h.mustApply(KindActs, acts(r.Owner, Act{Kind: HandOver, ID: id, Epoch: r.Epoch, Fence: r.Fence, Seq: seq, State: []byte("s")}))
}

func (h *harness) release(co string) {
	h.t.Helper()
	h.now += limits.SilentFor()
	h.mustApply(KindRelease, ReleaseBody{co, limits.SilentFor(), h.now})
}

// Commands with a wrong owner, epoch, phase, number or size are refused with an error that says why, and change nothing.
func TestInvalidCommandsAreRefused(t *testing.T) {
	h := newHarness(t, limits)
	h.claim("c0", idA)
	h.claim("c0", idB)
	n := h.offer(idB, "c1")
	act := func(from string, x Act) func() { return func() { h.mustRefuse(h.wantError, KindActs, acts(from, x)) } }
	plan := func(x PlanBody) func() { return func() { h.mustRefuse(h.wantError, KindPlan, x) } }
	offer := func(x Offer) func() { return plan(PlanBody{Offers: []Offer{x}}) }
	release := func(x ReleaseBody) func() { return func() { h.mustRefuse(h.wantError, KindRelease, x) } }
	need, long := limits.SilentFor(), strings.Repeat("x", MaxNameBytes+1)
	for _, test := range []struct {
		want string
		f    func()
	}{
		{"all 1 parts were refused, the first: claim 0300", act("c0", Act{Kind: Claim, ID: idC, Epoch: 1})},
		{"last in epoch 0", act("c0", Act{Kind: Claim, ID: idC, Epoch: 1})},
		{`pinned, owned by "c0", in epoch 1`, act("c1", Act{Kind: Claim, ID: idA})}, {"the session is free", act("c0", Act{Kind: End, ID: idC})},
		{"the session is pinned", act("c0", Act{Kind: HandOver, ID: idA, Epoch: 1})}, {"the session is pinned", act("c0", Act{Kind: Adopt, ID: idA, Epoch: 1})},
		{"the session is pinned", act("c0", Act{Kind: Decline, ID: idA, Epoch: 1})}, {`pinned, owned by "c0", not by "c1"`, act("c1", Act{Kind: End, ID: idA, Epoch: 1})},
		{"in epoch 1", act("c0", Act{Kind: End, ID: idA, Epoch: 2})}, {"in epoch 1", act("c0", Act{Kind: End, ID: idA})},
		{`offered, owned by "c0", not by "c1"`, act("c1", Act{Kind: HandOver, ID: idB, Epoch: 1, Fence: n})},
		{"has number 1, not 2", act("c0", Act{Kind: HandOver, ID: idB, Epoch: 1, Fence: 2})},
		{"in epoch 1", act("c0", Act{Kind: HandOver, ID: idB, Epoch: 2, Fence: n})}, {"the session is offered", act("c0", Act{Kind: Adopt, ID: idB, Epoch: 1})},
		{`offered to "c1", not to "c2"`, act("c2", Act{Kind: Decline, ID: idB, Epoch: 1, Fence: n})},
		{`offered to "c1", not to "c0"`, act("c0", Act{Kind: Decline, ID: idB, Epoch: 1, Fence: n})},
		{"has number 1, not 0", act("c1", Act{Kind: Decline, ID: idB, Epoch: 1})}, {"the session is pinned", act("c0", Act{Kind: 9, ID: idA, Epoch: 1})},
		{"a state of 65 bytes", act("c0", Act{Kind: HandOver, ID: idB, Epoch: 1, Fence: n, State: make([]byte, 65)})},
		{"freed 5: no such transfer", act("c0", Act{Kind: Freed, Fence: 5})}, {"acts from \"\"", act("", Act{})},
		{"acts from", act(long, Act{Kind: Claim, ID: idC})},
		{`offered, owned by "c0", in epoch 1`, offer(Offer{idB, 1, "c0", "c2", 0})}, {`pinned, owned by "c0"`, offer(Offer{idA, 1, "c1", "c2", 0})},
		{`in epoch 1`, offer(Offer{idA, 2, "c0", "c2", 0})}, {`from "c0" to "c0"`, offer(Offer{idA, 1, "c0", "c0", 0})},
		{`to "xxxx`, offer(Offer{idA, 1, "c0", long, 0})}, {`to ""`, offer(Offer{idA, 1, "c0", "", 0})},
		{"the session is free", offer(Offer{idC, 1, "c0", "c2", 0})}, {"it may last 10s at most", offer(Offer{idA, 1, "c0", "c2", h.now})},
		{"it may last 10s at most", offer(Offer{idA, 1, "c0", "c2", h.now + 11*second})},
		{"the session is pinned", plan(PlanBody{Withdrawals: []Withdrawal{{idA, 1, n}}})},
		{"in epoch 1", plan(PlanBody{Withdrawals: []Withdrawal{{idB, 2, n}}})},
		{"number 1", plan(PlanBody{Withdrawals: []Withdrawal{{idB, 1, 2}}})}, {"the session is free", plan(PlanBody{Withdrawals: []Withdrawal{{idC, 0, 0}}})},
		{"4 are free", plan(PlanBody{Shifts: []Shift{{"", "c0", "r0", 5, 0}}})},
		{"holds 0", plan(PlanBody{Shifts: []Shift{{"c0", "c1", "r0", 1, 0}}})},
		{"holds 0", plan(PlanBody{Shifts: []Shift{{"c0", "c1", "r0", 1, h.now + 1}}})}, {"back 4", plan(PlanBody{CancelledTransfers: []uint64{4}})},
		{"the command has no parts", plan(PlanBody{})}, {"10001 parts", plan(PlanBody{CancelledTransfers: make([]uint64, MaxActs+1)})},
		{"a silence of 15.15s is needed", release(ReleaseBody{"c9", need - 1, h.now})}, {"it acted at", release(ReleaseBody{"c0", need, h.now})},
		{"the agreed time is 16m40s", release(ReleaseBody{"c9", need, h.now + 1})}, {"1 to 128 bytes, not 0", release(ReleaseBody{"", need, h.now})},
		{"1 to 128 bytes, not 129", release(ReleaseBody{long, need, h.now})}, {"the agreed time is 16m40s", release(ReleaseBody{"c9", need, -1})},
	} {
		h.wantError = test.want
		test.f()
	}
	h.handOver(idB, 5)
	h.mustRefuse(`handed, owned by "c1", not by "c0"`, KindActs, acts("c0", Act{Kind: Adopt, ID: idB, Epoch: 2}))
	h.mustRefuse(`handed, owned by "c1", not by "c2"`, KindActs, acts("c2", Act{Kind: Decline, ID: idB, Epoch: 2}))
	h.mustRefuse("in epoch 2", KindActs, acts("c1", Act{Kind: Decline, ID: idB, Epoch: 1}))
	if err := New().applyRelease(ReleaseBody{"c9", need, 0}); err == nil {
		t.Fatal("released without limits")
	}
	if err := h.state.Apply(h.now, nil, "other", nil); !errors.Is(err, statemachine.ErrUnknown) {
		t.Fatal(err)
	}
	if err := h.state.Apply(h.now, nil, KindActs, []byte(`{"from":"c0","more":1}`)); !errors.Is(err, statemachine.ErrUnknown) {
		t.Fatal(err)
	}
	// Each act is applied or refused on its own.
	h.mustApply(KindActs, acts("c1", Act{Kind: Adopt, ID: idB, Epoch: 9}, Act{Kind: Adopt, ID: idB, Epoch: 2}))
	if refusals, n := h.state.Refusals(); n != 1 || len(refusals) != 1 || !strings.Contains(refusals[0], "adopt 0200") {
		t.Fatal(refusals, n)
	}
	h.offer(idB, "c2")
	h.mustRefuse("counts 3 queries begun, the agreed state 5", KindActs, acts("c1", Act{Kind: HandOver, ID: idB, Epoch: 2, Fence: h.fence, Seq: 3}))
}

// A hand-over for a withdrawn offer arrives late, when the session is offered again in the same epoch. It must not count for the
// new offer.
func TestHandOverOfWithdrawnOfferIsRefused(t *testing.T) {
	h := newHarness(t, limits)
	h.claim("c0", idA)
	n := h.offer(idA, "c1")
	late := acts("c0", Act{Kind: HandOver, ID: idA, Epoch: 1, Fence: n, Seq: 10})
	decline := acts("c1", Act{Kind: Decline, ID: idA, Epoch: 1, Fence: n})
	h.mustApply(KindPlan, PlanBody{Withdrawals: []Withdrawal{{idA, 1, n}}})
	h.offer(idA, "c1")
	h.mustRefuse("has number 2, not 1", KindActs, late)
	h.mustRefuse("has number 2, not 1", KindActs, decline)
	h.handOver(idA, 20)
	h.mustRefuse("in epoch 2", KindActs, late)
	h.mustApply(KindActs, acts("c1", Act{Kind: Adopt, ID: idA, Epoch: 2}))
	h.offer(idA, "c0")
	h.mustRefuse("in epoch 2", KindActs, late)
	h.handOver(idA, 30)
	h.expect(idA, "c0", 3, HandedOver)
}

// A session is declined before and after the hand-over, and moves expire in each step.
func TestDeclinedAndExpiredMoves(t *testing.T) {
	h := newHarness(t, limits)
	h.claim("c0", idA)
	h.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: idA, Epoch: 1, Fence: h.offer(idA, "c1")}))
	h.expect(idA, "c0", 1, Pinned)
	h.offer(idA, "c1")
	h.handOver(idA, 4)
	h.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: idA, Epoch: 2}))
	if r := h.expect(idA, "c0", 3, HandedOver); r.Source != "" || r.Seq != 4 || string(r.State) != "s" {
		t.Fatalf("%+v", r)
	}
	h.mustApply(KindActs, acts("c0", Act{Kind: Decline, ID: idA, Epoch: 3}))
	if r := h.expect(idA, "", 3, Free); r.Reason != "no co-ordinator had room for it" {
		t.Fatalf("%+v", r)
	}
	h.now += time.Minute + second
	h.claim("c0", idA)
	h.offer(idA, "c1")
	h.now += 10*second - 1
	h.state.Tick(h.now)
	h.expect(idA, "c0", 4, Offered)
	h.now++
	h.mustApply(KindTick, TickBody{})
	h.expect(idA, "c0", 4, Pinned)
	h.offer(idA, "c1")
	h.now += 9 * second
	h.handOver(idA, 6)
	for _, want := range []struct {
		owner string
		epoch uint64
		phase Phase
	}{{"c1", 5, HandedOver}, {"c0", 6, HandedOver}, {"", 6, Free}} {
		h.expect(idA, want.owner, want.epoch, want.phase)
		h.now += 10 * second
		h.mustApply(KindTick, TickBody{})
	}
	if r, _ := h.state.Get(idA); r.Reason != "no co-ordinator took it over in time" || r.Seq != 6 {
		t.Fatalf("%+v", r)
	}
}

// A release of the source or the target of a move, with sessions in each phase. A repeated release must not free what the
// co-ordinator got after its return.
func TestRelease(t *testing.T) {
	l := limits
	l.InFlight, l.PerMinute, l.StepTimeout = 9, 99, time.Hour
	build := func() *harness {
		h := newHarness(t, l)
		for i := range byte(5) {
			h.claim("c0", ID{i})
		}
		h.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 3, 0}, {"", "c1", "r0", 1, 0}}})
		for i := byte(1); i < 5; i++ { // 0 pinned, 1 offered, 2 handed over, 3 returned, 4 adopted
			h.offer(ID{i}, "c1")
		}
		for i := byte(2); i < 5; i++ {
			h.handOver(ID{i}, uint64(i))
		}
		h.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: ID{3}, Epoch: 2}, Act{Kind: Adopt, ID: ID{4}, Epoch: 2}))
		h.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"c0", "c1", "r0", 1, 0}}})
		return h
	}
	h := build()
	h.release("c0")
	for i, want := range []Record{{}, {}, {Owner: "c1", Epoch: 2, Phase: HandedOver}, {}, {Owner: "c1", Epoch: 2, Phase: Pinned}} {
		if r, _ := h.state.Get(ID{byte(i)}); r.Owner != want.Owner || r.Phase != want.Phase || want.Epoch > 0 && r.Epoch != want.Epoch || r.Source != "" ||
			r.Phase == Free && r.Reason != "its co-ordinator was silent" {
			t.Fatalf("%+v", r)
		}
	}
	if h.state.Pool().Held("c1", "r0") != 2 || h.state.Pool().Free("r0") != 2 {
		t.Fatalf("%+v", h.state.Pool().Save())
	}
	again := ReleaseBody{"c0", limits.SilentFor(), h.now}
	h.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 2, 0}}}) // c0 has returned
	h.now += second
	h.mustRefuse("it was released at", KindRelease, again)
	h.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: ID{2}, Epoch: 2})) // the source was released
	if r := h.expect(ID{2}, "", 2, Free); r.Seq != 2 {
		t.Fatalf("%+v", r)
	}
	h = build()
	h.release("c1")
	h.expect(ID{0}, "c0", 1, Pinned)
	h.expect(ID{1}, "c0", 1, Pinned)
	h.expect(ID{2}, "c0", 3, HandedOver)
	h.expect(ID{3}, "c0", 3, HandedOver)
	if r := h.expect(ID{4}, "", 2, Free); r.Seq != 4 {
		t.Fatalf("%+v", r)
	}
	if h.state.Pool().Held("c0", "r0") != 3 || h.state.Pool().Free("r0") != 1 {
		t.Fatalf("%+v", h.state.Pool().Save())
	}
}

// The limits are checked when a command is applied: sessions, moves in flight, offers in a minute (counted per second) and slots.
// Limits of the same revision with other values, and limits out of their range, are refused.
func TestLimits(t *testing.T) {
	h := newHarness(t, limits)
	var all []Act
	for i := range byte(6) {
		all = append(all, Act{Kind: Claim, ID: ID{i}})
	}
	h.mustApply(KindActs, acts("c0", all...))
	if refusals, n := h.state.Refusals(); n != 1 || h.state.Len() != 5 || h.state.Owned("c0") != 5 || !strings.Contains(refusals[0], "5 sessions exist, 5 are allowed") {
		t.Fatal(refusals, n)
	}
	h.now = h.now.Truncate(second) + second - 1 // at the end of a second
	for i := range byte(4) {
		h.offer(ID{i}, "c1")
		if i%2 == 1 {
			h.mustRefuse("2 sessions are in flight, 2 are allowed", KindPlan, PlanBody{Offers: []Offer{{ID{4}, 1, "c0", "c1", 0}}})
			h.now += 11 * second
			h.state.Tick(h.now)
		}
	}
	h.now = 1060 * second
	h.mustRefuse("4 sessions were offered in the last minute, 4 are allowed", KindPlan, PlanBody{Offers: []Offer{{ID{4}, 1, "c0", "c1", 0}}})
	h.now = 1061 * second
	h.offer(ID{4}, "c1")

	l := limits
	h.mustApply(KindLimits, LimitsBody{l}) // the same limits again are accepted
	l.Slots++
	h.mustRefuse("revision 1, 1 is in force", KindLimits, LimitsBody{l})
	for name, corrupt := range map[string]func(*Limits){
		"in_flight": func(l *Limits) { l.InFlight = -1 }, "per_minute": func(l *Limits) { l.PerMinute = -1 }, "offer_for": func(l *Limits) { l.StepTimeout = 0 },
		"sessions_most": func(l *Limits) { l.MaxSessions = MaxSessions + 1 }, "state_most": func(l *Limits) { l.MaxStateBytes = MaxStateBytes + 1 },
		"slots": func(l *Limits) { l.Slots = 0 }, "lease": func(l *Limits) { l.Lease = 0 }, "grace": func(l *Limits) { l.Grace = 25 * time.Hour },
		"idle_for": func(l *Limits) { l.IdleTimeout = -1 }, "slots at r1": func(l *Limits) { l.Caps = map[string]int{"r0": 1, "r1": -1} },
	} {
		l := limits
		l.Revision = 2
		corrupt(&l)
		h.mustRefuse(name, KindLimits, LimitsBody{l})
	}
	h.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 3, 0}, {"c0", "c1", "r0", 2, 0}, {"c0", "c1", "r0", 1, h.now + second}}})
	fence, pool := h.fence, h.state.Pool()
	if pool.Held("c0", "r0") != 0 || pool.Held("c1", "r0") != 0 || len(pool.PendingReleases("c0")) != 2 {
		t.Fatalf("%+v", pool.Save())
	}
	h.mustRefuse(`does not wait for "c1"`, KindActs, acts("c1", Act{Kind: Freed, Fence: fence}))
	h.mustApply(KindActs, acts("c0", Act{Kind: Freed, Fence: fence}))
	h.mustApply(KindPlan, PlanBody{CancelledTransfers: []uint64{fence - 1}})
	if pool.Held("c0", "r0") != 2 || pool.Held("c1", "r0") != 1 {
		t.Fatalf("%+v", pool.Save())
	}
	l.Revision, l.Caps, l.InFlight = 2, map[string]int{"r1": 9}, 0
	h.mustApply(KindLimits, LimitsBody{l})
	h.now += second
	h.mustApply(KindActs, acts("c1", Act{Kind: Freed, Fence: fence}))
	h.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"c0", "", "r0", 3, 0}}})
	h.mustApply(KindActs, acts("c0", Act{Kind: Freed, Fence: h.fence}))
	if r := pool.Replicas(); len(r) != 1 || pool.Cap("r1") != 9 {
		t.Fatalf("%+v", pool.Save())
	}
	h.mustRefuse("0 are allowed", KindPlan, PlanBody{Offers: []Offer{{ID{0}, 1, "c0", "c1", 0}}})
}

// Epochs keep growing after ends and co-ordinators are forgotten, by age or because there are too many.
func TestEpochsGrowAfterEndsAreForgotten(t *testing.T) {
	l := limits
	l.MaxSessions, l.StepTimeout = MaxSessions, time.Hour
	h := newHarness(t, l)
	h.claim("c0", idA)
	h.offer(idA, "c1")
	h.handOver(idA, 1)
	h.mustApply(KindActs, acts("c1", Act{Kind: End, ID: idA, Epoch: 2, Reason: strings.Repeat("ä", MaxReasonBytes)}))
	if r := h.expect(idA, "", 2, Free); len(r.Reason) != MaxReasonBytes || h.expect(idB, "", 0, Free).Reason != "" {
		t.Fatalf("%+v", r)
	}
	h.now += EndRetention
	h.mustApply(KindTick, TickBody{})
	if r := h.expect(idA, "", 2, Free); r.Reason != "" || h.expect(idB, "", 2, Free).Reason != "" {
		t.Fatalf("%+v", r)
	}
	h.now++
	h.claim("c0", idA)
	h.expect(idA, "c0", 3, Pinned)
	var claims, ends []Act
	for i := range MaxEnds + 1 {
		id := ID{9, byte(i >> 16), byte(i >> 8), byte(i)}
		claims, ends = append(claims, Act{Kind: Claim, ID: id, Epoch: 2}), append(ends, Act{Kind: End, ID: id, Epoch: 3})
		if len(claims) == MaxActs || i == MaxEnds {
			h.state.mustApplyActs(t, acts("c0", claims...))
			h.state.mustApplyActs(t, acts("c0", ends...))
			claims, ends = claims[:0], ends[:0]
		}
	}
	if n := len(h.state.ended); n != MaxEnds || h.expect(ID{9}, "", 3, Free).Since != 0 {
		t.Fatal(n)
	}
	other := newHarness(t, limits)
	for i := range uint64(200) { // a session that ends again and again takes no more memory
		other.claim("c0", idC)
		other.mustApply(KindActs, acts("c0", Act{Kind: End, ID: idC, Epoch: i + 1}))
	}
	if n := len(other.state.endOrder); n > 2+64+1 {
		t.Fatal(n)
	}
	for i := range MaxCoordinators + 1 {
		err := h.state.act(fmt.Sprint("n", i), Act{Kind: Claim, ID: ID{8, byte(i >> 8), byte(i)}, Epoch: h.state.maxForgottenEpoch})
		if (err == nil) != (i < MaxCoordinators-1) { // c0 owns a session and keeps its entry; that of c1 has expired
			t.Fatal(i, err)
		}
	}
	h.offer(ID{8}, "another")
	r, _ := h.state.Get(ID{8})
	if err := h.state.act(r.Owner, Act{Kind: HandOver, ID: r.ID, Epoch: r.Epoch, Fence: r.Fence}); err == nil {
		t.Fatal("handed over to a co-ordinator beyond the limit")
	}
	if err := h.state.Check(); err != nil {
		t.Fatal(err)
	}
	h.mustRefuse("4096 co-ordinators are known", KindRelease, ReleaseBody{"another", limits.SilentFor(), h.now})
	h.mustRefuse("10001 acts", KindActs, acts("c0", make([]Act, MaxActs+1)...))
}

func (s *State) mustApplyActs(t *testing.T, body ActsBody) {
	if err := s.applyActs(body); err != nil {
		t.Fatal(err)
	}
}

// A raft group that is set up anew frees all sessions and slots. Nothing is claimed before the previous leases have ended.
func TestRenewFreesAllSessions(t *testing.T) {
	h := newHarness(t, limits)
	h.claim("c0", idA)
	h.claim("c0", idB)
	h.mustApply(KindActs, acts("c0", Act{Kind: End, ID: idB, Epoch: 1}))
	h.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 4, 0}, {"c0", "c1", "r0", 2, 0}}})
	h.state.Renew(h.now + 20*second)
	if r := h.expect(idA, "", 1+EpochGap, Free); r.Reason != "the raft group was set up anew" || h.state.Pool().Free("r0") != 4 || h.state.BlockedUntil() != h.now+20*second {
		t.Fatalf("%+v", r)
	}
	h.mustRefuse("no session can be claimed before 17m0s", KindActs, acts("c0", Act{Kind: Claim, ID: idA, Epoch: 1 + EpochGap}))
	h.mustRefuse("no slots are assigned before 17m0s", KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 1, 0}}})
	h.now += 20 * second
	h.mustRefuse("last in epoch 1048577", KindActs, acts("c0", Act{Kind: Claim, ID: idA, Epoch: 1}))
	h.claim("c0", idA)
	h.expect(idA, "c0", 2+EpochGap, Pinned)
	h.claim("c0", idB)
	h.expect(idB, "c0", 2+EpochGap, Pinned)
}

var offeredID = idB

// Check reports each violated invariant with its evidence.
func TestCheckFindsEachViolation(t *testing.T) {
	for want, corrupt := range map[string]func(*State){
		"S1: " + idA.String() + " is pinned in epoch 1 without a known owner": func(s *State) {
			l := s.sessions[idA]
			l.owner = 9
			s.sessions[idA] = l
		},
		"S1: " + idA.String() + " is pinned in epoch 1 and ended": func(s *State) { s.ended[idA] = s.ended[ID{4}] },
		"S1: " + idC.String() + " is pinned, and has a move: true": func(s *State) {
			l := s.sessions[idC]
			l.phase = Pinned
			s.sessions[idC] = l
		},
		"S1: 3 moves exist":                     func(s *State) { s.moves[ID{7}] = move{} },
		"S1: c0 owns 2 sessions, 3 are counted": func(s *State) { s.coordinators[s.indexByName["c0"]].owned++ },
		"S1: 1 ends in order, 2 by id":          func(s *State) { s.ended[ID{5}] = s.ended[ID{4}] },
		"S1: 04000000000000000000000000000000 ended in epoch 0": func(s *State) {
			e := s.ended[ID{4}]
			e.epoch = 0
			s.ended[ID{4}] = e
		},
		"S1: offer 1 belongs to 02": func(s *State) {
			f := s.moves[idC]
			f.Fence = 1
			f.Hand.Fence = 1
			s.moves[idC] = f
		},
		"S1: " + offeredID.String() + " of c0 in epoch 1 is offered by c0 in 2": func(s *State) {
			f := s.moves[offeredID]
			f.Epoch = 2
			s.moves[offeredID] = f
		},
		"S7: " + offeredID.String() + " is offered to c1 until": func(s *State) {
			f := s.moves[offeredID]
			f.Until = s.now
			s.moves[offeredID] = f
		},
		"S1: " + idC.String() + " is handed over to c1 without": func(s *State) {
			f := s.moves[idC]
			f.Hand = nil
			s.moves[idC] = f
		},
		"S1: offer 2 of " + idC.String() + " by c0 in epoch 1 was handed over by c0 in 1, for offer 1": func(s *State) { s.moves[idC].Hand.Fence = 1 },
		"S7: " + idC.String() + " of c1 in epoch 3": func(s *State) {
			l := s.sessions[idC]
			l.epoch = 3
			s.sessions[idC] = l
		},
		"S7: 2 are in flight": func(s *State) { s.limits.InFlight = 1 },
		"S7: 2 were offered in a minute": func(s *State) {
			s.limitsAt, s.limits.PerMinute = -time.Hour, 1
		},
	} {
		h := newHarness(t, limits)
		for _, id := range []ID{idA, idB, idC, {4}} {
			h.claim("c0", id)
		}
		h.mustApply(KindActs, acts("c0", Act{Kind: End, ID: ID{4}, Epoch: 1}))
		h.offer(idB, "c1")
		h.offer(idC, "c1")
		h.handOver(idC, 1)
		corrupt(h.state)
		if err := h.state.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
