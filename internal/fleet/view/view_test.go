package view

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
)

const s = time.Second

// agreed is a state set by hand: four replicas of cells 0 to 3, each shard held by two, and co-ordinators a and b.
type fakeState struct{ items []maintenance.Item }

func (g *fakeState) Items() []maintenance.Item { return g.items }

func (g *fakeState) Limits() (maintenance.Limits, int) {
	return maintenance.Limits{Cells: 4, Reach: 2, Shards: 8, Lease: 10 * s, Grace: 2 * s, SettleTime: 20 * s}, 1
}

func (g *fakeState) Machine(name string) (maintenance.Machine, bool) {
	if name == "a" || name == "b" {
		return maintenance.Machine{Name: name, Kind: maintenance.Coordinator, Status: maintenance.Up}, true
	}
	i := slices.IndexFunc(replicaList, func(m maintenance.Machine) bool { return m.Name == name })
	if i < 0 {
		return maintenance.Machine{}, false
	}
	return replicaList[i], true
}

var replicaList = []maintenance.Machine{
	{Name: "r0", Kind: maintenance.Replica, Cell: 0, Status: maintenance.Up}, {Name: "r1", Kind: maintenance.Replica, Cell: 1, Status: maintenance.Up},
	{Name: "r2", Kind: maintenance.Replica, Cell: 2, Status: maintenance.Up}, {Name: "r3", Kind: maintenance.Replica, Cell: 3, Status: maintenance.Up},
}

// rig steps a view every tick and answers its polls.
type rig struct {
	t          *testing.T
	v          *View
	now        time.Duration
	state      fakeState
	index      uint64
	agreedTime time.Duration // agreed
	unanswered bool          // polls go unanswered
	pending    []Input
	out        []Output // of all steps, but for logs
	polls      []Poll
	pollsAt    []time.Duration
	drains     []string
	grants     []Grant
	leaves     []uint64
	logs       []string
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s}
	r.pending = []Input{ReplicaList{replicaList}}
	r.step(0)
	r.applyItems()
	r.step(100 * time.Millisecond)
	return r
}

func (r *rig) applyItems(items ...maintenance.Item) {
	r.state.items = items
	r.index++
	r.pending = append(r.pending, Applied{State: &r.state, Index: r.index, AgreedTime: r.agreedTime})
}

func (r *rig) step(d time.Duration) {
	r.now += d
	r.agreedTime += d
	in := r.pending
	r.pending = nil
	for _, o := range r.v.Step(r.now, in) {
		switch o := o.(type) {
		case Poll:
			r.polls, r.pollsAt = append(r.polls, o), append(r.pollsAt, r.now)
			if !r.unanswered {
				r.pending = append(r.pending, PollAnswered{Sequence: o.Sequence, Leader: "b"})
			}
		case Drains:
			r.drains = o.Names
		case Grants:
			r.grants = o.Items
		case MayLeave:
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

func (r *rig) lastReported() string { return fmt.Sprint(r.polls[len(r.polls)-1].Drains) }

func (r *rig) expect(what string, got, want any) {
	r.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		r.t.Errorf("at %v %s: %v, want %v", r.now, what, got, want)
	}
}

func (r *rig) item(name string, fence uint64, p maintenance.Phase) maintenance.Item {
	return maintenance.Item{Machine: name, Fence: fence, Phase: p, Until: 5100 * s}
}

func TestDrainAppliedAtOnceAndReportedAfterGrace(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.step(100 * time.Millisecond)
	r.expect("laid at once", r.drains, "[r1]")
	r.expect("for the file before it is told", r.grants, "[]")
	r.pending = []Input{Applied{State: &fakeState{}, Index: r.index - 1, AgreedTime: r.agreedTime}} // out of order
	appliedAt := r.now
	r.run(1900 * time.Millisecond)
	r.expect("said too early", r.lastReported(), "[]")
	for r.lastReported() == "[]" && r.now < appliedAt+5*s {
		r.run(100 * time.Millisecond)
	}
	r.expect("said", r.lastReported(), "[{r1 7 false }]")
	// The Grace counts from the Step after the one that applied it, and what is new is said at once.
	r.expect("time until said", r.now-appliedAt, 2100*time.Millisecond)
	r.applyItems(r.item("r1", 7, maintenance.Out))
	r.run(s)
	r.expect("while out", r.drains, "[r1]")
	r.applyItems(r.item("r1", 7, maintenance.Returned))
	r.run(s)
	r.expect("once back", r.drains, "[]")
	r.expect("said once back", r.lastReported(), "[]")
}

func TestNewGrantRestartsGrace(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.run(5 * s)
	r.applyItems(r.item("r1", 7, maintenance.Withdrawn))
	r.run(s)
	r.applyItems(r.item("r1", 7, maintenance.Withdrawn), r.item("r1", 8, maintenance.Granted))
	r.run(1500 * time.Millisecond)
	r.expect("said of the new grant", r.lastReported(), "[]")
	r.run(2 * s)
	r.expect("said of the new grant", r.lastReported(), "[{r1 8 false }]")
	r.applyItems(r.item("r1", 9, maintenance.Granted)) // and no word of its end in between
	r.run(1500 * time.Millisecond)
	r.expect("said of the next grant", r.lastReported(), "[]")
}

// A voter gets what was agreed before its poll is answered: cut off, it lifts what has ended and lays nothing new.
func TestNewGrantNotAppliedWhileCutOff(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.run(5 * s)
	r.unanswered = true
	r.run(20 * s)
	r.applyItems(r.item("r1", 7, maintenance.Done), r.item("r1", 8, maintenance.Granted))
	r.run(s)
	r.expect("cut off", r.drains, "[]")
	r.expect("wrong", r.v.Check(), "<nil>")
	r.unanswered = false
	r.run(10 * s)
	r.expect("answered again", r.drains, "[r1]")
}

func TestDrainRejectedIfShardHasNoHolder(t *testing.T) {
	r := newRig(t)
	r.pending = []Input{ReplicaList{slices.Concat(replicaList[:2], []maintenance.Machine{{Name: "r2", Cell: 2, Status: maintenance.Gone}}, replicaList[3:])}}
	r.applyItems(r.item("r1", 7, maintenance.Granted), r.item("r3", 8, maintenance.Granted), r.item("r2", 9, maintenance.Granted))
	r.run(s)
	// Shards of cells 1 and 2 have only r1; those of 2 and 3 only r3; r2 is not up and takes nothing away.
	r.expect("laid", r.drains, "[r2]")
	r.expect("said", strings.Contains(r.lastReported(), "{r1 7 true shard 1 would be left") && strings.Contains(r.lastReported(), "{r3 8 true shard 2"), true)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged), r.item("r3", 8, maintenance.Granted), r.item("r2", 9, maintenance.Granted))
	r.run(s)
	r.expect("one told without its word, while it can't be", r.drains, "[r2]")
	r.applyItems(r.item("r1", 7, maintenance.Granted), r.item("r3", 8, maintenance.Granted), r.item("r2", 9, maintenance.Granted))
	r.pending = append(r.pending, ReplicaList{replicaList})
	r.run(5 * s)
	r.expect("a refusal holds for its fence", r.drains, "[r2]")
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged), r.item("r3", 8, maintenance.Granted), r.item("r2", 9, maintenance.Done))
	r.run(5 * s)
	r.expect("one told without its word is drained once it can be", r.drains, "[r1]")

	r = newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted), r.item("r2", 8, maintenance.Granted))
	r.run(3 * s)
	r.expect("two neighbours in one word", r.drains, "[r1]")
	r.pending = []Input{ReplicaList{replicaList[:2]}}
	r.run(3 * s)
	r.expect("a laid one is not lifted for want of holders", r.drains, "[r1]")

	r = newRig(t)
	gone := func(m maintenance.Machine) maintenance.Machine { m.Status = maintenance.Gone; return m }
	r.pending = []Input{ReplicaList{[]maintenance.Machine{gone(replicaList[0]), gone(replicaList[1]), {Name: "b", Kind: maintenance.Coordinator, Cell: 1,
		Status: maintenance.Up}, replicaList[2], replicaList[3]}}}
	r.applyItems(r.item("r0", 7, maintenance.Granted), r.item("r2", 8, maintenance.Granted))
	r.run(3 * s)
	r.expect("one that is gone takes nothing away, a co-ordinator holds nothing", r.drains, "[r0]")

	r = &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s}
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.run(5 * s)
	r.expect("laid and said without an own list", fmt.Sprint(r.drains, r.lastReported()), "[][]")
}

