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

// rig is an agreed state machine with an inventory, and a leader's controller that reads its state.
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

// setReplicas sets the inventory to three co-ordinators and these replicas.
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

// step runs one step of the controller after the elapsed time, and applies its proposals if commit is set.
func (r *rig) step(elapsed time.Duration, commit bool) (kinds []string) {
	r.Helper()
	r.input.Now += elapsed
	r.input.AgreedTime += elapsed
	for _, p := range r.controller.Step(r.input) {
		kinds = append(kinds, p.Kind)
		if commit {
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
	r.expectKinds(r.step(RetryInterval/2, true)) // not repeated yet: the first proposal may still be applied
	r.expectKinds(r.step(RetryInterval, true), "limits")
	r.expectKinds(r.step(RetryInterval, true), "plan")
	for _, name := range []string{"c0", "c1", "c2"} {
		if p := r.input.Sessions.Pool(); p.Held(name, "r0") != 10 || p.Held(name, "r1") != 10 {
			t.Errorf("%s holds %d and %d slots, wanted 10 of 30 at each replica", name, p.Held(name, "r0"), p.Held(name, "r1"))
		}
	}
	r.expectKinds(r.step(RetryInterval, true))
	r.setReplicas("r0", "r1", "r2") // a new replica changes the limits and gets shares
	r.expectKinds(r.step(RetryInterval, true), "limits")
	r.expectKinds(r.step(RetryInterval, true), "plan")
	r.input.WantedLimits.Revision = 2 // an older revision of the file at the next leader
	r.input.SlotsPerReplica = 5
	r.expectKinds(r.step(RetryInterval, true))
	r.input.WantedLimits.Revision, r.input.WantedLimits.InFlight = 4, 9
	r.expectKinds(r.step(RetryInterval, true), "limits")
	if l, _ := r.input.Sessions.Limits(); l.InFlight != 9 || l.Caps["r2"] != 5 {
		t.Errorf("%+v", l)
	}
}

// A co-ordinator that has sessions or slots and is silent for as long as its lease can last is released once. While the release may
// be in flight it gets no lease. The next leader starts without pending releases.
func TestSilentCoordinatorIsReleasedOnce(t *testing.T) {
	r := newRig(t)
	for range 3 {
		r.step(RetryInterval, true)
	}
	claim := session.ActsBody{From: "c1", Acts: []session.Act{{Kind: session.Claim, ID: session.IDOf(0, []byte("k"))}}}
	if err := r.apply("sessions", session.KindActs, claim); err != nil {
		t.Fatal(err)
	}
	minSilence := r.input.WantedLimits.SilentFor()
	r.silent["c1"] = minSilence - 1
	r.expectKinds(r.step(minSilence, false))
	r.silent["c1"] = minSilence
	r.expectKinds(r.step(RetryInterval, false), "release")
	if !r.controller.Releasing("c1") || r.controller.Releasing("c0") {
		t.Error("wrong co-ordinator is being released: c1 should be, c0 should not")
	}
	number := r.controller.lastNumber
	// It is heard of again while the raft group has no majority: the release may still be applied, however late.
	r.silent["c1"] = 0
	r.expectKinds(r.step(time.Minute, false))
	r.input.Results = []Result{{Number: number}} // unknown whether it entered the log
	r.expectKinds(r.step(RetryInterval, false), "tick")
	r.input.Results = nil
	if !r.controller.Releasing("c1") {
		t.Error("c1 may get a lease while its release may still be applied")
	}
	r.input.Results = []Result{{Number: r.controller.lastNumber, OutcomeKnown: true}} // the tick entered the log after the release
	r.expectKinds(r.step(RetryInterval, false))
	if r.input.Results = nil; r.controller.Releasing("c1") {
		t.Error("c1 gets no lease although the outcome of its release is known")
	}
	r.silent["c1"] = minSilence
	r.expectKinds(r.step(RetryInterval, false), "release")
	r.controller.Reset()
	if r.controller.Releasing("c1") {
		t.Error("release of an earlier term is still pending after Reset")
	}
	r.expectKinds(r.step(RetryInterval, true), "release")
	r.input.Results = []Result{{Number: r.controller.lastNumber, OutcomeKnown: true}}
	if r.input.Sessions.Owned("c1") != 0 || r.input.Sessions.Pool().Held("c1", "r0") != 0 {
		t.Error("sessions or slots of c1 were not released")
	}
	r.expectKinds(r.step(RetryInterval, true)) // up by the inventory but still silent: it gets no share
	r.silent["c1"] = 0
	if r.step(RetryInterval, true); r.input.Sessions.Pool().Held("c1", "r0") != 10 {
		t.Errorf("c1 holds %d slots after it is heard of again, wanted 10", r.input.Sessions.Pool().Held("c1", "r0"))
	}
}

// A co-ordinator that joins after all slots are given out gets slots of those that have more than their even share, once these have
// confirmed that they no longer use them. When all are near their share, nothing moves.
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
		t.Errorf("c0, c1 and c2 hold %d, %d and %d slots of 30", c0, c1, c2)
	}
	r.expectKinds(r.step(RetryInterval, true))
	r.expectKinds(r.step(RetryInterval, true))
}

