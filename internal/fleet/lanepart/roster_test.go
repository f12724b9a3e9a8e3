package lanepart

import (
	"slices"
	"testing"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/member"
)

// A co-ordinator in the agreed state is a member even if gossip does not report it; messages go only to those that gossip reports
// as alive.
func TestMembershipFromAgreedStateAndGossip(t *testing.T) {
	c := membershipOf("a", []maintenance.Machine{
		{Name: "r1", Kind: maintenance.Replica, Status: maintenance.Up}, {Name: "a", Kind: maintenance.Coordinator, Status: maintenance.Up},
		{Name: "b", Kind: maintenance.Coordinator, Status: maintenance.Unknown}, {Name: "c", Kind: maintenance.Coordinator, Status: maintenance.Gone},
	}, []member.Member{{Name: "a", State: member.Alive}, {Name: "b", State: member.Dead}, {Name: "d", State: member.Suspect}, {Name: "e", State: member.Alive}})
	if c.AgreedCount != 2 || !slices.Equal(c.Names, []string{"a", "b", "d", "e"}) || !slices.Equal(c.Live, []string{"e"}) {
		t.Errorf("%+v", c)
	}
}
