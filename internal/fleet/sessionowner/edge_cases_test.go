package sessionowner

import (
	"testing"
	"time"

	"birchcart/internal/fleet/session"
)

// An owner stalls past its lease and resumes with an answer to give, after its session was released and claimed by another owner. The
// answer must be withheld, and the client asked to retry only if a repeat is safe.
func TestAnswerWithheldAfterStallPastLease(t *testing.T) {
	for name, c := range map[string]struct {
		effect   Effect
		window   time.Duration
		mayRetry bool
	}{"safe": {Idempotent, 0, true}, "keyed": {Keyed, time.Hour, true}, "keyed, late": {Keyed, 15 * sec, false}, "unsafe": {NonIdempotent, 0, false}} {
		t.Run(name, func(t *testing.T) {
			r := newClaimedRig(t)
			q := r.newQuery(2, c.effect)
			q.Deadline, q.Window = r.now+6*sec, c.window // within lease and grace, or it would not begin
			r.step(QueryEnded{Token: 1, Responded: true}, q, Lease{r.now + 5*sec, true})
			r.offer(1, "b")
			r.step(r.applied())
			r.want(r.owner.Phase(id(1)) == Quiescing && r.owner.MayAnswer(r.now, 2) == true, "not quiescing, or the answer is not allowed")
			r.owner.queries[2].answerAllowed = false // as if MayAnswer had not been called yet
			r.now += 8 * sec
			r.want(!r.owner.MayAnswer(r.now, 2), "answer allowed after the lease, before a Step saw its end")
			r.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
			rec, owned := r.book.Get(id(1))
			r.applyActs("b", session.Act{Kind: session.Claim, ID: id(1), Epoch: rec.Epoch})
			r.want(!owned && !r.owner.MayAnswer(r.now, 2), "answer allowed without a lease")
			r.step(QueryEnded{Token: 2, Outcome: Done})
			r.want(c.mayRetry == r.cancelled(2, NoLease) && c.mayRetry != r.failed(2, NoLease) && len(r.out) == 2, "wrong response to the open query")
			r.step(r.newQuery(3, Idempotent))
			r.want(r.rejected(3, NoLease) && len(r.acts) == 0, "acts without a lease, or the query is not rejected")
			r.step(r.applied(), Lease{r.now + 5*sec, true}, r.newQuery(4, Idempotent))
			w, _ := findOutput(r, func(o Reject) bool { return o.Token == 4 })
			r.want(w.Reason == NotOwner && w.Owner == "b" && r.owner.Phase(id(1)) == Unknown, "does not know the other owner")
		})
	}
}

func TestStallBetweenFreezeAndHandOver(t *testing.T) {
	r := newClaimedRig(t)
	r.offer(1, "b")
	r.step(r.applied(), QueryEnded{Token: 1, Responded: true}, Lease{r.now + 5*sec, true}, r.newQuery(2, Idempotent))
	r.want(r.owner.Phase(id(1)) == Frozen, "not frozen")
	hand := r.acts[len(r.acts)-1]
	r.now += 8 * sec
	r.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
	rec, _ := r.book.Get(id(1))
	r.applyActs("b", session.Act{Kind: session.Claim, ID: id(1), Epoch: rec.Epoch})
	r.acts = nil
	r.step()
	r.want(r.rejected(2, NoLease) && len(r.acts) == 0, "acts without a lease, or the query is not rejected")
	r.applyActs("a", hand)
	got, _ := r.book.Get(id(1))
	r.want(got.Owner == "b" && got.Phase == session.Pinned && got.Epoch == rec.Epoch+1, "a late hand-over took effect")
	r.step(r.applied(), Lease{r.now + 5*sec, true})
	r.want(r.owner.Phase(id(1)) == Unknown && r.owner.Stats().Sessions == 0, "the session is still known")
}

