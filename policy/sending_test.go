package policy

import (
	"math"
	"testing"
)

// Each outcome of the first attempt, for each effect of the class, leads to a resend, or else to a failure of the query.
func TestResendByOutcome(t *testing.T) {
	for _, c := range []struct {
		effect  Effect
		outcome Outcome
		resend  bool
	}{
		{Safe, Failed, true}, {Safe, Rejected, true}, {Safe, TimedOut, true}, {Safe, Unreachable, true},
		{Safe, ConnectionBroken, true}, {Safe, Cancelled, true}, {Safe, NotSent, true},
		{Keyed, Failed, true}, {Keyed, Rejected, true}, {Keyed, TimedOut, true}, {Keyed, Unreachable, true},
		{Keyed, ConnectionBroken, true}, {Keyed, Cancelled, true}, {Keyed, NotSent, true},
		{Unsafe, Failed, false}, {Unsafe, Rejected, true}, {Unsafe, TimedOut, false}, {Unsafe, Unreachable, true},
		{Unsafe, ConnectionBroken, false}, {Unsafe, Cancelled, false}, {Unsafe, NotSent, true},
	} {
		r := newRig(t, testConfig(c.effect))
		_, parts, acts := r.submit(1, 4)
		acts = r.endAttempt(parts[0], 0, withVerb(Send, acts)[0].Replica, c.outcome)
		if got := len(withVerb(Send, acts)) == 1; got != c.resend {
			t.Errorf("effect %d outcome %d: resent %v, want %v", c.effect, c.outcome, got, c.resend)
		}
		if !c.resend {
			if f := finalActions(acts); len(f) != 1 || f[0].Verb != Fail {
				t.Errorf("effect %d outcome %d: ended with %+v, want one failure", c.effect, c.outcome, f)
			}
		}
	}
}

func TestUnsafeHasNoSecondCopy(t *testing.T) {
	r := newRig(t, testConfig(Unsafe))
	r.submit(1, 3.9)
	if s := withVerb(Send, r.advance(3.8)); len(s) > 0 {
		t.Fatalf("an unsafe part that may have run was sent again: %+v", s)
	}
}

// The window starts at the first attempt that may have run, not at an earlier one that is known never to have run.
func TestKeyedPartIsResentOnlyWithinItsWindow(t *testing.T) {
	r := newRig(t, testConfig(Keyed))
	_, parts, acts := r.submit(1, 10)
	r.now += 0.5
	acts = r.endAttempt(parts[0], 0, withVerb(Send, acts)[0].Replica, Unreachable)
	first := r.now // attempt 1, sent now, may run
	s := withVerb(Send, acts)
	if len(s) != 1 {
		t.Fatalf("no resend after a failed connection: %+v", acts)
	}
	r.now = first + 1.7
	s = withVerb(Send, r.endAttempt(parts[0], 1, s[0].Replica, Failed))
	if len(s) != 1 {
		t.Fatal("no resend well within the window")
	}
	r.now = first + 1.995
	acts = r.endAttempt(parts[0], 2, s[0].Replica, Failed)
	if s = withVerb(Send, append(acts, r.advance(3)...)); len(s) > 0 {
		t.Fatalf("resent at or after the end of the window: %+v", s)
	}
}

// Further attempts never exceed ExtraFree + ExtraPerRequest x requests in any window, whatever ends the attempts.
func TestAttemptBudget(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.ExtraFree, cfg.ExtraPerRequest, cfg.ExtraWindow = 3, 0.1, 2
	r := newRig(t, cfg)
	type logEntry struct {
		at    float64
		extra bool
	}
	var log []logEntry
	tried := map[uint64]int{}
	for round := range 400 {
		_, parts, acts := r.submit(2, 3)
		log = append(log, logEntry{r.now, false}, logEntry{r.now, false}, logEntry{r.now, false})
		for n := 0; n < 2; n++ {
			var next []Action
			for _, a := range withVerb(Send, acts) {
				tried[a.Part]++
				if tried[a.Part] > 1 {
					log = append(log, logEntry{r.now, true})
					extra, requests := 0, 0
					for _, h := range log {
						switch {
						case h.at < r.now-2:
						case h.extra:
							extra++
						default:
							requests++
						}
					}
					if float64(extra) > 3+0.1*float64(requests)+1e-9 {
						t.Fatalf("round %d: %d further attempts for %d requests", round, extra, requests)
					}
				}
				if a.Part == parts[0] || a.Part == parts[1] {
					next = append(next, r.endAttempt(a.Part, a.Attempt+tried[a.Part]-1, a.Replica, Failed)...)
				}
			}
			acts = next
		}
		r.now += 0.013 * float64(1+round%7)
		for _, a := range withVerb(Send, r.handle(Event{Kind: TimerFired})) {
			if tried[a.Part]++; tried[a.Part] > 1 {
				log = append(log, logEntry{r.now, true})
			}
		}
	}
}

