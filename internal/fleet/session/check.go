package session

import (
	"fmt"
	"time"
)

// Check names the first of S1 (one owner in an epoch, epochs that only grow), S2 (slots, by the pool) and S7 (moves have an
// end and stay within the limits) that does not hold, with the evidence.
func (s *State) Check() error {
	for _, check := range []func() error{s.checkOwners, s.checkEnds, s.pool.Check, s.checkMoves} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkOwners is S1 for what is owned: an owner that is known, an epoch past what it ended in, a flight if it moves.
func (s *State) checkOwners() error {
	owned, moving := make([]int, len(s.coordinators)), 0
	for id, l := range s.sessions { // in any order: the first fault found is as good as another
		if int(l.owner) >= len(s.coordinators) || l.epoch == 0 {
			return fmt.Errorf("S1: %s is %s in epoch %d of no one known", id, l.phase, l.epoch)
		}
		if e, ok := s.ended[id]; ok {
			return fmt.Errorf("S1: %s is %s in epoch %d and ended in %d", id, l.phase, l.epoch, e.epoch)
		}
		owned[l.owner]++
		_, ok := s.moves[id]
		if ok != (l.phase == Offered || l.phase == HandedOver) || l.phase == Free || l.phase > HandedOver {
			return fmt.Errorf("S1: %s is %s, and %v that it moves", id, l.phase, ok)
		}
		if ok {
			moving++
		}
	}
	if moving != len(s.moves) {
		return fmt.Errorf("S1: %d sessions move, %d are owned of them", len(s.moves), moving)
	}
	for i, n := range s.coordinators {
		if n.owned != owned[i] || s.indexByName[n.name] != uint16(i) || max(n.lastActAt, n.releasedAt, n.lastKnownAt) > s.now {
			return fmt.Errorf("S1: %s owns %d, %d are counted, known at %v, now %v", n.name, owned[i], n.owned, n.lastKnownAt, s.now)
		}
	}
	if len(s.indexByName) != len(s.coordinators) || len(s.coordinators) > MaxCoordinators || len(s.sessions) > MaxSessions {
		return fmt.Errorf("S1: %d co-ordinators by name, %d in order, %d sessions", len(s.indexByName), len(s.coordinators), len(s.sessions))
	}
	return nil
}

// checkEnds is S1 for what ended: kept in order, so that an epoch is forgotten only into the one that counts for all.
func (s *State) checkEnds() error {
	n, last := 0, time.Duration(0)
	for i, id := range s.endOrder {
		e, ok := s.ended[id]
		if !ok || e.position != s.firstPosition+uint64(i) {
			continue
		}
		if n++; e.at < last || e.at > s.now || e.at+EndRetention <= s.now || e.epoch == 0 {
			return fmt.Errorf("S1: %s ended in epoch %d at %v, after one at %v, now %v", id, e.epoch, e.at, last, s.now)
		}
		last = e.at
	}
	if n != len(s.ended) || n > MaxEnds {
		return fmt.Errorf("S1: %d ends in order, %d by id", n, len(s.ended))
	}
	return nil
}

// checkMoves is S7, and S1 for a hand: it is the word of who owned it, in its epoch, for this offer.
func (s *State) checkMoves() error {
	fences := make(map[uint64]ID, len(s.moves))
	current := 0
	for _, id := range sortedIDs(s.moves) {
		m, l := s.moves[id], s.sessions[id]
		owner := s.coordinators[l.owner].name
		if o, duplicate := fences[m.Fence]; duplicate || m.Fence == 0 || m.Fence > s.fence {
			return fmt.Errorf("S1: offer %d is of %s and of %s, the highest is %d", m.Fence, o, id, s.fence)
		}
		fences[m.Fence] = id
		if m.Revision == s.limits.Revision {
			current++
		}
		if m.Until <= s.now || m.Until > s.now+MaxLimitDuration {
			return fmt.Errorf("S7: %s is %s to %s until %v, it is %v", id, l.phase, m.To, m.Until, s.now)
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
			return fmt.Errorf("S1: %s is handed to %s by no one's word", id, owner)
		case h.By != m.From || h.Epoch != m.Epoch || h.Fence != m.Fence:
			return fmt.Errorf("S1: offer %d of %s by %s in epoch %d was handed by %s in %d, for offer %d",
				m.Fence, id, m.From, m.Epoch, h.By, h.Epoch, h.Fence)
		case owner == m.To && l.epoch == m.Epoch+1 && (m.Source == m.From || m.Source == ""):
		case owner == m.From && l.epoch == m.Epoch+2 && m.Source == "":
		default:
			return fmt.Errorf("S7: %s of %s in epoch %d, back to %q, was handed by %s in %d to %s",
				id, owner, l.epoch, m.Source, m.From, m.Epoch, m.To)
		}
		if len(m.State) > MaxStateBytes {
			return fmt.Errorf("S7: %s is handed with %d bytes", id, len(m.State))
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
