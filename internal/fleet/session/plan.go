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

// applyPlan checks each part against the state as it is now, whatever the leader believed.
func (b *State) applyPlan(p PlanBody, fence func() uint64) error {
	if n := len(p.Offers) + len(p.Withdrawals) + len(p.Shifts) + len(p.CancelledTransfers); n > MaxActs {
		return fmt.Errorf("session: a plan of %d parts, %d are allowed", n, MaxActs)
	}
	done := 0
	for _, w := range p.Withdrawals {
		if b.countResult(w, b.withdraw(w)) {
			done++
		}
	}
	for _, n := range p.CancelledTransfers {
		if b.countResult(cancelledTransfer(n), b.pool.Cancel(n)) {
			done++
		}
	}
	for _, s := range p.Shifts {
		if b.countResult(s, b.shift(s, fence)) {
			done++
		}
	}
	for _, o := range p.Offers {
		if b.countResult(o, b.offer(o, fence)) {
			done++
		}
	}
	return b.commandResult(done)
}

func (b *State) withdraw(w Withdrawal) error {
	l, ok := b.sessions[w.ID]
	switch {
	case !ok:
		return errors.New("it is free")
	case l.epoch != w.Epoch || l.phase != Offered:
		return fmt.Errorf("it is %s in epoch %d", l.phase, l.epoch)
	case b.moves[w.ID].Fence != w.Fence:
		return fmt.Errorf("its offer is number %d", b.moves[w.ID].Fence)
	}
	b.pin(w.ID, l)
	return nil
}

func (b *State) shift(s Shift, fence func() uint64) error {
	if b.now < b.blockedUntil {
		return fmt.Errorf("the era is new, no slots are given before %v, it is %v", b.blockedUntil, b.now)
	}
	if s.From == "" && s.Until == 0 {
		return b.pool.Allocate(s.To, s.Replica, s.N)
	}
	n, err := fence(), error(nil)
	if s.Until != 0 {
		err = b.pool.Lend(n, s.From, s.To, s.Replica, s.N, s.Until)
	} else {
		err = b.pool.Move(n, s.From, s.To, s.Replica, s.N)
	}
	if err == nil {
		b.fence = max(b.fence, n)
	}
	return err
}

func (b *State) offer(o Offer, fence func() uint64) error {
	l, ok := b.sessions[o.ID]
	if !ok {
		return errors.New("it is free")
	}
	if o.Until == 0 {
		o.Until = b.now + b.limits.StepTimeout
	}
	switch owner := b.coordinators[l.owner].name; {
	case l.epoch != o.Epoch || l.phase != Pinned || owner != o.From:
		return fmt.Errorf("it is %s of %q in epoch %d", l.phase, owner, l.epoch)
	case o.To == "" || len(o.To) > MaxNameBytes || o.To == o.From:
		return fmt.Errorf("from %q to %.20q", o.From, o.To)
	case o.Until <= b.now || o.Until > b.now+b.limits.StepTimeout:
		return fmt.Errorf("until %v, it is %v and %v is the most", o.Until, b.now, b.limits.StepTimeout)
	case len(b.moves) >= b.limits.InFlight:
		return fmt.Errorf("%d are in flight, %d are allowed", len(b.moves), b.limits.InFlight)
	case b.RecentOffers() >= b.limits.PerMinute:
		return fmt.Errorf("%d were offered in the last minute, %d are allowed", b.RecentOffers(), b.limits.PerMinute)
	}
	n := fence()
	b.fence = max(b.fence, n)
	b.moves[o.ID] = move{From: o.From, To: o.To, Epoch: l.epoch, Fence: n, Until: o.Until, Revision: b.limits.Revision}
	b.nextExpiry = min(b.nextExpiry, o.Until)
	l.phase, l.since = Offered, b.now
	b.sessions[o.ID] = l
	at := b.now - b.now%time.Second
	if k := len(b.offerCounts); k == 0 || b.offerCounts[k-1].At != at {
		b.offerCounts = append(b.offerCounts, offerCount{At: at})
	}
	b.offerCounts[len(b.offerCounts)-1].N++
	return nil
}

// SilentFor is how long a co-ordinator has to have been silent before it may be released: its lease and grace, and 1 %
// for clocks.
func (l Limits) SilentFor() time.Duration { return l.Lease + l.Grace + (l.Lease+l.Grace)/100 }