func TestAttemptsAreCapped(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.MaxAttempts = 3
	r := newRig(t, cfg)
	_, parts, acts := r.submit(1, 3.9)
	n := 0
	for r.now < 103.8 {
		var next []Action
		for _, a := range withVerb(Send, acts) {
			n++
			next = append(next, r.endAttempt(a.Part, n-1, a.Replica, Failed)...)
		}
		acts = append(next, r.advance(r.p.tick)...)
	}
	if n != 3 {
		t.Fatalf("part %d had %d attempts, want 3", parts[0], n)
	}
}

// Guards against single failures: lost answers, a long backlog, a slow fleet, costly parts.

func TestPartWithoutAnswerIsSentElsewhere(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	_, _, acts := r.submit(1, 3.9)
	first := withVerb(Send, acts)[0].Replica
	s := withVerb(Send, r.advance(1.5))
	if len(s) == 0 || s[0].Replica == first {
		t.Fatalf("a part whose answer never came was sent %+v, want another replica than %d", s, first)
	}
}

// When fewer parts than needed are in flight and not late, a part that was held back is sent before any second attempt.
func TestHeldBackPartIsSentBeforeARepeat(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = 0.5, 0.5
	r := newRig(t, cfg)
	for range 5 { // a long backlog, so that only m of k parts are sent
		r.submit(4, 3.5)
	}
	_, parts, acts := r.submit(4, 3.5)
	s := withVerb(Send, acts)
	if len(s) != 2 {
		t.Fatalf("with a long backlog %d of 4 parts were sent, want m = 2", len(s))
	}
	resent := withVerb(Send, r.endAttempt(s[0].Part, 0, s[0].Replica, Failed))
	if len(resent) != 1 || resent[0].Part == s[0].Part || resent[0].Part < parts[0] || resent[0].Part > parts[3] {
		t.Fatalf("after a failure %+v was sent, want one part that was held back", resent)
	}
}

// Guards against second copies of nearly every part when the whole fleet slows down at once, here from 0.1 s to 0.5 s for
// an answer.
func TestFleetWideSlowdownCausesFewCopies(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	type sentAction struct {
		Action
		sentAt float64
	}
	var waiting []sentAction
	submitted, copies := 0, 0
	took := 0.1
	for step := 0; r.now < 130; step++ {
		if r.now > 115 {
			took = 0.5
		}
		acts := append([]Action(nil), r.advance(r.p.tick)...)
		if step%10 == 0 {
			_, _, queryActions := r.submit(1, 3)
			submitted++
			acts = append(acts, queryActions...)
		}
		for _, a := range withVerb(Send, acts) {
			waiting = append(waiting, sentAction{a, r.now})
		}
		var remaining []sentAction
		for _, w := range waiting {
			pt := r.p.parts[w.Part]
			if pt == nil {
				continue
			}
			number := 0
			for i, tried := range pt.attempts {
				if tried.replica.id == w.Replica {
					number = i
				}
			}
			if number > 0 && w.sentAt == r.now && r.now > 115 {
				copies++
			}
			if r.now-w.sentAt < took {
				remaining = append(remaining, w)
				continue
			}
			r.handle(Event{Kind: AttemptEnded, Part: w.Part, Attempt: number, Replica: w.Replica, Outcome: OK, Latency: r.now - w.sentAt})
		}
		waiting = remaining
	}
	if submitted < 200 || copies > 30 {
		t.Errorf("%d copies for about %d parts while the whole fleet was slow", copies, submitted/2)
	}
}

