package maintenance

import "testing"

// Each way through the phases, by what is seen of the machine.
func TestPhases(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	up := cell(0)
	p.grant("a", "r0")
	p.told("r0")
	p.wait(10*sec, up.as(Terminating))
	if it := p.phase("r0", Out); it.Until != p.now+300*sec || it.OutAt != p.now {
		t.Fatalf("%+v", it)
	}
	p.wait(10*sec, up.as(Gone))
	p.phase("r0", Out)
	p.wait(10*sec, up) // the same start: it has not been anywhere
	p.phase("r0", Out)
	p.wait(10*sec, up.since(p.now))
	p.phase("r0", Returned)
	started := p.s.machines["r0"].Started
	p.now = started + 40*sec - 1
	p.wait(0)
	p.phase("r0", Returned)
	p.wait(1)
	p.phase("r0", Done)
	if paused, why := p.s.Paused(p.now); paused {
		t.Fatalf("planned work pauses: %s", why)
	}
}

func TestQuickRestartIsOutAndBack(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.grant("a", "r0")
	p.told("r0")
	p.wait(10*sec, cell(0).since(p.now+5*sec))
	if it := p.phase("r0", Returned); it.OutAt != p.now {
		t.Fatalf("%+v", it)
	}
}

func TestNeverBack(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.grant("a", "r0")
	p.told("r0")
	p.see(cell(0).as(Gone))
	p.wait(299*sec, Machine{Name: "r0-new", Kind: Replica, Zone: "z0", Status: Up, Started: p.now})
	p.phase("r0", Out)
	p.wait(sec)
	p.phase("r0", Expired)
	if paused, why := p.s.Paused(p.now); !paused || why != "W6: paused until 1970-01-01T00:22:40Z, for 1m0s more: r0 is not back by its time" {
		t.Fatal(why)
	}
}

func TestOutBeforeTold(t *testing.T) {
	p := start(t, limits, names("a", "r0", "r3"))
	p.grant("a", "r0")
	p.see(cell(0).as(Gone))
	first := p.s.Items()[0]
	if first.Phase != Expired || first.EndedAt != p.now {
		t.Fatalf("%+v", first)
	}
	p.phase("r0", Pending)
	p.no("W6", "a", "r3")
}

func TestFailsWhileCold(t *testing.T) {
	p := start(t, limits, names("a", "r0", "r3"))
	p.grant("a", "r0")
	p.told("r0")
	p.see(cell(0).as(Gone))
	p.wait(sec, cell(0).since(p.now))
	p.phase("r0", Returned)
	p.wait(sec, cell(0).as(Gone))
	p.phase("r0", Out)
	p.no("W6", "a", "r3")
}

func TestFailsWhileColdPastItsTime(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.grant("a", "r0")
	p.told("r0")
	p.see(cell(0).as(Gone))
	p.wait(299*sec, cell(0).since(p.now+299*sec))
	p.wait(2 * sec)
	p.phase("r0", Returned)
	p.see(cell(0).as(Gone))
	p.phase("r0", Expired)
}

// A machine that is down is requested, to be mended.
func TestBrokenMachineIsMended(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.see(cell(0).as(Gone))
	p.wait(60 * sec)
	p.grant("a", "r0")
	p.told("r0")
	p.phase("r0", Out)
	p.wait(sec, cell(0).since(p.now))
	p.phase("r0", Returned)
}

func TestToldNeedsEachCoordinator(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.grant("a", "r0")
	p.see(host(2).as(Gone)) // lost by the members, it may still reach r0
	p.refused("nothing is said of co-ordinator c2", "told", AcknowledgeBody{"r0", 1, []string{"c0", "c1"}, nil})
	p.refused("c2 is silent for 6.999999999s", "told",
		AcknowledgeBody{"r0", 1, []string{"c0", "c1"}, []Silent{{"c2", 7*sec - 1}}})
	p.told("r0")
}

func TestWithdrawn(t *testing.T) {
	p := start(t, limits, names("a", "r0"), names("b", "r3", "r6"))
	p.grant("a", "r0")
	p.grant("b", "r3")
	p.told("r3")
	p.ask() // all taken out of the file
	p.phase("r0", Withdrawn)
	p.phase("r6", Withdrawn)
	if it := p.phase("r3", Acknowledged); !it.Cancelled {
		t.Fatal("not marked")
	}
	p.see(cell(3).as(Gone))
	raw, _ := p.s.Save()
	if err := p.s.Load(raw); err != nil { // the request of r3 is known by its item alone
		t.Fatal(err)
	}
	p.wait(sec, cell(3).since(p.now))
	p.wait(60 * sec)
	p.phase("r3", Done)
	p.ask(names("a", "r0"), names("b", "r3", "r6"))
	p.phase("r0", Pending)
	p.phase("r3", Done) // its work is done

	p.refused("revision 1, 3 is in force", "asks", RequestsBody{Revision: 1})
	p.refused("other requests of the same revision", "asks", RequestsBody{Revision: 3})
	p.must("asks", p.asks)
	p.asks.Revision++
	p.asks.Requests[0].Reason = "other"
	p.refused("says something else", "asks", p.asks)
}

func TestTriedAgainSoOften(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	for range MaxAttempts {
		p.grant("a", "r0")
		p.must("withdraw", WithdrawBody{"r0", p.fence, "refused by c1"})
		p.wait(10 * sec)
	}
	p.phase("r0", Withdrawn)
	if n := len(p.s.Items()); n != MaxAttempts {
		t.Fatalf("%d items", n)
	}
}

func TestTimesOfARequest(t *testing.T) {
	r := names("a", "r0")
	r.Earliest, r.Latest = 1010*sec, 1020*sec
	p := start(t, limits, r)
	p.no("not before its earliest time", "a", "r0")
	p.wait(20 * sec)
	if _, err := p.s.MayGrant(p.now, "r0"); err != nil {
		t.Fatal(err)
	}
	p.wait(1)
	p.phase("r0", Rejected)
	p.asks.Paused = true
	p.ask(names("b", "r3"))
	p.no("paused by the operators", "b", "r3")
}

// A swap whose machines come back under new names ends; a name that comes later is matched.
func TestMatchedLater(t *testing.T) {
	p := start(t, limits, Request{ID: "all", Kind: Replica, Reason: "swap", MaxOutage: 300 * sec}, names("n", "r8"))
	if n := len(p.s.Open()); n != 8 {
		t.Fatalf("%d items", n)
	}
	p.wait(sec, Machine{Name: "r8", Kind: Replica, Cell: 1, Zone: "z1", Status: Up, Started: p.now + sec})
	if it := p.phase("r8", Pending); it.Request != "n" || len(p.s.Open()) != 9 {
		t.Fatalf("%+v", it)
	}
}

func TestGoneIsForgotten(t *testing.T) {
	p := start(t, limits, names("a", "r0"))
	p.must("observe", ObserveBody{Complete: true, Machines: []Machine{cell(1)}, Load: 1, LoadKnown: true})
	p.wait(GoneRetention)
	if n := len(p.s.Machines()); n != 2 { // r1, and r0, which is requested
		t.Fatalf("%d machines", n)
	}
}
