package sessionowner

import "birchcart/internal/fleet/session"

func (o *Owner) emitAct(a session.Act) { o.out = append(o.out, Propose{a}) }

// propose emits the act that belongs to the session's phase.
func (o *Owner) propose(s *sessionEntry) {
	switch s.phase {
	case Claiming:
		if s.waitingQueries.head != nil && !o.draining || s.lastUsed == o.now {
			o.emitAct(session.Act{Kind: session.Claim, ID: s.id, Epoch: s.epoch, Lane: s.lane})
		}
	case Frozen:
		o.invariants.checkHandOver(s)
		o.emitAct(session.Act{Kind: session.HandOver, ID: s.id, Epoch: s.epoch, Fence: s.fence, Seq: s.seq, State: o.handOverState(s), Lane: s.lane})
	case Adopting:
		r, _ := o.state.Get(s.id)
		switch {
		case s.unreadable:
			o.emitAct(session.Act{Kind: session.Decline, ID: s.id, Epoch: s.epoch, Fence: r.Fence})
		case o.hasSlots:
			if !s.adoptProposed {
				s.adoptProposed, s.adoptProposedAt = true, o.now+r.Since
			}
			o.emitAct(session.Act{Kind: session.Adopt, ID: s.id, Epoch: s.epoch})
		case o.agreedSince(r.Since) >= AdoptTimeout:
			o.emitAct(session.Act{Kind: session.Decline, ID: s.id, Epoch: s.epoch, Fence: r.Fence})
		}
	case Ending:
		reason := "its co-ordinator began anew"
		if o.limits.IdleTimeout > 0 && o.now-s.lastUsed >= o.limits.IdleTimeout {
			reason = "idle"
		}
		o.emitAct(session.Act{Kind: session.End, ID: s.id, Epoch: s.epoch, Seq: s.seq, Reason: reason})
	}
}

// repeatActs proposes the acts that are due again.
func (o *Owner) repeatActs() {
	for n := 0; n < MaxActsPerStep && o.actQueue.head != nil && o.actQueue.head.actDueAt <= o.now; n++ {
		s := o.actQueue.head
		if s.phase == Claiming && s.waitingQueries.head == nil && (o.draining || o.now >= s.lastUsed+ClaimRetention) {
			o.loseSession(s, "")
			continue
		}
		o.actQueue.remove(s)
		s.actDueAt = o.now + ActRetryInterval
		o.actQueue.add(s)
		o.propose(s)
	}
	if o.offersDueAt > 0 && o.offersDueAt <= o.now {
		o.refreshHandOvers()
	}
}

// endIdleSessions ends the sessions that had no query for the idle limit.
func (o *Owner) endIdleSessions() {
	for n := 0; n < MaxActsPerStep && o.limits.IdleTimeout > 0; n++ {
		s := o.idle.head
		if s == nil || o.now-s.lastUsed < o.limits.IdleTimeout {
			return
		}
		o.enterPhase(s, Ending)
	}
}

// reconcile compares all sessions with the agreed state if their number differs from the number agreed to be here. It drops the
// sessions that are not agreed to be here, and ends those that are agreed but not known.
func (o *Owner) reconcile() {
	if o.sweepAt > o.now {
		return
	}
	o.sweepAt = o.now + SweepInterval
	o.trimSlots()
	if o.ownedSessions() == o.state.Owned(o.name) {
		return
	}
	s := o.idle.head
	for n := o.idle.n; n > 0; n-- {
		next := s.next
		r, ok := o.state.Get(s.id)
		o.refresh(s, r, ok)
		s = next
	}
	for _, q := range o.byArrival() {
		if s := q.session; s != nil { // nil if an earlier refresh has answered and removed the query
			r, ok := o.state.Get(s.id)
			o.refresh(s, r, ok)
		}
	}
	n := 0
	o.state.ByOwner(o.name, func(r session.Record) bool {
		s := o.sessions[r.ID]
		if s != nil && s.phase != Gone {
			return true
		}
		if n++; n > MaxActsPerStep || s == nil && len(o.sessions) >= o.options.MaxSessions {
			o.sweepAt = o.now + ActRetryInterval
			return false
		}
		if s == nil {
			s = o.newSession(r.ID)
		}
		o.startSession(s, r, true)
		return true
	})
}
