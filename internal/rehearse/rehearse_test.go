package rehearse

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"birchcart/internal/config"
	"birchcart/internal/settings"
	"birchcart/policy"
)

func shape() policy.Config {
	return policy.Config{
		Seed: 7, Resolution: 0.005, Coordinators: 3, Ordinal: 1,
		Classes: []policy.Class{
			{Promise: 1, GiveUp: 3, LateValue: 0.1, Points: 1, Effect: policy.Safe, Need: 0.6, Floor: 0.6, PartialValue: 0.9},
			{Promise: 1, GiveUp: 3, LateValue: 0.3, Points: 2, Effect: policy.Unsafe, Need: 1, Floor: 1},
			{Promise: 1, GiveUp: 3, Points: 1, Effect: policy.Safe, Need: 1, Floor: 1, FollowUp: 2},
		},
		MaxAttempts: 4, MaxOpen: 400, Cancel: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: 0.5,
		Cells: 4, Reach: 2, Shards: 8, MaxPartsPerCall: 1, ColdCapacity: 0.2, WarmUp: 10, OverloadMultiple: 2, OverloadWindow: 1,
	}
}

// world drives a live instance with seeded traffic, failures, silence, restarts and drains, and a watch beside it.
type world struct {
	rng     *rand.Rand
	live    *policy.Policy
	watch   *Watch
	now     float64
	id      uint64
	timer   float64
	due     []pending
	out     map[[2]uint64]uint64 // part and attempt: the replica
	count   map[uint64]uint64    // attempts of a part
	query   map[uint64]*asked    // open
	partOf  map[uint64]*asked
	history []string
}

type pending struct {
	at float64
	ev policy.Event
}

type asked struct {
	id, group uint64
	class     int
	in        []int // shards
	step      int
	due       float64
}

func newWorld(seed uint64, cfg policy.Config, watch *Watch) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), live: policy.New(cfg), watch: watch, now: 1000, id: 100,
		out: map[[2]uint64]uint64{}, count: map[uint64]uint64{}, query: map[uint64]*asked{}, partOf: map[uint64]*asked{},
	}
	list := policy.Event{Kind: policy.ListChanged, Full: true, Tenant: -1}
	for i := range 12 {
		list.List = append(list.List, policy.Entry{Replica: uint64(i + 1), SharedID: uint64(i + 1), Cell: i % 4, Size: 1})
	}
	w.turn(list)
	return w
}

func (w *world) next() uint64 { w.id++; return w.id }

func (w *world) turn(events ...policy.Event) []policy.Action {
	acts := w.live.Handle(w.now, events)
	if w.watch != nil {
		w.watch.Turn(w.now, events, acts)
	}
	for i := range acts {
		w.do(&acts[i])
	}
	return acts
}

func (w *world) do(a *policy.Action) {
	w.history = append(w.history, fmt.Sprintf("%.3f %+v", w.now, *a))
	switch a.Verb {
	case policy.Timer:
		w.timer = w.now + a.After
	case policy.Send:
		no := w.count[a.Part]
		w.count[a.Part]++
		w.out[[2]uint64{a.Part, no}] = a.Replica
		took, outcome := 0.02+0.06*w.rng.ExpFloat64(), policy.OK
		switch x := w.rng.Float64(); {
		case a.Replica == 3 && x < 0.7 || x < 0.01:
			outcome = policy.Failed
		case a.Replica == 5 && x < 0.5 || x < 0.01: // silent
			took, outcome = 3, policy.TimedOut
		case x < 0.02:
			outcome = policy.ConnectionBroken
		case x < 0.03:
			outcome = policy.Unreachable
		}
		if a.AttemptTimeout > 0 && took > a.AttemptTimeout {
			took, outcome = a.AttemptTimeout, policy.TimedOut
		}
		w.later(took, policy.Event{Kind: policy.AttemptEnded, Part: a.Part, Attempt: int(no), Replica: a.Replica, Outcome: outcome, Latency: took, Tenant: -1})
	case policy.Cancel:
		w.later(0.005, policy.Event{Kind: policy.AttemptEnded, Part: a.Part, Attempt: a.Attempt, Replica: w.out[[2]uint64{a.Part, uint64(a.Attempt)}], Outcome: policy.Cancelled, Tenant: -1})
	case policy.Answer:
		if q := w.query[a.Query]; q.class == 2 && q.step == 1 {
			q.step = 2
			for i := range 2 {
				id := w.next()
				w.partOf[id] = q
				w.later(0, policy.Event{Kind: policy.PartArrived, Part: id, Group: q.group, Class: q.class, Shard: q.in[i], Weight: 0.5, Tenant: -1})
			}
			return
		}
		delete(w.query, a.Query)
	case policy.Refuse, policy.Fail:
		delete(w.query, a.Query)
	}
}

