package lanes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/pressure"
)

// plant is a model of a fleet that sheds, for the controller alone: co-ordinators with uneven traffic in front of one queue,
// that serves at a capacity; the module turns away by what its latest own answers took. Words come 0.25 to 1 s late, each
// co-ordinator hears some twenty a second.
type plant struct {
	n        int
	module   bool
	load     func(t float64) float64 // of the capacity at rest
	capacity func(t float64) float64 // share of it
	lie      func(i int, t float64, w *pressure.Report)
	cut      func(from, to int, t float64) bool // no word comes
	late     func(t float64) (least, most float64)

	rng   *rand.Rand
	now   float64
	cos   []*co
	queue []job
	words []letter
	all   []moment
}

var each = 8.0 // cost a second that the replicas bear for each co-ordinator

type co struct {
	name  string
	rate  float64
	meter pressure.Meter
	news  pressure.Reports
	ctl   *Control
	seq   uint64
	took  float64 // of the latest answers
	at    float64
	level float64
}

type job struct {
	co   int
	came float64
}

type letter struct {
	at float64
	to int
	w  pressure.Report
}

type moment struct {
	t, mean, low, high                       float64
	asked, inTime, late, refused, shed, fail float64 // since the last
}

const (
	promise  = 1.0
	giveUp   = 3.0
	tick     = 0.01
	bareTime = 0.15
)

func newPlant(n int, seed uint64) *plant {
	p := &plant{n: n, module: true, rng: rand.New(rand.NewPCG(seed, 1))}
	p.load = func(float64) float64 { return 1.5 }
	p.capacity = func(float64) float64 { return 1 }
	p.late = func(float64) (float64, float64) { return 0.25, 1 }
	var names []string
	sum := 0.0
	for i := range n {
		c := &co{name: fmt.Sprintf("c%03d", i), rate: 1 + 4*float64(i)/float64(max(1, n-1)), ctl: NewControl(0.9)}
		p.cos, names, sum = append(p.cos, c), append(names, c.name), sum+c.rate
	}
	for _, c := range p.cos {
		c.rate *= float64(n) * each / sum
		c.news.SetMembers(names)
	}
	return p
}

func (p *plant) names() (out []string) {
	for _, c := range p.cos {
		out = append(out, c.name)
	}
	return out
}

func (p *plant) poisson(mean float64) (k int) {
	for x := p.rng.Float64(); x > math.Exp(-mean); k++ {
		x *= p.rng.Float64()
	}
	return k
}

func dur(s float64) time.Duration { return time.Duration(s * 1e9) }

func (p *plant) run(until float64) {
	var m moment
	served, credit := 0, 0.0
	for step := int(math.Round(p.now / tick)); p.now < until; step++ {
		p.now = float64(step) * tick
		now := dur(p.now)
		for i, c := range p.cos {
			for range p.poisson(c.rate * p.load(p.now) * tick) {
				c.meter.RecordQuery(now, 0, false, 1)
				m.asked++
				if p.rng.Float64() < c.level {
					m.shed++
					continue
				}
				if known := c.took * math.Exp(c.at-p.now); p.module && known > 0.6*promise {
					c.meter.RecordOutcome(now, 1, pressure.Refused, 0, dur(promise))
					m.refused++
					continue
				}
				p.queue = append(p.queue, job{i, p.now})
			}
		}
		credit += float64(p.n) * each * p.capacity(p.now) * tick
		for ; credit >= 1 && served < len(p.queue); served++ {
			credit--
			j := p.queue[served]
			c, took := p.cos[j.co], p.now-j.came+bareTime
			switch {
			case took <= promise:
				c.meter.RecordOutcome(now, 1, pressure.InTime, dur(took), dur(promise))
				m.inTime++
			case took <= giveUp:
				c.meter.RecordOutcome(now, 1, pressure.Late, dur(took), dur(promise))
				m.late++
			default:
				c.meter.RecordOutcome(now, 1, pressure.Abandoned, dur(giveUp), dur(promise))
				m.fail++
			}
			c.took += 0.3 * (took - c.took)
			c.at = p.now
		}
		if served == len(p.queue) {
			credit = min(credit, 1)
		}
		if served > 1<<16 {
			p.queue, served = append([]job(nil), p.queue[served:]...), 0
		}
		p.deliver(now)
		for i, c := range p.cos {
			if (step+i)%25 == 0 {
				p.step(i, c, now)
			}
		}
		if step%25 == 24 {
			m.t, m.low = p.now, 1
			for _, c := range p.cos {
				m.mean += c.level / float64(p.n)
				m.low, m.high = min(m.low, c.level), max(m.high, c.level)
			}
			p.all = append(p.all, m)
			m = moment{}
		}
	}
	p.queue = p.queue[served:]
}

