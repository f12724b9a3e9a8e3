package sessionowner

import "birchcart/internal/fleet/session"

// newSession adds an entry for a session.
func (o *Owner) newSession(id session.ID) *sessionEntry {
	var s *sessionEntry
	if n := len(o.freeSessions); n > 0 {
		s, o.freeSessions = o.freeSessions[n-1], o.freeSessions[:n-1]
	} else {
		s = new(sessionEntry)
	}
	*s = sessionEntry{id: id, phase: Gone, lastUsed: o.now, completed: s.completed[:0]}
	o.sessions[id] = s
	o.phaseCounts[Gone]++
	return s
}

// setPhase changes the phase of a session and the counts by phase.
func (o *Owner) setPhase(s *sessionEntry, p Phase) {
	o.phaseCounts[s.phase]--
	o.phaseCounts[p]++
	s.phase = p
}

// ownedSessions returns the number of sessions that this co-ordinator believes it owns.
func (o *Owner) ownedSessions() int {
	return o.phaseCounts[Active] + o.phaseCounts[Quiescing] + o.phaseCounts[Frozen] + o.phaseCounts[Adopting] + o.phaseCounts[Ending]
}

// startSession moves a session out of Gone. By the agreed state, the session has no owner or belongs to this co-ordinator.
func (o *Owner) startSession(s *sessionEntry, r session.Record, ok bool) {
	s.epoch, s.lastUsed = r.Epoch, o.now
	switch {
	case !ok:
		s.completed = s.completed[:0]
		o.enterPhase(s, Claiming)
	case r.Phase == session.HandedOver:
		o.startAdopting(s, r)
	default: // owned through a previous process or an abandoned claim: which queries started is not known
		o.enterPhase(s, Ending)
	}
}

// startAdopting loads the state of a session that was handed here and proposes to adopt it.
func (o *Owner) startAdopting(s *sessionEntry, r session.Record) {
	s.epoch, s.adoptProposed = r.Epoch, false
	o.restoreState(s, r)
	if r.Source == "" {
		o.stats.RolledBack++
	}
	o.enterPhase(s, Adopting)
}

// enterPhase moves a session to a phase in which an act is proposed or an agreed change is waited for.
func (o *Owner) enterPhase(s *sessionEntry, p Phase) {
	o.unlink(s)
	o.setPhase(s, p)
	s.inActQueue, s.actDueAt = true, o.now+ActRetryInterval
	o.actQueue.add(s)
	if o.mayAct() {
		o.propose(s)
	}
}

// unlink removes a session from the list that it is in, and from a slot's queue.
func (o *Owner) unlink(s *sessionEntry) {
	o.setIdle(s, false)
	if s.inActQueue {
		o.actQueue.remove(s)
		s.inActQueue = false
	}
	if s.blockedAt != nil {
		s.blockedAt.dequeue(s)
	}
}

// setIdle adds a session to the list of idle ones, or removes it.
func (o *Owner) setIdle(s *sessionEntry, idle bool) {
	if s.idle == idle {
		return
	}
	s.idle = idle
	if idle {
		o.idle.add(s)
		return
	}
	o.idle.remove(s)
}

// continueSession does what is due for a session after one of its queries ended: it starts waiting queries, freezes the session or
// drops it.
func (o *Owner) continueSession(s *sessionEntry) {
	switch s.phase {
	case Active:
		o.startIfOwned(s, nil)
		if s.phase == Active && s.waitingQueries.head == nil && s.runningCount == 0 {
			o.setIdle(s, true)
		}
	case Quiescing:
		if s.runningCount == 0 {
			o.stats.Frozen++
			o.enterPhase(s, Frozen)
		}
	case Gone:
		if s.waitingQueries.head == nil && s.openQueries.head == nil {
			o.dropSession(s)
		}
	}
}

// dropSession removes a session's entry.
func (o *Owner) dropSession(s *sessionEntry) {
	o.unlink(s)
	delete(o.sessions, s.id)
	o.phaseCounts[s.phase]--
	if s.countedForClient {
		o.countClient(s.client, -1, 0)
	}
	if len(o.freeSessions) < maxFreeEntries {
		o.freeSessions = append(o.freeSessions, s)
	}
}

