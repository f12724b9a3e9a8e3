package policy

// Replica choice.

import "math"

// pickReplica returns the fittest holder with fewest of our calls out, parts that share one counting once; ties at
// random, likelier the sooner it answered of late. rank: 0 sound, 1 suspect, 2 tried for this part, 3 both.
func (p *Policy) pickReplica(pt *part) (best *replica, rank int) {
	load, ties, holders := 0, 0.0, p.holders(pt.shard)
	for _, r := range holders {
		rk, busy := 0, p.coldLimited(r)
		if p.excluded(r, pt.query.class) && !p.trialDue(r, pt) {
			rk = 1
		}
		for _, a := range pt.attempts {
			if a.replica == r {
				busy = busy || !a.ended
				rk |= 2
			}
		}
		w, even := 1.0, len(holders) <= fewHolders
		if !even {
			w = math.Pow(max(minSlowness, p.slowness(r)), -slownessPower)
		}
		switch n := r.openCalls; {
		case busy:
		case best == nil || rk < rank || rk == rank && n < load:
			best, rank, load, ties = r, rk, n, w
		case rk == rank && n == load:
			if ties += w; even && p.rng.IntN(int(ties)) == 0 || !even && p.rng.Float64()*ties < w {
				best = r
			}
		}
	}
	return best, rank
}

// slowness is how long a replica's latest answers took, in means of their classes. What is known of it fades.
// Guards against thin traffic, in which nearly all choices are ties: slow machines, cold ones, and those to
// which the way is long would get as much as the others. With few holders the other has no room for that.
func (p *Policy) slowness(r *replica) float64 {
	return 1 + (r.slowness-1)*math.Exp((r.slownessAt-p.now)/(historySpan*p.minPromise))
}
