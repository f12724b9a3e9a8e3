package drainctl

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// sortedMachines is the list by name, each once: the first said counts.
func sortedMachines(in []maintenance.Machine) []maintenance.Machine {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b maintenance.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b maintenance.Machine) bool { return a.Name == b.Name })
}

func sortedMembers(in []Member) []Member {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b Member) bool { return a.Name == b.Name })
}

// mergedInventory is the inventory as it is seen now, by name. What the agreed one has and the list has not is gone; a
// co-ordinator of which nothing was heard is unknown at first.
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

// differsFromAgreed says whether the agreed inventory has the machine otherwise. A start that is not known is no difference, nor is
// a machine that is gone and not in the inventory.
func (c *Controller) differsFromAgreed(m maintenance.Machine) bool {
	old, ok := c.state.Machine(m.Name)
	if m.Status == maintenance.Unknown || m.Started == 0 && m.Status != maintenance.Up {
		m.Started = old.Started
	}
	return ok && m != old || !ok && m.Status != maintenance.Gone
}

// fleetLoad is the sum of what the co-ordinators reported theirs lately, scaled to all that may be serving: those that are not
// gone, though nothing is known of them, as a cut-off one goes on serving. Unknown if too few reported.
func (c *Controller) fleetLoad(age time.Duration) (load float64, known bool) {
	serving, reported := 0, 0
	for _, m := range c.members {
		if m.Status == maintenance.Gone {
			continue
		}
		serving++
		if m.Status == maintenance.Up && m.LoadKnown && m.LoadAge+c.now-c.membersAt <= age {
			reported++
			load += m.Load
		}
	}
	for _, m := range c.state.Machines() { // of whom this leader has heard nothing
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

// proposeObserve proposes what changed against the agreed inventory, or all of it if that is wanted; while something is open
// also when the last observation is half as old as it may be. It is said to be of when the older of the two lists was
// confirmed, so that what is not confirmed any more grows old in the agreed state too.
func (c *Controller) proposeObserve(limits maintenance.Limits, open []maintenance.Item) {
	if !c.replicasKnown || !c.membersKnown || c.observed && c.now < c.observedAt+MinObserveInterval {
		return
	}
	at := max(c.time-(c.now-min(c.replicasAt, c.membersAt)), 0)
	last, ever := c.state.ObservedAt()
	if ever && at < last || !c.inventoryChanged {
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
	if cut := countFitting(body.Machines); cut < len(body.Machines) {
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

// limitObservation makes a part of an observation that is too large for one command: changes that fit, or, once there are none left of
// a whole one, the word that all is as agreed. A part is of the time of the observation before it, so that it makes nothing of
// what is not known yet look newer than it is.
func (c *Controller) limitObservation(body *maintenance.ObserveBody, last time.Duration) {
	whole := body.Complete
	body.Complete, body.Machines = false, c.changedMachines(body.Machines)
	cut := countFitting(body.Machines)
	switch {
	case whole && len(body.Machines) == 0:
		body.Complete, body.Digest = true, c.state.InventoryDigest()
	case whole || cut < len(body.Machines):
		body.Machines = body.Machines[:cut]
		if last > 0 {
			body.ObservedAt = last
		}
	}
}

// countFitting is how many of the machines go into MaxObservationSize bytes, one at the least.
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

// changedMachines are those that the agreed inventory does not have as they are.
func (c *Controller) changedMachines(ms []maintenance.Machine) []maintenance.Machine {
	return slices.DeleteFunc(slices.Clone(ms), func(m maintenance.Machine) bool { return !c.differsFromAgreed(m) })
}
