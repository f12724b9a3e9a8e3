package sessionowner

import (
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
)

// newQueryWithID returns a query of session 1 with the hash of the given client id.
func (r *rig) newQueryWithID(token uint64, e Effect, name string) Arrived {
	q := r.newQuery(token, e)
	q.ID = completed.IDOf(name)
	return q
}

// moveSession hands session 1 over from one owner to another, which adopts it.
func moveSession(from, to *rig) {
	from.t.Helper()
	from.offer(1, to.name)
	from.step(from.applied())
	from.applyProposed()
	to.step(to.applied())
	to.applyProposed()
	to.want(to.owner.Phase(id(1)) == Active, "not adopted")
}

// A client repeats a query that ran, or may have run, before the session was handed over. The repeat fails at once and nothing of it
// runs, while a query that certainly did not run starts. The same holds without a hand-over and after two.
func TestRepeatedQueryFailsAfterHandOver(t *testing.T) {
	for _, moves := range []int{0, 1, 2} {
		a := newClaimedRig(t)
		b := a.newRigFor("b", Options{}, 3, 1)
		a.now += 30 * sec
		a.step(QueryEnded{Token: 1, Responded: true})
		for i, c := range []struct {
			effect Effect
			name   string
			end    Outcome
		}{{NonIdempotent, "served", Done}, {NonIdempotent, "broken", MayHaveRun}, {NonIdempotent, "never", NotRun}, {Keyed, "keyed", MayHaveRun}} {
			q := a.newQueryWithID(uint64(i+2), c.effect, c.name)
			a.step(q)
			a.step(QueryEnded{Token: q.Token, Outcome: c.end, Responded: true})
		}
		at, other := a, b
		for range moves {
			moveSession(at, other)
			at, other = other, at
		}
		at.step(at.newQueryWithID(10, NonIdempotent, "served"), at.newQueryWithID(11, NonIdempotent, "broken"))
		at.want(at.failed(10, Duplicate) && at.failed(11, Duplicate) && len(at.out) == 2 && at.owner.Stats().Duplicates == 2, "repeats of queries that ran or may have run do not fail")
		at.step(at.newQueryWithID(12, NonIdempotent, "never"))
		at.want(at.ran(12), "repeat of a query that did not run does not start")
		at.step(at.newQueryWithID(13, NonIdempotent, "never"))
		at.step(QueryEnded{Token: 12, Outcome: MayHaveRun, Responded: true})
		at.want(at.failed(13, Duplicate), "repeat that waited for the first try does not fail")
		at.step(at.newQueryWithID(14, Keyed, "keyed"))
		at.want(at.ran(14), "keyed repeat within its window does not start")
		at.step(QueryEnded{Token: 14, Outcome: Done, Responded: true}, at.newQueryWithID(15, NonIdempotent, ""), at.newQueryWithID(16, Idempotent, "served"))
		at.want(at.ran(15), "query without an id does not start")
		at.step(QueryEnded{Token: 15, Outcome: Done, Responded: true})
		at.want(at.ran(16), "idempotent query does not start")
		at.step(QueryEnded{Token: 16, Outcome: Done, Responded: true})
		at.advance(6 * sec) // the window is 10 s long and starts with the first try
		at.step(at.newQueryWithID(17, Keyed, "keyed"))
		at.want(at.failed(17, Duplicate), "keyed repeat past its window does not fail")
		at.step(at.newQueryWithID(18, Keyed, "two"))
		at.step(QueryEnded{Token: 18, Outcome: MayHaveRun, Responded: true}, at.newQueryWithID(19, NonIdempotent, "two"))
		at.want(at.failed(19, Duplicate), "non-idempotent query with the id of a keyed one does not fail")
	}
}

// The new owner sees the hand-over late, after a stall. It must not take the window of a keyed query for longer than it is.
func TestWindowNotExtendedAtLaggingOwner(t *testing.T) {
	for _, behind := range []time.Duration{0, 7 * sec} {
		a := newClaimedRig(t)
		b := a.newRigFor("b", Options{}, 3, 1)
		a.step(QueryEnded{Token: 1, Responded: true}, a.newQueryWithID(2, Keyed, "k"))
		a.step(QueryEnded{Token: 2, Outcome: MayHaveRun, Responded: true})
		a.offer(1, "b")
		a.step(a.applied())
		a.applyProposed()
		handed := b.applied()
		b.now += behind
		b.step(handed)
		b.applyProposed()
		b.step(b.newQueryWithID(3, Keyed, "k"))
		b.want(b.ran(3) == (behind == 0) && b.failed(3, Duplicate) == (behind > 0), "wrong end of the window")
	}
}

// A hand-over whose state can't be decoded is declined with a log message, and the session returns to the previous owner.
func TestUnreadableHandOverStateIsDeclined(t *testing.T) {
	a := newClaimedRig(t)
	b := a.newRigFor("b", Options{}, 3, 1)
	a.step(QueryEnded{Token: 1, Responded: true}, a.newQueryWithID(2, NonIdempotent, "u"))
	a.step(QueryEnded{Token: 2, Outcome: Done, Responded: true})
	a.offer(1, "b")
	a.step(a.applied())
	a.acts[0].State[0]++
	a.applyProposed()
	b.step(b.applied(), b.newQueryWithID(3, NonIdempotent, "u"))
	_, said := findOutput(b, func(l Log) bool {
		return strings.Contains(l.Text, "declined: unknown version of a record of queries: 2, known is 1")
	})
	b.want(said && len(b.acts) == 1 && b.acts[0].Kind == session.Decline && !b.ran(3), "state that can't be decoded is not declined")
	b.applyProposed()
	r, _ := b.book.Get(id(1))
	b.want(r.Owner == "a" && b.rejected(3, NotOwner), "session does not return to the previous owner")
}

