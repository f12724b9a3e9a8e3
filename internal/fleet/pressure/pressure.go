// Package pressure estimates how overloaded the fleet is. A Meter measures the load of the local co-ordinator, a Report carries
// that measurement to other co-ordinators, Reports keeps the newest report of each member, and FleetLoad is the estimate for the
// whole fleet. False reports from up to a tenth of the members cannot move an estimate outside the range of the honest reports.
//
// The package is pure: times are parameters, results do not depend on map iteration order, and all memory is bounded. Cost is
// counted in units of a mean part (see lanes.CostEstimator); rates are cost per second.
package pressure

import "time"

// MaxLanes is the maximum number of lanes.
const MaxLanes = 8

// Outcome is how an admitted query ended.
type Outcome uint8

// Outcomes of an admitted query.
const (
	InTime    Outcome = iota // served within its promise
	Late                     // served after its promise
	Refused                  // rejected by the policy module or by the gate of its route, not by a lane
	Failed                   // failed after its promise; earlier failures say nothing about load and are not counted
	Abandoned                // the client disconnected: counted as Late after the promise, otherwise not at all
	outcomeCount
)

const (
	// bucketInterval is the length of a time bucket of Meter, equal to the interval at which its caller steps.
	bucketInterval = 250 * time.Millisecond
	// rateBuckets is the number of full buckets over which rates are averaged: one second.
	rateBuckets = 4
	// maxBuckets is the number of full buckets that are searched for outcomes when few queries end.
	maxBuckets = 8
	// EnoughOutcomes is the number of outcomes that is enough to compute the pressure. Once it is reached, older buckets are left out.
	EnoughOutcomes = 8
	// MinOutcomes is the number of outcomes below which the local pressure is unknown.
	MinOutcomes = 4
	// QueueWeight is the pressure when queueing alone raises the median latency from its calm baseline to the promise.
	QueueWeight = 0.3
	// minCalmMedian and maxCalmMedian bound the calm baseline, which is the median latency while nothing is shed or refused, as a
	// fraction of the promise. initialCalmMedian is the baseline until one is learned.
	minCalmMedian, initialCalmMedian, maxCalmMedian = 0.15, 0.5, 0.65
	// maxCalmTail is the largest share of late and failed queries that counts as normal while nothing is shed or refused, and
	// tailTimeConstant the time constant with which that share is learned.
	maxCalmTail      = 0.2
	tailTimeConstant = 5 * time.Minute
	// medianFallTime and medianRiseTime are the time constants with which the calm median moves down and up to the observed median. It
	// moves up only while nothing is refused.
	medianFallTime, medianRiseTime = 2 * time.Second, 10 * time.Minute

	latencyBuckets = 16 // histogram buckets of latency over promise: an eighth each, up to two
)

// LocalLoad is the load that one co-ordinator measures on its own queries. Rates are cost per second.
type LocalLoad struct {
	Known      bool              // enough queries ended to compute Pressure
	Pressure   float64           // 0 to 1: the cost share late, failed or refused, above calmTail; or the effect of queueing if that is larger
	Offered    float64           // rate of all queries received in all lanes, including refused ones
	InTime     float64           // rate of queries served within their promise
	Completed  float64           // rate of all queries served, in time or late
	Guaranteed float64           // part of Offered that was within account guarantees
	ByLane     [MaxLanes]float64 // the rest of Offered, by lane
}

// bucket holds the counts of one time interval.
type bucket struct {
	offered, guaranteed, inTime, completed float64
	byLane                                 [MaxLanes]float64
	costByOutcome                          [outcomeCount]float64
	outcomes                               int                   // number of outcomes counted
	latencies                              [latencyBuckets]int32 // histogram of latency over promise of served queries
}

// Meter measures one co-ordinator's queries in a ring of time buckets. The zero value is ready to use; the first call sets its
// start time.
type Meter struct {
	started              bool
	bucketStart          time.Duration // start of the current bucket
	current              int           // index of the current bucket in ring
	fullBuckets          int           // number of full buckets before the current one
	ring                 [maxBuckets + 1]bucket
	calmMedian, calmTail float64 // baselines while nothing is shed or refused: median of latency over promise, share of late and failed cost
	lastStep             time.Duration
}

