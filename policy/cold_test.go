package policy

import (
	"math"
	"slices"
	"testing"
)

func TestColdReplicaGetsLimitedTraffic(t *testing.T) {
	start := 100 + 400*0.02 - 0.01
	fresh := Entry{Replica: 1, Size: 1, Started: start}
	for name, list := range map[string]Event{
		"restart under the same id": {Kind: ListChanged, List: []Entry{fresh}},
		"list from disk":            {Kind: ListChanged, Full: true, Stale: true, List: []Entry{fresh, {Replica: 2}, {Replica: 3}, {Replica: 4}}},
	} {
		// 200 parts a second over four replicas are 50 for each; the rule allows 2 x 0.2 x capacity at the start.
		sent, maxInWindow := sendToColdReplica(t, list, 0.02)
		if sent == 0 {
			t.Errorf("%s: nothing was sent, so that the replica would never be used", name)
		}
		if maxInWindow > 30 {
			t.Errorf("%s: %d parts in a second, more than 2 x 0.3 of the 50 that a warm replica takes", name, maxInWindow)
		}
	}
}

// Guards against many co-ordinators that learn of a replica's start at the same moment and all send their first part at
// once: together they stay under the rule's limit in every window. With first parts that all go at once this test fails.
func TestManyCoordinatorsDoNotOverloadAColdReplica(t *testing.T) {
	const coordinators = 40
	maxInWindow := 0
	for round := range 5 {
		var sentAt []float64
		for ordinal := range coordinators {
			cfg := testConfig(Safe)
			cfg.Coordinators, cfg.Ordinal, cfg.Seed = coordinators, ordinal, uint64(1+round)
			r := newRig(t, cfg)
			step := func(took float64) {
				_, _, acts := r.submit(1, 3)
				for _, a := range withVerb(Send, acts) {
					if a.Replica == 1 && r.now > 110 {
						sentAt = append(sentAt, r.now)
					}
					r.handle(Event{Kind: AttemptEnded, Part: a.Part, Replica: a.Replica, Outcome: OK, Latency: took})
				}
				r.advance(0.4)
			}
			for r.now < 110 {
				step(0.1)
			}
			r.handle(Event{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now}}})
			for r.now < 116 {
				step(0.1)
			}
		}
		slices.Sort(sentAt)
		for i := range sentAt {
			n := 0
			for j := i; j < len(sentAt) && sentAt[j] < sentAt[i]+1; j++ {
				n++
			}
			level := 0.2 + 0.8*(sentAt[i]-110)/10
			// Each of 40 co-ordinators sends 2.5 parts a second to four replicas: a warm one gets 25 a second, and
			// OverloadMultiple allows twice that.
			if float64(n) > 50*level {
				t.Fatalf("%d parts within 1 s, %.2f s after the replica's start, limit %.1f", n, sentAt[i]-110, 50*level)
			}
			maxInWindow = max(maxInWindow, n)
		}
	}
	if maxInWindow < 2 {
		t.Fatal("the cold replica was not used at all")
	}
}

// The parts that all co-ordinators together may send to a cold replica in the rule's window stay under the limit by at
// least 1.5 times the square root of their mean, however many co-ordinators there are. Their credit is spread evenly over
// time: between any two moments they earn together as much as a single co-ordinator would, within one part.
func TestColdShareLeavesMarginForRandomVariation(t *testing.T) {
	for _, coordinators := range []int{2, 30, 90} {
		var firstDue []float64 // when each co-ordinator may send its first part
		for ordinal := range coordinators {
			cfg := testConfig(Safe)
			cfg.Coordinators, cfg.Ordinal, cfg.Seed = coordinators, ordinal, uint64(ordinal)
			r := newRig(t, cfg)
			r.handle(Event{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now}}})
			r.p.models[0].fast = 0.01
			rep := r.p.replicas[1]
			rate, cold := r.p.coldRate(rep)
			mean, limit := rate*float64(coordinators)*cfg.OverloadWindow, cfg.OverloadMultiple*cfg.ColdCapacity*100*cfg.OverloadWindow
			if !cold || mean <= 0 || mean+1.5*math.Sqrt(mean) > limit+1e-9 {
				t.Errorf("%d co-ordinators: %.1f parts expected in the window, limit %.1f", coordinators, mean, limit)
			}
			firstDue = append(firstDue, (1-rep.credit)*float64(coordinators)) // in parts of all co-ordinators together
		}
		slices.Sort(firstDue)
		for i, at := range firstDue {
			if math.Abs(at-float64(i)) > 1+1e-6 {
				t.Errorf("%d co-ordinators: part %d is due after the time of %.2f parts", coordinators, i, at)
			}
		}
	}
}

// Credit accrues from the replica's start, however late the instance learns of it. The credit of one window is there at
// once, and so is the credit that would on average be held until a part of the instance's own goes to the replica, less
// where few answers were seen. At most one part is kept, or two where a window earns less than one.
func TestColdCreditAccruesFromTheReplicaStart(t *testing.T) {
	for _, c := range []struct {
		coordinators                int
		delay, maxCredit, headStart float64 // s, parts, s; headStart follows from the answers seen
		answers                     int
	}{{40, 0, 2, 0, 0}, {40, 1.5, 2, 0, 0}, {40, 9, 2, 0, 0}, {1, 0, 1, 0, 0}, {1, 3, 1, 0, 0}, {40, 0, 2, 5 * 4 * 8 / 256.0, 8}, {40, 1.5, 2, 5 * 4 * 20 / 784.0, 20}} {
		cfg := testConfig(Safe)
		cfg.Coordinators = c.coordinators
		r := newRig(t, cfg)
		r.p.models[0].fast = 0.1
		for range c.answers {
			r.p.answers.add(r.now)
		}
		r.handle(Event{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now - c.delay}}})
		rep := r.p.replicas[1]
		r.p.coldLimited(rep)
		rate, _ := r.p.coldRate(rep)
		if want := math.Min(c.maxCredit, r.p.phaseOffset(0)+rate*(c.delay+cfg.OverloadWindow+c.headStart)); math.Abs(rep.credit-want) > 1e-9 {
			t.Errorf("%+v: credit %.4f, want %.4f", c, rep.credit, want)
		}
	}
}

// Guards against cold replicas that are hardly used: with many co-ordinators, one that holds credit waits long for a part
// of its own. At the replica's start enough of them hold credit to use, at the rate of their own parts, what the mean of
// the rule allows.
func TestColdCreditIsUsedWithManyCoordinators(t *testing.T) {
	const coordinators, answers, span, replicas = 300, 100, 5.0, 100
	holders, allowed := 0, 0.0
	for ordinal := range coordinators {
		cfg := testConfig(Safe)
		cfg.Coordinators, cfg.Ordinal = coordinators, ordinal
		r := newRig(t, cfg)
		for range answers {
			r.p.answers.add(r.now)
		}
		r.p.upCount = replicas
		r.handle(Event{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now}}})
		r.p.upCount = replicas
		rep := r.p.replicas[1]
		rate, _ := r.p.coldRate(rep)
		if allowed = rate * coordinators; !r.p.coldLimited(rep) { // parts a second, of all co-ordinators together
			holders++
		}
	}
	ownRate := answers / span / replicas // parts a second from each co-ordinator to one replica
	if used := float64(holders) * ownRate; used < allowed/2 || used > allowed*(1+ownRate) {
		t.Errorf("%d of %d co-ordinators hold credit at the start and use %.1f parts a second, %.1f are allowed",
			holders, coordinators, used, allowed)
	}
}
