package fleet

import (
	"context"
	"time"

	"birchcart/internal/fleet/mailbox"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/raftgroup"
)

// run makes a step soon after each event, and else every StepInterval.
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
		if !wantsStep { // it waits for the next tick
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

// awaitEvent handles the next event and says whether a step should follow it soon.
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

// handleMessages takes a message and all that came meanwhile, for one step.
func (n *Node) handleMessages(m mailbox.Message) (wantsStep bool) {
	n.mailbox.Release(m)
	wantsStep = n.handleMessage(m)
	for range len(n.mailbox.Messages) {
		select {
		case m := <-n.mailbox.Messages:
			n.mailbox.Release(m)
			wantsStep = n.handleMessage(m) || wantsStep
		default: // some were dropped meanwhile
		}
	}
	return wantsStep
}

func (n *Node) handleProposalResult(r drainctl.ProposalResult) {
	n.proposalsInFlight--
	if r.ID != "" {
		n.controllerInputs = append(n.controllerInputs, r)
	}
}

// handleVoterClosed follows without a vote from now on.
func (n *Node) handleVoterClosed() {
	n.raftGroup, n.closingVoter = nil, false
	n.state.Attach(nil)
	n.archiveLog()
}

// closeReady lets AwaitReady return once what was agreed is known here, applied, and the endpoint list has come.
func (n *Node) closeReady() {
	if !n.readyClosed && n.caughtUp && n.hasReplicas && !n.drains.Busy() {
		n.readyClosed = true
		close(n.ready)
	}
}

// handleLeadership takes the raft group's word of who leads.
func (n *Node) handleLeadership(s raftgroup.State) {
	switch {
	case s.Failed != nil:
		n.log.WithError(s.Failed).Error("this co-ordinator's vote is out of the raft group until it is started again; queries are served as before")
		n.storeLost = true
		n.stepDown()
		n.closeVoter()
	case s.Leading:
		n.term = s.Term
		n.log.WithField("term", s.Term).Info("leads the raft group")
		n.controllerInputs = append(n.controllerInputs, drainctl.Elected{Term: s.Term, NodeName: n.name}, drainctl.MaintenanceFile{Limits: n.fileReport.Limits, Requests: n.fileReport.Requests})
		n.controllerFedAt, n.replicasFedAt = 0, time.Time{} // list and members are told at once
		clear(n.loads)
	default:
		n.stepDown()
	}
}
