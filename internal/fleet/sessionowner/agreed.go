package sessionowner

import (
	"time"

	"birchcart/internal/fleet/session"
)

// applied looks at all for which the agreed state is waited for, and at what moves.
func (k *Keeper) applied(a Applied) {
	if k.book != nil && (a.Era < k.era || a.Era == k.era && a.Index < k.index) {
		return
	}
	if k.book == nil || a.Agreed > k.agreed {
		k.agreed, k.agreedAt = a.Agreed, k.now
	}
	k.book, k.index, k.era = a.Book, a.Index, a.Era
	k.limits, _ = a.Book.Limits()
	s := k.acts.head
	for n := k.acts.n; n > 0 && s != nil; n-- {
		next := s.next
		r, ok := k.book.Get(s.id)
		k.look(s, r, ok)
		s = next
	}
	k.flights()
	k.shifted()
	if !k.acting && k.ready() {
		k.acting, k.sweep = true, k.now
	}
}

// flights looks at the sessions that are offered or handed, from here and to here.
func (k *Keeper) flights() {
	k.lookAt = 0
	old := k.offers
	k.offers = nil
	k.book.Flights(func(r session.Record) bool {
		s := k.sessions[r.ID]
		here := r.Owner == k.name
		switch {
		case here && s != nil && s.phase != Gone:
			if !s.acts { // else it was just looked at
				k.look(s, r, true)
			}
			return true
		case here && s == nil && len(k.sessions) >= k.o.SessionsMost:
			if r.Phase != session.Handed {
				return true
			}
		case here && (r.Phase == session.Handed || k.ready()):
			if s == nil {
				s = k.newSession(r.ID)
			}
			k.found(s, r, true)
			return true
		case here || r.Phase != session.Offered || r.To != k.name:
			return true
		}
		k.noRoom(r, old)
		return true
	})
}

// noRoom declines what is offered to this co-ordinator, or handed, if it has no room for it.
func (k *Keeper) noRoom(r session.Record, old []paced) {
	due := paced{fence: r.Fence, at: k.now}
	for _, p := range old {
		if p.fence == r.Fence {
			due.at = p.at
		}
	}
	full := len(k.sessions) >= k.o.SessionsMost || k.leaving || !k.roomy && k.since(r.Since) >= AdoptWait
	if full && k.ready() && due.at <= k.now {
		due.at = k.now + ActAgain
		k.act(session.Act{Kind: session.Decline, ID: r.ID, Epoch: r.Epoch, Fence: r.Fence})
	}
	k.offers = append(k.offers, due)
	k.lookAt = k.now + ActAgain
}

// since is how long ago an agreed time was, as far as this co-ordinator knows.
func (k *Keeper) since(at time.Duration) time.Duration { return k.agreed + k.now - k.agreedAt - at }
