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

func TestSilenceCountsFromTheLastPollAndTheElection(t *testing.T) {
	r := begin(t)
	r.silent = "c"
	r.want("lease, grace and a hundredth", silenceLimit(limits), 7070*time.Millisecond)
	r.run(2 * s)
	r.in = append(r.in, Elected{Term: 1}) // said twice
	heard := r.l.pollers["c"].lastPollAt
	r.ask(1, "r1")
	r.until("r1", maintenance.Acknowledged)
	if gone := r.now - heard; gone <= 7070*time.Millisecond || gone > 8*s {
		t.Errorf("told %v after the last poll of c", gone)
	}
	r.ask(2, "r1", "r5")
	elected := r.now
	r.in = append(r.in, Deposed{}, Elected{Term: 2})
	r.until("r5", maintenance.Acknowledged)
	if gone := r.now - elected; gone <= 7070*time.Millisecond || gone > 8*s {
		t.Errorf("told %v after the election", gone)
	}
	// One that polls and is in no inventory counts as well.
	r.silent = ""
	r.in = append(r.in, Polled{From: "new", Sequence: 1})
	r.ask(3, "r1", "r5", "r7")
	r.run(3 * s)
	r.want("not laid by the new one", r.phases("r7"), "[granted]")
}

func TestARefusalWithdrawsAndWaits(t *testing.T) {
	r := begin(t)
	r.refuses = "b"
	r.ask(1, "r1")
	r.until("r1", maintenance.Withdrawn)
	at := r.now
	for _, it := range r.state.Items() {
		r.want("why", it.Reason == "b refuses: alone" || it.Phase == maintenance.Pending, true)
	}
	r.refuses = ""
	r.in = append(r.in, Deposed{}, Elected{Term: 2}) // the next leader waits too
	r.until("r1", maintenance.Granted)
	if took := r.now - at; took < InitialGrantBackoff-s || took > InitialGrantBackoff+3*s {
		t.Errorf("granted again after %v", took)
	}
	r.until("r1", maintenance.Acknowledged)
}

func TestWhatIsNotLaidInTimeIsWithdrawn(t *testing.T) {
	r := begin(t)
	r.lazy = "b"
	r.ask(1, "r1")
	r.until("r1", maintenance.Granted)
	took := r.until("r1", maintenance.Withdrawn)
	if want := silenceLimit(limits) + AcknowledgeSlack; took < want || took > want+s {
		t.Errorf("withdrawn after %v, want %v", took, want)
	}
	r.want("why", strings.HasSuffix(r.logs[len(r.logs)-1], "not laid in time by b"), true)

	r = begin(t)
	r.lazy = "b"
	r.ask(1, "r1")
	r.until("r1", maintenance.Granted)
	r.in = append(r.in, Deposed{})
	r.run(199 * s) // by its time nobody leads
	r.lazy = ""
	r.in = append(r.in, Elected{Term: 2})
	r.until("r1", maintenance.Withdrawn)
	r.want("why", strings.HasSuffix(r.logs[len(r.logs)-1], "no time is left to begin"), true)
}

