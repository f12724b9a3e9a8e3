// Package pressure works out how hard the fleet is pressed: what one co-ordinator sees of its own queries (Meter), the word that
// it gives of it to others (Word), what it heard of them (News), and the whole fleet's figures from that (Fleet), which a tenth of
// false words cannot move beyond what honest ones say.
//
// Pure: time comes in, order never comes from a map, all is bounded. Cost is counted in mean parts (see lanes.CostEstimator), rates are cost
// a second.
package pressure

import "time"

// MaxLanes is how many lanes there may be.
const MaxLanes = 8

// Outcome is how a query ended that this co-ordinator admitted.
type Outcome uint8

// Ends of an admitted query.
const (
	InTime    Outcome = iota // served within its promise
	Late                     // served, later than that
	Refused                  // by the module, or by the gate of its route: no lane's refusal
	Failed                   // past its promise; before it, it tells nothing of load
	Abandoned                // its client went; past its promise it counts as late, else not at all
	outcomeCount
)

const (
	// bucketInterval is how finely a Meter counts, the step of its caller.
	bucketInterval = 250 * time.Millisecond
	// rateBuckets is over how many buckets rates go, a second.
	rateBuckets = 4
	// maxBuckets is how far back outcomes are looked for where few queries end.
	maxBuckets = 8
	// EnoughOutcomes queries that ended make a figure of pressure; with more, older ones are left out.
	EnoughOutcomes = 8
	// MinOutcomes is with how few the own pressure counts as unknown.
	MinOutcomes = 4
	// QueueWeight is the pressure of queues that bring the median query to its promise, from where it is in calm.
	QueueWeight = 0.3
	// minCalmMedian and maxCalmMedian bound what counts as calm, as part of the promise; initialCalmMedian holds until it is known.
	minCalmMedian, initialCalmMedian, maxCalmMedian = 0.15, 0.5, 0.65
	// maxCalmTail is the most that may be late or fail in calm and count as none, tailTimeConstant in what time it is learned.
	maxCalmTail      = 0.2
	tailTimeConstant = 5 * time.Minute
	// medianFallTime and medianRiseTime are in what time the calm median goes down and up to what is seen while nothing is turned away.
	medianFallTime, medianRiseTime = 2 * time.Second, 10 * time.Minute

	latencyBuckets = 16 // kinds of time over promise that a bucket tells apart: by eighths, up to two
)

// LocalLoad is what one co-ordinator sees of itself.
type LocalLoad struct {
	Known      bool    // enough ended to tell
	Pressure   float64 // 0 to 1
	Offered    float64 // decodeRate asked for, of all lanes and with what was refused
	InTime     float64 // decodeRate that came back in time
	Completed  float64 // decodeRate that came back at all
	Guaranteed float64 // of Asked: what was within guarantees
	ByLane     [MaxLanes]float64
}

type bucket struct {
	offered, guaranteed, inTime, completed float64
	byLane                                 [MaxLanes]float64
	costByOutcome                          [outcomeCount]float64 // cost
	outcomes                               int                   // costByOutcome that tell something
	latencies                              [latencyBuckets]int32
}

// Meter counts one co-ordinator's queries. The zero value is ready; its first call says when it began.
type Meter struct {
	started              bool
	bucketStart          time.Duration // of the current bucket
	current              int           // its place
	fullBuckets          int           // buckets that are full, besides
	ring                 [maxBuckets + 1]bucket
	calmMedian, calmTail float64 // the median in calm, and the share that is late or fails
	lastStep             time.Duration
}

func (m *Meter) advance(now time.Duration) *bucket {
	if !m.started {
		m.started, m.bucketStart, m.lastStep, m.calmMedian = true, now, now, initialCalmMedian
	}
	if now-m.bucketStart >= bucketInterval*(maxBuckets+1) { // after a standstill nothing of before counts
		*m = Meter{started: true, bucketStart: now, calmMedian: m.calmMedian, calmTail: m.calmTail, lastStep: now}
	}
	for now-m.bucketStart >= bucketInterval {
		m.bucketStart += bucketInterval
		m.current = (m.current + 1) % len(m.ring)
		m.ring[m.current] = bucket{}
		m.fullBuckets = min(m.fullBuckets+1, maxBuckets)
	}
	return &m.ring[m.current]
}

