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
	r.want("proposed", r.proposedKinds(), "[limits observe]")
	r.run(100 * sec)
	r.want("proposed later", len(r.proposals), 2)
	r.replicas[3].Started = 1
	r.run(2 * sec)
	r.proposals = r.proposals[:2]
	r.replicas[3].Status, r.replicas[3].Started = maintenance.Gone, 0 // a list that tells no start of what is gone
	r.replicas = append(r.replicas, maintenance.Machine{Name: "x", Status: maintenance.Gone})
	r.run(5 * sec)
	r.want("a change", r.proposedKinds()[2:], "[observe]")
	r.want("only it", strings.Count(string(r.proposals[2].Command.Body), "name"), 1)
	for i := range 20 {
		flap := slices.Clone(r.replicas)
		flap[4].Status = []maintenance.Status{maintenance.Terminating, maintenance.Up}[i%2]
		r.inputs = append(r.inputs, ReplicaList{Replicas: flap})
		r.step(100 * time.Millisecond)
	}
	if n := len(r.proposals) - 3; n < 2 || n > 5 {
		t.Errorf("%d looks in two seconds of flapping", n)
	}

	l := New(nil)
	for _, in := range [][]Input{{Elected{Term: 1}, Applied{State: r.state, Index: 1, Now: 1}, Membership{r.members}}, {Elected{Term: 2}}} {
		r.want("without both lists", len(l.Step(0, 9000*sec, in)), 1)
		l.membersKnown, l.members = false, nil
		l.handle(ReplicaList{Replicas: r.replicas})
	}
}

func TestFleetLoadAndListAge(t *testing.T) {
	// Long: one sequence of loads and lists, each step judged against the one before.
	for _, c := range []struct {
		what   string
		change func(*rig)
		want   string
	}{
		{"all told", func(*rig) {}, "1.5 true"},
		{"one of three did not", func(r *rig) { r.members[0].LoadKnown = false }, "0 false"},
		{"one of three long ago", func(r *rig) { r.members[0].LoadAge = 10*sec + 1 }, "0 false"},
		{"one that is gone counts not", func(r *rig) { r.members[0].Status = maintenance.Gone }, "1 true"},
		{"one of five is cut off from the leader and goes on serving", func(r *rig) {
			r.members = append(r.members, Member{Name: "d", Status: maintenance.Unknown, Load: 9, LoadKnown: true},
				Member{Name: "e", Status: maintenance.Up, Load: 0.5, LoadKnown: true})
		}, "2.5 true"},
		{"one that is agreed on has no news here", func(r *rig) {
			r.run(2 * sec)
			r.members = r.members[1:]
		}, "0 false"},
		{"one of five did not", func(r *rig) {
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
	r.listConfirmedAt = 999 * sec // before what is agreed
	r.run(15 * sec)
	r.replicas[9].Status = maintenance.Terminating
	r.request(1, "r1")
	r.run(10 * sec)
	r.want("refused with an old list", r.rejections, "[]")
	r.want("with an old list", fmt.Sprint(r.phases("r1"), slices.Contains(r.proposedKinds(), "grant")), "[asked] false")
	r.listConfirmedAt = 0
	r.replicas[9].Status = maintenance.Up
	r.runUntil("r1", maintenance.Acknowledged)

	r = newRig(t)
	for i := range r.members {
		r.members[i].LoadKnown = false
	}
	r.run(12 * sec) // until the one that is agreed is too old
	r.request(1, "r1")
	r.run(3 * sec)
	r.want("without a load", r.phases("r1"), "[asked]")
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
		t.Errorf("planned %d times in a minute of waiting", calls)
	}
	looks := len(slices.DeleteFunc(r.proposedKinds(), func(k string) bool { return k != "observe" }))
	if looks < 9 || looks > 14 { // half of 10 s, and a second until the list comes again
		t.Errorf("%d looks in a minute of waiting", looks)
	}
}

// The largest inventory is told in parts that each fit, nothing goes before it is whole, and later changes come in parts too.
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
		wide.Headroom = 0.2 // other limits want the whole inventory once more
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
				r.want("before the whole", r.phases("r1"), "[asked]")
			}
		}
		if !agreed() {
			t.Fatalf("names of %d: %d machines are agreed, a whole is wanted: %v", length, len(r.state.Machines()), r.state.NeedsCompleteInventory())
		}
		r.runUntil("r1", maintenance.Acknowledged)
		for i := range r.replicas {
			r.replicas[i].Zone = "other"
		}
		r.inputs = append(r.inputs, ReplicaList{Replicas: r.replicas})
		looks := len(slices.DeleteFunc(r.proposedKinds(), func(k string) bool { return k != "observe" }))
		for range 400 {
			if r.step(100 * time.Millisecond); agreed() {
				break
			}
		}
		parts := len(slices.DeleteFunc(r.proposedKinds(), func(k string) bool { return k != "observe" })) - looks
		if !agreed() || parts < 2 {
			t.Errorf("names of %d: %d machines differ after %d observations", length, len(r.controller.changedMachines(r.controller.mergedInventory())), parts)
		}
		for _, p := range r.proposals[before:] {
			if raw, err := p.Command.Encode(); err != nil || len(p.Command.Body) > MaxObservationSize+4096 || len(raw) > peerproto.MaxEntriesSize {
				t.Errorf("names of %d: %s of %d bytes, %d in the log: %v", length, p.Command.Kind, len(p.Command.Body), len(raw), err)
			}
		}
		r.want("refused", r.rejections, "[]")
	}
}
