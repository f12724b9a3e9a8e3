package fleet

import (
	"maps"
	"slices"
	"time"

	"birchcart/internal/fleet/voters"

	"birchcart/internal/fleet/member"
	"birchcart/internal/fleet/raftgroup"
)

const (
	// VoterCheckInterval is between looks at whether the raft group's voters are those of the file. Twice as long: a voter is
	// replaced so much later; half: twice the questions of one that waits to vote.
	VoterCheckInterval = 2 * time.Second
)

// handleVoterMessage takes a question or an answer about who votes.
func (n *Node) handleVoterMessage(from string, raw []byte) {
	s, err := voters.Decode(raw)
	switch {
	case err != nil:
		n.messageLog.info(n, n.now(), "a message of "+from+" is left out: "+err.Error())
	case s.Answer:
		n.handleVoterAnswer(from, s.Voters)
	case n.term != 0 && n.raftGroup != nil && !n.checkingVoters:
		n.checkingVoters = true
		go func(group *raftgroup.Group) {
			l := voters.Result{Requester: from}
			if l.Err = group.Verify(); l.Err == nil { // else another may lead, and have changed them
				l.Voters, l.Err = group.Voters()
			}
			n.voterResults <- l
		}(n.raftGroup)
	}
}

// handleVoterAnswer takes the leader's answer to who votes: a co-ordinator that is to vote opens a voter without a store, if the raft
// group does not know this name, since one that it knows may have voted; one that is not to vote closes its voter, if the raft
// group has removed it while it was out of reach. Its own log never says so: nobody sends it what came after.
func (n *Node) handleVoterAnswer(from string, voters []string) {
	if from != n.leader || n.storeLost || len(voters) == 0 {
		return
	}
	n.mu.Lock()
	f := n.file.Fleet
	n.mu.Unlock()
	_, wanted := f.Voters[n.name]
	switch sits := n.raftGroup != nil; {
	case sits && !wanted && n.term == 0 && !slices.Contains(voters, n.name):
		n.stopVoting()
		return
	case sits || !wanted:
		return
	}
	if slices.Contains(voters, n.name) {
		n.storeLost = true
		n.log.Error("the raft group has this co-ordinator as a voter, and its store was lost: it follows without a vote; name another in its place")
		return
	}
	if err := n.openVoter(f, false); err != nil {
		if n.loggedVoterError != err.Error() { // once for each cause: it is asked for again, so that a disk that has room later is enough
			n.loggedVoterError = err.Error()
			n.log.WithError(err).Error("the seat in the raft group can't be taken; it is tried again")
		}
		return
	}
	n.loggedVoterError = ""
	n.log.Info("the seat in the raft group is open; the leader lets it vote")
}

// stopVoting closes a voter that the raft group has removed.
func (n *Node) stopVoting() {
	if !n.closingVoter {
		n.log.Info("this co-ordinator votes no more")
		n.closeVoter()
	}
}

// askVoters asks the leader who votes.
func (n *Node) askVoters() {
	if n.leader == "" || n.leader == n.name {
		return
	}
	if err := n.member.Send(n.leader, voters.Message{}.Encode()); err != nil {
		n.log.WithError(err).Debug("who votes was not asked")
	}
}

// reconcileVoters sees to it that the raft group's voters become those of the file, one at a time.
func (n *Node) reconcileVoters(now time.Duration) {
	if n.votersCheckedAt > 0 && now < n.votersCheckedAt+VoterCheckInterval || n.checkingVoters {
		return
	}
	n.votersCheckedAt = now
	n.mu.Lock()
	f := n.file.Fleet
	n.mu.Unlock()
	n.voterNames = slices.Sorted(maps.Keys(f.Voters))
	_, wanted := f.Voters[n.name]
	switch group := n.raftGroup; {
	case group == nil:
		if wanted && !n.storeLost {
			n.askVoters()
		}
	case n.term != 0 && n.fileReport.Limits.Revision >= n.agreedRevision:
		n.checkingVoters = true
		ready := map[string]bool{}
		for _, m := range n.member.Members() {
			ready[m.Name] = m.State == member.Alive && m.Voter && n.loads[m.Name].Epoch == n.epoch // one of an earlier epoch gets the new state first
		}
		go func() { n.voterResults <- voters.Reconcile(group, n.name, f, ready) }()
	case !wanted:
		n.askVoters()
		n.checkingVoters = true
		go func() {
			l := voters.Result{}
			l.Voters, l.Err = group.Voters()
			n.voterResults <- l
		}()
	}
}

// handleVoterResult takes the outcome of a look at the voters.
func (n *Node) handleVoterResult(l voters.Result) {
	n.checkingVoters = false
	if l.Change != "" {
		n.log.WithField("error", l.Err).Info("the raft group's voters change: " + l.Change)
	}
	if l.Err != nil || n.raftGroup == nil {
		return
	}
	var names []string
	for _, v := range l.Voters {
		names = append(names, v.Name)
	}
	if l.Requester != "" {
		if err := n.member.Send(l.Requester, voters.Message{Answer: true, Voters: names}.Encode()); err != nil {
			n.log.WithError(err).Debug("who votes was not told")
		}
		return
	}
	if n.term != 0 {
		clear(n.voters)
		for _, name := range names {
			n.voters[name] = true
		}
		return
	}
	if len(names) > 0 && !slices.Contains(names, n.name) {
		n.stopVoting()
	}
}
