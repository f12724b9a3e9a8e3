package fleet

import (
	"testing"

	"birchcart/internal/fleet/mailbox"

	"birchcart/internal/fleet/loadshed"
)

// Messages of lanes never enter the node's mailbox, whether or not lanes are configured.
func TestLaneMessagesBypassMailbox(t *testing.T) {
	n := &Node{mailbox: mailbox.New()}
	n.receive("b", []byte{loadshed.MessageKind, 1, 0})
	n.receive("b", []byte{1, 'p'})
	if len(n.mailbox.Messages) != 1 {
		t.Error(len(n.mailbox.Messages))
	}
}
