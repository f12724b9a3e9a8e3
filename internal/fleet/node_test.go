package fleet

import (
	"fmt"
	"os"
	"testing"
	"time"

	"birchcart/internal/fleet/agreedstate"

	"go.uber.org/goleak"

	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/statemachine"
)

func TestMain(m *testing.M) {
	if part := os.Getenv(idlePartEnv); part != "" {
		runIdleProcess(part)
		return
	}
	goleak.VerifyTestMain(m)
}

// tick returns the encoded tick command of an agreed time.
func tick(t *testing.T, at time.Duration) []byte {
	t.Helper()
	raw, err := statemachine.Command{V: statemachine.Version, ID: fmt.Sprint(at), Part: agreedstate.MaintenancePart, Kind: "tick", At: at, Body: []byte("{}")}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A co-ordinator without a known leader resends its poll to the leader that a voter names, even if the local file no longer lists that
// leader as a voter: it leads until its replacement has joined. Each poll is resent only once, because two co-ordinators that
// name each other would otherwise cause endless polls.
func TestPollFollowsNamedLeaderOutsideVoterList(t *testing.T) {
	n := &Node{name: "e"}
	n.voterNames, n.unansweredPolls, n.leader = []string{"a", "b", "e"}, 9, "gone"
	n.lastPoll = peerproto.Poll{Sequence: 7}
	if n.polledTo = n.pollTarget(); n.polledTo != "b" || n.leader != "" {
		t.Fatalf("polls %q, leader %q", n.polledTo, n.leader)
	}
	for _, ignored := range []peerproto.Reply{{Sequence: 6, Leader: "old"}, {Sequence: 7}, {Sequence: 7, Leader: "b"}, {Sequence: 7, Leader: "e"}} {
		if n.learnLeader(ignored) {
			t.Errorf("the poll is resent after %+v", ignored)
		}
	}
	if !n.learnLeader(peerproto.Reply{Sequence: 7, Leader: "old"}) || n.leader != "old" {
		t.Errorf("the poll is not resent to the named leader: %q", n.leader)
	}
	n.polledTo = "old"
	if n.learnLeader(peerproto.Reply{Sequence: 7, Leader: "a"}) {
		t.Error("a poll is resent a second time")
	}
	if n.lastPoll.Sequence = 8; !n.learnLeader(peerproto.Reply{Sequence: 8, Leader: "a"}) {
		t.Error("the next poll is not resent")
	}
	for range 4 {
		if to := n.pollTarget(); to == "e" || to == "" {
			t.Errorf("polls %q", to)
		}
	}
}
