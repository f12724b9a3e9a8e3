package drainctl

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
)

func TestSilenceIsMeasuredFromLastPollOrElection(t *testing.T) {
	r := newRig(t)
	r.silentNode = "c"
	r.want("lease, grace and one hundredth", silenceLimit(limits), 7070*time.Millisecond)
	r.run(2 * sec)
	r.inputs = append(r.inputs, Elected{Term: 1}) // repeated
	lastPoll := r.controller.pollers["c"].lastPollAt
	r.request(1, "r1")
	r.runUntil("r1", maintenance.Acknowledged)
	if silentFor := r.now - lastPoll; silentFor <= 7070*time.Millisecond || silentFor > 8*sec {
		t.Errorf("acknowledged %v after the last poll of c", silentFor)
	}
	r.request(2, "r1", "r5")
	elected := r.now
	r.inputs = append(r.inputs, Deposed{}, Elected{Term: 2})
	r.runUntil("r5", maintenance.Acknowledged)
	if silentFor := r.now - elected; silentFor <= 7070*time.Millisecond || silentFor > 8*sec {
		t.Errorf("acknowledged %v after the election", silentFor)
	}
	// A co-ordinator that polls but is not in the inventory must acknowledge too.
	r.silentNode = ""
	r.inputs = append(r.inputs, Polled{From: "new", Sequence: 1})
	r.request(3, "r1", "r5", "r7")
	r.run(3 * sec)
	r.want("not acknowledged by the new co-ordinator", r.phases("r7"), "[granted]")
}

func TestRejectedGrantIsWithdrawnAndBacksOff(t *testing.T) {
	r := newRig(t)
	r.rejectingNode = "b"
	r.request(1, "r1")
	r.runUntil("r1", maintenance.Withdrawn)
	at := r.now
	for _, it := range r.state.Items() {
		r.want("reason", it.Reason == "b refuses: alone" || it.Phase == maintenance.Pending, true)
	}
	r.rejectingNode = ""
	r.inputs = append(r.inputs, Deposed{}, Elected{Term: 2}) // the next leader observes the backoff too
	r.runUntil("r1", maintenance.Granted)
	if took := r.now - at; took < InitialGrantBackoff-sec || took > InitialGrantBackoff+3*sec {
		t.Errorf("granted again after %v", took)
	}
	r.runUntil("r1", maintenance.Acknowledged)
}

func TestGrantNotAcknowledgedInTimeIsWithdrawn(t *testing.T) {
	r := newRig(t)
	r.staleNode = "b"
	r.request(1, "r1")
	r.runUntil("r1", maintenance.Granted)
	took := r.runUntil("r1", maintenance.Withdrawn)
	if want := silenceLimit(limits) + AcknowledgeSlack; took < want || took > want+sec {
		t.Errorf("withdrawn after %v, want %v", took, want)
	}
	r.want("reason", strings.HasSuffix(r.logs[len(r.logs)-1], "not laid in time by b"), true)

	r = newRig(t)
	r.staleNode = "b"
	r.request(1, "r1")
	r.runUntil("r1", maintenance.Granted)
	r.inputs = append(r.inputs, Deposed{})
	r.run(199 * sec) // no leader when the grant times out
	r.staleNode = ""
	r.inputs = append(r.inputs, Elected{Term: 2})
	r.runUntil("r1", maintenance.Withdrawn)
	r.want("reason", strings.HasSuffix(r.logs[len(r.logs)-1], "no time is left to begin"), true)
}

