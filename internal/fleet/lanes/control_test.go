package lanes

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/pressure"
)

// sizes of the plant: small in a short run; LANES_LONG=1 takes 300 co-ordinators and ten minutes
// where it matters if it is 2, LANES_LOAD one load of them.
func sizes(t *testing.T) (n int, long bool) {
	if race {
		t.Skip("the plant is one goroutine, and takes a minute so")
	}
	if long = os.Getenv("LANES_LONG") != ""; long {
		return 300, true
	}
	return 60, false
}

func started(load float64) func(t float64) float64 {
	return func(t float64) float64 {
		if t < 4 {
			return 0.7
		}
		return load
	}
}

// right is how long after from the mean level is within by of the one it should be, and stays so for three seconds.
func (p *plant) right(from, level, by float64) float64 {
	since := math.Inf(1)
	for _, m := range p.all {
		switch {
		case m.t < from:
		case math.Abs(m.mean-level) > by:
			since = math.Inf(1)
		default:
			since = min(since, m.t)
			if m.t-since >= 3 {
				return since - from
			}
		}
	}
	return math.Inf(1)
}

// lost is when work was first refused or late.
func (p *plant) lost(from float64) float64 {
	for _, m := range p.all {
		if m.t > from && m.refused+m.late+m.fail > 0.02*m.asked {
			return m.t - 0.25
		}
	}
	return math.Inf(1)
}

// What the own lanes shed is no cause to shed: alone, a level that nothing but itself asks for would never go.
func TestALevelDoesNotAskForItself(t *testing.T) {
	own := pressure.LocalLoad{Known: true, Pressure: 2 * Aim, Offered: 100, InTime: 60, Completed: 60}
	if level := asks(own); level > 2*Aim {
		t.Errorf("asks for %.2f, though of what it let in a part of %.2f was not in time", level, own.Pressure)
	}
}

func TestLevelIsRightSoonAndDoesNotSwing(t *testing.T) {
	n, long := sizes(t)
	least := 0.95 // in half a minute; in ten
	if long {
		least = 0.97
	}
	for _, x := range []struct {
		load, swings float64
	}{{1, 1}, {1.2, 6}, {1.5, 4}, {2, 4}, {4, 4}} {
		if only := os.Getenv("LANES_LOAD"); only != "" && only != fmt.Sprint(x.load) {
			continue
		}
		until := 44.0
		if long {
			until = 124
			if os.Getenv("LANES_LONG") == "2" && x.load <= 1.5 {
				until = 604
			}
		} else if x.load == 1.2 {
			continue
		}
		p := newPlant(n, 1)
		p.load = started(x.load)
		p.run(until)
		should, s := 1-1/x.load, p.over(14, until)
		lost, swings := p.lost(4), float64(p.swings(14, until, 0.05))*60/(until-14)
		reached, in := p.right(4, should, 0.1), s.inTime/(float64(n)*each*(until-14))
		t.Logf("%.1f x: %.1f s after the step work was lost, level right after %.1f s; then %.3f, %.1f swings a minute, %.3f of capacity in time, %.3f refused by the module",
			x.load, lost-4, reached, s.mean, swings, in, s.refused/s.asked)
		if x.load > 1 && reached > min(lost-4, 3)+2.5 || math.Abs(s.mean-should) > 0.03 || swings > x.swings || in < least {
			t.Errorf("%.1f x load", x.load)
		}
	}
}

func TestLevelGoesWithLoadAndIsGoneWithIt(t *testing.T) {
	n, _ := sizes(t)
	p := newPlant(n, 2)
	p.load = func(t float64) float64 {
		if t > 20 {
			return 0.7
		}
		return started(2)(t)
	}
	p.run(34)
	reached, s := p.right(20, 0, 0.1), p.over(26, 34)
	t.Logf("2 x to 0.7: within 0.1 after %.1f s, at 6 s %.3f", reached, s.high)
	if reached > 3.5 || s.mean > 0.005 {
		t.Error("a level that stays")
	}
	p = newPlant(n, 3)
	p.load = func(t float64) float64 { return 1.6 * math.Pow(1.3, float64(int(t/3)%4-2)) } // 0.95 to 2.1, four steps
	p.run(40)
	s = p.over(10, 40)
	in := s.inTime / (float64(n) * each * 30)
	t.Logf("steps of 30 %% each 3 s: mean level %.3f, %.3f of capacity in time, %.3f refused by the module", s.mean, in, s.refused/s.asked)
	if in < 0.8 || s.refused/s.asked > 0.12 {
		t.Error("steps")
	}
}

