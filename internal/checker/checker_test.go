package checker_test

import (
	"testing"

	"birchcart/internal/checker"
	. "birchcart/policy"
)

func config() Config {
	return Config{
		Coordinators: 2, MaxAttempts: 2, DrainGrace: 0.25, AnswerSlack: 0.02, ColdCapacity: 0.5, WarmUp: 10, OverloadMultiple: 2, OverloadWindow: 1,
		ExtraFree: 1, ExtraPerRequest: 0, ExtraWindow: 1,
		Classes: []Class{
			{Effect: Safe, Need: 1, Floor: 1}, {Effect: Unsafe, Need: 1, Floor: 1}, {Effect: Keyed, Window: 1, Need: 0.5, Floor: 0.5, FollowUp: 1},
		},
	}
}

type step struct {
	at float64
	x  any
}

func ask(q uint64, class int, parts ...uint64) []any {
	out := []any{Event{Kind: QueryArrived, Query: q, Group: q, Class: class, Deadline: 105}}
	for _, p := range parts {
		out = append(out, Event{Kind: PartArrived, Part: p, Group: q, Class: class, Weight: 1 / float64(len(parts))})
	}
	return out
}

func end(part uint64, attempt int, o Outcome) Event {
	return Event{Kind: AttemptEnded, Part: part, Attempt: attempt, Outcome: o}
}

// Each rule broken in the plainest way is found, and the same stream without the break is not.
func TestEachRule(t *testing.T) {
	send := func(p, r uint64) Action { return Action{Verb: Send, Part: p, Replica: r} }
	answer := Action{Verb: Answer, Query: 1, Complete: true}
	list := func(s Readiness, started float64) Event {
		return Event{Kind: ListChanged, List: []Entry{{Replica: 7, State: s, Started: started}}}
	}
	for name, c := range map[string]struct {
		rule  int // 0: none is broken
		class int
		parts []uint64
		steps []step
	}{
		"all well":             {0, 0, []uint64{2}, []step{{100, send(2, 7)}, {101, end(2, 0, OK)}, {101, answer}}},
		"two answers":          {1, 0, []uint64{2}, []step{{100, send(2, 7)}, {101, end(2, 0, OK)}, {101, answer}, {101, answer}}},
		"late":                 {1, 0, []uint64{2}, []step{{106, Action{Verb: Refuse, Query: 1}}}},
		"none":                 {1, 0, []uint64{2}, []step{{100, send(2, 7)}}},
		"sent after":           {1, 0, []uint64{2, 3}, []step{{100, send(2, 7)}, {101, Action{Verb: Refuse, Query: 1}}, {101, send(3, 7)}}},
		"unsafe again":         {2, 1, []uint64{2}, []step{{100, send(2, 7)}, {101, end(2, 0, Failed)}, {101, send(2, 8)}, {102, Action{Verb: Fail, Query: 1}}}},
		"unsafe proved":        {0, 1, []uint64{2}, []step{{100, send(2, 7)}, {101, end(2, 0, NotSent)}, {101, send(2, 8)}, {102, Action{Verb: Fail, Query: 1}}}},
		"unsafe refused":       {2, 1, []uint64{2}, []step{{100, send(2, 7)}, {101, end(2, 0, Failed)}, {101, Action{Verb: Refuse, Query: 1}}}},
		"keyed late":           {2, 2, []uint64{2}, []step{{100, send(2, 7)}, {101.5, end(2, 0, Failed)}, {101.5, send(2, 8)}, {102, Action{Verb: Fail, Query: 1}}}},
		"keyed in time":        {0, 2, []uint64{2}, []step{{100, send(2, 7)}, {100.5, end(2, 0, Failed)}, {100.5, send(2, 8)}, {102, Action{Verb: Fail, Query: 1}}}},
		"draining":             {3, 0, []uint64{2}, []step{{100, list(Draining, 0)}, {100.3, send(2, 7)}, {101, end(2, 0, OK)}, {101, answer}}},
		"draining, in grace":   {0, 0, []uint64{2}, []step{{100, list(Draining, 0)}, {100.2, send(2, 7)}, {101, end(2, 0, OK)}, {101, answer}}},
		"back":                 {0, 0, []uint64{2}, []step{{100, list(Removed, 0)}, {100.1, list(Up, 0)}, {100.5, send(2, 7)}, {101, end(2, 0, OK)}, {101, answer}}},
		"cold":                 {4, 0, []uint64{2, 3, 4}, []step{{100, list(Up, 99.9)}, {100, send(2, 7)}, {100, send(3, 7)}, {100, send(4, 7)}, {101, Action{Verb: Refuse, Query: 1}}}},
		"cold, our share":      {0, 0, []uint64{2, 3, 4}, []step{{100, list(Up, 99.9)}, {100, send(2, 7)}, {101, Action{Verb: Refuse, Query: 1}}}},
		"under the floor":      {5, 0, []uint64{2, 3}, []step{{100, send(2, 7)}, {101, end(2, 0, OK)}, {101, Action{Verb: Answer, Query: 1}}}},
		"step two not whole":   {5, 2, []uint64{2, 3}, []step{{100, send(2, 7)}, {101, end(2, 0, OK)}, {101, answer}, {101, Event{Kind: PartArrived, Part: 9, Group: 1, Weight: 0.5}}, {101, Event{Kind: PartArrived, Part: 10, Group: 1, Weight: 0.5}}, {101, send(9, 7)}, {102, end(9, 0, OK)}, {102, answer}}},
		"over the cap":         {6, 0, []uint64{2}, []step{{100, send(2, 7)}, {100, end(2, 0, NotSent)}, {102, send(2, 7)}, {102, end(2, 1, NotSent)}, {104, send(2, 7)}, {104, Action{Verb: Refuse, Query: 1}}}},
		"over the budget":      {6, 0, []uint64{2, 3}, []step{{100, send(2, 7)}, {100, send(3, 7)}, {100, end(2, 0, NotSent)}, {100, end(3, 0, NotSent)}, {100, send(2, 7)}, {100, send(3, 7)}, {101, Action{Verb: Refuse, Query: 1}}}},
		"a copy not permitted": {6, 0, []uint64{2}, []step{{100, send(2, 7)}, {101, send(2, 8)}, {101, Action{Verb: Refuse, Query: 1}}}},
	} {
		k := checker.New(config())
		k.Capacity = func(uint64) float64 { return 1 }
		k.Event(100, Event{Kind: ListChanged, Full: true, List: []Entry{{Replica: 7}, {Replica: 8}}})
		for _, x := range ask(1, c.class, c.parts...) {
			k.Event(100, x.(Event))
		}
		for _, s := range c.steps {
			switch x := s.x.(type) {
			case Event:
				k.Event(s.at, x)
			case Action:
				k.Action(s.at, x)
			}
		}
		k.End(110)
		faults := k.Faults()
		switch {
		case c.rule == 0 && len(faults) > 0:
			t.Errorf("%s: %v", name, faults)
		case c.rule > 0 && (len(faults) == 0 || faults[0].Rule != c.rule):
			t.Errorf("%s: rule %d is broken; found %v", name, c.rule, faults)
		}
	}
}

