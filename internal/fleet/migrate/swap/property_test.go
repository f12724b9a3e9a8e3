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

// judge looks at each plan from outside: by the book, and by what it saw itself.
type planChecker struct {
	t             *rapid.T
	p             *Site
	offerTimes    []time.Duration     // offers seen in the book
	offeredBefore map[session.ID]bool // offered before
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

// before the plan is applied.
func (j *planChecker) checkPlan(plan migrate.Plan) {
	t, p := j.t, j.p
	coming, open := map[string]int{}, map[string]float64{}
	p.Book.Moves(func(r session.Record) bool {
		if r.Phase == session.Offered {
			coming[r.To]++
		}
		return true
	})
	least, offered := map[string]uint8{}, map[session.ID]bool{}
	for _, o := range plan.Body.Offers {
		r, ok := p.Book.Get(o.ID)
		from, to := j.coordinator(o.From), j.coordinator(o.To)
		if !ok || r.Phase != session.Pinned || r.Owner != o.From || r.Epoch != o.Epoch {
			t.Fatalf("offer of %v, it is %+v", o, r)
		}
		if !from.Leaving || !from.Live || to == nil || to.Leaving || !to.Live || to == from || p.View.Paused {
			t.Fatalf("offer from %+v to %+v", from, to)
		}
		if j.unsafe[o.ID] {
			t.Fatalf("offer of %v, of which an unsafe query is open", o.ID)
		}
		coming[o.To]++
		open[o.To] = max(open[o.To], float64(from.Capacity.OpenQueries)/float64(max(1, p.Book.Owned(o.From))))
		least[o.From] = max(least[o.From], r.Lane)
		offered[o.ID] = true
	}
	for _, c := range p.View.Coordinators {
		n := p.Book.Owned(c.Name) + coming[c.Name]
		if _, asked := open[c.Name]; !asked {
			continue
		}
		if n > c.Capacity.MaxSessions {
			t.Fatalf("%s would own %d sessions, room for %d", c.Name, n, c.Capacity.MaxSessions)
		}
		for _, r := range p.View.Replicas {
			if held := p.Book.Pool().Held(c.Name, r); n > held*p.View.SessionsPerSlot {
				t.Fatalf("%s would own %d sessions with %d slots at %s", c.Name, n, held, r)
			}
		}
	}
	slots := slices.ContainsFunc(plan.Deferred, func(k migrate.Deferred) bool { return len(p.View.Replicas) > 0 })
	for name, lane := range least {
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
				return true // it came after the book was read
			}
			before := r.Lane < lane || r.Lane == lane && busy && idle[r.ID]
			if before && r.Phase == session.Pinned && !offered[r.ID] && !j.offeredBefore[r.ID] && !j.unsafe[r.ID] && !slots {
				t.Fatalf("lane %d of %s is offered, and %v of lane %d, idle %v, is not", lane, name, r.ID, r.Lane, idle[r.ID])
			}
			return true
		})
	}
	for _, o := range plan.Body.Offers {
		j.offeredBefore[o.ID] = true
	}
}

// after it was applied at once, by a planner that sees all: nothing of it is refused, and the limits hold.
func (j *planChecker) checkApplied(plan migrate.Plan, fresh bool) {
	l, _ := j.p.Book.Limits()
	if why, n := j.p.Book.Refusals(); n > 0 && !plan.Empty() && !fresh {
		j.t.Fatalf("%d parts of a plan are refused: %v", n, why)
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

// Whatever happens to co-ordinators, words and leaders, each plan keeps to room, limits and order, and is the same when it is made
// again; and once nothing happens any more, all that should go are emptied.
func TestPlansKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, each := rapid.IntRange(3, 7).Draw(t, "co-ordinators"), rapid.IntRange(1, 12).Draw(t, "sessions each")
		s := Settings{Coordinators: n, Sessions: n * each, CapacityFactor: float64(rapid.IntRange(10, 40).Draw(t, "room")) / 10, WaveSize: 1, Zones: 3,
			PerMinute: rapid.IntRange(1, 40).Draw(t, "a minute"), InFlight: rapid.IntRange(1, 8).Draw(t, "in flight"), IdlePercent: 50}
		if rapid.Bool().Draw(t, "slots") {
			s.Replicas, s.SessionsPerSlot = 2, rapid.IntRange(1, 5).Draw(t, "sessions a slot")
		}
		p, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		twin := migrate.New(migrate.Options{})
		j := &planChecker{t: t, p: p, offeredBefore: map[session.ID]bool{}, unsafe: map[session.ID]bool{}}
		all := p.View.Coordinators
		step := func(meddle bool) migrate.Plan {
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
			if meddle {
				j.perturb(all)
				lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0
				if fresh = rapid.IntRange(0, 19).Draw(t, "a new leader") == 0; fresh {
					p.Planner, twin = migrate.New(migrate.Options{}), migrate.New(migrate.Options{})
					clear(j.offeredBefore)
				}
			} else if err := p.runCoordinators(); err != nil {
				t.Fatal(err)
			}
			plan := p.Planner.Step(p.Now, p.View)
			if again := twin.Step(p.Now, p.View); !reflect.DeepEqual(plan, again) {
				t.Fatalf("the same view gives\n%+v\nand\n%+v", plan, again)
			}
			j.checkPlan(plan)
			switch {
			case lost: // it is seen as lost only later
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
		// quiet again: one leaves, all others have room
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

// meddle lets co-ordinators act, decline, die, leave and stay, and the operators stop the work.
func (j *planChecker) perturb(all []migrate.Coordinator) {
	t, p := j.t, j.p
	p.Book.Moves(func(r session.Record) bool {
		switch a := (session.Act{ID: r.ID, Epoch: r.Epoch, Fence: r.Fence, Seq: r.Seq, Lane: r.Lane}); rapid.IntRange(0, 5).Draw(t, "act") {
		case 0, 1:
			a.Kind = session.HandOver
			if r.Phase == session.HandedOver {
				a.Kind = session.Adopt
			} else if j.unsafe[r.ID] {
				return true // its owner freezes nothing of which an unsafe query is open
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
		idle := slices.DeleteFunc(slices.Clone(c.Idle), func(id session.ID) bool { // what it does not own any more begins nothing there
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
