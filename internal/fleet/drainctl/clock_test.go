package drainctl

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/statemachine"
)

const hour = 3600 * s

// five is a rig of five co-ordinators, of which a leads anew.
func five(t *testing.T) *rig {
	r := begin(t)
	for _, n := range []string{"d", "e"} {
		r.members = append(r.members, Member{Name: n, Status: maintenance.Up, Voter: true, Load: 0.5, LoadKnown: true})
	}
	r.in = append(r.in, Elected{Term: 2, Own: "a"})
	r.run(3 * s)
	return r
}

// An hour ahead a leader proposes nothing, agreed time stays where it was, and it hands over and says why. Right again,
// it goes on.
func TestClockFarAhead(t *testing.T) {
	r := five(t)
	before, was := len(r.all), r.stateMachine.Now()
	r.behind = -hour
	r.ask(1, "r1")
	r.run(32 * s)
	r.want("proposals", len(r.all)-before, 0)
	r.want("agreed time", r.stateMachine.Now(), was)
	r.want("times handed over", len(r.hands), 1)
	if why := r.logs[len(r.logs)-1]; !strings.HasPrefix(why, "the own clock is 1h0m0") || why != r.hands[0] ||
		!strings.Contains(why, "ahead of most of the 4 others known, 5s is allowed") {
		t.Errorf("said %q", why)
	}
	r.run(3 * s)
	r.want("times handed over", len(r.hands), 2)
	r.behind = 0
	r.until("r1", maintenance.Granted)
	if late := r.stateMachine.Now() - (5000*s + r.now); late > 0 {
		t.Errorf("agreed time is %v ahead", late)
	}
}

// Elected after hours at rest, by a clock that is ahead, it waits until it hears others, and then says nothing.
func TestClockFarAheadWhenElected(t *testing.T) {
	r := five(t)
	was := r.stateMachine.Now()
	r.now += 5 * hour
	r.behind, r.in = -hour, []Input{Elected{Term: 3, Own: "a"}}
	r.ask(1, "r1")
	r.run(20 * s)
	r.want("agreed time", r.stateMachine.Now(), was)
	r.want("times handed over", len(r.hands), 1)
	r.behind = 0
	r.until("r1", maintenance.Granted)
}

// Two of five that are wrong change nothing, whichever way, nor do three that are behind.
func TestClocksOfOthersAreWrong(t *testing.T) {
	for _, clocks := range []map[string]time.Duration{
		{"b": -hour, "c": -hour}, {"b": -hour, "c": hour}, {"b": hour, "c": hour}, {"b": -hour, "c": -hour, "d": -4 * s},
		{"b": -4 * s, "c": -4 * s, "d": -4 * s, "e": -4 * s}, {"a": -hour, "b": -hour},
	} {
		for _, silent := range []string{"", "e"} { // five clocks are known, or four
			r := five(t)
			r.silent = silent
			r.run(MaxClockAge + 2*s)
			r.clocks = clocks
			r.run(ClockWait + s)
			r.ask(1, "r1")
			r.until("r1", maintenance.Granted)
			r.want(fmt.Sprint("handed over with ", clocks), len(r.hands), 0)
			if off := r.stateMachine.Now() - (5000*s + r.now); off.Abs() > s {
				t.Errorf("with %v agreed time is %v off", clocks, off)
			}
		}
	}
}

// The first command after hours at rest leaps, as soon as others' clocks are heard.
func TestLeapAfterRest(t *testing.T) {
	r := five(t)
	r.now += 5 * hour
	r.ask(1, "r1")
	if took := r.until("r1", maintenance.Granted); took > 1500*time.Millisecond {
		t.Errorf("granted after %v", took)
	}
}

// Without word of any clock a leader goes on at once in the middle of a plan, and after a while where it has to leap; at
// once too if there is nobody else.
func TestNoClocksKnown(t *testing.T) {
	r := five(t)
	r.ask(1, "r1")
	r.until("r1", maintenance.Acknowledged)
	before := len(r.all)
	r.unheard, r.in = true, []Input{Elected{Term: 3, Own: "a"}}
	r.run(2 * s)
	if len(r.all) == before {
		t.Error("the next leader waits in the middle of a plan")
	}

	r = five(t)
	r.now += 5 * hour
	r.unheard, r.in = true, []Input{Elected{Term: 3, Own: "a"}}
	r.ask(1, "r1")
	before = len(r.all)
	r.run(ClockWait)
	r.want("proposals before it has waited", len(r.all)-before, 0)
	r.run(s)
	if len(r.all) == before {
		t.Error("it waits for ever for those that are silent")
	}

	r = &rig{t: t, l: New(nil), state: maintenance.New(), now: 1000 * s, unheard: true,
		members: []Member{{Name: "a", Status: maintenance.Up, Voter: true}, {Name: "b", Status: maintenance.Gone, Voter: true}}}
	r.stateMachine = statemachine.New(map[string]statemachine.Part{Part: r.state})
	r.in = []Input{Elected{Term: 1, Own: "a"}, Membership{r.members}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}}}
	r.step(100 * time.Millisecond)
	r.want("proposals of one alone", len(r.all), 1)
}

