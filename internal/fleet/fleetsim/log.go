package fleetsim

import (
	"bytes"
	"fmt"
	"time"
)

// Times of the emulated log, as hashicorp/raft has them by default. Twice as long and a dead leader is missed for
// longer; half as long and a stall of a second changes leaders.
const (
	heartbeat     = 250 * time.Millisecond // between a leader's words to each voter
	electionLeast = time.Second            // without a leader's word, until a voter stands; up to twice that
	leaderLease   = 500 * time.Millisecond // without a majority, until a leader takes itself for deposed
	keptEntries   = 64                     // behind the applied one; older ones are in the snapshot only
	entriesMost   = 128                    // in one word
)

// entry of the agreed log; raw is nil for the first of a term.
type entry struct {
	term uint64
	raw  []byte
}

// voter is one copy of the log: what its disk keeps, and what its process knows.
type voter struct {
	at   int // co-ordinator that runs it
	term uint64
	base int     // entries up to here are in the snapshot only
	past uint64  // term of entry base
	log  []entry // base+1, ...
	mute bool    // its disk was lost: no vote and no count until a majority of others has all that it has

	leads   bool
	leader  int // as last told, -1 if unknown
	commit  int
	heard   time.Duration // own clock
	stand   time.Duration // own clock: when to stand for election
	started int           // index of the first entry of its own term
	match   []int         // by voter's place, as leader
	next    []int
	acked   []time.Duration // own clock at the sending of the newest answered word
}

func (v *voter) last() int { return v.base + len(v.log) }

func (v *voter) termOf(i int) (uint64, bool) {
	switch {
	case i == v.base:
		return v.past, true
	case i > v.base && i <= v.last():
		return v.log[i-v.base-1].term, true
	}
	return 0, false
}

// compact throws away what the snapshot at the given index covers, but for the newest.
func (v *voter) compact(snapshot int) {
	if to := min(snapshot, v.commit) - keptEntries; to > v.base+keptEntries {
		v.past, _ = v.termOf(to)
		v.log = append([]entry(nil), v.log[to-v.base:]...)
		v.base = to
	}
}

// forget is a crash: what is not on the disk is gone.
func (v *voter) forget() {
	v.leads, v.leader, v.commit = false, -1, v.base
}

// lose is the loss of the disk.
func (v *voter) lose() {
	*v = voter{at: v.at, leader: -1, mute: true}
}

// appendWord is a leader's word: entries after prev, or with snap the state at prev.
type appendWord struct {
	term     uint64
	leader   int
	prev     int
	prevTerm uint64
	snap     bool
	entries  []entry
	commit   int
	sent     time.Duration // leader's clock
	state    []byte        // with snap
}

type appendAck struct {
	from  int // place among the voters
	term  uint64
	ok    bool
	match int
	sent  time.Duration
}

// take is a voter's answer to a leader's word. A snapshot that its log doesn't have replaces that as a whole.
func (v *voter) take(a appendWord, now time.Duration) (ack appendAck, loaded bool) {
	if a.term < v.term {
		return appendAck{term: v.term, sent: a.sent}, false
	}
	if a.term > v.term || !v.leads {
		v.term, v.leads, v.leader = a.term, false, a.leader
	}
	v.heard = now
	ack = appendAck{term: v.term, sent: a.sent}
	if t, has := v.termOf(a.prev); a.snap && a.prev > v.base && (!has || t != a.prevTerm) {
		v.base, v.past, v.log, loaded = a.prev, a.prevTerm, nil, true
		v.commit = max(v.commit, a.prev)
	}
	if a.prev < v.base { // all up to base is committed, and so the same
		skip := min(v.base-a.prev, len(a.entries))
		a.entries, a.prev = a.entries[skip:], a.prev+skip
		if a.prev < v.base {
			ack.ok, ack.match = true, a.prev
			return ack, loaded
		}
		a.prevTerm = v.past
	}
	if t, has := v.termOf(a.prev); !has || t != a.prevTerm {
		ack.match = min(v.last(), a.prev-1)
		return ack, false
	}
	for i, e := range a.entries {
		at := a.prev + 1 + i
		if t, has := v.termOf(at); has && t == e.term {
			continue
		} else if has {
			v.log = v.log[:at-v.base-1]
		}
		v.log = append(v.log, e)
	}
	ack.ok, ack.match = true, a.prev+len(a.entries)
	v.commit = max(v.commit, min(a.commit, ack.match))
	return ack, loaded
}

// newer says whether v's log holds more than w's, by raft's order.
func (v *voter) newer(w *voter) bool {
	vt, _ := v.termOf(v.last())
	wt, _ := w.termOf(w.last())
	return vt > wt || vt == wt && v.last() > w.last()
}

// settled is the highest index that a majority holds and that is of the leader's own term.
func (v *voter) settled(most int, muted func(int) bool) int {
	for i := v.last(); i > v.commit; i-- {
		if t, _ := v.termOf(i); t != v.term {
			return v.commit
		}
		have := 0
		for place, m := range v.match {
			if m >= i && !muted(place) {
				have++
			}
		}
		if have >= most {
			return i
		}
	}
	return v.commit
}

// agreed is what was ever committed, seen from above. Any copy that differs breaks the emulator, not the fleet.
type agreed struct {
	entries []entry // 1, ...
	at      []time.Duration
}

func (g *agreed) commit(v *voter, upTo int, now time.Duration, fresh func(index int, e entry)) error {
	for i := v.base + 1; i <= upTo; i++ {
		e := v.log[i-v.base-1]
		if i <= len(g.entries) {
			if old := g.entries[i-1]; old.term != e.term || !bytes.Equal(old.raw, e.raw) {
				return fmt.Errorf("log: entry %d was committed in term %d and is another of term %d at %d", i, old.term, e.term, v.at)
			}
			continue
		}
		g.entries, g.at = append(g.entries, e), append(g.at, now)
		fresh(i, e)
	}
	return nil
}
