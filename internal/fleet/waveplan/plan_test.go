package waveplan

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"birchcart/internal/fleet/maintenance"
)

// violation returns which rule is violated if the machines of a wave are away together, the first wave in addition to those that
// are away already. It counts the holders of each shard itself and shares no code with the planner.
func violation(p Problem, first bool, wave []string) string {
	l, gone, out, voters, size, places := p.Limits, 0, len(wave), 0, 0.0, map[string]int{}
	waveHas := func(is func(Machine) bool) bool {
		return slices.ContainsFunc(p.Machines, func(m Machine) bool { return is(m) && slices.Contains(wave, m.Name) })
	}
	for _, m := range p.Machines {
		in := slices.Contains(wave, m.Name)
		if first && m.InProgress {
			out++
		}
		if in || first && m.InProgress {
			places[m.Zone]++
			if m.Voter {
				voters++
				if in && m.Serving {
					gone++
				}
			}
		}
		if m.Replica && m.Serving && !in && !(first && (m.InProgress || m.Cold)) {
			size += max(m.Size, map[bool]float64{true: 1}[m.Size == 0])
		}
	}
	if len(wave) == 0 {
		return ""
	}
	for z, n := range places {
		if n > l.MaxOutPerZone && waveHas(func(m Machine) bool { return m.Zone == z }) {
			return fmt.Sprint("zone ", z)
		}
	}
	up, hasVoter := 0, false
	for _, m := range p.Machines {
		if m.Voter && m.Serving {
			up++
		}
		hasVoter = hasVoter || m.Voter && slices.Contains(wave, m.Name)
	}
	takesSize := waveHas(func(m Machine) bool { return m.Replica })
	lacksCapacity := takesSize && p.LoadKnown && size+1e-6 < p.Load*(1+l.Headroom)
	if out > l.MaxOut || hasVoter && (voters > 1 || up-gone < l.MinVoters) || lacksCapacity {
		return "total, voters or size"
	}
	for s := range l.Shards {
		left, concerned := 0, false
		for j := range min(l.Reach, l.Cells) {
			for _, m := range p.Machines {
				if !m.Replica || m.Cell != (s+j)%l.Cells {
					continue
				}
				in := slices.Contains(wave, m.Name)
				concerned = concerned || in
				if m.Serving && !in && !(first && (m.InProgress || m.Cold)) {
					left++
				}
			}
		}
		if concerned && left < l.MinHolders {
			return fmt.Sprintf("shard %d has %d left", s, left)
		}
	}
	return ""
}

// fewestWaves returns the smallest number of waves by trying all plans.
func fewestWaves(p Problem, names []string) int {
	best := len(names) + 1
	var waves [][]string
	var try func(i int)
	try = func(i int) {
		if i == len(names) {
			best = min(best, len(waves))
			return
		}
		for w := 0; w <= len(waves) && w < best; w++ {
			if fresh := w == len(waves); fresh {
				waves = append(waves, nil)
			}
			waves[w] = append(waves[w], names[i])
			if len(waves) < best+1 && violation(p, w == 0, waves[w]) == "" {
				try(i + 1)
			}
			waves[w] = waves[w][:len(waves[w])-1]
			for len(waves) > 1 && len(waves[len(waves)-1]) == 0 {
				waves = waves[:len(waves)-1]
			}
		}
	}
	waves = [][]string{nil} // the first wave may stay empty if the machines that are out take its places
	try(0)
	return best
}

