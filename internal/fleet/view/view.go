// Package view is what one co-ordinator may rely on of what the fleet agreed: how old that is, whether it is cut off,
// which drains it applies to its own endpoint list, and what it says of them to the raft group. Pure: time comes in, by the own
// monotonic clock, and what is to be done comes out. It only ever narrows: without a fleet the same queries are served.
//
// A grant is seen, its drain applied (Drains), the applying confirmed by the next Step, and one Grace later, when what was
// being sent is sent, reported as applied (Poll). What comes out of a Step must be carried out before the next one.
package view

import (
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

// Times and bounds of a view.
const (
	// MaxDriftDivisor is by how much two clocks may run apart: one part of so many. Own leases are taken shorter by it and what
	// others may still count on longer. Twice as much costs a percent of a lease; half, and a slow clock keeps a lease
	// that the leader counts as over.
	MaxDriftDivisor = 100
	// PollInterval is between polls that are answered in time. Twice as long: grants are known a second later; half as
	// long: twice the messages at rest.
	PollInterval = time.Second
	// MaxPollInterval bounds the time between polls that go unanswered, and so does a quarter of the lease, so that three
	// lost ones in a row do not cost it. Twice as long: a fleet takes longer to come together after an outage.
	MaxPollInterval = 5 * time.Second
	// MinPollInterval is between any two polls: those after a Reply that was truncated, and those that have something new. Twice as
	// long: a follower far behind takes twice as long; half as long: a truncated answer without end costs twice as much.
	MinPollInterval = 50 * time.Millisecond
	// UrgentPollTimeout is after a poll that went unanswered while something agreed is waited for. Twice as long: a lost packet costs a
	// session's pause so much more; half: twice the polls at a leader that is slow.
	UrgentPollTimeout = 200 * time.Millisecond
	// StartPollInterval is between polls of a process that has no answer yet and whose clients wait, StartPeriod from its first Step.
	// Twice as long: a start waits 0.1 s longer after a lost one; half: twice the messages of a fleet that starts at once.
	StartPollInterval = 100 * time.Millisecond
	StartPeriod       = time.Second
	// MaxStepGap is between two Steps of a process that runs. After a longer gap it was stopped, and a Grace that ran
	// meanwhile starts anew: what was being sent may be sent only now. Twice as long: a stall of that much eats into a
	// Grace unseen; half as long: a busy machine reports its drains later.
	MaxStepGap = time.Second
	// MaxSentPolls is the polls whose sending is remembered; the oldest goes first, and its answer then counts for nothing.
	MaxSentPolls = 64
)

// DrainStatus is what a co-ordinator says of one live grant.
type DrainStatus = peerproto.DrainStatus

// State is what a view reads of the agreed maintenance order; *maintenance.State is one.
type State interface {
	Items() []maintenance.Item
	Machine(name string) (maintenance.Machine, bool)
	Limits() (maintenance.Limits, int)
}

// Input is an event for a Step.
type Input interface{ input() }

type (
	// PollAnswered says that the poll of this number was answered by a leader that led then. More: the answer was truncated.
	// Unlisted: the agreed inventory does not have this co-ordinator yet. Neither gives a lease.
	PollAnswered struct {
		Sequence       uint64
		Leader         string
		Term           uint64 // 0: not known; one lower than seen before counts for nothing
		Truncated      bool
		NotInInventory bool
	}
	// Applied is the own copy of the state machine after it moved; State is only read during the Step.
	Applied struct {
		State      State
		Index      uint64
		AgreedTime time.Duration // agreed
		Epoch      uint64        // of the log; one lower than seen before counts for nothing
	}
	// ReplicaList is the own list of replicas, complete, whenever it changed.
	ReplicaList struct{ Replicas []maintenance.Machine }
	// PollUrgently says that something agreed is waited for here, or no more: polls come as soon as they may meanwhile.
	PollUrgently struct{ On bool }
	// Halted says that the own copy of the state machine can't go on. Nothing is polled or granted any more.
	Halted struct{ Err error }
)

func (PollAnswered) input() {}
func (Applied) input()      {}
func (ReplicaList) input()  {}
func (Halted) input()       {}
func (PollUrgently) input() {}

// Output is something to be done before the next Step.
type Output interface{ output() }

type (
	// Drains is the complete set of replicas to which nothing new goes, sorted by name; it replaces the one before.
	Drains struct{ Names []string }
	// Poll is to be sent to the leader, or to any voter while it is not known.
	Poll struct {
		Sequence, Index uint64
		Drains          []DrainStatus
	}
	// MayLeave says that this co-ordinator may go by the grant of that number; it comes once.
	MayLeave struct{ Fence uint64 }
	// Grants is for the site's file, replaced as a whole: who may be worked on now.
	Grants struct{ Items []Grant }
	// Log is a line for the log.
	Log struct{ Text string }
)

// Grant is an acknowledged item, and the agreed time before which the work must have begun to count as begun within the grant:
// Until less Settle, so that what a slow clock starts late still counts.
type Grant struct {
	maintenance.Item
	StartBefore time.Duration
}

func (Drains) output()   {}
func (Poll) output()     {}
func (MayLeave) output() {}
func (Grants) output()   {}
func (Log) output()      {}

// View is one co-ordinator's. Not for use by several goroutines at once.
type View struct {
	name  string
	lease time.Duration

	stepped                 bool
	firstStepAt, lastStepAt time.Duration // own time of the first and the newest Step
	halted                  bool
	cutOff                  bool // as of the last Step
	out                     []Output

	polls pollState

	// The agreed state as last applied: its live items (granted, acknowledged, out), in its order.
	applied                 bool
	index                   uint64
	epoch                   uint64
	agreedTime              time.Duration // its time, and when that was first seen by the own clock
	agreedAt                time.Duration
	live                    []maintenance.Item
	machines                map[string]maintenance.Machine // of the live items
	limits                  maintenance.Limits
	highestFence            uint64 // highest fence seen
	caughtUp                bool   // an answer was complete, with a state applied
	highestFenceBeforeStart uint64 // highest fence seen up to then: grants of before this process, for which it does not leave
	leftByFence             uint64 // fence it left by

	replicasKnown bool
	replicas      []maintenance.Machine

	drains         []drain         // by fence
	previousDrains []previousDrain // drains of grants of an earlier epoch, by name
	sentDrains     []string
	sentGrants     []Grant
	checks         checkState
}

// New makes a view of the co-ordinator of that name. The lease is that of the limits in force when it starts; Applied
// limits replace it.
func New(name string, lease time.Duration) *View {
	return &View{name: name, lease: lease, cutOff: true, machines: map[string]maintenance.Machine{},
		checks: checkState{appliedSince: map[string]time.Duration{}, grantFences: map[string]uint64{}}}
}

// FirstSequence sets where the numbers of polls begin, before the first Step. They must not repeat between processes of one
// name, or a late answer to the process before would lengthen this one's lease: a start's time in nanoseconds will do.
func (v *View) FirstSequence(first uint64) { v.polls.sequence = first }

// CutOff says that no answer of the raft group came within the lease, counted from the sending of the newest poll that was
// answered and shortened by the drift; so it is before the first answer and once halted.
func (v *View) CutOff(now time.Duration) bool {
	return now >= v.LeaseUntil()
}

// LeaseUntil is the own time until which the lease holds, however clocks drift; 0 for none.
func (v *View) LeaseUntil() time.Duration {
	if v.halted || !v.polls.answered {
		return 0
	}
	return v.polls.answeredAt + v.lease - v.lease/MaxDriftDivisor
}

// Age of what was agreed: since the sending of the newest answered poll; before any, since the first Step.
func (v *View) Age(now time.Duration) time.Duration {
	if !v.polls.answered {
		return max(now-v.firstStepAt, 0)
	}
	return max(now-v.polls.answeredAt, 0)
}

// Step takes events at the own monotonic time now and returns what is to be done, in order. A time before the last one
// counts as the last one. The result holds until the next call.
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
			v.log("cut off: no answer of the raft group for %v; the drains that are applied stay until their grants end", age)
		} else {
			v.log("in touch with the raft group: what is known is %v old", age)
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
			v.log("this co-ordinator's part in the fleet has ended, queries are served as before: %v", in.Err)
		}
	}
}

// isLive says that a grant in that phase lets its machine be away, so that nothing new goes there.
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

// emitGrants hands out the acknowledged items for the site's file whenever they changed, none while cut off. The first Step
// always does, as the file may be that of a process before.
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

// emitLeave says once that this co-ordinator may go, if its own grant is acknowledged and was made after it started: one from
// before was for the process before it.
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

// withDrift is d by a clock that runs fast by the drift.
func withDrift(d time.Duration) time.Duration { return d + d/MaxDriftDivisor }
