package view

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// drain is what became of one live grant here.
type drain struct {
	machine        string
	fence          uint64
	applied        bool // a replica's: its drain is applied; nothing is to be applied for a co-ordinator's
	until          time.Duration
	confirmed      bool          // a Step came after the one that applied it
	graceFrom      time.Duration // own time from which its Grace counts
	rejectedReason string        // why it is not applied: for good while it is only granted, as that was said; else until it can be
}

func byFence(a, b drain) int { return cmp.Compare(a.fence, b.fence) }

// confirmDrains counts the Grace of what the last Step applied from now on, as it was certainly carried out by now. After a gap
// the Grace of what was not reported yet starts anew: what was being sent when the process stopped is sent when it wakes.
func (v *View) confirmDrains(now time.Duration, gap bool) {
	reported := func(l drain) bool {
		return slices.ContainsFunc(v.polls.reported, func(s DrainStatus) bool { return s.Fence == l.fence && s.Machine == l.machine })
	}
	for i, l := range v.drains {
		if !l.confirmed || gap && !reported(l) {
			v.drains[i].confirmed, v.drains[i].graceFrom = true, now
		}
	}
}

// dropEndedDrains brings what is applied up to the agreed state: what ended is lifted. While cut off, so is what is past its grant's
// end, by the own clock and the drift.
func (v *View) dropEndedDrains(now time.Duration) {
	if !v.applied {
		return
	}
	v.drains = slices.DeleteFunc(v.drains, func(l drain) bool {
		return !slices.ContainsFunc(v.live, func(it maintenance.Item) bool { return it.Fence == l.fence && it.Machine == l.machine })
	})
	for _, it := range v.live {
		if i := v.drainIndex(it.Fence); i >= 0 {
			v.drains[i].until = it.Until
		}
	}
	if v.cutOff {
		v.drains = slices.DeleteFunc(v.drains, func(l drain) bool { return now >= v.grantEnd(l.until) })
	}
}

// drainIndex is the place of the grant's lay, or -1.
func (v *View) drainIndex(fence uint64) int {
	return slices.IndexFunc(v.drains, func(l drain) bool { return l.fence == fence })
}

// grantEnd is when an agreed time has passed for certain, by the own clock.
func (v *View) grantEnd(until time.Duration) time.Duration {
	return v.agreedAt + withDrift(max(until-v.agreedTime, 0))
}

// applyDrains applies the drains of new grants, in their order, unless cut off or without an own list yet. Before the first
// answer to this process, what its copy on disk says is applied all the same: the process before may have said that it was.
func (v *View) applyDrains(now time.Duration) {
	if v.cutOff && v.polls.answered || !v.replicasKnown {
		return
	}
	for _, it := range v.live {
		m := v.machines[it.Machine]
		if i := v.drainIndex(it.Fence); i >= 0 {
			if l := &v.drains[i]; l.rejectedReason != "" && it.Phase != maintenance.Granted && v.shardWithoutHolder(m) == "" {
				*l = drain{machine: l.machine, fence: l.fence, until: l.until, graceFrom: now, applied: true}
			}
			continue
		}
		if v.cutOff && now >= v.grantEnd(it.Until) {
			continue
		}
		l := drain{machine: it.Machine, fence: it.Fence, until: it.Until, graceFrom: now, applied: m.Kind != maintenance.Coordinator}
		if l.applied {
			if l.rejectedReason = v.shardWithoutHolder(m); l.rejectedReason != "" {
				l.applied = false
				v.log("the drain of %s (grant %d) is not applied: %s", l.machine, l.fence, l.rejectedReason)
			}
		}
		v.drains = append(v.drains, l)
	}
	slices.SortFunc(v.drains, byFence)
}

// shardWithoutHolder says which shard would be left without any holder that is up in the own list if the machine were drained
// as well, or nothing. One that the own list does not have counts as up, one that it has as not up takes nothing away.
func (v *View) shardWithoutHolder(m maintenance.Machine) string {
	drained := func(name string) bool {
		return slices.ContainsFunc(v.drains, func(l drain) bool { return l.applied && l.machine == name }) ||
			slices.ContainsFunc(v.previousDrains, func(o previousDrain) bool { return o.machine == name })
	}
	up := map[int]int{} // by cell, without the machine
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
	for s := range min(l.Shards, l.Cells) { // the holders of s are those of s mod Cells
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

// emitDrains hands out the set of drains if it changed, and keeps the evidence for Check.
func (v *View) emitDrains(now time.Duration) {
	var names []string
	v.dropEndedPrevious(now)
	for _, l := range v.drains {
		if l.applied {
			names = append(names, l.machine)
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
