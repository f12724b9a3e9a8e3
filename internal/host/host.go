// Package host keeps the instances of one process apart: by number, one policy each.
package host

import (
	"fmt"

	"birchcart/internal/wire"
	"birchcart/policy"
)

type instance struct {
	decide *policy.Policy
	events []policy.Event
	turn   uint64 // the last turn in which it had an event
}

// Host holds the live instances.
type Host struct {
	live  map[int]*instance
	order []int
	turn  uint64
}

// New returns an empty host.
func New() *Host { return &Host{live: map[int]*instance{}} }

// Turn delivers one batch and calls act for each action, instances in the order of their first event.
func (h *Host) Turn(now float64, items []wire.Item, act func(instance int, a *policy.Action)) error {
	h.turn++
	h.order = h.order[:0]
	for i := range items {
		it := &items[i]
		in := h.live[it.Instance]
		switch it.Op {
		case wire.Start:
			in = &instance{decide: policy.New(it.Config)}
			h.live[it.Instance] = in
		case wire.Killed:
			delete(h.live, it.Instance)
			continue
		default:
			if in == nil {
				return fmt.Errorf("event for instance %d, which was never started", it.Instance)
			}
			in.events = append(in.events, it.Event)
		}
		if in.turn != h.turn {
			in.turn = h.turn
			h.order = append(h.order, it.Instance)
		}
	}
	for _, n := range h.order {
		in := h.live[n]
		if in == nil || in.turn != h.turn {
			continue
		}
		in.turn = 0 // a number that came twice, by a restart, is served once
		actions := in.decide.Handle(now, in.events)
		for i := range actions {
			act(n, &actions[i])
		}
		clear(in.events)
		in.events = in.events[:0]
	}
	return nil
}
