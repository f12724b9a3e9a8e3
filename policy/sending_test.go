package policy

import (
	"math"
	"testing"
)

// What each outcome allows for each kind of class: a resend or, for the query, a refusal.
func TestResendByOutcome(t *testing.T) {
	for _, c := range []struct {
		effect Effect
		o      Outcome
		resend bool
	}{
		{Safe, Failed, true}, {Safe, Rejected, true}, {Safe, TimedOut, true}, {Safe, Unreachable, true},
		{Safe, ConnectionBroken, true}, {Safe, Cancelled, true}, {Safe, NotSent, true},
		{Keyed, Failed, true}, {Keyed, Rejected, true}, {Keyed, TimedOut, true}, {Keyed, Unreachable, true},
		{Keyed, ConnectionBroken, true}, {Keyed, Cancelled, true}, {Keyed, NotSent, true},
		{Unsafe, Failed, false}, {Unsafe, Rejected, true}, {Unsafe, TimedOut, false}, {Unsafe, Unreachable, true},
		{Unsafe, ConnectionBroken, false}, {Unsafe, Cancelled, false}, {Unsafe, NotSent, true},
	} {
		r := newRig(t, settings(c.effect))
		_, parts, acts := r.ask(1, 4)
		acts = r.end(parts[0], 0, of(Send, acts)[0].Replica, c.o)
		if got := len(of(Send, acts)) == 1; got != c.resend {
			t.Errorf("effect %d outcome %d: resent %v, want %v", c.effect, c.o, got, c.resend)
		}
		if !c.resend {
			if f := finals(acts); len(f) != 1 || f[0].Verb != Fail {
				t.Errorf("effect %d outcome %d: ended by %+v, want one failure", c.effect, c.o, f)
			}
		}
	}
}

func TestUnsafeHasNoSecondCopy(t *testing.T) {
	r := newRig(t, settings(Unsafe))
	r.ask(1, 3.9)
	if s := of(Send, r.run(3.8)); len(s) > 0 {
		t.Fatalf("an unsafe part that may run was sent again: %+v", s)
	}
}

// The window starts at the first attempt that may have run, not at one that is proved never to have.
func TestKeyedPartIsResentOnlyWithinItsWindow(t *testing.T) {
	r := newRig(t, settings(Keyed))
	_, parts, acts := r.ask(1, 10)
	r.now += 0.5
	acts = r.end(parts[0], 0, of(Send, acts)[0].Replica, Unreachable)
	first := r.now // attempt 1 may run
	s := of(Send, acts)
	if len(s) != 1 {
		t.Fatalf("no resend after a failed connect: %+v", acts)
	}
	r.now = first + 1.7
	s = of(Send, r.end(parts[0], 1, s[0].Replica, Failed))
	if len(s) != 1 {
		t.Fatal("no resend well inside the window")
	}
	r.now = first + 1.995
	acts = r.end(parts[0], 2, s[0].Replica, Failed)
	if s = of(Send, append(acts, r.run(3)...)); len(s) > 0 {
		t.Fatalf("sent at the window's end or past it: %+v", s)
	}
}

// Further attempts never pass free + share x requests in any window, whatever ends the attempts.
func TestAttemptBudget(t *testing.T) {
	cfg := settings(Safe)
	cfg.ExtraFree, cfg.ExtraPerRequest, cfg.ExtraWindow = 3, 0.1, 2
	r := newRig(t, cfg)
	type happening struct {
		at    float64
		extra bool
	}
	var log []happening
	tried := map[uint64]int{}
	for round := range 400 {
		_, parts, acts := r.ask(2, 3)
		log = append(log, happening{r.now, false}, happening{r.now, false}, happening{r.now, false})
		for n := 0; n < 2; n++ {
			var next []Action
			for _, a := range of(Send, acts) {
				tried[a.Part]++
				if tried[a.Part] > 1 {
					log = append(log, happening{r.now, true})
					extra, taken := 0, 0
					for _, h := range log {
						switch {
						case h.at < r.now-2:
						case h.extra:
							extra++
						default:
							taken++
						}
					}
					if float64(extra) > 3+0.1*float64(taken)+1e-9 {
						t.Fatalf("round %d: %d further attempts for %d requests", round, extra, taken)
					}
				}
				if a.Part == parts[0] || a.Part == parts[1] {
					next = append(next, r.end(a.Part, a.Attempt+tried[a.Part]-1, a.Replica, Failed)...)
				}
			}
			acts = next
		}
		r.now += 0.013 * float64(1+round%7)
		for _, a := range of(Send, r.do(Event{Kind: TimerFired})) {
			if tried[a.Part]++; tried[a.Part] > 1 {
				log = append(log, happening{r.now, true})
			}
		}
	}
}

