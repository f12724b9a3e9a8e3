package waveplan

import (
	"fmt"
	"math"
	"slices"
)

// bound is a number of waves that no plan goes below, and the limit that it comes from. Each limit bounds how much of
// something one wave takes, so that the whole of it needs at least that whole over the limit, rounded up:
//
//   - a shard: of its serving holders a wave takes at most those that it can spare (W1);
//   - the ring: a wave takes at most what all shards can spare together, and each machine takes one from each of its
//     shards. This sees what no shard alone does: on a ring of 5 cells with a reach of 2 and one to spare, a wave takes
//     2, so that 5 need 3 waves, though no shard has more than 2 asked holders;
//   - a zone and the whole: the places in them; the voters: one (W2);
//   - the size: what the load leaves (W3).
//
// What is out already takes its part of the first wave; no more of it than a wave's worth counts.
func (f *fleet) bound() (best int, why string) {
	if len(f.candidates) == 0 {
		return 0, ""
	}
	best, why = 1, "one wave is the least"
	over := func(asked, out, most int, what string, args ...any) {
		if asked == 0 || most <= 0 {
			return
		}
		if n := (asked + min(out, most) + most - 1) / most; n > best {
			best, why = n, fmt.Sprintf(what, args...)+fmt.Sprintf(": %d asked, %d out, %d at once", asked, out, most)
		}
	}
	asked, zones, away := make([]int, len(f.spare)), make([]int, len(f.zones)), slices.Clone(f.awayInFirst)
	voters, ring, least, size, cold := 0, 0, math.MaxInt, 0.0, f.sizeAway
	for i := range f.candidates {
		c := &f.candidates[i]
		zones[c.zone]++
		size += c.size
		if c.voter {
			voters++
		}
		if c.holders == 0 || len(c.shards) == 0 {
			continue
		}
		ring++
		least = min(least, len(c.shards))
		for _, s := range c.shards {
			asked[s]++
			if c.cold { // it is away, whether it goes at once or later: it counts once
				away[s]--
			}
		}
		if c.cold {
			cold -= c.size
		}
	}
	together := 0
	for s, n := range asked {
		over(n, away[s], f.spare[s], "shard %d", s)
		together += min(n, max(0, f.spare[s]))
	}
	over(ring, 0, together/least, "the ring")
	for z, n := range zones {
		over(n, f.outByZone[z], f.limits.MaxOutPerZone, "zone %q", f.zones[z])
	}
	over(len(f.candidates), f.out, f.limits.MaxOut, "places in all")
	over(voters, f.votersOut, 1, "voters")
	if f.loadKnown && f.sizeBudget > 0 {
		if n := int(math.Ceil((size+min(cold, f.sizeBudget))/f.sizeBudget - sizeTolerance)); n > best {
			best, why = n, fmt.Sprintf("capacity: %.2f asked, %.2f out, %.2f at once", size, cold, f.sizeBudget)
		}
	}
	return best, why
}
