package pinned

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/pinned/history"
	"birchcart/internal/fleet/sessionowner"
)

// Times of queries and their parts.
const (
	// QueryMost is the longest time that a query has.
	QueryMost = 4 * time.Second
	// PartLate is the most that a part may be on its way for; then its connection is broken and it never arrives.
	PartLate = 200 * time.Millisecond
	// PartOver is how long after its query's time a part is surely over at its replica, which ends it by the time that the
	// part carries: PartLate, and clocks.
	PartOver = 400 * time.Millisecond
	// GraceLeast is the least grace after a lease: what began right before its end is over at the replicas.
	GraceLeast = QueryMost + PartOver
)

type replica struct {
	w    *World
	n    int
	name string
	up   bool
	inc  int
	runs map[partKey]func(on bool) // ends it
	keys []partKey                 // in the order of beginning
}

type partKey struct {
	request uint64
	inc     int
}

func replicaName(n int) string { return fmt.Sprintf("r%d", n) }

// part of a query that a co-ordinator has out.
type part struct {
	ended   bool
	outcome sessionowner.Outcome
}

// sendPart lets one part of a query go to a replica, and sees to its end at the co-ordinator in any case.
func (c *co) sendPart(o *out, p *part, r *replica) {
	w := c.w
	inc, left := c.inc, o.rq.due-w.Now
	over := func(outcome sessionowner.Outcome) { c.partEnded(inc, o, p, outcome) }
	w.After(left+PartOver, func() { over(sessionowner.MayHaveRun) })
	if w.partCut(c, r) {
		return
	}
	way := w.link()
	if w.rng.Float64() < w.s.Rough {
		way += clockwork.Between(w.rng, 0, PartLate-way)
	}
	w.After(way, func() {
		back := func(outcome sessionowner.Outcome) {
			if !w.partCut(c, r) {
				w.After(w.link(), func() { over(outcome) })
			}
		}
		switch {
		case !r.up || w.rng.Float64() < w.s.Rough/4:
			back(sessionowner.NotRun)
		default:
			r.begin(o, left, back)
		}
	})
}

func (r *replica) begin(o *out, left time.Duration, back func(sessionowner.Outcome)) {
	w, rq := r.w, o.rq
	key := partKey{rq.id, r.inc}
	w.tell(history.Event{Kind: history.Runs, Request: rq.id, Replica: int32(r.n)})
	needs := clockwork.Between(w.rng, w.s.Service/2, w.s.Service*3/2)
	if w.rng.Float64() < w.s.Rough {
		needs *= 20
	}
	end := func(effect bool) {
		if r.runs[key] == nil {
			return
		}
		delete(r.runs, key)
		w.tell(history.Event{Kind: history.Ran, Request: rq.id, Replica: int32(r.n), On: effect})
	}
	r.runs[key] = end
	r.keys = append(r.keys, key)
	broken := needs <= left && w.rng.Float64() < w.s.Rough/4
	w.After(min(needs, left), func() {
		if r.runs[key] == nil {
			return
		}
		end(needs <= left)
		if needs <= left && !broken {
			back(sessionowner.Done)
		} else {
			back(sessionowner.MayHaveRun)
		}
	})
	o.cancels = append(o.cancels, func() { // its connection was closed by the co-ordinator
		if r.runs[key] != nil {
			end(false)
			back(sessionowner.MayHaveRun)
		}
	})
}

// die ends all that runs here; its co-ordinators find their connections broken.
func (r *replica) die(lasts time.Duration) {
	if !r.up {
		return
	}
	r.up = false
	for _, key := range r.keys {
		if end := r.runs[key]; end != nil {
			end(false)
		}
	}
	r.keys = nil
	r.inc++
	r.w.After(lasts, func() { r.up = true })
}

// partEnded takes the end of one part; with the last of them the query is over.
func (c *co) partEnded(inc int, o *out, p *part, outcome sessionowner.Outcome) {
	if p.ended || c.inc != inc {
		return
	}
	c.deliver(inc, func() {
		if p.ended {
			return
		}
		p.ended, p.outcome = true, outcome
		all := sessionowner.Outcome(255)
		for _, one := range o.parts {
			switch {
			case !one.ended:
				return
			case all == 255 || all == one.outcome:
				all = one.outcome
			default:
				all = sessionowner.MayHaveRun
			}
		}
		c.over(o, all)
	})
}
