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

// verification is the result of a leadership check with a majority, and the polls that waited for it.
type verification struct {
	term   uint64
	polls  map[string]pollqueue.Poll
	urgent bool
	err    error
}

// handlePoll handles a poll and returns whether a step should follow soon. The leader answers once it has verified that it still
// leads; any other voter replies with the name of the leader. A poll that reports nothing new and is up to date waits for the
// next regular step.
func (n *Node) handlePoll(at time.Duration, p peerproto.Poll) (soon bool) {
	epoch, own := max(p.Epoch, 1), n.state.Epoch()
	if epoch > own {
		n.supersede(p.From, epoch)
		return true
	}
	if n.term != 0 {
		if epoch < own {
			p.Drains = nil // they belong to grants that ended with their epoch
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
		leader = "" // elected but without all committed entries applied yet, or about to step down
	}
	n.send(p.From, peerproto.Reply{Sequence: p.Sequence, From: n.name, Leader: leader, Index: n.raftGroup.AppliedIndex(), Epoch: wireEpoch(own)})
	return false
}

// agreedIndex returns the index of the newest entry in the local copy of the agreed state.
func (n *Node) agreedIndex() (index uint64) {
	n.state.WithLock(func() { index = n.state.Machine.Index() })
	return index
}

// verifyLeadership starts a check with a majority that this co-ordinator still leads, if one is due. Only a reply sent after such a
// check may extend a lease: a leader that was suspended and resumes could otherwise reply while its successor leads.
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

// answerPolls answers the polls that waited for a leadership check.
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
		reply := peerproto.Reply{Sequence: p.Sequence, From: n.name, Leader: n.name, Term: n.term, FromLeader: true, After: p.Index, Index: p.Index, Epoch: wireEpoch(own),
			NotInInventory: !listed[from]}
		if err := n.fillReply(&reply, p, own); err != nil {
			n.messageLog.info(n, n.now(), "the agreed state can't be sent to "+from+", which stays cut off: "+err.Error())
			continue
		}
		reply.Truncated = reply.Index < n.raftGroup.AppliedIndex()
		n.sendReply(from, reply)
	}
}

// fillReply adds to a reply what was agreed after the poll's index: log entries, or the whole state if the sender is too far behind
// or belongs to an earlier epoch.
func (n *Node) fillReply(reply *peerproto.Reply, p pollqueue.Poll, own uint64) error {
	if p.Epoch == own {
		entries, snapshot, at := n.raftGroup.Since(p.Index, peerproto.MaxEntriesSize)
		if len(snapshot) > 0 {
			return n.snapshots.SetSnapshot(reply, snapshot, at, own)
		}
		all := make([]peerproto.Entry, len(entries))
		for i, e := range entries {
			all[i] = peerproto.Entry{Index: e.Index, Raw: e.Raw}
		}
		if reply.SetEntries(all) == nil {
			if reply.Index = at; len(reply.Entries) > 0 {
				reply.Index = reply.Entries[len(reply.Entries)-1].Index
			}
			return nil
		}
		reply.Entries = nil // an entry from before the size limit existed is too large: send the state, which includes it
	}
	at := uint64(0)
	n.state.WithLock(func() { at = n.state.Machine.Index() })
	if s := &n.snapshots; s.Index == at && s.Epoch == own {
		return s.SetSnapshot(reply, nil, at, own) // reuse the snapshot made for another follower: after an outage all followers need the same one
	}
	raw, at := n.encodeState()
	if len(raw) == 0 {
		return errors.New("encoding the agreed state failed")
	}
	return n.snapshots.SetSnapshot(reply, raw, at, own)
}

// sendReply sends a reply to a poll; a poll of this co-ordinator itself is answered without the network.
func (n *Node) sendReply(from string, reply peerproto.Reply) {
	if from == n.name {
		n.handleReply(reply)
	} else {
		n.send(from, reply)
	}
}

// encodeState returns the encoded agreed state and its index; raw is empty if encoding fails.
func (n *Node) encodeState() (raw []byte, at uint64) {
	n.state.WithLock(func() {
		var err error
		at = n.state.Machine.Index()
		if raw, err = n.state.Machine.Save(); err != nil {
			n.log.WithError(err).Error("encoding the agreed state failed")
		}
	})
	return raw, at
}