func TestMaintenanceFileRevisions(t *testing.T) {
	r := newRig(t)
	r.request(3, "r1")
	r.request(2, "r2")
	other := limits
	other.MaxOut = 1
	r.inputs = append(r.inputs, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: other}})
	r.run(3 * sec)
	r.want("phases of the newer and the older file", fmt.Sprint(r.phases("r1"), r.phases("r2")), "[told] []")
	r.request(2, "r2")
	r.run(3 * sec)
	r.want("an older file", r.state.Requests().Revision, 3)
	r.want("lines about other limits with the same revision", fmt.Sprint(strings.Count(strings.Join(r.logs, "\n"), "limits of revision 1")), 1)
	r.request(3)
	r.run(30 * sec)
	r.want("lines about other requests with the same revision", strings.Count(strings.Join(r.logs, "\n"), "requests of revision 3"), 1)
	r.want("rejections", r.rejections, "[]")
	bad := maintenance.LimitsBody{Revision: 2}
	r.inputs = append(r.inputs, MaintenanceFile{Limits: bad}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}})
	r.run(30 * sec)
	r.want("rejections of invalid limits", len(r.rejections), 1)
	r.controller.order = func(*maintenance.State, time.Duration) []maintenance.Item {
		t.Error("order was called while paused")
		return nil
	}
	r.inputs = append(r.inputs, MaintenanceFile{Requests: maintenance.RequestsBody{Revision: 4, Paused: true, Requests: append(r.state.Requests().Requests,
		maintenance.Request{ID: "p", Names: []string{"r7"}, Reason: "x", MaxOutage: sec})}})
	r.step(100 * time.Millisecond)
	r.run(5 * sec)
}

func TestMissingCoordinatorIsUnknownBeforeGone(t *testing.T) {
	r := newRig(t)
	r.inputs = append(r.inputs, Deposed{}, Elected{Term: 2})
	r.members = r.members[:2]
	r.run(5 * sec)
	m, _ := r.state.Machine("c")
	r.want("at first", m.Status, maintenance.Unknown)
	r.run(10 * sec)
	m, _ = r.state.Machine("c")
	r.want("later", m.Status, maintenance.Gone)
}

func TestReorderedPollAddsNoDrainStatus(t *testing.T) {
	r := newRig(t)
	r.silentNode = "c"
	x, y := peerproto.DrainStatus{Machine: "r1", Fence: 1}, peerproto.DrainStatus{Machine: "r2", Fence: 2}
	r.inputs = append(r.inputs, Polled{From: "c", Sequence: 1 << 50, Drains: []peerproto.DrainStatus{y}}, Polled{From: "c", Sequence: 1 << 49, Drains: []peerproto.DrainStatus{x, y}})
	r.step(100 * time.Millisecond)
	r.want("drains that both polls report", r.controller.pollers["c"].drains, []peerproto.DrainStatus{y})
	r.run(MaxReorderDelay)
	r.inputs = append(r.inputs, Polled{From: "c", Sequence: 1 << 49, Drains: []peerproto.DrainStatus{x}})
	r.step(100 * time.Millisecond)
	r.want("drains of a process whose clock went back", r.controller.pollers["c"].drains, []peerproto.DrainStatus{x})
	for i := range MaxPollers + 5 {
		r.inputs = append(r.inputs, Polled{From: fmt.Sprint(i), Sequence: 1})
	}
	r.step(100 * time.Millisecond) // Check verifies the number of pollers
}

func TestAgreedTimeAdvancesWhileWallClockIsBehind(t *testing.T) {
	r := newRig(t)
	r.wallBehind, r.clockOffsets = 1000*sec, map[string]time.Duration{"a": -1000 * sec, "b": -1000 * sec, "c": -1000 * sec}
	r.request(1, "r1")
	r.runUntil("r1", maintenance.Acknowledged)
	r.replicas[1].Status = maintenance.Gone
	r.runUntil("r1", maintenance.Out)
	if took := r.runUntil("r1", maintenance.Expired); took < 99*sec || took > 104*sec {
		t.Errorf("expired after %v", took)
	}
}

func TestByRequestTimeOrder(t *testing.T) {
	r := newRig(t)
	r.request(1, "r1")
	r.runUntil("r1", maintenance.Acknowledged)
	r.request(2, "r1", "r2", "r0")
	r.run(3 * sec)
	r.request(3, "r1", "r2", "r0", "r5", "r7", "r9") // three grants pass over the machines that share a shard with r1
	r.runUntil("r9", maintenance.Acknowledged)
	requests := r.state.Requests()
	requests.Revision, requests.Requests = 4, append(requests.Requests, maintenance.Request{ID: "v", Names: []string{"r4"}, Reason: "x", MaxOutage: sec},
		maintenance.Request{ID: "u", Names: []string{"r8"}, Reason: "x", MaxOutage: sec, Priority: maintenance.Urgent})
	r.inputs = append(r.inputs, MaintenanceFile{Requests: requests})
	r.run(sec)
	var got []string
	for _, it := range ByRequestTime(r.state, 0) {
		got = append(got, it.Machine)
	}
	r.want("order: reserved, urgent, then by request", got, "[r2 r0 r8 r4]")
}

