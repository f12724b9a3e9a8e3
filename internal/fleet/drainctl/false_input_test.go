package drainctl

import (
	"slices"
	"testing"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

// A co-ordinator that falsely reports drains, for all fences that may occur and for wrong machines, affects its own
// acknowledgement only: the grant is not acknowledged before the others apply the drain, nor by a fence of another machine.
func TestFalseStatusCountsOnlyForItsSender(t *testing.T) {
	r := newRig(t)
	r.staleNode, r.silentNode = "b", "a" // b does not report this grant; a's polls are made here
	pollFalsely := func(machine string) {
		p := Polled{From: "a", Sequence: uint64(r.now) + 1, Wall: 5000*sec + r.now}
		for fence := range uint64(64) {
			p.Drains = append(p.Drains, peerproto.DrainStatus{Machine: machine, Fence: fence + 1})
		}
		r.inputs = append(r.inputs, p)
	}
	r.request(1, "r1")
	for range 6 {
		pollFalsely("r1")
		r.run(sec)
	}
	r.want("phases before b acknowledges", r.phases("r1"), "[granted]")
	r.staleNode = ""
	pollFalsely("r2") // a now reports another machine
	r.run(2 * sec)
	r.want("phases while a reports another machine", r.phases("r1"), "[granted]")
	pollFalsely("r1")
	r.run(2 * sec)
	if got := r.phases("r1"); !slices.Contains(got, string(maintenance.Acknowledged)) {
		t.Errorf("phases %v, want one acknowledged", got)
	}
}
