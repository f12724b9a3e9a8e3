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
	// SeatsEvery is between looks at whether the raft group's voters are those of the file. Twice as long: a voter is
	// replaced so much later; half: twice the questions of one that waits for its seat.
	SeatsEvery = 2 * time.Second
)

// seat takes a question or an answer about who votes.
func (n *Node) seat(from string, raw []byte) {
	s, err := voters.Decode(raw)
	switch {
	case err != nil:
		n.lines.limited(n, n.now(), "a message of "+from+" is left out: "+err.Error())
	case s.Answer:
		n.maySit(from, s.Voters)
	case n.term != 0 && n.raftGroup != nil && !n.looking:
		n.looking = true
		go func(seat *raftgroup.Group) {
			l := voters.Result{Asker: from}
			if l.Err = seat.Verify(); l.Err == nil { // else another may lead, and have changed them
				l.Voters, l.Err = seat.Voters()
			}
			n.looks <- l
		}(n.raftGroup)
	}
}

// maySit takes the leader's word on who votes: one that is to vote takes a seat without a store, if the raft group does not
// know this name, since one that it knows may have voted; one that is not to vote gives its seat up, if the raft group has
// let it go while it was out of reach. Its own log never says so: nobody sends it what came after.
func (n *Node) maySit(from string, voters []string) {
	if from != n.leader || n.lost || len(voters) == 0 {
		return
	}
	n.mu.Lock()
	f := n.file.Fleet
	n.mu.Unlock()
	_, wanted := f.Voters[n.name]
	switch sits := n.raftGroup != nil; {
	case sits && !wanted && n.term == 0 && !slices.Contains(voters, n.name):
		n.standUp()
		return
	case sits || !wanted:
		return
	}
	if slices.Contains(voters, n.name) {
		n.lost = true
		n.log.Error("the raft group has this co-ordinator as a voter, and its store was lost: it follows without a vote; name another in its place")
		return
	}
	if err := n.openSeat(f, false); err != nil {
		if n.noSeat != err.Error() { // once for each cause: it is asked for again, so that a disk that has room later is enough
			n.noSeat = err.Error()
			n.log.WithError(err).Error("the seat in the raft group can't be taken; it is tried again")
		}
		return
	}
	n.noSeat = ""
	n.log.Info("the seat in the raft group is open; the leader lets it vote")
}

// standUp gives up a seat that the raft group has let go.
func (n *Node) standUp() {
	if !n.givingUp {
		n.log.Info("this co-ordinator votes no more")
		n.giveUp()
	}
}

// askSeats asks the leader who votes.
func (n *Node) askSeats() {
	if n.leader == "" || n.leader == n.name {
		return
	}
	if err := n.member.Send(n.leader, voters.Message{}.Encode()); err != nil {
		n.log.WithError(err).Debug("who votes was not asked")
	}
}

// keepSeats sees to it that the raft group's voters become those of the file, one at a time.
func (n *Node) keepSeats(now time.Duration) {
	if n.seatsAt > 0 && now < n.seatsAt+SeatsEvery || n.looking {
		return
	}
	n.seatsAt = now
	n.mu.Lock()
	f := n.file.Fleet
	n.mu.Unlock()
	n.names = slices.Sorted(maps.Keys(f.Voters))
	_, wanted := f.Voters[n.name]
	switch seat := n.raftGroup; {
	case seat == nil:
		if wanted && !n.lost {
			n.askSeats()
		}
	case n.term != 0 && n.asks.Limits.Revision >= n.agreedRevision:
		n.looking = true
		ready := map[string]bool{}
		for _, m := range n.member.Members() {
			ready[m.Name] = m.State == member.Alive && m.Voter && n.loads[m.Name].Epoch == n.era // one of before is told first
		}
		go func() { n.looks <- voters.Reconcile(seat, n.name, f, ready) }()
	case !wanted:
		n.askSeats()
		n.looking = true
		go func() {
			l := voters.Result{}
			l.Voters, l.Err = seat.Voters()
			n.looks <- l
		}()
	}
}

// lookedAt takes what came of a look.
func (n *Node) lookedAt(l voters.Result) {
	n.looking = false
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
	if l.Asker != "" {
		if err := n.member.Send(l.Asker, voters.Message{Answer: true, Voters: names}.Encode()); err != nil {
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
		n.standUp()
	}
}
