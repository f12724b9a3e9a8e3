package shedding

import (
	"math"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/laneconfig"
)

// faults lays all steps of the plan.
func (w *World) faults() {
	which := clockwork.Rand(w.plan.Seed, "which")
	part := func(n, hundredths int) []int {
		return which.Perm(n)[:int(math.Round(float64(n*hundredths)/100))]
	}
	for _, s := range w.plan.Steps {
		n := len(w.cos)
		over := func(do func()) { w.q.At(s.At+s.For, do) }
		switch s.Kind {
		case Cut:
			w.q.At(s.At, func() { w.links.cut = n * s.A / 100 })
			over(func() { w.links.cut = 0 })
		case OneWay:
			w.q.At(s.At, func() { w.links.oneWay = n * s.A / 100 })
			over(func() { w.links.oneWay = 0 })
		case LateBy:
			w.q.At(s.At, func() { w.links.late = true })
			over(func() { w.links.late = false })
		case Lose:
			w.q.At(s.At, func() { w.links.lose = float64(s.A) / 100 })
			over(func() { w.links.lose = 0 })
		case Crash:
			who := part(n, s.A)
			w.q.At(s.At, func() {
				for _, i := range who {
					w.cos[i].stop()
				}
			})
			w.q.At(s.At+max(s.For, 200*time.Millisecond), func() {
				for _, i := range who {
					w.cos[i].start()
				}
			})
		case Stall:
			w.q.At(s.At, func() { w.cos[s.A%n].stalled = s.At + s.For })
		case Jump:
			w.q.At(s.At, func() { w.cos[s.A%n].wallOff = time.Duration(s.B) * time.Second })
		case Lie:
			who := part(n, s.A)
			w.q.At(s.At, func() {
				for _, i := range who {
					w.cos[i].lie = s.B
				}
			})
		case Replica:
			who := part(len(w.replicas), s.A)
			w.q.At(s.At, func() {
				for _, i := range who {
					w.lose(w.replicas[i])
				}
			})
			over(func() {
				for _, i := range who {
					w.back(w.replicas[i])
				}
			})
		case Move:
			w.move(s.At, part(n, 50))
		}
	}
}

// move has a half of the co-ordinators apply another section at once, the others 5 s later; each goes by both for as long as
// two are in force together.
func (w *World) move(at time.Duration, first []int) {
	w.movedAt = at
	later := map[int]bool{}
	for i := range w.cos {
		later[i] = true
	}
	for _, i := range first {
		delete(later, i)
	}
	for i, c := range w.cos {
		from := at
		if later[i] {
			from += 5 * time.Second
		}
		for k, set := range []*laneconfig.Set{w.sets[2], w.sets[1]} {
			w.q.At([]time.Duration{from, at + laneconfig.OverlapDuration}[k], func() {
				if c.up && c.sheds != nil && w.plan.Way == Lanes {
					c.sheds.use(set)
				}
			})
		}
	}
}
