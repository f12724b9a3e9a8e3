package sessionctl

import (
	"slices"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// In the steady state every co-ordinator of the inventory holds an even share of each replica's slots. Where sessions concentrate for
// a time, the planner shifts slots with them. A share above the even one is reduced only if another co-ordinator lacks slots.

// shares returns shifts of slots to co-ordinators that are up, were heard of within their lease, don't leave and have less than
// their even share. Free slots are given first. A co-ordinator that still has less than half of its share then gets slots of the
// co-ordinator that holds the most: otherwise one that joins after all slots are given out could run no pinned query.
func (in *Input) slotShifts(limits session.Limits) (out []session.Shift) {
	if in.AgreedTime < in.Sessions.BlockedUntil() {
		return nil
	}
	all := slices.DeleteFunc(in.coordinators(), func(m maintenance.Machine) bool { return m.Status == maintenance.Gone })
	index, leaving := make(map[string]int, len(all)), map[string]bool{}
	for i := range in.Coordinators {
		leaving[in.Coordinators[i].Name] = in.Coordinators[i].Leaving
	}
	eligible := make([]bool, len(all))
	for i, m := range all {
		index[m.Name] = i
		eligible[i] = m.Status == maintenance.Up && in.SilentFor(m.Name) < limits.Lease && !leaving[m.Name]
	}
	p := in.Sessions.Pool()
	incomingTransfers := map[string][]pool.Transfer{}
	for _, t := range p.Transfers() {
		incomingTransfers[t.Replica] = append(incomingTransfers[t.Replica], t)
	}
	held, incoming := make([]int, len(all)), make([]int, len(all)) // slots of each co-ordinator, held and in transfer to it
	for _, r := range p.Replicas() {
		clear(held)
		clear(incoming)
		p.EachHolder(r, func(coordinator string, n int) {
			if i, ok := index[coordinator]; ok {
				held[i] = n
			}
		})
		for _, t := range incomingTransfers[r] {
			if i, ok := index[t.To]; ok {
				incoming[i] += t.Slots
			}
		}
		free, share := p.Free(r), p.Cap(r)/max(1, len(all))
		for i, m := range all {
			total := held[i] + incoming[i]
			if !eligible[i] || total >= share {
				continue
			}
			if len(out) >= MaxShifts {
				return out
			}
			if n := min(share-total, free); n > 0 {
				out = append(out, session.Shift{To: m.Name, Replica: r, N: n})
				free -= n
				total += n
			}
			if total >= (share+1)/2 {
				continue
			}
			largest := indexOfMax(held)
			if held[largest] <= share {
				break // no co-ordinator has more than its share, and no slot is free
			}
			n := min(share-total, held[largest]-share)
			out = append(out, session.Shift{From: all[largest].Name, To: m.Name, Replica: r, N: n})
			held[largest] -= n
		}
	}
	return out
}

// indexOfMax returns the index of the greatest value, the first one if there are several.
func indexOfMax(values []int) (at int) {
	for i, n := range values {
		if n > values[at] {
			at = i
		}
	}
	return at
}
