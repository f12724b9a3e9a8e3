package policy

import (
	"math"
	"testing"
)

func TestSilentReplicaIsLeftOutAndTriedAgain(t *testing.T) {
	r := newRig(t, settings(Safe))
	silent, late := 0, 0
	for r.now < 130 {
		_, _, acts := r.ask(1, 3)
		for _, a := range of(Send, acts) {
			if a.Replica == 1 {
				if r.now > 115 {
					late++
				}
				silent++
				continue
			}
			r.now += 0.05
			r.end(a.Part, 0, a.Replica, OK)
		}
		for _, a := range r.run(0.05) {
			switch a.Verb {
			case Send: // a second copy elsewhere
				for _, c := range of(Cancel, r.end(a.Part, 1, a.Replica, OK)) {
					r.do(Event{Kind: AttemptEnded, Part: c.Part, Attempt: c.Attempt, Replica: 1, Outcome: Cancelled, Latency: 0.3})
				}
			case Cancel:
				r.do(Event{Kind: AttemptEnded, Part: a.Part, Attempt: a.Attempt, Replica: 1, Outcome: Cancelled, Latency: 0.3})
			}
		}
	}
	if late == 0 {
		t.Fatal("a silent replica was never tried again")
	}
	if late > 40 {
		t.Fatalf("a silent replica still got %d first attempts of some 150 in 15 s", late)
	}
}

func TestSuspectHoldersAreUsedWhenAllAreSuspect(t *testing.T) {
	r := newRig(t, settings(Safe))
	for _, x := range r.p.list {
		x.suspect, x.records[0].suspect = true, true
	}
	if _, _, acts := r.ask(1, 3); len(of(Send, acts)) != 1 {
		t.Fatal("with every holder suspect nothing was sent")
	}
}

// All holders refuse connections: tries are spaced, and new queries refused at once but for trials.
func TestUnreachableHoldersSpaceAttemptsAndRefuseQueries(t *testing.T) {
	r := newRig(t, settings(Safe))
	sends, refused := 0, 0
	for range 100 {
		_, _, acts := r.ask(1, 3)
		refused += len(of(Refuse, acts))
		for s := of(Send, acts); len(s) > 0; {
			sends++
			s = of(Send, r.end(s[0].Part, len(r.p.parts[s[0].Part].attempts)-1, s[0].Replica, Unreachable))
		}
		r.now += 0.01
	}
	if refused < 80 {
		t.Fatalf("%d of 100 queries were refused at once, want most", refused)
	}
	if sends > 40 {
		t.Fatalf("%d attempts within a second at holders that are all down", sends)
	}
}

// This instance stood still for two promises: what came back meanwhile says nothing of the replicas, what
// is still out is not late yet, and new queries are not refused for the answers that were not seen.
func TestOwnStallIsNotTakenForLatency(t *testing.T) {
	r := newRig(t, settings(Safe))
	for range 200 {
		_, _, acts := r.ask(1, 3)
		r.run(0.02)
		r.end(of(Send, acts)[0].Part, 0, of(Send, acts)[0].Replica, OK)
	}
	mean, stress := r.p.models[0].mean, r.p.recentLatency.value
	var out []Action
	for range 8 {
		_, _, acts := r.ask(1, 9)
		out = append(out, of(Send, acts)...)
	}
	r.now += 2
	events := []Event{{Kind: TimerFired}}
	for _, a := range out[:4] {
		events = append(events, Event{Kind: AttemptEnded, Part: a.Part, Replica: a.Replica, Outcome: OK, Latency: 2})
	}
	if n := len(of(Send, r.do(events...))); n > 0 {
		t.Fatalf("%d parts sent again for our own standstill", n)
	}
	for range 6 {
		if _, _, acts := r.ask(1, 3); len(of(Refuse, acts)) > 0 {
			t.Fatal("a query was refused for answers that our own standstill hid")
		}
	}
	r.p.refreshModels()
	if r.p.models[0].mean != mean && r.p.models[0].mean > 0.2 || r.p.recentLatency.value != stress {
		t.Fatalf("mean %v, stress %v: a standstill of ours was taken for latency", r.p.models[0].mean, r.p.recentLatency.value)
	}
	for _, x := range r.p.list {
		if x.suspect {
			t.Fatalf("replica %d is suspect for our own standstill", x.id)
		}
	}
}

