package shedding

import (
	"fmt"
	"math"
	"time"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/lanes"
	"birchcart/internal/fleet/pressure"
	"birchcart/internal/fleet/shares"
)

const (
	every     = 250 * time.Millisecond // a step
	fanout    = 3                      // members that a word goes to
	passed    = 2                      // words of others with it
	wantSpan  = 30.0                   // s over which an account's demand is smoothed
	levelMost = 0.95
)

// shed is one process's part in the lanes: the same steps as the product's, without its sockets.
type shed struct {
	c     *coordinator
	life  int
	cost  lanes.CostEstimator
	meter pressure.Meter
	news  pressure.Reports
	ctl   *lanes.Control
	gate  *lanes.Gate
	lent  *shares.Shares
	set   *laneconfig.Set
	seq   uint64
	words []pressure.Report
	in    []shares.Input
	rates []float64 // asked, by account
	asked []float64 // since the last step
	even  int64
	parts map[uint32]int64
	fleet pressure.FleetLoad
	heard time.Duration // when the fleet was known
}

func newShed(c *coordinator) *shed {
	if c.w.plan.Way != Lanes && c.w.plan.Way != Even {
		return nil
	}
	s := &shed{c: c, life: c.life, set: c.w.sets[0], parts: map[uint32]int64{}, ctl: lanes.NewControl(levelMost), heard: c.w.q.Now}
	if c.w.movedAt > 0 && c.w.q.Now >= c.w.movedAt { // its file is the newer one
		s.set = c.w.sets[1]
	}
	s.gate = lanes.New(s.now(), s.set, c.w.plan.Coordinators)
	s.lent = shares.New(shares.Options{Name: c.name, Incarnation: uint64(c.life), FleetSize: c.w.plan.Coordinators, Seed: c.w.plan.Seed})
	s.rates, s.asked = make([]float64, len(s.set.Accounts)), make([]float64, len(s.set.Accounts))
	s.news.SetMembers(c.w.names)
	c.w.q.After(time.Duration(c.w.rng.Int64N(int64(every))), s.step)
	return s
}

// now is the own monotonic clock, that runs a little fast or slow.
func (s *shed) now() time.Duration {
	return time.Duration(float64(s.c.w.q.Now) * (1 + 0.004*math.Sin(float64(s.c.at))))
}

// admit asks the gate.
func (s *shed) admit(a *ask, cost float64) lanes.Decision {
	now := s.now()
	if s.c.w.plan.Way == Even {
		v := lanes.Decision{Admitted: s.c.w.rng.Float64() >= s.ctl.Level(), Lane: a.stream.lane, PromiseDivisor: 1}
		if !v.Admitted {
			v.Reason = lanes.Shed
		}
		s.meter.RecordQuery(now, v.Lane, false, cost)
		return v
	}
	account := s.set.AccountOf(a.tenant, -1, "")
	v := s.gate.Admit(now, lanes.Query{Account: account, Class: a.class, Key: a.stream.key, Cost: cost, Retry: a.try > 0 && !s.c.w.plan.Unmarked})
	s.meter.RecordQuery(now, v.Lane, v.WithinGuarantee(), cost)
	if account >= 0 && account < len(s.asked) {
		s.asked[account] += cost
	}
	return v
}

func (s *shed) over(q *query, e end) {
	to := map[end]pressure.Outcome{inTime: pressure.InTime, late: pressure.Late, refused: pressure.Refused, failed: pressure.Abandoned}[e]
	s.meter.RecordOutcome(s.now(), q.cost, to, s.c.w.q.Now-q.came, seconds(promise))
}

func (s *shed) step() {
	c, w := s.c, s.c.w
	if !c.up || c.life != s.life {
		return
	}
	if w.q.Now < c.stalled {
		w.q.At(c.stalled, s.step)
		return
	}
	w.q.After(every, s.step)
	now := s.now()
	c.own = s.meter.Step(now, s.ctl.Level())
	for _, word := range s.words {
		s.news.Add(now, word)
	}
	s.words = s.words[:0]
	s.seq++
	word := pressure.Report{From: c.name, Incarnation: uint64(c.life), Seq: s.seq, Zone: c.name[len(c.name)-1:], LocalLoad: c.own, Level: s.ctl.Level(), Revision: s.set.Revision}
	s.news.Add(now, word)
	s.tell(now, word)
	s.fleet = s.news.Estimate(now)
	if s.fleet.Known {
		s.heard = w.q.Now
	}
	level := s.ctl.Step(now, s.fleet, c.own)
	if w.plan.Way == Lanes {
		slot := time.Duration(1<<50) + w.q.Now + c.wallOff
		s.gate.SetLevel(now, lanes.LevelUpdate{Level: level, Capacity: s.ctl.Capacity(), Members: len(w.names), Fleet: s.fleet, Own: c.own,
			Slot: uint64(slot / s.set.Slot), SlotLeft: s.set.Slot - slot%s.set.Slot})
		s.share(now)
	}
}

