package fleet

import (
	"context"

	"birchcart/internal/fleet/lanepart"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/operator"
	"birchcart/internal/serve"
)

// openLanes starts load shedding by lanes if the operators' file has a lanes section. It must be called before the exchange runs.
func (n *Node) openLanes(ctx context.Context, s serve.Host) {
	if n.file.Fleet.Lanes == nil {
		return
	}
	n.lanes = lanepart.New(lanepart.Host{
		Name: n.name, Zone: zone(s), StartTime: n.start, State: n.state, Names: s.Config.Names, Policy: &s.Config.Policy,
		Log: n.log, MayPropose: n.controller.Time, Members: n.member.Members, Send: n.member.Send, Wake: n.wakeUp,
	}, n.file)
	n.lanes.Attach(s.Exchange)
	n.laneReceiver.Store(n.lanes)
	n.done.Go(func() { n.lanes.Run(ctx) })
}

// receive handles a message from another co-ordinator; any goroutine may call it. Messages of lanes are handled at once, without
// waiting for a step of the node.
func (n *Node) receive(from string, raw []byte) {
	if len(raw) > 0 && raw[0] == lanepart.MessageKind {
		if p := n.laneReceiver.Load(); p != nil { // nil: lanes are not configured here
			p.Receive(from, raw)
		}
		return
	}
	n.mailbox.Put(mailbox.Message{From: from, Raw: raw, At: n.now()})
}

// warnHeaderChange warns that a changed lane header in a reloaded file takes effect only at the next start.
func (n *Node) warnHeaderChange(before, after *operator.Lanes) {
	if before != nil && after != nil && before.Header != after.Header {
		n.log.WithField("header", before.Header).Warn("lane marks are still read from the header configured at start; the changed header takes effect at the next start")
	}
}
