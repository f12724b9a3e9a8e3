package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Flapping machines (W6). One machine in a crash loop would keep the plan paused without end, and with it its own
// repair. So a machine's failures outside the plan are counted, and the FlapThreshold-th within MaxPauseFactor times FailurePause, which
// still pauses, makes it flapping: nothing relies on it any more. It counts as not up and not warm (W1, W3) and as no
// voter that is up (W2), until it has been up without a failure for MaxPauseFactor times FailurePause. Its further failures take
// nothing away that is counted on, so they neither pause nor lengthen a pause; those of others do. It may be granted
// as a broken one may: its going takes nothing from W1 and W3, but a place of W2.
//
// A machine that fails less often, one in four times FailurePause at most, pauses the plan for FailurePause each time: a quarter of the
// time. More than MaxOut that flap at once are no single machines but a fleet in trouble: their failures pause again.
// That one is not back by its time is no failure that is counted here: it is away, and did not come and go.

// flapHistory is what is remembered of a machine's failures. Failures are at most FlapThreshold; the oldest goes first.
type flapHistory struct {
	Failures []time.Duration `json:"fails,omitempty"` // agreed times
	Flapping bool            `json:"flaps,omitempty"`
	UpAt     time.Duration   `json:"up_at,omitempty"` // since when it is up, if it is; 0: since before it was known
}

// flapWindow is the span in which failures are counted, and for how long one that flaps has to be calm.
func (l *Limits) flapWindow() time.Duration { return MaxPauseFactor * l.FailurePause }

// isFlapping says whether the machine is not relied on at that time. News that is lost meanwhile is no failure, and no rise either.
func (s *State) isFlapping(m *machine, now time.Duration) bool {
	return m.Flapping && (m.Last != Up || now < m.UpAt+s.limits.flapWindow())
}

// recordFailure counts a machine's failure of the time at, and says whether it pauses the plan.
func (s *State) recordFailure(m *machine, at time.Duration) bool {
	pauses := s.wouldPause(m)
	if n := len(m.Failures); n > 0 {
		at = max(at, m.Failures[n-1]) // it may have been known as gone only after it had started anew
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

// wouldPause says whether a failure of the machine would pause the plan now.
func (s *State) wouldPause(m *machine) bool {
	return m == nil || !s.isFlapping(m, s.now) || len(s.Flapping(s.now)) > s.limits.MaxOut
}

// Flapping are the names of the machines that are not relied on since they fail again and again, sorted.
func (s *State) Flapping(now time.Duration) (names []string) {
	for _, m := range s.list {
		if s.isFlapping(m, max(now, s.now)) {
			names = append(names, m.Name)
		}
	}
	return names
}

// valid says what of a saved one can not be.
func (f *flapHistory) validate() error {
	switch {
	case len(f.Failures) > FlapThreshold || !slices.IsSorted(f.Failures):
		return fmt.Errorf("%d failures are remembered, %d in their order may be", len(f.Failures), FlapThreshold)
	case f.Flapping && len(f.Failures) < FlapThreshold:
		return errors.New("it flaps after too few failures")
	}
	return nil
}
