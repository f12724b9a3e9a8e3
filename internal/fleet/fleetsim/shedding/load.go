package shedding

import (
	"time"

	"birchcart/internal/fleet/lanes"
)

// end of a query, as its client sees it.
type end uint8

const (
	inTime end = iota
	late
	refused // by the module
	failed
	gone // its co-ordinator went
	shedded
	ends
)

// ask is one try of a client's.
type ask struct {
	stream  *stream
	tenant  int
	class   int
	hints   []float64 // of work, 1 is mean
	shards  []int
	cost    float64
	try     int
	conform bool // within its account's guarantee, as the judge counts it
	at      time.Duration
}

// load is how much is asked now, by lane, as parts of capacity.
func (w *World) load() (by [lanesHere]float64) {
	p, t := &w.plan, w.q.Now
	x := p.Calm
	if t >= p.Storm && t < p.stormEnd() {
		x = p.Load
		if t < p.Storm+p.Ramp {
			x = p.Calm + (p.Load-p.Calm)*float64(t-p.Storm)/float64(p.Ramp)
		}
		if p.Shape == "steps" && int((t-p.Storm)/(3*time.Second))%2 == 1 {
			x *= 1.3
		}
	}
	by[premium] = p.Premium * premiums * guarantee
	by[business] = 0.35 * max(0, x-by[premium])
	by[standard] = 0.65 * max(0, x-by[premium])
	if t >= p.Storm && t < p.stormEnd() {
		switch p.Shape {
		case "all premium":
			by = [lanesHere]float64{x, 0, 0}
		case "flood":
			by[premium] += 0.5 * p.Load // all of it by one account, see next
		}
	}
	return by
}

// stormEnd is when the load falls back.
func (p *Plan) stormEnd() time.Duration { return p.For - p.Calmed }

// next lays the coming of the next query.
func (w *World) next() {
	by := w.load()
	all := by[0] + by[1] + by[2]
	rate := all * w.capacity() / partsMean
	w.q.After(seconds(w.come.ExpFloat64()/rate), func() {
		w.arrive(by, all)
		w.next()
	})
}

func (w *World) arrive(by [lanesHere]float64, all float64) {
	x, lane := w.come.Float64()*all, 0
	for lane < lanesHere-1 && x >= by[lane] {
		x -= by[lane]
		lane++
	}
	a := &ask{at: w.q.Now}
	storm := w.q.Now >= w.plan.Storm && w.q.Now < w.plan.stormEnd()
	if flood := 0.5 * w.plan.Load; lane == premium && w.plan.Shape == "flood" && storm && x < flood {
		a.tenant = 0
	} else {
		pick := w.come.Float64()
		for i := range w.streams {
			if w.streams[i].lane == lane {
				a.tenant = i
				if pick -= w.streams[i].share; pick < 0 {
					break
				}
			}
		}
	}
	a.stream = &w.streams[a.tenant]
	n := 1 + w.come.IntN(2*partsMean-1)
	if w.come.Float64() < updates {
		a.class = update
	}
	for range n {
		hint := 0.5 + w.come.Float64()
		a.hints, a.shards = append(a.hints, hint), append(a.shards, w.come.IntN(max(1, w.plan.Replicas/2)))
		a.cost += hint
	}
	a.conform = w.judge.within(a)
	c := w.pick(w.come)
	if w.plan.Shape == "hot" && storm && w.come.Float64() < 4*w.cos[0].weight/w.weights[len(w.weights)-1] {
		w.ask(w.cos[0], w.copied(a)) // four times as much again, there alone
	}
	w.ask(c, a)
}

func (w *World) copied(a *ask) *ask {
	b := *a
	b.conform = false
	return &b
}

// ask brings a query to a co-ordinator.
func (w *World) ask(c *coordinator, a *ask) {
	w.judge.asked(c, a)
	if !c.up {
		w.client(c, a, gone, 0)
		return
	}
	if c.stalled > w.q.Now {
		life := c.life
		if c.stalled-w.q.Now > 3*time.Second {
			w.q.After(3*time.Second, func() { w.client(c, a, failed, 0) })
		} else {
			w.q.At(c.stalled, func() {
				if c.up && c.life == life {
					w.admit(c, a)
				} else {
					w.client(c, a, gone, 0)
				}
			})
		}
		return
	}
	w.admit(c, a)
}

func (w *World) admit(c *coordinator, a *ask) {
	v := lanes.Decision{Admitted: true, Lane: a.stream.lane, PromiseDivisor: 1}
	cost := a.cost
	switch {
	case w.plan.Way == Quotas:
		v.Admitted = c.quota(a)
	case c.sheds != nil:
		cost = 0
		for _, h := range a.hints {
			cost += c.sheds.cost.Part(h)
		}
		v = c.sheds.admit(a, cost)
	}
	if !v.Admitted {
		w.judge.shed(c, a, &v)
		w.client(c, a, shedded, v.RetryAfter)
		return
	}
	w.judge.admitted(c, a, &v)
	c.take(a, cost, v)
}

// quotaShares are what each lane may have of capacity by fixed quotas.
var quotaShares = [...]float64{0.34, 0.24, 0.34}

// quota is the baseline of fixed shares: each co-ordinator has one part in so many of each lane's.
func (c *coordinator) quota(a *ask) bool {
	b := &c.countQuota[a.stream.lane]
	rate := quotaShares[a.stream.lane] * c.w.capacity() / float64(c.w.plan.Coordinators)
	b.tokens = min(max(1, lanes.BurstSeconds*rate), b.tokens+rate*(c.w.q.Now-b.at).Seconds())
	b.at = c.w.q.Now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= a.cost
	return true
}

// ended is the end of an admitted query.
func (w *World) ended(c *coordinator, q *query, e end, after time.Duration) {
	w.judge.ended(c, q, e)
	w.client(c, q.ask, e, after)
}

// client hears of an end, and may ask again.
func (w *World) client(c *coordinator, a *ask, e end, after time.Duration) {
	w.judge.heard(c, a, e)
	if e == inTime || e == late || a.try >= w.plan.Retries || a.class == update && e != shedded && e != refused {
		return
	}
	wait := max(after, 300*time.Millisecond) + seconds(w.again.ExpFloat64())
	if w.plan.Unmarked {
		wait = seconds(0.2 * w.again.ExpFloat64())
	} else if w.again.Float64() > 0.5 { // half of them don't
		return
	}
	wait = min(wait, time.Minute)
	b := *a
	b.try, b.conform = a.try+1, false
	w.q.After(wait, func() {
		b.at = w.q.Now
		w.ask(w.pick(w.again), &b)
	})
}