// A Hand act is lost, repeated, and applied late: after the offer was withdrawn and made again, and after a second hand-over. Only
// the act for the current offer may take effect.
func TestLateHandOversAreIgnored(t *testing.T) {
	r := newClaimedRig(t)
	r.offer(1, "b")
	r.step(r.applied(), QueryEnded{Token: 1, Responded: true})
	rec, _ := r.book.Get(id(1))
	r.plan(session.PlanBody{Withdrawals: []session.Withdrawal{{ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence}}})
	r.offer(1, "b") // before the owner sees the end of the first offer
	r.step(r.applied())
	rec, _ = r.book.Get(id(1))
	late := r.acts[len(r.acts)-1]
	r.want(len(r.acts) == 2 && late.Fence == rec.Fence, "the hand-over does not name the newer offer")
	r.acts = nil
	r.plan(session.PlanBody{Withdrawals: []session.Withdrawal{{ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence}}})
	r.step(r.applied(), r.newQuery(2, NonIdempotent))
	r.want(r.ran(2) && r.owner.Stats().Resumed == 1, "does not resume after the withdrawal")
	r.offer(1, "c")
	r.applyActs("a", late)
	r.want(r.owner.MayAnswer(r.now, 2), "a hand-over for another offer took effect")
	r.step(r.applied())
	r.want(r.owner.Phase(id(1)) == Quiescing, "does not wait for the non-idempotent query")
	r.step(QueryEnded{Token: 2, Outcome: Done})
	r.want(len(r.acts) == 1 && r.acts[0].Seq == 2 && r.acts[0].Fence != late.Fence, "no hand-over for this offer")
	hand := r.acts[0]
	r.advance(2 * ActRetryInterval)
	r.want(len(r.acts) == 3, "hand-over not repeated")
	r.applyProposed()
	rec, _ = r.book.Get(id(1))
	r.want(rec.Owner == "c" && rec.Seq == 2 && r.owner.Phase(id(1)) == Unknown, "not handed over exactly once")
	r.applyActs("c", session.Act{Kind: session.Adopt, ID: id(1), Epoch: rec.Epoch})
	r.offer(1, "a")
	rec, _ = r.book.Get(id(1))
	r.applyActs("c", session.Act{Kind: session.HandOver, ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence, Seq: 7})
	r.applyActs("a", late, hand)
	r.step(r.applied())
	r.want(r.owner.Phase(id(1)) == Adopting, "not adopting after the hand-over back")
	r.applyProposed()
	r.step(r.newQuery(3, Idempotent))
	r.want(r.owner.Stats().Adopted == 1 && r.out[0] == Run{3, 8}, "does not continue after sequence number 7")
}

// The target of a hand-over has no slots. It declines a session that is offered, and one that was handed already.
func TestTargetWithoutSlotsDeclines(t *testing.T) {
	for _, handed := range []bool{false, true} {
		a := newClaimedRig(t)
		b := a.newRigFor("b", Options{Replicas: []string{"r1"}}, 0, 0)
		a.offer(1, "b")
		a.step(a.applied(), QueryEnded{Token: 1, Responded: true})
		if handed { // the source sees this only after the session was handed back
			a.applyActs("a", a.acts...)
		}
		b.step(b.applied())
		b.want(len(b.acts) == 0, "does not wait for slots that may be on their way")
		b.advance(AdoptTimeout + ActRetryInterval)
		b.want(len(b.acts) == 1 && b.acts[0].Kind == session.Decline, "does not decline")
		b.applyProposed()
		a.acts = nil
		a.step(a.applied())
		if handed {
			a.want(a.owner.Phase(id(1)) == Adopting && a.owner.Stats().RolledBack == 1, "source does not take the session back")
			a.applyProposed()
		}
		a.step(a.newQuery(3, Idempotent))
		_, two := findOutput(a, func(o Run) bool { return o.Seq == 2 })
		a.want(a.owner.Phase(id(1)) == Active && two, "does not continue with sequence number 2")
	}
}