// runRandomised runs a seeded random history: machines go and return, leaders change, co-ordinators fall silent or reject grants,
// and the raft group drops proposals.
func runRandomised(t *testing.T, seed uint64) []Propose {
	rng := rand.New(rand.NewPCG(seed, 2))
	r := newRig(t)
	r.request(1, "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7")
	term := uint64(1)
	for range 60 {
		m := &r.replicas[rng.IntN(8)]
		it, _ := r.state.ActiveItem(m.Name)
		switch {
		case it.Phase == maintenance.Acknowledged || it.Phase != maintenance.Returned && rng.IntN(40) == 0:
			m.Status = maintenance.Gone
		case m.Status == maintenance.Gone:
			m.Status, m.Started = maintenance.Up, 5000*sec+r.now
		}
		node := []string{"", "", "a", "b", "c"}[rng.IntN(5)]
		switch rng.IntN(12) {
		case 0:
			term++
			r.inputs = append(r.inputs, Deposed{}, Elected{Term: term})
		case 1:
			r.silentNode = node
		case 2:
			r.rejectingNode = node
		case 3:
			r.dropProposals = !r.dropProposals
		case 4:
			r.wallBehind = time.Duration(rng.IntN(20)) * sec
		}
		r.run(time.Duration(1+rng.IntN(8)) * sec)
	}
	return r.proposals
}

func TestRandomisedRunsAreDeterministic(t *testing.T) {
	for seed := range uint64(12) {
		runRandomised(t, seed)
	}
	first := runRandomised(t, 3)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := runRandomised(t, 3); !reflect.DeepEqual(first, again) {
		t.Error("the same seed gave different proposals on one processor")
	}
}

func TestFastMonotonicClockDoesNotAccelerateAgreedTime(t *testing.T) {
	controller, wall, now := New(nil), 5000*sec, 1000*sec
	state := maintenance.New()
	for i := range uint64(3600) {
		wall, now = wall+sec, now+sec+sec/100
		controller.Step(now, wall, []Input{Applied{State: state, Index: i, Now: controller.time}})
		controller.advanceAgreedTime(controller.time)
	}
	if ahead := controller.time - wall; ahead < 0 || ahead > sec {
		t.Errorf("after one hour agreed time is %v ahead", ahead)
	}
	controller.Step(now, wall, []Input{Applied{State: state, Index: 3600, Now: wall + 10*sec}}) // from a leader whose wall clock is ahead
	first := controller.time
	for i := range uint64(1200) {
		wall, now = wall+sec, now+sec+sec/100
		controller.Step(now, wall, []Input{Applied{State: state, Index: 3601 + i, Now: controller.time}})
		controller.advanceAgreedTime(controller.time) // as a proposal does
		if i == 9 && controller.time <= first {
			t.Errorf("agreed time does not advance from %v", controller.time)
		}
	}
	if ahead := controller.time - wall; ahead < 0 || ahead > sec {
		t.Errorf("agreed time is still %v ahead", ahead)
	}
}

// Only co-ordinators in the inventory must acknowledge for a newly elected leader; replicas, unknown names and co-ordinators that
// only polled need not.
func TestMustAcknowledgeOnlyInventoryCoordinators(t *testing.T) {
	r := newRig(t)
	r.inputs = append(r.inputs, Polled{From: "d", Sequence: 1})
	r.step(100 * time.Millisecond)
	var got []string
	for _, name := range []string{"a", "b", "d", "r1", "x"} {
		if MustAcknowledge(r.state, name) {
			got = append(got, name)
		}
	}
	r.want("must acknowledge", got, "[a b]")
	r.members = append(r.members, Member{Name: "d", Status: maintenance.Up})
	r.run(2 * sec)
	r.want("d must acknowledge once it was observed", MustAcknowledge(r.state, "d"), true)
}
