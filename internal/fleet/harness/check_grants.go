package harness

import (
	"maps"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// checkFences: W4. A fence is of one machine and request, later grants have higher ones, and no ended one lives again.
func (h *History) checkFences(v *Verdict, grants []*grant) {
	type of struct{ request, machine string }
	by := map[uint64]of{}
	top := map[int]uint64{} // of a process's files
	index := map[int]uint64{}
	for _, s := range h.Files {
		live := map[string]uint64{}
		for _, it := range s.Items {
			if it.Fence == 0 {
				continue
			}
			is := of{it.Request, it.Machine}
			if was, ok := by[it.Fence]; ok && was != is {
				v.broken("W4: fence %d is of %v and of %v", it.Fence, was, is)
			}
			by[it.Fence] = is
			if away(it.Phase) {
				if other, twice := live[it.Machine]; twice {
					v.broken("W4: %s has grants %d and %d in one file of process %d", it.Machine, other, it.Fence, s.Process)
				}
				live[it.Machine] = it.Fence
			}
			if s.Index >= index[s.Process] {
				top[s.Process] = max(top[s.Process], it.Fence)
			}
		}
		index[s.Process] = max(index[s.Process], s.Index)
	}
	for i, g := range grants {
		if i > 0 && g.GrantedAt < grants[i-1].GrantedAt {
			v.broken("W4: fence %d was granted before fence %d", g.Fence, grants[i-1].Fence)
		}
		for _, end := range []maintenance.Phase{maintenance.Expired, maintenance.Withdrawn, maintenance.Done} {
			for _, live := range []maintenance.Phase{maintenance.Granted, maintenance.Acknowledged, maintenance.Out, maintenance.Returned} {
				if at, ended := g.phases[end]; ended && g.latest[live] > at.Index {
					v.broken("W4: fence %d of %s was %s at index %d and %s at %d", g.Fence, g.Machine, end, at.Index, live, g.latest[live])
				}
			}
		}
	}
}

// holders lists the machines that hold a shard.
func (h *History) holders(shard int) []maintenance.Machine {
	var out []maintenance.Machine
	for _, m := range h.Machines {
		if m.Kind != maintenance.Replica {
			continue
		}
		for j := range h.Limits.Reach {
			if m.Cell == (shard+j)%h.Limits.Cells {
				out = append(out, m)
				break
			}
		}
	}
	return out
}

func (h *History) machine(name string) (maintenance.Machine, bool) {
	i := slices.IndexFunc(h.Machines, func(m maintenance.Machine) bool { return m.Name == name })
	if i < 0 {
		return maintenance.Machine{}, false
	}
	return h.Machines[i], true
}

// left is the fewest holders that a shard of a machine's keeps without those that are away, and which shard.
func (h *History) left(name string, gone func(string) bool) (least, shard int) {
	least = len(h.Machines)
	for s := range h.Limits.Shards {
		of := h.holders(s)
		if !slices.ContainsFunc(of, func(m maintenance.Machine) bool { return m.Name == name }) {
			continue
		}
		n := 0
		for _, m := range of {
			if m.Name != name && !gone(m.Name) {
				n++
			}
		}
		if n < least {
			least, shard = n, s
		}
	}
	return least, shard
}

// outAt tells whether a machine was away, in truth, at a time.
func (h *History) outAt(name string, at time.Time) bool {
	return slices.ContainsFunc(h.Outages, func(o Outage) bool {
		return o.Machine == name && !o.From.After(at) && (o.Warm.IsZero() || o.Warm.After(at))
	})
}

// checkHolders: W1 as the file in which a grant is first seen tells it, with what had failed long enough before.
func (h *History) checkHolders(v *Verdict, grants []*grant) {
	for _, g := range grants {
		m, ok := h.machine(g.Machine)
		if !ok {
			v.broken("W4: fence %d is of %s, which nobody knows", g.Fence, g.Machine)
			continue
		}
		if m.Kind != maintenance.Replica {
			continue
		}
		inFile := map[string]bool{}
		for _, it := range g.first.Items {
			if it.Machine != g.Machine && away(it.Phase) && it.Fence < g.Fence {
				inFile[it.Machine] = true
			}
		}
		before := agreed(g.GrantedAt).Add(-newsTime)
		least, shard := h.left(g.Machine, func(name string) bool {
			return inFile[name] || h.outAt(name, before) && h.outAt(name, agreed(g.GrantedAt))
		})
		if least < h.Limits.MinHolders {
			v.broken("W1: fence %d of %s leaves shard %d with %d holders, %d wanted; away %v", g.Fence, g.Machine, shard, least,
				h.Limits.MinHolders, slices.Sorted(maps.Keys(inFile)))
		}
	}
}

// checkOut: W2 in each file.
func (h *History) checkOut(v *Verdict) {
	for _, s := range h.Files {
		zones, all := map[string]int{}, 0
		for _, it := range s.Items {
			if m, ok := h.machine(it.Machine); ok && away(it.Phase) {
				zones[m.Zone]++
				all++
			}
		}
		if all > h.Limits.MaxOut {
			v.broken("W2: %d are out in a file of process %d at index %d, %d allowed", all, s.Process, s.Index, h.Limits.MaxOut)
		}
		for _, z := range slices.Sorted(maps.Keys(zones)) {
			if zones[z] > h.Limits.MaxOutPerZone {
				v.broken("W2: %d are out in zone %s in a file of process %d, %d allowed", zones[z], z, s.Process, h.Limits.MaxOutPerZone)
			}
		}
	}
}

// checkTruth: W1 by who was really away when a machine went by its grant. What failed without a word after the grant
// could not be counted on by anyone.
func (h *History) checkTruth(v *Verdict, grants []*grant) {
	by := map[uint64]*grant{}
	for _, g := range grants {
		by[g.Fence] = g
	}
	for _, o := range h.Outages {
		m, ok := h.machine(o.Machine)
		if o.Fence == 0 || !ok || m.Kind != maintenance.Replica || by[o.Fence] == nil {
			continue
		}
		known := agreed(by[o.Fence].GrantedAt).Add(-newsTime)
		least, shard := h.left(o.Machine, func(name string) bool {
			return slices.ContainsFunc(h.Outages, func(x Outage) bool {
				return x.Machine == name && !x.From.After(o.From) && (x.Warm.IsZero() || x.Warm.After(o.From)) &&
					(x.Fence != 0 || x.From.Before(known))
			})
		})
		if least < h.Limits.MinHolders {
			v.broken("W1: %s went by fence %d and left shard %d with %d holders, %d wanted", o.Machine, o.Fence, shard, least,
				h.Limits.MinHolders)
		}
	}
}