// A client retries at both owners while its NonIdempotent query is open at the old one. The query must not run a second time before
// the hand-over completes.
func TestRetryAtBothOwnersDuringHandOver(t *testing.T) {
	a := newClaimedRig(t)
	b := a.newRigFor("b", Options{}, 3, 3)
	a.step(QueryEnded{Token: 1, Responded: true}, a.newQuery(2, NonIdempotent))
	retry := a.newQuery(9, NonIdempotent)
	expectNotOwner := func(r *rig, owner string) {
		t.Helper()
		r.step(retry)
		w, ok := findOutput(r, func(o Reject) bool { return o.Token == 9 })
		r.want(ok && w.Reason == NotOwner && w.Owner == owner && w.RetryAfter < 2*RetryAfterMoved, "not rejected at once with the owner's name")
	}
	expectNotOwner(b, "a")
	a.offer(1, "b")
	a.step(a.applied())
	b.step(b.applied())
	expectNotOwner(b, "a")
	a.now += 3 * sec
	a.step(retry)
	a.want(len(a.out) == 0, "the retry at the old owner does not wait")
	a.now += sec - ms
	a.step()
	a.want(a.rejected(9, WaitTimeout) && a.owner.Phase(id(1)) == Quiescing, "the retry waits for longer than its share")
	a.now += ms
	a.step()
	a.want(a.failed(2, DeadlineExceeded) && a.owner.Phase(id(1)) == Quiescing, "not failed at its deadline, or the session does not wait for it")
	a.now += ms
	a.step(QueryEnded{Token: 2, Outcome: Done})
	a.want(len(a.out) == 1 && a.owner.Phase(id(1)) == Frozen, "the late answer is given, or the session is not frozen")
	a.applyProposed()
	retry.Deadline = a.now + 4*sec
	expectNotOwner(a, "b")
	b.step(b.applied(), retry)
	b.want(!b.ran(9) && b.owner.Phase(id(1)) == Adopting, "does not wait for the adoption")
	b.applyProposed()
	b.want(b.out[0] == Run{9, 3}, "does not run at the new owner with sequence number 3")
	a.step()
	a.want(len(a.out) == 0 && a.owner.Stats().Sessions+a.owner.Stats().Open == 0, "the old owner still has state of the session")
}

// For a hand-over, Idempotent and Keyed queries are cancelled after CancelDelay, or at once at a draining owner. Keyed ones late in
// their window and NonIdempotent ones are not cancelled.
func TestQueriesCancelledForHandOver(t *testing.T) {
	for effect, window := range map[Effect]time.Duration{Idempotent: 0, Keyed: 10 * sec, Keyed + 10: ms, NonIdempotent: 0} {
		for _, draining := range []int{0, 1, 2} { // 0: not draining, 1: draining before the offer is seen, 2: after that
			r := newClaimedRig(t)
			q := r.newQuery(2, effect%10)
			q.Window = window
			r.step(QueryEnded{Token: 1, Responded: true}, q)
			r.offer(1, "b")
			if draining == 1 {
				r.step(Draining{})
			}
			r.step(r.applied())
			if draining == 2 {
				r.step(Draining{})
			}
			r.want(r.cancelled(2, SessionMoving) == (draining > 0 && effect < 2), "not cancelled at once exactly if draining")
			r.advance(CancelDelay - ms)
			r.want(!r.cancelled(2, SessionMoving), "cancelled before CancelDelay")
			r.advance(ms)
			r.want(r.cancelled(2, SessionMoving) == (draining == 0 && effect < 2) && r.owner.Phase(id(1)) == Quiescing, "wrong result at CancelDelay")
			r.want(r.owner.MayAnswer(r.now, 2) == (effect >= 2), "a cancelled query may be answered, or another one may not")
			r.owner.queries[2].answerAllowed = false
			r.step(QueryEnded{Token: 2, Outcome: MayHaveRun, BusyUntil: r.now + sec})
			r.want(r.owner.Phase(id(1)) == Quiescing && (len(r.out) == 0) == (effect < 2) && r.failed(2, NoAnswer) == (effect >= 2), "not exactly one response")
			r.advance(sec)
			r.want(r.owner.Phase(id(1)) == Frozen, "not frozen once nothing is left at replicas")
		}
	}
}

