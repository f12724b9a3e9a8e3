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
type asked struct {
	Arrived
	at, began, until time.Duration
	n                int // its session
	epoch, seq       uint64
	runs, ended, out bool
	outcome          Outcome
	words            int
}

func (q *asked) open(now time.Duration) bool {
	return q.runs && q.out && (q.Effect != Idempotent || now < q.Deadline)
}

// play is an owner under random events, beside a model that knows nothing of it: what clients got, what runs, what is truly
// agreed. The owner's copy of that is as old as its last Applied.
type play struct {
	*rig
	draw    func(n int) int
	copy    *session.Book
	lease   time.Duration // sure until then
	all     []*asked
	news    []Input
	left    []*asked      // by their clients, in the events
	words   []session.Act // ever proposed, the newest 64
	seqs    map[string]uint64
	history []byte
}

const sessions = 3

func newPlay(t tb, draw func(n int) int) *play {
	w := &world{t: t, b: session.New(), now: sec}
	w.apply(session.KindLimits, session.LimitsBody{Limits: limits})
	w.plan(session.PlanBody{Shifts: []session.Shift{{To: "a", Replica: "r1", N: 4}, {To: "a", Replica: "r2", N: 2}, {To: "b", Replica: "r1", N: 4}}})
	p := &play{rig: &rig{world: w, name: "a", k: New("a", Options{Replicas: []string{"r1"}, MaxWaiting: 6})}, draw: draw, seqs: map[string]uint64{}}
	p.renew()
	p.turn()
	return p
}

func (p *play) fail(format string, a ...any) {
	p.t.Helper()
	p.t.Fatalf("at %v: %s", p.now, fmt.Sprintf(format, a...))
}

func (p *play) show() {
	p.copy = p.b.Clone()
	p.news = append(p.news, Applied{State: p.copy, Index: p.index, AgreedTime: p.now})
}

func (p *play) renew() {
	p.show()
	p.lease = p.now + 2*sec
	p.news = append(p.news, Lease{p.lease, true})
}