func (w *world) later(wait float64, ev policy.Event) {
	w.due = append(w.due, pending{w.now + wait, ev})
}

// run plays n turns.
func (w *world) run(n int) {
	for i := range n {
		w.now += 0.005
		var events []policy.Event
		if i%400 == 399 { // a restart, now and then a drain
			e := policy.Entry{Replica: 1 + w.rng.Uint64N(12), Size: 1, Started: w.now}
			e.SharedID, e.Cell = e.Replica, int(e.Replica-1)%4
			if w.rng.IntN(3) == 0 {
				e.State = policy.Draining
			}
			events = append(events, policy.Event{Kind: policy.ListChanged, Tenant: -1, List: []policy.Entry{e}})
		}
		slices.SortStableFunc(w.due, func(a, b pending) int {
			switch {
			case a.at < b.at:
				return -1
			case a.at > b.at:
				return 1
			}
			return 0
		})
		for len(w.due) > 0 && w.due[0].at <= w.now {
			ev := w.due[0].ev
			w.due = w.due[1:]
			if ev.Kind == policy.AttemptEnded {
				key := [2]uint64{ev.Part, uint64(ev.Attempt)}
				if _, open := w.out[key]; !open {
					continue
				}
				delete(w.out, key)
			}
			if ev.Kind == policy.PartArrived {
				if q := w.partOf[ev.Part]; w.query[q.id] == nil {
					continue
				}
			}
			events = append(events, ev)
		}
		if w.rng.Float64() < 0.15 {
			events = append(events, w.ask(w.rng.IntN(3), w.rng.Float64() < 0.1)...)
		}
		for _, q := range w.open() {
			if w.now > q.due {
				events = append(events, policy.Event{Kind: policy.ClientLeft, Query: q.id, Tenant: -1})
				delete(w.query, q.id)
			}
		}
		if w.timer > 0 && w.now >= w.timer {
			w.timer = 0
			events = append(events, policy.Event{Kind: policy.TimerFired})
		}
		if len(events) > 0 {
			w.turn(events...)
		}
	}
}

func (w *world) open() []*asked {
	var out []*asked
	for _, q := range w.query {
		out = append(out, q)
	}
	slices.SortFunc(out, func(a, b *asked) int { return int(a.id) - int(b.id) })
	return out
}

func (w *world) ask(class int, retry bool) []policy.Event {
	q := &asked{id: w.next(), group: w.next(), class: class, step: 1, due: w.now + 1 + 2*w.rng.Float64()}
	w.query[q.id] = q
	n := 5
	events := []policy.Event{{Kind: policy.QueryArrived, Query: q.id, Group: q.group, Class: class, Tenant: -1, Deadline: q.due, Count: n, Retry: retry}}
	for i := range n {
		id := w.next()
		w.partOf[id] = q
		q.in = append(q.in, (i+int(q.id))%8)
		events = append(events, policy.Event{Kind: policy.PartArrived, Part: id, Group: q.group, Class: class, Shard: q.in[i], Weight: 0.2, Tenant: -1})
	}
	return events
}

