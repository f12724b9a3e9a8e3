package steward

import (
	"slices"

	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/takeout"
)

// Shares of slots at a replica are even ones at rest: what its cap comes to for each co-ordinator of the inventory. Where
// sessions go together for a time, the planner shifts slots with them; a share that is over the even one is left alone as
// long as nobody lacks what it would bring.

// shares gives slots to who is up, was heard of within its lease, does not leave and has less than its even share: free
// ones, and where none are left, from who holds the most, to one that has less than half of its own. Without the latter
// one that joins after all are given out could run no pinned query.
func (l *Look) shares(have session.Limits) (out []session.Shift) {
	if l.Agreed < l.Book.Quiet() {
		return nil
	}
	type place struct{ co, replica string }
	coming := map[place]int{}
	p := l.Book.Pool()
	for _, t := range p.Transfers() {
		coming[place{t.To, t.Replica}] += t.N
	}
	all := slices.DeleteFunc(l.coordinators(), func(m takeout.Machine) bool { return m.Status == takeout.Gone })
	leaves := map[string]bool{}
	for i := range l.Sites {
		leaves[l.Sites[i].Name] = l.Sites[i].Leaving
	}
	for _, r := range p.Replicas() {
		free := p.Free(r)
		share := p.Cap(r) / max(1, len(all))
		taken := map[string]int{} // from it, in this plan
		for _, m := range all {
			if m.Status != takeout.Up || l.Silent(m.Name) >= have.Lease || leaves[m.Name] || len(out) >= ShiftsMost {
				continue
			}
			has := p.Held(m.Name, r) + coming[place{m.Name, r}]
			if n := min(share-has, free); n > 0 {
				out = append(out, session.Shift{To: m.Name, Replica: r, N: n})
				free -= n
				has += n
			}
			if has >= (share+1)/2 {
				continue
			}
			richest, most := "", share
			for _, o := range all {
				if n := p.Held(o.Name, r) - taken[o.Name]; o.Name != m.Name && n > most {
					richest, most = o.Name, n
				}
			}
			if n := min(share-has, most-share); n > 0 {
				out = append(out, session.Shift{From: richest, To: m.Name, Replica: r, N: n})
				taken[richest] += n
			}
		}
	}
	return out
}
