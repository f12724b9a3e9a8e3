package view

import (
	"cmp"
	"slices"
	"time"
)

// previousDrains is a drain of a grant that is of an earlier epoch: the raft group was set up anew and knows of no such grant, but the
// site's tools may, and go on with it.
type previousDrain struct {
	machine string
	ends    time.Duration // own time by which the grant is over for certain
	start   time.Duration // of the machine when it was granted: one that is up by a newer start has been out
}

// beginEpoch begins an epoch: what was known of the order before counts for nothing, as do the terms of its leaders. The drains
// that are applied stay until their grants' end by the own clock, or until their machine has come back.
func (v *View) beginEpoch(epoch uint64) {
	if v.applied {
		for _, l := range v.drains {
			if !l.applied {
				continue
			}
			o := previousDrain{machine: l.machine, ends: v.grantEnd(l.until)}
			if i := v.liveGrantIndex(l.machine); i >= 0 {
				o.start = v.live[i].StartedAt
			}
			v.previousDrains = append(v.previousDrains, o)
		}
		slices.SortStableFunc(v.previousDrains, func(a, b previousDrain) int { return cmp.Compare(a.machine, b.machine) })
	}
	if v.index > 0 {
		v.log("the raft group was set up anew (epoch %d): %d drains of before stay until their grants' end", epoch, len(v.previousDrains))
	}
	v.epoch, v.applied, v.index, v.drains, v.live = epoch, false, 0, nil, nil
	v.polls.term = 0
	clear(v.machines)
	clear(v.checks.grantFences)
}

// dropEndedPrevious drops the old drains that are over.
func (v *View) dropEndedPrevious(now time.Duration) {
	v.previousDrains = slices.DeleteFunc(v.previousDrains, func(o previousDrain) bool { return now >= o.ends })
}
