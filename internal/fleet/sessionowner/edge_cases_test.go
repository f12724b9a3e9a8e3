package sessionowner

import (
	"testing"
	"time"

	"birchcart/internal/fleet/session"
)

// A source that is stalled past its lease wakes with an answer in hand, after the session was released and claimed elsewhere.
func TestAnswerWithheldAfterStallPastLease(t *testing.T) {
	for name, c := range map[string]struct {
		effect  Effect
		window  time.Duration
		refused bool
	}{"safe": {Idempotent, 0, true}, "keyed": {Keyed, time.Hour, true}, "keyed, late": {Keyed, 15 * sec, false}, "unsafe": {NonIdempotent, 0, false}} {
		t.Run(name, func(t *testing.T) {
			r := newClaimedRig(t)
			q := r.newQuery(2, c.effect)
			q.Deadline, q.Window = r.now+6*sec, c.window // within lease and grace, or it would not begin
			r.step(QueryEnded{Token: 1, Responded: true}, q, Lease{r.now + 5*sec, true})
			r.offer(1, "b")
			r.step(r.applied())
			r.want(r.owner.Phase(id(1)) == Quiescing && r.owner.MayAnswer(r.now, 2) == true, "quiesces")
			r.owner.queries[2].answerAllowed = false // as if it had not been asked yet
			r.now += 8 * sec
			r.want(!r.owner.MayAnswer(r.now, 2), "an answer after the lease, before its end was seen")
			r.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
			rec, owned := r.book.Get(id(1))
			r.applyActs("b", session.Act{Kind: session.Claim, ID: id(1), Epoch: rec.Epoch})
			r.want(!owned && !r.owner.MayAnswer(r.now, 2), "an answer without a lease")
			r.step(QueryEnded{Token: 2, Outcome: Done})
			r.want(c.refused == r.cancelled(2, NoLease) && c.refused != r.failed(2, NoLease) && len(r.out) == 2, "its word")
			r.step(r.newQuery(3, Idempotent))
			r.want(r.rejected(3, NoLease) && len(r.acts) == 0, "acts without a lease")
			r.step(r.applied(), Lease{r.now + 5*sec, true}, r.newQuery(4, Idempotent))
			w, _ := findOutput(r, func(o Reject) bool { return o.Token == 4 })
			r.want(w.Reason == NotOwner && w.Owner == "b" && r.owner.Phase(id(1)) == Unknown, "knows of the other")
		})
	}
}

func TestStallBetweenFreezeAndHandOver(t *testing.T) {
	r := newClaimedRig(t)
	r.offer(1, "b")
	r.step(r.applied(), QueryEnded{Token: 1, Responded: true}, Lease{r.now + 5*sec, true}, r.newQuery(2, Idempotent))
	r.want(r.owner.Phase(id(1)) == Frozen, "freezes")
	hand := r.acts[len(r.acts)-1]
	r.now += 8 * sec
	r.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
	rec, _ := r.book.Get(id(1))
	r.applyActs("b", session.Act{Kind: session.Claim, ID: id(1), Epoch: rec.Epoch})
	r.acts = nil
	r.step()
	r.want(r.rejected(2, NoLease) && len(r.acts) == 0, "acts without a lease")
	r.applyActs("a", hand)
	got, _ := r.book.Get(id(1))
	r.want(got.Owner == "b" && got.Phase == session.Pinned && got.Epoch == rec.Epoch+1, "a late hand")
	r.step(r.applied(), Lease{r.now + 5*sec, true})
	r.want(r.owner.Phase(id(1)) == Unknown && r.owner.Stats().Sessions == 0, "forgets it")
}