func (b *State) applyRelease(r ReleaseBody) error {
	if r.At == 0 {
		r.At = b.now
	}
	need := b.limits.SilentFor()
	switch {
	case b.limits.Revision == 0:
		return errors.New("session: release before there are limits")
	case r.At < 0 || r.At > b.now || r.Silent < need:
		return fmt.Errorf("session: release of %s, silent for %v at %v: it is %v, and %v are needed", r.Name, r.Silent, r.At, b.now, need)
	}
	if i, ok := b.indexByName[r.Name]; ok && !b.expired(int(i)) {
		switch n := b.coordinators[i]; {
		case n.releasedAt > 0 && r.At <= n.releasedAt:
			return fmt.Errorf("session: release of %s, silent at %v: it was released at %v", r.Name, r.At, n.releasedAt)
		case n.lastActAt > 0 && n.lastActAt > r.At-need:
			return fmt.Errorf("session: release of %s, silent for %v at %v: it acted at %v", r.Name, r.Silent, r.At, n.lastActAt)
		}
	}
	i, err := b.coordinatorIndex(r.Name)
	if err != nil {
		return fmt.Errorf("session: release of %.20q: %w", r.Name, err)
	}
	b.coordinators[i].releasedAt, b.coordinators[i].lastKnownAt = b.now, b.now
	b.releaseOwned(r.Name, "its co-ordinator was silent")
	return nil
}

// releaseOwned frees what a co-ordinator has that surely acts no more.
func (b *State) releaseOwned(co, why string) {
	b.pool.RemoveCoordinator(co)
	for _, id := range sortedIDs(b.moves) {
		f, l := b.moves[id], b.sessions[id]
		switch {
		case l.phase == Offered && f.To == co:
			b.pin(id, l)
		case l.phase == HandedOver && f.Source == co:
			f.Source = ""
			b.moves[id] = f
		case l.phase == HandedOver && b.coordinators[l.owner].name == co:
			b.returnToSource(id, l, why)
		}
	}
	var all []ID
	b.ByOwner(co, func(r Record) bool {
		all = append(all, r.ID)
		return true
	})
	for _, id := range all {
		b.end(id, b.sessions[id], why)
	}
}

func (b *State) applyLimits(c LimitsBody) error {
	l := c.Limits
	if err := l.validate(); err != nil {
		return err
	}
	if l.Revision <= b.limits.Revision {
		if l.Revision == b.limits.Revision && l.equal(b.limits) {
			return nil
		}
		return fmt.Errorf("session: limits of revision %d, %d is in force", l.Revision, b.limits.Revision)
	}
	before := b.pool.Clone()
	for _, replica := range b.pool.Replicas() {
		if _, ok := l.Caps[replica]; !ok {
			_ = b.pool.SetCap(replica, 0) // no more than there were
		}
	}
	for _, replica := range slices.Sorted(maps.Keys(l.Caps)) {
		if err := b.pool.SetCap(replica, l.Caps[replica]); err != nil {
			*b.pool = *before
			return fmt.Errorf("session: limits: %w", err)
		}
	}
	b.limits, b.limitsAt = l, b.now
	return nil
}

func (l Limits) equal(o Limits) bool {
	caps := maps.Equal(l.Caps, o.Caps)
	l.Caps, o.Caps = nil, nil
	return caps && fmt.Sprint(l) == fmt.Sprint(o)
}

// valid says what makes limits unfit.
func (l Limits) validate() error {
	for _, one := range []struct {
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
		if one.n < one.from || one.n > one.to {
			return fmt.Errorf("session: limits: %s is %d, it has to be within %d and %d", one.name, one.n, one.from, one.to)
		}
	}
	for _, one := range []struct {
		name string
		d    time.Duration
	}{{"offer_for", l.StepTimeout}, {"idle_for", l.IdleTimeout}, {"lease", l.Lease}, {"grace", l.Grace}} {
		if one.d <= 0 || one.d > MaxLimitDuration {
			return fmt.Errorf("session: limits: %s is %v, it has to be over 0, and at most %v", one.name, one.d, MaxLimitDuration)
		}
	}
	return nil
}

// Renew implements statemachine.Renewer. The copy that the raft group is set up from may be behind: a session may have been handed
// on, ended or claimed since, and slots too. So all are free, with a gap between the epochs, and nothing is claimed,
// moved or given before until, when the leases of before have ended.
func (b *State) Renew(until time.Duration) {
	const why = "the raft group was set up anew"
	b.blockedUntil = max(b.blockedUntil, until)
	for _, l := range b.sessions {
		b.maxForgottenEpoch = max(b.maxForgottenEpoch, l.epoch)
	}
	for _, e := range b.ended {
		b.maxForgottenEpoch = max(b.maxForgottenEpoch, e.epoch)
	}
	b.maxForgottenEpoch += EpochGap
	for _, id := range sortedIDs(b.sessions) {
		b.end(id, b.sessions[id], why)
	}
	for id, e := range b.ended {
		e.epoch = b.maxForgottenEpoch
		b.ended[id] = e
	}
	b.pool.Clear()
}
