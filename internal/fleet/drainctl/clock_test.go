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

// newFiveNodeRig returns a rig of five co-ordinators in which a has just been elected.
func newFiveNodeRig(t *testing.T) *rig {
	r := newRig(t)
	for _, n := range []string{"d", "e"} {
		r.members = append(r.members, Member{Name: n, Status: maintenance.Up, Voter: true, Load: 0.5, LoadKnown: true})
	}
	r.inputs = append(r.inputs, Elected{Term: 2, NodeName: "a"})
	r.run(3 * sec)
	return r
}

// A leader whose clock is one hour ahead proposes nothing, agreed time does not advance, and it transfers leadership with the
// reason. Once its clock is right again it proposes again.
func TestClockFarAheadTransfersLeadership(t *testing.T) {
	r := newFiveNodeRig(t)
	before, agreedBefore := len(r.proposals), r.stateMachine.Now()
	r.wallBehind = -hour
	r.request(1, "r1")
	r.run(32 * sec)
	r.want("proposals", len(r.proposals)-before, 0)
	r.want("agreed time", r.stateMachine.Now(), agreedBefore)
	r.want("leadership transfers", len(r.transfers), 1)
	if reason := r.logs[len(r.logs)-1]; !strings.HasPrefix(reason, "the local clock is 1h0m0") || reason != r.transfers[0] ||
		!strings.Contains(reason, "ahead of most of the 4 other known clocks, 5s is allowed") {
		t.Errorf("logged %q", reason)
	}
	r.run(3 * sec)
	r.want("leadership transfers", len(r.transfers), 2)
	r.wallBehind = 0
	r.runUntil("r1", maintenance.Granted)
	if late := r.stateMachine.Now() - (5000*sec + r.now); late > 0 {
		t.Errorf("agreed time is %v ahead", late)
	}
}

// A leader that is elected after hours without commands, with a clock that is ahead, waits for other clocks and then proposes
// nothing.
func TestClockFarAheadWhenElected(t *testing.T) {
	r := newFiveNodeRig(t)
	agreedBefore := r.stateMachine.Now()
	r.now += 5 * hour
	r.wallBehind, r.inputs = -hour, []Input{Elected{Term: 3, NodeName: "a"}}
	r.request(1, "r1")
	r.run(20 * sec)
	r.want("agreed time", r.stateMachine.Now(), agreedBefore)
	r.want("leadership transfers", len(r.transfers), 1)
	r.wallBehind = 0
	r.runUntil("r1", maintenance.Granted)
}

// Two wrong clocks of five change nothing, whether ahead or behind, nor do others that are behind by less than MaxClockLead.
func TestWrongPeerClocksAreTolerated(t *testing.T) {
	for _, clocks := range []map[string]time.Duration{
		{"b": -hour, "c": -hour}, {"b": -hour, "c": hour}, {"b": hour, "c": hour}, {"b": -hour, "c": -hour, "d": -4 * sec},
		{"b": -4 * sec, "c": -4 * sec, "d": -4 * sec, "e": -4 * sec}, {"a": -hour, "b": -hour},
	} {
		for _, silent := range []string{"", "e"} { // five or four clocks are known
			r := newFiveNodeRig(t)
			r.silentNode = silent
			r.run(MaxClockAge + 2*sec)
			r.clockOffsets = clocks
			r.run(ClockWait + sec)
			r.request(1, "r1")
			r.runUntil("r1", maintenance.Granted)
			r.want(fmt.Sprint("leadership transfers with ", clocks), len(r.transfers), 0)
			if off := r.stateMachine.Now() - (5000*sec + r.now); off.Abs() > sec {
				t.Errorf("with %v agreed time is %v off", clocks, off)
			}
		}
	}
}

// The first command after hours without any makes agreed time leap as soon as other clocks are known.
func TestAgreedTimeLeapsAfterIdlePeriod(t *testing.T) {
	r := newFiveNodeRig(t)
	r.now += 5 * hour
	r.request(1, "r1")
	if took := r.runUntil("r1", maintenance.Granted); took > 1500*time.Millisecond {
		t.Errorf("granted after %v", took)
	}
}

