package policy

import (
	"math"
	"testing"
)

func TestOneFinalAnswerBeforeDue(t *testing.T) {
	r := newRig(t, testConfig(Unsafe))
	q, _, acts := r.submit(2, 1.5)
	if len(withVerb(Send, acts)) != 2 {
		t.Fatalf("sent %d parts, want 2", len(withVerb(Send, acts)))
	}
	due := r.now + 1.5
	var at float64
	n := 0
	for r.now < due+1 {
		if f := finalActions(r.advance(r.p.tick)); len(f) > 0 {
			n, at = n+len(f), r.now
			if f[0].Query != q || f[0].Verb != Fail {
				t.Fatalf("an unsafe query with parts in flight ended with %+v", f[0])
			}
		}
	}
	if n != 1 || at > due {
		t.Fatalf("%d final actions, the last %.3f s before the deadline; want one before it", n, due-at)
	}
	if s := withVerb(Send, r.endAttempt(q+1, 0, withVerb(Send, acts)[0].Replica, Rejected)); len(s) > 0 {
		t.Fatal("a part was sent after its query's end")
	}
}

func TestAnswerNeedsFloorAndCountsAPartOnce(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = 1, 0.75
	r := newRig(t, cfg)
	_, parts, acts := r.submit(4, 3)
	replicaOf := map[uint64]uint64{}
	for _, a := range withVerb(Send, acts) {
		replicaOf[a.Part] = a.Replica
	}
	for range 4 { // a repeated end of one attempt counts as one part
		if f := finalActions(r.endAttempt(parts[0], 0, replicaOf[parts[0]], OK)); len(f) > 0 {
			t.Fatalf("answered from a part counted more than once: %+v", f)
		}
	}
	r.endAttempt(parts[1], 0, replicaOf[parts[1]], OK)
	if f := finalActions(r.endAttempt(parts[2], 0, replicaOf[parts[2]], OK)); len(f) > 0 {
		t.Fatalf("answered from three parts of four while the fourth is in flight: %+v", f)
	}
	f := finalActions(r.advance(2.9))
	if len(f) != 1 || f[0].Verb != Answer || f[0].Complete {
		t.Fatalf("want one answer that is not marked complete, got %+v", f)
	}
}

// Weights arrive rounded to six decimals. Their rounding errors add up over many parts, and the answer from all parts
// must still count as complete.
func TestRoundedWeightsMakeACompleteAnswer(t *testing.T) {
	for _, n := range []int{3, 7, 12, 59, 140, 200} {
		cfg := testConfig(Safe)
		cfg.Shards = n
		r := newRig(t, cfg)
		weight := math.Round(1e6/float64(n)) / 1e6
		events := []Event{{Kind: QueryArrived, Query: 1, Group: 1, Tenant: -1, Deadline: r.now + 4, Count: n}}
		for i := range n {
			events = append(events, Event{Kind: PartArrived, Part: uint64(10 + i), Group: 1, Shard: i, Weight: weight})
		}
		r.handle(events...)
		for i := range n {
			acts := r.endAttempt(uint64(10+i), 0, 1, OK)
			if i < n-1 && len(acts) > 0 {
				t.Fatalf("%d parts: actions after answer %d: %v", n, i+1, acts)
			}
			if last := withVerb(Answer, acts); i == n-1 && (len(last) != 1 || !last[0].Complete) {
				t.Errorf("%d parts, all received, want one complete answer: %v", n, acts)
			}
		}
	}
}

func TestNoAnswerUnderFloor(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = 0.75, 0.75
	r := newRig(t, cfg)
	_, parts, acts := r.submit(4, 2)
	for _, a := range withVerb(Send, acts) {
		if a.Part == parts[0] || a.Part == parts[1] {
			r.endAttempt(a.Part, 0, a.Replica, OK)
		}
	}
	f := finalActions(r.advance(2.5))
	if len(f) != 1 || f[0].Verb == Answer {
		t.Fatalf("two parts of four are below the floor, want one final action and no answer, got %+v", f)
	}
}

