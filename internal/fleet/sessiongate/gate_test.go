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

// rig is the pins of "a" beside a book, with an exchange that notes what it is told.
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

// step passes on the agreed state in that era, with a lease for a minute, and steps.
func (r *rig) step(index, era uint64) {
	r.gate.Update(index, era, time.Second, r.gate.now()+time.Minute)
	r.gate.step()
}

// agree applies what was proposed.
func (r *rig) agree() {
	r.Helper()
	r.apply(session.KindActs, session.ActsBody{From: "a", Acts: r.acts})
	r.acts = nil
}

func (r *rig) admit(key string, wait time.Duration) *exchange.Query {
	r.Helper()
	q := &exchange.Query{Session: key, Tenant: -1, Due: time.Now().Add(wait), Parts: []exchange.Part{{}}}
	if !r.gate.Admit(q, "") {
		r.Fatal("not taken")
	}
	return q
}

// What was agreed in a raft group that was set up anew is seen here, though its log's index is far behind.
func TestStateOfNewLogEpochIsApplied(t *testing.T) {
	r := newRig(t)
	r.step(1000, 1)
	q := r.admit("k", time.Minute)
	r.gate.step()
	r.agree()
	r.step(3, 2)
	if len(r.released) != 1 || r.released[0] != q {
		t.Fatalf("its claim stands, and it is not let begin: %d released, %+v", len(r.released), r.rejected)
	}
}

// Between a release and its query's beginning the process may have been stopped past its lease, or the owner has told the
// query's client meanwhile: then it does not begin, and is told to come back.
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
	if a, may := r.gate.MayBegin(q); !may {
		t.Fatalf("with a sure lease it is told %+v", a)
	}
	r.gate.leaseUntil.Store(int64(r.gate.now()))
	if a, may := r.gate.MayBegin(q); may || a.Status != exchange.Rejected || a.RetryAfter == 0 {
		t.Fatalf("without a lease: may begin %v, %+v", may, a)
	}
	r.gate.leaseUntil.Store(int64(r.gate.now() + time.Minute))
	r.gate.reject(r.gate.byQuery[q], exchange.Reply{Status: exchange.Rejected})
	if _, may := r.gate.MayBegin(q); may {
		t.Error("one whose client was told may begin")
	}
}

// releasing looks at the lease in the moment of a release, as an exchange in another goroutine may.
type leaseCheckingRig struct {
	*rig
	mayBegin []bool
}

func (r *leaseCheckingRig) Release(q *exchange.Query) {
	_, may := r.gate.MayBegin(q)
	r.mayBegin = append(r.mayBegin, may)
}

// A lease is published before the releases that rest on it: they would be told to come back otherwise.
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

// One whose leave came to nothing takes new sessions again.
func TestCancelDrainAcceptsNewSessions(t *testing.T) {
	r := newRig(t)
	r.step(1, 1)
	r.gate.Drain()
	r.admit("k", time.Minute)
	r.gate.step()
	if len(r.rejected) != 1 || len(r.acts) != 0 {
		t.Fatalf("one that leaves took a session: %+v, %+v", r.rejected, r.acts)
	}
	r.gate.CancelDrain()
	r.admit("k", time.Minute)
	r.gate.step()
	if len(r.rejected) != 1 || len(r.acts) != 1 {
		t.Fatalf("one that stays took none: %+v, %+v", r.rejected, r.acts)
	}
	if r.gate.IdleSessions() != nil {
		t.Error("it names idle sessions still")
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

// The end of a query wakes the owner only if something may begin upon it; else it is told with what comes next.
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
		t.Error("an end that nobody waits for woke the keeper")
	}
	second, third := r.admit("k", time.Minute), r.admit("k", time.Minute)
	r.gate.step()
	if len(r.released) != 2 || r.released[1] != second {
		t.Fatalf("%d released: the second one begins upon the end of the first, the third waits for its own turn", len(r.released))
	}
	for r.woken() {
	}
	r.gate.QueryEnded(second, exchange.QueryOutcome{Served: true, Ran: true})
	if !r.woken() {
		t.Error("an end that one waits for did not wake the keeper")
	}
	r.gate.step()
	if len(r.released) != 3 || r.released[2] != third {
		t.Fatalf("%d released", len(r.released))
	}
	if r.gate.QueryEnded(third, exchange.QueryOutcome{Served: true, Ran: true}); r.gate.step() {
		t.Error("something is open at the end")
	}
	if n := len(r.gate.spareQueries); n != 3 || len(r.gate.ended) > 0 || r.gate.spareQueries[0].query != nil {
		t.Errorf("%d of three kept for use again, %d are not told of", n, len(r.gate.ended))
	}
}

// An unsafe query that was served and comes again, called the same, is failed at once and never let begin.
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
		t.Fatalf("%d let begin, %+v", len(r.released), r.rejected)
	}
}

func (r *rig) admitWithID(id string) {
	r.Helper()
	q := &exchange.Query{ID: id, Session: "k", Tenant: -1, Due: time.Now().Add(time.Minute), Parts: []exchange.Part{{}}}
	if !r.gate.Admit(q, "") {
		r.Fatal("not taken")
	}
}

// What is unsafe and open here is told, with the time that is left, and no more once it is over.
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
