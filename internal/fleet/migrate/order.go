package migrate

import (
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/waveplan"
)

// FromState returns the co-ordinators of the agreed order of work, sorted by name: their ranks by the waves of a plan, which of
// them are leaving, and their deadlines. Live follows the inventory only; the caller has to check leases and to fill in Capacity.
// A call computes a plan of waves, so it should be made only after the state has changed or the time of a wait is over.
func FromState(s *maintenance.State, now time.Duration) []Coordinator {
	plan := waveplan.Plan(waveplan.FromState(s, now))
	rank := map[string]int{}
	for w, names := range plan.Waves {
		for _, name := range names {
			rank[name] = w
		}
	}
	limits, _ := s.Limits()
	var out []Coordinator
	at := map[string]int{}
	for _, m := range s.Machines() { // sorted by name
		if m.Kind == maintenance.Coordinator {
			at[m.Name] = len(out)
			out = append(out, Coordinator{Name: m.Name, Zone: m.Zone, Live: m.Status == maintenance.Up, Rank: RankNone})
		}
	}
	for _, it := range s.Items() {
		i, ok := at[it.Machine]
		if !ok {
			continue
		}
		c := &out[i]
		switch it.Phase {
		case maintenance.Granted, maintenance.Acknowledged:
			c.Leaving, c.Rank, c.Deadline = true, 0, it.Until
		case maintenance.Out:
			c.Leaving, c.Rank = true, 0
		case maintenance.Pending:
			if w, planned := rank[it.Machine]; planned {
				c.Rank = max(c.Rank, w)
			} else { // too early, held back or beyond the planned waves: goes after all of them
				c.Rank = len(plan.Waves)
			}
		case maintenance.Expired, maintenance.Withdrawn:
			if it.Fence > 0 && now < it.EndedAt+limits.SettleTime {
				c.Rank = max(c.Rank, 0) // maintenance tools may still be about to take it out
			}
		}
	}
	return out
}
