package fleet

import (
	"time"

	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/view"
)

const (
	// MaxUnansweredPolls is how many consecutive polls may stay without a reply before the known leader counts as unknown and the
	// voters are polled in turn. With one more, the followers of a dead leader search for its successor a poll later; with one
	// fewer, a single lost packet starts a search.
	MaxUnansweredPolls = 2
	// LoadRetention is how long a reported load is stored, far longer than any operators' file lets a load be used.
	LoadRetention = 15 * time.Minute
)

// handleReply handles the reply to a poll.
func (n *Node) handleReply(reply peerproto.Reply) {
	if reply.Sequence > n.lastPoll.Sequence || reply.Sequence <= n.answeredSequence {
		return // not a poll of this process, or a newer reply was already handled
	}
	switch epoch, own := max(reply.Epoch, 1), n.state.Epoch(); {
	case epoch < own:
		return // a reply of a raft group that was replaced
	case epoch > own && n.raftGroup != nil:
		n.supersede(reply.From, epoch)
		return
	}
	if !reply.FromLeader {
		if n.learnLeader(reply) {
			n.pollTo(n.leader, n.lastPoll)
		}
		return
	}
	n.unansweredPolls, n.leader, n.answeredSequence = 0, reply.From, reply.Sequence
	if err := n.state.ApplyReply(reply); err != nil {
		n.messageLog.info(n, n.now(), "the reply of the leader can't be applied: "+err.Error())
		return
	}
	n.pendingAnswer, n.pendingAnswerIndex = &view.PollAnswered{Sequence: reply.Sequence, Leader: reply.From, Term: reply.Term, Truncated: reply.Truncated, NotInInventory: reply.NotInInventory}, reply.Index
}

// sendPoll sends a poll that the view requested.
func (n *Node) sendPoll(p view.Poll) {
	n.unansweredPolls++
	n.routePoll(peerproto.Poll{From: n.name, Sequence: p.Sequence, Index: p.Index, Epoch: wireEpoch(n.epoch), Drains: n.drains.Reportable(p.Drains), Load: n.ownLoad.Load, LoadKnown: n.ownLoad.Known,
		Sessions: n.sessions.Load()})
}

// learnLeader returns whether a reply that is not from the leader names a leader to which the poll is to be resent at once. A poll
// is resent only once, because two co-ordinators may name each other. The named leader need not be a voter in the local file: a
// voter that is being replaced may still lead.
func (n *Node) learnLeader(reply peerproto.Reply) bool {
	if reply.Sequence != n.lastPoll.Sequence || reply.Sequence == n.forwardedSequence || reply.Leader == "" || reply.Leader == n.name || reply.Leader == n.polledTo {
		return false
	}
	n.leader, n.forwardedSequence = reply.Leader, reply.Sequence
	return true
}

// routePoll sends a poll to the leader, or to the voters in turn while no leader is known.
func (n *Node) routePoll(p peerproto.Poll) {
	if n.term != 0 {
		p.Wall = time.Duration(time.Now().UnixNano())
		n.lastPoll, n.polledTo = p, n.name
		n.handlePoll(n.now(), p)
		return
	}
	n.pollTo(n.pollTarget(), p)
}

// pollTarget returns the name of the co-ordinator that the next poll goes to.
func (n *Node) pollTarget() string {
	if n.unansweredPolls > MaxUnansweredPolls {
		n.leader = ""
	}
	if n.raftGroup != nil {
		if leader, _ := n.raftGroup.Leader(); leader != "" {
			n.leader = leader
		}
	}
	to := n.leader
	if to == "" || to == n.name {
		n.nextVoter++
		if to = n.voterNames[n.nextVoter%len(n.voterNames)]; to == n.name {
			n.nextVoter++
			to = n.voterNames[n.nextVoter%len(n.voterNames)]
		}
	}
	return to
}

// pollTo sends a poll to one co-ordinator and records it as the last one.
func (n *Node) pollTo(to string, p peerproto.Poll) {
	p.Wall = time.Duration(time.Now().UnixNano())
	n.lastPoll, n.polledTo = p, to
	n.send(to, p)
}

// reportFile sends the limits and requests of the local file to the leader while the agreed ones have an older revision.
func (n *Node) reportFile(now time.Duration, limits, requests int) {
	if n.fileReport.Limits.Revision <= limits && n.fileReport.Requests.Revision <= requests {
		return
	}
	if n.term != 0 || n.leader == "" || n.leader == n.name || n.fileReportAt > 0 && now < n.fileReportAt+FileReportInterval {
		return
	}
	n.fileReportAt = now
	n.send(n.leader, n.fileReport)
}
