package view

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

func TestLeaseCountsFromPollSendTimeLessDrift(t *testing.T) {
	r := newRig(t)
	r.run(3 * s)
	r.unanswered = true
	r.pending = nil
	n := len(r.polls)
	sent := r.now - r.v.Age(r.now)
	r.run(9 * s)
	r.expect("cut off", r.v.CutOff(sent+9900*time.Millisecond), true)
	r.expect("cut off", r.v.CutOff(sent+9899*time.Millisecond), false)
	r.expect("age", r.v.Age(r.now), r.now-sent)
	// Answers that are late, repeated or of no poll of ours change only what their own poll's sending allows.
	r.run(3 * s)
	r.pending = []Input{PollAnswered{Sequence: r.polls[n-2].Sequence}, PollAnswered{Sequence: 999}}
	r.step(100 * time.Millisecond)
	r.expect("cut off after a repeated answer", r.v.CutOff(r.now), true)
	r.pending = []Input{PollAnswered{Sequence: r.polls[n].Sequence, Term: 3}}
	r.step(100 * time.Millisecond)
	r.expect("a late answer lengthens by its own poll", r.v.Age(r.now), r.now-r.pollsAt[n])
	r.pending = []Input{PollAnswered{Sequence: r.polls[n+2].Sequence, Term: 3}}
	r.step(100 * time.Millisecond)
	age := r.now - r.pollsAt[n+2]
	r.pending = []Input{PollAnswered{Sequence: r.polls[n+1].Sequence, Term: 3}, PollAnswered{Sequence: r.polls[len(r.polls)-1].Sequence, Term: 2}}
	r.step(0)
	r.expect("an older answer, or an older leader's, changes nothing", r.v.Age(r.now), age)
}

func TestCutOffKeepsDrainsUntilGrantEnd(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.run(3 * s)
	r.expect("for the file", len(r.grants), 1)
	r.expect("to begin before", r.grants[0].StartBefore, 5080*s)
	r.unanswered = true
	r.run(12 * s)
	r.expect("cut off", r.v.CutOff(r.now), true)
	r.expect("for the file while cut off", r.grants, "[]")
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged), r.item("r3", 8, maintenance.Granted))
	r.expect("kept, nothing new", r.drains, "[r1]")
	later := r.item("r1", 7, maintenance.Out)
	later.Until += 20 * s
	r.applyItems(later, r.item("r3", 8, maintenance.Granted))
	knownTime := r.agreedTime
	for r.agreedTime < 5120*s+900*time.Millisecond {
		r.pending = append(r.pending, Applied{State: &r.state, Index: r.index, AgreedTime: knownTime}) // which moves no time
		r.run(100 * time.Millisecond)
		r.expect("kept until a hundredth past the end", r.drains, "[r1]")
	}
	r.run(s)
	r.expect("lifted after the end", r.drains, "[]")
	r.unanswered = false
	r.run(6 * s)
	r.expect("laid again once answered, while the grants live", r.drains, "[r1 r3]")
	r = newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.run(78 * s)
	r.expect("for the file", len(r.grants), 1)
	r.run(2 * s)
	r.expect("for the file once it is too late to begin", r.grants, "[]")
}

func TestStalledProcessIsCutOffUntilAnswered(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.run(s)
	r.unanswered, r.pending = true, nil
	r.step(100 * time.Millisecond)
	r.expect("before the stop", r.v.CutOff(r.now), false)
	before := r.polls[len(r.polls)-1].Sequence
	// What was sent before the stop is answered in the first Step after it, together with a new grant.
	r.pending = []Input{PollAnswered{Sequence: before}}
	r.applyItems(r.item("r1", 7, maintenance.Granted), r.item("r3", 8, maintenance.Granted))
	r.step(30 * s)
	resumedAt := r.now
	r.expect("cut off on waking", r.v.CutOff(r.now), true)
	r.expect("laid on waking", r.drains, "[r1]")
	r.expect("said on waking: its Grace began anew", r.lastReported(), "[]")
	r.unanswered = false
	r.run(10 * s)
	r.expect("after an answer", r.drains, "[r1 r3]")
	i := slices.IndexFunc(r.polls, func(p Poll) bool { return len(p.Drains) > 0 })
	r.expect("a whole Grace after waking", r.pollsAt[i]-resumedAt >= 2*s, true)
	r.step(30 * s)
	r.expect("what was said before a stop", r.lastReported(), "[{r1 7 false } {r3 8 false }]")
}

