package session

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/statemachine"
)

func (p *harness) handOver(id ID, seq uint64) {
	p.t.Helper()
	r, _ := p.b.Get(id)
	p.mustApply(KindActs, acts(r.Owner, Act{Kind: HandOver, ID: id, Epoch: r.Epoch, Fence: r.Fence, Seq: seq, State: []byte("s")}))
}

func (p *harness) release(co string) {
	p.t.Helper()
	p.now += limits.SilentFor()
	p.mustApply(KindRelease, ReleaseBody{co, limits.SilentFor(), p.now})
}

// Acts of a wrong owner, epoch, phase or number are refused, each in words, and change nothing.
func TestInvalidCommandsAreRefused(t *testing.T) {
	p := newHarness(t, limits)
	p.claim("c0", a)
	p.claim("c0", b)
	n := p.offer(b, "c1")
	act := func(from string, x Act) func() { return func() { p.mustRefuse(p.wantError, KindActs, acts(from, x)) } }
	plan := func(x PlanBody) func() { return func() { p.mustRefuse(p.wantError, KindPlan, x) } }
	offer := func(x Offer) func() { return plan(PlanBody{Offers: []Offer{x}}) }
	release := func(x ReleaseBody) func() { return func() { p.mustRefuse(p.wantError, KindRelease, x) } }
	need, long := limits.SilentFor(), strings.Repeat("x", MaxNameBytes+1)
	for _, one := range []struct {
		want string
		f    func()
	}{
		{"all 1 parts were refused, the first: claim 0300", act("c0", Act{Kind: Claim, ID: c, Epoch: 1})},
		{"last in epoch 0", act("c0", Act{Kind: Claim, ID: c, Epoch: 1})},
		{`pinned, owned by "c0", in epoch 1`, act("c1", Act{Kind: Claim, ID: a})}, {"the session is free", act("c0", Act{Kind: End, ID: c})},
		{"the session is pinned", act("c0", Act{Kind: HandOver, ID: a, Epoch: 1})}, {"the session is pinned", act("c0", Act{Kind: Adopt, ID: a, Epoch: 1})},
		{"the session is pinned", act("c0", Act{Kind: Decline, ID: a, Epoch: 1})}, {`pinned, owned by "c0", not by "c1"`, act("c1", Act{Kind: End, ID: a, Epoch: 1})},
		{"in epoch 1", act("c0", Act{Kind: End, ID: a, Epoch: 2})}, {"in epoch 1", act("c0", Act{Kind: End, ID: a})},
		{`offered, owned by "c0", not by "c1"`, act("c1", Act{Kind: HandOver, ID: b, Epoch: 1, Fence: n})},
		{"has number 1, not 2", act("c0", Act{Kind: HandOver, ID: b, Epoch: 1, Fence: 2})},
		{"in epoch 1", act("c0", Act{Kind: HandOver, ID: b, Epoch: 2, Fence: n})}, {"the session is offered", act("c0", Act{Kind: Adopt, ID: b, Epoch: 1})},
		{`offered to "c1", not to "c2"`, act("c2", Act{Kind: Decline, ID: b, Epoch: 1, Fence: n})},
		{`offered to "c1", not to "c0"`, act("c0", Act{Kind: Decline, ID: b, Epoch: 1, Fence: n})},
		{"has number 1, not 0", act("c1", Act{Kind: Decline, ID: b, Epoch: 1})}, {"the session is pinned", act("c0", Act{Kind: 9, ID: a, Epoch: 1})},
		{"a state of 65 bytes", act("c0", Act{Kind: HandOver, ID: b, Epoch: 1, Fence: n, State: make([]byte, 65)})},
		{"freed 5: no such transfer", act("c0", Act{Kind: Freed, Fence: 5})}, {"acts from \"\"", act("", Act{})},
		{"acts from", act(long, Act{Kind: Claim, ID: c})},
		{`offered, owned by "c0", in epoch 1`, offer(Offer{b, 1, "c0", "c2", 0})}, {`pinned, owned by "c0"`, offer(Offer{a, 1, "c1", "c2", 0})},
		{`in epoch 1`, offer(Offer{a, 2, "c0", "c2", 0})}, {`from "c0" to "c0"`, offer(Offer{a, 1, "c0", "c0", 0})},
		{`to "xxxx`, offer(Offer{a, 1, "c0", long, 0})}, {`to ""`, offer(Offer{a, 1, "c0", "", 0})},
		{"the session is free", offer(Offer{c, 1, "c0", "c2", 0})}, {"it may last 10s at most", offer(Offer{a, 1, "c0", "c2", p.now})},
		{"it may last 10s at most", offer(Offer{a, 1, "c0", "c2", p.now + 11*second})},
		{"the session is pinned", plan(PlanBody{Withdrawals: []Withdrawal{{a, 1, n}}})},
		{"in epoch 1", plan(PlanBody{Withdrawals: []Withdrawal{{b, 2, n}}})},
		{"number 1", plan(PlanBody{Withdrawals: []Withdrawal{{b, 1, 2}}})}, {"the session is free", plan(PlanBody{Withdrawals: []Withdrawal{{c, 0, 0}}})},
		{"4 are free", plan(PlanBody{Shifts: []Shift{{"", "c0", "r0", 5, 0}}})},
		{"holds 0", plan(PlanBody{Shifts: []Shift{{"c0", "c1", "r0", 1, 0}}})},
		{"holds 0", plan(PlanBody{Shifts: []Shift{{"c0", "c1", "r0", 1, p.now + 1}}})}, {"back 4", plan(PlanBody{CancelledTransfers: []uint64{4}})},
		{"the command has no parts", plan(PlanBody{})}, {"10001 parts", plan(PlanBody{CancelledTransfers: make([]uint64, MaxActs+1)})},
		{"a silence of 15.15s is needed", release(ReleaseBody{"c9", need - 1, p.now})}, {"it acted at", release(ReleaseBody{"c0", need, p.now})},
		{"the agreed time is 16m40s", release(ReleaseBody{"c9", need, p.now + 1})}, {"1 to 128 bytes, not 0", release(ReleaseBody{"", need, p.now})},
		{"1 to 128 bytes, not 129", release(ReleaseBody{long, need, p.now})}, {"the agreed time is 16m40s", release(ReleaseBody{"c9", need, -1})},
	} {
		p.wantError = one.want
		one.f()
	}
	p.handOver(b, 5)
	p.mustRefuse(`handed, owned by "c1", not by "c0"`, KindActs, acts("c0", Act{Kind: Adopt, ID: b, Epoch: 2}))
	p.mustRefuse(`handed, owned by "c1", not by "c2"`, KindActs, acts("c2", Act{Kind: Decline, ID: b, Epoch: 2}))
	p.mustRefuse("in epoch 2", KindActs, acts("c1", Act{Kind: Decline, ID: b, Epoch: 1}))
	if err := New().applyRelease(ReleaseBody{"c9", need, 0}); err == nil {
		t.Fatal("released without limits")
	}
	if err := p.b.Apply(p.now, nil, "other", nil); !errors.Is(err, statemachine.ErrUnknown) {
		t.Fatal(err)
	}
	if err := p.b.Apply(p.now, nil, KindActs, []byte(`{"from":"c0","more":1}`)); !errors.Is(err, statemachine.ErrUnknown) {
		t.Fatal(err)
	}
	p.mustApply(KindActs, acts("c1", Act{Kind: Adopt, ID: b, Epoch: 9}, Act{Kind: Adopt, ID: b, Epoch: 2})) // each stands alone
	if words, n := p.b.Refusals(); n != 1 || len(words) != 1 || !strings.Contains(words[0], "adopt 0200") {
		t.Fatal(words, n)
	}
	p.offer(b, "c2")
	p.mustRefuse("counts 3 queries begun, the agreed state 5", KindActs, acts("c1", Act{Kind: HandOver, ID: b, Epoch: 2, Fence: p.fence, Seq: 3}))
}