// Where only one other is heard, as by a leader that is cut off with one voter, nobody can say which of two is right: the
// one ahead gives way, the one behind goes on.
func TestOfTwoClocksTheOneAheadGivesWay(t *testing.T) {
	for _, behind := range []time.Duration{-hour, hour} {
		r := five(t)
		r.unheard = true
		r.run(MaxClockAge + 2*s)
		r.behind = behind
		r.ask(1, "r1")
		r.in = append(r.in, Polled{From: "b", Sequence: 1 << 60, Wall: 5000*s + r.now})
		before, was := len(r.all), r.stateMachine.Now()
		r.run(20 * s)
		if behind < 0 {
			r.want("proposals of the one ahead", len(r.all)-before, 0)
			r.want("agreed time", r.stateMachine.Now(), was)
			r.want("times handed over", len(r.hands), 1)
		} else if len(r.all) == before {
			t.Error("the one behind proposes nothing")
		}
	}
}

// Behind the most, a leader waits for a moment and goes by theirs: agreed time does not begin behind, and does not leap
// once the clock is mended, so that a pause lasts as long as it should.
func TestALeaderFarBehindGoesByTheMost(t *testing.T) {
	for _, first := range []bool{true, false} { // its first command of all, or in the middle of a plan
		r := &rig{t: t, l: New(nil), state: maintenance.New(), now: 1000 * s}
		if first {
			r.stateMachine = statemachine.New(map[string]statemachine.Part{Part: r.state})
			r.in = []Input{Elected{Term: 1, Own: "a"}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}}}
			for i := range 16 {
				r.list = append(r.list, maintenance.Machine{Name: fmt.Sprintf("r%d", i), Cell: i, Kind: maintenance.Replica, Status: maintenance.Up})
			}
			for _, n := range []string{"a", "b", "c", "d", "e"} {
				r.members = append(r.members, Member{Name: n, Status: maintenance.Up, Voter: true, Load: 0.5, LoadKnown: true})
			}
		} else {
			r = five(t)
		}
		r.behind, r.clocks = 3000*s, map[string]time.Duration{"b": hour} // of the four others one is wrong too
		begun := r.now
		r.ask(1, "r1", "r4")
		if first {
			r.run(2 * s)
			r.want("agreed time while it waits", r.stateMachine.Now(), time.Duration(0))
		}
		r.until("r1", maintenance.Granted)
		if took := r.now - begun; took > ClockWait+3*s || !first && took > s {
			t.Errorf("granted after %v", took)
		}
		r.run(ClockWait)
		if off := r.stateMachine.Now() - (5000*s + r.now); off > 0 || off < -2*s {
			t.Errorf("agreed time is %v off", off)
		}
		r.list[9].Status = maintenance.Gone // a failure: a pause of Calm
		r.run(s)
		paused := r.now
		r.ask(2, "r1", "r4", "r7")
		r.run(limits.FailurePause / 3)
		r.behind = 0
		r.until("r7", maintenance.Granted)
		if took := r.now - paused; took < limits.FailurePause-2*s || took > limits.FailurePause+2*s {
			t.Errorf("the pause of %v was over after %v", limits.FailurePause, took)
		}
		if n := len(slices.DeleteFunc(slices.Clone(r.logs), func(line string) bool { return !strings.Contains(line, "50m0s behind most of the 4") })); n != 1 {
			t.Errorf("%d lines say so, want 1: %q", n, r.logs)
		}
		r.want("times handed over", len(r.hands), 0)
	}
}

// What is not known of the others holds a leader that is behind up for ClockWait, no longer.
func TestALeaderFarBehindWaitsNoLonger(t *testing.T) {
	for what, change := range map[string]func(r *rig){
		"nobody is heard":         func(r *rig) { r.unheard = true },
		"all clocks are wrong":    func(r *rig) { r.clocks = map[string]time.Duration{"b": hour, "c": 2 * hour, "d": -hour, "e": 3 * hour} },
		"most are an hour ahead":  func(r *rig) { r.clocks = map[string]time.Duration{"b": hour, "c": hour, "d": hour} },
		"one other voter is left": func(r *rig) { r.members = r.members[:2]; r.clocks = map[string]time.Duration{"b": hour} },
	} {
		r := five(t)
		r.now += 5 * hour
		r.in = []Input{Elected{Term: 3, Own: "a"}}
		r.behind = hour / 2
		change(r)
		before := len(r.all)
		r.ask(1, "r1")
		r.run(ClockWait + 2*s)
		if len(r.all) == before {
			t.Errorf("%s: nothing is proposed", what)
		}
		r.want(what+": handed over", len(r.hands), 0)
	}
}

// A clock that was heard too long ago is none: it would be off by the drift.
func TestOldClocksDoNotCount(t *testing.T) {
	r := five(t)
	r.unheard = true
	r.run(MaxClockAge + 2*s)
	if _, others := r.l.clockLead(5000*s + r.now); others != 0 {
		t.Errorf("%d clocks are known", others)
	}
	r.in = append(r.in, Polled{From: "b", Sequence: 1 << 60}) // which does not tell
	r.step(100 * time.Millisecond)
	if _, others := r.l.clockLead(5000*s + r.now); others != 0 {
		t.Errorf("%d clocks are known, none was told", others)
	}
}
