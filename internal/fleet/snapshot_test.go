package fleet

import (
	"testing"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/pollqueue"

	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
)

// saveCounter is the sessions' part of the state machine; it counts calls of Save.
type saveCounter struct {
	*session.State
	saves int
}

func (p *saveCounter) Save() ([]byte, error) {
	p.saves++
	return p.State.Save()
}

// The agreed state is encoded once for all followers that need the whole of it, as all do after a new epoch: the state is locked
// while it is encoded, so encoding it for each follower would block the node.
func TestStateIsSavedOnceForAllFollowers(t *testing.T) {
	p := &saveCounter{State: session.New()}
	n := &Node{state: &agreedstate.Copy{Machine: statemachine.New(map[string]statemachine.Part{agreedstate.SessionsPart: p})}}
	for i := range 3 {
		reply := peerproto.Reply{}
		if err := n.fillReply(&reply, pollqueue.Poll{Epoch: 1}, 2); err != nil {
			t.Fatal(err)
		}
		if state, err := reply.DecodeSnapshot(); err != nil || len(state) == 0 {
			t.Fatalf("reply %d has no state: %v", i, err)
		}
	}
	if p.saves != 1 {
		t.Errorf("the state was saved %d times, want once", p.saves)
	}
}
