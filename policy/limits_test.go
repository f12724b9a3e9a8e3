package policy

import (
	"math"
	"testing"
)

// newRoutedRig returns a rig whose submitRouted sends queries by route 1 with these limits. change may adjust the settings;
// nil leaves them.
func newRoutedRig(t *testing.T, effect Effect, limits Limits, change func(*Config)) *rig {
	cfg := testConfig(effect)
	if change != nil {
		change(&cfg)
	}
	r := newRig(t, cfg)
	r.limits = &limits
	return r
}

// submitRouted does the same as submit, by route 1.
func (r *rig) submitRouted(n int, due float64) (uint64, []uint64, []Action) {
	r.nextID += 100
	q := r.nextID
	events := []Event{{Kind: QueryArrived, Query: q, Group: q, Tenant: -1, Route: 1, Limits: r.limits, Deadline: r.now + due, Count: n}}
	var parts []uint64
	for i := range n {
		id := q + uint64(i) + 1
		parts = append(parts, id)
		events = append(events, Event{Kind: PartArrived, Part: id, Group: q, Shard: i, Weight: 1 / float64(n)})
	}
	return q, parts, r.handle(events...)
}

func TestRouteLimitsQueryTime(t *testing.T) {
	for name, limits := range map[string]Limits{"whole query": {Timeout: 0.3}, "step": {StepTimeout: 0.3}} {
		r := newRoutedRig(t, Safe, limits, nil)
		start := r.now
		r.submitRouted(2, 4)
		elapsed := 0.0
		for r.now < start+1 {
			if len(finalActions(r.advance(r.p.tick))) > 0 {
				elapsed = r.now - start
				break
			}
		}
		if elapsed == 0 || elapsed > 0.3+1e-9 || elapsed < 0.25 {
			t.Errorf("%s: ended after %v s, want 0.3 s at most", name, elapsed)
		}
	}
}

func TestRouteLimitsAttemptsAndAttemptTime(t *testing.T) {
	r := newRoutedRig(t, Safe, Limits{MaxAttempts: 2, AttemptTimeout: 0.2}, nil)
	_, parts, acts := r.submitRouted(1, 4)
	if s := withVerb(Send, acts); len(s) != 1 || s[0].AttemptTimeout != 0.2 {
		t.Fatalf("want one part sent with the route's timeout, got %+v", acts)
	}
	acts = r.endAttempt(parts[0], 0, withVerb(Send, acts)[0].Replica, Failed)
	s := withVerb(Send, acts)
	if len(s) != 1 {
		t.Fatalf("want one resend after the first failure, got %+v", acts)
	}
	if acts = r.endAttempt(parts[0], 1, s[0].Replica, Failed); len(withVerb(Send, acts)) > 0 || len(finalActions(acts)) != 1 {
		t.Errorf("want no third attempt and one final action, got %+v", acts)
	}
}

func TestRouteLimitsSecondCopies(t *testing.T) {
	for name, c := range map[string]struct {
		limits   Limits
		want     int
		earliest float64
	}{"no copies": {Limits{NoCopies: true}, 0, 0}, "later copy": {Limits{CopyAfter: 0.9}, 1, 0.9}, "no limits": {Limits{}, 1, 0}} {
		r := newRoutedRig(t, Safe, c.limits, nil)
		start := r.now
		r.submitRouted(1, 4)
		copies := 0
		for r.now < start+1.5 {
			if n := len(withVerb(Send, r.advance(r.p.tick))); n > 0 {
				if copies += n; r.now-start < c.earliest-1e-9 {
					t.Errorf("%s: a copy after %v s", name, r.now-start)
				}
			}
		}
		if copies != c.want {
			t.Errorf("%s: %d copies, which is not the number expected", name, copies)
		}
	}
}

// A route that yields is refused first while there are queues: a latency that other queries can still wait for is too long
// for its queries.
func TestYieldingRouteIsRefusedSooner(t *testing.T) {
	for yieldBy, want := range map[float64]Verb{0: Send, 1: Send, 4: Refuse} {
		r := newRoutedRig(t, Safe, Limits{PromiseDivisor: yieldBy}, nil)
		for range 4 { // the latest parts took about a tenth of the promise
			_, parts, _ := r.submit(6, 4)
			for _, id := range parts {
				r.handle(Event{Kind: AttemptEnded, Part: id, Outcome: OK, Latency: 0.15})
			}
		}
		if _, _, acts := r.submitRouted(1, 4); len(withVerb(want, acts)) != 1 {
			t.Errorf("promise divided by %v: unexpected actions %+v", yieldBy, acts)
		}
	}
}

func TestRouteRaisesTheFloorUpToTheNeed(t *testing.T) {
	change := func(c *Config) { c.Classes[0].Need, c.Classes[0].Floor = 0.75, 0.25 }
	for floor, want := range map[float64]Verb{0: Answer, 0.5: Answer, 0.7: Refuse, 1: Refuse} {
		r := newRoutedRig(t, Safe, Limits{Floor: floor}, change)
		_, parts, acts := r.submitRouted(4, 0.8)
		sends := withVerb(Send, acts)
		for i := range 2 {
			r.endAttempt(parts[i], 0, sends[i].Replica, OK)
		}
		if f := finalActions(r.advance(1)); len(f) != 1 || f[0].Verb != want || f[0].Complete {
			t.Errorf("floor %v: unexpected final actions %+v", floor, f)
		}
	}
	r := newRoutedRig(t, Safe, Limits{Floor: 1}, change) // three of four parts are a complete answer, whatever the route's floor
	_, parts, acts := r.submitRouted(4, 0.8)
	sends := withVerb(Send, acts)
	var last []Action
	for i := range 3 {
		last = r.endAttempt(parts[i], 0, sends[i].Replica, OK)
	}
	if f := finalActions(last); len(f) != 1 || f[0].Verb != Answer || !f[0].Complete {
		t.Errorf("want one complete answer, got %+v", last)
	}
}

func TestRouteUsesOnlyItsShareOfTheBudget(t *testing.T) {
	r := newRoutedRig(t, Safe, Limits{BudgetShare: 0.25}, func(c *Config) { c.ExtraFree, c.ExtraWindow = 8, 10 })
	resent := 0
	for range 8 {
		_, parts, acts := r.submitRouted(1, 4)
		s := withVerb(Send, acts)
		resent += len(withVerb(Send, r.endAttempt(parts[0], 0, s[0].Replica, NotSent)))
	}
	if resent != 2 {
		t.Errorf("%d further attempts, want 2: a quarter of the budget of 8", resent)
	}
}

func TestRouteLimitsTheRetryTimeOfARefusal(t *testing.T) {
	r := newRoutedRig(t, Safe, Limits{MaxRetryAfter: 0.05}, nil)
	r.handle(Event{Kind: ListChanged, Full: true})
	_, _, acts := r.submitRouted(1, 4)
	if f := finalActions(acts); len(f) != 1 || f[0].Verb != Refuse || math.Abs(f[0].After-0.05) > 1e-9 {
		t.Errorf("want one refusal that names 0.05 s, got %+v", acts)
	}
}
