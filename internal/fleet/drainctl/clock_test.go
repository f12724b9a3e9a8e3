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

const hour = 3600 * sec

// five is a rig of five co-ordinators, of which a leads anew.
func newFiveNodeRig(t *testing.T) *rig {
	r := newRig(t)
	for _, n := range []string{"d", "e"} {
		r.members = append(r.members, Member{Name: n, Status: maintenance.Up, Voter: true, Load: 0.5, LoadKnown: true})
	}
	r.inputs = append(r.inputs, Elected{Term: 2, NodeName: "a"})
	r.run(3 * sec)
	return r
}

// An hour ahead a leader proposes nothing, agreed time stays where it was, and it hands over and says why. Right again,
// it goes on.
func TestClockFarAheadTransfersLeadership(t *testing.T) {
	r := newFiveNodeRig(t)
	before, was := len(r.proposals), r.stateMachine.Now()
	r.wallBehind = -hour
	r.request(1, "r1")
	r.run(32 * sec)
	r.want("proposals", len(r.proposals)-before, 0)
	r.want("agreed time", r.stateMachine.Now(), was)
	r.want("times handed over", len(r.transfers), 1)
	if why := r.logs[len(r.logs)-1]; !strings.HasPrefix(why, "the own clock is 1h0m0") || why != r.transfers[0] ||
		!strings.Contains(why, "ahead of most of the 4 others known, 5s is allowed") {
		t.Errorf("said %q", why)
	}
	r.run(3 * sec)
	r.want("times handed over", len(r.transfers), 2)
	r.wallBehind = 0
	r.runUntil("r1", maintenance.Granted)
	if late := r.stateMachine.Now() - (5000*sec + r.now); late > 0 {
		t.Errorf("agreed time is %v ahead", late)
	}
}

// Elected after hours at rest, by a clock that is ahead, it waits until it hears others, and then says nothing.
func TestClockFarAheadWhenElected(t *testing.T) {
	r := newFiveNodeRig(t)
	was := r.stateMachine.Now()
	r.now += 5 * hour
	r.wallBehind, r.inputs = -hour, []Input{Elected{Term: 3, NodeName: "a"}}
	r.request(1, "r1")
	r.run(20 * sec)
	r.want("agreed time", r.stateMachine.Now(), was)
	r.want("times handed over", len(r.transfers), 1)
	r.wallBehind = 0
	r.runUntil("r1", maintenance.Granted)
}

// Two of five that are wrong change nothing, whichever way, nor do three that are behind.
func TestWrongPeerClocksAreTolerated(t *testing.T) {
	for _, clocks := range []map[string]time.Duration{
		{"b": -hour, "c": -hour}, {"b": -hour, "c": hour}, {"b": hour, "c": hour}, {"b": -hour, "c": -hour, "d": -4 * sec},
		{"b": -4 * sec, "c": -4 * sec, "d": -4 * sec, "e": -4 * sec}, {"a": -hour, "b": -hour},
	} {
		for _, silent := range []string{"", "e"} { // five clocks are known, or four
			r := newFiveNodeRig(t)
			r.silentNode = silent
			r.run(MaxClockAge + 2*sec)
			r.clockOffsets = clocks
			r.run(ClockWait + sec)
			r.request(1, "r1")
			r.runUntil("r1", maintenance.Granted)
			r.want(fmt.Sprint("handed over with ", clocks), len(r.transfers), 0)
			if off := r.stateMachine.Now() - (5000*sec + r.now); off.Abs() > sec {
				t.Errorf("with %v agreed time is %v off", clocks, off)
			}
		}
	}
}

// The first command after hours at rest leaps, as soon as others' clocks are heard.
func TestAgreedTimeLeapsAfterIdlePeriod(t *testing.T) {
	r := newFiveNodeRig(t)
	r.now += 5 * hour
	r.request(1, "r1")
	if took := r.runUntil("r1", maintenance.Granted); took > 1500*time.Millisecond {
		t.Errorf("granted after %v", took)
	}
}

// Without word of any clock a leader goes on at once in the middle of a plan, and after a while where it has to leap; at
// once too if there is nobody else.
func TestNoPeerClocksKnown(t *testing.T) {
	r := newFiveNodeRig(t)
	r.request(1, "r1")
	r.runUntil("r1", maintenance.Acknowledged)
	before := len(r.proposals)
	r.dropPolls, r.inputs = true, []Input{Elected{Term: 3, NodeName: "a"}}
	r.run(2 * sec)
	if len(r.proposals) == before {
		t.Error("the next leader waits in the middle of a plan")
	}

	r = newFiveNodeRig(t)
	r.now += 5 * hour
	r.dropPolls, r.inputs = true, []Input{Elected{Term: 3, NodeName: "a"}}
	r.request(1, "r1")
	before = len(r.proposals)
	r.run(ClockWait)
	r.want("proposals before it has waited", len(r.proposals)-before, 0)
	r.run(sec)
	if len(r.proposals) == before {
		t.Error("it waits for ever for those that are silent")
	}

	r = &rig{t: t, controller: New(nil), state: maintenance.New(), now: 1000 * sec, dropPolls: true,
		members: []Member{{Name: "a", Status: maintenance.Up, Voter: true}, {Name: "b", Status: maintenance.Gone, Voter: true}}}
	r.stateMachine = statemachine.New(map[string]statemachine.Part{Part: r.state})
	r.inputs = []Input{Elected{Term: 1, NodeName: "a"}, Membership{r.members}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}}}
	r.step(100 * time.Millisecond)
	r.want("proposals of one alone", len(r.proposals), 1)
}

