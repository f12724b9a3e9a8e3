package migrate

import (
	"time"

	"birchcart/internal/fleet/session"
)

// failureRecord is the history of failed attempts to move a session.
type failureRecord struct {
	failures      int
	retryAt       time.Duration // the session is not offered before
	excluded      [4]string     // targets that the session is not offered to until excludedUntil
	excludedUntil [4]time.Duration
}

// clearFailures resets the record of a session. It is kept in failureOrder until it is dropped there.
func (p *Planner) clearFailures(id session.ID) {
	if t := p.failures[id]; t != nil {
		*t = failureRecord{}
	}
}

// recordFailure records that an attempt to move a session to f.to failed.
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
	if f.phaseUntil == 0 || r.Since < f.phaseUntil { // before the offer expired: it was declined
		p.targetBackoff[f.to] = now + TargetBackoff
	}
}

// backoffReason returns why a session is in backoff, or "" if it is not.
func (p *Planner) backoffReason(now time.Duration, id session.ID) string {
	t := p.failures[id]
	if t == nil || now >= t.retryAt {
		return ""
	}
	if t.failures >= StuckAttempts {
		return "many attempts to move it failed, in backoff"
	}
	return "an attempt to move it failed, in backoff"
}

// isExcluded reports whether a session is not offered to a target now because an earlier attempt there failed.
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
