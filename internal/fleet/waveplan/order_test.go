package waveplan

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
)

const sec = time.Second

// site is an agreed state with its machines, and tools that act at once on an acknowledged grant.
type site struct {
	t        *testing.T
	state    *maintenance.State
	now      time.Duration
	fence    uint64
	machines []maintenance.Machine
	returnAt []time.Duration // by machine: when it returns, 0 while it is not away
	load     float64
}

func (s *site) apply(kind string, body any) {
	s.t.Helper()
	raw, _ := json.Marshal(body)
	if err := s.state.Apply(s.now, func() uint64 { s.fence++; return s.fence }, kind, raw); err != nil {
		s.t.Fatalf("%v %s: %v", s.now, kind, err)
	}
	if err := s.state.Check(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) observe() {
	s.apply("observe", maintenance.ObserveBody{Complete: true, Machines: s.machines, Load: s.load, LoadKnown: true})
}

func newSite(t *testing.T, replicas, coordinators int, l maintenance.Limits, requests ...maintenance.Request) *site {
	s := &site{t: t, state: maintenance.New(), now: 1000 * sec, load: 0.4 * float64(replicas)}
	s.returnAt = make([]time.Duration, replicas+coordinators)
	for i := range replicas {
		s.machines = append(s.machines, maintenance.Machine{Name: fmt.Sprintf("r%03d", i), Kind: maintenance.Replica, Zone: fmt.Sprint("z", i%4),
			Cell: i % l.Cells, Status: maintenance.Up})
	}
	for i := range coordinators {
		s.machines = append(s.machines, maintenance.Machine{Name: fmt.Sprintf("c%03d", i), Kind: maintenance.Coordinator, Zone: fmt.Sprint("z", i%4),
			Status: maintenance.Up, Voter: i < 5})
	}
	s.apply("limits", maintenance.LimitsBody{Revision: 1, Limits: l})
	s.observe()
	s.apply("asks", maintenance.RequestsBody{Revision: 1, Requests: requests})
	s.observe()
	return s
}

func limits(cells int) maintenance.Limits {
	return maintenance.Limits{Cells: cells, Reach: 3, Shards: cells, MinHolders: 2, MaxOutPerZone: cells, MaxOut: 2 * cells,
		Headroom: 0.25, MaxLoadAge: 30 * sec, MaxInventoryAge: 30 * sec, WarmUp: 40 * sec, Lease: 5 * sec, Grace: 2 * sec,
		SettleTime: 10 * sec, FailurePause: 60 * sec, MaxPassedOver: 8, MinVoters: 3}
}

// runSwap takes all machines out in the order that Order gives and MayGrant allows, each for about a minute, and returns how long
// that took and how many were away at most.
func (s *site) runSwap(jitter float64) (took time.Duration, maxAway int) {
	rng, began, busy := rand.New(rand.NewPCG(1, 1)), s.now, 0
	for changed := true; s.now < began+3*time.Hour; s.now += sec {
		for i := range s.machines {
			m := &s.machines[i]
			it, live := s.state.ActiveItem(m.Name)
			switch {
			case live && it.Phase == maintenance.Acknowledged && m.Status == maintenance.Up:
				m.Status, changed = maintenance.Gone, true
				s.returnAt[i] = s.now + time.Duration((1+jitter*(2*rng.Float64()-1))*float64(60*sec))
			case m.Status == maintenance.Gone && s.now >= s.returnAt[i]:
				m.Status, m.Started, changed = maintenance.Up, s.now, true
			case live && it.Phase == maintenance.Returned && s.now >= m.Started+40*sec:
				changed = true
			}
		}
		if changed || s.now%(10*sec) == 0 {
			s.observe()
		}
		if !changed {
			continue
		}
		changed = false
		order := Order(s.state, s.now)
		if again := Order(s.state, s.now); !reflect.DeepEqual(order, again) {
			s.t.Fatal("the same state gave two orders")
		}
		for _, it := range order {
			if _, err := s.state.MayGrant(s.now, it.Machine); err != nil {
				continue
			}
			s.apply("grant", maintenance.GrantBody{Request: it.Request, Machine: it.Machine, Until: s.now + 10*time.Minute})
			var acknowledged []string
			for _, m := range s.machines {
				if m.Kind == maintenance.Coordinator {
					acknowledged = append(acknowledged, m.Name)
				}
			}
			s.apply("told", maintenance.AcknowledgeBody{Machine: it.Machine, Fence: s.fence, Acknowledged: acknowledged})
		}
		open := s.state.Open()
		if busy = 0; len(open) == 0 {
			return s.now - began, maxAway
		}
		for _, it := range open {
			if it.Phase != maintenance.Pending {
				busy++
			}
		}
		maxAway = max(maxAway, busy)
	}
	return s.now - began, maxAway
}

// A swap of 200 replicas that fills places as they become free takes little longer than the bound allows: the bound times the
// period in which a machine is away and cold.
func TestSwapDurationIsNearBound(t *testing.T) {
	for _, jitter := range []float64{0, 0.1} {
		all := maintenance.Request{ID: "swap", Kind: maintenance.Replica, Reason: "new hardware", MaxOutage: 10 * time.Minute}
		s := newSite(t, 200, 7, limits(200), all)
		plan := Plan(FromState(s.state, s.now))
		took, maxAway := s.runSwap(jitter)
		done := 0
		for _, it := range s.state.Items() {
			if it.Phase == maintenance.Done {
				done++
			}
		}
		bound := time.Duration(plan.Bound) * (60 + 40) * sec
		t.Logf("outages that vary by %v: %v; took %v, %.2f times %v, %d away at once",
			jitter, plan, took, float64(took)/float64(bound), bound, maxAway)
		if done != 200 || float64(took) > 1.2*float64(bound) {
			t.Errorf("%d done", done)
		}
	}
}

func TestOrderFollowsState(t *testing.T) {
	l := limits(12)
	l.MaxOut = 3
	work := maintenance.Request{ID: "work", Kind: maintenance.Replica, Reason: "work", MaxOutage: time.Minute}
	soon := maintenance.Request{ID: "soon", Names: []string{"r004", "r005"}, Reason: "disk", MaxOutage: time.Minute, Priority: maintenance.Urgent}
	later := maintenance.Request{ID: "later", Names: []string{"c003"}, Reason: "later", MaxOutage: time.Minute, Earliest: 2000 * sec}
	s := newSite(t, 12, 5, l, work, soon, later)
	order := Order(s.state, s.now)
	if len(order) != 12 || order[0].Machine != "r004" || order[0].Request != "soon" {
		t.Fatalf("%+v", order)
	}
	s.apply("grant", maintenance.GrantBody{Request: "soon", Machine: "r004", Until: s.now + time.Minute})
	p := FromState(s.state, s.now)
	if plan := Plan(p); len(plan.Waves[0]) != 2 || violation(p, true, plan.Waves[0]) != "" {
		t.Errorf("plan with one machine out already: %v", plan.Waves)
	}
	for _, it := range Order(s.state, s.now) {
		if it.Machine == "r004" || it.Machine == "c003" {
			t.Errorf("%s is in the order", it.Machine)
		}
	}
	s.machines[0].Started = s.now - sec // it has restarted and is cold
	s.observe()
	if s.now += 70 * sec; Order(s.state, s.now) != nil {
		t.Error("an order was given for an old inventory")
	}
	s.observe()
	if len(Order(s.state, s.now)) == 0 {
		t.Error("nothing is granted after the pause")
	}
	s.apply("asks", maintenance.RequestsBody{Revision: 2, Paused: true, Requests: []maintenance.Request{work}})
	if Order(s.state, s.now) != nil {
		t.Error("an order was given while paused")
	}
}
