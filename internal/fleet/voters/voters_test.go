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

// The raft group's voters become those of the file one at a time, and never before the new one's seat is open. A seat
// without a vote for the change, and one that is named no more, are left as they are.
func TestReconcileReplacesOneReadyVoter(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	seat, err := raftgroup.Open(raftgroup.Options{
		Name: "a", Dir: t.TempDir(), Bind: "127.0.0.1:0", Voters: []raftgroup.Voter{{Name: "a", Addr: "127.0.0.1:1"}}, Bootstrap: true,
		Machine: agreedstate.New().Machine, Log: logrus.NewEntry(log),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer seat.Close()
	file := func(names ...string) *operator.Fleet {
		f := &operator.Fleet{Voters: map[string]operator.Voter{}}
		for _, n := range names {
			f.Voters[n] = operator.Voter{Address: "127.0.0.1:2"}
		}
		return f
	}
	if l := Reconcile(seat, "a", file("a"), nil); l.Change != "" || l.Err != nil {
		t.Errorf("%+v", l)
	}
	if l := Reconcile(seat, "a", file("a", "b"), map[string]bool{"b": false}); l.Change != "" || l.Err != nil {
		t.Errorf("one whose seat is not open: %+v", l)
	}
	if l := Reconcile(seat, "a", file("b"), map[string]bool{"b": true}); !strings.Contains(l.Change, "handed over") {
		t.Errorf("the own seat: %+v", l)
	}
	if l := Reconcile(seat, "a", file("a", "b", "c"), map[string]bool{"b": true, "c": true}); l.Change != `voter "" goes, voter "b" comes` || l.Err == nil {
		t.Errorf("one that nobody answers for: %+v", l)
	}
}

func TestVoterMessageSizeIsBounded(t *testing.T) {
	raw := Message{Answer: true, Voters: []string{"a", "b"}}.Encode()
	if s, err := Decode(raw); !IsMessage(raw) || err != nil || len(s.Voters) != 2 {
		t.Errorf("%+v %v", s, err)
	}
	if _, err := peerproto.Decode(raw); err == nil {
		t.Error("it is taken for another message")
	}
	if _, err := Decode(append(raw, make([]byte, MaxSize)...)); err == nil {
		t.Error("one that is too large was read")
	}
}
