package instances

import (
	"testing"

	"birchcart/internal/wire"
	"birchcart/policy"
)

func start(n int) wire.Item {
	return wire.Item{Op: wire.Start, Instance: n, Config: policy.Config{
		Seed: uint64(n), Resolution: 0.005, Coordinators: 1, Cells: 1, Reach: 1, MaxPartsPerCall: 1,
		Classes: []policy.Class{{Promise: 1, GiveUp: 2, Need: 1, Floor: 1}},
	}}
}

func deliver(n int, ev policy.Event) wire.Item {
	return wire.Item{Op: wire.Deliver, Instance: n, Event: ev}
}

func list(n int, replica uint64) wire.Item {
	return deliver(n, policy.Event{Kind: policy.ListChanged, Full: true, List: []policy.Entry{{Replica: replica}}})
}

func ask(n int) []wire.Item {
	return []wire.Item{
		deliver(n, policy.Event{Kind: policy.QueryArrived, Query: 1, Group: 1, Tenant: -1, Deadline: 12, Count: 1}),
		deliver(n, policy.Event{Kind: policy.PartArrived, Part: 2, Group: 1, Weight: 1}),
	}
}

func turn(t *testing.T, h *Registry, now float64, items []wire.Item) map[int][]policy.Action {
	t.Helper()
	got := map[int][]policy.Action{}
	if err := h.Turn(now, items, func(n int, a *policy.Action) { got[n] = append(got[n], *a) }); err != nil {
		t.Fatal(err)
	}
	return got
}

// A restart within one batch: what came for the old life is not answered, the new one knows only its own.
func TestKilledAndStartedInOneBatch(t *testing.T) {
	h := New()
	turn(t, h, 10, []wire.Item{start(1), list(1, 50), start(2), list(2, 60)})
	items := append(ask(1), wire.Item{Op: wire.Killed, Instance: 1}, start(1), list(1, 51))
	got := turn(t, h, 10.1, append(items, ask(2)...))
	for _, a := range got[1] {
		if a.Verb == policy.Send {
			t.Fatalf("the new life sent a part of the old one: %+v", a)
		}
	}
	sent := 0
	for _, a := range got[2] {
		if a.Verb == policy.Send && a.Replica == 60 {
			sent++
		}
	}
	if sent != 1 {
		t.Fatalf("the other instance did %+v", got[2])
	}
	for _, a := range turn(t, h, 10.2, ask(1))[1] {
		if a.Verb == policy.Send && a.Replica != 51 {
			t.Fatalf("the new life knows the list of the old: %+v", a)
		}
	}
}

func TestEventForNoInstance(t *testing.T) {
	if err := New().Turn(1, ask(4), func(int, *policy.Action) {}); err == nil {
		t.Fatal("an event for an instance that never started was taken")
	}
}
