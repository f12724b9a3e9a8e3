package maintenance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

// site plays commands against a state, and after each looks at its invariants and that a refusal changed nothing.
type site struct {
	t     *testing.T
	s     *State
	now   time.Duration
	fence uint64
	asks  RequestsBody
}

const sec = time.Second

var limits = Limits{Cells: 8, Reach: 3, Shards: 8, MinHolders: 2, MaxOutPerZone: 2, MaxOut: 3, Headroom: 0.25,
	LoadAge: 30 * sec, ListAge: 20 * sec, WarmUp: 40 * sec, Lease: 5 * sec, Grace: 2 * sec, SettleTime: 10 * sec, FailurePause: 60 * sec,
	MaxPassedOver: 2, MinVoters: 2}

func cell(i int) Machine {
	return Machine{Name: fmt.Sprintf("r%d", i), Kind: Replica, Zone: fmt.Sprintf("z%d", i%4), Cell: i, Status: Up}
}

func host(i int) Machine {
	return Machine{Name: fmt.Sprintf("c%d", i), Kind: Coordinator, Zone: fmt.Sprintf("z%d", i), Status: Up, Voter: true}
}

// start makes eight replicas, one a cell, and three co-ordinators, all asked for by request "all" if no other is given.
func start(t *testing.T, l Limits, rs ...Request) *site {
	p := &site{t: t, s: New(), now: 1000 * sec}
	p.must("limits", LimitsBody{1, l})
	var ms []Machine
	for i := range 8 {
		ms = append(ms, cell(i))
	}
	for i := range 3 {
		ms = append(ms, host(i))
	}
	p.must("observe", ObserveBody{Complete: true, Machines: ms, Load: 2, LoadKnown: true})
	p.ask(rs...)
	return p
}

func names(id string, ns ...string) Request {
	return Request{ID: id, Names: ns, Reason: "disk", MaxOutage: 300 * sec}
}

func (p *site) ask(rs ...Request) {
	p.asks.Revision++
	p.asks.Requests = rs
	p.must("asks", p.asks)
}

func (p *site) do(kind string, body any) error {
	p.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	p.s.Tick(p.now)
	before, _ := p.s.Save()
	next := p.fence
	err = p.s.Apply(p.now, func() uint64 { next++; return next }, kind, raw)
	if after, _ := p.s.Save(); err != nil && !bytes.Equal(before, after) {
		p.t.Fatalf("%s was refused (%v) and changed\n%s\nto\n%s", kind, err, before, after)
	}
	if err == nil {
		p.fence = next
	}
	if err := p.s.Check(); err != nil {
		p.t.Fatalf("after %s: %v", kind, err)
	}
	return err
}

func (p *site) must(kind string, body any) {
	p.t.Helper()
	if err := p.do(kind, body); err != nil {
		p.t.Fatalf("%s: %v", kind, err)
	}
}

// refused wants the words.
func (p *site) refused(words, kind string, body any) {
	p.t.Helper()
	if err := p.do(kind, body); err == nil || !strings.Contains(err.Error(), words) {
		p.t.Fatalf("%s %+v: %v, want %q", kind, body, err, words)
	}
}

// wait lets time pass with a fresh look at the end, so that only what the test means is old.
func (p *site) wait(d time.Duration, ms ...Machine) {
	p.t.Helper()
	p.now += d
	p.must("observe", ObserveBody{Machines: ms, Load: 2, LoadKnown: true})
}

func (p *site) see(ms ...Machine) { p.t.Helper(); p.wait(0, ms...) }

func (p *site) body(request, machine string) GrantBody {
	return GrantBody{request, machine, p.now + 100*sec}
}

func (p *site) grant(request, machine string) {
	p.t.Helper()
	p.must("grant", p.body(request, machine))
}

// no: neither MayGrant nor the command lets the machine go, for the same reason.
func (p *site) no(words, request, machine string) {
	p.t.Helper()
	p.refused(words, "grant", p.body(request, machine))
	if _, err := p.s.MayGrant(p.now, machine); err == nil || !strings.Contains(err.Error(), words) {
		p.t.Fatalf("MayGo %s: %v, want %q", machine, err, words)
	}
}

func (p *site) told(machine string) {
	p.t.Helper()
	it, _ := p.s.ActiveItem(machine)
	p.must("told", AcknowledgeBody{machine, it.Fence, []string{"c0", "c1"}, []Silent{{"c2", 7 * sec}}})
}

// phase wants the latest item of a machine.
func (p *site) phase(machine string, want Phase) Item {
	p.t.Helper()
	var last Item
	for _, it := range p.s.Items() {
		if it.Machine == machine {
			last = it
		}
	}
	if last.Phase != want {
		p.t.Fatalf("%s is %s (%s), want %s", machine, last.Phase, last.Reason, want)
	}
	return last
}

func (m Machine) as(s Status) Machine               { m.Status = s; return m }
func (m Machine) since(start time.Duration) Machine { m.Started = start; return m }