func TestCoordinatorLeavesOncePerOwnGrant(t *testing.T) {
	r := newRig(t)
	r.run(s)
	r.applyItems(r.item("a", 7, maintenance.Granted), r.item("b", 8, maintenance.Acknowledged))
	r.run(2 * s)
	r.expect("granted only", r.leaves, "[]")
	r.expect("said with nothing laid", fmt.Sprint(r.drains, r.lastReported()), "[][{a 7 false } {b 8 false }]")
	r.applyItems(r.item("a", 7, maintenance.Acknowledged))
	r.run(3 * s)
	r.applyItems(r.item("a", 7, maintenance.Acknowledged))
	r.run(3 * s)
	r.expect("told", r.leaves, "[7]")
	r.applyItems(r.item("a", 7, maintenance.Done), r.item("a", 9, maintenance.Acknowledged))
	r.run(s)
	r.expect("the next one", r.leaves, "[7 9]")

	r = &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s, unanswered: true}
	r.applyItems(r.item("a", 7, maintenance.Acknowledged))
	r.step(0)
	r.pending = []Input{PollAnswered{Sequence: 1, Truncated: true}}
	r.applyItems(r.item("a", 9, maintenance.Acknowledged))
	r.step(100 * time.Millisecond)
	r.unanswered = false
	r.run(5 * s)
	r.expect("grants of before this process", r.leaves, "[]")
	r.applyItems(r.item("a", 10, maintenance.Acknowledged))
	r.run(s)
	r.expect("one of after its start", r.leaves, "[10]")

	r = newRig(t)
	r.run(s)
	r.v.name = "r1"
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.run(s)
	r.expect("by a replica's grant", r.leaves, "[]")
	r.unanswered, r.pending, r.v.name = true, nil, "a"
	r.run(11 * s)
	r.applyItems(r.item("a", 8, maintenance.Acknowledged))
	r.run(s)
	r.expect("while cut off", r.leaves, "[]")
}

func TestTruncatedAnswerGivesNoLease(t *testing.T) {
	r := &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s, unanswered: true}
	r.step(0)
	r.pending = []Input{PollAnswered{Sequence: 1, Truncated: true}}
	r.step(100 * time.Millisecond)
	r.expect("cut off", r.v.CutOff(r.now), true)
	r.expect("polls, the next one at once", len(r.polls), 2)
	r.pending = []Input{PollAnswered{Sequence: 2}}
	r.step(100 * time.Millisecond)
	r.expect("cut off once it has all", r.v.CutOff(r.now), false)
}

func TestRestartedProcessAppliesDrainsFromDisk(t *testing.T) {
	r := &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s, unanswered: true, pending: []Input{ReplicaList{replicaList}}}
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.step(0)
	r.expect("before any answer", r.drains, "[r1]")
	r.run(102 * s)
	r.expect("past the grant's end", r.drains, "[]")
}
