package takeout

import (
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
		case e.Phase == Asked:
			if e.req.Latest > 0 && now > e.req.Latest {
				s.end(e, Refused, "its latest time passed before it could go")
				over = append(over, e)
			}
		case e.Phase == Back && s.machines[e.Machine].Status == Up:
			if now >= s.machines[e.Machine].Started+s.limits.WarmUp {
				s.end(e, Done, "")
				over = append(over, e)
			}
		case now < e.Until:
		case e.Phase == Granted || e.Phase == Told:
			s.end(e, Lapsed, "not gone by its time")
			over = append(over, e)
		default:
			s.end(e, Lapsed, "not back by its time: counts as failed")
			over = append(over, e)
			if s.pauses(s.machines[e.Machine]) {
				failed = e.Machine + " is not back by its time"
			}
		}
	}
	if failed != "" {
		s.failure(failed)
	}
	if len(over) > 0 {
		s.tidy()
	}
	for _, e := range over {
		s.retry(e)
	}
}

// failure pauses new grants (W6): for Calm, and twice as long as the last time if it comes within a pause, or within
// as long again after one, up to CalmMost times Calm. Without the time after it, machines that fail every little more
// than Calm would start and stop the plan each time. What one flapping machine does is left out, see flap.go.
func (s *State) failure(why string) {
	calm := s.limits.Calm
	span := calm
	if s.pauseSpan > 0 && s.now < s.pauseUntil+s.pauseSpan {
		span = min(max(2*s.pauseSpan, calm), CalmMost*calm)
	}
	if s.now >= s.pauseUntil {
		s.pauseFrom = s.now
	}
	s.pauseSpan, s.pauseWhy = span, clip(why)
	s.pauseUntil = max(s.pauseUntil, s.now+span)
}

// applyObserve takes what the leader sees: a whole inventory, or what changed against the agreed one.
func (s *State) applyObserve(b ObserveBody) error {
	seen := s.now
	if b.Seen > 0 {
		seen = min(b.Seen, s.now)
	}
	if seen < s.listAt {
		return fmt.Errorf("seen at %s, before what is known, of %s", clock(seen), clock(s.listAt))
	}
	if b.Load < 0 || math.IsNaN(b.Load) {
		return fmt.Errorf("a load of %v", b.Load)
	}
	if b.Sum != "" && (!b.Whole || len(b.Machines) > 0 || b.Sum != s.Sum()) {
		return fmt.Errorf("whole as of sum %s, with %d machines told; the inventory's is %s", clip(b.Sum), len(b.Machines), s.Sum())
	}
	told := make(map[string]bool, len(b.Machines))
	fresh := 0
	for _, m := range b.Machines {
		if err := m.valid(); err != nil {
			return err
		}
		if told[m.Name] {
			return fmt.Errorf("machine %s is there twice", m.Name)
		}
		told[m.Name] = true
		if s.machines[m.Name] == nil {
			fresh++
		}
	}
	if len(s.list)+fresh > MachinesMost {
		if n := s.keep() + fresh; n > MachinesMost {
			return fmt.Errorf("%d machines, %d are allowed", n, MachinesMost)
		}
	}
	failed, added := "", false
	note := func(why string) {
		if failed == "" {
			failed = why
		}
	}
	for _, n := range b.Machines {
		if m := s.machines[n.Name]; m != nil {
			note(s.see(m, n))
		} else {
			added = s.add(n) != nil || added
		}
	}
	if b.Whole && b.Sum == "" {
		for _, m := range s.list {
			if !told[m.Name] && m.Status != Gone {
				n := m.Machine
				n.Status = Gone
				note(s.see(m, n))
			}
		}
	}
	s.stale = s.stale && !b.Whole
	s.listAt, s.listed = seen, true
	s.loadKnown = b.LoadKnown
	if b.LoadKnown {
		s.load, s.loadAt = b.Load, seen
	}
	if failed != "" { // one pause for all that one look shows: a lost zone has one cause
		s.failure(failed)
	}
	s.fresh = false
	var over []*entry
	for _, e := range s.open {
		if !e.Phase.open() {
			over = append(over, e)
		}
	}
	if len(over) > 0 {
		s.tidy()
	}
	for _, e := range over {
		s.retry(e)
	}
	s.forget()
	if added {
		s.match()
	}
	return nil
}

