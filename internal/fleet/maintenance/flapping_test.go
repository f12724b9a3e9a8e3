package maintenance

import (
	"strings"
	"testing"
	"time"
)

// crash takes the machines down and restarts them, the given number of times at the given interval.
func (p *fixture) crash(times int, interval time.Duration, ms ...Machine) {
	p.t.Helper()
	for range times {
		var gone, back []Machine
		for _, m := range ms {
			gone, back = append(gone, m.withStatus(Gone)), append(back, m.startedAt(p.now))
		}
		p.observe(gone...)
		p.observe(back...)
		p.advance(interval)
	}
}

// wantFlapping checks the names of the flapping machines.
func (p *fixture) wantFlapping(want string) {
	p.t.Helper()
	if got := strings.Join(p.state.Flapping(p.now), " "); got != want {
		p.t.Fatalf("flapping machines are %q, want %q", got, want)
	}
}

// A crash loop pauses maintenance until its machine counts as flapping; later crashes neither pause it nor block its own repair.
func TestW6CrashLoopPausesOnce(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0", "r5"))
	p.crash(2, 10*sec, replica(5))
	p.wantFlapping("")
	p.crash(1, 10*sec, replica(5))
	p.wantFlapping("r5")
	until := p.state.pauseUntil
	if until != 1020*sec+240*sec { // the third failure still pauses, for the doubled span
		t.Fatalf("paused until %v", until)
	}
	p.crash(30, 10*sec, replica(5))
	if p.state.pauseUntil != until {
		t.Fatalf("a flapping machine lengthens the pause from %v to %v", until, p.state.pauseUntil)
	}
	p.grant("a", "r0")
	p.grant("a", "r5")
	if n := len(p.state.machines["r5"].Failures); n != FlapThreshold {
		t.Fatalf("%d failures are stored", n)
	}
}

// A granted machine that is not back by its deadline counts as failed, but if it is flapping this does not pause maintenance.
func TestW6OverdueFlappingMachineDoesNotPause(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r5"))
	p.crash(3, 10*sec, replica(5))
	p.advance(300 * sec)
	p.grant("a", "r5")
	p.acknowledge("r5")
	p.observe(replica(5).withStatus(Gone))
	p.advance(300 * sec)
	p.wantPhase("r5", Expired)
	if paused, reason := p.state.Paused(p.now); paused {
		t.Fatal(reason)
	}
}

// Failures of other machines pause maintenance while one machine is flapping.
func TestW6OtherFailuresPauseWhileOneMachineFlaps(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.crash(35, 10*sec, replica(5))
	p.observe(replica(3).withStatus(Gone), replica(5).withStatus(Gone))
	p.mustRefuseGrant("W6: paused until", "a", "r0")
	if !strings.HasPrefix(p.state.pauseReason, "r3 is gone") {
		t.Fatal(p.state.pauseReason)
	}
}

// A flapping machine does not count for W1, W3 or the voters of W2. Granting it only takes a slot.
func TestFlappingMachineIsExcludedFromRules(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0", "r1", "r4", "c1", "c2"))
	p.crash(3, 10*sec, replica(2), coordinator(2))
	p.wantFlapping("c2 r2")
	p.advance(300 * sec) // up and warm, but for less than 8 times FailurePause
	p.mustRefuseGrant("W1: shard 0 would be left with 1 holders", "a", "r0")
	p.mustRefuseGrant("W2: 1 voters would be left up", "a", "c1")
	if _, err := p.state.MayGrant(p.now, "r4"); err == nil {
		t.Fatal("r4 shares a shard with r2")
	}
	p.mustApply("observe", ObserveBody{Load: 5, LoadKnown: true}) // 6.25 with headroom; 7 replicas are reliable
	p.setRequests(requestFor("b", "r2", "r6"), requestFor("c", "c2"))
	p.mustRefuseGrant("W3: capacity 6.00 would be left warm", "b", "r6")
	p.grant("b", "r2")
	p.grant("c", "c2")
	p.advance(0)
	p.setRequests(requestFor("b", "r2", "r6"), requestFor("c", "c2"), requestFor("d", "c0"))
	p.mustRefuseGrant("W2: 1 voter is out already", "d", "c0")
}

