package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

// fixture applies commands to a state. After each command it checks the invariants, and that a rejected command changed
// nothing.
type fixture struct {
	t         *testing.T
	state     *State
	now       time.Duration
	lastFence uint64
	requests  RequestsBody
}

const sec = time.Second

var testLimits = Limits{Cells: 8, Reach: 3, Shards: 8, MinHolders: 2, MaxOutPerZone: 2, MaxOut: 3, Headroom: 0.25,
	MaxLoadAge: 30 * sec, MaxInventoryAge: 20 * sec, WarmUp: 40 * sec, Lease: 5 * sec, Grace: 2 * sec, SettleTime: 10 * sec,
	FailurePause: 60 * sec, MaxPassedOver: 2, MinVoters: 2}

func replica(i int) Machine {
	return Machine{Name: fmt.Sprintf("r%d", i), Kind: Replica, Zone: fmt.Sprintf("z%d", i%4), Cell: i, Status: Up}
}

func coordinator(i int) Machine {
	return Machine{Name: fmt.Sprintf("c%d", i), Kind: Coordinator, Zone: fmt.Sprintf("z%d", i), Status: Up, Voter: true}
}

// newFixture returns a fixture with eight replicas, one per cell, three co-ordinators and the given requests.
func newFixture(t *testing.T, l Limits, rs ...Request) *fixture {
	p := &fixture{t: t, state: New(), now: 1000 * sec}
	p.mustApply("limits", LimitsBody{1, l})
	var ms []Machine
	for i := range 8 {
		ms = append(ms, replica(i))
	}
	for i := range 3 {
		ms = append(ms, coordinator(i))
	}
	p.mustApply("observe", ObserveBody{Complete: true, Machines: ms, Load: 2, LoadKnown: true})
	p.setRequests(rs...)
	return p
}

func requestFor(id string, ns ...string) Request {
	return Request{ID: id, Names: ns, Reason: "disk", MaxOutage: 300 * sec}
}

func (p *fixture) setRequests(rs ...Request) {
	p.requests.Revision++
	p.requests.Requests = rs
	p.mustApply("asks", p.requests)
}

func (p *fixture) apply(kind string, body any) error {
	p.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	p.state.Tick(p.now)
	before, _ := p.state.Save()
	next := p.lastFence
	err = p.state.Apply(p.now, func() uint64 { next++; return next }, kind, raw)
	if after, _ := p.state.Save(); err != nil && !bytes.Equal(before, after) {
		p.t.Fatalf("%s was rejected (%v) but changed the state from\n%s\nto\n%s", kind, err, before, after)
	}
	if err == nil {
		p.lastFence = next
	}
	if err := p.state.Check(); err != nil {
		p.t.Fatalf("after %s: %v", kind, err)
	}
	return err
}

func (p *fixture) mustApply(kind string, body any) {
	p.t.Helper()
	if err := p.apply(kind, body); err != nil {
		p.t.Fatalf("%s: %v", kind, err)
	}
}

// mustReject checks that the command is rejected with an error that contains want.
func (p *fixture) mustReject(want, kind string, body any) {
	p.t.Helper()
	if err := p.apply(kind, body); err == nil || !strings.Contains(err.Error(), want) {
		p.t.Fatalf("%s %+v: %v, want %q", kind, body, err, want)
	}
}

// advance moves time on and reports a fresh load and the given machines, so that no observation is out of date.
func (p *fixture) advance(d time.Duration, ms ...Machine) {
	p.t.Helper()
	p.now += d
	p.mustApply("observe", ObserveBody{Machines: ms, Load: 2, LoadKnown: true})
}

func (p *fixture) observe(ms ...Machine) { p.t.Helper(); p.advance(0, ms...) }

func (p *fixture) grantBody(request, machine string) GrantBody {
	return GrantBody{request, machine, p.now + 100*sec}
}

func (p *fixture) grant(request, machine string) {
	p.t.Helper()
	p.mustApply("grant", p.grantBody(request, machine))
}

// mustRefuseGrant checks that both MayGrant and the grant command refuse the machine with an error that contains want.
func (p *fixture) mustRefuseGrant(want, request, machine string) {
	p.t.Helper()
	p.mustReject(want, "grant", p.grantBody(request, machine))
	if _, err := p.state.MayGrant(p.now, machine); err == nil || !strings.Contains(err.Error(), want) {
		p.t.Fatalf("MayGrant %s: %v, want %q", machine, err, want)
	}
}

func (p *fixture) acknowledge(machine string) {
	p.t.Helper()
	it, _ := p.state.ActiveItem(machine)
	p.mustApply("told", AcknowledgeBody{machine, it.Fence, []string{"c0", "c1"}, []Silent{{"c2", 7 * sec}}})
}

// wantPhase checks the phase of the latest item of a machine and returns the item.
func (p *fixture) wantPhase(machine string, want Phase) Item {
	p.t.Helper()
	var last Item
	for _, it := range p.state.Items() {
		if it.Machine == machine {
			last = it
		}
	}
	if last.Phase != want {
		p.t.Fatalf("%s is %s (%s), want %s", machine, last.Phase, last.Reason, want)
	}
	return last
}

func (m Machine) withStatus(s Status) Machine           { m.Status = s; return m }
func (m Machine) startedAt(start time.Duration) Machine { m.Started = start; return m }
