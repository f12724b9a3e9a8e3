package session

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"birchcart/internal/fleet/pool"
)

func (o Offer) String() string {
	return fmt.Sprintf("offer %s of epoch %d to %.20q", o.ID, o.Epoch, o.To)
}

func (w Withdrawal) String() string { return fmt.Sprintf("withdraw %s, offer %d", w.ID, w.Fence) }

func (s Shift) String() string {
	return fmt.Sprintf("shift of %d at %.20q from %.20q to %.20q", s.N, s.Replica, s.From, s.To)
}

type cancelledTransfer uint64

func (n cancelledTransfer) String() string { return fmt.Sprintf("call off transfer %d", uint64(n)) }

// applyPlan checks each part against the current state, since the leader planned with a copy that may be behind.
func (s *State) applyPlan(p PlanBody, fence func() uint64) error {
	if n := len(p.Offers) + len(p.Withdrawals) + len(p.Shifts) + len(p.CancelledTransfers); n > MaxActs {
		return fmt.Errorf("session: the plan has %d parts, %d are allowed", n, MaxActs)
	}
	done := 0
	for _, w := range p.Withdrawals {
		if s.countResult(w, s.withdraw(w)) {
			done++
		}
	}
	for _, n := range p.CancelledTransfers {
		if s.countResult(cancelledTransfer(n), s.pool.Cancel(n)) {
			done++
		}
	}
	for _, shift := range p.Shifts {
		if s.countResult(shift, s.shift(shift, fence)) {
			done++
		}
	}
	for _, o := range p.Offers {
		if s.countResult(o, s.offer(o, fence)) {
			done++
		}
	}
	return s.commandResult(done)
}

func (s *State) withdraw(w Withdrawal) error {
	l, ok := s.sessions[w.ID]
	switch {
	case !ok:
		return errors.New("the session is free")
	case l.epoch != w.Epoch || l.phase != Offered:
		return fmt.Errorf("the session is %s in epoch %d", l.phase, l.epoch)
	case s.moves[w.ID].Fence != w.Fence:
		return fmt.Errorf("the current offer has number %d", s.moves[w.ID].Fence)
	}
	s.pin(w.ID, l)
	return nil
}

func (s *State) shift(shift Shift, fence func() uint64) error {
	if s.now < s.blockedUntil {
		return fmt.Errorf("no slots are assigned before %v in a new era, the agreed time is %v", s.blockedUntil, s.now)
	}
	if shift.From == "" && shift.Until == 0 {
		return s.pool.Allocate(shift.To, shift.Replica, shift.N)
	}
	n, err := fence(), error(nil)
	if shift.Until != 0 {
		err = s.pool.Lend(n, shift.From, shift.To, shift.Replica, shift.N, shift.Until)
	} else {
		err = s.pool.Move(n, shift.From, shift.To, shift.Replica, shift.N)
	}
	if err == nil {
		s.fence = max(s.fence, n)
	}
	return err
}

func (s *State) offer(o Offer, fence func() uint64) error {
	l, ok := s.sessions[o.ID]
	if !ok {
		return errors.New("the session is free")
	}
	if o.Until == 0 {
		o.Until = s.now + s.limits.StepTimeout
	}
	switch owner := s.coordinators[l.owner].name; {
	case l.epoch != o.Epoch || l.phase != Pinned || owner != o.From:
		return fmt.Errorf("the session is %s, owned by %q, in epoch %d", l.phase, owner, l.epoch)
	case o.To == "" || len(o.To) > MaxNameBytes || o.To == o.From:
		return fmt.Errorf("invalid offer from %q to %.20q", o.From, o.To)
	case o.Until <= s.now || o.Until > s.now+s.limits.StepTimeout:
		return fmt.Errorf("the offer ends at %v, the agreed time is %v, and it may last %v at most", o.Until, s.now, s.limits.StepTimeout)
	case len(s.moves) >= s.limits.InFlight:
		return fmt.Errorf("%d sessions are in flight, %d are allowed", len(s.moves), s.limits.InFlight)
	case s.RecentOffers() >= s.limits.PerMinute:
		return fmt.Errorf("%d sessions were offered in the last minute, %d are allowed", s.RecentOffers(), s.limits.PerMinute)
	}
	n := fence()
	s.fence = max(s.fence, n)
	s.moves[o.ID] = move{From: o.From, To: o.To, Epoch: l.epoch, Fence: n, Until: o.Until, Revision: s.limits.Revision}
	s.nextExpiry = min(s.nextExpiry, o.Until)
	l.phase, l.since = Offered, s.now
	s.sessions[o.ID] = l
	at := s.now - s.now%time.Second
	if k := len(s.offerCounts); k == 0 || s.offerCounts[k-1].At != at {
		s.offerCounts = append(s.offerCounts, offerCount{At: at})
	}
	s.offerCounts[len(s.offerCounts)-1].N++
	return nil
}

// SilentFor returns how long a co-ordinator has to be silent before it may be released: its lease, the grace and 1 % of both for
// the difference between clocks.
func (l Limits) SilentFor() time.Duration { return l.Lease + l.Grace + (l.Lease+l.Grace)/100 }

