package drainctl

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

func TestIdleControllerProposesNothing(t *testing.T) {
	r := newRig(t)
	r.want("proposals", r.proposedKinds(), "[limits observe]")
	r.run(100 * sec)
	r.want("proposals after 100 s", len(r.proposals), 2)
	r.replicas[3].Started = 1
	r.run(2 * sec)
	r.proposals = r.proposals[:2]
	r.replicas[3].Status, r.replicas[3].Started = maintenance.Gone, 0 // a list without the start of a gone machine
	r.replicas = append(r.replicas, maintenance.Machine{Name: "x", Status: maintenance.Gone})
	r.run(5 * sec)
	r.want("proposals for a change", r.proposedKinds()[2:], "[observe]")
	r.want("machines in the observation", strings.Count(string(r.proposals[2].Command.Body), "name"), 1)
	for i := range 20 {
		flapping := slices.Clone(r.replicas)
		flapping[4].Status = []maintenance.Status{maintenance.Terminating, maintenance.Up}[i%2]
		r.inputs = append(r.inputs, ReplicaList{Replicas: flapping})
		r.step(100 * time.Millisecond)
	}
	if n := len(r.proposals) - 3; n < 2 || n > 5 {
		t.Errorf("%d observations in two seconds of flapping", n)
	}

	controller := New(nil)
	for _, in := range [][]Input{{Elected{Term: 1}, Applied{State: r.state, Index: 1, Now: 1}, Membership{r.members}}, {Elected{Term: 2}}} {
		r.want("outputs without both lists", len(controller.Step(0, 9000*sec, in)), 1)
		controller.membersKnown, controller.members = false, nil
		controller.handle(ReplicaList{Replicas: r.replicas})
	}
}

func TestFleetLoadAndListAge(t *testing.T) {
	// Long: one sequence of loads and lists, in which each step is compared with the one before.
	for _, c := range []struct {
		what   string
		change func(*rig)
		want   string
	}{
		{"all reported", func(*rig) {}, "1.5 true"},
		{"one of three did not report", func(r *rig) { r.members[0].LoadKnown = false }, "0 false"},
		{"one of three reported too long ago", func(r *rig) { r.members[0].LoadAge = 10*sec + 1 }, "0 false"},
		{"one that is gone does not count", func(r *rig) { r.members[0].Status = maintenance.Gone }, "1 true"},
		{"one of five is cut off from the leader but still serves", func(r *rig) {
			r.members = append(r.members, Member{Name: "d", Status: maintenance.Unknown, Load: 9, LoadKnown: true},
				Member{Name: "e", Status: maintenance.Up, Load: 0.5, LoadKnown: true})
		}, "2.5 true"},
		{"one in the agreed inventory is missing from the membership", func(r *rig) {
			r.run(2 * sec)
			r.members = r.members[1:]
		}, "0 false"},
		{"one of five did not report", func(r *rig) {
			r.members = append(r.members, Member{Name: "d", Status: maintenance.Up}, Member{Name: "e", Status: maintenance.Up, Load: 0.5, LoadKnown: true})
		}, "2.5 true"},
	} {
		r := newRig(t)
		c.change(r)
		r.run(2 * sec)
		load, known := r.controller.fleetLoad(limits.MaxLoadAge)
		r.want(c.what, fmt.Sprint(load, " ", known), c.want)
	}
	r := newRig(t)
	r.listConfirmedAt = 999 * sec // before the agreed observation
	r.run(15 * sec)
	r.replicas[9].Status = maintenance.Terminating
	r.request(1, "r1")
	r.run(10 * sec)
	r.want("rejections with an old list", r.rejections, "[]")
	r.want("phases and grants with an old list", fmt.Sprint(r.phases("r1"), slices.Contains(r.proposedKinds(), "grant")), "[asked] false")
	r.listConfirmedAt = 0
	r.replicas[9].Status = maintenance.Up
	r.runUntil("r1", maintenance.Acknowledged)

	r = newRig(t)
	for i := range r.members {
		r.members[i].LoadKnown = false
	}
	r.run(12 * sec) // until the agreed load is too old
	r.request(1, "r1")
	r.run(3 * sec)
	r.want("phases without a load", r.phases("r1"), "[asked]")
	for i := range r.members {
		r.members[i].LoadKnown = true
	}
	if took := r.runUntil("r1", maintenance.Granted); took > 2*sec {
		t.Errorf("granted %v after the load was known", took)
	}

	r = newRig(t)
	calls := 0
	r.controller.order = func(s *maintenance.State, now time.Duration) []maintenance.Item {
		calls++
		return ByRequestTime(s, now)
	}
	r.request(1, "r1", "r2")
	r.run(60 * sec)
	if calls > 200 {
		t.Errorf("order was called %d times in a minute of waiting", calls)
	}
	observations := len(slices.DeleteFunc(r.proposedKinds(), func(k string) bool { return k != "observe" }))
	if observations < 9 || observations > 14 { // every half of 10 s, plus up to a second until the next list
		t.Errorf("%d observations in a minute of waiting", observations)
	}
}

