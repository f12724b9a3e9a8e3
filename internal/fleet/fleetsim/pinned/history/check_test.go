package history

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// asks are the events of one that is served: session 1, query and request by one number, at c0 in epoch 1, by r0.
func asks(n int32, effect Effect) []Event {
	id := uint64(n)
	return []Event{
		{Kind: Sent, Request: id, Session: 1, Query: n, Effect: effect, Due: time.Hour},
		{Kind: Arrived, Request: id},
		{Kind: Begun, Request: id, Epoch: 1, Seq: id, N: 1},
		{Kind: Runs, Request: id},
		{Kind: Ran, Request: id, On: true},
		{Kind: Answered, Request: id, Epoch: 1, Outcome: Served},
		{Kind: Got, Request: id, Outcome: Served},
	}
}

// Where an event of asks stands in it.
const (
	sent = iota
	arrived
	begun
	runs
	ran
	answered
	got
)

var (
	start = []Event{{Kind: Capped, N: 2}, {Kind: Owned, Session: 1, By: 0, Epoch: 1, Phase: Pinned}}
	moved = []Event{{Kind: Owned, Session: 1, By: 0, Epoch: 1, Phase: Offered}, {Kind: Owned, Session: 1, By: 1, Epoch: 2, Phase: Handed},
		{Kind: Owned, Session: 1, By: 1, Epoch: 2, Phase: Pinned}}
	later  = []Event{{Kind: Owned, Session: 1, By: 1, Epoch: 2, Phase: Pinned}}
	closed = []Event{{Kind: Closed, Quiet: time.Hour}}
)