// The state of a hand-over keeps to its size limit by dropping the oldest entries.
func TestHandOverStateLimitKeepsNewest(t *testing.T) {
	a := newClaimedRig(t)
	b := a.newRigFor("b", Options{}, 3, 1)
	reduced := limits
	reduced.Revision, reduced.MaxStateBytes = 2, 24
	a.apply(session.KindLimits, session.LimitsBody{Limits: reduced})
	a.step(a.applied(), QueryEnded{Token: 1, Responded: true})
	for n, name := range []string{"one", "two", "three"} {
		a.step(a.newQueryWithID(uint64(n+2), NonIdempotent, name))
		a.step(QueryEnded{Token: uint64(n + 2), Outcome: Done, Responded: true})
	}
	moveSession(a, b)
	b.step(b.newQueryWithID(9, NonIdempotent, "three"), b.newQueryWithID(10, NonIdempotent, "two"), b.newQueryWithID(11, NonIdempotent, "one"))
	b.want(b.failed(9, Duplicate) && b.failed(10, Duplicate) && b.ran(11), "not just the two newest entries were kept")
}

// A duplicate fails at once, even behind waiting queries and during a hand-over.
func TestDuplicateFailsAtOnce(t *testing.T) {
	r := newClaimedRig(t)
	r.step(QueryEnded{Token: 1, Responded: true}, r.newQueryWithID(2, NonIdempotent, "u"))
	r.step(QueryEnded{Token: 2, Outcome: MayHaveRun, Responded: true}, r.newQuery(3, NonIdempotent), r.newQueryWithID(4, NonIdempotent, "u"))
	r.want(r.ran(3) && r.failed(4, Duplicate), "not failed at once behind an open query")
	r.offer(1, "b")
	r.step(r.applied(), r.newQueryWithID(5, NonIdempotent, "u"))
	r.want(r.owner.Phase(id(1)) == Quiescing && r.failed(5, Duplicate), "not failed at once while quiescing")
	r.step(QueryEnded{Token: 3, Outcome: Done, Responded: true}, r.newQueryWithID(6, NonIdempotent, "u"))
	r.want(r.owner.Phase(id(1)) == Frozen && r.failed(6, Duplicate), "not failed at once while frozen")
}

// A query that started under an earlier ownership is not recorded when it ends, since its sequence number belongs to another order.
func TestEndFromEarlierOwnershipIsNotRecorded(t *testing.T) {
	r := newClaimedRig(t)
	r.step(QueryEnded{Token: 1, Responded: true}, r.newQueryWithID(2, NonIdempotent, "u"), Lease{r.now + 5*sec, true})
	r.now += 8 * sec
	r.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
	q := r.newQuery(3, NonIdempotent)
	q.Replicas = nil // the release took its slots
	r.step(r.applied(), Lease{r.now + 1000*sec, true}, q)
	r.applyProposed()
	r.step(QueryEnded{Token: 2, Outcome: MayHaveRun})
	r.want(r.ran(3) && len(r.owner.sessions[id(1)].completed) == 0, "records a query of an earlier ownership")
}

// An adoption was applied at once but is seen only after it was proposed again. The first proposal bounds the agreed time.
func TestLateAdoptionUsesFirstProposalTime(t *testing.T) {
	a := newClaimedRig(t)
	b := a.newRigFor("b", Options{}, 3, 1)
	a.step(QueryEnded{Token: 1, Responded: true}, a.newQueryWithID(2, Keyed, "k"))
	a.step(QueryEnded{Token: 2, Outcome: MayHaveRun, Responded: true})
	a.offer(1, "b")
	a.step(a.applied())
	a.applyProposed()
	b.step(b.applied())
	b.applyActs("b", b.acts...)
	firstState := b.applied()
	b.now += 7 * sec
	b.step() // proposes it again
	b.step(firstState, b.newQueryWithID(3, Keyed, "k"))
	b.want(len(b.acts) == 2 && b.owner.Phase(id(1)) == Active && b.failed(3, Duplicate), "wrong end of the window")
}

// Unsafe lists NonIdempotent queries while they are open, the one with most time left first, but no other or waiting queries.
func TestUnsafeListsOpenNonIdempotentQueries(t *testing.T) {
	r := newRig(t, Options{})
	for n := 1; n <= 5; n++ {
		q := r.newQuery(uint64(n), []Effect{NonIdempotent, NonIdempotent, NonIdempotent, Keyed, Idempotent}[n-1])
		q.Session, q.Deadline, q.Replicas = id(n), r.now+time.Duration(n)*sec, nil
		r.step(q)
	}
	second := r.newQuery(6, NonIdempotent)
	second.Session, second.Replicas = id(1), nil
	r.step(second)
	r.applyProposed()
	r.now += ms
	r.step()
	want := []UnsafeQuery{{id(3), 3*sec - ms}, {id(2), 2*sec - ms}, {id(1), sec - ms}}
	if got := r.owner.Unsafe(nil, 9); !slices.Equal(got, want) || !slices.Equal(r.owner.Unsafe(nil, 2), want[:2]) {
		t.Fatalf("%v, want %v", got, want)
	}
	r.step(QueryEnded{Token: 2, Outcome: Done, Responded: true}, QueryEnded{Token: 1, Outcome: MayHaveRun, Responded: true, BusyUntil: r.now + 9*sec})
	if got := r.owner.Unsafe(nil, 9); !slices.Equal(got, []UnsafeQuery{{id(1), 9 * sec}, {id(3), 3*sec - ms}}) {
		t.Fatalf("after two queries ended: %v", got)
	}
}
