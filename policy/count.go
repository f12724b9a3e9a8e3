package policy

// Part count: how many of a query's parts to send at first (DESIGN; FAST CLOUD, sections IV and V).

import "math"

// model holds the estimates made from the recent part latencies of one class. Latencies are modelled as a
// constant Δ plus an exponentially distributed time with mean 1/μ.
type model struct {
	delta, spread float64 // Δ and 1/μ
	mean          float64
	fast, median  float64 // fast: quantile that is about the time of the work without queueing
	lateLatency   float64 // quantile from which a part counts as late
	latencies     samples
	workHints     ewma // work hints of parts
}

// serverShare returns L: the instance's share of the replicas that are up, at least m.
func (p *Policy) serverShare(m int) float64 {
	return max(float64(m), float64(p.upCount)/float64(p.cfg.Coordinators))
}

// threshold returns Q_s: the backlog, in queries, at which s and s+1 parts have the same modelled delay.
func (md *model) threshold(m, s int, l float64) float64 {
	capacity := func(s int) float64 { return l / (float64(s)*md.delta + float64(m)*md.spread) }
	queue := func(s int, c float64) float64 { return float64(s+1) / (2 * float64(s) * c) } // times λ/(C−λ)
	c1, c2 := capacity(s), capacity(s+1)
	b1, b2 := queue(s, c1), queue(s+1, c2)
	gain := md.spread * (1/float64(s-m+1) - 1/float64(s+1)) // service time that one more part saves
	// λ·b2/(C2−λ) − λ·b1/(C1−λ) = gain, as a quadratic in λ.
	qa := gain + b2 - b1
	qb := -(gain*(c1+c2) + b2*c1 - b1*c2)
	qc := gain * c1 * c2
	disc := qb*qb - 4*qa*qc
	if disc < 0 {
		return math.Inf(1)
	}
	// The smaller root, in a form that is stable for qa near zero.
	root := 2 * qc / (-qb + math.Sqrt(disc))
	if md.delta <= 0 || !(root > 0 && root < c2) { // without Δ an additional part costs no capacity
		return math.Inf(1)
	}
	return root * root * b1 / (c1 - root)
}

// neededParts returns m: how many of k parts of equal weight make a complete answer.
func neededParts(c *Class, k int) int {
	return min(k, max(1, int(math.Ceil(c.Need*float64(k)-weightTolerance))))
}

// backlog returns the instance's own parts in flight beyond L, in queries of m parts.
func (p *Policy) backlog(m int) float64 {
	return max(0, float64(p.inFlight)-p.serverShare(m)) / float64(m)
}

// partCount returns s, the number of parts to send: k with no backlog, down to m with a long one.
func (p *Policy) partCount(class, m, k int) int {
	l, backlog := p.serverShare(m), p.backlog(m)
	if backlog == 0 {
		return k
	}
	s := m
	for s < k && backlog < p.models[class].threshold(m, s, l) {
		s++
	}
	return s
}

// refreshModels updates the estimates from the recent samples.
func (p *Policy) refreshModels() {
	for i := range p.models {
		md := &p.models[i]
		x := md.latencies.recent(p.now - historySpan*p.cfg.Classes[i].Promise)
		if len(x) < minSamples {
			continue
		}
		md.fast, md.median, md.lateLatency = quantile(x, fastQuantile),
			quantile(x, 0.5), quantile(x, lateQuantile)
		x = x[:len(x)-int(trimmedShare*float64(len(x)))]
		md.mean, md.spread = moments(x)
		md.delta = max(0, md.mean-md.spread)
	}
}
