package swap

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
)

// newStayingSite returns a site in which no co-ordinator goes out yet.
func newStayingSite(t *testing.T, s Settings) *Site {
	t.Helper()
	p, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	for i := range p.View.Coordinators {
		p.View.Coordinators[i].Rank = migrate.RankNone
	}
	return p
}

// runUntil runs steps until a condition holds, and fails the test if that takes longer than the given number of minutes.
func (p *Site) runUntil(t *testing.T, minutes int, until func() bool) {
	t.Helper()
	for end := p.Now + time.Duration(minutes)*time.Minute; !until(); {
		if err := p.Step(); err != nil {
			t.Fatal(err)
		}
		if p.Now > end {
			t.Fatalf("condition not met after %d minutes, deferred: %+v, forecast: %v", minutes, p.LastPlan.Deferred, p.LastPlan.Forecast)
		}
	}
}

// startLeaving makes a co-ordinator leave by a deadline; 0: none.
func (p *Site) startLeaving(i int, deadline time.Duration) *migrate.Coordinator {
	c := &p.View.Coordinators[i]
	c.Leaving, c.Deadline = true, deadline
	return c
}

// ownNoSessions returns a condition that holds once none of the named co-ordinators owns a session.
func (p *Site) ownNoSessions(names ...string) func() bool {
	return func() bool {
		return !slices.ContainsFunc(names, func(n string) bool { return p.Book.Owned(n) > 0 })
	}
}

// smallSettings returns the settings of a site in one zone with n co-ordinators, each with owned sessions and capacity for
// capacityFactor times as many.
func smallSettings(n, owned int, capacityFactor float64) Settings {
	s := settings(n, n*owned)
	s.CapacityFactor, s.Zones = capacityFactor, 1
	return s
}

// Sessions whose targets are all full stay with their owner, and the forecast names the missing capacity. When capacity for five
// appears, exactly five move.
func TestAllTargetsFull(t *testing.T) {
	p := newStayingSite(t, smallSettings(3, 20, 1))
	p.startLeaving(0, p.Now+time.Hour)
	for range 40 {
		p.runUntil(t, 1, func() bool { return p.Result.Steps > 0 })
		if err := p.Step(); err != nil || len(p.LastPlan.Body.Offers) > 0 {
			t.Fatalf("offers %v, %v", p.LastPlan.Body.Offers, err)
		}
	}
	if k := p.LastPlan.Deferred; len(k) != 1 || k[0].Sessions != 20 || k[0].Reason != "no other has room" || p.Book.Owned("c000") != 20 {
		t.Errorf("kept %+v", k)
	}
	if f := p.LastPlan.Forecast; f.Unplaced != 20 || f.MeetsDeadlines || !strings.Contains(fmt.Sprint(f.RequiredChanges), "capacity for 20 more sessions at the other co-ordinators while c000 is out") {
		t.Errorf("forecast %+v", f)
	}
	p.View.Coordinators[2].Capacity.MaxSessions = 25 // capacity for five: these move, the others stay
	p.runUntil(t, 2, func() bool { return p.Book.Owned("c000") == 15 })
	for range 20 {
		_ = p.Step()
	}
	if p.Book.Owned("c000") != 15 || p.Book.Owned("c002") != 25 {
		t.Errorf("c000 owns %d sessions, want 15; c002 owns %d, want 25", p.Book.Owned("c000"), p.Book.Owned("c002"))
	}
}

// Two co-ordinators leave at once: neither gets sessions of the other, and in each lane the one with the earlier deadline goes
// first.
func TestTwoCoordinatorsLeaveAtOnce(t *testing.T) {
	s := smallSettings(5, 30, 3)
	s.InFlight = 10
	p := newStayingSite(t, s)
	p.startLeaving(0, p.Now+2*time.Hour)
	p.startLeaving(1, p.Now+time.Hour)
	last := map[string]int{}
	p.runUntil(t, 5, func() bool {
		for i, o := range p.LastPlan.Body.Offers {
			if o.To == "c000" || o.To == "c001" {
				t.Fatalf("offer %+v", o)
			}
			r, _ := p.Book.Get(o.ID)
			last[fmt.Sprint(r.Lane, o.From)] = p.Result.Steps*maxOffersPerPlan + i
		}
		return p.ownNoSessions("c000", "c001")() && p.Book.Moving() == 0
	})
	for lane := range 3 {
		if last[fmt.Sprint(lane, "c001")] > last[fmt.Sprint(lane, "c000")] {
			t.Errorf("lane %d: the co-ordinator with the later deadline finished first: %v", lane, last)
		}
	}
	if p.Result.Moves != 60 {
		t.Errorf("%d moves of 60 sessions", p.Result.Moves)
	}
}