func TestWaitTimeoutAndClaimRetention(t *testing.T) {
	r := newRig(t, Options{MaxWaiting: 2})
	r.step(r.newQuery(1, Idempotent), r.newQuery(2, Idempotent), r.newQuery(3, Idempotent))
	r.want(r.rejected(3, Overloaded), "more queries wait than allowed")
	r.now += sec - ms
	r.step()
	r.want(len(r.out) < 2, "rejected before its share of the time")
	r.now += 2 * ms // a stall past the end of the share: the claim, agreed meanwhile, comes too late
	r.applyProposed()
	r.want(r.rejected(1, WaitTimeout) && !r.ran(1) && r.owner.Phase(id(1)) == Active, "started after its share of the time")
	q := r.newQuery(8, Idempotent)
	q.Session = id(2)
	r.step(q)
	r.advance(2 * sec)
	r.want(r.rejected(8, WaitTimeout) && len(r.acts) == 4, "a claim is repeated although no query waits for it")
	r.advance(ClaimRetention)
	r.want(r.owner.Phase(id(2)) == Unknown, "an abandoned claim is kept for too long")
	r.acts = nil
	r.step(r.newQuery(4, Idempotent), ClientGone{5})
	r.want(r.ran(4), "the next query does not run in the claimed session")
	r.step(r.newQuery(4, Idempotent))
	r.want(!r.ran(4), "a token that is in use ran again")
}

func TestTenThousandClientsGetOneResponseEach(t *testing.T) {
	for _, one := range []bool{true, false} {
		r := newRig(t, Options{MaxQueries: 4000, MaxSessions: 3000})
		responses := map[uint64]int{}
		count := func(out []Output) {
			for _, o := range out {
				switch o := o.(type) {
				case Reject:
					responses[o.Token]++
					if o.RetryAfter <= 0 {
						t.Fatalf("%+v", o)
					}
				case Run:
					r.owner.MayAnswer(r.now, o.Token)
					responses[o.Token]++
				}
			}
		}
		for i := range uint64(10_000) {
			q := r.newQuery(i+1, Idempotent)
			q.Client, q.Replicas = i, nil
			if !one {
				q.Session = id(int(i))
			}
			if i%100 == 0 {
				r.now += ms
			}
			count(r.owner.Step(r.now, []Input{q}))
			if s := r.owner.Stats(); s.Waiting+s.Open > 4000 || s.Sessions > 3000 {
				t.Fatalf("%+v", s)
			}
		}
		if err := r.owner.Check(); err != nil {
			t.Fatal(err)
		}
		count(r.advance(sec))
		for i := range uint64(10_000) {
			if responses[i+1] != 1 {
				t.Fatalf("query %d got %d responses", i+1, responses[i+1])
			}
		}
		if s := r.owner.Stats(); s.Waiting != 0 || len(r.owner.clients) > s.Sessions {
			t.Fatalf("%+v, %d clients", s, len(r.owner.clients))
		}
	}
}

func TestOneClientCannotFillSessionTable(t *testing.T) {
	keys := 1_000_000
	if testing.Short() {
		keys = 50_000
	}
	r := newRig(t, Options{MaxSessions: 10_000})
	q := r.newQuery(0, Idempotent)
	q.Client, q.Deadline = 1, r.now+time.Hour
	for i := range keys {
		q.Token, q.Session = uint64(i+1), session.ID{byte(i), byte(i >> 8), byte(i >> 16)}
		r.owner.Step(r.now, []Input{&q})
	}
	if s := r.owner.Stats(); s.Sessions != 5000 || s.Rejected != uint64(keys-5000) {
		t.Fatalf("%+v", s)
	}
	q.Client = 2
	q.Token, q.Session = 1<<40, id(1)
	r.step(q)
	r.want(len(r.acts) == 1 && r.acts[0].ID == id(1), "no capacity left for another client")
	r.owner.Step(r.now+time.Hour, []Input{r.applied()})
	if s := r.owner.Stats(); s.Waiting != 0 {
		t.Fatalf("%+v", s)
	}
}

