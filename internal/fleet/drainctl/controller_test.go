package drainctl

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/statemachine"
)

const sec = time.Second

var limits = maintenance.Limits{Cells: 16, Reach: 2, Shards: 16, MinHolders: 1, MaxOutPerZone: 8, MaxOut: 8, Headroom: 0.1, MaxLoadAge: 10 * sec,
	MaxInventoryAge: 10 * sec, WarmUp: 20 * sec, Lease: 5 * sec, Grace: 2 * sec, SettleTime: 10 * sec, FailurePause: 30 * sec, MaxPassedOver: 3, MinVoters: 2}

// rig steps a controller every 100 ms over a state machine that applies its proposals, with sixteen replicas and three
// co-ordinators that poll once a second and apply the granted drains.
type rig struct {
	t               *testing.T
	controller      *Controller
	state           *maintenance.State
	stateMachine    *statemachine.Machine
	now             time.Duration
	wallBehind      time.Duration            // by how much the controller's wall clock is behind the true time
	clockOffsets    map[string]time.Duration // by node: how far its wall clock is ahead of the true time
	dropPolls       bool                     // no polls are delivered
	transfers       []string
	index           uint64
	dropProposals   bool          // proposals are not applied
	listConfirmedAt time.Duration // if set, when the list was last confirmed
	dropResults     bool          // outcomes of proposals are not delivered
	silentNode      string
	rejectingNode   string
	staleNode       string // polls, but reports only drains of other grants
	members         []Member
	replicas        []maintenance.Machine
	inputs          []Input
	proposals       []Propose
	logs            []string
	rejections      []string
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, controller: New(nil), state: maintenance.New(), now: 1000 * sec}
	r.stateMachine = statemachine.New(map[string]statemachine.Part{Part: r.state})
	for i := range 16 {
		r.replicas = append(r.replicas, maintenance.Machine{Name: fmt.Sprintf("r%d", i), Cell: i, Kind: maintenance.Replica, Status: maintenance.Up})
	}
	for _, n := range []string{"a", "b", "c"} {
		r.members = append(r.members, Member{Name: n, Status: maintenance.Up, Voter: true, Load: 0.5, LoadKnown: true})
	}
	r.inputs = []Input{Elected{Term: 1}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}}}
	r.run(2 * sec)
	return r
}

func (r *rig) request(revision int, names ...string) {
	var rs []maintenance.Request
	for _, n := range names {
		rs = append(rs, maintenance.Request{ID: "q" + n, Names: []string{n}, Reason: "disk", MaxOutage: 100 * sec})
	}
	r.inputs = append(r.inputs, MaintenanceFile{Requests: maintenance.RequestsBody{Revision: revision, Requests: rs}})
}

func (r *rig) run(d time.Duration) {
	r.t.Helper()
	for ; d > 0; d -= 100 * time.Millisecond {
		r.step(100 * time.Millisecond)
	}
}

