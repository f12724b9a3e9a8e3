// Package sessionctl is what the leader proposes for pinned sessions: the limits of the operators' file, each co-ordinator's
// share of slots, the release of who has been silent for longer than its lease, and the planner's moves. Pure: it looks at the agreed state and
// says what it wants changed. Nothing waits for an end: what is wanted still, is proposed again, and what came twice or
// late the agreed state refuses.
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
	// RetryInterval is between two proposals of one thing that the state does not show. Twice as long: a lost one costs so much
	// more; half: a slow council has most of them twice.
	RetryInterval = time.Second
	// PlanInterval is between steps of the planner. Twice as long: a session's move begins, or is called off, so much later; half:
	// twice the looks at all that is in flight.
	PlanInterval = 200 * time.Millisecond
	// MaxShifts shares are given out in one command. Twice as many: an entry twice as large; half: twice the entries at
	// a fleet's start.
	MaxShifts = 500
)

// Input is all that a step goes by.
type Input struct {
	Now         time.Duration // own monotonic
	AgreedTime  time.Duration // by which a command is proposed
	Sessions    *session.State
	Maintenance *maintenance.State
	// WantedLimits is what the operators' file says, without Caps and with the file's revision; Slots are those at each replica.
	WantedLimits    session.Limits
	SlotsPerReplica int
	// Coordinators are the co-ordinators of the inventory as the planner sees them, by name; SessionsPerSlot of their sessions share a slot at a
	// replica, at most.
	Coordinators    []migrate.Coordinator
	SessionsPerSlot int
	Paused          bool // by the operators
	// SilentFor is how long nothing was heard of a co-ordinator while this one leads.
	SilentFor func(name string) time.Duration
	// Result says what came of earlier proposals.
	Results []Result
}

// Result is the end of the waiting for one proposal: Known if it was applied, refused, or never entered the log; else it may
// be in it, and come at any later time.
type Result struct {
	Number       uint64
	OutcomeKnown bool
}

// release of a co-ordinator, by the number of its proposal. Once nobody knows what came of it, the end of a later one tells:
// entries are applied in their order, and that one entered after it.
type pendingRelease struct {
	number         uint64
	outcomeUnknown bool
}

// Proposal is a command for the part "sessions". What names it for the log; numbers grow.
type Proposal struct {
	Number            uint64
	Description, Kind string
	Body              any
}

// Controller is a leader's, or one's that may become it. Not for use by several goroutines at once.
type Controller struct {
	retryAfter map[string]time.Duration // what was proposed and not seen, and until when it is not proposed again
	lastNumber uint64                   // of the newest proposal
	// releasing are those whose release may still come, and are given no lease: the log may hold the entry for as long as it
	// has no majority.
	releasing map[string]*pendingRelease
	// lease is the longest that the fleet's limits, which go by a file of their own, let a co-ordinator have: those of now, or of
	// before until maxLeaseUntil.
	maxLease, maxLeaseUntil time.Duration
	planner                 *migrate.Planner
	plan                    migrate.Plan // of the last step
	plannedAt               time.Duration
}

// New makes one.
func New() *Controller {
	return &Controller{retryAfter: map[string]time.Duration{}, releasing: map[string]*pendingRelease{}, planner: migrate.New(migrate.Options{})}
}

// Reset forgets what holds for one term only. A leader knows that it leads once all that came before its term is applied, so
// no release of before comes later.
func (s *Controller) Reset() {
	clear(s.retryAfter)
	clear(s.releasing)
	s.planner, s.plan, s.plannedAt = migrate.New(migrate.Options{}), migrate.Plan{}, 0
}

// Plan is what the planner last said: its forecast, and which sessions it keeps and why.
func (s *Controller) Plan() migrate.Plan { return s.plan }

// Releasing says that a release of this co-ordinator may be under way: it is given no lease.
func (s *Controller) Releasing(name string) bool { return s.releasing[name] != nil }

