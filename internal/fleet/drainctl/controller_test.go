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

const s = time.Second

var limits = maintenance.Limits{Cells: 16, Reach: 2, Shards: 16, MinHolders: 1, MaxOutPerZone: 8, MaxOut: 8, Headroom: 0.1, MaxLoadAge: 10 * s,
	MaxInventoryAge: 10 * s, WarmUp: 20 * s, Lease: 5 * s, Grace: 2 * s, SettleTime: 10 * s, FailurePause: 30 * s, MaxPassedOver: 3, MinVoters: 2}

// rig steps a leader every 100 ms over a state machine that takes what it proposes, with sixteen replicas and three

// co-ordinators that poll once a second and lay what is granted.
type rig struct {
	t            *testing.T
	l            *Controller
	state        *maintenance.State
	stateMachine *statemachine.Machine
	now          time.Duration
	behind       time.Duration            // of the wall's clock
	clocks       map[string]time.Duration // by how much others' are ahead of the true time
	unheard      bool                     // nobody polls
	hands        []string
	index        uint64
	deaf         bool          // the raft group takes nothing
	old          time.Duration // since when the list is not confirmed any more
	mute         bool          // nothing is said of what came of a proposal
	silent       string
	refuses      string
	lazy         string // polls, and says only old grants laid
	members      []Member
	list         []maintenance.Machine
	in           []Input
	all          []Propose
	logs         []string
	refused      []string
}

func begin(t *testing.T) *rig {
	r := &rig{t: t, l: New(nil), state: maintenance.New(), now: 1000 * s}
	r.stateMachine = statemachine.New(map[string]statemachine.Part{Part: r.state})
	for i := range 16 {
		r.list = append(r.list, maintenance.Machine{Name: fmt.Sprintf("r%d", i), Cell: i, Kind: maintenance.Replica, Status: maintenance.Up})
	}
	for _, n := range []string{"a", "b", "c"} {
		r.members = append(r.members, Member{Name: n, Status: maintenance.Up, Voter: true, Load: 0.5, LoadKnown: true})
	}
	r.in = []Input{Elected{Term: 1}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}}}
	r.run(2 * s)
	return r
}

func (r *rig) ask(revision int, names ...string) {
	var rs []maintenance.Request
	for _, n := range names {
		rs = append(rs, maintenance.Request{ID: "q" + n, Names: []string{n}, Reason: "disk", MaxOutage: 100 * s})
	}
	r.in = append(r.in, MaintenanceFile{Requests: maintenance.RequestsBody{Revision: revision, Requests: rs}})
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
	in := append(r.in, Applied{State: r.state, Index: r.index, Now: r.stateMachine.Now()})
	r.in = nil
	if r.now%s == 0 {
		in = append(in, Membership{r.members})
		if r.old > 0 {
			in = append(in, ReplicaList{Replicas: r.list, Age: r.now - r.old})
		} else {
			in = append(in, ReplicaList{Replicas: r.list})
		}
		for _, m := range r.members {
			if m.Name != r.silent && !r.unheard {
				in = append(in, r.poll(m.Name))
			}
		}
	}
	grants := 0
	for _, o := range r.l.Step(r.now, 5000*s+r.now-r.behind, in) {
		switch o := o.(type) {
		case Log:
			r.logs = append(r.logs, o.Text)
		case TransferLeadership:
			r.hands = append(r.hands, o.Reason)
		case Propose:
			r.all = append(r.all, o)
			if o.Command.Kind == "grant" && !slices.ContainsFunc(r.all[:len(r.all)-1], func(p Propose) bool { return p.Command.ID == o.Command.ID }) {
				grants++
			}
			if r.deaf {
				continue
			}
			raw, err := o.Command.Encode()
			if err != nil {
				r.t.Fatal(err)
			}
			r.index++
			if err = r.stateMachine.Apply(r.index, raw); err != nil {
				r.refused = append(r.refused, err.Error())
			}
			if !r.mute {
				r.in = append(r.in, ProposalResult{o.Command.ID, err})
			}
		}
	}
	if grants > 1 {
		r.t.Fatalf("%d grants in one Step", grants)
	}
	if err := errors.Join(r.l.Check(), r.stateMachine.Check()); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) poll(name string) Polled {
	p := Polled{From: name, Sequence: uint64(r.now), Wall: 5000*s + r.now + r.clocks[name]}
	for _, it := range r.state.Open() {
		if it.Fence > 0 {
			fence := it.Fence
			if name == r.lazy {
				fence += 1000
			}
			p.Drains = append(p.Drains, peerproto.DrainStatus{Machine: it.Machine, Fence: fence, Rejected: name == r.refuses, Reason: "alone"})
		}
	}
	return p
}

// phases are those of a machine's items, in order.
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
		r.t.Errorf("at %v %s: %v, want %v (refused: %v)", r.now, what, got, want, r.refused)
	}
}

// until steps on until an item of the machine is in the phase, and says how long that took.
func (r *rig) until(name string, p maintenance.Phase) time.Duration {
	r.t.Helper()
	from := r.now
	for r.now < from+300*s {
		if slices.Contains(r.phases(name), string(p)) {
			return r.now - from
		}
		r.step(100 * time.Millisecond)
	}
	r.t.Fatalf("%s never was %s: %v; refused %v; %v", name, p, r.phases(name), r.refused, r.logs)
	return 0
}

