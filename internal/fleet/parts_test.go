package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/atomicfile"

	"go.uber.org/goleak"

	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/statemachine"
)

func TestMain(m *testing.M) {
	if part := os.Getenv(restPart); part != "" {
		playRest(part)
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

// What the process before had laid is taken over while its time runs; another version and a torn file are told of.
func TestDrainsOfTheProcessBefore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "laid.json")
	if kept, err := readLaid(path, 0); err != nil || len(kept) > 0 {
		t.Errorf("%v %v", kept, err)
	}
	if err := atomicfile.WriteJSON(path, laidDrains{LaidVersion, []laidLine{{Machine: "a", Until: 10}, {Machine: "b", Until: 20, Era: 2}}}); err != nil {
		t.Fatal(err)
	}
	if kept, err := readLaid(path, 10); err != nil || !reflect.DeepEqual(kept, []laidLine{{Machine: "b", Until: 20, Era: 2}}) {
		t.Errorf("%v %v", kept, err)
	}
	for _, text := range []string{`{"version":2}`, `{"version":1,`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readLaid(path, 0); err == nil {
			t.Errorf("%s was read", text)
		}
	}
}

// One that has heard nothing for a while asks whom a voter names, though the file does not have that one as a voter any
// more: it leads until another has its seat. It asks so once for each poll: two that name each other keep nobody busy.
func TestALeaderThatIsToVoteNoMoreIsFound(t *testing.T) {
	n := &Node{name: "e", names: []string{"a", "b", "e"}, silent: 9, leader: "gone"}
	n.sent = peerproto.Poll{Sequence: 7}
	if n.sentTo = n.whom(); n.sentTo != "b" || n.leader != "" {
		t.Fatalf("asks %q, leader %q", n.sentTo, n.leader)
	}
	for _, no := range []peerproto.Reply{{Sequence: 6, Leader: "old"}, {Sequence: 7}, {Sequence: 7, Leader: "b"}, {Sequence: 7, Leader: "e"}} {
		if n.named(no) {
			t.Errorf("%+v is followed", no)
		}
	}
	if !n.named(peerproto.Reply{Sequence: 7, Leader: "old"}) || n.leader != "old" {
		t.Errorf("the leader that was named is not asked: %q", n.leader)
	}
	n.sentTo = "old"
	if n.named(peerproto.Reply{Sequence: 7, Leader: "a"}) {
		t.Error("a poll is sent on a second time")
	}
	if n.sent.Sequence = 8; !n.named(peerproto.Reply{Sequence: 8, Leader: "a"}) {
		t.Error("the next poll is not sent on")
	}
	for range 4 {
		if to := n.whom(); to == "e" || to == "" {
			t.Errorf("asks %q", to)
		}
	}
}
