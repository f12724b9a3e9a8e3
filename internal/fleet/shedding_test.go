package fleet

import (
	"slices"
	"testing"

	"birchcart/internal/fleet/mailbox"

	"birchcart/internal/fleet/loadshed"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
)

// Who is agreed to be there counts as there, heard of or not; words and asks go to who is heard of.
func TestCrew(t *testing.T) {
	c := crewOf("a", []maintenance.Machine{
		{Name: "r1", Kind: maintenance.Replica, Status: maintenance.Up}, {Name: "a", Kind: maintenance.Coordinator, Status: maintenance.Up},
		{Name: "b", Kind: maintenance.Coordinator, Status: maintenance.Unknown}, {Name: "c", Kind: maintenance.Coordinator, Status: maintenance.Gone},
	}, []member.Member{{Name: "a", State: member.Alive}, {Name: "b", State: member.Dead}, {Name: "d", State: member.Suspect}, {Name: "e", State: member.Alive}})
	if c.Agreed != 2 || !slices.Equal(c.Names, []string{"a", "b", "d", "e"}) || !slices.Equal(c.Live, []string{"e"}) {
		t.Errorf("%+v", c)
	}
}

// Letters of lanes never reach the node's mail, with lanes here or without.
func TestLettersOfLanesAreNoMail(t *testing.T) {
	n := &Node{mailbox: mailbox.New()}
	n.receive("b", []byte{loadshed.Kind, 1, 0})
	n.receive("b", []byte{1, 'p'})
	if len(n.mailbox.Messages) != 1 {
		t.Error(len(n.mailbox.Messages))
	}
}