// Kinds of symptom at the later sizes.

// A replica that fails one class and serves the other is left out for the one and used for the other.
func TestReplicaIsLeftOutOnlyForTheClassThatFails(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes = append(cfg.Classes, cfg.Classes[0])
	r := newRig(t, cfg)
	got := [2]int{}
	for i := range 1200 {
		r.next += 100
		acts := r.do(
			Event{Kind: QueryArrived, Query: r.next, Group: r.next, Class: i % 2, Tenant: -1, Deadline: r.now + 3, Count: 1},
			Event{Kind: PartArrived, Part: r.next + 1, Group: r.next, Weight: 1})
		for n, s := 0, of(Send, acts); len(s) > 0; n++ {
			o := OK
			if s[0].Replica == 1 && i%2 == 0 {
				o = Failed
			}
			if s[0].Replica == 1 && i > 200 && n == 0 {
				got[i%2]++
			}
			s = of(Send, r.end(s[0].Part, n, s[0].Replica, o))
		}
		r.run(0.02)
	}
	if got[0] > 60 || got[1] < 80 {
		t.Fatalf("of 500 first attempts of each class the failing replica got %d of the failed and %d of the served", got[0], got[1])
	}
}

// The longer nothing was heard, the more one outcome says: a single failure after a long silence is enough,
// amid many answers it is not.
func TestFailureWeighsMoreAfterALongSilence(t *testing.T) {
	for _, gap := range []float64{0.01, 5} {
		r := newRig(t, settings(Safe))
		for range 20 {
			_, _, acts := r.ask(1, 3)
			r.end(of(Send, acts)[0].Part, 0, of(Send, acts)[0].Replica, OK)
		}
		r.now += gap
		_, _, acts := r.ask(1, 3)
		s := of(Send, acts)[0]
		r.end(s.Part, 0, s.Replica, Failed)
		if x := r.p.replicas[s.Replica]; x.suspect != (gap > 1) {
			t.Errorf("one failure %v s after a good answer: suspect %v", gap, x.suspect)
		}
	}
}

// With many suspects and little traffic, trials by the clock alone would be most of what is sent.
func TestTrialsAreLimitedToAShareOfTheParts(t *testing.T) {
	cfg := settings(Safe)
	cfg.Cells, cfg.Shards = 40, 40
	r := newRig(t, cfg)
	var list []Entry
	for id := range uint64(80) {
		list = append(list, Entry{Replica: 1 + id, Cell: int(id) % 40})
	}
	r.do(Event{Kind: ListChanged, Full: true, List: list})
	for id := range uint64(40) { // one of the two holders of each shard
		x := r.p.replicas[1+id]
		x.suspect, x.records[0] = true, healthRecord{suspect: true, badShare: 1, suspectSince: r.now, updatedAt: r.now}
	}
	trials, sent := 0, 0
	for i := range 400 {
		r.next += 100
		acts := r.do(
			Event{Kind: QueryArrived, Query: r.next, Group: r.next, Tenant: -1, Deadline: r.now + 3, Count: 1},
			Event{Kind: PartArrived, Part: r.next + 1, Group: r.next, Weight: 1, Shard: i % 40})
		for n, s := 0, of(Send, acts); len(s) > 0; n++ {
			sent++
			o := OK
			if s[0].Replica <= 40 {
				trials, o = trials+1, Failed
			}
			s = of(Send, r.end(s[0].Part, n, s[0].Replica, o))
		}
		r.run(0.1)
	}
	if trials == 0 || trials > sent/8 {
		t.Fatalf("%d trials of %d attempts at 40 suspects", trials, sent)
	}
}

