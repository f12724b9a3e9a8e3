package shedding

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/lanes"
)

// short is a storm that CI has the time for.
func short(way Way) Plan {
	p := New(8, 2, 1)
	p.Way, p.Storm, p.For, p.Calmed = way, 12*time.Second, 26*time.Second, 2*time.Second
	return p
}

func play(t *testing.T, p Plan) (*World, Figures) {
	t.Helper()
	w, err := Play(p)
	if err != nil {
		t.Fatal(err)
	}
	return w, w.Figures()
}

// holds fails on what was broken of the rules that are named.
func holds(t *testing.T, w *World, rules ...string) {
	t.Helper()
	for _, b := range w.Broken {
		for _, r := range rules {
			if strings.Contains(b, r+":") {
				t.Error(b)
			}
		}
	}
}

// In a storm premium fares better by lanes than by each for itself, and a plan gives one history.
func TestStorm(t *testing.T) {
	w, f := play(t, short(Lanes))
	holds(t, w, "L1", "L3", "L4", "L5", "L6")
	again, _ := play(t, short(Lanes))
	if !reflect.DeepEqual(w.History(), again.History()) {
		t.Error("one plan gave two histories")
	}
	_, each := play(t, short(Each))
	if !(f.Settled > each.Settled+0.15) {
		t.Errorf("premium within its guarantee: %.3f in time by lanes, %.3f by each for itself", f.Settled, each.Settled)
	}
	if f.Level < 0.3 || f.Floor[standard] < 1 || each.Level != 0 {
		t.Errorf("level %.2f, standard has %.2f of its floor", f.Level, f.Floor[standard])
	}
}

// A calm fleet sheds nothing, whatever a tenth of it says; nor does one that stalls, jumps or restarts break a rule.
func TestCalm(t *testing.T) {
	for _, b := range []int{1, 2} {
		p := short(Lanes)
		p.Coordinators, p.Replicas, p.Load, p.For = 10, 10, p.Calm, 14*time.Second
		p.Steps = []clockwork.Step{{At: 2 * time.Second, Kind: Lie, A: 10, B: b}, {At: 8 * time.Second, Kind: Jump, A: 2, B: -3600}}
		w, _ := play(t, p)
		holds(t, w, "L1", "L2", "L3", "L4", "L5", "L6")
	}
}

// The judge finds what is wrong.
func TestJudge(t *testing.T) {
	with := func(do func(w *World, x *windows, c *coordinator)) []string {
		w, err := Play(Plan{Seed: 1, Coordinators: 2, Replicas: 2, Way: Lanes, Calm: 0.3, Load: 2, Premium: 0.5, Storm: time.Hour, For: time.Second, Links: clockwork.Quality{Latency: time.Millisecond}})
		if err != nil || len(w.Broken) > 0 {
			t.Fatal(err, w.Broken)
		}
		x := &w.judge.windows
		do(w, x, w.cos[0])
		return w.Broken
	}
	a := func(w *World, tenant int) *ask { return &ask{stream: &w.streams[tenant], tenant: tenant, cost: 100} }
	cut := &lanes.Decision{Reason: lanes.Shed}
	for rule, do := range map[string]func(w *World, x *windows, c *coordinator){
		"L1": func(w *World, x *windows, c *coordinator) {
			x.trouble, x.inTime = w.q.Now, 10_000
			x.asked(a(w, 25))
			x.shed(c, a(w, 25), cut)
			x.begun = -time.Hour
			x.look()
		},
		"L2": func(w *World, x *windows, c *coordinator) {
			x.trouble, x.inTime, x.admit[premium] = w.q.Now, 10_000, 1000
			x.asked(a(w, 0))
			x.shed(c, a(w, 0), cut)
			x.admitted(c, a(w, 25), &lanes.Decision{Admitted: true})
			x.begun = -time.Hour
			x.look()
		},
		"L3": func(w *World, x *windows, c *coordinator) {
			x.trouble = w.q.Now
			x.shed(c, a(w, 25), &lanes.Decision{Reason: lanes.Shed, RetryAfter: -1})
		},
		"L4": func(w *World, x *windows, c *coordinator) {
			x.trouble, c.sheds.heard, c.refusedAt, c.stalled = w.q.Now, -time.Hour, -time.Hour, -time.Hour
			x.shed(c, a(w, 25), cut)
		},
		"L5": func(w *World, _ *windows, _ *coordinator) { w.judge.leases([]int64{1_000_001}) },
		"L6": func(w *World, x *windows, c *coordinator) {
			x.trouble = -time.Hour
			x.shed(c, a(w, 25), cut)
		},
	} {
		if got := with(do); len(got) != 1 || !strings.Contains(got[0], rule+":") {
			t.Errorf("%s: %q", rule, got)
		}
	}
}