// Without any other clock a leader proposes at once in the middle of a plan, after ClockWait if agreed time would leap, and at
// once if there is no other node.
func TestNoPeerClocksKnown(t *testing.T) {
	r := newFiveNodeRig(t)
	r.request(1, "r1")
	r.runUntil("r1", maintenance.Acknowledged)
	before := len(r.proposals)
	r.dropPolls, r.inputs = true, []Input{Elected{Term: 3, NodeName: "a"}}
	r.run(2 * sec)
	if len(r.proposals) == before {
		t.Error("the next leader proposes nothing in the middle of a plan")
	}

	r = newFiveNodeRig(t)
	r.now += 5 * hour
	r.dropPolls, r.inputs = true, []Input{Elected{Term: 3, NodeName: "a"}}
	r.request(1, "r1")
	before = len(r.proposals)
	r.run(ClockWait)
	r.want("proposals before ClockWait has passed", len(r.proposals)-before, 0)
	r.run(sec)
	if len(r.proposals) == before {
		t.Error("it waits for silent nodes for longer than ClockWait")
	}

	r = &rig{t: t, controller: New(nil), state: maintenance.New(), now: 1000 * sec, dropPolls: true,
		members: []Member{{Name: "a", Status: maintenance.Up, Voter: true}, {Name: "b", Status: maintenance.Gone, Voter: true}}}
	r.stateMachine = statemachine.New(map[string]statemachine.Part{Part: r.state})
	r.inputs = []Input{Elected{Term: 1, NodeName: "a"}, Membership{r.members}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}}}
	r.step(100 * time.Millisecond)
	r.want("proposals of a single node", len(r.proposals), 1)
}

// If only one other clock is known, as for a leader that is cut off with one voter, nothing shows which of two is right: a leader
// that is ahead stops proposing, one that is behind continues.
func TestOfTwoClocksTheLeaderAheadStopsProposing(t *testing.T) {
	for _, behind := range []time.Duration{-hour, hour} {
		r := newFiveNodeRig(t)
		r.dropPolls = true
		r.run(MaxClockAge + 2*sec)
		r.wallBehind = behind
		r.request(1, "r1")
		r.inputs = append(r.inputs, Polled{From: "b", Sequence: 1 << 60, Wall: 5000*sec + r.now})
		before, agreedBefore := len(r.proposals), r.stateMachine.Now()
		r.run(20 * sec)
		if behind < 0 {
			r.want("proposals of the leader ahead", len(r.proposals)-before, 0)
			r.want("agreed time", r.stateMachine.Now(), agreedBefore)
			r.want("leadership transfers", len(r.transfers), 1)
		} else if len(r.proposals) == before {
			t.Error("the leader behind proposes nothing")
		}
	}
}

// A leader that is behind the majority waits for ClockWait and then uses the majority's clock: agreed time does not start behind
// and does not leap once the clock is corrected, so that a pause has its full length.
func TestLeaderFarBehindUsesMajorityClock(t *testing.T) {
	for _, first := range []bool{true, false} { // the first command of the log, or in the middle of a plan
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
		r.wallBehind, r.clockOffsets = 3000*sec, map[string]time.Duration{"b": hour} // one of the four others is wrong too
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
		r.replicas[9].Status = maintenance.Gone // a failure, which pauses grants for FailurePause
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
			t.Errorf("%d log lines about the clock, want 1: %q", n, r.logs)
		}
		r.want("leadership transfers", len(r.transfers), 0)
	}
}

// Missing or wrong clocks of other nodes delay a leader that is behind by at most ClockWait.
func TestLeaderFarBehindWaitsAtMostClockWait(t *testing.T) {
	for what, change := range map[string]func(r *rig){
		"no polls arrive": func(r *rig) { r.dropPolls = true },
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
		r.want(what+": leadership transfers", len(r.transfers), 0)
	}
}

// A clock that was reported longer than MaxClockAge ago is not used, because it may be off by the drift since then.
func TestStalePeerClocksAreIgnored(t *testing.T) {
	r := newFiveNodeRig(t)
	r.dropPolls = true
	r.run(MaxClockAge + 2*sec)
	if _, others := r.controller.medianClockLead(5000*sec + r.now); others != 0 {
		t.Errorf("%d clocks are known", others)
	}
	r.inputs = append(r.inputs, Polled{From: "b", Sequence: 1 << 60}) // without a clock
	r.step(100 * time.Millisecond)
	if _, others := r.controller.medianClockLead(5000*sec + r.now); others != 0 {
		t.Errorf("%d clocks are known, none was reported", others)
	}
}
