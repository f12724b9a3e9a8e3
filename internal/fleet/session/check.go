package session

import (
	"fmt"
	"time"
)

// Check names the first of S1 (one owner in an epoch, epochs that only grow), S2 (slots, by the pool) and S7 (moves have an
// end and stay within the limits) that does not hold, with the evidence.
func (b *Book) Check() error {
	for _, check := range []func() error{b.checkOwners, b.checkEnds, b.pool.Check, b.checkFlights} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkOwners is S1 for what is owned: an owner that is known, an epoch past what it ended in, a flight if it moves.
func (b *Book) checkOwners() error {
	owned, moving := make([]int, len(b.names)), 0
	for id, l := range b.live { // in any order: the first fault found is as good as another
		if int(l.owner) >= len(b.names) || l.epoch == 0 {
			return fmt.Errorf("S1: %s is %s in epoch %d of no one known", id, l.phase, l.epoch)
		}
		if e, ok := b.ended[id]; ok {
			return fmt.Errorf("S1: %s is %s in epoch %d and ended in %d", id, l.phase, l.epoch, e.epoch)
		}
		owned[l.owner]++
		_, ok := b.flights[id]
		if ok != (l.phase == Offered || l.phase == Handed) || l.phase == Free || l.phase > Handed {
			return fmt.Errorf("S1: %s is %s, and %v that it moves", id, l.phase, ok)
		}
		if ok {
			moving++
		}
	}
	if moving != len(b.flights) {
		return fmt.Errorf("S1: %d sessions move, %d are owned of them", len(b.flights), moving)
	}
	for i, n := range b.names {
		if n.owned != owned[i] || b.byName[n.name] != uint16(i) || max(n.heard, n.released, n.known) > b.now {
			return fmt.Errorf("S1: %s owns %d, %d are counted, known at %v, now %v", n.name, owned[i], n.owned, n.known, b.now)
		}
	}
	if len(b.byName) != len(b.names) || len(b.names) > NamesMost || len(b.live) > SessionsMost {
		return fmt.Errorf("S1: %d co-ordinators by name, %d in order, %d sessions", len(b.byName), len(b.names), len(b.live))
	}
	return nil
}

// checkEnds is S1 for what ended: kept in order, so that an epoch is forgotten only into the one that counts for all.
func (b *Book) checkEnds() error {
	n, last := 0, time.Duration(0)
	for i, id := range b.ends {
		e, ok := b.ended[id]
		if !ok || e.n != b.first+uint64(i) {
			continue
		}
		if n++; e.at < last || e.at > b.now || e.at+Remember <= b.now || e.epoch == 0 {
			return fmt.Errorf("S1: %s ended in epoch %d at %v, after one at %v, now %v", id, e.epoch, e.at, last, b.now)
		}
		last = e.at
	}
	if n != len(b.ended) || n > EndedMost {
		return fmt.Errorf("S1: %d ends in order, %d by id", n, len(b.ended))
	}
	return nil
}

// checkFlights is S7, and S1 for a hand: it is the word of who owned it, in its epoch, for this offer.
func (b *Book) checkFlights() error {
	fences := make(map[uint64]ID, len(b.flights))
	current := 0
	for _, id := range sorted(b.flights) {
		f, l := b.flights[id], b.live[id]
		owner := b.names[l.owner].name
		if o, twice := fences[f.Fence]; twice || f.Fence == 0 || f.Fence > b.fence {
			return fmt.Errorf("S1: offer %d is of %s and of %s, the highest is %d", f.Fence, o, id, b.fence)
		}
		fences[f.Fence] = id
		if f.Revision == b.limits.Revision {
			current++
		}
		if f.Until <= b.now || f.Until > b.now+TimeMost {
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
		if len(f.State) > StateMost {
			return fmt.Errorf("S7: %s is handed with %d bytes", id, len(f.State))
		}
	}
	if current > b.limits.InFlight {
		return fmt.Errorf("S7: %d are in flight by the limits of revision %d, which allow %d", current, b.limits.Revision, b.limits.InFlight)
	}
	if b.now > b.limitsAt+2*Minute && b.Begun() > b.limits.PerMinute {
		return fmt.Errorf("S7: %d were offered in a minute, %d are allowed", b.Begun(), b.limits.PerMinute)
	}
	return nil
}
