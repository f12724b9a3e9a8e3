package maintenance

import "testing"

// A planned restart passes through all phases, as the observed status of the machine changes.
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
	p.advance(10*sec, up) // up with the same start: it has not restarted
	p.wantPhase("r0", Out)
	p.advance(10*sec, up.startedAt(p.now))
	p.wantPhase("r0", Returned)
	started := p.state.machines["r0"].Started
	p.now = started + 40*sec - 1
	p.advance(0)
	p.wantPhase("r0", Returned)
	p.advance(1)
	p.wantPhase("r0", Done)
	if paused, reason := p.state.Paused(p.now); paused {
		t.Fatalf("planned maintenance pauses grants: %s", reason)
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
	if paused, reason := p.state.Paused(p.now); !paused || reason != "W6: paused until 1970-01-01T00:22:40Z, for 1m0s more: r0 is not back by its time" {
		t.Fatal(reason)
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

// A machine that is already gone can be granted, for its repair.
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
	p.observe(coordinator(2).withStatus(Gone)) // gone by gossip, but it may still reach r0
	p.mustReject("co-ordinator c2 has neither acknowledged the drain nor been reported silent", "told",
		AcknowledgeBody{"r0", 1, []string{"c0", "c1"}, nil})
	p.mustReject("c2 has been silent for 6.999999999s", "told",
		AcknowledgeBody{"r0", 1, []string{"c0", "c1"}, []Silent{{"c2", 7*sec - 1}}})
	p.acknowledge("r0")
}

func TestRemovedRequestsAreWithdrawn(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"), requestFor("b", "r3", "r6"))
	p.grant("a", "r0")
	p.grant("b", "r3")
	p.acknowledge("r3")
	p.setRequests() // the file has no requests any more
	p.wantPhase("r0", Withdrawn)
	p.wantPhase("r6", Withdrawn)
	if it := p.wantPhase("r3", Acknowledged); !it.Cancelled {
		t.Fatal("the item is not marked as cancelled")
	}
	p.observe(replica(3).withStatus(Gone))
	raw, _ := p.state.Save()
	if err := p.state.Load(raw); err != nil { // the request of r3 is saved with its item only
		t.Fatal(err)
	}
	p.advance(sec, replica(3).startedAt(p.now))
	p.advance(60 * sec)
	p.wantPhase("r3", Done)
	p.setRequests(requestFor("a", "r0"), requestFor("b", "r3", "r6"))
	p.wantPhase("r0", Pending)
	p.wantPhase("r3", Done) // its maintenance is done and is not repeated

	p.mustReject("revision 1 rejected: revision 3 is in force", "asks", RequestsBody{Revision: 1})
	p.mustReject("revision 3 is in force with different requests", "asks", RequestsBody{Revision: 3})
	p.mustApply("asks", p.requests)
	p.requests.Revision++
	p.requests.Requests[0].Reason = "other"
	p.mustReject("differs from the one in revision 3", "asks", p.requests)
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

// A request by rule does not match machines started after it was first seen, so a replacement in which machines return under new
// names ends. A request by name matches a machine that is added later.
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
	if n := len(p.state.Machines()); n != 2 { // r1, and r0, which has an open item
		t.Fatalf("%d machines", n)
	}
}
