package fleet

import (
	"time"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/raftgroup"
)

// giveUp closes the seat; from then on the words of the leader are applied here.
func (n *Node) giveUp() {
	if n.givingUp {
		return
	}
	n.givingUp = true
	go func(seat *raftgroup.Group) {
		if err := seat.Close(); err != nil {
			n.log.WithError(err).Debug("the seat was closed")
		}
		n.closed <- struct{}{}
	}(n.raftGroup)
}

func (n *Node) depose() {
	if n.term != 0 {
		n.log.WithField("term", n.term).Info("leads no more")
	}
	n.term = 0
	n.pollQueue.Clear()
	n.toLead = append(n.toLead, drainctl.Deposed{})
}

// Drain hands the lead over and says that this co-ordinator goes. What is laid stays laid until Stop.
func (n *Node) Drain() {
	if n.off || n.leaving.Swap(true) {
		return
	}
	n.handOver()
	if err := n.member.Leave(); err != nil {
		n.log.WithError(err).Debug("the others are not told of the end")
	}
}

func (n *Node) handOver() {
	seat := n.state.Group()
	if seat == nil {
		return
	}
	if err := seat.HandOver(); err != nil {
		n.log.WithError(err).Warn("the lead could not be handed over")
	}
}

// Stop ends the part, within StopTime.
func (n *Node) Stop() {
	if n.off || n.stop == nil {
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
	case <-time.After(StopTime):
		n.log.Warn("the fleet's part has not ended in time")
	}
}