// The hand of an offer that was withdrawn comes late, when the session is offered again in the same epoch.
func TestHandOverOfWithdrawnOfferIsRefused(t *testing.T) {
	p := newHarness(t, limits)
	p.claim("c0", a)
	n := p.offer(a, "c1")
	late := acts("c0", Act{Kind: HandOver, ID: a, Epoch: 1, Fence: n, Seq: 10})
	no := acts("c1", Act{Kind: Decline, ID: a, Epoch: 1, Fence: n})
	p.mustApply(KindPlan, PlanBody{Withdrawals: []Withdrawal{{a, 1, n}}})
	p.offer(a, "c1")
	p.mustRefuse("has number 2, not 1", KindActs, late)
	p.mustRefuse("has number 2, not 1", KindActs, no)
	p.handOver(a, 20)
	p.mustRefuse("in epoch 2", KindActs, late)
	p.mustApply(KindActs, acts("c1", Act{Kind: Adopt, ID: a, Epoch: 2}))
	p.offer(a, "c0")
	p.mustRefuse("in epoch 2", KindActs, late)
	p.handOver(a, 30)
	p.expect(a, "c0", 3, HandedOver)
}

// Declines before and after the hand, and what no one takes over in time.
func TestDeclinedAndExpiredMoves(t *testing.T) {
	p := newHarness(t, limits)
	p.claim("c0", a)
	p.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: a, Epoch: 1, Fence: p.offer(a, "c1")}))
	p.expect(a, "c0", 1, Pinned)
	p.offer(a, "c1")
	p.handOver(a, 4)
	p.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: a, Epoch: 2}))
	if r := p.expect(a, "c0", 3, HandedOver); r.Source != "" || r.Seq != 4 || string(r.State) != "s" {
		t.Fatalf("%+v", r)
	}
	p.mustApply(KindActs, acts("c0", Act{Kind: Decline, ID: a, Epoch: 3}))
	if r := p.expect(a, "", 3, Free); r.Reason != "no co-ordinator had room for it" {
		t.Fatalf("%+v", r)
	}
	p.now += time.Minute + second
	p.claim("c0", a)
	p.offer(a, "c1")
	p.now += 10*second - 1
	p.b.Tick(p.now)
	p.expect(a, "c0", 4, Offered)
	p.now++
	p.mustApply(KindTick, TickBody{})
	p.expect(a, "c0", 4, Pinned)
	p.offer(a, "c1")
	p.now += 9 * second
	p.handOver(a, 6)
	for _, is := range []struct {
		owner string
		epoch uint64
		phase Phase
	}{{"c1", 5, HandedOver}, {"c0", 6, HandedOver}, {"", 6, Free}} {
		p.expect(a, is.owner, is.epoch, is.phase)
		p.now += 10 * second
		p.mustApply(KindTick, TickBody{})
	}
	if r, _ := p.b.Get(a); r.Reason != "no co-ordinator took it over in time" || r.Seq != 6 {
		t.Fatalf("%+v", r)
	}
}

