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
func TestALyingLeaderCannotWidenThePlan(t *testing.T) {
	// Long: one loop that draws a false report of each kind against one fleet, and judges all of them by one count.
	rapid.Check(t, func(r *rapid.T) {
		l := limits
		l.MaxPassedOver, l.FailurePause, l.MaxOut, l.MinVoters = 100, sec, 2, 1
		p := start(t, l, Request{ID: "all", Prefix: "", Kind: Replica, Reason: "swap", MaxOutage: 60 * sec}, Request{ID: "host", Kind: Coordinator, Reason: "swap", MaxOutage: 60 * sec})
		names := []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "c0", "c1", "c2"}
		said := map[string]Machine{}
		for i := range 8 {
			said[fmt.Sprint("r", i)] = cell(i)
		}
		for i := range 3 {
			said[fmt.Sprint("c", i)] = host(i)
		}
		numbers := map[uint64]bool{}
		latest := map[string]time.Duration{} // by when each that was ever granted has its place no more
		for range rapid.IntRange(8, 40).Draw(r, "words") {
			name := rapid.SampledFrom(names).Draw(r, "name")
			m := said[name]
			it, live := p.s.ActiveItem(name)
			switch rapid.IntRange(0, 6).Draw(r, "kind") {
			case 0, 1:
				request := map[bool]string{true: "all", false: "host"}[m.Kind == Replica]
				if p.do("grant", GrantBody{request, name, p.now + 100*sec}) == nil {
					now, _ := p.s.ActiveItem(name)
					if numbers[now.Fence] {
						r.Fatalf("number %d comes twice", now.Fence)
					}
					numbers[now.Fence] = true
					latest[name] = p.now + 100*sec
					free(r, p, l, said, name)
				}
			case 2:
				if live {
					if p.do("told", AcknowledgeBody{name, it.Fence, []string{"c0", "c1", "c2"}, nil}) == nil && it.Phase != Granted {
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
			said[name] = m
			p.must("observe", ObserveBody{Machines: []Machine{m}, LoadKnown: true})
			zones, all, voters := map[string]int{}, 0, 0
			for _, it := range p.s.Open() {
				if !it.Phase.live() {
					continue
				}
				all++
				if zones[it.Zone]++; it.Voter {
					voters++
				}
				if until := latest[it.Machine] + it.MaxOutage; p.now > until {
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
func free(r *rapid.T, p *site, l Limits, said map[string]Machine, name string) {
	if said[name].Kind != Replica {
		return
	}
	holders := map[int]int{}
	for n, m := range said {
		if _, out := p.s.ActiveItem(n); m.Kind == Replica && m.Status == Up && !out {
			for k := range l.Reach {
				holders[(m.Cell-k+l.Cells)%l.Cells]++
			}
		}
	}
	for k := range l.Reach {
		if s := (said[name].Cell - k + l.Cells) % l.Cells; holders[s] < l.MinHolders {
			r.Fatalf("the grant of %s left %d holders at %d", name, holders[s], s)
		}
	}
}

// A machine that is falsely said to be out keeps its place: it is free again only when the machine is back by a newer start
// and warm, or by its time and then as a failure. One that was not told ends its grant and pauses the plan.
func TestAFalseOutFreesNothing(t *testing.T) {
	p := start(t, limits, names("a", "r1"), names("b", "r5")) // of one zone, with places for two
	l := limits
	l.MaxOutPerZone = 1
	p.must("limits", LimitsBody{2, l})
	ms := append(p.s.Machines(), Machine{})[:len(p.s.Machines())]
	p.must("observe", ObserveBody{Complete: true, Machines: ms, Load: 2, LoadKnown: true})
	p.grant("a", "r1")
	p.told("r1")
	p.see(cell(1).as(Gone))
	p.phase("r1", Out)
	p.no("W2", "b", "r5")
	p.see(cell(1)) // up, by the start that it was told with
	p.phase("r1", Out)
	p.no("W2", "b", "r5")
	p.wait(301 * sec)
	if it := p.phase("r1", Expired); it.Reason == "" {
		t.Error("it ended without words")
	}
	p.no("W6", "b", "r5") // and it counts as a failure

	p = start(t, limits, names("a", "r1"), names("b", "r5"))
	p.grant("a", "r1")
	p.see(cell(1).as(Gone))
	p.phase("r1", Pending) // requested again, as its grant lapsed
	p.no("W6", "b", "r5")
}