func (p *plant) deliver(now time.Duration) {
	keep := p.words[:0]
	for _, l := range p.words {
		if l.at <= p.now {
			p.cos[l.to].news.Add(now, l.w)
		} else {
			keep = append(keep, l)
		}
	}
	p.words = keep
}

func (p *plant) step(i int, c *co, now time.Duration) {
	own := c.meter.Step(now, c.level)
	c.seq++
	w := pressure.Report{From: c.name, Incarnation: 1, Seq: c.seq, LocalLoad: own, Level: c.level}
	c.news.Add(now, w)
	c.level = c.ctl.Step(now, c.news.Estimate(now), own)
	if err := c.ctl.Check(); err != nil {
		panic(fmt.Sprintf("%s at %v: %v", c.name, now, err))
	}
	w.Level = c.level
	if p.lie != nil {
		p.lie(i, p.now, &w)
	}
	some := c.news.SelectForForwarding(now, c.name, 3)
	least, most := p.late(p.now)
	for k := range 3 {
		to := p.rng.IntN(p.n)
		if p.cut != nil && p.cut(i, to, p.now) {
			continue
		}
		out := []pressure.Report{w}
		if k < len(some) {
			out = append(out, some[k])
		}
		for _, w := range out {
			b, rest, err := pressure.DecodeReport(w.Append(nil))
			if err != nil || len(rest) > 0 {
				continue
			}
			p.words = append(p.words, letter{p.now + least + (most-least)*p.rng.Float64(), to, b})
		}
	}
}

// swings are turns of the mean level by more than by, in the span.
func (p *plant) swings(from, to, by float64) (n int) {
	up, low, high := 0, math.Inf(1), math.Inf(-1)
	for _, m := range p.all {
		if m.t < from || m.t > to {
			continue
		}
		low, high = min(low, m.mean), max(high, m.mean)
		switch {
		case up >= 0 && m.mean < high-by:
			if up > 0 {
				n++
			}
			up, low = -1, m.mean
		case up <= 0 && m.mean > low+by:
			if up < 0 {
				n++
			}
			up, high = 1, m.mean
		}
	}
	return n
}

// over sums moments of a span; its level is the mean, low and high are of single co-ordinators.
func (p *plant) over(from, to float64) (s moment) {
	k := 0
	s.low = 1
	for _, m := range p.all {
		if m.t > from && m.t <= to {
			k++
			s.mean += m.mean
			s.low, s.high = min(s.low, m.low), max(s.high, m.high)
			s.asked, s.inTime, s.late = s.asked+m.asked, s.inTime+m.inTime, s.late+m.late
			s.refused, s.shed, s.fail = s.refused+m.refused, s.shed+m.shed, s.fail+m.fail
		}
	}
	s.mean /= float64(max(1, k))
	return s
}

func (p *plant) String() (out string) {
	for i, m := range p.all {
		if i%2 == 0 {
			f := float64(p.n) * each / 4
			out += fmt.Sprintf("%6.2f level %.3f [%.3f %.3f] asked %.2f in time %.2f late %.2f refused %.2f left %.2f\n", m.t, m.mean, m.low, m.high, m.asked/f, m.inTime/f, m.late/f, m.refused/f, m.fail/f)
		}
	}
	return out
}