// maxOffersPerPlan is more than any plan of these tests contains.
const maxOffersPerPlan = 1000

// A target dies. The sessions that it had adopted are freed when it is released, those handed over to it return and move to
// another target, those offered to it are withdrawn, and it gets no further offers.
func TestTargetDies(t *testing.T) {
	s := smallSettings(3, 30, 3)
	s.InFlight = 8
	p := newStayingSite(t, s)
	p.startLeaving(0, 0)
	target := &p.View.Coordinators[2]
	p.runUntil(t, 1, func() bool { return p.Book.Owned("c002") > 34 && len(p.pendingHandOvers()) == 8 })
	target.Live, p.LastPlan = false, migrate.Plan{}
	owned := p.Book.Owned("c002")
	if err := p.apply(session.KindActs, session.ActsBody{From: "c000", Acts: p.pendingHandOvers()[:4]}); err != nil {
		t.Fatal(err)
	}
	p.Now += time.Minute
	if err := p.apply(session.KindRelease, session.ReleaseBody{Name: "c002", Silent: 59 * time.Second}); err != nil {
		t.Fatal(err)
	}
	p.runUntil(t, 5, func() bool {
		for _, o := range p.LastPlan.Body.Offers {
			if o.To == "c002" {
				t.Fatalf("%+v is offered to a dead co-ordinator", o)
			}
		}
		return p.ownNoSessions("c000")()
	})
	if n := p.Book.Len(); n != 90-owned || p.Book.Owned("c001") != n {
		t.Errorf("%d sessions are left, %d at c001, the dead co-ordinator owned %d", n, p.Book.Owned("c001"), owned)
	}
}

// pendingHandOvers returns the acts that hand over all offered sessions.
func (p *Site) pendingHandOvers() (acts []session.Act) {
	p.Book.Moves(func(r session.Record) bool {
		if r.Phase == session.Offered {
			acts = append(acts, session.Act{Kind: session.HandOver, ID: r.ID, Epoch: r.Epoch, Fence: r.Fence})
		}
		return true
	})
	return acts
}

// A deadline that cannot be met is reported before the first move together with the limits that would meet it; with these limits
// it is met. A session whose unsafe query may outlast the deadline is reported and not moved.
func TestForecastNamesChangesThatMeetTheDeadline(t *testing.T) {
	s := smallSettings(4, 500, 2)
	s.InFlight, s.PerMinute = 2, 60
	p := newStayingSite(t, s)
	c := p.startLeaving(0, p.Now+2*time.Minute)
	p.runUntil(t, 1, func() bool { return p.Result.Steps > 0 })
	f := p.LastPlan.Forecast
	want := "9 in flight instead of 2 and 252 a minute instead of 60, or a deadline of 1970-01-01T01:08:21Z or later for c000"
	if f.MeetsDeadlines || len(f.RequiredChanges) != 1 || f.RequiredChanges[0] != want {
		t.Fatalf("%+v", f)
	}
	l, _ := p.Book.Limits()
	l.Revision, l.InFlight, l.PerMinute = 2, 9, 252
	if err := p.apply(session.KindLimits, session.LimitsBody{Limits: l}); err != nil {
		t.Fatal(err)
	}
	p.runUntil(t, 3, p.ownNoSessions("c000"))
	if p.Now > c.Deadline {
		t.Errorf("finished %v after the deadline", p.Now-c.Deadline)
	}

	p.View.Coordinators[1].Leaving, p.View.Coordinators[1].Deadline = true, p.Now+time.Hour
	id := session.ID{}
	p.Book.ByOwner("c001", func(r session.Record) bool { id = r.ID; return false })
	p.View.Coordinators[1].Unsafe = []migrate.Unsafe{{ID: id, Due: p.Now + 2*time.Hour}}
	p.Planner = migrate.New(migrate.Options{})
	p.runUntil(t, 10, func() bool { return p.Book.Owned("c001") == 1 })
	if f := p.LastPlan.Forecast; f.MeetsDeadlines || !slices.Contains(f.AtRisk, id) || !strings.Contains(fmt.Sprint(f.RequiredChanges, p.LastPlan.Deferred), id.String()) {
		t.Errorf("%+v, kept %+v", f, p.LastPlan.Deferred)
	}
	if r, _ := p.Book.Get(id); r.Owner != "c001" || r.Epoch != 1 {
		t.Errorf("it was moved: %+v", r)
	}
}

