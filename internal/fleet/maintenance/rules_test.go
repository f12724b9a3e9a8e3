package maintenance

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestW1KeepsHolders(t *testing.T) {
	all := Request{ID: "all", Kind: Replica, Reason: "swap", MaxOutage: 300 * sec}
	p := start(t, limits, all)
	p.grant("all", "r0")
	if it, _ := p.s.ActiveItem("r0"); it.HoldersLeft != 2 || it.MinHolders != 2 {
		t.Fatalf("left %d of %d", it.HoldersLeft, it.MinHolders)
	}
	for _, near := range []string{"r1", "r2", "r6", "r7"} {
		p.no("W1: shard", "all", near)
	}
	p.grant("all", "r3") // shares no shard with r0

	for name, m := range map[string]Machine{
		"cold": cell(1).since(1000 * sec), "unknown": cell(1).as(Unknown), "gone": cell(1).as(Gone),
		"terminating": cell(1).as(Terminating), "not of the ring": cell(1).in(9)} {
		p := start(t, Limits{}.with(limits, func(l *Limits) { l.FailurePause = 0 }), all)
		p.see(m)
		p.now += sec
		if _, err := p.s.MayGrant(p.now, "r0"); err == nil {
			t.Errorf("%s: r0 may go with r1 %s", name, name)
		}
		p.no("W1: shard", "all", "r0")
	}
	p = start(t, limits, all)
	p.see(cell(5).in(-1))
	p.no("W1: cell -1", "all", "r5")
}

func (m Machine) in(cell int) Machine { m.Cell = cell; return m }

func (Limits) with(l Limits, f func(*Limits)) Limits { f(&l); return l }

// A grant that lapsed may still be acted on: its machine counts as out until Settle is over.
func TestW1CountsSettling(t *testing.T) {
	p := start(t, limits, names("a", "r0", "r1"))
	p.grant("a", "r0")
	p.told("r0")
	p.wait(100 * sec)
	p.phase("r0", Expired)
	p.no("W1: shard", "a", "r1")
	p.wait(9 * sec)
	p.no("W1: shard", "a", "r1")
	p.wait(sec)
	p.grant("a", "r1")
}

func TestRingChangeAwaitsInventory(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.must("limits", LimitsBody{2, Limits{}.with(limits, func(l *Limits) { l.Shards = 7 })})
	p.see()
	p.no("W1: the limits changed", "a", "r0")
	if !p.s.NeedsCompleteInventory() {
		t.Fatal("no whole inventory is wanted")
	}
	p.refused("1, 2 is in force", "limits", LimitsBody{1, limits})
	p.refused("other limits", "limits", LimitsBody{2, limits})
	p.must("observe", ObserveBody{Complete: true, Machines: p.s.Machines(), Load: 2, LoadKnown: true})
	p.grant("a", "r0")
}

func TestW2Places(t *testing.T) {
	l := Limits{}.with(limits, func(l *Limits) { l.MaxOutPerZone, l.MaxOut, l.MinHolders = 1, 2, 1 })
	p := start(t, l, Request{ID: "all", Kind: Replica, Reason: "swap", MaxOutage: 300 * sec})
	p.grant("all", "r0")
	p.no(`W2: 1 are out in zone "z0"`, "all", "r4")
	p.grant("all", "r3")
	p.no("W2: 2 are out in all", "all", "r6")
}

func TestW2Voters(t *testing.T) {
	p := start(t, limits, names("a", "c0", "c1"), names("b", "c2"))
	p.grant("a", "c0")
	p.no("W2: 1 voter is out", "a", "c1")
	p = start(t, limits, names("a", "c0", "c1"))
	p.see(host(2).as(Gone))
	p.wait(60 * sec)
	p.no("W2: 1 voters would be left up", "a", "c0")
}

