package sessionowner

import (
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
)

// What a session remembers of its queries that must not run twice, here and across a move.

// windowSlack is the part of a keyed query's window, one of so many, that is left out for clocks: 1 % for each of the two
// that it may be measured by. Twice the part: nothing is gained; half: a clock that is 1 % slow lets a repeat act again.
const windowSlack = 50

// ranBefore says that a query of that id, which may run until due, must not begin: it ran here or at an owner before, or may have, and one of both is
// unsafe, or both are keyed and the repeat could act again.
func (s *sess) ranBefore(id completed.ID, effect Effect, due time.Duration) bool {
	e, ok := s.ran.Find(id)
	return ok && (effect == Unsafe || e.Bars(due))
}

// failAgain tells a client that repeats such a one; nothing of the repeat runs.
func (k *Keeper) failAgain(token uint64) {
	k.sums.Failed++
	k.sums.Repeated++
	k.out = append(k.out, Fail{token, Repeated})
}

// remember notes the end of a query that is not safe, unless it surely never ran. One of an ownership before this one is not of this
// session's order any more.
func (k *Keeper) remember(q *query, end Outcome) {
	if q.effect == Safe || end == NotRun || q.epoch != q.s.epoch {
		return
	}
	e := completed.Entry{ID: q.id, How: completed.MayHaveRun, Seq: uint32(q.seq)}
	if end == Done {
		e.How = completed.Served
	}
	if q.effect == Keyed {
		e = e.Keys(q.began + q.window - q.window/windowSlack)
	}
	q.s.ran = q.s.ran.Note(e)
}

// carries is what a hand takes along. This co-ordinator knows the agreed time by what it last saw agreed, which is behind, so
// windows end early at the target, never late.
func (k *Keeper) carries(s *sess) []byte {
	return s.ran.Save(s.seq, k.since(0)-k.now, k.limits.StateMost)
}

// carried takes over what a hand took along. Its windows end by agreed time, of which too little may be known here: until the adoption they
// are kept by the time since the hand. The adoption is stamped after it was proposed from here, which bounds the agreed time from above.
func (k *Keeper) carried(s *sess, r session.Record) {
	got, err := completed.Load(r.State, r.Seq, r.Since)
	if s.unread = err != nil; s.unread {
		k.say("session %s is declined: %v", session.ID(s.id), err)
	}
	s.ran = append(s.ran[:0], got...)
}
