package fleet

import (
	"testing"
	"time"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/inventory"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/fleet/pollqueue"

	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/view"
)

// While nothing changes, the leader verifies its leadership a few times a second however many co-ordinators poll, and their polls cause
// no steps. A poll that reports something, lacks entries or follows a silence waits for CheckInterval at most, and a newly agreed
// entry ends the wait of all polls.
func TestIdlePollsAreAnsweredInBatches(t *testing.T) {
	// Long: one sequence of polls on one clock, in which each case depends on the one before.
	n := &Node{state: agreedstate.New()}
	n.term, n.loads, n.pollQueue = 7, map[string]inventory.LoadReport{}, pollqueue.New()
	now := time.Minute
	poll := func(from string, p peerproto.Poll) bool {
		t.Helper()
		p.From = from
		raw, err := peerproto.Encode(p)
		if err != nil {
			t.Fatal(err)
		}
		return n.handleMessage(mailbox.Message{From: from, Raw: raw, At: now})
	}
	checkIfDue := func(agreed uint64) bool {
		if !n.pollQueue.CheckDue(now, agreed) {
			return false
		}
		n.pollQueue.BeginCheck(now)
		n.pollQueue.EndCheck()
		return true
	}
	names := make([]string, 300)
	for i := range names {
		names[i] = string(rune('a'+i/26)) + string(rune('a'+i%26))
		if !poll(names[i], peerproto.Poll{Sequence: 1}) {
			t.Fatal("the first poll of a co-ordinator waits for a tick")
		}
	}
	if !checkIfDue(0) {
		t.Fatal("the first polls are not answered at once")
	}
	checks := 0
	for i := range 3 * len(names) { // each co-ordinator polls three more times, spread over the poll interval
		now += view.PollInterval / time.Duration(len(names))
		if poll(names[i%len(names)], peerproto.Poll{Sequence: uint64(2 + i/len(names))}) {
			t.Fatalf("idle poll %d requests a step", i)
		}
		if checkIfDue(0) {
			checks++
		}
	}
	if maxChecks := int(3 * view.PollInterval / pollqueue.IdleCheckInterval); checks > maxChecks || checks < maxChecks-2 {
		t.Errorf("%d checks in 3 s while idle, want %d", checks, maxChecks)
	}
	checkUrgent := func(name string, agreed uint64, event func() bool) {
		t.Helper()
		now += pollqueue.IdleCheckInterval
		poll("aa", peerproto.Poll{Sequence: 20})
		checkIfDue(0)
		now += pollqueue.CheckInterval
		poll("aa", peerproto.Poll{Sequence: 21})
		if checkIfDue(0) {
			t.Fatal("an idle poll is answered before IdleCheckInterval has passed")
		}
		if soon := event(); !soon || !checkIfDue(agreed) {
			t.Errorf("%s: waits, soon %v", name, soon)
		}
	}
	checkUrgent("poll that reports a drain", 0, func() bool {
		return poll("ab", peerproto.Poll{Sequence: 9, Drains: []peerproto.DrainStatus{{Machine: "r", Fence: 1}}})
	})
	checkUrgent("newly agreed entry", 3, func() bool { return true })
	for _, name := range names {
		poll(name, peerproto.Poll{Sequence: 30})
	}
	checkUrgent("poll after a silence", 0, func() bool { now += 2*view.PollInterval + 1; return poll("ac", peerproto.Poll{Sequence: 31}) })
	if err := n.state.ApplyReply(peerproto.Reply{Index: 5, Entries: []peerproto.Entry{{Index: 5, Raw: tick(t, 5)}}}); err != nil {
		t.Fatal(err)
	}
	if !poll("ad", peerproto.Poll{Sequence: 40, Index: 4}) || poll("ad", peerproto.Poll{Sequence: 41, Index: 5}) {
		t.Error("a poll that lacks an entry must request a step, one that is up to date must not")
	}
}
