package policy

// Changes of the replica list.

import "slices"

// listChanged applies a new list or changes of it. A replica that has just started gets credit from before
// its start (see coldLimited).
func (p *Policy) listChanged(ev *Event) {
	for _, r := range p.list {
		if r.state != Removed {
			r.lastListedAt = p.now
		}
		if ev.Full {
			r.state = Removed
		}
	}
	for _, e := range ev.List {
		r := p.replicas[e.Replica]
		if r != nil && r.state == Up && (e.State == Removed || e.State == Up && e.Started > r.started) {
			p.lastCrashAt = p.now // it went down without a drain
		}
		if r == nil {
			r = &replica{id: e.Replica, slowness: 1, records: make([]healthRecord, len(p.models))}
			r.answers.retention = rateWindow * p.minPromise
			p.replicas[e.Replica] = r
			p.list = append(p.list, r)
		}
		if e.State != Removed {
			r.cell = e.Cell
			if e.Started > r.started {
				p.clear(r)
				r.slowness = 1
				span, n := coldHistory*p.cfg.OverloadWindow,
					float64(p.answers.count(p.now-coldHistory*p.cfg.OverloadWindow))
				backdate := p.cfg.OverloadWindow + span*float64(p.upCount)*n/((n+minSamples)*(n+minSamples))
				r.started, r.credit, r.creditAt = e.Started, p.phaseOffset(e.SharedID), e.Started-backdate
			}
		}
		r.state = e.State
	}
	// Forgets removed replicas, so that memory stays bounded where replicas are replaced all day. One that is
	// listed again soon keeps its records.
	p.list = slices.DeleteFunc(p.list, func(r *replica) bool {
		gone := r.state == Removed && len(r.inFlight) == 0 && p.now-r.lastListedAt > historySpan*p.minPromise
		if gone {
			delete(p.replicas, r.id)
		}
		return gone
	})
	p.rebuildIndex()
}
