package policy

import (
	"cmp"
	"math"
	"slices"
)

// query is one query that the instance holds.
type query struct {
	id, group           uint64
	class, tenant       int
	route               int
	limits              *Limits // of its route
	arrivedAt, deadline float64
	stepStart           float64 // start of the present step
	step                int     // 1 or 2
	firstComplete       bool
	parts               []*part
	need, requested     int // m: parts that suffice; parts sent or due to be
	receivedWeight      float64
	receivedCount       int
	brokenReplicas      []*replica // went down with a part of it
	retry, scouting     bool
	mayBreak            bool // it may be one that breaks replicas
	probe               bool // let in to see whether the queues have gone
	ended               bool
}

// part is one part of a query.
type part struct {
	id        uint64
	query     *query
	shard     int
	weight    float64
	workRatio float64 // workHints hint over its class's mean, at least 1
	attempts  []*attempt
	inFlight  int
	requested bool // requested for, or due to be
	received  bool
	exhausted bool // number further attempt can help
	closed    bool // its query or step has ended
	rank      int  // how unfit its best holder is, and that one's load
	load      int
	retryAt   float64
}

func (pt *part) lastAttempt() *attempt { return pt.attempts[len(pt.attempts)-1] }

// attempt is one send of a part.
type attempt struct {
	part      *part
	replica   *replica
	call      *call
	number    int
	sentAt    float64
	ended     bool
	neverRan  bool
	cancelled bool
	overdue   bool // counted as too long out
}

// firstMayHaveRun is the first attempt that may have run, nil if there is none.
func (pt *part) firstMayHaveRun() *attempt {
	for _, a := range pt.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// lastCall is what one turn sends to one replica; its parts count once as load.
type call struct {
	turn     uint64
	parts    int
	inFlight int
}

// replica is one listed replica and what was seen of it.
type replica struct {
	id        uint64
	cell      int
	state     Readiness
	started   float64
	openCalls int
	lastCall  *call // the newest
	inFlight  []*attempt

	lastListedAt float64 // until when the list had it

	lastAnswerAt float64 // lastAttempt answer of any kind
	records      []healthRecord
	suspect      bool // for a class at least
	unavailable  bool // latency nothing when last tried: no connection, or full
	nextTrialAt  float64
	answers      window  // answers
	slowness     float64 // of its latest answers, at slownessAt; 1 is the mean
	slownessAt   float64

	credit   float64 // parts that may go while cold
	creditAt float64
}

// healthRecord is the share of bad outcomes of one class at one replica.
type healthRecord struct {
	badShare                            float64
	updatedAt, suspectSince, lastGoodAt float64 // lastAttempt outcome, start of the suspicion, last good outcome
	suspect, failing                    bool    // failing: its newest outcome was a failure
}

// add takes in one outcome, with the more weight the longer the last one is ago.
func (r *healthRecord) add(x, now, span float64) {
	r.badShare += (x - r.badShare) * (1 - math.Pow(1-faultWeight, 1+(now-r.updatedAt)/span))
	r.updatedAt = now
}

// removeAttempt takes an ended attempt out of the replica's list.
func (r *replica) removeAttempt(a *attempt) {
	if i := slices.Index(r.inFlight, a); i >= 0 {
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
	}
	if a.call.inFlight--; a.call.inFlight == 0 {
		r.openCalls--
	}
}

// window holds the times of recent happenings, oldest first, for as long as keep says.
type window struct {
	times     []float64
	retention float64
}

func (w *window) add(t float64) {
	if len(w.times) == cap(w.times) { // before it grows: what is too old makes room
		i := w.indexFrom(t - w.retention)
		w.times = append(w.times[:0], w.times[i:]...)
	}
	w.times = append(w.times, t)
}

// indexFrom is the place of the first that is not older.
func (w *window) indexFrom(t float64) int {
	i, _ := slices.BinarySearch(w.times, t)
	return i
}

// count tells how many are not older.
func (w *window) count(from float64) int { return len(w.times) - w.indexFrom(from) }

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
type sample struct{ at, latency float64 }

// samples keeps recent latencies of one class.
type samples struct {
	entries []sample
	sorted  []float64
}

func (s *samples) add(at, took float64) { s.entries = append(s.entries, sample{at, took}) }

// recent drops what is older than from and returns the rest in rising order.
func (s *samples) recent(from float64) []float64 {
	i := 0
	for i < len(s.entries) && s.entries[i].at < from {
		i++
	}
	s.entries = append(s.entries[:0], s.entries[i:]...)
	s.sorted = s.sorted[:0]
	for _, x := range s.entries {
		s.sorted = append(s.sorted, x.latency)
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
	p.holderBuf = p.holderBuf[:0]
	for j := range min(p.cfg.Reach, p.cfg.Cells) {
		for _, r := range p.cells[(shard+j)%p.cfg.Cells] {
			if r.state == Up {
				p.holderBuf = append(p.holderBuf, r)
			}
		}
	}
	return p.holderBuf
}

// rebuildIndex sorts the list by id and the cells with it, and counts who is up.
func (p *Policy) rebuildIndex() {
	p.upCount = 0
	slices.SortFunc(p.list, func(a, b *replica) int { return cmp.Compare(a.id, b.id) })
	for i := range p.cells {
		p.cells[i] = p.cells[i][:0]
	}
	for _, r := range p.list {
		if r.state == Up {
			p.upCount++
		}
		if r.cell >= 0 && r.cell < len(p.cells) {
			p.cells[r.cell] = append(p.cells[r.cell], r)
		}
	}
}