// 2,000 sessions move while the leader changes every few steps. At every fourth change, the plan of the old leader is applied
// after the new leader has planned. Each session moves once, and the limits hold.
func TestLeaderChangesDoNotRepeatMoves(t *testing.T) {
	s := smallSettings(4, 2000, 2)
	s.InFlight, s.PerMinute = 50, 3000
	p := newStayingSite(t, s)
	p.startLeaving(0, 0)
	moved := map[session.ID]int{}
	for p.Book.Owned("c000") > 0 || p.Book.Moving() > 0 {
		p.Now += TickInterval
		p.Book.Moves(func(r session.Record) bool {
			if r.Phase == session.HandedOver {
				moved[r.ID]++
			}
			return true
		})
		if err := p.runCoordinators(); err != nil {
			t.Fatal(err)
		}
		p.Result.Steps++
		plan := p.Planner.Step(p.Now, p.View)
		if p.Result.Steps%3 == 0 {
			p.Planner = migrate.New(migrate.Options{})
			if p.Result.Steps%12 == 0 {
				late := plan
				if plan = p.Planner.Step(p.Now, p.View); !late.Empty() {
					_ = p.apply(session.KindPlan, late.Body) // may be refused
				}
			}
		}
		if !plan.Empty() {
			_ = p.apply(session.KindPlan, plan.Body)
		}
		if l, _ := p.Book.Limits(); p.Book.Moving() > l.InFlight || p.Book.RecentOffers() > l.PerMinute || p.Result.Steps > 2000 {
			t.Fatalf("%d in flight, %d offered within a minute, %d steps", p.Book.Moving(), p.Book.RecentOffers(), p.Result.Steps)
		}
	}
	if len(moved) != 2000 || p.Book.Len() != 8000 {
		t.Errorf("%d moved, %d are left", len(moved), p.Book.Len())
	}
	for id, n := range moved {
		if r, _ := p.Book.Get(id); n != 1 || r.Epoch != 2 {
			t.Fatalf("%v moved %d times: %+v", id, n, r)
		}
	}
	t.Logf("2,000 moves in %v", time.Duration(p.Result.Steps)*TickInterval)
}

// When the operators pause the work or cancel the request, open offers are withdrawn, and sessions that have moved stay where they
// are.
func TestPauseOrCancelWithdrawsOpenOffers(t *testing.T) {
	for name, stop := range map[string]func(*Site, bool){
		"paused":    func(p *Site, on bool) { p.View.Paused = on },
		"withdrawn": func(p *Site, on bool) { p.View.Coordinators[0].Leaving = !on },
	} {
		t.Run(name, func(t *testing.T) {
			s := smallSettings(3, 60, 3)
			s.InFlight = 10
			p := newStayingSite(t, s)
			p.startLeaving(0, 0)
			p.runUntil(t, 1, func() bool { return p.Result.Moves >= 20 && len(p.pendingHandOvers()) > 0 })
			stop(p, true)
			p.Now += TickInterval
			plan := p.Planner.Step(p.Now, p.View) // before any co-ordinator acts
			if len(plan.Body.Withdrawals) != len(p.pendingHandOvers()) || len(plan.Body.Offers) > 0 {
				t.Fatalf("%d offers are open, %+v", len(p.pendingHandOvers()), plan.Body)
			}
			if err := p.apply(session.KindPlan, plan.Body); err != nil {
				t.Fatal(err)
			}
			moves := 0
			p.runUntil(t, 1, func() bool { moves++; return moves > 20 })
			if n := p.Book.Owned("c000"); n != 60-p.Result.Moves || p.Book.Moving() > 0 {
				t.Errorf("%d stay, %d moved, %d in flight", n, p.Result.Moves, p.Book.Moving())
			}
			stop(p, false)
			p.runUntil(t, 2, p.ownNoSessions("c000"))
		})
	}
}
