package sessionowner

import (
	"testing"
	"time"

	"birchcart/internal/fleet/session"
)

func TestQueriesOfASessionInOrder(t *testing.T) {
	r := newClaimedRig(t)
	r.step(r.newQuery(2, Idempotent), r.newQuery(3, Idempotent), r.newQuery(4, Idempotent))
	r.want(r.ran(2) && r.ran(3) && !r.ran(4), "the session's limit of three idempotent queries at once does not hold")
	r.step(QueryEnded{Token: 1, Outcome: Done}, r.newQuery(5, NonIdempotent), r.newQuery(6, Idempotent))
	r.want(r.rejected(1, OwnershipLost), "an answer that MayAnswer did not allow counts as given") // MayAnswer was not called
	r.want(r.ran(4) && !r.ran(5) && !r.ran(6), "not started in order of arrival")
	r.want(r.owner.MayAnswer(r.now, 2) && r.owner.MayAnswer(r.now, 3) && r.owner.MayAnswer(r.now, 4), "answers not allowed")
	r.step(QueryEnded{Token: 2, Outcome: Done}, QueryEnded{Token: 3, Outcome: Done})
	r.want(!r.ran(5), "non-idempotent query started beside an idempotent one")
	r.step(QueryEnded{Token: 4, Outcome: Done})
	r.want(r.ran(5) && !r.ran(6), "non-idempotent query does not run alone")
	r.step(QueryEnded{Token: 5, Outcome: MayHaveRun})
	r.want(r.failed(5, NoAnswer) && r.ran(6), "wrong response, or the next query does not start")
	if _, ok := findOutput(r, func(o Run) bool { return o.Seq == 6 }); !ok {
		t.Fatal("the sixth query does not have sequence number 6")
	}
}

func TestHandOver(t *testing.T) {
	r := newClaimedRig(t)
	r.offer(1, "b")
	r.step(r.applied(), r.newQuery(2, Idempotent))
	r.want(!r.ran(2) && r.owner.Phase(id(1)) == Quiescing, "query started while quiescing")
	r.want(r.owner.MayAnswer(r.now, 1), "answer of an open query not allowed")
	r.step(QueryEnded{Token: 1, Outcome: Done})
	r.want(r.owner.Phase(id(1)) == Frozen && len(r.acts) == 1 && r.acts[0].Kind == session.HandOver && r.acts[0].Seq == 1 && r.acts[0].State == nil, "wrong hand-over")
	r.acts = nil // the proposal is lost
	r.advance(ActRetryInterval)
	r.want(len(r.acts) == 1, "hand-over not repeated")
	r.applyProposed()
	w, ok := findOutput(r, func(o Reject) bool { return o.Token == 2 })
	r.want(ok && w.Reason == NotOwner && w.Owner == "b" && r.owner.Phase(id(1)) == Unknown, "waiting query not directed to the new owner")
	r.step(r.newQuery(3, Idempotent))
	w, ok = findOutput(r, func(o Reject) bool { return o.Token == 3 })
	r.want(ok && w.Reason == NotOwner && w.Owner == "b", "new query not directed to the new owner")
}

// A Keyed or NonIdempotent query past its deadline may still run at its replica. Until its end, no other query of the session starts,
// and the session is not handed over.
func TestOverdueNonIdempotentQueryBlocksSession(t *testing.T) {
	for _, effect := range []Effect{Keyed, NonIdempotent} {
		r := newClaimedRig(t)
		r.step(QueryEnded{Token: 1, Responded: true}, r.newQuery(2, effect))
		r.now += 4 * sec
		r.step(r.newQuery(3, Idempotent))
		r.want(!r.ran(3) && (r.failed(2, DeadlineExceeded) || r.cancelled(2, DeadlineExceeded)), "query started beside an overdue one")
		r.offer(1, "b")
		r.step(r.applied())
		r.want(r.owner.Phase(id(1)) == Quiescing, "frozen while an overdue query is open")
		r.step(QueryEnded{Token: 2, Outcome: MayHaveRun})
		r.want(r.owner.Phase(id(1)) == Frozen && len(r.out) == 1, "not frozen after the end of the overdue query")
	}
}

