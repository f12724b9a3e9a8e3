package sessionowner

import (
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
)

// The functions of this file maintain the record of completed queries that must not run twice, which a hand-over takes along.

// windowSlackDivisor shortens a keyed query's window by 1/windowSlackDivisor of its length to allow for clock drift: 1 % for
// each of the two clocks that may measure it. Twice the slack gains nothing; with half of it, a clock that is 1 % slow lets a repeat
// take effect again.
const windowSlackDivisor = 50

// alreadyRan reports whether a query with that id, which may run until due, must not start because it ran, or may have run, here or
// at an earlier owner. That holds if either of the two is NonIdempotent, or if both are Keyed and the repeat could take effect again.
func (s *sessionEntry) alreadyRan(id completed.ID, effect Effect, due time.Duration) bool {
	e, ok := s.completed.Find(id)
	return ok && (effect == NonIdempotent || e.BlocksRepeat(due))
}

// failDuplicate fails a repeat of a query that must not run twice. Nothing of the repeat runs.
func (o *Owner) failDuplicate(token uint64) {
	o.stats.Failed++
	o.stats.Duplicates++
	o.out = append(o.out, Fail{token, Duplicate})
}

// recordCompletion records the end of a Keyed or NonIdempotent query, unless it certainly did not run. A query of an earlier ownership
// is left out, since its sequence number does not belong to the current order.
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

// handOverState returns the state that a hand-over takes along. This co-ordinator estimates the agreed time from the last agreed state
// that it saw, which lags, so windows end early at the target, never late.
func (o *Owner) handOverState(s *sessionEntry) []byte {
	return s.completed.Save(s.seq, o.agreedSince(0)-o.now, o.limits.MaxStateBytes)
}

// restoreState loads the state that a hand-over took along. Its windows end by agreed time, which this co-ordinator may not know
// exactly. Until the adoption, window ends are kept relative to the time of the hand-over. The adoption gets its agreed time after this
// co-ordinator proposed it, so the time of the proposal gives an upper bound for the agreed time.
func (o *Owner) restoreState(s *sessionEntry, r session.Record) {
	entries, err := completed.Load(r.State, r.Seq, r.Since)
	if s.unreadable = err != nil; s.unreadable {
		o.log("session %s declined: %v", session.ID(s.id), err)
	}
	s.completed = append(s.completed[:0], entries...)
}
