package fleet

import (
	"time"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/raftgroup"
)

// closeVoter closes the own voter; from then on the leader's replies are applied here.
func (n *Node) closeVoter() {
	if n.closingVoter {
		return
	}
	n.closingVoter = true
	go func(group *raftgroup.Group) {
		if err := group.Close(); err != nil {
			n.log.WithError(err).Debug("the seat was closed")
		}
		n.voterClosed <- struct{}{}
	}(n.raftGroup)
}

func (n *Node) stepDown() {
	if n.term != 0 {
		n.log.WithField("term", n.term).Info("leads no more")
	}
	n.term = 0
	n.pollQueue.Clear()
	n.controllerInputs = append(n.controllerInputs, drainctl.Deposed{})
}

// Drain transfers the leadership and announces that this co-ordinator leaves. Drains that are applied stay until Stop.
func (n *Node) Drain() {
	if n.disabled || n.isLeaving.Swap(true) {
		return
	}
	n.transferLeadership()
	if err := n.member.Leave(); err != nil {
		n.log.WithError(err).Debug("the others are not told of the end")
	}
}

func (n *Node) transferLeadership() {
	group := n.state.Group()
	if group == nil {
		return
	}
	if err := group.TransferLeadership(); err != nil {
		n.log.WithError(err).Warn("the lead could not be handed over")
	}
}

// Stop ends the part, within StopTimeout.
func (n *Node) Stop() {
	if n.disabled || n.stop == nil {
		return
	}
	n.stop()
	end := make(chan struct{})
	go func() {
		defer close(end)
		n.done.Wait()
		n.close()
	}()
	select {
	case <-end:
	case <-time.After(StopTimeout):
		n.log.Warn("the fleet's part has not ended in time")
	}
}
