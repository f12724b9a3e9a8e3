package waveplan

import (
	"time"

	"birchcart/internal/fleet/maintenance"
)

// FromState returns the planning problem of an agreed state at an agreed time. It contains the pending items whose earliest time
// has come and whose latest time has not passed. Machines that are granted, acknowledged, out or returned, or that settle after
// their grant has ended, take a place in the first wave and are expected to return. Machines that are cold outside the plan are
// no holders in the first wave, and machines that are gone or unknown outside the plan are no holders in any wave.
func FromState(s *maintenance.State, now time.Duration) Problem {
	p, _ := fromState(s, now)
	return p
}

// fromState returns the problem and the item of each of its requests.
func fromState(s *maintenance.State, now time.Duration) (Problem, []maintenance.Item) {
	var p Problem
	p.Limits, _ = s.Limits()
	load, at, known := s.ObservedLoad()
	p.Load, p.LoadKnown = load, known && now-at <= p.Limits.MaxLoadAge
	requests := map[string]maintenance.Request{}
	for _, r := range s.Requests().Requests {
		requests[r.ID] = r
	}
	inProgress := map[string]bool{}
	var items []maintenance.Item
	for _, it := range s.Items() {
		switch it.Phase {
		case maintenance.Granted, maintenance.Acknowledged, maintenance.Out, maintenance.Returned:
			inProgress[it.Machine] = true
		case maintenance.Expired, maintenance.Withdrawn:
			// Only an item that was granted settles, and only for SettleTime: until then its machine may still go out.
			if it.Fence > 0 && now < it.EndedAt+p.Limits.SettleTime {
				inProgress[it.Machine] = true
			}
		case maintenance.Pending:
			r, standing := requests[it.Request]
			if !standing || now < r.Earliest || r.Latest > 0 && now > r.Latest {
				continue
			}
			class := Routine
			switch {
			case it.PassedOver >= p.Limits.MaxPassedOver:
				class = Reserved
			case r.Priority >= maintenance.Urgent:
				class = Urgent
			}
			items = append(items, it)
			p.Requests = append(p.Requests, Request{it.Machine, class})
		}
	}
	for _, m := range s.Machines() {
		replica, up := m.Kind == maintenance.Replica, m.Status == maintenance.Up
		p.Machines = append(p.Machines, Machine{
			Name: m.Name, Zone: m.Zone, Replica: replica, Voter: m.Voter, Cell: m.Cell, Size: m.Size,
			Serving: up || inProgress[m.Name], InProgress: inProgress[m.Name], Cold: replica && up && now < m.Started+p.Limits.WarmUp,
		})
	}
	return p, items
}

// Order returns the items to grant next, in this order, each if maintenance.State.MayGrant allows it: the machines of the first
// wave of a plan around what is out now, then those of the following waves. It does not wait for a wave to end: called again when
// a machine is done, it fills that machine's place from a new plan. Of several requests for one machine it returns the first by
// class. It returns nothing while all grants are paused. Each call computes a plan, so call it only after the state has changed
// or a waiting time has passed.
func Order(s *maintenance.State, now time.Duration) []maintenance.Item {
	if paused, _ := s.Paused(now); paused {
		return nil
	}
	p, items := fromState(s, now)
	first := make(map[string]int, len(items))
	for i, a := range p.Requests {
		if k, duplicate := first[a.Machine]; !duplicate || a.Class < p.Requests[k].Class {
			first[a.Machine] = i
		}
	}
	plan := Plan(p)
	out := make([]maintenance.Item, 0, len(items))
	for _, w := range plan.Waves {
		for _, name := range w {
			out = append(out, items[first[name]])
		}
	}
	return out
}
