package shedding

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/laneconfig"
)

// World is one history.
type World struct {
	plan     Plan
	q        clockwork.Queue
	rng      *rand.Rand // steps and links
	work     *rand.Rand // of replicas
	come     *rand.Rand // of what clients ask: the same for all ways
	again    *rand.Rand
	cos      []*coordinator
	names    []string
	byName   map[string]*coordinator
	replicas []*replica
	streams  []stream
	weights  []float64 // of co-ordinators, summed up
	sets     [3]*laneconfig.Set
	movedAt  time.Duration
	ids      uint64
	bytes    uint64 // of words
	letters  uint64 // of shares
	links    links
	judge    judge
	Broken   []string
}

// brokenMost findings are kept.
const brokenMost = 20

func (w *World) broken(format string, a ...any) {
	if len(w.Broken) < brokenMost {
		w.Broken = append(w.Broken, fmt.Sprintf("%.2f s: ", w.q.Now.Seconds())+fmt.Sprintf(format, a...))
	}
}

// Play plays a plan to its end.
func Play(plan Plan) (*World, error) {
	w := &World{plan: plan, byName: map[string]*coordinator{}, streams: streams()}
	w.rng, w.work = clockwork.Rand(plan.Seed, "steps"), clockwork.Rand(plan.Seed, "work")
	w.come, w.again = clockwork.Rand(plan.Seed, "come"), clockwork.Rand(plan.Seed, "again")
	var err error
	if w.sets[0], err = compile(section(), 1); err != nil {
		return nil, err
	}
	if w.sets[1], err = compile(moved(), 2); err != nil {
		return nil, err
	}
	w.sets[2] = laneconfig.Stricter(w.sets[0], w.sets[1])
	for i := range plan.Replicas {
		w.replicas = append(w.replicas, &replica{id: i, up: true})
	}
	sum := 0.0
	rank := clockwork.Rand(plan.Seed, "rank").Perm(plan.Coordinators)
	for i := range plan.Coordinators {
		c := &coordinator{w: w, at: i, name: fmt.Sprintf("c%03d", i), lie: -1}
		c.weight = 1 + (uneven-1)*float64(rank[i])/float64(max(1, plan.Coordinators-1))
		c.rank = rank[i] * ranks / plan.Coordinators
		sum += c.weight
		w.cos, w.names, w.byName[c.name] = append(w.cos, c), append(w.names, c.name), c
		w.weights = append(w.weights, sum)
	}
	w.judge.begin(w)
	for _, c := range w.cos {
		c.start()
	}
	w.faults()
	w.next()
	for at := time.Second; at <= plan.For; at += time.Second {
		w.q.At(at, w.second)
	}
	for at := every; at <= plan.For; at += every {
		w.q.At(at, w.judge.look)
	}
	w.q.Play(plan.For, func() bool { return false })
	return w, nil
}

// second asks all parts for their own checks.
func (w *World) second() {
	if w.plan.Way != Lanes {
		return
	}
	use := make([]int64, len(w.sets[0].Accounts))
	for _, c := range w.cos {
		if !c.up || c.sheds == nil || c.stalled >= w.q.Now { // who stands still uses nothing
			continue
		}
		if err := c.sheds.check(); err != nil {
			w.broken("%v", err)
		}
		for i := range use {
			use[i] += c.sheds.lent.Usable(uint32(i))
		}
	}
	w.judge.leases(use)
}

// links between co-ordinators.
type links struct {
	cut    int // the first so many are cut from the others
	oneWay int // or only not heard by them
	lose   float64
	late   bool
}

// link carries a word, if it is not lost.
func (w *World) link(from, to *coordinator, do func(s *shed, late time.Duration)) {
	l, q := &w.links, w.plan.Links
	lost := w.rng.Float64()
	if (from.at < l.cut) != (to.at < l.cut) || from.at < l.oneWay && to.at >= l.oneWay || lost < max(q.Lost, l.lose) {
		return
	}
	times := 1
	if l.late && w.rng.Float64() < 0.3 {
		times = 2
	}
	for range times {
		took := q.Latency + time.Duration(w.rng.ExpFloat64()*float64(q.Latency))
		if l.late {
			took += time.Duration(w.rng.Int64N(int64(5 * time.Second)))
		}
		w.q.After(took, func() {
			if to.up && to.sheds != nil {
				late := time.Duration(0)
				if l.late { // its age counts from the sending: the sender's stamp says so
					late = took
				}
				do(to.sheds, late)
			}
		})
	}
}

// pick draws a co-ordinator by its traffic that a client comes to.
func (w *World) pick(rng *rand.Rand) *coordinator {
	i := 0
	for range 20 {
		x := rng.Float64() * w.weights[len(w.weights)-1]
		i, _ = slices.BinarySearch(w.weights, x)
		i = min(i, len(w.cos)-1)
		if w.cos[i].up {
			break
		}
	}
	return w.cos[i]
}
