package fleetsim

import (
	"slices"

	"birchcart/internal/fleet/fleetsim/clockwork"
)

// Shrink looks for a smaller schedule that still breaks a promise: without steps, requests, readers of a file, odd ways,
// faults of links and clocks. It plays at most so many worlds.
func Shrink(s *Schedule, most int) *Schedule {
	breaks := func(t *Schedule) bool {
		if most <= 0 {
			return false
		}
		most--
		return New(t).Run().Err != nil
	}
	for changed := true; changed && most > 0; {
		changed = false
		for size := max(1, len(s.Steps)/2); size >= 1 && most > 0; size /= 2 {
			for i := 0; i+size <= len(s.Steps); {
				if t := s.clone(); breaks(t.without(i, size)) {
					s, changed = t, true
					continue
				}
				i++
			}
		}
		for _, plain := range []func(*Schedule){
			func(t *Schedule) { t.Odd = 0 },
			func(t *Schedule) { t.Link = clockwork.Quality{Latency: t.Link.Latency} },
			func(t *Schedule) { t.Drift, t.Offset = 0, 0 },
			func(t *Schedule) { t.Asks = t.Asks[:1] },
			func(t *Schedule) { t.Asks[0].By = t.Asks[0].By[:1] },
			func(t *Schedule) { t.Asks[0].Asks.Requests = t.Asks[0].Asks.Requests[:1] },
			func(t *Schedule) { t.Asks[0].Asks.Requests = t.Asks[0].Asks.Requests[1:] },
		} {
			t := s.clone()
			plain(t)
			if t.String() != s.String() && len(t.Asks[0].Asks.Requests) > 0 && breaks(t) {
				s, changed = t, true
			}
		}
	}
	return s
}

func (s *Schedule) clone() *Schedule {
	t := *s
	t.Steps, t.Asks = slices.Clone(s.Steps), slices.Clone(s.Asks)
	for i := range t.Asks {
		t.Asks[i].By = slices.Clone(s.Asks[i].By)
		t.Asks[i].Asks.Requests = slices.Clone(s.Asks[i].Asks.Requests)
	}
	return &t
}

func (s *Schedule) without(at, n int) *Schedule {
	s.Steps = slices.Delete(s.Steps, at, at+n)
	return s
}
