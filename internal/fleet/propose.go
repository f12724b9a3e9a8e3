package fleet

import (
	"errors"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/statemachine"
)

// propose puts a command to the raft group, beside the step.
func (n *Node) propose(c statemachine.Command) {
	if n.raftGroup == nil || n.proposalsInFlight >= MaxProposalsInFlight {
		return
	}
	raw, err := c.Encode()
	if err != nil {
		n.log.WithError(err).Error("a proposal can't be written")
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
		e := drainctl.ProposalResult{}
		if err, known := proposalOutcome(err); known {
			e = drainctl.ProposalResult{ID: c.ID, Err: err}
		}
		n.proposalResults <- e
	}()
}

// proposalOutcome is what the controller gets of a proposal's outcome; false where nobody knows whether it acts: it is repeated.
func proposalOutcome(err error) (error, bool) {
	var not *raftgroup.NotLeaderError
	if errors.Is(err, raftgroup.ErrOutcomeUnknown) || errors.As(err, &not) || errors.Is(err, raftgroup.ErrBusy) {
		return nil, false
	}
	return err, true
}