// A part whose work hint is six times the usual does not count as late because it takes six times as long.
func TestCostlyPartIsNotCopiedTooSoon(t *testing.T) {
	copies := func(work float64) int {
		r := newRig(t, testConfig(Safe))
		newPart := func(work float64) (Event, Event) {
			r.nextID += 100
			q := Event{Kind: QueryArrived, Query: r.nextID, Group: r.nextID, Tenant: -1, Deadline: r.now + 3.9, Count: 1}
			return q, Event{Kind: PartArrived, Part: r.nextID + 1, Group: r.nextID, Weight: 1, Work: work}
		}
		for range 60 {
			q, pt := newPart(0.02)
			acts := r.handle(q, pt)
			r.endAttempt(pt.Part, 0, withVerb(Send, acts)[0].Replica, OK)
		}
		r.advance(2.1)
		q, pt := newPart(work)
		r.handle(q, pt)
		return len(withVerb(Send, r.advance(0.5)))
	}
	if n := copies(0.02); n == 0 {
		t.Fatal("an ordinary part that took five times the usual latency was not sent elsewhere")
	}
	if n := copies(0.12); n > 0 {
		t.Fatalf("a costly part was sent %d more times within the time that its work takes", n)
	}
}

// Direct tests of functions that enforce the rules, with calls that their callers would not make.

// Every attempt goes through send, which refuses each violation of a rule on sending by itself.
func TestSendEnforcesItsRules(t *testing.T) {
	for name, violate := range map[string]func(r *rig, pt *part, rep *replica){
		"closed":   func(r *rig, pt *part, rep *replica) { pt.closed = true },
		"received": func(r *rig, pt *part, rep *replica) { pt.received = true },
		"too late": func(r *rig, pt *part, rep *replica) { r.p.now = pt.query.deadline },
		"draining": func(r *rig, pt *part, rep *replica) { rep.state = Draining },
		"removed":  func(r *rig, pt *part, rep *replica) { rep.state = Removed },
		"cold": func(r *rig, pt *part, rep *replica) {
			rep.started, rep.credit, rep.creditAt = r.p.now-0.01, 0, r.p.now
		},
		"attempts":      func(r *rig, pt *part, rep *replica) { pt.attempts = append(pt.attempts, pt.attempts[0]) },
		"two in flight": func(r *rig, pt *part, rep *replica) { r.p.cfg.MaxAttempts = 9; pt.inFlight = 2 },
		"no copies": func(r *rig, pt *part, rep *replica) {
			r.p.cfg.SecondCopies = false
		},
		"unsafe": func(r *rig, pt *part, rep *replica) { r.p.cfg.Classes[0].Effect = Unsafe },
		"budget": func(r *rig, pt *part, rep *replica) {
			r.p.cfg.ExtraWindow, r.p.cfg.ExtraPerRequest = 2, 0.01
		},
	} {
		for _, broken := range []bool{false, true} {
			cfg := testConfig(Safe)
			cfg.MaxAttempts = 2
			r := newRig(t, cfg)
			_, parts, acts := r.submit(1, 3)
			pt := r.p.parts[parts[0]]
			var other *replica
			for _, rep := range r.p.list {
				if rep.id != withVerb(Send, acts)[0].Replica {
					other = rep
				}
			}
			if broken {
				violate(r, pt, other)
			}
			if sent := r.p.send(pt, other, false); sent == broken {
				t.Errorf("%s: sent %v, want %v", name, sent, !broken)
			}
		}
	}
}

// A part whose answer is lost is sent elsewhere even when copies of late parts have used up their share of the budget.
func TestLostPartIsNotLimitedByTheCopyShare(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	r.submit(1, 3.9)
	for range 1000 {
		r.p.extraAttempts.add(r.now)
	}
	if n := len(withVerb(Send, r.advance(1.2))); n == 0 {
		t.Fatal("a part whose answer was lost was not sent elsewhere")
	}
}

// When every holder fails at once, the attempts of a part are spaced out instead of being used up within milliseconds.
func TestAttemptsAreSpacedWhenEveryHolderFails(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.MaxAttempts = 9
	r := newRig(t, cfg)
	_, parts, acts := r.submit(1, 3.9)
	n, start := 0, r.now
	for r.now < start+0.5 {
		s := withVerb(Send, acts)
		acts = nil
		for _, a := range s {
			n++
			acts = append(acts, r.endAttempt(parts[0], n-1, a.Replica, Unreachable)...)
		}
		acts = append(acts, r.advance(r.p.tick)...)
	}
	if n > 4 {
		t.Fatalf("%d attempts in half a second at four unreachable holders, want 4 at most", n)
	}
}

