package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Flapping machines (W6). A single machine in a crash loop could pause maintenance indefinitely, including its own repair. So
// the unplanned failures of each machine are recorded. The failure that makes FlapThreshold of them within MaxPauseFactor times
// FailurePause still pauses maintenance, and it marks the machine as flapping. A flapping machine is not relied on: it counts as
// neither up nor warm (W1, W3) and as no voter that is up (W2) until it has been up without a failure for MaxPauseFactor times
// FailurePause. Its further failures reduce nothing that the rules count on, so they neither start nor extend a pause; failures
// of other machines do. It may be granted like a broken machine: its outage affects neither W1 nor W3, but takes a slot of W2.
//
// A machine that fails less often, at most once in four times FailurePause, pauses maintenance for FailurePause each time: a
// quarter of the time. If more than MaxOut machines flap at once, the cause is taken to be the fleet and not single machines,
// and their failures pause again. A machine that is not back by its deadline has no failure recorded here: it is away, and did
// not restart.

// flapHistory holds the last failures of a machine, at most FlapThreshold, oldest first.
type flapHistory struct {
	Failures []time.Duration `json:"fails,omitempty"` // agreed times, ascending
	Flapping bool            `json:"flaps,omitempty"`
	UpAt     time.Duration   `json:"up_at,omitempty"` // start of the current uptime; 0: up since before it was known
}

// flapWindow is the time span within which failures are counted, and the time a flapping machine must be up without a failure
// before it is relied on again.
func (l *Limits) flapWindow() time.Duration { return MaxPauseFactor * l.FailurePause }

// isFlapping reports whether the machine is not relied on at time now. A status of Unknown counts neither as a failure nor as a
// restart.
func (s *State) isFlapping(m *machine, now time.Duration) bool {
	return m.Flapping && (m.Last != Up || now < m.UpAt+s.limits.flapWindow())
}

// recordFailure records a failure of the machine at time at and reports whether it pauses maintenance.
func (s *State) recordFailure(m *machine, at time.Duration) bool {
	pauses := s.wouldPause(m)
	if n := len(m.Failures); n > 0 {
		at = max(at, m.Failures[n-1]) // keeps the times ascending: the machine may be reported gone only after its restart
	}
	m.Failures = append(m.Failures, at)
	if n := len(m.Failures); n > FlapThreshold {
		m.Failures = slices.Clone(m.Failures[n-FlapThreshold:])
	}
	if !m.Flapping && len(m.Failures) == FlapThreshold && s.limits.FailurePause > 0 {
		m.Flapping = at-m.Failures[0] <= s.limits.flapWindow()
	}
	return pauses
}

// wouldPause reports whether a failure of the machine would pause maintenance now.
func (s *State) wouldPause(m *machine) bool {
	return m == nil || !s.isFlapping(m, s.now) || len(s.Flapping(s.now)) > s.limits.MaxOut
}

// Flapping returns the sorted names of the machines that are not relied on because of repeated failures.
func (s *State) Flapping(now time.Duration) (names []string) {
	for _, m := range s.list {
		if s.isFlapping(m, max(now, s.now)) {
			names = append(names, m.Name)
		}
	}
	return names
}

// validate reports whether a saved history is inconsistent.
func (f *flapHistory) validate() error {
	switch {
	case len(f.Failures) > FlapThreshold || !slices.IsSorted(f.Failures):
		return fmt.Errorf("%d failures are stored, at most %d in ascending order are allowed", len(f.Failures), FlapThreshold)
	case f.Flapping && len(f.Failures) < FlapThreshold:
		return errors.New("flapping with fewer failures than the threshold")
	}
	return nil
}
