package sessionctl

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
)

// rig is an agreed log with an inventory, and a leader's steward over it.
type rig struct {
	*testing.T
	machine    *statemachine.Machine
	input      Input
	controller *Controller
	silent     map[string]time.Duration
	lastID     int
}

const startTime = 100 * time.Hour

func newRig(t *testing.T, coordinators ...string) *rig {
	order, book := maintenance.New(), session.New()
	r := &rig{T: t, controller: New(), silent: map[string]time.Duration{}, machine: statemachine.New(map[string]statemachine.Part{"takeout": order, "sessions": book})}
	r.input = Input{
		AgreedTime: startTime, Sessions: book, Maintenance: order, SlotsPerReplica: 30, SilentFor: func(name string) time.Duration { return r.silent[name] },
		WantedLimits: session.Limits{Revision: 3, InFlight: 4, PerMinute: 100, StepTimeout: time.Second, IdleTimeout: time.Minute, Lease: 2 * time.Second,
			Grace: time.Second, MaxSessions: 100, MaxStateBytes: 100, Slots: 2},
	}
	if len(coordinators) == 0 {
		coordinators = []string{"c0", "c1", "c2"}
	}
	r.setInventory(coordinators, "r0", "r1")
	return r
}

func (r *rig) apply(part, kind string, body any) error {
	r.Helper()
	r.lastID++
	raw, err := json.Marshal(body)
	if err == nil {
		raw, err = statemachine.Command{V: statemachine.Version, ID: fmt.Sprint(r.lastID), Part: part, Kind: kind, At: r.input.AgreedTime, Body: raw}.Encode()
	}
	if err != nil {
		r.Fatal(err)
	}
	return r.machine.Apply(r.machine.Index()+1, raw)
}

// list makes the inventory three co-ordinators and these replicas.
func (r *rig) setReplicas(replicas ...string) {
	r.setInventory([]string{"c0", "c1", "c2"}, replicas...)
}

func (r *rig) setInventory(coordinators []string, replicas ...string) {
	r.Helper()
	var all []maintenance.Machine
	for _, name := range coordinators {
		all = append(all, maintenance.Machine{Name: name, Kind: maintenance.Coordinator, Status: maintenance.Up, Cell: -1})
	}
	for _, name := range replicas {
		all = append(all, maintenance.Machine{Name: name, Kind: maintenance.Replica, Status: maintenance.Up, Size: 1})
	}
	if err := r.apply("takeout", "observe", maintenance.ObserveBody{Complete: true, Machines: all}); err != nil {
		r.Fatal(err)
	}
}

// step plays one look; what is proposed is agreed, if take says so.
func (r *rig) step(after time.Duration, take bool) (kinds []string) {
	r.Helper()
	r.input.Now += after
	r.input.AgreedTime += after
	for _, p := range r.controller.Step(r.input) {
		kinds = append(kinds, p.Kind)
		if take {
			if err := r.apply("sessions", p.Kind, p.Body); err != nil {
				r.Errorf("%s: %v", p.Description, err)
			}
		}
	}
	if err := r.machine.Check(); err != nil {
		r.Error(err)
	}
	return kinds
}

func (r *rig) expectKinds(got []string, want ...string) {
	r.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		r.Errorf("%v, wanted %v", got, want)
	}
}

func TestLimitsAreProposedBeforeSlots(t *testing.T) {
	r := newRig(t)
	r.expectKinds(r.step(time.Second, false), "limits")
	r.expectKinds(r.step(RetryInterval/2, true)) // that one may still come
	r.expectKinds(r.step(RetryInterval, true), "limits")
	r.expectKinds(r.step(RetryInterval, true), "plan")
	for _, name := range []string{"c0", "c1", "c2"} {
		if p := r.input.Sessions.Pool(); p.Held(name, "r0") != 10 || p.Held(name, "r1") != 10 {
			t.Errorf("%s holds %d and %d of 30 among three", name, p.Held(name, "r0"), p.Held(name, "r1"))
		}
	}
	r.expectKinds(r.step(RetryInterval, true))
	r.setReplicas("r0", "r1", "r2") // another replica has a cap, and shares, too
	r.expectKinds(r.step(RetryInterval, true), "limits")
	r.expectKinds(r.step(RetryInterval, true), "plan")
	r.input.WantedLimits.Revision = 2 // an older file at the next leader
	r.input.SlotsPerReplica = 5
	r.expectKinds(r.step(RetryInterval, true))
	r.input.WantedLimits.Revision, r.input.WantedLimits.InFlight = 4, 9
	r.expectKinds(r.step(RetryInterval, true), "limits")
	if l, _ := r.input.Sessions.Limits(); l.InFlight != 9 || l.Caps["r2"] != 5 {
		t.Errorf("%+v", l)
	}
}