// Step returns what to propose now.
func (s *Controller) Step(l Input) (out []Proposal) {
	s.handleResults(l.Results)
	fleet, _ := l.Maintenance.Limits()
	s.ObserveLease(l.Now, fleet.Lease)
	maps.DeleteFunc(s.retryAfter, func(_ string, until time.Duration) bool { return l.Now >= until })
	put := func(wait time.Duration, what, kind string, body any) bool {
		_, waits := s.retryAfter[what]
		if !waits {
			s.retryAfter[what] = l.Now + wait
			s.lastNumber++
			out = append(out, Proposal{s.lastNumber, what, kind, body})
		}
		return !waits
	}
	have, revision := l.Sessions.Limits()
	if want, ok := l.changedLimits(have); ok {
		put(RetryInterval, fmt.Sprintf("limits %d", want.Revision), session.KindLimits, session.LimitsBody{Limits: want})
		return out // what follows goes by them
	}
	if revision == 0 {
		return nil
	}
	need := have.SilentFor()
	if more := s.maxLease - have.Lease; more > 0 {
		need += more + more/100
	}
	for _, name := range l.silentCoordinators(need) {
		if s.Releasing(name) {
			continue
		}
		if put(RetryInterval, "release "+name, session.KindRelease, session.ReleaseBody{Name: name, Silent: l.SilentFor(name), At: l.AgreedTime}) {
			s.releasing[name] = &pendingRelease{number: s.lastNumber}
		}
	}
	if shifts := l.slotShifts(have); len(shifts) > 0 {
		put(RetryInterval, "shares of slots", session.KindPlan, session.PlanBody{Shifts: shifts})
	}
	if l.Now >= s.plannedAt+PlanInterval {
		s.plannedAt = l.Now
		s.plan = s.planner.Step(l.AgreedTime, l.plannerView())
		if !s.plan.Empty() { // the planner itself says again what came to nothing
			s.lastNumber++
			out = append(out, Proposal{s.lastNumber, "moves", session.KindPlan, s.plan.Body})
		}
	}
	unsure := slices.DeleteFunc(slices.Sorted(maps.Keys(s.releasing)), func(name string) bool { return !s.releasing[name].outcomeUnknown })
	// The ends of moves are found by agreed time; what came of a release, by a later entry.
	if l.Sessions.Moving() > 0 || s.plan.Tick || len(unsure) > 0 {
		if put(RetryInterval, "tick", session.KindTick, session.TickBody{}) {
			for _, name := range unsure {
				s.releasing[name] = &pendingRelease{number: s.lastNumber}
			}
		}
	}
	return out
}

// ObserveLease notes, at that own time, how long a lease is by the fleet's limits. One that knows only the limits of before has
// theirs: for as long after a shorter lease came into force as the longer one lasts. To be told while another leads, too.
func (s *Controller) ObserveLease(now, lease time.Duration) {
	if lease >= s.maxLease || now >= s.maxLeaseUntil {
		s.maxLease, s.maxLeaseUntil = lease, now+lease
	}
}

// done takes what came of proposals.
func (s *Controller) handleResults(all []Result) {
	for name, r := range s.releasing { // in any order: each by itself
		for _, d := range all {
			switch {
			case d.Number != r.number:
			case d.OutcomeKnown:
				delete(s.releasing, name)
			default:
				r.outcomeUnknown = true
			}
		}
	}
}

// view is what the planner goes by.
func (l *Input) plannerView() migrate.View {
	v := migrate.View{Book: l.Sessions, Slots: l.Sessions.Pool(), Coordinators: slices.Clone(l.Coordinators), SessionsPerSlot: l.SessionsPerSlot, Paused: l.Paused,
		Replicas: l.Sessions.Pool().Replicas()}
	limits, _ := l.Sessions.Limits()
	for i := range v.Coordinators {
		c := &v.Coordinators[i]
		c.Live = c.Live && l.SilentFor(c.Name) < limits.Lease
	}
	return v
}

// wanted are the limits that the file and the inventory come to, if they differ from those in force. Their revision has the
// file's in front: a file of an older one changes nothing, and replicas that come and go count up behind it.
func (l *Input) changedLimits(have session.Limits) (session.Limits, bool) {
	const room = 1 << 24
	if l.WantedLimits.Revision == 0 || l.WantedLimits.Revision < have.Revision/room {
		return have, false
	}
	want := l.WantedLimits
	want.Caps = map[string]int{}
	for _, m := range l.Maintenance.Machines() {
		if m.Kind == maintenance.Replica && m.Status != maintenance.Gone {
			want.Caps[m.Name] = l.SlotsPerReplica
		}
	}
	want.Revision = max(l.WantedLimits.Revision*room, have.Revision+1)
	same := want
	same.Revision, same.Caps = have.Revision, have.Caps
	if len(want.Caps) == 0 || l.WantedLimits.Revision == have.Revision/room && maps.Equal(want.Caps, have.Caps) && fmt.Sprint(same) == fmt.Sprint(have) {
		return have, false
	}
	return want, true
}

// coordinators of the agreed inventory, by name.
func (l *Input) coordinators() (out []maintenance.Machine) {
	for _, m := range l.Maintenance.Machines() {
		if m.Kind == maintenance.Coordinator {
			out = append(out, m)
		}
	}
	return out
}

// silent are the co-ordinators that have something and have been silent for at least that long.
func (l *Input) silentCoordinators(need time.Duration) (out []string) {
	if l.AgreedTime < l.Sessions.BlockedUntil() {
		return nil
	}
	names := map[string]bool{} // whether it holds slots in its hand
	for _, m := range l.coordinators() {
		names[m.Name] = false
	}
	held := l.Sessions.Pool()
	for _, r := range held.Replicas() {
		held.EachHolder(r, func(co string, _ int) { names[co] = true })
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if l.SilentFor(name) >= need && (names[name] || l.Sessions.Owned(name) > 0 || l.holdsSlots(name)) {
			out = append(out, name)
		}
	}
	return out
}

func (l *Input) holdsSlots(name string) bool {
	p := l.Sessions.Pool()
	return slices.ContainsFunc(p.Replicas(), func(r string) bool { return p.Held(name, r) > 0 })
}