// After a stall, two queries have waited beyond their share. The rejection of the first must not let the second start.
func TestWaitingQueriesTimeOutTogetherAfterStall(t *testing.T) {
	r := newClaimedRig(t)
	two, three := r.newQuery(2, Idempotent), r.newQuery(3, Idempotent)
	two.Replicas, three.Replicas = []string{"r2"}, []string{"r2"} // where this owner holds one slot
	r.step(QueryEnded{Token: 1, Responded: true}, two, three, r.newQuery(4, Idempotent))
	r.now += 3 * sec
	r.step()
	r.want(!r.ran(4) && r.rejected(3, WaitTimeout) && r.rejected(4, WaitTimeout), "a query that waited too long started")
}

// The owner obeys the agreed state as soon as it can be read, before an Applied input announces it.
func TestAgreedStateCheckedBeforeNotification(t *testing.T) {
	r := newClaimedRig(t)
	r.step(r.newQuery(2, NonIdempotent))
	r.offer(1, "b")
	rec, _ := r.book.Get(id(1))
	r.applyActs("a", session.Act{Kind: session.HandOver, ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence, Seq: 1})
	r.want(!r.owner.MayAnswer(r.now, 1), "answer allowed for another owner's session")
	r.step(QueryEnded{Token: 1, Responded: true})
	r.want(len(r.out) == 0, "started a query of another owner's session, or gave a second response")
	r.step(r.newQuery(3, Idempotent))
	r.want(r.rejected(2, NotOwner) && r.rejected(3, NotOwner), "not both rejected with the owner")
	r = newClaimedRig(t)
	r.offer(1, "b")
	rec, _ = r.book.Get(id(1))
	r.applyActs("a", session.Act{Kind: session.HandOver, ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence, Seq: 1})
	r.step(Applied{State: session.New(), Index: 1}, r.newQuery(3, Idempotent))
	r.want(r.cancelled(1, NotOwner) && r.rejected(3, NotOwner), "open query not cancelled, or an older state took effect")
	w, known := r.owner.RejectInstead(r.now, 1), r.owner.Phase(id(1))
	r.want(w == nil && known == Gone, "second response to a query")
}

// All known sessions are reconciled when a new lease begins. State of one ownership does not carry over to the next.
func TestNewLeaseReconcilesSessions(t *testing.T) {
	r := newClaimedRig(t)
	two := r.newQuery(2, Idempotent)
	two.Session, two.Deadline = id(2), r.now+time.Hour
	r.step(QueryEnded{Token: 1, Responded: true}, two)
	r.applyProposed()
	r.want(r.owner.MayAnswer(r.now, 2) && r.owner.RejectInstead(r.now, 2) == nil, "answer not allowed, or a second response given")
	r.step(Lease{r.now + 5*sec, false}, r.newQuery(3, Idempotent))
	r.want(r.rejected(3, NoLease) && len(r.out) == 2, "wrong responses at the end of the lease")
	r.now += 8 * sec
	r.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
	r.step(r.applied(), Lease{r.now + 5*sec, true})
	r.want(r.owner.Phase(id(1)) == Unknown && r.owner.Phase(id(2)) == Gone, "still believes it owns a session")
	four := r.newQuery(4, NonIdempotent)
	four.Session, four.Replicas = id(2), nil // the release took its slots
	r.step(four)
	r.applyProposed()
	r.want(r.owner.Phase(id(2)) == Active && !r.ran(4), "started beside a query of the previous ownership")
	r.step(QueryEnded{Token: 2, Outcome: Done})
	r.want(r.ran(4), "not started after the last query of the previous ownership ended")
	r.step(QueryEnded{Token: 4, Outcome: Done})
	r.want(r.failed(4, OwnershipLost), "an answer that MayAnswer did not allow counts as given")
	r.owner.Step(0, nil)
	r.want(r.owner.now == r.now, "the time went back")
	none := New("c", Options{})
	r.want(len(none.Step(sec, []Input{Lease{2 * sec, true}, r.newQuery(1, Idempotent)})) == 1 && !none.MayAnswer(sec, 1), "acts on a lease without an agreed state")
}