// One that is silent for as long as its lease can last, and has something, is released once; while that may be under way it
// is given no lease, and the next leader counts anew.
func TestSilentCoordinatorIsReleasedOnce(t *testing.T) {
	r := newRig(t)
	for range 3 {
		r.step(RetryInterval, true)
	}
	claim := session.ActsBody{From: "c1", Acts: []session.Act{{Kind: session.Claim, ID: session.IDOf(0, []byte("k"))}}}
	if err := r.apply("sessions", session.KindActs, claim); err != nil {
		t.Fatal(err)
	}
	need := r.input.WantedLimits.SilentFor()
	r.silent["c1"] = need - 1
	r.expectKinds(r.step(need, false))
	r.silent["c1"] = need
	r.expectKinds(r.step(RetryInterval, false), "release")
	if !r.controller.Releasing("c1") || r.controller.Releasing("c0") {
		t.Error("a lease while it is released, or none for another")
	}
	no := r.controller.lastNumber
	// It is heard of again, and the raft group has no majority: the release may still come, for however long.
	r.silent["c1"] = 0
	r.expectKinds(r.step(time.Minute, false))
	r.input.Results = []Result{{Number: no}} // nobody knows whether it entered the log
	r.expectKinds(r.step(RetryInterval, false), "tick")
	r.input.Results = nil
	if !r.controller.Releasing("c1") {
		t.Error("a lease while a release of before may still come")
	}
	r.input.Results = []Result{{Number: r.controller.lastNumber, OutcomeKnown: true}} // that entered after it
	r.expectKinds(r.step(RetryInterval, false))
	if r.input.Results = nil; r.controller.Releasing("c1") {
		t.Error("no lease, though what came of the release is known")
	}
	r.silent["c1"] = need
	r.expectKinds(r.step(RetryInterval, false), "release")
	r.controller.Reset()
	if r.controller.Releasing("c1") {
		t.Error("the next leader holds a lease back for what it did not propose")
	}
	r.expectKinds(r.step(RetryInterval, true), "release")
	r.input.Results = []Result{{Number: r.controller.lastNumber, OutcomeKnown: true}}
	if r.input.Sessions.Owned("c1") != 0 || r.input.Sessions.Pool().Held("c1", "r0") != 0 {
		t.Error("what it had is not free")
	}
	r.expectKinds(r.step(RetryInterval, true)) // up by the inventory, and silent still: it gets no share
	r.silent["c1"] = 0
	if r.step(RetryInterval, true); r.input.Sessions.Pool().Held("c1", "r0") != 10 {
		t.Errorf("c1 is heard of again, and holds %d", r.input.Sessions.Pool().Held("c1", "r0"))
	}
}

// One that joins after all slots are given out gets some from who has more than its even share; those say first that they
// use them no more. Once all are near theirs, nothing moves.
func TestJoiningCoordinatorGetsSlots(t *testing.T) {
	r := newRig(t, "c0", "c1")
	for range 3 {
		r.step(RetryInterval, true)
	}
	p := r.input.Sessions.Pool()
	if p.Held("c0", "r0") != 15 || p.Free("r0") != 0 {
		t.Fatalf("%d held, %d free", p.Held("c0", "r0"), p.Free("r0"))
	}
	r.setReplicas("r0", "r1")
	for range 4 {
		r.expectKinds(r.step(RetryInterval, true), "plan")
		for _, x := range p.Transfers() {
			if err := r.apply("sessions", session.KindActs, session.ActsBody{From: x.From, Acts: []session.Act{{Kind: session.Freed, Fence: x.Fence}}}); err != nil {
				t.Error(err)
			}
		}
		if p.Held("c2", "r0") >= 5 {
			break
		}
	}
	if c0, c1, c2 := p.Held("c0", "r0"), p.Held("c1", "r0"), p.Held("c2", "r0"); c2 < 5 || c0 < 10 || c1 < 10 {
		t.Errorf("%d, %d and %d of 30", c0, c1, c2)
	}
	r.expectKinds(r.step(RetryInterval, true))
	r.expectKinds(r.step(RetryInterval, true))
}

