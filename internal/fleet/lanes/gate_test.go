package lanes

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/pressure"
)

const sec = time.Second

// newTestSet has three lanes. Account gold is guaranteed 0.2 of the capacity, silver 0.1, and copper nothing.
func newTestSet(extraAccounts int) *laneconfig.Set {
	lane := func(name string) laneconfig.Lane { return laneconfig.Lane{Name: name, Floor: 0.02, Lend: true} }
	account := func(name string, lane int, guarantee, maxShare float64) laneconfig.Account {
		return laneconfig.Account{Name: name, Lane: lane, Guarantee: guarantee, MaxShare: maxShare, Key: laneconfig.HashName(name)}
	}
	s := &laneconfig.Set{Slot: 10 * sec, Lanes: []laneconfig.Lane{lane("premium"), lane("plus"), lane("standard")},
		Classes:  []laneconfig.Class{{Floor: 0.02, SendRetryAfter: true}, {Floor: 0.02}},
		Accounts: []laneconfig.Account{account("gold", 0, 0.2, 0), account("silver", 1, 0.1, 0.15), account("copper", 1, 0, 0)}}
	for i := range extraAccounts {
		name := fmt.Sprint("account", i)
		s.Accounts = append(s.Accounts, account(name, i%3, 0.5/float64(extraAccounts), 0))
	}
	return s
}

// overloadedFleet has ten members, a capacity of 1000 and an offered load of 1500, a tenth of it at this co-ordinator.
func overloadedFleet(level float64) LevelUpdate {
	own := pressure.LocalLoad{Known: true, Offered: 150, ByLane: [pressure.MaxLanes]float64{0, 30, 120}}
	fleet := pressure.FleetLoad{Known: true, Offered: 1500, ByLane: [pressure.MaxLanes]float64{0, 300, 1200}, Members: 10}
	return LevelUpdate{Level: level, Capacity: 1000, Members: 10, Fleet: fleet, Own: own, Slot: 7, SlotLeft: 4 * sec}
}

func newTestGate(t testing.TB, level float64) *Gate {
	g := New(sec, newTestSet(0), 10)
	g.SetLevel(sec, overloadedFleet(level))
	return g
}

// admitRepeatedly offers the query at a rate per second and returns the number of decisions by reason.
func admitRepeatedly(g *Gate, from time.Duration, duration float64, rate int, q Query) (n [NumReasons]int) {
	for i := range int(duration * float64(rate)) {
		v := g.Admit(from+time.Duration(i)*sec/time.Duration(rate), q)
		n[v.Reason]++
	}
	return n
}

func TestAccountIsAdmittedUpToItsGuarantee(t *testing.T) {
	g := newTestGate(t, 0.9) // 0.2 of 1000 among ten: 20/s
	if n := admitRepeatedly(g, sec, 10, 20, Query{Account: 0, Cost: 1}); n[Guaranteed] != 200 {
		t.Errorf("at the guaranteed rate: %v", n)
	}
	n := admitRepeatedly(g, 12*sec, 10, 100, Query{Account: 0, Cost: 1})
	if n[Guaranteed] < 200 || n[Guaranteed] > 245 || n[Shed] < 650 {
		t.Errorf("at five times the guaranteed rate: %v", n)
	}
	if err := g.Check(); err != nil {
		t.Error(err)
	}
}

// Two queries of four parts in a row, every 20 s, are within a guarantee of half a part per second. A share of next to nothing must not
// allow a large burst.
func TestGuaranteeAllowsTwoQueriesInARow(t *testing.T) {
	g := newTestGate(t, 0.9)
	g.SetShare(sec, 0, 0.0005) // 0.5/s
	for i := range 20 {
		at := time.Duration(10+20*i) * sec
		for range 2 {
			if v := g.Admit(at, Query{Account: 0, Cost: 4}); v.Reason != Guaranteed {
				t.Fatalf("at %v: %s", at, v.Reason)
			}
		}
	}
	g.SetShare(500*sec, 0, 0.00001) // 0.01/s
	n := 0
	for i := range 40 {
		if v := g.Admit(time.Duration(1000+i)*sec, Query{Account: 0, Cost: 1}); v.Reason == Guaranteed {
			n++
		}
	}
	if n > 2 {
		t.Errorf("%d parts admitted within 40 s from a guarantee of 0.01/s", n)
	}
	if err := g.Check(); err != nil {
		t.Error(err)
	}
}

