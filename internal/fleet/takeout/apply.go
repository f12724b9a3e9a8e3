package takeout

import (
	"fmt"
	"math"
	"sort"
	"time"

	"birchcart/internal/fleet/statemachine"
)

// Apply implements statemachine.Part.
func (s *State) Apply(now time.Duration, fence func() uint64, kind string, body []byte) error {
	s.Tick(now)
	switch kind {
	case "limits":
		return take(body, s.applyLimits)
	case "asks":
		return take(body, s.applyAsks)
	case "observe":
		return take(body, s.applyObserve)
	case "grant":
		return take(body, func(b GrantBody) error { return s.applyGrant(b, fence) })
	case "told":
		return take(body, s.applyTold)
	case "withdraw":
		return take(body, s.applyWithdraw)
	case "tick":
		return take(body, func(TickBody) error { return nil })
	}
	return fmt.Errorf("takeout: kind %q: %w", kind, statemachine.ErrUnknown)
}

func take[B any](body []byte, apply func(B) error) error {
	var b B
	if err := statemachine.Strict(body, &b); err != nil {
		return fmt.Errorf("takeout: body can not be read: %w", err)
	}
	return apply(b)
}

func (s *State) applyLimits(b LimitsBody) error {
	if err := b.Limits.valid(); err != nil {
		return err
	}
	if b.Revision < s.revision || b.Revision < 1 {
		return fmt.Errorf("limits of revision %d, %d is in force", b.Revision, s.revision)
	}
	if b.Revision == s.revision {
		if b.Limits != s.limits {
			return fmt.Errorf("other limits of the same revision %d", b.Revision)
		}
		return nil
	}
	s.stale = s.stale || b.Limits != s.limits
	s.limits, s.revision = b.Limits, b.Revision
	s.fresh = false
	for _, e := range s.open {
		e.Passed = min(e.Passed, s.limits.PassedMost)
	}
	return nil
}

// valid says what makes limits unfit.
func (l Limits) valid() error {
	for _, d := range []struct {
		name string
		d    time.Duration
	}{{"load_age", l.LoadAge}, {"list_age", l.ListAge}, {"lease", l.Lease}} {
		if d.d <= 0 {
			return fmt.Errorf("limits: %s is %v, it has to be over 0", d.name, d.d)
		}
	}
	for _, d := range []struct {
		name string
		d    time.Duration
	}{{"warm_up", l.WarmUp}, {"grace", l.Grace}, {"settle", l.Settle}, {"calm", l.Calm}} {
		if d.d < 0 || d.d > GrantMost {
			return fmt.Errorf("limits: %s is %v, it has to be within 0 and %v", d.name, d.d, GrantMost)
		}
	}
	switch {
	case l.Cells < 1 || l.Cells > 100_000 || l.Shards < 1:
		return fmt.Errorf("limits: a ring of %d cells and %d shards", l.Cells, l.Shards)
	case l.Reach < 1 || l.Reach > l.Cells:
		return fmt.Errorf("limits: reach of %d in %d cells", l.Reach, l.Cells)
	case l.HoldersLeast < 1:
		return fmt.Errorf("limits: holders_least is %d", l.HoldersLeast)
	case l.OutByZone < 0 || l.OutMost < 0 || l.VotersLeast < 0 || l.PassedMost < 1:
		return fmt.Errorf("limits: out_by_zone %d, out_most %d, voters_least %d, passed_most %d",
			l.OutByZone, l.OutMost, l.VotersLeast, l.PassedMost)
	case !(l.Headroom >= 0) || math.IsInf(l.Headroom, 0):
		return fmt.Errorf("limits: headroom of %v", l.Headroom)
	}
	return nil
}

