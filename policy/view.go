package policy

// View is a read-only look at what a turn now would go by for one class and shard. It is for explaining: it decides
// nothing, and taking it changes no later decision. Times are in seconds on the module's clock.
type View struct {
	Holders    []HolderView // all listed replicas whose cell holds the shard, by cell, then id
	Backlog    float64      // queries, as the part count takes it
	Share      float64      // L, servers
	Need       int          // m
	Parts      int          // k
	First      int          // s: parts that would go at first
	Thresholds []float64    // Q_s for s from m to k-1, queries
	Delta      float64      // Δ, s
	Spread     float64      // 1/μ, s
	LateAfter  float64      // s, the age at which a part counts as late
	InFlight   int          // attempts out
}

// HolderView is one replica in a View. The flags say why it is left out; with none of them it is a candidate.
type HolderView struct {
	Replica     uint64
	State       Readiness
	Calls       int  // own calls out there: the fewest wins
	Suspect     bool // excluded for this class
	Unavailable bool // latency nothing when last tried
	Cold        bool // within its warm-up
	ColdLimited bool // and has had what it may take by now
	Candidate   bool // among the fittest with fewest calls: one of these gets the next part
}

// View looks at the shard for a class with k parts a query, at the time of the last turn.
func (p *Policy) View(class, shard, k int) View {
	c, md := &p.cfg.Classes[class], &p.models[class]
	m := neededParts(c, k)
	v := View{
		Share: p.serverShare(m), Need: m, Parts: k, First: p.partCount(class, m, k), Delta: md.delta, Spread: md.spread,
		LateAfter: p.lateAge(class), InFlight: p.inFlight, Backlog: p.backlog(m),
	}
	for s := m; s < k; s++ {
		v.Thresholds = append(v.Thresholds, md.threshold(m, s, v.Share))
	}
	best, least := 4, 0
	ranks := []int{}
	for j := range min(p.cfg.Reach, p.cfg.Cells) {
		for _, r := range p.cells[(shard+j)%p.cfg.Cells] {
			credit, at := r.credit, r.creditAt
			h := HolderView{Replica: r.id, State: r.state, Calls: r.openCalls, Suspect: p.excluded(r, class), Unavailable: r.unavailable && p.now < r.nextTrialAt}
			_, h.Cold = p.coldRate(r)
			h.ColdLimited = p.coldLimited(r)
			r.credit, r.creditAt = credit, at // looking earns nothing
			rank := 0
			switch {
			case r.state != Up || h.ColdLimited:
				rank = 4
			case h.Suspect:
				rank = 1
			}
			if rank < best || rank == best && r.openCalls < least {
				best, least = rank, r.openCalls
			}
			ranks = append(ranks, rank)
			v.Holders = append(v.Holders, h)
		}
	}
	for i := range v.Holders {
		v.Holders[i].Candidate = best < 4 && ranks[i] == best && v.Holders[i].Calls == least
	}
	return v
}