func TestHalfOfTheReplicasGoAndComeBackCold(t *testing.T) {
	n, _ := sizes(t)
	p := newPlant(n, 4)
	p.load = func(float64) float64 { return 0.8 }
	p.capacity = func(t float64) float64 {
		switch {
		case t < 6:
			return 1
		case t < 16:
			return 0.5
		}
		return min(1, 0.5+0.5*(t-16)/15)
	}
	p.run(60)
	reached, back := p.right(6, 0.375, 0.1), p.right(16, 0, 0.02)
	s, after := p.over(16, 45), p.over(52, 60)
	t.Logf("half gone at 0.8 x: right after %.1f s; back over 15 s: gone after %.1f s, %.3f refused by the module meanwhile", reached, back, s.refused/s.asked)
	if reached > 8 || s.refused/s.asked > 0.03 || after.mean > 0.01 || after.inTime < 0.99*after.asked {
		t.Errorf("%s", p)
	}
}

// Lies of a tenth: what they say, and how far the level may be off for them.
func TestATenthThatLiesDoesNotMoveTheLevel(t *testing.T) {
	n, long := sizes(t)
	huge := pressure.LocalLoad{Known: true, Pressure: 1, Offered: 1e9, Guaranteed: 1e9}
	for name, lie := range map[string]func(w *pressure.Report){
		"all is lost, for ever": func(w *pressure.Report) { w.Pressure, w.InTime, w.Completed, w.Level, w.Known = 1, 0, 0, 1, true },
		"nothing, for ever":     func(w *pressure.Report) { w.Pressure, w.Level, w.Offered, w.InTime, w.Completed = 0, 0, 0, 0, 0 },
		"calm, for ever":        func(w *pressure.Report) { w.Pressure, w.Level, w.InTime, w.Completed = 0, 0, w.Offered, w.Offered },
		"no number":             func(w *pressure.Report) { w.Pressure, w.Offered, w.Level = math.NaN(), math.Inf(1), math.NaN() },
		"huge":                  func(w *pressure.Report) { w.LocalLoad, w.Level = huge, 1 },
	} {
		if !long && name != "all is lost, for ever" && name != "huge" && name != "nothing, for ever" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for _, load := range []float64{0.8, 1.5} {
				p := newPlant(n, 5)
				p.load = started(load)
				p.lie = func(i int, _ float64, w *pressure.Report) {
					if i%10 == 3 {
						lie(w)
					}
				}
				p.run(40)
				s := p.over(15, 40)
				t.Logf("%.1f x: level %.3f, single ones %.3f to %.3f, %.3f in time", load, s.mean, s.low, s.high, s.inTime/(float64(n)*each*25*min(1, load)))
				if load < 1 && s.high > 0 {
					t.Errorf("sheds in calm: %.3f", s.high)
				}
				if should := max(0, 1-1/load); math.Abs(s.mean-should) > 0.05 {
					t.Errorf("level %.3f at %.1f x", s.mean, load)
				}
			}
		})
	}
}

func TestNewsThatIsLateCutOrLost(t *testing.T) {
	n, _ := sizes(t)
	half := func(i, to int, t float64) bool { return (i < n/4) != (to < n/4) }
	for name, x := range map[string]struct {
		set       func(p *plant)
		in        float64
		low, high float64 // of the mean level
	}{
		"cut in two, unevenly": {func(p *plant) { p.cut = half }, 0.93, 0.28, 0.4},
		"one way":              {func(p *plant) { p.cut = func(i, to int, t float64) bool { return i < n/4 && to >= n/4 } }, 0.93, 0.28, 0.4},
		"5 s late":             {func(p *plant) { p.late = func(float64) (float64, float64) { return 4, 6 } }, 0.75, 0, 0.5},
		"none at all":          {func(p *plant) { p.cut = func(int, int, float64) bool { return true } }, 0.75, 0, 0.5},
		"half lost":            {func(p *plant) { p.cut = func(int, int, float64) bool { return p.rng.IntN(2) == 0 } }, 0.93, 0.28, 0.4},
		"7 in 10 start anew": {func(p *plant) {
			p.cut = func(i, to int, t float64) bool {
				if c := p.cos[i]; t > 20 && i%10 < 7 && c.seq > 0 && c.seq < 1<<40 {
					*c = co{name: c.name, rate: c.rate, ctl: NewControl(0.9), seq: 1 << 40}
					c.news.SetMembers(p.names())
				}
				return false
			}
		}, 0.93, 0.28, 0.4},
		"5 x on one alone": {func(p *plant) { p.cos[n/2].rate *= 5 }, 0.95, 0.28, 0.42},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlant(n, 6)
			p.load = started(1.5)
			x.set(p)
			p.run(44)
			s := p.over(14, 44)
			in := s.inTime / (float64(n) * each * 30)
			t.Logf("level %.3f, single ones %.3f to %.3f, %.3f of capacity in time, %.3f refused by the module", s.mean, s.low, s.high, in, s.refused/s.asked)
			if in < x.in || s.mean < x.low || s.mean > x.high {
				t.Error("worse than it should be")
			}
		})
	}
}