// The word of a hand is lost, repeated, and comes after the offer was withdrawn and made anew, and after a second move.
func TestLateHandOversAreIgnored(t *testing.T) {
	r := newClaimedRig(t)
	r.offer(1, "b")
	r.step(r.applied(), QueryEnded{Token: 1, Responded: true})
	rec, _ := r.book.Get(id(1))
	r.plan(session.PlanBody{Withdrawals: []session.Withdrawal{{ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence}}})
	r.offer(1, "b") // before the first one's end was seen
	r.step(r.applied())
	rec, _ = r.book.Get(id(1))
	late := r.acts[len(r.acts)-1]
	r.want(len(r.acts) == 2 && late.Fence == rec.Fence, "the hand names the newer offer")
	r.acts = nil
	r.plan(session.PlanBody{Withdrawals: []session.Withdrawal{{ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence}}})
	r.step(r.applied(), r.newQuery(2, NonIdempotent))
	r.want(r.ran(2) && r.owner.Stats().Resumed == 1, "thaws")
	r.offer(1, "c")
	r.applyActs("a", late)
	r.want(r.owner.MayAnswer(r.now, 2), "a hand of another offer counted")
	r.step(r.applied())
	r.want(r.owner.Phase(id(1)) == Quiescing, "waits for the unsafe one")
	r.step(QueryEnded{Token: 2, Outcome: Done})
	r.want(len(r.acts) == 1 && r.acts[0].Seq == 2 && r.acts[0].Fence != late.Fence, "the hand of this offer")
	hand := r.acts[0]
	r.advance(2 * ActRetryInterval)
	r.want(len(r.acts) == 3, "repeated")
	r.applyProposed()
	rec, _ = r.book.Get(id(1))
	r.want(rec.Owner == "c" && rec.Seq == 2 && r.owner.Phase(id(1)) == Unknown, "handed once")
	r.applyActs("c", session.Act{Kind: session.Adopt, ID: id(1), Epoch: rec.Epoch})
	r.offer(1, "a")
	rec, _ = r.book.Get(id(1))
	r.applyActs("c", session.Act{Kind: session.Hand, ID: id(1), Epoch: rec.Epoch, Fence: rec.Fence, Seq: 7})
	r.applyActs("a", late, hand)
	r.step(r.applied())
	r.want(r.owner.Phase(id(1)) == Adopting, "comes back")
	r.applyProposed()
	r.step(r.newQuery(3, Idempotent))
	r.want(r.owner.Stats().Adopted == 1 && r.out[0] == Run{3, 8}, "goes on after the seventh")
}

// The target lacks slots: it declines what is offered, and what was handed already.
func TestTargetWithoutSlotsDeclines(t *testing.T) {
	for _, handed := range []bool{false, true} {
		a := newClaimedRig(t)
		b := a.newRigFor("b", Options{Replicas: []string{"r1"}}, 0, 0)
		a.offer(1, "b")
		a.step(a.applied(), QueryEnded{Token: 1, Responded: true})
		if handed { // which the source does not see before it is handed back
			a.applyActs("a", a.acts...)
		}
		b.step(b.applied())
		b.want(len(b.acts) == 0, "waits for slots on their way")
		b.advance(AdoptTimeout + ActRetryInterval)
		b.want(len(b.acts) == 1 && b.acts[0].Kind == session.Decline, "declines")
		b.applyProposed()
		a.acts = nil
		a.step(a.applied())
		if handed {
			a.want(a.owner.Phase(id(1)) == Adopting && a.owner.Stats().RolledBack == 1, "takes it back")
			a.applyProposed()
		}
		a.step(a.newQuery(3, Idempotent))
		_, two := findOutput(a, func(o Run) bool { return o.Seq == 2 })
		a.want(a.owner.Phase(id(1)) == Active && two, "goes on as the second")
	}
}

