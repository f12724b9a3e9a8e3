package maintenance

import (
	"fmt"
	"strings"
	"testing"
)

// Check reports each rule that the state violates, from the evidence stored in it.
func TestCheckReportsEachBrokenRule(t *testing.T) {
	for want, corrupt := range map[string]func(*State, *entry){
		"W1: grant 1 of r0 left a shard with 1 holders":  func(s *State, e *entry) { e.HoldersLeft = 1 },
		`W2: 2 machines are out in zone "z0", 1 are`:     func(s *State, e *entry) { s.limits.MaxOutPerZone = 1 },
		"W2: 2 machines are out in total, 1 are allowed": func(s *State, e *entry) { s.limits.MaxOut = 1 },
		"W2: 2 voters are out at once":                   func(s *State, e *entry) { e.Voter = true },
		"W3: grant 1 of r0 left capacity 0.50 below":     func(s *State, e *entry) { e.SpareCapacity = -.5 },
		"W4: r0 has two live grants, 2 and 1":            func(s *State, e *entry) { s.open[0].Machine = "r0" },
		"W4: fence 2 is used for both":                   func(s *State, e *entry) { e.Fence = 2 },
		"W4: fence 2 of c0 is above":                     func(s *State, e *entry) { s.fence = 1 },
		"W4: fence 1 of r0 was granted at":               func(s *State, e *entry) { e.GrantedAt++ },
		"W4: live grant 1 of r0 is not the one":          func(s *State, e *entry) { s.machines["r0"].live = nil },
		"W4: r0 is granted with fence 0":                 func(s *State, e *entry) { e.Fence = 0 },
		"W4: r0 of request a is lapsed but still":        func(s *State, e *entry) { e.Phase = Expired },
		"W5: r3 of request a was passed over 3":          func(s *State, e *entry) { s.latest[key{"a", "r3"}].PassedOver = 3 },
		"W6: grant 2 of c0 at 16m40s falls within":       func(s *State, e *entry) { s.pauseFrom, s.pauseUntil = s.now-1, s.now+1 },
		"W7: r0 is still granted past its deadline":      func(s *State, e *entry) { e.Until = s.now },
	} {
		p := newFixture(t, testLimits, requestFor("a", "r0", "c0", "r3"))
		p.grant("a", "r0")
		p.grant("a", "c0")
		corrupt(p.state, p.state.latest[key{"a", "r0"}])
		if err := p.state.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// At MaxItems, only the oldest ended items of removed requests are dropped to make room.
func TestMaxItemsDropsOnlyEndedItemsOfRemovedRequests(t *testing.T) {
	p := newFixture(t, testLimits)
	b := ObserveBody{Load: 1, LoadKnown: true}
	for i := range 3000 {
		b.Machines = append(b.Machines, Machine{Name: fmt.Sprintf("x%04d", i), Kind: Replica, Cell: i % 8, Status: Up})
	}
	p.mustApply("observe", b)
	var rs []Request
	for i := range 7 {
		rs = append(rs, Request{ID: fmt.Sprint("q", i), Prefix: "x", MaxOutage: sec})
	}
	rs[1].Latest = p.now
	p.setRequests(rs...)
	if n := len(p.state.Items()); n != MaxItems {
		t.Fatalf("%d items", n)
	}
	p.now += sec
	p.mustApply("tick", TickBody{}) // ends the items of q1, which are kept because q1 is still requested
	p.now += sec
	p.setRequests(rs[1:]...) // the 3,000 items of q0 make room for the missing items of q6
	if items := p.state.Items(); len(items) != MaxItems || items[999].Request != "q0" || items[1000].Request != "q0" ||
		items[2000].Request != "q1" {
		t.Fatalf("%d items, the 1000th of %s, the 2000th of %s", len(items), items[999].Request, items[2000].Request)
	}
	for i := range MaxMachines { // MaxMachines more than the inventory already holds
		b.Machines = append(b.Machines, Machine{Name: fmt.Sprintf("y%05d", i), Kind: Replica, Status: Up})
	}
	p.mustReject("13011 machines, 10000 are allowed", "observe", b)
}
