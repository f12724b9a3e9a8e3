package fleet

import (
	"testing"

	"birchcart/internal/fleet/mailbox"

	"birchcart/internal/fleet/loadshed"
)

// Letters of lanes never reach the node's mail, with lanes here or without.
func TestLaneMessagesBypassMailbox(t *testing.T) {
	n := &Node{mailbox: mailbox.New()}
	n.receive("b", []byte{loadshed.MessageKind, 1, 0})
	n.receive("b", []byte{1, 'p'})
	if len(n.mailbox.Messages) != 1 {
		t.Error(len(n.mailbox.Messages))
	}
}
