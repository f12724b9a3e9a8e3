package sessionowner

import "birchcart/internal/fleet/session"

func (k *Keeper) act(a session.Act) { k.out = append(k.out, Act{a}) }

// propose puts the act of a session's phase out.
func (k *Keeper) propose(s *sess) {
	switch s.phase {
	case Claiming:
		if s.wait.head != nil && !k.leaving || s.used == k.now {
			k.act(session.Act{Kind: session.Claim, ID: s.id, Epoch: s.epoch, Lane: s.lane})
		}
	case Frozen:
		k.seen.hands(s)
		k.act(session.Act{Kind: session.Hand, ID: s.id, Epoch: s.epoch, Fence: s.fence, Seq: s.seq, State: k.carries(s), Lane: s.lane})
	case Adopting:
		r, _ := k.book.Get(s.id)
		switch {
		case s.unread:
			k.act(session.Act{Kind: session.Decline, ID: s.id, Epoch: s.epoch, Fence: r.Fence})
		case k.roomy:
			if !s.adopts {
				s.adopts, s.handed = true, k.now+r.Since
			}
			k.act(session.Act{Kind: session.Adopt, ID: s.id, Epoch: s.epoch})
		case k.since(r.Since) >= AdoptWait:
			k.act(session.Act{Kind: session.Decline, ID: s.id, Epoch: s.epoch, Fence: r.Fence})
		}
	case Ending:
		why := "its co-ordinator began anew"
		if k.limits.IdleFor > 0 && k.now-s.used >= k.limits.IdleFor {
			why = "idle"
		}
		k.act(session.Act{Kind: session.End, ID: s.id, Epoch: s.epoch, Seq: s.seq, Why: why})
	}
}

// repeat proposes again what is due.
func (k *Keeper) repeat() {
	for n := 0; n < ActsMost && k.acts.head != nil && k.acts.head.again <= k.now; n++ {
		s := k.acts.head
		if s.phase == Claiming && s.wait.head == nil && (k.leaving || k.now >= s.used+ClaimKeep) {
			k.lose(s, "")
			continue
		}
		k.acts.drop(s)
		s.again = k.now + ActAgain
		k.acts.add(s)
		k.propose(s)
	}
	if k.lookAt > 0 && k.lookAt <= k.now {
		k.flights()
	}
}

// endIdle ends the sessions that had no query for long.
func (k *Keeper) endIdle() {
	for n := 0; n < ActsMost && k.limits.IdleFor > 0; n++ {
		s := k.idle.head
		if s == nil || k.now-s.used < k.limits.IdleFor {
			return
		}
		k.enter(s, Ending)
	}
}

// adrift looks at all, if as many sessions are not known as are agreed to be here: it forgets those that are not, and ends
// those that nobody here knows.
func (k *Keeper) adrift() {
	if k.sweep > k.now {
		return
	}
	k.sweep = k.now + SweepEvery
	k.trim()
	if k.owned() == k.book.Owned(k.name) {
		return
	}
	s := k.idle.head
	for n := k.idle.n; n > 0; n-- {
		next := s.next
		r, ok := k.book.Get(s.id)
		k.look(s, r, ok)
		s = next
	}
	for _, q := range k.byArrival() {
		if s := q.s; s != nil { // else a look before told it
			r, ok := k.book.Get(s.id)
			k.look(s, r, ok)
		}
	}
	n := 0
	k.book.ByOwner(k.name, func(r session.Record) bool {
		s := k.sessions[r.ID]
		if s != nil && s.phase != Gone {
			return true
		}
		if n++; n > ActsMost || s == nil && len(k.sessions) >= k.o.SessionsMost {
			k.sweep = k.now + ActAgain
			return false
		}
		if s == nil {
			s = k.newSession(r.ID)
		}
		k.found(s, r, true)
		return true
	})
}