// Guards against a co-ordinator that resumes after a stall and still uses a borrowed share, which its lender has been using again for
// seconds (L5).
func TestStalledCoordinatorUsesItsEvenShare(t *testing.T) {
	admitAfterStall := func(setLevel bool) (n int) {
		g := newTestGate(t, 0.9)
		g.SetShare(sec, 0, 0.2) // all of it, 200/s; the even share is a tenth
		at := 11 * sec
		if setLevel {
			g.SetLevel(at, overloadedFleet(0.9))
		}
		for i := range 600 {
			if v := g.Admit(at+time.Duration(i)*5*time.Millisecond/3, Query{Account: 0, Cost: 1}); v.Reason == Guaranteed {
				n++
			}
		}
		if err := g.Check(); err != nil {
			t.Error(err)
		}
		return n
	}
	if n := admitAfterStall(false); n > 65 {
		t.Errorf("stalled: %d parts within a second; its even share is 20/s with a burst of two seconds", n)
	}
	if n := admitAfterStall(true); n < 550 {
		t.Errorf("after SetLevel: %d parts within a second; its share is 200/s with a burst of two seconds", n)
	}
}

// A false report of a huge rate that is in no lane must not raise what is shed of the known lanes.
func TestRateWithoutLaneDoesNotRaiseShedding(t *testing.T) {
	threshold := func(offered float64) uint64 {
		g, s := newTestGate(t, 0), overloadedFleet(0.3)
		s.Fleet.Offered = offered
		g.SetLevel(2*sec, s)
		if g.lanes[2].shedAll {
			return math.MaxUint64
		}
		return g.lanes[2].shedBelow
	}
	if a, b := threshold(1500), threshold(150_000); a != b {
		t.Errorf("the last lane's hash threshold is %x, with a huge rate %x", a, b)
	}
}

func TestQueryLargerThanBurstIsAdmittedOnCredit(t *testing.T) {
	g := newTestGate(t, 1)
	g.SetShare(sec, 0, 0.002) // 2/s, burst 4
	n := admitRepeatedly(g, sec, 100, 1, Query{Account: 0, Cost: 10})
	if all := n[Guaranteed] + n[Floor] + n[ClassFloor]; n[Guaranteed] < 19 || n[Guaranteed] > 22 || all > 62 {
		t.Errorf("queries of cost 10 at a guarantee of 2/s, for 100 s: %v", n)
	}
	if err := g.Check(); err != nil {
		t.Error(err)
	}
}

func TestLaneAndClassFloorsHoldAtFullLevel(t *testing.T) {
	g := newTestGate(t, 1)
	n := admitRepeatedly(g, sec, 10, 120, Query{Account: -1, Cost: 1, Key: 3}) // the floors of lane and class are about 2/s each here
	if n[Floor] < 18 || n[Floor] > 24 || n[ClassFloor] < 16 || n[ClassFloor] > 24 || n[Shed] < 1100 {
		t.Errorf("last lane, all shed: %v", n)
	}
	if n := admitRepeatedly(g, 12*sec, 10, 30, Query{Account: 2, Cost: 1}); n[Floor] < 18 {
		t.Errorf("middle lane, all shed: %v", n)
	}
	if err := g.Check(); err != nil {
		t.Error(err)
	}
}

func TestLastLaneIsShedFirstByKeyAndSlot(t *testing.T) {
	isShed := func(g *Gate, account int, key uint64) bool {
		v := g.decide(2*sec, &Query{Account: account, Key: key, Class: -1, Cost: 1})
		return v.Reason != Free
	}
	shedShare := func(g *Gate) (n float64) {
		for k := range 10_000 {
			if isShed(g, -1, laneconfig.HashName(fmt.Sprint(k))) {
				n += 1e-4
			}
		}
		return n
	}
	a, b := newTestGate(t, 0.4), newTestGate(t, 0.4) // 0.4 of 1500 is 600, half of the last lane's 1200
	if s := shedShare(a); math.Abs(s-0.5) > 0.02 || isShed(a, 2, 0) {
		t.Errorf("%.3f of the last lane is shed; middle lane shed: %v", s, isShed(a, 2, 0))
	}
	shedOnce := 0
	for k := range uint64(1000) {
		if isShed(a, -1, k) != isShed(b, -1, k) {
			t.Fatalf("key %d is shed by one gate only", k)
		}
		if isShed(a, -1, k) {
			shedOnce++
		}
	}
	s := overloadedFleet(0.4)
	s.Slot++
	b.SetLevel(sec, s)
	for k := range uint64(1000) {
		if isShed(a, -1, k) && isShed(b, -1, k) {
			shedOnce--
		}
	}
	if shedOnce < 150 {
		t.Errorf("only %d keys were shed in one slot and not in the next", shedOnce)
	}
	c := newTestGate(t, 0.9) // 1350 of 1200 and 300: half of the middle lane as well
	if s := shedShare(c); s < 0.999 || math.Abs(float64(c.lanes[1].shedBelow)/math.MaxUint64-0.5) > 0.01 || c.lanes[0].shedBelow != 0 || c.lanes[0].shedAll {
		t.Errorf("%.3f of the last lane is shed; lanes %v", s, c.lanes[:3])
	}
}

