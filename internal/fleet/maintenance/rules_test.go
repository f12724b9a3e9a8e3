package maintenance

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestW1KeepsHolders(t *testing.T) {
	all := Request{ID: "all", Kind: Replica, Reason: "swap", MaxOutage: 300 * sec}
	p := newFixture(t, testLimits, all)
	p.grant("all", "r0")
	if it, _ := p.state.ActiveItem("r0"); it.HoldersLeft != 2 || it.MinHolders != 2 {
		t.Fatalf("%d holders left, minimum %d", it.HoldersLeft, it.MinHolders)
	}
	for _, near := range []string{"r1", "r2", "r6", "r7"} {
		p.mustRefuseGrant("W1: shard", "all", near)
	}
	p.grant("all", "r3") // shares no shard with r0

	for name, m := range map[string]Machine{
		"cold": replica(1).startedAt(1000 * sec), "unknown": replica(1).withStatus(Unknown), "gone": replica(1).withStatus(Gone),
		"terminating": replica(1).withStatus(Terminating), "not on the ring": replica(1).inCell(9)} {
		p := newFixture(t, Limits{}.modified(testLimits, func(l *Limits) { l.FailurePause = 0 }), all)
		p.observe(m)
		p.now += sec
		if _, err := p.state.MayGrant(p.now, "r0"); err == nil {
			t.Errorf("%s: r0 may be granted while r1 is %s", name, name)
		}
		p.mustRefuseGrant("W1: shard", "all", "r0")
	}
	p = newFixture(t, testLimits, all)
	p.observe(replica(5).inCell(-1))
	p.mustRefuseGrant("W1: cell -1", "all", "r5")
}

func (m Machine) inCell(cell int) Machine { m.Cell = cell; return m }

func (Limits) modified(l Limits, f func(*Limits)) Limits { f(&l); return l }

// An expired grant may still be acted on: its machine counts as out until Settle.
func TestW1ExcludesSettlingMachine(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0", "r1"))
	p.grant("a", "r0")
	p.acknowledge("r0")
	p.advance(100 * sec)
	p.wantPhase("r0", Expired)
	p.mustRefuseGrant("W1: shard", "a", "r1")
	p.advance(9 * sec)
	p.mustRefuseGrant("W1: shard", "a", "r1")
	p.advance(sec)
	p.grant("a", "r1")
}

func TestLimitsChangeNeedsCompleteInventory(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.mustApply("limits", LimitsBody{2, Limits{}.modified(testLimits, func(l *Limits) { l.Shards = 7 })})
	p.observe()
	p.mustRefuseGrant("W1: the limits changed", "a", "r0")
	if !p.state.NeedsCompleteInventory() {
		t.Fatal("no complete inventory is required")
	}
	p.mustReject("revision 1 rejected: revision 2 is in force", "limits", LimitsBody{1, testLimits})
	p.mustReject("revision 2 is in force with different limits", "limits", LimitsBody{2, testLimits})
	p.mustApply("observe", ObserveBody{Complete: true, Machines: p.state.Machines(), Load: 2, LoadKnown: true})
	p.grant("a", "r0")
}

func TestW2LimitsPerZoneAndInTotal(t *testing.T) {
	l := Limits{}.modified(testLimits, func(l *Limits) { l.MaxOutPerZone, l.MaxOut, l.MinHolders = 1, 2, 1 })
	p := newFixture(t, l, Request{ID: "all", Kind: Replica, Reason: "swap", MaxOutage: 300 * sec})
	p.grant("all", "r0")
	p.mustRefuseGrant(`W2: 1 machines are out in zone "z0"`, "all", "r4")
	p.grant("all", "r3")
	p.mustRefuseGrant("W2: 2 machines are out in total", "all", "r6")
}

func TestW2Voters(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "c0", "c1"), requestFor("b", "c2"))
	p.grant("a", "c0")
	p.mustRefuseGrant("W2: 1 voter is out", "a", "c1")
	p = newFixture(t, testLimits, requestFor("a", "c0", "c1"))
	p.observe(coordinator(2).withStatus(Gone))
	p.advance(60 * sec)
	p.mustRefuseGrant("W2: 1 voters would be left up", "a", "c0")
}