// applyGrant lets a machine go, if all rules allow it as the state is now, whatever the leader believed.
func (s *State) applyGrant(b GrantBody, fence func() uint64) error {
	e := s.last[key{b.Request, b.Machine}]
	if e == nil || e.Phase != Asked {
		return fmt.Errorf("W4: request %s does not ask for %s now", b.Request, b.Machine)
	}
	if b.Until <= s.now || b.Until > s.now+GrantMost {
		return fmt.Errorf("W7: until %s, it is %s and %v is the most", clock(b.Until), clock(s.now), GrantMost)
	}
	left, room, err := s.mayGo(s.now, e)
	if err != nil {
		return err
	}
	s.pass(e)
	m := s.machines[e.Machine]
	e.Phase, e.Fence, e.GrantedAt, e.Until, e.Why = Granted, fence(), s.now, b.Until, ""
	e.Left, e.Room, e.Revision, e.Start, e.Zone, e.Voter = left, room, s.revision, m.Started, m.Zone, m.Voter
	if m.Kind == Replica {
		e.Wanted = s.limits.HoldersLeast
	}
	e.For = e.req.For
	s.fence = max(s.fence, e.Fence)
	m.live = e
	m.unask(e)
	s.fresh = false
	return nil
}

// granted finds the grant that a word is about: still granted, with that number.
func (s *State) granted(name string, number uint64) (*machine, error) {
	m := s.machines[name]
	if m == nil || m.live == nil || m.live.Fence != number {
		return nil, fmt.Errorf("W4: %s has no live grant of number %d", name, number)
	}
	if m.live.Phase != Granted {
		return nil, fmt.Errorf("W4: %s of number %d is %s, not granted", name, number, m.live.Phase)
	}
	return m, nil
}

// applyTold: every co-ordinator of the inventory, gone or not, is accounted for, since one that only the leader has lost
// may still reach the machine.
func (s *State) applyTold(b ToldBody) error {
	m, err := s.granted(b.Machine, b.Fence)
	if err != nil {
		return err
	}
	heard := make(map[string]bool, len(b.Said)+len(b.Silent))
	for _, name := range b.Said {
		heard[name] = true
	}
	need := s.limits.Lease + s.limits.Grace
	for _, q := range b.Silent {
		if !heard[q.Name] && q.For < need {
			return fmt.Errorf("told: %s is silent for %v, its lease and grace are %v", q.Name, q.For, need)
		}
		heard[q.Name] = true
	}
	for _, c := range s.list {
		if c.Kind == Coordinator && !heard[c.Name] {
			return fmt.Errorf("told: nothing is said of co-ordinator %s", c.Name)
		}
	}
	m.live.Phase, m.live.ToldAt, m.live.Start = Told, s.now, m.Started
	s.fresh = false
	s.follow(m) // it may be down already: work is asked for on broken machines too
	return nil
}

func (s *State) applyWithdraw(b WithdrawBody) error {
	m, err := s.granted(b.Machine, b.Fence)
	if err != nil {
		return err
	}
	e := m.live
	s.end(e, Withdrawn, clip(b.Why))
	s.tidy()
	s.retry(e)
	return nil
}

// end closes an item. A grant's machine settles. The caller tidies the open ones.
func (s *State) end(e *entry, p Phase, why string) {
	e.Phase, e.EndedAt, e.Why = p, s.now, why
	m := s.machines[e.Machine] // it stays while an item is open
	m.unask(e)
	if m.live == e {
		m.live = nil
		if p != Done {
			m.Settle = s.now + s.limits.Settle
		}
	}
	i := sort.Search(len(s.ended), func(i int) bool {
		o := s.ended[i]
		return o.EndedAt > e.EndedAt || o.EndedAt == e.EndedAt && o.seq > e.seq
	})
	s.ended = append(s.ended, nil)
	copy(s.ended[i+1:], s.ended[i:])
	s.ended[i] = e
	s.fresh = false
}

func (m *machine) unask(e *entry) {
	for i, o := range m.asked {
		if o == e {
			m.asked = append(m.asked[:i:i], m.asked[i+1:]...)
			return
		}
	}
}

// tidy takes ended items out of the open ones.
func (s *State) tidy() {
	keep := s.open[:0]
	for _, e := range s.open {
		if e.Phase.open() {
			keep = append(keep, e)
		}
	}
	clear(s.open[len(keep):])
	s.open = keep
}

func clip(s string) string {
	return s[:min(len(s), NameMost)]
}
