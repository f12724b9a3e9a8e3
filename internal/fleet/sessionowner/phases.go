package sessionowner

import "birchcart/internal/fleet/session"

// newSession makes a session known.
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

// setPhase counts the phases.
func (o *Owner) setPhase(s *sessionEntry, p Phase) {
	o.phaseCounts[s.phase]--
	o.phaseCounts[p]++
	s.phase = p
}

// ownedSessions is how many sessions are here, as this co-ordinator knows.
func (o *Owner) ownedSessions() int {
	return o.phaseCounts[Active] + o.phaseCounts[Quiescing] + o.phaseCounts[Frozen] + o.phaseCounts[Adopting] + o.phaseCounts[Ending]
}

// startSession starts a session that is Gone by what is agreed of it: free, or here.
func (o *Owner) startSession(s *sessionEntry, r session.Record, ok bool) {
	s.epoch, s.lastUsed = r.Epoch, o.now
	switch {
	case !ok:
		s.completed = s.completed[:0]
		o.enterPhase(s, Claiming)
	case r.Phase == session.HandedOver:
		o.startAdopting(s, r)
	default: // of a process before, or of a claim given up: what it began is not known here
		o.enterPhase(s, Ending)
	}
}

// startAdopting takes over what a hand carried.
func (o *Owner) startAdopting(s *sessionEntry, r session.Record) {
	s.epoch, s.adoptProposed = r.Epoch, false
	o.restoreState(s, r)
	if r.Source == "" {
		o.stats.RolledBack++
	}
	o.enterPhase(s, Adopting)
}

// enterPhase brings a session into a phase in which something is proposed or waited for.
func (o *Owner) enterPhase(s *sessionEntry, p Phase) {
	o.unlink(s)
	o.setPhase(s, p)
	s.inActQueue, s.actDueAt = true, o.now+ActRetryInterval
	o.actQueue.add(s)
	if o.mayAct() {
		o.propose(s)
	}
}

// unlink takes a session out of the ring that it is in, and out of a slot's queue.
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

// setIdle puts a session among the idle ones, or takes it out.
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

// continueSession goes on with a session after something of it ended.
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

// remove knows a session no more.
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

// refresh brings a session to what is agreed of it.
func (o *Owner) refresh(s *sessionEntry, r session.Record, ok bool) {
	mine := ok && r.Owner == o.name
	switch s.phase {
	case Gone:
		return
	case Claiming:
		switch {
		case !ok:
			s.epoch = r.Epoch
		case mine && r.Phase != session.HandedOver:
			o.stats.Claimed++
			o.startServing(s, r)
		case mine:
			o.startAdopting(s, r)
		default:
			o.loseSession(s, r.Owner)
		}
	case Ending:
		switch {
		case !ok:
			o.stats.Ended++
			o.loseSession(s, "")
		case !mine:
			o.loseSession(s, r.Owner)
		case r.Epoch != s.epoch:
			o.startSession(s, r, ok)
		}
	case Adopting:
		switch {
		case !mine:
			o.loseSession(s, r.Owner)
		case r.Phase != session.HandedOver && r.Epoch == s.epoch && !s.adoptProposed: // a process before did, and what it began is not known
			o.startSession(s, r, ok)
		case r.Phase != session.HandedOver && r.Epoch == s.epoch:
			o.stats.Adopted++
			s.completed.ShiftWindows(s.adoptProposedAt - r.Since)
			o.startServing(s, r)
		case r.Epoch != s.epoch:
			o.startSession(s, r, ok)
		}
	default:
		o.refreshOwned(s, r, mine)
	}
}

// refreshOwned is look at one that was this co-ordinator's when it was last looked at.
func (o *Owner) refreshOwned(s *sessionEntry, r session.Record, mine bool) {
	switch {
	case !mine:
		if s.phase == Frozen && r.Owner != "" {
			o.stats.Handed++
		}
		o.loseSession(s, r.Owner)
	case r.Epoch != s.epoch: // handed and back, or of another life
		o.abortRunning(s, OwnershipLost, "")
		o.startSession(s, r, true)
	case r.Phase == session.Pinned && s.phase != Active:
		o.stats.Resumed++
		o.serve(s)
	case r.Phase == session.Offered && s.phase == Active:
		o.quiesce(s, r)
	case r.Phase == session.Offered && s.fence != r.Fence: // that offer is over, and there is another
		s.fence = r.Fence
		if s.phase == Frozen && o.mayAct() {
			o.propose(s)
		}
	}
}

// startServing begins to serve a session that was claimed or adopted.
func (o *Owner) startServing(s *sessionEntry, r session.Record) {
	s.epoch, s.seq, s.lane, s.lastUsed = r.Epoch, r.Seq, r.Lane, o.now
	o.serve(s) // if it is offered, that is looked at next
}

// serve lets a session be served, at first or again.
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

// quiesce begins nothing more of a session that is offered.
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

// cancelNow lets what may be cancelled be so at once.
func (o *Owner) cancelNow(s *sessionEntry) {
	for q := s.openQueries.head; q != nil; q = q.next {
		if !q.detached && !q.responded && !q.answerAllowed {
			o.timers.schedule(q, o.now)
		}
	}
}

// loseSession ends what is here of a session that is another's now, or free.
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
	if owner == "" && waiting && o.mayAct() && !o.draining { // free again: claimed for those that wait
		r, ok := o.state.Get(s.id)
		o.abortRunning(s, reason, "")
		o.startSession(s, r, ok)
		return
	}
	o.abortRunning(s, reason, owner)
	o.rejectAllWaiting(s, reason, owner)
	o.continueSession(s)
}

// abortRunning gives its response to each that runs. None of them may have its answer any more.
func (o *Owner) abortRunning(s *sessionEntry, reason Reason, owner string) {
	for q := s.openQueries.head; q != nil; q = q.next {
		if !q.detached {
			o.abort(q, reason, owner)
		}
	}
}
