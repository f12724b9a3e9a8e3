package sessionowner

import "time"

// The functions of this file give clients their responses. By S5, a client is asked to retry only if a repeat is safe for the
// query's class.

// reject emits a Reject, for a query that has no entry or whose entry is about to be removed.
func (o *Owner) reject(token uint64, reason Reason, after time.Duration, owner string) {
	o.stats.Rejected++
	o.out = append(o.out, Reject{token, reason, jitter(after, token), owner})
}

// rejectWaiting rejects a waiting query, which has not run.
func (o *Owner) rejectWaiting(q *query, reason Reason, after time.Duration, owner string) {
	o.checkResponse(q)
	o.reject(q.token, reason, after, owner)
	o.dequeue(q, q.heapIndex >= 0) // a query that has just arrived is not counted yet
	o.dropQuery(q)
}

// rejectAndContinue calls rejectWaiting and lets the session continue.
func (o *Owner) rejectAndContinue(q *query, reason Reason, after time.Duration, owner string) {
	s := q.session
	o.rejectWaiting(q, reason, after, owner)
	o.continueSession(s)
}

func (o *Owner) rejectAllWaiting(s *sessionEntry, reason Reason, owner string) {
	after := RetryAfterWait
	if owner != "" {
		after = RetryAfterMoved
	}
	for s.waitingQueries.head != nil {
		o.rejectWaiting(s.waitingQueries.head, reason, after, owner)
	}
}

// mayRetry reports whether the client of a running query may be asked to retry after that time plus jitter: the query is Idempotent,
// or it is Keyed and the repeat comes well within the window.
func (o *Owner) mayRetry(q *query, after time.Duration) bool {
	switch q.effect {
	case Idempotent:
		return true
	case Keyed:
		return o.now+jitter(after, q.token) <= q.startedAt+q.window/KeyedRetryDivisor
	}
	return false
}

// abort gives a running query its response, if it has none.
func (o *Owner) abort(q *query, reason Reason, owner string) {
	if q.responded || q.answerAllowed {
		return
	}
	o.checkResponse(q)
	q.responded = true
	if !o.mayRetry(q, RetryAfterWait) {
		o.stats.Failed++
		o.out = append(o.out, Fail{q.token, reason})
		return
	}
	after := jitter(RetryAfterWait, q.token)
	o.invariants.checkRetry(o, q, after, MayHaveRun)
	o.stats.Cancelled++
	o.out = append(o.out, Cancel{q.token, reason, after, owner})
}

// RejectInstead returns the response to a query whose answer MayAnswer did not allow, for a caller that can't wait until its
// QueryEnded: a Reject or a Fail, which counts as given. It returns nil if the query has had its response or is not known.
func (o *Owner) RejectInstead(now time.Duration, token uint64) Output {
	o.now = max(o.now, now)
	q := o.queries[token]
	if q == nil || !q.running || q.responded || q.answerAllowed {
		return nil
	}
	return o.responseAtEnd(q, Done)
}

// responseAtEnd returns the response to a query that ended without one.
func (o *Owner) responseAtEnd(q *query, end Outcome) Output {
	o.checkResponse(q)
	q.responded = true
	reason := NoAnswer
	if end == Done {
		if reason = OwnershipLost; !o.mayAct() {
			reason = NoLease
		}
	}
	if end != NotRun && !o.mayRetry(q, RetryAfterWait) {
		o.stats.Failed++
		return Fail{q.token, reason}
	}
	o.stats.Rejected++
	after := jitter(RetryAfterWait, q.token)
	o.invariants.checkRetry(o, q, after, end)
	return Reject{q.token, reason, after, o.ownerOf(q.session)}
}

// checkResponse checks that a query gets only one response.
func (o *Owner) checkResponse(q *query) { o.invariants.checkResponse(q) }
