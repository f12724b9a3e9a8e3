package sessionowner

import "birchcart/internal/fleet/session"

// newSession makes a session known.
func (k *Keeper) newSession(id session.ID) *sess {
	var s *sess
	if n := len(k.freeSessions); n > 0 {
		s, k.freeSessions = k.freeSessions[n-1], k.freeSessions[:n-1]
	} else {
		s = new(sess)
	}
	*s = sess{id: id, phase: Gone, used: k.now, ran: s.ran[:0]}
	k.sessions[id] = s
	k.phases[Gone]++
	return s
}

// to counts the phases.
func (k *Keeper) to(s *sess, p Phase) {
	k.phases[s.phase]--
	k.phases[p]++
	s.phase = p
}

// owned is how many sessions are here, as this co-ordinator knows.
func (k *Keeper) owned() int {
	return k.phases[Pinned] + k.phases[Quiescing] + k.phases[Frozen] + k.phases[Adopting] + k.phases[Ending]
}

// found starts a session that is Gone by what is agreed of it: free, or here.
func (k *Keeper) found(s *sess, r session.Record, ok bool) {
	s.epoch, s.used = r.Epoch, k.now
	switch {
	case !ok:
		s.ran = s.ran[:0]
		k.enter(s, Claiming)
	case r.Phase == session.Handed:
		k.handedHere(s, r)
	default: // of a process before, or of a claim given up: what it began is not known here
		k.enter(s, Ending)
	}
}

// handedHere takes over what a hand carried.
func (k *Keeper) handedHere(s *sess, r session.Record) {
	s.epoch, s.adopts = r.Epoch, false
	k.carried(s, r)
	if r.Source == "" {
		k.sums.RolledBack++
	}
	k.enter(s, Adopting)
}

// enter brings a session into a phase in which something is proposed or waited for.
func (k *Keeper) enter(s *sess, p Phase) {
	k.loose(s)
	k.to(s, p)
	s.acts, s.again = true, k.now+ActAgain
	k.acts.add(s)
	if k.ready() {
		k.propose(s)
	}
}

// loose takes a session out of the ring that it is in, and out of a slot's queue.
func (k *Keeper) loose(s *sess) {
	k.rest(s, false)
	if s.acts {
		k.acts.drop(s)
		s.acts = false
	}
	if s.at != nil {
		s.at.unblock(s)
	}
}

// rest puts a session among the idle ones, or takes it out.
func (k *Keeper) rest(s *sess, idle bool) {
	if s.idle == idle {
		return
	}
	s.idle = idle
	if idle {
		k.idle.add(s)
		return
	}
	k.idle.drop(s)
}

// settle goes on with a session after something of it ended.
func (k *Keeper) settle(s *sess) {
	switch s.phase {
	case Pinned:
		k.pump(s, nil)
		if s.phase == Pinned && s.wait.head == nil && s.runs == 0 {
			k.rest(s, true)
		}
	case Quiescing:
		if s.runs == 0 {
			k.sums.Frozen++
			k.enter(s, Frozen)
		}
	case Gone:
		if s.wait.head == nil && s.open.head == nil {
			k.drop(s)
		}
	}
}

// drop knows a session no more.
func (k *Keeper) drop(s *sess) {
	k.loose(s)
	delete(k.sessions, s.id)
	k.phases[s.phase]--
	if s.counted {
		k.count(s.client, -1, 0)
	}
	if len(k.freeSessions) < freeMost {
		k.freeSessions = append(k.freeSessions, s)
	}
}