func TestAttemptsAreCapped(t *testing.T) {
	cfg := settings(Safe)
	cfg.MaxAttempts = 3
	r := newRig(t, cfg)
	_, parts, acts := r.ask(1, 3.9)
	n := 0
	for r.now < 103.8 {
		var next []Action
		for _, a := range of(Send, acts) {
			n++
			next = append(next, r.end(a.Part, n-1, a.Replica, Failed)...)
		}
		acts = append(next, r.run(r.p.tick)...)
	}
	if n != 3 {
		t.Fatalf("part %d had %d attempts, cap 3", parts[0], n)
	}
}

// Guards of symptoms.

func TestPartWithoutAnswerIsSentElsewhere(t *testing.T) {
	r := newRig(t, settings(Safe))
	_, _, acts := r.ask(1, 3.9)
	first := of(Send, acts)[0].Replica
	s := of(Send, r.run(1.5))
	if len(s) == 0 || s[0].Replica == first {
		t.Fatalf("a part whose answer never came was sent %+v, first to %d", s, first)
	}
}

// With less than the needed share out in good time a held-back part goes before any second copy.
func TestHeldBackPartIsSentBeforeARepeat(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = 0.5, 0.5
	r := newRig(t, cfg)
	for range 5 { // a long backlog, so that m parts of k are asked
		r.ask(4, 3.5)
	}
	_, parts, acts := r.ask(4, 3.5)
	s := of(Send, acts)
	if len(s) != 2 {
		t.Fatalf("on a long backlog %d parts of 4 were asked, want m = 2", len(s))
	}
	again := of(Send, r.end(s[0].Part, 0, s[0].Replica, Failed))
	if len(again) != 1 || again[0].Part == s[0].Part || again[0].Part < parts[0] || again[0].Part > parts[3] {
		t.Fatalf("after a failure %+v was sent, want a part that was held back", again)
	}
}

// The whole fleet answers three times slower from one moment on: that is no reason to copy every part.
func TestFleetWideSlowdownCausesFewCopies(t *testing.T) {
	r := newRig(t, settings(Safe))
	type out struct {
		Action
		at float64
	}
	var waiting []out
	asked, copies := 0, 0
	took := 0.1
	for step := 0; r.now < 130; step++ {
		if r.now > 115 {
			took = 0.5
		}
		acts := append([]Action(nil), r.run(r.p.tick)...)
		if step%10 == 0 {
			_, _, more := r.ask(1, 3)
			asked++
			acts = append(acts, more...)
		}
		for _, a := range of(Send, acts) {
			waiting = append(waiting, out{a, r.now})
		}
		var left []out
		for _, w := range waiting {
			pt := r.p.parts[w.Part]
			if pt == nil {
				continue
			}
			no := 0
			for i, at := range pt.attempts {
				if at.replica.id == w.Replica {
					no = i
				}
			}
			if no > 0 && w.at == r.now && r.now > 115 {
				copies++
			}
			if r.now-w.at < took {
				left = append(left, w)
				continue
			}
			r.do(Event{Kind: AttemptEnded, Part: w.Part, Attempt: no, Replica: w.Replica, Outcome: OK, Latency: r.now - w.at})
		}
		waiting = left
	}
	if asked < 200 || copies > 30 {
		t.Errorf("%d copies for some %d parts while all slowed down alike", copies, asked/2)
	}
}

