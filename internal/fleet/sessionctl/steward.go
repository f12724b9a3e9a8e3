// Package sessionctl decides what the leader proposes for pinned sessions: the limits of the operators' file, each co-ordinator's
// share of slots, the release of co-ordinators that have been silent for longer than their lease, and the planner's moves. It has no
// clock, goroutine or I/O: it compares the agreed state with what is wanted and returns proposals. It doesn't wait for their results:
// a change that is still needed is proposed again, and the agreed state rejects duplicate and late commands.
package sessionctl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
)

const (
	// RetryInterval is the time until a change is proposed again that the agreed state doesn't show yet. A longer interval delays
	// recovery from a lost proposal; with half of it a slow raft group gets most proposals twice.
	RetryInterval = time.Second
	// PlanInterval is the time between steps of the planner. A longer interval delays the start and the cancellation of session
	// moves; each step walks over all moves in flight.
	PlanInterval = 200 * time.Millisecond
	// MaxShifts is the maximum of slot shifts in one command. It bounds the size of a log entry; with half of it a fleet's start
	// takes twice the entries.
	MaxShifts = 500
)

// Input holds the state, settings and results that one step of the controller reads.
type Input struct {
	Now         time.Duration // local monotonic time
	AgreedTime  time.Duration // agreed time of the commands to propose
	Sessions    *session.State
	Maintenance *maintenance.State
	// WantedLimits are the limits of the operators' file, without Caps and with the file's revision; SlotsPerReplica is the file's
	// number of slots at each replica.
	WantedLimits    session.Limits
	SlotsPerReplica int
	// Coordinators are the co-ordinators of the inventory as input to the planner, by name. At most SessionsPerSlot of their
	// sessions share a slot at a replica.
	Coordinators    []migrate.Coordinator
	SessionsPerSlot int
	Paused          bool // whether the operators have paused moves
	// SilentFor returns how long nothing was heard of a co-ordinator while this one leads.
	SilentFor func(name string) time.Duration
	// Results are the results of earlier proposals.
	Results []Result
}

// Result reports the end of one proposal. OutcomeKnown is set if the command was applied, rejected, or never entered the log. Else the
// command may be in the log and may be applied at any later time.
type Result struct {
	Number       uint64
	OutcomeKnown bool
}

// pendingRelease is the release of a co-ordinator, with the number of its proposal. If its outcome is unknown, the result of a later
// proposal settles it: entries are applied in log order, and the later one entered the log after it.
type pendingRelease struct {
	number         uint64
	outcomeUnknown bool
}

// Proposal is a command for the part "sessions" of the agreed state. Description names it in logs; numbers increase.
type Proposal struct {
	Number            uint64
	Description, Kind string
	Body              any
}

// Controller is the session controller of a co-ordinator that leads or may lead. It is not safe for concurrent use.
type Controller struct {
	retryAfter map[string]time.Duration // by description of a proposal: the time before which it isn't repeated
	lastNumber uint64                   // number of the newest proposal
	// releasing are the co-ordinators whose release may still be applied. They get no lease: the entry may stay uncommitted in the
	// log for as long as there is no majority.
	releasing map[string]*pendingRelease
	// maxLease is the longest lease that a co-ordinator may have by the fleet's limits, which have a revision of their own: by the
	// current limits, or until maxLeaseUntil by earlier ones.
	maxLease, maxLeaseUntil time.Duration
	planner                 *migrate.Planner
	plan                    migrate.Plan  // the planner's result in the last step
	plannedAt               time.Duration // local time of the planner's last step
}

// New returns a controller.
func New() *Controller {
	return &Controller{retryAfter: map[string]time.Duration{}, releasing: map[string]*pendingRelease{}, planner: migrate.New(migrate.Options{})}
}

// Reset drops what is valid for one term only. A leader learns that it leads after all entries of earlier terms are applied, so no
// release of an earlier term can be applied later.
func (c *Controller) Reset() {
	clear(c.retryAfter)
	clear(c.releasing)
	c.planner, c.plan, c.plannedAt = migrate.New(migrate.Options{}), migrate.Plan{}, 0
}

// Plan returns the planner's last result: its forecast, and which sessions don't move and why.
func (c *Controller) Plan() migrate.Plan { return c.plan }

// Releasing reports whether a release of this co-ordinator may be in flight. It must not get a lease meanwhile.
func (c *Controller) Releasing(name string) bool { return c.releasing[name] != nil }

