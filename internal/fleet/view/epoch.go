package view

import (
	"cmp"
	"slices"
	"time"
)

// previousDrain is a drain for a grant of an earlier epoch. The raft group was set up again and does not know the grant, but the
// site's tools may still act on it.
type previousDrain struct {
	machine string
	ends    time.Duration // local time by which the grant has ended for certain
	start   time.Duration // the machine's start time at the grant; the drain ends when it is up with a later one
}

// beginEpoch discards the agreed state of the previous epoch and the terms of its leaders. Applied drains are kept until their grants
// end by the local clock, or until their machine has restarted.
func (v *View) beginEpoch(epoch uint64) {
	if v.applied {
		for _, d := range v.drains {
			if !d.applied {
				continue
			}
			o := previousDrain{machine: d.machine, ends: v.grantEnd(d.until)}
			if i := v.liveGrantIndex(d.machine); i >= 0 {
				o.start = v.live[i].StartedAt
			}
			v.previousDrains = append(v.previousDrains, o)
		}
		slices.SortStableFunc(v.previousDrains, func(a, b previousDrain) int { return cmp.Compare(a.machine, b.machine) })
	}
	if v.index > 0 {
		v.log("the raft group was set up anew (epoch %d): %d drains of earlier epochs are kept until their grants end", epoch, len(v.previousDrains))
	}
	v.epoch, v.applied, v.index, v.drains, v.live = epoch, false, 0, nil, nil
	v.polls.term = 0
	clear(v.machines)
	clear(v.checks.grantFences)
}

// dropEndedPrevious removes drains of earlier epochs whose grants have ended by the local clock.
func (v *View) dropEndedPrevious(now time.Duration) {
	v.previousDrains = slices.DeleteFunc(v.previousDrains, func(o previousDrain) bool { return now >= o.ends })
}