func TestReplicaSlotsAreSharedInOrder(t *testing.T) {
	r := newClaimedRig(t)
	for n := 2; n <= 5; n++ { // one query in each session
		q := r.newQuery(uint64(n), Idempotent)
		q.Session, q.Replicas = id(n), []string{"r1", "r2"}
		if n > 3 {
			q.Replicas = []string{"r1"}
		}
		r.step(q)
	}
	r.applyProposed()
	r.want(r.ran(2) && !r.ran(3) && r.ran(4) && !r.ran(5), "not limited to one slot at r2 and three at r1")
	r.plan(session.PlanBody{Shifts: []session.Shift{{From: "a", To: "b", Replica: "r1", N: 1}}})
	r.step(r.applied())
	r.want(len(r.acts) == 0, "slots freed while all three are in use")
	r.step(QueryEnded{Token: 1, Responded: true})
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.Freed && !r.ran(5), "slot not freed, or used by the next query")
	r.advance(ActRetryInterval)
	r.want(len(r.acts) == 2, "the Freed act is not repeated")
	r.step(QueryEnded{Token: 2, Responded: true})
	r.want(r.ran(3) && !r.ran(5), "not in order of arrival")
	r.step(QueryEnded{Token: 4, Responded: true})
	r.want(r.ran(5), "not in order of arrival")
	r.applyProposed()
	r.want(r.book.Pool().Held("b", "r1") == 1, "the other owner does not hold the slot")
	both, a, b, c := r.newQuery(10, Idempotent), r.newQuery(11, Idempotent), r.newQuery(12, Idempotent), r.newQuery(13, Idempotent)
	both.Replicas, a.Session, b.Session, c.Session = []string{"r1", "r1"}, id(3), id(3), id(4)
	r.step(QueryEnded{Token: 3, Responded: true}, QueryEnded{Token: 5, Responded: true}, both, a, c, b)
	r.step(QueryEnded{Token: 10, Responded: true})
	r.want(r.ran(11) && r.ran(13) && !r.ran(12), "a session got more than one slot per turn")
}

// Sessions of a previous process are ended and claimed again, idle sessions are ended, and a draining owner claims nothing.
func TestRestartIdleEndAndDraining(t *testing.T) {
	old := newClaimedRig(t)
	r := old.newRigFor("a", Options{}, 0, 0)
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.End, "session of the previous process is not ended")
	r.acts = nil
	r.step(r.newQuery(2, Idempotent))
	r.want(!r.ran(2), "ran before the old session ended")
	r.advance(ActRetryInterval)
	r.applyProposed()
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.Claim && !r.ran(2), "not claimed again")
	r.applyProposed()
	r.want(r.ran(2), "does not run after the claim")
	r.step(QueryEnded{Token: 2, Responded: true})
	r.advance(limits.IdleTimeout - ms)
	r.want(len(r.acts) == 0, "ended before the idle limit")
	r.advance(ms)
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.End && r.acts[0].Seq == 1, "idle session not ended")
	r.step(r.newQuery(3, Idempotent))
	r.want(!r.ran(3), "ran before the end of the session was agreed")
	r.applyProposed()
	r.applyProposed()
	r.want(r.ran(3), "does not run after the new claim")
	r.step(QueryEnded{Token: 3, Responded: true}, Draining{})
	q := r.newQuery(4, Idempotent)
	q.Session = id(2)
	r.step(q, r.newQuery(5, Idempotent))
	r.want(r.rejected(4, ShuttingDown) && r.ran(5), "a draining owner takes a new session, or does not serve its own")
	r.apply(session.KindActs, session.ActsBody{From: "b", Acts: []session.Act{{Kind: session.Claim, ID: id(3)}}})
	r.offer(3, "a")
	r.step(r.applied())
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.Decline, "offer not declined at once")
}