func join(parts ...[]Event) (all []Event) {
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// with gives events with some fields of one of them changed.
func with(events []Event, at int, change func(*Event)) []Event {
	events = join(events)
	change(&events[at])
	return events
}

// elsewhere are the events of a request at c1, in epoch 2.
func elsewhere(events []Event) []Event {
	events = join(events)
	for i := range events {
		events[i].By = 1
		if events[i].Epoch > 0 {
			events[i].Epoch = 2
		}
	}
	return events
}

// play adds the events 10 ms apart, or where they say.
func play(events []Event) error {
	c := New(Rules{Slack: 100 * ms, OfferFor: 30 * time.Second})
	for i, e := range events {
		if e.At == 0 {
			e.At = time.Duration(i) * 10 * ms
		}
		if err := c.Add(e); err != nil {
			return err
		}
	}
	return nil
}

func TestHistories(t *testing.T) {
	hard, hard2, safe, safe2 := asks(1, Unsafe), asks(2, Keyed), asks(1, Safe), asks(2, Safe)
	again := with(asks(2, Unsafe), sent, func(e *Event) { e.Query = 1 })
	long := func(events []Event) []Event { // the last one comes a minute after
		return with(events, len(events)-1, func(e *Event) { e.At = time.Minute })
	}
	brief := with(hard, sent, func(e *Event) { e.Due = time.Second })
	stands := join(start, brief[:runs], []Event{{Kind: Stopped, On: true}, {Kind: Freed, Session: 1, Why: "silent"}})
	then := func(events ...[]Event) []Event { // the second life of a session, a minute later
		all := join(events...)
		for i := range all {
			all[i].At = time.Minute + time.Duration(i)*10*ms
		}
		return all
	}
	cases := []struct {
		name, broken string
		events       []Event
	}{
		{"served, moved, served there", "", join(start, hard, moved, elsewhere(hard2), closed)},
		{"safe ones beside each other", "", join(start, safe[:runs+1], safe2[:runs+1], safe2[ran:], safe[ran:], closed)},
		{"refused, and again", "", join(start, hard[:begun], []Event{{Kind: Answered, Request: 1, Outcome: Refused, Why: "moved"},
			{Kind: Got, Request: 1, Outcome: Refused}}, again)},
		{"crash, released, claimed anew", "", join(start, hard[:runs+1], []Event{{Kind: Ended, On: true}, {Kind: Got, Request: 1, Outcome: Broken},
			{Kind: Ran, Request: 1, On: true}, {Kind: Freed, Session: 1, Why: "silent"}}, later, elsewhere(with(hard2, begun, func(e *Event) { e.Seq = 1 })))},
		{"sent to a process before, and taken by the next", "", join(start, hard[:arrived], []Event{{Kind: Ended, On: true}, {Kind: Ended}}, hard[arrived:], closed)},
		{"left by its client, and nobody's fault", "", join(start, hard[:runs+1], []Event{{Kind: Left, Request: 1}, {Kind: Ran, Request: 1, On: true}})},

		{"the old owner begins after the hand", "S1", join(start, moved[:2], hard)},
		{"the old owner answers after the hand", "S1", join(start, hard[:answered], moved[:2], hard[answered:])},
		{"an owner acts while stopped", "S1", join(start, hard[:begun], []Event{{Kind: Stopped, On: true}}, hard[begun:])},
		{"acts for a free one", "S1", join(start, hard[:begun], []Event{{Kind: Freed, Session: 1, Why: "idle"}}, hard[begun:])},
		{"the new owner begins before the hand", "S1", join(start, moved[:1], elsewhere(hard))},
		{"acts in an epoch to come", "S1", join(start, with(hard, begun, func(e *Event) { e.Epoch = 2 }))},
		{"answers across epochs", "S1", join(start, hard[:answered], []Event{{Kind: Owned, Session: 1, Epoch: 3, Phase: Pinned}},
			with(hard, answered, func(e *Event) { e.Epoch = 3 })[answered:])},
		{"two owners in one epoch", "S1", join(start, []Event{{Kind: Owned, Session: 1, By: 1, Epoch: 1, Phase: Pinned}})},
		{"an epoch goes back", "S1", join(start, later, start[1:])},
		{"one epoch in two lives", "S1", join(start, []Event{{Kind: Freed, Session: 1, Why: "idle"}}, start[1:])},

		{"a slot too many", "S2", join([]Event{{Kind: Capped, N: 1}}, start[1:], safe[:ran], safe2[:ran])},
		{"no slots at all", "S2", join(start[1:], safe)},
		{"a cap that was lowered", "S2", join(start, safe[:ran], []Event{{Kind: Capped, N: 1}}, safe2[:ran])},

		{"begun before an earlier one", "S3", join(start, hard[:begun], hard2)},
		{"begun beside a safe one", "S3", join(start, safe[:ran], hard2)},
		{"a safe one beside an unsafe one", "S3", join(start, hard[:ran], safe2)},
		{"begun while a part of the one before is on its way", "S3", join(start, hard[:runs], hard2)},
		{"begun past the time of one that never ran, whose process stands still", "", join(stands, then(later, elsewhere(hard2)))},
		{"and it runs still", "S3", join(stands, then(later, elsewhere(hard2[:runs]), brief[runs:]))},
		{"begun past the time of one that runs, whose process stands still", "S3", join(start, brief[:ran], stands[len(start)+runs:],
			then(later, elsewhere(hard2)))},
		{"begun past the time of one whose process goes on", "S3", join(start, brief[:runs], stands[len(stands)-1:], then(later, elsewhere(hard2)))},
		{"begun twice", "S3", join(start, hard[:begun+1], with(hard, begun, func(e *Event) { e.Seq = 9 })[begun:])},
		{"a sequence used again after a move", "S3", join(start, hard, moved, elsewhere(with(hard2, begun, func(e *Event) { e.Seq = 1 })))},
		{"runs after a later one began", "S3", join(start, with(hard, begun, func(e *Event) { e.N = 1 })[:runs], []Event{{Kind: GivenUp, Request: 1}},
			hard2[:runs], hard[runs:])},
		{"runs from a crash into the next life", "S3", join(start, hard[:runs], []Event{{Kind: Ended, On: true}, {Kind: Freed, Session: 1, Why: "silent"}},
			later, elsewhere(hard2[:runs]), hard[runs:])},
		{"unsafe twice", "S3", join(start, hard[:answered], []Event{{Kind: Ended, On: true}, {Kind: Got, Request: 1, Outcome: Broken}}, later,
			elsewhere(again))},
		{"unsafe and refused, though it ran", "S3", join(start, hard[:answered], []Event{{Kind: Answered, Request: 1, Outcome: Refused, Why: "moved"}})},
		{"acknowledged, and never ran", "S3", join(start, hard[:runs], hard[answered:])},
		{"acknowledged, and ran without effect", "S3", join(start, with(hard, ran, func(e *Event) { e.On = false }))},
		{"acknowledged, and never begun", "S3", join(start, hard[:begun], hard[answered:])},
		{"begun after it was refused", "S3", join(start, hard[:begun], []Event{{Kind: Answered, Request: 1, Outcome: Refused, Why: "moved"}}, hard[begun:])},
		{"begun by a process that never got it", "S3", join(start, hard[:begun], []Event{{Kind: Ended, On: true}, {Kind: Ended}}, hard[begun:])},
		{"runs what nobody began", "S3", join(start, hard[:begun], hard[runs:])},

		{"answered twice", "S4", join(start, hard[:got], hard[answered:])},
		{"gets two", "S4", join(start, hard[:answered+1], hard[got:], hard2[:arrived], []Event{{Kind: Got, Request: 2, Outcome: Served}})},
		{"gets another answer than was given", "S4", join(start, hard[:got], []Event{{Kind: Got, Request: 1, Outcome: Refused}})},
		{"gets none, and its process goes on", "S4", join(start, hard[:got], []Event{{Kind: Got, Request: 1, Outcome: Broken}})},
		{"late", "S4", join(start, long(with(hard, sent, func(e *Event) { e.Due = time.Second })[:got]))},
		{"late, but it was stopped", "", join(start, with(hard, sent, func(e *Event) { e.Due = time.Second })[:answered],
			[]Event{{Kind: Stopped, On: true}, {Kind: Stopped, At: 50 * time.Second}}, long(hard[answered:got]))},
		{"given up, and told of it late", "S4", join(start, hard[:runs], []Event{{Kind: GivenUp, Request: 1},
			{At: time.Minute, Kind: Answered, Request: 1, Outcome: Failed, Why: "replica"}})},
		{"left without an answer", "S4", join(start, with(hard, sent, func(e *Event) { e.Due = time.Second })[:begun],
			[]Event{{At: time.Minute, Kind: Left, Request: 1}})},
		{"no answer at the end", "S4", join(start, with(hard, sent, func(e *Event) { e.Due = time.Second })[:begun], long(closed))},

		{"refused without a reason", "S5", join(start, hard[:begun], []Event{{Kind: Answered, Request: 1, Outcome: Refused}})},
		{"ended without a reason", "S5", join(start, []Event{{Kind: Freed, Session: 1}})},

		{"offered for ever", "S7", join(start, moved[:1], long(closed))},
		{"handed and never adopted", "S7", join(start, moved[:2], long(closed))},
		{"offered a moment ago", "", join(start, moved[:1], closed)},
		{"owned by one that ended", "S7", join(start, []Event{{Kind: Ended, On: true}}, long(closed))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := play(c.events)
			if c.broken == "" && err != nil || c.broken != "" && (err == nil || !strings.HasPrefix(err.Error(), c.broken+":")) {
				t.Errorf("want %q broken, got %v", c.broken, err)
			}
		})
	}
}
