package pinned

import (
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/session"
)

// Schedule is all of a world: what its fleet is, what its clients send, and what breaks. Printed whole, it plays the same
// history again.
type Schedule struct {
	Seed         uint64            `json:"seed"`
	Coordinators int               `json:"coordinators"`
	Voters       int               `json:"voters"`
	Sessions     int               `json:"sessions"`
	Replicas     int               `json:"replicas"`
	Limits       session.Limits    `json:"limits"`
	Link         clockwork.Quality `json:"link"`
	Drift        float64           `json:"drift"` // most, by which a clock runs fast or slow: 0.01
	Every        time.Duration     `json:"every"` // mean between two queries of a session
	Service      time.Duration     `json:"service"`
	Tick         time.Duration     `json:"tick"`  // between two Steps of a keeper without news
	Rough        float64           `json:"rough"` // share of parts that go wrong, of clients that leave early or change the co-ordinator
	Keep         int               `json:"keep"`  // entries that a leader keeps behind its copy; who is further behind gets a snapshot
	Steps        []clockwork.Step  `json:"steps"`
	End          time.Duration     `json:"end"`
	Shared       bool              `json:"shared,omitempty"` // copies read one state with a memory of what it was
	Away         time.Duration     `json:"away"`             // how long a machine of a swap is out
	Abreast      int               `json:"abreast"`          // machines of a swap that go together
	Repeat       bool              `json:"repeat,omitempty"` // clients ask unsafe queries that were served once more: not where owners are lost
	Begin        time.Duration     `json:"begin,omitempty"`  // after which clients come: by then the slots of a large fleet are dealt
	Within       time.Duration     `json:"within"`           // how long each has to get rid of its sessions; else the swap stops
}

// Kinds of steps. A and B are co-ordinators, or a replica's number.
const (
	stepStall   = "stall"    // A's process is stopped, and wakes
	stepCrash   = "crash"    // A's process ends, and begins anew
	stepCut     = "cut"      // A to B, one way
	stepAlone   = "alone"    // A from all others, both ways
	stepDeaf    = "deaf"     // all others to A
	stepMute    = "mute"     // A to all others
	stepLeader  = "leader"   // whoever leads: crash
	stepFreeze  = "freeze"   // whoever leads: stall
	stepDepose  = "depose"   // another leads
	stepNoVotes = "no-votes" // a majority of the voters ends
	stepAll     = "all"      // all processes end, and begin from their stores
	stepReplica = "replica"  // replica A dies and comes back
	stepParts   = "parts"    // co-ordinator A from replica B
	stepCaps    = "caps"     // the slots of replica A are another number
	stepShift   = "shift"    // slots go from co-ordinator A to B
	stepMove    = "move"     // sessions of A go to B, by hand
	stepSwap    = "swap"     // all co-ordinators go in turn
)

var stepKinds = []string{stepStall, stepStall, stepStall, stepCrash, stepCrash, stepCut, stepAlone, stepDeaf, stepMute, stepLeader, stepFreeze,
	stepDepose, stepDepose, stepNoVotes, stepAll, stepReplica, stepParts, stepCaps, stepShift, stepShift, stepMove, stepMove, stepMove, stepSwap}

// Healed is when the last fault is over.
func (s *Schedule) Healed() time.Duration { return clockwork.Healed(s.Steps) }

// String is the schedule as JSON, in one line.
func (s *Schedule) String() string { return clockwork.Print(s) }

// QuietFor is how long a drawn world goes on after its last fault: longer than a silence, an offer and a query in a row.
const QuietFor = 45 * time.Second

