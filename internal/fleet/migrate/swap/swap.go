// Package swap plays a rolling swap of co-ordinators with pinned sessions in virtual time, with the real book and planner and
// co-ordinators that do what they are asked within a tick. It says how often sessions moved, and how long it took. It is pure:
// the same settings give the same result.
package swap

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
)

// Tick is the time between two steps of the planner, and what a word needs from a co-ordinator into the book.
const Tick = 500 * time.Millisecond

// Most is the virtual time after which a swap that does not end is given up.
const Most = 48 * time.Hour

// Settings of a swap.
type Settings struct {
	Coordinators int
	Sessions     int
	Room         float64 // of each, in its even share of the sessions
	Wave         int     // co-ordinators that go out at once
	Zones        int
	Replicas     int // with slots; 0: slots are not looked at
	PerSlot      int
	Away         time.Duration // that each is out for
	InFlight     int
	PerMinute    int
	Idle         int // of 100 sessions, those without an open query
	// Uneven: at the outset co-ordinators have from half to one and a half of their even share, in no order.
	Uneven bool
	Prefer migrate.Prefer
}

// Result of a swap.
type Result struct {
	Sessions int
	Moves    int     // adopted
	Each     float64 // moves a session
	Bound    int     // no plan makes fewer
	Took     time.Duration
	Forecast migrate.Forecast // before the first move
	InZone   int              // sessions that are in the zone where they began
	Steps    int
	Gone     int // sessions that were lost: 0
}

// Site is what is played: for tests that meddle with it between two ticks.
type Site struct {
	Now     time.Duration
	Book    *session.State
	Planner *migrate.Planner
	View    migrate.View
	Last    migrate.Plan
	Result  Result
	Around  func(step func()) // runs each step of the planner, to measure it; nil: it just runs

	set   Settings
	fence uint64
	first map[session.ID]string // zone
	back  map[string]time.Duration
	busy  func(session.ID) bool
}

// New lays out a site: the sessions evenly at the co-ordinators, which go out in the order of their names, zone after zone.
func New(s Settings) (*Site, error) {
	p := &Site{Now: time.Hour, Book: session.New(), Planner: migrate.New(migrate.Options{Prefer: s.Prefer}), set: s,
		first: map[session.ID]string{}, back: map[string]time.Duration{}}
	caps, share := map[string]int{}, (s.Sessions+s.Coordinators-1)/s.Coordinators
	for i := range s.Replicas {
		name := fmt.Sprintf("r%04d", i)
		p.View.Replicas = append(p.View.Replicas, name)
		caps[name] = s.Coordinators*((share+s.PerSlot-1)/s.PerSlot) + s.Coordinators
		p.View.PerSlot = s.PerSlot
	}
	p.View.Book, p.View.Slots, p.View.Away = p.Book, p.Book.Pool(), s.Away
	if err := p.apply(session.KindLimits, session.LimitsBody{Limits: session.Limits{
		Revision: 1, Caps: caps, InFlight: s.InFlight, PerMinute: s.PerMinute, StepTimeout: 10 * time.Second, IdleTimeout: time.Hour,
		Lease: 10 * time.Second, Grace: 10 * time.Second, MaxSessions: s.Sessions, MaxStateBytes: 1024, Slots: 4,
	}}); err != nil {
		return nil, err
	}
	begin := s.begin()
	for i := range s.Coordinators {
		c := migrate.Coordinator{Name: fmt.Sprintf("c%03d", i), Zone: fmt.Sprintf("z%d", i*s.Zones/s.Coordinators), Live: true,
			Rank: i / s.Wave, Room: migrate.Room{Sessions: int(s.Room * float64(share)), Queries: 1 << 20, Memory: 1 << 40}}
		var acts []session.Act
		for k := begin[i]; k < begin[i+1]; k++ {
			id := session.IDOf(1, fmt.Append(nil, k))
			p.first[id] = c.Zone
			acts = append(acts, session.Act{Kind: session.Claim, ID: id, Lane: uint8(k % 3)})
		}
		for part := range slices.Chunk(acts, session.MaxActs) {
			if err := p.apply(session.KindActs, session.ActsBody{From: c.Name, Acts: part}); err != nil {
				return nil, err
			}
		}
		if s.PerSlot > 0 {
			var shifts []session.Shift
			for _, r := range p.View.Replicas {
				shifts = append(shifts, session.Shift{To: c.Name, Replica: r, N: (len(acts) + s.PerSlot - 1) / s.PerSlot})
			}
			if len(shifts) > 0 {
				if err := p.apply(session.KindPlan, session.PlanBody{Shifts: shifts}); err != nil {
					return nil, err
				}
			}
		}
		p.View.Coordinators = append(p.View.Coordinators, c)
	}
	p.busy = func(id session.ID) bool { return int(id[0])*100 >= s.Idle*256 }
	return p, nil
}

