package fleet

import (
	"errors"
	"time"

	"birchcart/internal/fleet/inventory"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/fleet/pollqueue"
	"birchcart/internal/fleet/voters"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/view"
)

const (
	// SilentMost polls without a word: then the leader that is known counts as unknown, and voters are asked in turn.
	// One more: a dead leader's followers look for the next one a poll later; one fewer: a lost packet has them look.
	SilentMost = 2
	// LoadFor is how long the load that one told of is remembered, far longer than any file lets it count.
	LoadFor = 15 * time.Minute
)

// verified is what came of a check that this one leads, and the polls that waited for it.
type verified struct {
	term    uint64
	polls   map[string]pollqueue.Poll
	presses bool
	err     error
}

// letter takes a message and says whether a step should follow soon. What can't be read is left out: its sender is of another
// version, or no co-ordinator.
func (n *Node) letter(l mailbox.Message) (soon bool) {
	if voters.IsMessage(l.Raw) {
		n.seat(l.From, l.Raw)
		return true
	}
	m, err := peerproto.Decode(l.Raw)
	if err != nil {
		n.lines.limited(n, l.At, "a message of "+l.From+" is left out: "+err.Error())
		return false
	}
	switch m := m.(type) {
	case peerproto.Poll:
		return m.From == l.From && n.poll(l.At, m)
	case peerproto.Reply:
		if m.From == l.From {
			n.word(m)
		}
	case peerproto.SessionActions:
		if n.term != 0 && m.From == l.From && n.sessions != nil {
			n.sessions.HandleActions(m)
		}
	case peerproto.FileReport:
		if n.term != 0 {
			n.toLead = append(n.toLead, drainctl.MaintenanceFile{Limits: m.Limits, Requests: m.Requests})
		}
	}
	return true
}

// poll takes one. The leader answers once it knows that it still leads; another voter names who does. One that says nothing
// new and lacks nothing waits for the step that comes anyway.
func (n *Node) poll(at time.Duration, p peerproto.Poll) (soon bool) {
	era, own := max(p.Epoch, 1), n.state.Epoch()
	if era > own {
		n.outlive(p.From, era)
		return true
	}
	if n.term != 0 {
		if era < own {
			p.Drains = nil // of grants that ended with their era
		}
		n.toLead = append(n.toLead, drainctl.Polled{From: p.From, Sequence: p.Sequence, Index: p.Index, Drains: p.Drains, Wall: p.Wall})
		before, heard := n.loads[p.From]
		n.loads[p.From] = inventory.LoadReport{Load: p.Load, Known: p.LoadKnown, At: at, Epoch: era}
		if n.sessions != nil {
			n.sessions.HandlePoll(p)
		}
		soon = era < own || p.Index < n.agreedIndex() || len(p.Drains) > 0 || !heard || at-before.At > 2*view.PollInterval
		n.pollQueue.Add(p.From, pollqueue.Poll{Sequence: p.Sequence, Index: p.Index, Epoch: era}, soon)
		return soon
	}
	if n.raftGroup == nil {
		return false
	}
	leader, _ := n.raftGroup.Leader()
	if leader == n.name {
		leader = "" // elected, but not yet sure of all that was agreed; or about to step down
	}
	n.send(p.From, peerproto.Reply{Sequence: p.Sequence, From: n.name, Leader: leader, Index: n.raftGroup.Applied(), Epoch: eraSent(own)})
	return false
}

// agreedIndex is that of the newest entry that the own copy has.
func (n *Node) agreedIndex() (index uint64) {
	n.state.WithLock(func() { index = n.state.Machine.Index() })
	return index
}

// verify begins a check with a majority that this one still leads. Only an answer after it may lengthen a lease:
// one that was stopped and wakes would else answer beside the next leader.
func (n *Node) verify(now time.Duration) {
	if n.term == 0 || n.raftGroup == nil || !n.pollQueue.CheckDue(now, n.index) {
		return
	}
	v := verified{term: n.term, presses: n.pollQueue.Urgent(n.index)}
	v.polls = n.pollQueue.BeginCheck(now)
	go func(seat *raftgroup.Group) {
		v.err = seat.Verify()
		n.verified <- v
	}(n.raftGroup)
}

// reply answers the polls that waited for a check.
func (n *Node) reply(v verified) {
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
		w := peerproto.Reply{Sequence: p.Sequence, From: n.name, Leader: n.name, Term: n.term, FromLeader: true, After: p.Index, Index: p.Index, Epoch: eraSent(own),
			NotInInventory: !listed[from]}
		if err := n.bring(&w, p, own); err != nil {
			n.lines.limited(n, n.now(), "what was agreed can't be handed to "+from+", which stays cut off: "+err.Error())
			continue
		}
		w.Truncated = w.Index < n.raftGroup.Applied()
		n.answerTo(from, w)
	}
}