// Guards against a query that crashes every holder in turn: one that crashes each replica that begins a part of it fails
// after a few attempts. A query whose replica crashed by coincidence is resent once another of its parts is answered.
func TestQueryThatCrashesReplicasIsNotResent(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		r := newRig(t, testConfig(Safe))
		q, _, acts := r.submit(2, 3.9)
		sends, ended := withVerb(Send, acts), []Action(nil)
		attempts := map[uint64]int{}
		for len(sends) > 0 && len(ended) == 0 {
			s := sends[0]
			sends = sends[1:]
			o := ConnectionBroken
			if !crashes && s.Part != q+1 || attempts[s.Part] > 0 && !crashes {
				o = OK
			}
			r.now += 0.01
			acts := append(r.endAttempt(s.Part, attempts[s.Part], s.Replica, o), r.advance(0.1)...)
			attempts[s.Part]++
			sends, ended = append(sends, withVerb(Send, acts)...), finalActions(acts)
		}
		switch {
		case crashes && (attempts[q+1]+attempts[q+2] > 3 || len(ended) != 1 || ended[0].Verb != Fail):
			t.Errorf("one query crashed %d replicas and ended with %+v", attempts[q+1]+attempts[q+2], ended)
		case !crashes && (len(ended) != 1 || ended[0].Verb != Answer):
			t.Errorf("a harmless query ended with %+v", ended)
		}
	}
}

// A query that its client has sent before starts with one part. The others are sent once it is answered or late, and none
// if its replica crashed.
func TestClientRetrySendsOnePartFirst(t *testing.T) {
	for _, ending := range []string{"answered", "late", "broken"} {
		r := newRig(t, testConfig(Safe))
		ev := []Event{{Kind: QueryArrived, Query: 500, Group: 500, Tenant: -1, Deadline: r.now + 3, Count: 3, Retry: true}}
		for i := range 3 {
			ev = append(ev, Event{Kind: PartArrived, Part: uint64(501 + i), Group: 500, Shard: i, Weight: 1.0 / 3})
		}
		first := withVerb(Send, r.handle(ev...))
		if len(first) != 1 {
			t.Fatalf("a retry sent %d parts at once", len(first))
		}
		var next []Action
		switch ending {
		case "answered":
			next = r.endAttempt(first[0].Part, 0, first[0].Replica, OK)
		case "late":
			next = r.advance(0.9)
		case "broken":
			next = append(r.endAttempt(first[0].Part, 0, first[0].Replica, ConnectionBroken), r.advance(0.1)...)
		}
		if s, f := withVerb(Send, next), finalActions(next); ending == "broken" && (len(s) > 0 || len(f) != 1 || f[0].Verb != Fail) ||
			ending != "broken" && len(s) < 2 {
			t.Errorf("first part %s: then sent %v, ended with %v", ending, s, f)
		}
	}
}

// Guards against a query that crashes as many replicas as it has parts. After the list shows that a replica went away or
// restarted without draining, a query sends one part first and the others once that part has had time to begin, and fails
// if the first part crashed a replica. A release, which drains replicas, changes nothing.
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
		change func(*rig) []Event
		wait   float64 // s after the change of the list
		first  int
	}{
		"died": {died, 0.1, 1}, "restarted": {restarted, 0.1, 1}, "drained": {drained, 0.1, 3}, "long ago": {died, 25, 3},
	} {
		r := newRig(t, testConfig(Safe))
		r.handle(c.change(r)...)
		r.advance(c.wait)
		_, _, acts := r.submit(3, 3)
		first := withVerb(Send, acts)
		if len(first) != c.first {
			t.Errorf("%s: %d parts at once, want %d", name, len(first), c.first)
			continue
		}
		if c.first != 1 {
			continue
		}
		if s := withVerb(Send, r.advance(0.25)); len(s) != 2 {
			t.Errorf("%s: %d parts sent once the first one had time to begin, want 2", name, len(s))
		}
		r = newRig(t, testConfig(Safe))
		r.handle(c.change(r)...)
		_, _, acts = r.submit(3, 3)
		first = withVerb(Send, acts)
		next := append(r.endAttempt(first[0].Part, 0, first[0].Replica, ConnectionBroken), r.advance(0.1)...)
		if s, f := withVerb(Send, next), finalActions(next); len(s) > 0 || len(f) != 1 || f[0].Verb != Fail {
			t.Errorf("%s: after the first part crashed a replica, sent %v, ended with %v", name, s, f)
		}
	}
}

