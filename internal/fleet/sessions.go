package fleet

import (
	"context"
	"time"

	"birchcart/internal/fleet/sessionpart"
	"birchcart/internal/operator"
	"birchcart/internal/serve"
)

// openSessions starts the handling of pinned sessions if the operators' file has a section of them. It must be called before the
// exchange runs.
func (n *Node) openSessions(ctx context.Context, s serve.Host) {
	section := s.Operator.Fleet.Sessions
	if section == nil {
		return
	}
	n.sessions = sessionpart.New(sessionpart.Host{
		Name: n.name, StartTime: n.start, State: n.state, Exchange: s.Exchange, Controller: n.controller,
		Names: s.Config.Names, Policy: &s.Config.Policy, Log: n.log,
		Section: n.section, Send: n.send, Wake: n.wakeUp, Warn: n.warn,
	}, section)
	n.done.Go(func() { n.sessions.Run(ctx) })
}

// sessionTurn returns the input of a step of the pinned sessions.
func (n *Node) sessionTurn(now time.Duration) sessionpart.Turn {
	return sessionpart.Turn{
		Now: now, Index: n.index, Epoch: n.epoch, AgreedTime: n.agreedTime, Leader: n.leader, Term: n.term, Group: n.raftGroup,
		LeaseUntil: n.leaseUntil(now), CaughtUp: n.caughtUp,
	}
}

// leaseUntil returns the local monotonic time until which this co-ordinator's lease is valid; 0 if it holds none.
func (n *Node) leaseUntil(now time.Duration) time.Duration {
	if n.view.CutOff(now) || n.halted {
		return 0
	}
	return n.view.LeaseUntil()
}

// section returns the fleet section in force. Any goroutine may call it.
func (n *Node) section() *operator.Fleet {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.file.Fleet
}

// warn logs a line about messages of other co-ordinators or about the disk, at a limited rate.
func (n *Node) warn(text string) { n.messageLog.info(n, n.now(), text) }