// A session that is handed here while a claim for it waits is adopted first. Sessions for which there is no capacity are declined, and
// offers to other owners are left alone.
func TestHandedSessionIsAdoptedDuringClaim(t *testing.T) {
	r := newRig(t, Options{MaxSessions: 1})
	r.step(r.newQuery(1, Idempotent))
	for n := 1; n <= 4; n++ {
		r.applyActs("b", session.Act{Kind: session.Claim, ID: id(n)})
		r.offer(n, []string{"", "a", "a", "a", "c"}[n])
	}
	for _, n := range []int{1, 2} {
		rec, _ := r.book.Get(id(n))
		r.applyActs("b", session.Act{Kind: session.HandOver, ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence, Seq: 5})
	}
	r.acts = nil
	r.step(r.applied())
	r.want(!r.ran(1) && r.owner.Phase(id(1)) == Adopting && len(r.acts) == 3, "does not adopt one session, and decline a handed and an offered one")
	r.step(r.applied())
	r.want(len(r.acts) == 3, "acts repeated too soon")
	r.applyProposed()
	rec, _ := r.book.Get(id(4))
	r.want(r.out[0] == Run{1, 6} && rec.To == "c", "does not continue after sequence number 5, or another offer was declined")
	r.step(Applied{State: r.book, Index: 1, AgreedTime: r.now, LogEpoch: 1})
	r.want(r.owner.logEpoch == 1 && r.owner.index == 1, "does not accept a log of a new epoch")
}

func TestQueryLimits(t *testing.T) {
	r := newRig(t, Options{MaxQueries: 6})
	late := r.newQuery(9, Idempotent)
	late.Deadline = r.now
	r.step(late, r.newQuery(1, NonIdempotent), r.newQuery(2, NonIdempotent), r.newQuery(3, NonIdempotent), r.newQuery(4, Idempotent))
	r.want(r.rejected(9, DeadlineExceeded) && r.rejected(4, Overloaded), "one client may wait with more queries than are left for others")
	g := newRig(t, Options{})
	g.step(g.newQuery(1, Idempotent), Draining{})
	g.want(g.rejected(1, ShuttingDown), "a draining owner lets a query wait for a claim")
	r.applyProposed()
	other := r.newQuery(5, Idempotent)
	other.Client = 1
	r.step(other, r.newQuery(4, Idempotent), r.newQuery(6, Idempotent))
	r.want(r.rejected(6, Overloaded) && !r.rejected(5, Overloaded), "no capacity left for another client")
	for n := 10; n < 13; n++ {
		q := r.newQuery(uint64(n), Idempotent)
		q.Client, q.Session, q.Replicas = uint64(n), id(n), nil
		r.step(q)
	}
	r.want(r.rejected(12, Overloaded) && r.owner.Stats().Open == 1, "more than six queries are known")
}

// A restarted process sees, as its copy of the agreed state catches up, a hand-over that its predecessor adopted. It ends that session.
func TestAdoptionByPreviousProcessEndsSession(t *testing.T) {
	r := newClaimedRig(t)
	r.offer(1, "b")
	r.step(r.applied(), QueryEnded{Token: 1, Responded: true})
	r.applyProposed()
	rec, _ := r.book.Get(id(1))
	b := New("b", Options{})
	b.Step(r.now, []Input{r.applied()})
	r.applyActs("b", session.Act{Kind: session.Adopt, ID: id(1), Epoch: rec.Epoch})
	b.Step(r.now, []Input{r.applied(), Lease{r.now + 5*sec, true}})
	r.want(rec.Owner == "b" && rec.Phase == session.HandedOver && b.Phase(id(1)) == Ending, "takes the adoption of the previous process for its own: "+b.Phase(id(1)).String())
}
