package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"birchcart/internal/fleet/member"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/operator"
)

const (
	// SeatsEvery is between looks at whether the raft group's voters are those of the file. Twice as long: a voter is
	// replaced so much later; half: twice the questions of one that waits for its seat.
	SeatsEvery = 2 * time.Second

	seatsVersion = 1
	kindSeats    = 's' // none of peerproto's
	seatsMost    = 64 << 10
)

// seats is the question who votes, and its answer by the leader.
type seats struct {
	Answer bool     `json:"answer,omitempty"`
	Voters []string `json:"voters,omitempty"`
}

func isSeats(raw []byte) bool { return len(raw) > 2 && raw[0] == seatsVersion && raw[1] == kindSeats }

func (s seats) encode() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // a list of names
	}
	return append([]byte{seatsVersion, kindSeats}, raw...)
}

func decodeSeats(raw []byte) (s seats, err error) {
	if len(raw) > seatsMost {
		return s, fmt.Errorf("who votes: %d bytes, %d at most", len(raw), seatsMost)
	}
	return s, json.Unmarshal(raw[2:], &s)
}

// looked is what came of a look at the raft group's voters: by the leader after it changed one, if it had to.
type looked struct {
	voters []raftgroup.Voter
	asker  string // who is to be told; "": nobody
	did    string
	err    error
}

// seat takes a question or an answer about who votes.
func (n *Node) seat(from string, raw []byte) {
	s, err := decodeSeats(raw)
	switch {
	case err != nil:
		n.lines.limited(n, n.now(), "a message of "+from+" is left out: "+err.Error())
	case s.Answer:
		n.maySit(from, s.Voters)
	case n.term != 0 && n.raftGroup != nil && !n.looking:
		n.looking = true
		go func(seat *raftgroup.Group) {
			l := looked{asker: from}
			if l.err = seat.Verify(); l.err == nil { // else another may lead, and have changed them
				l.voters, l.err = seat.Voters()
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
	if err := n.member.Send(n.leader, seats{}.encode()); err != nil {
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
			ready[m.Name] = m.State == member.Alive && m.Voter && n.loads[m.Name].era == n.era // one of before is told first
		}
		go func() { n.looks <- change(seat, n.name, f, ready) }()
	case !wanted:
		n.askSeats()
		n.looking = true
		go func() {
			l := looked{}
			l.voters, l.err = seat.Voters()
			n.looks <- l
		}()
	}
}

// change makes the one next change, if there is any: one that the file does not name goes for one that it does and whose
// seat is open.
func change(seat *raftgroup.Group, self string, f *operator.Fleet, ready map[string]bool) (l looked) {
	if l.voters, l.err = seat.Voters(); l.err != nil {
		return l
	}
	has := map[string]bool{}
	old := ""
	for _, v := range l.voters {
		has[v.Name] = true
		if _, ok := f.Voters[v.Name]; !ok {
			old = v.Name
		}
	}
	var with raftgroup.Voter
	missing := false
	for _, name := range slices.Sorted(maps.Keys(f.Voters)) {
		if !has[name] {
			missing = true
			if ready[name] && with.Name == "" {
				with = raftgroup.Voter{Name: name, Addr: f.Voters[name].Address}
			}
		}
	}
	switch {
	case old == "" && with.Name == "", with.Name == "" && missing: // nothing to do, or the new one is not there yet
		return l
	case old == self:
		l.did, l.err = "the lead is handed over, as the file names this voter no more", seat.HandOver()
		return l
	}
	l.did = fmt.Sprintf("voter %q goes, voter %q comes", old, with.Name)
	if l.err = seat.Replace(old, with); l.err == nil {
		l.voters, l.err = seat.Voters()
	}
	return l
}

// lookedAt takes what came of a look.
func (n *Node) lookedAt(l looked) {
	n.looking = false
	if l.did != "" {
		n.log.WithField("error", l.err).Info("the raft group's voters change: " + l.did)
	}
	if l.err != nil || n.raftGroup == nil {
		return
	}
	var names []string
	for _, v := range l.voters {
		names = append(names, v.Name)
	}
	if l.asker != "" {
		if err := n.member.Send(l.asker, seats{Answer: true, Voters: names}.encode()); err != nil {
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