// What a release does to each phase, on both sides of a move; and what of it comes again.
func TestRelease(t *testing.T) {
	l := limits
	l.InFlight, l.PerMinute, l.StepTimeout = 9, 99, time.Hour
	build := func() *harness {
		p := newHarness(t, l)
		for i := range byte(5) {
			p.claim("c0", ID{i})
		}
		p.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 3, 0}, {"", "c1", "r0", 1, 0}}})
		for i := byte(1); i < 5; i++ { // 0 pinned, 1 offered, 2 handed, 3 handed back, 4 adopted
			p.offer(ID{i}, "c1")
		}
		for i := byte(2); i < 5; i++ {
			p.handOver(ID{i}, uint64(i))
		}
		p.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: ID{3}, Epoch: 2}, Act{Kind: Adopt, ID: ID{4}, Epoch: 2}))
		p.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"c0", "c1", "r0", 1, 0}}})
		return p
	}
	p := build()
	p.release("c0")
	for i, is := range []Record{{}, {}, {Owner: "c1", Epoch: 2, Phase: HandedOver}, {}, {Owner: "c1", Epoch: 2, Phase: Pinned}} {
		if r, _ := p.b.Get(ID{byte(i)}); r.Owner != is.Owner || r.Phase != is.Phase || is.Epoch > 0 && r.Epoch != is.Epoch || r.Source != "" ||
			r.Phase == Free && r.Reason != "its co-ordinator was silent" {
			t.Fatalf("%+v", r)
		}
	}
	if p.b.Pool().Held("c1", "r0") != 2 || p.b.Pool().Free("r0") != 2 {
		t.Fatalf("%+v", p.b.Pool().Save())
	}
	again := ReleaseBody{"c0", limits.SilentFor(), p.now}
	p.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 2, 0}}}) // it is back
	p.now += second
	p.mustRefuse("it was released at", KindRelease, again)
	p.mustApply(KindActs, acts("c1", Act{Kind: Decline, ID: ID{2}, Epoch: 2})) // its source is gone
	if r := p.expect(ID{2}, "", 2, Free); r.Seq != 2 {
		t.Fatalf("%+v", r)
	}
	p = build()
	p.release("c1")
	p.expect(ID{0}, "c0", 1, Pinned)
	p.expect(ID{1}, "c0", 1, Pinned)
	p.expect(ID{2}, "c0", 3, HandedOver)
	p.expect(ID{3}, "c0", 3, HandedOver)
	if r := p.expect(ID{4}, "", 2, Free); r.Seq != 4 {
		t.Fatalf("%+v", r)
	}
	if p.b.Pool().Held("c0", "r0") != 3 || p.b.Pool().Free("r0") != 1 {
		t.Fatalf("%+v", p.b.Pool().Save())
	}
}

