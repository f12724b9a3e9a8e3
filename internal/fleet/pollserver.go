package fleet

import (
	"errors"
	"time"

	"birchcart/internal/fleet/inventory"
	"birchcart/internal/fleet/pollqueue"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/view"
)

// verification is what came of a check that this one leads, and the polls that waited for it.
type verification struct {
	term   uint64
	polls  map[string]pollqueue.Poll
	urgent bool
	err    error
}

// handlePoll takes one. The leader answers once it knows that it still leads; another voter names who does. One that says nothing
// new and lacks nothing waits for the step that comes anyway.
func (n *Node) handlePoll(at time.Duration, p peerproto.Poll) (soon bool) {
	epoch, own := max(p.Epoch, 1), n.state.Epoch()
	if epoch > own {
		n.supersede(p.From, epoch)
		return true
	}
	if n.term != 0 {
		if epoch < own {
			p.Drains = nil // of grants that ended with their epoch
		}
		n.controllerInputs = append(n.controllerInputs, drainctl.Polled{From: p.From, Sequence: p.Sequence, Index: p.Index, Drains: p.Drains, Wall: p.Wall})
		before, confirmedAt := n.loads[p.From]
		n.loads[p.From] = inventory.LoadReport{Load: p.Load, Known: p.LoadKnown, At: at, Epoch: epoch}
		if n.sessions != nil {
			n.sessions.HandlePoll(p)
		}
		soon = epoch < own || p.Index < n.agreedIndex() || len(p.Drains) > 0 || !confirmedAt || at-before.At > 2*view.PollInterval
		n.pollQueue.Add(p.From, pollqueue.Poll{Sequence: p.Sequence, Index: p.Index, Epoch: epoch}, soon)
		return soon
	}
	if n.raftGroup == nil {
		return false
	}
	leader, _ := n.raftGroup.Leader()
	if leader == n.name {
		leader = "" // elected, but not yet sure of all that was agreed; or about to step down
	}
	n.send(p.From, peerproto.Reply{Sequence: p.Sequence, From: n.name, Leader: leader, Index: n.raftGroup.AppliedIndex(), Epoch: wireEpoch(own)})
	return false
}

// agreedIndex is that of the newest entry that the own copy has.
func (n *Node) agreedIndex() (index uint64) {
	n.state.WithLock(func() { index = n.state.Machine.Index() })
	return index
}

// verifyLeadership begins a check with a majority that this one still leads. Only an answer after it may lengthen a lease:
// one that was stopped and wakes would else answer beside the next leader.
func (n *Node) verifyLeadership(now time.Duration) {
	if n.term == 0 || n.raftGroup == nil || !n.pollQueue.CheckDue(now, n.index) {
		return
	}
	v := verification{term: n.term, urgent: n.pollQueue.Urgent(n.index)}
	v.polls = n.pollQueue.BeginCheck(now)
	go func(group *raftgroup.Group) {
		v.err = group.Verify()
		n.verifications <- v
	}(n.raftGroup)
}

// answerPolls answers the polls that waited for a check.
func (n *Node) answerPolls(v verification) {
	n.pollQueue.EndCheck()
	if v.err != nil || v.term != n.term || n.raftGroup == nil {
		return
	}
	listed := map[string]bool{}
	n.state.WithLock(func() {
		for from := range v.polls {
			listed[from] = drainctl.MustAcknowledge(n.state.Maintenance, from) && !(n.sessions != nil && n.sessions.Releasing(from))
		}
	})
	own := n.state.Epoch()
	for from, p := range v.polls {
		w := peerproto.Reply{Sequence: p.Sequence, From: n.name, Leader: n.name, Term: n.term, FromLeader: true, After: p.Index, Index: p.Index, Epoch: wireEpoch(own),
			NotInInventory: !listed[from]}
		if err := n.fillReply(&w, p, own); err != nil {
			n.messageLog.info(n, n.now(), "what was agreed can't be handed to "+from+", which stays cut off: "+err.Error())
			continue
		}
		w.Truncated = w.Index < n.raftGroup.AppliedIndex()
		n.sendReply(from, w)
	}
}

// fillReply puts what was agreed after a poll's index into its answer: entries, or the state for who is too far behind or of an
// earlier epoch.
func (n *Node) fillReply(w *peerproto.Reply, p pollqueue.Poll, own uint64) error {
	if p.Epoch == own {
		entries, snapshot, at := n.raftGroup.Since(p.Index, peerproto.MaxEntriesSize)
		if len(snapshot) > 0 {
			return n.snapshots.SetSnapshot(w, snapshot, at, own)
		}
		all := make([]peerproto.Entry, len(entries))
		for i, e := range entries {
			all[i] = peerproto.Entry{Index: e.Index, Raw: e.Raw}
		}
		if w.SetEntries(all) == nil {
			if w.Index = at; len(w.Entries) > 0 {
				w.Index = w.Entries[len(w.Entries)-1].Index
			}
			return nil
		}
		w.Entries = nil // one of them is of before there was a bound: the state has it too
	}
	at := uint64(0)
	n.state.WithLock(func() { at = n.state.Machine.Index() })
	if s := &n.snapshots; s.Index == at && s.Epoch == own {
		return s.SetSnapshot(w, nil, at, own) // saved for another one: all that come back together want it
	}
	raw, at := n.encodeState()
	if len(raw) == 0 {
		return errors.New("it can't be saved")
	}
	return n.snapshots.SetSnapshot(w, raw, at, own)
}

func (n *Node) sendReply(from string, w peerproto.Reply) {
	if from == n.name {
		n.handleReply(w)
	} else {
		n.send(from, w)
	}
}

// encodeState is what was agreed, and its index; nothing if it can't be saved.
func (n *Node) encodeState() (raw []byte, at uint64) {
	n.state.WithLock(func() {
		var err error
		at = n.state.Machine.Index()
		if raw, err = n.state.Machine.Save(); err != nil {
			n.log.WithError(err).Error("what was agreed can't be sent")
		}
	})
	return raw, at
}
