package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Tick ends what is over by its time (W7). Time that goes back is taken for no time passed.
func (s *State) Tick(now time.Duration) {
	if now <= s.now {
		return
	}
	s.now = now
	failure := ""
	var ended []*entry
	for _, e := range s.open {
		switch {
		case e.Phase == Pending:
			if e.req.Latest > 0 && now > e.req.Latest {
				s.endItem(e, Rejected, "its latest time passed before it could go")
				ended = append(ended, e)
			}
		case e.Phase == Returned && s.machines[e.Machine].Status == Up:
			if now >= s.machines[e.Machine].Started+s.limits.WarmUp {
				s.endItem(e, Done, "")
				ended = append(ended, e)
			}
		case now < e.Until:
		case e.Phase == Granted || e.Phase == Acknowledged:
			s.endItem(e, Expired, "not gone by its time")
			ended = append(ended, e)
		default:
			s.endItem(e, Expired, "not back by its time: counts as failed")
			ended = append(ended, e)
			if s.wouldPause(s.machines[e.Machine]) {
				failure = e.Machine + " is not back by its time"
			}
		}
	}
	if failure != "" {
		s.pauseAfterFailure(failure)
	}
	if len(ended) > 0 {
		s.dropClosed()
	}
	for _, e := range ended {
		s.retry(e)
	}
}

// pauseAfterFailure pauses new grants (W6): for FailurePause, and twice as long as the last time if it comes within a pause, or within
// as long again after one, up to MaxPauseFactor times FailurePause. Without the time after it, machines that fail every little more
// than FailurePause would start and stop the plan each time. What one flapping machine does is left out, see flapping.go.
func (s *State) pauseAfterFailure(reason string) {
	calm := s.limits.FailurePause
	span := calm
	if s.pauseSpan > 0 && s.now < s.pauseUntil+s.pauseSpan {
		span = min(max(2*s.pauseSpan, calm), MaxPauseFactor*calm)
	}
	if s.now >= s.pauseUntil {
		s.pauseFrom = s.now
	}
	s.pauseSpan, s.pauseReason = span, truncate(reason)
	s.pauseUntil = max(s.pauseUntil, s.now+span)
}

// applyObserve applies what the leader observed: the complete inventory, or what changed against the agreed one.
func (s *State) applyObserve(b ObserveBody) error {
	observedAt := s.now
	if b.ObservedAt > 0 {
		observedAt = min(b.ObservedAt, s.now)
	}
	reported, err := s.validateObservation(b, observedAt)
	if err != nil {
		return err
	}
	failure, added := s.applyMachines(b.Machines)
	if b.Complete && b.Digest == "" {
		failure = cmp.Or(failure, s.markMissingGone(reported))
	}
	s.needsInventory = s.needsInventory && !b.Complete
	s.observedAt, s.observed = observedAt, true
	s.loadKnown = b.LoadKnown
	if b.LoadKnown {
		s.load, s.loadAt = b.Load, observedAt
	}
	if failure != "" { // one pause for all that one observation shows: a lost zone has one cause
		s.pauseAfterFailure(failure)
	}
	s.sumsValid = false
	s.retryClosed()
	s.dropLongGone()
	if added {
		s.addMatchingItems()
	}
	return nil
}

// validateObservation rejects an observation that cannot be applied, and returns the names of the machines that it reports.
func (s *State) validateObservation(b ObserveBody, observedAt time.Duration) (reported map[string]bool, err error) {
	if observedAt < s.observedAt {
		return nil, fmt.Errorf("seen at %s, before what is known, of %s", formatTime(observedAt), formatTime(s.observedAt))
	}
	if b.Load < 0 || math.IsNaN(b.Load) {
		return nil, fmt.Errorf("a load of %v", b.Load)
	}
	if b.Digest != "" && (!b.Complete || len(b.Machines) > 0 || b.Digest != s.InventoryDigest()) {
		return nil, fmt.Errorf("complete inventory of sum %s with %d machines; the agreed inventory's is %s", truncate(b.Digest), len(b.Machines), s.InventoryDigest())
	}
	reported = make(map[string]bool, len(b.Machines))
	unknown := 0
	for _, m := range b.Machines {
		if err := m.validate(); err != nil {
			return nil, err
		}
		if reported[m.Name] {
			return nil, fmt.Errorf("machine %s is there twice", m.Name)
		}
		reported[m.Name] = true
		if s.machines[m.Name] == nil {
			unknown++
		}
	}
	if len(s.list)+unknown > MaxMachines {
		if n := s.countRetained() + unknown; n > MaxMachines {
			return nil, fmt.Errorf("%d machines, %d are allowed", n, MaxMachines)
		}
	}
	return reported, nil
}

// applyMachines updates the machines that are known and adds the others. It returns the first failure outside the plan, if any
// wouldPause it, and whether a machine was added.
func (s *State) applyMachines(machines []Machine) (failure string, added bool) {
	for _, next := range machines {
		if m := s.machines[next.Name]; m != nil {
			reason := s.observeMachine(m, next)
			failure = cmp.Or(failure, reason)
		} else {
			added = s.add(next) != nil || added
		}
	}
	return failure, added
}

