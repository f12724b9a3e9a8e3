package migrate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// Ranks follow the order of work: a co-ordinator with a grant is leaving until the grant's end, the others are ranked by wave, and
// one without a request, or whose work is done, has no rank.
func TestFromStateRanksFollowWaves(t *testing.T) {
	const sec = time.Second
	s, now, fence := maintenance.New(), 1000*sec, uint64(0)
	apply := func(kind string, body any) {
		t.Helper()
		now += sec
		raw, _ := json.Marshal(body)
		if err := s.Apply(now, func() uint64 { fence++; return fence }, kind, raw); err != nil {
			t.Fatal(err)
		}
	}
	var machines []maintenance.Machine
	for i := range 5 {
		machines = append(machines, maintenance.Machine{Name: fmt.Sprintf("c%d", i), Kind: maintenance.Coordinator, Zone: fmt.Sprint("z", i%2),
			Status: maintenance.Up})
	}
	observe := func() { apply("observe", maintenance.ObserveBody{Complete: true, Machines: machines, LoadKnown: true}) }
	apply("limits", maintenance.LimitsBody{Revision: 1, Limits: maintenance.Limits{Cells: 1, Reach: 1, Shards: 1, MinHolders: 1, MaxOutPerZone: 1, MaxOut: 1,
		MaxLoadAge: 60 * sec, MaxInventoryAge: 60 * sec, Lease: 10 * sec, Grace: 10 * sec, SettleTime: 30 * sec, FailurePause: 30 * sec, MaxPassedOver: 3, WarmUp: sec}})
	observe()
	apply("asks", maintenance.RequestsBody{Revision: 1, Requests: []maintenance.Request{
		{ID: "r", Names: []string{"c0", "c1", "c2"}, Reason: "disks", MaxOutage: 600 * sec},
		{ID: "later", Names: []string{"c3"}, Reason: "disks", MaxOutage: 600 * sec, Earliest: now + 9000*sec},
	}})
	observe()
	want := func(expected string) {
		t.Helper()
		got := ""
		for _, c := range FromState(s, now) {
			got += fmt.Sprintf("%s %s %v %d %v; ", c.Name, c.Zone, c.Live, c.Rank, c.Leaving)
			if c.Leaving && c.Live && c.Deadline != 2000*sec {
				t.Errorf("deadline %v", c.Deadline)
			}
		}
		if got != expected {
			t.Errorf("%s\nwant %s", got, expected)
		}
	}
	want("c0 z0 true 0 false; c1 z1 true 1 false; c2 z0 true 2 false; c3 z1 true 3 false; c4 z0 true -1 false; ")
	apply("grant", maintenance.GrantBody{Request: "r", Machine: "c0", Until: 2000 * sec})
	want("c0 z0 true 0 true; c1 z1 true 1 false; c2 z0 true 2 false; c3 z1 true 3 false; c4 z0 true -1 false; ")
	apply("told", maintenance.AcknowledgeBody{Machine: "c0", Fence: fence, Acknowledged: []string{"c0", "c1", "c2", "c3", "c4"}})
	machines[0].Status = maintenance.Gone
	observe()
	want("c0 z0 false 0 true; c1 z1 true 1 false; c2 z0 true 2 false; c3 z1 true 3 false; c4 z0 true -1 false; ")
	machines[0].Status, machines[0].Started = maintenance.Up, now
	observe()
	now += 2 * sec
	observe()
	want("c0 z0 true -1 false; c1 z1 true 0 false; c2 z0 true 1 false; c3 z1 true 2 false; c4 z0 true -1 false; ")
}
