package fleet

import (
	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/voters"
)

// handleMessage takes a message and says whether a step should follow soon. What can't be read is left out: its sender is of another
// version, or no co-ordinator.
func (n *Node) handleMessage(l mailbox.Message) (soon bool) {
	if voters.IsMessage(l.Raw) {
		n.handleVoterMessage(l.From, l.Raw)
		return true
	}
	m, err := peerproto.Decode(l.Raw)
	if err != nil {
		n.messageLog.info(n, l.At, "a message of "+l.From+" is left out: "+err.Error())
		return false
	}
	switch m := m.(type) {
	case peerproto.Poll:
		return m.From == l.From && n.handlePoll(l.At, m)
	case peerproto.Reply:
		if m.From == l.From {
			n.handleReply(m)
		}
	case peerproto.SessionActions:
		if n.term != 0 && m.From == l.From && n.sessions != nil {
			n.sessions.HandleActions(m)
		}
	case peerproto.FileReport:
		if n.term != 0 {
			n.controllerInputs = append(n.controllerInputs, drainctl.MaintenanceFile{Limits: m.Limits, Requests: m.Requests})
		}
	}
	return true
}

// send sends a message; nobody waits for it, and a lost one comes again.
func (n *Node) send(to string, m peerproto.Message) {
	raw, err := peerproto.Encode(m)
	if err == nil {
		err = n.member.Send(to, raw)
	}
	if err != nil {
		n.log.WithError(err).WithField("to", to).Debug("a message was not sent")
	}
}
