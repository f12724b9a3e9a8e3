package harness

import (
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

const (
	// loadNews is what the load that a grant was judged by may be older than LoadAge: a mean over a second, a poll a second
	// and a look of the leader's.
	loadNews = 3 * time.Second
	// loadBin is over which a load is a mean here; each of those in a window has to be too high for a grant to be wrong.
	loadBin = time.Second
	// loadShare of what the replicas had open is taken for what co-ordinators count at the least: copies that were called
	// off are open at a replica for longer than at its co-ordinator, and their seconds are not those of a window here.
	loadShare = 0.8
	// listNews is what a list that nobody heard of may be older than ListAge: a pulse that a busy process reads late.
	listNews = 2 * time.Second
)

// leastLoad is the least mean of parts that replicas had open, over the whole bins of a time.
func (h *History) leastLoad(parts []Part, from, to time.Time) float64 {
	bins := make([]time.Duration, int(to.Sub(from)/loadBin))
	if len(bins) == 0 {
		return 0
	}
	first, _ := slices.BinarySearchFunc(parts, from.Add(-h.Answer), func(p Part, t time.Time) int { return p.At.Compare(t) })
	for _, p := range parts[first:] {
		if p.At.After(to) {
			break
		}
		for i := range bins {
			began := from.Add(time.Duration(i) * loadBin)
			a, b := p.At, p.At.Add(h.Answer)
			if a.Before(began) {
				a = began
			}
			if end := began.Add(loadBin); b.After(end) {
				b = end
			}
			bins[i] += max(b.Sub(a), 0)
		}
	}
	return float64(slices.Min(bins)) / float64(loadBin)
}

// checkLoad: W3. No replica is granted while what is left does not bear the load that replicas had open for as long as
// the load that the raft group knew may be old, and nothing is granted when nobody has heard of discovery for too long. A
// time in which a co-ordinator was cut off, stopped or dead is excused: its load is guessed from the others'.
func (h *History) checkLoad(v *Verdict, grants []*grant) {
	parts := slices.Clone(h.Parts)
	slices.SortStableFunc(parts, func(a, b Part) int { return a.At.Compare(b.At) })
	for _, g := range grants {
		at := agreed(g.GrantedAt)
		if age := h.Limits.MaxInventoryAge + listNews; h.Limits.MaxInventoryAge > 0 && h.silent(at.Add(-age), at) {
			v.broken("W3: fence %d of %s was granted, and nobody had heard of discovery for %v", g.Fence, g.Machine, age)
		}
		m, ok := h.machine(g.Machine)
		from := at.Add(-h.Limits.MaxLoadAge - loadNews)
		if !ok || m.Kind != maintenance.Replica || h.Bears <= 0 || h.Answer <= 0 ||
			slices.ContainsFunc(h.Disturbed, func(s []Span) bool { return meets(s, from, at) }) {
			continue
		}
		v.Loads++
		left := -1.0 // without itself
		for _, m := range h.Machines {
			if m.Kind == maintenance.Replica && !slices.ContainsFunc(g.first.Items, func(it maintenance.Item) bool {
				return it.Machine == m.Name && away(it.Phase) && it.Fence < g.Fence
			}) {
				left++
			}
		}
		load := loadShare * h.leastLoad(parts, from, at) / h.Bears
		if need := load * (1 + h.Limits.Headroom); need > left {
			v.broken("W3: fence %d of %s leaves %.0f replicas, and the load with headroom was %.2f at least for %v", g.Fence, g.Machine,
				left, need, at.Sub(from))
		}
	}
}

// silent tells whether no process heard of discovery in all of a time.
func (h *History) silent(from, to time.Time) bool {
	for _, spans := range h.Silent {
		if !slices.ContainsFunc(spans, func(s Span) bool { return !s.From.After(from) && !s.To.Before(to) }) {
			return false
		}
	}
	return len(h.Silent) > 0
}