func TestPollIntervals(t *testing.T) {
	r := newRig(t)
	r.run(10 * s)
	r.expect("polls in 10 s", len(r.polls), 11)
	for len(r.pending) == 0 {
		r.step(100 * time.Millisecond)
	}
	n := len(r.polls)
	r.pending = []Input{PollAnswered{Sequence: r.polls[n-1].Sequence, Truncated: true}}
	r.step(100 * time.Millisecond)
	r.expect("at once after an answer that was cut short", len(r.polls), n+1)
	r.unanswered, r.pending = true, nil
	r.run(60 * s)
	var gaps []string
	for i := n + 1; i < len(r.polls); i++ {
		gaps = append(gaps, (r.pollsAt[i] - r.pollsAt[i-1]).String())
		r.expect("numbers", r.polls[i].Sequence, r.polls[i-1].Sequence+1)
	}
	r.expect("unanswered, a quarter of the lease at most", gaps[:5], "[1s 1s 2s 2.5s 2.5s]")
	r.pending = []Input{PollAnswered{Sequence: r.v.polls.sequence, Truncated: true}}
	n = len(r.polls)
	for range 100 {
		r.step(10 * time.Millisecond)
		r.pending = append(r.pending, PollAnswered{Sequence: r.v.polls.sequence, Truncated: true})
	}
	r.expect("in a second of answers cut short", len(r.polls)-n, 20)
	r.pending = []Input{PollAnswered{Sequence: r.v.polls.sequence}}
	r.step(100 * time.Millisecond)
	r.run(5 * s)
	n = len(r.polls)
	r.pending = []Input{PollAnswered{Sequence: r.v.polls.sequence}}
	r.run(1100 * time.Millisecond)
	r.expect("after one that came late, at once and a second later", len(r.polls)-n, 2)
	r.run(200 * s)
	if len(r.v.polls.sent) != MaxSentPolls {
		t.Errorf("%d sendings are remembered", len(r.v.polls.sent))
	}
	r = &rig{t: t, v: New("a", 10*s), now: 100 * s, unanswered: true}
	r.run(5 * s)
	r.expect("in 5 s of a process never answered, ten of them in the first", len(r.polls), 10+3)
	v := New("a", 10*s)
	v.FirstSequence(1000)
	r.expect("first number", v.Step(0, nil)[1].(Poll).Sequence, 1001)
}

func TestHaltedViewStopsPollingAndKeepsDrains(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged), r.item("a", 8, maintenance.Granted))
	r.run(3 * s)
	n := len(r.polls)
	r.pending = []Input{Halted{fmt.Errorf("version 9")}, Halted{fmt.Errorf("again")}}
	r.step(100 * time.Millisecond)
	r.expect("cut off at once", r.v.CutOff(r.now), true)
	r.run(10 * s)
	r.expect("drains, polls, grants, leaves", fmt.Sprint(r.drains, len(r.polls)-n, r.grants, r.leaves), "[r1] 0 [] []")
	r.expect("lines", len(slices.DeleteFunc(r.logs, func(l string) bool { return !strings.Contains(l, "has ended") })), 1)
	r.run(100 * s)
	r.expect("past the end", r.drains, "[]")

	r = newRig(t)
	var many []maintenance.Item
	for i := range peerproto.MaxDrains + 9 {
		many = append(many, r.item("b", uint64(i+1), maintenance.Granted))
	}
	r.applyItems(many...)
	r.run(s)
	r.expect("told of in one poll", len(r.polls[len(r.polls)-1].Drains), peerproto.MaxDrains)
}

