package history

import (
	"strings"
	"testing"
	"time"
)

const second = time.Second

// story plays events one second apart and gives at which event something broke, and what.
func story(t *testing.T, events []Event) (int, error) {
	t.Helper()
	c := New()
	for i, e := range events {
		if e.At == 0 {
			e.At = time.Duration(i) * second
		}
		if err := c.Add(e); err != nil {
			return i, err
		}
	}
	return -1, nil
}

// room is a ring of 4 cells, reach 2, one replica each; a holder of each shard has to stay.
func room(rest ...Event) []Event {
	events := []Event{{Kind: Limits, Rules: Rules{Cells: 4, Reach: 2, Shards: 4, HoldersLeast: 1, OutByZone: 2, OutMost: 2, VotersLeast: 2,
		PassedMost: 1, Overtake: 12, Load: 1.5, Headroom: 0.2, Calm: 20 * second, Slack: 3 * second, Settle: 5 * second}}}
	for i, name := range []string{"r0", "r1", "r2", "r3"} {
		events = append(events, Event{Kind: Joined, Name: name, Machine: Machine{Zone: []string{"a", "b"}[i%2], Cell: i, Size: 1, Replica: true}})
	}
	for _, name := range []string{"c0", "c1", "c2"} {
		events = append(events, Event{Kind: Joined, Name: name, Machine: Machine{Zone: name, Voter: true}}, Event{Kind: Serving, By: name, On: true})
	}
	return append(events, rest...)
}

func item(machine, phase string, fence uint64, order int) Event {
	return Event{Kind: Committed, Voters: 2, Of: 3, Item: Item{Request: "q", Machine: machine, Phase: phase, Fence: fence, Order: order,
		Lapses: time.Hour}}
}

func went(machine string, fence uint64, order int) []Event {
	return []Event{item(machine, "granted", fence, order), item(machine, "told", fence, order), {Kind: Taken, Name: machine, Fence: fence}}
}

