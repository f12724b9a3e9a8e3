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
		// 200 parts a second over four replicas are 50 for each; the rule allows 2 x 0.2 x capacity at first.
		sent, most := cold(t, list, 0.02)
		if sent == 0 {
			t.Errorf("%s: nothing at all was sent, so it would never be used", name)
		}
		if most > 30 {
			t.Errorf("%s: %d parts in a second, more than 2 x 0.3 of the 50 that a warm one takes", name, most)
		}
	}
}

// Many co-ordinators are told of a new start at the same moment, and each has parts for it: what all of them
// send together stays under the rule's limit in every window. One that had each send its first part at once fails.
func TestManyCoordinatorsDoNotOverloadAColdReplica(t *testing.T) {
	const peers = 40
	most := 0
	for round := range 5 {
		var at []float64
		for ordinal := range peers {
			cfg := settings(Safe)
			cfg.Coordinators, cfg.Ordinal, cfg.Seed = peers, ordinal, uint64(1+round)
			r := newRig(t, cfg)
			step := func(took float64) {
				_, _, acts := r.ask(1, 3)
				for _, a := range of(Send, acts) {
					if a.Replica == 1 && r.now > 110 {
						at = append(at, r.now)
					}
					r.do(Event{Kind: AttemptEnded, Part: a.Part, Replica: a.Replica, Outcome: OK, Latency: took})
				}
				r.run(0.4)
			}
			for r.now < 110 {
				step(0.1)
			}
			r.do(Event{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now}}})
			for r.now < 116 {
				step(0.1)
			}
		}
		slices.Sort(at)
		for i := range at {
			n := 0
			for j := i; j < len(at) && at[j] < at[i]+1; j++ {
				n++
			}
			level := 0.2 + 0.8*(at[i]-110)/10
			// Each of 40 sends 2.5 parts a second to four replicas: 25 a second when warm, twice that is the multiple.
			if float64(n) > 50*level {
				t.Fatalf("%d parts within 1 s at %.2f s after its start, limit %.1f", n, at[i]-110, 50*level)
			}
			most = max(most, n)
		}
	}
	if most < 2 {
		t.Fatal("the cold replica was not used at all")
	}
}

// What all peers together may send a cold replica in the rule's window stays under the limit by 1.5 roots of its mean,
// however many they are, and their shares come evenly spread: between any two moments they have as much credit
// together as one would that had it all, give or take one part.
func TestColdShareLeavesMarginForRandomVariation(t *testing.T) {
	for _, peers := range []int{2, 30, 90} {
		var due []float64 // when each peer's first part may go
		for ordinal := range peers {
			cfg := settings(Safe)
			cfg.Coordinators, cfg.Ordinal, cfg.Seed = peers, ordinal, uint64(ordinal)
			r := newRig(t, cfg)
			r.do(Event{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now}}})
			r.p.models[0].fast = 0.01
			x := r.p.replicas[1]
			rate, cold := r.p.coldRate(x)
			mean, limit := rate*float64(peers)*cfg.OverloadWindow, cfg.OverloadMultiple*cfg.ColdCapacity*100*cfg.OverloadWindow
			if !cold || mean <= 0 || mean+1.5*math.Sqrt(mean) > limit+1e-9 {
				t.Errorf("%d peers: %.1f parts expected in the window, limit %.1f", peers, mean, limit)
			}
			due = append(due, (1-x.credit)*float64(peers)) // received parts of all peers together
		}
		slices.Sort(due)
		for i, at := range due {
			if math.Abs(at-float64(i)) > 1+1e-6 {
				t.Errorf("%d peers: part %d is due after %.2f parts' time", peers, i, at)
			}
		}
	}
}

// Credit counts from a replica's start, however late the news of it, with a window's worth at once, and as much more as is
// held on the mean until an own part comes there, less where few were seen. One part of it is all that is kept, two where a
// window earns less than one.
func TestColdCreditAccruesFromTheReplicaStart(t *testing.T) {
	for _, c := range []struct {
		peers            int
		late, most, back float64 // s; back: by the answers seen
		seen             int
	}{{40, 0, 2, 0, 0}, {40, 1.5, 2, 0, 0}, {40, 9, 2, 0, 0}, {1, 0, 1, 0, 0}, {1, 3, 1, 0, 0}, {40, 0, 2, 5 * 4 * 8 / 256.0, 8}, {40, 1.5, 2, 5 * 4 * 20 / 784.0, 20}} {
		cfg := settings(Safe)
		cfg.Coordinators = c.peers
		r := newRig(t, cfg)
		r.p.models[0].fast = 0.1
		for range c.seen {
			r.p.answers.add(r.now)
		}
		r.do(Event{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now - c.late}}})
		x := r.p.replicas[1]
		r.p.coldLimited(x)
		rate, _ := r.p.coldRate(x)
		if want := math.Min(c.most, r.p.phaseOffset(0)+rate*(c.late+cfg.OverloadWindow+c.back)); math.Abs(x.credit-want) > 1e-9 {
			t.Errorf("%+v: credit %.4f, want %.4f", c, x.credit, want)
		}
	}
}

// Guards against cold replicas that are hardly used: with many co-ordinators those who hold credit wait long for a part of
// their own. At its start so many hold some that, at the rate of own parts, they use what the rule's mean allows.
func TestColdCreditIsUsedWithManyCoordinators(t *testing.T) {
	const peers, seen, span, up = 300, 100, 5.0, 100
	holders, allowed := 0, 0.0
	for ordinal := range peers {
		cfg := settings(Safe)
		cfg.Coordinators, cfg.Ordinal = peers, ordinal
		r := newRig(t, cfg)
		for range seen {
			r.p.answers.add(r.now)
		}
		r.p.upCount = up
		r.do(Event{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now}}})
		r.p.upCount = up
		x := r.p.replicas[1]
		rate, _ := r.p.coldRate(x)
		if allowed = rate * peers; !r.p.coldLimited(x) { // a second, of all together
			holders++
		}
	}
	own := seen / span / up // parts a second for one replica, each
	if used := float64(holders) * own; used < allowed/2 || used > allowed*(1+own) {
		t.Errorf("%d of %d hold credit at the start and use %.1f parts a second, %.1f are allowed", holders, peers, used, allowed)
	}
}
