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
func (e *invariantChecks) checkStart(k *Owner, q *query) {
	s := q.session
	if k.now >= k.leaseUntil {
		e.fail("S1: query %d of %v began at %v, the lease until %v", q.token, session.ID(s.id), k.now, k.leaseUntil)
	}
	if r, ok := k.state.Get(s.id); !ok || r.Owner != k.name || r.Epoch != q.epoch || r.Phase > session.Offered {
		e.fail("S1: query %d of %v began at %v in epoch %d, agreed is %s of %s in %d", q.token, session.ID(s.id), k.now, q.epoch, r.Phase, r.Owner, r.Epoch)
	}
	if s.phase != Active {
		e.fail("S3: query %d of %v began while it was %s", q.token, session.ID(s.id), s.phase)
	}
	for o := s.openQueries.head; o != nil; o = o.next {
		switch {
		case o == q || o.detached:
		case o.effect != Idempotent || q.effect != Idempotent:
			e.fail("S3: query %d (%d) of %v began beside %d (%d)", q.token, q.effect, session.ID(s.id), o.token, o.effect)
		case o.arrival > q.arrival || o.epoch == q.epoch && o.seq >= q.seq:
			e.fail("S3: query %d of %v began as %d behind %d as %d", q.token, session.ID(s.id), q.seq, o.token, o.seq)
		}
	}
	for _, r := range s.completed {
		if q.effect != Idempotent && r.ID == q.id && (q.effect == NonIdempotent || !r.Keyed || r.WindowEnd() < q.deadline) {
			e.fail("S3: query %d of %v begins, as %d it ran before: %+v", q.token, session.ID(s.id), r.Seq, r)
		}
	}
	if k.now >= q.deadline {
		e.fail("S4: query %d began at %v, its time was over at %v", q.token, k.now, q.deadline)
	}
	for _, name := range q.replicas {
		if l := k.slots[name]; l.used > l.quota {
			e.fail("S2: query %d has slot %d of %d at %s", q.token, l.used, l.quota, name)
		}
	}
}

// answered looks at a served answer that is allowed.
func (e *invariantChecks) checkAnswer(k *Owner, now time.Duration, q *query) {
	if q.responded {
		e.fail("S4: query %d has its response and is answered", q.token)
	}
	if now >= k.leaseUntil || now >= q.deadline || q.detached {
		e.fail("S1: query %d is answered at %v, the lease until %v, its time until %v", q.token, now, k.leaseUntil, q.deadline)
	}
	if r, _ := k.state.Get(q.session.id); r.Owner != k.name || r.Epoch != q.epoch {
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
func (e *invariantChecks) checkRetry(k *Owner, q *query, after time.Duration, end Outcome) {
	switch {
	case end == NotRun || q.effect == Idempotent:
	case q.effect == NonIdempotent:
		e.fail("S5: query %d is unsafe, may have run, and its client is asked to retry", q.token)
	case k.now+after >= q.startedAt+q.window:
		e.fail("S5: query %d is keyed for %v from %v, its client comes again at %v", q.token, q.window, q.startedAt, k.now+after)
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

func (s *sessionEntry) check(k *Owner) error {
	id := session.ID(s.id)
	var waits, runs, alone, left int
	for q := s.waitingQueries.head; q != nil; q = q.next {
		waits++
		if q.next != nil && q.arrival > q.next.arrival {
			return fmt.Errorf("S3: queries %d and %d of %v wait out of order", q.token, q.next.token, id)
		}
	}
	for q := s.openQueries.head; q != nil; q = q.next {
		if q.detached {
			left++
			continue
		}
		runs++
		if q.effect != Idempotent {
			alone++
		}
	}
	switch {
	case waits != int(s.waitingCount) || runs != int(s.runningCount) || alone != int(s.exclusiveCount) || left != int(s.detachedCount):
		return fmt.Errorf("S3: session %v counts %d, %d, %d, %d, it has %d, %d, %d, %d", id, s.waitingCount, s.runningCount, s.exclusiveCount, s.detachedCount, waits, runs, alone, left)
	case s.phase == Frozen && runs > 0:
		return fmt.Errorf("S3: session %v is frozen with %d queries open", id, runs)
	case len(s.completed) > completed.MaxEntries || len(s.completed) > 0 && s.phase == Active && s.completed[len(s.completed)-1].Seq > uint32(s.seq):
		return fmt.Errorf("bounds: session %v, at %d, remembers %+v", id, s.seq, s.completed)
	case waits > k.options.MaxWaiting:
		return fmt.Errorf("bounds: %d queries of session %v wait", waits, id)
	case s.idle && (s.phase != Active || waits+runs > 0):
		return fmt.Errorf("session %v is idle, %s, with %d queries", id, s.phase, waits+runs)
	case s.inActQueue != (s.phase != Active && s.phase != Gone):
		return fmt.Errorf("session %v is %s, and looked after: %t", id, s.phase, s.inActQueue)
	case s.phase == Active && !s.idle && waits+runs == 0:
		return fmt.Errorf("session %v is pinned and unused, and not among the idle ones", id)
	case s.phase == Gone && waits+runs+left == 0:
		return fmt.Errorf("session %v is gone and still known", id)
	}
	return nil
}