// play is a seeded life of a view: grants come and go, answers are lost, late and repeated, the process stalls.
func runRandom(t *testing.T, seed uint64) []Output {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := newRig(t)
	var fence uint64
	items := map[string]maintenance.Item{}
	for range 300 {
		if rng.IntN(4) == 0 {
			name := []string{"a", "b", "r0", "r1", "r2", "r3"}[rng.IntN(6)]
			it := items[name]
			switch it.Phase {
			case maintenance.Granted:
				it.Phase = []maintenance.Phase{maintenance.Acknowledged, maintenance.Withdrawn}[rng.IntN(2)]
			case maintenance.Acknowledged:
				it.Phase = []maintenance.Phase{maintenance.Out, maintenance.Expired}[rng.IntN(2)]
			case maintenance.Out:
				it.Phase = maintenance.Returned
			default:
				fence++
				it = maintenance.Item{Machine: name, Fence: fence, Phase: maintenance.Granted, Until: r.agreedTime + 20*s}
			}
			items[name] = it
			var all []maintenance.Item
			for _, n := range []string{"a", "b", "r0", "r1", "r2", "r3"} {
				all = append(all, items[n])
			}
			r.applyItems(all...)
		}
		if rng.IntN(10) == 0 {
			own := slices.Clone(replicaList)
			own[rng.IntN(4)].Status = maintenance.Gone
			r.pending = append(r.pending, ReplicaList{own})
		}
		if rng.IntN(20) == 0 {
			r.unanswered = !r.unanswered
		}
		r.pending = append(r.pending, PollAnswered{Sequence: uint64(rng.IntN(int(r.polls[len(r.polls)-1].Sequence) + 2)), Term: uint64(rng.IntN(3))})
		r.step([]time.Duration{10 * time.Millisecond, 200 * time.Millisecond, s, 15 * s}[min(rng.IntN(40)/12, 3)])
	}
	return r.out
}

func TestRandomRunsHoldInvariantsAndRepeat(t *testing.T) {
	for seed := range uint64(200) {
		runRandom(t, seed)
	}
	first := runRandom(t, 3)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := runRandom(t, 3); !reflect.DeepEqual(first, again) {
		t.Error("the same life gave something else on one processor")
	}
}

// A co-ordinator that the inventory does not have yet is told what was agreed and lays it, and holds no lease: the next
// leader would not wait for it. One that had a lease keeps what its older answers gave.
func TestNotInInventoryGivesNoLease(t *testing.T) {
	r := &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s, unanswered: true, pending: []Input{ReplicaList{replicaList}}}
	r.step(0)
	unlisted := func() {
		r.pending = append(r.pending, PollAnswered{Sequence: r.polls[len(r.polls)-1].Sequence, Leader: "b", NotInInventory: true})
	}
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	for range 30 {
		unlisted()
		r.run(100 * time.Millisecond)
		r.expect("cut off before it is listed", r.v.CutOff(r.now), true)
	}
	r.expect("laid all the same", r.drains, "[r1]")
	r.expect("for the file", r.grants, "[]")
	n := len(r.polls)
	if n > 15 {
		t.Errorf("%d polls in 3 s", n)
	}
	r.unanswered = false
	r.run(2 * s)
	r.expect("cut off once listed", r.v.CutOff(r.now), false)
	r.unanswered = true
	for range 120 {
		unlisted()
		r.run(100 * time.Millisecond)
	}
	r.expect("cut off once it is listed no more", r.v.CutOff(r.now), true)
}

// Who waits for something agreed polls as soon as polls may be, and not much later where a packet was lost.
func TestUrgentPolls(t *testing.T) {
	v := New("c1", 10*time.Second)
	polls := func(now time.Duration, in ...Input) (no uint64) {
		for _, o := range v.Step(now, in) {
			if p, ok := o.(Poll); ok {
				no = p.Sequence
			}
		}
		return no
	}
	first := polls(0)
	at := 2 * time.Second // past the start
	second := polls(at, PollAnswered{Sequence: first, Leader: "l"})
	if second == 0 || polls(at+MinPollInterval, PollAnswered{Sequence: second, Leader: "l"}) != 0 {
		t.Fatal("no second poll, or a third without need")
	}
	third := polls(at+2*MinPollInterval, PollUrgently{On: true})
	if third == 0 || polls(at+3*MinPollInterval) != 0 {
		t.Fatal("no poll in a hurry, or one while that is not answered")
	}
	if lost := polls(at + 2*MinPollInterval + UrgentPollTimeout); lost == 0 {
		t.Error("nothing after a lost one")
	}
	if until := v.LeaseUntil(); until != at+10*time.Second-100*time.Millisecond || v.CutOff(until-1) || !v.CutOff(until) {
		t.Errorf("sure until %v", until)
	}
}