func TestW3Capacity(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0", "r3", "c0"))
	p.mustApply("observe", ObserveBody{Load: 5.61, LoadKnown: true}) // 7.01 with headroom; the capacity is 8
	p.mustRefuseGrant("W3: capacity 7.00 would be left warm", "a", "r0")
	p.mustApply("observe", ObserveBody{Load: 5.6, LoadKnown: true})
	p.grant("a", "r0")
	p.mustRefuseGrant("W3: capacity 6.00", "a", "r3")
	p.mustApply("observe", ObserveBody{LoadKnown: false})
	p.mustRefuseGrant("W3: the load is not known", "a", "r3")
	p.grant("a", "c0") // a co-ordinator has no capacity

	p = newFixture(t, Limits{}.modified(testLimits, func(l *Limits) { l.MaxInventoryAge = time.Hour }), requestFor("a", "r0"))
	p.now += 31 * sec
	p.mustRefuseGrant("W3: the load is 31s old", "a", "r0")
	p = newFixture(t, Limits{}.modified(testLimits, func(l *Limits) { l.MaxLoadAge = time.Hour }), requestFor("a", "r0"))
	p.now += 21 * sec
	p.mustRefuseGrant("W3: the inventory is 21s old", "a", "r0")
	p.mustReject("before the last observation", "observe", ObserveBody{Load: 1, LoadKnown: true, ObservedAt: 999 * sec})
}

func TestW4OneLiveGrantPerMachine(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"), requestFor("b", "r0", "r3"))
	p.grant("a", "r0")
	p.mustReject("W4: r0 is already granted with fence 1", "grant", p.grantBody("b", "r0"))
	p.mustReject("W4: request a has no pending item", "grant", p.grantBody("a", "r0"))
	p.mustReject("no live grant with fence 2", "told", AcknowledgeBody{Machine: "r0", Fence: 2})
	p.acknowledge("r0")
	p.mustReject("is told, not granted", "withdraw", WithdrawBody{"r0", 1, "late"})
	p.advance(100 * sec)
	p.wantPhase("r0", Pending) // for b; the grant for a has expired
	p.mustReject("W4: request a has no pending item", "grant", p.grantBody("a", "r0"))
	p.mustReject("no live grant", "told", AcknowledgeBody{Machine: "r0", Fence: 1})
	p.mustRefuseGrant("W4: an ended grant of r0 counts as out until", "b", "r0")
	p.advance(10 * sec)
	p.grant("b", "r0")
	if it, _ := p.state.ActiveItem("r0"); it.Fence != 2 {
		t.Fatalf("fence %d", it.Fence)
	}
	for _, name := range []string{"r5", "x"} {
		if _, err := p.state.MayGrant(p.now, name); err == nil {
			t.Fatalf("%s may be granted without a request", name)
		}
	}
}

func TestW5PassedOverRequestReservesShard(t *testing.T) {
	l := Limits{}.modified(testLimits, func(l *Limits) { l.MinHolders, l.MaxOut, l.MaxOutPerZone = 2, 8, 8 })
	urgent := requestFor("u", "r2", "r4")
	urgent.Priority = Urgent
	p := newFixture(t, l, requestFor("a", "r1"), requestFor("b", "r0", "r6", "r7", "r3"), urgent)
	p.grant("b", "r0") // shares shards with r1, as all do except r4 to r6
	p.grant("b", "r3")
	if it := p.wantPhase("r1", Pending); it.PassedOver != 2 {
		t.Fatalf("passed over %d times", it.PassedOver)
	}
	for _, m := range []string{"r0", "r3"} {
		p.acknowledge(m)
		p.observe(p.state.machines[m].Machine.withStatus(Gone))
		p.observe(p.state.machines[m].Machine.withStatus(Up).startedAt(p.now))
	}
	p.advance(41 * sec)
	p.wantPhase("r0", Done)
	p.mustRefuseGrant("W5: r1, passed over 2 times, has reserved a shard", "u", "r2") // an urgent request has to wait too
	p.mustRefuseGrant("W5: r1", "b", "r7")
	p.grant("u", "r4") // shares no shard with r1
	p.observe(replica(1).withStatus(Gone))
	p.advance(60 * sec)
	p.mustRefuseGrant("W1", "b", "r7") // not W5: r1 is gone and has lost its reservation
	p.observe(replica(1))
	p.advance(10 * sec)
	p.mustRefuseGrant("W5: r1", "b", "r7")
	p.grant("a", "r1")
	p.mustRefuseGrant("W1", "b", "r7")
}

