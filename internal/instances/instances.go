// Package instances keeps the instances of one process apart: by number, one policy each.
package instances

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

// Registry holds the live instances.
type Registry struct {
	live  map[int]*instance
	order []int
	turn  uint64
}

// New returns an empty registry.
func New() *Registry { return &Registry{live: map[int]*instance{}} }

// Turn delivers one batch and calls act for each action, instances in the order of their first event.
func (r *Registry) Turn(now float64, items []wire.Item, act func(instance int, a *policy.Action)) error {
	r.turn++
	r.order = r.order[:0]
	for i := range items {
		it := &items[i]
		in := r.live[it.Instance]
		switch it.Op {
		case wire.Start:
			in = &instance{decide: policy.New(it.Config)}
			r.live[it.Instance] = in
		case wire.Killed:
			delete(r.live, it.Instance)
			continue
		default:
			if in == nil {
				return fmt.Errorf("event for instance %d, which was never started", it.Instance)
			}
			in.events = append(in.events, it.Event)
		}
		if in.turn != r.turn {
			in.turn = r.turn
			r.order = append(r.order, it.Instance)
		}
	}
	for _, n := range r.order {
		in := r.live[n]
		if in == nil || in.turn != r.turn {
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
