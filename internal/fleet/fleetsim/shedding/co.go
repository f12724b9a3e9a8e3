package shedding

import (
	"slices"
	"time"

	"birchcart/internal/fleet/lanes"
	"birchcart/internal/fleet/pressure"
	"birchcart/policy"
)

const epoch = 1e6 // s: the module's clock at the start, far from 0, which means 'long ago'

// coordinator is one process, and what comes after it under its name.
type coordinator struct {
	w      *World
	at     int
	name   string
	up     bool
	life   int
	weight float64 // of traffic
	rank   int     // fifth of co-ordinators by traffic

	p          *policy.Policy
	events     []policy.Event
	turnAt     time.Duration // of the next turn, 0: none is laid
	lastTurn   time.Duration
	stalled    time.Duration // until then
	queries    map[uint64]*query
	parts      map[uint64]*part
	own        pressure.LocalLoad
	sheds      *shed
	wallOff    time.Duration
	lie        int // -1: none
	refusedAt  time.Duration
	countQuota [lanesHere]struct {
		tokens float64
		at     time.Duration
	}
}

// query as the co-ordinator has it.
type query struct {
	id      uint64
	ask     *ask
	class   int
	cost    float64
	verdict lanes.Decision
	came    time.Duration
	due     time.Duration
	over    bool
}

type part struct {
	id       uint64
	q        *query
	work     float64
	attempts []*attempt
	ran      int
}

// start begins a process that knows nothing.
func (c *coordinator) start() {
	w := c.w
	c.up, c.life = true, c.life+1
	cfg := w.config(c.at)
	cfg.Seed += uint64(c.life) * 7919
	c.p, c.queries, c.parts, c.events, c.turnAt = policy.New(cfg), map[uint64]*query{}, map[uint64]*part{}, nil, 0
	c.sheds = newShed(c)
	list := policy.Event{Kind: policy.ListChanged, Full: true, Tenant: -1}
	for _, r := range w.replicas {
		if r.up {
			list.List = append(list.List, w.entry(r))
		}
	}
	c.event(list)
}

// stop ends it at once with all that it has open.
func (c *coordinator) stop() {
	c.up = false
	for _, id := range sorted(c.queries) {
		q := c.queries[id]
		c.w.ended(c, q, gone, 0)
	}
	for _, id := range sorted(c.parts) {
		for _, a := range c.parts[id].attempts {
			a.ended = true
		}
	}
}

func sorted[V any](m map[uint64]V) []uint64 {
	out := make([]uint64, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// event lays a turn for what happened, spaced as the exchange does.
func (c *coordinator) event(e policy.Event) {
	c.events = append(c.events, e)
	if c.turnAt > 0 {
		return
	}
	life := c.life
	c.turnAt = max(c.w.q.Now, c.lastTurn+5*time.Millisecond, c.stalled, 1)
	c.w.q.At(c.turnAt, func() {
		if c.life == life && c.up {
			c.turn()
		}
	})
}

func (c *coordinator) turn() {
	now := c.w.q.Now
	if now < c.stalled {
		c.turnAt = c.stalled
		life := c.life
		c.w.q.At(c.stalled, func() {
			if c.life == life && c.up {
				c.turn()
			}
		})
		return
	}
	c.turnAt, c.lastTurn = 0, now
	slices.SortStableFunc(c.events, func(a, b policy.Event) int { return order(a.Kind) - order(b.Kind) })
	events := c.events
	c.events = nil
	for _, a := range c.p.Handle(epoch+now.Seconds(), events) {
		c.do(&a)
	}
}

func order(k policy.Kind) int {
	if k == policy.ListChanged {
		return 0
	}
	return 1
}

func (c *coordinator) do(a *policy.Action) {
	w := c.w
	switch a.Verb {
	case policy.Send:
		if pt := c.parts[a.Part]; pt != nil {
			w.send(c, pt, a)
		}
	case policy.Cancel:
		if pt := c.parts[a.Part]; pt != nil && a.Attempt < len(pt.attempts) {
			at := pt.attempts[a.Attempt]
			w.q.At(w.q.Now, func() { w.ends(at, policy.Cancelled) })
		}
	case policy.Timer:
		handle, life := a.Handle, c.life
		w.q.After(seconds(a.After), func() {
			if c.life == life && c.up {
				c.event(policy.Event{Kind: policy.TimerFired, Handle: handle, Tenant: -1})
			}
		})
	case policy.Answer, policy.Refuse, policy.Fail:
		q := c.queries[a.Query]
		if q == nil || q.over {
			return
		}
		end := inTime
		switch took := w.q.Now - q.came; {
		case a.Verb == policy.Refuse:
			end = refused
		case a.Verb == policy.Fail:
			end = failed
		case took > seconds(promise):
			end = late
		}
		c.finish(q, end, seconds(a.After))
	}
}

// finish ends a query for its client and for the lanes.
func (c *coordinator) finish(q *query, e end, after time.Duration) {
	q.over = true
	delete(c.queries, q.id)
	if c.sheds != nil {
		c.sheds.over(q, e)
	}
	c.w.ended(c, q, e, after)
}

// take lets a query in to the module.
func (c *coordinator) take(a *ask, cost float64, v lanes.Decision) {
	w := c.w
	w.ids++
	q := &query{id: w.ids, ask: a, class: a.class, cost: cost, verdict: v, came: w.q.Now, due: w.q.Now + 3*time.Second}
	c.queries[q.id] = q
	var limits *policy.Limits
	if v.PromiseDivisor > 1 {
		limits = &policy.Limits{PromiseDivisor: v.PromiseDivisor}
	}
	hints := 0.0
	for _, h := range a.hints {
		hints += h
	}
	c.event(policy.Event{Kind: policy.QueryArrived, Query: q.id, Group: q.id, Class: q.class, Tenant: -1, Deadline: epoch + q.due.Seconds(),
		Limits: limits, Count: len(a.hints), Retry: a.try > 0 && !w.plan.Unmarked, Work: hints})
	for i, h := range a.hints {
		w.ids++
		pt := &part{id: w.ids, q: q, work: h * workMean}
		c.parts[pt.id] = pt
		c.event(policy.Event{Kind: policy.PartArrived, Part: pt.id, Group: q.id, Class: q.class, Tenant: -1, Shard: a.shards[i],
			Weight: 1 / float64(len(a.hints)), Work: h})
	}
	life, first := c.life, w.ids-uint64(len(a.hints))+1
	w.q.At(q.due+40*time.Millisecond, func() {
		if c.life != life || !c.up {
			return
		}
		if !q.over {
			c.event(policy.Event{Kind: policy.ClientLeft, Query: q.id, Tenant: -1})
			c.finish(q, failed, 0)
		}
		for id := first; id < first+uint64(len(a.hints)); id++ {
			delete(c.parts, id)
		}
	})
}