// Guards against thin traffic, in which nearly all choices are ties: with nothing out, a holder whose answers take twice
// as long gets few parts of a shard with more than two holders, and its share again once that was long ago. With two
// holders ties stay even, and fewest parts out goes before any pace.
func TestTiesPreferTheFasterOfMoreThanTwoHolders(t *testing.T) {
	for _, c := range []struct {
		holders int
		wait    float64
		low, up int // parts of 300 that the slow one gets
	}{{3, 0, 1, 40}, {3, 60, 70, 130}, {2, 0, 120, 180}} {
		cfg := settings(Safe)
		r := newRig(t, cfg)
		list := Event{Kind: ListChanged, Full: true}
		for i := range c.holders {
			list.List = append(list.List, Entry{Replica: uint64(1 + i)})
		}
		r.do(list)
		slow := r.p.replicas[1]
		slow.slowness, slow.slownessAt = 2, r.now
		r.now += c.wait
		r.do()
		got := 0
		for range 300 {
			pt := &part{query: &query{limits: &Limits{}}}
			if x, _ := r.p.pickReplica(pt); x == slow {
				got++
			}
		}
		if got < c.low || got > c.up {
			t.Errorf("%+v: %d parts went to the slow one", c, got)
		}
		for _, x := range r.p.list {
			if x.openCalls = 1; x == slow {
				x.openCalls = 0
			}
		}
		if x, _ := r.p.pickReplica(&part{query: &query{limits: &Limits{}}}); x != slow {
			t.Errorf("%+v: the holder with fewest parts out was passed over", c)
		}
	}
}

// An answer moves its replica's pace towards what it took, in means of its class.
func TestPaceFollowsAnswers(t *testing.T) {
	r := newRig(t, settings(Safe))
	_, parts, acts := r.ask(1, 5)
	x := r.p.replicas[of(Send, acts)[0].Replica]
	mean := r.p.models[0].mean
	r.do(Event{Kind: AttemptEnded, Part: parts[0], Replica: x.id, Outcome: OK, Latency: 3 * mean})
	if want := 1 + slownessWeight*2; math.Abs(x.slowness-want) > 1e-9 {
		t.Errorf("pace %v after an answer in three means, want %v", x.slowness, want)
	}
}

// With two holders, a late part alone does not leave out the last sound one; a lost one does, and so does a late
// one while the other holder is sound.
func TestLatenessDoesNotExcludeTheLastHealthyOfTwoHolders(t *testing.T) {
	for _, otherSound := range []bool{true, false} {
		r := newRig(t, settings(Safe))
		r.do(Event{Kind: ListChanged, Full: true, List: []Entry{{Replica: 1}, {Replica: 2}}})
		r.p.recentLatency.add(0.1, 1)
		_, _, acts := r.ask(1, 3.9)
		x, other := r.p.replicas[of(Send, acts)[0].Replica], r.p.replicas[3-of(Send, acts)[0].Replica]
		if !otherSound {
			other.suspect, other.records[0] = true, healthRecord{suspect: true, badShare: 1, suspectSince: r.now, updatedAt: r.now}
			other.nextTrialAt = r.now + 100
		}
		late := r.p.lateAge(0)
		r.run(1.2 * late)
		if x.suspect != otherSound {
			t.Errorf("other holder sound %v, a part late: suspect %v", otherSound, x.suspect)
		}
		if r.run(late); !x.suspect {
			t.Errorf("other holder sound %v, a part lost: not suspect", otherSound)
		}
	}
}

// A trial of a suspect is copied sooner than an ordinary part, but not where the copy can go to one holder alone.
func TestTrialIsCopiedSoonerWithMoreThanTwoHolders(t *testing.T) {
	for _, holders := range []uint64{2, 4} {
		r := newRig(t, settings(Safe))
		var list []Entry
		for id := range holders {
			list = append(list, Entry{Replica: 1 + id})
		}
		r.do(Event{Kind: ListChanged, Full: true, List: list})
		x := r.p.replicas[1]
		x.suspect, x.records[0] = true, healthRecord{suspect: true, badShare: 1, suspectSince: r.now, updatedAt: r.now}
		r.p.trialCredit, r.p.models[0].lateLatency = 2, 0.8 // lateAge well after 1.5 medians
		for x.openCalls == 0 {
			_, parts, acts := r.ask(1, 3.9)
			if s := of(Send, acts)[0]; s.Replica != 1 {
				r.end(parts[0], 0, s.Replica, OK)
			}
		}
		if n := len(of(Send, r.run(0.4))); (n > 0) != (holders > 2) {
			t.Errorf("%d holders: %d copies of a trial within two medians", holders, n)
		}
	}
}
