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

	"birchcart/internal/fleet/takeout"
)

const s = time.Second

// agreed is a state set by hand: four replicas of cells 0 to 3, each shard held by two, and co-ordinators a and b.
type agreed struct{ items []takeout.Item }

func (g *agreed) Items() []takeout.Item { return g.items }
func (g *agreed) Limits() (takeout.Limits, int) {
	return takeout.Limits{Cells: 4, Reach: 2, Shards: 8, Lease: 10 * s, Grace: 2 * s, Settle: 20 * s}, 1
}
func (g *agreed) Machine(name string) (takeout.Machine, bool) {
	if name == "a" || name == "b" {
		return takeout.Machine{Name: name, Kind: takeout.Coordinator, Status: takeout.Up}, true
	}
	i := slices.IndexFunc(list, func(m takeout.Machine) bool { return m.Name == name })
	if i < 0 {
		return takeout.Machine{}, false
	}
	return list[i], true
}

var list = []takeout.Machine{
	{Name: "r0", Kind: takeout.Replica, Cell: 0, Status: takeout.Up}, {Name: "r1", Kind: takeout.Replica, Cell: 1, Status: takeout.Up},
	{Name: "r2", Kind: takeout.Replica, Cell: 2, Status: takeout.Up}, {Name: "r3", Kind: takeout.Replica, Cell: 3, Status: takeout.Up},
}

// rig steps a view every tick and answers its polls.
type rig struct {
	t       *testing.T
	v       *View
	now     time.Duration
	state   agreed
	index   uint64
	at      time.Duration // agreed
	deaf    bool          // polls go unanswered
	pending []Input
	out     []Output // of all steps, but for logs
	polls   []Poll
	pollsAt []time.Duration
	drains  []string
	grants  []Grant
	leaves  []uint64
	logs    []string
}

func begin(t *testing.T) *rig {
	r := &rig{t: t, v: New("a", 10*s), now: 100 * s, at: 5000 * s}
	r.pending = []Input{Listed{list}}
	r.step(0)
	r.applied()
	r.step(100 * time.Millisecond)
	return r
}

func (r *rig) applied(items ...takeout.Item) {
	r.state.items = items
	r.index++
	r.pending = append(r.pending, Applied{&r.state, r.index, r.at})
}

func (r *rig) step(d time.Duration) {
	r.now += d
	r.at += d
	in := r.pending
	r.pending = nil
	for _, o := range r.v.Step(r.now, in) {
		switch o := o.(type) {
		case Poll:
			r.polls, r.pollsAt = append(r.polls, o), append(r.pollsAt, r.now)
			if !r.deaf {
				r.pending = append(r.pending, Answered{Poll: o.No, Leader: "b"})
			}
		case Drains:
			r.drains = o.Names
		case Grants:
			r.grants = o.Items
		case Leave:
			r.leaves = append(r.leaves, o.Fence)
		case Log:
			r.logs = append(r.logs, o.Text)
		}
		r.out = append(r.out, o)
	}
	if err := r.v.Check(); err != nil {
		r.t.Error(err)
	}
}

// run steps every 100 ms for d.
func (r *rig) run(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		r.step(100 * time.Millisecond)
	}
}

func (r *rig) laid() string { return fmt.Sprint(r.polls[len(r.polls)-1].Laid) }

func (r *rig) want(what string, got, want any) {
	r.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		r.t.Errorf("at %v %s: %v, want %v", r.now, what, got, want)
	}
}

func (r *rig) item(name string, fence uint64, p takeout.Phase) takeout.Item {
	return takeout.Item{Machine: name, Fence: fence, Phase: p, Until: 5100 * s}
}

func TestADrainIsLaidAtOnceSaidAGraceLaterAndLiftedAtItsEnd(t *testing.T) {
	r := begin(t)
	r.applied(r.item("r1", 7, takeout.Granted))
	r.step(100 * time.Millisecond)
	r.want("laid at once", r.drains, "[r1]")
	laid := r.now
	r.run(1900 * time.Millisecond)
	r.want("said too early", r.laid(), "[]")
	for r.laid() == "[]" && r.now < laid+5*s {
		r.run(100 * time.Millisecond)
	}
	r.want("said", r.laid(), "[{r1 7 false }]")
	// The Grace counts from the Step after the one that laid it, and what is new is said at once.
	r.want("time until said", r.now-laid, 2100*time.Millisecond)
	r.applied(r.item("r1", 7, takeout.Out))
	r.run(s)
	r.want("while out", r.drains, "[r1]")
	r.applied(r.item("r1", 7, takeout.Back))
	r.run(s)
	r.want("once back", r.drains, "[]")
	r.want("said once back", r.laid(), "[]")
}