// The same settings differ in nothing, however long it goes on, and hold nothing that has ended.
func TestSameSettingsCountNothing(t *testing.T) {
	for seed := range uint64(4) {
		w := newWorld(seed, shape(), New(shape()))
		w.run(20000)
		c := w.watch.Counts()
		if c.Differ > 0 || c.By != [kinds]uint64{} || c.Queries < 2000 {
			t.Fatalf("seed %d: %+v", seed, c)
		}
		if held, most := w.watch.held(), 6*len(w.query)+len(w.out); held > most {
			t.Fatalf("seed %d: %d held, %d are open or out", seed, held, most)
		}
	}
}

// Other settings count, are bounded in what they hold, and change nothing of the live decisions, byte for byte. Each
// query counts once.
func TestOtherSettingsChangeNothingLive(t *testing.T) {
	other := shape()
	other.SecondCopies, other.RetryAfter, other.Cancel, other.MaxAttempts, other.OverloadMultiple = false, false, false, 2, 0.5
	other.Classes = slices.Clone(other.Classes)
	other.Classes[0].Need, other.Classes[0].Floor = 1, 1
	with := newWorld(3, shape(), New(other))
	with.run(20000)
	without := newWorld(3, shape(), nil)
	without.run(20000)
	if !slices.Equal(with.history, without.history) {
		t.Fatal("the live actions are not the same with a watch beside them")
	}
	c := with.watch.Counts()
	sum := uint64(0)
	for k, n := range c.By {
		if Kind(k) != ListCall {
			sum += n
		}
	}
	if c.Differ == 0 || c.Differ != sum || c.Differ > c.Queries {
		t.Fatalf("%+v: %d by kind", c, sum)
	}
	if held, most := with.watch.held(), 6*len(with.query)+len(with.out); held > most {
		t.Fatalf("%d held, %d are open or out", held, most)
	}
	if n := with.watch.decide.View(0, 0, 5).InFlight; n > len(with.out) {
		t.Fatalf("the second instance has %d attempts out, the live one %d", n, len(with.out))
	}
}

// A tie that chance breaks otherwise is no decision: with another seed alone the first differences are ties.
func TestTiesAreToldApart(t *testing.T) {
	other := shape()
	other.Seed++
	w := newWorld(1, shape(), New(other))
	w.turn(w.ask(0, false)...)
	c := w.watch.Counts()
	if c.Differ == 0 || c.By[Tie] != c.Differ {
		t.Fatalf("%+v", c)
	}
}

