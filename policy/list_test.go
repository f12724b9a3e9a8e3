package policy

import (
	"fmt"
	"testing"
)

func TestNothingIsSentToDrainingOrRemovedReplicas(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	_, parts, acts := r.submit(1, 3)
	first := withVerb(Send, acts)[0].Replica
	var list []Entry
	for id := uint64(1); id <= 4; id++ {
		e := Entry{Replica: id, Size: 1, State: Draining}
		if id == first {
			e.State = Removed
		}
		list = append(list, e)
	}
	r.handle(Event{Kind: ListChanged, List: list})
	acts = append(r.endAttempt(parts[0], 0, first, ConnectionBroken), r.advance(2.5)...) // neither a retry nor a second copy
	_, _, later := r.submit(1, 3)
	if s := withVerb(Send, append(acts, later...)); len(s) > 0 {
		t.Fatalf("sent to a draining or removed replica: %+v", s)
	}
}

// A replica that is missing from a full list counts as removed.
func TestNothingIsSentToAReplicaMissingFromAFullList(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	r.handle(Event{Kind: ListChanged, Full: true, List: []Entry{{Replica: 2, Size: 1}}})
	for range 8 {
		_, _, acts := r.submit(1, 3)
		for _, a := range withVerb(Send, acts) {
			if a.Replica != 2 {
				t.Fatalf("sent to replica %d, which the full list no longer has", a.Replica)
			}
		}
	}
}

// Decisions on a part depend on its holders only: with ten times as many replicas and ten times as many co-ordinators,
// the actions are the same.
func TestActionsDoNotDependOnTheFleetSize(t *testing.T) {
	trace := func(scale int) (s string) {
		cfg := testConfig(Safe)
		cfg.Cells, cfg.Coordinators, cfg.Classes[0].Need, cfg.Classes[0].Floor = 2*scale, 8*scale, 0.75, 0.75
		r := newRig(t, cfg)
		var list []Entry
		for id := range uint64(8 * scale) {
			list = append(list, Entry{Replica: 1 + id, Cell: int(id / 4)})
		}
		r.handle(Event{Kind: ListChanged, Full: true, List: list})
		for i := range 300 {
			r.nextID += 100
			ev := []Event{{Kind: QueryArrived, Query: r.nextID, Group: r.nextID, Tenant: -1, Deadline: r.now + 3, Count: 4}}
			for j := range uint64(4) {
				ev = append(ev, Event{Kind: PartArrived, Part: r.nextID + 1 + j, Group: r.nextID, Shard: int(j % 2), Weight: 0.25})
			}
			acts := r.handle(ev...)
			s += fmt.Sprintln(acts)
			for k, a := range withVerb(Send, acts) {
				if o := OK; (i+k)%7 > 0 {
					if a.Replica == 3 {
						o = Failed
					}
					s += fmt.Sprintln(r.endAttempt(a.Part, 0, a.Replica, o))
				}
			}
			s += fmt.Sprintln(r.advance(0.05))
		}
		return s
	}
	if a, b := trace(1), trace(10); a != b || len(a) < 10000 {
		t.Fatal("the same events at the holders gave different actions in the larger fleet, or too few of them")
	}
}

// Repeated entries, and late ones with an older start, neither end the time for which a replica counts as cold nor add a
// holder twice.
func TestRepeatedOrOldListEntriesAreHarmless(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	fresh, old := Entry{Replica: 1, Started: r.now - 0.1}, Entry{Replica: 1, Started: r.now - 50}
	r.handle(Event{Kind: ListChanged, List: []Entry{fresh, fresh, old, {Replica: 2}, {Replica: 2}, {Replica: 9, State: Removed}}})
	if rep := r.p.replicas[1]; rep.started != fresh.Started {
		t.Fatalf("an old entry set the replica's start to %v", rep.started)
	}
	if n := len(r.p.holders(0)); n != 4 {
		t.Fatalf("%d holders, want 4", n)
	}
	if _, cold := r.p.coldRate(r.p.replicas[1]); !cold {
		t.Fatal("an old entry ended the time for which the replica counts as cold")
	}
}

// Guards against unbounded memory on days when replicas are replaced all the time. A replica with an attempt in flight, and
// one that is listed again soon, keeps its records.
func TestReplacedReplicasAreForgotten(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	for id := uint64(10); id < 60; id++ {
		for _, state := range []Readiness{Up, Draining, Removed} {
			r.handle(Event{Kind: ListChanged, List: []Entry{{Replica: id, Size: 1, State: state}}})
		}
		r.now++
	}
	if n := len(r.p.list); n > 4+9 || len(r.p.replicas) != n {
		t.Errorf("%d replicas in the list, %d by id", n, len(r.p.replicas))
	}
	_, parts, acts := r.submit(1, 3)
	replicaID := withVerb(Send, acts)[0].Replica
	setState := func(state Readiness) {
		r.handle(Event{Kind: ListChanged, List: []Entry{{Replica: replicaID, Size: 1, State: state}}})
	}
	before := r.p.replicas[replicaID]
	setState(Removed)
	r.now++
	setState(Up)
	setState(Removed)
	r.now += 2 * historySpan
	setState(Removed)
	if r.p.replicas[replicaID] != before {
		t.Error("a replica that is listed again, or has an attempt in flight, was forgotten")
	}
	r.endAttempt(parts[0], 0, replicaID, OK)
	setState(Removed)
	if r.p.replicas[replicaID] != nil {
		t.Error("the removed replica is kept with nothing in flight")
	}
}
