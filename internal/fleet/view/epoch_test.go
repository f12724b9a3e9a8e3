package view

import (
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// backed is a state in which one machine is up by a newer start.
type restartedState struct {
	fakeState
	name string
}

func (b *restartedState) Machine(name string) (maintenance.Machine, bool) {
	m, ok := b.fakeState.Machine(name)
	if name == b.name {
		m.Started = 5000 * s
	}
	return m, ok
}

// A council that was set up anew counts, however far back its copy, its time and its leaders' terms are. Drains of grants
// that it does not know of stay until their end by the own clock, or until the machine has come back; nothing is said of them.
func TestNewEpochKeepsEarlierDrains(t *testing.T) {
	r := newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged), r.item("r3", 8, maintenance.Granted), r.item("a", 9, maintenance.Granted))
	r.pending = append(r.pending, PollAnswered{Sequence: r.v.polls.sequence, Term: 50})
	r.run(3 * s)
	r.expect("drains", r.drains, "[r1 r3]")
	ends := r.now + 5100*s - r.agreedTime
	newEpoch := &fakeState{items: []maintenance.Item{r.item("r3", 300, maintenance.Granted), r.item("r2", 301, maintenance.Granted)}}
	r.pending = []Input{
		Applied{State: newEpoch, Index: 1, AgreedTime: 4000 * s, Epoch: 5}, PollAnswered{Sequence: r.v.polls.sequence, Term: 3},
		Applied{State: &r.state, Index: 99, AgreedTime: r.agreedTime, Epoch: 4}, // of before
	}
	r.step(100 * time.Millisecond)
	r.expect("drains in the new era, none that leaves no holder", r.drains, "[r1 r3]")
	r.expect("cut off", r.v.CutOff(r.now), false)
	r.expect("for the file", r.grants, "[]")
	r.run(3 * s)
	r.expect("said", r.lastReported(), "[{r3 300 false } {r2 301 true shard 1 would be left without a holder up in the own list}]")
	r.expect("a lower term counts", r.v.Age(r.now) < 2*s, true)
	newEpoch.items = newEpoch.items[:1]
	r.pending = append(r.pending, Applied{State: newEpoch, Index: 2, AgreedTime: 4001 * s, Epoch: 5})
	for r.now < ends-s {
		r.step(100 * time.Millisecond)
	}
	r.expect("just before the end", r.drains, "[r1 r3]")
	r.run(3 * s)
	r.expect("past the end", r.drains, "[r3]")

	r = newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.run(3 * s)
	r.pending = append(r.pending, Applied{State: &restartedState{name: "r1"}, Index: 1, AgreedTime: 4000 * s, Epoch: 5})
	r.step(100 * time.Millisecond)
	r.expect("one that came back", r.drains, "[]")
}
