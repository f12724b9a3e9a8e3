package fleet

import (
	"time"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/raftgroup"
)

// closeVoter closes the local voter. Once it is closed, the agreed state is updated from the leader's replies instead.
func (n *Node) closeVoter() {
	if n.closingVoter {
		return
	}
	n.closingVoter = true
	go func(group *raftgroup.Group) {
		if err := group.Close(); err != nil {
			n.log.WithError(err).Debug("closing the voter failed")
		}
		n.voterClosed <- struct{}{}
	}(n.raftGroup)
}

// stepDown ends this co-ordinator's leadership, if there is one, and tells the drain controller.
func (n *Node) stepDown() {
	if n.term != 0 {
		n.log.WithField("term", n.term).Info("leads no more")
	}
	n.term = 0
	n.pollQueue.Clear()
	n.controllerInputs = append(n.controllerInputs, drainctl.Deposed{})
}

// Drain transfers the leadership and announces that this co-ordinator leaves the fleet. Applied drains stay in force until Stop.
func (n *Node) Drain() {
	if n.disabled || n.isLeaving.Swap(true) {
		return
	}
	n.transferLeadership()
	if err := n.member.Leave(); err != nil {
		n.log.WithError(err).Debug("announcing the leave to the other members failed")
	}
}

// transferLeadership hands the leadership over to another voter, if this co-ordinator leads.
func (n *Node) transferLeadership() {
	group := n.state.Group()
	if group == nil {
		return
	}
	if err := group.TransferLeadership(); err != nil {
		n.log.WithError(err).Warn("the leadership could not be transferred")
	}
}

// Stop ends the loop and closes all that Start opened; it returns after StopTimeout at the latest.
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
		n.log.Warn("the fleet node did not stop in time")
	}
}
