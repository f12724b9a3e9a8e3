package policy

import (
	"math"
	"testing"
)

// With m=1, Δ=1, 1/μ=1 and L=6: C1 = 6/2 = 3 and C2 = 6/3 = 2; the second part saves 1 - 1/2 = 0.5.
// b1 = 2/(2·3) = 1/3, b2 = 3/(4·2) = 3/8, so λ² (0.5+1/24) - λ(2.5+9/8-2/3) + 3 = 0.
func TestThresholdMatchesHandCalculation(t *testing.T) {
	md := model{delta: 1, spread: 1}
	a, b, c := 0.5+1.0/24, 2.5+9.0/8-2.0/3, 3.0
	root := (b - math.Sqrt(b*b-4*a*c)) / (2 * a)
	want := root * root * (1.0 / 3) / (3 - root)
	if got := md.threshold(1, 1, 6); math.Abs(got-want) > 1e-9 {
		t.Fatalf("Q_1 = %v, want %v", got, want)
	}
	delay := func(s, c float64) float64 { return root * (s + 1) / (2 * s * c * (c - root)) }
	if d1, d2 := 1+1+delay(1, 3), 1+0.5+delay(2, 2); math.Abs(d1-d2) > 1e-9 {
		t.Fatalf("at the root the delays differ: %v, %v", d1, d2)
	}
}

func TestThresholdDecreasesWithPartCount(t *testing.T) {
	md := model{delta: 0.1, spread: 0.05}
	last := math.Inf(1)
	for s := 5; s < 10; s++ {
		q := md.threshold(5, s, 6)
		if !(q < last) {
			t.Fatalf("Q_%d = %v, not under %v", s, q, last)
		}
		last = q
	}
}

func TestThresholdWithoutDeltaIsInfinite(t *testing.T) {
	md := model{delta: 0, spread: 0.1}
	if q := md.threshold(3, 4, 6); !math.IsInf(q, 1) {
		t.Fatalf("Q = %v with Δ = 0: one more part costs nothing in the model", q)
	}
}

