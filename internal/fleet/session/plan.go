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

type back uint64

func (n back) String() string { return fmt.Sprintf("call off transfer %d", uint64(n)) }

// applyPlan checks each part against the state as it is now, whatever the leader believed.
func (b *Book) applyPlan(p PlanBody, fence func() uint64) error {
	if n := len(p.Offers) + len(p.Withdrawals) + len(p.Shifts) + len(p.Backs); n > ActsMost {
		return fmt.Errorf("session: a plan of %d parts, %d are allowed", n, ActsMost)
	}
	done := 0
	for _, w := range p.Withdrawals {
		if b.several(w, b.withdraw(w)) {
			done++
		}
	}
	for _, n := range p.Backs {
		if b.several(back(n), b.pool.Back(n)) {
			done++
		}
	}
	for _, s := range p.Shifts {
		if b.several(s, b.shift(s, fence)) {
			done++
		}
	}
	for _, o := range p.Offers {
		if b.several(o, b.offer(o, fence)) {
			done++
		}
	}
	return b.outcome(done)
}

func (b *Book) withdraw(w Withdrawal) error {
	l, ok := b.live[w.ID]
	switch {
	case !ok:
		return errors.New("it is free")
	case l.epoch != w.Epoch || l.phase != Offered:
		return fmt.Errorf("it is %s in epoch %d", l.phase, l.epoch)
	case b.flights[w.ID].Fence != w.Fence:
		return fmt.Errorf("its offer is number %d", b.flights[w.ID].Fence)
	}
	b.pin(w.ID, l)
	return nil
}

