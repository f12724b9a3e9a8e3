package fleetsim

import (
	"slices"
	"time"
)

// council is the agreed log as run by the voters: their elections, words and answers over the links.

func (n *node) resetStand() {
	n.v.stand = n.mono() + electionLeast + time.Duration(n.w.rng.Int64N(int64(electionLeast)))
}

// beat is a voter's turn, each heartbeat by its own clock.
func (n *node) beat() {
	v := n.v
	if v == nil {
		return
	}
	if n.full > 0 {
		if v.leads {
			n.depose()
		}
		return
	}
	if v.leads {
		if n.mono()-n.quorum() > leaderLease {
			n.depose()
		} else {
			n.replicate()
		}
		return
	}
	if n.mono() >= v.stand && !v.mute {
		n.stand()
	}
}

// stand is an election at one moment: who is reached both ways, is not behind a leader and not newer votes for n. As
// votes are counted at once, a voter that lost its disk can't have voted twice in one term; it still must not vote
// before it has what it may have acknowledged.
func (n *node) stand() {
	n.resetStand()
	if n.full > 0 {
		return
	}
	w, v := n.w, n.v
	term, voters := v.term+1, []*node{n}
	for _, p := range w.voters {
		o := w.nodes[p]
		if o == n || !o.runs() || o.full > 0 || o.v.mute || !w.links.both(n.id, o.id) || w.links.lost() || w.links.lost() {
			continue
		}
		if o.v.term >= term || o.v.newer(v) || o.v.leads || o.mono()-o.v.heard < electionLeast {
			term = max(term, o.v.term+1)
			continue
		}
		voters = append(voters, o)
	}
	if len(voters)*2 <= len(w.voters) {
		return
	}
	for _, o := range voters {
		if o.v.term >= term {
			return
		}
	}
	for _, o := range voters {
		o.v.term, o.v.leader, o.v.heard = term, n.id, o.mono()
		o.resetStand()
	}
	v.leads, v.started = true, v.last()+1
	v.match, v.next, v.acked = make([]int, len(w.voters)), make([]int, len(w.voters)), make([]time.Duration, len(w.voters))
	for i := range v.next {
		v.next[i], v.acked[i] = v.last()+1, n.mono()
	}
	v.log = append(v.log, entry{term: term})
	w.changes++
	n.replicate()
}

func (n *node) depose() {
	n.v.leads = false
	n.resetStand()
	n.waiting, n.flush = nil, false
	n.leadDown()
}

// quorum is the newest time by its own clock at which a majority still took n for the leader.
func (n *node) quorum() time.Duration {
	var at []time.Duration
	for i, p := range n.w.voters {
		switch {
		case p == n.id:
			at = append(at, n.mono())
		case !n.w.nodes[p].v.mute:
			at = append(at, n.v.acked[i])
		default:
			at = append(at, 0)
		}
	}
	slices.Sort(at)
	return at[(len(at)-1)/2]
}

// replicate sends each other voter what it lacks, as far as known, and by that the leader's heartbeat.
func (n *node) replicate() {
	v := n.v
	v.match[n.w.place(n.id)] = v.last()
	for i, p := range n.w.voters {
		if p != n.id {
			n.replicateTo(i, p)
		}
	}
	n.advance()
}

func (n *node) replicateTo(i, p int) {
	v := n.v
	a := appendWord{term: v.term, leader: n.id, commit: v.commit, sent: n.mono(), prev: v.next[i] - 1}
	if a.prev < v.base {
		a.snap, a.prev, a.state = true, n.snapAt, n.snap
	}
	a.prevTerm, _ = v.termOf(a.prev)
	if from := a.prev - v.base; from < len(v.log) {
		a.entries = v.log[from:min(len(v.log), from+entriesMost):min(len(v.log), from+entriesMost)]
	}
	n.w.send(n.id, p, func(o *node) { o.onAppend(a) })
}

func (n *node) onAppend(a appendWord) {
	if n.full > 0 {
		return
	}
	v := n.v
	led := v.leads
	ack, loaded := v.take(a, n.mono())
	if a.term >= v.term {
		n.resetStand()
		if led && !v.leads {
			n.depose()
		}
		n.leader = a.leader
	}
	if loaded {
		n.load(a.state, a.prev)
	}
	n.w.stored(n, v)
	n.apply()
	ack.from = n.w.place(n.id)
	n.w.send(n.id, a.leader, func(o *node) { o.onAck(ack) })
}

func (n *node) onAck(a appendAck) {
	v := n.v
	if a.term > v.term {
		v.term = a.term
		if v.leads {
			n.depose()
		}
		return
	}
	if !v.leads || a.term != v.term {
		return
	}
	v.acked[a.from] = max(v.acked[a.from], a.sent)
	if a.ok {
		v.match[a.from] = max(v.match[a.from], a.match)
		v.next[a.from] = max(v.next[a.from], a.match+1)
	} else {
		v.next[a.from] = max(1, min(a.match+1, v.next[a.from]-1))
	}
	n.unmute(a.from)
	n.advance()
	if v.match[a.from] < v.last() && a.ok && v.next[a.from]-1 == a.match && v.last()-a.match > 1 {
		n.replicateTo(a.from, n.w.voters[a.from])
	}
	n.confirm()
}

// unmute lets a voter that lost its disk count again, once a majority without it has all that the leader has, and it too.
func (n *node) unmute(place int) {
	o := n.w.nodes[n.w.voters[place]]
	if !o.v.mute || n.v.match[place] < n.v.last() || o.v.term != n.v.term {
		return
	}
	whole := 0
	for i, p := range n.w.voters {
		if !n.w.nodes[p].v.mute && n.v.match[i] >= n.v.last() {
			whole++
		}
	}
	if whole*2 > len(n.w.voters) {
		o.v.mute = false
	}
}

func (n *node) advance() {
	v := n.v
	v.match[n.w.place(n.id)] = v.last()
	if to := v.settled(len(n.w.voters)/2+1, func(i int) bool { return n.w.nodes[n.w.voters[i]].v.mute }); to > v.commit {
		v.commit = to
		n.w.commit(n, to)
		n.apply()
	}
}

// handOver lets the voter that has most stand for election at once.
func (n *node) handOver() {
	if n.v == nil || !n.v.leads {
		return
	}
	best := -1
	for i, p := range n.w.voters {
		if p != n.id && n.w.nodes[p].runs() && n.w.nodes[p].full == 0 && (best < 0 || n.v.match[i] > n.v.match[best]) {
			best = i
		}
	}
	n.depose()
	if best >= 0 {
		n.w.send(n.id, n.w.voters[best], func(o *node) {
			for _, p := range n.w.voters { // asked for by the leader itself: nobody holds on to it
				n.w.nodes[p].v.heard = min(n.w.nodes[p].v.heard, n.w.nodes[p].mono()-electionLeast)
			}
			o.stand()
		})
	}
}

// lost draws whether one word is lost.
func (l *links) lost() bool { return l.rng.Float64() < l.quality.Lost }
