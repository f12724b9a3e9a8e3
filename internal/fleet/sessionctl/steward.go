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
	// Again is between two proposals of one thing that the state does not show. Twice as long: a lost one costs so much
	// more; half: a slow council has most of them twice.
	Again = time.Second
	// PlanEvery is between steps of the planner. Twice as long: a session's move begins, or is called off, so much later; half:
	// twice the looks at all that is in flight.
	PlanEvery = 200 * time.Millisecond
	// ShiftsMost shares are given out in one command. Twice as many: an entry twice as large; half: twice the entries at
	// a fleet's start.
	ShiftsMost = 500
)

// Look is all that a step goes by.
type Look struct {
	Now    time.Duration // own monotonic
	Agreed time.Duration // by which a command is proposed
	Book   *session.State
	Order  *maintenance.State
	// Want is what the operators' file says, without Caps and with the file's revision; Slots are those at each replica.
	Want  session.Limits
	Slots int
	// Sites are the co-ordinators of the inventory as the planner sees them, by name; PerSlot of their sessions share a slot at a
	// replica, at most.
	Sites   []migrate.Coordinator
	PerSlot int
	Paused  bool // by the operators
	// Silent is how long nothing was heard of a co-ordinator while this one leads.
	Silent func(name string) time.Duration
	// Done says what came of earlier proposals.
	Done []Done
}

// Done is the end of the waiting for one proposal: Known if it was applied, refused, or never entered the log; else it may
// be in it, and come at any later time.
type Done struct {
	No    uint64
	Known bool
}

// release of a co-ordinator, by the number of its proposal. Once nobody knows what came of it, the end of a later one tells:
// entries are applied in their order, and that one entered after it.
type release struct {
	no     uint64
	unsure bool
}

// Propose is a command for the part "sessions". What names it for the log; numbers grow.
type Propose struct {
	No         uint64
	What, Kind string
	Body       any
}

// Steward is a leader's, or one's that may become it. Not for use by several goroutines at once.
type Steward struct {
	asked map[string]time.Duration // what was proposed and not seen, and until when it is not proposed again
	no    uint64                   // of the newest proposal
	// releasing are those whose release may still come, and are given no lease: the log may hold the entry for as long as it
	// has no majority.
	releasing map[string]*release
	// lease is the longest that the fleet's limits, which go by a file of their own, let a co-ordinator have: those of now, or of
	// before until leaseBy.
	lease, leaseBy time.Duration
	planner        *migrate.Planner
	said           migrate.Plan // of the last step
	planAt         time.Duration
}

// New makes one.
func New() *Steward {
	return &Steward{asked: map[string]time.Duration{}, releasing: map[string]*release{}, planner: migrate.New(migrate.Options{})}
}

// Reset forgets what holds for one term only. A leader knows that it leads once all that came before its term is applied, so
// no release of before comes later.
func (s *Steward) Reset() {
	clear(s.asked)
	clear(s.releasing)
	s.planner, s.said, s.planAt = migrate.New(migrate.Options{}), migrate.Plan{}, 0
}

// Plan is what the planner last said: its forecast, and which sessions it keeps and why.
func (s *Steward) Plan() migrate.Plan { return s.said }

// Releasing says that a release of this co-ordinator may be under way: it is given no lease.
func (s *Steward) Releasing(name string) bool { return s.releasing[name] != nil }