// The largest inventory is observed in parts that each fit in a command, nothing is granted before it is complete, and later
// changes are observed in parts too.
func TestLargeInventoryIsObservedInParts(t *testing.T) {
	for _, length := range []int{64, maintenance.MaxNameLength} {
		if testing.Short() && length > 64 {
			continue
		}
		r := newRig(t)
		for i := range maintenance.MaxMachines - len(r.replicas) - len(r.members) {
			name := fmt.Sprintf("%0*d", length, i)
			r.replicas = append(r.replicas, maintenance.Machine{Name: name, Zone: "zone", Cell: i % 16, Status: maintenance.Up, Started: time.Duration(i + 1)})
		}
		wide := limits
		wide.Headroom = 0.2 // new limits require a complete inventory again
		r.inputs = append(r.inputs, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 2, Limits: wide}})
		r.request(1, "r1")
		before := len(r.proposals)
		agreed := func() bool {
			return !r.state.NeedsCompleteInventory() && len(r.state.Machines()) == maintenance.MaxMachines && len(r.controller.changedMachines(r.controller.mergedInventory())) == 0
		}
		for range 400 {
			if r.step(100 * time.Millisecond); agreed() {
				break
			}
			if r.state.NeedsCompleteInventory() {
				r.want("phases before the inventory is complete", r.phases("r1"), "[asked]")
			}
		}
		if !agreed() {
			t.Fatalf("names of %d bytes: %d machines are agreed, complete inventory needed: %v", length, len(r.state.Machines()), r.state.NeedsCompleteInventory())
		}
		r.runUntil("r1", maintenance.Acknowledged)
		for i := range r.replicas {
			r.replicas[i].Zone = "other"
		}
		r.inputs = append(r.inputs, ReplicaList{Replicas: r.replicas})
		observations := len(slices.DeleteFunc(r.proposedKinds(), func(k string) bool { return k != "observe" }))
		for range 400 {
			if r.step(100 * time.Millisecond); agreed() {
				break
			}
		}
		parts := len(slices.DeleteFunc(r.proposedKinds(), func(k string) bool { return k != "observe" })) - observations
		if !agreed() || parts < 2 {
			t.Errorf("names of %d bytes: %d machines differ after %d observations", length, len(r.controller.changedMachines(r.controller.mergedInventory())), parts)
		}
		for _, p := range r.proposals[before:] {
			if raw, err := p.Command.Encode(); err != nil || len(p.Command.Body) > MaxObservationSize+4096 || len(raw) > peerproto.MaxEntriesSize {
				t.Errorf("names of %d bytes: %s of %d bytes, %d in the log: %v", length, p.Command.Kind, len(p.Command.Body), len(raw), err)
			}
		}
		r.want("rejections", r.rejections, "[]")
	}
}