func (r *rig) step(d time.Duration) {
	r.t.Helper()
	r.now += d
	in := append(r.inputs, Applied{State: r.state, Index: r.index, Now: r.stateMachine.Now()})
	r.inputs = nil
	if r.now%sec == 0 {
		in = append(in, Membership{r.members})
		if r.listConfirmedAt > 0 {
			in = append(in, ReplicaList{Replicas: r.replicas, Age: r.now - r.listConfirmedAt})
		} else {
			in = append(in, ReplicaList{Replicas: r.replicas})
		}
		for _, m := range r.members {
			if m.Name != r.silentNode && !r.dropPolls {
				in = append(in, r.poll(m.Name))
			}
		}
	}
	grants := 0
	for _, o := range r.controller.Step(r.now, 5000*sec+r.now-r.wallBehind, in) {
		switch o := o.(type) {
		case Log:
			r.logs = append(r.logs, o.Text)
		case TransferLeadership:
			r.transfers = append(r.transfers, o.Reason)
		case Propose:
			r.proposals = append(r.proposals, o)
			if o.Command.Kind == "grant" && !slices.ContainsFunc(r.proposals[:len(r.proposals)-1], func(p Propose) bool { return p.Command.ID == o.Command.ID }) {
				grants++
			}
			if r.dropProposals {
				continue
			}
			raw, err := o.Command.Encode()
			if err != nil {
				r.t.Fatal(err)
			}
			r.index++
			if err = r.stateMachine.Apply(r.index, raw); err != nil {
				r.rejections = append(r.rejections, err.Error())
			}
			if !r.dropResults {
				r.inputs = append(r.inputs, ProposalResult{o.Command.ID, err})
			}
		}
	}
	if grants > 1 {
		r.t.Fatalf("%d grants in one Step", grants)
	}
	if err := errors.Join(r.controller.Check(), r.stateMachine.Check()); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) poll(name string) Polled {
	p := Polled{From: name, Sequence: uint64(r.now), Wall: 5000*sec + r.now + r.clockOffsets[name]}
	for _, it := range r.state.Open() {
		if it.Fence > 0 {
			fence := it.Fence
			if name == r.staleNode {
				fence += 1000
			}
			p.Drains = append(p.Drains, peerproto.DrainStatus{Machine: it.Machine, Fence: fence, Rejected: name == r.rejectingNode, Reason: "alone"})
		}
	}
	return p
}

// phases returns the phases of the machine's items, in order.
func (r *rig) phases(name string) (all []string) {
	for _, it := range r.state.Items() {
		if it.Machine == name {
			all = append(all, string(it.Phase))
		}
	}
	return all
}

func (r *rig) want(what string, got, want any) {
	r.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		r.t.Errorf("at %v %s: %v, want %v (rejections: %v)", r.now, what, got, want, r.rejections)
	}
}

// runUntil steps until an item of the machine is in the phase, and returns how long that took.
func (r *rig) runUntil(name string, p maintenance.Phase) time.Duration {
	r.t.Helper()
	from := r.now
	for r.now < from+300*sec {
		if slices.Contains(r.phases(name), string(p)) {
			return r.now - from
		}
		r.step(100 * time.Millisecond)
	}
	r.t.Fatalf("%s never was %s: %v; rejections %v; %v", name, p, r.phases(name), r.rejections, r.logs)
	return 0
}

func (r *rig) proposedKinds() (all []string) {
	for _, p := range r.proposals {
		all = append(all, p.Command.Kind)
	}
	return all
}

func TestMachineIsDrainedAndReturns(t *testing.T) {
	r := newRig(t)
	r.request(1, "r1", "r2", "r5")
	if took := r.runUntil("r1", maintenance.Acknowledged); took > 2*sec {
		t.Errorf("acknowledged after %v", took)
	}
	r.run(sec)
	r.want("phases with and without a shared shard", fmt.Sprint(r.phases("r2"), r.phases("r5")), "[asked] [told]")
	it, _ := r.state.ActiveItem("r1")
	r.want("time until the machine must be out", it.Until-it.GrantedAt, silenceLimit(limits)+AcknowledgeSlack+StartTimeout+limits.SettleTime)
	r.replicas[1].Status = maintenance.Gone
	r.replicas[5].Status = maintenance.Terminating
	r.runUntil("r1", maintenance.Out)
	r.proposals = nil
	r.run(40 * sec)
	if ticks := len(slices.DeleteFunc(r.proposedKinds(), func(k string) bool { return k != "tick" })); ticks < 20 || ticks > 41 {
		t.Errorf("%d ticks in 40 s", ticks)
	}
	r.replicas[1].Status, r.replicas[1].Started = maintenance.Up, 5000*sec+r.now
	r.runUntil("r1", maintenance.Returned)
	if took := r.runUntil("r1", maintenance.Done); took < 18*sec || took > 25*sec {
		t.Errorf("warm after %v", took)
	}
	r.runUntil("r2", maintenance.Acknowledged)
	r.want("rejections", r.rejections, "[]")
}

