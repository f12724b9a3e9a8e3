package sessionowner

import (
	"testing"
	"time"

	"birchcart/internal/fleet/session"
)

func TestQueriesOfASessionInOrder(t *testing.T) {
	r := newClaimedRig(t)
	r.step(r.newQuery(2, Idempotent), r.newQuery(3, Idempotent), r.newQuery(4, Idempotent))
	r.want(r.ran(2) && r.ran(3) && !r.ran(4), "three safe ones at once, by the session's slots")
	r.step(QueryEnded{Token: 1, Outcome: Done}, r.newQuery(5, NonIdempotent), r.newQuery(6, Idempotent))
	r.want(r.rejected(1, OwnershipLost), "an answer that was not asked for") // MayAnswer was not asked
	r.want(r.ran(4) && !r.ran(5) && !r.ran(6), "the next by arrival")
	r.want(r.owner.MayAnswer(r.now, 2) && r.owner.MayAnswer(r.now, 3) && r.owner.MayAnswer(r.now, 4), "answers")
	r.step(QueryEnded{Token: 2, Outcome: Done}, QueryEnded{Token: 3, Outcome: Done})
	r.want(!r.ran(5), "an unsafe one beside a safe one")
	r.step(QueryEnded{Token: 4, Outcome: Done})
	r.want(r.ran(5) && !r.ran(6), "an unsafe one alone")
	r.step(QueryEnded{Token: 5, Outcome: MayHaveRun})
	r.want(r.failed(5, NoAnswer) && r.ran(6), "its end")
	if _, ok := findOutput(r, func(o Run) bool { return o.Seq == 6 }); !ok {
		t.Fatal("the sixth that began is not the sixth")
	}
}

func TestHandOver(t *testing.T) {
	r := newClaimedRig(t)
	r.offer(1, "b")
	r.step(r.applied(), r.newQuery(2, Idempotent))
	r.want(!r.ran(2) && r.owner.Phase(id(1)) == Quiescing, "begins no more")
	r.want(r.owner.MayAnswer(r.now, 1), "what is open may be answered")
	r.step(QueryEnded{Token: 1, Outcome: Done})
	r.want(r.owner.Phase(id(1)) == Frozen && len(r.acts) == 1 && r.acts[0].Kind == session.HandOver && r.acts[0].Seq == 1 && r.acts[0].State == nil, "the hand")
	r.acts = nil // its word is lost
	r.advance(ActRetryInterval)
	r.want(len(r.acts) == 1, "the hand again")
	r.applyProposed()
	w, ok := findOutput(r, func(o Reject) bool { return o.Token == 2 })
	r.want(ok && w.Reason == NotOwner && w.Owner == "b" && r.owner.Phase(id(1)) == Unknown, "one that waits is told where")
	r.step(r.newQuery(3, Idempotent))
	w, ok = findOutput(r, func(o Reject) bool { return o.Token == 3 })
	r.want(ok && w.Reason == NotOwner && w.Owner == "b", "one that comes is told where")
}

// One that is not safe and whose time is over may run on at its replica: nothing begins beside it, and its session stays.
func TestOverdueNonIdempotentQueryBlocksSession(t *testing.T) {
	for _, effect := range []Effect{Keyed, NonIdempotent} {
		r := newClaimedRig(t)
		r.step(QueryEnded{Token: 1, Responded: true}, r.newQuery(2, effect))
		r.now += 4 * sec
		r.step(r.newQuery(3, Idempotent))
		r.want(!r.ran(3) && (r.failed(2, DeadlineExceeded) || r.cancelled(2, DeadlineExceeded)), "begins beside one that is overdue")
		r.offer(1, "b")
		r.step(r.applied())
		r.want(r.owner.Phase(id(1)) == Quiescing, "freezes with one that is overdue")
		r.step(QueryEnded{Token: 2, Outcome: MayHaveRun})
		r.want(r.owner.Phase(id(1)) == Frozen && len(r.out) == 1, "its end")
	}
}

// After a stall two wait beyond their share: the first that is refused does not let the second begin.
func TestWaitingQueriesTimeOutTogetherAfterStall(t *testing.T) {
	r := newClaimedRig(t)
	two, three := r.newQuery(2, Idempotent), r.newQuery(3, Idempotent)
	two.Replicas, three.Replicas = []string{"r2"}, []string{"r2"} // where one slot is held
	r.step(QueryEnded{Token: 1, Responded: true}, two, three, r.newQuery(4, Idempotent))
	r.now += 3 * sec
	r.step()
	r.want(!r.ran(4) && r.rejected(3, WaitTimeout) && r.rejected(4, WaitTimeout), "what waited too long began")
}