func modelPolicy(need float64) *Policy {
	cfg := settings(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = need, need
	return newRig(&testing.T{}, cfg).p
}

func TestInitialEstimates(t *testing.T) {
	md := modelPolicy(1).models[0] // minPromise 1 s
	if md.mean != 0.2 || md.spread != 0.1 || md.delta != 0.1 {
		t.Fatalf("mean %v, 1/μ %v, Δ %v; want a fifth of the promise, half of that, the difference", md.mean, md.spread, md.delta)
	}
}

// An empty backlog gives k, a very long one m, and in between the count never rises with the backlog.
func TestPartCountFallsWithBacklog(t *testing.T) {
	p := modelPolicy(0.5)
	p.inFlight = 4 // L: four servers, one co-ordinator
	if s := p.partCount(0, 4, 8); s != 8 {
		t.Fatalf("with nothing beyond L %d parts of 8 are asked", s)
	}
	last, between := 8, false
	for p.inFlight = 5; p.inFlight < 400; p.inFlight++ {
		s := p.partCount(0, 4, 8)
		if s > last || s < 4 {
			t.Fatalf("backlog of %d parts: s = %d after %d", p.inFlight, s, last)
		}
		last, between = s, between || s > 4 && s < 8
	}
	if last != 4 || !between {
		t.Fatalf("ended at s = %d, counts in between seen: %v", last, between)
	}
}

func TestPartCountIsFixedWhenAllPartsAreNeeded(t *testing.T) {
	p := modelPolicy(1)
	for _, n := range []int{0, 10, 1000} {
		p.inFlight = n
		if s := p.partCount(0, 5, 5); s != 5 {
			t.Fatalf("m = k = 5, %d parts out: s = %d", n, s)
		}
	}
}

// L is the servers over the co-ordinators, but never under m.
func TestShareIsServersPerCoordinator(t *testing.T) {
	p := modelPolicy(1)
	if l := p.serverShare(1); l != 4 {
		t.Fatalf("four servers, one co-ordinator: L = %v", l)
	}
	p.cfg.Coordinators = 8
	if l := p.serverShare(3); l != 3 {
		t.Fatalf("half a server a co-ordinator, m = 3: L = %v", l)
	}
}

func TestEstimatesDropTheSlowestThousandth(t *testing.T) {
	p := modelPolicy(1)
	p.now = 200
	for i := range 2000 {
		took := 0.1
		if i%2 == 0 {
			took = 0.3
		}
		if i < 2 {
			took = 100 // the worst two of 2,000
		}
		p.models[0].latencies.add(p.now, took)
	}
	p.refreshModels()
	if md := p.models[0]; math.Abs(md.mean-0.2) > 1e-3 || math.Abs(md.spread-0.1) > 1e-3 || math.Abs(md.delta-0.1) > 1e-3 {
		t.Fatalf("mean %v, 1/μ %v, Δ %v; want 0.2, 0.1, 0.1", md.mean, md.spread, md.delta)
	}
}

func TestEstimatesStayWithoutRecentSamples(t *testing.T) {
	p := modelPolicy(1)
	before := p.models[0].mean
	p.now = 500
	p.refreshModels()
	for range minSamples {
		p.models[0].latencies.add(p.now-historySpan-1, 9) // too old to count
	}
	p.refreshModels()
	if md := p.models[0]; md.mean != before {
		t.Fatalf("mean %v without a sample of late, want it as it was, %v", md.mean, before)
	}
}

// Spread over the mean: Δ would be negative and is held at zero.
func TestDeltaIsNeverNegative(t *testing.T) {
	p := modelPolicy(1)
	p.now = 300
	for i := range 100 {
		took := 0.01
		if i%20 == 0 {
			took = 2
		}
		p.models[0].latencies.add(p.now, took)
	}
	p.refreshModels()
	if md := p.models[0]; md.delta != 0 || md.spread <= md.mean {
		t.Fatalf("Δ = %v with 1/μ %v and mean %v", md.delta, md.spread, md.mean)
	}
}

// Cancelled parts leave no latency: the model sees only what was answered.
func TestRevokedPartsLeaveNoSample(t *testing.T) {
	r := newRig(t, settings(Safe))
	_, parts, acts := r.ask(1, 3)
	s := of(Send, acts)
	r.do(Event{Kind: AttemptEnded, Part: parts[0], Replica: s[0].Replica, Outcome: Cancelled, Latency: 0.9})
	if n := len(r.p.models[0].latencies.entries); n != 0 {
		t.Fatalf("%d samples from a revoked part", n)
	}
}

func TestReplicaWithFewestCallsIsChosen(t *testing.T) {
	cfg := settings(Safe)
	cfg.MaxPartsPerCall = 8
	r := newRig(t, cfg)
	_, _, acts := r.ask(4, 3) // four holders, four parts: one each, for nothing is out yet
	seen := map[uint64]bool{}
	for _, a := range of(Send, acts) {
		seen[a.Replica] = true
	}
	if len(seen) != 4 {
		t.Fatalf("four parts went to %d of four idle holders", len(seen))
	}
	r.ask(4, 3)
	for _, x := range r.p.list {
		if x.openCalls != 2 {
			t.Fatalf("replica %d has %d calls out, want two each", x.id, x.openCalls)
		}
	}
	_, _, acts = r.ask(8, 3) // two parts each, but those of one turn share a call
	for _, x := range r.p.list {
		if x.openCalls != 3 {
			t.Fatalf("replica %d has %d calls out, want three: parts sharing a call count once", x.id, x.openCalls)
		}
	}
	if len(of(Send, acts)) != 8 {
		t.Fatalf("%d of 8 parts went out: none waits for a slot", len(of(Send, acts)))
	}
}

// The list has to be asked for at some sites: at once, and again a while after a call failed.
func TestListIsRequestedAtStartAndAfterAFailure(t *testing.T) {
	cfg := settings(Safe)
	cfg.MustSubscribe = true
	r := &rig{t: t, p: New(cfg), now: 100}
	if n := len(of(Watch, r.do(Event{Kind: ListChanged, Full: true, Stale: true}))); n != 1 {
		t.Fatalf("asked %d times at the start", n)
	}
	if n := len(of(Watch, r.run(5))); n != 0 {
		t.Fatalf("asked %d times more though no call failed", n)
	}
	if n := len(of(Watch, r.do(Event{Kind: ListFailed}))); n != 0 {
		t.Fatal("asked again in the turn of the failure: many instances at once make all of them late")
	}
	if n := len(of(Watch, r.run(1.5))); n != 1 {
		t.Fatalf("asked %d times within one and a half promises of a failed call", n)
	}
}

// Guards against classes whose least promise is longer than an instance may go without asking: what it was not told counts
// as told by then.
func TestListRequestIsRepeatedWithinTheConfiguredTime(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes[0].Promise, cfg.Classes[0].GiveUp, cfg.MustSubscribe, cfg.MaxSubscribeDelay = 10, 40, true, 2
	r := &rig{t: t, p: New(cfg), now: 100}
	r.do(Event{Kind: ListChanged, Full: true, Stale: true})
	r.do(Event{Kind: ListFailed})
	if n := len(of(Watch, r.run(1.5))); n != 0 {
		t.Fatalf("asked %d times within 1.5 s of a failed call", n)
	}
	if n := len(of(Watch, r.run(1))); n != 1 {
		t.Fatalf("asked %d times within 2.5 s, 2 s being allowed without", n)
	}
}

// One answer in twenty takes twenty times as long: that is no reason to wait so long for each.
func TestRareStallsDoNotRaiseTheLatenessThreshold(t *testing.T) {
	p := modelPolicy(1)
	p.now = 300
	for i := range 200 {
		took := 0.1
		if i%20 == 0 {
			took = 2
		}
		p.models[0].latencies.add(p.now, took)
	}
	p.refreshModels()
	if late := p.lateAge(0); late > 0.6 {
		t.Fatalf("a part counts as late after %v s, the median being 0.1 s", late)
	}
}
