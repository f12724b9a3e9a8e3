package sessionowner

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/session"
)

// modelQuery is a query as its client and the replicas see it.
type modelQuery struct {
	Arrived
	arrivedAt, startedAt, busyUntil time.Duration
	sessionNumber                   int // number of its session
	epoch, seq                      uint64
	started, ended, atReplica       bool
	outcome                         Outcome
	responses                       int
}

func (q *modelQuery) open(now time.Duration) bool {
	return q.started && q.atReplica && (q.Effect != Idempotent || now < q.Deadline)
}

// simulation drives an owner with random events and checks it against an independent model: the responses that clients got, the
// queries that run, and the current agreed state. The owner's copy of that state is as old as its last Applied.
type simulation struct {
	*rig
	draw       func(n int) int
	localCopy  *session.State
	leaseUntil time.Duration // end of the lease
	queries    []*modelQuery
	inputs     []Input
	abandoned  []*modelQuery // queries whose clients disconnect in the current inputs
	pastActs   []session.Act // the latest 64 proposed acts
	lastSeq    map[string]uint64
	history    []byte
}

const sessionCount = 3

func newSimulation(t tb, draw func(n int) int) *simulation {
	w := &sharedState{t: t, book: session.New(), now: sec}
	w.apply(session.KindLimits, session.LimitsBody{Limits: limits})
	w.plan(session.PlanBody{Shifts: []session.Shift{{To: "a", Replica: "r1", N: 4}, {To: "a", Replica: "r2", N: 2}, {To: "b", Replica: "r1", N: 4}}})
	sim := &simulation{rig: &rig{sharedState: w, name: "a", owner: New("a", Options{Replicas: []string{"r1"}, MaxWaiting: 6})}, draw: draw, lastSeq: map[string]uint64{}}
	sim.renewLease()
	sim.stepAndCheck()
	return sim
}

func (sim *simulation) fail(format string, a ...any) {
	sim.t.Helper()
	sim.t.Fatalf("at %v: %s", sim.now, fmt.Sprintf(format, a...))
}

func (sim *simulation) deliverState() {
	sim.localCopy = sim.book.Clone()
	sim.inputs = append(sim.inputs, Applied{State: sim.localCopy, Index: sim.index, AgreedTime: sim.now})
}

func (sim *simulation) renewLease() {
	sim.deliverState()
	sim.leaseUntil = sim.now + 2*sec
	sim.inputs = append(sim.inputs, Lease{sim.leaseUntil, true})
}

