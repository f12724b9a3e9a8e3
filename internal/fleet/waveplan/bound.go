package waveplan

import (
	"fmt"
	"math"
	"slices"
)

// bound returns a number of waves that no plan can go below, and the limit that it comes from. Each limit bounds how much of
// something one wave can take, so the plan needs at least the total divided by the limit, rounded up:
//
//   - a shard: a wave takes at most as many of its serving holders as it can spare (W1);
//   - the ring: a wave takes at most what all shards can spare together, and each machine takes one holder from each of its
//     shards. This finds what no single shard shows: on a ring of 5 cells with a reach of 2 and one holder to spare, a wave
//     takes 2 machines, so 5 machines need 3 waves, although no shard has more than 2 requested holders;
//   - a zone and the total: the machines that may be out at once; the voters: one (W2);
//   - the size: what the load leaves to spare (W3).
//
// What is out already takes its part of the first wave, but at most one wave's capacity is counted.
func (f *fleet) bound() (best int, reason string) {
	if len(f.candidates) == 0 {
		return 0, ""
	}
	best, reason = 1, "one wave is the minimum"
	raiseBound := func(requested, out, perWave int, format string, args ...any) {
		if requested == 0 || perWave <= 0 {
			return
		}
		if n := (requested + min(out, perWave) + perWave - 1) / perWave; n > best {
			best, reason = n, fmt.Sprintf(format, args...)+fmt.Sprintf(": %d requested, %d out, %d at once", requested, out, perWave)
		}
	}
	requested, zones, awayInFirst := make([]int, len(f.spare)), make([]int, len(f.zones)), slices.Clone(f.awayInFirst)
	voters, ringMachines, minShards, size, sizeAway := 0, 0, math.MaxInt, 0.0, f.sizeAway
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
		ringMachines++
		minShards = min(minShards, len(c.shards))
		for _, s := range c.shards {
			requested[s]++
			if c.cold { // counted as requested, so not as away too
				awayInFirst[s]--
			}
		}
		if c.cold {
			sizeAway -= c.size
		}
	}
	totalSpare := 0
	for s, n := range requested {
		raiseBound(n, awayInFirst[s], f.spare[s], "shard %d", s)
		totalSpare += min(n, max(0, f.spare[s]))
	}
	raiseBound(ringMachines, 0, totalSpare/minShards, "the ring")
	for z, n := range zones {
		raiseBound(n, f.outByZone[z], f.limits.MaxOutPerZone, "zone %q", f.zones[z])
	}
	raiseBound(len(f.candidates), f.out, f.limits.MaxOut, "machines in total")
	raiseBound(voters, f.votersOut, 1, "voters")
	if f.loadKnown && f.sizeBudget > 0 {
		if n := int(math.Ceil((size+min(sizeAway, f.sizeBudget))/f.sizeBudget - sizeTolerance)); n > best {
			best, reason = n, fmt.Sprintf("capacity: %.2f requested, %.2f out, %.2f at once", size, sizeAway, f.sizeBudget)
		}
	}
	return best, reason
}