// A client that asks again, at both, while its unsafe query is open at the old owner.
func TestRetryAtBothOwnersDuringHandOver(t *testing.T) {
	a := newClaimedRig(t)
	b := a.newRigFor("b", Options{}, 3, 3)
	a.step(QueryEnded{Token: 1, Responded: true}, a.newQuery(2, NonIdempotent))
	again := a.newQuery(9, NonIdempotent)
	elsewhere := func(r *rig, owner string) {
		t.Helper()
		r.step(again)
		w, ok := findOutput(r, func(o Reject) bool { return o.Token == 9 })
		r.want(ok && w.Reason == NotOwner && w.Owner == owner && w.RetryAfter < 2*RetryAfterMoved, "refused at once, to the owner")
	}
	elsewhere(b, "a")
	a.offer(1, "b")
	a.step(a.applied())
	b.step(b.applied())
	elsewhere(b, "a")
	a.now += 3 * sec
	a.step(again)
	a.want(len(a.out) == 0, "the same at the old owner waits")
	a.now += sec - ms
	a.step()
	a.want(a.rejected(9, WaitTimeout) && a.owner.Phase(id(1)) == Quiescing, "no longer than its share")
	a.now += ms
	a.step()
	a.want(a.failed(2, DeadlineExceeded) && a.owner.Phase(id(1)) == Quiescing, "failed where it was, at its time, and may run on")
	a.now += ms
	a.step(QueryEnded{Token: 2, Outcome: Done})
	a.want(len(a.out) == 1 && a.owner.Phase(id(1)) == Frozen, "its answer goes nowhere")
	a.applyProposed()
	again.Deadline = a.now + 4*sec
	elsewhere(a, "b")
	b.step(b.applied(), again)
	b.want(!b.ran(9) && b.owner.Phase(id(1)) == Adopting, "waits for the adoption")
	b.applyProposed()
	b.want(b.out[0] == Run{9, 3}, "runs there, as the third")
	a.step()
	a.want(len(a.out) == 0 && a.owner.Stats().Sessions+a.owner.Stats().Open == 0, "nothing of it is left")
}

// Recalled for a hand-over: safe and keyed ones after a moment, keyed ones late in their window and unsafe ones never.
func TestQueriesCancelledForHandOver(t *testing.T) {
	for effect, window := range map[Effect]time.Duration{Idempotent: 0, Keyed: 10 * sec, Keyed + 10: ms, NonIdempotent: 0} {
		for _, leaving := range []int{0, 1, 2} { // not, before the offer is seen, after that
			r := newClaimedRig(t)
			q := r.newQuery(2, effect%10)
			q.Window = window
			r.step(QueryEnded{Token: 1, Responded: true}, q)
			r.offer(1, "b")
			if leaving == 1 {
				r.step(Draining{})
			}
			r.step(r.applied())
			if leaving == 2 {
				r.step(Draining{})
			}
			r.want(r.cancelled(2, SessionMoving) == (leaving > 0 && effect < 2), "at once if it leaves")
			r.advance(CancelDelay - ms)
			r.want(!r.cancelled(2, SessionMoving), "too soon")
			r.advance(ms)
			r.want(r.cancelled(2, SessionMoving) == (leaving == 0 && effect < 2) && r.owner.Phase(id(1)) == Quiescing, "then")
			r.want(r.owner.MayAnswer(r.now, 2) == (effect >= 2), "what was recalled is answered")
			r.owner.queries[2].answerAllowed = false
			r.step(QueryEnded{Token: 2, Outcome: MayHaveRun, BusyUntil: r.now + sec})
			r.want(r.owner.Phase(id(1)) == Quiescing && (len(r.out) == 0) == (effect < 2) && r.failed(2, NoAnswer) == (effect >= 2), "one word")
			r.advance(sec)
			r.want(r.owner.Phase(id(1)) == Frozen, "once nothing is out")
		}
	}
}

func TestWaitTimeoutAndClaimRetention(t *testing.T) {
	r := newRig(t, Options{MaxWaiting: 2})
	r.step(r.newQuery(1, Idempotent), r.newQuery(2, Idempotent), r.newQuery(3, Idempotent))
	r.want(r.rejected(3, Overloaded), "the most that wait")
	r.now += sec - ms
	r.step()
	r.want(len(r.out) < 2, "its share")
	r.now += 2 * ms // a stall over its end: the claim, agreed meanwhile, comes too late for it
	r.applyProposed()
	r.want(r.rejected(1, WaitTimeout) && !r.ran(1) && r.owner.Phase(id(1)) == Active, "no longer")
	q := r.newQuery(8, Idempotent)
	q.Session = id(2)
	r.step(q)
	r.advance(2 * sec)
	r.want(r.rejected(8, WaitTimeout) && len(r.acts) == 4, "its claim is not repeated for nobody")
	r.advance(ClaimRetention)
	r.want(r.owner.Phase(id(2)) == Unknown, "and forgotten")
	r.acts = nil
	r.step(r.newQuery(4, Idempotent), ClientGone{5})
	r.want(r.ran(4), "the session is there for the next")
	r.step(r.newQuery(4, Idempotent))
	r.want(!r.ran(4), "the same token again")
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
				t.Fatalf("query %d got %d words", i+1, responses[i+1])
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
	r.want(len(r.acts) == 1 && r.acts[0].ID == id(1), "another client finds room")
	r.owner.Step(r.now+time.Hour, []Input{r.applied()})
	if s := r.owner.Stats(); s.Waiting != 0 {
		t.Fatalf("%+v", s)
	}
}

