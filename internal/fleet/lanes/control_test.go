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

// modelSize returns how many co-ordinators the fleet model has, and whether the run is a long one. LANES_LONG=1 takes 300 co-ordinators,
// LANES_LONG=2 also ten minutes where the duration matters. LANES_LOAD selects one load.
func modelSize(t *testing.T) (n int, long bool) {
	if raceEnabled {
		t.Skip("the fleet model runs in one goroutine, and takes a minute under the race detector")
	}
	if long = os.Getenv("LANES_LONG") != ""; long {
		return 300, true
	}
	return 60, false
}

func stepLoad(load float64) func(t float64) float64 {
	return func(t float64) float64 {
		if t < 4 {
			return 0.7
		}
		return load
	}
}

// settlingTime is the time from from until the mean level is within maxError of level and stays so for three seconds.
func (model *fleetModel) settlingTime(from, level, maxError float64) float64 {
	since := math.Inf(1)
	for _, m := range model.samples {
		switch {
		case m.t < from:
		case math.Abs(m.mean-level) > maxError:
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

// firstLoss is the first time after from when more than 2 % of the work was refused by policy, late or abandoned.
func (model *fleetModel) firstLoss(from float64) float64 {
	for _, m := range model.samples {
		if m.t > from && m.refused+m.late+m.abandoned > 0.02*m.offered {
			return m.t - 0.25
		}
	}
	return math.Inf(1)
}

// Guards against a level that sustains itself: an isolated co-ordinator that counted its lanes' refusals as pressure would shed forever.
func TestOwnLevelExcludesLaneRefusals(t *testing.T) {
	own := pressure.LocalLoad{Known: true, Pressure: 2 * TargetPressure, Offered: 100, InTime: 60, Completed: 60}
	if level := ownLevel(own); level > 2*TargetPressure {
		t.Errorf("level %.2f, but only %.2f of the admitted work was not answered in time", level, own.Pressure)
	}
}

func TestLevelSettlesQuicklyWithoutOscillating(t *testing.T) {
	n, long := modelSize(t)
	minInTime := 0.95 // for half a minute; long runs must reach 0.97
	if long {
		minInTime = 0.97
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
		model := newFleetModel(n, 1)
		model.load = stepLoad(x.load)
		model.run(until)
		want, sum := 1-1/x.load, model.aggregate(14, until)
		firstLoss, swings := model.firstLoss(4), float64(model.swings(14, until, 0.05))*60/(until-14)
		settled, inTime := model.settlingTime(4, want, 0.1), sum.inTime/(float64(n)*capacityPerMember*(until-14))
		t.Logf("%.1f x load: first loss %.1f s after the step, level settled after %.1f s; then %.3f, %.1f swings a minute, %.3f of capacity answered in time, %.3f refused by policy",
			x.load, firstLoss-4, settled, sum.mean, swings, inTime, sum.refused/sum.offered)
		if x.load > 1 && settled > min(firstLoss-4, 3)+2.5 || math.Abs(sum.mean-want) > 0.03 || swings > x.swings || inTime < minInTime {
			t.Errorf("%.1f x load: level too slow, off or swinging, or too little answered in time", x.load)
		}
	}
}

func TestLevelFollowsLoadAndReturnsToZero(t *testing.T) {
	n, _ := modelSize(t)
	model := newFleetModel(n, 2)
	model.load = func(t float64) float64 {
		if t > 20 {
			return 0.7
		}
		return stepLoad(2)(t)
	}
	model.run(34)
	settled, sum := model.settlingTime(20, 0, 0.1), model.aggregate(26, 34)
	t.Logf("load from 2 x to 0.7 x: level within 0.1 of 0 after %.1f s, at most %.3f after 6 s", settled, sum.high)
	if settled > 3.5 || sum.mean > 0.005 {
		t.Error("the level does not return to zero")
	}
	model = newFleetModel(n, 3)
	model.load = func(t float64) float64 { return 1.6 * math.Pow(1.3, float64(int(t/3)%4-2)) } // 0.95 to 2.1 in four steps
	model.run(40)
	sum = model.aggregate(10, 40)
	inTime := sum.inTime / (float64(n) * capacityPerMember * 30)
	t.Logf("load steps of 30 %% every 3 s: mean level %.3f, %.3f of capacity answered in time, %.3f refused by policy",
		sum.mean, inTime, sum.refused/sum.offered)
	if inTime < 0.8 || sum.refused/sum.offered > 0.12 {
		t.Error("too little answered in time or too much refused by policy during load steps")
	}
}

func TestLevelWhenHalfTheReplicasFailAndRecover(t *testing.T) {
	n, _ := modelSize(t)
	model := newFleetModel(n, 4)
	model.load = func(float64) float64 { return 0.8 }
	model.capacity = func(t float64) float64 {
		switch {
		case t < 6:
			return 1
		case t < 16:
			return 0.5
		}
		return min(1, 0.5+0.5*(t-16)/15)
	}
	model.run(60)
	settled, recovered := model.settlingTime(6, 0.375, 0.1), model.settlingTime(16, 0, 0.02)
	sum, after := model.aggregate(16, 45), model.aggregate(52, 60)
	t.Logf("half the replicas fail at 0.8 x load: settled after %.1f s; recovery over 15 s: level 0 after %.1f s, %.3f refused by policy meanwhile",
		settled, recovered, sum.refused/sum.offered)
	if settled > 8 || sum.refused/sum.offered > 0.03 || after.mean > 0.01 || after.inTime < 0.99*after.offered {
		t.Errorf("%s", model)
	}
}

// A tenth of the co-ordinators send false reports. The mean level may be wrong by at most 0.05, and nothing is shed without overload.
func TestFalseReportsFromATenthDoNotMoveTheLevel(t *testing.T) {
	n, long := modelSize(t)
	huge := pressure.LocalLoad{Known: true, Pressure: 1, Offered: 1e9, Guaranteed: 1e9}
	for name, corrupt := range map[string]func(report *pressure.Report){
		"always total loss": func(report *pressure.Report) {
			report.Pressure, report.InTime, report.Completed, report.Level, report.Known = 1, 0, 0, 1, true
		},
		"always no traffic": func(report *pressure.Report) {
			report.Pressure, report.Level, report.Offered, report.InTime, report.Completed = 0, 0, 0, 0, 0
		},
		"always calm": func(report *pressure.Report) {
			report.Pressure, report.Level, report.InTime, report.Completed = 0, 0, report.Offered, report.Offered
		},
		"NaN and infinity": func(report *pressure.Report) {
			report.Pressure, report.Offered, report.Level = math.NaN(), math.Inf(1), math.NaN()
		},
		"huge rates": func(report *pressure.Report) { report.LocalLoad, report.Level = huge, 1 },
	} {
		if !long && name != "always total loss" && name != "huge rates" && name != "always no traffic" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for _, load := range []float64{0.8, 1.5} {
				model := newFleetModel(n, 5)
				model.load = stepLoad(load)
				model.corrupt = func(i int, _ float64, report *pressure.Report) {
					if i%10 == 3 {
						corrupt(report)
					}
				}
				model.run(40)
				sum := model.aggregate(15, 40)
				t.Logf("%.1f x load: mean level %.3f, single co-ordinators %.3f to %.3f, %.3f answered in time",
					load, sum.mean, sum.low, sum.high, sum.inTime/(float64(n)*capacityPerMember*25*min(1, load)))
				if load < 1 && sum.high > 0 {
					t.Errorf("sheds without overload: level %.3f", sum.high)
				}
				if want := max(0, 1-1/load); math.Abs(sum.mean-want) > 0.05 {
					t.Errorf("mean level %.3f at %.1f x load", sum.mean, load)
				}
			}
		})
	}
}

func TestDelayedPartitionedAndLostReports(t *testing.T) {
	n, _ := modelSize(t)
	half := func(i, to int, t float64) bool { return (i < n/4) != (to < n/4) }
	for name, x := range map[string]struct {
		setUp              func(model *fleetModel)
		minInTime          float64
		minLevel, maxLevel float64 // of the mean level
	}{
		"partition, uneven": {func(model *fleetModel) { model.blocked = half }, 0.93, 0.28, 0.4},
		"partition, one way": {func(model *fleetModel) {
			model.blocked = func(i, to int, t float64) bool { return i < n/4 && to >= n/4 }
		}, 0.93, 0.28, 0.4},
		"delay of 5 s": {func(model *fleetModel) { model.delay = func(float64) (float64, float64) { return 4, 6 } }, 0.75, 0, 0.5},
		"all lost":     {func(model *fleetModel) { model.blocked = func(int, int, float64) bool { return true } }, 0.75, 0, 0.5},
		"half lost": {func(model *fleetModel) {
			model.blocked = func(int, int, float64) bool { return model.rng.IntN(2) == 0 }
		}, 0.93, 0.28, 0.4},
		"7 in 10 restart": {func(model *fleetModel) {
			model.blocked = func(i, to int, t float64) bool {
				if c := model.coordinators[i]; t > 20 && i%10 < 7 && c.seq > 0 && c.seq < 1<<40 {
					*c = coordinator{name: c.name, rate: c.rate, control: NewControl(0.9), seq: 1 << 40}
					c.reports.SetMembers(model.names())
				}
				return false
			}
		}, 0.93, 0.28, 0.4},
		"5 x traffic at one co-ordinator": {func(model *fleetModel) { model.coordinators[n/2].rate *= 5 }, 0.95, 0.28, 0.42},
	} {
		t.Run(name, func(t *testing.T) {
			model := newFleetModel(n, 6)
			model.load = stepLoad(1.5)
			x.setUp(model)
			model.run(44)
			sum := model.aggregate(14, 44)
			inTime := sum.inTime / (float64(n) * capacityPerMember * 30)
			t.Logf("mean level %.3f, single co-ordinators %.3f to %.3f, %.3f of capacity answered in time, %.3f refused by policy",
				sum.mean, sum.low, sum.high, inTime, sum.refused/sum.offered)
			if inTime < x.minInTime || sum.mean < x.minLevel || sum.mean > x.maxLevel {
				t.Error("mean level or work answered in time out of bounds")
			}
		})
	}
}

func TestIsolatedLevelFadesToOwnLevel(t *testing.T) {
	c := NewControl(0.9)
	overloaded := pressure.FleetLoad{Known: true, Pressure: 0.5, RecentPressure: 0.5, Offered: 100, InTime: 50, Completed: 50, Level: 0.5}
	busy := pressure.LocalLoad{Known: true, Pressure: 0.5, Offered: 10, InTime: 5, Completed: 5}
	now := time.Duration(0)
	for range 20 {
		now += StepInterval
		c.Step(now, overloaded, busy)
	}
	if l := c.Level(); l < 0.4 {
		t.Fatalf("level %.3f", l)
	}
	calm := pressure.LocalLoad{Known: true, Offered: 10, InTime: 10, Completed: 10}
	for at := now + FadeTime; now <= at; now += StepInterval {
		c.Step(now, pressure.FleetLoad{}, calm)
	}
	if l := c.Step(now, pressure.FleetLoad{}, calm); l != 0 || c.Check() != nil {
		t.Errorf("level %.3f after %v without reports: %v", l, FadeTime, c.Check())
	}
	for range 40 { // with pressure of its own, it sheds no more than that pressure justifies
		now += StepInterval
		c.Step(now, pressure.FleetLoad{}, busy)
		if err := c.Check(); err != nil {
			t.Fatal(err)
		}
	}
	if l := c.Level(); l < 0.2 || l > ownLevel(busy) {
		t.Errorf("level %.3f, own pressure justifies %.3f", l, ownLevel(busy))
	}
}

// Each state breaks one rule, which Check must report.
func TestCheckReportsLevelsWithoutCause(t *testing.T) {
	calm := pressure.LocalLoad{Known: true, Offered: 10, InTime: 10, Completed: 10}
	for rule, c := range map[string]*Control{
		"L4": {maxLevel: 0.9, started: true, now: 20 * sec, isolatedSince: 0, level: 0.4, own: calm, lastCauseAt: 19 * sec},
		"L6": {maxLevel: 0.9, started: true, now: 100 * sec, isolatedSince: -1, level: 0.4, own: calm},
	} {
		if err := c.Check(); err == nil || !strings.HasPrefix(err.Error(), rule) {
			t.Errorf("%s: %v", rule, err)
		}
	}
}

// NaN, infinite and impossible figures leave the level within bounds.
func TestInvalidFiguresKeepTheLevelInBounds(t *testing.T) {
	c, now := NewControl(0.9), time.Duration(0)
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 0} {
		for range 10 {
			now += StepInterval
			l := c.Step(now, pressure.FleetLoad{Known: true, Pressure: v, Offered: v, InTime: v, Completed: v, Level: v},
				pressure.LocalLoad{Known: true, Pressure: 0, Offered: 1, InTime: 1})
			if !(l >= 0 && l <= 0.9) {
				t.Fatalf("level %v from figures of %v", l, v)
			}
		}
	}
}

