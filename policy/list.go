package policy

// The list.

import "slices"

func (p *Policy) listChanged(ev *Event) {
	for _, r := range p.list {
		if r.state != Removed {
			r.listedAt = p.now
		}
		if ev.Full {
			r.state = Removed
		}
	}
	for _, e := range ev.List {
		r := p.replicas[e.Replica]
		if r != nil && r.state == Up && (e.State == Removed || e.State == Up && e.Started > r.started) {
			p.fellAt = p.now // without a drain
		}
		if r == nil {
			r = &replica{id: e.Replica, pace: 1, classes: make([]record, len(p.models))}
			r.done.keep = rateSpan * p.promise
			p.replicas[e.Replica] = r
			p.list = append(p.list, r)
		}
		if e.State != Removed {
			r.cell = e.Cell
			if e.Started > r.started {
				p.clear(r)
				r.pace = 1
				span, n := coldMemory*p.cfg.TipAfter, float64(p.done.count(p.now-coldMemory*p.cfg.TipAfter))
				back := p.cfg.TipAfter + span*float64(p.up)*n/((n+leastSeen)*(n+leastSeen))
				r.started, r.credit, r.creditAt = e.Started, p.phase(e.Common), e.Started-back
			}
		}
		r.state = e.State
	}
	// Guards against growth where replicas are replaced all day. One that comes back soon keeps its records.
	p.list = slices.DeleteFunc(p.list, func(r *replica) bool {
		gone := r.state == Removed && len(r.outs) == 0 && p.now-r.listedAt > memory*p.promise
		if gone {
			delete(p.replicas, r.id)
		}
		return gone
	})
	p.index()
}
