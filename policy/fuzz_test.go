package policy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"birchcart/internal/checker"
	. "birchcart/policy"
)

// simulation feeds a policy with random legal events: it ends attempts in random orders, changes the replica list and
// advances the clock. It models no servers and measures nothing.
type simulation struct {
	rng             *rand.Rand
	cfg             Config
	now             float64
	checker         *checker.Checker
	policy          *Policy
	pending         []pendingEvent
	lastID          uint64
	secondSteps     []followUp
	alter           func(Action) Action // observes each action and may replace it, to break a rule on purpose
	decorate        func(*Event)        // adds fields to each event before it is handled; nil for none
	list            []Entry
	failingClass    map[uint64]int  // by replica: the class whose parts it fails or never answers
	crashesReplicas map[uint64]bool // queries that crash each replica that takes one of their parts
	drained         []uint64        // replicas drained in a wave, to be removed soon
	lastReplicaID   uint64          // id of the newest replacement
}

type pendingEvent struct {
	at    float64
	event Event
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
	if rng.IntN(3) == 0 { // no tenants, a list that must be subscribed to, and in half of the cases no second copies
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

func newSimulation(seed uint64, alter func(Action) Action) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{rng: rng, cfg: randomConfig(rng), now: 1000, alter: alter}
	sim.checker, sim.policy = checker.New(sim.cfg), New(sim.cfg)
	n := 2 + rng.IntN(10)
	if sim.cfg.Coordinators >= 20 {
		n = sim.cfg.Cells * 3
	}
	sim.failingClass, sim.crashesReplicas, sim.lastReplicaID = map[uint64]int{}, map[uint64]bool{}, 10_000_000
	for i := range uint64(n) {
		sim.list = append(sim.list, Entry{Replica: 10 + i, SharedID: 10 + i, Cell: int(i) % sim.cfg.Cells, Zone: int(i) % 3})
		if rng.IntN(5) == 0 {
			sim.failingClass[10+i] = rng.IntN(len(sim.cfg.Classes))
		}
	}
	sim.handle([]Event{{Kind: ListChanged, Full: true, Stale: true, List: append([]Entry(nil), sim.list...)}})
	return sim
}

func (sim *simulation) handle(events []Event) {
	for i := range events {
		if sim.decorate != nil {
			sim.decorate(&events[i])
		}
		sim.checker.Event(sim.now, events[i])
	}
	for _, a := range sim.policy.Handle(sim.now, events) {
		if sim.alter != nil {
			a = sim.alter(a)
		}
		sim.checker.Action(sim.now, a)
		switch a.Verb {
		case Send:
			sim.scheduleOutcome(a)
		case Cancel:
			for i := range sim.pending {
				if e := &sim.pending[i]; e.event.Kind == AttemptEnded && e.event.Part == a.Part && e.event.Attempt == a.Attempt && sim.rng.IntN(5) > 0 {
					e.at, e.event.Outcome = sim.now, Cancelled
				}
			}
		case Timer:
			sim.pending = append(sim.pending, pendingEvent{sim.now + a.After, Event{Kind: TimerFired, Handle: a.Handle}})
		case Answer:
			if q := sim.checker.Query(a.Query); q != nil && !q.Ended && q.Step == 2 {
				sim.secondSteps = append(sim.secondSteps, followUp{a.Query, a.Query})
			}
		}
	}
}

// scheduleOutcome chooses how and when an attempt ends: mostly with an answer, sometimes with another outcome, sometimes
// only when its client stops waiting.
func (sim *simulation) scheduleOutcome(a Action) {
	pt := sim.checker.Part(a.Part)
	took, outcome := 0.02+0.2*sim.rng.ExpFloat64(), OK
	switch sim.rng.IntN(10) {
	case 0:
		outcome = Outcome(1 + sim.rng.IntN(7))
	case 1:
		took *= 20
	case 2:
		took, outcome = 0.001, Outcome(1+sim.rng.IntN(7))
	}
	if class, fails := sim.failingClass[a.Replica]; fails && pt.Query.Class == class && sim.rng.IntN(5) > 0 {
		took, outcome = []float64{0.005, 60}[int(a.Replica)%2], Failed // at once, or never before the deadline
	}
	if sim.crashesReplicas[pt.Query.ID] { // and breaks the other attempts in flight there
		took, outcome = 0.02, ConnectionBroken
		for i := range sim.pending {
			if e := &sim.pending[i]; e.event.Kind == AttemptEnded && e.event.Replica == a.Replica && e.at > sim.now+took {
				e.at, e.event.Outcome = sim.now+took, ConnectionBroken
			}
		}
	}
	at := pt.Query.Due
	if a.AttemptTimeout > 0 {
		at = min(at, sim.now+a.AttemptTimeout)
	}
	if sim.now+took >= at {
		took, outcome = at-sim.now, TimedOut
	}
	sim.pending = append(sim.pending, pendingEvent{sim.now + took, Event{
		Kind: AttemptEnded, Part: a.Part, Attempt: len(pt.Attempts) - 1, Replica: a.Replica, Outcome: outcome, Latency: took,
	}})
}

func (sim *simulation) step() {
	// Long: the sections of one tick depend on each other in this order.
	sim.now += 0.005
	var events []Event
	for _, s := range sim.secondSteps {
		n := 1 + sim.rng.IntN(sim.cfg.Shards/2)
		for range n {
			sim.lastID++
			events = append(events, Event{Kind: PartArrived, Part: sim.lastID, Group: s.group, Shard: sim.rng.IntN(sim.cfg.Shards), Weight: 1 / float64(n)})
		}
	}
	sim.secondSteps = sim.secondSteps[:0]
	remaining := sim.pending[:0]
	for _, e := range sim.pending {
		if e.at > sim.now {
			remaining = append(remaining, e)
			continue
		}
		events = append(events, e.event)
	}
	sim.pending = remaining
	for _, id := range sim.checker.Overdue(sim.now) { // their order does not matter, since there should be none
		events = append(events, Event{Kind: ClientLeft, Query: id})
	}
	if sim.rng.IntN(60) == 0 {
		i := sim.rng.IntN(len(sim.list))
		e := &sim.list[i]
		e.State = Readiness(sim.rng.IntN(3))
		if sim.rng.IntN(2) > 0 {
			e.State, e.Started = Up, sim.now-sim.rng.Float64()
		}
		events = append(events, Event{Kind: ListChanged, List: []Entry{*e}})
	}
	if sim.rng.IntN(300) == 0 { // a wave: some replicas drain, are removed soon, and are replaced by cold ones
		ev := Event{Kind: ListChanged}
		for i := range sim.list {
			if e := &sim.list[i]; e.State == Up && sim.rng.IntN(5) == 0 {
				e.State = Draining
				sim.drained = append(sim.drained, e.Replica)
				ev.List = append(ev.List, *e)
			}
		}
		events = append(events, ev)
	}
	if len(sim.drained) > 0 && sim.rng.IntN(100) == 0 {
		ev := Event{Kind: ListChanged}
		for i := range sim.list {
			e := &sim.list[i]
			if !slices.Contains(sim.drained, e.Replica) {
				continue
			}
			e.State = Removed
			ev.List = append(ev.List, *e, *e) // each removal is listed twice, and the entries are shuffled
			sim.lastReplicaID++
			e.Replica, e.State, e.Started = sim.lastReplicaID, Up, sim.now-sim.rng.Float64()
			ev.List = append(ev.List, *e)
		}
		sim.rng.Shuffle(len(ev.List), func(i, j int) { ev.List[i], ev.List[j] = ev.List[j], ev.List[i] })
		sim.drained = nil
		events = append(events, ev)
	}
	for range sim.rng.IntN(3) * sim.rng.IntN(2) {
		sim.lastID++
		sim.crashesReplicas[sim.lastID] = sim.rng.IntN(50) == 0
		q, class := sim.lastID, sim.rng.IntN(len(sim.cfg.Classes))
		n := 1 + sim.rng.IntN(6)
		tenant := sim.rng.IntN(3) - 1
		if len(sim.cfg.Tenants) == 0 {
			tenant = -1
		}
		events = append(events, Event{
			Kind: QueryArrived, Query: q, Group: q, Class: class, Tenant: tenant, Retry: sim.rng.IntN(4) == 0, Deadline: sim.now + 0.1 + 3*sim.rng.Float64(), Count: n,
		})
		for i := range n {
			sim.lastID++
			events = append(events, Event{Kind: PartArrived, Part: sim.lastID, Group: q, Class: class, Shard: (i + int(q)) % sim.cfg.Shards, Weight: 1 / float64(n)})
		}
	}
	sim.handle(events)
}

func TestRulesUnderRandomEvents(t *testing.T) {
	answered, refused, failed := 0, 0, 0
	for seed := range uint64(120) {
		sim := newSimulation(seed, func(a Action) Action {
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
			sim.step()
		}
		if len(sim.checker.Faults()) > 0 {
			t.Fatalf("seed %d: %d faults, the first: %s\nsettings %+v", seed, len(sim.checker.Faults()), sim.checker.Faults()[0], sim.cfg)
		}
	}
	if answered < 1000 || refused < 100 || failed < 100 {
		t.Fatalf("%d answered, %d refused, %d failed: too few of one kind to cover the rules", answered, refused, failed)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	trace := func() (s string) {
		sim := newSimulation(5, nil)
		sim.alter = func(a Action) Action { s += fmt.Sprintln(sim.now, a); return a }
		for range 800 {
			sim.step()
		}
		return s
	}
	if a, b := trace(), trace(); a != b || len(a) < 1000 {
		t.Fatal("the same events gave different actions, or too few of them")
	}
}

// Tests the checker itself: it must find each rule that is broken on purpose in the actions of the policy.
func TestCheckerFindsBrokenRules(t *testing.T) {
	// Long: a table with one entry for each rule.
	broken := map[int]func(sim *simulation) func(Action) Action{
		1: func(sim *simulation) func(Action) Action { // a final action is lost
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
		2: func(sim *simulation) func(Action) Action { // a failure of an unsafe query is reported as a refusal
			return func(a Action) Action {
				if a.Verb == Fail {
					a.Verb = Refuse
				}
				return a
			}
		},
		3: func(sim *simulation) func(Action) Action { // a part is sent to a replica that is listed as unfit
			return func(a Action) Action {
				if a.Verb == Send {
					for _, e := range sim.list {
						if at, unfit := sim.checker.Unfit(e.Replica); unfit && sim.now > at+sim.cfg.DrainGrace {
							a.Replica = e.Replica
						}
					}
				}
				return a
			}
		},
		5: func(sim *simulation) func(Action) Action { // every answer is marked complete, every failure becomes an answer
			return func(a Action) Action {
				if a.Verb == Fail {
					a.Verb = Answer
				}
				a.Complete = a.Verb == Answer
				return a
			}
		},
		6: func(sim *simulation) func(Action) Action { // the checker enforces a smaller budget than the policy was given
			cfg := sim.cfg
			cfg.ExtraFree, cfg.ExtraPerRequest, cfg.ExtraWindow = 0, 0.001, 2
			sim.checker = checker.New(cfg)
			sim.checker.Event(sim.now, Event{Kind: ListChanged, Full: true, List: sim.list})
			return func(a Action) Action { return a }
		},
	}
	for rule, breakRule := range broken {
		found := false
		for seed := uint64(0); seed < 30 && !found; seed++ {
			sim := newSimulation(seed, nil)
			sim.alter = breakRule(sim)
			for range 1200 {
				sim.step()
			}
			for _, f := range sim.checker.Faults() {
				found = found || f.Rule == rule
			}
		}
		if !found {
			t.Errorf("rule %d was broken on purpose, but the checker found no fault", rule)
		}
	}
}
