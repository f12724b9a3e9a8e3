package raftgroup

import (
	"github.com/hashicorp/raft"
)

// announce tells of elections, once what was committed before is applied.
func (c *Group) announce() {
	defer c.done.Done()
	leading, said := false, false
	for {
		select {
		case <-c.stop:
			return
		case leading = <-c.led:
		}
		if !leading {
			if said {
				c.say(State{Term: c.raft.CurrentTerm()})
			}
			said = false
			continue
		}
		for leading && !said {
			term := c.raft.CurrentTerm()
			if err := c.raft.Barrier(BarrierTimeout).Error(); err == nil && c.raft.CurrentTerm() == term {
				said = true
				c.say(State{Leading: true, Term: term})
			} else if c.raft.State() != raft.Leader {
				break // the end is on its way
			}
		}
	}
}

func (c *Group) say(s State) {
	for {
		select {
		case c.states <- s:
			return
		default:
		}
		select {
		case <-c.states:
		default:
		}
	}
}

// fail takes this voter out of the raft group: its store cannot be relied on.
func (c *Group) fail(err error) {
	c.mu.Lock()
	first := c.failed == nil
	if first {
		c.failed = err
	}
	c.mu.Unlock()
	if !first {
		return
	}
	c.log.Errorf("out of the raft group until opened again: %v", err)
	c.say(State{Failed: err})
	go func() {
		if <-c.ready; c.raft != nil {
			c.shutdown()
		}
	}()
}

// observe notes which voters answer this leader. It is called by raft and keeps nothing.
func (c *Group) observe(o *raft.Observation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch d := o.Data.(type) {
	case raft.FailedHeartbeatObservation:
		c.silent[string(d.PeerID)] = true
	case raft.ResumedHeartbeatObservation:
		delete(c.silent, string(d.PeerID))
	case raft.LeaderObservation:
		clear(c.silent)
	}
	return false
}
