// Package pressure works out how hard the fleet is pressed: what one co-ordinator sees of its own queries (Meter), the word that
// it gives of it to others (Word), what it heard of them (News), and the whole fleet's figures from that (Fleet), which a tenth of
// false words cannot move beyond what honest ones say.
//
// Pure: time comes in, order never comes from a map, all is bounded. Cost is counted in mean parts (see lanes.Cost), rates are cost
// a second.
package pressure

import "time"

// LanesMost is how many lanes there may be.
const LanesMost = 8

// End is how a query ended that this co-ordinator admitted.
type End uint8

// Ends of an admitted query.
const (
	InTime  End = iota // served within its promise
	Late               // served, later than that
	Refused            // by the module, or by the gate of its route: no lane's refusal
	Failed             // past its promise; before it, it tells nothing of load
	Left               // its client went; past its promise it counts as late, else not at all
	ends
)

const (
	// bucketFor is how finely a Meter counts, the step of its caller.
	bucketFor = 250 * time.Millisecond
	// rateBuckets is over how many buckets rates go, a second.
	rateBuckets = 4
	// bucketsMost is how far back outcomes are looked for where few queries end.
	bucketsMost = 8
	// EndsEnough queries that ended make a figure of pressure; with more, older ones are left out.
	EndsEnough = 8
	// EndsLeast is with how few the own pressure counts as unknown.
	EndsLeast = 4
	// QueueWeight is the pressure of queues that bring the median query to its promise, from where it is in calm.
	QueueWeight = 0.3
	// calmLeast and calmMost bound what counts as calm, as part of the promise; calmFirst holds until it is known.
	calmLeast, calmFirst, calmMost = 0.15, 0.5, 0.65
	// tailMost is the most that may be late or fail in calm and count as none, tailFor in what time it is learned.
	tailMost = 0.2
	tailFor  = 5 * time.Minute
	// calmFall and calmRise are in what time the calm median goes down and up to what is seen while nothing is turned away.
	calmFall, calmRise = 2 * time.Second, 10 * time.Minute

	times = 16 // kinds of time over promise that a bucket tells apart: by eighths, up to two
)

// Own is what one co-ordinator sees of itself.
type Own struct {
	Known    bool    // enough ended to tell
	Pressure float64 // 0 to 1
	Asked    float64 // rate asked for, of all lanes and with what was refused
	InTime   float64 // rate that came back in time
	Done     float64 // rate that came back at all
	Sure     float64 // of Asked: what was within guarantees
	ByLane   [LanesMost]float64
}

type bucket struct {
	asked, sure, inTime, done float64
	byLane                    [LanesMost]float64
	ends                      [ends]float64 // cost
	n                         int           // ends that tell something
	took                      [times]int32
}

// Meter counts one co-ordinator's queries. The zero value is ready; its first call says when it began.
type Meter struct {
	begun      bool
	from       time.Duration // of the current bucket
	at         int           // its place
	filled     int           // buckets that are full, besides
	ring       [bucketsMost + 1]bucket
	calm, tail float64 // the median in calm, and the share that is late or fails
	last       time.Duration
}

func (m *Meter) turn(now time.Duration) *bucket {
	if !m.begun {
		m.begun, m.from, m.last, m.calm = true, now, now, calmFirst
	}
	if now-m.from >= bucketFor*(bucketsMost+1) { // after a standstill nothing of before counts
		*m = Meter{begun: true, from: now, calm: m.calm, tail: m.tail, last: now}
	}
	for now-m.from >= bucketFor {
		m.from += bucketFor
		m.at = (m.at + 1) % len(m.ring)
		m.ring[m.at] = bucket{}
		m.filled = min(m.filled+1, bucketsMost)
	}
	return &m.ring[m.at]
}

// Asked counts a query when it comes, whatever becomes of it: under its lane, or as within a guarantee.
func (m *Meter) Asked(now time.Duration, lane int, sure bool, cost float64) {
	b := m.turn(now)
	b.asked += cost
	if sure {
		b.sure += cost
	} else {
		b.byLane[min(max(0, lane), LanesMost-1)] += cost
	}
}

