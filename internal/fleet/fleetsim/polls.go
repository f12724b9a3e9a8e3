package fleetsim

import (
	"time"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/view"
)

type pending struct {
	poll peerproto.Poll
	from int
	at   time.Duration
}

type owed struct {
	no     uint64
	leader string
	term   uint64
	more   bool
	index  int
	// not in the inventory yet: no lease
	unlisted bool
}

// poll goes to the leader, or to any voter while it is not known. The history learns when it was sent.
func (n *node) poll(p view.Poll) {
	to := n.leader
	if to < 0 {
		to = n.w.voters[n.w.rng.IntN(len(n.w.voters))]
	}
	n.leader = -1 // until it answers
	word := peerproto.Poll{From: n.name, Sequence: p.Sequence, Index: p.Index, Load: n.w.loadOfOne(), LoadKnown: true, Wall: n.wall()}
	for _, l := range p.Drains {
		if n.sayable(l) {
			word.Drains = append(word.Drains, peerproto.DrainStatus(l))
		}
	}
	n.w.polls[pollKey{n.id, p.Sequence}] = n.w.Now
	n.w.send(n.id, to, func(o *node) { o.onPoll(n.id, word) })
	if n.asks != nil && n.asks.Asks.Revision > n.book.out.Requests().Revision {
		ask := *n.asks
		n.w.send(n.id, to, func(o *node) {
			if o.leads {
				o.stepLead(drainctl.MaintenanceFile{Limits: ask.Limits, Requests: ask.Asks})
			}
		})
	}
}

func (n *node) onPoll(from int, p peerproto.Poll) {
	switch {
	case n.v == nil:
	case !n.v.leads:
		w := peerproto.Reply{Sequence: p.Sequence, From: n.name}
		if n.v.leader >= 0 {
			w.Leader = n.w.nodes[n.v.leader].name
		}
		n.w.send(n.id, from, func(o *node) { o.onWord(w) })
	case n.w.Loose.Unconfirmed && n.leads:
		n.stepLead(n.polled(p))
		n.answer(pending{poll: p, from: from})
	case len(n.waiting) < pollsMost:
		n.waiting = append(n.waiting, pending{p, from, n.mono()})
		if !n.flush {
			n.flush = true
			inc := n.inc
			n.w.After(confirmEvery, func() {
				if n.inc == inc && n.runs() && n.v.leads {
					n.replicate()
					n.confirm()
				}
				n.flush = false
			})
		}
	}
}

// confirmEvery is how long polls are gathered for one question to the voters, whether the leader still leads.
const confirmEvery = 80 * time.Millisecond

// confirm answers the polls that came before the newest moment at which a majority still followed this leader. Without
// it a deposed leader that does not know of it would renew leases on which its successor no longer counts.
func (n *node) confirm() {
	if len(n.waiting) == 0 {
		return
	}
	q := n.quorum()
	var rest, now []pending
	var polls []drainctl.Input
	for _, p := range n.waiting {
		if p.at > q {
			rest = append(rest, p)
			continue
		}
		now, polls = append(now, p), append(polls, n.polled(p.poll))
	}
	n.waiting = rest
	if len(now) == 0 || !n.leads {
		return // not yet as far as its own term: its state may lack what was agreed before
	}
	n.stepLead(polls...)
	for _, p := range now {
		n.answer(p)
	}
}

func (n *node) answer(p pending) {
	w := peerproto.Reply{Sequence: p.poll.Sequence, From: n.name, Leader: n.name, Term: n.v.term, FromLeader: true, After: p.poll.Index, Index: uint64(n.applied)}
	w.NotInInventory = !drainctl.MustAcknowledge(n.book.out, p.poll.From)
	state := n.snap
	if since := int(p.poll.Index); since >= n.v.base {
		for i := since + 1; i <= n.applied; i++ {
			if raw := n.v.log[i-n.v.base-1].raw; raw != nil {
				w.Entries = append(w.Entries, peerproto.Entry{Index: uint64(i), Raw: raw})
			}
		}
		if len(w.Entries) > entriesMost {
			w.Entries, w.Truncated = w.Entries[:entriesMost], true
		}
	} else {
		w.Snapshot, w.Index = state, uint64(n.snapAt)
		w.Truncated = n.snapAt < n.applied
	}
	n.w.send(n.id, p.from, func(o *node) { o.onWord(w) })
}

func (n *node) onWord(w peerproto.Reply) {
	n.leader = -1
	if o := n.w.byName[w.Leader]; o != nil {
		n.leader = o.id
	}
	if !w.FromLeader {
		return
	}
	n.owed = append(n.owed, owed{w.Sequence, w.Leader, w.Term, w.Truncated, int(w.Index), w.NotInInventory})
	if len(n.owed) > heldMost {
		n.owed = n.owed[1:]
	}
	if n.v == nil && int(w.After) <= n.applied {
		n.follow(w)
	} else {
		n.changed()
	}
}

// follow brings the copy of a co-ordinator without a vote on.
func (n *node) follow(w peerproto.Reply) {
	if w.Snapshot != nil {
		n.load(w.Snapshot, int(w.Index))
		return
	}
	upTo := int(w.Index)
	for _, e := range w.Entries {
		if int(e.Index) > n.applied && !n.applyOne(int(e.Index), e.Raw) {
			return
		}
		if w.Truncated {
			upTo = int(e.Index)
		}
	}
	n.applied = max(n.applied, upTo)
	n.kept()
	n.changed()
}