func TestIdleGuaranteesAreBorrowed(t *testing.T) {
	g := newTestGate(t, 1)
	if n := admitRepeatedly(g, sec, 10, 100, Query{Account: 0, Class: 1, Cost: 1}); n[Borrowed] != 0 {
		t.Errorf("borrowed before any guarantee was known to be idle: %v", n)
	}
	g.SetLevel(20*sec, overloadedFleet(1))
	admitRepeatedly(g, 20*sec, 1, 100, Query{Account: 0, Class: 1, Cost: 1}) // its own guarantee was idle as well
	g.SetLevel(21*sec, overloadedFleet(1))
	n := admitRepeatedly(g, 21*sec, 1, 100, Query{Account: 0, Class: 1, Cost: 1})
	if n[Borrowed] < 8 || n[Borrowed] > 21 { // silver's 10/s
		t.Errorf("borrowing from 10/s of idle guarantees: %v", n)
	}
	for j := range g.set.Lanes {
		g.set.Lanes[j].Lend = false
	}
	g.SetLevel(40*sec, overloadedFleet(1))
	if n := admitRepeatedly(g, 40*sec, 1, 100, Query{Account: 0, Class: 1, Cost: 1}); n[Borrowed] != 0 {
		t.Errorf("borrowed although no lane lends: %v", n)
	}
}

func TestLaneAndAccountLimits(t *testing.T) {
	g := newTestGate(t, 0.3)
	n := admitRepeatedly(g, sec, 10, 100, Query{Account: 1, Cost: 1}) // guaranteed 10/s, at most 15/s
	if admitted := n[Guaranteed] + n[Free] + n[Floor] + n[ClassFloor] + n[Borrowed]; admitted < 140 || admitted > 185 || n[OverLimit] < 600 {
		t.Errorf("account over its limit: %v", n)
	}
	set := newTestSet(0)
	set.Lanes[1].MaxShare = 0.1 // 10/s here
	g.SetConfig(20*sec, set)
	g.SetLevel(20*sec, overloadedFleet(0.7))
	g.SetLevel(21*sec, overloadedFleet(0.7)) // 0.7 of 1500 is less than the last lane's 1200
	for i := range 1000 {
		g.Admit(21*sec+time.Duration(i)*10*time.Millisecond, Query{Account: 2, Cost: 1})
	}
	c := g.Counts()
	if inLane, inLastLane := c.Queries[1][Free], c.Queries[2][Shed]+c.Queries[2][Free]; inLane < 90 || inLane > 140 || inLastLane < 800 {
		t.Errorf("%d admitted in its lane, %d counted in the last lane", inLane, inLastLane)
	}
	if err := g.Check(); err != nil {
		t.Error(err)
	}
}

func TestRefusalsSetRetryAfterAndAdmissionsYieldWhileShedding(t *testing.T) {
	g := newTestGate(t, 1)
	retryTimes := map[time.Duration]bool{}
	for i := range 200 {
		v := g.Admit(sec, Query{Account: -1, Class: i % 2, Cost: 5, Key: 5})
		if v.Admitted {
			continue
		}
		if i%2 == 1 && v.RetryAfter != 0 || i%2 == 0 && (v.RetryAfter < 4*sec || v.RetryAfter > 14*sec) {
			t.Fatalf("class %d: retry after %v", i%2, v.RetryAfter)
		}
		retryTimes[v.RetryAfter] = true
	}
	if len(retryTimes) < 80 {
		t.Errorf("only %d different retry times", len(retryTimes))
	}
	if v := g.Admit(sec, Query{Account: 0, Cost: 1}); v.PromiseDivisor != 1 || v.Reason != Guaranteed {
		t.Errorf("%+v", v)
	}
	g.SetLevel(2*sec, overloadedFleet(0.1))
	free := g.decide(2*sec, &Query{Account: 2, Cost: 1})
	if free.Reason != Free || free.PromiseDivisor <= 1 || free.PromiseDivisor > MaxPromiseDivisor {
		t.Errorf("%+v", free)
	}
	g.SetLevel(3*sec, overloadedFleet(0))
	if v := g.Admit(3*sec, Query{Account: 2, Cost: 1}); v.PromiseDivisor != 1 || v.Reason != Free {
		t.Errorf("%+v", v)
	}
}

