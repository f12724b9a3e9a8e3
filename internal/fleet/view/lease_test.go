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
	// A late answer extends the lease only from the send time of its own poll; repeated answers and answers to unknown polls are ignored.
	r.run(3 * s)
	r.pending = []Input{PollAnswered{Sequence: r.polls[n-2].Sequence}, PollAnswered{Sequence: 999}}
	r.step(100 * time.Millisecond)
	r.expect("cut off after a repeated answer", r.v.CutOff(r.now), true)
	r.pending = []Input{PollAnswered{Sequence: r.polls[n].Sequence, Term: 3}}
	r.step(100 * time.Millisecond)
	r.expect("age after a late answer, counted from its own poll", r.v.Age(r.now), r.now-r.pollsAt[n])
	r.pending = []Input{PollAnswered{Sequence: r.polls[n+2].Sequence, Term: 3}}
	r.step(100 * time.Millisecond)
	age := r.now - r.pollsAt[n+2]
	r.pending = []Input{PollAnswered{Sequence: r.polls[n+1].Sequence, Term: 3}, PollAnswered{Sequence: r.polls[len(r.polls)-1].Sequence, Term: 2}}
	r.step(0)
	r.expect("age after an older answer and one of an older leader", r.v.Age(r.now), age)
}

func TestCutOffKeepsDrainsUntilGrantEnd(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.run(3 * s)
	r.expect("grants", len(r.grants), 1)
	r.expect("start before", r.grants[0].StartBefore, 5080*s)
	r.unanswered = true
	r.run(12 * s)
	r.expect("cut off", r.v.CutOff(r.now), true)
	r.expect("grants while cut off", r.grants, "[]")
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged), r.item("r3", 8, maintenance.Granted))
	r.expect("drains while cut off: kept, none added", r.drains, "[r1]")
	later := r.item("r1", 7, maintenance.Out)
	later.Until += 20 * s
	r.applyItems(later, r.item("r3", 8, maintenance.Granted))
	knownTime := r.agreedTime
	for r.agreedTime < 5120*s+900*time.Millisecond {
		r.pending = append(r.pending, Applied{State: &r.state, Index: r.index, AgreedTime: knownTime}) // AgreedTime unchanged
		r.run(100 * time.Millisecond)
		r.expect("drains kept until 1 % past the end", r.drains, "[r1]")
	}
	r.run(s)
	r.expect("drains after the end", r.drains, "[]")
	r.unanswered = false
	r.run(6 * s)
	r.expect("drains once answered, while the grants are live", r.drains, "[r1 r3]")
	r = newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.run(78 * s)
	r.expect("grants", len(r.grants), 1)
	r.run(2 * s)
	r.expect("grants once it is too late to start", r.grants, "[]")
}

