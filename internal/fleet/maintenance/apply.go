package maintenance

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
		return decodeAndApply(body, s.applyLimits)
	case "asks":
		return decodeAndApply(body, s.applyRequests)
	case "observe":
		return decodeAndApply(body, s.applyObserve)
	case "grant":
		return decodeAndApply(body, func(b GrantBody) error { return s.applyGrant(b, fence) })
	case "told":
		return decodeAndApply(body, s.applyAcknowledge)
	case "withdraw":
		return decodeAndApply(body, s.applyWithdraw)
	case "tick":
		return decodeAndApply(body, func(TickBody) error { return nil })
	}
	return fmt.Errorf("maintenance: kind %q: %w", kind, statemachine.ErrUnknown)
}

func decodeAndApply[B any](body []byte, apply func(B) error) error {
	var b B
	if err := statemachine.DecodeStrict(body, &b); err != nil {
		return fmt.Errorf("maintenance: cannot decode the command body: %w", err)
	}
	return apply(b)
}

func (s *State) applyLimits(b LimitsBody) error {
	if err := b.Limits.validate(); err != nil {
		return err
	}
	if b.Revision < s.revision || b.Revision < 1 {
		return fmt.Errorf("limits of revision %d rejected: revision %d is in force", b.Revision, s.revision)
	}
	if b.Revision == s.revision {
		if b.Limits != s.limits {
			return fmt.Errorf("revision %d is in force with different limits", b.Revision)
		}
		return nil
	}
	s.needsInventory = s.needsInventory || b.Limits != s.limits
	s.limits, s.revision = b.Limits, b.Revision
	s.sumsValid = false
	for _, e := range s.open {
		e.PassedOver = min(e.PassedOver, s.limits.MaxPassedOver)
	}
	return nil
}

// validate reports the first limit that is out of range.
func (l Limits) validate() error {
	for _, d := range []struct {
		name string
		d    time.Duration
	}{{"load_age", l.MaxLoadAge}, {"list_age", l.MaxInventoryAge}, {"lease", l.Lease}} {
		if d.d <= 0 {
			return fmt.Errorf("limits: %s is %v, must be positive", d.name, d.d)
		}
	}
	for _, d := range []struct {
		name string
		d    time.Duration
	}{{"warm_up", l.WarmUp}, {"grace", l.Grace}, {"settle", l.SettleTime}, {"calm", l.FailurePause}} {
		if d.d < 0 || d.d > MaxGrantTime {
			return fmt.Errorf("limits: %s is %v, must be between 0 and %v", d.name, d.d, MaxGrantTime)
		}
	}
	switch {
	case l.Cells < 1 || l.Cells > 100_000 || l.Shards < 1:
		return fmt.Errorf("limits: invalid ring of %d cells and %d shards", l.Cells, l.Shards)
	case l.Reach < 1 || l.Reach > l.Cells:
		return fmt.Errorf("limits: reach is %d, must be between 1 and the %d cells of the ring", l.Reach, l.Cells)
	case l.MinHolders < 1:
		return fmt.Errorf("limits: holders_least is %d, must be at least 1", l.MinHolders)
	case l.MaxOutPerZone < 0 || l.MaxOut < 0 || l.MinVoters < 0 || l.MaxPassedOver < 1:
		return fmt.Errorf("limits: value out of range: out_by_zone %d, out_most %d, voters_least %d, passed_most %d",
			l.MaxOutPerZone, l.MaxOut, l.MinVoters, l.MaxPassedOver)
	case !(l.Headroom >= 0) || math.IsInf(l.Headroom, 0):
		return fmt.Errorf("limits: headroom is %v, must be finite and not negative", l.Headroom)
	}
	return nil
}

// applyGrant grants a machine if every rule allows it in the current state, regardless of what the leader concluded.
func (s *State) applyGrant(b GrantBody, fence func() uint64) error {
	e := s.latest[key{b.Request, b.Machine}]
	if e == nil || e.Phase != Pending {
		return fmt.Errorf("W4: request %s has no pending item for %s", b.Request, b.Machine)
	}
	if b.Until <= s.now || b.Until > s.now+MaxGrantTime {
		return fmt.Errorf("W7: until is %s, must be after %s and at most %v later", formatTime(b.Until), formatTime(s.now), MaxGrantTime)
	}
	holdersLeft, spareCapacity, err := s.evaluateGrant(s.now, e)
	if err != nil {
		return err
	}
	s.countPassedOver(e)
	m := s.machines[e.Machine]
	e.Phase, e.Fence, e.GrantedAt, e.Until, e.Reason = Granted, fence(), s.now, b.Until, ""
	e.HoldersLeft, e.SpareCapacity, e.Revision, e.StartedAt, e.Zone, e.Voter =
		holdersLeft, spareCapacity, s.revision, m.Started, m.Zone, m.Voter
	if m.Kind == Replica {
		e.MinHolders = s.limits.MinHolders
	}
	e.MaxOutage = e.req.MaxOutage
	s.fence = max(s.fence, e.Fence)
	m.live = e
	m.removePending(e)
	s.sumsValid = false
	return nil
}

