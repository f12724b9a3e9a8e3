// Package swap simulates a rolling swap of co-ordinators with pinned sessions in virtual time. It uses the real book and planner,
// and co-ordinators that carry out each request within a tick. It reports how often sessions moved and how long the swap took. The
// package is pure: the same settings give the same result.
package swap

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
)

// TickInterval is the time between two steps of the planner, and the time that an act of a co-ordinator takes to reach the book.
const TickInterval = 500 * time.Millisecond

// MaxDuration is the virtual time after which a swap that has not ended is aborted.
const MaxDuration = 48 * time.Hour

// Settings configures a swap.
type Settings struct {
	Coordinators    int
	Sessions        int
	CapacityFactor  float64 // capacity of each co-ordinator, as a multiple of its even share of the sessions
	WaveSize        int     // co-ordinators that go out together
	Zones           int
	Replicas        int // replicas with slots; 0: slots are ignored
	SessionsPerSlot int
	Outage          time.Duration // how long each co-ordinator is out
	InFlight        int
	PerMinute       int
	IdlePercent     int // percentage of sessions without an open query
	// Uneven gives each co-ordinator between half and one and a half of its even share of sessions at the start, in scrambled
	// order.
	Uneven bool
	Prefer migrate.Prefer
}

// Result is the outcome of a swap.
type Result struct {
	Sessions        int
	Moves           int // moves that were adopted
	MovesPerSession float64
	Bound           int // lower bound on the moves of any plan
	Duration        time.Duration
	Forecast        migrate.Forecast // made before the first move
	SameZone        int              // sessions that end in the zone where they began
	Steps           int
	Lost            int // sessions that were lost; 0 is correct
}

// Site is the simulated site. Its fields are exported so that tests can change them between two ticks.
type Site struct {
	Now      time.Duration
	Book     *session.State
	Planner  *migrate.Planner
	View     migrate.View
	LastPlan migrate.Plan
	Result   Result
	WrapStep func(step func()) // called with each step of the planner, for measurements; must run it; nil: steps run directly

	settings    Settings
	fence       uint64
	initialZone map[session.ID]string    // zone in which each session began
	backAt      map[string]time.Duration // when each co-ordinator that is out will be back
	busy        func(session.ID) bool    // whether a session has an open query
}

// New lays out a site: the sessions are distributed over the co-ordinators, which go out in the order of their names, zone by
// zone.
func New(s Settings) (*Site, error) {
	p := &Site{Now: time.Hour, Book: session.New(), Planner: migrate.New(migrate.Options{Prefer: s.Prefer}), settings: s,
		initialZone: map[session.ID]string{}, backAt: map[string]time.Duration{}}
	caps, evenShare := map[string]int{}, (s.Sessions+s.Coordinators-1)/s.Coordinators
	for i := range s.Replicas {
		name := fmt.Sprintf("r%04d", i)
		p.View.Replicas = append(p.View.Replicas, name)
		caps[name] = s.Coordinators*((evenShare+s.SessionsPerSlot-1)/s.SessionsPerSlot) + s.Coordinators
		p.View.SessionsPerSlot = s.SessionsPerSlot
	}
	p.View.Book, p.View.Slots, p.View.Outage = p.Book, p.Book.Pool(), s.Outage
	if err := p.apply(session.KindLimits, session.LimitsBody{Limits: session.Limits{
		Revision: 1, Caps: caps, InFlight: s.InFlight, PerMinute: s.PerMinute, StepTimeout: 10 * time.Second, IdleTimeout: time.Hour,
		Lease: 10 * time.Second, Grace: 10 * time.Second, MaxSessions: s.Sessions, MaxStateBytes: 1024, Slots: 4,
	}}); err != nil {
		return nil, err
	}
	begin := s.firstSessions()
	for i := range s.Coordinators {
		c := migrate.Coordinator{Name: fmt.Sprintf("c%03d", i), Zone: fmt.Sprintf("z%d", i*s.Zones/s.Coordinators), Live: true,
			Rank: i / s.WaveSize, Capacity: migrate.Capacity{MaxSessions: int(s.CapacityFactor * float64(evenShare)), MaxQueries: 1 << 20, FreeMemory: 1 << 40}}
		var acts []session.Act
		for k := begin[i]; k < begin[i+1]; k++ {
			id := session.IDOf(1, fmt.Append(nil, k))
			p.initialZone[id] = c.Zone
			acts = append(acts, session.Act{Kind: session.Claim, ID: id, Lane: uint8(k % 3)})
		}
		for part := range slices.Chunk(acts, session.MaxActs) {
			if err := p.apply(session.KindActs, session.ActsBody{From: c.Name, Acts: part}); err != nil {
				return nil, err
			}
		}
		if s.SessionsPerSlot > 0 {
			var shifts []session.Shift
			for _, r := range p.View.Replicas {
				shifts = append(shifts, session.Shift{To: c.Name, Replica: r, N: (len(acts) + s.SessionsPerSlot - 1) / s.SessionsPerSlot})
			}
			if len(shifts) > 0 {
				if err := p.apply(session.KindPlan, session.PlanBody{Shifts: shifts}); err != nil {
					return nil, err
				}
			}
		}
		p.View.Coordinators = append(p.View.Coordinators, c)
	}
	p.busy = func(id session.ID) bool { return int(id[0])*100 >= s.IdlePercent*256 }
	return p, nil
}

// firstSessions returns the number of the first session of each co-ordinator, followed by the number of sessions.
func (s *Settings) firstSessions() []int {
	sum, sums := 0, make([]int, 1, s.Coordinators+1)
	for i := range s.Coordinators {
		weight := 2 * s.Coordinators
		if s.Uneven {
			weight = s.Coordinators + (i*7919)%s.Coordinators*2 // 7919 is prime, so that each remainder occurs once
		}
		sum += weight
		sums = append(sums, sum)
	}
	for i := range sums {
		sums[i] = sums[i] * s.Sessions / sum
	}
	return sums
}

