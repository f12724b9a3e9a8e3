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

// tb is the subset of testing.TB that these tests use; *rapid.T implements it too.
type tb interface {
	Helper()
	Fatal(a ...any)
	Fatalf(format string, a ...any)
}

// sharedState is the agreed state with its log index and last fence number, and the clock that all owners of a test share.
type sharedState struct {
	t            tb
	book         *session.State
	now          time.Duration
	index, fence uint64
}

// rig is an Owner under test with the agreed state.
type rig struct {
	*sharedState
	name  string
	owner *Owner
	acts  []session.Act // proposed and not yet applied
	out   []Output      // outputs of the last step
}

var limits = session.Limits{
	Revision: 1, Caps: map[string]int{"r1": 40, "r2": 20}, InFlight: 1000, PerMinute: 10_000, StepTimeout: 10 * sec, IdleTimeout: 60 * sec,
	Lease: 6 * sec, Grace: sec, MaxSessions: 100_000, MaxStateBytes: 1024, Slots: 3,
}

// newRig returns the owner "a" with 3 slots at r1, 1 slot at r2, and a long lease.
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

// advance moves the clock forward in steps of 50 ms and collects the outputs.
func (r *rig) advance(d time.Duration) (all []Output) {
	r.t.Helper()
	for end := r.now + d; r.now < end; {
		r.now = min(end, r.now+50*ms)
		all = append(all, r.step()...)
	}
	r.out = all
	return all
}

func (w *sharedState) apply(kind string, body any) {
	w.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		w.t.Fatal(err)
	}
	w.index++
	w.book.Tick(w.now)
	// An error means that the change was refused, which some tests intend.
	_ = w.book.Apply(w.now, func() uint64 { w.fence++; return w.fence }, kind, raw)
	if err := w.book.Check(); err != nil {
		w.t.Fatal(err)
	}
}

func (w *sharedState) plan(p session.PlanBody) { w.t.Helper(); w.apply(session.KindPlan, p) }

func (w *sharedState) applyActs(co string, acts ...session.Act) {
	w.t.Helper()
	w.apply(session.KindActs, session.ActsBody{From: co, Acts: acts})
}

func (w *sharedState) applied() Applied {
	return Applied{State: w.book, Index: w.index, AgreedTime: w.now}
}

// applyProposed applies the proposed acts to the agreed state and delivers the result to the owner.
func (r *rig) applyProposed() []Output {
	r.t.Helper()
	if len(r.acts) > 0 {
		r.applyActs(r.name, r.acts...)
		r.acts = nil
	}
	return r.step(r.applied())
}

func id(n int) session.ID { return session.IDOf(n, []byte("key")) }

// newQuery returns a query of session 1 with the given effect and a deadline in 4 s.
func (r *rig) newQuery(token uint64, e Effect) Arrived {
	return Arrived{Token: token, Session: id(1), Effect: e, Deadline: r.now + 4*sec, Window: 10 * sec, Replicas: []string{"r1"}}
}

func (w *sharedState) offer(n int, to string) {
	w.t.Helper()
	rec, _ := w.book.Get(id(n))
	w.plan(session.PlanBody{Offers: []session.Offer{{ID: id(n), Epoch: rec.Epoch, From: rec.Owner, To: to}}})
	if rec, _ = w.book.Get(id(n)); rec.Phase != session.Offered {
		w.t.Fatalf("not offered: %+v", rec)
	}
}

// findOutput returns the first output of type T of the last step that matches.
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
		r.t.Fatalf("%s; outputs at %v: %+v", what, r.now, r.out)
	}
}

// newClaimedRig returns a rig that has claimed session 1 and runs an Idempotent query with token 1 there.
func newClaimedRig(t tb) *rig {
	t.Helper()
	r := newRig(t, Options{})
	r.step(r.newQuery(1, Idempotent))
	r.want(!r.ran(1), "ran without a claim")
	r.applyProposed()
	r.want(r.ran(1), "did not run after the claim")
	return r
}