// any returns a random query that matches, or nil.
func (sim *simulation) any(matches func(*modelQuery) bool) *modelQuery {
	var candidates []*modelQuery
	for _, q := range sim.queries {
		if matches(q) {
			candidates = append(candidates, q)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[sim.draw(len(candidates))]
}

func (sim *simulation) arrive() {
	n := sim.draw(sessionCount)
	effect := []Effect{Idempotent, Idempotent, Idempotent, Keyed, NonIdempotent}[sim.draw(5)]
	need := [][]string{nil, {"r1"}, {"r1"}, {"r1", "r2"}, {"r2", "r2"}}[sim.draw(5)]
	q := &modelQuery{sessionNumber: n, arrivedAt: sim.now, Arrived: Arrived{Token: uint64(len(sim.queries) + 1), Session: id(n), Client: uint64(sim.draw(2)), Effect: effect,
		Deadline: sim.now + time.Duration(sim.draw(6)+1)*sec/2, Window: time.Duration(sim.draw(4)) * sec, Replicas: need}}
	q.ID = []completed.ID{{}, completed.IDOf("a"), completed.IDOf("b"), completed.IDOf("c")}[sim.draw(4)]
	sim.queries = append(sim.queries, q)
	sim.inputs = append(sim.inputs, &q.Arrived)
}

// endQuery ends a running query, in some cases after its answer was allowed.
func (sim *simulation) endQuery(q *modelQuery) {
	if q == nil {
		return
	}
	q.outcome = Outcome(sim.draw(3))
	if q.outcome == Done && sim.draw(4) > 0 {
		sim.answer(q)
	}
	q.ended, q.atReplica = true, false
	e := QueryEnded{Token: q.Token, Outcome: q.outcome}
	if sim.draw(4) == 0 {
		q.atReplica, q.busyUntil = true, sim.now+sec/4
		e.BusyUntil = q.busyUntil
	}
	sim.inputs = append(sim.inputs, e)
}

// answer gives the query's answer if the owner allows it, and checks S1 by the current agreed state.
func (sim *simulation) answer(q *modelQuery) {
	if q.responses > 0 || !sim.owner.MayAnswer(sim.now, q.Token) {
		return
	}
	sim.checkOwnership(q.sessionNumber, q.epoch, "answers a query")
	if q.responses++; sim.now >= q.Deadline {
		sim.fail("query %d is answered after its deadline", q.Token)
	}
}

func (sim *simulation) checkOwnership(n int, epoch uint64, what string) {
	rec, ok := sim.book.Get(id(n))
	if !ok || rec.Owner != "a" || rec.Epoch != epoch || rec.Phase == session.HandedOver || sim.now >= sim.leaseUntil {
		sim.fail("S1: %s for session %d in epoch %d, the lease ends at %v, the agreed state is %+v", what, n, epoch, sim.leaseUntil, rec)
	}
}

// changeAgreedState makes a random change to the agreed state, by another co-ordinator or the planner.
func (sim *simulation) changeAgreedState() {
	n := sim.draw(sessionCount)
	rec, owned := sim.book.Get(id(n))
	switch choice := sim.draw(9); {
	case choice == 0 && !owned:
		sim.applyActs("b", session.Act{Kind: session.Claim, ID: id(n), Epoch: rec.Epoch})
	case choice < 4 && rec.Phase == session.Pinned:
		to := map[string]string{"a": "b", "b": "a"}[rec.Owner]
		sim.plan(session.PlanBody{Offers: []session.Offer{{ID: id(n), Epoch: rec.Epoch, From: rec.Owner, To: to}}})
	case choice < 6 && rec.Phase == session.Offered && rec.Owner == "b":
		sim.applyActs("b", session.Act{Kind: session.HandOver, ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence, Seq: rec.Seq + uint64(sim.draw(3))})
	case choice == 4 && rec.Phase == session.Offered:
		sim.plan(session.PlanBody{Withdrawals: []session.Withdrawal{{ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence}}})
	case choice < 7 && rec.Owner == "b" && rec.Phase == session.HandedOver:
		sim.applyActs("b", session.Act{Kind: session.Adopt, ID: id(n), Epoch: rec.Epoch})
	case choice == 7:
		sim.applyActs("b", session.Act{Kind: session.Decline, ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence})
	case choice == 8:
		to := []string{"a", "b"}[sim.draw(2)]
		sim.plan(session.PlanBody{Shifts: []session.Shift{{From: map[string]string{"a": "b", "b": "a"}[to], To: to, Replica: "r1", N: 1}}})
		for _, t := range sim.book.Pool().PendingReleases("b") {
			sim.applyActs("b", session.Act{Kind: session.Freed, Fence: t.Fence})
		}
	}
}

// randomEvent makes one random event.
func (sim *simulation) randomEvent() {
	switch choice := sim.draw(20); {
	case choice < 6:
		sim.arrive()
	case choice < 10:
		sim.endQuery(sim.any(func(q *modelQuery) bool { return q.started && !q.ended }))
	case choice == 10:
		if q := sim.any(func(q *modelQuery) bool { return !q.ended && q.responses == 0 }); q != nil {
			sim.abandoned = append(sim.abandoned, q)
			sim.inputs = append(sim.inputs, ClientGone{q.Token})
		}
	case choice < 13:
		sim.changeAgreedState()
	case choice < 15 && len(sim.acts) > 0: // applies a random one of the proposed acts, and may keep it to apply it again
		i := sim.draw(len(sim.acts))
		sim.applyActs("a", sim.acts[i])
		if sim.draw(3) > 0 {
			sim.acts = slices.Delete(sim.acts, i, i+1)
		}
	case choice == 15 && len(sim.pastActs) > 0:
		sim.applyActs("a", sim.pastActs[sim.draw(len(sim.pastActs))])
	case choice < 18:
		sim.renewLease()
	case choice == 18:
		sim.deliverState()
	case sim.now >= sim.leaseUntil: // the lease has ended, and with it the queries at replicas
		for _, q := range sim.queries {
			if q.started && q.atReplica {
				q.atReplica, q.busyUntil = false, 0
				if !q.ended {
					q.ended, q.outcome = true, MayHaveRun
					sim.inputs = append(sim.inputs, QueryEnded{Token: q.Token, Outcome: MayHaveRun})
				}
			}
		}
		sim.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
	}
}

// stepAndCheck passes the inputs to the owner and checks its outputs.
func (sim *simulation) stepAndCheck() {
	sim.t.Helper()
	for _, q := range sim.queries {
		q.atReplica = q.atReplica && (!q.ended || q.busyUntil > sim.now)
	}
	sim.step(sim.inputs...)
	sim.inputs = nil
	for _, o := range sim.out {
		sim.history = fmt.Appendf(sim.history, "%v %T %+v\n", sim.now, o, o)
		sim.checkOutput(o)
	}
	for _, q := range sim.abandoned {
		q.responses = max(q.responses, 1)
	}
	sim.abandoned = nil
	for _, q := range sim.queries {
		if q.responses > 1 || q.responses == 0 && (sim.now >= q.Deadline || !q.started && sim.now >= q.arrivedAt+(q.Deadline-q.arrivedAt)/MaxWaitDivisor) {
			sim.fail("S4: %d responses for %+v", q.responses, *q)
		}
	}
	for _, replica := range []string{"r1", "r2"} {
		allowed := sim.book.Pool().Held("a", replica)
		for _, t := range sim.book.Pool().PendingReleases("a") {
			if t.Replica == replica {
				allowed += t.Slots
			}
		}
		if n := sim.inUse(replica); n > allowed {
			sim.fail("S2: %d slots in use at %s, %d are allowed", n, replica, allowed)
		}
	}
}

func (sim *simulation) inUse(replica string) (n int) {
	for _, q := range sim.queries {
		for _, need := range q.Replicas {
			if q.started && q.atReplica && need == replica {
				n++
			}
		}
	}
	return n
}

func (sim *simulation) checkOutput(o Output) {
	sim.t.Helper()
	var q *modelQuery
	checkRetry := func(token uint64, after time.Duration) {
		q = sim.queries[token-1]
		q.responses++
		if q.started && (!q.ended || q.outcome != NotRun) && (q.Effect == NonIdempotent || q.Effect == Keyed && sim.now+after >= q.startedAt+q.Window) {
			sim.fail("S5: %+v may have run, and its client retries after %v", *q, after)
		}
	}
	switch o := o.(type) {
	case Run:
		sim.checkRun(sim.queries[o.Token-1], o.Seq)
	case Reject:
		checkRetry(o.Token, o.RetryAfter)
	case Cancel:
		checkRetry(o.Token, o.RetryAfter)
		if !q.started {
			sim.fail("%+v is cancelled and never ran", *q)
		}
	case Fail:
		q = sim.queries[o.Token-1]
		if o.Reason == Duplicate {
			if q.responses++; q.started || !slices.ContainsFunc(sim.queries, func(b *modelQuery) bool { return b.barsRepeat(q) }) {
				sim.fail("S5: %+v failed as a duplicate", *q)
			}
			return
		}
		if q.responses++; !q.started || q.Effect == Idempotent || q.outcome == NotRun && o.Reason == NoAnswer {
			sim.fail("S5: %+v failed and may be retried safely", *q)
		}
	case Propose:
		if len(sim.pastActs) == 64 {
			sim.pastActs = sim.pastActs[1:]
		}
		sim.pastActs = append(sim.pastActs, o.Act)
		for _, q := range sim.queries {
			if o.Kind == session.HandOver && q.Session == o.ID && q.open(sim.now) {
				sim.fail("S3: session handed over while %+v is open", *q)
			}
		}
	}
}

// barsRepeat reports whether the query ran or may have run, and q has the same client id and must not run after it.
func (first *modelQuery) barsRepeat(q *modelQuery) bool {
	return first != q && first.sessionNumber == q.sessionNumber && first.ID == q.ID && q.ID != completed.ID{} && first.Effect != Idempotent && q.Effect != Idempotent && first.started && first.ended && first.outcome != NotRun
}

// checkRun checks S1 and S3 for a query that starts.
func (sim *simulation) checkRun(q *modelQuery, seq uint64) {
	sim.t.Helper()
	rec, _ := sim.localCopy.Get(q.Session)
	q.started, q.atReplica, q.startedAt, q.epoch, q.seq = true, true, sim.now, rec.Epoch, seq
	sim.checkOwnership(q.sessionNumber, rec.Epoch, "starts a query")
	openCount := 0
	for _, o := range sim.queries {
		switch {
		case o.barsRepeat(q) && o.epoch == q.epoch && (o.Effect == NonIdempotent || q.Effect == NonIdempotent || q.Deadline > o.startedAt+o.Window):
			sim.fail("S3: %+v starts, its duplicate %+v ran before", *q, *o)
		case o.sessionNumber != q.sessionNumber || o == q:
		case o.open(sim.now) && (o.Effect != Idempotent || q.Effect != Idempotent):
			sim.fail("S3: %+v starts beside %+v", *q, *o)
		case o.open(sim.now):
			openCount++
		case !o.started && o.responses == 0 && o.Token < q.Token && !slices.Contains(sim.abandoned, o):
			sim.fail("S3: %+v starts before %+v, which arrived earlier", *q, *o)
		}
	}
	epoch := fmt.Sprint(q.sessionNumber, rec.Epoch)
	last, known := sim.lastSeq[epoch]
	if !known {
		last = rec.Seq
	}
	if sim.lastSeq[epoch] = seq; seq != last+1 || openCount >= limits.Slots || q.responses > 0 || sim.now >= q.arrivedAt+(q.Deadline-q.arrivedAt)/MaxWaitDivisor {
		sim.fail("S3: %+v starts too late, again, out of sequence after %d, or beside %d open queries", *q, last, openCount)
	}
}

// drain ends all queries and applies all acts until nothing is left. After 65 s, a reconciliation must have found every session that
// was agreed to be here and not known.
func (sim *simulation) drain() {
	for i := range 100 {
		for _, q := range sim.queries {
			if q.started && !q.ended {
				sim.endQuery(q)
			}
		}
		if i == 65 && sim.owner.Stats().Sessions+sim.book.Owned("a") != sim.book.Owned("a")*2 {
			sim.fail("after 65 s: %+v, %d sessions are agreed to be here", sim.owner.Stats(), sim.book.Owned("a"))
		}
		sim.applyActs("a", append(sim.acts, session.Act{Kind: session.Freed})...)
		sim.acts = nil
		sim.renewLease()
		sim.stepAndCheck()
		sim.now += sec
	}
	if s := sim.owner.Stats(); s.Sessions+s.Waiting+s.Open+sim.book.Owned("a")+len(sim.owner.clients)+len(sim.owner.timers) > 0 {
		sim.fail("after draining: %+v, %d sessions are agreed to be here", s, sim.book.Owned("a"))
	}
}

func (sim *simulation) runSteps(steps int) {
	for range steps {
		sim.now += []time.Duration{0, ms, 20 * ms, 60 * ms, 150 * ms, 400 * ms, 0, 3 * sec}[sim.draw(8)*sim.draw(8)/7]
		for range sim.draw(4) {
			sim.randomEvent()
		}
		sim.stepAndCheck()
	}
	sim.drain()
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newSimulation(t, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }).runSteps(rapid.IntRange(10, 150).Draw(t, "steps"))
	})
}

