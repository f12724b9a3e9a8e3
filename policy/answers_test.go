package policy

import (
	"math"
	"testing"
)

func TestOneFinalAnswerBeforeDue(t *testing.T) {
	r := newRig(t, settings(Unsafe))
	q, _, acts := r.ask(2, 1.5)
	if len(of(Send, acts)) != 2 {
		t.Fatalf("sent %d parts, want 2", len(of(Send, acts)))
	}
	due := r.now + 1.5
	var at float64
	n := 0
	for r.now < due+1 {
		if f := finals(r.run(r.p.tick)); len(f) > 0 {
			n, at = n+len(f), r.now
			if f[0].Query != q || f[0].Verb != Fail {
				t.Fatalf("an unsafe query with parts out ended by %+v", f[0])
			}
		}
	}
	if n != 1 || at > due {
		t.Fatalf("%d final answers, the last %.3f s before due", n, due-at)
	}
	if s := of(Send, r.end(q+1, 0, of(Send, acts)[0].Replica, Rejected)); len(s) > 0 {
		t.Fatal("a part was sent after its query's end")
	}
}

func TestAnswerNeedsFloorAndCountsAPartOnce(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = 1, 0.75
	r := newRig(t, cfg)
	_, parts, acts := r.ask(4, 3)
	at := map[uint64]uint64{}
	for _, a := range of(Send, acts) {
		at[a.Part] = a.Replica
	}
	for range 4 { // the same end four times is one part, not four
		if f := finals(r.end(parts[0], 0, at[parts[0]], OK)); len(f) > 0 {
			t.Fatalf("answered from a part counted more than once: %+v", f)
		}
	}
	r.end(parts[1], 0, at[parts[1]], OK)
	if f := finals(r.end(parts[2], 0, at[parts[2]], OK)); len(f) > 0 {
		t.Fatalf("answered from three parts of four while the fourth may still come: %+v", f)
	}
	f := finals(r.run(2.9))
	if len(f) != 1 || f[0].Verb != Answer || f[0].Complete {
		t.Fatalf("want one answer that is not marked whole, got %+v", f)
	}
}

// Weights travel with six decimals. Their slips add up over many parts; what is asked is the whole all the same.
func TestRoundedWeightsMakeAWholeAnswer(t *testing.T) {
	for _, n := range []int{3, 7, 12, 59, 140, 200} {
		cfg := settings(Safe)
		cfg.Shards = n
		r := newRig(t, cfg)
		weight := math.Round(1e6/float64(n)) / 1e6
		events := []Event{{Kind: QueryArrived, Query: 1, Group: 1, Tenant: -1, Deadline: r.now + 4, Count: n}}
		for i := range n {
			events = append(events, Event{Kind: PartArrived, Part: uint64(10 + i), Group: 1, Shard: i, Weight: weight})
		}
		r.do(events...)
		for i := range n {
			acts := r.end(uint64(10+i), 0, 1, OK)
			if i < n-1 && len(acts) > 0 {
				t.Fatalf("%d parts: after answer %d %v", n, i+1, acts)
			}
			if last := of(Answer, acts); i == n-1 && (len(last) != 1 || !last[0].Complete) {
				t.Errorf("%d parts, all in: %v", n, acts)
			}
		}
	}
}

func TestNoAnswerUnderFloor(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = 0.75, 0.75
	r := newRig(t, cfg)
	_, parts, acts := r.ask(4, 2)
	for _, a := range of(Send, acts) {
		if a.Part == parts[0] || a.Part == parts[1] {
			r.end(a.Part, 0, a.Replica, OK)
		}
	}
	f := finals(r.run(2.5))
	if len(f) != 1 || f[0].Verb == Answer {
		t.Fatalf("two parts of four are under the floor, got %+v", f)
	}
}

