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

// fakeState is a State with given items, four replicas in cells 0 to 3, two holders for each shard, and co-ordinators a and b.
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

// rig drives a view step by step, answers its polls and collects its outputs.
type rig struct {
	t          *testing.T
	v          *View
	now        time.Duration
	state      fakeState
	index      uint64
	agreedTime time.Duration
	unanswered bool // polls get no answer
	pending    []Input
	out        []Output // outputs of all steps
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
	r.expect("drains at once", r.drains, "[r1]")
	r.expect("grants before the acknowledgement", r.grants, "[]")
	r.pending = []Input{Applied{State: &fakeState{}, Index: r.index - 1, AgreedTime: r.agreedTime}} // out of order
	appliedAt := r.now
	r.run(1900 * time.Millisecond)
	r.expect("reported too early", r.lastReported(), "[]")
	for r.lastReported() == "[]" && r.now < appliedAt+5*s {
		r.run(100 * time.Millisecond)
	}
	r.expect("reported", r.lastReported(), "[{r1 7 false }]")
	// Grace counts from the Step after the one that applied the drain, and a changed status is reported at once.
	r.expect("time until reported", r.now-appliedAt, 2100*time.Millisecond)
	r.applyItems(r.item("r1", 7, maintenance.Out))
	r.run(s)
	r.expect("drains while out", r.drains, "[r1]")
	r.applyItems(r.item("r1", 7, maintenance.Returned))
	r.run(s)
	r.expect("drains once returned", r.drains, "[]")
	r.expect("reported once returned", r.lastReported(), "[]")
}

func TestNewGrantRestartsGrace(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.run(5 * s)
	r.applyItems(r.item("r1", 7, maintenance.Withdrawn))
	r.run(s)
	r.applyItems(r.item("r1", 7, maintenance.Withdrawn), r.item("r1", 8, maintenance.Granted))
	r.run(1500 * time.Millisecond)
	r.expect("reported for the new grant before its Grace", r.lastReported(), "[]")
	r.run(2 * s)
	r.expect("reported for the new grant", r.lastReported(), "[{r1 8 false }]")
	r.applyItems(r.item("r1", 9, maintenance.Granted)) // without a state that shows the end of grant 8
	r.run(1500 * time.Millisecond)
	r.expect("reported for the next grant before its Grace", r.lastReported(), "[]")
}

// A voter receives the agreed state even while its polls go unanswered. While cut off it lifts drains whose grants have ended and applies
// no new ones.
func TestNewGrantNotAppliedWhileCutOff(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.run(5 * s)
	r.unanswered = true
	r.run(20 * s)
	r.applyItems(r.item("r1", 7, maintenance.Done), r.item("r1", 8, maintenance.Granted))
	r.run(s)
	r.expect("drains while cut off", r.drains, "[]")
	r.expect("violated invariant", r.v.Check(), "<nil>")
	r.unanswered = false
	r.run(10 * s)
	r.expect("drains once answered again", r.drains, "[r1]")
}

