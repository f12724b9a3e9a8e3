package maintenance

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A leader that lies in each of its words: told as soon as it likes, by everybody; machines out and back that never went, or
// never came back; a load of nothing. Whatever it says, at no moment more are out of the plan's making than W2 allows, no shard
// is left by grants with fewer holders than W1 wants, no number comes twice, and each place is free again by its time (W7).
func TestFalseReportsNeverExceedLimits(t *testing.T) {
	// Long: one loop that draws a false report of each kind against one fleet, and judges all of them by one count.
	rapid.Check(t, func(r *rapid.T) {
		l := testLimits
		l.MaxPassedOver, l.FailurePause, l.MaxOut, l.MinVoters = 100, sec, 2, 1
		p := newFixture(t, l, Request{ID: "all", Prefix: "", Kind: Replica, Reason: "swap", MaxOutage: 60 * sec}, Request{ID: "host", Kind: Coordinator, Reason: "swap", MaxOutage: 60 * sec})
		names := []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "c0", "c1", "c2"}
		reported := map[string]Machine{}
		for i := range 8 {
			reported[fmt.Sprint("r", i)] = replica(i)
		}
		for i := range 3 {
			reported[fmt.Sprint("c", i)] = coordinator(i)
		}
		fences := map[uint64]bool{}
		lastFreeAt := map[string]time.Duration{} // by when each that was ever granted has its place no more
		for range rapid.IntRange(8, 40).Draw(r, "words") {
			name := rapid.SampledFrom(names).Draw(r, "name")
			m := reported[name]
			it, live := p.state.ActiveItem(name)
			switch rapid.IntRange(0, 6).Draw(r, "kind") {
			case 0, 1:
				request := map[bool]string{true: "all", false: "host"}[m.Kind == Replica]
				if p.apply("grant", GrantBody{request, name, p.now + 100*sec}) == nil {
					now, _ := p.state.ActiveItem(name)
					if fences[now.Fence] {
						r.Fatalf("number %d comes twice", now.Fence)
					}
					fences[now.Fence] = true
					lastFreeAt[name] = p.now + 100*sec
					checkHoldersAfterGrant(r, p, l, reported, name)
				}
			case 2:
				if live {
					if p.apply("told", AcknowledgeBody{name, it.Fence, []string{"c0", "c1", "c2"}, nil}) == nil && it.Phase != Granted {
						r.Fatalf("%s was told as %s", name, it.Phase)
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
					r.Fatalf("%s is %s at %v, %v after the last moment of its grant", it.Machine, it.Phase, p.now, p.now-until)
				}
			}
			if all > l.MaxOut || voters > 1 {
				r.Fatalf("%d are out, %d voters", all, voters)
			}
			for z, n := range zones {
				if n > l.MaxOutPerZone {
					r.Fatalf("%d are out in %s", n, z)
				}
			}
		}
	})
}

// free: after a grant each shard that its machine holds has the holders that W1 wants, of those said to be up, less those
// that hold a grant. A shard is held by the Reach cells from it on: counted here by other means than the rules'.
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
			r.Fatalf("the grant of %s left %d holders at %d", name, holders[s], s)
		}
	}
}

// A machine that is falsely said to be out keeps its place: it is free again only when the machine is back by a newer start
// and warm, or by its time and then as a failure. One that was not told ends its grant and pauses the plan.
func TestFalseOutReportKeepsSlotTaken(t *testing.T) {
	p := newFixture(t, testLimits, requestFor("a", "r1"), requestFor("b", "r5")) // of one zone, with places for two
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
	p.observe(replica(1)) // up, by the start that it was told with
	p.wantPhase("r1", Out)
	p.mustRefuseGrant("W2", "b", "r5")
	p.advance(301 * sec)
	if it := p.wantPhase("r1", Expired); it.Reason == "" {
		t.Error("it ended without words")
	}
	p.mustRefuseGrant("W6", "b", "r5") // and it counts as a failure

	p = newFixture(t, testLimits, requestFor("a", "r1"), requestFor("b", "r5"))
	p.grant("a", "r1")
	p.observe(replica(1).withStatus(Gone))
	p.wantPhase("r1", Pending) // requested again, as its grant lapsed
	p.mustRefuseGrant("W6", "b", "r5")
}