func TestSeededSimulationIsDeterministic(t *testing.T) {
	seeds := 300
	if testing.Short() {
		seeds = 15
	}
	var sum Stats
	for seed := range uint64(seeds) {
		var hashes [2]uint64
		for i, procs := range []int{1, 4} {
			before := runtime.GOMAXPROCS(procs)
			r := rand.New(rand.NewPCG(seed, 1))
			sim := newSimulation(t, r.IntN)
			sim.runSteps(300)
			runtime.GOMAXPROCS(before)
			h := fnv.New64()
			h.Write(sim.history)
			hashes[i] = h.Sum64()
			s := sim.owner.Stats()
			sum.Ran, sum.Cancelled, sum.Failed, sum.Withheld = sum.Ran+s.Ran, sum.Cancelled+s.Cancelled, sum.Failed+s.Failed, sum.Withheld+s.Withheld
			sum.Handed, sum.Adopted, sum.RolledBack, sum.Resumed = sum.Handed+s.Handed, sum.Adopted+s.Adopted, sum.RolledBack+s.RolledBack, sum.Resumed+s.Resumed
		}
		if hashes[0] != hashes[1] {
			t.Fatalf("seed %d: two histories of the same inputs", seed)
		}
	}
	if sum.Ran*sum.Cancelled*sum.Failed*sum.Withheld*sum.Handed*sum.Adopted*sum.RolledBack*sum.Resumed == 0 {
		t.Errorf("some events did not occur: %+v", sum)
	}
	t.Logf("%+v", sum)
}
