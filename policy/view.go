package policy

// View shows the state that decisions for one class and shard are based on, for explanation. Taking a View
// does not affect any later decision. Times are in seconds on the package's clock.
type View struct {
	Holders    []HolderView // all listed replicas whose cell holds the shard, by cell, then id
	Backlog    float64      // in queries, as used for the part count
	Share      float64      // L, in replicas
	Need       int          // m
	Parts      int          // k
	First      int          // s: number of parts that would be sent at first
	Thresholds []float64    // Q_s for s from m to k-1, in queries
	Delta      float64      // Δ, s
	Spread     float64      // 1/μ, s
	LateAfter  float64      // age in seconds from which a part counts as late
	InFlight   int          // number of attempts in flight
}

// HolderView describes one replica of a View. Suspect, Unavailable and ColdLimited say why it is avoided.
type HolderView struct {
	Replica     uint64
	State       Readiness
	Calls       int  // own calls in flight to it; the replica with the fewest is chosen
	Suspect     bool // avoided for this class
	Unavailable bool // the last attempt was not accepted, and no trial is due yet
	Cold        bool // within its warm-up
	ColdLimited bool // cold, and it has been sent all that it may take by now
	Candidate   bool // of the best rank with the fewest calls: one of these gets the next part
}

// View returns the view of a shard for a query of the class with k parts, as of the last turn.
func (p *Policy) View(class, shard, k int) View {
	c, md := &p.cfg.Classes[class], &p.models[class]
	m := neededParts(c, k)
	v := View{
		Share: p.serverShare(m), Need: m, Parts: k, First: p.partCount(class, m, k),
		Delta: md.delta, Spread: md.spread,
		LateAfter: p.lateAge(class), InFlight: p.inFlight, Backlog: p.backlog(m),
	}
	for s := m; s < k; s++ {
		v.Thresholds = append(v.Thresholds, md.threshold(m, s, v.Share))
	}
	best, least := 4, 0 // rank 4: no candidate
	ranks := []int{}
	for j := range min(p.cfg.Reach, p.cfg.Cells) {
		for _, r := range p.cells[(shard+j)%p.cfg.Cells] {
			credit, at := r.credit, r.creditAt
			h := HolderView{Replica: r.id, State: r.state, Calls: r.openCalls, Suspect: p.excluded(r, class),
				Unavailable: r.unavailable && p.now < r.nextTrialAt}
			_, h.Cold = p.coldRate(r)
			h.ColdLimited = p.coldLimited(r)
			r.credit, r.creditAt = credit, at // restored, so that the view changes no credit
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
