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
	// VoterCheckInterval is the time between checks whether the raft group's voters are those of the file. Twice as long delays the
	// replacement of a voter by as much; half doubles the requests of a co-ordinator that waits to become a voter.
	VoterCheckInterval = 2 * time.Second
)

// handleVoterMessage handles a request for the list of voters, or an answer to one.
func (n *Node) handleVoterMessage(from string, raw []byte) {
	s, err := voters.Decode(raw)
	switch {
	case err != nil:
		n.messageLog.info(n, n.now(), "a message from "+from+" is ignored: "+err.Error())
	case s.Answer:
		n.handleVoterAnswer(from, s.Voters)
	case n.term != 0 && n.raftGroup != nil && !n.checkingVoters:
		n.checkingVoters = true
		go func(group *raftgroup.Group) {
			result := voters.Result{Requester: from}
			if result.Err = group.Verify(); result.Err == nil { // otherwise another co-ordinator may lead and have changed the voters
				result.Voters, result.Err = group.Voters()
			}
			n.voterResults <- result
		}(n.raftGroup)
	}
}

// handleVoterAnswer handles the leader's list of voters. A co-ordinator that the file names as a voter opens a voter with an empty
// store, but only if the raft group does not list its name: a listed voter may have voted before it lost its store. A co-ordinator
// that the file no longer names closes its voter if the raft group removed it while it was unreachable. Its own log can't show
// that, because a removed voter receives no further entries.
func (n *Node) handleVoterAnswer(from string, voters []string) {
	if from != n.leader || n.storeLost || len(voters) == 0 {
		return
	}
	n.mu.Lock()
	f := n.file.Fleet
	n.mu.Unlock()
	_, wanted := f.Voters[n.name]
	switch isVoter := n.raftGroup != nil; {
	case isVoter && !wanted && n.term == 0 && !slices.Contains(voters, n.name):
		n.stopVoting()
		return
	case isVoter || !wanted:
		return
	}
	if slices.Contains(voters, n.name) {
		n.storeLost = true
		n.log.Error("the raft group lists this co-ordinator as a voter, but its store was lost: it follows without a vote; name another voter in its place")
		return
	}
	if err := n.openVoter(f, false); err != nil {
		if n.loggedVoterError != err.Error() { // logged once per cause: opening is retried, so that freeing disk space is enough to recover
			n.loggedVoterError = err.Error()
			n.log.WithError(err).Error("the seat in the raft group can't be taken; opening the voter is retried")
		}
		return
	}
	n.loggedVoterError = ""
	n.log.Info("the seat in the raft group is open; the leader has to add it as a voter")
}

// stopVoting closes a voter that the raft group has removed.
func (n *Node) stopVoting() {
	if !n.closingVoter {
		n.log.Info("this co-ordinator votes no more: the raft group removed its voter")
		n.closeVoter()
	}
}

// askVoters requests the list of voters from the leader.
func (n *Node) askVoters() {
	if n.leader == "" || n.leader == n.name {
		return
	}
	if err := n.member.Send(n.leader, voters.Message{}.Encode()); err != nil {
		n.log.WithError(err).Debug("requesting the list of voters failed")
	}
}

// reconcileVoters compares the raft group's voters with those of the file every VoterCheckInterval. The leader changes them one at a
// time; other co-ordinators find out whether they are to open or close their own voter.
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
			ready[m.Name] = m.State == member.Alive && m.Voter && n.loads[m.Name].Epoch == n.epoch // a member of an earlier epoch must load the new state first
		}
		go func() { n.voterResults <- voters.Reconcile(group, n.name, f, ready) }()
	case !wanted:
		n.askVoters()
		n.checkingVoters = true
		go func() {
			result := voters.Result{}
			result.Voters, result.Err = group.Voters()
			n.voterResults <- result
		}()
	}
}

// handleVoterResult handles the outcome of a check of the voters.
func (n *Node) handleVoterResult(result voters.Result) {
	n.checkingVoters = false
	if result.Change != "" {
		n.log.WithField("error", result.Err).Info("the raft group's voters change: " + result.Change)
	}
	if result.Err != nil || n.raftGroup == nil {
		return
	}
	var names []string
	for _, v := range result.Voters {
		names = append(names, v.Name)
	}
	if result.Requester != "" {
		if err := n.member.Send(result.Requester, voters.Message{Answer: true, Voters: names}.Encode()); err != nil {
			n.log.WithError(err).Debug("sending the list of voters failed")
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