// A part whose hint says six times the usual work is not late for taking six times as long.
func TestCostlyPartIsNotCopiedTooSoon(t *testing.T) {
	copies := func(work float64) int {
		r := newRig(t, settings(Safe))
		part := func(work float64) (Event, Event) {
			r.next += 100
			q := Event{Kind: QueryArrived, Query: r.next, Group: r.next, Tenant: -1, Deadline: r.now + 3.9, Count: 1}
			return q, Event{Kind: PartArrived, Part: r.next + 1, Group: r.next, Weight: 1, Work: work}
		}
		for range 60 {
			q, pt := part(0.02)
			acts := r.do(q, pt)
			r.end(pt.Part, 0, of(Send, acts)[0].Replica, OK)
		}
		r.run(2.1)
		q, pt := part(work)
		r.do(q, pt)
		return len(of(Send, r.run(0.5)))
	}
	if n := copies(0.02); n == 0 {
		t.Fatal("an ordinary part five times late was not sent elsewhere")
	}
	if n := copies(0.12); n > 0 {
		t.Fatalf("a costly part was sent %d times more within the time its work takes", n)
	}
}

// The choke points themselves, each asked for what its callers would not ask.

func TestSendEnforcesItsRules(t *testing.T) {
	for name, breach := range map[string]func(r *rig, pt *part, x *replica){
		"gone":     func(r *rig, pt *part, x *replica) { pt.closed = true },
		"in":       func(r *rig, pt *part, x *replica) { pt.received = true },
		"too late": func(r *rig, pt *part, x *replica) { r.p.now = pt.query.deadline },
		"draining": func(r *rig, pt *part, x *replica) { x.state = Draining },
		"removed":  func(r *rig, pt *part, x *replica) { x.state = Removed },
		"cold": func(r *rig, pt *part, x *replica) {
			x.started, x.credit, x.creditAt = r.p.now-0.01, 0, r.p.now
		},
		"attempts": func(r *rig, pt *part, x *replica) { pt.attempts = append(pt.attempts, pt.attempts[0]) },
		"two out":  func(r *rig, pt *part, x *replica) { r.p.cfg.MaxAttempts = 9; pt.inFlight = 2 },
		"no copies": func(r *rig, pt *part, x *replica) {
			r.p.cfg.SecondCopies = false
		},
		"unsafe": func(r *rig, pt *part, x *replica) { r.p.cfg.Classes[0].Effect = Unsafe },
		"budget": func(r *rig, pt *part, x *replica) {
			r.p.cfg.ExtraWindow, r.p.cfg.ExtraPerRequest = 2, 0.01
		},
	} {
		for _, broken := range []bool{false, true} {
			cfg := settings(Safe)
			cfg.MaxAttempts = 2
			r := newRig(t, cfg)
			_, parts, acts := r.ask(1, 3)
			pt := r.p.parts[parts[0]]
			var other *replica
			for _, x := range r.p.list {
				if x.id != of(Send, acts)[0].Replica {
					other = x
				}
			}
			if broken {
				breach(r, pt, other)
			}
			if sent := r.p.send(pt, other, false); sent == broken {
				t.Errorf("%s: sent %v, want %v", name, sent, !broken)
			}
		}
	}
}

// A lost answer is asked elsewhere also when late parts have used up the copies' share.
func TestLostPartIsNotLimitedByTheCopyShare(t *testing.T) {
	r := newRig(t, settings(Safe))
	r.ask(1, 3.9)
	for range 1000 {
		r.p.extraAttempts.add(r.now)
	}
	if n := len(of(Send, r.run(1.2))); n == 0 {
		t.Fatal("a part whose answer was lost stood until its end")
	}
}

// With every holder failing at once a part's attempts are spread out, not used up within milliseconds.
func TestAttemptsAreSpacedWhenEveryHolderFails(t *testing.T) {
	cfg := settings(Safe)
	cfg.MaxAttempts = 9
	r := newRig(t, cfg)
	_, parts, acts := r.ask(1, 3.9)
	n, start := 0, r.now
	for r.now < start+0.5 {
		s := of(Send, acts)
		acts = nil
		for _, a := range s {
			n++
			acts = append(acts, r.end(parts[0], n-1, a.Replica, Unreachable)...)
		}
		acts = append(acts, r.run(r.p.tick)...)
	}
	if n > 4 {
		t.Fatalf("%d attempts in half a second at four holders that are down", n)
	}
}

