package sessionowner

import (
	"time"

	"birchcart/internal/fleet/session"
)

// handleApplied takes over a new agreed state and refreshes the sessions that wait for a change of it or are being handed over.
func (o *Owner) handleApplied(a Applied) {
	if o.state != nil && (a.LogEpoch < o.logEpoch || a.LogEpoch == o.logEpoch && a.Index < o.index) {
		return
	}
	if o.state == nil || a.AgreedTime > o.agreedTime {
		o.agreedTime, o.agreedAt = a.AgreedTime, o.now
	}
	o.state, o.index, o.logEpoch = a.State, a.Index, a.LogEpoch
	o.limits, _ = a.State.Limits()
	s := o.actQueue.head
	for n := o.actQueue.n; n > 0 && s != nil; n-- {
		next := s.next
		r, ok := o.state.Get(s.id)
		o.refresh(s, r, ok)
		s = next
	}
	o.refreshHandOvers()
	o.refreshSlots()
	if !o.active && o.mayAct() {
		o.active, o.sweepAt = true, o.now
	}
}

// refreshHandOvers refreshes the sessions that are offered or handed, by this co-ordinator and to it.
func (o *Owner) refreshHandOvers() {
	o.offersDueAt = 0
	old := o.pendingOffers
	o.pendingOffers = nil
	o.state.Moves(func(r session.Record) bool {
		s := o.sessions[r.ID]
		here := r.Owner == o.name
		switch {
		case here && s != nil && s.phase != Gone:
			if !s.inActQueue { // sessions in actQueue have been refreshed already
				o.refresh(s, r, true)
			}
			return true
		case here && s == nil && len(o.sessions) >= o.options.MaxSessions:
			if r.Phase != session.HandedOver {
				return true
			}
		case here && (r.Phase == session.HandedOver || o.mayAct()):
			if s == nil {
				s = o.newSession(r.ID)
			}
			o.startSession(s, r, true)
			return true
		case here || r.Phase != session.Offered || r.To != o.name:
			return true
		}
		o.declineForCapacity(r, old)
		return true
	})
}

// declineForCapacity declines a session that is offered or handed to this co-ordinator if there is no capacity for it.
func (o *Owner) declineForCapacity(r session.Record, old []pendingProposal) {
	due := pendingProposal{fence: r.Fence, dueAt: o.now}
	for _, p := range old {
		if p.fence == r.Fence {
			due.dueAt = p.dueAt
		}
	}
	full := len(o.sessions) >= o.options.MaxSessions || o.draining || !o.hasSlots && o.agreedSince(r.Since) >= AdoptTimeout
	if full && o.mayAct() && due.dueAt <= o.now {
		due.dueAt = o.now + ActRetryInterval
		o.emitAct(session.Act{Kind: session.Decline, ID: r.ID, Epoch: r.Epoch, Fence: r.Fence})
	}
	o.pendingOffers = append(o.pendingOffers, due)
	o.offersDueAt = o.now + ActRetryInterval
}

// agreedSince returns how much agreed time has passed since at, as far as this co-ordinator knows.
func (o *Owner) agreedSince(at time.Duration) time.Duration {
	return o.agreedTime + o.now - o.agreedAt - at
}
