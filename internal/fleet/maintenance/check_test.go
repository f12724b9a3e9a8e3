package maintenance

import (
	"fmt"
	"strings"
	"testing"
)

// Check finds each rule broken, by the evidence that is kept.
func TestCheckReportsEachBrokenRule(t *testing.T) {
	for want, corrupt := range map[string]func(*State, *entry){
		"W1: the grant 1 of r0 left 1 holders":  func(s *State, e *entry) { e.HoldersLeft = 1 },
		`W2: 2 are out in zone "z0", 1 are`:     func(s *State, e *entry) { s.limits.MaxOutPerZone = 1 },
		"W2: 2 are out in all, 1 are allowed":   func(s *State, e *entry) { s.limits.MaxOut = 1 },
		"W2: 2 voters are out at once":          func(s *State, e *entry) { e.Voter = true },
		"W3: the grant 1 of r0 left 0.50 under": func(s *State, e *entry) { e.SpareCapacity = -.5 },
		"W4: r0 has two live grants, 2 and 1":   func(s *State, e *entry) { s.open[0].Machine = "r0" },
		"W4: number 2 is of":                    func(s *State, e *entry) { e.Fence = 2 },
		"W4: number 2 of c0 is over":            func(s *State, e *entry) { s.fence = 1 },
		"W4: number 1 of r0 at":                 func(s *State, e *entry) { e.GrantedAt++ },
		"W4: the live grant 1 of r0 is not":     func(s *State, e *entry) { s.machines["r0"].live = nil },
		"W4: r0 is granted with number 0":       func(s *State, e *entry) { e.Fence = 0 },
		"W4: r0 of request a is lapsed and":     func(s *State, e *entry) { e.Phase = Expired },
		"W5: r3 of request a was passed over 3": func(s *State, e *entry) { s.latest[key{"a", "r3"}].PassedOver = 3 },
		"W6: the grant 2 of c0 at 16m40s is in": func(s *State, e *entry) { s.pauseFrom, s.pauseUntil = s.now-1, s.now+1 },
		"W7: r0 is granted past its time":       func(s *State, e *entry) { e.Until = s.now },
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

// Full of items: the oldest ended ones of what is requested no more go, and no others.
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
	p.mustApply("tick", TickBody{}) // ends those of q1, which are asked for still and so are kept
	p.now += sec
	p.setRequests(rs[1:]...) // the 3,000 of q0 make room for what q6 wants still
	if items := p.state.Items(); len(items) != MaxItems || items[999].Request != "q0" || items[1000].Request != "q0" ||
		items[2000].Request != "q1" {
		t.Fatalf("%d items, the 1000th of %s, the 2000th of %s", len(items), items[999].Request, items[2000].Request)
	}
	for i := range MaxMachines { // as many again as fit
		b.Machines = append(b.Machines, Machine{Name: fmt.Sprintf("y%05d", i), Kind: Replica, Status: Up})
	}
	p.mustReject("13011 machines, 10000 are allowed", "observe", b)
}