func TestDowngradedAccountGetsTheStricterGuaranteeAtOnce(t *testing.T) {
	old := newTestSet(0)
	next := newTestSet(0)
	next.Accounts[0].Lane, next.Accounts[0].Guarantee = 2, 0.02
	g := New(sec, old, 10)
	g.SetLevel(sec, overloadedFleet(1))
	admitRepeatedly(g, sec, 10, 100, Query{Account: 0, Cost: 1})
	g.SetConfig(11*sec, laneconfig.Stricter(old, next))
	g.SetLevel(11*sec, overloadedFleet(1))
	if n := admitRepeatedly(g, 11*sec, 10, 100, Query{Account: 0, Class: -1, Cost: 1}); n[Guaranteed] < 18 || n[Guaranteed] > 26 {
		t.Errorf("at a guarantee of 2/s: %v", n)
	}
	if err := g.Check(); err != nil {
		t.Error(err)
	}
}

// Each case corrupts state that one rule depends on; Check must report that rule.
func TestCheckReportsEachBrokenRule(t *testing.T) {
	for rule, corrupt := range map[string]func(g *Gate){
		"L1": func(g *Gate) { g.lanes[2].floor.tokens, g.classes[0].floor.tokens = -1e9, -1e9 },
		"L2": func(g *Gate) {
			g.accounts[0].guaranteed.tokens = -1e9
			admitRepeatedly(g, 2*sec, 10, 100, Query{Account: -1, Cost: 1})
		},
		"L3": func(g *Gate) { g.counts.Queries[0][Shed]++ },
	} {
		g := newTestGate(t, 1)
		corrupt(g)
		g.SetLevel(12*sec, overloadedFleet(1)) // so that the gate does not count as stalled
		for range 20 {
			g.Admit(12*sec, Query{Account: 0, Class: 0, Cost: 1})
			g.Admit(12*sec, Query{Account: -1, Class: 0, Cost: 1})
		}
		if err := g.Check(); err == nil || !strings.HasPrefix(err.Error(), rule) {
			t.Errorf("%s: %v", rule, err)
		}
	}
	g := newTestGate(t, 0)
	g.auditor.observe(sec, g, &Query{Account: -1}, &Decision{Reason: Shed, Lane: 2})
	if err := g.Check(); err == nil || !strings.HasPrefix(err.Error(), "L6") {
		t.Errorf("L6: %v", err)
	}
}

// Checks random sequences of operations: the auditor finds no violation, and each decision is consistent.
func TestRulesHoldForRandomInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newTestSet(5)
		g, now := New(0, set, 10), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-100, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				s := overloadedFleet(rapid.SampledFrom([]float64{0, 0.1, 0.4, 0.9, 1, math.NaN(), -1, 7}).Draw(t, "level"))
				s.Capacity = rapid.SampledFrom([]float64{0, 10, 1000, 1e9, math.Inf(1), math.NaN()}).Draw(t, "capacity")
				s.Members = rapid.IntRange(0, 300).Draw(t, "members")
				s.Fleet.Known = rapid.Bool().Draw(t, "known")
				g.SetLevel(now, s)
			case 1:
				g.SetShare(now, rapid.IntRange(-1, 9).Draw(t, "account"), rapid.Float64Range(-1, 2).Draw(t, "share"))
			case 2:
				next := newTestSet(rapid.IntRange(0, 8).Draw(t, "accounts"))
				next.Accounts[0].Guarantee = rapid.Float64Range(0, 0.3).Draw(t, "guarantee")
				g.SetConfig(now, next)
			default:
				q := Query{Account: rapid.IntRange(-1, 9).Draw(t, "query account"), Class: rapid.IntRange(-1, 3).Draw(t, "class"),
					Key:  rapid.Uint64().Draw(t, "key"),
					Cost: rapid.SampledFrom([]float64{0, 0.1, 1, 1, 50, math.NaN(), -3}).Draw(t, "cost"), Retry: rapid.Bool().Draw(t, "retry")}
				v := g.Admit(now, q)
				if v.Admitted == v.Reason.Refused() || v.RetryAfter < 0 ||
					!(v.PromiseDivisor >= 1 && v.PromiseDivisor <= MaxPromiseDivisor) || v.Admitted && v.RetryAfter != 0 {
					t.Fatalf("%+v", v)
				}
			}
			if err := g.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