// Ended counts how one ended that the lanes had let in. What a lane refused is no end.
func (m *Meter) Ended(now time.Duration, cost float64, e End, took, promise time.Duration) {
	b := m.turn(now)
	if (e == Left || e == Failed) && took < promise { // a failure at once is no sign of queues, and shedding mends it not
		return
	}
	if e == Left {
		e = Late
	} else if e <= Late {
		b.done += cost
		b.took[min(max(0, int(8*took/max(1, promise))), times-1)]++
	}
	if e == InTime {
		b.inTime += cost
	}
	b.ends[e] += cost
	b.n++
}

// Step gives the figures of now; shed is the level that this co-ordinator goes by: over 0 it is no calm.
func (m *Meter) Step(now time.Duration, shed float64) (o Own) {
	m.turn(now)
	var sum bucket
	n, rates := 0, 0
	for i := 0; i <= m.filled; i++ {
		b := &m.ring[(m.at-i+len(m.ring))%len(m.ring)]
		if i <= rateBuckets { // the current one, that has just begun where steps are as long as buckets, and full ones
			rates = i
			sum.asked += b.asked
			sum.sure += b.sure
			sum.inTime += b.inTime
			sum.done += b.done
			for j := range b.byLane {
				sum.byLane[j] += b.byLane[j]
			}
		}
		if n >= EndsEnough && i > 1 {
			continue
		}
		n += b.n
		for e := range b.ends {
			sum.ends[e] += b.ends[e]
		}
		for j := range b.took {
			sum.took[j] += b.took[j]
		}
	}
	span := (time.Duration(rates)*bucketFor + now - m.from).Seconds()
	if span < bucketFor.Seconds() {
		return Own{}
	}
	o.Asked, o.InTime, o.Done, o.Sure = sum.asked/span, sum.inTime/span, sum.done/span, sum.sure/span
	for j := range o.ByLane {
		o.ByLane[j] = sum.byLane[j] / span
	}
	if n < EndsLeast {
		return o
	}
	o.Known = true
	median, ok := sum.median()
	if late, all := sum.ends[Late]+sum.ends[Failed], sum.all(); all > 0 {
		quiet := shed == 0 && sum.ends[Refused] == 0
		m.tail = m.learn(now, m.tail, min(tailMost, late/all), quiet, tailFor, tailFor)
		o.Pressure = max(0, (late+sum.ends[Refused])/all-m.tail) / (1 - m.tail)
	}
	if ok {
		m.calm = m.learn(now, m.calm, min(calmMost, max(calmLeast, median)), o.Pressure == 0 && shed == 0, calmFall, calmRise)
		o.Pressure = max(o.Pressure, QueueWeight*min(1, max(0, (median-m.calm)/(1-m.calm))))
	}
	m.last = now
	return o
}

// learn gives what counts as calm, after a look at what is now. It rises in calm alone.
func (m *Meter) learn(now time.Duration, was, is float64, calm bool, fall, rise time.Duration) float64 {
	in := fall
	if is > was {
		if in = rise; !calm {
			return was
		}
	}
	return was + (is-was)*float64(min(time.Second, max(0, now-m.last)))/float64(in)
}

func (b *bucket) all() float64 {
	return b.ends[InTime] + b.ends[Late] + b.ends[Refused] + b.ends[Failed]
}

// median of time over promise, false without any.
func (b *bucket) median() (float64, bool) {
	all := 0.0
	for _, n := range b.took {
		all += float64(n)
	}
	if all == 0 {
		return 0, false
	}
	seen := 0.0
	for j, n := range b.took {
		if seen+float64(n) >= all/2 {
			return (float64(j) + (all/2-seen)/float64(n)) / 8, true
		}
		seen += float64(n)
	}
	return times / 8, true
}
