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
	failed := ""
	var over []*entry
	for _, e := range s.open {
		switch {
		case e.Phase == Pending:
			if e.req.Latest > 0 && now > e.req.Latest {
				s.endItem(e, Rejected, "its latest time passed before it could go")
				over = append(over, e)
			}
		case e.Phase == Returned && s.machines[e.Machine].Status == Up:
			if now >= s.machines[e.Machine].Started+s.limits.WarmUp {
				s.endItem(e, Done, "")
				over = append(over, e)
			}
		case now < e.Until:
		case e.Phase == Granted || e.Phase == Acknowledged:
			s.endItem(e, Expired, "not gone by its time")
			over = append(over, e)
		default:
			s.endItem(e, Expired, "not back by its time: counts as failed")
			over = append(over, e)
			if s.wouldPause(s.machines[e.Machine]) {
				failed = e.Machine + " is not back by its time"
			}
		}
	}
	if failed != "" {
		s.pauseAfterFailure(failed)
	}
	if len(over) > 0 {
		s.dropClosed()
	}
	for _, e := range over {
		s.retry(e)
	}
}

// pauseAfterFailure pauses new grants (W6): for FailurePause, and twice as long as the last time if it comes within a pause, or within
// as long again after one, up to MaxPauseFactor times FailurePause. Without the time after it, machines that fail every little more
// than FailurePause would start and stop the plan each time. What one flapping machine does is left out, see flapping.go.
func (s *State) pauseAfterFailure(why string) {
	calm := s.limits.FailurePause
	span := calm
	if s.pauseSpan > 0 && s.now < s.pauseUntil+s.pauseSpan {
		span = min(max(2*s.pauseSpan, calm), MaxPauseFactor*calm)
	}
	if s.now >= s.pauseUntil {
		s.pauseFrom = s.now
	}
	s.pauseSpan, s.pauseWhy = span, truncate(why)
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
	if b.Complete && b.Sum == "" {
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
	if b.Sum != "" && (!b.Complete || len(b.Machines) > 0 || b.Sum != s.InventoryDigest()) {
		return nil, fmt.Errorf("complete inventory of sum %s with %d machines; the agreed inventory's is %s", truncate(b.Sum), len(b.Machines), s.InventoryDigest())
	}
	reported = make(map[string]bool, len(b.Machines))
	unknown := 0
	for _, m := range b.Machines {
		if err := m.valid(); err != nil {
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
	for _, n := range machines {
		if m := s.machines[n.Name]; m != nil {
			why := s.observeMachine(m, n)
			failure = cmp.Or(failure, why)
		} else {
			added = s.add(n) != nil || added
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
		n := m.Machine
		n.Status = Gone
		why := s.observeMachine(m, n)
		failure = cmp.Or(failure, why)
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

func (m Machine) valid() error {
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
func (s *State) observeMachine(m *machine, n Machine) string {
	old, wasUp := m.Machine, m.Last == Up
	if m.Flapping && !s.isFlapping(m, s.now) {
		m.flapHistory = flapHistory{} // it has been calm for long enough, whatever comes now
	}
	if n.Status == Unknown || n.Started == 0 && n.Status != Up {
		n.Started = old.Started // nothing is known of a newer one
	}
	if n == old {
		return ""
	}
	if n.Cell != old.Cell || n.Kind != old.Kind {
		s.removeFromCell(m)
		m.Machine = n
		s.addToCell(m)
	}
	m.Machine = n
	if n.Status != Unknown {
		m.Last = n.Status
	}
	if n.Status == Gone && old.Status != Gone {
		m.GoneAt = s.now
	}
	newer := n.Started > old.Started
	went := wasUp && (n.down() || newer)
	failed := ""
	if went {
		failed = s.unplannedChange(m, n)
	}
	since := s.now
	if newer {
		since = min(n.Started, s.now)
	}
	if n.Status == Up && (newer || !wasUp) {
		m.UpAt = since
	}
	if failed != "" && !s.recordFailure(m, since) {
		failed = ""
	}
	s.advanceItem(m)
	return failed
}

func (m Machine) down() bool { return m.Status == Terminating || m.Status == Gone }

// unplannedChange says, of a machine that went down or started anew, what of it was outside the plan, and ends or sets back
// its grant.
func (s *State) unplannedChange(m *machine, n Machine) string {
	what := fmt.Sprintf("%s is %s", n.Name, n.Status)
	if n.Status == Up {
		what = n.Name + " started anew"
	}
	switch e := m.live; {
	case e == nil && m.Settle > s.now:
		return what + " after its grant ended"
	case e == nil:
		return what
	case e.Phase == Granted:
		s.endItem(e, Expired, "went out before it was told: counts as failed")
		return what + " before it was told"
	case e.Phase == Returned:
		switch {
		case !n.down():
			e.StartedAt = n.Started
		case s.now < e.Until:
			e.Phase = Out
		default:
			s.endItem(e, Expired, "down again past its time: counts as failed")
		}
		return what + " while it was cold"
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
	var old []*machine
	for _, m := range s.list {
		if m.Status == Gone && s.now-m.GoneAt >= GoneRetention && m.Settle <= s.now {
			old = append(old, m)
		}
	}
	if len(old) == 0 {
		return
	}
	busy := s.machinesWithOpenItems()
	for _, m := range old {
		if !busy[m.Name] {
			s.remove(m)
		}
	}
}
