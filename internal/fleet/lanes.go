package fleet

import (
	"context"

	"birchcart/internal/fleet/lanepart"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/operator"
	"birchcart/internal/serve"
)

// openLanes begins the part in shedding load by lanes, if the section is there. It comes before the exchange runs.
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

// receive takes a message of another co-ordinator, from any goroutine. Those of lanes wait for no step of the node.
func (n *Node) receive(from string, raw []byte) {
	if len(raw) > 0 && raw[0] == lanepart.MessageKind {
		if p := n.laneReceiver.Load(); p != nil { // else this one has no lanes
			p.Receive(from, raw)
		}
		return
	}
	n.mailbox.Put(mailbox.Message{From: from, Raw: raw, At: n.now()})
}

// warnHeaderChange says what of a section that was read again waits for the next start.
func (n *Node) warnHeaderChange(was, is *operator.Lanes) {
	if was != nil && is != nil && was.Header != is.Header {
		n.log.WithField("header", was.Header).Warn("marks are read from the header of the start; another one in the file counts at the next")
	}
}
