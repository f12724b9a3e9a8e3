package lanepart

import (
	"slices"
	"time"

	"birchcart/internal/fleet/loadshed"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
)

// MembershipInterval is between looks at who there is.
const MembershipInterval = time.Second

// membershipCache is who there is, for the load shedding's steps alone.
type membershipCache struct {
	host       *Host
	updatedAt  time.Duration
	membership loadshed.Membership
}

// current is who is agreed to be there and not gone, and who gossip hears of. What is agreed stays while this one is cut off, so
// that it knows of how few it hears.
func (r *membershipCache) current() loadshed.Membership {
	now := time.Since(r.host.StartTime)
	if r.membership.Names != nil && now < r.updatedAt+MembershipInterval {
		return r.membership
	}
	r.updatedAt = now
	var agreed []maintenance.Machine
	r.host.State.WithLock(func() { agreed = r.host.State.Maintenance.Machines() })
	r.membership = membershipOf(r.host.Name, agreed, r.host.Members())
	return r.membership
}

func membershipOf(self string, agreed []maintenance.Machine, heard []member.Member) (out loadshed.Membership) {
	out.Names = []string{self}
	for _, m := range agreed {
		if m.Kind == maintenance.Coordinator && m.Status != maintenance.Gone {
			out.Names = append(out.Names, m.Name)
			out.AgreedCount++
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
