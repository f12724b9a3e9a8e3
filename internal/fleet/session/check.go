package session

import (
	"fmt"
	"time"
)

// Check returns an error for the first invariant that does not hold, with the evidence: S1 (one owner in an epoch, and epochs only
// grow), S2 (slots, checked by the pool) or S7 (every move ends, and moves stay within the limits).
func (s *State) Check() error {
	for _, check := range []func() error{s.checkOwners, s.checkEnds, s.pool.Check, s.checkMoves} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkOwners checks S1 for owned sessions: the owner is known, the end of the session is not remembered, and it has a move exactly
// if its phase is Offered or HandedOver.
func (s *State) checkOwners() error {
	owned, moving := make([]int, len(s.coordinators)), 0
	for id, l := range s.sessions { // in any order: one violation is enough
		if int(l.owner) >= len(s.coordinators) || l.epoch == 0 {
			return fmt.Errorf("S1: %s is %s in epoch %d without a known owner", id, l.phase, l.epoch)
		}
		if e, ok := s.ended[id]; ok {
			return fmt.Errorf("S1: %s is %s in epoch %d and ended in %d", id, l.phase, l.epoch, e.epoch)
		}
		owned[l.owner]++
		_, ok := s.moves[id]
		if ok != (l.phase == Offered || l.phase == HandedOver) || l.phase == Free || l.phase > HandedOver {
			return fmt.Errorf("S1: %s is %s, and has a move: %v", id, l.phase, ok)
		}
		if ok {
			moving++
		}
	}
	if moving != len(s.moves) {
		return fmt.Errorf("S1: %d moves exist, %d of their sessions are owned", len(s.moves), moving)
	}
	for i, n := range s.coordinators {
		if n.owned != owned[i] || s.indexByName[n.name] != uint16(i) || max(n.lastActAt, n.releasedAt, n.lastKnownAt) > s.now {
			return fmt.Errorf("S1: %s owns %d sessions, %d are counted, last known at %v, now %v", n.name, owned[i], n.owned, n.lastKnownAt, s.now)
		}
	}
	if len(s.indexByName) != len(s.coordinators) || len(s.coordinators) > MaxCoordinators || len(s.sessions) > MaxSessions {
		return fmt.Errorf("S1: %d co-ordinators by name, %d in the list, %d sessions", len(s.indexByName), len(s.coordinators), len(s.sessions))
	}
	return nil
}

// checkEnds checks S1 for remembered ends: they are in order of time, so that the oldest is dropped first, and its epoch goes into
// maxForgottenEpoch.
func (s *State) checkEnds() error {
	n, last := 0, time.Duration(0)
	for i, id := range s.endOrder {
		e, ok := s.ended[id]
		if !ok || e.position != s.firstPosition+uint64(i) {
			continue
		}
		if n++; e.at < last || e.at > s.now || e.at+EndRetention <= s.now || e.epoch == 0 {
			return fmt.Errorf("S1: %s ended in epoch %d at %v, after an end at %v, now %v", id, e.epoch, e.at, last, s.now)
		}
		last = e.at
	}
	if n != len(s.ended) || n > MaxEnds {
		return fmt.Errorf("S1: %d ends in order, %d by id", n, len(s.ended))
	}
	return nil
}

// checkMoves checks S7, and S1 for hand-overs: each was sent by the owner at that time, in the epoch of the offer, for this offer.
func (s *State) checkMoves() error {
	fences := make(map[uint64]ID, len(s.moves))
	current := 0
	for _, id := range sortedIDs(s.moves) {
		m, l := s.moves[id], s.sessions[id]
		owner := s.coordinators[l.owner].name
		if o, duplicate := fences[m.Fence]; duplicate || m.Fence == 0 || m.Fence > s.fence {
			return fmt.Errorf("S1: offer %d belongs to %s and to %s, the highest number is %d", m.Fence, o, id, s.fence)
		}
		fences[m.Fence] = id
		if m.Revision == s.limits.Revision {
			current++
		}
		if m.Until <= s.now || m.Until > s.now+MaxLimitDuration {
			return fmt.Errorf("S7: %s is %s to %s until %v, now %v", id, l.phase, m.To, m.Until, s.now)
		}
		if l.phase == Offered {
			switch {
			case owner != m.From || l.epoch != m.Epoch || m.Hand != nil || m.To == m.From:
				return fmt.Errorf("S1: %s of %s in epoch %d is offered by %s in %d to %s", id, owner, l.epoch, m.From, m.Epoch, m.To)
			}
			continue
		}
		switch h := m.Hand; {
		case h == nil:
			return fmt.Errorf("S1: %s is handed over to %s without evidence", id, owner)
		case h.By != m.From || h.Epoch != m.Epoch || h.Fence != m.Fence:
			return fmt.Errorf("S1: offer %d of %s by %s in epoch %d was handed over by %s in %d, for offer %d",
				m.Fence, id, m.From, m.Epoch, h.By, h.Epoch, h.Fence)
		case owner == m.To && l.epoch == m.Epoch+1 && (m.Source == m.From || m.Source == ""):
		case owner == m.From && l.epoch == m.Epoch+2 && m.Source == "":
		default:
			return fmt.Errorf("S7: %s of %s in epoch %d, with source %q, was handed over by %s in %d to %s",
				id, owner, l.epoch, m.Source, m.From, m.Epoch, m.To)
		}
		if len(m.State) > MaxStateBytes {
			return fmt.Errorf("S7: %s is handed over with %d bytes", id, len(m.State))
		}
	}
	if current > s.limits.InFlight {
		return fmt.Errorf("S7: %d are in flight by the limits of revision %d, which allow %d", current, s.limits.Revision, s.limits.InFlight)
	}
	if s.now > s.limitsAt+2*OfferWindow && s.RecentOffers() > s.limits.PerMinute {
		return fmt.Errorf("S7: %d were offered in a minute, %d are allowed", s.RecentOffers(), s.limits.PerMinute)
	}
	return nil
}
