package fleetsim

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/waveplan"
)

// Swap is a quiet world in which the replicas of a zone, or all of them, are swapped: 200 on a ring of 50 cells in four
// zones, each shard held by 12, of which 8 stay; the load takes 120 of the 200, and a quarter more stays free.
func Swap(seed uint64, coordinators int, zone string, outMost int) *Schedule {
	s := &Schedule{Seed: seed, Coordinators: coordinators, Voters: 3, Zones: 4, Replicas: 200, Load: 120, Drift: 0.01,
		Link: clockwork.Quality{Lost: 0.001, Twice: 0.001, Late: 0.001, LateBy: time.Second, Latency: 2 * time.Millisecond}}
	if coordinators >= 50 {
		s.Voters = 5
	}
	s.Limits = maintenance.Limits{Cells: 50, Reach: 3, Shards: 50, MinHolders: 8, MaxOutPerZone: 20, MaxOut: outMost, Headroom: 0.25,
		MaxLoadAge: 15 * time.Second, MaxInventoryAge: 10 * time.Second, WarmUp: 30 * time.Second, Lease: 5 * time.Second, Grace: 2 * time.Second,
		SettleTime: 30 * time.Second, FailurePause: 30 * time.Second, MaxPassedOver: 5, MinVoters: s.Voters/2 + 1}
	s.Asks = []Ask{{At: 5 * time.Second, By: []int{0, coordinators / 2}, Limits: maintenance.LimitsBody{Revision: 1, Limits: s.Limits},
		Asks: maintenance.RequestsBody{Revision: 1, Requests: []maintenance.Request{{ID: "swap", Kind: maintenance.Replica, Zone: zone, Reason: "hardware",
			MaxOutage: 3 * time.Minute}}}}}
	s.End = 24 * time.Hour
	return s
}

// LoseZone takes a whole zone away for a minute, half way through a swap of all: its replicas and its co-ordinators.
func LoseZone(s *Schedule, zone int) {
	s.Steps = append(s.Steps, clockwork.Step{At: 5*time.Minute + 30*time.Second, For: time.Minute, Kind: stepZone, A: zone})
}

// Planned is the planner's own view of a swap, at the moment at which it was asked for and all are up.
func Planned(s *Schedule) (waveplan.Result, error) {
	w := New(s)
	w.populate()
	for w.Now < time.Minute && len(w.top.out.Open()) == 0 {
		w.Play(w.Now+10*time.Millisecond, func() bool { return w.err != nil })
	}
	if w.err != nil {
		return waveplan.Result{}, w.err
	}
	if len(w.top.out.Open()) == 0 {
		return waveplan.Result{}, fmt.Errorf("nothing was asked for in a minute")
	}
	return waveplan.Plan(waveplan.FromState(w.top.out, w.top.led.Now())), nil
}
