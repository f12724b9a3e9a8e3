package lanes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/pressure"
)

// fleetModel simulates a fleet that sheds load, to test the controller alone. Co-ordinators with uneven traffic share one queue, which
// is served at the fleet's capacity. A model of package policy refuses queries by how long the co-ordinator's latest answers took. Reports
// arrive 0.25 to 1 s late, and each co-ordinator receives about twenty per second.
type fleetModel struct {
	n             int
	policyRefuses bool
	load          func(t float64) float64 // relative to the full capacity
	capacity      func(t float64) float64 // fraction of the full capacity
	corrupt       func(i int, t float64, report *pressure.Report)
	blocked       func(from, to int, t float64) bool // the report is dropped
	delay         func(t float64) (minDelay, maxDelay float64)

	rng          *rand.Rand
	now          float64
	coordinators []*coordinator
	queue        []job
	messages     []message
	samples      []sample
}

var capacityPerMember = 8.0 // cost per second that the replicas can serve for each co-ordinator

type coordinator struct {
	name         string
	rate         float64
	meter        pressure.Meter
	reports      pressure.Reports
	control      *Control
	seq          uint64
	recentTime   float64 // smoothed time of recent answers
	lastAnswerAt float64
	level        float64
}

type job struct {
	coordinator int
	arrivedAt   float64
}

type message struct {
	arrivesAt float64
	to        int
	report    pressure.Report
}

type sample struct {
	t, mean, low, high                              float64
	offered, inTime, late, refused, shed, abandoned float64 // since the last sample
}

const (
	promise     = 1.0
	giveUp      = 3.0
	tick        = 0.01
	serviceTime = 0.15
)

func newFleetModel(n int, seed uint64) *fleetModel {
	model := &fleetModel{n: n, policyRefuses: true, rng: rand.New(rand.NewPCG(seed, 1))}
	model.load = func(float64) float64 { return 1.5 }
	model.capacity = func(float64) float64 { return 1 }
	model.delay = func(float64) (float64, float64) { return 0.25, 1 }
	var names []string
	sum := 0.0
	for i := range n {
		c := &coordinator{name: fmt.Sprintf("c%03d", i), rate: 1 + 4*float64(i)/float64(max(1, n-1)), control: NewControl(0.9)}
		model.coordinators, names, sum = append(model.coordinators, c), append(names, c.name), sum+c.rate
	}
	for _, c := range model.coordinators {
		c.rate *= float64(n) * capacityPerMember / sum
		c.reports.SetMembers(names)
	}
	return model
}

func (model *fleetModel) names() (out []string) {
	for _, c := range model.coordinators {
		out = append(out, c.name)
	}
	return out
}

func (model *fleetModel) poisson(mean float64) (k int) {
	for x := model.rng.Float64(); x > math.Exp(-mean); k++ {
		x *= model.rng.Float64()
	}
	return k
}

func toDuration(s float64) time.Duration { return time.Duration(s * 1e9) }

func (model *fleetModel) run(until float64) {
	var m sample
	served, credit := 0, 0.0
	for step := int(math.Round(model.now / tick)); model.now < until; step++ {
		model.now = float64(step) * tick
		now := toDuration(model.now)
		for i, c := range model.coordinators {
			for range model.poisson(c.rate * model.load(model.now) * tick) {
				c.meter.RecordQuery(now, 0, false, 1)
				m.offered++
				if model.rng.Float64() < c.level {
					m.shed++
					continue
				}
				if expected := c.recentTime * math.Exp(c.lastAnswerAt-model.now); model.policyRefuses && expected > 0.6*promise {
					c.meter.RecordOutcome(now, 1, pressure.Refused, 0, toDuration(promise))
					m.refused++
					continue
				}
				model.queue = append(model.queue, job{i, model.now})
			}
		}
		credit += float64(model.n) * capacityPerMember * model.capacity(model.now) * tick
		for ; credit >= 1 && served < len(model.queue); served++ {
			credit--
			j := model.queue[served]
			c, took := model.coordinators[j.coordinator], model.now-j.arrivedAt+serviceTime
			switch {
			case took <= promise:
				c.meter.RecordOutcome(now, 1, pressure.InTime, toDuration(took), toDuration(promise))
				m.inTime++
			case took <= giveUp:
				c.meter.RecordOutcome(now, 1, pressure.Late, toDuration(took), toDuration(promise))
				m.late++
			default:
				c.meter.RecordOutcome(now, 1, pressure.Abandoned, toDuration(giveUp), toDuration(promise))
				m.abandoned++
			}
			c.recentTime += 0.3 * (took - c.recentTime)
			c.lastAnswerAt = model.now
		}
		if served == len(model.queue) {
			credit = min(credit, 1)
		}
		if served > 1<<16 {
			model.queue, served = append([]job(nil), model.queue[served:]...), 0
		}
		model.deliver(now)
		for i, c := range model.coordinators {
			if (step+i)%25 == 0 {
				model.step(i, c, now)
			}
		}
		if step%25 == 24 {
			m.t, m.low = model.now, 1
			for _, c := range model.coordinators {
				m.mean += c.level / float64(model.n)
				m.low, m.high = min(m.low, c.level), max(m.high, c.level)
			}
			model.samples = append(model.samples, m)
			m = sample{}
		}
	}
	model.queue = model.queue[served:]
}

