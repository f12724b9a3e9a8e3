// Package view is what one co-ordinator may rely on of what the fleet agreed: how old that is, whether it is cut off,
// which drains it lays over its own list, and what it says of them to the raft group. Pure: time comes in, by the own
// monotonic clock, and what is to be done comes out. It only ever narrows: without a fleet the same queries are served.
//
// A grant is seen, its drain laid (Drains), the laying confirmed by the next Step, and one Grace later, when what was
// being sent is sent, said as laid (Poll). What comes out of a Step must be carried out before the next one.
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
	// Drift is by how much two clocks may run apart: one part of so many. Own leases are taken shorter by it and what
	// others may still count on longer. Twice as much costs a percent of a lease; half, and a slow clock keeps a lease
	// that the leader counts as over.
	Drift = 100
	// PollEvery is between polls that are answered in time. Twice as long: grants are known a second later; half as
	// long: twice the messages at rest.
	PollEvery = time.Second
	// PollMost bounds the time between polls that go unanswered, and so does a quarter of the lease, so that three
	// lost ones in a row do not cost it. Twice as long: a fleet takes longer to come together after an outage.
	PollMost = 5 * time.Second
	// PollSoonest is between any two polls: those after a Word that was cut short, and those that have news. Twice as
	// long: a follower far behind takes twice as long; half as long: an answer cut short without end costs twice as much.
	PollSoonest = 50 * time.Millisecond
	// HurryAgain is after a poll that went unanswered while something agreed is waited for. Twice as long: a lost packet costs a
	// session's pause so much more; half: twice the polls at a leader that is slow.
	HurryAgain = 200 * time.Millisecond
	// PollStart is between polls of a process that has no answer yet and whose clients wait, StartFor from its first Step.
	// Twice as long: a start waits 0.1 s longer after a lost one; half: twice the messages of a fleet that starts at once.
	PollStart = 100 * time.Millisecond
	StartFor  = time.Second
	// StallMost is between two Steps of a process that runs. After a longer gap it was stopped, and a Grace that ran
	// meanwhile starts anew: what was being sent may be sent only now. Twice as long: a stall of that much eats into a
	// Grace unseen; half as long: a busy machine says later that it has laid.
	StallMost = time.Second
	// SentMost is the polls whose sending is remembered; the oldest goes first, and its answer then counts for nothing.
	SentMost = 64
)

// Laid is what a co-ordinator says of one live grant.
type Laid = peerproto.Laid

// State is what a view reads of the agreed order of work; *maintenance.State is one.
type State interface {
	Items() []maintenance.Item
	Machine(name string) (maintenance.Machine, bool)
	Limits() (maintenance.Limits, int)
}

// Input is news for a Step.
type Input interface{ input() }

type (
	// Answered says that the poll of this number was answered by a leader that led then. More: the answer was cut short.
	// Unlisted: the agreed inventory does not have this co-ordinator yet. Neither gives a lease.
	Answered struct {
		Poll     uint64
		Leader   string
		Term     uint64 // 0: not told; one lower than seen before counts for nothing
		More     bool
		Unlisted bool
	}
	// Applied is the own copy of the state machine after it moved; State is only read during the Step.
	Applied struct {
		State State
		Index uint64
		Now   time.Duration // agreed
		Era   uint64        // of the log; one lower than seen before counts for nothing
	}
	// Listed is the own list of replicas, whole, whenever it changed.
	Listed struct{ Own []maintenance.Machine }
	// Hurry says that something agreed is waited for here, or no more: polls come as soon as they may meanwhile.
	Hurry struct{ On bool }
	// Halted says that the own copy of the state machine can't go on. Nothing is polled or granted any more.
	Halted struct{ Err error }
)

func (Answered) input() {}
func (Applied) input()  {}
func (Listed) input()   {}
func (Halted) input()   {}
func (Hurry) input()    {}

// Output is something to be done before the next Step.
type Output interface{ output() }

