package exchange

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"birchcart/policy"
)

// states are those that the replica side has.
func (s *stand) states() string {
	var out []string
	for _, t := range s.p.targets {
		out = append(out, t.Name+" "+stateNames[t.State])
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

// Drains are laid over what is known, over whole lists and over changes; they lift nothing, and what they leave behind
// is what discovery has: the same start, so no new one.
func TestNarrow(t *testing.T) {
	s := newStand(t, nil)
	var told [][]Endpoint
	laid := 0
	s.e.WatchReplicas(func(list []Endpoint, _ bool) { told = append(told, list) }, func() { laid++ })
	var events []policy.Event
	s.e.Observe(func(_ float64, in []policy.Event, _ []policy.Action) { events = append(events, in...) })
	started := time.Now().Add(-time.Hour)
	zero, one := Endpoint{Name: "r0", Address: "a", Cell: 0, Size: 2, Started: started}, Endpoint{Name: "r1", Address: "b", Cell: 1, Size: 1}
	send := func(news ...func()) string {
		for _, do := range news {
			do()
		}
		s.e.turn()
		return s.states()
	}
	list := func(full bool, entries ...Endpoint) func() {
		return func() { s.e.UpdateReplicas(ReplicaList{Full: full, Entries: entries}) }
	}
	narrow := func(names ...string) func() { return func() { s.e.SetDrains(names) } }
	as := func(entry Endpoint, state policy.Readiness) Endpoint { entry.State = state; return entry }
	for i, step := range []struct{ got, want string }{
		{send(list(true, zero, one)), "[r0 up r1 up]"},
		{send(narrow("r0", "r7")), "[r0 draining r1 up]"},
		{send(list(true, zero, one)), "[r0 draining r1 up]"},
		{send(list(false, zero)), "[r0 draining r1 up]"},
		{send(list(false, as(one, policy.Draining))), "[r0 draining r1 draining]"},
		{send(narrow("r1")), "[r0 up r1 draining]"},
		{send(narrow()), "[r0 up r1 draining]"}, // discovery's own drain stays
		{send(list(false, as(one, policy.Removed)), narrow("r1")), "[r0 up r1 removed]"},
		{send(list(false, one)), "[r0 up r1 draining]"},
		{send(narrow(), narrow("r0")), "[r0 draining r1 up]"},
		{send(narrow("r0")), "[r0 draining r1 up]"},
		{send(list(true, one)), "[r0 removed r1 up]"},
		{send(narrow(), list(true, zero, one)), "[r0 up r1 up]"},
	} {
		if step.got != step.want {
			t.Errorf("step %d: %s, not %s", i, step.got, step.want)
		}
	}
	for _, ev := range events {
		for _, e := range ev.List {
			if e.Replica == s.e.replicasByName["r0"].Replica && e.State != policy.Removed && (e.Size != 2 || e.Started != s.e.decisionTime(started) || e.Cell != 0) {
				t.Errorf("r0 is told as %+v", e)
			}
		}
		if ev.Kind == policy.ListChanged && (ev.Stale || !ev.Full && len(ev.List) == 0) {
			t.Errorf("%+v", ev)
		}
	}
	if laid != 8 {
		t.Errorf("%d sets were laid", laid)
	}
	if last := told[len(told)-1]; len(told) != 8 || !reflect.DeepEqual(last, []Endpoint{zero, one}) {
		t.Errorf("told %d lists, the last %v", len(told), last)
	}
}

// What is drained gets nothing new, and its part that was out is answered.
func TestNarrowedGetsNothingNew(t *testing.T) {
	s := newStand(t, nil)
	s.e.WatchReplicas(nil, nil)
	load := s.e.Load()
	s.e.UpdateReplicas(ReplicaList{Full: true, Entries: []Endpoint{{Name: "r0", Address: "a", Size: 1}, {Name: "r1", Address: "b", Cell: 1, Size: 1}}})
	s.e.turn()
	var first Reply
	s.ask("first", 0, 0, 1, 2, 3).Reply = func(r Reply) { first = r }
	out := s.handle()
	if load.out != 4 {
		t.Errorf("%d parts out", load.out)
	}
	s.e.SetDrains([]string{"r0"})
	for i := range 20 {
		s.ask(fmt.Sprint("q", i), 0, 0, 1, 2, 3)
	}
	more := s.handle()
	for _, a := range more {
		if s.p.targets[a.replica].Name == "r0" {
			t.Fatalf("%s went to what is drained", a.ID)
		}
	}
	if len(more) == 0 {
		t.Fatal("nothing was sent at all")
	}
	for _, a := range append(out, more...) {
		s.hit(a, 1, "v")
	}
	s.e.turn()
	if first.Status != Served || !first.Complete {
		t.Errorf("%+v", first)
	}
	if mean, ok := load.Mean(); load.out != 0 || !ok || mean <= 0 {
		t.Errorf("%d parts out, %v on average", load.out, mean)
	}
	s.e.SetDrains(nil)
	to := map[string]bool{}
	for i := range 20 {
		s.ask(fmt.Sprint("l", i), 0, 0, 1, 2, 3)
		for _, a := range s.handle() {
			to[s.p.targets[a.replica].Name] = true
			s.hit(a, 1, "v")
		}
	}
	if !to["r0"] {
		t.Error("the lifted replica gets nothing")
	}
}

// Who never asked for it has no narrowing: no event, no update, nothing kept.
func TestNoNarrowing(t *testing.T) {
	s := newStand(t, nil)
	before := len(s.p.log)
	s.e.Observe(func(_ float64, in []policy.Event, _ []policy.Action) {
		for _, ev := range in {
			if ev.Kind != policy.TimerFired { // which come by time, on a busy machine now
				t.Errorf("%+v", ev)
			}
		}
	})
	s.e.SetDrains([]string{"r0"})
	s.e.turn()
	if len(s.p.log) != before || s.e.drainOverlay != nil {
		t.Error("something came of it")
	}
	if n := testing.AllocsPerRun(10, func() { s.e.withDrains(ReplicaList{}); s.e.load.change(s.e.turnAt, 1) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
