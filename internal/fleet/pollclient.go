package fleet

import (
	"time"

	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/view"
)

const (
	// MaxUnansweredPolls polls without a reply: then the leader that is known counts as unknown, and voters are asked in turn.
	// One more: a dead leader's followers look for the next one a poll later; one fewer: a lost packet has them look.
	MaxUnansweredPolls = 2
	// LoadRetention is how long a reported load is remembered, far longer than any file lets it count.
	LoadRetention = 15 * time.Minute
)

// handleReply takes the answer to a poll.
func (n *Node) handleReply(w peerproto.Reply) {
	if w.Sequence > n.lastPoll.Sequence || w.Sequence <= n.answeredSequence {
		return // no poll of this process, or one whose answer was overtaken
	}
	switch epoch, own := max(w.Epoch, 1), n.state.Epoch(); {
	case epoch < own:
		return // an earlier raft group
	case epoch > own && n.raftGroup != nil:
		n.supersede(w.From, epoch)
		return
	}
	if !w.FromLeader {
		if n.learnLeader(w) {
			n.pollTo(n.leader, n.lastPoll)
		}
		return
	}
	n.unansweredPolls, n.leader, n.answeredSequence = 0, w.From, w.Sequence
	if err := n.state.ApplyReply(w); err != nil {
		n.messageLog.info(n, n.now(), "what the leader sent can't be taken: "+err.Error())
		return
	}
	n.pendingAnswer, n.pendingAnswerIndex = &view.PollAnswered{Sequence: w.Sequence, Leader: w.From, Term: w.Term, Truncated: w.Truncated, NotInInventory: w.NotInInventory}, w.Index
}

// sendPoll sends the poll that the view wants.
func (n *Node) sendPoll(p view.Poll) {
	n.unansweredPolls++
	n.routePoll(peerproto.Poll{From: n.name, Sequence: p.Sequence, Index: p.Index, Epoch: wireEpoch(n.epoch), Drains: n.drains.Reportable(p.Drains), Load: n.ownLoad.Load, LoadKnown: n.ownLoad.Known,
		Sessions: n.sessions.Load()})
}

// learnLeader says whether a reply that is not the leader's names one who is to be asked at once: once for each poll, since two may
// name each other, and whoever it names, since one that is to vote no more may lead still.
func (n *Node) learnLeader(w peerproto.Reply) bool {
	if w.Sequence != n.lastPoll.Sequence || w.Sequence == n.forwardedSequence || w.Leader == "" || w.Leader == n.name || w.Leader == n.polledTo {
		return false
	}
	n.leader, n.forwardedSequence = w.Leader, w.Sequence
	return true
}

// routePoll sends a poll to the leader, or to the voters in turn while none is known.
func (n *Node) routePoll(p peerproto.Poll) {
	if n.term != 0 {
		p.Wall = time.Duration(time.Now().UnixNano())
		n.lastPoll, n.polledTo = p, n.name
		n.handlePoll(n.now(), p)
		return
	}
	n.pollTo(n.pollTarget(), p)
}

// pollTarget is whom a poll goes to.
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

func (n *Node) pollTo(to string, p peerproto.Poll) {
	p.Wall = time.Duration(time.Now().UnixNano())
	n.lastPoll, n.polledTo = p, to
	n.send(to, p)
}

// reportFile gives the leader what the own file says, while what was agreed is older.
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