// Offered counts a query when it comes, whatever becomes of it: under its lane, or as within a guarantee.
func (m *Meter) RecordQuery(now time.Duration, lane int, sure bool, cost float64) {
	b := m.advance(now)
	b.offered += cost
	if sure {
		b.guaranteed += cost
	} else {
		b.byLane[min(max(0, lane), MaxLanes-1)] += cost
	}
}

// RecordOutcome counts how one ended that the lanes had let in. What a lane refused is no end.
func (m *Meter) RecordOutcome(now time.Duration, cost float64, e Outcome, took, promise time.Duration) {
	b := m.advance(now)
	if (e == Abandoned || e == Failed) && took < promise { // a failure at once is no sign of queues, and shedding mends it not
		return
	}
	if e == Abandoned {
		e = Late
	} else if e <= Late {
		b.completed += cost
		b.latencies[min(max(0, int(8*took/max(1, promise))), latencyBuckets-1)]++
	}
	if e == InTime {
		b.inTime += cost
	}
	b.costByOutcome[e] += cost
	b.outcomes++
}

// Step gives the figures of now; shed is the level that this co-ordinator goes by: over 0 it is no calm.
func (m *Meter) Step(now time.Duration, shed float64) (o LocalLoad) {
	m.advance(now)
	var sum bucket
	n, rates := 0, 0
	for i := 0; i <= m.fullBuckets; i++ {
		b := &m.ring[(m.current-i+len(m.ring))%len(m.ring)]
		if i <= rateBuckets { // the current one, that has just begun where steps are as long as buckets, and full ones
			rates = i
			sum.offered += b.offered
			sum.guaranteed += b.guaranteed
			sum.inTime += b.inTime
			sum.completed += b.completed
			for j := range b.byLane {
				sum.byLane[j] += b.byLane[j]
			}
		}
		if n >= EnoughOutcomes && i > 1 {
			continue
		}
		n += b.outcomes
		for e := range b.costByOutcome {
			sum.costByOutcome[e] += b.costByOutcome[e]
		}
		for j := range b.latencies {
			sum.latencies[j] += b.latencies[j]
		}
	}
	span := (time.Duration(rates)*bucketInterval + now - m.bucketStart).Seconds()
	if span < bucketInterval.Seconds() {
		return LocalLoad{}
	}
	o.Offered, o.InTime, o.Completed, o.Guaranteed = sum.offered/span, sum.inTime/span, sum.completed/span, sum.guaranteed/span
	for j := range o.ByLane {
		o.ByLane[j] = sum.byLane[j] / span
	}
	if n < MinOutcomes {
		return o
	}
	o.Known = true
	median, ok := sum.median()
	if late, all := sum.costByOutcome[Late]+sum.costByOutcome[Failed], sum.totalCost(); all > 0 {
		quiet := shed == 0 && sum.costByOutcome[Refused] == 0
		m.calmTail = m.updateBaseline(now, m.calmTail, min(maxCalmTail, late/all), quiet, tailTimeConstant, tailTimeConstant)
		o.Pressure = max(0, (late+sum.costByOutcome[Refused])/all-m.calmTail) / (1 - m.calmTail)
	}
	if ok {
		m.calmMedian = m.updateBaseline(now, m.calmMedian, min(maxCalmMedian, max(minCalmMedian, median)), o.Pressure == 0 && shed == 0, medianFallTime, medianRiseTime)
		o.Pressure = max(o.Pressure, QueueWeight*min(1, max(0, (median-m.calmMedian)/(1-m.calmMedian))))
	}
	m.lastStep = now
	return o
}

// updateBaseline gives what counts as calm, after a look at what is now. It rises in calm alone.
func (m *Meter) updateBaseline(now time.Duration, was, is float64, calm bool, fall, rise time.Duration) float64 {
	in := fall
	if is > was {
		if in = rise; !calm {
			return was
		}
	}
	return was + (is-was)*float64(min(time.Second, max(0, now-m.lastStep)))/float64(in)
}

func (b *bucket) totalCost() float64 {
	return b.costByOutcome[InTime] + b.costByOutcome[Late] + b.costByOutcome[Refused] + b.costByOutcome[Failed]
}

// median of time over promise, false without any.
func (b *bucket) median() (float64, bool) {
	all := 0.0
	for _, n := range b.latencies {
		all += float64(n)
	}
	if all == 0 {
		return 0, false
	}
	seen := 0.0
	for j, n := range b.latencies {
		if seen+float64(n) >= all/2 {
			return (float64(j) + (all/2-seen)/float64(n)) / 8, true
		}
		seen += float64(n)
	}
	return latencyBuckets / 8, true
}