// Limits at application: sessions, in flight, a minute by the second; revisions; slots by their word.
func TestLimits(t *testing.T) {
	p := newHarness(t, limits)
	var all []Act
	for i := range byte(6) {
		all = append(all, Act{Kind: Claim, ID: ID{i}})
	}
	p.mustApply(KindActs, acts("c0", all...))
	if words, n := p.b.Refusals(); n != 1 || p.b.Len() != 5 || p.b.Owned("c0") != 5 || !strings.Contains(words[0], "5 sessions exist, 5 are allowed") {
		t.Fatal(words, n)
	}
	p.now = p.now.Truncate(second) + second - 1 // the end of a second
	for i := range byte(4) {
		p.offer(ID{i}, "c1")
		if i%2 == 1 {
			p.mustRefuse("2 sessions are in flight, 2 are allowed", KindPlan, PlanBody{Offers: []Offer{{ID{4}, 1, "c0", "c1", 0}}})
			p.now += 11 * second
			p.b.Tick(p.now)
		}
	}
	p.now = 1060 * second
	p.mustRefuse("4 sessions were offered in the last minute, 4 are allowed", KindPlan, PlanBody{Offers: []Offer{{ID{4}, 1, "c0", "c1", 0}}})
	p.now = 1061 * second
	p.offer(ID{4}, "c1")

	l := limits
	p.mustApply(KindLimits, LimitsBody{l}) // again
	l.Slots++
	p.mustRefuse("revision 1, 1 is in force", KindLimits, LimitsBody{l})
	for name, spoil := range map[string]func(*Limits){
		"in_flight": func(l *Limits) { l.InFlight = -1 }, "per_minute": func(l *Limits) { l.PerMinute = -1 }, "offer_for": func(l *Limits) { l.StepTimeout = 0 },
		"sessions_most": func(l *Limits) { l.MaxSessions = MaxSessions + 1 }, "state_most": func(l *Limits) { l.MaxStateBytes = MaxStateBytes + 1 },
		"slots": func(l *Limits) { l.Slots = 0 }, "lease": func(l *Limits) { l.Lease = 0 }, "grace": func(l *Limits) { l.Grace = 25 * time.Hour },
		"idle_for": func(l *Limits) { l.IdleTimeout = -1 }, "slots at r1": func(l *Limits) { l.Caps = map[string]int{"r0": 1, "r1": -1} },
	} {
		l := limits
		l.Revision = 2
		spoil(&l)
		p.mustRefuse(name, KindLimits, LimitsBody{l})
	}
	p.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 3, 0}, {"c0", "c1", "r0", 2, 0}, {"c0", "c1", "r0", 1, p.now + second}}})
	fence, pool := p.fence, p.b.Pool()
	if pool.Held("c0", "r0") != 0 || pool.Held("c1", "r0") != 0 || len(pool.Asked("c0")) != 2 {
		t.Fatalf("%+v", pool.Save())
	}
	p.mustRefuse(`does not wait for "c1"`, KindActs, acts("c1", Act{Kind: Freed, Fence: fence}))
	p.mustApply(KindActs, acts("c0", Act{Kind: Freed, Fence: fence}))
	p.mustApply(KindPlan, PlanBody{CancelledTransfers: []uint64{fence - 1}})
	if pool.Held("c0", "r0") != 2 || pool.Held("c1", "r0") != 1 {
		t.Fatalf("%+v", pool.Save())
	}
	l.Revision, l.Caps, l.InFlight = 2, map[string]int{"r1": 9}, 0
	p.mustApply(KindLimits, LimitsBody{l})
	p.now += second
	p.mustApply(KindActs, acts("c1", Act{Kind: Freed, Fence: fence}))
	p.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"c0", "", "r0", 3, 0}}})
	p.mustApply(KindActs, acts("c0", Act{Kind: Freed, Fence: p.fence}))
	if r := pool.Replicas(); len(r) != 1 || pool.Cap("r1") != 9 {
		t.Fatalf("%+v", pool.Save())
	}
	p.mustRefuse("0 are allowed", KindPlan, PlanBody{Offers: []Offer{{ID{0}, 1, "c0", "c1", 0}}})
}

