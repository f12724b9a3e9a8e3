package sessionowner

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
)

// invariantChecks checks each output when it is emitted, against the basic state and not against the conditions that led to the
// output. It keeps the first violation.
type invariantChecks struct{ violation error }

func (c *invariantChecks) fail(format string, a ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, a...)
	}
}

// checkStart checks a query that starts.
func (c *invariantChecks) checkStart(owner *Owner, q *query) {
	s := q.session
	if owner.now >= owner.leaseUntil {
		c.fail("S1: query %d of session %v started at %v, the lease ended at %v", q.token, session.ID(s.id), owner.now, owner.leaseUntil)
	}
	if r, ok := owner.state.Get(s.id); !ok || r.Owner != owner.name || r.Epoch != q.epoch || r.Phase > session.Offered {
		c.fail("S1: query %d of session %v started at %v in epoch %d, the agreed state is %s, owner %s, epoch %d",
			q.token, session.ID(s.id), owner.now, q.epoch, r.Phase, r.Owner, r.Epoch)
	}
	if s.phase != Active {
		c.fail("S3: query %d of session %v started while the session was %s", q.token, session.ID(s.id), s.phase)
	}
	for other := s.openQueries.head; other != nil; other = other.next {
		switch {
		case other == q || other.detached:
		case other.effect != Idempotent || q.effect != Idempotent:
			c.fail("S3: query %d (effect %d) of session %v started while query %d (effect %d) was open",
				q.token, q.effect, session.ID(s.id), other.token, other.effect)
		case other.arrival > q.arrival || other.epoch == q.epoch && other.seq >= q.seq:
			c.fail("S3: query %d of session %v started with sequence number %d after query %d with %d",
				q.token, session.ID(s.id), q.seq, other.token, other.seq)
		}
	}
	for _, r := range s.completed {
		if q.effect != Idempotent && r.ID == q.id && (q.effect == NonIdempotent || !r.Keyed || r.WindowEnd() < q.deadline) {
			c.fail("S3: query %d of session %v started, it ran before with sequence number %d: %+v", q.token, session.ID(s.id), r.Seq, r)
		}
	}
	if owner.now >= q.deadline {
		c.fail("S4: query %d started at %v, its deadline was %v", q.token, owner.now, q.deadline)
	}
	for _, name := range q.replicas {
		if l := owner.slots[name]; l.used > l.quota {
			c.fail("S2: query %d uses slot %d of %d at %s", q.token, l.used, l.quota, name)
		}
	}
}

// checkAnswer checks a served answer that is allowed.
func (c *invariantChecks) checkAnswer(owner *Owner, now time.Duration, q *query) {
	if q.responded {
		c.fail("S4: query %d is answered after another response", q.token)
	}
	if now >= owner.leaseUntil || now >= q.deadline || q.detached {
		c.fail("S1: query %d is answered at %v, the lease ends at %v, its deadline is %v", q.token, now, owner.leaseUntil, q.deadline)
	}
	if r, _ := owner.state.Get(q.session.id); r.Owner != owner.name || r.Epoch != q.epoch {
		c.fail("S1: query %d of epoch %d is answered in epoch %d of owner %s", q.token, q.epoch, r.Epoch, r.Owner)
	}
}

// checkResponse checks a Reject, Cancel or Fail of a query that has an entry.
func (c *invariantChecks) checkResponse(q *query) {
	if q.responded || q.answerAllowed {
		c.fail("S4: query %d gets a second response", q.token)
	}
}

// checkRetry checks a query that ran and whose client is asked to retry.
func (c *invariantChecks) checkRetry(owner *Owner, q *query, after time.Duration, end Outcome) {
	switch {
	case end == NotRun || q.effect == Idempotent:
	case q.effect == NonIdempotent:
		c.fail("S5: query %d is not idempotent and may have run, and its client is asked to retry", q.token)
	case owner.now+after >= q.startedAt+q.window:
		c.fail("S5: query %d is keyed for %v from %v, its client retries at %v", q.token, q.window, q.startedAt, owner.now+after)
	}
}

// checkHandOver checks a session whose hand-over is proposed.
func (c *invariantChecks) checkHandOver(s *sessionEntry) {
	for q := s.openQueries.head; q != nil; q = q.next {
		if !q.detached {
			c.fail("S3: session %v is handed over while query %d is open", session.ID(s.id), q.token)
		}
	}
}