// bring puts what was agreed after a poll's index into its answer: entries, or the state for who is too far behind or of an
// era before.
func (n *Node) bring(w *peerproto.Reply, p pollqueue.Poll, own uint64) error {
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
	raw, at := n.whole()
	if len(raw) == 0 {
		return errors.New("it can't be saved")
	}
	return n.snapshots.SetSnapshot(w, raw, at, own)
}

func (n *Node) answerTo(from string, w peerproto.Reply) {
	if from == n.name {
		n.word(w)
	} else {
		n.send(from, w)
	}
}

// whole is what was agreed, and its index; nothing if it can't be saved.
func (n *Node) whole() (raw []byte, at uint64) {
	n.state.WithLock(func() {
		var err error
		at = n.state.Machine.Index()
		if raw, err = n.state.Machine.Save(); err != nil {
			n.log.WithError(err).Error("what was agreed can't be sent")
		}
	})
	return raw, at
}

// word takes the answer to a poll.
func (n *Node) word(w peerproto.Reply) {
	if w.Sequence > n.sent.Sequence || w.Sequence <= n.answered {
		return // no poll of this process, or one whose answer was overtaken
	}
	switch era, own := max(w.Epoch, 1), n.state.Epoch(); {
	case era < own:
		return // a raft group of before
	case era > own && n.raftGroup != nil:
		n.outlive(w.From, era)
		return
	}
	if !w.FromLeader {
		if n.named(w) {
			n.askOf(n.leader, n.sent)
		}
		return
	}
	n.silent, n.leader, n.answered = 0, w.From, w.Sequence
	if err := n.state.ApplyReply(w); err != nil {
		n.lines.limited(n, n.now(), "what the leader sent can't be taken: "+err.Error())
		return
	}
	n.answer, n.answerAt = &view.PollAnswered{Sequence: w.Sequence, Leader: w.From, Term: w.Term, Truncated: w.Truncated, NotInInventory: w.NotInInventory}, w.Index
}

// pollNow sends what the view wants asked.
func (n *Node) pollNow(p view.Poll) {
	n.silent++
	n.ask(peerproto.Poll{From: n.name, Sequence: p.Sequence, Index: p.Index, Epoch: eraSent(n.era), Drains: n.drains.Reportable(p.Drains), Load: n.own.Load, LoadKnown: n.own.Known,
		Sessions: n.sessions.Load()})
}

// named says whether a word that is not the leader's names one who is to be asked at once: once for each poll, since two may
// name each other, and whoever it names, since one that is to vote no more may lead still.
func (n *Node) named(w peerproto.Reply) bool {
	if w.Sequence != n.sent.Sequence || w.Sequence == n.namedAt || w.Leader == "" || w.Leader == n.name || w.Leader == n.sentTo {
		return false
	}
	n.leader, n.namedAt = w.Leader, w.Sequence
	return true
}

// ask sends a poll to the leader, or to the voters in turn while none is known.
func (n *Node) ask(p peerproto.Poll) {
	if n.term != 0 {
		p.Wall = time.Duration(time.Now().UnixNano())
		n.sent, n.sentTo = p, n.name
		n.poll(n.now(), p)
		return
	}
	n.askOf(n.whom(), p)
}

// whom a poll goes to.
func (n *Node) whom() string {
	if n.silent > SilentMost {
		n.leader = ""
	}
	if n.raftGroup != nil {
		if leader, _ := n.raftGroup.Leader(); leader != "" {
			n.leader = leader
		}
	}
	to := n.leader
	if to == "" || to == n.name {
		n.turn++
		if to = n.names[n.turn%len(n.names)]; to == n.name {
			n.turn++
			to = n.names[n.turn%len(n.names)]
		}
	}
	return to
}

func (n *Node) askOf(to string, p peerproto.Poll) {
	p.Wall = time.Duration(time.Now().UnixNano())
	n.sent, n.sentTo = p, to
	n.send(to, p)
}

// send sends a message; nobody waits for it, and a lost one comes again.
func (n *Node) send(to string, m peerproto.Message) {
	raw, err := peerproto.Encode(m)
	if err == nil {
		err = n.member.Send(to, raw)
	}
	if err != nil {
		n.log.WithError(err).WithField("to", to).Debug("a message was not sent")
	}
}

// hand gives the leader what the own file says, while what was agreed is older.
func (n *Node) hand(now time.Duration, limits, asks int) {
	if n.asks.Limits.Revision <= limits && n.asks.Requests.Revision <= asks {
		return
	}
	if n.term != 0 || n.leader == "" || n.leader == n.name || n.askedAt > 0 && now < n.askedAt+AskEvery {
		return
	}
	n.askedAt = now
	n.send(n.leader, n.asks)
}

// outcome is what the leader's step is told of a proposal; false where nobody knows whether it acts: it is repeated.
func outcome(err error) (error, bool) {
	var not *raftgroup.NotLeader
	if errors.Is(err, raftgroup.ErrOutcomeUnknown) || errors.As(err, &not) || errors.Is(err, raftgroup.ErrBusy) {
		return nil, false
	}
	return err, true
}
