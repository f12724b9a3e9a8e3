package sessiongate

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/session"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// rig is the gate of co-ordinator "a" with an agreed state, and an exchange that records the gate's calls.
type rig struct {
	testing.TB
	gate     *Gate
	state    *session.State
	acts     []session.Act
	released []*exchange.Query
	rejected []exchange.Reply
}

func (r *rig) Release(q *exchange.Query)                  { r.released = append(r.released, q) }
func (r *rig) Reject(_ *exchange.Query, a exchange.Reply) { r.rejected = append(r.rejected, a) }

var limits = session.Limits{Revision: 1, Caps: map[string]int{"r": 9}, InFlight: 9, PerMinute: 9, StepTimeout: time.Second, IdleTimeout: time.Minute,
	Lease: 2 * time.Second, Grace: 3 * time.Second, MaxSessions: 9, MaxStateBytes: 9, Slots: 2}

func newRig(t testing.TB) *rig {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &rig{TB: t, state: session.New()}
	r.gate = New(Options{Name: "a", StartTime: time.Now(), Exchange: r, Log: logrus.NewEntry(log), Names: &settings.Names{Classes: []string{"tally"}},
		Policy: &policy.Config{Classes: []policy.Class{{Effect: policy.Unsafe}}, RetryAfter: true, MaxRetryAfter: 1}, Sessions: r.state,
		WithLock: func(do func()) { do() }, Propose: func(acts []session.Act) { r.acts = append(r.acts, acts...) }})
	r.gate.SetRules(&operator.Sessions{Classes: []string{"tally"}, Most: 9})
	r.gate.SetHolders([][]string{{"r"}})
	r.apply(session.KindLimits, session.LimitsBody{Limits: limits})
	r.apply(session.KindPlan, session.PlanBody{Shifts: []session.Shift{{To: "a", Replica: "r", N: 2}}})
	return r
}

func (r *rig) apply(kind string, body any) {
	r.Helper()
	raw, err := json.Marshal(body)
	if err == nil {
		err = r.state.Apply(r.state.Now(), func() uint64 { return 1 }, kind, raw)
	}
	if err != nil {
		r.Fatal(err)
	}
}

// step passes the agreed state of that log epoch and a lease of one minute to the gate, and steps it.
func (r *rig) step(index, logEpoch uint64) {
	r.gate.Update(index, logEpoch, time.Second, r.gate.now()+time.Minute)
	r.gate.step()
}

// agree applies the proposed acts to the agreed state.
func (r *rig) agree() {
	r.Helper()
	r.apply(session.KindActs, session.ActsBody{From: "a", Acts: r.acts})
	r.acts = nil
}

func (r *rig) admit(key string, wait time.Duration) *exchange.Query {
	r.Helper()
	q := &exchange.Query{Session: key, Tenant: -1, Due: time.Now().Add(wait), Parts: []exchange.Part{{}}}
	if !r.gate.Admit(q, "") {
		r.Fatal("query not admitted")
	}
	return q
}

// A raft group that was set up again has a new log epoch and a much lower index. The gate must apply its state all the same, and
// begin the query whose claim was agreed there.
func TestStateOfNewLogEpochIsApplied(t *testing.T) {
	r := newRig(t)
	r.step(1000, 1)
	q := r.admit("k", time.Minute)
	r.gate.step()
	r.agree()
	r.step(3, 2)
	if len(r.released) != 1 || r.released[0] != q {
		t.Fatalf("claim agreed, but query not released: %d released, rejections %+v", len(r.released), r.rejected)
	}
}

// Between a release and the beginning of its query the process may be suspended past its lease, or the owner may respond to the
// query's client. In both cases the query must not begin, and is rejected with a retry delay.
func TestReleasedQueryDoesNotBeginWithoutLease(t *testing.T) {
	r := newRig(t)
	r.step(1, 1)
	q := r.admit("k", time.Minute)
	r.gate.step()
	r.agree()
	r.step(2, 1)
	if len(r.released) != 1 {
		t.Fatalf("%d released, %+v", len(r.released), r.rejected)
	}
	if a, allowed := r.gate.MayBegin(q); !allowed {
		t.Fatalf("rejected with a valid lease: %+v", a)
	}
	r.gate.leaseUntil.Store(int64(r.gate.now()))
	if a, allowed := r.gate.MayBegin(q); allowed || a.Status != exchange.Rejected || a.RetryAfter == 0 {
		t.Fatalf("without a lease: may begin %v, %+v", allowed, a)
	}
	r.gate.leaseUntil.Store(int64(r.gate.now() + time.Minute))
	r.gate.reject(r.gate.byQuery[q], exchange.Reply{Status: exchange.Rejected})
	if _, allowed := r.gate.MayBegin(q); allowed {
		t.Error("query may begin after the owner has responded")
	}
}

// leaseCheckingRig calls MayBegin at the moment of a release, as an exchange in another goroutine may do.
type leaseCheckingRig struct {
	*rig
	mayBegin []bool
}

func (r *leaseCheckingRig) Release(q *exchange.Query) {
	_, allowed := r.gate.MayBegin(q)
	r.mayBegin = append(r.mayBegin, allowed)
}

