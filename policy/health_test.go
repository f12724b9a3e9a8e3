package policy

import (
	"math"
	"testing"
)

func TestSilentReplicaIsLeftOutAndTriedAgain(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	sentToSilent, sentLater := 0, 0
	for r.now < 130 {
		_, _, acts := r.submit(1, 3)
		for _, a := range withVerb(Send, acts) {
			if a.Replica == 1 {
				if r.now > 115 {
					sentLater++
				}
				sentToSilent++
				continue
			}
			r.now += 0.05
			r.endAttempt(a.Part, 0, a.Replica, OK)
		}
		for _, a := range r.advance(0.05) {
			switch a.Verb {
			case Send: // a second copy elsewhere
				for _, c := range withVerb(Cancel, r.endAttempt(a.Part, 1, a.Replica, OK)) {
					r.handle(Event{Kind: AttemptEnded, Part: c.Part, Attempt: c.Attempt, Replica: 1, Outcome: Cancelled, Latency: 0.3})
				}
			case Cancel:
				r.handle(Event{Kind: AttemptEnded, Part: a.Part, Attempt: a.Attempt, Replica: 1, Outcome: Cancelled, Latency: 0.3})
			}
		}
	}
	if sentLater == 0 {
		t.Fatal("a silent replica was never tried again")
	}
	if sentLater > 40 {
		t.Fatalf("a silent replica still got %d of about 150 first attempts in 15 s", sentLater)
	}
}

func TestSuspectHoldersAreUsedWhenAllAreSuspect(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	for _, rep := range r.p.list {
		rep.suspect, rep.records[0].suspect = true, true
	}
	if _, _, acts := r.submit(1, 3); len(withVerb(Send, acts)) != 1 {
		t.Fatal("nothing was sent although all holders are suspect alike")
	}
}

// While all holders refuse connections, attempts are spaced out, and new queries are refused at arrival except for trials.
func TestUnreachableHoldersSpaceAttemptsAndRefuseQueries(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	sends, refused := 0, 0
	for range 100 {
		_, _, acts := r.submit(1, 3)
		refused += len(withVerb(Refuse, acts))
		for s := withVerb(Send, acts); len(s) > 0; {
			sends++
			s = withVerb(Send, r.endAttempt(s[0].Part, len(r.p.parts[s[0].Part].attempts)-1, s[0].Replica, Unreachable))
		}
		r.now += 0.01
	}
	if refused < 80 {
		t.Fatalf("%d of 100 queries were refused at arrival, want at least 80", refused)
	}
	if sends > 40 {
		t.Fatalf("%d attempts within a second at holders that are all unreachable, want 40 at most", sends)
	}
}

// Guards against blaming the replicas for a stall of the instance itself, here of two promises. Answers that arrived
// during the stall say nothing about the replicas' latency, attempts still in flight are not late yet, and new queries
// are not refused because of answers that the instance has not seen.
func TestOwnStallIsNotTakenForLatency(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	for range 200 {
		_, _, acts := r.submit(1, 3)
		r.advance(0.02)
		r.endAttempt(withVerb(Send, acts)[0].Part, 0, withVerb(Send, acts)[0].Replica, OK)
	}
	mean, recentLatency := r.p.models[0].mean, r.p.recentLatency.value
	var out []Action
	for range 8 {
		_, _, acts := r.submit(1, 9)
		out = append(out, withVerb(Send, acts)...)
	}
	r.now += 2
	events := []Event{{Kind: TimerFired}}
	for _, a := range out[:4] {
		events = append(events, Event{Kind: AttemptEnded, Part: a.Part, Replica: a.Replica, Outcome: OK, Latency: 2})
	}
	if n := len(withVerb(Send, r.handle(events...))); n > 0 {
		t.Fatalf("%d parts were resent because of the instance's own stall", n)
	}
	for range 6 {
		if _, _, acts := r.submit(1, 3); len(withVerb(Refuse, acts)) > 0 {
			t.Fatal("a query was refused because of answers that the instance's own stall hid")
		}
	}
	r.p.refreshModels()
	if r.p.models[0].mean != mean && r.p.models[0].mean > 0.2 || r.p.recentLatency.value != recentLatency {
		t.Fatalf("mean %v, recent latency %v: the instance's own stall was taken for latency", r.p.models[0].mean, r.p.recentLatency.value)
	}
	for _, rep := range r.p.list {
		if rep.suspect {
			t.Fatalf("replica %d is suspect because of the instance's own stall", rep.id)
		}
	}
}