// What the agreed state says counts as soon as it is there to be read, before it is told of.
func TestAgreedStateCheckedBeforeNotification(t *testing.T) {
	r := newClaimedRig(t)
	r.step(r.newQuery(2, NonIdempotent))
	r.offer(1, "b")
	rec, _ := r.book.Get(id(1))
	r.applyActs("a", session.Act{Kind: session.HandOver, ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence, Seq: 1})
	r.want(!r.owner.MayAnswer(r.now, 1), "answers what is another's")
	r.step(QueryEnded{Token: 1, Responded: true})
	r.want(len(r.out) == 0, "begins what is another's, or tells what was told")
	r.step(r.newQuery(3, Idempotent))
	r.want(r.rejected(2, NotOwner) && r.rejected(3, NotOwner), "both are told")
	r = newClaimedRig(t)
	r.offer(1, "b")
	rec, _ = r.book.Get(id(1))
	r.applyActs("a", session.Act{Kind: session.HandOver, ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence, Seq: 1})
	r.step(Applied{State: session.New(), Index: 1}, r.newQuery(3, Idempotent))
	r.want(r.cancelled(1, NotOwner) && r.rejected(3, NotOwner), "what is open is told, and a state of before counts for nothing")
	w, known := r.owner.RejectInstead(r.now, 1), r.owner.Phase(id(1))
	r.want(w == nil && known == Gone, "a second word")
}

// Of what is known here, each thing is looked at again with a new lease. A state of one ownership is not another's.
func TestNewLeaseReconcilesSessions(t *testing.T) {
	r := newClaimedRig(t)
	two := r.newQuery(2, Idempotent)
	two.Session, two.Deadline = id(2), r.now+time.Hour
	r.step(QueryEnded{Token: 1, Responded: true}, two)
	r.applyProposed()
	r.want(r.owner.MayAnswer(r.now, 2) && r.owner.RejectInstead(r.now, 2) == nil, "an answer, and no other word")
	r.step(Lease{r.now + 5*sec, false}, r.newQuery(3, Idempotent))
	r.want(r.rejected(3, NoLease) && len(r.out) == 2, "what was answered is not told")
	r.now += 8 * sec
	r.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
	r.step(r.applied(), Lease{r.now + 5*sec, true})
	r.want(r.owner.Phase(id(1)) == Unknown && r.owner.Phase(id(2)) == Gone, "neither is its own")
	four := r.newQuery(4, NonIdempotent)
	four.Session, four.Replicas = id(2), nil // its slots went with the release
	r.step(four)
	r.applyProposed()
	r.want(r.owner.Phase(id(2)) == Active && !r.ran(4), "nothing beside what is out of the last life")
	r.step(QueryEnded{Token: 2, Outcome: Done})
	r.want(r.ran(4), "what is out of the last life is over")
	r.step(QueryEnded{Token: 4, Outcome: Done})
	r.want(r.failed(4, OwnershipLost), "an answer that was not asked for")
	r.owner.Step(0, nil)
	r.want(r.owner.now == r.now, "time goes back")
	none := New("c", Options{})
	r.want(len(none.Step(sec, []Input{Lease{2 * sec, true}, r.newQuery(1, Idempotent)})) == 1 && !none.MayAnswer(sec, 1), "a lease without a state")
}

// A session that is handed here while it is claimed is adopted first; one without capacity is declined, others' offers are not.
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
	r.want(!r.ran(1) && r.owner.Phase(id(1)) == Adopting && len(r.acts) == 3, "adopts one, and declines one that is handed and one that is offered")
	r.step(r.applied())
	r.want(len(r.acts) == 3, "not again so soon")
	r.applyProposed()
	rec, _ := r.book.Get(id(4))
	r.want(r.out[0] == Run{1, 6} && rec.To == "c", "goes on after the fifth")
	r.step(Applied{State: r.book, Index: 1, AgreedTime: r.now, LogEpoch: 1})
	r.want(r.owner.logEpoch == 1 && r.owner.index == 1, "a log of a new era")
}

func TestQueryLimits(t *testing.T) {
	r := newRig(t, Options{MaxQueries: 6})
	late := r.newQuery(9, Idempotent)
	late.Deadline = r.now
	r.step(late, r.newQuery(1, NonIdempotent), r.newQuery(2, NonIdempotent), r.newQuery(3, NonIdempotent), r.newQuery(4, Idempotent))
	r.want(r.rejected(9, DeadlineExceeded) && r.rejected(4, Overloaded), "one client waits as much as is left")
	g := newRig(t, Options{})
	g.step(g.newQuery(1, Idempotent), Draining{})
	g.want(g.rejected(1, ShuttingDown), "one that leaves lets none wait for a claim")
	r.applyProposed()
	other := r.newQuery(5, Idempotent)
	other.Client = 1
	r.step(other, r.newQuery(4, Idempotent), r.newQuery(6, Idempotent))
	r.want(r.rejected(6, Overloaded) && !r.rejected(5, Overloaded), "another finds room")
	for n := 10; n < 13; n++ {
		q := r.newQuery(uint64(n), Idempotent)
		q.Client, q.Session, q.Replicas = uint64(n), id(n), nil
		r.step(q)
	}
	r.want(r.rejected(12, Overloaded) && r.owner.Stats().Open == 1, "no more than six are known")
}

// A process begun anew sees a hand and an adoption that the one before it made, as its copy comes on: it ends that session.
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
	r.want(rec.Owner == "b" && rec.Phase == session.HandedOver && b.Phase(id(1)) == Ending, "takes the adoption for its own: "+b.Phase(id(1)).String())
}