func TestAMachineGrantedAgainBeginsItsGraceAnew(t *testing.T) {
	r := begin(t)
	r.applied(r.item("r1", 7, takeout.Granted))
	r.run(5 * s)
	r.applied(r.item("r1", 7, takeout.Withdrawn))
	r.run(s)
	r.applied(r.item("r1", 7, takeout.Withdrawn), r.item("r1", 8, takeout.Granted))
	r.run(1500 * time.Millisecond)
	r.want("said of the new grant", r.laid(), "[]")
	r.run(2 * s)
	r.want("said of the new grant", r.laid(), "[{r1 8 false }]")
}

func TestNarrowingNeverToNothing(t *testing.T) {
	r := begin(t)
	r.pending = []Input{Listed{slices.Concat(list[:2], []takeout.Machine{{Name: "r2", Cell: 2, Status: takeout.Gone}}, list[3:])}}
	r.applied(r.item("r1", 7, takeout.Granted), r.item("r3", 8, takeout.Granted), r.item("r2", 9, takeout.Granted))
	r.run(s)
	// Shards of cells 1 and 2 have only r1; those of 2 and 3 only r3; r2 is not up and takes nothing away.
	r.want("laid", r.drains, "[r2]")
	r.want("said", strings.Contains(r.laid(), "{r1 7 true shard 1 would be left") && strings.Contains(r.laid(), "{r3 8 true shard 2"), true)
	r.pending = []Input{Listed{list}}
	r.run(5 * s)
	r.want("a refusal holds for its fence", r.drains, "[r2]")
	r.applied(r.item("r1", 7, takeout.Told), r.item("r3", 8, takeout.Granted), r.item("r2", 9, takeout.Done))
	r.run(5 * s)
	r.want("one told without its word is drained once it can be", r.drains, "[r1]")

	r = begin(t)
	r.applied(r.item("r1", 7, takeout.Granted), r.item("r2", 8, takeout.Granted))
	r.run(3 * s)
	r.want("two neighbours in one word", r.drains, "[r1]")
	r.pending = []Input{Listed{list[:2]}}
	r.run(3 * s)
	r.want("a laid one is not lifted for want of holders", r.drains, "[r1]")

	r = &rig{t: t, v: New("a", 10*s), now: 100 * s, at: 5000 * s}
	r.applied(r.item("r1", 7, takeout.Granted))
	r.run(5 * s)
	r.want("laid and said without an own list", fmt.Sprint(r.drains, r.laid()), "[][]")
}

func TestTheLeaseRunsFromTheSendingLessTheDrift(t *testing.T) {
	r := begin(t)
	r.run(3 * s)
	r.deaf = true
	r.pending = nil
	n := len(r.polls)
	sent := r.now - r.v.Age(r.now)
	r.run(9 * s)
	r.want("cut off", r.v.CutOff(sent+9900*time.Millisecond), true)
	r.want("cut off", r.v.CutOff(sent+9899*time.Millisecond), false)
	r.want("age", r.v.Age(r.now), r.now-sent)
	// Answers that are late, repeated or of no poll of ours change only what their own poll's sending allows.
	r.run(3 * s)
	r.pending = []Input{Answered{Poll: r.polls[n-2].No}, Answered{Poll: 999}}
	r.step(100 * time.Millisecond)
	r.want("cut off after a repeated answer", r.v.CutOff(r.now), true)
	r.pending = []Input{Answered{Poll: r.polls[n].No, Term: 3}}
	r.step(100 * time.Millisecond)
	r.want("a late answer lengthens by its own poll", r.v.Age(r.now), r.now-r.pollsAt[n])
	r.pending = []Input{Answered{Poll: r.polls[n+2].No, Term: 3}}
	r.step(100 * time.Millisecond)
	age := r.now - r.pollsAt[n+2]
	r.pending = []Input{Answered{Poll: r.polls[n+1].No, Term: 3}, Answered{Poll: r.polls[len(r.polls)-1].No, Term: 2}}
	r.step(0)
	r.want("an older answer, or an older leader's, changes nothing", r.v.Age(r.now), age)
}

