package lanepart

import (
	"slices"
	"time"

	"birchcart/internal/fleet/loadshed"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
)

// MembershipInterval is the interval at which the membership is updated.
const MembershipInterval = time.Second

// membershipCache caches the membership. Only the load shedding's goroutine uses it.
type membershipCache struct {
	host       *Host
	updatedAt  time.Duration
	membership loadshed.Membership
}

// current returns the co-ordinators that are in the agreed state and not gone, and those that gossip reports. The agreed ones stay
// members while this co-ordinator is cut off, so that it notices from how few of them it hears.
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

func membershipOf(self string, agreed []maintenance.Machine, gossiped []member.Member) (out loadshed.Membership) {
	out.Names = []string{self}
	for _, m := range agreed {
		if m.Kind == maintenance.Coordinator && m.Status != maintenance.Gone {
			out.Names = append(out.Names, m.Name)
			out.AgreedCount++
		}
	}
	for _, m := range gossiped {
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