// Where only one other is heard, as by a leader that is cut off with one voter, nobody can say which of two is right: the
// one ahead gives way, the one behind goes on.
func TestOfTwoClocksTheLeaderAheadStopsProposing(t *testing.T) {
	for _, behind := range []time.Duration{-hour, hour} {
		r := newFiveNodeRig(t)
		r.dropPolls = true
		r.run(MaxClockAge + 2*sec)
		r.wallBehind = behind
		r.request(1, "r1")
		r.inputs = append(r.inputs, Polled{From: "b", Sequence: 1 << 60, Wall: 5000*sec + r.now})
		before, was := len(r.proposals), r.stateMachine.Now()
		r.run(20 * sec)
		if behind < 0 {
			r.want("proposals of the one ahead", len(r.proposals)-before, 0)
			r.want("agreed time", r.stateMachine.Now(), was)
			r.want("times handed over", len(r.transfers), 1)
		} else if len(r.proposals) == before {
			t.Error("the one behind proposes nothing")
		}
	}
}

// Behind the most, a leader waits for a moment and goes by theirs: agreed time does not begin behind, and does not leap
// once the clock is mended, so that a pause lasts as long as it should.
func TestLeaderFarBehindUsesMajorityClock(t *testing.T) {
	for _, first := range []bool{true, false} { // its first command of all, or in the middle of a plan
		r := &rig{t: t, controller: New(nil), state: maintenance.New(), now: 1000 * sec}
		if first {
			r.stateMachine = statemachine.New(map[string]statemachine.Part{Part: r.state})
			r.inputs = []Input{Elected{Term: 1, NodeName: "a"}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}}}
			for i := range 16 {
				r.replicas = append(r.replicas, maintenance.Machine{Name: fmt.Sprintf("r%d", i), Cell: i, Kind: maintenance.Replica, Status: maintenance.Up})
			}
			for _, n := range []string{"a", "b", "c", "d", "e"} {
				r.members = append(r.members, Member{Name: n, Status: maintenance.Up, Voter: true, Load: 0.5, LoadKnown: true})
			}
		} else {
			r = newFiveNodeRig(t)
		}
		r.wallBehind, r.clockOffsets = 3000*sec, map[string]time.Duration{"b": hour} // of the four others one is wrong too
		begun := r.now
		r.request(1, "r1", "r4")
		if first {
			r.run(2 * sec)
			r.want("agreed time while it waits", r.stateMachine.Now(), time.Duration(0))
		}
		r.runUntil("r1", maintenance.Granted)
		if took := r.now - begun; took > ClockWait+3*sec || !first && took > sec {
			t.Errorf("granted after %v", took)
		}
		r.run(ClockWait)
		if off := r.stateMachine.Now() - (5000*sec + r.now); off > 0 || off < -2*sec {
			t.Errorf("agreed time is %v off", off)
		}
		r.replicas[9].Status = maintenance.Gone // a failure: a pause of Calm
		r.run(sec)
		paused := r.now
		r.request(2, "r1", "r4", "r7")
		r.run(limits.FailurePause / 3)
		r.wallBehind = 0
		r.runUntil("r7", maintenance.Granted)
		if took := r.now - paused; took < limits.FailurePause-2*sec || took > limits.FailurePause+2*sec {
			t.Errorf("the pause of %v was over after %v", limits.FailurePause, took)
		}
		if n := len(slices.DeleteFunc(slices.Clone(r.logs), func(line string) bool { return !strings.Contains(line, "50m0s behind most of the 4") })); n != 1 {
			t.Errorf("%d lines say so, want 1: %q", n, r.logs)
		}
		r.want("times handed over", len(r.transfers), 0)
	}
}

// What is not known of the others holds a leader that is behind up for ClockWait, no longer.
func TestLeaderFarBehindWaitsAtMostClockWait(t *testing.T) {
	for what, change := range map[string]func(r *rig){
		"nobody is heard": func(r *rig) { r.dropPolls = true },
		"all clocks are wrong": func(r *rig) {
			r.clockOffsets = map[string]time.Duration{"b": hour, "c": 2 * hour, "d": -hour, "e": 3 * hour}
		},
		"most are an hour ahead":  func(r *rig) { r.clockOffsets = map[string]time.Duration{"b": hour, "c": hour, "d": hour} },
		"one other voter is left": func(r *rig) { r.members = r.members[:2]; r.clockOffsets = map[string]time.Duration{"b": hour} },
	} {
		r := newFiveNodeRig(t)
		r.now += 5 * hour
		r.inputs = []Input{Elected{Term: 3, NodeName: "a"}}
		r.wallBehind = hour / 2
		change(r)
		before := len(r.proposals)
		r.request(1, "r1")
		r.run(ClockWait + 2*sec)
		if len(r.proposals) == before {
			t.Errorf("%s: nothing is proposed", what)
		}
		r.want(what+": handed over", len(r.transfers), 0)
	}
}

// A clock that was heard too long ago is none: it would be off by the drift.
func TestStalePeerClocksAreIgnored(t *testing.T) {
	r := newFiveNodeRig(t)
	r.dropPolls = true
	r.run(MaxClockAge + 2*sec)
	if _, others := r.controller.medianClockLead(5000*sec + r.now); others != 0 {
		t.Errorf("%d clocks are known", others)
	}
	r.inputs = append(r.inputs, Polled{From: "b", Sequence: 1 << 60}) // which does not tell
	r.step(100 * time.Millisecond)
	if _, others := r.controller.medianClockLead(5000*sec + r.now); others != 0 {
		t.Errorf("%d clocks are known, none was told", others)
	}
}