func randomProblem(rng *rand.Rand) Problem {
	cells := 2 + rng.IntN(6)
	l := maintenance.Limits{Cells: cells, Reach: 1 + rng.IntN(min(3, cells)), Shards: max(1, cells-rng.IntN(2)),
		MinHolders: 1 + rng.IntN(2), MaxOutPerZone: 1 + rng.IntN(4), MaxOut: 1 + rng.IntN(6), Headroom: 0.25, MinVoters: 2}
	p := Problem{Limits: l, LoadKnown: rng.IntN(2) > 0}
	for i := range cells * (1 + rng.IntN(3)) {
		m := Machine{Name: fmt.Sprint("r", i), Zone: fmt.Sprint("z", rng.IntN(3)), Replica: true, Cell: i % cells, Serving: rng.IntN(9) > 0,
			Size: []float64{0, 1, 0.5, 2}[rng.IntN(4)]}
		m.InProgress, m.Cold = rng.IntN(12) == 0, m.Serving && rng.IntN(12) == 0
		m.Serving = m.Serving || m.InProgress
		p.Machines = append(p.Machines, m)
	}
	p.Load = float64(len(p.Machines)) * 0.6 * rng.Float64()
	for i := range 5 {
		p.Machines = append(p.Machines, Machine{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%3), Voter: i < 3, Serving: rng.IntN(12) > 0})
	}
	for range 1 + rng.IntN(7) {
		p.Requests = append(p.Requests, Request{p.Machines[rng.IntN(len(p.Machines))].Name, Class(rng.IntN(3))})
	}
	return p
}

// Plans of up to seven machines have as few waves as the best of all possible plans.
func TestSmallPlansAreOptimal(t *testing.T) {
	exactBounds, excluded, longPlans := 0, 0, 0
	for seed := range uint64(3000) {
		p := randomProblem(rand.New(rand.NewPCG(seed, 3)))
		r := Plan(p)
		var names []string
		for i, w := range r.Waves {
			if reason := violation(p, i == 0, w); reason != "" {
				t.Fatalf("seed %d: wave %d of %v: %s\n%+v", seed, i, r.Waves, reason, p)
			}
			names = append(names, w...)
		}
		requested := map[string]bool{}
		for _, a := range p.Requests {
			if i := slices.IndexFunc(p.Machines, func(m Machine) bool { return m.Name == a.Machine }); !p.Machines[i].InProgress {
				requested[a.Machine] = true
			}
		}
		for _, k := range r.Excluded {
			excluded++
			if violation(p, false, []string{k.Machine}) == "" {
				t.Fatalf("seed %d: %s is excluded (%s) but could go alone\n%+v", seed, k.Machine, k.Reason, p)
			}
			delete(requested, k.Machine)
		}
		slices.Sort(names)
		if len(slices.Compact(slices.Clone(names))) != len(names) || len(names) != len(requested) {
			t.Fatalf("seed %d: planned %v, requested %v", seed, r.Waves, requested)
		}
		if len(names) == 0 {
			continue
		}
		best := fewestWaves(p, names)
		if r.Bound > best || len(r.Waves) != best {
			t.Fatalf("seed %d: %v, the best has %d\n%+v", seed, r, best, p)
		}
		if r.Bound == best {
			exactBounds++
		}
		if best > 2 {
			longPlans++
		}
	}
	t.Logf("the bound is exact in %d, %d need more than two waves, %d machines excluded", exactBounds, longPlans, excluded)
	if exactBounds < 2400 || longPlans < 500 || excluded < 100 {
		t.Errorf("too few cases of one kind, or the bound is rarely exact")
	}
}

// swapProblem returns the problem of a site with one replica for each cell, and co-ordinators, over four zones. All replicas are
// requested, and if all is set the co-ordinators too.
func swapProblem(replicas, coordinators, reach, minHolders, maxPerZone, maxOut int, all bool) Problem {
	p := Problem{Limits: maintenance.Limits{Cells: replicas, Reach: reach, Shards: replicas, MinHolders: minHolders,
		MaxOutPerZone: maxPerZone, MaxOut: maxOut, Headroom: 0.25, MinVoters: 3}, Load: 0.5 * float64(replicas), LoadKnown: true}
	for i := range replicas {
		m := Machine{Name: fmt.Sprintf("r%03d", i), Zone: fmt.Sprint("z", i%4), Replica: true, Cell: i, Serving: true}
		p.Machines, p.Requests = append(p.Machines, m), append(p.Requests, Request{m.Name, Routine})
	}
	for i := range coordinators {
		m := Machine{Name: fmt.Sprintf("c%03d", i), Zone: fmt.Sprint("z", i%4), Serving: true, Voter: i < 5}
		if p.Machines = append(p.Machines, m); all {
			p.Requests = append(p.Requests, Request{m.Name, Routine})
		}
	}
	return p
}

