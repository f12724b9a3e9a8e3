package policy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"birchcart/internal/checker"
	. "birchcart/policy"
)

// world makes up legal events: it answers what was sent in odd orders, moves the list, lets time pass. It
// models no servers and measures nothing.
type world struct {
	rng   *rand.Rand
	cfg   Config
	now   float64
	chk   *checker.Checker
	p     *Policy
	out   []pending
	ids   uint64
	steps []followUp
	alter func(Action) Action // breaks an action on purpose
	dress func(*Event)        // adds to what the world tells, nil for nothing
	list  []Entry
	fails map[uint64]int  // replica to the class that it fails or swallows
	fatal map[uint64]bool // queries that bring down each replica that takes a part of them
	swept []uint64        // drained in a wave, to be removed soon
	born  uint64          // ids of replacements
}

type pending struct {
	at float64
	ev Event
}

type followUp struct{ query, group uint64 }

func randomConfig(rng *rand.Rand) Config {
	cfg := Config{
		Seed: rng.Uint64(), Resolution: 0.005, Coordinators: 1 + rng.IntN(4), MaxAttempts: 2 + rng.IntN(4),
		Cancel: rng.IntN(4) > 0, SecondCopies: rng.IntN(4) > 0, RetryAfter: rng.IntN(2) > 0, MaxRetryAfter: 0.5,
		Cells: 1 + rng.IntN(4), Reach: 1, Shards: 12, MaxPartsPerCall: 1 + rng.IntN(8), DrainGrace: 0.25, AnswerSlack: 0.02,
		ColdCapacity: 0.2, WarmUp: 10, OverloadMultiple: 2, OverloadWindow: 1, MaxOpen: 40 + rng.IntN(300), OverShareValue: 0.1,
		Tenants: []Tenant{{Quota: 5, Share: 0.5}, {Quota: 5, Share: 0.5}},
	}
	if rng.IntN(3) == 0 { // a large fleet with many co-ordinators
		cfg.Coordinators, cfg.Cells, cfg.Shards = 20+rng.IntN(70), 20+rng.IntN(40), 60
	}
	cfg.Reach, cfg.Ordinal = 1+rng.IntN(min(3, cfg.Cells)), rng.IntN(cfg.Coordinators)
	if rng.IntN(3) == 0 { // the shape of a move: no tenants, a list on asking, one attempt at a time or no marks
		cfg.Tenants, cfg.MustSubscribe, cfg.MaxSubscribeDelay = nil, true, 10
		cfg.SecondCopies = rng.IntN(2) > 0
	}
	if rng.IntN(2) > 0 {
		cfg.ExtraFree, cfg.ExtraPerRequest, cfg.ExtraWindow = float64(rng.IntN(12)), 0.2*rng.Float64(), 0.5+3*rng.Float64()
	}
	for range 1 + rng.IntN(3) {
		need := []float64{1, 1, 0.75, 0.5}[rng.IntN(4)]
		cfg.Classes = append(cfg.Classes, Class{
			Promise: 0.3 + rng.Float64(), GiveUp: 4, LateValue: []float64{0, 0.1, 0.5}[rng.IntN(3)], Points: 1,
			Effect: Effect(rng.IntN(3)), Window: 0.3 + 2*rng.Float64(), Need: need, Floor: need * []float64{1, 1, 0.6}[rng.IntN(3)],
			FollowUp: []int{0, 0, 2}[rng.IntN(3)], PartialValue: 0.9,
		})
	}
	return cfg
}

func newWorld(seed uint64, alter func(Action) Action) *world {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &world{rng: rng, cfg: randomConfig(rng), now: 1000, alter: alter}
	w.chk, w.p = checker.New(w.cfg), New(w.cfg)
	n := 2 + rng.IntN(10)
	if w.cfg.Coordinators >= 20 {
		n = w.cfg.Cells * 3
	}
	w.fails, w.fatal, w.born = map[uint64]int{}, map[uint64]bool{}, 10_000_000
	for i := range uint64(n) {
		w.list = append(w.list, Entry{Replica: 10 + i, SharedID: 10 + i, Cell: int(i) % w.cfg.Cells, Zone: int(i) % 3})
		if rng.IntN(5) == 0 {
			w.fails[10+i] = rng.IntN(len(w.cfg.Classes))
		}
	}
	w.turn([]Event{{Kind: ListChanged, Full: true, Stale: true, List: append([]Entry(nil), w.list...)}})
	return w
}

