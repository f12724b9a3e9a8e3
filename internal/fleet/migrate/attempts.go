package migrate

import (
	"time"

	"birchcart/internal/fleet/session"
)

// tried is a session that came back from an attempt.
type tried struct {
	n     int
	rest  time.Duration // until then it is left alone
	not   [4]string     // targets that are not asked until notTo
	notTo [4]time.Duration
}

func (p *Planner) forget(id session.ID) {
	if t := p.tried[id]; t != nil {
		*t = tried{}
	}
}

// failed remembers that a session came back from an attempt, and from whom.
func (p *Planner) failed(now time.Duration, v *View, f *flight, r session.Record) {
	t := p.tried[f.id]
	if t == nil {
		t = &tried{}
		p.tried[f.id] = t
		p.order = append(p.order, f.id)
	}
	t.n++
	t.rest = now + RestFirst<<min(t.n-1, AttemptsMost)
	if t.n >= AttemptsMost {
		t.rest = now + RestLast
	}
	at := 0
	for i := range t.not {
		if t.not[i] == f.to {
			at = i
			break
		}
		if t.notTo[i] < t.notTo[at] {
			at = i
		}
	}
	t.not[at], t.notTo[at] = f.to, now+AskAgain
	if f.until == 0 || r.Since < f.until { // before the offer's time was over: it was declined
		p.rests[f.to] = now + RestTarget
	}
}

// rested says why a session is left alone now, or nothing.
func (p *Planner) rested(now time.Duration, id session.ID) string {
	t := p.tried[id]
	if t == nil || now >= t.rest {
		return ""
	}
	if t.n >= AttemptsMost {
		return "many attempts to move it failed, it rests"
	}
	return "an attempt to move it failed, it rests"
}

// barred says that a target is not asked for a session now.
func (p *Planner) barred(now time.Duration, id session.ID, to string) bool {
	if t := p.tried[id]; t != nil {
		for i, n := range t.not {
			if n == to && now < t.notTo[i] {
				return true
			}
		}
	}
	return false
}