// Run simulates a whole swap.
func Run(s Settings) (Result, error) {
	p, err := New(s)
	if err != nil {
		return Result{}, err
	}
	begin := p.Now
	for !p.Done() {
		if p.Now > begin+MaxDuration {
			return p.Result, fmt.Errorf("swap not finished after %v, deferred sessions: %+v", MaxDuration, p.LastPlan.Deferred)
		}
		if err := p.Step(); err != nil {
			return p.Result, err
		}
	}
	r := &p.Result
	r.Sessions = s.Sessions
	r.Duration, r.MovesPerSession, r.Lost = p.Now-begin, float64(r.Moves)/float64(s.Sessions), s.Sessions-p.Book.Len()
	zones := map[string]string{}
	for _, c := range p.View.Coordinators {
		zones[c.Name] = c.Zone
	}
	p.Book.All(func(rec session.Record) bool {
		if zones[rec.Owner] == p.initialZone[rec.ID] {
			r.SameZone++
		}
		return true
	})
	return *r, nil
}

// Done reports whether all co-ordinators have been out and are back.
func (p *Site) Done() bool {
	return !slices.ContainsFunc(p.View.Coordinators, func(c migrate.Coordinator) bool { return c.Rank >= 0 || !c.Live })
}

// Step simulates one tick: the order of work advances, co-ordinators act, the planner makes a plan and the plan is applied.
func (p *Site) Step() error {
	p.Now += TickInterval
	if p.Result.Steps == 0 {
		p.Result.Forecast = migrate.NewForecast(p.Now, p.View, 0)
		p.Result.Bound = p.Result.Forecast.Bound
	}
	p.advanceWaves()
	if err := p.runCoordinators(); err != nil {
		return err
	}
	step := func() { p.LastPlan = p.Planner.Step(p.Now, p.View) }
	if p.WrapStep != nil {
		p.WrapStep(step)
	} else {
		step()
	}
	p.Result.Steps++
	switch {
	case !p.LastPlan.Empty():
		if err := p.apply(session.KindPlan, p.LastPlan.Body); err != nil {
			return err
		}
		if reasons, n := p.Book.Refusals(); n > 0 {
			return fmt.Errorf("at %v: %d parts of a plan were refused: %v", p.Now, n, reasons)
		}
	case p.LastPlan.Tick:
		return p.apply(session.KindTick, session.TickBody{})
	}
	return nil
}

// advanceWaves starts the next wave once the previous one is back, and takes co-ordinators out once they have no sessions left.
func (p *Site) advanceWaves() {
	next, all := -1, p.View.Coordinators
	for i := range all {
		c := &all[i]
		c.Capacity.OwnedAtReport = p.Book.Owned(c.Name)
		switch at, out := p.backAt[c.Name]; {
		case out && p.Now >= at:
			delete(p.backAt, c.Name)
			c.Live, c.Leaving, c.Rank = true, false, migrate.RankNone
		case c.Leaving && c.Live && c.Capacity.OwnedAtReport == 0 && p.holdsNoSlots(c.Name):
			c.Live, p.backAt[c.Name] = false, p.Now+p.settings.Outage
		}
		if c.Rank >= 0 && (next < 0 || c.Rank < next) {
			next = c.Rank
		}
	}
	for i := range all {
		c := &all[i]
		if c.Rank == next && next >= 0 && !c.Leaving {
			c.Leaving = true
		}
		if c.Leaving && c.Live && (len(c.Idle) == 0 || p.Now%(2*time.Second) == 0) { // it reports every two seconds, or at once if it has reported no idle session
			c.Idle = c.Idle[:0]
			p.Book.ByOwner(c.Name, func(r session.Record) bool {
				if !p.busy(r.ID) && len(c.Idle) < migrate.MaxExamined {
					c.Idle = append(c.Idle, r.ID)
				}
				return len(c.Idle) < migrate.MaxExamined
			})
		}
	}
}

// holdsNoSlots reports whether a co-ordinator holds no slots and has no pending releases.
func (p *Site) holdsNoSlots(co string) bool {
	for _, r := range p.View.Replicas {
		if p.Book.Pool().Held(co, r) > 0 {
			return false
		}
	}
	return len(p.Book.Pool().PendingReleases(co)) == 0
}

// runCoordinators lets each co-ordinator hand over and adopt its sessions and release slots.
func (p *Site) runCoordinators() error {
	acts := map[string][]session.Act{}
	p.Book.Moves(func(r session.Record) bool {
		a := session.Act{Kind: session.HandOver, ID: r.ID, Epoch: r.Epoch, Fence: r.Fence, Seq: r.Seq, Lane: r.Lane}
		if r.Phase == session.HandedOver {
			a.Kind = session.Adopt
			p.Result.Moves++
		}
		acts[r.Owner] = append(acts[r.Owner], a)
		return true
	})
	for _, t := range p.Book.Pool().Transfers() {
		if co := t.Releaser(); co != "" {
			acts[co] = append(acts[co], session.Act{Kind: session.Freed, Fence: t.Fence})
		}
	}
	for _, c := range p.View.Coordinators {
		if len(acts[c.Name]) > 0 {
			if err := p.apply(session.KindActs, session.ActsBody{From: c.Name, Acts: acts[c.Name]}); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Site) apply(kind string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return p.Book.Apply(p.Now, func() uint64 { p.fence++; return p.fence }, kind, raw)
}