// markMissingGone marks each machine that a complete inventory leaves out as gone, and returns the first failure as above.
func (s *State) markMissingGone(reported map[string]bool) (failure string) {
	for _, m := range s.list {
		if reported[m.Name] || m.Status == Gone {
			continue
		}
		next := m.Machine
		next.Status = Gone
		reason := s.observeMachine(m, next)
		failure = cmp.Or(failure, reason)
	}
	return failure
}

// retryClosed takes the items that have ended out of the open ones, and asks anew for those that may be retried.
func (s *State) retryClosed() {
	var closed []*entry
	for _, e := range s.open {
		if !e.Phase.open() {
			closed = append(closed, e)
		}
	}
	if len(closed) > 0 {
		s.dropClosed()
	}
	for _, e := range closed {
		s.retry(e)
	}
}

func (m Machine) validate() error {
	switch {
	case m.Name == "" || len(m.Name) > MaxNameLength || len(m.Zone) > MaxNameLength:
		return fmt.Errorf("machine %q in zone %q: names have 1 to %d bytes", truncate(m.Name), truncate(m.Zone), MaxNameLength)
	case m.Kind != Replica && m.Kind != Coordinator:
		return fmt.Errorf("machine %s: kind %q is not known", m.Name, m.Kind)
	case m.Status != Up && m.Status != Terminating && m.Status != Gone && m.Status != Unknown:
		return fmt.Errorf("machine %s: status %q is not known", m.Name, m.Status)
	case !(m.Size >= 0) || math.IsInf(m.Size, 0) || m.Started < 0:
		return fmt.Errorf("machine %s: size %v, started %v", m.Name, m.Size, m.Started)
	}
	return nil
}

// countRetained counts the machines that can not be dropped to make room.
func (s *State) countRetained() int {
	busy, n := s.machinesWithOpenItems(), 0
	for _, m := range s.list {
		if m.Status != Gone || busy[m.Name] || m.Settle > s.now {
			n++
		}
	}
	return n
}

// observeMachine takes one machine's news and says, if it is a failure outside the plan that pauses it, which.
func (s *State) observeMachine(m *machine, next Machine) string {
	old, wasUp := m.Machine, m.Last == Up
	if m.Flapping && !s.isFlapping(m, s.now) {
		m.flapHistory = flapHistory{} // it has been calm for long enough, whatever comes now
	}
	if next.Status == Unknown || next.Started == 0 && next.Status != Up {
		next.Started = old.Started // nothing is known of a newer one
	}
	if next == old {
		return ""
	}
	if next.Cell != old.Cell || next.Kind != old.Kind {
		s.removeFromCell(m)
		m.Machine = next
		s.addToCell(m)
	}
	m.Machine = next
	if next.Status != Unknown {
		m.Last = next.Status
	}
	if next.Status == Gone && old.Status != Gone {
		m.GoneAt = s.now
	}
	newer := next.Started > old.Started
	interrupted := wasUp && (next.down() || newer)
	failure := ""
	if interrupted {
		failure = s.unplannedChange(m, next)
	}
	since := s.now
	if newer {
		since = min(next.Started, s.now)
	}
	if next.Status == Up && (newer || !wasUp) {
		m.UpAt = since
	}
	if failure != "" && !s.recordFailure(m, since) {
		failure = ""
	}
	s.advanceItem(m)
	return failure
}

func (m Machine) down() bool { return m.Status == Terminating || m.Status == Gone }

// unplannedChange says, of a machine that went down or started anew, what of it was outside the plan, and ends or sets back
// its grant.
func (s *State) unplannedChange(m *machine, next Machine) string {
	change := fmt.Sprintf("%s is %s", next.Name, next.Status)
	if next.Status == Up {
		change = next.Name + " started anew"
	}
	switch e := m.live; {
	case e == nil && m.Settle > s.now:
		return change + " after its grant ended"
	case e == nil:
		return change
	case e.Phase == Granted:
		s.endItem(e, Expired, "went out before it was told: counts as failed")
		return change + " before it was told"
	case e.Phase == Returned:
		switch {
		case !next.down():
			e.StartedAt = next.Started
		case s.now < e.Until:
			e.Phase = Out
		default:
			s.endItem(e, Expired, "down again past its time: counts as failed")
		}
		return change + " while it was cold"
	}
	return ""
}

// advanceItem moves a live item on by what is seen of its machine.
func (s *State) advanceItem(m *machine) {
	e := m.live
	if e == nil {
		return
	}
	newer := m.Status == Up && m.Started > e.StartedAt
	if e.Phase == Acknowledged && (m.down() || newer) {
		e.Phase, e.OutAt, e.Until = Out, s.now, s.now+e.MaxOutage
	}
	if e.Phase == Out && newer {
		e.Phase, e.ReturnedAt, e.StartedAt = Returned, s.now, m.Started
	}
	s.sumsValid = false
}

// dropLongGone drops machines that are gone for GoneRetention and that nothing is open for.
func (s *State) dropLongGone() {
	var expired []*machine
	for _, m := range s.list {
		if m.Status == Gone && s.now-m.GoneAt >= GoneRetention && m.Settle <= s.now {
			expired = append(expired, m)
		}
	}
	if len(expired) == 0 {
		return
	}
	busy := s.machinesWithOpenItems()
	for _, m := range expired {
		if !busy[m.Name] {
			s.remove(m)
		}
	}
}
