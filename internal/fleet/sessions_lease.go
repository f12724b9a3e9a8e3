package fleet

import (
	"time"
)

// lease is the own one as the keeper is told of it, sure until that own time; 0: none. A process acts only once what the one
// before it had out is over at the replicas, by when that one would be released, were there none: it knows neither the order of
// those queries nor their slots. What is agreed when the first whole answer comes tells whether there may be any, as each ran
// with slots that were held; the first lease may come later, with slots of its own.
func (p *sessions) lease(now, until time.Duration) time.Duration {
	if (until > 0 || p.n.caught) && !p.looked {
		p.looked = true
		p.n.state.WithLock(func() {
			b := p.n.state.Sessions
			held := b.Owned(p.n.name) > 0
			for _, r := range b.Pool().Replicas() {
				held = held || b.Pool().Held(p.n.name, r) > 0
			}
			if l, _ := b.Limits(); held {
				p.after = l.SilentFor()
			}
		})
		if p.after > now {
			p.n.log.WithField("after", p.after-now).Info("pinned queries wait here for what a process before this one may have out")
		}
	}
	if now < p.after {
		return 0
	}
	return until
}

// sureUntil is the own time until which this one's lease is sure; 0: it has none.
func (n *Node) sureUntil(now time.Duration) time.Duration {
	if n.view.CutOff(now) || n.halted {
		return 0
	}
	return n.view.LeaseUntil()
}