// begin is the number of each co-ordinator's first session, and that of all behind them.
func (s *Settings) begin() []int {
	sum, sums := 0, make([]int, 1, s.Coordinators+1)
	for i := range s.Coordinators {
		weight := 2 * s.Coordinators
		if s.Uneven {
			weight = s.Coordinators + (i*7919)%s.Coordinators*2 // 7919 is prime: each once
		}
		sum += weight
		sums = append(sums, sum)
	}
	for i := range sums {
		sums[i] = sums[i] * s.Sessions / sum
	}
	return sums
}

// Play plays a whole swap.
func Play(s Settings) (Result, error) {
	p, err := New(s)
	if err != nil {
		return Result{}, err
	}
	begin := p.Now
	for !p.Done() {
		if p.Now > begin+Most {
			return p.Result, fmt.Errorf("not over after %v: %+v", Most, p.Last.Kept)
		}
		if err := p.Step(); err != nil {
			return p.Result, err
		}
	}
	r := &p.Result
	r.Sessions = s.Sessions
	r.Took, r.Each, r.Gone = p.Now-begin, float64(r.Moves)/float64(s.Sessions), s.Sessions-p.Book.Len()
	zones := map[string]string{}
	for _, c := range p.View.Coordinators {
		zones[c.Name] = c.Zone
	}
	p.Book.All(func(rec session.Record) bool {
		if zones[rec.Owner] == p.first[rec.ID] {
			r.InZone++
		}
		return true
	})
	return *r, nil
}

// Done says that all have been out and are back.
func (p *Site) Done() bool {
	return !slices.ContainsFunc(p.View.Coordinators, func(c migrate.Coordinator) bool { return c.Rank >= 0 || !c.Live })
}

// Step is one tick: the order of work goes on, co-ordinators act, the planner plans, and the plan is applied.
func (p *Site) Step() error {
	p.Now += Tick
	if p.Result.Steps == 0 {
		p.Result.Forecast = migrate.Foresee(p.Now, p.View, 0)
		p.Result.Bound = p.Result.Forecast.Bound
	}
	p.order()
	if err := p.act(); err != nil {
		return err
	}
	step := func() { p.Last = p.Planner.Step(p.Now, p.View) }
	if p.Around != nil {
		p.Around(step)
	} else {
		step()
	}
	p.Result.Steps++
	switch {
	case !p.Last.Empty():
		if err := p.apply(session.KindPlan, p.Last.Body); err != nil {
			return err
		}
		if why, n := p.Book.Refusals(); n > 0 {
			return fmt.Errorf("at %v %d parts of a plan are refused: %v", p.Now, n, why)
		}
	case p.Last.Tick:
		return p.apply(session.KindTick, session.TickBody{})
	}
	return nil
}

// order lets the next wave go once the one before is back, and each be out once it has no session any more.
func (p *Site) order() {
	next, all := -1, p.View.Coordinators
	for i := range all {
		c := &all[i]
		c.Room.Told = p.Book.Owned(c.Name)
		switch at, away := p.back[c.Name]; {
		case away && p.Now >= at:
			delete(p.back, c.Name)
			c.Live, c.Leaving, c.Rank = true, false, migrate.Stays
		case c.Leaving && c.Live && c.Room.Told == 0 && p.free(c.Name):
			c.Live, p.back[c.Name] = false, p.Now+p.set.Away
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
		if c.Leaving && c.Live && (len(c.Idle) == 0 || p.Now%(2*time.Second) == 0) { // it tells now and then
			c.Idle = c.Idle[:0]
			p.Book.ByOwner(c.Name, func(r session.Record) bool {
				if !p.busy(r.ID) && len(c.Idle) < migrate.IdleMost {
					c.Idle = append(c.Idle, r.ID)
				}
				return len(c.Idle) < migrate.IdleMost
			})
		}
	}
}

// free says that one holds no slots, and gives none away.
func (p *Site) free(co string) bool {
	for _, r := range p.View.Replicas {
		if p.Book.Pool().Held(co, r) > 0 {
			return false
		}
	}
	return len(p.Book.Pool().PendingReleases(co)) == 0
}

// act lets each co-ordinator hand and adopt what is its to, and let slots go.
func (p *Site) act() error {
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
