package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/maintenance"
)

// Schedule is all of a world: what its fleet is, what is asked for, and what breaks. Printed whole, it plays the same
// history again.
type Schedule struct {
	Seed         uint64             `json:"seed"`
	Coordinators int                `json:"coordinators"`
	Voters       int                `json:"voters"`
	Zones        int                `json:"zones"`
	Replicas     int                `json:"replicas"`
	Limits       maintenance.Limits `json:"limits"`
	Load         float64            `json:"load"` // in mean replicas kept busy
	Link         clockwork.Quality  `json:"link"`
	Drift        float64            `json:"drift"`  // most, by which a clock runs fast or slow: 0.01
	Offset       time.Duration      `json:"offset"` // most, by which a clock stands ahead or behind
	Odd          float64            `json:"odd"`    // share of goes that don't go as asked
	Asks         []Ask              `json:"asks"`
	Steps        []clockwork.Step   `json:"steps"`
	Brief        bool               `json:"brief,omitempty"` // ends once nothing is under way, and in any case at End
	End          time.Duration      `json:"end"`             // at the latest
}

// Ask is an operators' file as it is read at some co-ordinators.
type Ask struct {
	At     time.Duration            `json:"at"`
	By     []int                    `json:"by"` // which co-ordinators read it
	Limits maintenance.LimitsBody   `json:"limits"`
	Asks   maintenance.RequestsBody `json:"asks"`
}

// Kinds of steps. A and B are co-ordinators, or a machine's or zone's number.
const (
	stepStall   = "stall"    // A's process is stopped, and wakes
	stepCrash   = "crash"    // A's process ends; its disk is kept
	stepLose    = "lose"     // the same, and the disk is lost
	stepCut     = "cut"      // A to B, one way
	stepAlone   = "alone"    // A from all others, both ways
	stepDeaf    = "deaf"     // all others to A, one way
	stepMute    = "mute"     // A to all others, one way
	stepHalves  = "halves"   // co-ordinators below A from the rest
	stepLate    = "late"     // discovery's news to A
	stepLeader  = "leader"   // whoever leads: crash
	stepFreeze  = "freeze"   // whoever leads: stall
	stepDepose  = "depose"   // whoever leads: mute
	stepSeven   = "seven"    // seven in ten co-ordinators restart at once
	stepMachine = "machine"  // machine A fails and rises
	stepZone    = "zone"     // all machines of zone A fail and rise
	stepFlap    = "flap"     // machine A fails and rises over and over
	stepNoVotes = "no-votes" // a majority of the voters ends
	stepFull    = "full"     // A's disk takes nothing
	stepClock   = "clock"    // the wall's clock of voter A leaps by B seconds, and back; of one voter at a time
)

var stepKinds = []string{stepStall, stepStall, stepCrash, stepCrash, stepLose, stepCut, stepCut, stepAlone, stepDeaf, stepMute,
	stepHalves, stepLate, stepLeader, stepLeader, stepFreeze, stepDepose, stepDepose, stepSeven, stepMachine, stepMachine, stepZone,
	stepFlap, stepNoVotes, stepClock}

// Healed is when the last fault is over.
func (s *Schedule) Healed() time.Duration {
	last := clockwork.Healed(s.Steps)
	for _, a := range s.Asks {
		last = max(last, a.At)
	}
	return last
}

// String is the schedule as JSON, in one line.
func (s *Schedule) String() string { return clockwork.Print(s) }

func (s *Schedule) workTime(request string) time.Duration {
	for _, a := range s.Asks {
		for _, r := range a.Asks.Requests {
			if r.ID == request {
				return r.MaxOutage
			}
		}
	}
	return time.Minute
}

func (s *Schedule) urgent(request string) bool {
	for _, a := range s.Asks {
		for _, r := range a.Asks.Requests {
			if r.ID == request {
				return r.Priority > 0
			}
		}
	}
	return false
}

