package view

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// lay is what became of one live grant here.
type lay struct {
	machine   string
	fence     uint64
	drain     bool // a replica's: its drain is laid; nothing is to be laid for a co-ordinator's
	until     time.Duration
	confirmed bool          // a Step came after the one that laid it
	from      time.Duration // own time from which its Grace counts
	refused   string        // why it is not laid: for good while it is only granted, as that was said; else until it can be
}

func byFence(a, b lay) int { return cmp.Compare(a.fence, b.fence) }

// confirm counts the Grace of what the last Step laid from now on, as it was certainly carried out by now. After a gap
// the Grace of what was not said yet starts anew: what was being sent when the process stopped is sent when it wakes.
func (v *View) confirm(now time.Duration, gap bool) {
	said := func(l lay) bool {
		return slices.ContainsFunc(v.polls.said, func(s Laid) bool { return s.Fence == l.fence && s.Machine == l.machine })
	}
	for i, l := range v.lays {
		if !l.confirmed || gap && !said(l) {
			v.lays[i].confirmed, v.lays[i].from = true, now
		}
	}
}

// settle brings what is laid up to the agreed state: what ended is lifted. While cut off, so is what is past its grant's
// end, by the own clock and the drift.
func (v *View) settle(now time.Duration) {
	if !v.applied {
		return
	}
	v.lays = slices.DeleteFunc(v.lays, func(l lay) bool {
		return !slices.ContainsFunc(v.live, func(it maintenance.Item) bool { return it.Fence == l.fence && it.Machine == l.machine })
	})
	for _, it := range v.live {
		if i := v.laid(it.Fence); i >= 0 {
			v.lays[i].until = it.Until
		}
	}
	if v.cut {
		v.lays = slices.DeleteFunc(v.lays, func(l lay) bool { return now >= v.end(l.until) })
	}
}

// laid is the place of the grant's lay, or -1.
func (v *View) laid(fence uint64) int {
	return slices.IndexFunc(v.lays, func(l lay) bool { return l.fence == fence })
}

// end is when an agreed time has passed for certain, by the own clock.
func (v *View) end(until time.Duration) time.Duration {
	return v.agreedAt + longer(max(until-v.agreed, 0))
}

// layAll lays the drains of new grants, in their order, unless cut off or without an own list yet. Before the first
// answer to this process, what its copy on disk says is laid all the same: the process before may have said that it was.
func (v *View) layAll(now time.Duration) {
	if v.cut && v.polls.answered || !v.listed {
		return
	}
	for _, it := range v.live {
		m := v.kinds[it.Machine]
		if i := v.laid(it.Fence); i >= 0 {
			if l := &v.lays[i]; l.refused != "" && it.Phase != maintenance.Granted && v.leavesNone(m) == "" {
				*l = lay{machine: l.machine, fence: l.fence, until: l.until, from: now, drain: true}
			}
			continue
		}
		if v.cut && now >= v.end(it.Until) {
			continue
		}
		l := lay{machine: it.Machine, fence: it.Fence, until: it.Until, from: now, drain: m.Kind != maintenance.Coordinator}
		if l.drain {
			if l.refused = v.leavesNone(m); l.refused != "" {
				l.drain = false
				v.say("the drain of %s (grant %d) is not laid: %s", l.machine, l.fence, l.refused)
			}
		}
		v.lays = append(v.lays, l)
	}
	slices.SortFunc(v.lays, byFence)
}

// leavesNone says which shard would be left without any holder that is up in the own list if the machine were drained
// as well, or nothing. One that the own list does not have counts as up, one that it has as not up takes nothing away.
func (v *View) leavesNone(m maintenance.Machine) string {
	drained := func(name string) bool {
		return slices.ContainsFunc(v.lays, func(l lay) bool { return l.drain && l.machine == name }) ||
			slices.ContainsFunc(v.old, func(o old) bool { return o.machine == name })
	}
	up := map[int]int{} // by cell, without the machine
	cell := m.Cell
	for _, o := range v.own {
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

// putDrains hands out the set of drains if it changed, and keeps the evidence for Check.
func (v *View) putDrains(now time.Duration) {
	var names []string
	v.ended(now)
	for _, l := range v.lays {
		if l.drain {
			names = append(names, l.machine)
		}
	}
	for _, o := range v.old {
		names = append(names, o.machine)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.Equal(names, v.drains) {
		v.goesOut(names)
		return
	}
	v.changed(now, names)
	v.goesOut(names)
	v.drains = names
	v.out = append(v.out, Drains{slices.Clone(names)})
}
