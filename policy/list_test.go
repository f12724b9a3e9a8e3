package policy

import (
	"fmt"
	"testing"
)

func TestNothingIsSentToDrainingOrRemovedReplicas(t *testing.T) {
	r := newRig(t, settings(Safe))
	_, parts, acts := r.ask(1, 3)
	first := of(Send, acts)[0].Replica
	var list []Entry
	for id := uint64(1); id <= 4; id++ {
		e := Entry{Replica: id, Size: 1, State: Draining}
		if id == first {
			e.State = Removed
		}
		list = append(list, e)
	}
	r.do(Event{Kind: ListChanged, List: list})
	acts = append(r.end(parts[0], 0, first, ConnectionBroken), r.run(2.5)...) // neither a retry nor a second copy
	_, _, more := r.ask(1, 3)
	if s := of(Send, append(acts, more...)); len(s) > 0 {
		t.Fatalf("sent to a replica that drains or is gone: %+v", s)
	}
}

// A replica left out of a whole list is gone.
func TestNothingIsSentToAReplicaMissingFromAFullList(t *testing.T) {
	r := newRig(t, settings(Safe))
	r.do(Event{Kind: ListChanged, Full: true, List: []Entry{{Replica: 2, Size: 1}}})
	for range 8 {
		_, _, acts := r.ask(1, 3)
		for _, a := range of(Send, acts) {
			if a.Replica != 2 {
				t.Fatalf("sent to replica %d, which the whole list no longer has", a.Replica)
			}
		}
	}
}

// Decisions on a part look at its holders alone: ten times as many replicas, as many times the co-ordinators,
// and the actions are the same.
func TestActionsDoNotDependOnTheFleetSize(t *testing.T) {
	trace := func(times int) (s string) {
		cfg := settings(Safe)
		cfg.Cells, cfg.Coordinators, cfg.Classes[0].Need, cfg.Classes[0].Floor = 2*times, 8*times, 0.75, 0.75
		r := newRig(t, cfg)
		var list []Entry
		for id := range uint64(8 * times) {
			list = append(list, Entry{Replica: 1 + id, Cell: int(id / 4)})
		}
		r.do(Event{Kind: ListChanged, Full: true, List: list})
		for i := range 300 {
			r.next += 100
			ev := []Event{{Kind: QueryArrived, Query: r.next, Group: r.next, Tenant: -1, Deadline: r.now + 3, Count: 4}}
			for j := range uint64(4) {
				ev = append(ev, Event{Kind: PartArrived, Part: r.next + 1 + j, Group: r.next, Shard: int(j % 2), Weight: 0.25})
			}
			acts := r.do(ev...)
			s += fmt.Sprintln(acts)
			for k, a := range of(Send, acts) {
				if o := OK; (i+k)%7 > 0 {
					if a.Replica == 3 {
						o = Failed
					}
					s += fmt.Sprintln(r.end(a.Part, 0, a.Replica, o))
				}
			}
			s += fmt.Sprintln(r.run(0.05))
		}
		return s
	}
	if a, b := trace(1), trace(10); a != b || len(a) < 10000 {
		t.Fatal("the same events at the holders gave other actions in the larger fleet")
	}
}

// Entries that come twice, or late with an older start, neither end the time of the cold guard nor double a holder.
func TestRepeatedOrOldListEntriesAreHarmless(t *testing.T) {
	r := newRig(t, settings(Safe))
	fresh, old := Entry{Replica: 1, Started: r.now - 0.1}, Entry{Replica: 1, Started: r.now - 50}
	r.do(Event{Kind: ListChanged, List: []Entry{fresh, fresh, old, {Replica: 2}, {Replica: 2}, {Replica: 9, State: Removed}}})
	if x := r.p.replicas[1]; x.started != fresh.Started {
		t.Fatalf("an old entry set the last start to %v", x.started)
	}
	if n := len(r.p.holders(0)); n != 4 {
		t.Fatalf("%d holders of four", n)
	}
	if _, cold := r.p.coldRate(r.p.replicas[1]); !cold {
		t.Fatal("an old entry ended the time of the cold guard")
	}
}

// Guards against growth on days when replicas are replaced all the time. One with an attempt out, and one that is
// back soon, keeps its records.
func TestReplacedReplicasAreForgotten(t *testing.T) {
	r := newRig(t, settings(Safe))
	for id := uint64(10); id < 60; id++ {
		for _, state := range []Readiness{Up, Draining, Removed} {
			r.do(Event{Kind: ListChanged, List: []Entry{{Replica: id, Size: 1, State: state}}})
		}
		r.now++
	}
	if n := len(r.p.list); n > 4+9 || len(r.p.replicas) != n {
		t.Errorf("%d replicas are held, %d by number", n, len(r.p.replicas))
	}
	_, parts, acts := r.ask(1, 3)
	out := of(Send, acts)[0].Replica
	away := func(state Readiness) {
		r.do(Event{Kind: ListChanged, List: []Entry{{Replica: out, Size: 1, State: state}}})
	}
	was := r.p.replicas[out]
	away(Removed)
	r.now++
	away(Up)
	away(Removed)
	r.now += 2 * historySpan
	away(Removed)
	if r.p.replicas[out] != was {
		t.Error("a replica that is back, or has an attempt out, was forgotten")
	}
	r.end(parts[0], 0, out, OK)
	away(Removed)
	if r.p.replicas[out] != nil {
		t.Error("it is held with nothing out")
	}
}
