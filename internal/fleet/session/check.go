package session

import (
	"fmt"
	"time"
)

// Check names the first of S1 (one owner in an epoch, epochs that only grow), S2 (slots, by the pool) and S7 (moves have an
// end and stay within the limits) that does not hold, with the evidence.
func (b *State) Check() error {
	for _, check := range []func() error{b.checkOwners, b.checkEnds, b.pool.Check, b.checkMoves} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkOwners is S1 for what is owned: an owner that is known, an epoch past what it ended in, a flight if it moves.
func (b *State) checkOwners() error {
	owned, moving := make([]int, len(b.coordinators)), 0
	for id, l := range b.sessions { // in any order: the first fault found is as good as another
		if int(l.owner) >= len(b.coordinators) || l.epoch == 0 {
			return fmt.Errorf("S1: %s is %s in epoch %d of no one known", id, l.phase, l.epoch)
		}
		if e, ok := b.ended[id]; ok {
			return fmt.Errorf("S1: %s is %s in epoch %d and ended in %d", id, l.phase, l.epoch, e.epoch)
		}
		owned[l.owner]++
		_, ok := b.moves[id]
		if ok != (l.phase == Offered || l.phase == HandedOver) || l.phase == Free || l.phase > HandedOver {
			return fmt.Errorf("S1: %s is %s, and %v that it moves", id, l.phase, ok)
		}
		if ok {
			moving++
		}
	}
	if moving != len(b.moves) {
		return fmt.Errorf("S1: %d sessions move, %d are owned of them", len(b.moves), moving)
	}
	for i, n := range b.coordinators {
		if n.owned != owned[i] || b.indexByName[n.name] != uint16(i) || max(n.lastActAt, n.releasedAt, n.lastKnownAt) > b.now {
			return fmt.Errorf("S1: %s owns %d, %d are counted, known at %v, now %v", n.name, owned[i], n.owned, n.lastKnownAt, b.now)
		}
	}
	if len(b.indexByName) != len(b.coordinators) || len(b.coordinators) > MaxCoordinators || len(b.sessions) > MaxSessions {
		return fmt.Errorf("S1: %d co-ordinators by name, %d in order, %d sessions", len(b.indexByName), len(b.coordinators), len(b.sessions))
	}
	return nil
}

// checkEnds is S1 for what ended: kept in order, so that an epoch is forgotten only into the one that counts for all.
func (b *State) checkEnds() error {
	n, last := 0, time.Duration(0)
	for i, id := range b.endOrder {
		e, ok := b.ended[id]
		if !ok || e.position != b.firstPosition+uint64(i) {
			continue
		}
		if n++; e.at < last || e.at > b.now || e.at+EndRetention <= b.now || e.epoch == 0 {
			return fmt.Errorf("S1: %s ended in epoch %d at %v, after one at %v, now %v", id, e.epoch, e.at, last, b.now)
		}
		last = e.at
	}
	if n != len(b.ended) || n > MaxEnds {
		return fmt.Errorf("S1: %d ends in order, %d by id", n, len(b.ended))
	}
	return nil
}

// checkMoves is S7, and S1 for a hand: it is the word of who owned it, in its epoch, for this offer.
func (b *State) checkMoves() error {
	fences := make(map[uint64]ID, len(b.moves))
	current := 0
	for _, id := range sortedIDs(b.moves) {
		f, l := b.moves[id], b.sessions[id]
		owner := b.coordinators[l.owner].name
		if o, twice := fences[f.Fence]; twice || f.Fence == 0 || f.Fence > b.fence {
			return fmt.Errorf("S1: offer %d is of %s and of %s, the highest is %d", f.Fence, o, id, b.fence)
		}
		fences[f.Fence] = id
		if f.Revision == b.limits.Revision {
			current++
		}
		if f.Until <= b.now || f.Until > b.now+MaxLimitDuration {
			return fmt.Errorf("S7: %s is %s to %s until %v, it is %v", id, l.phase, f.To, f.Until, b.now)
		}
		if l.phase == Offered {
			switch {
			case owner != f.From || l.epoch != f.Epoch || f.Hand != nil || f.To == f.From:
				return fmt.Errorf("S1: %s of %s in epoch %d is offered by %s in %d to %s", id, owner, l.epoch, f.From, f.Epoch, f.To)
			}
			continue
		}
		switch h := f.Hand; {
		case h == nil:
			return fmt.Errorf("S1: %s is handed to %s by no one's word", id, owner)
		case h.By != f.From || h.Epoch != f.Epoch || h.Fence != f.Fence:
			return fmt.Errorf("S1: offer %d of %s by %s in epoch %d was handed by %s in %d, for offer %d",
				f.Fence, id, f.From, f.Epoch, h.By, h.Epoch, h.Fence)
		case owner == f.To && l.epoch == f.Epoch+1 && (f.Source == f.From || f.Source == ""):
		case owner == f.From && l.epoch == f.Epoch+2 && f.Source == "":
		default:
			return fmt.Errorf("S7: %s of %s in epoch %d, back to %q, was handed by %s in %d to %s",
				id, owner, l.epoch, f.Source, f.From, f.Epoch, f.To)
		}
		if len(f.State) > MaxStateBytes {
			return fmt.Errorf("S7: %s is handed with %d bytes", id, len(f.State))
		}
	}
	if current > b.limits.InFlight {
		return fmt.Errorf("S7: %d are in flight by the limits of revision %d, which allow %d", current, b.limits.Revision, b.limits.InFlight)
	}
	if b.now > b.limitsAt+2*OfferWindow && b.RecentOffers() > b.limits.PerMinute {
		return fmt.Errorf("S7: %d were offered in a minute, %d are allowed", b.RecentOffers(), b.limits.PerMinute)
	}
	return nil
}
