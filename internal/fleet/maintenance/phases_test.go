package maintenance

import "testing"

// Each way through the phases, by what is seen of the machine.
func TestPhasesFollowMachineStatus(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	up := replica(0)
	p.grant("a", "r0")
	p.acknowledge("r0")
	p.advance(10*sec, up.withStatus(Terminating))
	if it := p.wantPhase("r0", Out); it.Until != p.now+300*sec || it.OutAt != p.now {
		t.Fatalf("%+v", it)
	}
	p.advance(10*sec, up.withStatus(Gone))
	p.wantPhase("r0", Out)
	p.advance(10*sec, up) // the same start: it has not been anywhere
	p.wantPhase("r0", Out)
	p.advance(10*sec, up.startedAt(p.now))
	p.wantPhase("r0", Returned)
	started := p.state.machines["r0"].Started
	p.now = started + 40*sec - 1
	p.advance(0)
	p.wantPhase("r0", Returned)
	p.advance(1)
	p.wantPhase("r0", Done)
	if paused, why := p.state.Paused(p.now); paused {
		t.Fatalf("planned work pauses: %s", why)
	}
}

func TestRestartBetweenObservationsIsReturned(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.grant("a", "r0")
	p.acknowledge("r0")
	p.advance(10*sec, replica(0).startedAt(p.now+5*sec))
	if it := p.wantPhase("r0", Returned); it.OutAt != p.now {
		t.Fatalf("%+v", it)
	}
}

func TestOverdueMachineExpiresAndPauses(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.grant("a", "r0")
	p.acknowledge("r0")
	p.observe(replica(0).withStatus(Gone))
	p.advance(299*sec, Machine{Name: "r0-new", Kind: Replica, Zone: "z0", Status: Up, Started: p.now})
	p.wantPhase("r0", Out)
	p.advance(sec)
	p.wantPhase("r0", Expired)
	if paused, why := p.state.Paused(p.now); !paused || why != "W6: paused until 1970-01-01T00:22:40Z, for 1m0s more: r0 is not back by its time" {
		t.Fatal(why)
	}
}

func TestOutBeforeAcknowledgementExpires(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0", "r3"))
	p.grant("a", "r0")
	p.observe(replica(0).withStatus(Gone))
	first := p.state.Items()[0]
	if first.Phase != Expired || first.EndedAt != p.now {
		t.Fatalf("%+v", first)
	}
	p.wantPhase("r0", Pending)
	p.mustRefuseGrant("W6", "a", "r3")
}

func TestFailureDuringWarmUpGoesBackToOut(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0", "r3"))
	p.grant("a", "r0")
	p.acknowledge("r0")
	p.observe(replica(0).withStatus(Gone))
	p.advance(sec, replica(0).startedAt(p.now))
	p.wantPhase("r0", Returned)
	p.advance(sec, replica(0).withStatus(Gone))
	p.wantPhase("r0", Out)
	p.mustRefuseGrant("W6", "a", "r3")
}

func TestFailureDuringWarmUpPastDeadlineExpires(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.grant("a", "r0")
	p.acknowledge("r0")
	p.observe(replica(0).withStatus(Gone))
	p.advance(299*sec, replica(0).startedAt(p.now+299*sec))
	p.advance(2 * sec)
	p.wantPhase("r0", Returned)
	p.observe(replica(0).withStatus(Gone))
	p.wantPhase("r0", Expired)
}

// A machine that is down is requested, to be mended.
func TestGoneMachineCanBeGranted(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.observe(replica(0).withStatus(Gone))
	p.advance(60 * sec)
	p.grant("a", "r0")
	p.acknowledge("r0")
	p.wantPhase("r0", Out)
	p.advance(sec, replica(0).startedAt(p.now))
	p.wantPhase("r0", Returned)
}