// Guards against an estimate that is cut in the first moment of an overload, while the reported rates still build up, and then stays below
// the throughput.
func TestCapacityEstimateIsNotBelowThroughput(t *testing.T) {
	c := NewControl(0.95)
	own := pressure.LocalLoad{Known: true, Pressure: 0.5}
	for i, step := range []struct{ offered, completed, pressure float64 }{ // reported rates after a jump to 250 per second, of which 120 can be served
		{32, 11, 0}, {48, 20, 0.23}, {109, 46, 0.5}, {169, 75, 0.5}, {229, 103, 0.57}, {249, 125, 0.4},
		{245, 125, 0.43}, {245, 120, 0.36}, {245, 115, 0.2}, {243, 110, 0}, {245, 110, 0}, {245, 110, 0},
	} {
		own.Offered = step.offered / 3
		c.Step(time.Duration(i)*StepInterval, pressure.FleetLoad{
			Known: true, Pressure: step.pressure, RecentPressure: step.pressure,
			Offered: step.offered, InTime: step.completed, Completed: step.completed, FreshReports: 3, Members: 3, Level: c.Level(),
		}, own)
		if e := c.Estimate(); e.Overloaded && e.Capacity < 0.9*e.Throughput {
			t.Errorf("step %d: throughput %.0f per second, estimated capacity only %.0f", i, e.Throughput, e.Capacity)
		}
	}
}