// A neighbour in planned maintenance is expected back, so a request keeps its reservation. Otherwise two neighbours that take turns
// would block it forever.
func TestW5ReservationHoldsWhileNeighbourIsOut(t *testing.T) {
	l := Limits{}.modified(testLimits, func(l *Limits) { l.Reach, l.MinHolders, l.MaxPassedOver, l.MaxOut, l.MaxOutPerZone = 2, 1, 1, 8, 8 })
	p := newFixture(t, l, requestFor("a", "r1"), requestFor("b", "r0", "r2"))
	p.grant("b", "r0")
	p.acknowledge("r0")
	p.observe(replica(0).withStatus(Gone))
	p.mustRefuseGrant("W5: r1, passed over 1 times, has reserved a shard", "b", "r2")
}

func TestW5ReservesSlotsAndCapacity(t *testing.T) {
	for want, change := range map[string]func(*Limits){
		"reserved the last slot":             func(l *Limits) { l.MaxOut = 2 },
		"reserved the last slot in its zone": func(l *Limits) { l.MaxOutPerZone = 1 },
		"reserved capacity":                  func(l *Limits) { l.Headroom = 2.3 }, // required capacity: 6.6 of 8
	} {
		l := Limits{}.modified(testLimits, func(l *Limits) { l.MinHolders, l.MaxPassedOver, l.MaxOut, l.MaxOutPerZone = 1, 1, 8, 8 })
		change(&l)
		p := newFixture(t, l, requestFor("a", "r1"), requestFor("b", "r3", "r5"))
		p.grant("b", "r3")
		p.mustApply("withdraw", WithdrawBody{"r3", 1, "test"})
		p.advance(10 * sec)
		if want == "reserved the last slot" {
			p.setRequests(requestFor("a", "r1"), requestFor("b", "r3", "r5"), requestFor("v", "c0"))
			p.grant("v", "c0")
		}
		p.mustRefuseGrant(want, "b", "r5")
		p.grant("a", "r1")
	}
}

// A routine request is granted even if the leader prefers a new urgent request for a neighbour at each step.
func TestW5UrgentRequestsDoNotStarveRoutine(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r1"))
	for i := range 2 * testLimits.MaxPassedOver {
		u := requestFor(fmt.Sprint("u", i), fmt.Sprint("r", i%2*2))
		u.Priority = Urgent
		p.setRequests(requestFor("a", "r1"), u)
		m := p.state.machines[u.Names[0]].Machine
		if err := p.apply("grant", p.grantBody(u.ID, m.Name)); err != nil {
			p.grant("a", "r1")
			return
		}
		p.acknowledge(m.Name)
		p.observe(m.withStatus(Gone))
		p.observe(m.startedAt(p.now))
		p.advance(testLimits.WarmUp)
		p.wantPhase(m.Name, Done)
	}
	t.Fatal("r1 is never granted")
}

// A request that could not be granted even after all current maintenance ended holds no reservation meanwhile.
func TestW5ReservationLapsesWhileUngrantable(t *testing.T) {
	for minHolders, gone := range map[int][]Machine{1: {replica(1).withStatus(Gone)}, 2: {replica(0).withStatus(Gone), replica(2).withStatus(Gone)}} {
		l := Limits{}.modified(testLimits, func(l *Limits) { l.MinHolders, l.MaxPassedOver, l.MaxOut, l.FailurePause = minHolders, 1, 1, 0 })
		p := newFixture(t, l, requestFor("a", "r1"), requestFor("b", "r4", "r5"))
		p.grant("b", "r4")
		p.mustApply("withdraw", WithdrawBody{"r4", 1, "test"})
		p.advance(10 * sec)
		p.mustRefuseGrant("W5: r1, passed over 1 times, has reserved the last slot", "b", "r5")
		p.observe(gone...)
		p.grant("b", "r5")
	}
}

// Machines of one request do not pass over each other, so the planner is free to order them.
func TestW5IgnoresMachinesOfSameRequest(t *testing.T) {
	p := newFixture(t, testLimits, Request{ID: "all", Kind: Replica, Reason: "swap", MaxOutage: 300 * sec})
	p.grant("all", "r7")
	p.grant("all", "r4")
	if it := p.wantPhase("r0", Pending); it.PassedOver != 0 {
		t.Fatalf("passed over %d times", it.PassedOver)
	}
}

