package view

import (
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// restartedState is a state in which the named machine is up with a later start time.
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

// A state of a newer epoch is accepted even if its index, its time and its leaders' terms are lower than before. Drains for grants that it
// does not contain are kept until their end by the local clock, or until the machine has restarted, and are not reported.
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
		Applied{State: &r.state, Index: 99, AgreedTime: r.agreedTime, Epoch: 4}, // of the previous epoch, ignored
	}
	r.step(100 * time.Millisecond)
	r.expect("drains in the new epoch, except one that would leave a shard without a holder", r.drains, "[r1 r3]")
	r.expect("cut off", r.v.CutOff(r.now), false)
	r.expect("grants", r.grants, "[]")
	r.run(3 * s)
	r.expect("reported statuses", r.lastReported(), "[{r3 300 false } {r2 301 true shard 1 would be left without a holder up in the own list}]")
	r.expect("an answer with a lower term is accepted", r.v.Age(r.now) < 2*s, true)
	newEpoch.items = newEpoch.items[:1]
	r.pending = append(r.pending, Applied{State: newEpoch, Index: 2, AgreedTime: 4001 * s, Epoch: 5})
	for r.now < ends-s {
		r.step(100 * time.Millisecond)
	}
	r.expect("just before the end", r.drains, "[r1 r3]")
	r.run(3 * s)
	r.expect("after the end", r.drains, "[r3]")

	r = newRig(t)
	r.applyItems(r.item("r1", 7, maintenance.Acknowledged))
	r.run(3 * s)
	r.pending = append(r.pending, Applied{State: &restartedState{name: "r1"}, Index: 1, AgreedTime: 4000 * s, Epoch: 5})
	r.step(100 * time.Millisecond)
	r.expect("drains once the machine has restarted", r.drains, "[]")
}
