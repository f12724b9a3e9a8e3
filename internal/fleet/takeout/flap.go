package takeout

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Flapping machines (W6). One machine in a crash loop would keep the plan paused without end, and with it its own
// repair. So a machine's failures outside the plan are counted, and the FlapFails-th within CalmMost times Calm, which
// still pauses, makes it flapping: nothing relies on it any more. It counts as not up and not warm (W1, W3) and as no
// voter that is up (W2), until it has been up without a failure for CalmMost times Calm. Its further failures take
// nothing away that is counted on, so they neither pause nor lengthen a pause; those of others do. It may be granted
// as a broken one may: its going takes nothing from W1 and W3, but a place of W2.
//
// A machine that fails less often, one in four times Calm at most, pauses the plan for Calm each time: a quarter of the
// time. More than OutMost that flap at once are no single machines but a fleet in trouble: their failures pause again.
// That one is not back by its time is no failure that is counted here: it is away, and did not come and go.

// flap is what is remembered of a machine's failures. Fails are at most FlapFails; the oldest goes first.
type flap struct {
	Fails []time.Duration `json:"fails,omitempty"` // agreed times
	Flaps bool            `json:"flaps,omitempty"`
	UpAt  time.Duration   `json:"up_at,omitempty"` // since when it is up, if it is; 0: since before it was known
}

// span is in which failures are counted, and for how long one that flaps has to be calm.
func (l *Limits) span() time.Duration { return CalmMost * l.Calm }

// flaps: it is not relied on at the time. News that is lost meanwhile is no failure, and no rise either.
func (s *State) flaps(m *machine, now time.Duration) bool {
	return m.Flaps && (m.Last != Up || now < m.UpAt+s.limits.span())
}

// failed counts a machine's failure of the time at, and says whether it pauses the plan.
func (s *State) failed(m *machine, at time.Duration) bool {
	pauses := s.pauses(m)
	if n := len(m.Fails); n > 0 {
		at = max(at, m.Fails[n-1]) // it may have been known as gone only after it had started anew
	}
	m.Fails = append(m.Fails, at)
	if n := len(m.Fails); n > FlapFails {
		m.Fails = slices.Clone(m.Fails[n-FlapFails:])
	}
	if !m.Flaps && len(m.Fails) == FlapFails && s.limits.Calm > 0 {
		m.Flaps = at-m.Fails[0] <= s.limits.span()
	}
	return pauses
}

// pauses says whether a failure of the machine would pause the plan now.
func (s *State) pauses(m *machine) bool {
	return m == nil || !s.flaps(m, s.now) || len(s.Flapping(s.now)) > s.limits.OutMost
}

// Flapping are the names of the machines that are not relied on since they fail again and again, sorted.
func (s *State) Flapping(now time.Duration) (names []string) {
	for _, m := range s.list {
		if s.flaps(m, max(now, s.now)) {
			names = append(names, m.Name)
		}
	}
	return names
}

// valid says what of a saved one can not be.
func (f *flap) valid() error {
	switch {
	case len(f.Fails) > FlapFails || !slices.IsSorted(f.Fails):
		return fmt.Errorf("%d failures are remembered, %d in their order may be", len(f.Fails), FlapFails)
	case f.Flaps && len(f.Fails) < FlapFails:
		return errors.New("it flaps after too few failures")
	}
	return nil
}