func TestW3Capacity(t *testing.T) {
	p := start(t, limits, names("a", "r0", "r3", "c0"))
	p.must("observe", ObserveBody{Load: 5.61, LoadKnown: true}) // 7.01 with headroom, of 8
	p.no("W3: 7.00 would be left warm", "a", "r0")
	p.must("observe", ObserveBody{Load: 5.6, LoadKnown: true})
	p.grant("a", "r0")
	p.no("W3: 6.00", "a", "r3")
	p.must("observe", ObserveBody{LoadKnown: false})
	p.no("W3: the load is not known", "a", "r3")
	p.grant("a", "c0") // a co-ordinator takes no capacity with it

	p = start(t, Limits{}.with(limits, func(l *Limits) { l.ListAge = time.Hour }), names("a", "r0"))
	p.now += 31 * sec
	p.no("W3: the load is 31s old", "a", "r0")
	p = start(t, Limits{}.with(limits, func(l *Limits) { l.LoadAge = time.Hour }), names("a", "r0"))
	p.now += 21 * sec
	p.no("W3: the inventory is 21s old", "a", "r0")
	p.refused("before what is known", "observe", ObserveBody{Load: 1, LoadKnown: true, ObservedAt: 999 * sec})
}

func TestW4OneGrantOneNumber(t *testing.T) {
	p := start(t, limits, names("a", "r0"), names("b", "r0", "r3"))
	p.grant("a", "r0")
	p.refused("W4: r0 is granted by number 1", "grant", p.body("b", "r0"))
	p.refused("W4: request a does not ask", "grant", p.body("a", "r0"))
	p.refused("no live grant of number 2", "told", AcknowledgeBody{Machine: "r0", Fence: 2})
	p.told("r0")
	p.refused("is told, not granted", "withdraw", WithdrawBody{"r0", 1, "late"})
	p.wait(100 * sec)
	p.phase("r0", Pending) // for b; the one of a has lapsed
	p.refused("W4: request a does not ask", "grant", p.body("a", "r0"))
	p.refused("no live grant", "told", AcknowledgeBody{Machine: "r0", Fence: 1})
	p.no("W4: an ended grant of r0 settles", "b", "r0")
	p.wait(10 * sec)
	p.grant("b", "r0")
	if it, _ := p.s.ActiveItem("r0"); it.Fence != 2 {
		t.Fatalf("number %d", it.Fence)
	}
	for _, name := range []string{"r5", "x"} {
		if _, err := p.s.MayGrant(p.now, name); err == nil {
			t.Fatalf("%s may go unasked", name)
		}
	}
}

func TestW5ReservesItsTurn(t *testing.T) {
	l := Limits{}.with(limits, func(l *Limits) { l.MinHolders, l.MaxOut, l.MaxOutPerZone = 2, 8, 8 })
	urgent := names("u", "r2", "r4")
	urgent.Priority = Urgent
	p := start(t, l, names("a", "r1"), names("b", "r0", "r6", "r7", "r3"), urgent)
	p.grant("b", "r0") // shares shards with r1, as all but r4 to r6 do
	p.grant("b", "r3")
	if it := p.phase("r1", Pending); it.PassedOver != 2 {
		t.Fatalf("passed %d times", it.PassedOver)
	}
	for _, m := range []string{"r0", "r3"} {
		p.told(m)
		p.see(p.s.machines[m].Machine.as(Gone))
		p.see(p.s.machines[m].Machine.as(Up).since(p.now))
	}
	p.wait(41 * sec)
	p.phase("r0", Done)
	p.no("W5: r1, passed over 2 times, has reserved a shard", "u", "r2") // an urgent one waits too
	p.no("W5: r1", "b", "r7")
	p.grant("u", "r4") // shares nothing with it
	p.see(cell(1).as(Gone))
	p.wait(60 * sec)
	p.no("W1", "b", "r7") // no more W5: r1 is gone and gives up its turn
	p.see(cell(1))
	p.wait(10 * sec)
	p.no("W5: r1", "b", "r7")
	p.grant("a", "r1")
	p.no("W1", "b", "r7")
}

