package sessionowner

import (
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// arrived begins a query, lets it wait or refuses it, at once.
func (k *Keeper) arrived(a *Arrived) {
	if k.queries[a.Token] != nil {
		k.say("query %d came twice: the second counts for nothing", a.Token)
		return
	}
	k.sums.Arrived++
	switch {
	case !k.ready():
		k.turnAway(a.Token, NoLease, BackLater, "")
		return
	case k.now >= a.Due:
		k.turnAway(a.Token, Late, BackLater, "")
		return
	}
	r, ok := k.book.Get(a.Session)
	s := k.sessions[a.Session]
	if s != nil {
		k.look(s, r, ok)
		s = k.sessions[a.Session] // it may be known no more
	}
	if s != nil && a.Effect != Safe && (s.phase == Pinned || s.phase == Quiescing || s.phase == Frozen) && s.ranBefore(a.ID, a.Effect, a.Due) {
		k.failAgain(a.Token)
		return
	}
	if s == nil || s.phase == Gone {
		if ok && r.Owner != k.name {
			k.turnAway(a.Token, Elsewhere, BackSoon, r.Owner)
			return
		}
		if s = k.opened(s, a, r, ok); s == nil {
			return
		}
	}
	if len(k.queries) >= k.o.QueriesMost {
		k.turnAway(a.Token, Full, BackFull, "")
		k.unused(s)
		return
	}
	q := k.newQuery(a, s)
	if s.idle {
		k.rest(s, false)
	}
	s.wait.add(q)
	s.waits++
	k.begin(s, nil)
	if k.queries[a.Token] != q { // told
		k.settle(s)
		return
	}
	if q.runs {
		return
	}
	// It waits: there has to be room for that.
	mine := k.clients[q.client]
	if int(s.waits) > k.o.WaitsMost || k.waits+int(mine.waits) >= k.o.QueriesMost {
		k.unqueue(q, false)
		k.word(q)
		k.turnAway(q.token, Full, BackFull, "")
		k.forget(q)
		k.unused(s)
		return
	}
	mine.waits++
	k.clients[q.client] = mine
	k.waits++
	k.timers.set(q, k.now+(q.due-k.now)/WaitShare)
}

// opened makes a session known that is free, or agreed to be here and of before.
func (k *Keeper) opened(s *sess, a *Arrived, r session.Record, ok bool) *sess {
	switch {
	case k.leaving && !ok:
		k.turnAway(a.Token, Going, BackSoon, "")
		return nil
	case s == nil && len(k.sessions)+int(k.clients[a.Client].sessions) >= k.o.SessionsMost:
		k.turnAway(a.Token, Full, BackFull, "")
		return nil
	}
	if s == nil {
		s = k.newSession(a.Session)
		s.client, s.counted, s.lane = a.Client, true, a.Lane
		c := k.clients[a.Client]
		c.sessions++
		k.clients[a.Client] = c
	}
	k.found(s, r, ok)
	return s
}

// unused lets go of a claim that was opened for a query which then found no room.
func (k *Keeper) unused(s *sess) {
	if s.phase == Pinned {
		k.settle(s)
	}
}

func (k *Keeper) newQuery(a *Arrived, s *sess) *query {
	var q *query
	if n := len(k.freeQueries); n > 0 {
		q, k.freeQueries = k.freeQueries[n-1], k.freeQueries[:n-1]
	} else {
		q = new(query)
	}
	k.no++
	*q = query{
		token: a.Token, no: k.no, client: a.Client, id: a.ID, s: s, needs: a.Needs, due: a.Due, window: a.Window, effect: a.Effect, place: -1,
	}
	k.queries[q.token] = q
	return q
}

// freeMost queries and sessions are kept for their next use.
const freeMost = 4096

func (k *Keeper) forget(q *query) {
	delete(k.queries, q.token)
	if len(k.freeQueries) < freeMost {
		*q = query{}
		k.freeQueries = append(k.freeQueries, q)
	}
}

// begin runs what may run of those that wait, in their order. woken is the slot whose turn it is, nil for none. What is
// agreed, and the lease, were looked at by the caller.
func (k *Keeper) begin(s *sess, woken *slot) {
	for s.phase == Pinned && s.at == nil && s.wait.head != nil {
		q := s.wait.head
		if q.place >= 0 && q.key <= k.now { // its share is over, and it was not its turn to be told yet
			k.giveUp(q, Waited, BackLater, "")
			continue
		}
		if k.outlives(q) {
			k.giveUp(q, NoLease, BackLater, "")
			continue
		}
		if q.effect != Safe && s.ranBefore(q.id, q.effect, q.due) {
			k.word(q)
			k.failAgain(q.token)
			k.unqueue(q, q.place >= 0)
			k.forget(q)
			continue
		}
		if q.effect != Safe && s.runs > 0 || s.alone > 0 || s.runs > 0 && int(s.runs) >= k.limits.Slots {
			return
		}
		if lacks := k.reserve(q, woken); lacks != nil {
			lacks.block(s)
			return
		}
		woken = nil
		k.unqueue(q, q.place >= 0)
		s.seq++
		q.runs, q.epoch, q.seq, q.began = true, s.epoch, s.seq, k.now
		s.open.add(q)
		s.runs++
		if q.effect != Safe {
			s.alone++
		}
		k.timers.set(q, q.due)
		k.sums.Ran++
		if q.effect == Unsafe {
			q.spot = len(k.unsafe)
			k.unsafe = append(k.unsafe, q)
		}
		k.seen.began(k, q)
		k.out = append(k.out, Run{q.token, q.seq})
	}
}

// outlives says that a part of the query could still run at a replica when others may act for its session: they may from the end
// of the lease and Grace on, the frames carry the client's time, and this process may be gone by then, or cut off, so that
// nobody takes its parts back. Of a safe one only the answer would count, and it is not given.
func (k *Keeper) outlives(q *query) bool { return q.effect != Safe && q.due > k.until+k.limits.Grace }

// pump is begin after a look at what is agreed.
func (k *Keeper) pump(s *sess, woken *slot) {
	if s.phase == Pinned && s.wait.head != nil && k.ready() && k.ours(s, s.epoch) {
		k.begin(s, woken)
		if s.phase == Pinned && s.wait.head == nil && s.runs == 0 { // none of them could begin
			k.rest(s, true)
		}
	}
}

// unqueue takes a query out of those that wait; counted says that its waiting was counted.
func (k *Keeper) unqueue(q *query, counted bool) {
	s := q.s
	if s.wait.head == q && s.at != nil {
		s.at.unblock(s)
	}
	s.wait.drop(q)
	s.waits--
	if counted {
		k.waits--
		k.count(q.client, 0, -1)
		k.timers.drop(q)
	}
}

func (k *Keeper) count(client uint64, sessions, waits int32) {
	c := k.clients[client]
	c.sessions += sessions
	c.waits += waits
	if c == (account{}) {
		delete(k.clients, client)
		return
	}
	k.clients[client] = c
}

// ended is the end of one that ran.
func (k *Keeper) ended(e *Ended) {
	q := k.queries[e.Token]
	if q == nil {
		return
	}
	s := q.s
	if !q.runs {
		if e.Told {
			k.left(e.Token)
			return
		}
		k.refuse(q, Broken, BackLater, "")
		return
	}
	if e.Told {
		q.told = true
	}
	if !q.told && !q.allowed {
		k.out = append(k.out, k.wordAtEnd(q, e.Outcome))
	}
	k.remember(q, e.Outcome)
	s.used = k.now
	if e.Until > k.now { // what is out of it is waited for
		q.told, q.strays = true, true
		k.timers.set(q, e.Until)
		return
	}
	k.close(q)
}

// close is the very end of one that ran.
func (k *Keeper) close(q *query) {
	s := q.s
	if q.effect == Unsafe {
		last := len(k.unsafe) - 1
		k.unsafe[q.spot] = k.unsafe[last]
		k.unsafe[q.spot].spot = q.spot
		k.unsafe[last], k.unsafe = nil, k.unsafe[:last]
	}
	k.timers.drop(q)
	s.open.drop(q)
	if q.over {
		s.left--
	} else {
		k.counts(q)
	}
	k.giveBack(q)
	k.forget(q)
	k.settle(s)
}

// counts takes one that ran off what its session has open.
func (k *Keeper) counts(q *query) {
	q.s.runs--
	if q.effect != Safe {
		q.s.alone--
	}
}

// past lets a query count for its session no more, though something of it may be out at a replica still.
func (k *Keeper) past(q *query) {
	k.timers.drop(q)
	q.over = true
	k.counts(q)
	q.s.left++
	k.settle(q.s)
}

// left is for a client that has gone.
func (k *Keeper) left(token uint64) {
	q := k.queries[token]
	switch {
	case q == nil:
	case q.runs:
		q.told = true
	default:
		s := q.s
		k.unqueue(q, true)
		k.forget(q)
		k.settle(s)
	}
}

// overdue ends what is over by its time: waiting, running, and being let run before a hand-over.
func (k *Keeper) overdue() {
	for len(k.timers) > 0 && k.timers[0].key <= k.now {
		q := k.timers[0]
		switch {
		case !q.runs:
			k.refuse(q, Waited, BackLater, k.ownerOf(q.s))
		case q.strays:
			k.close(q)
		case k.now >= q.due:
			k.tell(q, Late, "")
			if q.effect == Safe {
				k.past(q)
			} else { // what comes behind it waits until it is surely over at its replicas: S3
				k.timers.drop(q)
			}
		default:
			k.timers.set(q, q.due)
			if k.harmless(q, BackLater) {
				k.tell(q, Moving, k.ownerOf(q.s))
			}
		}
	}
}

// ownerOf names the co-ordinator where a session will be, as far as that is agreed; "" for this one.
func (k *Keeper) ownerOf(s *sess) string {
	if k.book == nil {
		return ""
	}
	switch r, ok := k.book.Get(s.id); {
	case !ok:
		return ""
	case r.Owner != k.name:
		return r.Owner
	case r.Phase == session.Offered:
		return r.To
	}
	return ""
}

// byArrival gives all that have something to come, in the order of their arrival.
func (k *Keeper) byArrival() []*query {
	all := slices.Clone([]*query(k.timers))
	slices.SortFunc(all, func(a, b *query) int {
		if a.no < b.no {
			return -1
		}
		return 1
	})
	return all
}

// spread gives a time to come back, up to twice base, by the token.
func spread(base time.Duration, token uint64) time.Duration {
	return base + base/256*time.Duration(token*0x9e3779b97f4a7c15>>56)
}