// Step returns the commands to propose now.
func (c *Controller) Step(in Input) (out []Proposal) {
	c.handleResults(in.Results)
	fleetLimits, _ := in.Maintenance.Limits()
	c.ObserveLease(in.Now, fleetLimits.Lease)
	maps.DeleteFunc(c.retryAfter, func(_ string, until time.Duration) bool { return in.Now >= until })
	propose := func(wait time.Duration, description, kind string, body any) bool {
		_, waiting := c.retryAfter[description]
		if !waiting {
			c.retryAfter[description] = in.Now + wait
			c.lastNumber++
			out = append(out, Proposal{c.lastNumber, description, kind, body})
		}
		return !waiting
	}
	current, revision := in.Sessions.Limits()
	if want, ok := in.changedLimits(current); ok {
		propose(RetryInterval, fmt.Sprintf("limits %d", want.Revision), session.KindLimits, session.LimitsBody{Limits: want})
		return out // the following steps depend on the limits
	}
	if revision == 0 {
		return nil
	}
	minSilence := current.SilentFor()
	if longer := c.maxLease - current.Lease; longer > 0 {
		minSilence += longer + longer/100
	}
	for _, name := range in.silentCoordinators(minSilence) {
		if c.Releasing(name) {
			continue
		}
		if propose(RetryInterval, "release "+name, session.KindRelease, session.ReleaseBody{Name: name, Silent: in.SilentFor(name), At: in.AgreedTime}) {
			c.releasing[name] = &pendingRelease{number: c.lastNumber}
		}
	}
	if shifts := in.slotShifts(current); len(shifts) > 0 {
		propose(RetryInterval, "shares of slots", session.KindPlan, session.PlanBody{Shifts: shifts})
	}
	if in.Now >= c.plannedAt+PlanInterval {
		c.plannedAt = in.Now
		c.plan = c.planner.Step(in.AgreedTime, in.plannerView())
		if !c.plan.Empty() { // the planner itself repeats failed moves
			c.lastNumber++
			out = append(out, Proposal{c.lastNumber, "moves", session.KindPlan, c.plan.Body})
		}
	}
	unknown := slices.DeleteFunc(slices.Sorted(maps.Keys(c.releasing)), func(name string) bool { return !c.releasing[name].outcomeUnknown })
	// A tick advances agreed time, by which moves expire, and its result settles releases with an unknown outcome.
	if in.Sessions.Moving() > 0 || c.plan.Tick || len(unknown) > 0 {
		if propose(RetryInterval, "tick", session.KindTick, session.TickBody{}) {
			for _, name := range unknown {
				c.releasing[name] = &pendingRelease{number: c.lastNumber}
			}
		}
	}
	return out
}

// ObserveLease records the lease duration of the fleet's limits at the local time now. A co-ordinator that hasn't received new limits
// yet may still get a lease of the earlier, longer duration, so the longer one counts until a lease of that duration has expired.
// It must be called while another co-ordinator leads, too.
func (c *Controller) ObserveLease(now, lease time.Duration) {
	if lease >= c.maxLease || now >= c.maxLeaseUntil {
		c.maxLease, c.maxLeaseUntil = lease, now+lease
	}
}

// handleResults applies the results of proposals to pending releases.
func (c *Controller) handleResults(results []Result) {
	for name, r := range c.releasing { // order doesn't matter: entries are independent
		for _, d := range results {
			switch {
			case d.Number != r.number:
			case d.OutcomeKnown:
				delete(c.releasing, name)
			default:
				r.outcomeUnknown = true
			}
		}
	}
}

// plannerView returns the planner's input.
func (in *Input) plannerView() migrate.View {
	v := migrate.View{Book: in.Sessions, Slots: in.Sessions.Pool(), Coordinators: slices.Clone(in.Coordinators), SessionsPerSlot: in.SessionsPerSlot, Paused: in.Paused,
		Replicas: in.Sessions.Pool().Replicas()}
	limits, _ := in.Sessions.Limits()
	for i := range v.Coordinators {
		coordinator := &v.Coordinators[i]
		coordinator.Live = coordinator.Live && in.SilentFor(coordinator.Name) < limits.Lease
	}
	return v
}

// changedLimits returns the limits by the operators' file and the inventory, if they differ from those in force. The high part of
// their revision is the file's revision, so an older file changes nothing; the low part counts changes of the set of replicas.
func (in *Input) changedLimits(current session.Limits) (session.Limits, bool) {
	const revisionFactor = 1 << 24
	if in.WantedLimits.Revision == 0 || in.WantedLimits.Revision < current.Revision/revisionFactor {
		return current, false
	}
	want := in.WantedLimits
	want.Caps = map[string]int{}
	for _, m := range in.Maintenance.Machines() {
		if m.Kind == maintenance.Replica && m.Status != maintenance.Gone {
			want.Caps[m.Name] = in.SlotsPerReplica
		}
	}
	want.Revision = max(in.WantedLimits.Revision*revisionFactor, current.Revision+1)
	normalized := want
	normalized.Revision, normalized.Caps = current.Revision, current.Caps
	if len(want.Caps) == 0 || in.WantedLimits.Revision == current.Revision/revisionFactor && maps.Equal(want.Caps, current.Caps) && fmt.Sprint(normalized) == fmt.Sprint(current) {
		return current, false
	}
	return want, true
}

// coordinators returns the co-ordinators of the agreed inventory, by name.
func (in *Input) coordinators() (out []maintenance.Machine) {
	for _, m := range in.Maintenance.Machines() {
		if m.Kind == maintenance.Coordinator {
			out = append(out, m)
		}
	}
	return out
}

// silentCoordinators returns the co-ordinators that have sessions or slots and have been silent for at least minSilence.
func (in *Input) silentCoordinators(minSilence time.Duration) (out []string) {
	if in.AgreedTime < in.Sessions.BlockedUntil() {
		return nil
	}
	holds := map[string]bool{} // whether the co-ordinator holds slots
	for _, m := range in.coordinators() {
		holds[m.Name] = false
	}
	slots := in.Sessions.Pool()
	for _, r := range slots.Replicas() {
		slots.EachHolder(r, func(coordinator string, _ int) { holds[coordinator] = true })
	}
	for _, name := range slices.Sorted(maps.Keys(holds)) {
		if in.SilentFor(name) >= minSilence && (holds[name] || in.Sessions.Owned(name) > 0 || in.holdsSlots(name)) {
			out = append(out, name)
		}
	}
	return out
}

// holdsSlots reports whether a co-ordinator may use slots at any replica, held or lent to it.
func (in *Input) holdsSlots(name string) bool {
	p := in.Sessions.Pool()
	return slices.ContainsFunc(p.Replicas(), func(r string) bool { return p.Held(name, r) > 0 })
}