func TestDrainRejectedIfShardHasNoHolder(t *testing.T) {
	r := newRig(t)
	r.pending = []Input{ReplicaList{slices.Concat(replicaList[:2], []maintenance.Machine{{Name: "r2", Cell: 2, Status: maintenance.Gone}}, replicaList[3:])}}
	r.applyItems(r.item("r1", 7, maintenance.Granted), r.item("r3", 8, maintenance.Granted), r.item("r2", 9, maintenance.Granted))
	r.run(s)
	// Shards held by cells 1 and 2 have only r1 up, those held by cells 2 and 3 only r3. r2 is not up, so draining it removes no holder.
	r.expect("drains", r.drains, "[r2]")
	r.expect("rejections reported",
		strings.Contains(r.lastReported(), "{r1 7 true shard 1 would be left") && strings.Contains(r.lastReported(), "{r3 8 true shard 2"), true)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged), r.item("r3", 8, maintenance.Granted), r.item("r2", 9, maintenance.Granted))
	r.run(s)
	r.expect("an acknowledged grant whose drain would leave a shard without a holder", r.drains, "[r2]")
	r.applyItems(r.item("r1", 7, maintenance.Granted), r.item("r3", 8, maintenance.Granted), r.item("r2", 9, maintenance.Granted))
	r.pending = append(r.pending, ReplicaList{replicaList})
	r.run(5 * s)
	r.expect("a rejection holds for its fence while only granted", r.drains, "[r2]")
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged), r.item("r3", 8, maintenance.Granted), r.item("r2", 9, maintenance.Done))
	r.run(5 * s)
	r.expect("an acknowledged grant is drained once it can be", r.drains, "[r1]")

	r = newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Granted), r.item("r2", 8, maintenance.Granted))
	r.run(3 * s)
	r.expect("two neighbours granted in one state", r.drains, "[r1]")
	r.pending = []Input{ReplicaList{replicaList[:2]}}
	r.run(3 * s)
	r.expect("an applied drain stays when other holders go", r.drains, "[r1]")

	r = newRig(t)
	gone := func(m maintenance.Machine) maintenance.Machine { m.Status = maintenance.Gone; return m }
	r.pending = []Input{ReplicaList{[]maintenance.Machine{gone(replicaList[0]), gone(replicaList[1]), {Name: "b", Kind: maintenance.Coordinator, Cell: 1,
		Status: maintenance.Up}, replicaList[2], replicaList[3]}}}
	r.applyItems(r.item("r0", 7, maintenance.Granted), r.item("r2", 8, maintenance.Granted))
	r.run(3 * s)
	r.expect("draining a gone replica removes no holder, and a co-ordinator is no holder", r.drains, "[r0]")

	r = &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s}
	r.applyItems(r.item("r1", 7, maintenance.Granted))
	r.run(5 * s)
	r.expect("drains and statuses without a replica list", fmt.Sprint(r.drains, r.lastReported()), "[][]")
}

func TestCoordinatorLeavesOncePerOwnGrant(t *testing.T) {
	r := newRig(t)
	r.run(s)
	r.applyItems(r.item("a", 7, maintenance.Granted), r.item("b", 8, maintenance.Acknowledged))
	r.run(2 * s)
	r.expect("leaves while only granted", r.leaves, "[]")
	r.expect("statuses of co-ordinators, without drains", fmt.Sprint(r.drains, r.lastReported()), "[][{a 7 false } {b 8 false }]")
	r.applyItems(r.item("a", 7, maintenance.Acknowledged))
	r.run(3 * s)
	r.applyItems(r.item("a", 7, maintenance.Acknowledged))
	r.run(3 * s)
	r.expect("leaves once acknowledged", r.leaves, "[7]")
	r.applyItems(r.item("a", 7, maintenance.Done), r.item("a", 9, maintenance.Acknowledged))
	r.run(s)
	r.expect("leaves after the next grant", r.leaves, "[7 9]")

	r = &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s, unanswered: true}
	r.applyItems(r.item("a", 7, maintenance.Acknowledged))
	r.step(0)
	r.pending = []Input{PollAnswered{Sequence: 1, Truncated: true}}
	r.applyItems(r.item("a", 9, maintenance.Acknowledged))
	r.step(100 * time.Millisecond)
	r.unanswered = false
	r.run(5 * s)
	r.expect("leaves for grants made before this process", r.leaves, "[]")
	r.applyItems(r.item("a", 10, maintenance.Acknowledged))
	r.run(s)
	r.expect("leaves for a grant made after its start", r.leaves, "[10]")

	r = newRig(t)
	r.run(s)
	r.v.name = "r1"
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.run(s)
	r.expect("leaves for a replica's grant", r.leaves, "[]")
	r.unanswered, r.pending, r.v.name = true, nil, "a"
	r.run(11 * s)
	r.applyItems(r.item("a", 8, maintenance.Acknowledged))
	r.run(s)
	r.expect("leaves while cut off", r.leaves, "[]")
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
	r.expect("cut off after a complete answer", r.v.CutOff(r.now), false)
}

func TestRestartedProcessAppliesDrainsFromDisk(t *testing.T) {
	r := &rig{t: t, v: New("a", 10*s), now: 100 * s, agreedTime: 5000 * s, unanswered: true, pending: []Input{ReplicaList{replicaList}}}
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.step(0)
	r.expect("drains before any answer", r.drains, "[r1]")
	r.run(102 * s)
	r.expect("drains after the grant's end", r.drains, "[]")
}
