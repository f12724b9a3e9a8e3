package fleetsim

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

// leadTurn is a turn of the pure leader's step: it begins once the own copy has all that was agreed before the term.
func (n *node) leadTurn() {
	if n.v == nil || !n.v.leads {
		return
	}
	if !n.leads {
		if n.applied < n.v.started {
			return
		}
		n.leads = true
		n.stepLead(drainctl.Elected{Term: n.v.term, NodeName: n.name}, n.leadApplied())
	}
	var in []drainctl.Input
	if n.w.Now >= n.newsAt { // the members' news and the list are confirmed once a second
		n.newsAt = n.w.Now + time.Second
		in = append(in, n.members())
	}
	if len(in) > 0 && n.stuck == 0 { // discovery confirms its list, as long as its news arrives
		in = append(in, drainctl.ReplicaList{Replicas: n.w.lists.at(n.list)})
	}
	if n.asks != nil && n.asks != n.askedOf {
		n.askedOf = n.asks
		in = append(in, drainctl.MaintenanceFile{Limits: n.asks.Limits, Requests: n.asks.Asks})
	}
	n.stepLead(in...)
}

func (n *node) leadDown() {
	if n.leads {
		n.leads = false
		n.stepLead(drainctl.Deposed{})
	}
	n.proposed = nil
}

func (n *node) leadApplied() drainctl.Applied {
	return drainctl.Applied{State: n.book.out, Index: uint64(n.applied), Now: n.book.led.Now()}
}

func (n *node) polled(p peerproto.Poll) drainctl.Polled {
	if n.w.Loose.AnyClock {
		p.Wall = 0
	}
	return drainctl.Polled{From: p.From, Sequence: p.Sequence, Index: p.Index, Drains: p.Drains, Wall: p.Wall}
}

// gossipLag is how old the members' news is, and deadAfter how long a silent one takes to be counted as gone.
const (
	gossipLag = time.Second
	deadAfter = 4 * time.Second
)

// members is the gossip's news at this co-ordinator: whom nobody reaches is gone after a while.
func (n *node) members() drainctl.Membership {
	out := make([]drainctl.Member, 0, len(n.w.nodes))
	load := n.w.loadOfOne()
	for _, o := range n.w.nodes {
		m := drainctl.Member{Name: o.name, Zone: zone(o.id, n.w.s.Zones), Status: maintenance.Up, Started: clockwork.Epoch + o.started, Voter: o.v != nil,
			Load: load, LoadKnown: true, LoadAge: gossipLag}
		if !o.up && n.w.Now-o.downAt > deadAfter {
			m.Status, m.LoadKnown = maintenance.Gone, false
		}
		if n.w.cutOff(n.id, o.id) {
			m.Status, m.LoadKnown = maintenance.Unknown, false
		}
		out = append(out, m)
	}
	return drainctl.Membership{Members: out}
}

// loadOfOne: clients go to the co-ordinators whose processes are there.
func (w *World) loadOfOne() float64 {
	up := 0
	for _, n := range w.nodes {
		if n.up {
			up++
		}
	}
	return w.s.Load / float64(max(up, 1))
}

// cutOff says that no third co-ordinator hears the one and is heard by the other: its news does not come round.
func (w *World) cutOff(at, of int) bool {
	if w.links.open(of, at) {
		return false
	}
	for third := range w.nodes {
		if third != at && third != of && w.links.open(of, third) && w.links.open(third, at) {
			return false
		}
	}
	return true
}

func (n *node) stepLead(in ...drainctl.Input) {
	for _, o := range n.lead.Step(n.mono(), n.wall(), in) {
		if _, ok := o.(drainctl.TransferLeadership); ok {
			inc := n.inc
			n.w.After(0, func() {
				if n.inc == inc && n.runs() {
					n.handOver()
				}
			})
		}
		p, ok := o.(drainctl.Propose)
		if !ok {
			continue
		}
		raw, err := p.Command.Encode()
		if err != nil {
			n.w.fail(fmt.Errorf("%s proposes what can't be encoded: %w", n.name, err))
			return
		}
		n.propose(p.Command.ID, raw)
	}
	if err := n.lead.Check(); err != nil {
		n.w.fail(fmt.Errorf("lead of %s: %w", n.name, err))
	}
}

// propose puts a command into the own log, if it still leads, and sends it at once.
func (n *node) propose(id string, raw []byte) {
	v := n.v
	if v == nil || !v.leads {
		return
	}
	if n.full > 0 {
		n.depose()
		return
	}
	v.log = append(v.log, entry{v.term, raw})
	if n.proposed == nil {
		n.proposed = map[int]string{}
	}
	n.proposed[v.last()] = id
	if !n.flush {
		n.flush = true
		inc := n.inc
		n.w.After(0, func() {
			n.flush = false
			if n.inc == inc && n.runs() && n.v.leads {
				n.replicate()
				n.confirm()
			}
		})
	}
}

// ends tells the pure leader what came of its proposals up to the applied entry.
func (n *node) ends(from int) (in []drainctl.Input) {
	for i := from + 1; i <= n.applied; i++ {
		if id, ok := n.proposed[i]; ok {
			delete(n.proposed, i)
			in = append(in, drainctl.ProposalResult{ID: id, Err: n.w.results[i]})
		}
	}
	return in
}