// A neighbour that is out by the plan comes back: it does not cost the turn, or two neighbours in turn would keep one for ever.
func TestW5KeepsItsTurnWhileANeighbourIsOut(t *testing.T) {
	l := Limits{}.with(limits, func(l *Limits) { l.Reach, l.MinHolders, l.MaxPassedOver, l.MaxOut, l.MaxOutPerZone = 2, 1, 1, 8, 8 })
	p := start(t, l, names("a", "r1"), names("b", "r0", "r2"))
	p.grant("b", "r0")
	p.told("r0")
	p.see(cell(0).as(Gone))
	p.no("W5: r1, passed over 1 times, has reserved a shard", "b", "r2")
}

func TestW5ReservesPlaces(t *testing.T) {
	for words, change := range map[string]func(*Limits){
		"reserved the last place":             func(l *Limits) { l.MaxOut = 2 },
		"reserved the last place in its zone": func(l *Limits) { l.MaxOutPerZone = 1 },
		"reserved capacity":                   func(l *Limits) { l.Headroom = 2.3 }, // 6.6 of 8
	} {
		l := Limits{}.with(limits, func(l *Limits) { l.MinHolders, l.MaxPassedOver, l.MaxOut, l.MaxOutPerZone = 1, 1, 8, 8 })
		change(&l)
		p := start(t, l, names("a", "r1"), names("b", "r3", "r5"))
		p.grant("b", "r3")
		p.must("withdraw", WithdrawBody{"r3", 1, "test"})
		p.wait(10 * sec)
		if words == "reserved the last place" {
			p.ask(names("a", "r1"), names("b", "r3", "r5"), names("v", "c0"))
			p.grant("v", "c0")
		}
		p.no(words, "b", "r5")
		p.grant("a", "r1")
	}
}

// With an urgent request for a neighbour at each step, and a leader that grants those first, a routine one still goes.
func TestW5StreamOfUrgentOnes(t *testing.T) {
	p := start(t, limits, names("a", "r1"))
	for i := range 2 * limits.MaxPassedOver {
		u := names(fmt.Sprint("u", i), fmt.Sprint("r", i%2*2))
		u.Priority = Urgent
		p.ask(names("a", "r1"), u)
		m := p.s.machines[u.Names[0]].Machine
		if err := p.do("grant", p.body(u.ID, m.Name)); err != nil {
			p.grant("a", "r1")
			return
		}
		p.told(m.Name)
		p.see(m.as(Gone))
		p.see(m.since(p.now))
		p.wait(limits.WarmUp)
		p.phase(m.Name, Done)
	}
	t.Fatal("r1 waits for ever")
}

// What can not go, whatever ends, gives up its turn until it can.
func TestW5GivesUpItsTurn(t *testing.T) {
	for least, gone := range map[int][]Machine{1: {cell(1).as(Gone)}, 2: {cell(0).as(Gone), cell(2).as(Gone)}} {
		l := Limits{}.with(limits, func(l *Limits) { l.MinHolders, l.MaxPassedOver, l.MaxOut, l.FailurePause = least, 1, 1, 0 })
		p := start(t, l, names("a", "r1"), names("b", "r4", "r5"))
		p.grant("b", "r4")
		p.must("withdraw", WithdrawBody{"r4", 1, "test"})
		p.wait(10 * sec)
		p.no("W5: r1, passed over 1 times, has reserved the last place", "b", "r5")
		p.see(gone...)
		p.grant("b", "r5")
	}
}

// Machines of one request do not pass each other: a swap of all goes on in the planner's order.
func TestW5OneRequestDoesNotPassItself(t *testing.T) {
	p := start(t, limits, Request{ID: "all", Kind: Replica, Reason: "swap", MaxOutage: 300 * sec})
	p.grant("all", "r7")
	p.grant("all", "r4")
	if it := p.phase("r0", Pending); it.PassedOver != 0 {
		t.Fatalf("passed %d times", it.PassedOver)
	}
}

