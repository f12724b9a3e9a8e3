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
func (c *membershipCache) current() loadshed.Membership {
	now := time.Since(c.host.StartTime)
	if c.membership.Names != nil && now < c.updatedAt+MembershipInterval {
		return c.membership
	}
	c.updatedAt = now
	var agreed []maintenance.Machine
	c.host.State.WithLock(func() { agreed = c.host.State.Maintenance.Machines() })
	c.membership = membershipOf(c.host.Name, agreed, c.host.Members())
	return c.membership
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