func TestSwapPlansAreNearBound(t *testing.T) {
	for _, c := range []struct{ reach, minHolders, maxPerZone, maxOut int }{
		{3, 2, 100, 500}, {3, 1, 100, 500}, {2, 1, 100, 500}, {4, 3, 100, 500}, {3, 2, 5, 20}, {3, 2, 4, 13}, {3, 2, 1, 1}, {5, 3, 11, 40},
	} {
		for _, all := range []bool{false, true} {
			p := swapProblem(200, 300, c.reach, c.minHolders, c.maxPerZone, c.maxOut, all)
			r := Plan(p)
			t.Logf("%+v, co-ordinators too: %v: %v", c, all, r)
			n := 0
			for i, w := range r.Waves {
				n += len(w)
				if reason := violation(p, i == 0, w); reason != "" {
					t.Fatalf("wave %d: %s", i, reason)
				}
			}
			if n != len(p.Requests) || float64(len(r.Waves)) > 1.2*float64(r.Bound) {
				t.Errorf("%d of %d machines", n, len(p.Requests))
			}
		}
	}
}

// A plan depends on the requests and their order, not on the order of the inventory, and is the same in each run.
func TestPlanIgnoresInventoryOrder(t *testing.T) {
	p := swapProblem(200, 300, 3, 2, 5, 20, true)
	want := Plan(p)
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 9))
		rng.Shuffle(len(p.Machines), func(i, j int) { p.Machines[i], p.Machines[j] = p.Machines[j], p.Machines[i] })
		if got := Plan(p); !reflect.DeepEqual(got, want) {
			t.Fatalf("%v and %v", got, want)
		}
	}
}

// Reserved machines go before urgent ones, and these before routine ones; machines that share no shard with them go in the same
// wave.
func TestClassOrder(t *testing.T) {
	p := swapProblem(12, 0, 2, 1, 12, 3, false)
	p.Requests[7].Class, p.Requests[4].Class, p.Requests[5].Class = Reserved, Urgent, Urgent
	r := Plan(p)
	if w := r.Waves[0]; len(w) != 3 || w[0] != "r007" || w[1] != "r004" || slices.Contains(w, "r005") {
		t.Errorf("%v", r.Waves)
	}
	if !slices.Contains(r.Waves[1], "r005") || len(r.Waves) > r.Bound+1 {
		t.Errorf("%v", r.Waves)
	}
}

func TestRequestsBeyondMaxPlannedAreDeferred(t *testing.T) {
	p := swapProblem(MaxPlanned+50, 0, 3, 2, 500, 2000, false)
	p.Requests[MaxPlanned+49].Class = Urgent
	r := Plan(p)
	if r.Deferred != 50 || !slices.Contains(r.Waves[0], fmt.Sprintf("r%03d", MaxPlanned+49)) || float64(len(r.Waves)) > 1.2*float64(r.Bound) {
		t.Errorf("%v", r)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ maxPerZone, maxOut int }{{100, 500}, {5, 20}, {1, 1}} {
		p := swapProblem(200, 300, 3, 2, c.maxPerZone, c.maxOut, true)
		b.Run(fmt.Sprintf("200+300, %d at once", c.maxOut), func(b *testing.B) {
			for range b.N {
				Plan(p)
			}
		})
	}
	p := swapProblem(MaxPlanned, 0, 3, 2, 500, 2000, false)
	b.Run("1000", func(b *testing.B) {
		for range b.N {
			Plan(p)
		}
	})
}
