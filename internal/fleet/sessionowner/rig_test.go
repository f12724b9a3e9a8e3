package sessionowner

import (
	"encoding/json"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// tb is what is used of a test; *rapid.T is one too.
type tb interface {
	Helper()
	Fatal(a ...any)
	Fatalf(format string, a ...any)
}

// world is one book, its log's index and numbers, and a clock for all.
type sharedState struct {
	t            tb
	book         *session.State
	now          time.Duration
	index, fence uint64
}

// rig is an owner beside the book.
type rig struct {
	*sharedState
	name  string
	owner *Owner
	acts  []session.Act // proposed and not yet applied
	out   []Output      // of the last step
}

var limits = session.Limits{
	Revision: 1, Caps: map[string]int{"r1": 40, "r2": 20}, InFlight: 1000, PerMinute: 10_000, StepTimeout: 10 * sec, IdleTimeout: 60 * sec,
	Lease: 6 * sec, Grace: sec, MaxSessions: 100_000, MaxStateBytes: 1024, Slots: 3,
}

// newRig is owner "a" with 3 and 1 slots at r1 and r2, and a lease for long.
func newRig(t tb, o Options) *rig {
	w := &sharedState{t: t, book: session.New(), now: sec}
	w.apply(session.KindLimits, session.LimitsBody{Limits: limits})
	return w.newRigFor("a", o, 3, 1)
}

func (w *sharedState) newRigFor(name string, o Options, r1, r2 int) *rig {
	r := &rig{sharedState: w, name: name, owner: New(name, o)}
	if r1 > 0 {
		w.plan(session.PlanBody{Shifts: []session.Shift{{To: name, Replica: "r1", N: r1}, {To: name, Replica: "r2", N: r2}}})
	}
	r.step(r.applied(), Lease{r.now + 1000*sec, true})
	return r
}

func (r *rig) step(in ...Input) []Output {
	r.t.Helper()
	r.out = slices.Clone(r.owner.Step(r.now, in))
	for _, o := range r.out {
		if a, ok := o.(Propose); ok {
			r.acts = append(r.acts, a.Act)
		}
	}
	if err := r.owner.Check(); err != nil {
		r.t.Fatal(err)
	}
	return r.out
}

// pass moves the time on, step by step.
func (r *rig) advance(d time.Duration) (all []Output) {
	r.t.Helper()
	for end := r.now + d; r.now < end; {
		r.now = min(end, r.now+50*ms)
		all = append(all, r.step()...)
	}
	r.out = all
	return all
}

func (r *sharedState) apply(kind string, body any) {
	r.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		r.t.Fatal(err)
	}
	r.index++
	r.book.Tick(r.now)
	_ = r.book.Apply(r.now, func() uint64 { r.fence++; return r.fence }, kind, raw) // or it is refused
	if err := r.book.Check(); err != nil {
		r.t.Fatal(err)
	}
}

func (r *sharedState) plan(p session.PlanBody) { r.t.Helper(); r.apply(session.KindPlan, p) }

func (r *sharedState) applyActs(co string, acts ...session.Act) {
	r.t.Helper()
	r.apply(session.KindActs, session.ActsBody{From: co, Acts: acts})
}

func (r *sharedState) applied() Applied {
	return Applied{State: r.book, Index: r.index, AgreedTime: r.now}
}

// agree applies what was proposed and shows the outcome.
func (r *rig) applyProposed() []Output {
	r.t.Helper()
	if len(r.acts) > 0 {
		r.applyActs(r.name, r.acts...)
		r.acts = nil
	}
	return r.step(r.applied())
}

func id(n int) session.ID { return session.IDOf(n, []byte("key")) }

// q is a safe query of session 1 with 4 s of time.
func (r *rig) newQuery(token uint64, e Effect) Arrived {
	return Arrived{Token: token, Session: id(1), Effect: e, Deadline: r.now + 4*sec, Window: 10 * sec, Replicas: []string{"r1"}}
}

func (r *sharedState) offer(n int, to string) {
	r.t.Helper()
	rec, _ := r.book.Get(id(n))
	r.plan(session.PlanBody{Offers: []session.Offer{{ID: id(n), Epoch: rec.Epoch, From: rec.Owner, To: to}}})
	if rec, _ = r.book.Get(id(n)); rec.Phase != session.Offered {
		r.t.Fatalf("not offered: %+v", rec)
	}
}

// word finds the one output of type T about a token.
func findOutput[T Output](r *rig, match func(T) bool) (T, bool) {
	for _, o := range r.out {
		if w, ok := o.(T); ok && match(w) {
			return w, true
		}
	}
	var none T
	return none, false
}

func (r *rig) ran(token uint64) bool {
	_, ok := findOutput(r, func(o Run) bool { return o.Token == token })
	return ok
}

func (r *rig) rejected(token uint64, reason Reason) bool {
	_, ok := findOutput(r, func(o Reject) bool { return o.Token == token && o.Reason == reason && o.RetryAfter > 0 })
	return ok
}

func (r *rig) failed(token uint64, reason Reason) bool {
	_, ok := findOutput(r, func(o Fail) bool { return o.Token == token && o.Reason == reason })
	return ok
}

func (r *rig) cancelled(token uint64, reason Reason) bool {
	_, ok := findOutput(r, func(o Cancel) bool { return o.Token == token && o.Reason == reason && o.RetryAfter > 0 })
	return ok
}

func (r *rig) want(ok bool, what string) {
	r.t.Helper()
	if !ok {
		r.t.Fatalf("%s; at %v came %+v", what, r.now, r.out)
	}
}

// claimed opens session 1 with a first safe query, token 1.
func newClaimedRig(t tb) *rig {
	t.Helper()
	r := newRig(t, Options{})
	r.step(r.newQuery(1, Idempotent))
	r.want(!r.ran(1), "ran without a claim")
	r.applyProposed()
	r.want(r.ran(1), "did not run after the claim")
	return r
}