func TestAcknowledgementNeedsEachCoordinator(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.grant("a", "r0")
	p.observe(coordinator(2).withStatus(Gone)) // lost by the members, it may still reach r0
	p.mustReject("nothing is said of co-ordinator c2", "told", AcknowledgeBody{"r0", 1, []string{"c0", "c1"}, nil})
	p.mustReject("c2 is silent for 6.999999999s", "told",
		AcknowledgeBody{"r0", 1, []string{"c0", "c1"}, []Silent{{"c2", 7*sec - 1}}})
	p.acknowledge("r0")
}

func TestRemovedRequestsAreWithdrawn(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"), requestFor("b", "r3", "r6"))
	p.grant("a", "r0")
	p.grant("b", "r3")
	p.acknowledge("r3")
	p.setRequests() // all taken out of the file
	p.wantPhase("r0", Withdrawn)
	p.wantPhase("r6", Withdrawn)
	if it := p.wantPhase("r3", Acknowledged); !it.Cancelled {
		t.Fatal("not marked")
	}
	p.observe(replica(3).withStatus(Gone))
	raw, _ := p.state.Save()
	if err := p.state.Load(raw); err != nil { // the request of r3 is known by its item alone
		t.Fatal(err)
	}
	p.advance(sec, replica(3).startedAt(p.now))
	p.advance(60 * sec)
	p.wantPhase("r3", Done)
	p.setRequests(requestFor("a", "r0"), requestFor("b", "r3", "r6"))
	p.wantPhase("r0", Pending)
	p.wantPhase("r3", Done) // its work is done

	p.mustReject("revision 1, 3 is in force", "asks", RequestsBody{Revision: 1})
	p.mustReject("other requests of the same revision", "asks", RequestsBody{Revision: 3})
	p.mustApply("asks", p.requests)
	p.requests.Revision++
	p.requests.Requests[0].Reason = "other"
	p.mustReject("says something else", "asks", p.requests)
}

func TestRetriesStopAfterMaxAttempts(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	for range MaxAttempts {
		p.grant("a", "r0")
		p.mustApply("withdraw", WithdrawBody{"r0", p.lastFence, "refused by c1"})
		p.advance(10 * sec)
	}
	p.wantPhase("r0", Withdrawn)
	if n := len(p.state.Items()); n != MaxAttempts {
		t.Fatalf("%d items", n)
	}
}

func TestRequestTimeWindow(t *testing.T) {
	r := requestFor("a", "r0")
	r.Earliest, r.Latest = 1010*sec, 1020*sec
	p := newFixture(t, testLimits, r)
	p.mustRefuseGrant("not before its earliest time", "a", "r0")
	p.advance(20 * sec)
	if _, err := p.state.MayGrant(p.now, "r0"); err != nil {
		t.Fatal(err)
	}
	p.advance(1)
	p.wantPhase("r0", Rejected)
	p.requests.Paused = true
	p.setRequests(requestFor("b", "r3"))
	p.mustRefuseGrant("paused by the operators", "b", "r3")
}

// A swap whose machines come back under new names ends; a name that comes later is matched.
func TestNewMachineMatchesRequestByName(t *testing.T) {
	p := newFixture(t, testLimits, Request{ID: "all", Kind: Replica, Reason: "swap", MaxOutage: 300 * sec}, requestFor("n", "r8"))
	if n := len(p.state.Open()); n != 8 {
		t.Fatalf("%d items", n)
	}
	p.advance(sec, Machine{Name: "r8", Kind: Replica, Cell: 1, Zone: "z1", Status: Up, Started: p.now + sec})
	if it := p.wantPhase("r8", Pending); it.Request != "n" || len(p.state.Open()) != 9 {
		t.Fatalf("%+v", it)
	}
}

func TestGoneMachineIsDroppedAfterRetention(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.mustApply("observe", ObserveBody{Complete: true, Machines: []Machine{replica(1)}, Load: 1, LoadKnown: true})
	p.advance(GoneRetention)
	if n := len(p.state.Machines()); n != 2 { // r1, and r0, which is requested
		t.Fatalf("%d machines", n)
	}
}
