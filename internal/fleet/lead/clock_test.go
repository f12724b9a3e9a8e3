package lead

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/ledger"
	"birchcart/internal/fleet/takeout"
)

const hour = 3600 * s

// five is a rig of five co-ordinators, of which a leads anew.
func five(t *testing.T) *rig {
	r := begin(t)
	for _, n := range []string{"d", "e"} {
		r.members = append(r.members, Member{Name: n, Status: takeout.Up, Voter: true, Load: 0.5, LoadKnown: true})
	}
	r.in = append(r.in, Elected{Term: 2, Own: "a"})
	r.run(3 * s)
	return r
}

// An hour ahead a leader proposes nothing, agreed time stays where it was, and it hands over and says why. Right again,
// it goes on.
func TestClockFarAhead(t *testing.T) {
	r := five(t)
	before, was := len(r.all), r.ledger.Now()
	r.behind = -hour
	r.ask(1, "r1")
	r.run(32 * s)
	r.want("proposals", len(r.all)-before, 0)
	r.want("agreed time", r.ledger.Now(), was)
	r.want("times handed over", len(r.hands), 1)
	if why := r.logs[len(r.logs)-1]; !strings.HasPrefix(why, "the own clock is 1h0m0") || why != r.hands[0] ||
		!strings.Contains(why, "ahead of most of the 4 others known, 5s is allowed") {
		t.Errorf("said %q", why)
	}
	r.run(3 * s)
	r.want("times handed over", len(r.hands), 2)
	r.behind = 0
	r.until("r1", takeout.Granted)
	if late := r.ledger.Now() - (5000*s + r.now); late > 0 {
		t.Errorf("agreed time is %v ahead", late)
	}
}

// Elected after hours at rest, by a clock that is ahead, it waits until it hears others, and then says nothing.
func TestClockFarAheadWhenElected(t *testing.T) {
	r := five(t)
	was := r.ledger.Now()
	r.now += 5 * hour
	r.behind, r.in = -hour, []Input{Elected{Term: 3, Own: "a"}}
	r.ask(1, "r1")
	r.run(20 * s)
	r.want("agreed time", r.ledger.Now(), was)
	r.want("times handed over", len(r.hands), 1)
	r.behind = 0
	r.until("r1", takeout.Granted)
}

// Two of five that are wrong change nothing, whichever way, nor do three that are ahead.
func TestClocksOfOthersAreWrong(t *testing.T) {
	for _, clocks := range []map[string]time.Duration{
		{"b": -hour, "c": -hour}, {"b": -hour, "c": hour}, {"b": hour, "c": hour}, {"b": hour, "c": hour, "d": hour},
		{"b": -4 * s, "c": -4 * s, "d": -4 * s, "e": -4 * s}, {"a": -hour, "b": -hour, "c": -hour},
	} {
		r := five(t)
		r.clocks = clocks
		r.run(2 * s)
		r.ask(1, "r1")
		r.until("r1", takeout.Granted)
		r.want(fmt.Sprint("handed over with ", clocks), len(r.hands), 0)
	}
}

// The first command after hours at rest leaps, as soon as others' clocks are heard.
func TestLeapAfterRest(t *testing.T) {
	r := five(t)
	r.now += 5 * hour
	r.ask(1, "r1")
	if took := r.until("r1", takeout.Granted); took > 1500*time.Millisecond {
		t.Errorf("granted after %v", took)
	}
}

// Without word of any clock a leader goes on at once in the middle of a plan, and after a while where it has to leap; at
// once too if there is nobody else.
func TestNoClocksKnown(t *testing.T) {
	r := five(t)
	r.ask(1, "r1")
	r.until("r1", takeout.Told)
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

	r = &rig{t: t, l: New(nil), state: takeout.New(), now: 1000 * s, unheard: true,
		members: []Member{{Name: "a", Status: takeout.Up, Voter: true}, {Name: "b", Status: takeout.Gone, Voter: true}}}
	r.ledger = ledger.New(map[string]ledger.Part{Part: r.state})
	r.in = []Input{Elected{Term: 1, Own: "a"}, Members{r.members}, Asks{Limits: takeout.LimitsBody{Revision: 1, Limits: limits}}}
	r.step(100 * time.Millisecond)
	r.want("proposals of one alone", len(r.all), 1)
}

// Where only one other is heard, as by a leader that is cut off with one voter, nobody can say which of two is right: the
// one ahead gives way, the one behind goes on.
func TestOfTwoClocksTheOneAheadGivesWay(t *testing.T) {
	for _, behind := range []time.Duration{-hour, hour} {
		r := five(t)
		r.unheard = true
		r.run(ClockAge + 2*s)
		r.behind = behind
		r.ask(1, "r1")
		r.in = append(r.in, Polled{From: "b", No: 1 << 60, Wall: 5000*s + r.now})
		before, was := len(r.all), r.ledger.Now()
		r.run(20 * s)
		if behind < 0 {
			r.want("proposals of the one ahead", len(r.all)-before, 0)
			r.want("agreed time", r.ledger.Now(), was)
			r.want("times handed over", len(r.hands), 1)
		} else if len(r.all) == before {
			t.Error("the one behind proposes nothing")
		}
	}
}

// A clock that was heard too long ago is none: it would be off by the drift.
func TestOldClocksDoNotCount(t *testing.T) {
	r := five(t)
	r.unheard = true
	r.run(ClockAge + 2*s)
	if _, others := r.l.ahead(5000*s + r.now); others != 0 {
		t.Errorf("%d clocks are known", others)
	}
	r.in = append(r.in, Polled{From: "b", No: 1 << 60}) // which does not tell
	r.step(100 * time.Millisecond)
	if _, others := r.l.ahead(5000*s + r.now); others != 0 {
		t.Errorf("%d clocks are known, none was told", others)
	}
}