// Each kind is provoked once, by one setting and one short script.
func TestEachKind(t *testing.T) {
	one := func(w *world, class int) uint64 {
		before := w.id
		w.turn(w.ask(class, false)...)
		return before + 1
	}
	quiet := func(w *world, span float64) { // time passes and nothing comes back
		for end := w.now + span; w.now < end; {
			w.now += 0.01
			w.turn(policy.Event{Kind: policy.TimerFired})
		}
	}
	back := func(w *world, o policy.Outcome, took float64) { // all that is out ends
		keys := [][2]uint64{}
		for k := range w.out {
			keys = append(keys, k)
		}
		slices.SortFunc(keys, func(a, b [2]uint64) int { return slices.Compare(a[:], b[:]) })
		w.now += 0.005
		for _, k := range keys {
			ev := policy.Event{Kind: policy.AttemptEnded, Part: k[0], Attempt: int(k[1]), Replica: w.out[k], Outcome: o, Latency: took, Tenant: -1}
			delete(w.out, k)
			w.turn(ev)
		}
	}
	for name, c := range map[string]struct {
		set    func(*policy.Config)
		script func(*world)
		want   Kind
	}{
		"a cold replica is spared": {func(c *policy.Config) { c.OverloadMultiple, c.WarmUp = 0.001, 1000 }, func(w *world) {
			list := policy.Event{Kind: policy.ListChanged, Full: true, Tenant: -1} // warm by the live settings
			for i := range 4 {
				list.List = append(list.List, policy.Entry{Replica: uint64(i + 1), Cell: i, Size: 1, Started: w.now - 20})
			}
			w.turn(list)
			one(w, 1)
		}, Held},
		"another holder": {func(c *policy.Config) { c.OverloadMultiple, c.WarmUp = 0.001, 1000 }, func(w *world) {
			w.turn(policy.Event{Kind: policy.ListChanged, Full: true, Tenant: -1, List: []policy.Entry{
				{Replica: 1, Size: 1, Started: w.now - 20}, {Replica: 2, Cell: 1, Size: 1}, {Replica: 3, Cell: 2, Size: 1}, {Replica: 4, Cell: 3, Size: 1}}})
			for range 8 { // till the live ones choose the young one
				one(w, 1)
			}
		}, Replica},
		"no second copy": {func(c *policy.Config) { c.SecondCopies = false }, func(w *world) { one(w, 0); quiet(w, 0.9) }, Copy},
		"no cancel":      {func(c *policy.Config) { c.Cancel = false }, func(w *world) { one(w, 0); back(w, policy.OK, 0.1) }, Cancel},
		"a sooner answer": {func(c *policy.Config) { c.Classes[1].Need, c.Classes[1].Floor = 0.5, 0.5 }, func(w *world) {
			one(w, 1)
			back(w, policy.OK, 0.1)
		}, Answer},
		"no time to come back": {func(c *policy.Config) { c.RetryAfter = false }, func(w *world) { one(w, 2); quiet(w, 1.2) }, Refusal},
		"a refusal is a failure": {func(c *policy.Config) { c.Classes[2].Effect = policy.Unsafe; c.SecondCopies = false }, func(w *world) {
			one(w, 2)
			back(w, policy.TimedOut, 0.1)
			quiet(w, 3)
		}, Failure},
		"time of an attempt": {func(c *policy.Config) { c.Classes[0].Promise = 0.9 }, func(w *world) {
			for range 40 { // answers that show queues
				one(w, 0)
				quiet(w, 0.05)
				back(w, policy.OK, 0.35)
			}
		}, Time},
		"the list is asked for": {func(c *policy.Config) { c.MustSubscribe = true }, func(w *world) { one(w, 0) }, ListCall},
	} {
		t.Run(name, func(t *testing.T) {
			other := shape()
			other.Classes = slices.Clone(other.Classes)
			c.set(&other)
			w := newWorld(5, shape(), New(other))
			c.script(w)
			if n := w.watch.Counts(); n.By[c.want] == 0 {
				t.Errorf("%+v, want one of %s", n, c.want)
			}
		})
	}
}

func TestFitsNamesThePlace(t *testing.T) {
	base := func() *config.Config {
		return &config.Config{Policy: shape(), Names: &settings.Names{Classes: []string{"a", "b", "c"}, Tenants: []string{"t"}, Zones: []string{"x", "y"}}}
	}
	if err := Fits(base(), base()); err != nil {
		t.Fatal(err)
	}
	for place, change := range map[string]func(*config.Config){
		"settings.classes":                  func(c *config.Config) { c.Names.Classes = []string{"a", "c", "b"} },
		"settings.tenants":                  func(c *config.Config) { c.Names.Tenants = nil },
		"settings.failure_domains":          func(c *config.Config) { c.Names.Zones = []string{"x"} },
		"settings.family_info.cells":        func(c *config.Config) { c.Policy.Cells = 5 },
		"settings.family_info.reach":        func(c *config.Config) { c.Policy.Reach = 3 },
		"settings.family_info.shards":       func(c *config.Config) { c.Policy.Shards = 9 },
		"settings.family_info.follow_up[2]": func(c *config.Config) { c.Policy.Classes[2].FollowUp = 0 },
	} {
		other := base()
		change(other)
		if err := Fits(base(), other); err == nil || !strings.Contains(err.Error(), place+":") {
			t.Errorf("%s: %v", place, err)
		}
	}
}
