package waveplan

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"birchcart/internal/fleet/takeout"
)

const sec = time.Second

// site is an agreed state with its machines, and tools that act at once on what is told.
type site struct {
	t        *testing.T
	s        *takeout.State
	now      time.Duration
	fence    uint64
	machines []takeout.Machine
	back     []time.Duration // by machine: when it comes back, 0 while it is not away
	load     float64
}

func (s *site) apply(kind string, body any) {
	s.t.Helper()
	raw, _ := json.Marshal(body)
	if err := s.s.Apply(s.now, func() uint64 { s.fence++; return s.fence }, kind, raw); err != nil {
		s.t.Fatalf("%v %s: %v", s.now, kind, err)
	}
	if err := s.s.Check(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) observe() {
	s.apply("observe", takeout.ObserveBody{Whole: true, Machines: s.machines, Load: s.load, LoadKnown: true})
}

func newSite(t *testing.T, replicas, coordinators int, l takeout.Limits, requests ...takeout.Request) *site {
	s := &site{t: t, s: takeout.New(), now: 1000 * sec, load: 0.4 * float64(replicas)}
	s.back = make([]time.Duration, replicas+coordinators)
	for i := range replicas {
		s.machines = append(s.machines, takeout.Machine{Name: fmt.Sprintf("r%03d", i), Kind: takeout.Replica, Zone: fmt.Sprint("z", i%4),
			Cell: i % l.Cells, Status: takeout.Up})
	}
	for i := range coordinators {
		s.machines = append(s.machines, takeout.Machine{Name: fmt.Sprintf("c%03d", i), Kind: takeout.Coordinator, Zone: fmt.Sprint("z", i%4),
			Status: takeout.Up, Voter: i < 5})
	}
	s.apply("limits", takeout.LimitsBody{Revision: 1, Limits: l})
	s.observe()
	s.apply("asks", takeout.AsksBody{Revision: 1, Requests: requests})
	s.observe()
	return s
}

func limits(cells int) takeout.Limits {
	return takeout.Limits{Cells: cells, Reach: 3, Shards: cells, HoldersLeast: 2, OutByZone: cells, OutMost: 2 * cells,
		Headroom: 0.25, LoadAge: 30 * sec, ListAge: 30 * sec, WarmUp: 40 * sec, Lease: 5 * sec, Grace: 2 * sec,
		Settle: 10 * sec, Calm: 60 * sec, PassedMost: 8, VotersLeast: 3}
}

// swap lets all go, as Order says and MayGo allows, each away for about a minute, and tells how long it took.
func (s *site) swap(jitter float64) (took time.Duration, most int) {
	rng, began, busy := rand.New(rand.NewPCG(1, 1)), s.now, 0
	for changed := true; s.now < began+3*time.Hour; s.now += sec {
		for i := range s.machines {
			m := &s.machines[i]
			it, live := s.s.Item(m.Name)
			switch {
			case live && it.Phase == takeout.Told && m.Status == takeout.Up:
				m.Status, changed = takeout.Gone, true
				s.back[i] = s.now + time.Duration((1+jitter*(2*rng.Float64()-1))*float64(60*sec))
			case m.Status == takeout.Gone && s.now >= s.back[i]:
				m.Status, m.Started, changed = takeout.Up, s.now, true
			case live && it.Phase == takeout.Back && s.now >= m.Started+40*sec:
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
		order := Order(s.s, s.now)
		if again := Order(s.s, s.now); !reflect.DeepEqual(order, again) {
			s.t.Fatal("two orders of one state")
		}
		for _, it := range order {
			if _, err := s.s.MayGo(s.now, it.Machine); err != nil {
				continue
			}
			s.apply("grant", takeout.GrantBody{Request: it.Request, Machine: it.Machine, Until: s.now + 10*time.Minute})
			var said []string
			for _, m := range s.machines {
				if m.Kind == takeout.Coordinator {
					said = append(said, m.Name)
				}
			}
			s.apply("told", takeout.ToldBody{Machine: it.Machine, Fence: s.fence, Said: said})
		}
		open := s.s.Open()
		if busy = 0; len(open) == 0 {
			return s.now - began, most
		}
		for _, it := range open {
			if it.Phase != takeout.Asked {
				busy++
			}
		}
		most = max(most, busy)
	}
	return s.now - began, most
}

// A swap of 200 replicas, one of each after the other as places come free, against what no order goes below: the bound's
// number of times that one is away and cold.
func TestSwapTakesLittleMoreThanTheBound(t *testing.T) {
	for _, jitter := range []float64{0, 0.1} {
		all := takeout.Request{ID: "swap", Kind: takeout.Replica, Reason: "new hardware", For: 10 * time.Minute}
		s := newSite(t, 200, 7, limits(200), all)
		plan := Plan(FromState(s.s, s.now))
		took, most := s.swap(jitter)
		done := 0
		for _, it := range s.s.Items() {
			if it.Phase == takeout.Done {
				done++
			}
		}
		floor := time.Duration(plan.Bound) * (60 + 40) * sec
		t.Logf("times that differ by %v: %v; took %v, %.2f times %v, %d away at once",
			jitter, plan, took, float64(took)/float64(floor), floor, most)
		if done != 200 || float64(took) > 1.2*float64(floor) {
			t.Errorf("%d done", done)
		}
	}
}

func TestOrderFollowsTheState(t *testing.T) {
	l := limits(12)
	l.OutMost = 3
	work := takeout.Request{ID: "work", Kind: takeout.Replica, Reason: "work", For: time.Minute}
	soon := takeout.Request{ID: "soon", Names: []string{"r004", "r005"}, Reason: "disk", For: time.Minute, Priority: takeout.Urgent}
	later := takeout.Request{ID: "later", Names: []string{"c003"}, Reason: "later", For: time.Minute, Earliest: 2000 * sec}
	s := newSite(t, 12, 5, l, work, soon, later)
	order := Order(s.s, s.now)
	if len(order) != 12 || order[0].Machine != "r004" || order[0].Request != "soon" {
		t.Fatalf("%+v", order)
	}
	s.apply("grant", takeout.GrantBody{Request: "soon", Machine: "r004", Until: s.now + time.Minute})
	p := FromState(s.s, s.now)
	if plan := Plan(p); len(plan.Waves[0]) != 2 || legal(p, true, plan.Waves[0]) != "" {
		t.Errorf("beside one that is out already: %v", plan.Waves)
	}
	for _, it := range Order(s.s, s.now) {
		if it.Machine == "r004" || it.Machine == "c003" {
			t.Errorf("%s is in the order", it.Machine)
		}
	}
	s.machines[0].Started = s.now - sec // it broke, and is cold
	s.observe()
	if s.now += 70 * sec; Order(s.s, s.now) != nil {
		t.Error("an order from an old inventory")
	}
	s.observe()
	if len(Order(s.s, s.now)) == 0 {
		t.Error("nothing goes after the calm")
	}
	s.apply("asks", takeout.AsksBody{Revision: 2, Paused: true, Requests: []takeout.Request{work}})
	if Order(s.s, s.now) != nil {
		t.Error("an order while paused")
	}
}
