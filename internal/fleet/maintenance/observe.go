package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Tick ends the items whose deadline has passed (W7). A time that is not after the current one is ignored.
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

// pauseAfterFailure pauses new grants (W6) for FailurePause. The pause is twice as long as the last one if the failure comes
// within that pause or within the same time span after it, up to MaxPauseFactor times FailurePause. Without the span after the
// pause, machines that fail at intervals slightly longer than FailurePause would stop and start maintenance each time. Failures of
// a flapping machine are excluded, see flapping.go.
func (s *State) pauseAfterFailure(reason string) {
	pause := s.limits.FailurePause
	span := pause
	if s.pauseSpan > 0 && s.now < s.pauseUntil+s.pauseSpan {
		span = min(max(2*s.pauseSpan, pause), MaxPauseFactor*pause)
	}
	if s.now >= s.pauseUntil {
		s.pauseFrom = s.now
	}
	s.pauseSpan, s.pauseReason = span, truncate(reason)
	s.pauseUntil = max(s.pauseUntil, s.now+span)
}

// applyObserve applies the inventory that the leader observed: a complete one, or the changes to the agreed one.
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
	if failure != "" { // one pause per observation: the failures of a lost zone have one cause
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

// validateObservation rejects an observation that cannot be applied and returns the names of the machines that it reports.
func (s *State) validateObservation(b ObserveBody, observedAt time.Duration) (reported map[string]bool, err error) {
	if observedAt < s.observedAt {
		return nil, fmt.Errorf("observed at %s, before the last observation at %s", formatTime(observedAt), formatTime(s.observedAt))
	}
	if b.Load < 0 || math.IsNaN(b.Load) {
		return nil, fmt.Errorf("load is %v, must be a number and not negative", b.Load)
	}
	if b.Digest != "" && (!b.Complete || len(b.Machines) > 0 || b.Digest != s.InventoryDigest()) {
		return nil, fmt.Errorf("complete inventory with digest %s and %d machines; the agreed inventory has digest %s",
			truncate(b.Digest), len(b.Machines), s.InventoryDigest())
	}
	reported = make(map[string]bool, len(b.Machines))
	unknown := 0
	for _, m := range b.Machines {
		if err := m.validate(); err != nil {
			return nil, err
		}
		if reported[m.Name] {
			return nil, fmt.Errorf("machine %s is listed twice", m.Name)
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

// applyMachines updates the known machines and adds the others. It returns the first unplanned failure that pauses maintenance,
// or "", and whether a machine was added.
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

// markMissingGone marks each machine that is missing from a complete inventory as gone. It returns the first failure as
// applyMachines does.
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

// retryClosed removes ended items from s.open and creates new items for those that may be retried.
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
		return fmt.Errorf("machine %q in zone %q: names must have 1 to %d bytes", truncate(m.Name), truncate(m.Zone), MaxNameLength)
	case m.Kind != Replica && m.Kind != Coordinator:
		return fmt.Errorf("machine %s: unknown kind %q", m.Name, m.Kind)
	case m.Status != Up && m.Status != Terminating && m.Status != Gone && m.Status != Unknown:
		return fmt.Errorf("machine %s: unknown status %q", m.Name, m.Status)
	case !(m.Size >= 0) || math.IsInf(m.Size, 0) || m.Started < 0:
		return fmt.Errorf("machine %s: size %v or start time %v is out of range", m.Name, m.Size, m.Started)
	}
	return nil
}

// countRetained counts the machines that cannot be dropped to make room for others.
func (s *State) countRetained() int {
	busy, n := s.machinesWithOpenItems(), 0
	for _, m := range s.list {
		if m.Status != Gone || busy[m.Name] || m.Settle > s.now {
			n++
		}
	}
	return n
}

// observeMachine updates a machine with its observed state. If that shows an unplanned failure that pauses maintenance, it
// returns a description of the failure, otherwise "".
func (s *State) observeMachine(m *machine, next Machine) string {
	old, wasUp := m.Machine, m.Last == Up
	if m.Flapping && !s.isFlapping(m, s.now) {
		m.flapHistory = flapHistory{} // up without a failure for long enough, whatever this observation shows
	}
	if next.Status == Unknown || next.Started == 0 && next.Status != Up {
		next.Started = old.Started // no newer start is known
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

// unplannedChange handles a machine that went down or restarted. It returns a description of the change if the change was
// unplanned, otherwise "". A live grant of the machine ends or returns to an earlier phase.
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

// advanceItem moves the machine's live item to its next phase as the observed status requires.
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

// dropLongGone drops the machines that have been gone for GoneRetention and have no open item.
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
