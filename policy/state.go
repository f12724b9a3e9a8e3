package policy

import (
	"cmp"
	"math"
	"slices"
)

// query is one query that is open at this instance.
type query struct {
	id, group           uint64
	class, tenant       int
	route               int
	limits              *Limits // of its route
	arrivedAt, deadline float64
	stepStart           float64 // start of the current step
	step                int     // 1 or 2
	firstComplete       bool
	parts               []*part
	need, requested     int // m: number of parts that suffice; parts sent or to be sent
	receivedWeight      float64
	receivedCount       int
	brokenReplicas      []*replica // went down while they ran a part of it
	retry, scouting     bool
	mayBreak            bool // it may be a query that crashes replicas
	probe               bool // admitted to measure whether the queues are gone
	ended               bool
}

// part is one part of a query.
type part struct {
	id        uint64
	query     *query
	shard     int
	weight    float64
	workRatio float64 // work hint over the mean of its class, at least 1
	attempts  []*attempt
	inFlight  int
	requested bool // sent or to be sent
	received  bool
	exhausted bool // no further attempt is possible
	closed    bool // its query or step has ended
	rank      int  // rank of its best holder (see pickReplica), and the load of that holder
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
	overdue   bool // in flight for too long, and counted in overdueInFlight
}

// firstMayHaveRun returns the first attempt that may have run, nil if there is none.
func (pt *part) firstMayHaveRun() *attempt {
	for _, a := range pt.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// call groups the parts that one turn sends to one replica. All its parts together count as one unit of load.
type call struct {
	turn     uint64
	parts    int
	inFlight int
}

// replica is one listed replica with its recent history.
type replica struct {
	id        uint64
	cell      int
	state     Readiness
	started   float64
	openCalls int        // calls to it with parts in flight
	lastCall  *call      // the latest call to it
	inFlight  []*attempt // its attempts in flight

	lastListedAt float64 // last time at which the list contained it

	lastAnswerAt float64 // last response of any kind
	records      []healthRecord
	suspect      bool // for at least one class
	unavailable  bool // the last attempt was not accepted: no connection, or it was full
	nextTrialAt  float64
	answers      window  // times of its answers
	slowness     float64 // latency of its latest answers over the mean, as of slownessAt
	slownessAt   float64

	credit   float64 // parts that may be sent to it while it is cold
	creditAt float64
}

// healthRecord tracks the share of bad outcomes of one class at one replica.
type healthRecord struct {
	badShare                            float64
	updatedAt, suspectSince, lastGoodAt float64 // last outcome, start of being suspect, last good outcome
	suspect, failing                    bool    // failing: the newest outcome was Failed
}

// add records one outcome, 1 for a bad one. Its weight grows with the time since the previous outcome.
func (r *healthRecord) add(x, now, span float64) {
	r.badShare += (x - r.badShare) * (1 - math.Pow(1-faultWeight, 1+(now-r.updatedAt)/span))
	r.updatedAt = now
}

// removeAttempt removes an ended attempt from the replica's list.
func (r *replica) removeAttempt(a *attempt) {
	if i := slices.Index(r.inFlight, a); i >= 0 {
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
	}
	if a.call.inFlight--; a.call.inFlight == 0 {
		r.openCalls--
	}
}

// window holds the times of recent events, oldest first. It drops those older than retention.
type window struct {
	times     []float64
	retention float64
}

// add appends a time, which must not be before the last one.
func (w *window) add(t float64) {
	if len(w.times) == cap(w.times) { // drops old entries before the slice would grow
		i := w.indexFrom(t - w.retention)
		w.times = append(w.times[:0], w.times[i:]...)
	}
	w.times = append(w.times, t)
}

// indexFrom returns the index of the first entry that is not older than t.
func (w *window) indexFrom(t float64) int {
	i, _ := slices.BinarySearch(w.times, t)
	return i
}

// count returns the number of entries that are not older than from.
func (w *window) count(from float64) int { return len(w.times) - w.indexFrom(from) }

// ewma is an exponentially weighted moving average over samples, without regard to their times.
type ewma struct {
	value float64
	n     int
}

// add adds a sample. The weight of the first samples is higher, so that the value starts as their mean.
func (e *ewma) add(x, weight float64) {
	e.n++
	e.value += (x - e.value) * math.Max(weight, 1/float64(e.n))
}

// sample is one latency and the time at which it was seen.
type sample struct{ at, latency float64 }

// samples holds the recent latencies of one class.
type samples struct {
	entries []sample
	sorted  []float64
}

func (s *samples) add(at, latency float64) { s.entries = append(s.entries, sample{at, latency}) }

// recent drops the samples older than from and returns the remaining latencies in ascending order.
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
func moments(x []float64) (mean, deviation float64) {
	if len(x) == 0 {
		return 0, 0
	}
	for _, v := range x {
		mean += v
	}
	mean /= float64(len(x))
	for _, v := range x {
		deviation += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(deviation / float64(len(x)))
}

// quantile returns a quantile of values that are in ascending order, 0 if there are none.
func quantile(x []float64, share float64) float64 {
	if len(x) == 0 {
		return 0
	}
	return x[int(share*float64(len(x)-1)+0.5)]
}

// holders returns the replicas that are up and hold the shard. The next call overwrites the returned slice.
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

// rebuildIndex sorts the list by id, rebuilds the cells in that order, and counts the replicas that are up.
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