// look brings a session to what is agreed of it.
func (k *Keeper) look(s *sess, r session.Record, ok bool) {
	mine := ok && r.Owner == k.name
	switch s.phase {
	case Gone:
		return
	case Claiming:
		switch {
		case !ok:
			s.epoch = r.Epoch
		case mine && r.Phase != session.Handed:
			k.sums.Claimed++
			k.pin(s, r)
		case mine:
			k.handedHere(s, r)
		default:
			k.lose(s, r.Owner)
		}
	case Ending:
		switch {
		case !ok:
			k.sums.Ended++
			k.lose(s, "")
		case !mine:
			k.lose(s, r.Owner)
		case r.Epoch != s.epoch:
			k.found(s, r, ok)
		}
	case Adopting:
		switch {
		case !mine:
			k.lose(s, r.Owner)
		case r.Phase != session.Handed && r.Epoch == s.epoch && !s.adopts: // a process before did, and what it began is not known
			k.found(s, r, ok)
		case r.Phase != session.Handed && r.Epoch == s.epoch:
			k.sums.Adopted++
			s.ran.Shift(s.handed - r.Since)
			k.pin(s, r)
		case r.Epoch != s.epoch:
			k.found(s, r, ok)
		}
	default:
		k.lookOwned(s, r, mine)
	}
}

// lookOwned is look at one that was this co-ordinator's when it was last looked at.
func (k *Keeper) lookOwned(s *sess, r session.Record, mine bool) {
	switch {
	case !mine:
		if s.phase == Frozen && r.Owner != "" {
			k.sums.Handed++
		}
		k.lose(s, r.Owner)
	case r.Epoch != s.epoch: // handed and back, or of another life
		k.tellAll(s, Lost, "")
		k.found(s, r, true)
	case r.Phase == session.Pinned && s.phase != Pinned:
		k.sums.Thawed++
		k.pinned(s)
	case r.Phase == session.Offered && s.phase == Pinned:
		k.quiesce(s, r)
	case r.Phase == session.Offered && s.fence != r.Fence: // that offer is over, and there is another
		s.fence = r.Fence
		if s.phase == Frozen && k.ready() {
			k.propose(s)
		}
	}
}

// pin begins to serve a session that was claimed or adopted.
func (k *Keeper) pin(s *sess, r session.Record) {
	s.epoch, s.seq, s.lane, s.used = r.Epoch, r.Seq, r.Lane, k.now
	k.pinned(s) // if it is offered, that is looked at next
}

// pinned lets a session be served, at first or again.
func (k *Keeper) pinned(s *sess) {
	k.loose(s)
	k.to(s, Pinned)
	for q := s.open.head; q != nil; q = q.next {
		if !q.over && !q.strays {
			k.timers.set(q, q.due)
		}
	}
	k.settle(s)
}

// quiesce begins nothing more of a session that is offered.
func (k *Keeper) quiesce(s *sess, r session.Record) {
	k.sums.Offered++
	s.fence = r.Fence
	k.enter(s, Quiescing)
	at := k.now + RecallAfter
	for q := s.open.head; q != nil; q = q.next {
		if !q.over && !q.told && !q.allowed {
			k.timers.set(q, min(q.due, at))
		}
	}
	if k.leaving {
		k.hurry(s)
	}
	if s.phase == Quiescing {
		k.settle(s)
	}
}

// hurry lets what may be recalled be so at once.
func (k *Keeper) hurry(s *sess) {
	for q := s.open.head; q != nil; q = q.next {
		if !q.over && !q.told && !q.allowed {
			k.timers.set(q, k.now)
		}
	}
}

// lose ends what is here of a session that is another's now, or free.
func (k *Keeper) lose(s *sess, owner string) {
	if s.phase != Claiming && s.phase != Ending {
		k.sums.Lost++
	}
	k.loose(s)
	k.to(s, Gone)
	why := Lost
	if owner != "" {
		why = Elsewhere
	}
	waiting := s.wait.head != nil
	if owner == "" && waiting && k.ready() && !k.leaving { // free again: claimed for those that wait
		r, ok := k.book.Get(s.id)
		k.tellAll(s, why, "")
		k.found(s, r, ok)
		return
	}
	k.tellAll(s, why, owner)
	k.refuseAll(s, why, owner)
	k.settle(s)
}

// tellAll gives its word to each that runs. None of them may have its answer any more.
func (k *Keeper) tellAll(s *sess, why Reason, owner string) {
	for q := s.open.head; q != nil; q = q.next {
		if !q.over {
			k.tell(q, why, owner)
		}
	}
}
