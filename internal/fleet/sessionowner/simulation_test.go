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

// asked is a query as its client and the replicas see it.
type modelQuery struct {
	Arrived
	arrivedAt, startedAt, busyUntil time.Duration
	sessionNumber                   int // its session
	epoch, seq                      uint64
	started, ended, atReplica       bool
	outcome                         Outcome
	responses                       int
}

func (q *modelQuery) open(now time.Duration) bool {
	return q.started && q.atReplica && (q.Effect != Idempotent || now < q.Deadline)
}

// play is an owner under random events, beside a model that knows nothing of it: what clients got, what runs, what is truly
// agreed. The owner's copy of that is as old as its last Applied.
type simulation struct {
	*rig
	draw       func(n int) int
	localCopy  *session.Book
	leaseUntil time.Duration // sure until then
	queries    []*modelQuery
	inputs     []Input
	abandoned  []*modelQuery // by their clients, in the events
	pastActs   []session.Act // ever proposed, the newest 64
	lastSeq    map[string]uint64
	history    []byte
}

const sessionCount = 3

func newSimulation(t tb, draw func(n int) int) *simulation {
	w := &sharedState{t: t, book: session.New(), now: sec}
	w.apply(session.KindLimits, session.LimitsBody{Limits: limits})
	w.plan(session.PlanBody{Shifts: []session.Shift{{To: "a", Replica: "r1", N: 4}, {To: "a", Replica: "r2", N: 2}, {To: "b", Replica: "r1", N: 4}}})
	p := &simulation{rig: &rig{sharedState: w, name: "a", owner: New("a", Options{Replicas: []string{"r1"}, MaxWaiting: 6})}, draw: draw, lastSeq: map[string]uint64{}}
	p.renewLease()
	p.stepAndCheck()
	return p
}

func (p *simulation) fail(format string, a ...any) {
	p.t.Helper()
	p.t.Fatalf("at %v: %s", p.now, fmt.Sprintf(format, a...))
}

func (p *simulation) deliverState() {
	p.localCopy = p.book.Clone()
	p.inputs = append(p.inputs, Applied{State: p.localCopy, Index: p.index, AgreedTime: p.now})
}

func (p *simulation) renewLease() {
	p.deliverState()
	p.leaseUntil = p.now + 2*sec
	p.inputs = append(p.inputs, Lease{p.leaseUntil, true})
}

