package sessionctl

import (
	"slices"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// Shares of slots at a replica are even ones at rest: what its cap comes to for each co-ordinator of the inventory. Where
// sessions go together for a time, the planner shifts slots with them; a share that is over the even one is left alone as
// long as nobody lacks what it would bring.

// shares gives slots to who is up, was heard of within its lease, does not leave and has less than its even share: free
// ones, and where none are left, from who holds the most, to one that has less than half of its own. Without the latter
// one that joins after all are given out could run no pinned query.
func (l *Input) slotShifts(have session.Limits) (out []session.Shift) {
	if l.AgreedTime < l.Sessions.BlockedUntil() {
		return nil
	}
	all := slices.DeleteFunc(l.coordinators(), func(m maintenance.Machine) bool { return m.Status == maintenance.Gone })
	place, leaves := make(map[string]int, len(all)), map[string]bool{}
	for i := range l.Coordinators {
		leaves[l.Coordinators[i].Name] = l.Coordinators[i].Leaving
	}
	takes := make([]bool, len(all))
	for i, m := range all {
		place[m.Name] = i
		takes[i] = m.Status == maintenance.Up && l.SilentFor(m.Name) < have.Lease && !leaves[m.Name]
	}
	p := l.Sessions.Pool()
	coming := map[string][]pool.Transfer{}
	for _, t := range p.Transfers() {
		coming[t.Replica] = append(coming[t.Replica], t)
	}
	hand, more := make([]int, len(all)), make([]int, len(all)) // in each one's hand, and on its way there
	for _, r := range p.Replicas() {
		clear(hand)
		clear(more)
		p.EachHolder(r, func(co string, n int) {
			if i, ok := place[co]; ok {
				hand[i] = n
			}
		})
		for _, t := range coming[r] {
			if i, ok := place[t.To]; ok {
				more[i] += t.Slots
			}
		}
		free, share := p.Free(r), p.Cap(r)/max(1, len(all))
		for i, m := range all {
			has := hand[i] + more[i]
			if !takes[i] || has >= share {
				continue
			}
			if len(out) >= MaxShifts {
				return out
			}
			if n := min(share-has, free); n > 0 {
				out = append(out, session.Shift{To: m.Name, Replica: r, N: n})
				free -= n
				has += n
			}
			if has >= (share+1)/2 {
				continue
			}
			richest := indexOfMax(hand)
			if hand[richest] <= share {
				break // no one has any to give, and none is free
			}
			n := min(share-has, hand[richest]-share)
			out = append(out, session.Shift{From: all[richest].Name, To: m.Name, Replica: r, N: n})
			hand[richest] -= n
		}
	}
	return out
}

// most is the place of the highest number, the first of them.
func indexOfMax(of []int) (at int) {
	for i, n := range of {
		if n > of[at] {
			at = i
		}
	}
	return at
}
