package view

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// drain is the local state of one live grant.
type drain struct {
	machine   string
	fence     uint64
	applied   bool // the replica is drained; always false for a co-ordinator, which needs no drain
	until     time.Duration
	confirmed bool          // a later Step has followed the one that applied it
	graceFrom time.Duration // local time from which Grace counts
	// rejectedReason is the reason why the drain is not applied. It is permanent in phase Granted, because the rejection was reported;
	// in later phases the drain is applied once it can be.
	rejectedReason string
}

func byFence(a, b drain) int { return cmp.Compare(a.fence, b.fence) }

// confirmDrains starts the Grace of the drains that the previous Step applied, because its outputs have been carried out by now.
// After a gap it restarts the Grace of drains that are not reported yet: requests that were being sent when the process stalled
// are sent only when it resumes.
func (v *View) confirmDrains(now time.Duration, gap bool) {
	reported := func(d drain) bool {
		return slices.ContainsFunc(v.polls.reported, func(s DrainStatus) bool { return s.Fence == d.fence && s.Machine == d.machine })
	}
	for i, d := range v.drains {
		if !d.confirmed || gap && !reported(d) {
			v.drains[i].confirmed, v.drains[i].graceFrom = true, now
		}
	}
}

// dropEndedDrains lifts the drains whose grants are no longer live in the agreed state. While cut off it also lifts those whose grant
// has ended by the local clock, with the drift added.
func (v *View) dropEndedDrains(now time.Duration) {
	if !v.applied {
		return
	}
	v.drains = slices.DeleteFunc(v.drains, func(d drain) bool {
		return !slices.ContainsFunc(v.live, func(it maintenance.Item) bool { return it.Fence == d.fence && it.Machine == d.machine })
	})
	for _, it := range v.live {
		if i := v.drainIndex(it.Fence); i >= 0 {
			v.drains[i].until = it.Until
		}
	}
	if v.cutOff {
		v.drains = slices.DeleteFunc(v.drains, func(d drain) bool { return now >= v.grantEnd(d.until) })
	}
}

// drainIndex returns the index in v.drains of the drain for the grant with this fence, or -1.
func (v *View) drainIndex(fence uint64) int {
	return slices.IndexFunc(v.drains, func(d drain) bool { return d.fence == fence })
}

// grantEnd returns the local time by which the agreed time until has passed for certain, whatever the clock drift.
func (v *View) grantEnd(until time.Duration) time.Duration {
	return v.agreedAt + withDrift(max(until-v.agreedTime, 0))
}

// applyDrains applies the drains of new grants in their order, unless the view is cut off or has no replica list yet. Before the first
// answer to this process, the grants in its copy on disk are applied all the same, because the previous process may have reported them
// as applied.
func (v *View) applyDrains(now time.Duration) {
	if v.cutOff && v.polls.answered || !v.replicasKnown {
		return
	}
	for _, it := range v.live {
		m := v.machines[it.Machine]
		if i := v.drainIndex(it.Fence); i >= 0 {
			if d := &v.drains[i]; d.rejectedReason != "" && it.Phase != maintenance.Granted && v.shardWithoutHolder(m) == "" {
				*d = drain{machine: d.machine, fence: d.fence, until: d.until, graceFrom: now, applied: true}
			}
			continue
		}
		if v.cutOff && now >= v.grantEnd(it.Until) {
			continue
		}
		d := drain{machine: it.Machine, fence: it.Fence, until: it.Until, graceFrom: now, applied: m.Kind != maintenance.Coordinator}
		if d.applied {
			if d.rejectedReason = v.shardWithoutHolder(m); d.rejectedReason != "" {
				d.applied = false
				v.log("the drain of %s (grant %d) is not applied: %s", d.machine, d.fence, d.rejectedReason)
			}
		}
		v.drains = append(v.drains, d)
	}
	slices.SortFunc(v.drains, byFence)
}

// shardWithoutHolder returns a text that names a shard that would have no holder up in the local replica list if the machine were
// drained as well, or "" if there is none. A machine that is not in the list counts as up. Draining a machine that the list has as not
// up removes no holder.
func (v *View) shardWithoutHolder(m maintenance.Machine) string {
	drained := func(name string) bool {
		return slices.ContainsFunc(v.drains, func(d drain) bool { return d.applied && d.machine == name }) ||
			slices.ContainsFunc(v.previousDrains, func(o previousDrain) bool { return o.machine == name })
	}
	up := map[int]int{} // number of replicas up by cell, without the machine
	cell := m.Cell
	for _, o := range v.replicas {
		switch {
		case o.Kind == maintenance.Coordinator:
		case o.Name == m.Name:
			if o.Status != maintenance.Up {
				return ""
			}
			cell = o.Cell
		case o.Status == maintenance.Up && !drained(o.Name):
			up[o.Cell]++
		}
	}
	l := v.limits
	if cell < 0 || l.Cells <= 0 {
		return ""
	}
	for s := range min(l.Shards, l.Cells) { // shard s has the same holders as shard s mod Cells
		holds, others := false, 0
		for j := range min(l.Reach, l.Cells) {
			c := (s + j) % l.Cells
			holds = holds || c == cell
			others += up[c]
		}
		if holds && others == 0 {
			return fmt.Sprintf("shard %d would be left without a holder up in the own list", s)
		}
	}
	return ""
}

// emitDrains emits the set of drains if it changed, and records it for Check.
func (v *View) emitDrains(now time.Duration) {
	var names []string
	v.dropEndedPrevious(now)
	for _, d := range v.drains {
		if d.applied {
			names = append(names, d.machine)
		}
	}
	for _, o := range v.previousDrains {
		names = append(names, o.machine)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.Equal(names, v.sentDrains) {
		v.recordGrants(names)
		return
	}
	v.checkChange(now, names)
	v.recordGrants(names)
	v.sentDrains = names
	v.out = append(v.out, Drains{slices.Clone(names)})
}
