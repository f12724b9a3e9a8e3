package sessionowner

import "testing"

// What may not run twice begins only if its client's time is over before others may act for its session: its part would else run
// beside theirs, with its own process dead or cut off. Safe ones begin as long as the lease holds.
func TestNonIdempotentQueryMustEndWithinLeaseAndGrace(t *testing.T) {
	for _, effect := range []Effect{Idempotent, Keyed, NonIdempotent} {
		r := newClaimedRig(t)
		r.step(QueryEnded{Token: 1, Responded: true}, Lease{r.now + sec, true})
		long, short := r.newQuery(7, effect), r.newQuery(8, effect)
		long.Deadline, short.Deadline = r.now+2*sec+1, r.now+2*sec // Grace is a second
		r.step(long)
		r.want(r.ran(7) == (effect == Idempotent) && r.rejected(7, NoLease) == (effect != Idempotent), "its end is past lease and grace")
		r.step(QueryEnded{Token: 7, Responded: true}, short)
		r.want(r.ran(8), "its end is within lease and grace")
	}
}