// advance moves the ring to now and returns the current bucket.
func (m *Meter) advance(now time.Duration) *bucket {
	if !m.started {
		m.started, m.bucketStart, m.lastStep, m.calmMedian = true, now, now, initialCalmMedian
	}
	if now-m.bucketStart >= bucketInterval*(maxBuckets+1) { // after a pause longer than the ring, all counts are out of date
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

// RecordQuery counts an arriving query, whether or not it is admitted: as guaranteed if it is within its account's guarantee,
// otherwise under its lane.
func (m *Meter) RecordQuery(now time.Duration, lane int, guaranteed bool, cost float64) {
	b := m.advance(now)
	b.offered += cost
	if guaranteed {
		b.guaranteed += cost
	} else {
		b.byLane[min(max(0, lane), MaxLanes-1)] += cost
	}
}

// RecordOutcome counts the end of a query that the lanes admitted. A refusal by a lane must not be recorded.
func (m *Meter) RecordOutcome(now time.Duration, cost float64, outcome Outcome, latency, promise time.Duration) {
	b := m.advance(now)
	// An early failure is not caused by queueing, and shedding load would not prevent it.
	if (outcome == Abandoned || outcome == Failed) && latency < promise {
		return
	}
	if outcome == Abandoned {
		outcome = Late
	} else if outcome <= Late {
		b.completed += cost
		b.latencies[min(max(0, int(8*latency/max(1, promise))), latencyBuckets-1)]++
	}
	if outcome == InTime {
		b.inTime += cost
	}
	b.costByOutcome[outcome] += cost
	b.outcomes++
}

// Step returns the load at now. shedLevel is the level at which this co-ordinator sheds; above 0 the state does not count as calm,
// so the baselines are not raised.
func (m *Meter) Step(now time.Duration, shedLevel float64) (o LocalLoad) {
	m.advance(now)
	var sum bucket
	outcomes, fullCount := 0, 0
	for i := 0; i <= m.fullBuckets; i++ {
		b := &m.ring[(m.current-i+len(m.ring))%len(m.ring)]
		if i <= rateBuckets { // the full buckets and the current one, which has just begun where the caller steps once per bucket
			fullCount = i
			sum.offered += b.offered
			sum.guaranteed += b.guaranteed
			sum.inTime += b.inTime
			sum.completed += b.completed
			for j := range b.byLane {
				sum.byLane[j] += b.byLane[j]
			}
		}
		if outcomes >= EnoughOutcomes && i > 1 {
			continue
		}
		outcomes += b.outcomes
		for e := range b.costByOutcome {
			sum.costByOutcome[e] += b.costByOutcome[e]
		}
		for j := range b.latencies {
			sum.latencies[j] += b.latencies[j]
		}
	}
	span := (time.Duration(fullCount)*bucketInterval + now - m.bucketStart).Seconds()
	if span < bucketInterval.Seconds() {
		return LocalLoad{}
	}
	o.Offered, o.InTime, o.Completed, o.Guaranteed = sum.offered/span, sum.inTime/span, sum.completed/span, sum.guaranteed/span
	for j := range o.ByLane {
		o.ByLane[j] = sum.byLane[j] / span
	}
	if outcomes < MinOutcomes {
		return o
	}
	o.Known = true
	median, ok := sum.median()
	if lateCost, totalCost := sum.costByOutcome[Late]+sum.costByOutcome[Failed], sum.totalCost(); totalCost > 0 {
		calm := shedLevel == 0 && sum.costByOutcome[Refused] == 0
		m.calmTail = m.updateBaseline(now, m.calmTail, min(maxCalmTail, lateCost/totalCost), calm, tailTimeConstant, tailTimeConstant)
		o.Pressure = max(0, (lateCost+sum.costByOutcome[Refused])/totalCost-m.calmTail) / (1 - m.calmTail)
	}
	if ok {
		m.calmMedian = m.updateBaseline(now, m.calmMedian, min(maxCalmMedian, max(minCalmMedian, median)), o.Pressure == 0 && shedLevel == 0, medianFallTime, medianRiseTime)
		o.Pressure = max(o.Pressure, QueueWeight*min(1, max(0, (median-m.calmMedian)/(1-m.calmMedian))))
	}
	m.lastStep = now
	return o
}

// updateBaseline returns the baseline moved towards the observed value. It rises only if calm is set.
func (m *Meter) updateBaseline(now time.Duration, baseline, observed float64, calm bool, fallTime, riseTime time.Duration) float64 {
	timeConstant := fallTime
	if observed > baseline {
		if timeConstant = riseTime; !calm {
			return baseline
		}
	}
	return baseline + (observed-baseline)*float64(min(time.Second, max(0, now-m.lastStep)))/float64(timeConstant)
}

func (b *bucket) totalCost() float64 {
	return b.costByOutcome[InTime] + b.costByOutcome[Late] + b.costByOutcome[Refused] + b.costByOutcome[Failed]
}

// median returns the median of latency over promise, or false if no query was served.
func (b *bucket) median() (float64, bool) {
	total := 0.0
	for _, n := range b.latencies {
		total += float64(n)
	}
	if total == 0 {
		return 0, false
	}
	cumulative := 0.0
	for j, n := range b.latencies {
		if cumulative+float64(n) >= total/2 {
			return (float64(j) + (total/2-cumulative)/float64(n)) / 8, true
		}
		cumulative += float64(n)
	}
	return latencyBuckets / 8, true
}