// Draw makes the schedule of a seed.
func Draw(seed uint64) *Schedule {
	rng := clockwork.Rand(seed, "schedule")
	s := &Schedule{Seed: seed, Coordinators: 2 + rng.IntN(5), Sessions: 2 + rng.IntN(10), Replicas: 1 + rng.IntN(4), Drift: 0.01,
		Every: clockwork.Between(rng, 400*time.Millisecond, 4*time.Second), Service: clockwork.Between(rng, 5*time.Millisecond, 400*time.Millisecond),
		Tick: 20 * time.Millisecond, Keep: 5 + rng.IntN(300), Away: 3 * time.Second, Abreast: 1,
		Within: 12 * time.Second}
	s.Voters = min(s.Coordinators, 3+2*rng.IntN(2))
	s.Link = clockwork.Quality{Latency: clockwork.Between(rng, time.Millisecond, 20*time.Millisecond)}
	if rng.IntN(4) > 0 {
		s.Link.Lost, s.Link.Twice, s.Link.Late = 0.1*rng.Float64(), 0.1*rng.Float64(), 0.1*rng.Float64()
		s.Link.LateBy = clockwork.Between(rng, 50*time.Millisecond, 8*time.Second)
		s.Rough = 0.1 * rng.Float64()
	}
	s.Limits = session.Limits{Revision: 1, Caps: map[string]int{}, InFlight: 1 + rng.IntN(12), PerMinute: 6 + rng.IntN(300),
		StepTimeout: clockwork.Between(rng, 2*time.Second, 12*time.Second), IdleTimeout: clockwork.Between(rng, 5*time.Second, time.Minute), Lease: clockwork.Between(rng, 3*time.Second, 8*time.Second),
		Grace: GraceLeast + clockwork.Between(rng, 0, 2*time.Second), MaxSessions: s.Sessions - rng.IntN(2), MaxStateBytes: 256, Slots: 1 + rng.IntN(3)}
	for i := range s.Replicas {
		s.Limits.Caps[replicaName(i)] = s.Coordinators + rng.IntN(3*s.Coordinators)
	}
	at := clockwork.Between(rng, 4*time.Second, 8*time.Second)
	for range 1 + rng.IntN(7) {
		step := clockwork.Step{At: at, Kind: stepKinds[rng.IntN(len(stepKinds))], A: rng.IntN(s.Coordinators), B: rng.IntN(s.Coordinators),
			For: clockwork.Between(rng, 100*time.Millisecond, 3*time.Second)}
		if rng.IntN(3) == 0 {
			step.For = clockwork.Between(rng, 3*time.Second, 30*time.Second)
		}
		switch step.Kind {
		case stepReplica, stepCaps:
			step.A = rng.IntN(s.Replicas)
		case stepSwap:
			step.For = time.Duration(s.Coordinators) * (s.Within + s.Away)
		}
		s.Steps = append(s.Steps, step)
		at += clockwork.Between(rng, 0, 12*time.Second)
	}
	s.End = s.Healed() + QuietFor
	return s
}

// Swap is the schedule of a quiet fleet of which all co-ordinators go in turn, so many together.
func Swap(seed uint64, coordinators, sessions, replicas, abreast int, every time.Duration) *Schedule {
	s := &Schedule{Seed: seed, Coordinators: coordinators, Voters: min(5, coordinators), Sessions: sessions, Replicas: replicas, Drift: 0.01,
		Every: every, Service: 50 * time.Millisecond, Tick: 20 * time.Millisecond, Keep: 1000, Away: 5 * time.Second, Abreast: abreast,
		Within: 2 * time.Minute, Shared: true, Link: clockwork.Quality{Latency: 2 * time.Millisecond}}
	s.Limits = session.Limits{Revision: 1, Caps: map[string]int{}, InFlight: 400, PerMinute: 60_000, StepTimeout: 10 * time.Second,
		IdleTimeout: 10 * time.Minute, Lease: 10 * time.Second, Grace: GraceLeast, MaxSessions: sessions + 1000, MaxStateBytes: 256, Slots: 3}
	for i := range replicas {
		s.Limits.Caps[replicaName(i)] = 4 * coordinators
	}
	s.Begin = time.Duration(coordinators*replicas/(session.MaxActs/2)+1) * 2 * spreadEvery
	s.Steps = []clockwork.Step{{At: s.Begin + 2*time.Second + 5*every/2, Kind: stepSwap}}
	s.End = time.Hour
	return s
}

// Trouble lets words of a swap be lost, late and come twice, and stops a co-ordinator every two seconds for less than a lease.
func (s *Schedule) Trouble() {
	rng := clockwork.Rand(s.Seed, "trouble")
	s.Link.Lost, s.Link.Twice, s.Link.Late, s.Link.LateBy = 0.01, 0.01, 0.01, time.Second
	for at := s.Steps[0].At; at < s.End/2; at += 2 * time.Second {
		s.Steps = append(s.Steps, clockwork.Step{At: at, For: clockwork.Between(rng, 100*time.Millisecond, 5*time.Second), Kind: stepStall, A: rng.IntN(s.Coordinators)})
	}
}
