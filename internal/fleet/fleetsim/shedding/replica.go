package shedding

import (
	"time"

	"birchcart/policy"
)

// replica takes parts in the order of their coming, as many at once as it has workers.
type replica struct {
	id      int
	up      bool
	started time.Duration
	cold    bool // it has been down
	busy    int
	life    int
	queue   []*attempt
	first   int // of queue
	ran     float64
}

type attempt struct {
	co     *coordinator
	life   int // of the co-ordinator
	part   *part
	no     int
	r      *replica
	sentAt time.Duration
	ended  bool // for the co-ordinator
}

const wire = time.Millisecond

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// speed is the part of its full one that a replica works at.
func (w *World) speed(r *replica) float64 {
	if !r.cold {
		return 1
	}
	return min(1, coldFrom+(1-coldFrom)*(w.q.Now-r.started).Seconds()/warmUp)
}

func (w *World) send(c *coordinator, pt *part, a *policy.Action) {
	r := w.replicas[a.Replica-1]
	at := &attempt{co: c, life: c.life, part: pt, no: len(pt.attempts), r: r, sentAt: w.q.Now}
	pt.attempts = append(pt.attempts, at)
	due := pt.q.due
	if a.AttemptTimeout > 0 {
		due = min(due, w.q.Now+seconds(a.AttemptTimeout))
	}
	w.q.At(due, func() { w.ends(at, policy.TimedOut) })
	w.q.After(wire, func() {
		switch {
		case at.ended:
		case !r.up:
			w.q.After(wire, func() { w.ends(at, policy.Unreachable) })
		case len(r.queue)-r.first >= queueMost:
			w.q.After(wire, func() { w.ends(at, policy.Rejected) })
		default:
			r.queue = append(r.queue, at)
			w.serve(r)
		}
	})
}

// serve begins what waits, as far as there are workers for it.
func (w *World) serve(r *replica) {
	for r.up && r.busy < workers && r.first < len(r.queue) {
		at := r.queue[r.first]
		r.queue[r.first] = nil
		if r.first++; r.first > 256 && 2*r.first > len(r.queue) {
			r.queue, r.first = append(r.queue[:0], r.queue[r.first:]...), 0
		}
		if at.ended { // taken back, or its sender is gone
			continue
		}
		if q := at.part.q; q.class == update {
			if at.part.ran++; at.part.ran > 1 {
				w.broken("L3: a part of an update ran %d times", at.part.ran)
			}
		}
		r.busy++
		life := r.life
		took := seconds(at.part.work * (0.3 + 0.7*w.work.ExpFloat64()) / w.speed(r))
		w.q.After(took, func() {
			if r.life != life {
				return
			}
			r.busy--
			r.ran += at.part.work
			w.q.After(wire, func() { w.ends(at, policy.OK) })
			w.serve(r)
		})
	}
}

// ends ends an attempt; of two ends the first counts.
func (w *World) ends(a *attempt, o policy.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	if c := a.co; c.life == a.life && c.up {
		c.event(policy.Event{Kind: policy.AttemptEnded, Part: a.part.id, Attempt: a.no, Replica: uint64(a.r.id) + 1, Outcome: o,
			Latency: (w.q.Now - a.sentAt).Seconds(), Tenant: -1})
	}
}

// lose has a replica go at once with all it has, and told a moment later.
func (w *World) lose(r *replica) {
	r.up, r.busy = false, 0
	r.life++
	for _, at := range r.queue[r.first:] {
		w.q.After(wire, func() { w.ends(at, policy.Unreachable) })
	}
	r.queue, r.first = nil, 0
	w.q.After(300*time.Millisecond, func() { w.list(r) })
}

func (w *World) back(r *replica) {
	r.up, r.cold, r.started = true, true, w.q.Now
	w.q.After(100*time.Millisecond, func() { w.list(r) })
}

// list tells all co-ordinators of one replica.
func (w *World) list(r *replica) {
	for _, c := range w.cos {
		if c.up {
			c.event(policy.Event{Kind: policy.ListChanged, List: []policy.Entry{w.entry(r)}, Tenant: -1})
		}
	}
}

func (w *World) entry(r *replica) policy.Entry {
	e := policy.Entry{Replica: uint64(r.id) + 1, SharedID: uint64(r.id) + 1, Cell: r.id / 2, Size: 1}
	if !r.up {
		e.State = policy.Removed
	}
	if r.cold {
		e.Started = epoch + r.started.Seconds()
	}
	return e
}