func TestSecondStepIsCompleteOnlyWithAllParts(t *testing.T) {
	for _, firstComplete := range []bool{true, false} {
		cfg := testConfig(Safe)
		cfg.Classes[0].FollowUp, cfg.Classes[0].Floor, cfg.Classes[0].Need = 2, 0.5, 1
		r := newRig(t, cfg)
		q, _, acts := r.submit(2, 3)
		s := withVerb(Send, acts)
		r.endAttempt(s[0].Part, 0, s[0].Replica, OK)
		var f []Action
		if firstComplete {
			f = finalActions(r.endAttempt(s[1].Part, 0, s[1].Replica, OK))
		} else {
			f = finalActions(r.advance(1.1)) // a partial answer once the promise has passed
		}
		if len(f) != 1 || f[0].Verb != Answer || f[0].Complete != firstComplete {
			t.Fatalf("first step ended with %+v", f)
		}
		acts = r.handle(
			Event{Kind: PartArrived, Part: q + 50, Group: q, Shard: 0, Weight: 0.5},
			Event{Kind: PartArrived, Part: q + 51, Group: q, Shard: 1, Weight: 0.5})
		s = withVerb(Send, acts)
		if len(s) != 2 {
			t.Fatalf("second step sent %d parts, want 2", len(s))
		}
		if f = finalActions(r.endAttempt(s[0].Part, 0, s[0].Replica, OK)); len(f) > 0 {
			if firstComplete || f[0].Complete {
				t.Fatalf("answered from half of the second step: %+v", f)
			}
			continue
		}
		f = finalActions(r.endAttempt(s[1].Part, 0, s[1].Replica, OK))
		if len(f) != 1 || f[0].Verb != Answer || f[0].Complete != firstComplete {
			t.Fatalf("first step complete: %v, second step ended with %+v", firstComplete, f)
		}
	}
}

// A part of the first step that was not needed and is answered during the second step does not count for the second.
func TestAnswerOfAnEndedStepIsNotCounted(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Classes[0].FollowUp, cfg.Classes[0].Need, cfg.Classes[0].Floor = 2, 0.5, 0.5
	r := newRig(t, cfg)
	q, _, acts := r.submit(2, 3)
	first := withVerb(Send, acts)
	if len(first) != 2 {
		t.Fatalf("with no backlog %d of 2 parts were sent", len(first))
	}
	r.endAttempt(first[0].Part, 0, first[0].Replica, OK)
	r.handle(
		Event{Kind: PartArrived, Part: q + 50, Group: q, Shard: 0, Weight: 0.5},
		Event{Kind: PartArrived, Part: q + 51, Group: q, Shard: 1, Weight: 0.5})
	acts = r.endAttempt(first[1].Part, 0, first[1].Replica, OK)
	if len(finalActions(acts)) > 0 || r.p.queries[q].receivedCount != 0 {
		t.Fatalf("a part of the first step was counted in the second: %+v", acts)
	}
	acts = r.endAttempt(first[1].Part, 0, first[1].Replica, Failed)
	if len(withVerb(Send, acts)) > 0 {
		t.Fatal("a part of an ended step was resent")
	}
}

// Found by random events: an unsafe query between its two steps holds no parts, but its first step has run, so that it
// must end with a failure. A refusal would say that nothing ran.
func TestUnsafeQueryBetweenStepsFailsInsteadOfRefusal(t *testing.T) {
	cfg := testConfig(Unsafe)
	cfg.Classes[0].FollowUp = 1
	r := newRig(t, cfg)
	_, _, acts := r.submit(1, 0.5)
	s := withVerb(Send, acts)
	r.endAttempt(s[0].Part, 0, s[0].Replica, OK)
	f := finalActions(r.advance(1))
	if len(f) != 1 || f[0].Verb != Fail {
		t.Fatalf("want one failure, got %+v", f)
	}
}

func TestAnswerBelowFloorIsNotEmitted(t *testing.T) {
	cfg := testConfig(Safe)
	cfg.Classes[0].Need, cfg.Classes[0].Floor = 1, 0.75
	r := newRig(t, cfg)
	q, _, _ := r.submit(4, 3)
	state := r.p.queries[q]
	state.receivedWeight, state.receivedCount = 0.5, 2
	r.p.actions = r.p.actions[:0]
	if r.p.answer(state); len(r.p.actions) > 0 {
		t.Fatalf("answered with half of the weight and a floor of 0.75: %+v", r.p.actions)
	}
	state.receivedWeight, state.receivedCount = 0.75, 3
	if r.p.answer(state); len(finalActions(r.p.actions)) != 1 {
		t.Fatalf("want one answer at the floor, got %+v", r.p.actions)
	}
}

func TestFinalActionIsEmittedOnce(t *testing.T) {
	r := newRig(t, testConfig(Safe))
	q, _, _ := r.submit(1, 3)
	state := r.p.queries[q]
	r.p.actions = r.p.actions[:0]
	r.p.finish(state, Action{Verb: Fail, Query: q})
	r.p.finish(state, Action{Verb: Refuse, Query: q})
	if n := len(finalActions(r.p.actions)); n != 1 {
		t.Fatalf("%d final actions, want 1", n)
	}
}