// Failures of a single class, and failures under little traffic, with many suspects or with few holders.

// A replica that fails one class and serves another is excluded for the first and used for the second.
func TestReplicaIsLeftOutOnlyForTheClassThatFails(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Classes = append(cfg.Classes, cfg.Classes[0])
	r := newRig(t, cfg)
	firstAttempts := [2]int{}
	for i := range 1200 {
		r.nextID += 100
		acts := r.handle(
			Event{Kind: QueryArrived, Query: r.nextID, Group: r.nextID, Class: i % 2, Tenant: -1, Deadline: r.now + 3, Count: 1},
			Event{Kind: PartArrived, Part: r.nextID + 1, Group: r.nextID, Weight: 1})
		for n, s := 0, withVerb(Send, acts); len(s) > 0; n++ {
			o := OK
			if s[0].Replica == 1 && i%2 == 0 {
				o = Failed
			}
			if s[0].Replica == 1 && i > 200 && n == 0 {
				firstAttempts[i%2]++
			}
			s = withVerb(Send, r.endAttempt(s[0].Part, n, s[0].Replica, o))
		}
		r.advance(0.02)
	}
	if firstAttempts[0] > 60 || firstAttempts[1] < 80 {
		t.Fatalf("of 500 first attempts of each class, the replica got %d of the class that it fails and %d of the class that it serves",
			firstAttempts[0], firstAttempts[1])
	}
}

// The longer ago the last outcome of a replica, the more the newest one weighs: a single failure after a long silence makes
// it suspect, a single failure among many answers does not.
func TestFailureWeighsMoreAfterALongSilence(t *testing.T) {
	for _, gap := range []float64{0.01, 5} {
		r := newRig(t, testConfig(Safe))
		for range 20 {
			_, _, acts := r.submit(1, 3)
			r.endAttempt(withVerb(Send, acts)[0].Part, 0, withVerb(Send, acts)[0].Replica, OK)
		}
		r.now += gap
		_, _, acts := r.submit(1, 3)
		s := withVerb(Send, acts)[0]
		r.endAttempt(s.Part, 0, s.Replica, Failed)
		if rep := r.p.replicas[s.Replica]; rep.suspect != (gap > 1) {
			t.Errorf("one failure %v s after a good answer: suspect %v", gap, rep.suspect)
		}
	}
}

// Guards against trials that make up most of the traffic, as they would with many suspects and few queries if only their
// interval limited them.
func TestTrialsAreLimitedToAShareOfTheParts(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Cells, cfg.Shards = 40, 40
	r := newRig(t, cfg)
	var list []Entry
	for id := range uint64(80) {
		list = append(list, Entry{Replica: 1 + id, Cell: int(id) % 40})
	}
	r.handle(Event{Kind: ListChanged, Full: true, List: list})
	for id := range uint64(40) { // one of the two holders of each shard is suspect
		rep := r.p.replicas[1+id]
		rep.suspect, rep.records[0] = true, healthRecord{suspect: true, badShare: 1, suspectSince: r.now, updatedAt: r.now}
	}
	trials, sent := 0, 0
	for i := range 400 {
		r.nextID += 100
		acts := r.handle(
			Event{Kind: QueryArrived, Query: r.nextID, Group: r.nextID, Tenant: -1, Deadline: r.now + 3, Count: 1},
			Event{Kind: PartArrived, Part: r.nextID + 1, Group: r.nextID, Weight: 1, Shard: i % 40})
		for n, s := 0, withVerb(Send, acts); len(s) > 0; n++ {
			sent++
			o := OK
			if s[0].Replica <= 40 {
				trials, o = trials+1, Failed
			}
			s = withVerb(Send, r.endAttempt(s[0].Part, n, s[0].Replica, o))
		}
		r.advance(0.1)
	}
	if trials == 0 || trials > sent/8 {
		t.Fatalf("%d of %d attempts were trials at the 40 suspects", trials, sent)
	}
}

