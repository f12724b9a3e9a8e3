package fleet

import (
	"context"
	"time"

	"birchcart/internal/fleet/mailbox"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/raftgroup"
)

// run is the node's loop: it makes a step soon after each event, and every StepInterval without one.
func (n *Node) run(ctx context.Context) {
	tick := time.NewTicker(StepInterval)
	defer tick.Stop()
	soon := time.NewTimer(0)
	defer soon.Stop()
	last := time.Time{}
	for {
		wantsStep, ended := n.awaitEvent(ctx, soon.C, tick.C)
		if ended {
			return
		}
		if !wantsStep { // the event is handled at the next tick
			continue
		}
		switch passed := time.Since(last); {
		case n.drains.Busy():
		case passed < MinStepInterval:
			soon.Reset(MinStepInterval - passed)
		default:
			n.step()
			last = time.Now()
		}
		n.closeReady()
	}
}

// awaitEvent waits for the next event and handles it. It returns whether a step should follow soon, and whether ctx has ended.
func (n *Node) awaitEvent(ctx context.Context, soon, tick <-chan time.Time) (wantsStep, ended bool) {
	var changes <-chan raftgroup.State
	var updates <-chan struct{}
	if n.raftGroup != nil {
		changes, updates = n.raftGroup.Changes(), n.raftGroup.Updates()
	}
	select {
	case <-ctx.Done():
		return false, true
	case m := <-n.mailbox.Messages:
		return n.handleMessages(m), false
	case s := <-changes:
		n.handleLeadership(s)
	case <-updates:
	case r := <-n.proposalResults:
		n.handleProposalResult(r)
	case v := <-n.verifications:
		n.answerPolls(v)
		return v.urgent || n.pollQueue.Urgent(n.index), false
	case <-n.voterClosed:
		n.handleVoterClosed()
	case r := <-n.voterResults:
		n.handleVoterResult(r)
	case <-n.drainApplied:
		n.drains.Applied()
	case err := <-n.drains.Saved():
		n.drains.HandleSaved(err)
	case <-n.wake:
	case <-soon:
	case <-tick:
	}
	return true, false
}

// handleMessages handles a message and all others that are queued, so that one step covers them.
func (n *Node) handleMessages(m mailbox.Message) (wantsStep bool) {
	n.mailbox.Release(m)
	wantsStep = n.handleMessage(m)
	for range len(n.mailbox.Messages) {
		select {
		case m := <-n.mailbox.Messages:
			n.mailbox.Release(m)
			wantsStep = n.handleMessage(m) || wantsStep
		default: // the queue dropped some since len was read
		}
	}
	return wantsStep
}

// handleProposalResult passes the outcome of a proposal on to the drain controller.
func (n *Node) handleProposalResult(r drainctl.ProposalResult) {
	n.proposalsInFlight--
	if r.ID != "" {
		n.controllerInputs = append(n.controllerInputs, r)
	}
}

// handleVoterClosed detaches the closed voter; from now on this co-ordinator follows without a vote.
func (n *Node) handleVoterClosed() {
	n.raftGroup, n.closingVoter = nil, false
	n.state.Attach(nil)
	n.archiveLog()
}

// closeReady lets AwaitReady return once the agreed state is known and applied here and the endpoint list has arrived.
func (n *Node) closeReady() {
	if !n.readyClosed && n.caughtUp && n.hasReplicas && !n.drains.Busy() {
		n.readyClosed = true
		close(n.ready)
	}
}

// handleLeadership handles a change of the raft group's leadership.
func (n *Node) handleLeadership(s raftgroup.State) {
	switch {
	case s.Failed != nil:
		n.log.WithError(s.Failed).Error("the voter failed and is closed until this co-ordinator is restarted; queries are still served")
		n.storeLost = true
		n.stepDown()
		n.closeVoter()
	case s.Leading:
		n.term = s.Term
		n.log.WithField("term", s.Term).Info("leads the raft group")
		n.controllerInputs = append(n.controllerInputs, drainctl.Elected{Term: s.Term, NodeName: n.name}, drainctl.MaintenanceFile{Limits: n.fileReport.Limits, Requests: n.fileReport.Requests})
		n.controllerFedAt, n.replicasFedAt = 0, time.Time{} // the next step feeds the list and the members at once
		clear(n.loads)
	default:
		n.stepDown()
	}
}