// Draw makes the schedule of a seed for a fleet of so many co-ordinators.
func Draw(seed uint64, coordinators int) *Schedule {
	rng := clockwork.Rand(seed, "schedule")
	s := &Schedule{Seed: seed, Coordinators: coordinators, Voters: 3, Zones: 2 + rng.IntN(3), Drift: 0.01,
		Offset: time.Duration(rng.IntN(3)) * time.Second, Odd: 0.2 * rng.Float64()}
	if coordinators >= 7 && rng.IntN(3) == 0 {
		s.Voters = 5
	}
	s.Limits = maintenance.Limits{Cells: 4 + rng.IntN(5), Reach: 2 + rng.IntN(2), MinHolders: 1 + rng.IntN(2), MaxOutPerZone: 1 + rng.IntN(3),
		MaxOut: 1 + rng.IntN(6), Headroom: 0.25, MaxLoadAge: 15 * time.Second, MaxInventoryAge: 10 * time.Second,
		WarmUp: time.Duration(2+rng.IntN(10)) * time.Second, Lease: 5 * time.Second, Grace: 2 * time.Second, SettleTime: 10 * time.Second,
		FailurePause: time.Duration(5+rng.IntN(20)) * time.Second, MaxPassedOver: 2 + rng.IntN(5), MinVoters: s.Voters/2 + 1}
	s.Limits.Shards = s.Limits.Cells
	s.Replicas = s.Limits.Cells * (1 + rng.IntN(2))
	if s.Limits.Reach == 2 && s.Replicas == s.Limits.Cells {
		s.Limits.MinHolders = 1
	}
	s.Load = float64(s.Replicas) * 0.5 * rng.Float64()
	s.Link = clockwork.Quality{Lost: 0.1 * rng.Float64() * rng.Float64(), Twice: 0.1 * rng.Float64(), Late: 0.1 * rng.Float64(),
		LateBy: time.Duration(1+rng.IntN(3000)) * time.Millisecond, Latency: time.Duration(1+rng.IntN(8)) * time.Millisecond}
	long := rng.IntN(LongEvery) == 0
	s.drawAsks(rng, long)
	for range 1 + rng.IntN(7) {
		s.Steps = append(s.Steps, s.drawStep(rng, long))
	}
	if disk := clockwork.Rand(seed, "disk"); disk.IntN(fullEvery) == 0 { // drawn apart, so that the others stay as they were
		full := s.drawStep(disk, long)
		full.Kind, full.A, full.B = stepFull, disk.IntN(s.Coordinators), 0
		s.Steps = append(s.Steps, full)
		if disk.IntN(2) == 0 { // and its process ends meanwhile
			at := full.At + time.Duration(disk.Int64N(int64(full.For)))
			s.Steps = append(s.Steps, clockwork.Step{At: at, For: time.Duration(100+disk.IntN(900)) * time.Millisecond, Kind: stepCrash, A: full.A})
		}
	}
	s.End = s.Healed() + time.Hour
	if !long {
		s.Brief, s.End = true, ShortMost
	}
	return s
}

// One history in LongEvery has up to three requests, faults for up to 80 s, and goes on until nothing waits that could
// go, for up to an hour, so that what is never granted is found. The others have one or two requests and faults for up
// to 40 s, and end soon after the last of both, or at ShortMost: what takes longer, as a grant that lapses by its time
// or a pause that was doubled, is left to the long ones.
// In one of fullEvery a disk is full for a while.
const (
	LongEvery = 64
	fullEvery = 8
	ShortMost = 100 * time.Second
)

// revise is a file that is read at some co-ordinators.
func (s *Schedule) revise(rng *rand.Rand, at time.Duration, revision int, requests []maintenance.Request) {
	by := []int{rng.IntN(s.Coordinators)}
	for range rng.IntN(4) {
		by = append(by, rng.IntN(s.Coordinators))
	}
	s.Asks = append(s.Asks, Ask{At: at, By: by, Limits: maintenance.LimitsBody{Revision: 1, Limits: s.Limits},
		Asks: maintenance.RequestsBody{Revision: revision, Requests: requests}})
}

func (s *Schedule) drawAsks(rng *rand.Rand, long bool) {
	var requests []maintenance.Request
	count, work, later := 3, 20, 40
	if !long {
		count, work, later = 2, 8, 20
	}
	for i := range 1 + rng.IntN(count) {
		r := maintenance.Request{ID: fmt.Sprintf("q%d", i), Reason: "work", MaxOutage: time.Duration(10+rng.IntN(work)) * time.Second}
		switch rng.IntN(10) {
		case 0:
			r.Kind = maintenance.Replica
		case 1, 2:
			r.Kind, r.Zone = maintenance.Replica, zone(rng.IntN(s.Zones), s.Zones)
		case 3, 4:
			r.Names = []string{fmt.Sprintf("c%03d", rng.IntN(min(s.Coordinators, 8))), fmt.Sprintf("c%03d", rng.IntN(min(s.Coordinators, 8)))}
		default:
			for range 2 + rng.IntN(4) {
				r.Names = append(r.Names, fmt.Sprintf("r%03d", rng.IntN(s.Replicas)))
			}
		}
		if rng.IntN(4) == 0 {
			r.Priority = maintenance.Urgent
		}
		requests = append(requests, r)
	}
	first := time.Duration(2+rng.IntN(5)) * time.Second
	s.revise(rng, first, 1, requests)
	if rng.IntN(4) == 0 { // the file changes: one is no longer asked for
		s.revise(rng, first+time.Duration(5+rng.IntN(later))*time.Second, 2, requests[1:])
	}
}

func (s *Schedule) drawStep(rng *rand.Rand, long bool) clockwork.Step {
	within, most := 60_000, 20_000
	if !long {
		within, most = 30_000, 12_000
	}
	step := clockwork.Step{At: time.Duration(1+rng.IntN(within)) * time.Millisecond, For: time.Duration(100+rng.IntN(most)) * time.Millisecond,
		Kind: stepKinds[rng.IntN(len(stepKinds))], A: rng.IntN(s.Coordinators)}
	if rng.IntN(2) == 0 { // at the voters, where it matters most
		step.A = rng.IntN(s.Voters)
	}
	switch step.Kind {
	case stepCut:
		step.B = rng.IntN(s.Coordinators)
	case stepClock: // by more than a leader's guard lets pass, up to an hour
		step.A, step.B = rng.IntN(s.Voters), 10+rng.IntN(3591)
		if rng.IntN(3) == 0 {
			step.B = -step.B
		}
	case stepMachine, stepFlap:
		step.A = rng.IntN(s.Replicas)
	case stepZone:
		step.A = rng.IntN(s.Zones)
	}
	return step
}
