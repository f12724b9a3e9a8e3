package shedding

import (
	"time"

	"birchcart/internal/fleet/lanes"
)

const ranks = 5 // co-ordinators by traffic, in fifths

// sums of cost, of first tries but where said.
type sums struct {
	Asked, InTime, Late, Refused, Failed, Shed, Gone float64
	All                                              float64 // in time, of any try
}

func (s *sums) add(e end, cost float64) {
	switch e {
	case inTime:
		s.InTime += cost
	case late:
		s.Late += cost
	case refused:
		s.Refused += cost
	case failed:
		s.Failed += cost
	case gone:
		s.Gone += cost
	case shedded:
		s.Shed += cost
	}
}

// Moment is a quarter of a second of the history.
type Moment struct {
	At               float64 // s
	Level, Low, High float64 // of co-ordinators that are up
	Asked            [lanesHere]float64
	InTime           [lanesHere]float64 // parts of capacity, as Asked
	Shed             float64
	Bears            float64 // the mean of what co-ordinators take to be borne
	Pressure         float64
	Known            float64
	Refused          float64
}

// bucket of a guarantee, as one who sees the whole fleet counts it.
type bucket struct {
	tokens, rate float64
	at           time.Duration
}

// judge counts what clients see and goes by nothing that the parts say of themselves.
type judge struct {
	w        *World
	lanes    [3][lanesHere]sums // before the storm, in it, after it
	sure     [3]sums            // of accounts within their guarantees, of the first lane
	settled  sums               // the same, from 5 s after the storm's begin
	spread   [][ranks]sums      // in the storm, by account
	laneRank [lanesHere][ranks]sums
	ensured  []bucket
	now      Moment
	History  []Moment
	windows  windows
	over     int64 // the most that leases were over the whole
}

func (j *judge) begin(w *World) {
	j.w = w
	j.spread = make([][ranks]sums, len(w.streams))
	j.ensured = make([]bucket, len(w.streams))
	for i := range j.ensured {
		// What the fleet bears is less than what its replicas could do if none of them ever waited.
		j.ensured[i].rate = w.streams[i].ensured * 0.9 * w.capacity()
		j.ensured[i].tokens = lanes.BurstSeconds * j.ensured[i].rate
	}
	j.windows.begin(w)
}

func (j *judge) storm() int {
	return j.when(j.w.q.Now)
}

// within counts a first try against its account's guarantee.
func (j *judge) within(a *ask) bool {
	b := &j.ensured[a.tenant]
	if b.rate == 0 {
		return false
	}
	b.tokens = min(lanes.BurstSeconds*b.rate, b.tokens+b.rate*(j.w.q.Now-b.at).Seconds())
	b.at = j.w.q.Now
	if b.tokens < a.cost {
		return false
	}
	b.tokens -= a.cost
	return true
}

func (j *judge) asked(c *coordinator, a *ask) {
	j.now.Asked[a.stream.lane] += a.cost
	j.windows.asked(a)
	if a.try > 0 {
		return
	}
	k := j.storm()
	j.lanes[k][a.stream.lane].Asked += a.cost
	if a.conform && a.stream.lane == premium {
		j.sure[k].Asked += a.cost
		if k == 1 && j.w.q.Now >= j.w.plan.Storm+5*time.Second {
			j.settled.Asked += a.cost
		}
	}
	if k == 1 {
		j.spread[a.tenant][c.rank].Asked += a.cost
		j.laneRank[a.stream.lane][c.rank].Asked += a.cost
	}
}

// at is when a query came: it counts in the time of its coming.
func (j *judge) when(at time.Duration) int {
	switch {
	case at < j.w.plan.Storm:
		return 0
	case at < j.w.plan.stormEnd():
		return 1
	}
	return 2
}

// heard is an end as its client sees it.
func (j *judge) heard(c *coordinator, a *ask, e end) {
	k, lane := j.when(a.at), a.stream.lane
	if e == inTime {
		j.lanes[k][lane].All += a.cost
		j.now.InTime[lane] += a.cost
	}
	if e == shedded {
		j.now.Shed += a.cost
	}
	if e == refused {
		j.now.Refused += a.cost
	}
	if a.try > 0 {
		return
	}
	j.lanes[k][lane].add(e, a.cost)
	if a.conform && lane == premium {
		j.sure[k].add(e, a.cost)
		if k == 1 && a.at >= j.w.plan.Storm+5*time.Second {
			j.settled.add(e, a.cost)
		}
	}
	if k == 1 {
		j.spread[a.tenant][c.rank].add(e, a.cost)
		j.laneRank[lane][c.rank].add(e, a.cost)
	}
}

func (j *judge) shed(c *coordinator, a *ask, v *lanes.Decision)     { j.windows.shed(c, a, v) }
func (j *judge) admitted(c *coordinator, a *ask, v *lanes.Decision) { j.windows.admitted(c, a, v) }
func (j *judge) ended(c *coordinator, q *query, e end)              { j.windows.ended(c, q, e) }

// look ends a quarter of a second.
func (j *judge) look() {
	m := &j.now
	unit := j.w.capacity() * every.Seconds()
	for i := range m.Asked {
		m.Asked[i] /= unit
		m.InTime[i] /= unit
	}
	m.Shed /= unit
	m.Refused /= unit
	m.At, m.Low = j.w.q.Now.Seconds(), 1
	n := 0.0
	for _, c := range j.w.cos {
		if !c.up || c.sheds == nil {
			continue
		}
		level := c.sheds.ctl.Level()
		n++
		m.Level += level
		m.Low, m.High = min(m.Low, level), max(m.High, level)
		m.Bears += c.sheds.ctl.Capacity() / j.w.capacity()
		m.Pressure += c.sheds.fleet.Pressure
		if c.sheds.fleet.Known {
			m.Known++
		}
	}
	if n > 0 {
		m.Level /= n
		m.Bears /= n
		m.Pressure /= n
		m.Known /= n
	}
	j.History = append(j.History, *m)
	*m = Moment{}
	j.windows.look()
}

// leases holds the sum of what all may use of each account against the whole.
func (j *judge) leases(use []int64) {
	const whole = 1_000_000
	for i, sum := range use {
		j.over = max(j.over, sum-whole)
		if sum > whole {
			j.w.broken("L5: all together may use %d of account %d, of %d", sum, i, whole)
		}
	}
}
