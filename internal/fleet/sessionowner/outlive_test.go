package sessionowner

import "testing"

// A Keyed or NonIdempotent query starts only if its deadline comes before another co-ordinator may act for the session. Otherwise, if
// this process crashes or is cut off, a part of the query could run beside queries of the new owner. Idempotent queries start as long
// as the lease is valid.
func TestNonIdempotentQueryMustEndWithinLeaseAndGrace(t *testing.T) {
	for _, effect := range []Effect{Idempotent, Keyed, NonIdempotent} {
		r := newClaimedRig(t)
		r.step(QueryEnded{Token: 1, Responded: true}, Lease{r.now + sec, true})
		long, short := r.newQuery(7, effect), r.newQuery(8, effect)
		long.Deadline, short.Deadline = r.now+2*sec+1, r.now+2*sec // Grace is a second
		r.step(long)
		r.want(r.ran(7) == (effect == Idempotent) && r.rejected(7, NoLease) == (effect != Idempotent), "deadline past lease and grace")
		r.step(QueryEnded{Token: 7, Responded: true}, short)
		r.want(r.ran(8), "deadline within lease and grace")
	}
}