func TestStalledProcessIsCutOffUntilAnswered(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.run(s)
	r.unanswered, r.pending = true, nil
	r.step(100 * time.Millisecond)
	r.expect("cut off before the stall", r.v.CutOff(r.now), false)
	before := r.polls[len(r.polls)-1].Sequence
	// The first Step after the stall gets the answer to a poll sent before it, together with a new grant.
	r.pending = []Input{PollAnswered{Sequence: before}}
	r.applyItems(r.item("r1", 7, maintenance.Granted), r.item("r3", 8, maintenance.Granted))
	r.step(30 * s)
	resumedAt := r.now
	r.expect("cut off on resuming", r.v.CutOff(r.now), true)
	r.expect("drains on resuming", r.drains, "[r1]")
	r.expect("reported on resuming: Grace was restarted", r.lastReported(), "[]")
	r.unanswered = false
	r.run(10 * s)
	r.expect("drains after an answer", r.drains, "[r1 r3]")
	i := slices.IndexFunc(r.polls, func(p Poll) bool { return len(p.Drains) > 0 })
	r.expect("reported a whole Grace after resuming", r.pollsAt[i]-resumedAt >= 2*s, true)
	r.step(30 * s)
	r.expect("a drain reported before a stall stays reported", r.lastReported(), "[{r1 7 false } {r3 8 false }]")
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
	r.expect("polls after a truncated answer: one more at once", len(r.polls), n+1)
	r.unanswered, r.pending = true, nil
	r.run(60 * s)
	var gaps []string
	for i := n + 1; i < len(r.polls); i++ {
		gaps = append(gaps, (r.pollsAt[i] - r.pollsAt[i-1]).String())
		r.expect("sequence number", r.polls[i].Sequence, r.polls[i-1].Sequence+1)
	}
	r.expect("intervals while unanswered, at most a quarter of the lease", gaps[:5], "[1s 1s 2s 2.5s 2.5s]")
	r.pending = []Input{PollAnswered{Sequence: r.v.polls.sequence, Truncated: true}}
	n = len(r.polls)
	for range 100 {
		r.step(10 * time.Millisecond)
		r.pending = append(r.pending, PollAnswered{Sequence: r.v.polls.sequence, Truncated: true})
	}
	r.expect("polls in a second of truncated answers", len(r.polls)-n, 20)
	r.pending = []Input{PollAnswered{Sequence: r.v.polls.sequence}}
	r.step(100 * time.Millisecond)
	r.run(5 * s)
	n = len(r.polls)
	r.pending = []Input{PollAnswered{Sequence: r.v.polls.sequence}}
	r.run(1100 * time.Millisecond)
	r.expect("polls after a late answer: at once and a second later", len(r.polls)-n, 2)
	r.run(200 * s)
	if len(r.v.polls.sent) != MaxSentPolls {
		t.Errorf("%d sent polls are remembered", len(r.v.polls.sent))
	}
	r = &rig{t: t, v: New("a", 10*s), now: 100 * s, unanswered: true}
	r.run(5 * s)
	r.expect("polls in 5 s of a process that is never answered, ten of them in the first second", len(r.polls), 10+3)
	v := New("a", 10*s)
	v.FirstSequence(1000)
	r.expect("first sequence number", v.Step(0, nil)[1].(Poll).Sequence, 1001)
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
	r.expect("log lines", len(slices.DeleteFunc(r.logs, func(l string) bool { return !strings.Contains(l, "has ended") })), 1)
	r.run(100 * s)
	r.expect("drains after the end", r.drains, "[]")

	r = newRig(t)
	var many []maintenance.Item
	for i := range peerproto.MaxDrains + 9 {
		many = append(many, r.item("b", uint64(i+1), maintenance.Granted))
	}
	r.applyItems(many...)
	r.run(s)
	r.expect("statuses in one poll", len(r.polls[len(r.polls)-1].Drains), peerproto.MaxDrains)
}

// runRandom runs a view through seeded random events: grants begin and end, answers are lost, late or repeated, and the process stalls.
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
		t.Error("the same seed gave different outputs on one processor")
	}
}

// A co-ordinator that is not in the inventory receives the agreed state and applies its drains, but gets no lease, because the next leader
// would not wait for it. If it is removed from the inventory, the lease from earlier answers stays valid until it expires.
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
		r.expect("cut off before it is in the inventory", r.v.CutOff(r.now), true)
	}
	r.expect("drains", r.drains, "[r1]")
	r.expect("grants", r.grants, "[]")
	n := len(r.polls)
	if n > 15 {
		t.Errorf("%d polls in 3 s", n)
	}
	r.unanswered = false
	r.run(2 * s)
	r.expect("cut off once in the inventory", r.v.CutOff(r.now), false)
	r.unanswered = true
	for range 120 {
		unlisted()
		r.run(100 * time.Millisecond)
	}
	r.expect("cut off once removed from the inventory", r.v.CutOff(r.now), true)
}

// While an agreed result is awaited, polls are sent at the minimum interval, and repeated after UrgentPollTimeout if one is lost.
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
	at := 2 * time.Second // after the start period
	second := polls(at, PollAnswered{Sequence: first, Leader: "l"})
	if second == 0 || polls(at+MinPollInterval, PollAnswered{Sequence: second, Leader: "l"}) != 0 {
		t.Fatal("no second poll, or an unneeded third one")
	}
	third := polls(at+2*MinPollInterval, PollUrgently{On: true})
	if third == 0 || polls(at+3*MinPollInterval) != 0 {
		t.Fatal("no urgent poll, or another one while it is unanswered")
	}
	if lost := polls(at + 2*MinPollInterval + UrgentPollTimeout); lost == 0 {
		t.Error("no poll after a lost one")
	}
	if until := v.LeaseUntil(); until != at+10*time.Second-100*time.Millisecond || v.CutOff(until-1) || !v.CutOff(until) {
		t.Errorf("lease until %v", until)
	}
}
