package drainctl

import (
	"slices"
	"testing"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

// A co-ordinator that says it laid what it did not, for all numbers that may come and for machines that it names wrongly, speaks
// for itself only: the grant is acknowledged no sooner than the others have laid it, and not by a number of another machine.
func TestFalseStatusCountsOnlyForItsSender(t *testing.T) {
	r := newRig(t)
	r.staleNode, r.silentNode = "b", "a" // b says nothing laid of this grant; a's polls are made here
	lie := func(machine string) {
		p := Polled{From: "a", Sequence: uint64(r.now) + 1, Wall: 5000*sec + r.now}
		for fence := range uint64(64) {
			p.Drains = append(p.Drains, peerproto.DrainStatus{Machine: machine, Fence: fence + 1})
		}
		r.inputs = append(r.inputs, p)
	}
	r.request(1, "r1")
	for range 6 {
		lie("r1")
		r.run(sec)
	}
	r.want("while b has not", r.phases("r1"), "[granted]")
	r.staleNode = ""
	lie("r2") // now a's word is of another machine
	r.run(2 * sec)
	r.want("while a speaks of another", r.phases("r1"), "[granted]")
	lie("r1")
	r.run(2 * sec)
	if got := r.phases("r1"); !slices.Contains(got, string(maintenance.Acknowledged)) {
		t.Errorf("%v", got)
	}
}