func TestFilesGoByRevision(t *testing.T) {
	r := begin(t)
	r.ask(3, "r1")
	r.ask(2, "r2")
	other := limits
	other.MaxOut = 1
	r.in = append(r.in, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: other}})
	r.run(3 * s)
	r.want("asked", fmt.Sprint(r.phases("r1"), r.phases("r2")), "[told] []")
	r.ask(2, "r2")
	r.run(3 * s)
	r.want("an older file", r.state.Requests().Revision, 3)
	r.want("other limits under one number", fmt.Sprint(strings.Count(strings.Join(r.logs, "\n"), "limits of revision 1")), 1)
	r.ask(3)
	r.run(30 * s)
	r.want("a mistake is said once in a while", strings.Count(strings.Join(r.logs, "\n"), "asks of revision 3"), 1)
	r.want("refused", r.refused, "[]")
	bad := maintenance.LimitsBody{Revision: 2}
	r.in = append(r.in, MaintenanceFile{Limits: bad}, MaintenanceFile{Limits: maintenance.LimitsBody{Revision: 1, Limits: limits}})
	r.run(30 * s)
	r.want("limits that can't be are tried once in a while", len(r.refused), 1)
	r.l.order = func(*maintenance.State, time.Duration) []maintenance.Item {
		t.Error("planned though paused")
		return nil
	}
	r.in = append(r.in, MaintenanceFile{Requests: maintenance.RequestsBody{Revision: 4, Paused: true, Requests: append(r.state.Requests().Requests,
		maintenance.Request{ID: "p", Names: []string{"r7"}, Reason: "x", MaxOutage: s})}})
	r.step(100 * time.Millisecond)
	r.run(5 * s)
}

func TestMissingCoordinatorsAreUnknownAtFirst(t *testing.T) {
	r := begin(t)
	r.in = append(r.in, Deposed{}, Elected{Term: 2})
	r.members = r.members[:2]
	r.run(5 * s)
	m, _ := r.state.Machine("c")
	r.want("at first", m.Status, maintenance.Unknown)
	r.run(10 * s)
	m, _ = r.state.Machine("c")
	r.want("later", m.Status, maintenance.Gone)
}

func TestALatePollTakesBackNoSilenceAndGivesNoWord(t *testing.T) {
	r := begin(t)
	r.silent = "c"
	x, y := peerproto.DrainStatus{Machine: "r1", Fence: 1}, peerproto.DrainStatus{Machine: "r2", Fence: 2}
	r.in = append(r.in, Polled{From: "c", Sequence: 1 << 50, Drains: []peerproto.DrainStatus{y}}, Polled{From: "c", Sequence: 1 << 49, Drains: []peerproto.DrainStatus{x, y}})
	r.step(100 * time.Millisecond)
	r.want("what both say", r.l.pollers["c"].drains, []peerproto.DrainStatus{y})
	r.run(MaxReorderDelay)
	r.in = append(r.in, Polled{From: "c", Sequence: 1 << 49, Drains: []peerproto.DrainStatus{x}})
	r.step(100 * time.Millisecond)
	r.want("a process whose clock went back", r.l.pollers["c"].drains, []peerproto.DrainStatus{x})
	for i := range MaxPollers + 5 {
		r.in = append(r.in, Polled{From: fmt.Sprint(i), Sequence: 1})
	}
	r.step(100 * time.Millisecond) // Check counts them
}

func TestAgreedTimeGoesOnUnderAWallThatIsBehind(t *testing.T) {
	r := begin(t)
	r.behind, r.clocks = 1000*s, map[string]time.Duration{"a": -1000 * s, "b": -1000 * s, "c": -1000 * s}
	r.ask(1, "r1")
	r.until("r1", maintenance.Acknowledged)
	r.list[1].Status = maintenance.Gone
	r.until("r1", maintenance.Out)
	if took := r.until("r1", maintenance.Expired); took < 99*s || took > 104*s {
		t.Errorf("counted as failed after %v", took)
	}
}

func TestTheOrderWithoutAPlan(t *testing.T) {
	r := begin(t)
	r.ask(1, "r1")
	r.until("r1", maintenance.Acknowledged)
	r.ask(2, "r1", "r2", "r0")
	r.run(3 * s)
	r.ask(3, "r1", "r2", "r0", "r5", "r7", "r9") // three pass those that share a shard with r1
	r.until("r9", maintenance.Acknowledged)
	asks := r.state.Requests()
	asks.Revision, asks.Requests = 4, append(asks.Requests, maintenance.Request{ID: "v", Names: []string{"r4"}, Reason: "x", MaxOutage: s},
		maintenance.Request{ID: "u", Names: []string{"r8"}, Reason: "x", MaxOutage: s, Priority: maintenance.Urgent})
	r.in = append(r.in, MaintenanceFile{Requests: asks})
	r.run(s)
	var got []string
	for _, it := range ByRequestTime(r.state, 0) {
		got = append(got, it.Machine)
	}
	r.want("reserved, urgent, by asking", got, "[r2 r0 r8 r4]")
}