func (b *Book) shift(s Shift, fence func() uint64) error {
	if b.now < b.quiet {
		return fmt.Errorf("the era is new, no slots are given before %v, it is %v", b.quiet, b.now)
	}
	if s.From == "" && s.Until == 0 {
		return b.pool.Take(s.To, s.Replica, s.N)
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

func (b *Book) offer(o Offer, fence func() uint64) error {
	l, ok := b.live[o.ID]
	if !ok {
		return errors.New("it is free")
	}
	if o.Until == 0 {
		o.Until = b.now + b.limits.OfferFor
	}
	switch owner := b.names[l.owner].name; {
	case l.epoch != o.Epoch || l.phase != Pinned || owner != o.From:
		return fmt.Errorf("it is %s of %q in epoch %d", l.phase, owner, l.epoch)
	case o.To == "" || len(o.To) > NameMost || o.To == o.From:
		return fmt.Errorf("from %q to %.20q", o.From, o.To)
	case o.Until <= b.now || o.Until > b.now+b.limits.OfferFor:
		return fmt.Errorf("until %v, it is %v and %v is the most", o.Until, b.now, b.limits.OfferFor)
	case len(b.flights) >= b.limits.InFlight:
		return fmt.Errorf("%d are in flight, %d are allowed", len(b.flights), b.limits.InFlight)
	case b.Begun() >= b.limits.PerMinute:
		return fmt.Errorf("%d were offered in the last minute, %d are allowed", b.Begun(), b.limits.PerMinute)
	}
	n := fence()
	b.fence = max(b.fence, n)
	b.flights[o.ID] = flight{From: o.From, To: o.To, Epoch: l.epoch, Fence: n, Until: o.Until, Revision: b.limits.Revision}
	b.next = min(b.next, o.Until)
	l.phase, l.since = Offered, b.now
	b.live[o.ID] = l
	at := b.now - b.now%time.Second
	if k := len(b.offers); k == 0 || b.offers[k-1].At != at {
		b.offers = append(b.offers, second{At: at})
	}
	b.offers[len(b.offers)-1].N++
	return nil
}

// SilentFor is how long a co-ordinator has to have been silent before it may be released: its lease and grace, and 1 %
// for clocks.
func (l Limits) SilentFor() time.Duration { return l.Lease + l.Grace + (l.Lease+l.Grace)/100 }

func (b *Book) applyRelease(r ReleaseBody) error {
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
	if i, ok := b.byName[r.Name]; ok && !b.gone(int(i)) {
		switch n := b.names[i]; {
		case n.released > 0 && r.At <= n.released:
			return fmt.Errorf("session: release of %s, silent at %v: it was released at %v", r.Name, r.At, n.released)
		case n.heard > 0 && n.heard > r.At-need:
			return fmt.Errorf("session: release of %s, silent for %v at %v: it acted at %v", r.Name, r.Silent, r.At, n.heard)
		}
	}
	i, err := b.named(r.Name)
	if err != nil {
		return fmt.Errorf("session: release of %.20q: %w", r.Name, err)
	}
	b.names[i].released, b.names[i].known = b.now, b.now
	b.letGo(r.Name, "its co-ordinator was silent")
	return nil
}

// letGo frees what a co-ordinator has that surely acts no more.
func (b *Book) letGo(co, why string) {
	b.pool.Drop(co)
	for _, id := range sorted(b.flights) {
		f, l := b.flights[id], b.live[id]
		switch {
		case l.phase == Offered && f.To == co:
			b.pin(id, l)
		case l.phase == Handed && f.Source == co:
			f.Source = ""
			b.flights[id] = f
		case l.phase == Handed && b.names[l.owner].name == co:
			b.back(id, l, why)
		}
	}
	var all []ID
	b.ByOwner(co, func(r Record) bool {
		all = append(all, r.ID)
		return true
	})
	for _, id := range all {
		b.end(id, b.live[id], why)
	}
}

func (b *Book) applyLimits(c LimitsBody) error {
	l := c.Limits
	if err := l.valid(); err != nil {
		return err
	}
	if l.Revision <= b.limits.Revision {
		if l.Revision == b.limits.Revision && l.same(b.limits) {
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

func (l Limits) same(o Limits) bool {
	caps := maps.Equal(l.Caps, o.Caps)
	l.Caps, o.Caps = nil, nil
	return caps && fmt.Sprint(l) == fmt.Sprint(o)
}

// valid says what makes limits unfit.
func (l Limits) valid() error {
	for _, one := range []struct {
		name        string
		n, from, to int
	}{
		{"revision", l.Revision, 1, 1 << 53},
		{"in_flight", l.InFlight, 0, FlightMost},
		{"per_minute", l.PerMinute, 0, PerMinuteMost},
		{"sessions_most", l.SessionsMost, 0, SessionsMost},
		{"state_most", l.StateMost, 0, StateMost},
		{"slots", l.Slots, 1, pool.SlotsMost},
		{"caps", len(l.Caps), 0, pool.ReplicasMost},
	} {
		if one.n < one.from || one.n > one.to {
			return fmt.Errorf("session: limits: %s is %d, it has to be within %d and %d", one.name, one.n, one.from, one.to)
		}
	}
	for _, one := range []struct {
		name string
		d    time.Duration
	}{{"offer_for", l.OfferFor}, {"idle_for", l.IdleFor}, {"lease", l.Lease}, {"grace", l.Grace}} {
		if one.d <= 0 || one.d > TimeMost {
			return fmt.Errorf("session: limits: %s is %v, it has to be over 0, and at most %v", one.name, one.d, TimeMost)
		}
	}
	return nil
}

// Renew implements statemachine.Renewer. The copy that the raft group is set up from may be behind: a session may have been handed
// on, ended or claimed since, and slots too. So all are free, with a gap between the epochs, and nothing is claimed,
// moved or given before until, when the leases of before have ended.
func (b *Book) Renew(until time.Duration) {
	const why = "the raft group was set up anew"
	b.quiet = max(b.quiet, until)
	for _, l := range b.live {
		b.over = max(b.over, l.epoch)
	}
	for _, e := range b.ended {
		b.over = max(b.over, e.epoch)
	}
	b.over += EpochGap
	for _, id := range sorted(b.live) {
		b.end(id, b.live[id], why)
	}
	for id, e := range b.ended {
		e.epoch = b.over
		b.ended[id] = e
	}
	b.pool.Clear()
}