func TestCutOffKeepsWhatItLaidUntilTheGrantsEnd(t *testing.T) {
	r := begin(t)
	r.applied(r.item("r1", 7, takeout.Told))
	r.run(3 * s)
	r.want("for the file", len(r.grants), 1)
	r.want("to begin before", r.grants[0].Before, 5080*s)
	r.deaf = true
	r.run(12 * s)
	r.want("cut off", r.v.CutOff(r.now), true)
	r.want("for the file while cut off", r.grants, "[]")
	r.applied(r.item("r1", 7, takeout.Told), r.item("r3", 8, takeout.Granted))
	r.want("kept, nothing new", r.drains, "[r1]")
	for r.at < 5100*s+900*time.Millisecond {
		r.run(100 * time.Millisecond)
		r.want("kept until a hundredth past the end", r.drains, "[r1]")
	}
	r.run(s)
	r.want("lifted after the end", r.drains, "[]")
	r.deaf = false
	r.run(6 * s)
	r.want("laid again once answered, while the grants live", r.drains, "[r1 r3]")
	r.want("none for the file past its time", r.grants, "[]")
}

func TestAStoppedProcessIsCutOffUntilAnswered(t *testing.T) {
	r := begin(t)
	r.applied(r.item("r1", 7, takeout.Granted))
	r.run(s)
	r.deaf, r.pending = true, nil
	r.step(100 * time.Millisecond)
	r.want("before the stop", r.v.CutOff(r.now), false)
	before := r.polls[len(r.polls)-1].No
	// What was sent before the stop is answered in the first Step after it, together with a new grant.
	r.pending = []Input{Answered{Poll: before}}
	r.applied(r.item("r1", 7, takeout.Granted), r.item("r3", 8, takeout.Granted))
	r.step(30 * s)
	woke := r.now
	r.want("cut off on waking", r.v.CutOff(r.now), true)
	r.want("laid on waking", r.drains, "[r1]")
	r.want("said on waking: its Grace began anew", r.laid(), "[]")
	r.deaf = false
	r.run(10 * s)
	r.want("after an answer", r.drains, "[r1 r3]")
	i := slices.IndexFunc(r.polls, func(p Poll) bool { return len(p.Laid) > 0 })
	r.want("a whole Grace after waking", r.pollsAt[i]-woke >= 2*s, true)
}

func TestACoordinatorLeavesOnceByItsOwnGrant(t *testing.T) {
	r := begin(t)
	r.run(s)
	r.applied(r.item("a", 7, takeout.Granted), r.item("b", 8, takeout.Told))
	r.run(2 * s)
	r.want("granted only", r.leaves, "[]")
	r.want("said with nothing laid", fmt.Sprint(r.drains, r.laid()), "[][{a 7 false } {b 8 false }]")
	r.applied(r.item("a", 7, takeout.Told))
	r.run(3 * s)
	r.applied(r.item("a", 7, takeout.Told))
	r.run(3 * s)
	r.want("told", r.leaves, "[7]")
	r.applied(r.item("a", 7, takeout.Done), r.item("a", 9, takeout.Told))
	r.run(s)
	r.want("the next one", r.leaves, "[7 9]")

	r = &rig{t: t, v: New("a", 10*s), now: 100 * s, at: 5000 * s, deaf: true}
	r.applied(r.item("a", 7, takeout.Told))
	r.step(0)
	r.pending = []Input{Answered{Poll: 1, More: true}}
	r.applied(r.item("a", 9, takeout.Told))
	r.step(100 * time.Millisecond)
	r.deaf = false
	r.run(5 * s)
	r.want("grants of before this process", r.leaves, "[]")
	r.applied(r.item("a", 10, takeout.Told))
	r.run(s)
	r.want("one of after its start", r.leaves, "[10]")

	r = begin(t)
	r.run(s)
	r.deaf, r.pending = true, nil
	r.run(11 * s)
	r.applied(r.item("a", 7, takeout.Told))
	r.run(s)
	r.want("while cut off", r.leaves, "[]")
}

func TestARestartedProcessLaysWhatItsDiskSays(t *testing.T) {
	r := &rig{t: t, v: New("a", 10*s), now: 100 * s, at: 5000 * s, deaf: true, pending: []Input{Listed{list}}}
	r.applied(r.item("r1", 7, takeout.Told))
	r.step(0)
	r.want("before any answer", r.drains, "[r1]")
	r.run(102 * s)
	r.want("past the grant's end", r.drains, "[]")
}