// play is a seeded life: machines come and go, leaders change, co-ordinators fall silent, refuse, and the raft group is deaf.
func play(t *testing.T, seed uint64) []Propose {
	rng := rand.New(rand.NewPCG(seed, 2))
	r := begin(t)
	r.ask(1, "r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7")
	term := uint64(1)
	for range 60 {
		m := &r.list[rng.IntN(8)]
		it, _ := r.state.ActiveItem(m.Name)
		switch {
		case it.Phase == maintenance.Acknowledged || it.Phase != maintenance.Returned && rng.IntN(40) == 0:
			m.Status = maintenance.Gone
		case m.Status == maintenance.Gone:
			m.Status, m.Started = maintenance.Up, 5000*s+r.now
		}
		one := []string{"", "", "a", "b", "c"}[rng.IntN(5)]
		switch rng.IntN(12) {
		case 0:
			term++
			r.in = append(r.in, Deposed{}, Elected{Term: term})
		case 1:
			r.silent = one
		case 2:
			r.refuses = one
		case 3:
			r.deaf = !r.deaf
		case 4:
			r.behind = time.Duration(rng.IntN(20)) * s
		}
		r.run(time.Duration(1+rng.IntN(8)) * s)
	}
	return r.all
}

func TestSeededLivesHoldAndRepeat(t *testing.T) {
	for seed := range uint64(12) {
		play(t, seed)
	}
	first := play(t, 3)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := play(t, 3); !reflect.DeepEqual(first, again) {
		t.Error("the same life gave something else on one processor")
	}
}

func TestAFastMonotonicClockDoesNotCarryAgreedTimeAway(t *testing.T) {
	l, wall, now := New(nil), 5000*s, 1000*s
	state := maintenance.New()
	for i := range uint64(3600) {
		wall, now = wall+s, now+s+s/100
		l.Step(now, wall, []Input{Applied{State: state, Index: i, Now: l.time}})
		l.advanceAgreedTime(l.time)
	}
	if ahead := l.time - wall; ahead < 0 || ahead > s {
		t.Errorf("after an hour agreed time is %v ahead", ahead)
	}
	l.Step(now, wall, []Input{Applied{State: state, Index: 3600, Now: wall + 10*s}}) // of a leader whose wall's clock is ahead
	first := l.time
	for i := range uint64(1200) {
		wall, now = wall+s, now+s+s/100
		l.Step(now, wall, []Input{Applied{State: state, Index: 3601 + i, Now: l.time}})
		l.advanceAgreedTime(l.time) // as proposing does
		if i == 9 && l.time <= first {
			t.Errorf("agreed time stands at %v", l.time)
		}
	}
	if ahead := l.time - wall; ahead < 0 || ahead > s {
		t.Errorf("agreed time is still %v ahead", ahead)
	}
}

// Only whom the inventory has counts for a leader that follows: replicas, strangers and one that only polled do not.
func TestCountsAreOfTheInventory(t *testing.T) {
	r := begin(t)
	r.in = append(r.in, Polled{From: "d", Sequence: 1})
	r.step(100 * time.Millisecond)
	var got []string
	for _, name := range []string{"a", "b", "d", "r1", "x"} {
		if MustAcknowledge(r.state, name) {
			got = append(got, name)
		}
	}
	r.want("counted", got, "[a b]")
	r.members = append(r.members, Member{Name: "d", Status: maintenance.Up})
	r.run(2 * s)
	r.want("once it was observed", MustAcknowledge(r.state, "d"), true)
}