// Step returns what to propose now.
func (s *Steward) Step(l Look) (out []Propose) {
	s.done(l.Done)
	fleet, _ := l.Order.Limits()
	s.Lease(l.Now, fleet.Lease)
	maps.DeleteFunc(s.asked, func(_ string, until time.Duration) bool { return l.Now >= until })
	put := func(wait time.Duration, what, kind string, body any) bool {
		_, waits := s.asked[what]
		if !waits {
			s.asked[what] = l.Now + wait
			s.no++
			out = append(out, Propose{s.no, what, kind, body})
		}
		return !waits
	}
	have, revision := l.Book.Limits()
	if want, ok := l.wanted(have); ok {
		put(Again, fmt.Sprintf("limits %d", want.Revision), session.KindLimits, session.LimitsBody{Limits: want})
		return out // what follows goes by them
	}
	if revision == 0 {
		return nil
	}
	need := have.SilentFor()
	if more := s.lease - have.Lease; more > 0 {
		need += more + more/100
	}
	for _, name := range l.silent(need) {
		if s.Releasing(name) {
			continue
		}
		if put(Again, "release "+name, session.KindRelease, session.ReleaseBody{Name: name, Silent: l.Silent(name), At: l.Agreed}) {
			s.releasing[name] = &release{no: s.no}
		}
	}
	if shifts := l.shares(have); len(shifts) > 0 {
		put(Again, "shares of slots", session.KindPlan, session.PlanBody{Shifts: shifts})
	}
	if l.Now >= s.planAt+PlanEvery {
		s.planAt = l.Now
		s.said = s.planner.Step(l.Agreed, l.view())
		if !s.said.Empty() { // the planner itself says again what came to nothing
			s.no++
			out = append(out, Propose{s.no, "moves", session.KindPlan, s.said.Body})
		}
	}
	unsure := slices.DeleteFunc(slices.Sorted(maps.Keys(s.releasing)), func(name string) bool { return !s.releasing[name].unsure })
	// The ends of moves are found by agreed time; what came of a release, by a later entry.
	if l.Book.Moving() > 0 || s.said.Tick || len(unsure) > 0 {
		if put(Again, "tick", session.KindTick, session.TickBody{}) {
			for _, name := range unsure {
				s.releasing[name] = &release{no: s.no}
			}
		}
	}
	return out
}

// Lease notes, at that own time, how long a lease is by the fleet's limits. One that knows only the limits of before has
// theirs: for as long after a shorter lease came into force as the longer one lasts. To be told while another leads, too.
func (s *Steward) Lease(now, lease time.Duration) {
	if lease >= s.lease || now >= s.leaseBy {
		s.lease, s.leaseBy = lease, now+lease
	}
}

// done takes what came of proposals.
func (s *Steward) done(all []Done) {
	for name, r := range s.releasing { // in any order: each by itself
		for _, d := range all {
			switch {
			case d.No != r.no:
			case d.Known:
				delete(s.releasing, name)
			default:
				r.unsure = true
			}
		}
	}
}

// view is what the planner goes by.
func (l *Look) view() migrate.View {
	v := migrate.View{Book: l.Book, Slots: l.Book.Pool(), Coordinators: slices.Clone(l.Sites), PerSlot: l.PerSlot, Paused: l.Paused,
		Replicas: l.Book.Pool().Replicas()}
	limits, _ := l.Book.Limits()
	for i := range v.Coordinators {
		c := &v.Coordinators[i]
		c.Live = c.Live && l.Silent(c.Name) < limits.Lease
	}
	return v
}

// wanted are the limits that the file and the inventory come to, if they differ from those in force. Their revision has the
// file's in front: a file of an older one changes nothing, and replicas that come and go count up behind it.
func (l *Look) wanted(have session.Limits) (session.Limits, bool) {
	const room = 1 << 24
	if l.Want.Revision == 0 || l.Want.Revision < have.Revision/room {
		return have, false
	}
	want := l.Want
	want.Caps = map[string]int{}
	for _, m := range l.Order.Machines() {
		if m.Kind == maintenance.Replica && m.Status != maintenance.Gone {
			want.Caps[m.Name] = l.Slots
		}
	}
	want.Revision = max(l.Want.Revision*room, have.Revision+1)
	same := want
	same.Revision, same.Caps = have.Revision, have.Caps
	if len(want.Caps) == 0 || l.Want.Revision == have.Revision/room && maps.Equal(want.Caps, have.Caps) && fmt.Sprint(same) == fmt.Sprint(have) {
		return have, false
	}
	return want, true
}

// coordinators of the agreed inventory, by name.
func (l *Look) coordinators() (out []maintenance.Machine) {
	for _, m := range l.Order.Machines() {
		if m.Kind == maintenance.Coordinator {
			out = append(out, m)
		}
	}
	return out
}

// silent are the co-ordinators that have something and have been silent for at least that long.
func (l *Look) silent(need time.Duration) (out []string) {
	if l.Agreed < l.Book.BlockedUntil() {
		return nil
	}
	names := map[string]bool{} // whether it holds slots in its hand
	for _, m := range l.coordinators() {
		names[m.Name] = false
	}
	held := l.Book.Pool()
	for _, r := range held.Replicas() {
		held.Hands(r, func(co string, _ int) { names[co] = true })
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if l.Silent(name) >= need && (names[name] || l.Book.Owned(name) > 0 || l.holds(name)) {
			out = append(out, name)
		}
	}
	return out
}

func (l *Look) holds(name string) bool {
	p := l.Book.Pool()
	return slices.ContainsFunc(p.Replicas(), func(r string) bool { return p.Held(name, r) > 0 })
}