// any draws one of those that fit, or nil.
func (p *play) any(fit func(*asked) bool) *asked {
	var some []*asked
	for _, q := range p.all {
		if fit(q) {
			some = append(some, q)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[p.draw(len(some))]
}

func (p *play) arrive() {
	n := p.draw(sessions)
	effect := []Effect{Idempotent, Idempotent, Idempotent, Keyed, NonIdempotent}[p.draw(5)]
	need := [][]string{nil, {"r1"}, {"r1"}, {"r1", "r2"}, {"r2", "r2"}}[p.draw(5)]
	q := &asked{n: n, at: p.now, Arrived: Arrived{Token: uint64(len(p.all) + 1), Session: id(n), Client: uint64(p.draw(2)), Effect: effect,
		Deadline: p.now + time.Duration(p.draw(6)+1)*sec/2, Window: time.Duration(p.draw(4)) * sec, Replicas: need}}
	q.ID = []completed.ID{{}, completed.IDOf("a"), completed.IDOf("b"), completed.IDOf("c")}[p.draw(4)]
	p.all = append(p.all, q)
	p.news = append(p.news, &q.Arrived)
}

// end ends one that runs, some after its answer was allowed.
func (p *play) end(q *asked) {
	if q == nil {
		return
	}
	q.outcome = Outcome(p.draw(3))
	if q.outcome == Done && p.draw(4) > 0 {
		p.answer(q)
	}
	q.ended, q.out = true, false
	e := QueryEnded{Token: q.Token, Outcome: q.outcome}
	if p.draw(4) == 0 {
		q.out, q.until = true, p.now+sec/4
		e.BusyUntil = q.until
	}
	p.news = append(p.news, e)
}

// answer is S1 for what is given, by the state as it truly is.
func (p *play) answer(q *asked) {
	if q.words > 0 || !p.k.MayAnswer(p.now, q.Token) {
		return
	}
	p.truly(q.n, q.epoch, "answers")
	if q.words++; p.now >= q.Deadline {
		p.fail("%d is answered late", q.Token)
	}
}

func (p *play) truly(n int, epoch uint64, what string) {
	rec, ok := p.b.Get(id(n))
	if !ok || rec.Owner != "a" || rec.Epoch != epoch || rec.Phase == session.Handed || p.now >= p.lease {
		p.fail("S1: %s for %d in epoch %d, the lease until %v, agreed is %+v", what, n, epoch, p.lease, rec)
	}
}

// others is a move of the rest of the fleet.
func (p *play) others() {
	n := p.draw(sessions)
	rec, owned := p.b.Get(id(n))
	switch k := p.draw(9); {
	case k == 0 && !owned:
		p.by("b", session.Act{Kind: session.Claim, ID: id(n), Epoch: rec.Epoch})
	case k < 4 && rec.Phase == session.Pinned:
		to := map[string]string{"a": "b", "b": "a"}[rec.Owner]
		p.plan(session.PlanBody{Offers: []session.Offer{{ID: id(n), Epoch: rec.Epoch, From: rec.Owner, To: to}}})
	case k < 6 && rec.Phase == session.Offered && rec.Owner == "b":
		p.by("b", session.Act{Kind: session.Hand, ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence, Seq: rec.Seq + uint64(p.draw(3))})
	case k == 4 && rec.Phase == session.Offered:
		p.plan(session.PlanBody{Withdrawals: []session.Withdrawal{{ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence}}})
	case k < 7 && rec.Owner == "b" && rec.Phase == session.Handed:
		p.by("b", session.Act{Kind: session.Adopt, ID: id(n), Epoch: rec.Epoch})
	case k == 7:
		p.by("b", session.Act{Kind: session.Decline, ID: id(n), Epoch: rec.Epoch, Fence: rec.Fence})
	case k == 8:
		to := []string{"a", "b"}[p.draw(2)]
		p.plan(session.PlanBody{Shifts: []session.Shift{{From: map[string]string{"a": "b", "b": "a"}[to], To: to, Replica: "r1", N: 1}}})
		for _, t := range p.b.Pool().Asked("b") {
			p.by("b", session.Act{Kind: session.Freed, Fence: t.Fence})
		}
	}
}

// move is one random event.
func (p *play) move() {
	switch k := p.draw(20); {
	case k < 6:
		p.arrive()
	case k < 10:
		p.end(p.any(func(q *asked) bool { return q.runs && !q.ended }))
	case k == 10:
		if q := p.any(func(q *asked) bool { return !q.ended && q.words == 0 }); q != nil {
			p.left = append(p.left, q)
			p.news = append(p.news, ClientGone{q.Token})
		}
	case k < 13:
		p.others()
	case k < 15 && len(p.acts) > 0: // what was proposed, some of it, in some order, some again
		i := p.draw(len(p.acts))
		p.by("a", p.acts[i])
		if p.draw(3) > 0 {
			p.acts = slices.Delete(p.acts, i, i+1)
		}
	case k == 15 && len(p.words) > 0:
		p.by("a", p.words[p.draw(len(p.words))])
	case k < 18:
		p.renew()
	case k == 18:
		p.show()
	case p.now >= p.lease: // the lease has ended, and what was out with it
		for _, q := range p.all {
			if q.runs && q.out {
				q.out, q.until = false, 0
				if !q.ended {
					q.ended, q.outcome = true, MayHaveRun
					p.news = append(p.news, QueryEnded{Token: q.Token, Outcome: MayHaveRun})
				}
			}
		}
		p.apply(session.KindRelease, session.ReleaseBody{Name: "a", Silent: 8 * sec})
	}
}

// turn gives the events to the owner and looks at what comes out.
func (p *play) turn() {
	p.t.Helper()
	for _, q := range p.all {
		q.out = q.out && (!q.ended || q.until > p.now)
	}
	p.step(p.news...)
	p.news = nil
	for _, o := range p.out {
		p.history = fmt.Appendf(p.history, "%v %T %+v\n", p.now, o, o)
		p.outcome(o)
	}
	for _, q := range p.left {
		q.words = max(q.words, 1)
	}
	p.left = nil
	for _, q := range p.all {
		if q.words > 1 || q.words == 0 && (p.now >= q.Deadline || !q.runs && p.now >= q.at+(q.Deadline-q.at)/MaxWaitDivisor) {
			p.fail("S4: %d words for %+v", q.words, *q)
		}
	}
	for _, replica := range []string{"r1", "r2"} {
		may := p.b.Pool().Held("a", replica)
		for _, t := range p.b.Pool().Asked("a") {
			if t.Replica == replica {
				may += t.N
			}
		}
		if n := p.inUse(replica); n > may {
			p.fail("S2: %d slots in use at %s, of %d", n, replica, may)
		}
	}
}

func (p *play) inUse(replica string) (n int) {
	for _, q := range p.all {
		for _, need := range q.Replicas {
			if q.runs && q.out && need == replica {
				n++
			}
		}
	}
	return n
}

func (p *play) outcome(o Output) {
	p.t.Helper()
	var q *asked
	back := func(token uint64, after time.Duration) {
		q = p.all[token-1]
		q.words++
		if q.runs && (!q.ended || q.outcome != NotRun) && (q.Effect == NonIdempotent || q.Effect == Keyed && p.now+after >= q.began+q.Window) {
			p.fail("S5: %+v may have run and comes again after %v", *q, after)
		}
	}
	switch o := o.(type) {
	case Run:
		p.run(p.all[o.Token-1], o.Seq)
	case Reject:
		back(o.Token, o.RetryAfter)
	case Cancel:
		back(o.Token, o.RetryAfter)
		if !q.runs {
			p.fail("%+v is recalled", *q)
		}
	case Fail:
		q = p.all[o.Token-1]
		if o.Reason == Duplicate {
			if q.words++; q.runs || !slices.ContainsFunc(p.all, func(b *asked) bool { return b.before(q) }) {
				p.fail("S5: %+v failed as one that is repeated", *q)
			}
			return
		}
		if q.words++; !q.runs || q.Effect == Idempotent || q.outcome == NotRun && o.Reason == NoAnswer {
			p.fail("S5: %+v failed", *q)
		}
	case Propose:
		if len(p.words) == 64 {
			p.words = p.words[1:]
		}
		p.words = append(p.words, o.Act)
		for _, q := range p.all {
			if o.Kind == session.Hand && q.Session == o.ID && q.open(p.now) {
				p.fail("S3: handed while %+v is open", *q)
			}
		}
	}
}

// before says that one that ran, or may have, is called the same, and that a repeat of it could act again.
func (b *asked) before(q *asked) bool {
	return b != q && b.n == q.n && b.ID == q.ID && q.ID != completed.ID{} && b.Effect != Idempotent && q.Effect != Idempotent && b.runs && b.ended && b.outcome != NotRun
}

// run is S1 and S3 for one that begins.
func (p *play) run(q *asked, seq uint64) {
	p.t.Helper()
	rec, _ := p.copy.Get(q.Session)
	q.runs, q.out, q.began, q.epoch, q.seq = true, true, p.now, rec.Epoch, seq
	p.truly(q.n, rec.Epoch, "begins")
	beside := 0
	for _, o := range p.all {
		switch {
		case o.before(q) && o.epoch == q.epoch && (o.Effect == NonIdempotent || q.Effect == NonIdempotent || q.Deadline > o.began+o.Window):
			p.fail("S3: %+v begins, %+v ran before it", *q, *o)
		case o.n != q.n || o == q:
		case o.open(p.now) && (o.Effect != Idempotent || q.Effect != Idempotent):
			p.fail("S3: %+v begins beside %+v", *q, *o)
		case o.open(p.now):
			beside++
		case !o.runs && o.words == 0 && o.Token < q.Token && !slices.Contains(p.left, o):
			p.fail("S3: %+v begins before %+v", *q, *o)
		}
	}
	epoch := fmt.Sprint(q.n, rec.Epoch)
	last, known := p.seqs[epoch]
	if !known {
		last = rec.Seq
	}
	if p.seqs[epoch] = seq; seq != last+1 || beside >= limits.Slots || q.words > 0 || p.now >= q.at+(q.Deadline-q.at)/MaxWaitDivisor {
		p.fail("S3: %+v begins, %d was the last, beside %d", *q, last, beside)
	}
}

// settle heals all, and nothing is left. By the sixty-fifth second a sweep has found what is agreed to be here and known to nobody.
func (p *play) settle() {
	for i := range 100 {
		for _, q := range p.all {
			if q.runs && !q.ended {
				p.end(q)
			}
		}
		if i == 65 && p.k.Stats().Sessions+p.b.Owned("a") != p.b.Owned("a")*2 {
			p.fail("%+v, %d are agreed to be here", p.k.Stats(), p.b.Owned("a"))
		}
		p.by("a", append(p.acts, session.Act{Kind: session.Freed})...)
		p.acts = nil
		p.renew()
		p.turn()
		p.now += sec
	}
	if s := p.k.Stats(); s.Sessions+s.Waiting+s.Open+p.b.Owned("a")+len(p.k.clients)+len(p.k.timers) > 0 {
		p.fail("%+v, %d are agreed to be here", s, p.b.Owned("a"))
	}
}

func (p *play) through(steps int) {
	for range steps {
		p.now += []time.Duration{0, ms, 20 * ms, 60 * ms, 150 * ms, 400 * ms, 0, 3 * sec}[p.draw(8)*p.draw(8)/7]
		for range p.draw(4) {
			p.move()
		}
		p.turn()
	}
	p.settle()
}

func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newPlay(t, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }).through(rapid.IntRange(10, 150).Draw(t, "steps"))
	})
}

