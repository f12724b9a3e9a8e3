package sessionowner

import (
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// handleArrival starts a query, queues it or rejects it.
func (o *Owner) handleArrival(a *Arrived) {
	if o.queries[a.Token] != nil {
		o.log("query %d arrived twice: ignored the second arrival", a.Token)
		return
	}
	o.stats.Arrived++
	switch {
	case !o.mayAct():
		o.reject(a.Token, NoLease, RetryAfterWait, "")
		return
	case o.now >= a.Deadline:
		o.reject(a.Token, DeadlineExceeded, RetryAfterWait, "")
		return
	}
	s := o.admitToSession(a)
	if s == nil {
		return
	}
	if len(o.queries) >= o.options.MaxQueries {
		o.reject(a.Token, Overloaded, RetryAfterOverload, "")
		o.continueIfActive(s)
		return
	}
	q := o.newQuery(a, s)
	if s.idle {
		o.setIdle(s, false)
	}
	s.waitingQueries.add(q)
	s.waitingCount++
	o.startWaiting(s, nil)
	if o.queries[a.Token] != q { // it has had its response
		o.continueSession(s)
		return
	}
	if !q.running {
		o.waitOrReject(q)
	}
}

// admitToSession finds or opens the session of a query that arrived. If the query is not admitted to the session, it gets its response
// and the result is nil.
func (o *Owner) admitToSession(a *Arrived) *sessionEntry {
	r, ok := o.state.Get(a.Session)
	s := o.sessions[a.Session]
	if s != nil {
		o.refresh(s, r, ok)
		s = o.sessions[a.Session] // refresh may have dropped it
	}
	if s != nil && a.Effect != Idempotent && (s.phase == Active || s.phase == Quiescing || s.phase == Frozen) && s.alreadyRan(a.ID, a.Effect, a.Deadline) {
		o.failDuplicate(a.Token)
		return nil
	}
	if s != nil && s.phase != Gone {
		return s
	}
	if ok && r.Owner != o.name {
		o.reject(a.Token, NotOwner, RetryAfterMoved, r.Owner)
		return nil
	}
	return o.openSession(s, a, r, ok)
}

// waitOrReject lets a query that could not start wait for at most its share of the client's time, or rejects it if there is no
// capacity.
func (o *Owner) waitOrReject(q *query) {
	s := q.session
	usage := o.clients[q.client]
	if int(s.waitingCount) > o.options.MaxWaiting || o.waiting+int(usage.waits) >= o.options.MaxQueries {
		o.dequeue(q, false)
		o.checkResponse(q)
		o.reject(q.token, Overloaded, RetryAfterOverload, "")
		o.dropQuery(q)
		o.continueIfActive(s)
		return
	}
	usage.waits++
	o.clients[q.client] = usage
	o.waiting++
	o.timers.schedule(q, o.now+(q.deadline-o.now)/MaxWaitDivisor)
}

// openSession opens a session that has no owner, or that is agreed to be here but has no active entry.
func (o *Owner) openSession(s *sessionEntry, a *Arrived, r session.Record, ok bool) *sessionEntry {
	switch {
	case o.draining && !ok:
		o.reject(a.Token, ShuttingDown, RetryAfterMoved, "")
		return nil
	case s == nil && len(o.sessions)+int(o.clients[a.Client].sessions) >= o.options.MaxSessions:
		o.reject(a.Token, Overloaded, RetryAfterOverload, "")
		return nil
	}
	if s == nil {
		s = o.newSession(a.Session)
		s.client, s.countedForClient, s.lane = a.Client, true, a.Lane
		c := o.clients[a.Client]
		c.sessions++
		o.clients[a.Client] = c
	}
	o.startSession(s, r, ok)
	return s
}

// continueIfActive lets an active session continue, or become idle, after one of its queries found no capacity.
func (o *Owner) continueIfActive(s *sessionEntry) {
	if s.phase == Active {
		o.continueSession(s)
	}
}

func (o *Owner) newQuery(a *Arrived, s *sessionEntry) *query {
	var q *query
	if n := len(o.freeQueries); n > 0 {
		q, o.freeQueries = o.freeQueries[n-1], o.freeQueries[:n-1]
	} else {
		q = new(query)
	}
	o.arrivals++
	*q = query{
		token: a.Token, arrival: o.arrivals, client: a.Client, id: a.ID, session: s, replicas: a.Replicas, deadline: a.Deadline, window: a.Window, effect: a.Effect, heapIndex: -1,
	}
	o.queries[q.token] = q
	return q
}

// maxFreeEntries limits the query objects, and the session objects, that are kept for reuse.
const maxFreeEntries = 4096

func (o *Owner) dropQuery(q *query) {
	delete(o.queries, q.token)
	if len(o.freeQueries) < maxFreeEntries {
		*q = query{}
		o.freeQueries = append(o.freeQueries, q)
	}
}

// startWaiting starts the waiting queries that may run, in order. If the session was woken because a slot became free, woken is that
// slot, else nil. The caller has checked the agreed state and the lease.
func (o *Owner) startWaiting(s *sessionEntry, woken *slot) {
	for s.phase == Active && s.blockedAt == nil && s.waitingQueries.head != nil {
		q := s.waitingQueries.head
		if q.heapIndex >= 0 && q.timerAt <= o.now { // its time to wait is over, and expireQueries has not reached it yet
			o.rejectWaiting(q, WaitTimeout, RetryAfterWait, "")
			continue
		}
		if o.mayOutliveLease(q) {
			o.rejectWaiting(q, NoLease, RetryAfterWait, "")
			continue
		}
		if q.effect != Idempotent && s.alreadyRan(q.id, q.effect, q.deadline) {
			o.checkResponse(q)
			o.failDuplicate(q.token)
			o.dequeue(q, q.heapIndex >= 0)
			o.dropQuery(q)
			continue
		}
		if q.effect != Idempotent && s.runningCount > 0 || s.exclusiveCount > 0 || s.runningCount > 0 && int(s.runningCount) >= o.limits.Slots {
			return
		}
		if fullSlot := o.reserveSlots(q, woken); fullSlot != nil {
			fullSlot.enqueue(s)
			return
		}
		woken = nil
		o.dequeue(q, q.heapIndex >= 0)
		s.seq++
		q.running, q.epoch, q.seq, q.startedAt = true, s.epoch, s.seq, o.now
		s.openQueries.add(q)
		s.runningCount++
		if q.effect != Idempotent {
			s.exclusiveCount++
		}
		o.timers.schedule(q, q.deadline)
		o.stats.Ran++
		if q.effect == NonIdempotent {
			q.unsafeIndex = len(o.runningUnsafe)
			o.runningUnsafe = append(o.runningUnsafe, q)
		}
		o.invariants.checkStart(o, q)
		o.out = append(o.out, Run{q.token, q.seq})
	}
}

// mayOutliveLease reports whether a part of the query could still run at a replica when another co-ordinator may act for the session,
// which it may once the lease and Grace have passed. Frames carry the client's deadline, and this process may have crashed or be cut
// off by then, so that nothing cancels the parts. For an Idempotent query only the answer would matter, and it is not given.
func (o *Owner) mayOutliveLease(q *query) bool {
	return q.effect != Idempotent && q.deadline > o.leaseUntil+o.limits.Grace
}

// startIfOwned calls startWaiting if the lease is valid and the agreed state still names this co-ordinator as the owner.
func (o *Owner) startIfOwned(s *sessionEntry, woken *slot) {
	if s.phase == Active && s.waitingQueries.head != nil && o.mayAct() && o.isOwner(s, s.epoch) {
		o.startWaiting(s, woken)
		if s.phase == Active && s.waitingQueries.head == nil && s.runningCount == 0 { // all of them were rejected or failed
			o.setIdle(s, true)
		}
	}
}

// dequeue removes a query from the waiting ones. counted says whether the query was included in the counts of waiting queries.
func (o *Owner) dequeue(q *query, counted bool) {
	s := q.session
	if s.waitingQueries.head == q && s.blockedAt != nil {
		s.blockedAt.dequeue(s)
	}
	s.waitingQueries.remove(q)
	s.waitingCount--
	if counted {
		o.waiting--
		o.countClient(q.client, 0, -1)
		o.timers.remove(q)
	}
}

func (o *Owner) countClient(client uint64, sessions, waits int32) {
	c := o.clients[client]
	c.sessions += sessions
	c.waits += waits
	if c == (clientUsage{}) {
		delete(o.clients, client)
		return
	}
	o.clients[client] = c
}

// handleEnd handles the end of a query.
func (o *Owner) handleEnd(e *QueryEnded) {
	q := o.queries[e.Token]
	if q == nil {
		return
	}
	s := q.session
	if !q.running {
		if e.Responded {
			o.handleClientGone(e.Token)
			return
		}
		o.rejectAndContinue(q, NoAnswer, RetryAfterWait, "")
		return
	}
	if e.Responded {
		q.responded = true
	}
	if !q.responded && !q.answerAllowed {
		o.out = append(o.out, o.responseAtEnd(q, e.Outcome))
	}
	o.recordCompletion(q, e.Outcome)
	s.lastUsed = o.now
	if e.BusyUntil > o.now { // its parts may still run at replicas
		q.responded, q.awaitingReplicas = true, true
		o.timers.schedule(q, e.BusyUntil)
		return
	}
	o.closeQuery(q)
}

// closeQuery removes a query that was running, once none of its parts is left at a replica.
func (o *Owner) closeQuery(q *query) {
	s := q.session
	if q.effect == NonIdempotent {
		last := len(o.runningUnsafe) - 1
		o.runningUnsafe[q.unsafeIndex] = o.runningUnsafe[last]
		o.runningUnsafe[q.unsafeIndex].unsafeIndex = q.unsafeIndex
		o.runningUnsafe[last], o.runningUnsafe = nil, o.runningUnsafe[:last]
	}
	o.timers.remove(q)
	s.openQueries.remove(q)
	if q.detached {
		s.detachedCount--
	} else {
		o.uncountRunning(q)
	}
	o.releaseSlots(q)
	o.dropQuery(q)
	o.continueSession(s)
}

// uncountRunning removes a query from its session's counts of running queries.
func (o *Owner) uncountRunning(q *query) {
	q.session.runningCount--
	if q.effect != Idempotent {
		q.session.exclusiveCount--
	}
}

// detach stops counting a query as running in its session, although a part of it may still run at a replica.
func (o *Owner) detach(q *query) {
	o.timers.remove(q)
	q.detached = true
	o.uncountRunning(q)
	q.session.detachedCount++
	o.continueSession(q.session)
}

// handleClientGone handles the disconnection of a query's client.
func (o *Owner) handleClientGone(token uint64) {
	q := o.queries[token]
	switch {
	case q == nil:
	case q.running:
		q.responded = true
	default:
		s := q.session
		o.dequeue(q, true)
		o.dropQuery(q)
		o.continueSession(s)
	}
}

// expireQueries handles the queries whose timer is due: waiting ones, running ones, and those that were left running for CancelDelay
// before a hand-over.
func (o *Owner) expireQueries() {
	for len(o.timers) > 0 && o.timers[0].timerAt <= o.now {
		q := o.timers[0]
		switch {
		case !q.running:
			o.rejectAndContinue(q, WaitTimeout, RetryAfterWait, o.ownerOf(q.session))
		case q.awaitingReplicas:
			o.closeQuery(q)
		case o.now >= q.deadline:
			o.abort(q, DeadlineExceeded, "")
			if q.effect == Idempotent {
				o.detach(q)
			} else { // S3: later queries wait until it has certainly ended at its replicas
				o.timers.remove(q)
			}
		default:
			o.timers.schedule(q, q.deadline)
			if o.mayRetry(q, RetryAfterWait) {
				o.abort(q, SessionMoving, o.ownerOf(q.session))
			}
		}
	}
}

// ownerOf returns the co-ordinator that owns a session or to which it is offered, by the agreed state; "" if that is this one or none.
func (o *Owner) ownerOf(s *sessionEntry) string {
	if o.state == nil {
		return ""
	}
	switch r, ok := o.state.Get(s.id); {
	case !ok:
		return ""
	case r.Owner != o.name:
		return r.Owner
	case r.Phase == session.Offered:
		return r.To
	}
	return ""
}

// byArrival returns all queries that have a timer, in order of arrival.
func (o *Owner) byArrival() []*query {
	all := slices.Clone([]*query(o.timers))
	slices.SortFunc(all, func(a, b *query) int {
		if a.arrival < b.arrival {
			return -1
		}
		return 1
	})
	return all
}

// jitter returns a delay between base and twice base that depends on the token only.
func jitter(base time.Duration, token uint64) time.Duration {
	return base + base/256*time.Duration(token*0x9e3779b97f4a7c15>>56)
}