// Guards against silent replicas where a part may have only one attempt at a time: the attempt of a safe part that counts as
// lost is cancelled, and the part goes to another holder once that attempt has ended, never before. A part that may not be
// repeated stays where it is, and so does every part where nothing can be cancelled or no healthy holder is left.
func TestSilentPartIsMovedWhereCopiesAreDisabled(t *testing.T) {
	for name, c := range map[string]struct {
		configure func(*Config)
		moves     bool
	}{
		"safe":            {func(*Config) {}, true},
		"unsafe":          {func(c *Config) { c.Classes[0].Effect = Unsafe }, false},
		"no cancel":       {func(c *Config) { c.Cancel = false }, false},
		"one attempt":     {func(c *Config) { c.MaxAttempts = 1 }, false},
		"no budget":       {func(c *Config) { c.ExtraFree, c.ExtraPerRequest, c.ExtraWindow = 0, 0, 5 }, false},
		"no other holder": {func(c *Config) { c.Reach, c.Cells = 1, 4 }, false},
	} {
		cfg := testConfig(Safe)
		cfg.SecondCopies = false
		c.configure(&cfg)
		r := newRig(t, cfg)
		if cfg.Cells == 4 { // one holder for each shard
			r.handle(Event{Kind: ListChanged, Full: true, List: []Entry{{Replica: 1}, {Replica: 2, Cell: 1}, {Replica: 3, Cell: 2}, {Replica: 4, Cell: 3}}})
		}
		_, parts, acts := r.submit(1, 5)
		first := withVerb(Send, acts)[0]
		acts = r.advance(2)
		cancels := withVerb(Cancel, acts)
		if n := len(withVerb(Send, acts)); n > 0 {
			t.Errorf("%s: %d sends while the first attempt is in flight", name, n)
		}
		if c.moves != (len(cancels) == 1 && cancels[0].Part == parts[0]) {
			t.Errorf("%s: unexpected cancellations %v", name, cancels)
			continue
		}
		if !c.moves {
			continue
		}
		resent := withVerb(Send, r.endAttempt(parts[0], 0, first.Replica, Cancelled))
		if len(resent) != 1 || resent[0].Replica == first.Replica {
			t.Errorf("%s: after the end of the first attempt sent %v, want one attempt at another replica", name, resent)
		}
	}
}

// Guards against queues of parts whose answers would come too late: while latencies show queues, an attempt of a safe part
// times out with the promise of its query. Without queues, and for other classes, it may take as long as the client waits.
// A route's own timeout holds where it is shorter.
func TestAttemptTimeEndsWithThePromiseWhileQueuesShow(t *testing.T) {
	for name, c := range map[string]struct {
		recentLatency float64
		configure     func(*Config)
		routeTimeout  float64
		want          float64
	}{
		"queues":           {0.5, func(*Config) {}, 0, 1},
		"no queues":        {0.1, func(*Config) {}, 0, 0},
		"unsafe":           {0.5, func(c *Config) { c.Classes[0].Effect = Unsafe }, 0, 0},
		"keyed":            {0.5, func(c *Config) { c.Classes[0].Effect = Keyed }, 0, 0},
		"shorter route":    {0.5, func(*Config) {}, 0.3, 0.3},
		"longer route":     {0.5, func(*Config) {}, 2, 1},
		"route, no queues": {0.1, func(*Config) {}, 2, 2},
	} {
		cfg := testConfig(Safe)
		c.configure(&cfg)
		r := newRig(t, cfg)
		r.p.recentLatency.value = c.recentLatency
		lim := Limits{AttemptTimeout: c.routeTimeout}
		acts := r.handle(
			Event{Kind: QueryArrived, Query: 500, Group: 500, Tenant: -1, Deadline: r.now + 3, Count: 1, Limits: &lim},
			Event{Kind: PartArrived, Part: 501, Group: 500, Weight: 1})
		if s := withVerb(Send, acts); len(s) != 1 || math.Abs(s[0].AttemptTimeout-c.want) > 1e-9 {
			t.Errorf("%s: sent %v, want a timeout of %v", name, s, c.want)
		}
	}
}
