// Package inventory turns the endpoint list and the gossip membership into the machines that the drain controller observes.
// Its functions have no side effects.
package inventory

import (
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
	"birchcart/policy"
)

var replicaStatus = map[policy.Readiness]maintenance.Status{policy.Up: maintenance.Up, policy.Draining: maintenance.Terminating, policy.Removed: maintenance.Gone}

// Machines converts the endpoint list of discovery to machines.
func Machines(list []exchange.Endpoint) []maintenance.Machine {
	out := make([]maintenance.Machine, len(list))
	for i, e := range list {
		m := maintenance.Machine{Name: e.Name, Kind: maintenance.Replica, Zone: e.Zone, Cell: e.Cell, Size: e.Size, Status: replicaStatus[e.State]}
		if !e.Started.IsZero() {
			m.Started = time.Duration(e.Started.UnixNano())
		}
		out[i] = m
	}
	return out
}

// MemberStatus maps the gossip state of a member to its status. A suspected member may be healthy or not, so its status is unknown.
var MemberStatus = map[member.State]maintenance.Status{
	member.Alive: maintenance.Up, member.Suspect: maintenance.Unknown, member.Unknown: maintenance.Unknown, member.Dead: maintenance.Gone, member.Left: maintenance.Gone,
}

// Coordinators converts the gossip membership to the members that the drain controller observes. A member's incarnation is its time of
// start. Loads are taken from polls, which report them more often than gossip does.
func Coordinators(list []member.Member, loads map[string]LoadReport, voters map[string]bool, now time.Duration) []drainctl.Member {
	out := make([]drainctl.Member, len(list))
	for i, m := range list {
		l, ok := loads[m.Name]
		out[i] = drainctl.Member{
			Name: m.Name, Zone: m.Zone, Status: MemberStatus[m.State], Started: time.Duration(m.Incarnation), Voter: voters[m.Name],
			Load: l.Load, LoadKnown: ok && l.Known, LoadAge: now - l.At,
		}
	}
	return out
}

// LoadReport is the load of one co-ordinator as it last reported it, as the mean number of replicas that it keeps busy.
type LoadReport struct {
	Load  float64
	Known bool
	At    time.Duration // local monotonic time at which the report arrived
	Epoch uint64        // epoch of the sender's log
}