func (s *State) applyRelease(r ReleaseBody) error {
	if r.At == 0 {
		r.At = s.now
	}
	need := s.limits.SilentFor()
	switch {
	case s.limits.Revision == 0:
		return errors.New("session: release without limits in force")
	case r.At < 0 || r.At > s.now || r.Silent < need:
		return fmt.Errorf("session: release of %s, silent for %v at %v: the agreed time is %v, and a silence of %v is needed",
			r.Name, r.Silent, r.At, s.now, need)
	}
	if i, ok := s.indexByName[r.Name]; ok && !s.expired(int(i)) {
		switch n := s.coordinators[i]; {
		case n.releasedAt > 0 && r.At <= n.releasedAt:
			return fmt.Errorf("session: release of %s, silent at %v: it was released at %v", r.Name, r.At, n.releasedAt)
		case n.lastActAt > 0 && n.lastActAt > r.At-need:
			return fmt.Errorf("session: release of %s, silent for %v at %v: it acted at %v", r.Name, r.Silent, r.At, n.lastActAt)
		}
	}
	i, err := s.coordinatorIndex(r.Name)
	if err != nil {
		return fmt.Errorf("session: release of %.20q: %w", r.Name, err)
	}
	s.coordinators[i].releasedAt, s.coordinators[i].lastKnownAt = s.now, s.now
	s.releaseOwned(r.Name, "its co-ordinator was silent")
	return nil
}

// releaseOwned frees the slots and sessions of a co-ordinator that certainly does not act any more, and ends its part in the moves
// of other sessions.
func (s *State) releaseOwned(co, reason string) {
	s.pool.RemoveCoordinator(co)
	for _, id := range sortedIDs(s.moves) {
		m, l := s.moves[id], s.sessions[id]
		switch {
		case l.phase == Offered && m.To == co:
			s.pin(id, l)
		case l.phase == HandedOver && m.Source == co:
			m.Source = ""
			s.moves[id] = m
		case l.phase == HandedOver && s.coordinators[l.owner].name == co:
			s.returnToSource(id, l, reason)
		}
	}
	var all []ID
	s.ByOwner(co, func(r Record) bool {
		all = append(all, r.ID)
		return true
	})
	for _, id := range all {
		s.end(id, s.sessions[id], reason)
	}
}

func (s *State) applyLimits(c LimitsBody) error {
	l := c.Limits
	if err := l.validate(); err != nil {
		return err
	}
	if l.Revision <= s.limits.Revision {
		if l.Revision == s.limits.Revision && l.equal(s.limits) {
			return nil
		}
		return fmt.Errorf("session: limits of revision %d, %d is in force", l.Revision, s.limits.Revision)
	}
	before := s.pool.Clone()
	for _, replica := range s.pool.Replicas() {
		if _, ok := l.Caps[replica]; !ok {
			_ = s.pool.SetCap(replica, 0) // cannot fail: the replica has an entry, and 0 slots are allowed
		}
	}
	for _, replica := range slices.Sorted(maps.Keys(l.Caps)) {
		if err := s.pool.SetCap(replica, l.Caps[replica]); err != nil {
			*s.pool = *before
			return fmt.Errorf("session: limits: %w", err)
		}
	}
	s.limits, s.limitsAt = l, s.now
	return nil
}

// equal reports whether two sets of limits have the same values. An empty Caps equals a missing one.
func (l Limits) equal(o Limits) bool {
	caps := maps.Equal(l.Caps, o.Caps)
	l.Caps, o.Caps = nil, nil
	return caps && fmt.Sprint(l) == fmt.Sprint(o)
}

// validate returns an error that names the first limit out of its range.
func (l Limits) validate() error {
	for _, limit := range []struct {
		name        string
		n, from, to int
	}{
		{"revision", l.Revision, 1, 1 << 53},
		{"in_flight", l.InFlight, 0, MaxInFlight},
		{"per_minute", l.PerMinute, 0, MaxOffersPerMinute},
		{"sessions_most", l.MaxSessions, 0, MaxSessions},
		{"state_most", l.MaxStateBytes, 0, MaxStateBytes},
		{"slots", l.Slots, 1, pool.MaxSlots},
		{"caps", len(l.Caps), 0, pool.MaxReplicas},
	} {
		if limit.n < limit.from || limit.n > limit.to {
			return fmt.Errorf("session: limits: %s is %d, it must be between %d and %d", limit.name, limit.n, limit.from, limit.to)
		}
	}
	for _, limit := range []struct {
		name string
		d    time.Duration
	}{{"offer_for", l.StepTimeout}, {"idle_for", l.IdleTimeout}, {"lease", l.Lease}, {"grace", l.Grace}} {
		if limit.d <= 0 || limit.d > MaxLimitDuration {
			return fmt.Errorf("session: limits: %s is %v, it must be over 0 and at most %v", limit.name, limit.d, MaxLimitDuration)
		}
	}
	return nil
}

// Renew implements statemachine.Renewer. The copy from which the raft group is set up may be behind: sessions may have been handed
// over, ended or claimed since then, and slots moved. So all sessions and slots become free, with a gap between old and new epochs,
// and nothing is claimed, moved or assigned before until, when the leases of the previous era have ended.
func (s *State) Renew(until time.Duration) {
	const reason = "the raft group was set up anew"
	s.blockedUntil = max(s.blockedUntil, until)
	for _, l := range s.sessions {
		s.maxForgottenEpoch = max(s.maxForgottenEpoch, l.epoch)
	}
	for _, e := range s.ended {
		s.maxForgottenEpoch = max(s.maxForgottenEpoch, e.epoch)
	}
	s.maxForgottenEpoch += EpochGap
	for _, id := range sortedIDs(s.sessions) {
		s.end(id, s.sessions[id], reason)
	}
	for id, e := range s.ended {
		e.epoch = s.maxForgottenEpoch
		s.ended[id] = e
	}
	s.pool.Clear()
}