// A lease must be published before the releases that depend on it: MayBegin would reject these queries otherwise.
func TestLeaseIsPublishedBeforeRelease(t *testing.T) {
	r := &leaseCheckingRig{rig: newRig(t)}
	r.gate.options.Exchange = r
	r.step(1, 1)
	r.admit("k", time.Minute)
	r.gate.step()
	r.agree()
	r.gate.leaseUntil.Store(0)
	r.step(2, 1)
	if len(r.mayBegin) != 1 || !r.mayBegin[0] {
		t.Fatalf("%v", r.mayBegin)
	}
}

// A draining gate rejects new sessions; it accepts them again once the drain is cancelled.
func TestCancelDrainAcceptsNewSessions(t *testing.T) {
	r := newRig(t)
	r.step(1, 1)
	r.gate.Drain()
	r.admit("k", time.Minute)
	r.gate.step()
	if len(r.rejected) != 1 || len(r.acts) != 0 {
		t.Fatalf("draining gate accepted a session: rejections %+v, acts %+v", r.rejected, r.acts)
	}
	r.gate.CancelDrain()
	r.admit("k", time.Minute)
	r.gate.step()
	if len(r.rejected) != 1 || len(r.acts) != 1 {
		t.Fatalf("gate did not accept a session after CancelDrain: rejections %+v, acts %+v", r.rejected, r.acts)
	}
	if r.gate.IdleSessions() != nil {
		t.Error("idle sessions are still listed after CancelDrain")
	}
}

func (r *rig) woken() bool {
	select {
	case <-r.gate.wake:
		return true
	default:
		return false
	}
}

// The end of a query wakes the owner only if another query may begin because of it; else the owner learns of it in the next step.
func TestQueryEndWakesOwnerOnlyWhenQueriesWait(t *testing.T) {
	r := newRig(t)
	r.step(1, 1)
	first := r.admit("k", time.Minute)
	r.gate.step()
	r.agree()
	r.step(2, 1)
	for r.woken() {
	}
	r.gate.QueryEnded(first, exchange.QueryOutcome{Served: true, Ran: true})
	if r.woken() {
		t.Error("end of a query woke the owner while nothing waits")
	}
	second, third := r.admit("k", time.Minute), r.admit("k", time.Minute)
	r.gate.step()
	if len(r.released) != 2 || r.released[1] != second {
		t.Fatalf("%d released, wanted 2: the second query begins when the first ends, the third one waits", len(r.released))
	}
	for r.woken() {
	}
	r.gate.QueryEnded(second, exchange.QueryOutcome{Served: true, Ran: true})
	if !r.woken() {
		t.Error("end of a query did not wake the owner while a query waits")
	}
	r.gate.step()
	if len(r.released) != 3 || r.released[2] != third {
		t.Fatalf("%d released", len(r.released))
	}
	if r.gate.QueryEnded(third, exchange.QueryOutcome{Served: true, Ran: true}); r.gate.step() {
		t.Error("queries are open at the end")
	}
	if n := len(r.gate.spareQueries); n != 3 || len(r.gate.ended) > 0 || r.gate.spareQueries[0].query != nil {
		t.Errorf("%d of 3 queries kept for reuse, %d ended ones not processed", n, len(r.gate.ended))
	}
}

// An unsafe query that was served and is sent again with the same id fails at once and never begins.
func TestRepeatedUnsafeQueryFails(t *testing.T) {
	r := newRig(t)
	r.step(1, 1)
	r.admitWithID("a")
	r.gate.step()
	r.agree()
	r.step(2, 1)
	r.gate.QueryEnded(r.released[0], exchange.QueryOutcome{Served: true, Ran: true})
	r.admitWithID("a")
	r.admitWithID("b")
	r.gate.step()
	if len(r.rejected) != 1 || r.rejected[0].Status != exchange.Failed || len(r.released) != 2 || r.released[1].ID != "b" {
		t.Fatalf("%d released, rejections %+v", len(r.released), r.rejected)
	}
}

func (r *rig) admitWithID(id string) {
	r.Helper()
	q := &exchange.Query{ID: id, Session: "k", Tenant: -1, Due: time.Now().Add(time.Minute), Parts: []exchange.Part{{}}}
	if !r.gate.Admit(q, "") {
		r.Fatal("query not admitted")
	}
}

// An open unsafe query is listed with its remaining time until it ends.
func TestUnsafeQueriesAreListedUntilTheyEnd(t *testing.T) {
	r := newRig(t)
	r.step(1, 1)
	r.admit("k", time.Minute)
	r.gate.step()
	r.agree()
	r.step(2, 1)
	r.gate.unsafeListedAt = -time.Hour
	r.gate.step()
	open := r.gate.UnsafeQueries()
	if len(open) != 1 || open[0].ID != session.IDOf(-1, []byte("k")) || open[0].TimeLeft > time.Minute || open[0].TimeLeft < 50*time.Second {
		t.Fatalf("%+v", open)
	}
	r.gate.QueryEnded(r.released[0], exchange.QueryOutcome{Served: true, Ran: true})
	r.gate.unsafeListedAt = -time.Hour
	r.gate.step()
	if open = r.gate.UnsafeQueries(); len(open) > 0 {
		t.Fatalf("%+v", open)
	}
}