func TestW6Calm(t *testing.T) {
	p := start(t, limits, names("a", "r0", "r3"))
	p.see(cell(5).as(Gone))
	p.wait(59 * sec)
	p.no("W6: paused until 1970-01-01T00:17:40Z, for 1s more: r5 is gone", "a", "r0")
	p.wait(0, cell(5).since(p.now)) // back: no failure
	p.wait(sec)
	p.grant("a", "r0")
	for i, span := range []time.Duration{120, 240, 480, 480} { // others fail too, each time soon after the pause
		if i > 0 {
			p.now += span*sec/2 - 10*sec
		}
		p.see(cell(3 + i).as(Gone))
		p.see(cell(3 + i).since(p.now))
		if got := p.s.pauseUntil - p.now; got != span*sec {
			t.Fatalf("failure %d pauses for %v, want %v", i, got, span*sec)
		}
	}
	p.wait(3600 * sec) // long calm, and the next counts as the first
	p.see(cell(6).as(Terminating))
	if got := p.s.pauseUntil - p.now; got != 60*sec {
		t.Fatalf("paused for %v", got)
	}
	p.see(cell(6).as(Gone))
	p.see(cell(6).as(Unknown))
	p.see(cell(6).as(Up).since(p.now))
	if got := p.s.pauseUntil - p.now; got != 60*sec {
		t.Fatalf("one restart counts more than once: %v", got)
	}
	p.see(cell(2).as(Unknown))
	p.see(cell(2).as(Gone)) // it was up before it was unknown
	if got := p.s.pauseUntil - p.now; got != 120*sec {
		t.Fatalf("paused for %v", got)
	}
	p.see(cell(1).as(Unknown)) // which says nothing of its start, nor does its coming back with the old one
	p.see(cell(1))
	p.see(cell(7).since(5 * sec))
	p.see(cell(7).as(Unknown))
	p.see(cell(7).since(5 * sec))
	if got := p.s.pauseUntil - p.now; got != 240*sec {
		t.Fatalf("a newer start pauses for %v", got)
	}
}

func TestW7Until(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.refused("W7", "grant", GrantBody{"a", "r0", p.now})
	p.refused("W7", "grant", GrantBody{"a", "r0", p.now + MaxGrantTime + 1})
	p.grant("a", "r0")
	p.wait(100*sec - 1)
	p.phase("r0", Granted)
	p.now++
	p.must("tick", TickBody{})
	p.phase("r0", Pending) // lapsed before it was acknowledged: asked anew
	p.now += 30 * sec
	p.no("W3: the inventory", "a", "r0")
}

// A whole that names a sum only is taken for the inventory of that sum and no other, and changes nothing else.
func TestWholeBySum(t *testing.T) {
	p := start(t, limits, names("a", "r1"))
	sum := p.s.InventoryDigest()
	l := limits
	l.Headroom = 0.5
	p.must("limits", LimitsBody{2, l})
	p.no("no whole inventory", "a", "r1")
	p.refused("sum", "observe", ObserveBody{Complete: true, Sum: "0" + sum[1:]})
	p.refused("sum", "observe", ObserveBody{Sum: sum})
	p.refused("sum", "observe", ObserveBody{Complete: true, Sum: sum, Machines: []Machine{cell(1)}})
	p.see(cell(9))
	p.refused("sum", "observe", ObserveBody{Complete: true, Sum: sum})
	p.no("no whole inventory", "a", "r1")
	before := p.s.Machines()
	p.must("observe", ObserveBody{Complete: true, Sum: p.s.InventoryDigest(), Load: 2, LoadKnown: true})
	if !reflect.DeepEqual(before, p.s.Machines()) {
		t.Error("the inventory is another")
	}
	p.grant("a", "r1")
}