type (
	// Drains is the whole set of replicas to which nothing new goes, sorted by name; it replaces the one before.
	Drains struct{ Names []string }
	// Poll is to be sent to the leader, or to any voter while it is not known.
	Poll struct {
		No, Index uint64
		Laid      []Laid
	}
	// Leave says that this co-ordinator may go by the grant of that number; it comes once.
	Leave struct{ Fence uint64 }
	// Grants is for the site's file, replaced whole: who may be worked on now.
	Grants struct{ Items []Grant }
	// Log is a line for the log.
	Log struct{ Text string }
)

// Grant is a told item, and the agreed time before which the work must have begun to count as begun within the grant:
// Until less Settle, so that what a slow clock starts late still counts.
type Grant struct {
	maintenance.Item
	Before time.Duration
}

func (Drains) output() {}
func (Poll) output()   {}
func (Leave) output()  {}
func (Grants) output() {}
func (Log) output()    {}

// View is one co-ordinator's. Not for use by several goroutines at once.
type View struct {
	name  string
	lease time.Duration

	stepped     bool
	first, last time.Duration // own time of the first and the newest Step
	halted      bool
	cut         bool // as of the last Step
	out         []Output

	polls polls

	// The agreed state as last applied: its live items (granted, told, out), in its order.
	applied  bool
	index    uint64
	era      uint64
	agreed   time.Duration // its time, and when that was first seen by the own clock
	agreedAt time.Duration
	live     []maintenance.Item
	kinds    map[string]maintenance.Machine // of the live items
	limits   maintenance.Limits
	newest   uint64 // highest fence seen
	caught   bool   // an answer was whole, with a state applied
	before   uint64 // highest fence seen up to then: grants of before this process, for which it does not leave
	left     uint64 // fence it left by

	listed bool
	own    []maintenance.Machine

	lays   []lay // by fence
	old    []old // drains of grants of an era before, by name
	drains []string
	grants []Grant
	seen   evidence
}

// New makes a view of the co-ordinator of that name. The lease is that of the limits in force when it starts; Applied
// limits replace it.
func New(name string, lease time.Duration) *View {
	return &View{name: name, lease: lease, cut: true, kinds: map[string]maintenance.Machine{},
		seen: evidence{since: map[string]time.Duration{}, fence: map[string]uint64{}}}
}

// NumberFrom sets where the numbers of polls begin, before the first Step. They must not repeat between processes of one
// name, or a late answer to the process before would lengthen this one's lease: a start's time in nanoseconds will do.
func (v *View) NumberFrom(first uint64) { v.polls.no = first }

// CutOff says that no word of the raft group came within the lease, counted from the sending of the newest poll that was
// answered and shortened by the drift; so it is before the first answer and once halted.
func (v *View) CutOff(now time.Duration) bool {
	return now >= v.SureUntil()
}

// SureUntil is the own time until which the lease holds, however clocks drift; 0 for none.
func (v *View) SureUntil() time.Duration {
	if v.halted || !v.polls.answered {
		return 0
	}
	return v.polls.answeredAt + v.lease - v.lease/Drift
}

// Age of what was agreed: since the sending of the newest answered poll; before any, since the first Step.
func (v *View) Age(now time.Duration) time.Duration {
	if !v.polls.answered {
		return max(now-v.first, 0)
	}
	return max(now-v.polls.answeredAt, 0)
}

// Step takes news at the own monotonic time now and returns what is to be done, in order. A time before the last one
// counts as the last one. The result holds until the next call.
func (v *View) Step(now time.Duration, in []Input) []Output {
	v.out = v.out[:0]
	gap := v.stepped && now-v.last > StallMost
	if !v.stepped {
		v.first, v.polls.next = now, now
	}
	now = max(now, v.last)
	for _, i := range in {
		v.take(now, i)
	}
	v.last = now
	v.confirm(now, gap)
	cut := v.CutOff(now)
	if cut != v.cut {
		if age := v.Age(now).Round(time.Millisecond); cut {
			v.say("cut off: no word of the raft group for %v; the drains that are laid stay until their grants end", age)
		} else {
			v.say("in touch with the raft group: what is known is %v old", age)
		}
	}
	v.cut = cut
	v.settle(now)
	v.layAll(now)
	v.putDrains(now)
	v.putGrants(now)
	v.putLeave()
	v.putPoll(now)
	v.stepped = true
	return v.out
}