func (w *world) turn(events []Event) {
	for i := range events {
		if w.dress != nil {
			w.dress(&events[i])
		}
		w.chk.Event(w.now, events[i])
	}
	for _, a := range w.p.Handle(w.now, events) {
		if w.alter != nil {
			a = w.alter(a)
		}
		w.chk.Action(w.now, a)
		switch a.Verb {
		case Send:
			w.outcome(a)
		case Cancel:
			for i := range w.out {
				if e := &w.out[i]; e.ev.Kind == AttemptEnded && e.ev.Part == a.Part && e.ev.Attempt == a.Attempt && w.rng.IntN(5) > 0 {
					e.at, e.ev.Outcome = w.now, Cancelled
				}
			}
		case Timer:
			w.out = append(w.out, pending{w.now + a.After, Event{Kind: TimerFired, Handle: a.Handle}})
		case Answer:
			if q := w.chk.Query(a.Query); q != nil && !q.Ended && q.Step == 2 {
				w.steps = append(w.steps, followUp{a.Query, a.Query})
			}
		}
	}
}

// outcome makes up how an attempt ends: mostly well, at times badly, at times only when the client has gone.
func (w *world) outcome(a Action) {
	pt := w.chk.Part(a.Part)
	took, o := 0.02+0.2*w.rng.ExpFloat64(), OK
	switch w.rng.IntN(10) {
	case 0:
		o = Outcome(1 + w.rng.IntN(7))
	case 1:
		took *= 20
	case 2:
		took, o = 0.001, Outcome(1+w.rng.IntN(7))
	}
	if class, bad := w.fails[a.Replica]; bad && pt.Query.Class == class && w.rng.IntN(5) > 0 {
		took, o = []float64{0.005, 60}[int(a.Replica)%2], Failed // times once, or never an answer
	}
	if w.fatal[pt.Query.ID] { // and with it goes all else that is out there
		took, o = 0.02, ConnectionBroken
		for i := range w.out {
			if e := &w.out[i]; e.ev.Kind == AttemptEnded && e.ev.Replica == a.Replica && e.at > w.now+took {
				e.at, e.ev.Outcome = w.now+took, ConnectionBroken
			}
		}
	}
	at := pt.Query.Due
	if a.AttemptTimeout > 0 {
		at = min(at, w.now+a.AttemptTimeout)
	}
	if w.now+took >= at {
		took, o = at-w.now, TimedOut
	}
	w.out = append(w.out, pending{w.now + took, Event{
		Kind: AttemptEnded, Part: a.Part, Attempt: len(pt.Attempts) - 1, Replica: a.Replica, Outcome: o, Latency: took,
	}})
}

func (w *world) step() {
	// Long: one tick in the order in which its parts depend on each other.
	w.now += 0.005
	var events []Event
	for _, s := range w.steps {
		n := 1 + w.rng.IntN(w.cfg.Shards/2)
		for range n {
			w.ids++
			events = append(events, Event{Kind: PartArrived, Part: w.ids, Group: s.group, Shard: w.rng.IntN(w.cfg.Shards), Weight: 1 / float64(n)})
		}
	}
	w.steps = w.steps[:0]
	left := w.out[:0]
	for _, e := range w.out {
		if e.at > w.now {
			left = append(left, e)
			continue
		}
		events = append(events, e.ev)
	}
	w.out = left
	for _, id := range w.chk.Overdue(w.now) { // an order of no weight, since none should be
		events = append(events, Event{Kind: ClientLeft, Query: id})
	}
	if w.rng.IntN(60) == 0 {
		i := w.rng.IntN(len(w.list))
		e := &w.list[i]
		e.State = Readiness(w.rng.IntN(3))
		if w.rng.IntN(2) > 0 {
			e.State, e.Started = Up, w.now-w.rng.Float64()
		}
		events = append(events, Event{Kind: ListChanged, List: []Entry{*e}})
	}
	if w.rng.IntN(300) == 0 { // a wave: some drain, are gone soon, and new ones come up cold in their place
		ev := Event{Kind: ListChanged}
		for i := range w.list {
			if e := &w.list[i]; e.State == Up && w.rng.IntN(5) == 0 {
				e.State = Draining
				w.swept = append(w.swept, e.Replica)
				ev.List = append(ev.List, *e)
			}
		}
		events = append(events, ev)
	}
	if len(w.swept) > 0 && w.rng.IntN(100) == 0 {
		ev := Event{Kind: ListChanged}
		for i := range w.list {
			e := &w.list[i]
			if !slices.Contains(w.swept, e.Replica) {
				continue
			}
			e.State = Removed
			ev.List = append(ev.List, *e, *e) // told twice, and in any order
			w.born++
			e.Replica, e.State, e.Started = w.born, Up, w.now-w.rng.Float64()
			ev.List = append(ev.List, *e)
		}
		w.rng.Shuffle(len(ev.List), func(i, j int) { ev.List[i], ev.List[j] = ev.List[j], ev.List[i] })
		w.swept = nil
		events = append(events, ev)
	}
	for range w.rng.IntN(3) * w.rng.IntN(2) {
		w.ids++
		w.fatal[w.ids] = w.rng.IntN(50) == 0
		q, class := w.ids, w.rng.IntN(len(w.cfg.Classes))
		n := 1 + w.rng.IntN(6)
		tenant := w.rng.IntN(3) - 1
		if len(w.cfg.Tenants) == 0 {
			tenant = -1
		}
		events = append(events, Event{
			Kind: QueryArrived, Query: q, Group: q, Class: class, Tenant: tenant, Retry: w.rng.IntN(4) == 0, Deadline: w.now + 0.1 + 3*w.rng.Float64(), Count: n,
		})
		for i := range n {
			w.ids++
			events = append(events, Event{Kind: PartArrived, Part: w.ids, Group: q, Class: class, Shard: (i + int(q)) % w.cfg.Shards, Weight: 1 / float64(n)})
		}
	}
	w.turn(events)
}

