package voters

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/operator"
)

// Reconcile replaces one voter at a time, and only by a voter that is ready. A change that the new voter does not answer fails, and a
// leader that the file no longer names tries to transfer the leadership instead of changing voters.
func TestReconcileReplacesOneReadyVoter(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	group, err := raftgroup.Open(raftgroup.Options{
		Name: "a", Dir: t.TempDir(), Bind: "127.0.0.1:0", Voters: []raftgroup.Voter{{Name: "a", Addr: "127.0.0.1:1"}}, Bootstrap: true,
		Machine: agreedstate.New().Machine, Log: logrus.NewEntry(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer group.Close()
	file := func(names ...string) *operator.Fleet {
		f := &operator.Fleet{Voters: map[string]operator.Voter{}}
		for _, n := range names {
			f.Voters[n] = operator.Voter{Address: "127.0.0.1:2"}
		}
		return f
	}
	if result := Reconcile(group, "a", file("a"), nil); result.Change != "" || result.Err != nil {
		t.Errorf("%+v", result)
	}
	if result := Reconcile(group, "a", file("a", "b"), map[string]bool{"b": false}); result.Change != "" || result.Err != nil {
		t.Errorf("a voter that is not ready: %+v", result)
	}
	if result := Reconcile(group, "a", file("b"), map[string]bool{"b": true}); !strings.Contains(result.Change, "handed over") {
		t.Errorf("the leader itself: %+v", result)
	}
	if result := Reconcile(group, "a", file("a", "b", "c"), map[string]bool{"b": true, "c": true}); result.Change != `voter "" goes, voter "b" comes` || result.Err == nil {
		t.Errorf("a voter that does not answer: %+v", result)
	}
}

func TestVoterMessageSizeIsBounded(t *testing.T) {
	raw := Message{Answer: true, Voters: []string{"a", "b"}}.Encode()
	if s, err := Decode(raw); !IsMessage(raw) || err != nil || len(s.Voters) != 2 {
		t.Errorf("%+v %v", s, err)
	}
	if _, err := peerproto.Decode(raw); err == nil {
		t.Error("peerproto decodes it as one of its messages")
	}
	if _, err := Decode(append(raw, make([]byte, MaxSize)...)); err == nil {
		t.Error("an oversized message was decoded")
	}
}
