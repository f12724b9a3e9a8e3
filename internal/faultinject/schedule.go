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
	DrainReplica    Kind = "drain"            // Replica; ready again after Span
	RemoveReplica   Kind = "remove"           // Replica; ready again after Span
	HangReplica     Kind = "hang"             // Replica, Span
	CrashReplica    Kind = "crash"            // Replica; started again after Span
	ReplicaTrouble  Kind = "replica trouble"  // Share of all parts for Span
	DiscoveryDown   Kind = "discovery down"   // Span
	DiscoverySilent Kind = "discovery silent" // Span; the watches survive the outage and stay silent
	SilenceWatches  Kind = "silence watches"  //
	ResetWatches    Kind = "reset watches"    //
	FailNextWatches Kind = "fail watches"     // Watches
	StopProcess     Kind = "stop process"     // Span
	Hangup          Kind = "hangup"           // Count in a row; the last moves discovery
	KillProcess     Kind = "kill"             // started again at once
	EndProcess      Kind = "end"              // SIGTERM, Count in a row; started again at its end
	Crowd           Kind = "crowd"            // Count idle connections for Span
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

// drawer draws the steps of a schedule.
type drawer struct {
	rng      *rand.Rand
	replicas int
	steps    []Step
}

func (d *drawer) add(step Step) { d.steps = append(d.steps, step) }

func (d *drawer) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Int64N(int64(to-from)))
}

// drain adds the drain of a replica, or its removal.
func (d *drawer) drain(at time.Duration) {
	kind := []Kind{DrainReplica, DrainReplica, RemoveReplica}[d.rng.IntN(3)]
	d.add(Step{At: at, Kind: kind, Replica: d.rng.IntN(d.replicas), Span: d.between(700*time.Millisecond, 1500*time.Millisecond)})
}

// scenes are the ways in which a drain meets trouble. Each begins at a moment and is over within two seconds or so.
var scenes = []func(d *drawer, at time.Duration){
	func(d *drawer, at time.Duration) { // the watch ends instead of bringing the drain, and the next ones are late or worse
		d.add(Step{At: at, Kind: FailNextWatches, Watches: append([]WatchFault{{EndsInstead: true}, {Late: d.between(500*time.Millisecond, 2*time.Second)}}, d.watches()...)})
		d.add(Step{At: at + time.Millisecond, Kind: ResetWatches})
		d.drain(at + d.between(150*time.Millisecond, 400*time.Millisecond))
	},
	func(d *drawer, at time.Duration) { // the process stands still, and the drain comes meanwhile
		d.add(Step{At: at, Kind: StopProcess, Span: d.between(300*time.Millisecond, 500*time.Millisecond)})
		d.drain(at + d.between(0, 30*time.Millisecond))
	},
	func(d *drawer, at time.Duration) { // short stops in series around the drain
		for i := range 2 + d.rng.IntN(4) {
			d.add(Step{At: at + time.Duration(i)*(heldUp+30*time.Millisecond), Kind: StopProcess, Span: d.between(20*time.Millisecond, heldUp)})
		}
		d.drain(at + d.between(0, 300*time.Millisecond))
	},
	func(d *drawer, at time.Duration) { // watches fall silent or are reset right before the drain
		d.add(Step{At: at, Kind: FailNextWatches, Watches: d.watches()})
		d.add(Step{At: at + time.Millisecond, Kind: []Kind{ResetWatches, SilenceWatches}[d.rng.IntN(2)]})
		d.drain(at + d.between(5*time.Millisecond, 300*time.Millisecond))
	},
}

// firstSilenceSeed is the first seed whose schedule is about watches that are open and silent after an outage of discovery.
const firstSilenceSeed = 101

// silences are the ways in which an outage ends in silence, or over a stop of the process. Each returns when it is over.
var silences = []func(d *drawer, at time.Duration) time.Duration{
	func(d *drawer, at time.Duration) time.Duration { // the watches opened after the outage are silent
		up := at + d.between(2100*time.Millisecond, 4*time.Second)
		d.add(Step{At: at, Kind: DiscoveryDown, Span: up - at})
		d.add(Step{At: up - time.Millisecond, Kind: FailNextWatches, Watches: []WatchFault{d.silentWatch(), d.silentWatch()}})
		return d.drainAfter(up)
	},
	func(d *drawer, at time.Duration) time.Duration { // the watches survive the outage, silent; their heartbeat is overdue at its end
		up := at + d.between(2100*time.Millisecond, 2700*time.Millisecond)
		d.add(Step{At: at, Kind: DiscoverySilent, Span: up - at})
		return d.drainAfter(up)
	},
	func(d *drawer, at time.Duration) time.Duration { // the process stands still while the outage ends
		up := at + d.between(500*time.Millisecond, 4*time.Second)
		d.add(Step{At: at, Kind: DiscoveryDown, Span: up - at})
		d.add(Step{At: up - d.between(0, 200*time.Millisecond), Kind: StopProcess, Span: d.between(300*time.Millisecond, 500*time.Millisecond)})
		d.drain(up + d.between(0, 50*time.Millisecond))
		return d.drainAfter(up + 500*time.Millisecond)
	},
	func(d *drawer, at time.Duration) time.Duration { // the process stands still right after its request for the list
		d.add(Step{At: at, Kind: FailNextWatches, Watches: []WatchFault{d.silentWatch()}})
		d.add(Step{At: at + time.Millisecond, Kind: ResetWatches})
		d.add(Step{At: at + d.between(time.Millisecond, 4*time.Millisecond), Kind: StopProcess, Span: d.between(300*time.Millisecond, 500*time.Millisecond)})
		d.drain(at + d.between(5*time.Millisecond, 30*time.Millisecond))
		return d.drainAfter(at + 600*time.Millisecond)
	},
}