func TestRulesUnderRandomEvents(t *testing.T) {
	answered, refused, failed := 0, 0, 0
	for seed := range uint64(120) {
		w := newWorld(seed, func(a Action) Action {
			switch a.Verb {
			case Answer:
				answered++
			case Refuse:
				refused++
			case Fail:
				failed++
			}
			return a
		})
		for range 1600 {
			w.step()
		}
		if len(w.chk.Faults()) > 0 {
			t.Fatalf("seed %d: %d faults, the first: %s\nsettings %+v", seed, len(w.chk.Faults()), w.chk.Faults()[0], w.cfg)
		}
	}
	if answered < 1000 || refused < 100 || failed < 100 {
		t.Fatalf("%d answered, %d refused, %d failed: too few of a kind to tell anything", answered, refused, failed)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	trace := func() (s string) {
		w := newWorld(5, nil)
		w.alter = func(a Action) Action { s += fmt.Sprintln(w.now, a); return a }
		for range 800 {
			w.step()
		}
		return s
	}
	if a, b := trace(), trace(); a != b || len(a) < 1000 {
		t.Fatal("the same events gave other actions")
	}
}

// The checker itself: each rule broken on purpose in what the module says must be found.
func TestCheckerFindsBrokenRules(t *testing.T) {
	// Long: a table with one entry for each rule.
	broken := map[int]func(w *world) func(Action) Action{
		1: func(w *world) func(Action) Action { // a final answer goes astray
			n := 0
			return func(a Action) Action {
				if a.Verb == Refuse || a.Verb == Fail {
					if n++; n == 3 {
						return Action{Verb: Log}
					}
				}
				return a
			}
		},
		2: func(w *world) func(Action) Action { // an unsafe failure is told as a refusal
			return func(a Action) Action {
				if a.Verb == Fail {
					a.Verb = Refuse
				}
				return a
			}
		},
		3: func(w *world) func(Action) Action { // a send goes to a replica that was told of as unfit
			return func(a Action) Action {
				if a.Verb == Send {
					for _, e := range w.list {
						if at, unfit := w.chk.Unfit(e.Replica); unfit && w.now > at+w.cfg.DrainGrace {
							a.Replica = e.Replica
						}
					}
				}
				return a
			}
		},
		5: func(w *world) func(Action) Action { // every answer is marked whole, every failure is an answer
			return func(a Action) Action {
				if a.Verb == Fail {
					a.Verb = Answer
				}
				a.Complete = a.Verb == Answer
				return a
			}
		},
		6: func(w *world) func(Action) Action { // the budget in force is smaller than the one that was told
			cfg := w.cfg
			cfg.ExtraFree, cfg.ExtraPerRequest, cfg.ExtraWindow = 0, 0.001, 2
			w.chk = checker.New(cfg)
			w.chk.Event(w.now, Event{Kind: ListChanged, Full: true, List: w.list})
			return func(a Action) Action { return a }
		},
	}
	for rule, how := range broken {
		found := false
		for seed := uint64(0); seed < 30 && !found; seed++ {
			w := newWorld(seed, nil)
			w.alter = how(w)
			for range 1200 {
				w.step()
			}
			for _, f := range w.chk.Faults() {
				found = found || f.Rule == rule
			}
		}
		if !found {
			t.Errorf("rule %d was broken on purpose and no fault was found", rule)
		}
	}
}
