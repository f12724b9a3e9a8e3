package sessionowner

import "time"

// What a client is answered. S5: each response is harmless by its query's class.

// reject rejects a query that is not known, or no more.
func (o *Owner) reject(token uint64, reason Reason, after time.Duration, owner string) {
	o.stats.Rejected++
	o.out = append(o.out, Reject{token, reason, jitter(after, token), owner})
}

// rejectWaiting rejects one that waits: it has not run.
func (o *Owner) rejectWaiting(q *query, reason Reason, after time.Duration, owner string) {
	o.checkResponse(q)
	o.reject(q.token, reason, after, owner)
	o.dequeue(q, q.heapIndex >= 0) // one that has only come is not counted yet
	o.dropQuery(q)
}

// rejectAndContinue is rejectWaiting, and its session goes on.
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

// mayRetry says that one that runs may be asked to retry after that time, spread: it is safe, or keyed and its repeat comes
// well within the window.
func (o *Owner) mayRetry(q *query, after time.Duration) bool {
	switch q.effect {
	case Idempotent:
		return true
	case Keyed:
		return o.now+jitter(after, q.token) <= q.startedAt+q.window/KeyedRetryDivisor
	}
	return false
}

// abort gives one that runs its response, if it has none.
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

// RejectInstead is the response to a query whose answer MayAnswer did not allow, for a caller that can't wait for its QueryEnded: a Reject
// or a Fail. It counts as given. nil if the query has its response, or is not known.
func (o *Owner) RejectInstead(now time.Duration, token uint64) Output {
	o.now = max(o.now, now)
	q := o.queries[token]
	if q == nil || !q.running || q.responded || q.answerAllowed {
		return nil
	}
	return o.responseAtEnd(q, Done)
}

// responseAtEnd is for one that ended without a response.
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

// responded notes that a query gets its one response.
func (o *Owner) checkResponse(q *query) { o.invariants.checkResponse(q) }