// A query that brings down each replica that begins a part of it is not sent over all the holders; one whose
// replica went down by chance is, as soon as another part of it has come in.
func TestQueryThatCrashesReplicasIsNotResent(t *testing.T) {
	for _, poison := range []bool{true, false} {
		r := newRig(t, settings(Safe))
		q, _, acts := r.ask(2, 3.9)
		sends, ended := of(Send, acts), []Action(nil)
		n := map[uint64]int{}
		for len(sends) > 0 && len(ended) == 0 {
			s := sends[0]
			sends = sends[1:]
			o := ConnectionBroken
			if !poison && s.Part != q+1 || n[s.Part] > 0 && !poison {
				o = OK
			}
			r.now += 0.01
			acts := append(r.end(s.Part, n[s.Part], s.Replica, o), r.run(0.1)...)
			n[s.Part]++
			sends, ended = append(sends, of(Send, acts)...), finals(acts)
		}
		switch {
		case poison && (n[q+1]+n[q+2] > 3 || len(ended) != 1 || ended[0].Verb != Fail):
			t.Errorf("%d replicas went down with one query, ended by %+v", n[q+1]+n[q+2], ended)
		case !poison && (len(ended) != 1 || ended[0].Verb != Answer):
			t.Errorf("an innocent query ended by %+v", ended)
		}
	}
}

// What a client asks again sends one part ahead; the rest goes when that is in or late, and none if it broke.
func TestClientRetrySendsOnePartFirst(t *testing.T) {
	for _, how := range []string{"in", "late", "broken"} {
		r := newRig(t, settings(Safe))
		ev := []Event{{Kind: QueryArrived, Query: 500, Group: 500, Tenant: -1, Deadline: r.now + 3, Count: 3, Retry: true}}
		for i := range 3 {
			ev = append(ev, Event{Kind: PartArrived, Part: uint64(501 + i), Group: 500, Shard: i, Weight: 1.0 / 3})
		}
		first := of(Send, r.do(ev...))
		if len(first) != 1 {
			t.Fatalf("a retry sent %d parts at once", len(first))
		}
		var next []Action
		switch how {
		case "in":
			next = r.end(first[0].Part, 0, first[0].Replica, OK)
		case "late":
			next = r.run(0.9)
		case "broken":
			next = append(r.end(first[0].Part, 0, first[0].Replica, ConnectionBroken), r.run(0.1)...)
		}
		if s, f := of(Send, next), finals(next); how == "broken" && (len(s) > 0 || len(f) != 1 || f[0].Verb != Fail) ||
			how != "broken" && len(s) < 2 {
			t.Errorf("scout %s: sent %v, ended by %v", how, s, f)
		}
	}
}

// Guards against queries that bring down a replica for each part they send: after the list told of a death without a
// drain a query sends one part ahead, the rest once that has had the time to begin, and it is failed if that broke a
// replica. Without it one such query takes as many replicas as it has parts. A release, which drains, changes nothing.
func TestQueriesSendOnePartFirstAfterAReplicaCrash(t *testing.T) {
	died := func(r *rig) []Event {
		return []Event{{Kind: ListChanged, List: []Entry{{Replica: 1, State: Removed}}}}
	}
	restarted := func(r *rig) []Event {
		return []Event{{Kind: ListChanged, List: []Entry{{Replica: 1, Started: r.now}}}}
	}
	drained := func(r *rig) []Event {
		return []Event{{Kind: ListChanged, List: []Entry{{Replica: 1, State: Draining}}},
			{Kind: ListChanged, List: []Entry{{Replica: 1, State: Removed}}}}
	}
	for name, c := range map[string]struct {
		news  func(*rig) []Event
		wait  float64 // after the news
		first int
	}{
		"died": {died, 0.1, 1}, "restarted": {restarted, 0.1, 1}, "drained": {drained, 0.1, 3}, "long ago": {died, 25, 3},
	} {
		r := newRig(t, settings(Safe))
		r.do(c.news(r)...)
		r.run(c.wait)
		_, _, acts := r.ask(3, 3)
		first := of(Send, acts)
		if len(first) != c.first {
			t.Errorf("%s: %d parts at once, want %d", name, len(first), c.first)
			continue
		}
		if c.first != 1 {
			continue
		}
		if s := of(Send, r.run(0.25)); len(s) != 2 {
			t.Errorf("%s: %d parts after the scout had time to begin, want 2", name, len(s))
		}
		r = newRig(t, settings(Safe))
		r.do(c.news(r)...)
		_, _, acts = r.ask(3, 3)
		first = of(Send, acts)
		next := append(r.end(first[0].Part, 0, first[0].Replica, ConnectionBroken), r.run(0.1)...)
		if s, f := of(Send, next), finals(next); len(s) > 0 || len(f) != 1 || f[0].Verb != Fail {
			t.Errorf("%s: a scout broke a replica, then sent %v, ended by %v", name, s, f)
		}
	}
}