// Guards against slow holders that get an equal share under little traffic, when nearly all choices are ties. With nothing
// in flight, a holder whose answers take twice as long gets few parts of a shard with more than two holders, and its full
// share again once those answers are long ago. With two holders, ties are broken evenly. The fewest open calls always
// decide before slowness.
func TestTiesPreferTheFasterOfMoreThanTwoHolders(t *testing.T) {
	for _, c := range []struct {
		holders            int
		wait               float64
		minParts, maxParts int // of 300 parts, those that the slow holder gets
	}{{3, 0, 1, 40}, {3, 60, 70, 130}, {2, 0, 120, 180}} {
		cfg := testConfig(Safe)
		r := newRig(t, cfg)
		list := Event{Kind: ListChanged, Full: true}
		for i := range c.holders {
			list.List = append(list.List, Entry{Replica: uint64(1 + i)})
		}
		r.handle(list)
		slow := r.p.replicas[1]
		slow.slowness, slow.slownessAt = 2, r.now
		r.now += c.wait
		r.handle()
		got := 0
		for range 300 {
			pt := &part{query: &query{limits: &Limits{}}}
			if rep, _ := r.p.pickReplica(pt); rep == slow {
				got++
			}
		}
		if got < c.minParts || got > c.maxParts {
			t.Errorf("%+v: %d parts went to the slow holder", c, got)
		}
		for _, rep := range r.p.list {
			if rep.openCalls = 1; rep == slow {
				rep.openCalls = 0
			}
		}
		if rep, _ := r.p.pickReplica(&part{query: &query{limits: &Limits{}}}); rep != slow {
			t.Errorf("%+v: the holder with the fewest open calls was not chosen", c)
		}
	}
}

// An answer moves its replica's slowness towards its latency, measured in means of its class.
func TestSlownessFollowsAnswers(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	_, parts, acts := r.submit(1, 5)
	rep := r.p.replicas[withVerb(Send, acts)[0].Replica]
	mean := r.p.models[0].mean
	r.handle(Event{Kind: AttemptEnded, Part: parts[0], Replica: rep.id, Outcome: OK, Latency: 3 * mean})
	if want := 1 + slownessWeight*2; math.Abs(rep.slowness-want) > 1e-9 {
		t.Errorf("slowness %v after an answer that took three means, want %v", rep.slowness, want)
	}
}

// With two holders, a late part does not exclude the last healthy holder. A lost part does, and so does a late part while
// the other holder is healthy.
func TestLatenessDoesNotExcludeTheLastHealthyOfTwoHolders(t *testing.T) {
	for _, otherHealthy := range []bool{true, false} {
		r := newRig(t, testConfig(Safe))
		r.handle(Event{Kind: ListChanged, Full: true, List: []Entry{{Replica: 1}, {Replica: 2}}})
		r.p.recentLatency.add(0.1, 1)
		_, _, acts := r.submit(1, 3.9)
		rep, other := r.p.replicas[withVerb(Send, acts)[0].Replica], r.p.replicas[3-withVerb(Send, acts)[0].Replica]
		if !otherHealthy {
			other.suspect, other.records[0] = true, healthRecord{suspect: true, badShare: 1, suspectSince: r.now, updatedAt: r.now}
			other.nextTrialAt = r.now + 100
		}
		late := r.p.lateAge(0)
		r.advance(1.2 * late)
		if rep.suspect != otherHealthy {
			t.Errorf("other holder healthy: %v, one part late: suspect %v", otherHealthy, rep.suspect)
		}
		if r.advance(late); !rep.suspect {
			t.Errorf("other holder healthy: %v, one part lost: not suspect", otherHealthy)
		}
	}
}

// A part sent to a suspect as a trial gets its second copy sooner than an ordinary part, but not where only one other
// holder could take the copy.
func TestTrialIsCopiedSoonerWithMoreThanTwoHolders(t *testing.T) {
	for _, holders := range []uint64{2, 4} {
		r := newRig(t, testConfig(Safe))
		var list []Entry
		for id := range holders {
			list = append(list, Entry{Replica: 1 + id})
		}
		r.handle(Event{Kind: ListChanged, Full: true, List: list})
		rep := r.p.replicas[1]
		rep.suspect, rep.records[0] = true, healthRecord{suspect: true, badShare: 1, suspectSince: r.now, updatedAt: r.now}
		r.p.trialCredit, r.p.models[0].lateLatency = 2, 0.8 // an ordinary part counts as late well after 1.5 medians
		for rep.openCalls == 0 {
			_, parts, acts := r.submit(1, 3.9)
			if s := withVerb(Send, acts)[0]; s.Replica != 1 {
				r.endAttempt(parts[0], 0, s.Replica, OK)
			}
		}
		if n := len(withVerb(Send, r.advance(0.4))); (n > 0) != (holders > 2) {
			t.Errorf("%d holders: %d copies of a trial within two medians; want one with more than two holders, else none", holders, n)
		}
	}
}
