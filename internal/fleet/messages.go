package fleet

import (
	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/voters"
)

// handleMessage handles a message and returns whether a step should follow soon. A message that can't be decoded is ignored: its
// sender has another version, or is no co-ordinator.
func (n *Node) handleMessage(received mailbox.Message) (soon bool) {
	if voters.IsMessage(received.Raw) {
		n.handleVoterMessage(received.From, received.Raw)
		return true
	}
	m, err := peerproto.Decode(received.Raw)
	if err != nil {
		n.messageLog.info(n, received.At, "a message from "+received.From+" is ignored: "+err.Error())
		return false
	}
	switch m := m.(type) {
	case peerproto.Poll:
		return m.From == received.From && n.handlePoll(received.At, m)
	case peerproto.Reply:
		if m.From == received.From {
			n.handleReply(m)
		}
	case peerproto.SessionActions:
		if n.term != 0 && m.From == received.From && n.sessions != nil {
			n.sessions.HandleActions(m)
		}
	case peerproto.FileReport:
		if n.term != 0 {
			n.controllerInputs = append(n.controllerInputs, drainctl.MaintenanceFile{Limits: m.Limits, Requests: m.Requests})
		}
	}
	return true
}

// send sends a message without waiting for its delivery. A failure is only logged, because all messages are repeated.
func (n *Node) send(to string, m peerproto.Message) {
	raw, err := peerproto.Encode(m)
	if err == nil {
		err = n.member.Send(to, raw)
	}
	if err != nil {
		n.log.WithError(err).WithField("to", to).Debug("sending a message failed")
	}
}