// tell sends the own word, true or not, and some of others.
func (s *shed) tell(now time.Duration, word pressure.Report) {
	c, w := s.c, s.c.w
	switch c.lie {
	case 0:
		word.LocalLoad, word.Level = pressure.LocalLoad{Known: true, Offered: word.Offered, InTime: word.Offered, Completed: word.Offered, ByLane: word.ByLane}, 0
	case 1:
		word.Known, word.Pressure, word.InTime, word.Completed, word.Level = true, 1, 0, 0, 1
	case 2:
		word.Known, word.Pressure, word.Offered, word.Level = true, math.NaN(), math.Inf(1), math.NaN()
	case 3:
		word.Known, word.Pressure, word.Offered, word.InTime, word.Level = true, 1e300, 1e300, 1e300, 1e300
		word.ByLane[0] = 1e300
	}
	for range fanout {
		to := w.cos[w.rng.IntN(len(w.cos))]
		if to == c {
			continue
		}
		out := append([]pressure.Report{word}, s.news.SelectForForwarding(now, c.name, passed)...)
		var raw []byte
		for i := range out {
			raw = out[i].Append(raw)
		}
		w.bytes += uint64(len(raw))
		if c.lie == 2 { // as if the codec had let it through
			w.link(c, to, func(s *shed, _ time.Duration) { s.words = append(s.words, word) })
		}
		w.link(c, to, func(s *shed, late time.Duration) {
			for rest := raw; len(rest) > 0; {
				got, next, err := pressure.DecodeReport(rest)
				if err != nil {
					return
				}
				got.Age += late
				s.words, rest = append(s.words, got), next
			}
		})
	}
}

// share moves guarantees.
func (s *shed) share(now time.Duration) {
	c, w := s.c, s.c.w
	bears := s.ctl.Capacity()
	accounts := len(s.set.Accounts)
	in := append(s.in, shares.Config{Revision: s.set.Revision, Accounts: accounts}, shares.Membership{Agreed: len(w.names), Live: w.names})
	s.in = nil
	for i := range accounts {
		by := 1 - math.Exp(-every.Seconds()/wantSpan)
		s.rates[i] += (s.asked[i]/every.Seconds() - s.rates[i]) * by
		s.asked[i] = 0
		if g := s.set.Accounts[i].Guarantee; g > 0 && bears > 0 {
			in = append(in, shares.Demand{Account: uint32(i), Want: int64(min(1, s.rates[i]/(g*bears)) * shares.GuaranteeUnits)})
		}
	}
	for _, o := range s.lent.Step(now, in) {
		switch o := o.(type) {
		case shares.SendRequest:
			w.letters++
			w.link(c, w.byName[o.To], func(s *shed, _ time.Duration) { s.in = append(s.in, o.Request) })
		case shares.SendReply:
			w.letters++
			w.link(c, w.byName[o.To], func(s *shed, _ time.Duration) { s.in = append(s.in, o.Reply) })
		case shares.DefaultShare:
			s.even = o.Share
		case shares.AccountShare:
			if s.parts[o.Account] = o.Share; o.Share == shares.UseDefault {
				delete(s.parts, o.Account)
			}
		}
	}
	for i := range accounts {
		part, named := s.parts[uint32(i)]
		if !named {
			part = s.even
		}
		s.gate.SetShare(now, i, s.set.Accounts[i].Guarantee*float64(part)/shares.GuaranteeUnits)
	}
}

// use goes by another set of lanes.
func (s *shed) use(set *laneconfig.Set) {
	s.set = set
	s.gate.SetConfig(s.now(), set)
	clear(s.parts)
}

// check asks each part for the rules that it keeps.
func (s *shed) check() error {
	if s.c.w.plan.Way != Lanes {
		return nil
	}
	for _, err := range []error{s.ctl.Check(), s.gate.Check(), s.lent.Check()} {
		if err != nil {
			return fmt.Errorf("%s: %w", s.c.name, err)
		}
	}
	return nil
}