func (r *rig) kinds() (all []string) {
	for _, p := range r.all {
		all = append(all, p.Command.Kind)
	}
	return all
}

func TestAMachineGoesOutAndComesBack(t *testing.T) {
	r := begin(t)
	r.ask(1, "r1", "r2", "r5")
	if took := r.until("r1", maintenance.Acknowledged); took > 2*s {
		t.Errorf("told after %v", took)
	}
	r.run(s)
	r.want("with a shard in common, and with none", fmt.Sprint(r.phases("r2"), r.phases("r5")), "[asked] [told]")
	it, _ := r.state.ActiveItem("r1")
	r.want("time to go", it.Until-it.GrantedAt, silenceLimit(limits)+AcknowledgeSlack+StartWithin+limits.SettleTime)
	r.list[1].Status = maintenance.Gone
	r.list[5].Status = maintenance.Terminating
	r.until("r1", maintenance.Out)
	r.all = nil
	r.run(40 * s)
	if ticks := len(slices.DeleteFunc(r.kinds(), func(k string) bool { return k != "tick" })); ticks < 20 || ticks > 41 {
		t.Errorf("%d ticks in 40 s", ticks)
	}
	r.list[1].Status, r.list[1].Started = maintenance.Up, 5000*s+r.now
	r.until("r1", maintenance.Returned)
	if took := r.until("r1", maintenance.Done); took < 18*s || took > 25*s {
		t.Errorf("warm after %v", took)
	}
	r.until("r2", maintenance.Acknowledged)
	r.want("refused", r.refused, "[]")
}

// Two requests name one machine, and the first may not go yet: the state is asked which is meant, or the first would be
// proposed and refused for ever.
func TestTheRequestThatMayGoIsProposed(t *testing.T) {
	r := begin(t)
	at := maintenance.Request{ID: "later", Names: []string{"r1"}, Reason: "disk", MaxOutage: 100 * s, Earliest: 5000*s + r.now + 3600*s}
	now := maintenance.Request{ID: "now", Names: []string{"r1"}, Reason: "fan", MaxOutage: 100 * s}
	r.in = append(r.in, MaintenanceFile{Requests: maintenance.RequestsBody{Revision: 1, Requests: []maintenance.Request{at, now}}})
	r.until("r1", maintenance.Granted)
	if it, _ := r.state.ActiveItem("r1"); it.Request != "now" {
		t.Errorf("granted to %s", it.Request)
	}
}

func TestARepeatedProposalIsTheSameAndEnds(t *testing.T) {
	r := begin(t)
	r.deaf = true
	n := len(r.all)
	r.ask(1, "r1")
	r.run(8 * s)
	r.want("proposed", len(r.all)-n, MaxProposalAttempts)
	r.want("the same", fmt.Sprint(r.all[n+1], r.all[n+2]), fmt.Sprint(r.all[n], r.all[n]))
	r.run(2 * s)
	r.want("then anew", r.all[n+3].Command.ID != r.all[n].Command.ID, true)
	r.deaf, r.mute = false, true // the state alone shows what came of them
	r.until("r1", maintenance.Acknowledged)
	r.run(4 * s)
	r.want("not repeated", strings.Contains(fmt.Sprint(r.refused), "before"), false)
	for i := range 20 {
		r.l.propose(fmt.Sprint(i), "tick", nil, func() bool { return false })
	}
	r.want("waiting at most", len(r.l.pending), MaxPendingProposals)

	r = begin(t)
	r.ask(1, "r0", "r10", "r11", "r12", "r14", "r2", "r4", "r6", "a", "b")
	for !slices.Contains(r.kinds(), "asks") {
		r.step(100 * time.Millisecond)
	}
	r.deaf = true
	r.run(2 * s)
	var grants []string
	for _, w := range r.l.pending {
		if strings.HasPrefix(w.subject, "grant ") {
			grants = append(grants, w.subject[6:])
		}
	}
	r.want("waiting, none with a shard in common", grants, "[r0 r10 r12 r14]")
	r.deaf = false
	r.in = append(r.in, ProposalResult{r.l.pending[0].command.ID, errors.New("no")})
	n = len(r.all)
	r.run(s)
	for _, p := range r.all[n:] {
		r.want("proposed again right after a refusal", strings.Contains(string(p.Command.Body), `"r0"`), false)
	}
	r.run(5 * s)
	r.want("later", r.phases("r0"), "[told]")

	r = begin(t)
	r.ask(1, "a", "b")
	for !slices.Contains(r.kinds(), "asks") {
		r.step(100 * time.Millisecond)
	}
	r.deaf = true
	r.run(2 * s)
	r.want("of co-ordinators", r.l.countPending("grant "), 1)
}

func TestADeposedLeaderProposesNothing(t *testing.T) {
	r := begin(t)
	r.in = append(r.in, Deposed{})
	n := len(r.all)
	r.ask(1, "r1")
	r.list[4].Status = maintenance.Gone
	r.run(20 * s)
	r.want("proposed", len(r.all), n)
	r.list[4].Status = maintenance.Up
	r.in = append(r.in, Elected{Term: 7})
	r.until("r1", maintenance.Acknowledged)
	r.want("ids of the term", r.all[n].Command.ID, "7-1")
	r.l.Step(r.now, 0, []Input{Applied{State: maintenance.New(), Index: 0, Now: 0}})
	r.want("a state of before", r.l.state == r.state, true)
}