// silentWatch draws a watch that is silent from its opening, or after the full list.
func (d *drawer) silentWatch() WatchFault {
	return WatchFault{Silent: true, FullFirst: d.rng.IntN(2) == 0}
}

// drainAfter adds one drain right after a moment and one up to 2 s later, and returns when the scene is over.
func (d *drawer) drainAfter(at time.Duration) time.Duration {
	d.drain(at + d.between(0, 200*time.Millisecond))
	d.drain(at + d.between(200*time.Millisecond, 2*time.Second))
	return at + 2500*time.Millisecond
}

const (
	sceneEvery = 1800 * time.Millisecond
	lastScene  = 8 * time.Second
)

// outage adds one past the watch's silence limit, with drains that come with its end and right after it, and says when it is over.
func (d *drawer) outage() time.Duration {
	down, span := d.between(300*time.Millisecond, time.Second), d.between(3500*time.Millisecond, 4500*time.Millisecond)
	d.add(Step{At: down, Kind: DiscoveryDown, Span: span})
	d.add(Step{At: down + span - time.Millisecond, Kind: FailNextWatches, Watches: append([]WatchFault{{EndsInstead: true}}, d.watches()...)})
	d.drain(down + span - d.between(0, 500*time.Millisecond))
	d.drain(down + span + d.between(150*time.Millisecond, 600*time.Millisecond))
	return down + span + time.Second
}

// others adds what happens beside the drains.
func (d *drawer) others(seed uint64) {
	d.add(Step{At: d.between(time.Second, 7*time.Second), Kind: HangReplica, Replica: d.rng.IntN(d.replicas), Span: d.between(200*time.Millisecond, 2*time.Second)})
	d.add(Step{At: d.between(time.Second, 7*time.Second), Kind: CrashReplica, Replica: d.rng.IntN(d.replicas), Span: d.between(200*time.Millisecond, time.Second)})
	d.add(Step{At: d.between(0, 5*time.Second), Kind: ReplicaTrouble, Share: 0.05 * d.rng.Float64(), Span: d.between(time.Second, 4*time.Second)})
	if d.rng.IntN(3) == 0 {
		d.add(Step{At: d.between(time.Second, 8*time.Second), Kind: Hangup, Count: 1 + d.rng.IntN(4)})
	}
	if d.rng.IntN(4) == 0 {
		d.add(Step{At: d.between(2*time.Second, 6*time.Second), Kind: KillProcess})
	}
	if seed%crowdEvery == 0 {
		d.add(Step{At: d.between(0, 2*time.Second), Kind: Crowd, Count: 150, Span: soakLength})
	}
	d.add(Step{At: endAt + d.between(0, 300*time.Millisecond), Kind: EndProcess, Count: 1 + d.rng.IntN(3)})
	if d.rng.IntN(2) == 0 { // a replica hangs through the whole of the shutdown
		d.add(Step{At: endAt - 200*time.Millisecond, Kind: HangReplica, Replica: d.rng.IntN(d.replicas), Span: soakLength - endAt})
	}
}

// NewSchedule draws a schedule: drains in trouble from the first second on, after an outage of discovery in half of the runs (from
// firstSilenceSeed on: in most, ending in silence or over a stop of the process), and
// hangups in a row, kills, crowds and an end of the process beside them.
func NewSchedule(seed uint64, replicas int) Schedule {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, 0x50a4)), replicas: replicas}
	at := d.between(300*time.Millisecond, 600*time.Millisecond)
	switch {
	case seed >= firstSilenceSeed:
		for range 2 {
			at = silences[d.rng.IntN(len(silences))](d, at)
		}
	case d.rng.IntN(2) == 0:
		at = d.outage()
	}
	for ; at < lastScene; at += sceneEvery + d.between(0, 200*time.Millisecond) {
		scenes[d.rng.IntN(len(scenes))](d, at)
	}
	d.others(seed)
	slices.SortStableFunc(d.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return Schedule{Seed: seed, Length: soakLength, Steps: d.steps}
}

// watches draws what goes wrong with the next few watches.
func (d *drawer) watches() (faults []WatchFault) {
	for range 1 + d.rng.IntN(3) {
		faults = append(faults, []WatchFault{
			{EndsInstead: true}, {Late: d.between(0, 2*time.Second)}, {FullFirst: true}, {Pieces: true}, {},
		}[d.rng.IntN(5)])
	}
	return faults
}
