// Package view holds one co-ordinator's view of the agreed fleet state: how old it is, whether the co-ordinator is cut off from
// the raft group, which drains it applies to its own endpoint list, and what it reports about them to the raft group. The package does
// no I/O: Step takes events and the local monotonic time and returns the actions to carry out. A view only takes replicas away
// from the endpoint list; without a fleet the same queries are served.
//
// When a grant is seen, its drain is applied (Drains) and confirmed by the next Step. After one Grace, when requests that were being
// sent at that time have been sent, it is reported as applied (Poll). The outputs of a Step must be carried out before the next Step.
package view

import (
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

// Timing constants and limits of a view.
const (
	// MaxDriftDivisor bounds the drift between two clocks to 1/MaxDriftDivisor of the elapsed time. A co-ordinator shortens its own lease
	// by the drift and lengthens the times that others may still rely on. Allowing twice the drift would cost another percent of each
	// lease; with half, a co-ordinator with a slow clock could keep a lease that the leader considers expired.
	MaxDriftDivisor = 100
	// PollInterval is the time between polls that are answered in time. Doubling it would delay grants by a second; halving it would
	// double the messages of an idle fleet.
	PollInterval = time.Second
	// MaxPollInterval limits the backoff between unanswered polls. A quarter of the lease limits it too, so that three lost polls in a
	// row do not cost the lease. With a longer interval a fleet would take longer to reconnect after an outage.
	MaxPollInterval = 5 * time.Second
	// MinPollInterval is the minimum time between two polls, after a truncated Reply or when the drain statuses changed. Doubling it would
	// double the time that a follower far behind needs to catch up; halving it would double the cost of answers that never stop
	// being truncated.
	MinPollInterval = 50 * time.Millisecond
	// UrgentPollTimeout is the time after which an unanswered poll is repeated while an agreed result is awaited. Doubling it would lengthen
	// a session's pause by as much after a lost packet; halving it would double the polls at a slow leader.
	UrgentPollTimeout = 200 * time.Millisecond
	// StartPollInterval is the time between polls of a process that has no answer yet, for StartPeriod from its first Step, because its
	// clients wait. Doubling it would delay a start by 0.1 s after a lost poll; halving it would double the messages when a whole fleet
	// starts at the same time.
	StartPollInterval = 100 * time.Millisecond
	StartPeriod       = time.Second
	// MaxStepGap is the maximum time between two Steps of a running process. After a longer gap the process is taken to have stalled, and a
	// Grace that was running is restarted, because requests that were being sent may be sent only now. With twice the gap, a stall
	// of that length would shorten a Grace unnoticed; with half, a busy machine would report its drains later.
	MaxStepGap = time.Second
	// MaxSentPolls is the maximum number of polls whose send times are kept. The oldest is dropped first, and its answer is then ignored.
	MaxSentPolls = 64
)

// DrainStatus is what a co-ordinator reports about one live grant.
type DrainStatus = peerproto.DrainStatus

// State is the part of the agreed maintenance state that a view reads. *maintenance.State implements it.
type State interface {
	Items() []maintenance.Item
	Machine(name string) (maintenance.Machine, bool)
	Limits() (maintenance.Limits, int)
}

// Input is an event passed to Step.
type Input interface{ input() }

type (
	// PollAnswered reports an answer to the poll with this sequence number by a process that was the leader at that time. Truncated means
	// that the answer was truncated, NotInInventory that the agreed inventory does not contain this co-ordinator yet. Neither kind
	// of answer gives a lease.
	PollAnswered struct {
		Sequence       uint64
		Leader         string
		Term           uint64 // 0: not known; an answer with a lower term than seen before is ignored
		Truncated      bool
		NotInInventory bool
	}
	// Applied reports that the local copy of the state machine advanced. State is only read during the Step.
	Applied struct {
		State      State
		Index      uint64
		AgreedTime time.Duration // the state machine's time
		Epoch      uint64        // of the log; input with a lower epoch than seen before is ignored
	}
	// ReplicaList is the complete local list of replicas. It is passed whenever the list changed.
	ReplicaList struct{ Replicas []maintenance.Machine }
	// PollUrgently reports whether the process waits for an agreed result. While On, polls are sent as soon as allowed.
	PollUrgently struct{ On bool }
	// Halted reports that the local copy of the state machine cannot advance any more. From then on the view emits no polls and no grants.
	Halted struct{ Err error }
)

func (PollAnswered) input() {}
func (Applied) input()      {}
func (ReplicaList) input()  {}
func (Halted) input()       {}
func (PollUrgently) input() {}

// Output is an action to be carried out before the next Step.
type Output interface{ output() }

type (
	// Drains is the complete set of drained replicas, which get no new requests, sorted by name. It replaces the previous set.
	Drains struct{ Names []string }
	// Poll is a poll to send to the leader, or to any voter while the leader is not known.
	Poll struct {
		Sequence, Index uint64
		Drains          []DrainStatus
	}
	// MayLeave says that this co-ordinator may shut down under the grant with this fence. It is emitted once per grant.
	MayLeave struct{ Fence uint64 }
	// Grants is the complete content of the site's grants file: the machines that may be worked on now.
	Grants struct{ Items []Grant }
	// Log is a line to log.
	Log struct{ Text string }
)

// Grant is an acknowledged item with the agreed time before which the work must begin. That time is Until less SettleTime, so that work
// which a slow clock starts late still begins within the grant.
type Grant struct {
	maintenance.Item
	StartBefore time.Duration
}

func (Drains) output()   {}
func (Poll) output()     {}
func (MayLeave) output() {}
func (Grants) output()   {}
func (Log) output()      {}

// View is the state of one co-ordinator's view. It is not safe for concurrent use.
type View struct {
	name  string
	lease time.Duration

	stepped                 bool
	firstStepAt, lastStepAt time.Duration // local time of the first and the last Step
	halted                  bool
	cutOff                  bool // as of the last Step
	out                     []Output

	polls pollState

	// The agreed state as last applied. Its live items are those granted, acknowledged or out, in the order of the state.
	applied                 bool
	index                   uint64
	epoch                   uint64
	agreedTime              time.Duration // time of the agreed state; agreedAt is the local time when it was first seen
	agreedAt                time.Duration
	live                    []maintenance.Item
	machines                map[string]maintenance.Machine // of the live items
	limits                  maintenance.Limits
	highestFence            uint64 // highest fence seen so far
	caughtUp                bool   // a complete answer has arrived while a state was applied
	highestFenceBeforeStart uint64 // highest fence seen until caughtUp; emitLeave ignores these grants, made before this process
	leftByFence             uint64 // fence of the last grant for which MayLeave was emitted

	replicasKnown bool
	replicas      []maintenance.Machine

	drains         []drain         // sorted by fence
	previousDrains []previousDrain // drains for grants of earlier epochs, sorted by name
	sentDrains     []string
	sentGrants     []Grant
	checks         checkState
}

// New returns a view of the co-ordinator with this name. The lease is that of the limits in force at the start; the limits of an
// Applied state replace it.
func New(name string, lease time.Duration) *View {
	return &View{name: name, lease: lease, cutOff: true, machines: map[string]maintenance.Machine{},
		checks: checkState{appliedSince: map[string]time.Duration{}, grantFences: map[string]uint64{}}}
}

// FirstSequence sets the number after which the sequence of polls begins. It must be called before the first Step. Numbers must not
// repeat between processes of one name, or a late answer to the previous process would lengthen this one's lease. The start time in
// nanoseconds is sufficient.
func (v *View) FirstSequence(first uint64) { v.polls.sequence = first }

// CutOff reports whether the lease has expired. The lease counts from the send time of the newest answered poll and is shortened by the
// drift. CutOff is also true before the first answer and after Halted.
func (v *View) CutOff(now time.Duration) bool {
	return now >= v.LeaseUntil()
}

// LeaseUntil returns the local time until which the lease holds at the maximum clock drift, or 0 if there is no lease.
func (v *View) LeaseUntil() time.Duration {
	if v.halted || !v.polls.answered {
		return 0
	}
	return v.polls.answeredAt + v.lease - v.lease/MaxDriftDivisor
}

// Age returns the age of the agreed state: the time since the newest answered poll was sent, or since the first Step if none was answered.
func (v *View) Age(now time.Duration) time.Duration {
	if !v.polls.answered {
		return max(now-v.firstStepAt, 0)
	}
	return max(now-v.polls.answeredAt, 0)
}

// Step processes events at the local monotonic time now and returns the actions to carry out, in order. A time before that of the last
// Step is replaced by it. The result is valid until the next call.
func (v *View) Step(now time.Duration, in []Input) []Output {
	v.out = v.out[:0]
	gap := v.stepped && now-v.lastStepAt > MaxStepGap
	if !v.stepped {
		v.firstStepAt, v.polls.nextAt = now, now
	}
	now = max(now, v.lastStepAt)
	for _, i := range in {
		v.handle(now, i)
	}
	v.lastStepAt = now
	v.confirmDrains(now, gap)
	cut := v.CutOff(now)
	if cut != v.cutOff {
		if age := v.Age(now).Round(time.Millisecond); cut {
			v.log("cut off: no answer from the raft group for %v; applied drains are kept until their grants end", age)
		} else {
			v.log("in touch with the raft group: the agreed state is %v old", age)
		}
	}
	v.cutOff = cut
	v.dropEndedDrains(now)
	v.applyDrains(now)
	v.emitDrains(now)
	v.emitGrants(now)
	v.emitLeave()
	v.emitPoll(now)
	v.stepped = true
	return v.out
}

func (v *View) log(format string, a ...any) {
	v.out = append(v.out, Log{fmt.Sprintf(format, a...)})
}

func (v *View) handle(now time.Duration, in Input) {
	switch in := in.(type) {
	case PollAnswered:
		if v.polls.handleAnswer(in) {
			v.caughtUp = v.caughtUp || v.applied && !in.Truncated
		}
	case Applied:
		if in.Epoch > v.epoch {
			v.beginEpoch(in.Epoch)
		}
		if in.Epoch == v.epoch && in.Index >= v.index {
			v.apply(now, in)
		}
	case ReplicaList:
		v.replicasKnown, v.replicas = true, slices.Clone(in.Replicas)
	case PollUrgently:
		v.polls.urgent = in.On
	case Halted:
		if !v.halted {
			v.halted = true
			v.log("this co-ordinator's membership of the fleet has ended, queries are still served: %v", in.Err)
		}
	}
}

// isLive reports whether a grant in this phase allows its machine to be away, so that it must get no new requests.
func isLive(p maintenance.Phase) bool {
	return p == maintenance.Granted || p == maintenance.Acknowledged || p == maintenance.Out
}

func (v *View) apply(now time.Duration, a Applied) {
	if !v.applied || a.AgreedTime > v.agreedTime {
		v.agreedTime, v.agreedAt = a.AgreedTime, now
	}
	v.applied, v.index = true, a.Index
	if l, revision := a.State.Limits(); revision > 0 {
		v.limits = l
		if l.Lease > 0 {
			v.lease = l.Lease
		}
	}
	v.live = v.live[:0]
	clear(v.machines)
	for _, it := range a.State.Items() {
		v.highestFence = max(v.highestFence, it.Fence)
		if !isLive(it.Phase) || it.Fence == 0 {
			continue
		}
		v.live = append(v.live, it)
		m, ok := a.State.Machine(it.Machine)
		if !ok {
			m = maintenance.Machine{Name: it.Machine, Kind: maintenance.Replica, Cell: -1}
		}
		v.machines[it.Machine] = m
	}
	v.previousDrains = slices.DeleteFunc(v.previousDrains, func(o previousDrain) bool {
		m, ok := a.State.Machine(o.machine)
		return ok && m.Status == maintenance.Up && m.Started > o.start
	})
	if !v.caughtUp {
		v.highestFenceBeforeStart = v.highestFence
	}
}

// emitGrants emits the acknowledged items for the site's grants file whenever they changed, and none while cut off. The first Step always
// emits them, because the file may have been written by a previous process.
func (v *View) emitGrants(now time.Duration) {
	var active []Grant
	agreed := v.agreedTime + withDrift(now-v.agreedAt)
	for _, it := range v.live {
		if before := it.Until - v.limits.SettleTime; !v.cutOff && it.Phase == maintenance.Acknowledged && agreed < before {
			active = append(active, Grant{it, before})
		}
	}
	if !v.stepped || !slices.Equal(active, v.sentGrants) {
		v.sentGrants = active
		v.out = append(v.out, Grants{slices.Clone(active)})
	}
}

// emitLeave emits MayLeave once if this co-ordinator's own grant is acknowledged and was made after the process started. An earlier
// grant was meant for the previous process.
func (v *View) emitLeave() {
	for _, it := range v.live {
		if v.cutOff || it.Machine != v.name || it.Phase != maintenance.Acknowledged || v.machines[it.Machine].Kind != maintenance.Coordinator ||
			it.Fence <= v.highestFenceBeforeStart || it.Fence <= v.leftByFence {
			continue
		}
		v.leftByFence = it.Fence
		v.out = append(v.out, MayLeave{it.Fence})
	}
}

// withDrift returns the time that a clock shows for d if it runs fast by the maximum drift.
func withDrift(d time.Duration) time.Duration { return d + d/MaxDriftDivisor }
