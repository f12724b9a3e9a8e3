package fleet

import (
	"testing"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/pollqueue"

	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
)

// saveCounter counts how often it is saved.
type saveCounter struct {
	*session.State
	saves int
}

func (p *saveCounter) Save() ([]byte, error) {
	p.saves++
	return p.State.Save()
}

// What was agreed is saved once for all that need the whole of it, as after a new era all co-ordinators do at once: the state
// is held meanwhile.
func TestStateIsSavedOnceForAllFollowers(t *testing.T) {
	p := &saveCounter{State: session.New()}
	n := &Node{state: &agreedstate.Copy{Machine: statemachine.New(map[string]statemachine.Part{agreedstate.SessionsPart: p})}}
	for i := range 3 {
		w := peerproto.Reply{}
		if err := n.fillReply(&w, pollqueue.Poll{Epoch: 1}, 2); err != nil {
			t.Fatal(err)
		}
		if state, err := w.DecodeSnapshot(); err != nil || len(state) == 0 {
			t.Fatalf("word %d has no state: %v", i, err)
		}
	}
	if p.saves != 1 {
		t.Errorf("saved %d times", p.saves)
	}
}
