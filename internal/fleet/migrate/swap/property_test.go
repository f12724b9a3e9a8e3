package swap

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
)

// planChecker checks each plan against the book and against its own record of earlier plans.
type planChecker struct {
	t             *rapid.T
	p             *Site
	offerTimes    []time.Duration     // times of the offers that were applied
	offeredBefore map[session.ID]bool // sessions with an earlier offer
	unsafe        map[session.ID]bool
}

func (j *planChecker) coordinator(name string) *migrate.Coordinator {
	for i := range j.p.View.Coordinators {
		if c := &j.p.View.Coordinators[i]; c.Name == name {
			return c
		}
	}
	return nil
}

// checkPlan checks a plan before it is applied.
func (j *planChecker) checkPlan(plan migrate.Plan) {
	t, p := j.t, j.p
	inbound, openPerSession := map[string]int{}, map[string]float64{}
	p.Book.Moves(func(r session.Record) bool {
		if r.Phase == session.Offered {
			inbound[r.To]++
		}
		return true
	})
	highestLane, offered := map[string]uint8{}, map[session.ID]bool{}
	for _, o := range plan.Body.Offers {
		r, ok := p.Book.Get(o.ID)
		from, to := j.coordinator(o.From), j.coordinator(o.To)
		if !ok || r.Phase != session.Pinned || r.Owner != o.From || r.Epoch != o.Epoch {
			t.Fatalf("offer of %v, whose record is %+v", o, r)
		}
		if !from.Leaving || !from.Live || to == nil || to.Leaving || !to.Live || to == from || p.View.Paused {
			t.Fatalf("offer from %+v to %+v", from, to)
		}
		if j.unsafe[o.ID] {
			t.Fatalf("offer of %v, which has an open unsafe query", o.ID)
		}
		inbound[o.To]++
		openPerSession[o.To] = max(openPerSession[o.To], float64(from.Capacity.OpenQueries)/float64(max(1, p.Book.Owned(o.From))))
		highestLane[o.From] = max(highestLane[o.From], r.Lane)
		offered[o.ID] = true
	}
	for _, c := range p.View.Coordinators {
		n := p.Book.Owned(c.Name) + inbound[c.Name]
		if _, offers := openPerSession[c.Name]; !offers {
			continue
		}
		if n > c.Capacity.MaxSessions {
			t.Fatalf("%s would own %d sessions, its limit is %d", c.Name, n, c.Capacity.MaxSessions)
		}
		for _, r := range p.View.Replicas {
			if held := p.Book.Pool().Held(c.Name, r); n > held*p.View.SessionsPerSlot {
				t.Fatalf("%s would own %d sessions with %d slots at %s", c.Name, n, held, r)
			}
		}
	}
	slotsMayDelay := slices.ContainsFunc(plan.Deferred, func(k migrate.Deferred) bool { return len(p.View.Replicas) > 0 })
	for name, lane := range highestLane {
		idle := map[session.ID]bool{}
		for _, id := range j.coordinator(name).Idle {
			idle[id] = true
		}
		busy := slices.ContainsFunc(plan.Body.Offers, func(o session.Offer) bool {
			r, _ := p.Book.Get(o.ID)
			return o.From == name && r.Lane == lane && !idle[o.ID]
		})
		p.Book.ByOwner(name, func(r session.Record) bool {
			if r.Since > p.Now-migrate.RescanInterval-time.Duration(len(p.View.Coordinators))*TickInterval {
				return true // the session was opened or moved here after the book was read
			}
			goesEarlier := r.Lane < lane || r.Lane == lane && busy && idle[r.ID]
			if goesEarlier && r.Phase == session.Pinned && !offered[r.ID] && !j.offeredBefore[r.ID] && !j.unsafe[r.ID] && !slotsMayDelay {
				t.Fatalf("lane %d of %s is offered, and %v of lane %d, idle %v, is not", lane, name, r.ID, r.Lane, idle[r.ID])
			}
			return true
		})
	}
	for _, o := range plan.Body.Offers {
		j.offeredBefore[o.ID] = true
	}
}

// checkApplied checks a plan that was just applied: a planner with an up-to-date view has no part of it refused, and the limits
// hold. fresh means that the planner is new.
func (j *planChecker) checkApplied(plan migrate.Plan, fresh bool) {
	l, _ := j.p.Book.Limits()
	if reasons, n := j.p.Book.Refusals(); n > 0 && !plan.Empty() && !fresh {
		j.t.Fatalf("%d parts of a plan were refused: %v", n, reasons)
	}
	for range plan.Body.Offers {
		j.offerTimes = append(j.offerTimes, j.p.Now)
	}
	n := 0
	for _, at := range j.offerTimes {
		if at > j.p.Now-time.Minute {
			n++
		}
	}
	if n > l.PerMinute || j.p.Book.Moving() > l.InFlight {
		j.t.Fatalf("%d offers within a minute, %d in flight, limits %+v", n, j.p.Book.Moving(), l)
	}
}