// refresh updates a session to its agreed record.
func (o *Owner) refresh(s *sessionEntry, r session.Record, ok bool) {
	owned := ok && r.Owner == o.name
	switch s.phase {
	case Gone:
		return
	case Claiming:
		switch {
		case !ok:
			s.epoch = r.Epoch
		case owned && r.Phase != session.HandedOver:
			o.stats.Claimed++
			o.startServing(s, r)
		case owned:
			o.startAdopting(s, r)
		default:
			o.loseSession(s, r.Owner)
		}
	case Ending:
		switch {
		case !ok:
			o.stats.Ended++
			o.loseSession(s, "")
		case !owned:
			o.loseSession(s, r.Owner)
		case r.Epoch != s.epoch:
			o.startSession(s, r, ok)
		}
	case Adopting:
		switch {
		case !owned:
			o.loseSession(s, r.Owner)
		case r.Phase != session.HandedOver && r.Epoch == s.epoch && !s.adoptProposed:
			// A previous process adopted it, and which queries that process started is not known.
			o.startSession(s, r, ok)
		case r.Phase != session.HandedOver && r.Epoch == s.epoch:
			o.stats.Adopted++
			s.completed.ShiftWindows(s.adoptProposedAt - r.Since)
			o.startServing(s, r)
		case r.Epoch != s.epoch:
			o.startSession(s, r, ok)
		}
	default:
		o.refreshOwned(s, r, owned)
	}
}

// refreshOwned is refresh for a session that belonged to this co-ordinator at the last refresh.
func (o *Owner) refreshOwned(s *sessionEntry, r session.Record, owned bool) {
	switch {
	case !owned:
		if s.phase == Frozen && r.Owner != "" {
			o.stats.Handed++
		}
		o.loseSession(s, r.Owner)
	case r.Epoch != s.epoch: // handed away and back, or ended and claimed again
		o.abortRunning(s, OwnershipLost, "")
		o.startSession(s, r, true)
	case r.Phase == session.Pinned && s.phase != Active:
		o.stats.Resumed++
		o.serve(s)
	case r.Phase == session.Offered && s.phase == Active:
		o.quiesce(s, r)
	case r.Phase == session.Offered && s.fence != r.Fence: // the earlier offer was replaced by a new one
		s.fence = r.Fence
		if s.phase == Frozen && o.mayAct() {
			o.propose(s)
		}
	}
}

// startServing starts to serve a session that was claimed or adopted.
func (o *Owner) startServing(s *sessionEntry, r session.Record) {
	s.epoch, s.seq, s.lane, s.lastUsed = r.Epoch, r.Seq, r.Lane, o.now
	o.serve(s) // refreshHandOvers follows, and handles an offer that was made already
}

// serve makes a session active, for the first time or after a withdrawn offer.
func (o *Owner) serve(s *sessionEntry) {
	o.unlink(s)
	o.setPhase(s, Active)
	for q := s.openQueries.head; q != nil; q = q.next {
		if !q.detached && !q.awaitingReplicas {
			o.timers.schedule(q, q.deadline)
		}
	}
	o.continueSession(s)
}

// quiesce stops starting queries of a session that is offered.
func (o *Owner) quiesce(s *sessionEntry, r session.Record) {
	o.stats.Offered++
	s.fence = r.Fence
	o.enterPhase(s, Quiescing)
	at := o.now + CancelDelay
	for q := s.openQueries.head; q != nil; q = q.next {
		if !q.detached && !q.responded && !q.answerAllowed {
			o.timers.schedule(q, min(q.deadline, at))
		}
	}
	if o.draining {
		o.cancelNow(s)
	}
	if s.phase == Quiescing {
		o.continueSession(s)
	}
}

// cancelNow makes the queries that may be cancelled due at once.
func (o *Owner) cancelNow(s *sessionEntry) {
	for q := s.openQueries.head; q != nil; q = q.next {
		if !q.detached && !q.responded && !q.answerAllowed {
			o.timers.schedule(q, o.now)
		}
	}
}

// loseSession ends the local state of a session that has another owner now, or none.
func (o *Owner) loseSession(s *sessionEntry, owner string) {
	if s.phase != Claiming && s.phase != Ending {
		o.stats.Lost++
	}
	o.unlink(s)
	o.setPhase(s, Gone)
	reason := OwnershipLost
	if owner != "" {
		reason = NotOwner
	}
	waiting := s.waitingQueries.head != nil
	if owner == "" && waiting && o.mayAct() && !o.draining { // no owner again: claim it for the waiting queries
		r, ok := o.state.Get(s.id)
		o.abortRunning(s, reason, "")
		o.startSession(s, r, ok)
		return
	}
	o.abortRunning(s, reason, owner)
	o.rejectAllWaiting(s, reason, owner)
	o.continueSession(s)
}

// abortRunning gives each running query its response. None of them may be answered after that.
func (o *Owner) abortRunning(s *sessionEntry, reason Reason, owner string) {
	for q := s.openQueries.head; q != nil; q = q.next {
		if !q.detached {
			o.abort(q, reason, owner)
		}
	}
}
