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
		t.Fatalf("the modelled delays differ at the root: %v, %v", d1, d2)
	}
}

func TestThresholdDecreasesWithPartCount(t *testing.T) {
	md := model{delta: 0.1, spread: 0.05}
	previous := math.Inf(1)
	for s := 5; s < 10; s++ {
		q := md.threshold(5, s, 6)
		if !(q < previous) {
			t.Fatalf("Q_%d = %v, want less than %v", s, q, previous)
		}
		previous = q
	}
}

func TestThresholdWithoutDeltaIsInfinite(t *testing.T) {
	md := model{delta: 0, spread: 0.1}
	if q := md.threshold(3, 4, 6); !math.IsInf(q, 1) {
		t.Fatalf("Q = %v with Δ = 0, want infinity: one more part costs nothing in the model", q)
	}
}

// modelPolicy returns a policy with one class that needs the given share of weight.
func modelPolicy(need float64) *Policy {
	cfg := testConfig(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = need, need
	return newRig(&testing.T{}, cfg).p
}

func TestInitialEstimates(t *testing.T) {
	md := modelPolicy(1).models[0] // the promise is 1 s
	if md.mean != 0.2 || md.spread != 0.1 || md.delta != 0.1 {
		t.Fatalf("mean %v, 1/μ %v, Δ %v; want a fifth of the promise, half of that, and their difference", md.mean, md.spread, md.delta)
	}
}

// The part count is k with an empty backlog and m with a very long one, and never increases with the backlog.
func TestPartCountFallsWithBacklog(t *testing.T) {
	p := modelPolicy(0.5)
	p.inFlight = 4 // L: four servers, one co-ordinator
	if s := p.partCount(0, 4, 8); s != 8 {
		t.Fatalf("with no backlog beyond L, %d of 8 parts are sent", s)
	}
	previous, betweenSeen := 8, false
	for p.inFlight = 5; p.inFlight < 400; p.inFlight++ {
		s := p.partCount(0, 4, 8)
		if s > previous || s < 4 {
			t.Fatalf("%d parts in flight: s = %d after %d", p.inFlight, s, previous)
		}
		previous, betweenSeen = s, betweenSeen || s > 4 && s < 8
	}
	if previous != 4 || !betweenSeen {
		t.Fatalf("the longest backlog gave s = %d, want 4; counts between 4 and 8 seen: %v", previous, betweenSeen)
	}
}

func TestPartCountIsFixedWhenAllPartsAreNeeded(t *testing.T) {
	p := modelPolicy(1)
	for _, n := range []int{0, 10, 1000} {
		p.inFlight = n
		if s := p.partCount(0, 5, 5); s != 5 {
			t.Fatalf("m = k = 5, %d parts in flight: s = %d", n, s)
		}
	}
}

// L is the number of servers over the number of co-ordinators, but never less than m.
func TestShareIsServersPerCoordinator(t *testing.T) {
	p := modelPolicy(1)
	if l := p.serverShare(1); l != 4 {
		t.Fatalf("four servers, one co-ordinator: L = %v", l)
	}
	p.cfg.Coordinators = 8
	if l := p.serverShare(3); l != 3 {
		t.Fatalf("half a server for each co-ordinator, m = 3: L = %v", l)
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
		t.Fatalf("mean %v without recent samples, want it unchanged at %v", md.mean, before)
	}
}

// With a spread larger than the mean, Δ would be negative; it is limited to zero.
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

// Cancelled attempts leave no latency sample: the model counts answered ones only.
func TestCancelledPartsLeaveNoSample(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	_, parts, acts := r.submit(1, 3)
	s := withVerb(Send, acts)
	r.handle(Event{Kind: AttemptEnded, Part: parts[0], Replica: s[0].Replica, Outcome: Cancelled, Latency: 0.9})
	if n := len(r.p.models[0].latencies.entries); n != 0 {
		t.Fatalf("%d samples from a cancelled attempt", n)
	}
}

func TestReplicaWithFewestCallsIsChosen(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.MaxPartsPerCall = 8
	r := newRig(t, cfg)
	_, _, acts := r.submit(4, 3) // four parts for four holders with nothing in flight: one each
	seen := map[uint64]bool{}
	for _, a := range withVerb(Send, acts) {
		seen[a.Replica] = true
	}
	if len(seen) != 4 {
		t.Fatalf("four parts went to %d of four idle holders", len(seen))
	}
	r.submit(4, 3)
	for _, rep := range r.p.list {
		if rep.openCalls != 2 {
			t.Fatalf("replica %d has %d open calls, want 2", rep.id, rep.openCalls)
		}
	}
	_, _, acts = r.submit(8, 3) // two parts for each holder, which share a call because they are sent in one turn
	for _, rep := range r.p.list {
		if rep.openCalls != 3 {
			t.Fatalf("replica %d has %d open calls, want 3: parts that share a call count once", rep.id, rep.openCalls)
		}
	}
	if len(withVerb(Send, acts)) != 8 {
		t.Fatalf("%d of 8 parts were sent, want all: no part waits for a slot", len(withVerb(Send, acts)))
	}
}

// Some deployments must subscribe to the list: the instance does so at its start, and again a while after a call failed.
func TestListIsRequestedAtStartAndAfterAFailure(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.MustSubscribe = true
	r := &rig{t: t, p: New(cfg), now: 100}
	if n := len(withVerb(Watch, r.handle(Event{Kind: ListChanged, Full: true, Stale: true}))); n != 1 {
		t.Fatalf("subscribed %d times at the start, want 1", n)
	}
	if n := len(withVerb(Watch, r.advance(5))); n != 0 {
		t.Fatalf("subscribed %d more times although no call failed", n)
	}
	if n := len(withVerb(Watch, r.handle(Event{Kind: ListFailed}))); n != 0 {
		t.Fatal("subscribed again in the turn of the failure: many instances that do so at once delay all of them")
	}
	if n := len(withVerb(Watch, r.advance(1.5))); n != 1 {
		t.Fatalf("subscribed %d times within one and a half promises after a failed call, want 1", n)
	}
}

// Guards against classes whose shortest promise is longer than MaxSubscribeDelay: after that delay without a call, list
// changes that the instance missed count as known to it.
func TestListRequestIsRepeatedWithinTheConfiguredTime(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Classes[0].Promise, cfg.Classes[0].GiveUp, cfg.MustSubscribe, cfg.MaxSubscribeDelay = 10, 40, true, 2
	r := &rig{t: t, p: New(cfg), now: 100}
	r.handle(Event{Kind: ListChanged, Full: true, Stale: true})
	r.handle(Event{Kind: ListFailed})
	if n := len(withVerb(Watch, r.advance(1.5))); n != 0 {
		t.Fatalf("subscribed %d times within 1.5 s after a failed call, want 0", n)
	}
	if n := len(withVerb(Watch, r.advance(1))); n != 1 {
		t.Fatalf("subscribed %d times within 2.5 s after a failed call, want 1: the delay is 2 s at most", n)
	}
}

// Guards against rare stalls that hide themselves: when one answer in twenty takes twenty times as long, the age at which a
// part counts as late must not grow to the length of a stall.
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
		t.Fatalf("a part counts as late after %v s although the median is 0.1 s", late)
	}
}