// Two requests name the same machine and the first is not eligible yet. The state must choose the request, or the first one would
// be proposed and rejected for ever.
func TestEligibleRequestIsProposed(t *testing.T) {
	r := newRig(t)
	at := maintenance.Request{ID: "later", Names: []string{"r1"}, Reason: "disk", MaxOutage: 100 * sec, Earliest: 5000*sec + r.now + 3600*sec}
	now := maintenance.Request{ID: "now", Names: []string{"r1"}, Reason: "fan", MaxOutage: 100 * sec}
	r.inputs = append(r.inputs, MaintenanceFile{Requests: maintenance.RequestsBody{Revision: 1, Requests: []maintenance.Request{at, now}}})
	r.runUntil("r1", maintenance.Granted)
	if it, _ := r.state.ActiveItem("r1"); it.Request != "now" {
		t.Errorf("granted to %s", it.Request)
	}
}

func TestProposalRetriesAreIdenticalAndBounded(t *testing.T) {
	r := newRig(t)
	r.dropProposals = true
	n := len(r.proposals)
	r.request(1, "r1")
	r.run(8 * sec)
	r.want("proposals", len(r.proposals)-n, MaxProposalAttempts)
	r.want("repeated proposals", fmt.Sprint(r.proposals[n+1], r.proposals[n+2]), fmt.Sprint(r.proposals[n], r.proposals[n]))
	r.run(2 * sec)
	r.want("a new ID after the last attempt", r.proposals[n+3].Command.ID != r.proposals[n].Command.ID, true)
	r.dropProposals, r.dropResults = false, true // only the state shows their effect
	r.runUntil("r1", maintenance.Acknowledged)
	r.run(4 * sec)
	r.want("repeated after it took effect", strings.Contains(fmt.Sprint(r.rejections), "before"), false)
	for i := range 20 {
		r.controller.propose(fmt.Sprint(i), "tick", nil, func() bool { return false })
	}
	r.want("pending proposals", len(r.controller.pending), MaxPendingProposals)

	r = newRig(t)
	r.request(1, "r0", "r10", "r11", "r12", "r14", "r2", "r4", "r6", "a", "b")
	for !slices.Contains(r.proposedKinds(), "asks") {
		r.step(100 * time.Millisecond)
	}
	r.dropProposals = true
	r.run(2 * sec)
	var grants []string
	for _, w := range r.controller.pending {
		if strings.HasPrefix(w.subject, "grant ") {
			grants = append(grants, w.subject[6:])
		}
	}
	r.want("pending grants, without shared shards", grants, "[r0 r10 r12 r14]")
	r.dropProposals = false
	r.inputs = append(r.inputs, ProposalResult{r.controller.pending[0].command.ID, errors.New("no")})
	n = len(r.proposals)
	r.run(sec)
	for _, p := range r.proposals[n:] {
		r.want("proposed again right after a rejection", strings.Contains(string(p.Command.Body), `"r0"`), false)
	}
	r.run(5 * sec)
	r.want("phases later", r.phases("r0"), "[told]")

	r = newRig(t)
	r.request(1, "a", "b")
	for !slices.Contains(r.proposedKinds(), "asks") {
		r.step(100 * time.Millisecond)
	}
	r.dropProposals = true
	r.run(2 * sec)
	r.want("pending grants of co-ordinators", r.controller.countPending("grant "), 1)
}

func TestDeposedLeaderProposesNothing(t *testing.T) {
	r := newRig(t)
	r.inputs = append(r.inputs, Deposed{})
	n := len(r.proposals)
	r.request(1, "r1")
	r.replicas[4].Status = maintenance.Gone
	r.run(20 * sec)
	r.want("proposals", len(r.proposals), n)
	r.replicas[4].Status = maintenance.Up
	r.inputs = append(r.inputs, Elected{Term: 7})
	r.runUntil("r1", maintenance.Acknowledged)
	r.want("ID of the term", r.proposals[n].Command.ID, "7-1")
	r.controller.Step(r.now, 0, []Input{Applied{State: maintenance.New(), Index: 0, Now: 0}})
	r.want("an older state is ignored", r.controller.state == r.state, true)
}
