package swap

import (
	"testing"
	"time"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/migrate/baseline"
)

func settings(n, sessions int) Settings {
	return Settings{Coordinators: n, Sessions: sessions, CapacityFactor: 1.5, WaveSize: 1, Zones: 3, Outage: 30 * time.Second,
		InFlight: 200, PerMinute: 6000, IdlePercent: 60}
}

// A whole swap needs no more moves than the lower bound: each session moves once, and those of the first wave twice, since no
// co-ordinator is back yet.
func TestSwapMovesSessionsOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*Settings)
		each float64
	}{
		{"ten", func(*Settings) {}, 1.1},
		{"with slots", func(s *Settings) { s.Replicas, s.SessionsPerSlot = 5, 8 }, 1.1},
		{"two go out at once", func(s *Settings) { s.WaveSize = 2 }, 1.2},
		{"a hundred", func(s *Settings) { s.Coordinators = 100 }, 1.01},
		{"uneven", func(s *Settings) { s.Uneven, s.CapacityFactor = true, 2 }, 1.06},
		{"little spare capacity", func(s *Settings) { s.CapacityFactor = 1.15 }, 1.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := settings(10, 2000)
			if c.set(&s); s.Coordinators > 10 && testing.Short() {
				t.Skip("6,000 steps")
			}
			r, err := Run(s)
			if err != nil || r.Lost != 0 || r.MovesPerSession > c.each+1e-9 || r.Moves != r.Bound || r.Forecast.Moves != r.Moves {
				t.Errorf("%+v, %v", r, err)
			}
			if late := r.Duration - (r.Forecast.End - time.Hour); late > time.Duration(r.Forecast.Waves)*6*time.Second {
				t.Errorf("it took %v, %v longer than the forecast", r.Duration, late)
			}
		})
	}
}

// The baselines, which ignore the order of work, move sessions more often than the planner.
func TestBaselinesMoveSessionsMoreOften(t *testing.T) {
	for name, p := range map[string]migrate.Prefer{"random": baseline.Random(1), "ring": baseline.Ring, "emptiest": baseline.Emptiest} {
		s := settings(10, 2000)
		s.Prefer, s.Uneven, s.CapacityFactor = p, true, 2
		if r, err := Run(s); err != nil || r.MovesPerSession < 1.12 {
			t.Errorf("%s: %+v, %v", name, r, err)
		}
	}
}
