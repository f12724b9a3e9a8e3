package sessionowner

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
)

// evidence is kept at the places where something goes out, from the plain facts and not from what was decided upon.
type invariantChecks struct{ violation error }

func (e *invariantChecks) fail(format string, a ...any) {
	if e.violation == nil {
		e.violation = fmt.Errorf(format, a...)
	}
}

// began looks at a query that begins.
func (e *invariantChecks) checkStart(owner *Owner, q *query) {
	s := q.session
	if owner.now >= owner.leaseUntil {
		e.fail("S1: query %d of %v began at %v, the lease until %v", q.token, session.ID(s.id), owner.now, owner.leaseUntil)
	}
	if r, ok := owner.state.Get(s.id); !ok || r.Owner != owner.name || r.Epoch != q.epoch || r.Phase > session.Offered {
		e.fail("S1: query %d of %v began at %v in epoch %d, agreed is %s of %s in %d", q.token, session.ID(s.id), owner.now, q.epoch, r.Phase, r.Owner, r.Epoch)
	}
	if s.phase != Active {
		e.fail("S3: query %d of %v began while it was %s", q.token, session.ID(s.id), s.phase)
	}
	for other := s.openQueries.head; other != nil; other = other.next {
		switch {
		case other == q || other.detached:
		case other.effect != Idempotent || q.effect != Idempotent:
			e.fail("S3: query %d (%d) of %v began beside %d (%d)", q.token, q.effect, session.ID(s.id), other.token, other.effect)
		case other.arrival > q.arrival || other.epoch == q.epoch && other.seq >= q.seq:
			e.fail("S3: query %d of %v began as %d behind %d as %d", q.token, session.ID(s.id), q.seq, other.token, other.seq)
		}
	}
	for _, r := range s.completed {
		if q.effect != Idempotent && r.ID == q.id && (q.effect == NonIdempotent || !r.Keyed || r.Until() < q.deadline) {
			e.fail("S3: query %d of %v begins, as %d it ran before: %+v", q.token, session.ID(s.id), r.Seq, r)
		}
	}
	if owner.now >= q.deadline {
		e.fail("S4: query %d began at %v, its time was over at %v", q.token, owner.now, q.deadline)
	}
	for _, name := range q.replicas {
		if l := owner.slots[name]; l.used > l.quota {
			e.fail("S2: query %d has slot %d of %d at %s", q.token, l.used, l.quota, name)
		}
	}
}

// answered looks at a served answer that is allowed.
func (e *invariantChecks) checkAnswer(owner *Owner, now time.Duration, q *query) {
	if q.responded {
		e.fail("S4: query %d has its response and is answered", q.token)
	}
	if now >= owner.leaseUntil || now >= q.deadline || q.detached {
		e.fail("S1: query %d is answered at %v, the lease until %v, its time until %v", q.token, now, owner.leaseUntil, q.deadline)
	}
	if r, _ := owner.state.Get(q.session.id); r.Owner != owner.name || r.Epoch != q.epoch {
		e.fail("S1: query %d of epoch %d is answered in %d of %s", q.token, q.epoch, r.Epoch, r.Owner)
	}
}

// responded looks at a Reject, Cancel or Fail of a query that was known.
func (e *invariantChecks) checkResponse(q *query) {
	if q.responded || q.answerAllowed {
		e.fail("S4: query %d gets a second response", q.token)
	}
}

// checkRetry looks at one that ran and whose client is asked to retry.
func (e *invariantChecks) checkRetry(owner *Owner, q *query, after time.Duration, end Outcome) {
	switch {
	case end == NotRun || q.effect == Idempotent:
	case q.effect == NonIdempotent:
		e.fail("S5: query %d is unsafe, may have run, and its client is asked to retry", q.token)
	case owner.now+after >= q.startedAt+q.window:
		e.fail("S5: query %d is keyed for %v from %v, its client comes again at %v", q.token, q.window, q.startedAt, owner.now+after)
	}
}

