package harness

import (
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// waiter is one machine of one request, asked for at one time.
type waiter struct {
	request, machine string
	asked            time.Duration
}

func waiterOf(it maintenance.Item) waiter { return waiter{it.Request, it.Machine, it.RequestedAt} }

// checkTurns: W5. Where a request was passed over so often that it reserves its turn, no later one takes what it needs.
// Passings are counted here, from who waits in the file in which a grant is first seen; the order there is that of asking.
// Only what is sure counts: who may have reserved a turn itself may go, and of several that may have, a grant is wrong
// only if it takes from each of them. Excused is the time in which a machine is away outside the plan: who can't go
// by what ends, gives up its turn.
func (h *History) checkTurns(v *Verdict, grants []*grant) {
	passed := map[waiter]int{} // surely
	for _, g := range grants {
		items := g.first.Items
		place := slices.IndexFunc(items, func(it maintenance.Item) bool { return it.Fence == g.Fence })
		sure := []maintenance.Item{}
		if !h.unplanned(agreed(g.GrantedAt)) && h.maybe(items, place, g) < h.Limits.MaxPassedOver {
			for _, it := range items[:place] {
				if h.waits(it, items, g) && passed[waiterOf(it)] >= h.Limits.MaxPassedOver {
					sure = append(sure, it)
				}
			}
		}
		if len(sure) > 0 {
			v.Turns++
			spares := false // one that may be the head, and of which it takes nothing
			for i, it := range items {
				if it.Phase == maintenance.Pending && it.Request != g.Request && h.maybe(items, i, g) >= h.Limits.MaxPassedOver && !h.takes(items, g, it) {
					spares = true
				}
			}
			if it := sure[0]; !spares && h.takes(items, g, it) {
				v.broken("W5: fence %d of %s took what %s had reserved, asked before it and passed over %d times", g.Fence, g.Machine,
					it.Machine, passed[waiterOf(it)])
			}
		}
		for _, it := range items[:place] {
			if h.waits(it, items, g) {
				passed[waiterOf(it)]++
			}
		}
	}
}

// waits tells of an item before a grant whether it surely waited when that was made.
func (h *History) waits(it maintenance.Item, items []maintenance.Item, g *grant) bool {
	m, ok := h.machine(it.Machine)
	return ok && m.Kind == maintenance.Replica && it.Phase == maintenance.Pending && it.Request != g.Request && it.RequestedAt < g.GrantedAt &&
		!slices.ContainsFunc(items, func(o maintenance.Item) bool {
			return o.Machine == it.Machine && o.Fence > 0 && (away(o.Phase) || agreed(o.EndedAt).Add(h.Limits.SettleTime+newsTime).After(agreed(g.GrantedAt)))
		})
}

// maybe is how often the item at a place may have been passed over before a grant, at the most.
func (h *History) maybe(items []maintenance.Item, place int, g *grant) int {
	n := 0
	for _, o := range items[place+1:] {
		if o.Fence > 0 && o.Fence < g.Fence && o.Request != items[place].Request && o.GrantedAt >= items[place].RequestedAt {
			n++
		}
	}
	return n
}

// unplanned tells whether a machine was, or may have counted as, away outside the plan: failed, or not to come back.
func (h *History) unplanned(at time.Time) bool {
	return slices.ContainsFunc(h.Outages, func(o Outage) bool {
		return (o.Fence == 0 || o.Warm.IsZero()) && !o.From.After(at) && (o.Warm.IsZero() || o.Warm.Add(newsTime).After(at))
	})
}

// takes tells whether a grant takes what a waiting replica needs, by what is in its file: a shard, the last place in all
// or in its zone.
func (h *History) takes(items []maintenance.Item, g *grant, it maintenance.Item) bool {
	m, _ := h.machine(g.Machine)
	o, _ := h.machine(it.Machine)
	out, zone := 0, 0
	for _, x := range items {
		if away(x.Phase) && x.Fence < g.Fence {
			out++
			if xm, _ := h.machine(x.Machine); xm.Zone == m.Zone {
				zone++
			}
		}
	}
	apart := max(m.Cell-o.Cell, o.Cell-m.Cell)
	shares := m.Kind == maintenance.Replica && o.Kind == maintenance.Replica && min(apart, h.Limits.Cells-apart) < h.Limits.Reach
	return shares || out+2 > h.Limits.MaxOut || m.Zone == o.Zone && zone+2 > h.Limits.MaxOutPerZone
}