func TestW6PauseDoublesAfterRepeatedFailures(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0", "r3"))
	p.observe(replica(5).withStatus(Gone))
	p.advance(59 * sec)
	p.mustRefuseGrant("W6: paused until 1970-01-01T00:17:40Z, for 1s more: r5 is gone", "a", "r0")
	p.advance(0, replica(5).startedAt(p.now)) // up again: not a failure
	p.advance(sec)
	p.grant("a", "r0")
	for i, span := range []time.Duration{120, 240, 480, 480} { // further failures, each soon after the last pause
		if i > 0 {
			p.now += span*sec/2 - 10*sec
		}
		p.observe(replica(3 + i).withStatus(Gone))
		p.observe(replica(3 + i).startedAt(p.now))
		if got := p.state.pauseUntil - p.now; got != span*sec {
			t.Fatalf("failure %d pauses for %v, want %v", i, got, span*sec)
		}
	}
	p.advance(3600 * sec) // long without a failure: the next one counts as a first one
	p.observe(replica(6).withStatus(Terminating))
	if got := p.state.pauseUntil - p.now; got != 60*sec {
		t.Fatalf("paused for %v", got)
	}
	p.observe(replica(6).withStatus(Gone))
	p.observe(replica(6).withStatus(Unknown))
	p.observe(replica(6).withStatus(Up).startedAt(p.now))
	if got := p.state.pauseUntil - p.now; got != 60*sec {
		t.Fatalf("one restart counts more than once: %v", got)
	}
	p.observe(replica(2).withStatus(Unknown))
	p.observe(replica(2).withStatus(Gone)) // its last known status was Up, so this is a failure
	if got := p.state.pauseUntil - p.now; got != 120*sec {
		t.Fatalf("paused for %v", got)
	}
	p.observe(replica(1).withStatus(Unknown)) // neither this nor its return with the same start is a failure
	p.observe(replica(1))
	p.observe(replica(7).startedAt(5 * sec))
	p.observe(replica(7).withStatus(Unknown))
	p.observe(replica(7).startedAt(5 * sec))
	if got := p.state.pauseUntil - p.now; got != 240*sec {
		t.Fatalf("a newer start pauses for %v", got)
	}
}

func TestW7GrantExpiresAtUntil(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.mustReject("W7", "grant", GrantBody{"a", "r0", p.now})
	p.mustReject("W7", "grant", GrantBody{"a", "r0", p.now + MaxGrantTime + 1})
	p.grant("a", "r0")
	p.advance(100*sec - 1)
	p.wantPhase("r0", Granted)
	p.now++
	p.mustApply("tick", TickBody{})
	p.wantPhase("r0", Pending) // expired before the acknowledgement: retried
	p.now += 30 * sec
	p.mustRefuseGrant("W3: the inventory", "a", "r0")
}

// An observation with Digest confirms the agreed inventory with exactly that digest and changes no machine.
func TestCompleteInventoryByDigest(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r1"))
	sum := p.state.InventoryDigest()
	l := testLimits
	l.Headroom = 0.5
	p.mustApply("limits", LimitsBody{2, l})
	p.mustRefuseGrant("no whole inventory", "a", "r1")
	p.mustReject("the agreed inventory has digest", "observe", ObserveBody{Complete: true, Digest: "0" + sum[1:]})
	p.mustReject("the agreed inventory has digest", "observe", ObserveBody{Digest: sum})
	p.mustReject("the agreed inventory has digest", "observe", ObserveBody{Complete: true, Digest: sum, Machines: []Machine{replica(1)}})
	p.observe(replica(9))
	p.mustReject("the agreed inventory has digest", "observe", ObserveBody{Complete: true, Digest: sum})
	p.mustRefuseGrant("no whole inventory", "a", "r1")
	before := p.state.Machines()
	p.mustApply("observe", ObserveBody{Complete: true, Digest: p.state.InventoryDigest(), Load: 2, LoadKnown: true})
	if !reflect.DeepEqual(before, p.state.Machines()) {
		t.Error("the inventory has changed")
	}
	p.grant("a", "r1")
}