func TestSecondStepIsWholeOnlyWithAllParts(t *testing.T) {
	for _, firstWhole := range []bool{true, false} {
		cfg := settings(Safe)
		cfg.Classes[0].FollowUp, cfg.Classes[0].Floor, cfg.Classes[0].Need = 2, 0.5, 1
		r := newRig(t, cfg)
		q, _, acts := r.ask(2, 3)
		s := of(Send, acts)
		r.end(s[0].Part, 0, s[0].Replica, OK)
		var f []Action
		if firstWhole {
			f = finals(r.end(s[1].Part, 0, s[1].Replica, OK))
		} else {
			f = finals(r.run(1.1)) // a short answer once the promise has passed
		}
		if len(f) != 1 || f[0].Verb != Answer || f[0].Complete != firstWhole {
			t.Fatalf("first step ended by %+v", f)
		}
		acts = r.do(
			Event{Kind: PartArrived, Part: q + 50, Group: q, Shard: 0, Weight: 0.5},
			Event{Kind: PartArrived, Part: q + 51, Group: q, Shard: 1, Weight: 0.5})
		s = of(Send, acts)
		if len(s) != 2 {
			t.Fatalf("second step sent %d parts, want 2", len(s))
		}
		if f = finals(r.end(s[0].Part, 0, s[0].Replica, OK)); len(f) > 0 {
			if firstWhole || f[0].Complete {
				t.Fatalf("answered from half of the second step: %+v", f)
			}
			continue
		}
		f = finals(r.end(s[1].Part, 0, s[1].Replica, OK))
		if len(f) != 1 || f[0].Verb != Answer || f[0].Complete != firstWhole {
			t.Fatalf("first step whole %v, second ended by %+v", firstWhole, f)
		}
	}
}

// A spare part of the first step that is answered during the second is no part of the second.
func TestAnswerOfAnEndedStepIsNotCounted(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes[0].FollowUp, cfg.Classes[0].Need, cfg.Classes[0].Floor = 2, 0.5, 0.5
	r := newRig(t, cfg)
	q, _, acts := r.ask(2, 3)
	first := of(Send, acts)
	if len(first) != 2 {
		t.Fatalf("with no backlog %d parts of 2 were asked", len(first))
	}
	r.end(first[0].Part, 0, first[0].Replica, OK)
	r.do(
		Event{Kind: PartArrived, Part: q + 50, Group: q, Shard: 0, Weight: 0.5},
		Event{Kind: PartArrived, Part: q + 51, Group: q, Shard: 1, Weight: 0.5})
	acts = r.end(first[1].Part, 0, first[1].Replica, OK)
	if len(finals(acts)) > 0 || r.p.queries[q].receivedCount != 0 {
		t.Fatalf("a part of the first step was counted in the second: %+v", acts)
	}
	acts = r.end(first[1].Part, 0, first[1].Replica, Failed)
	if len(of(Send, acts)) > 0 {
		t.Fatal("a part of an ended step was sent again")
	}
}

// Found by random events: an unsafe query between its two steps has no parts, yet its first step ran.
func TestUnsafeQueryBetweenStepsFailsInsteadOfRefusal(t *testing.T) {
	cfg := settings(Unsafe)
	cfg.Classes[0].FollowUp = 1
	r := newRig(t, cfg)
	_, _, acts := r.ask(1, 0.5)
	s := of(Send, acts)
	r.end(s[0].Part, 0, s[0].Replica, OK)
	f := finals(r.run(1))
	if len(f) != 1 || f[0].Verb != Fail {
		t.Fatalf("want one failure, got %+v", f)
	}
}

func TestAnswerBelowFloorIsNotEmitted(t *testing.T) {
	cfg := settings(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = 1, 0.75
	r := newRig(t, cfg)
	q, _, _ := r.ask(4, 3)
	held := r.p.queries[q]
	held.receivedWeight, held.receivedCount = 0.5, 2
	r.p.actions = r.p.actions[:0]
	if r.p.answer(held); len(r.p.actions) > 0 {
		t.Fatalf("half of the weight, floor 0.75: %+v", r.p.actions)
	}
	held.receivedWeight, held.receivedCount = 0.75, 3
	if r.p.answer(held); len(finals(r.p.actions)) != 1 {
		t.Fatalf("at the floor: %+v", r.p.actions)
	}
}

func TestFinalActionIsEmittedOnce(t *testing.T) {
	r := newRig(t, settings(Safe))
	q, _, _ := r.ask(1, 3)
	held := r.p.queries[q]
	r.p.actions = r.p.actions[:0]
	r.p.finish(held, Action{Verb: Fail, Query: q})
	r.p.finish(held, Action{Verb: Refuse, Query: q})
	if n := len(finals(r.p.actions)); n != 1 {
		t.Fatalf("%d final answers", n)
	}
}
