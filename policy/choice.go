package policy

// Replica choice: which holder of its shard gets a part.

import "math"

// pickReplica returns the holder of the lowest rank that has the fewest of our calls in flight; parts that
// share a call count once. Ties are broken at random, in favour of replicas that answered faster recently.
// Ranks: 0 healthy, 1 excluded for the class, 2 already tried for this part, 3 both.
func (p *Policy) pickReplica(pt *part) (best *replica, rank int) {
	load, ties, holders := 0, 0.0, p.holders(pt.shard)
	for _, r := range holders {
		candidateRank, unusable := 0, p.coldLimited(r)
		if p.excluded(r, pt.query.class) && !p.trialDue(r, pt) {
			candidateRank = 1
		}
		for _, a := range pt.attempts {
			if a.replica == r {
				unusable = unusable || !a.ended
				candidateRank |= 2
			}
		}
		w, uniform := 1.0, len(holders) <= fewHolders
		if !uniform {
			w = math.Pow(max(minSlowness, p.slowness(r)), -slownessPower)
		}
		switch n := r.openCalls; {
		case unusable:
		case best == nil || candidateRank < rank || candidateRank == rank && n < load:
			best, rank, load, ties = r, candidateRank, n, w
		case candidateRank == rank && n == load:
			if ties += w; uniform && p.rng.IntN(int(ties)) == 0 || !uniform && p.rng.Float64()*ties < w {
				best = r
			}
		}
	}
	return best, rank
}

// slowness returns the latency of a replica's latest answers over the mean of their classes. It decays
// towards 1 with time. With little traffic nearly all choices are ties; if these did not favour faster
// replicas, slow, cold and distant ones would get as many parts as the others. A shard with few holders does
// not use it, because the other holder has no capacity to spare for the parts that a slow one does not get.
func (p *Policy) slowness(r *replica) float64 {
	return 1 + (r.slowness-1)*math.Exp((r.slownessAt-p.now)/(historySpan*p.minPromise))
}