func join(parts ...[]Event) (all []Event) {
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// crashes are a grant, so many failures of machines, 30 s apart, one more when they were calm for so long, what else
// happens a second later, and then a grant within the calm.
func crashes(times int, calm time.Duration, names []string, rest ...Event) []Event {
	first := item("r1", "granted", 1, 0)
	first.At = 15 * second
	all, at := []Event{first}, 20*second
	for i := range times + 1 {
		if i == times {
			at += calm
		}
		for _, name := range names {
			all = append(all, Event{At: at, Kind: Failed, Name: name})
		}
		for _, name := range names {
			all = append(all, Event{At: at + second, Kind: Risen, Name: name})
		}
		at += 30 * second
	}
	for _, e := range rest {
		e.At = at - 29*second
		all = append(all, e)
	}
	last := item("r2", "granted", 2, 1)
	last.At = at - 25*second
	return append(all, last)
}

func TestPromisesThatAreBroken(t *testing.T) {
	later := func(e Event, at time.Duration) Event { e.At = at; return e }
	lapsing := func(e Event, at time.Duration) Event { e.Item.Lapses = at; return e }
	named := func(e Event, command string) Event { e.Command = command; return e }
	busy := room()[0].Rules
	busy.Load = 2
	slow := room()[0].Rules
	slow.Calm = 100 * second
	by := func(e Event, voters int) Event { e.Voters = voters; return e }
	for _, c := range []struct {
		name, says string
		events     []Event
	}{
		{"two that share no shard", "", join(went("r0", 1, 0), went("r2", 2, 1))},
		{"two that share one", "W1: r1 went by grant 2 and left shard 0", join(went("r0", 1, 0), went("r1", 2, 1))},
		{"the other is up but cold", "W1", join(went("r0", 1, 0),
			[]Event{item("r0", "out", 1, 0), {Kind: Risen, Name: "r0", Warm: time.Hour}}, went("r1", 2, 1))},
		{"the other is warm again", "", join(went("r0", 1, 0), []Event{item("r0", "out", 1, 0), {Kind: Risen, Name: "r0"},
			item("r0", "done", 1, 0)}, went("r1", 2, 1))},
		{"the other failed long before the grant", "W1", join([]Event{{Kind: Failed, Name: "r0"}, later(item("r1", "granted", 1, 0), 30*second),
			later(item("r1", "told", 1, 0), 31*second), later(Event{Kind: Taken, Name: "r1", Fence: 1}, 32*second)})},
		{"the other failed after the grant", "", []Event{item("r1", "granted", 1, 0), {Kind: Failed, Name: "r0"}, item("r1", "told", 1, 0),
			{Kind: Taken, Name: "r1", Fence: 1}}},
		{"three out", "W2: with the grant 3", join(went("r0", 1, 0), went("r2", 2, 1), []Event{item("c0", "granted", 3, 2)})},
		{"capacity", "W3: r2 went by grant 2 and left 2.00 warm, the load with headroom is 2.40", join([]Event{{Kind: Limits, Rules: busy}},
			went("r0", 1, 0), went("r2", 2, 1))},
		{"no calm", "W6: r2 was granted 5s after r0 failed", join([]Event{item("r1", "granted", 1, 0), {Kind: Failed, Name: "r0"}},
			[]Event{later(item("r2", "granted", 2, 1), 17*second)})},
		{"failed and told before that was seen", "", []Event{item("r0", "granted", 1, 0), {Kind: Failed, Name: "r0"}, item("r0", "told", 1, 0),
			later(item("r2", "granted", 2, 1), 20*second)}},
		{"told long after it failed", "W6: r2 was granted 8s after r0 failed", []Event{item("r0", "granted", 1, 0), {Kind: Failed, Name: "r0"},
			later(item("r0", "told", 1, 0), 16*second), later(item("r2", "granted", 2, 1), 20*second)}},
		{"up between two failures for less than news takes", "", []Event{item("r1", "granted", 1, 0), {Kind: Failed, Name: "r0"},
			{Kind: Risen, Name: "r0"}, {Kind: Failed, Name: "r0"}, later(item("r2", "granted", 2, 1), 33*second)}},
		{"and for longer", "W6: r2 was granted 16s after r0 failed", []Event{item("r1", "granted", 1, 0), {Kind: Failed, Name: "r0"},
			{Kind: Risen, Name: "r0"}, later(Event{Kind: Failed, Name: "r0"}, 17*second), later(item("r2", "granted", 2, 1), 33*second)}},
		{"one in a crash loop", "", crashes(3, 0, []string{"r0"})},
		{"it pauses before that", "W6: r2 was granted 5s after r0 failed", crashes(2, 0, []string{"r0"})},
		{"others pause beside it", "W6: r2 was granted 4s after r3 failed", crashes(3, 0, []string{"r0"}, Event{Kind: Failed, Name: "r3"})},
		{"calm for long enough between", "W6: r2 was granted 5s after r0 failed", crashes(3, 200*second, []string{"r0"})},
		{"two of them", "", crashes(3, 0, []string{"r0", "r3"})},
		{"three of them, and two may be out", "W6: r2 was granted 5s after c1 failed", crashes(3, 0, []string{"r0", "r3", "c1"})},
		{"waits for one in a crash loop", "", join([]Event{{Kind: Limits, Rules: slow}}, crashes(3, 0, []string{"r0"}),
			[]Event{later(item("r3", "asked", 0, 3), 116*second), later(Event{Kind: Ended, Quiet: time.Hour}, 850*second)})},
		{"one command twice", "W4: the command x granted r2, and had", []Event{named(item("r0", "granted", 1, 0), "x"), named(item("r2", "granted", 2, 1), "x")}},
		{"two voters", "W2: with the grant 2", []Event{item("c0", "granted", 1, 0), item("c1", "granted", 2, 1)}},
		{"no machine", "W2: r9", []Event{item("r9", "granted", 1, 0)}},
		{"a number that does not grow", "W4: the grant of r2 has number 1 after 1", []Event{item("r0", "granted", 1, 0), item("r2", "granted", 1, 1)}},
		{"a number that changes", "W4: the live grant", []Event{item("r0", "granted", 1, 0), item("r0", "told", 2, 0)}},
		{"a lapsed one revived", "W4: r0 of q went from lapsed to granted", []Event{item("r0", "granted", 1, 0), item("r0", "lapsed", 1, 0), item("r0", "granted", 2, 0)}},
		{"told without a grant", "W4", []Event{item("r0", "told", 1, 0)}},
		{"stored by one of three", "W7: the grant of r0", []Event{by(item("r0", "granted", 1, 0), 1)}},
		{"granted without a majority", "W7: r0 was granted", []Event{{Kind: Majority}, func() Event {
			e := later(item("r0", "granted", 1, 0), 40*second)
			e.Stored = 39 * second
			return e
		}()}},
		{"stored just before it was lost", "", []Event{{Kind: Majority}, func() Event {
			e := later(item("r0", "granted", 1, 0), 40*second)
			e.Stored = 11 * second
			return e
		}()}},
		{"sent to with a lease", "told: c1 sends to r0, whose grant 1", join([]Event{{Kind: Leased, By: "c1", Until: time.Hour}}, went("r0", 1, 0))},
		{"sent to without one", "", went("r0", 1, 0)},
		{"sent to by one that had said its drain is laid", "told: c1 sends to r0, whose grant 1 was told at 13s, and had said",
			join([]Event{{Kind: Said, By: "c1", Name: "r0", Fence: 1}}, went("r0", 1, 0))},
		{"by one whose disk was lost since", "", join([]Event{{Kind: Said, By: "c1", Name: "r0", Fence: 1},
			{Kind: Serving, By: "c1", Lost: true}, {Kind: Serving, By: "c1", On: true}}, went("r0", 1, 0))},
		{"a lease regained", "told: c1 sends", join(went("r0", 1, 0), []Event{{Kind: Leased, By: "c1", Until: time.Hour}})},
		{"drained in time", "", join([]Event{{Kind: Leased, By: "c1", Until: time.Hour}, {Kind: Sends, By: "c1", Name: "r0"}}, went("r0", 1, 0))},
		{"drain lifted", "told: c1 sends", join([]Event{{Kind: Leased, By: "c1", Until: time.Hour}, {Kind: Sends, By: "c1", Name: "r0"}},
			went("r0", 1, 0), []Event{{Kind: Sends, By: "c1", Name: "r0", On: true}})},
		{"its process started anew", "", join([]Event{{Kind: Leased, By: "c1", Until: time.Hour}, {Kind: Serving, By: "c1"},
			{Kind: Serving, By: "c1", On: true}}, went("r0", 1, 0))},
		{"waits for ever", "W5: r0 of q still waits", []Event{item("r0", "asked", 0, 0), later(Event{Kind: Ended, Quiet: time.Hour}, time.Hour)}},
		{"waits for a machine that is lost", "", []Event{item("r0", "asked", 0, 0), {Kind: Failed, Name: "r1"},
			later(Event{Kind: Ended, Quiet: time.Hour}, time.Hour)}},
		{"granted for ever", "W7: r0 is still granted", []Event{lapsing(item("r0", "granted", 1, 0), second),
			later(Event{Kind: Ended, Quiet: second}, time.Hour)}},
		{"time runs back", "history: an event", []Event{later(Event{Kind: Majority, On: true}, second)}},
		{"an unknown kind", "history: unknown kind", []Event{{Kind: "other"}}},
	} {
		at, err := story(t, room(c.events...))
		if c.says == "" && err != nil || c.says != "" && (err == nil || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: want %q, got %v at event %d", c.name, c.says, err, at)
		}
	}
}

func TestPassedOverTooOften(t *testing.T) {
	events := []Event{item("r0", "asked", 0, 0)}
	for i := uint64(1); i <= 14; i++ {
		again := []Event{item("r1", "granted", i, 1), item("r1", "lapsed", i, 1)}
		for j := range again {
			again[j].Item.Request = "later"
			again[j].Item.Asked = time.Duration(i)
		}
		events = append(events, again...)
	}
	at, err := story(t, room(events...))
	if err == nil || !strings.Contains(err.Error(), "W5: r0 of q waits while 14") {
		t.Errorf("%v at %d", err, at)
	}
}

func TestEarlyAndLateGoesAreFailures(t *testing.T) {
	c := New()
	for i, e := range room(item("r0", "granted", 1, 0), Event{Kind: Taken, Name: "r0", Fence: 1}, item("r1", "granted", 2, 1), item("r1", "told", 2, 1),
		Event{Kind: Taken, Name: "r1", Fence: 1}) {
		e.At = time.Duration(i) * second
		if err := c.Add(e); err != nil {
			t.Fatal(err)
		}
	}
	if c.Figures.Unplanned != 2 || c.Figures.Went != 0 {
		t.Errorf("%+v", c.Figures)
	}
}