// checkHandOver looks at a session that is to be handed.
func (e *invariantChecks) checkHandOver(s *sessionEntry) {
	for q := s.openQueries.head; q != nil; q = q.next {
		if !q.detached {
			e.fail("S3: session %v is handed while query %d is open", session.ID(s.id), q.token)
		}
	}
}

// Check names what does not hold, or ever did not, at this co-ordinator: S1 it acts for a session that is its own by what is agreed, with a sure
// lease; S2 no more slots are in use than it may, but for those that a shift took from under running queries; S3 queries of a session begin in order,
// one that is not safe alone, none while it is not pinned, and nothing is open when it is handed; S4 each query gets one response, one that waits
// within its share, none begins behind its time; S5 only what is harmless is asked to retry. And what is bounded is within its bound.
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
			return fmt.Errorf("S4: query %d waits without an end", token)
		case !q.running:
			waits++
			continue
		case q.heapIndex < 0 && q.effect != Idempotent && o.now >= q.deadline: // its QueryEnded is waited for
		case !q.detached && (q.heapIndex < 0 || q.timerAt > q.deadline && !q.awaitingReplicas):
			return fmt.Errorf("S4: query %d runs without an end", token)
		}
		for _, name := range q.replicas {
			used[name]++
		}
	}
	for _, l := range o.slotList {
		if l.used != used[l.name] {
			return fmt.Errorf("S2: %d slots at %s are counted, %d are in use", l.used, l.name, used[l.name])
		}
		delete(used, l.name)
	}
	if len(used) > 0 {
		return fmt.Errorf("S2: slots are in use and not counted: %v", used)
	}
	if waits != o.waiting || len(o.queries) > o.options.MaxQueries || len(o.sessions) > o.options.MaxSessions {
		return fmt.Errorf("bounds: %d wait (%d counted), %d queries, %d sessions", waits, o.waiting, len(o.queries), len(o.sessions))
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
			return fmt.Errorf("unsafe: query %d stands at %d as open", q.token, i)
		}
	}
	if phases != o.phaseCounts {
		return fmt.Errorf("bounds: sessions by phase are %v, counted %v", phases, o.phaseCounts)
	}
	return nil
}

func (s *sessionEntry) check(owner *Owner) error {
	id := session.ID(s.id)
	var waiting, running, exclusive, detached int
	for q := s.waitingQueries.head; q != nil; q = q.next {
		waiting++
		if q.next != nil && q.arrival > q.next.arrival {
			return fmt.Errorf("S3: queries %d and %d of %v wait out of order", q.token, q.next.token, id)
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
		return fmt.Errorf("S3: session %v counts %d, %d, %d, %d, it has %d, %d, %d, %d", id, s.waitingCount, s.runningCount, s.exclusiveCount, s.detachedCount, waiting, running, exclusive, detached)
	case s.phase == Frozen && running > 0:
		return fmt.Errorf("S3: session %v is frozen with %d queries open", id, running)
	case len(s.completed) > completed.Most || len(s.completed) > 0 && s.phase == Active && s.completed[len(s.completed)-1].Seq > uint32(s.seq):
		return fmt.Errorf("bounds: session %v, at %d, remembers %+v", id, s.seq, s.completed)
	case waiting > owner.options.MaxWaiting:
		return fmt.Errorf("bounds: %d queries of session %v wait", waiting, id)
	case s.idle && (s.phase != Active || waiting+running > 0):
		return fmt.Errorf("session %v is idle, %s, with %d queries", id, s.phase, waiting+running)
	case s.inActQueue != (s.phase != Active && s.phase != Gone):
		return fmt.Errorf("session %v is %s, and looked after: %t", id, s.phase, s.inActQueue)
	case s.phase == Active && !s.idle && waiting+running == 0:
		return fmt.Errorf("session %v is pinned and unused, and not among the idle ones", id)
	case s.phase == Gone && waiting+running+detached == 0:
		return fmt.Errorf("session %v is gone and still known", id)
	}
	return nil
}
