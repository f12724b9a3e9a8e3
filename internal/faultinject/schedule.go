package faultinject

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind of a Step.
type Kind string

// Kinds of steps; the comment of each names the fields that it uses.
const (
	DrainReplica    Kind = "drain"           // Replica; ready again after Span
	RemoveReplica   Kind = "remove"          // Replica; ready again after Span
	HangReplica     Kind = "hang"            // Replica, Span
	CrashReplica    Kind = "crash"           // Replica; started again after Span
	ReplicaTrouble  Kind = "replica trouble" // Share of all parts for Span
	DiscoveryDown   Kind = "discovery down"  // Span
	SilenceWatches  Kind = "silence watches" //
	ResetWatches    Kind = "reset watches"   //
	FailNextWatches Kind = "fail watches"    // Watches
	StopProcess     Kind = "stop process"    // Span
	Hangup          Kind = "hangup"          // Count in a row; the last moves discovery
	KillProcess     Kind = "kill"            // started again at once
	EndProcess      Kind = "end"             // SIGTERM, Count in a row; started again at its end
	Crowd           Kind = "crowd"           // Count idle connections for Span
)

// Step is one fault of a schedule.
type Step struct {
	At      time.Duration
	Kind    Kind
	Replica int
	Span    time.Duration
	Share   float64
	Count   int
	Watches []WatchFault
}

func (s Step) String() string {
	return fmt.Sprintf("%v %s replica=%d span=%v share=%.2f count=%d watches=%+v", s.At, s.Kind, s.Replica, s.Span, s.Share, s.Count, s.Watches)
}

// Schedule is what happens in one run, and how long it lasts.
type Schedule struct {
	Seed   uint64
	Length time.Duration
	Steps  []Step
}

func (s Schedule) String() string {
	lines := []string{fmt.Sprintf("seed %d, %v", s.Seed, s.Length)}
	for _, step := range s.Steps {
		lines = append(lines, step.String())
	}
	return strings.Join(lines, "\n")
}

const (
	soakLength = 12 * time.Second
	endAt      = 9 * time.Second // of the process, so that clients go on until the kill and meet the next one
	crowdEvery = 4               // one run in so many has a crowd
	heldUp     = 150 * time.Millisecond
)

// NewSchedule draws a schedule. Every run has an outage of discovery or watches that fail, drains around them, stops, hangups in a row
// and an end of the process.
func NewSchedule(seed uint64, replicas int) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	s := Schedule{Seed: seed, Length: soakLength}
	add := func(step Step) { s.Steps = append(s.Steps, step) }
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(rng.Int64N(int64(to-from))) }
	if rng.IntN(2) == 0 { // an outage past the watch's silence limit, and drains right after its end
		down := between(300*time.Millisecond, time.Second)
		span := between(3500*time.Millisecond, 5*time.Second)
		add(Step{At: down, Kind: DiscoveryDown, Span: span})
		add(Step{At: down + span - time.Millisecond, Kind: FailNextWatches, Watches: drawWatches(rng)})
		for range 1 + rng.IntN(2) {
			add(Step{At: down + span + between(0, 600*time.Millisecond), Kind: DrainReplica, Replica: rng.IntN(replicas), Span: between(time.Second, 2*time.Second)})
		}
	} else {
		for range 2 + rng.IntN(3) {
			at := between(300*time.Millisecond, 7*time.Second)
			add(Step{At: at, Kind: FailNextWatches, Watches: drawWatches(rng)})
			add(Step{At: at + time.Millisecond, Kind: []Kind{ResetWatches, SilenceWatches}[rng.IntN(2)]})
			add(Step{At: at + between(10*time.Millisecond, 300*time.Millisecond), Kind: []Kind{DrainReplica, RemoveReplica}[rng.IntN(2)],
				Replica: rng.IntN(replicas), Span: between(time.Second, 2*time.Second)})
		}
	}
	for range 2 + rng.IntN(4) { // stops in series, some around a drain
		at := between(300*time.Millisecond, 8*time.Second)
		if rng.IntN(2) == 0 {
			add(Step{At: at + between(0, 60*time.Millisecond), Kind: DrainReplica, Replica: rng.IntN(replicas), Span: between(500*time.Millisecond, time.Second)})
		}
		for i := range 1 + rng.IntN(3) {
			add(Step{At: at + time.Duration(i)*(heldUp+50*time.Millisecond), Kind: StopProcess, Span: between(20*time.Millisecond, heldUp)})
		}
	}
	add(Step{At: between(time.Second, 7*time.Second), Kind: HangReplica, Replica: rng.IntN(replicas), Span: between(200*time.Millisecond, 2*time.Second)})
	add(Step{At: between(time.Second, 7*time.Second), Kind: CrashReplica, Replica: rng.IntN(replicas), Span: between(200*time.Millisecond, time.Second)})
	add(Step{At: between(0, 5*time.Second), Kind: ReplicaTrouble, Share: 0.05 * rng.Float64(), Span: between(time.Second, 4*time.Second)})
	if rng.IntN(2) == 0 {
		add(Step{At: between(time.Second, 8*time.Second), Kind: Hangup, Count: 1 + rng.IntN(4)})
	}
	if rng.IntN(4) == 0 {
		add(Step{At: between(2*time.Second, 6*time.Second), Kind: KillProcess})
	}
	if seed%crowdEvery == 0 {
		add(Step{At: between(0, 2*time.Second), Kind: Crowd, Count: 150, Span: soakLength})
	}
	add(Step{At: endAt + between(0, 300*time.Millisecond), Kind: EndProcess, Count: 1 + rng.IntN(3)})
	if rng.IntN(2) == 0 { // a replica hangs through the whole of the shutdown
		add(Step{At: endAt - 200*time.Millisecond, Kind: HangReplica, Replica: rng.IntN(replicas), Span: soakLength - endAt})
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return s
}

// drawWatches draws what goes wrong with the next few watches.
func drawWatches(rng *rand.Rand) (faults []WatchFault) {
	for range 1 + rng.IntN(3) {
		faults = append(faults, []WatchFault{
			{EndsInstead: true}, {Late: time.Duration(rng.Int64N(int64(2 * time.Second)))}, {FullFirst: true}, {Pieces: true}, {},
		}[rng.IntN(5)])
	}
	return faults
}
