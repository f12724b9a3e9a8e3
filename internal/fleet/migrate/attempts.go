package migrate

import (
	"time"

	"birchcart/internal/fleet/session"
)

// tried is a session that came back from an attempt.
type failureRecord struct {
	failures      int
	retryAt       time.Duration // until then it is left alone
	excluded      [4]string     // targets that are not asked until excludedUntil
	excludedUntil [4]time.Duration
}

func (p *Planner) clearFailures(id session.ID) {
	if t := p.failures[id]; t != nil {
		*t = failureRecord{}
	}
}

// failed remembers that a session came back from an attempt, and from whom.
func (p *Planner) recordFailure(now time.Duration, v *View, f *move, r session.Record) {
	t := p.failures[f.id]
	if t == nil {
		t = &failureRecord{}
		p.failures[f.id] = t
		p.failureOrder = append(p.failureOrder, f.id)
	}
	t.failures++
	t.retryAt = now + InitialBackoff<<min(t.failures-1, StuckAttempts)
	if t.failures >= StuckAttempts {
		t.retryAt = now + MaxBackoff
	}
	at := 0
	for i := range t.excluded {
		if t.excluded[i] == f.to {
			at = i
			break
		}
		if t.excludedUntil[i] < t.excludedUntil[at] {
			at = i
		}
	}
	t.excluded[at], t.excludedUntil[at] = f.to, now+TargetRetryDelay
	if f.phaseUntil == 0 || r.Since < f.phaseUntil { // before the offer's time was over: it was declined
		p.targetBackoff[f.to] = now + TargetBackoff
	}
}

// rested says why a session is left alone now, or nothing.
func (p *Planner) backoffReason(now time.Duration, id session.ID) string {
	t := p.failures[id]
	if t == nil || now >= t.retryAt {
		return ""
	}
	if t.failures >= StuckAttempts {
		return "many attempts to move it failed, it rests"
	}
	return "an attempt to move it failed, it rests"
}

// barred says that a target is not asked for a session now.
func (p *Planner) isExcluded(now time.Duration, id session.ID, to string) bool {
	if t := p.failures[id]; t != nil {
		for i, n := range t.excluded {
			if n == to && now < t.excludedUntil[i] {
				return true
			}
		}
	}
	return false
}