func TestSeeds(t *testing.T) {
	seeds := 300
	if testing.Short() {
		seeds = 15
	}
	var sum Stats
	for seed := range uint64(seeds) {
		var twice [2]uint64
		for i, procs := range []int{1, 4} {
			before := runtime.GOMAXPROCS(procs)
			r := rand.New(rand.NewPCG(seed, 1))
			p := newPlay(t, r.IntN)
			p.through(300)
			runtime.GOMAXPROCS(before)
			h := fnv.New64()
			h.Write(p.history)
			twice[i] = h.Sum64()
			s := p.k.Stats()
			sum.Ran, sum.Cancelled, sum.Failed, sum.Withheld = sum.Ran+s.Ran, sum.Cancelled+s.Cancelled, sum.Failed+s.Failed, sum.Withheld+s.Withheld
			sum.Handed, sum.Adopted, sum.RolledBack, sum.Resumed = sum.Handed+s.Handed, sum.Adopted+s.Adopted, sum.RolledBack+s.RolledBack, sum.Resumed+s.Resumed
		}
		if twice[0] != twice[1] {
			t.Fatalf("seed %d: two histories of the same news", seed)
		}
	}
	if sum.Ran*sum.Cancelled*sum.Failed*sum.Withheld*sum.Handed*sum.Adopted*sum.RolledBack*sum.Resumed == 0 {
		t.Errorf("not all was played: %+v", sum)
	}
	t.Logf("%+v", sum)
}
