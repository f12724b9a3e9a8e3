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

// A leader at rest asks the majority a few times a second however many poll, and steps no more often for them. A poll that says
// something, lacks something or comes after a silence waits for VerifyEvery at the most, and what is agreed meanwhile ends
// the wait of all.
func TestIdlePollsAreAnsweredInBatches(t *testing.T) {
	// Long: one sequence of polls on one clock, each case judged against the one before.
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
	answer := func(agreed uint64) bool {
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
			t.Fatal("the first poll of one waits for a tick")
		}
	}
	if !answer(0) {
		t.Fatal("first polls are not answered at once")
	}
	rounds := 0
	for i := range 3 * len(names) { // each polls three times more, spread over its second
		now += view.PollInterval / time.Duration(len(names))
		if poll(names[i%len(names)], peerproto.Poll{Sequence: uint64(2 + i/len(names))}) {
			t.Fatalf("poll %d with nothing new wants a step", i)
		}
		if answer(0) {
			rounds++
		}
	}
	if most := int(3 * view.PollInterval / pollqueue.IdleCheckInterval); rounds > most || rounds < most-2 {
		t.Errorf("%d rounds in 3 s at rest, %d wanted", rounds, most)
	}
	press := func(what string, agreed uint64, say func() bool) {
		t.Helper()
		now += pollqueue.IdleCheckInterval
		poll("aa", peerproto.Poll{Sequence: 20})
		answer(0)
		now += pollqueue.CheckInterval
		poll("aa", peerproto.Poll{Sequence: 21})
		if answer(0) {
			t.Fatal("a poll at rest is answered before others could join it")
		}
		if soon := say(); !soon || !answer(agreed) {
			t.Errorf("%s waits: soon %v", what, soon)
		}
	}
	press("one that laid a drain", 0, func() bool {
		return poll("ab", peerproto.Poll{Sequence: 9, Drains: []peerproto.DrainStatus{{Machine: "r", Fence: 1}}})
	})
	press("an entry that was agreed", 3, func() bool { return true })
	for _, name := range names {
		poll(name, peerproto.Poll{Sequence: 30})
	}
	press("one that was silent", 0, func() bool { now += 2*view.PollInterval + 1; return poll("ac", peerproto.Poll{Sequence: 31}) })
	if err := n.state.ApplyReply(peerproto.Reply{Index: 5, Entries: []peerproto.Entry{{Index: 5, Raw: tick(t, 5)}}}); err != nil {
		t.Fatal(err)
	}
	if !poll("ad", peerproto.Poll{Sequence: 40, Index: 4}) || poll("ad", peerproto.Poll{Sequence: 41, Index: 5}) {
		t.Error("one that lacks an entry should not wait, one that has all should")
	}
}
