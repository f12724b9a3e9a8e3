package waveplan

import (
	"time"

	"birchcart/internal/fleet/maintenance"
)

// FromState is the problem of what waits in an agreed state at an agreed time: the asked items whose earliest time has
// come and whose latest has not passed. What is granted, told, out or back, or settles after its grant's end, has its place
// in the first wave and is taken to come back; what is cold outside the plan is no holder in the first wave; what is gone
// or unknown outside the plan is none in any.
func FromState(s *maintenance.State, now time.Duration) Problem {
	p, _ := fromState(s, now)
	return p
}

// fromState gives beside the problem the item of each ask.
func fromState(s *maintenance.State, now time.Duration) (Problem, []maintenance.Item) {
	var p Problem
	p.Limits, _ = s.Limits()
	load, at, known := s.ObservedLoad()
	p.Load, p.LoadKnown = load, known && now-at <= p.Limits.MaxLoadAge
	requests := map[string]maintenance.Request{}
	for _, r := range s.Requests().Requests {
		requests[r.ID] = r
	}
	busy := map[string]bool{}
	var items []maintenance.Item
	for _, it := range s.Items() {
		switch it.Phase {
		case maintenance.Granted, maintenance.Acknowledged, maintenance.Out, maintenance.Returned:
			busy[it.Machine] = true
		case maintenance.Expired, maintenance.Withdrawn:
			// Only one that was granted settles, and only a while: until then it may still go.
			if it.Fence > 0 && now < it.EndedAt+p.Limits.SettleTime {
				busy[it.Machine] = true
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
			Serving: up || busy[m.Name], InProgress: busy[m.Name], Cold: replica && up && now < m.Started+p.Limits.WarmUp,
		})
	}
	return p, items
}

// Order says who to grant next, in this order, each if maintenance.State.MayGrant allows it then: the machines of the first wave of
// a plan around what is out now, then those of the next ones. It waits for no wave: asked anew when a machine is done, it
// puts in that machine's place what the plan of that moment holds. Of several requests for one machine it names
// the first by class. Nothing while all grants are paused. It costs a plan, so it is worth asking only after the
// state or the time for a wait has changed.
func Order(s *maintenance.State, now time.Duration) []maintenance.Item {
	if paused, _ := s.Paused(now); paused {
		return nil
	}
	p, items := fromState(s, now)
	first := make(map[string]int, len(items))
	for i, a := range p.Requests {
		if k, twice := first[a.Machine]; !twice || a.Class < p.Requests[k].Class {
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