func (v *View) say(format string, a ...any) {
	v.out = append(v.out, Log{fmt.Sprintf(format, a...)})
}

func (v *View) take(now time.Duration, in Input) {
	switch in := in.(type) {
	case Answered:
		if v.polls.answer(in) {
			v.caught = v.caught || v.applied && !in.More
		}
	case Applied:
		if in.Era > v.era {
			v.renew(in.Era)
		}
		if in.Era == v.era && in.Index >= v.index {
			v.apply(now, in)
		}
	case Listed:
		v.listed, v.own = true, slices.Clone(in.Own)
	case Hurry:
		v.polls.hurry = in.On
	case Halted:
		if !v.halted {
			v.halted = true
			v.say("this co-ordinator's part in the fleet has ended, queries are served as before: %v", in.Err)
		}
	}
}

// live says that a grant in that phase lets its machine be away, so that nothing new goes there.
func live(p maintenance.Phase) bool {
	return p == maintenance.Granted || p == maintenance.Acknowledged || p == maintenance.Out
}

func (v *View) apply(now time.Duration, a Applied) {
	if !v.applied || a.Now > v.agreed {
		v.agreed, v.agreedAt = a.Now, now
	}
	v.applied, v.index = true, a.Index
	if l, revision := a.State.Limits(); revision > 0 {
		v.limits = l
		if l.Lease > 0 {
			v.lease = l.Lease
		}
	}
	v.live = v.live[:0]
	clear(v.kinds)
	for _, it := range a.State.Items() {
		v.newest = max(v.newest, it.Fence)
		if !live(it.Phase) || it.Fence == 0 {
			continue
		}
		v.live = append(v.live, it)
		m, ok := a.State.Machine(it.Machine)
		if !ok {
			m = maintenance.Machine{Name: it.Machine, Kind: maintenance.Replica, Cell: -1}
		}
		v.kinds[it.Machine] = m
	}
	v.old = slices.DeleteFunc(v.old, func(o old) bool {
		m, ok := a.State.Machine(o.machine)
		return ok && m.Status == maintenance.Up && m.Started > o.start
	})
	if !v.caught {
		v.before = v.newest
	}
}

// putGrants hands out the told items for the site's file whenever they changed, none while cut off. The first Step
// always does, as the file may be that of a process before.
func (v *View) putGrants(now time.Duration) {
	var told []Grant
	agreed := v.agreed + longer(now-v.agreedAt)
	for _, it := range v.live {
		if before := it.Until - v.limits.SettleTime; !v.cut && it.Phase == maintenance.Acknowledged && agreed < before {
			told = append(told, Grant{it, before})
		}
	}
	if !v.stepped || !slices.Equal(told, v.grants) {
		v.grants = told
		v.out = append(v.out, Grants{slices.Clone(told)})
	}
}

// putLeave says once that this co-ordinator may go, if its own grant is told and was made after it started: one from
// before was for the process before it.
func (v *View) putLeave() {
	for _, it := range v.live {
		if v.cut || it.Machine != v.name || it.Phase != maintenance.Acknowledged || v.kinds[it.Machine].Kind != maintenance.Coordinator ||
			it.Fence <= v.before || it.Fence <= v.left {
			continue
		}
		v.left = it.Fence
		v.out = append(v.out, Leave{it.Fence})
	}
}

// longer is d by a clock that runs fast by the drift.
func longer(d time.Duration) time.Duration { return d + d/Drift }
