package view

import (
	"cmp"
	"slices"
	"time"
)

// old is a drain of a grant that is of an era before: the raft group was set up anew and knows of no such grant, but the
// site's tools may, and go on with it.
type old struct {
	machine string
	ends    time.Duration // own time by which the grant is over for certain
	start   time.Duration // of the machine when it was granted: one that is up by a newer start has been out
}

// renew begins an era: what was known of the order before counts for nothing, as do the terms of its leaders. The drains
// that are laid stay until their grants' end by the own clock, or until their machine has come back.
func (v *View) renew(era uint64) {
	if v.applied {
		for _, l := range v.lays {
			if !l.drain {
				continue
			}
			o := old{machine: l.machine, ends: v.end(l.until)}
			if i := v.grantOf(l.machine); i >= 0 {
				o.start = v.live[i].StartedAt
			}
			v.old = append(v.old, o)
		}
		slices.SortStableFunc(v.old, func(a, b old) int { return cmp.Compare(a.machine, b.machine) })
	}
	if v.index > 0 {
		v.say("the raft group was set up anew (era %d): %d drains of before stay until their grants' end", era, len(v.old))
	}
	v.era, v.applied, v.index, v.lays, v.live = era, false, 0, nil, nil
	v.polls.term = 0
	clear(v.kinds)
	clear(v.seen.fence)
}

// ended drops the old drains that are over.
func (v *View) ended(now time.Duration) {
	v.old = slices.DeleteFunc(v.old, func(o old) bool { return now >= o.ends })
}
