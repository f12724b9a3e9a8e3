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

func tick(t *testing.T, at time.Duration) []byte {
	t.Helper()
	raw, err := statemachine.Command{V: statemachine.Version, ID: fmt.Sprint(at), Part: agreedstate.MaintenancePart, Kind: "tick", At: at, Body: []byte("{}")}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// One that has heard nothing for a while asks whom a voter names, though the file does not have that one as a voter any
// more: it leads until another has its seat. It asks so once for each poll: two that name each other keep nobody busy.
func TestPollFollowsNamedLeaderOutsideVoterList(t *testing.T) {
	n := &Node{name: "e"}
	n.voterNames, n.unansweredPolls, n.leader = []string{"a", "b", "e"}, 9, "gone"
	n.lastPoll = peerproto.Poll{Sequence: 7}
	if n.polledTo = n.pollTarget(); n.polledTo != "b" || n.leader != "" {
		t.Fatalf("asks %q, leader %q", n.polledTo, n.leader)
	}
	for _, no := range []peerproto.Reply{{Sequence: 6, Leader: "old"}, {Sequence: 7}, {Sequence: 7, Leader: "b"}, {Sequence: 7, Leader: "e"}} {
		if n.learnLeader(no) {
			t.Errorf("%+v is followed", no)
		}
	}
	if !n.learnLeader(peerproto.Reply{Sequence: 7, Leader: "old"}) || n.leader != "old" {
		t.Errorf("the leader that was named is not asked: %q", n.leader)
	}
	n.polledTo = "old"
	if n.learnLeader(peerproto.Reply{Sequence: 7, Leader: "a"}) {
		t.Error("a poll is sent on a second time")
	}
	if n.lastPoll.Sequence = 8; !n.learnLeader(peerproto.Reply{Sequence: 8, Leader: "a"}) {
		t.Error("the next poll is not sent on")
	}
	for range 4 {
		if to := n.pollTarget(); to == "e" || to == "" {
			t.Errorf("asks %q", to)
		}
	}
}
