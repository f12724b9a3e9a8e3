package harness

import (
	"cmp"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// checkCalm: W6. After a replica's failure outside the plan nothing is granted for Calm, and for twice as long each time
// where failures follow each other. A failure may be known up to newsTime late, so the pause is sure from then on only,
// and of two within it nobody can say whether they were seen as one. Failures are the harness's own; excused are those
// that a machine's own grant may have covered, those while a voter or discovery was out of reach, and machines that fail
// so often that they no longer count.
func (h *History) checkCalm(v *Verdict, grants []*grant) {
	failed := slices.DeleteFunc(slices.Clone(h.Outages), func(o Outage) bool { return o.Fence != 0 || o.From.IsZero() })
	slices.SortStableFunc(failed, func(a, b Outage) int { return cmp.Compare(a.From.UnixNano(), b.From.UnixNano()) })
	var last time.Time // of the failure before, and the pause that it made at the least; 0: not known
	span := time.Duration(0)
	for i, o := range failed {
		known := o.From.Add(newsTime)
		if !h.counts(failed[:i], o, known, grants) {
			last, span = o.From, 0
			continue
		}
		pause := h.Limits.FailurePause
		if span > 0 && o.From.After(last.Add(newsTime)) && known.Before(last.Add(2*span)) {
			pause = min(2*span, maintenance.MaxPauseFactor*h.Limits.FailurePause)
		}
		last, span = o.From, pause
		end := o.From.Add(pause)
		if !known.Before(end) {
			continue
		}
		v.Calms++
		for _, g := range grants {
			if at := agreed(g.GrantedAt); at.After(known) && at.Before(end) {
				v.broken("W6: fence %d of %s was granted %v after %s failed, within a pause of %v", g.Fence, g.Machine,
					at.Sub(o.From).Round(time.Millisecond), o.Machine, pause)
			}
		}
	}
}

// counts tells whether the raft group was sure to count a failure by the time known.
func (h *History) counts(before []Outage, o Outage, known time.Time, grants []*grant) bool {
	fails := 0
	for _, b := range before {
		if b.Machine == o.Machine && o.From.Sub(b.From) <= 2*maintenance.MaxPauseFactor*h.Limits.FailurePause {
			fails++
		}
	}
	if fails >= maintenance.FlapThreshold {
		return false
	}
	for _, g := range grants { // told: it goes by the plan
		if g.Machine == o.Machine && g.told > 0 && agreed(g.told).Before(known) && (g.ended == 0 || agreed(g.ended).After(o.From.Add(-newsTime))) {
			return false
		}
	}
	for i := range h.Disturbed {
		if meets(h.Disturbed[i], o.From.Add(-newsTime), known) && h.votes(i) || i < len(h.Deaf) && meets(h.Deaf[i], o.From.Add(-newsTime), known) {
			return false
		}
	}
	return true
}

// votes tells whether a process has, or may come to have, a seat in the raft group.
func (h *History) votes(process int) bool {
	n := 0
	for _, m := range h.Machines {
		if m.Kind == maintenance.Coordinator {
			if n == process {
				return m.Voter
			}
			n++
		}
	}
	return true
}
