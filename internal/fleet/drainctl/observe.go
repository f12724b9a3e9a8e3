package drainctl

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// sortedMachines returns the list sorted by name. Of duplicates the first one in the list is kept.
func sortedMachines(in []maintenance.Machine) []maintenance.Machine {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b maintenance.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b maintenance.Machine) bool { return a.Name == b.Name })
}

// sortedMembers returns the members sorted by name. Of duplicates the first one in the list is kept.
func sortedMembers(in []Member) []Member {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b Member) bool { return a.Name == b.Name })
}

// mergedInventory returns the inventory as it is seen now, sorted by name. A machine that is in the agreed inventory but not in
// the lists is gone; a missing co-ordinator is unknown at first.
func (c *Controller) mergedInventory() []maintenance.Machine {
	if c.inventory == nil {
		for _, m := range c.replicas {
			m.Kind, m.Voter = maintenance.Replica, false
			c.inventory = append(c.inventory, m)
		}
		for _, m := range c.members {
			c.inventory = append(c.inventory, maintenance.Machine{Name: m.Name, Kind: maintenance.Coordinator, Zone: m.Zone, Status: m.Status,
				Started: m.Started, Voter: m.Voter})
		}
		c.inventory = sortedMachines(c.inventory)
	}
	all := c.inventory[:len(c.inventory):len(c.inventory)]
	for _, m := range c.state.Machines() {
		if _, ok := slices.BinarySearchFunc(c.inventory, m.Name, byName); ok {
			continue
		}
		if m.Status != maintenance.Gone {
			m.Status = maintenance.Gone
			if m.Kind == maintenance.Coordinator && c.now < c.electedAt+MemberDiscoveryGrace {
				m.Status = maintenance.Unknown
			}
		}
		all = append(all, m)
	}
	if len(all) == len(c.inventory) {
		return all
	}
	return sortedMachines(all)
}

func byName(m maintenance.Machine, name string) int { return cmp.Compare(m.Name, name) }

// differsFromAgreed reports whether the agreed inventory has a different entry for the machine. An unknown start is no
// difference, nor is a gone machine that is not in the agreed inventory.
func (c *Controller) differsFromAgreed(m maintenance.Machine) bool {
	old, ok := c.state.Machine(m.Name)
	if m.Status == maintenance.Unknown || m.Started == 0 && m.Status != maintenance.Up {
		m.Started = old.Started
	}
	return ok && m != old || !ok && m.Status != maintenance.Gone
}

// fleetLoad returns the sum of the loads that the co-ordinators reported within maxAge, scaled to all that may be serving. These
// are all that are not gone, even if nothing is known of them, because a partitioned co-ordinator goes on serving. The load is
// unknown if too few reported.
func (c *Controller) fleetLoad(maxAge time.Duration) (load float64, known bool) {
	serving, reported := 0, 0
	for _, m := range c.members {
		if m.Status == maintenance.Gone {
			continue
		}
		serving++
		if m.Status == maintenance.Up && m.LoadKnown && m.LoadAge+c.now-c.membersAt <= maxAge {
			reported++
			load += m.Load
		}
	}
	for _, m := range c.state.Machines() { // those that are not in the membership
		if m.Kind != maintenance.Coordinator || m.Status == maintenance.Gone {
			continue
		}
		if _, ok := slices.BinarySearchFunc(c.members, m.Name, func(o Member, name string) int { return cmp.Compare(o.Name, name) }); !ok {
			serving++
		}
	}
	if reported == 0 || float64(reported) < MinLoadCoverage*float64(serving) {
		return 0, false
	}
	return load * float64(serving) / float64(reported), true
}

// proposeObserve proposes the differences from the agreed inventory, or all of it if the state needs that. While items are open
// it also proposes an observation when the last one has reached half of its maximum age. The observation has the time at which
// the older of the two lists was confirmed, so that an unconfirmed list ages in the agreed state too.
func (c *Controller) proposeObserve(limits maintenance.Limits, open []maintenance.Item) {
	if !c.replicasKnown || !c.membersKnown || c.observed && c.now < c.observedAt+MinObserveInterval {
		return
	}
	at := max(c.time-(c.now-min(c.replicasAt, c.membersAt)), 0)
	last, observedBefore := c.state.ObservedAt()
	if observedBefore && at < last || !c.inventoryChanged {
		return
	}
	c.inventoryChanged = false
	body := maintenance.ObserveBody{Complete: c.state.NeedsCompleteInventory(), ObservedAt: at}
	all := c.mergedInventory()
	for _, m := range all {
		if body.Complete || c.differsFromAgreed(m) {
			body.Machines = append(body.Machines, m)
		}
	}
	if fitting := countFitting(body.Machines); fitting < len(body.Machines) {
		c.limitObservation(&body, last)
	}
	body.Load, body.LoadKnown = c.fleetLoad(limits.MaxLoadAge)
	if len(body.Machines) == 0 && !body.Complete {
		if len(open) == 0 {
			return
		}
		_, _, known := c.state.ObservedLoad()
		fresh := min(limits.MaxInventoryAge, limits.MaxLoadAge) / 2
		if at-last < fresh && (known || !body.LoadKnown) {
			return
		}
	}
	if c.propose("observe", "observe", body, func() bool {
		when, ok := c.state.ObservedAt()
		return ok && when >= body.ObservedAt && len(c.changedMachines(body.Machines)) == 0
	}) {
		c.observed, c.observedAt = true, c.now
	}
}

// limitObservation reduces an observation that is too large for one command to a part: changes that fit or, once a complete
// observation has none left, the digest that confirms the agreed inventory. A part has the time of the previous observation, so
// that it does not make machines that are not covered yet look newer than they are.
func (c *Controller) limitObservation(body *maintenance.ObserveBody, last time.Duration) {
	complete := body.Complete
	body.Complete, body.Machines = false, c.changedMachines(body.Machines)
	fitting := countFitting(body.Machines)
	switch {
	case complete && len(body.Machines) == 0:
		body.Complete, body.Digest = true, c.state.InventoryDigest()
	case complete || fitting < len(body.Machines):
		body.Machines = body.Machines[:fitting]
		if last > 0 {
			body.ObservedAt = last
		}
	}
}

// countFitting returns how many of the machines fit in MaxObservationSize bytes, at least one.
func countFitting(ms []maintenance.Machine) int {
	size := 0
	for i, m := range ms {
		raw, err := json.Marshal(m)
		if size += len(raw) + 1; err == nil && size > MaxObservationSize && i > 0 {
			return i
		}
	}
	return len(ms)
}

// changedMachines returns the machines that differ from the agreed inventory.
func (c *Controller) changedMachines(ms []maintenance.Machine) []maintenance.Machine {
	return slices.DeleteFunc(slices.Clone(ms), func(m maintenance.Machine) bool { return !c.differsFromAgreed(m) })
}
