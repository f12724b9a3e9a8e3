package policy

import (
	"math"
	"testing"
)

// extraByRoute is a rig whose queries come by a route with these limits.
func routed(t *testing.T, effect Effect, lim Limits, change func(*Config)) *rig {
	cfg := settings(effect)
	if change != nil {
		change(&cfg)
	}
	r := newRig(t, cfg)
	r.lim = &lim
	return r
}

func (r *rig) askRouted(n int, due float64) (uint64, []uint64, []Action) {
	r.next += 100
	q := r.next
	events := []Event{{Kind: QueryArrived, Query: q, Group: q, Tenant: -1, Route: 1, Limits: r.lim, Deadline: r.now + due, Count: n}}
	var parts []uint64
	for i := range n {
		id := q + uint64(i) + 1
		parts = append(parts, id)
		events = append(events, Event{Kind: PartArrived, Part: id, Group: q, Shard: i, Weight: 1 / float64(n)})
	}
	return q, parts, r.do(events...)
}

func TestRouteLimitsQueryTime(t *testing.T) {
	for name, lim := range map[string]Limits{"whole": {Timeout: 0.3}, "step": {StepTimeout: 0.3}} {
		r := routed(t, Safe, lim, nil)
		began := r.now
		r.askRouted(2, 4)
		ended := 0.0
		for r.now < began+1 {
			if len(finals(r.run(r.p.tick))) > 0 {
				ended = r.now - began
				break
			}
		}
		if ended == 0 || ended > 0.3+1e-9 || ended < 0.25 {
			t.Errorf("%s: ended after %v", name, ended)
		}
	}
}

func TestRouteLimitsAttemptsAndAttemptTime(t *testing.T) {
	r := routed(t, Safe, Limits{MaxAttempts: 2, AttemptTimeout: 0.2}, nil)
	_, parts, acts := r.askRouted(1, 4)
	if s := of(Send, acts); len(s) != 1 || s[0].AttemptTimeout != 0.2 {
		t.Fatalf("%+v", acts)
	}
	acts = r.end(parts[0], 0, of(Send, acts)[0].Replica, Failed)
	s := of(Send, acts)
	if len(s) != 1 {
		t.Fatalf("%+v", acts)
	}
	if acts = r.end(parts[0], 1, s[0].Replica, Failed); len(of(Send, acts)) > 0 || len(finals(acts)) != 1 {
		t.Errorf("after two attempts: %+v", acts)
	}
}

func TestRouteLimitsSecondCopies(t *testing.T) {
	for name, c := range map[string]struct {
		lim  Limits
		want int
		from float64
	}{"none": {Limits{NoCopies: true}, 0, 0}, "later": {Limits{CopyAfter: 0.9}, 1, 0.9}, "as without": {Limits{}, 1, 0}} {
		r := routed(t, Safe, c.lim, nil)
		began := r.now
		r.askRouted(1, 4)
		copies := 0
		for r.now < began+1.5 {
			if n := len(of(Send, r.run(r.p.tick))); n > 0 {
				if copies += n; r.now-began < c.from-1e-9 {
					t.Errorf("%s: a copy after %v", name, r.now-began)
				}
			}
		}
		if copies != c.want {
			t.Errorf("%s: %d copies", name, copies)
		}
	}
}

// Queues turn those away first that are to yield: what the others may still wait for is too long for them.
func TestYieldingRouteIsRefusedSooner(t *testing.T) {
	for by, want := range map[float64]Verb{0: Send, 1: Send, 4: Refuse} {
		r := routed(t, Safe, Limits{PromiseDivisor: by}, nil)
		for range 4 { // the latest parts took a tenth of the promise
			_, parts, _ := r.ask(6, 4)
			for _, id := range parts {
				r.do(Event{Kind: AttemptEnded, Part: id, Outcome: OK, Latency: 0.15})
			}
		}
		if _, _, acts := r.askRouted(1, 4); len(of(want, acts)) != 1 {
			t.Errorf("yields by %v: %+v", by, acts)
		}
	}
}

func TestRouteRaisesTheFloorUpToTheNeed(t *testing.T) {
	change := func(c *Config) { c.Classes[0].Need, c.Classes[0].Floor = 0.75, 0.25 }
	for floor, want := range map[float64]Verb{0: Answer, 0.5: Answer, 0.7: Refuse, 1: Refuse} {
		r := routed(t, Safe, Limits{Floor: floor}, change)
		_, parts, acts := r.askRouted(4, 0.8)
		sends := of(Send, acts)
		for i := range 2 {
			r.end(parts[i], 0, sends[i].Replica, OK)
		}
		if f := finals(r.run(1)); len(f) != 1 || f[0].Verb != want || f[0].Complete {
			t.Errorf("floor %v: %+v", floor, f)
		}
	}
	r := routed(t, Safe, Limits{Floor: 1}, change) // three of four are whole, whatever the route's floor
	_, parts, acts := r.askRouted(4, 0.8)
	sends := of(Send, acts)
	var last []Action
	for i := range 3 {
		last = r.end(parts[i], 0, sends[i].Replica, OK)
	}
	if f := finals(last); len(f) != 1 || f[0].Verb != Answer || !f[0].Complete {
		t.Errorf("%+v", last)
	}
}

func TestRouteUsesOnlyItsShareOfTheBudget(t *testing.T) {
	r := routed(t, Safe, Limits{BudgetShare: 0.25}, func(c *Config) { c.ExtraFree, c.ExtraWindow = 8, 10 })
	again := 0
	for range 8 {
		_, parts, acts := r.askRouted(1, 4)
		s := of(Send, acts)
		again += len(of(Send, r.end(parts[0], 0, s[0].Replica, NotSent)))
	}
	if again != 2 {
		t.Errorf("%d further attempts of a budget of 8, of which a quarter is the route's", again)
	}
}

func TestRouteLimitsTheRetryTimeOfARefusal(t *testing.T) {
	r := routed(t, Safe, Limits{MaxRetryAfter: 0.05}, nil)
	r.do(Event{Kind: ListChanged, Full: true})
	_, _, acts := r.askRouted(1, 4)
	if f := finals(acts); len(f) != 1 || f[0].Verb != Refuse || math.Abs(f[0].After-0.05) > 1e-9 {
		t.Errorf("%+v", acts)
	}
}