// What is forgotten of ends and of co-ordinators keeps epochs growing.
func TestEpochsGrowAfterEndsAreForgotten(t *testing.T) {
	l := limits
	l.MaxSessions, l.StepTimeout = MaxSessions, time.Hour
	p := newHarness(t, l)
	p.claim("c0", a)
	p.offer(a, "c1")
	p.handOver(a, 1)
	p.mustApply(KindActs, acts("c1", Act{Kind: End, ID: a, Epoch: 2, Reason: strings.Repeat("ä", MaxReasonBytes)}))
	if r := p.expect(a, "", 2, Free); len(r.Reason) != MaxReasonBytes || p.expect(b, "", 0, Free).Reason != "" {
		t.Fatalf("%+v", r)
	}
	p.now += EndRetention
	p.mustApply(KindTick, TickBody{})
	if r := p.expect(a, "", 2, Free); r.Reason != "" || p.expect(b, "", 2, Free).Reason != "" {
		t.Fatalf("%+v", r)
	}
	p.now++
	p.claim("c0", a)
	p.expect(a, "c0", 3, Pinned)
	var claims, ends []Act
	for i := range MaxEnds + 1 {
		id := ID{9, byte(i >> 16), byte(i >> 8), byte(i)}
		claims, ends = append(claims, Act{Kind: Claim, ID: id, Epoch: 2}), append(ends, Act{Kind: End, ID: id, Epoch: 3})
		if len(claims) == MaxActs || i == MaxEnds {
			p.b.mustApplyActs(t, acts("c0", claims...))
			p.b.mustApplyActs(t, acts("c0", ends...))
			claims, ends = claims[:0], ends[:0]
		}
	}
	if n := len(p.b.ended); n != MaxEnds || p.expect(ID{9}, "", 3, Free).Since != 0 {
		t.Fatal(n)
	}
	two := newHarness(t, limits)
	for i := range uint64(200) { // the same one again and again takes no room
		two.claim("c0", c)
		two.mustApply(KindActs, acts("c0", Act{Kind: End, ID: c, Epoch: i + 1}))
	}
	if n := len(two.b.endOrder); n > 2+64+1 {
		t.Fatal(n)
	}
	for i := range MaxCoordinators + 1 {
		err := p.b.act(fmt.Sprint("n", i), Act{Kind: Claim, ID: ID{8, byte(i >> 8), byte(i)}, Epoch: p.b.maxForgottenEpoch})
		if (err == nil) != (i < MaxCoordinators-1) { // c0 owns one; c1 is forgotten
			t.Fatal(i, err)
		}
	}
	p.offer(ID{8}, "another")
	r, _ := p.b.Get(ID{8})
	if err := p.b.act(r.Owner, Act{Kind: HandOver, ID: r.ID, Epoch: r.Epoch, Fence: r.Fence}); err == nil {
		t.Fatal("handed to one more than are known")
	}
	if err := p.b.Check(); err != nil {
		t.Fatal(err)
	}
	p.mustRefuse("4096 co-ordinators are known", KindRelease, ReleaseBody{"another", limits.SilentFor(), p.now})
	p.mustRefuse("10001 acts", KindActs, acts("c0", make([]Act, MaxActs+1)...))
}

func (s *State) mustApplyActs(t *testing.T, body ActsBody) {
	if err := s.applyActs(body); err != nil {
		t.Fatal(err)
	}
}

