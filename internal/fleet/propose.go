package fleet

import (
	"errors"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/statemachine"
)

// propose submits a command to the raft group in a separate goroutine, which reports the outcome to the loop.
func (n *Node) propose(c statemachine.Command) {
	if n.raftGroup == nil || n.proposalsInFlight >= MaxProposalsInFlight {
		return
	}
	raw, err := c.Encode()
	if err != nil {
		n.log.WithError(err).Error("encoding a proposal failed")
		n.controllerInputs = append(n.controllerInputs, drainctl.ProposalResult{ID: c.ID, Err: err})
		return
	}
	n.proposalsInFlight++
	group := n.raftGroup
	go func() {
		err := group.ProposeWithin(raw)
		if errors.Is(err, statemachine.ErrDuplicate) {
			err = nil
		}
		result := drainctl.ProposalResult{}
		if err, known := proposalOutcome(err); known {
			result = drainctl.ProposalResult{ID: c.ID, Err: err}
		}
		n.proposalResults <- result
	}()
}

// proposalOutcome returns the error that the controller is given for a proposal. It returns false if it is unknown whether the command
// was committed: the controller then proposes it again.
func proposalOutcome(err error) (error, bool) {
	var notLeader *raftgroup.NotLeaderError
	if errors.Is(err, raftgroup.ErrOutcomeUnknown) || errors.As(err, &notLeader) || errors.Is(err, raftgroup.ErrBusy) {
		return nil, false
	}
	return err, true
}
