package sessionowner

import (
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
)

// What a session remembers of its queries that must not run twice, here and across a move.

// windowSlackDivisor is the part of a keyed query's window, one of so many, that is left out for clocks: 1 % for each of the two
// that it may be measured by. Twice the part: nothing is gained; half: a clock that is 1 % slow lets a repeat act again.
const windowSlackDivisor = 50

// alreadyRan says that a query of that id, which may run until due, must not begin: it ran here or at an owner before, or may have, and one of both is
// unsafe, or both are keyed and the repeat could act again.
func (s *sessionEntry) alreadyRan(id completed.ID, effect Effect, due time.Duration) bool {
	e, ok := s.completed.Find(id)
	return ok && (effect == NonIdempotent || e.BlocksRepeat(due))
}

// failDuplicate fails a client's repeat of such a one; nothing of the repeat runs.
func (o *Owner) failDuplicate(token uint64) {
	o.stats.Failed++
	o.stats.Duplicates++
	o.out = append(o.out, Fail{token, Duplicate})
}

// recordCompletion notes the end of a query that is not safe, unless it surely never ran. One of an ownership before this one is not of this
// session's order any more.
func (o *Owner) recordCompletion(q *query, end Outcome) {
	if q.effect == Idempotent || end == NotRun || q.epoch != q.session.epoch {
		return
	}
	e := completed.Entry{ID: q.id, Outcome: completed.MayHaveRun, Seq: uint32(q.seq)}
	if end == Done {
		e.Outcome = completed.Served
	}
	if q.effect == Keyed {
		e = e.WithWindowEnd(q.startedAt + q.window - q.window/windowSlackDivisor)
	}
	q.session.completed = q.session.completed.Add(e)
}

// handOverState is what a hand takes along. This co-ordinator knows the agreed time by what it last saw agreed, which is behind, so
// windows end early at the target, never late.
func (o *Owner) handOverState(s *sessionEntry) []byte {
	return s.completed.Save(s.seq, o.agreedSince(0)-o.now, o.limits.MaxStateBytes)
}

// restoreState takes over what a hand took along. Its windows end by agreed time, of which too little may be known here: until the adoption they
// are kept by the time since the hand. The adoption is stamped after it was proposed from here, which bounds the agreed time from above.
func (o *Owner) restoreState(s *sessionEntry, r session.Record) {
	got, err := completed.Load(r.State, r.Seq, r.Since)
	if s.unreadable = err != nil; s.unreadable {
		o.log("session %s is declined: %v", session.ID(s.id), err)
	}
	s.completed = append(s.completed[:0], got...)
}