// Check returns an error if an invariant does not hold at this co-ordinator, or was violated at any earlier time:
//
//   - S1: it acts only for sessions that it owns by the agreed state, and with a valid lease.
//   - S2: no more slots are in use than its quota, except slots that a shift withdrew while queries were using them.
//   - S3: queries of a session start in order, a Keyed or NonIdempotent one runs alone, none starts while the session is not Active,
//     and none is open when the session is handed over.
//   - S4: each query gets one response; a waiting one gets it within its share of the time; none starts after its deadline.
//   - S5: a client is asked to retry only if a repeat is safe.
//
// It also checks that the counts are right and within their limits.
func (o *Owner) Check() error {
	if o.invariants.violation != nil {
		return o.invariants.violation
	}
	if len(o.timers) > 0 && o.timers[0].timerAt < o.now {
		return fmt.Errorf("S4: query %d was due at %v, now %v", o.timers[0].token, o.timers[0].timerAt, o.now)
	}
	used := map[string]int{}
	waits := 0
	for token, q := range o.queries {
		switch {
		case !q.running && (q.heapIndex < 0 || q.timerAt > q.deadline):
			return fmt.Errorf("S4: query %d waits without a timer before its deadline", token)
		case !q.running:
			waits++
			continue
		case q.heapIndex < 0 && q.effect != Idempotent && o.now >= q.deadline: // waits for its QueryEnded
		case !q.detached && (q.heapIndex < 0 || q.timerAt > q.deadline && !q.awaitingReplicas):
			return fmt.Errorf("S4: query %d runs without a timer before its deadline", token)
		}
		for _, name := range q.replicas {
			used[name]++
		}
	}
	for _, l := range o.slotList {
		if l.used != used[l.name] {
			return fmt.Errorf("S2: %d slots are counted at %s, %d are in use", l.used, l.name, used[l.name])
		}
		delete(used, l.name)
	}
	if len(used) > 0 {
		return fmt.Errorf("S2: slots are in use but not counted: %v", used)
	}
	if waits != o.waiting || len(o.queries) > o.options.MaxQueries || len(o.sessions) > o.options.MaxSessions {
		return fmt.Errorf("bounds: %d queries wait (%d counted), %d queries, %d sessions", waits, o.waiting, len(o.queries), len(o.sessions))
	}
	var phases [Gone + 1]int
	for _, s := range o.sessions {
		phases[s.phase]++
		if err := s.check(o); err != nil {
			return err
		}
	}
	for i, q := range o.runningUnsafe {
		if q.unsafeIndex != i || o.queries[q.token] != q || !q.running || q.effect != NonIdempotent {
			return fmt.Errorf("unsafe: query %d is wrongly listed as running at index %d", q.token, i)
		}
	}
	if phases != o.phaseCounts {
		return fmt.Errorf("bounds: sessions by phase are %v, the counts are %v", phases, o.phaseCounts)
	}
	return nil
}

func (s *sessionEntry) check(owner *Owner) error {
	id := session.ID(s.id)
	var waiting, running, exclusive, detached int
	for q := s.waitingQueries.head; q != nil; q = q.next {
		waiting++
		if q.next != nil && q.arrival > q.next.arrival {
			return fmt.Errorf("S3: queries %d and %d of session %v wait out of order", q.token, q.next.token, id)
		}
	}
	for q := s.openQueries.head; q != nil; q = q.next {
		if q.detached {
			detached++
			continue
		}
		running++
		if q.effect != Idempotent {
			exclusive++
		}
	}
	switch {
	case waiting != int(s.waitingCount) || running != int(s.runningCount) || exclusive != int(s.exclusiveCount) || detached != int(s.detachedCount):
		return fmt.Errorf("S3: session %v counts %d waiting, %d running, %d exclusive, %d detached queries, it has %d, %d, %d, %d",
			id, s.waitingCount, s.runningCount, s.exclusiveCount, s.detachedCount, waiting, running, exclusive, detached)
	case s.phase == Frozen && running > 0:
		return fmt.Errorf("S3: session %v is frozen with %d queries open", id, running)
	case len(s.completed) > completed.MaxEntries || len(s.completed) > 0 && s.phase == Active && s.completed[len(s.completed)-1].Seq > uint32(s.seq):
		return fmt.Errorf("bounds: session %v with sequence number %d has an invalid record of completed queries: %+v", id, s.seq, s.completed)
	case waiting > owner.options.MaxWaiting:
		return fmt.Errorf("bounds: %d queries of session %v wait, more than allowed", waiting, id)
	case s.idle && (s.phase != Active || waiting+running > 0):
		return fmt.Errorf("session %v is listed as idle in phase %s with %d queries", id, s.phase, waiting+running)
	case s.inActQueue != (s.phase != Active && s.phase != Gone):
		return fmt.Errorf("session %v is %s, and in the act queue: %t", id, s.phase, s.inActQueue)
	case s.phase == Active && !s.idle && waiting+running == 0:
		return fmt.Errorf("session %v is pinned without queries, and not listed as idle", id)
	case s.phase == Gone && waiting+running+detached == 0:
		return fmt.Errorf("session %v is gone without queries, and still has an entry", id)
	}
	return nil
}
