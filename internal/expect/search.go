package expect

import (
	"math"
	"math/rand/v2"
	"slices"

	"birchcart/policy"
)

// The property library of the tests needs the flags of a test binary, so the search draws and shrinks by itself.

const (
	stepsMost = 8   // drawn beyond what is written: what is broken by more is shrunk to few
	shrinkMax = 400 // runs of one shrinking; each takes a millisecond or so
)

// Found is a situation that breaks a rule or a claim, made as small as could be.
type Found struct {
	Expectation *Expectation // with the steps that break it
	Seed        uint64
	Finding     Finding
}

// Try draws one situation: the expectation's own with up to eight more steps. It returns nil if nothing breaks. The
// six rules hold whatever happens; claims do so only where the expectation says it.
func Try(d *Deployment, e *Expectation, rng *rand.Rand) *Found {
	if len(e.Load) == 0 {
		return nil
	}
	c := *e
	c.Timeline = slices.Clone(e.Timeline)
	for range 1 + rng.IntN(stepsMost) {
		c.Timeline = append(c.Timeline, randomStep(d, &c, rng))
	}
	seed := rng.Uint64N(1 << 32)
	if f := breaks(d, &c, seed); f != nil {
		return shrink(d, &c, seed, f, len(e.Timeline))
	}
	return nil
}

// breaks returns the first thing that is broken and may not be.
func breaks(d *Deployment, e *Expectation, seed uint64) *Finding {
	v := Judge(d, e, seed)
	for i := range v.Findings {
		if f := &v.Findings[i]; f.State == Broken && (f.Claim < 0 || e.WhateverComes) {
			return f
		}
	}
	return nil
}

func randomStep(d *Deployment, e *Expectation, rng *rand.Rand) Step {
	replicas := d.Ring.Replicas()
	s := Step{At: math.Floor(rng.Float64() * e.For)}
	switch rng.IntN(8) {
	case 0:
		s.Share = 0.1 + 0.5*rng.Float64()
	case 1:
		s.DataCentre = replicas[rng.IntN(len(replicas))].DataCentre
	case 2:
		cell := rng.IntN(d.Config.Cells)
		s.Cell = &cell
	case 3:
		s.Peers, s.For = "restart", 200+math.Floor(rng.Float64()*1000)
		return s
	default:
		s.Reader = replicas[rng.IntN(len(replicas))].Name
	}
	if rng.IntN(2) == 0 {
		s.Is = []string{"ready", "draining", "gone", "started"}[rng.IntN(4)]
		switch rng.IntN(5) {
		case 0:
			s.Late = math.Floor(rng.Float64() * 1500)
		case 1:
			s.Again = []float64{math.Floor(rng.Float64() * 1500)}
		case 2:
			s.ToldOnly = true
		case 3:
			s.Untold = true
		}
		return s
	}
	if rng.IntN(4) == 0 {
		s.Slow = 2 + 30*rng.Float64()
	} else {
		s.Answers = []string{"silent", "fault", "overload", "unreachable", "broken"}[rng.IntN(5)]
	}
	if rng.IntN(2) == 0 {
		s.For = math.Floor(rng.Float64() * 1000)
	}
	if rng.IntN(4) == 0 {
		s.Class = d.Names.Classes[rng.IntN(len(d.Names.Classes))]
	}
	return s
}

// shrink makes a broken situation smaller while the same thing stays broken: fewer steps, fewer streams, plainer
// steps, rounder times. The first own steps are the expectation's and stay.
func shrink(d *Deployment, e *Expectation, seed uint64, f *Finding, own int) *Found {
	best := &Found{e, seed, *f}
	runs := 0
	accept := func(c Expectation) bool {
		if runs++; runs > shrinkMax {
			return false
		}
		g := breaks(d, &c, seed)
		if g == nil || g.Kind != f.Kind || g.Claim != f.Claim {
			return false
		}
		best = &Found{&c, seed, *g}
		return true
	}
	for again := true; again && runs < shrinkMax; {
		again = false
		for i := len(best.Expectation.Timeline) - 1; i >= own; i-- {
			c := *best.Expectation
			c.Timeline = slices.Delete(slices.Clone(c.Timeline), i, i+1)
			again = accept(c) || again
		}
		for i := len(best.Expectation.Load) - 1; i >= 0 && len(best.Expectation.Load) > 1; i-- {
			c := *best.Expectation
			c.Load = slices.Delete(slices.Clone(c.Load), i, i+1)
			again = accept(c) || again
		}
		for i := own; i < len(best.Expectation.Timeline); i++ {
			for _, plain := range plainer(best.Expectation.Timeline[i]) {
				c := *best.Expectation
				c.Timeline = slices.Clone(c.Timeline)
				c.Timeline[i] = plain
				again = accept(c) || again
			}
		}
		if last := math.Ceil((best.Finding.At+1)/100) * 100; last > 0 && last < best.Expectation.For {
			c := *best.Expectation
			c.For = last
			if !slices.ContainsFunc(c.Timeline, func(s Step) bool { return s.At >= last }) {
				again = accept(c) || again
			}
		}
	}
	return best
}

// plainer lists a step's next simpler forms.
func plainer(s Step) []Step {
	var out []Step
	try := func(change func(*Step)) {
		c := s
		change(&c)
		if !sameStep(&c, &s) {
			out = append(out, c)
		}
	}
	try(func(c *Step) { c.Late = 0 })
	try(func(c *Step) { c.Again = nil })
	try(func(c *Step) { c.ToldOnly = false })
	try(func(c *Step) { c.Untold = false })
	try(func(c *Step) { c.Class = "" })
	try(func(c *Step) { c.For = 0 })
	try(func(c *Step) { c.At = 100 * math.Floor(c.At/100) })
	return out
}

func sameStep(a, b *Step) bool {
	return a.Late == b.Late && len(a.Again) == len(b.Again) && a.ToldOnly == b.ToldOnly && a.Untold == b.Untold &&
		a.Class == b.Class && a.For == b.For && a.At == b.At
}

// Snapshot is what the module goes by at a moment of a situation.
type Snapshot struct {
	View    policy.View
	Steps   []string // what has happened by then
	Replica []string // names, by the View's ids less one
}

// At plays a situation at a seed up to a moment, in ms, and shows what the module then goes by for a class and a
// shard, for a query of so many parts.
func At(d *Deployment, e *Expectation, seed uint64, ms float64, class, shard, parts int) Snapshot {
	w := newWorld(d, e, seed)
	w.until(epoch + ms/1000)
	s := Snapshot{View: w.p.View(class, shard, parts)}
	for _, r := range d.Ring.Replicas() {
		s.Replica = append(s.Replica, r.Name)
	}
	for _, st := range w.rec.happened {
		s.Steps = append(s.Steps, st.String())
	}
	return s
}