// grantedMachine returns the machine whose live grant has the given fence and is still in phase Granted.
func (s *State) grantedMachine(name string, fence uint64) (*machine, error) {
	m := s.machines[name]
	if m == nil || m.live == nil || m.live.Fence != fence {
		return nil, fmt.Errorf("W4: %s has no live grant with fence %d", name, fence)
	}
	if m.live.Phase != Granted {
		return nil, fmt.Errorf("W4: grant of %s with fence %d is %s, not granted", name, fence, m.live.Phase)
	}
	return m, nil
}

// applyAcknowledge requires every co-ordinator of the inventory, gone or not, to have acknowledged the drain or to have been
// silent for its lease and grace: a co-ordinator that is unreachable for the leader may still reach the machine.
func (s *State) applyAcknowledge(b AcknowledgeBody) error {
	m, err := s.grantedMachine(b.Machine, b.Fence)
	if err != nil {
		return err
	}
	accountedFor := make(map[string]bool, len(b.Acknowledged)+len(b.Silent))
	for _, name := range b.Acknowledged {
		accountedFor[name] = true
	}
	minSilence := s.limits.Lease + s.limits.Grace
	for _, silent := range b.Silent {
		if !accountedFor[silent.Name] && silent.Duration < minSilence {
			return fmt.Errorf("told: co-ordinator %s has been silent for %v, less than its lease and grace of %v",
				silent.Name, silent.Duration, minSilence)
		}
		accountedFor[silent.Name] = true
	}
	for _, c := range s.list {
		if c.Kind == Coordinator && !accountedFor[c.Name] {
			return fmt.Errorf("told: co-ordinator %s has neither acknowledged the drain nor been reported silent", c.Name)
		}
	}
	m.live.Phase, m.live.AcknowledgedAt, m.live.StartedAt = Acknowledged, s.now, m.Started
	s.sumsValid = false
	s.advanceItem(m) // the machine may already be down: repairs are requested for broken machines too
	return nil
}

func (s *State) applyWithdraw(b WithdrawBody) error {
	m, err := s.grantedMachine(b.Machine, b.Fence)
	if err != nil {
		return err
	}
	e := m.live
	s.endItem(e, Withdrawn, truncate(b.Reason))
	s.dropClosed()
	s.retry(e)
	return nil
}

// endItem ends an item. If that ends the machine's live grant in a phase other than Done, the machine still counts as out for
// SettleTime. The caller removes ended items from s.open with dropClosed.
func (s *State) endItem(e *entry, p Phase, reason string) {
	e.Phase, e.EndedAt, e.Reason = p, s.now, reason
	m := s.machines[e.Machine] // never nil: a machine with an open item is not dropped
	m.removePending(e)
	if m.live == e {
		m.live = nil
		if p != Done {
			m.Settle = s.now + s.limits.SettleTime
		}
	}
	i := sort.Search(len(s.ended), func(i int) bool {
		o := s.ended[i]
		return o.EndedAt > e.EndedAt || o.EndedAt == e.EndedAt && o.seq > e.seq
	})
	s.ended = append(s.ended, nil)
	copy(s.ended[i+1:], s.ended[i:])
	s.ended[i] = e
	s.sumsValid = false
}

func (m *machine) removePending(e *entry) {
	for i, o := range m.pending {
		if o == e {
			m.pending = append(m.pending[:i:i], m.pending[i+1:]...)
			return
		}
	}
}

// dropClosed removes ended items from s.open.
func (s *State) dropClosed() {
	keep := s.open[:0]
	for _, e := range s.open {
		if e.Phase.open() {
			keep = append(keep, e)
		}
	}
	clear(s.open[len(keep):])
	s.open = keep
}

func truncate(s string) string {
	return s[:min(len(s), MaxNameLength)]
}