// What has ended is forgotten: a long stream does not grow.
func TestForgets(t *testing.T) {
	cfg := config()
	cfg.ExtraWindow = 1
	k := checker.New(cfg)
	for i := range uint64(10000) {
		now := 100 + float64(i)
		q := 10 * i
		k.Event(now, Event{Kind: QueryArrived, Query: q, Group: q, Deadline: now + 5})
		k.Event(now, Event{Kind: PartArrived, Part: q + 1, Group: q, Weight: 1})
		k.Action(now, Action{Verb: Send, Part: q + 1, Replica: 7})
		k.Event(now+0.5, end(q+1, 0, OK))
		k.Action(now+0.5, Action{Verb: Answer, Query: q, Complete: true})
	}
	held := 0
	for id := range uint64(100001) {
		if k.Query(id) != nil || k.Part(id) != nil {
			held++
		}
	}
	if len(k.Faults()) > 0 || held > 0 {
		t.Errorf("%v; %d queries and parts are held", k.Faults(), held)
	}
}

// A late answer tells by how much, and whether a turn was played between the query's end and it.
func TestLateAnswersTellWhetherATurnWasPlayed(t *testing.T) {
	for name, c := range map[string]struct {
		turns     []float64 // before the answer at 106
		firstTurn bool
	}{
		"no turn after the end":      {[]float64{104.9}, true},
		"the turn before at the end": {[]float64{105}, true},
		"a turn after the end":       {[]float64{105.001}, false},
	} {
		for _, ends := range []string{"refused", "left"} {
			k := checker.New(config())
			for _, x := range ask(1, 0, 2) {
				k.Event(100, x.(Event))
			}
			for _, at := range c.turns {
				k.Event(at, Event{Kind: TimerFired})
			}
			if ends == "refused" {
				k.Action(106, Action{Verb: Refuse, Query: 1})
			} else {
				k.Event(106, Event{Kind: ClientLeft, Query: 1})
			}
			faults := k.Faults()
			if len(faults) != 1 || faults[0].Rule != 1 || faults[0].Late != 1 || faults[0].FirstTurn != c.firstTurn {
				t.Errorf("%s, %s: %+v", name, ends, faults)
			}
		}
	}
}