// The fleet's limits have leases of their own, of the newest file anywhere; this leader's file, and with it the sessions'
// limits, may be older. No release comes while a lease by either may last.
func TestReleaseWaitsForLongestLease(t *testing.T) {
	r := newRig(t)
	lease := func(revision int, d time.Duration) {
		l := maintenance.Limits{Cells: 2, Reach: 1, Shards: 1, MinHolders: 1, MaxOut: 1, MaxOutPerZone: 1, MaxPassedOver: 1, MaxLoadAge: 1, MaxInventoryAge: 1, Lease: d}
		if err := r.apply("takeout", "limits", maintenance.LimitsBody{Revision: revision, Limits: l}); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		r.step(RetryInterval, true)
	}
	lease(3, r.input.WantedLimits.Lease)
	r.step(RetryInterval, true)
	lease(4, time.Minute)
	r.silent["c1"] = r.input.WantedLimits.SilentFor()
	r.expectKinds(r.step(RetryInterval, true)) // its lease may last for a minute
	lease(5, time.Second)
	r.silent["c1"] = time.Minute
	r.expectKinds(r.step(RetryInterval, true)) // as far as it knows
	r.silent["c1"] = time.Minute + 2*time.Second
	r.expectKinds(r.step(RetryInterval, false), "release")
	r.controller.Reset()
	r.silent["c1"] = r.input.WantedLimits.SilentFor()
	r.expectKinds(r.step(time.Minute-3*RetryInterval, false))
	r.expectKinds(r.step(2*RetryInterval, false), "release")

	r.controller = New() // another leads, who saw the longer one while it did not
	r.controller.ObserveLease(r.input.Now, time.Minute)
	r.expectKinds(r.step(RetryInterval, false))
	r.controller = New()
	r.expectKinds(r.step(RetryInterval, false), "release")
}

// A look at a large fleet while slots are on their way takes little time: it holds the agreed state, for which polls, words and
// the keeper wait. The quickest of some counts, so that a busy machine does not.
func TestSlotShiftTimeInLargeFleet(t *testing.T) {
	var co, replicas []string
	for i := range 100 {
		co, replicas = append(co, fmt.Sprintf("c%02d", i)), append(replicas, fmt.Sprintf("r%02d", i))
	}
	r := newRig(t, co...)
	r.setInventory(co, replicas...)
	r.input.SlotsPerReplica = 1000
	for len(r.step(RetryInterval, true)) > 0 {
	}
	joined := append(co, "d0", "d1", "d2", "d3", "d4")
	r.setInventory(joined, replicas...)
	best := time.Hour
	for i := range 8 {
		began := time.Now()
		r.input.Now += RetryInterval
		out := r.controller.Step(r.input)
		if took := time.Since(began); i >= 4 {
			best = min(best, took)
		}
		for _, p := range out {
			if err := r.apply("sessions", p.Kind, p.Body); err != nil {
				t.Fatal(err)
			}
		}
	}
	p := r.input.Sessions.Pool()
	given := map[string]int{}
	for _, x := range p.Transfers() {
		given[x.To] += x.Slots
		if share := 1000 / len(joined); x.Slots > share || p.Held(x.From, x.Replica) < share {
			t.Fatalf("%+v, and %d are left there of a share of %d", x, p.Held(x.From, x.Replica), share)
		}
	}
	if len(given) != 5 {
		t.Errorf("%v are to get slots", given)
	}
	if best > 250*time.Millisecond {
		t.Errorf("a look took %v", best)
	}
	t.Logf("a look took %v", best)
}