func TestWithoutNewsTheLevelFadesToTheOwn(t *testing.T) {
	c := NewControl(0.9)
	hard := pressure.FleetLoad{Known: true, Pressure: 0.5, RecentPressure: 0.5, Offered: 100, InTime: 50, Completed: 50, Level: 0.5}
	busy := pressure.LocalLoad{Known: true, Pressure: 0.5, Offered: 10, InTime: 5, Completed: 5}
	now := time.Duration(0)
	for range 20 {
		now += Every
		c.Step(now, hard, busy)
	}
	if l := c.Level(); l < 0.4 {
		t.Fatalf("level %.3f", l)
	}
	calm := pressure.LocalLoad{Known: true, Offered: 10, InTime: 10, Completed: 10}
	for at := now + FadeFor; now <= at; now += Every {
		c.Step(now, pressure.FleetLoad{}, calm)
	}
	if l := c.Step(now, pressure.FleetLoad{}, calm); l != 0 || c.Check() != nil {
		t.Errorf("%.3f is left after %v: %v", l, FadeFor, c.Check())
	}
	for range 40 { // pressed itself it sheds by itself, no more than that asks
		now += Every
		c.Step(now, pressure.FleetLoad{}, busy)
		if err := c.Check(); err != nil {
			t.Fatal(err)
		}
	}
	if l := c.Level(); l < 0.2 || l > asks(busy) {
		t.Errorf("level %.3f, own pressure asks %.3f", l, asks(busy))
	}
}

// Guards taken out: what should be found is.
func TestLevelsThatNothingAsksForAreFound(t *testing.T) {
	calm := pressure.LocalLoad{Known: true, Offered: 10, InTime: 10, Completed: 10}
	for rule, c := range map[string]*Control{
		"L4": {most: 0.9, begun: true, now: 20 * sec, alone: 0, level: 0.4, own: calm, stirred: 19 * sec},
		"L6": {most: 0.9, begun: true, now: 100 * sec, alone: -1, level: 0.4, own: calm},
	} {
		if err := c.Check(); err == nil || !strings.HasPrefix(err.Error(), rule) {
			t.Errorf("%s: %v", rule, err)
		}
	}
}

// No number, or none that can be, leaves the level within bounds.
func TestFiguresOfNoNumberAreAsNone(t *testing.T) {
	c, now := NewControl(0.9), time.Duration(0)
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 0} {
		for range 10 {
			now += Every
			l := c.Step(now, pressure.FleetLoad{Known: true, Pressure: v, Offered: v, InTime: v, Completed: v, Level: v}, pressure.LocalLoad{Known: true, Pressure: 0, Offered: 1, InTime: 1})
			if !(l >= 0 && l <= 0.9) {
				t.Fatalf("level %v by %v", l, v)
			}
		}
	}
}

// Guards against an estimate that is cut at a storm's first moment, while rates still fill, and stays there: what comes back is borne.
func TestTheEstimateIsNotUnderWhatComesBack(t *testing.T) {
	c := NewControl(0.95)
	own := pressure.LocalLoad{Known: true, Pressure: 0.5}
	for i, step := range []struct{ asked, done, pressure float64 }{ // a second's rates of 250 a second that begin at once, of which 120 are borne
		{32, 11, 0}, {48, 20, 0.23}, {109, 46, 0.5}, {169, 75, 0.5}, {229, 103, 0.57}, {249, 125, 0.4},
		{245, 125, 0.43}, {245, 120, 0.36}, {245, 115, 0.2}, {243, 110, 0}, {245, 110, 0}, {245, 110, 0},
	} {
		own.Offered = step.asked / 3
		c.Step(time.Duration(i)*Every, pressure.FleetLoad{
			Known: true, Pressure: step.pressure, RecentPressure: step.pressure, Offered: step.asked, InTime: step.done, Completed: step.done, FreshReports: 3, Members: 3, Level: c.Level(),
		}, own)
		if e := c.Estimate(); e.Storm && e.Bears < 0.9*e.ComesBack {
			t.Errorf("step %d: %.0f a second come back, %.0f are thought to be borne", i, e.ComesBack, e.Bears)
		}
	}
}
