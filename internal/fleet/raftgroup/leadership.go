package raftgroup

import (
	"github.com/hashicorp/raft"
)

// watchLeadership publishes changes of leadership. It reports that this voter leads only after all earlier committed entries
// are applied.
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
				break // raft will send false on leaderCh
			}
		}
	}
}

// publish sends a state change and drops the oldest ones if the channel is full.
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

// fail takes this voter out of the raft group because its store is no longer reliable.
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
	g.log.Errorf("the store failed, this voter leaves the raft group until it is opened again: %v", err)
	g.publish(State{Failed: err})
	go func() {
		if <-g.ready; g.raft != nil {
			g.shutdown()
		}
	}()
}

// observe records which voters respond to this leader. Raft calls it as an observer's filter; it returns false so that no
// observation is queued.
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