// A council that is set up anew frees all; nothing begins before the leases of before have ended.
func TestRenewFreesAllSessions(t *testing.T) {
	p := newHarness(t, limits)
	p.claim("c0", a)
	p.claim("c0", b)
	p.mustApply(KindActs, acts("c0", Act{Kind: End, ID: b, Epoch: 1}))
	p.mustApply(KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 4, 0}, {"c0", "c1", "r0", 2, 0}}})
	p.b.Renew(p.now + 20*second)
	if r := p.expect(a, "", 1+EpochGap, Free); r.Reason != "the raft group was set up anew" || p.b.Pool().Free("r0") != 4 || p.b.BlockedUntil() != p.now+20*second {
		t.Fatalf("%+v", r)
	}
	p.mustRefuse("no session can be claimed before 17m0s", KindActs, acts("c0", Act{Kind: Claim, ID: a, Epoch: 1 + EpochGap}))
	p.mustRefuse("no slots are assigned before 17m0s", KindPlan, PlanBody{Shifts: []Shift{{"", "c0", "r0", 1, 0}}})
	p.now += 20 * second
	p.mustRefuse("last in epoch 1048577", KindActs, acts("c0", Act{Kind: Claim, ID: a, Epoch: 1}))
	p.claim("c0", a)
	p.expect(a, "c0", 2+EpochGap, Pinned)
	p.claim("c0", b)
	p.expect(b, "c0", 2+EpochGap, Pinned)
}

var idOfB = b

// Check finds each rule broken.
func TestCheckFindsEachViolation(t *testing.T) {
	for words, spoil := range map[string]func(*State){
		"S1: " + a.String() + " is pinned in epoch 1 without a known owner": func(b *State) {
			l := b.sessions[a]
			l.owner = 9
			b.sessions[a] = l
		},
		"S1: " + a.String() + " is pinned in epoch 1 and ended": func(b *State) { b.ended[a] = b.ended[ID{4}] },
		"S1: " + c.String() + " is pinned, and has a move: true": func(b *State) {
			l := b.sessions[c]
			l.phase = Pinned
			b.sessions[c] = l
		},
		"S1: 3 moves exist":                     func(b *State) { b.moves[ID{7}] = move{} },
		"S1: c0 owns 2 sessions, 3 are counted": func(b *State) { b.coordinators[b.indexByName["c0"]].owned++ },
		"S1: 1 ends in order, 2 by id":          func(b *State) { b.ended[ID{5}] = b.ended[ID{4}] },
		"S1: 04000000000000000000000000000000 ended in epoch 0": func(b *State) {
			e := b.ended[ID{4}]
			e.epoch = 0
			b.ended[ID{4}] = e
		},
		"S1: offer 1 belongs to 02": func(b *State) {
			f := b.moves[c]
			f.Fence = 1
			f.Hand.Fence = 1
			b.moves[c] = f
		},
		"S1: " + idOfB.String() + " of c0 in epoch 1 is offered by c0 in 2": func(b *State) {
			f := b.moves[idOfB]
			f.Epoch = 2
			b.moves[idOfB] = f
		},
		"S7: " + idOfB.String() + " is offered to c1 until": func(b *State) {
			f := b.moves[idOfB]
			f.Until = b.now
			b.moves[idOfB] = f
		},
		"S1: " + c.String() + " is handed over to c1 without": func(b *State) {
			f := b.moves[c]
			f.Hand = nil
			b.moves[c] = f
		},
		"S1: offer 2 of " + c.String() + " by c0 in epoch 1 was handed over by c0 in 1, for offer 1": func(b *State) { b.moves[c].Hand.Fence = 1 },
		"S7: " + c.String() + " of c1 in epoch 3": func(b *State) {
			l := b.sessions[c]
			l.epoch = 3
			b.sessions[c] = l
		},
		"S7: 2 are in flight": func(b *State) { b.limits.InFlight = 1 },
		"S7: 2 were offered in a minute": func(b *State) {
			b.limitsAt, b.limits.PerMinute = -time.Hour, 1
		},
	} {
		p := newHarness(t, limits)
		for _, id := range []ID{a, b, c, {4}} {
			p.claim("c0", id)
		}
		p.mustApply(KindActs, acts("c0", Act{Kind: End, ID: ID{4}, Epoch: 1}))
		p.offer(b, "c1")
		p.offer(c, "c1")
		p.handOver(c, 1)
		spoil(p.b)
		if err := p.b.Check(); err == nil || !strings.HasPrefix(err.Error(), words) {
			t.Errorf("%v, want %q", err, words)
		}
	}
}