// Guards against silent replicas where one attempt at a time is the rule: a safe part that is taken for lost is taken
// back and goes to another holder once its end is told, never before. One that may not be repeated stays where it is,
// and nothing moves where nothing can be cancelled or no sound holder is left.
func TestSilentPartIsMovedWhereCopiesAreDisabled(t *testing.T) {
	for name, c := range map[string]struct {
		set   func(*Config)
		moves bool
	}{
		"safe":             {func(*Config) {}, true},
		"unsafe":           {func(c *Config) { c.Classes[0].Effect = Unsafe }, false},
		"no cancel":        {func(c *Config) { c.Cancel = false }, false},
		"one attempt":      {func(c *Config) { c.MaxAttempts = 1 }, false},
		"no budget":        {func(c *Config) { c.ExtraFree, c.ExtraPerRequest, c.ExtraWindow = 0, 0, 5 }, false},
		"out of the route": {func(c *Config) { c.Reach, c.Cells = 1, 4 }, false},
	} {
		cfg := settings(Safe)
		cfg.SecondCopies = false
		c.set(&cfg)
		r := newRig(t, cfg)
		if cfg.Cells == 4 { // one holder for each shard
			r.do(Event{Kind: ListChanged, Full: true, List: []Entry{{Replica: 1}, {Replica: 2, Cell: 1}, {Replica: 3, Cell: 2}, {Replica: 4, Cell: 3}}})
		}
		_, parts, acts := r.ask(1, 5)
		first := of(Send, acts)[0]
		acts = r.run(2)
		cancels := of(Cancel, acts)
		if n := len(of(Send, acts)); n > 0 {
			t.Errorf("%s: %d sends while the first attempt is out", name, n)
		}
		if c.moves != (len(cancels) == 1 && cancels[0].Part == parts[0]) {
			t.Errorf("%s: cancelled %v", name, cancels)
			continue
		}
		if !c.moves {
			continue
		}
		again := of(Send, r.end(parts[0], 0, first.Replica, Cancelled))
		if len(again) != 1 || again[0].Replica == first.Replica {
			t.Errorf("%s: after the end of the first attempt sent %v", name, again)
		}
	}
}

// Guards against queues of parts that nobody needs in time any more: while latencies show queues a safe part is sent with
// what is left of its query's promise as its time. Without queues, for other classes it has
// as long as its client waits, and a route's own time holds where it is shorter.
func TestAttemptTimeEndsWithThePromiseWhileQueuesShow(t *testing.T) {
	for name, c := range map[string]struct {
		stress float64
		set    func(*Config)
		route  float64
		want   float64
	}{
		"queues":          {0.5, func(*Config) {}, 0, 1},
		"none":            {0.1, func(*Config) {}, 0, 0},
		"unsafe":          {0.5, func(c *Config) { c.Classes[0].Effect = Unsafe }, 0, 0},
		"keyed":           {0.5, func(c *Config) { c.Classes[0].Effect = Keyed }, 0, 0},
		"shorter route":   {0.5, func(*Config) {}, 0.3, 0.3},
		"longer route":    {0.5, func(*Config) {}, 2, 1},
		"route, no queue": {0.1, func(*Config) {}, 2, 2},
	} {
		cfg := settings(Safe)
		c.set(&cfg)
		r := newRig(t, cfg)
		r.p.recentLatency.value = c.stress
		lim := Limits{AttemptTimeout: c.route}
		acts := r.do(
			Event{Kind: QueryArrived, Query: 500, Group: 500, Tenant: -1, Deadline: r.now + 3, Count: 1, Limits: &lim},
			Event{Kind: PartArrived, Part: 501, Group: 500, Weight: 1})
		if s := of(Send, acts); len(s) != 1 || math.Abs(s[0].AttemptTimeout-c.want) > 1e-9 {
			t.Errorf("%s: sent %v, want a time of %v", name, s, c.want)
		}
	}
}