func (m Machine) valid() error {
	switch {
	case m.Name == "" || len(m.Name) > NameMost || len(m.Zone) > NameMost:
		return fmt.Errorf("machine %q in zone %q: names have 1 to %d bytes", clip(m.Name), clip(m.Zone), NameMost)
	case m.Kind != Replica && m.Kind != Coordinator:
		return fmt.Errorf("machine %s: kind %q is not known", m.Name, m.Kind)
	case m.Status != Up && m.Status != Terminating && m.Status != Gone && m.Status != Unknown:
		return fmt.Errorf("machine %s: status %q is not known", m.Name, m.Status)
	case !(m.Size >= 0) || math.IsInf(m.Size, 0) || m.Started < 0:
		return fmt.Errorf("machine %s: size %v, started %v", m.Name, m.Size, m.Started)
	}
	return nil
}

// keep counts the machines that can not be dropped to make room.
func (s *State) keep() int {
	busy, n := s.busy(), 0
	for _, m := range s.list {
		if m.Status != Gone || busy[m.Name] || m.Settle > s.now {
			n++
		}
	}
	return n
}

// see takes one machine's news and says, if it is a failure outside the plan that pauses it, which.
func (s *State) see(m *machine, n Machine) string {
	old, wasUp := m.Machine, m.Last == Up
	if m.Flaps && !s.flaps(m, s.now) {
		m.flap = flap{} // it has been calm for long enough, whatever comes now
	}
	if n.Status == Unknown || n.Started == 0 && n.Status != Up {
		n.Started = old.Started // nothing is known of a newer one
	}
	if n == old {
		return ""
	}
	if n.Cell != old.Cell || n.Kind != old.Kind {
		s.displace(m)
		m.Machine = n
		s.place(m)
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
		failed = s.unplanned(m, n)
	}
	since := s.now
	if newer {
		since = min(n.Started, s.now)
	}
	if n.Status == Up && (newer || !wasUp) {
		m.UpAt = since
	}
	if failed != "" && !s.failed(m, since) {
		failed = ""
	}
	s.follow(m)
	return failed
}

func (m Machine) down() bool { return m.Status == Terminating || m.Status == Gone }

// unplanned says, of a machine that went down or started anew, what of it was outside the plan, and ends or sets back
// its grant.
func (s *State) unplanned(m *machine, n Machine) string {
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
		s.end(e, Lapsed, "went out before it was told: counts as failed")
		return what + " before it was told"
	case e.Phase == Back:
		switch {
		case !n.down():
			e.Start = n.Started
		case s.now < e.Until:
			e.Phase = Out
		default:
			s.end(e, Lapsed, "down again past its time: counts as failed")
		}
		return what + " while it was cold"
	}
	return ""
}

// follow moves a live item on by what is seen of its machine.
func (s *State) follow(m *machine) {
	e := m.live
	if e == nil {
		return
	}
	newer := m.Status == Up && m.Started > e.Start
	if e.Phase == Told && (m.down() || newer) {
		e.Phase, e.OutAt, e.Until = Out, s.now, s.now+e.For
	}
	if e.Phase == Out && newer {
		e.Phase, e.BackAt, e.Start = Back, s.now, m.Started
	}
	s.fresh = false
}

// forget drops machines that are gone for ForgetGone and that nothing is open for.
func (s *State) forget() {
	var old []*machine
	for _, m := range s.list {
		if m.Status == Gone && s.now-m.GoneAt >= ForgetGone && m.Settle <= s.now {
			old = append(old, m)
		}
	}
	if len(old) == 0 {
		return
	}
	busy := s.busy()
	for _, m := range old {
		if !busy[m.Name] {
			s.remove(m)
		}
	}
}