// The fleet's limits have a lease duration of their own, by the newest file of any co-ordinator, while this leader's file, and with it
// the sessions' limits, may be older. No release may be proposed while a lease by either duration may be valid.
func TestReleaseWaitsForLongestLease(t *testing.T) {
	r := newRig(t)
	applyFleetLease := func(revision int, d time.Duration) {
		l := maintenance.Limits{Cells: 2, Reach: 1, Shards: 1, MinHolders: 1, MaxOut: 1, MaxOutPerZone: 1, MaxPassedOver: 1, MaxLoadAge: 1, MaxInventoryAge: 1, Lease: d}
		if err := r.apply("takeout", "limits", maintenance.LimitsBody{Revision: revision, Limits: l}); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		r.step(RetryInterval, true)
	}
	applyFleetLease(3, r.input.WantedLimits.Lease)
	r.step(RetryInterval, true)
	applyFleetLease(4, time.Minute)
	r.silent["c1"] = r.input.WantedLimits.SilentFor()
	r.expectKinds(r.step(RetryInterval, true)) // its lease may be valid for a minute
	applyFleetLease(5, time.Second)
	r.silent["c1"] = time.Minute
	r.expectKinds(r.step(RetryInterval, true)) // c1 may not know the shorter lease yet
	r.silent["c1"] = time.Minute + 2*time.Second
	r.expectKinds(r.step(RetryInterval, false), "release")
	r.controller.Reset()
	r.silent["c1"] = r.input.WantedLimits.SilentFor()
	r.expectKinds(r.step(time.Minute-3*RetryInterval, false))
	r.expectKinds(r.step(2*RetryInterval, false), "release")

	r.controller = New() // a new leader that saw the longer lease while another one led
	r.controller.ObserveLease(r.input.Now, time.Minute)
	r.expectKinds(r.step(RetryInterval, false))
	r.controller = New()
	r.expectKinds(r.step(RetryInterval, false), "release")
}

// A step in a large fleet with slots in transfer must be short: it holds the lock of the agreed state, for which polls, messages and
// the owner wait. The fastest of several steps counts, so that load on the test machine doesn't matter.
func TestSlotShiftTimeInLargeFleet(t *testing.T) {
	var coordinators, replicas []string
	for i := range 100 {
		coordinators, replicas = append(coordinators, fmt.Sprintf("c%02d", i)), append(replicas, fmt.Sprintf("r%02d", i))
	}
	r := newRig(t, coordinators...)
	r.setInventory(coordinators, replicas...)
	r.input.SlotsPerReplica = 1000
	for len(r.step(RetryInterval, true)) > 0 {
	}
	joined := append(coordinators, "d0", "d1", "d2", "d3", "d4")
	r.setInventory(joined, replicas...)
	best := time.Hour
	for i := range 8 {
		start := time.Now()
		r.input.Now += RetryInterval
		out := r.controller.Step(r.input)
		if duration := time.Since(start); i >= 4 {
			best = min(best, duration)
		}
		for _, p := range out {
			if err := r.apply("sessions", p.Kind, p.Body); err != nil {
				t.Fatal(err)
			}
		}
	}
	p := r.input.Sessions.Pool()
	incoming := map[string]int{}
	for _, x := range p.Transfers() {
		incoming[x.To] += x.Slots
		if share := 1000 / len(joined); x.Slots > share || p.Held(x.From, x.Replica) < share {
			t.Fatalf("%+v leaves the source %d slots, less than its share of %d, or moves more than a share", x, p.Held(x.From, x.Replica), share)
		}
	}
	if len(incoming) != 5 {
		t.Errorf("transfers to %v, wanted 5 co-ordinators", incoming)
	}
	if best > 250*time.Millisecond {
		t.Errorf("a step took %v, at most 250 ms allowed", best)
	}
	t.Logf("a step took %v", best)
}
