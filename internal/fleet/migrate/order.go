package migrate

import (
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/waveplan"
)

// FromState is what the agreed order of work says of the co-ordinators, by name: ranks by the waves of a plan, who leaves and
// until when. Live and Room are left to be filled in: Live is what the inventory says, leases are not looked at. It costs a plan
// of waves, so it is worth asking only after the state, or the time for a wait, has changed.
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
	for _, m := range s.Machines() { // by name
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
			} else { // not yet to go, kept, or beyond what is planned: after all that is
				c.Rank = len(plan.Waves)
			}
		case maintenance.Expired, maintenance.Withdrawn:
			if it.Fence > 0 && now < it.EndedAt+limits.SettleTime {
				c.Rank = max(c.Rank, 0) // its tools may still be on their way
			}
		}
	}
	return out
}