// Random faults of co-ordinators, delayed reports and changes of the leader must not break the rules of a plan: it respects
// capacity, limits and order, and a second planner with the same input makes the same plan. Once the faults end, the co-ordinator
// that leaves loses all its sessions.
func TestPlansKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, owned := rapid.IntRange(3, 7).Draw(t, "co-ordinators"), rapid.IntRange(1, 12).Draw(t, "sessions each")
		s := Settings{Coordinators: n, Sessions: n * owned, CapacityFactor: float64(rapid.IntRange(10, 40).Draw(t, "room")) / 10, WaveSize: 1, Zones: 3,
			PerMinute: rapid.IntRange(1, 40).Draw(t, "a minute"), InFlight: rapid.IntRange(1, 8).Draw(t, "in flight"), IdlePercent: 50}
		if rapid.Bool().Draw(t, "slots") {
			s.Replicas, s.SessionsPerSlot = 2, rapid.IntRange(1, 5).Draw(t, "sessions a slot")
		}
		p, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		secondPlanner := migrate.New(migrate.Options{})
		j := &planChecker{t: t, p: p, offeredBefore: map[session.ID]bool{}, unsafe: map[session.ID]bool{}}
		all := p.View.Coordinators
		step := func(faults bool) migrate.Plan {
			p.Now += TickInterval
			for i := range all {
				all[i].Capacity.OwnedAtReport = p.Book.Owned(all[i].Name)
				all[i].Idle = nil
				p.Book.ByOwner(all[i].Name, func(r session.Record) bool {
					if !p.busy(r.ID) {
						all[i].Idle = append(all[i].Idle, r.ID)
					}
					return true
				})
			}
			lost, fresh := false, false
			if faults {
				j.perturb(all)
				lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0
				if fresh = rapid.IntRange(0, 19).Draw(t, "a new leader") == 0; fresh {
					p.Planner, secondPlanner = migrate.New(migrate.Options{}), migrate.New(migrate.Options{})
					clear(j.offeredBefore)
				}
			} else if err := p.runCoordinators(); err != nil {
				t.Fatal(err)
			}
			plan := p.Planner.Step(p.Now, p.View)
			if again := secondPlanner.Step(p.Now, p.View); !reflect.DeepEqual(plan, again) {
				t.Fatalf("two planners with the same view made\n%+v\nand\n%+v", plan, again)
			}
			j.checkPlan(plan)
			switch {
			case lost: // the planner notices the loss only later
				return plan
			case !plan.Empty():
				if err := p.apply(session.KindPlan, plan.Body); err != nil {
					t.Fatal(err)
				}
				j.checkApplied(plan, fresh)
			default:
				_ = p.apply(session.KindTick, session.TickBody{})
			}
			return plan
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			step(true)
		}
		// the faults end: one co-ordinator leaves, all others have capacity
		clear(j.unsafe)
		for i := range all {
			c := &all[i]
			c.Live, c.Leaving, c.Unsafe, c.Capacity.OpenQueries = true, i == 0, nil, 0
			c.Capacity.MaxSessions = max(c.Capacity.MaxSessions, s.Sessions)
		}
		p.View.Paused = false
		var last migrate.Plan
		for range 2*(2*60+s.Sessions*120/s.PerMinute) + 400 {
			if last = step(false); p.Book.Owned(all[0].Name) == 0 {
				return
			}
		}
		t.Fatalf("%d sessions stay: %+v", p.Book.Owned(all[0].Name), last.Deferred)
	})
}

// perturb makes co-ordinators act, decline, die, leave and stay at random, and lets the operators pause the work.
func (j *planChecker) perturb(all []migrate.Coordinator) {
	t, p := j.t, j.p
	p.Book.Moves(func(r session.Record) bool {
		switch a := (session.Act{ID: r.ID, Epoch: r.Epoch, Fence: r.Fence, Seq: r.Seq, Lane: r.Lane}); rapid.IntRange(0, 5).Draw(t, "act") {
		case 0, 1:
			a.Kind = session.HandOver
			if r.Phase == session.HandedOver {
				a.Kind = session.Adopt
			} else if j.unsafe[r.ID] {
				return true // its owner does not freeze a session with an open unsafe query
			}
			_ = p.apply(session.KindActs, session.ActsBody{From: r.Owner, Acts: []session.Act{a}})
		case 2:
			a.Kind = session.Decline
			_ = p.apply(session.KindActs, session.ActsBody{From: max(r.To, r.Owner), Acts: []session.Act{a}})
		}
		return true
	})
	for _, tr := range p.Book.Pool().Transfers() {
		if rapid.Bool().Draw(t, "freed") {
			_ = p.apply(session.KindActs, session.ActsBody{From: tr.Releaser(), Acts: []session.Act{{Kind: session.Freed, Fence: tr.Fence}}})
		}
	}
	switch c := &all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]; rapid.IntRange(0, 9).Draw(t, "what") {
	case 0:
		c.Leaving = !c.Leaving
	case 1:
		c.Live = !c.Live
	case 2:
		c.Capacity.MaxSessions = rapid.IntRange(0, 30).Draw(t, "sessions")
	case 3:
		c.Capacity.MaxQueries, c.Capacity.OpenQueries = 100, rapid.IntRange(0, 100).Draw(t, "open")
	case 4:
		p.View.Paused = rapid.IntRange(0, 3).Draw(t, "paused") == 0
	case 5:
		for _, u := range c.Unsafe {
			delete(j.unsafe, u.ID)
		}
		c.Unsafe = nil
		idle := slices.DeleteFunc(slices.Clone(c.Idle), func(id session.ID) bool { // a session that it no longer owns starts no query there
			r, ok := p.Book.Get(id)
			return !ok || r.Owner != c.Name || r.Phase != session.Pinned && r.Phase != session.Offered
		})
		if len(idle) > 0 {
			id := rapid.SampledFrom(idle).Draw(t, "unsafe")
			c.Unsafe, j.unsafe[id] = []migrate.Unsafe{{ID: id, Due: p.Now + time.Hour}}, true
		}
	case 6:
		if !c.Live {
			_ = p.apply(session.KindRelease, session.ReleaseBody{Name: c.Name, Silent: time.Minute})
		}
	}
}
