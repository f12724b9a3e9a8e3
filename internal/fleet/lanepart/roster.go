package lanepart

import (
	"slices"
	"time"

	"birchcart/internal/fleet/loadshed"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
)

// RosterInterval is between looks at who there is.
const RosterInterval = time.Second

// roster is who there is, for the load shedding's steps alone.
type roster struct {
	host *Host
	at   time.Duration
	last loadshed.Crew
}

// current is who is agreed to be there and not gone, and who gossip hears of. What is agreed stays while this one is cut off, so
// that it knows of how few it hears.
func (r *roster) current() loadshed.Crew {
	now := time.Since(r.host.StartTime)
	if r.last.Names != nil && now < r.at+RosterInterval {
		return r.last
	}
	r.at = now
	var agreed []maintenance.Machine
	r.host.State.WithLock(func() { agreed = r.host.State.Maintenance.Machines() })
	r.last = rosterOf(r.host.Name, agreed, r.host.Members())
	return r.last
}

func rosterOf(self string, agreed []maintenance.Machine, heard []member.Member) (out loadshed.Crew) {
	out.Names = []string{self}
	for _, m := range agreed {
		if m.Kind == maintenance.Coordinator && m.Status != maintenance.Gone {
			out.Names = append(out.Names, m.Name)
			out.Agreed++
		}
	}
	for _, m := range heard {
		if m.State == member.Alive || m.State == member.Suspect {
			out.Names = append(out.Names, m.Name)
		}
		if m.State == member.Alive && m.Name != self {
			out.Live = append(out.Live, m.Name)
		}
	}
	slices.Sort(out.Names)
	out.Names = slices.Compact(out.Names)
	return out
}
