package sessionpart

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/agreedstate"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/waveplan"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// A pinned class that is not safe to repeat needs a lease that is longer than its query timeout. A safe class has no such limit.
func TestValidateRequiresLeaseLongerThanQueries(t *testing.T) {
	names := &settings.Names{Classes: []string{"report", "tally"}}
	cfg := &policy.Config{Classes: []policy.Class{{GiveUp: 60}, {GiveUp: 4, Effect: policy.Unsafe}}}
	f := &operator.Fleet{Lease: 4500, Grace: 1000, Sessions: &operator.Sessions{Classes: []string{"report", "tally"}}}
	if err := Validate(f, names, cfg); err != nil {
		t.Errorf("query timeout equal to the 4 s left of the lease: %v", err)
	}
	f.Lease = 4499
	if err := Validate(f, names, cfg); err == nil || !strings.Contains(err.Error(), `classes[1]: "tally" stands there`) {
		t.Errorf("lease 1 ms shorter: %v", err)
	}
	if f.Sessions = nil; Validate(f, names, cfg) != nil {
		t.Error("rejected without a sessions section")
	}
}

// A restarted process must not act on a lease while parts of the previous process of its name may run at replicas, which takes at
// most lease and grace after its start. It waits only if the agreed state has slots of its name at the first lease.
func TestLeaseWaitsForPartsOfPreviousProcess(t *testing.T) {
	limits := session.Limits{Revision: 1, Caps: map[string]int{"r": 9}, InFlight: 9, PerMinute: 9, StepTimeout: time.Second, IdleTimeout: time.Minute,
		Lease: 2 * time.Second, Grace: 3 * time.Second, MaxSessions: 9, MaxStateBytes: 9, Slots: 2}
	const firstLeaseAt, leaseUntil = time.Second, time.Minute
	for name, c := range map[string]struct {
		slots string // who holds them
		want  time.Duration
	}{"of the previous process": {"a", 0}, "of another co-ordinator": {"b", leaseUntil}, "of nobody": {"", leaseUntil}} {
		t.Run(name, func(t *testing.T) {
			state := agreedstate.New()
			apply := func(kind string, body any) {
				raw, err := json.Marshal(body)
				if err == nil {
					err = state.Sessions.Apply(0, func() uint64 { return 1 }, kind, raw)
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			apply(session.KindLimits, session.LimitsBody{Limits: limits})
			if c.slots != "" {
				apply(session.KindPlan, session.PlanBody{Shifts: []session.Shift{{To: c.slots, Replica: "r", N: 1}}})
			}
			p := &Part{host: Host{Name: "a", State: state, Log: logrus.NewEntry(logrus.New())}}
			if got := p.leaseUntil(Turn{Now: 0, LeaseUntil: 0}); got != 0 {
				t.Errorf("lease until %v without one", got)
			}
			if got := p.leaseUntil(Turn{Now: firstLeaseAt, LeaseUntil: leaseUntil}); got != c.want {
				t.Errorf("first lease until %v, wanted %v", got, c.want)
			}
			apply(session.KindPlan, session.PlanBody{Shifts: []session.Shift{{To: "a", Replica: "r", N: 1}}}) // slots of the new process
			if got := p.leaseUntil(Turn{Now: firstLeaseAt + time.Millisecond, LeaseUntil: leaseUntil}); got != c.want {
				t.Errorf("with slots of its own: lease until %v, wanted %v", got, c.want)
			}
			if got := p.leaseUntil(Turn{Now: limits.SilentFor(), LeaseUntil: leaseUntil}); got != leaseUntil {
				t.Errorf("lease until %v after lease and grace", got)
			}
		})
	}
}

// A message of acts must fit into a log entry, whatever state hand-overs carry.
func TestCountFittingStaysWithinLogEntry(t *testing.T) {
	largest := session.Act{Kind: session.HandOver, Epoch: 1<<64 - 1, Fence: 1<<64 - 1, Seq: 1<<64 - 1, State: make([]byte, session.MaxStateBytes), Lane: 255}
	acts := make([]session.Act, session.MaxActs+1)
	if n := countFitting(acts); n != session.MaxActs {
		t.Errorf("%d claims fit", n)
	}
	for i := range acts {
		acts[i] = largest
		if i > 300 { // most hand-overs carry no record of queries
			acts[i].State = nil
		}
	}
	n := countFitting(acts)
	body, err := json.Marshal(session.ActsBody{From: strings.Repeat("x", 64), Acts: acts[:n]})
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > peerproto.MaxEntrySize || n < 500 {
		t.Errorf("%d hand-overs in %d bytes, at most %d allowed", n, len(body), peerproto.MaxEntrySize)
	}
	if countFitting(acts[:1]) != 1 || countFitting(nil) != 0 {
		t.Error("wrong count for one act, or for none")
	}
}

// Open unsafe queries that a co-ordinator reports with a poll must reach the leader's forecast. A session with one that may be open
// beyond the deadline is listed and not offered; it is offered once a later poll reports none.
func TestForecastIncludesOpenUnsafeQueries(t *testing.T) {
	state := agreedstate.New()
	p := &Part{host: Host{Name: "b", State: state, Controller: drainctl.New(waveplan.Order)}, section: &operator.Sessions{Most: 9},
		capacity: map[string]migrate.Capacity{}, idle: map[string][]session.ID{}, unsafe: map[string][]migrate.Unsafe{}}
	id := session.IDOf(1, []byte("k"))
	limits := session.Limits{Revision: 1, InFlight: 9, PerMinute: 9, StepTimeout: time.Second, IdleTimeout: time.Minute, Lease: time.Second, Grace: time.Second, MaxSessions: 9, Slots: 2}
	for kind, body := range map[string]any{session.KindLimits: session.LimitsBody{Limits: limits}} {
		raw, _ := json.Marshal(body)
		if err := state.Sessions.Apply(0, nil, kind, raw); err != nil {
			t.Fatal(err)
		}
	}
	raw, _ := json.Marshal(session.ActsBody{From: "a", Acts: []session.Act{{Kind: session.Claim, ID: id}}})
	if err := state.Sessions.Apply(0, nil, session.KindActs, raw); err != nil {
		t.Fatal(err)
	}
	forecast := func(open ...peerproto.UnsafeQuery) (migrate.Forecast, int) {
		for _, name := range []string{"a", "c"} {
			m := peerproto.Poll{From: name, Sequence: 1, Sessions: &peerproto.SessionLoad{Queries: 9, Memory: 1 << 20}}
			if name == "a" {
				m.Sessions.Owned, m.Sessions.Unsafe = 1, open
			}
			raw, err := peerproto.Encode(m)
			if err != nil {
				t.Fatal(err)
			}
			got, err := peerproto.Decode(raw)
			if err != nil {
				t.Fatal(err)
			}
			p.HandlePoll(got.(peerproto.Poll))
		}
		p.coordinators = []migrate.Coordinator{{Name: "a", Live: true, Leaving: true, Deadline: time.Minute}, {Name: "c", Live: true, Rank: migrate.RankNone}}
		p.planUntil = time.Hour
		p.refreshPlan(0, 0)
		v := migrate.View{Book: state.Sessions, Coordinators: p.coordinators}
		return migrate.NewForecast(0, v, 0), len(migrate.New(migrate.Options{}).Step(0, v).Body.Offers)
	}
	f, offers := forecast(peerproto.UnsafeQuery{ID: id, TimeLeft: time.Minute + 1})
	if f.MeetsDeadlines || len(f.AtRisk) != 1 || f.AtRisk[0] != id || offers != 0 {
		t.Errorf("open beyond the deadline: %+v, %d offers", f, offers)
	}
	if f, offers = forecast(peerproto.UnsafeQuery{ID: id, TimeLeft: time.Second}); !f.MeetsDeadlines || len(f.AtRisk) > 0 || offers != 1 {
		t.Errorf("open for as long as an offer: %+v, %d offers", f, offers)
	}
	if f, offers = forecast(); !f.MeetsDeadlines || len(f.AtRisk) > 0 || offers != 1 {
		t.Errorf("no open unsafe query: %+v, %d offers", f, offers)
	}
}