// any draws one of those that fit, or nil.
func (p *simulation) any(matches func(*modelQuery) bool) *modelQuery {
	var candidates []*modelQuery
	for _, q := range p.queries {
		if matches(q) {
			candidates = append(candidates, q)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[p.draw(len(candidates))]
}

func (p *simulation) arrive() {
	n := p.draw(sessionCount)
	effect := []Effect{Idempotent, Idempotent, Idempotent, Keyed, NonIdempotent}[p.draw(5)]
	need := [][]string{nil, {"r1"}, {"r1"}, {"r1", "r2"}, {"r2", "r2"}}[p.draw(5)]
	q := &modelQuery{sessionNumber: n, arrivedAt: p.now, Arrived: Arrived{Token: uint64(len(p.queries) + 1), Session: id(n), Client: uint64(p.draw(2)), Effect: effect,
		Deadline: p.now + time.Duration(p.draw(6)+1)*sec/2, Window: time.Duration(p.draw(4)) * sec, Replicas: need}}
	q.ID = []completed.ID{{}, completed.IDOf("a"), completed.IDOf("b"), completed.IDOf("c")}[p.draw(4)]
	p.queries = append(p.queries, q)
	p.inputs = append(p.inputs, &q.Arrived)
}

// end ends one that runs, some after its answer was allowed.
func (p *simulation) endQuery(q *modelQuery) {
	if q == nil {
		return
	}
	q.outcome = Outcome(p.draw(3))
	if q.outcome == Done && p.draw(4) > 0 {
		p.answer(q)
	}
	q.ended, q.atReplica = true, false
	e := QueryEnded{Token: q.Token, Outcome: q.outcome}
	if p.draw(4) == 0 {
		q.atReplica, q.busyUntil = true, p.now+sec/4
		e.BusyUntil = q.busyUntil
	}
	p.inputs = append(p.inputs, e)
}

// answer is S1 for what is given, by the state as it truly is.
func (p *simulation) answer(q *modelQuery) {
	if q.responses > 0 || !p.owner.MayAnswer(p.now, q.Token) {
		return
	}
	p.checkOwnership(q.sessionNumber, q.epoch, "answers")
	if q.responses++; p.now >= q.Deadline {
		p.fail("%d is answered late", q.Token)
	}
}

func (p *simulation) checkOwnership(n int, epoch uint64, what string) {
	rec, ok := p.book.Get(id(n))
	if !ok || rec.Owner != "a" || rec.Epoch != epoch || rec.Phase == session.Handed || p.now >= p.leaseUntil {
		p.fail("S1: %s for %d in epoch %d, the lease until %v, agreed is %+v", what, n, epoch, p.leaseUntil, rec)
	}
}

// others is a move of the rest of the fleet.
func (p *simulation) changeAgreedState() {
	n := p.draw(sessionCount)
	rec, owned := p.book.Get(id(n))
	switch choice := p.draw(9); {
	case choice == 0 && !owned:
		p.applyActs("b", session.Act{Kind: session.Claim, ID: id(n), Epoch: rec.Epoch})
	case choice < 4 && rec.Phase == session.Pinned:
		to := map[string]string{"a": "b", "b": "a"}[rec.Owner]
		p.plan(session.PlanBody{Offers: []session.Offer{{ID: id(n), Epoch: rec.Epoch, From: rec.Owner, To: to}}})
	case choice < 6 && rec.Phase == session.Offered && rec.Owner == "b":
		p.applyActs("b", session.Act{Kind: session.Hand, ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence, Seq: rec.Seq + uint64(p.draw(3))})
	case choice == 4 && rec.Phase == session.Offered:
		p.plan(session.PlanBody{Withdrawals: []session.Withdrawal{{ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence}}})
	case choice < 7 && rec.Owner == "b" && rec.Phase == session.Handed:
		p.applyActs("b", session.Act{Kind: session.Adopt, ID: id(n), Epoch: rec.Epoch})
	case choice == 7:
		p.applyActs("b", session.Act{Kind: session.Decline, ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence})
	case choice == 8:
		to := []string{"a", "b"}[p.draw(2)]
		p.plan(session.PlanBody{Shifts: []session.Shift{{From: map[string]string{"a": "b", "b": "a"}[to], To: to, Replica: "r1", N: 1}}})
		for _, t := range p.book.Pool().Asked("b") {
			p.applyActs("b", session.Act{Kind: session.Freed, Fence: t.Fence})
		}
	}
}

// move is one random event.
func (p *simulation) randomEvent() {
	switch choice := p.draw(20); {
	case choice < 6:
		p.arrive()
	case choice < 10:
		p.endQuery(p.any(func(q *modelQuery) bool { return q.started && !q.ended }))
	case choice == 10:
		if q := p.any(func(q *modelQuery) bool { return !q.ended && q.responses == 0 }); q != nil {
			p.abandoned = append(p.abandoned, q)
			p.inputs = append(p.inputs, ClientGone{q.Token})
		}
	case choice < 13:
		p.changeAgreedState()
	case choice < 15 && len(p.acts) > 0: // what was proposed, some of it, in some order, some again
		i := p.draw(len(p.acts))
		p.applyActs("a", p.acts[i])
		if p.draw(3) > 0 {
			p.acts = slices.Delete(p.acts, i, i+1)
		}
	case choice == 15 && len(p.pastActs) > 0:
		p.applyActs("a", p.pastActs[p.draw(len(p.pastActs))])
	case choice < 18:
		p.renewLease()
	case choice == 18:
		p.deliverState()
	case p.now >= p.leaseUntil: // the lease has ended, and what was out with it
		for _, q := range p.queries {
			if q.started && q.atReplica {
				q.atReplica, q.busyUntil = false, 0
				if !q.ended {
					q.ended, q.outcome = true, MayHaveRun
					p.inputs = append(p.inputs, QueryEnded{Token: q.Token, Outcome: MayHaveRun})
				}
			}
		}
		p.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
	}
}

// turn gives the events to the owner and looks at what comes out.
func (p *simulation) stepAndCheck() {
	p.t.Helper()
	for _, q := range p.queries {
		q.atReplica = q.atReplica && (!q.ended || q.busyUntil > p.now)
	}
	p.step(p.inputs...)
	p.inputs = nil
	for _, o := range p.out {
		p.history = fmt.Appendf(p.history, "%v %T %+v\n", p.now, o, o)
		p.checkOutput(o)
	}
	for _, q := range p.abandoned {
		q.responses = max(q.responses, 1)
	}
	p.abandoned = nil
	for _, q := range p.queries {
		if q.responses > 1 || q.responses == 0 && (p.now >= q.Deadline || !q.started && p.now >= q.arrivedAt+(q.Deadline-q.arrivedAt)/MaxWaitDivisor) {
			p.fail("S4: %d words for %+v", q.responses, *q)
		}
	}
	for _, replica := range []string{"r1", "r2"} {
		allowed := p.book.Pool().Held("a", replica)
		for _, t := range p.book.Pool().Asked("a") {
			if t.Replica == replica {
				allowed += t.N
			}
		}
		if n := p.inUse(replica); n > allowed {
			p.fail("S2: %d slots in use at %s, of %d", n, replica, allowed)
		}
	}
}

func (p *simulation) inUse(replica string) (n int) {
	for _, q := range p.queries {
		for _, need := range q.Replicas {
			if q.started && q.atReplica && need == replica {
				n++
			}
		}
	}
	return n
}

func (p *simulation) checkOutput(o Output) {
	p.t.Helper()
	var q *modelQuery
	checkRetry := func(token uint64, after time.Duration) {
		q = p.queries[token-1]
		q.responses++
		if q.started && (!q.ended || q.outcome != NotRun) && (q.Effect == NonIdempotent || q.Effect == Keyed && p.now+after >= q.startedAt+q.Window) {
			p.fail("S5: %+v may have run and comes again after %v", *q, after)
		}
	}
	switch o := o.(type) {
	case Run:
		p.checkRun(p.queries[o.Token-1], o.Seq)
	case Reject:
		checkRetry(o.Token, o.RetryAfter)
	case Cancel:
		checkRetry(o.Token, o.RetryAfter)
		if !q.started {
			p.fail("%+v is recalled", *q)
		}
	case Fail:
		q = p.queries[o.Token-1]
		if o.Reason == Duplicate {
			if q.responses++; q.started || !slices.ContainsFunc(p.queries, func(b *modelQuery) bool { return b.barsRepeat(q) }) {
				p.fail("S5: %+v failed as one that is repeated", *q)
			}
			return
		}
		if q.responses++; !q.started || q.Effect == Idempotent || q.outcome == NotRun && o.Reason == NoAnswer {
			p.fail("S5: %+v failed", *q)
		}
	case Propose:
		if len(p.pastActs) == 64 {
			p.pastActs = p.pastActs[1:]
		}
		p.pastActs = append(p.pastActs, o.Act)
		for _, q := range p.queries {
			if o.Kind == session.Hand && q.Session == o.ID && q.open(p.now) {
				p.fail("S3: handed while %+v is open", *q)
			}
		}
	}
}

// before says that one that ran, or may have, is called the same, and that a repeat of it could act again.
func (b *modelQuery) barsRepeat(q *modelQuery) bool {
	return b != q && b.sessionNumber == q.sessionNumber && b.ID == q.ID && q.ID != completed.ID{} && b.Effect != Idempotent && q.Effect != Idempotent && b.started && b.ended && b.outcome != NotRun
}

// run is S1 and S3 for one that begins.
func (p *simulation) checkRun(q *modelQuery, seq uint64) {
	p.t.Helper()
	rec, _ := p.localCopy.Get(q.Session)
	q.started, q.atReplica, q.startedAt, q.epoch, q.seq = true, true, p.now, rec.Epoch, seq
	p.checkOwnership(q.sessionNumber, rec.Epoch, "begins")
	openCount := 0
	for _, o := range p.queries {
		switch {
		case o.barsRepeat(q) && o.epoch == q.epoch && (o.Effect == NonIdempotent || q.Effect == NonIdempotent || q.Deadline > o.startedAt+o.Window):
			p.fail("S3: %+v begins, %+v ran before it", *q, *o)
		case o.sessionNumber != q.sessionNumber || o == q:
		case o.open(p.now) && (o.Effect != Idempotent || q.Effect != Idempotent):
			p.fail("S3: %+v begins beside %+v", *q, *o)
		case o.open(p.now):
			openCount++
		case !o.started && o.responses == 0 && o.Token < q.Token && !slices.Contains(p.abandoned, o):
			p.fail("S3: %+v begins before %+v", *q, *o)
		}
	}
	epoch := fmt.Sprint(q.sessionNumber, rec.Epoch)
	last, known := p.lastSeq[epoch]
	if !known {
		last = rec.Seq
	}
	if p.lastSeq[epoch] = seq; seq != last+1 || openCount >= limits.Slots || q.responses > 0 || p.now >= q.arrivedAt+(q.Deadline-q.arrivedAt)/MaxWaitDivisor {
		p.fail("S3: %+v begins, %d was the last, beside %d", *q, last, openCount)
	}
}

// settle heals all, and nothing is left. By the sixty-fifth second a sweep has found what is agreed to be here and known to nobody.
func (p *simulation) drain() {
	for i := range 100 {
		for _, q := range p.queries {
			if q.started && !q.ended {
				p.endQuery(q)
			}
		}
		if i == 65 && p.owner.Stats().Sessions+p.book.Owned("a") != p.book.Owned("a")*2 {
			p.fail("%+v, %d are agreed to be here", p.owner.Stats(), p.book.Owned("a"))
		}
		p.applyActs("a", append(p.acts, session.Act{Kind: session.Freed})...)
		p.acts = nil
		p.renewLease()
		p.stepAndCheck()
		p.now += sec
	}
	if s := p.owner.Stats(); s.Sessions+s.Waiting+s.Open+p.book.Owned("a")+len(p.owner.clients)+len(p.owner.timers) > 0 {
		p.fail("%+v, %d are agreed to be here", s, p.book.Owned("a"))
	}
}

func (p *simulation) runSteps(steps int) {
	for range steps {
		p.now += []time.Duration{0, ms, 20 * ms, 60 * ms, 150 * ms, 400 * ms, 0, 3 * sec}[p.draw(8)*p.draw(8)/7]
		for range p.draw(4) {
			p.randomEvent()
		}
		p.stepAndCheck()
	}
	p.drain()
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
			p := newSimulation(t, r.IntN)
			p.runSteps(300)
			runtime.GOMAXPROCS(before)
			h := fnv.New64()
			h.Write(p.history)
			hashes[i] = h.Sum64()
			s := p.owner.Stats()
			sum.Ran, sum.Cancelled, sum.Failed, sum.Withheld = sum.Ran+s.Ran, sum.Cancelled+s.Cancelled, sum.Failed+s.Failed, sum.Withheld+s.Withheld
			sum.Handed, sum.Adopted, sum.RolledBack, sum.Resumed = sum.Handed+s.Handed, sum.Adopted+s.Adopted, sum.RolledBack+s.RolledBack, sum.Resumed+s.Resumed
		}
		if hashes[0] != hashes[1] {
			t.Fatalf("seed %d: two histories of the same news", seed)
		}
	}
	if sum.Ran*sum.Cancelled*sum.Failed*sum.Withheld*sum.Handed*sum.Adopted*sum.RolledBack*sum.Resumed == 0 {
		t.Errorf("not all was played: %+v", sum)
	}
	t.Logf("%+v", sum)
}