func TestPolls(t *testing.T) {
	r := begin(t)
	r.run(10 * s)
	r.want("polls in 10 s", len(r.polls), 11)
	for len(r.pending) == 0 {
		r.step(100 * time.Millisecond)
	}
	n := len(r.polls)
	r.pending = []Input{Answered{Poll: r.polls[n-1].No, More: true}}
	r.step(100 * time.Millisecond)
	r.want("at once after an answer that was cut short", len(r.polls), n+1)
	r.deaf, r.pending = true, nil
	r.run(60 * s)
	var gaps []string
	for i := n + 1; i < len(r.polls); i++ {
		gaps = append(gaps, (r.pollsAt[i] - r.pollsAt[i-1]).String())
		r.want("numbers", r.polls[i].No, r.polls[i-1].No+1)
	}
	r.want("unanswered, a quarter of the lease at most", gaps[:5], "[1s 1s 2s 2.5s 2.5s]")
	r.run(200 * s)
	if len(r.v.polls.sent) != SentMost {
		t.Errorf("%d sendings are remembered", len(r.v.polls.sent))
	}
	v := New("a", 10*s)
	v.NumberFrom(1000)
	r.want("first number", v.Step(0, nil)[1].(Poll).No, 1001)
}

func TestAHaltedPartEndsAndServesOn(t *testing.T) {
	r := begin(t)
	r.applied(r.item("r1", 7, takeout.Told), r.item("a", 8, takeout.Granted))
	r.run(3 * s)
	n := len(r.polls)
	r.pending = []Input{Halted{fmt.Errorf("version 9")}, Halted{fmt.Errorf("again")}}
	r.run(10 * s)
	r.want("drains, polls, grants, leaves", fmt.Sprint(r.drains, len(r.polls)-n, r.grants, r.leaves), "[r1] 0 [] []")
	r.want("lines", len(slices.DeleteFunc(r.logs, func(l string) bool { return !strings.Contains(l, "has ended") })), 1)
	r.run(100 * s)
	r.want("past the end", r.drains, "[]")
}

// play is a seeded life of a view: grants come and go, answers are lost, late and repeated, the process stalls.
func play(t *testing.T, seed uint64) []Output {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := begin(t)
	var fence uint64
	items := map[string]takeout.Item{}
	for range 300 {
		if rng.IntN(4) == 0 {
			name := []string{"a", "b", "r0", "r1", "r2", "r3"}[rng.IntN(6)]
			it := items[name]
			switch it.Phase {
			case takeout.Granted:
				it.Phase = []takeout.Phase{takeout.Told, takeout.Withdrawn}[rng.IntN(2)]
			case takeout.Told:
				it.Phase = []takeout.Phase{takeout.Out, takeout.Lapsed}[rng.IntN(2)]
			case takeout.Out:
				it.Phase = takeout.Back
			default:
				fence++
				it = takeout.Item{Machine: name, Fence: fence, Phase: takeout.Granted, Until: r.at + 20*s}
			}
			items[name] = it
			var all []takeout.Item
			for _, n := range []string{"a", "b", "r0", "r1", "r2", "r3"} {
				all = append(all, items[n])
			}
			r.applied(all...)
		}
		if rng.IntN(10) == 0 {
			own := slices.Clone(list)
			own[rng.IntN(4)].Status = takeout.Gone
			r.pending = append(r.pending, Listed{own})
		}
		if rng.IntN(20) == 0 {
			r.deaf = !r.deaf
		}
		r.pending = append(r.pending, Answered{Poll: uint64(rng.IntN(int(r.polls[len(r.polls)-1].No) + 2)), Term: uint64(rng.IntN(3))})
		r.step([]time.Duration{10 * time.Millisecond, 200 * time.Millisecond, s, 15 * s}[min(rng.IntN(40)/12, 3)])
	}
	return r.out
}

func TestSeededLivesHoldAndRepeat(t *testing.T) {
	for seed := range uint64(200) {
		play(t, seed)
	}
	first := play(t, 3)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := play(t, 3); !reflect.DeepEqual(first, again) {
		t.Error("the same life gave something else on one processor")
	}
}