func (model *fleetModel) deliver(now time.Duration) {
	remaining := model.messages[:0]
	for _, m := range model.messages {
		if m.arrivesAt <= model.now {
			model.coordinators[m.to].reports.Add(now, m.report)
		} else {
			remaining = append(remaining, m)
		}
	}
	model.messages = remaining
}

func (model *fleetModel) step(i int, c *coordinator, now time.Duration) {
	own := c.meter.Step(now, c.level)
	c.seq++
	report := pressure.Report{From: c.name, Incarnation: 1, Seq: c.seq, LocalLoad: own, Level: c.level}
	c.reports.Add(now, report)
	c.level = c.control.Step(now, c.reports.Estimate(now), own)
	if err := c.control.Check(); err != nil {
		panic(fmt.Sprintf("%s at %v: %v", c.name, now, err))
	}
	report.Level = c.level
	if model.corrupt != nil {
		model.corrupt(i, model.now, &report)
	}
	relayed := c.reports.SelectForForwarding(now, c.name, 3)
	minDelay, maxDelay := model.delay(model.now)
	for k := range 3 {
		to := model.rng.IntN(model.n)
		if model.blocked != nil && model.blocked(i, to, model.now) {
			continue
		}
		out := []pressure.Report{report}
		if k < len(relayed) {
			out = append(out, relayed[k])
		}
		for _, report := range out {
			decoded, rest, err := pressure.DecodeReport(report.Append(nil))
			if err != nil || len(rest) > 0 {
				continue
			}
			model.messages = append(model.messages, message{model.now + minDelay + (maxDelay-minDelay)*model.rng.Float64(), to, decoded})
		}
	}
}

// swings counts the turns of the mean level by more than threshold between from and to.
func (model *fleetModel) swings(from, to, threshold float64) (n int) {
	up, low, high := 0, math.Inf(1), math.Inf(-1)
	for _, m := range model.samples {
		if m.t < from || m.t > to {
			continue
		}
		low, high = min(low, m.mean), max(high, m.mean)
		switch {
		case up >= 0 && m.mean < high-threshold:
			if up > 0 {
				n++
			}
			up, low = -1, m.mean
		case up <= 0 && m.mean > low+threshold:
			if up < 0 {
				n++
			}
			up, high = 1, m.mean
		}
	}
	return n
}

// aggregate sums the samples between from and to. The level is the mean; low and high are of single co-ordinators.
func (model *fleetModel) aggregate(from, to float64) (sum sample) {
	k := 0
	sum.low = 1
	for _, m := range model.samples {
		if m.t > from && m.t <= to {
			k++
			sum.mean += m.mean
			sum.low, sum.high = min(sum.low, m.low), max(sum.high, m.high)
			sum.offered, sum.inTime, sum.late = sum.offered+m.offered, sum.inTime+m.inTime, sum.late+m.late
			sum.refused, sum.shed, sum.abandoned = sum.refused+m.refused, sum.shed+m.shed, sum.abandoned+m.abandoned
		}
	}
	sum.mean /= float64(max(1, k))
	return sum
}

func (model *fleetModel) String() (out string) {
	for i, m := range model.samples {
		if i%2 == 0 {
			f := float64(model.n) * capacityPerMember / 4
			out += fmt.Sprintf("%6.2f level %.3f [%.3f %.3f] offered %.2f in time %.2f late %.2f refused %.2f abandoned %.2f\n",
				m.t, m.mean, m.low, m.high, m.offered/f, m.inTime/f, m.late/f, m.refused/f, m.abandoned/f)
		}
	}
	return out
}