// After 8 times FailurePause without a failure, and not earlier, a machine is relied on again, and its failure count starts from
// zero.
func TestFlappingEndsAfterStableWindow(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.crash(3, 0, replica(2))
	p.advance(470 * sec)
	p.observe(replica(2).withStatus(Unknown).startedAt(1000 * sec))
	p.observe(replica(2).startedAt(1000 * sec)) // a short time in status Unknown is no failure
	p.advance(10*sec - 1)
	p.mustRefuseGrant("W1", "a", "r0")
	p.now++
	if _, err := p.state.MayGrant(p.now, "r0"); err != nil {
		t.Fatal(err)
	}
	p.crash(2, 0, replica(2))
	p.wantFlapping("")
	p.mustRefuseGrant("W6", "a", "r0")
	p.crash(1, 0, replica(2))
	p.wantFlapping("r2")
}

// Fewer than three failures within 8 times FailurePause are not flapping: each one pauses maintenance, mostly it is not paused.
func TestRareFailuresAreNotFlapping(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	for range 6 {
		p.crash(1, 0, replica(5))
		p.mustRefuseGrant("W6: paused", "a", "r0")
		p.advance(60 * sec)
		if paused, reason := p.state.Paused(p.now); paused {
			t.Fatal(reason)
		}
		p.advance(181 * sec)
	}
	p.wantFlapping("")
}

// If more than MaxOut machines flap, their failures pause maintenance: the cause is the fleet, not single machines.
func TestW6PausesWhenMoreThanMaxOutFlap(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.crash(3, 10*sec, replica(4), replica(5), replica(6))
	p.advance(400 * sec)
	p.crash(1, 0, replica(4), replica(5), replica(6)) // as many as MaxOut
	if paused, reason := p.state.Paused(p.now); paused {
		t.Fatal(reason)
	}
	p.crash(3, 10*sec, replica(7))
	p.wantFlapping("r4 r5 r6 r7")
	until := p.state.pauseUntil
	p.advance(400 * sec)
	p.crash(1, 0, replica(4))
	if p.state.pauseUntil <= until {
		t.Fatalf("four machines flap, but the pause still ends at %v", until)
	}
}

// A snapshot keeps the failure history. Load rejects snapshots of version 1 and inconsistent histories.
func TestSnapshotKeepsFailureHistory(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.crash(3, 10*sec, replica(5))
	raw, err := p.state.Save()
	if err != nil {
		t.Fatal(err)
	}
	n := New()
	if err := n.Load(raw); err != nil {
		t.Fatal(err)
	}
	if got := n.Flapping(p.now); len(got) != 1 || got[0] != "r5" {
		t.Fatalf("flapping machines after loading: %v", got)
	}
	for want, corrupt := range map[string][2]string{
		"version 1, this program reads version 2":         {`{"v":2,`, `{"v":1,`},
		"at most 3 in ascending order are allowed":        {`"fails":[1000000000000,`, `"fails":[2000000000000,`},
		"flapping with fewer failures than the threshold": {`"fails":[1000000000000,1010000000000,1020000000000]`, `"fails":[1000000000000]`},
	} {
		bad := strings.Replace(string(raw), corrupt[0], corrupt[1], 1)
		if err := New().Load([]byte(bad)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// A reserved turn is kept if the machine itself flaps, and lost while flapping machines leave its shard with too few reliable
// holders.
func TestW5ReservationWithFlappingMachines(t *testing.T) {
	for _, c := range []struct {
		crashes []Machine
		holds   bool
	}{{[]Machine{replica(1)}, true}, {[]Machine{replica(0), replica(2)}, false}} {
		p := newFixture(t, Limits{}.modified(testLimits, func(l *Limits) { l.MaxPassedOver, l.MaxOut = 1, 1 }),
			requestFor("a", "r1"), requestFor("b", "r4", "r5"))
		p.grant("b", "r4")
		p.mustApply("withdraw", WithdrawBody{"r4", 1, "test"})
		p.crash(3, 10*sec, c.crashes...)
		p.advance(300 * sec)
		if c.holds {
			p.mustRefuseGrant("W5: r1, passed over 1 times, has reserved the last slot", "b", "r5")
		} else {
			p.grant("b", "r5")
		}
	}
}

// Flapping ends after the stable window even while the status is unknown: the next failure counts as a first one.
func TestFlappingEndsWhileStatusIsUnknown(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r0"))
	p.crash(3, 10*sec, replica(5))
	p.advance(400*sec, replica(5).withStatus(Unknown))
	p.advance(80 * sec)
	p.observe(replica(5).withStatus(Gone))
	p.wantFlapping("")
	p.mustRefuseGrant("W6: paused", "a", "r0")
}
