package maintenance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A leader that reports falsely at random cannot violate the rules: acknowledgements at any time, machines reported out or back
// that never were, no load. At every step at most as many machines hold a grant as W2 allows, no grant leaves a shard with fewer
// holders than W1 requires, no fence is used twice, and each slot is free again by its deadline (W7).
func TestFalseReportsNeverExceedLimits(t *testing.T) {
	// Long: one loop draws every kind of false report against one fleet and checks them all with the same counts.
	rapid.Check(t, func(r *rapid.T) {
		l := testLimits
		l.MaxPassedOver, l.FailurePause, l.MaxOut, l.MinVoters = 100, sec, 2, 1
		p := newFixture(t, l, Request{ID: "all", Prefix: "", Kind: Replica, Reason: "swap", MaxOutage: 60 * sec},
			Request{ID: "host", Kind: Coordinator, Reason: "swap", MaxOutage: 60 * sec})
		names := []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "c0", "c1", "c2"}
		reported := map[string]Machine{}
		for i := range 8 {
			reported[fmt.Sprint("r", i)] = replica(i)
		}
		for i := range 3 {
			reported[fmt.Sprint("c", i)] = coordinator(i)
		}
		fences := map[uint64]bool{}
		lastFreeAt := map[string]time.Duration{} // by machine: latest time at which the slot of its grant is free again
		for range rapid.IntRange(8, 40).Draw(r, "steps") {
			name := rapid.SampledFrom(names).Draw(r, "name")
			m := reported[name]
			it, live := p.state.ActiveItem(name)
			switch rapid.IntRange(0, 6).Draw(r, "kind") {
			case 0, 1:
				request := map[bool]string{true: "all", false: "host"}[m.Kind == Replica]
				if p.apply("grant", GrantBody{request, name, p.now + 100*sec}) == nil {
					now, _ := p.state.ActiveItem(name)
					if fences[now.Fence] {
						r.Fatalf("fence %d is used twice", now.Fence)
					}
					fences[now.Fence] = true
					lastFreeAt[name] = p.now + 100*sec
					checkHoldersAfterGrant(r, p, l, reported, name)
				}
			case 2:
				if live {
					if p.apply("told", AcknowledgeBody{name, it.Fence, []string{"c0", "c1", "c2"}, nil}) == nil && it.Phase != Granted {
						r.Fatalf("%s was acknowledged in phase %s", name, it.Phase)
					}
				}
			case 3:
				m.Status = Gone
			case 4:
				m.Status = Up
			case 5:
				m.Status, m.Started = Up, p.now
			case 6:
				p.now += time.Duration(rapid.IntRange(1, 40).Draw(r, "seconds")) * sec
			}
			reported[name] = m
			p.mustApply("observe", ObserveBody{Machines: []Machine{m}, LoadKnown: true})
			zones, all, voters := map[string]int{}, 0, 0
			for _, it := range p.state.Open() {
				if !it.Phase.live() {
					continue
				}
				all++
				if zones[it.Zone]++; it.Voter {
					voters++
				}
				if until := lastFreeAt[it.Machine] + it.MaxOutage; p.now > until {
					r.Fatalf("%s is %s at %v, %v after the deadline of its grant", it.Machine, it.Phase, p.now, p.now-until)
				}
			}
			if all > l.MaxOut || voters > 1 {
				r.Fatalf("%d machines are out, %d of them voters", all, voters)
			}
			for z, n := range zones {
				if n > l.MaxOutPerZone {
					r.Fatalf("%d machines are out in %s", n, z)
				}
			}
		}
	})
}

// checkHoldersAfterGrant checks that after a grant each shard of its machine keeps the holders that W1 requires, among the machines
// reported up that hold no grant. A shard is held by the Reach cells starting at its own; the holders are counted independently
// of the code under test.
func checkHoldersAfterGrant(r *rapid.T, p *fixture, l Limits, reported map[string]Machine, name string) {
	if reported[name].Kind != Replica {
		return
	}
	holders := map[int]int{}
	for n, m := range reported {
		if _, out := p.state.ActiveItem(n); m.Kind == Replica && m.Status == Up && !out {
			for k := range l.Reach {
				holders[(m.Cell-k+l.Cells)%l.Cells]++
			}
		}
	}
	for k := range l.Reach {
		if s := (reported[name].Cell - k + l.Cells) % l.Cells; holders[s] < l.MinHolders {
			r.Fatalf("the grant of %s left %d holders of shard %d", name, holders[s], s)
		}
	}
}

// A machine that is falsely reported out keeps its slot. The slot is free only when the machine has restarted and is warm, or at
// its deadline, which counts as a failure. An outage before the acknowledgement ends the grant and pauses maintenance.
func TestFalseOutReportKeepsSlotTaken(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r1"), requestFor("b", "r5")) // both in one zone, which has two slots
	l := testLimits
	l.MaxOutPerZone = 1
	p.mustApply("limits", LimitsBody{2, l})
	ms := append(p.state.Machines(), Machine{})[:len(p.state.Machines())]
	p.mustApply("observe", ObserveBody{Complete: true, Machines: ms, Load: 2, LoadKnown: true})
	p.grant("a", "r1")
	p.acknowledge("r1")
	p.observe(replica(1).withStatus(Gone))
	p.wantPhase("r1", Out)
	p.mustRefuseGrant("W2", "b", "r5")
	p.observe(replica(1)) // up, with the same start as at the acknowledgement
	p.wantPhase("r1", Out)
	p.mustRefuseGrant("W2", "b", "r5")
	p.advance(301 * sec)
	if it := p.wantPhase("r1", Expired); it.Reason == "" {
		t.Error("it ended without a reason")
	}
	p.mustRefuseGrant("W6", "b", "r5") // the expiry counts as a failure

	p = newFixture(t, testLimits, requestFor("a", "r1"), requestFor("b", "r5"))
	p.grant("a", "r1")
	p.observe(replica(1).withStatus(Gone))
	p.wantPhase("r1", Pending) // retried, since its grant expired
	p.mustRefuseGrant("W6", "b", "r5")
}
