package fleet

import (
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
	"birchcart/policy"
)

var statuses = map[policy.Readiness]maintenance.Status{policy.Up: maintenance.Up, policy.Draining: maintenance.Terminating, policy.Removed: maintenance.Gone}

// machines is discovery's list as machines.
func machines(list []exchange.Entry) []maintenance.Machine {
	out := make([]maintenance.Machine, len(list))
	for i, e := range list {
		m := maintenance.Machine{Name: e.Name, Kind: maintenance.Replica, Zone: e.Zone, Cell: e.Cell, Size: e.Size, Status: statuses[e.State]}
		if !e.Started.IsZero() {
			m.Started = time.Duration(e.Started.UnixNano())
		}
		out[i] = m
	}
	return out
}

// A member that is suspected may be healthy or not: nothing is known of it.
var states = map[member.State]maintenance.Status{
	member.Alive: maintenance.Up, member.Suspect: maintenance.Unknown, member.Unknown: maintenance.Unknown, member.Dead: maintenance.Gone, member.Left: maintenance.Gone,
}

// coordinators is the members' news as the leader takes it. Incarnations are times of start. Loads are those that came
// with polls: they are told more often than gossip tells them.
func coordinators(list []member.Member, loads map[string]loadReport, voters map[string]bool, now time.Duration) []drainctl.Member {
	out := make([]drainctl.Member, len(list))
	for i, m := range list {
		l, ok := loads[m.Name]
		out[i] = drainctl.Member{
			Name: m.Name, Zone: m.Zone, Status: states[m.State], Started: time.Duration(m.Incarnation), Voter: voters[m.Name],
			Load: l.load, LoadKnown: ok && l.known, LoadAge: now - l.at,
		}
	}
	return out
}

// loadReport is the load of one co-ordinator as it last reported it, in mean replicas that it keeps busy.
type loadReport struct {
	load  float64
	known bool
	at    time.Duration // own time
	era   uint64        // of what it goes by
}
