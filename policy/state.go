package policy

import (
	"cmp"
	"math"
	"slices"
)

// query is one query that the instance holds.
type query struct {
	id, group     uint64
	class, tenant int
	route         int
	lim           *Limits // of its route
	arrived, due  float64
	stepAt        float64 // start of the present step
	step          int     // 1 or 2
	firstWhole    bool
	parts         []*part
	need, asked   int // m: parts that suffice; parts sent or due to be
	in            float64
	inCount       int
	broke         []*replica // went down with a part of it
	retry, scout  bool
	wary          bool // it may be one that breaks replicas
	probe         bool // let in to see whether the queues have gone
	over          bool
}

// part is one part of a query.
type part struct {
	id       uint64
	q        *query
	shard    int
	weight   float64
	heavy    float64 // work hint over its class's mean, at least 1
	attempts []*attempt
	out      int
	sent     bool // asked for, or due to be
	in       bool
	dead     bool // no further attempt can help
	gone     bool // its query or step has ended
	rank     int  // how unfit its best holder is, and that one's load
	load     int
	retryAt  float64
}

func (pt *part) last() *attempt { return pt.attempts[len(pt.attempts)-1] }

// attempt is one send of a part.
type attempt struct {
	p        *part
	r        *replica
	call     *call
	no       int
	sentAt   float64
	ended    bool
	neverRan bool
	revoked  bool
	lost     bool // counted as too long out
}

// firstRun is the first attempt that may have run, nil if there is none.
func (pt *part) firstRun() *attempt {
	for _, a := range pt.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// call is what one turn sends to one replica; its parts count once as load.
type call struct {
	turn  uint64
	parts int
	out   int
}

// replica is one listed replica and what was seen of it.
type replica struct {
	id      uint64
	cell    int
	state   Readiness
	started float64
	calls   int
	call    *call // the newest
	outs    []*attempt

	listedAt float64 // until when the list had it

	heardAt float64 // last answer of any kind
	classes []record
	suspect bool // for a class at least
	down    bool // took nothing when last tried: no connection, or full
	trialAt float64
	done    window  // answers
	pace    float64 // of its latest answers, at paceAt; 1 is the mean
	paceAt  float64

	credit   float64 // parts that may go while cold
	creditAt float64
}

// record is the share of bad outcomes of one class at one replica.
type record struct {
	value             float64
	at, since, goodAt float64 // last outcome, start of the suspicion, last good outcome
	suspect, failing  bool    // failing: its newest outcome was a failure
}

// add takes in one outcome, with the more weight the longer the last one is ago.
func (r *record) add(x, now, span float64) {
	r.value += (x - r.value) * (1 - math.Pow(1-faultShare, 1+(now-r.at)/span))
	r.at = now
}

// drop takes an ended attempt out of the replica's list.
func (r *replica) drop(a *attempt) {
	if i := slices.Index(r.outs, a); i >= 0 {
		r.outs = slices.Delete(r.outs, i, i+1)
	}
	if a.call.out--; a.call.out == 0 {
		r.calls--
	}
}

// window holds the times of recent happenings, oldest first, for as long as keep says.
type window struct {
	at   []float64
	keep float64
}

func (w *window) add(t float64) {
	if len(w.at) == cap(w.at) { // before it grows: what is too old makes room
		i := w.from(t - w.keep)
		w.at = append(w.at[:0], w.at[i:]...)
	}
	w.at = append(w.at, t)
}

// from is the place of the first that is not older.
func (w *window) from(t float64) int {
	i, _ := slices.BinarySearch(w.at, t)
	return i
}

// count tells how many are not older.
func (w *window) count(from float64) int { return len(w.at) - w.from(from) }

// ewma is an average that forgets by count of samples.
type ewma struct {
	value float64
	n     int
}

func (e *ewma) add(x, share float64) {
	e.n++
	e.value += (x - e.value) * math.Max(share, 1/float64(e.n))
}

// sample is one latency with its time.
type sample struct{ at, took float64 }

// samples keeps recent latencies of one class.
type samples struct {
	ring   []sample
	sorted []float64
}

func (s *samples) add(at, took float64) { s.ring = append(s.ring, sample{at, took}) }

// recent drops what is older than from and returns the rest in rising order.
func (s *samples) recent(from float64) []float64 {
	i := 0
	for i < len(s.ring) && s.ring[i].at < from {
		i++
	}
	s.ring = append(s.ring[:0], s.ring[i:]...)
	s.sorted = s.sorted[:0]
	for _, x := range s.ring {
		s.sorted = append(s.sorted, x.took)
	}
	slices.Sort(s.sorted)
	return s.sorted
}

// moments returns the mean and the standard deviation.
func moments(x []float64) (mean, spread float64) {
	if len(x) == 0 {
		return 0, 0
	}
	for _, v := range x {
		mean += v
	}
	mean /= float64(len(x))
	for _, v := range x {
		spread += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(spread / float64(len(x)))
}

// quantile of values in rising order.
func quantile(x []float64, share float64) float64 {
	if len(x) == 0 {
		return 0
	}
	return x[int(share*float64(len(x)-1)+0.5)]
}

// holders lists the replicas that are up and hold the shard; the next call reuses the list.
func (p *Policy) holders(shard int) []*replica {
	p.scratch = p.scratch[:0]
	for j := range min(p.cfg.Reach, p.cfg.Cells) {
		for _, r := range p.cells[(shard+j)%p.cfg.Cells] {
			if r.state == Up {
				p.scratch = append(p.scratch, r)
			}
		}
	}
	return p.scratch
}

// index sorts the list by id and the cells with it, and counts who is up.
func (p *Policy) index() {
	p.up = 0
	slices.SortFunc(p.list, func(a, b *replica) int { return cmp.Compare(a.id, b.id) })
	for i := range p.cells {
		p.cells[i] = p.cells[i][:0]
	}
	for _, r := range p.list {
		if r.state == Up {
			p.up++
		}
		if r.cell >= 0 && r.cell < len(p.cells) {
			p.cells[r.cell] = append(p.cells[r.cell], r)
		}
	}
}
