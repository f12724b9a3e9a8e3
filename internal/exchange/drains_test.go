package exchange

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"birchcart/policy"
)

// targetStates returns the states of the targets that the replica side was given.
func (s *fixture) targetStates() string {
	var out []string
	for _, t := range s.replicas.targets {
		out = append(out, t.Name+" "+stateNames[t.State])
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// Drains apply to listed replicas, to full lists and to changes of the list, and never turn a replica up that discovery drains.
// When a drain is lifted the replica is as discovery lists it, with the same start time, so that it does not look restarted.
func TestDrainOverlayOnListsAndChanges(t *testing.T) {
	s := newFixture(t, nil)
	var lists [][]Endpoint
	applied := 0
	s.e.WatchReplicas(func(list []Endpoint, _ bool) { lists = append(lists, list) }, func() { applied++ })
	var events []policy.Event
	s.e.Observe(func(_ float64, in []policy.Event, _ []policy.Action) { events = append(events, in...) })
	started := time.Now().Add(-time.Hour)
	r0, r1 := Endpoint{Name: "r0", Address: "a", Cell: 0, Size: 2, Started: started}, Endpoint{Name: "r1", Address: "b", Cell: 1, Size: 1}
	apply := func(changes ...func()) string {
		for _, do := range changes {
			do()
		}
		s.e.turn()
		return s.targetStates()
	}
	list := func(full bool, entries ...Endpoint) func() {
		return func() { s.e.UpdateReplicas(ReplicaList{Full: full, Entries: entries}) }
	}
	drains := func(names ...string) func() { return func() { s.e.SetDrains(names) } }
	as := func(entry Endpoint, state policy.Readiness) Endpoint { entry.State = state; return entry }
	for i, step := range []struct{ got, want string }{
		{apply(list(true, r0, r1)), "[r0 up r1 up]"},
		{apply(drains("r0", "r7")), "[r0 draining r1 up]"},
		{apply(list(true, r0, r1)), "[r0 draining r1 up]"},
		{apply(list(false, r0)), "[r0 draining r1 up]"},
		{apply(list(false, as(r1, policy.Draining))), "[r0 draining r1 draining]"},
		{apply(drains("r1")), "[r0 up r1 draining]"},
		{apply(drains()), "[r0 up r1 draining]"}, // discovery still drains r1
		{apply(list(false, as(r1, policy.Removed)), drains("r1")), "[r0 up r1 removed]"},
		{apply(list(false, r1)), "[r0 up r1 draining]"},
		{apply(drains(), drains("r0")), "[r0 draining r1 up]"},
		{apply(drains("r0")), "[r0 draining r1 up]"},
		{apply(list(true, r1)), "[r0 removed r1 up]"},
		{apply(drains(), list(true, r0, r1)), "[r0 up r1 up]"},
	} {
		if step.got != step.want {
			t.Errorf("step %d: %s, not %s", i, step.got, step.want)
		}
	}
	for _, ev := range events {
		for _, e := range ev.List {
			if e.Replica == s.e.replicasByName["r0"].Replica && e.State != policy.Removed && (e.Size != 2 || e.Started != s.e.policyTime(started) || e.Cell != 0) {
				t.Errorf("r0 is reported to the policy as %+v", e)
			}
		}
		if ev.Kind == policy.ListChanged && (ev.Stale || !ev.Full && len(ev.List) == 0) {
			t.Errorf("%+v", ev)
		}
	}
	if applied != 8 {
		t.Errorf("%d sets were applied", applied)
	}
	if last := lists[len(lists)-1]; len(lists) != 8 || !reflect.DeepEqual(last, []Endpoint{r0, r1}) {
		t.Errorf("%d lists were reported, the last %v", len(lists), last)
	}
}

// A drained replica gets no new parts, and the query that has a part in flight there still gets its value. Once the drain is
// lifted the replica gets parts again.
func TestDrainedReplicaGetsNoNewParts(t *testing.T) {
	s := newFixture(t, nil)
	s.e.WatchReplicas(nil, nil)
	load := s.e.Load()
	s.e.UpdateReplicas(ReplicaList{Full: true, Entries: []Endpoint{{Name: "r0", Address: "a", Size: 1}, {Name: "r1", Address: "b", Cell: 1, Size: 1}}})
	s.e.turn()
	var first Reply
	s.submit("first", 0, 0, 1, 2, 3).Reply = func(r Reply) { first = r }
	out := s.takeSent()
	if load.inFlight != 4 {
		t.Errorf("%d attempts in flight", load.inFlight)
	}
	s.e.SetDrains([]string{"r0"})
	for i := range 20 {
		s.submit(fmt.Sprint("q", i), 0, 0, 1, 2, 3)
	}
	more := s.takeSent()
	for _, a := range more {
		if s.replicas.targets[a.replica].Name == "r0" {
			t.Fatalf("%s went to the drained replica", a.ID)
		}
	}
	if len(more) == 0 {
		t.Fatal("nothing was sent at all")
	}
	for _, a := range append(out, more...) {
		s.succeed(a, 1, "v")
	}
	s.e.turn()
	if first.Status != Served || !first.Complete {
		t.Errorf("%+v", first)
	}
	if mean, ok := load.Mean(); load.inFlight != 0 || !ok || mean <= 0 {
		t.Errorf("%d attempts in flight, %v on average", load.inFlight, mean)
	}
	s.e.SetDrains(nil)
	to := map[string]bool{}
	for i := range 20 {
		s.submit(fmt.Sprint("l", i), 0, 0, 1, 2, 3)
		for _, a := range s.takeSent() {
			to[s.replicas.targets[a.replica].Name] = true
			s.succeed(a, 1, "v")
		}
	}
	if !to["r0"] {
		t.Error("the replica gets no parts after its drain was lifted")
	}
}

// Without WatchReplicas, SetDrains causes no event and no update and stores nothing, and withDrains allocates nothing.
func TestSetDrainsWithoutWatchReplicasHasNoEffect(t *testing.T) {
	s := newFixture(t, nil)
	before := len(s.replicas.log)
	s.e.Observe(func(_ float64, in []policy.Event, _ []policy.Action) {
		for _, ev := range in {
			if ev.Kind != policy.TimerFired { // timers of the policy may fire on a busy machine
				t.Errorf("%+v", ev)
			}
		}
	})
	s.e.SetDrains([]string{"r0"})
	s.e.turn()
	if len(s.replicas.log) != before || s.e.drainOverlay != nil {
		t.Error("SetDrains had an effect")
	}
	if n := testing.AllocsPerRun(10, func() { s.e.withDrains(ReplicaList{}); s.e.load.add(s.e.turnAt, 1) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