func TestReplicaSlotsAreSharedInOrder(t *testing.T) {
	r := newClaimedRig(t)
	for n := 2; n <= 5; n++ { // sessions with a query each
		q := r.newQuery(uint64(n), Idempotent)
		q.Session, q.Replicas = id(n), []string{"r1", "r2"}
		if n > 3 {
			q.Replicas = []string{"r1"}
		}
		r.step(q)
	}
	r.applyProposed()
	r.want(r.ran(2) && !r.ran(3) && r.ran(4) && !r.ran(5), "one slot at r2, three at r1")
	r.plan(session.PlanBody{Shifts: []session.Shift{{From: "a", To: "b", Replica: "r1", N: 1}}})
	r.step(r.applied())
	r.want(len(r.acts) == 0, "three are in use")
	r.step(QueryEnded{Token: 1, Responded: true})
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.Freed && !r.ran(5), "two are left")
	r.advance(ActRetryInterval)
	r.want(len(r.acts) == 2, "said again")
	r.step(QueryEnded{Token: 2, Responded: true})
	r.want(r.ran(3) && !r.ran(5), "by their turn")
	r.step(QueryEnded{Token: 4, Responded: true})
	r.want(r.ran(5), "by their turn")
	r.applyProposed()
	r.want(r.book.Pool().Held("b", "r1") == 1, "the other has it")
	both, a, b, c := r.newQuery(10, Idempotent), r.newQuery(11, Idempotent), r.newQuery(12, Idempotent), r.newQuery(13, Idempotent)
	both.Replicas, a.Session, b.Session, c.Session = []string{"r1", "r1"}, id(3), id(3), id(4)
	r.step(QueryEnded{Token: 3, Responded: true}, QueryEnded{Token: 5, Responded: true}, both, a, c, b)
	r.step(QueryEnded{Token: 10, Responded: true})
	r.want(r.ran(11) && r.ran(13) && !r.ran(12), "one of a session at a turn")
}

// Sessions of a process before are ended and claimed anew; idle ones end; one that leaves claims nothing.
func TestRestartIdleEndAndDraining(t *testing.T) {
	old := newClaimedRig(t)
	r := old.newRigFor("a", Options{}, 0, 0)
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.End, "one of before ends")
	r.acts = nil
	r.step(r.newQuery(2, Idempotent))
	r.want(!r.ran(2), "not as the first again")
	r.advance(ActRetryInterval)
	r.applyProposed()
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.Claim && !r.ran(2), "and is claimed anew")
	r.applyProposed()
	r.want(r.ran(2), "then it runs")
	r.step(QueryEnded{Token: 2, Responded: true})
	r.advance(limits.IdleFor - ms)
	r.want(len(r.acts) == 0, "not yet idle")
	r.advance(ms)
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.End && r.acts[0].Seq == 1, "idle")
	r.step(r.newQuery(3, Idempotent))
	r.want(!r.ran(3), "nothing is done before its end is seen")
	r.applyProposed()
	r.applyProposed()
	r.want(r.ran(3), "claimed again")
	r.step(QueryEnded{Token: 3, Responded: true}, Draining{})
	q := r.newQuery(4, Idempotent)
	q.Session = id(2)
	r.step(q, r.newQuery(5, Idempotent))
	r.want(r.rejected(4, ShuttingDown) && r.ran(5), "one that leaves serves what it has, and takes nothing")
	r.apply(session.KindActs, session.ActsBody{From: "b", Acts: []session.Act{{Kind: session.Claim, ID: id(3)}}})
	r.offer(3, "a")
	r.step(r.applied())
	r.want(len(r.acts) == 1 && r.acts[0].Kind == session.Decline, "declines at once")
}
