package raftgroup

import (
	"github.com/hashicorp/raft"
)

// announce tells of elections, once what was committed before is applied.
func (g *Group) watchLeadership() {
	defer g.done.Done()
	leading, announced := false, false
	for {
		select {
		case <-g.stop:
			return
		case leading = <-g.leaderCh:
		}
		if !leading {
			if announced {
				g.publish(State{Term: g.raft.CurrentTerm()})
			}
			announced = false
			continue
		}
		for leading && !announced {
			term := g.raft.CurrentTerm()
			if err := g.raft.Barrier(BarrierTimeout).Error(); err == nil && g.raft.CurrentTerm() == term {
				announced = true
				g.publish(State{Leading: true, Term: term})
			} else if g.raft.State() != raft.Leader {
				break // the end is on its way
			}
		}
	}
}

func (g *Group) publish(s State) {
	for {
		select {
		case g.stateChanges <- s:
			return
		default:
		}
		select {
		case <-g.stateChanges:
		default:
		}
	}
}

// fail takes this voter out of the raft group: its store cannot be relied on.
func (g *Group) fail(err error) {
	g.mu.Lock()
	first := g.failed == nil
	if first {
		g.failed = err
	}
	g.mu.Unlock()
	if !first {
		return
	}
	g.log.Errorf("out of the raft group until opened again: %v", err)
	g.publish(State{Failed: err})
	go func() {
		if <-g.ready; g.raft != nil {
			g.shutdown()
		}
	}()
}

// observe notes which voters answer this leader. It is called by raft and keeps nothing.
func (g *Group) observe(o *raft.Observation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch d := o.Data.(type) {
	case raft.FailedHeartbeatObservation:
		g.unresponsive[string(d.PeerID)] = true
	case raft.ResumedHeartbeatObservation:
		delete(g.unresponsive, string(d.PeerID))
	case raft.LeaderObservation:
		clear(g.unresponsive)
	}
	return false
}
