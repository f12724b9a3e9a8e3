package fleetsim

import (
	"time"

	"birchcart/internal/fleet/maintenance"
)

// Plan is what is asked for in a search.
type Plan string

// Plans that a search may use.
const (
	// AllPlan asks for r0, and for its neighbours r1 and r3 later.
	AllPlan Plan = ""
	// OnePlan asks for r1 alone, and OneVoter for c2; times are short, so that a search comes to the end.
	OnePlan  Plan = "r1"
	OneVoter Plan = "c2"
	// TwoPlan asks for the neighbours r0 and r1, with short times.
	TwoPlan Plan = "r0-r1"
)

func smallLimits(off Off, plan Plan) maintenance.Limits {
	l := maintenance.Limits{Cells: 4, Reach: 2, Shards: 4, MinHolders: 1, MaxOutPerZone: 1, MaxOut: 2, Headroom: 0.25,
		MaxLoadAge: 4 * time.Second, MaxInventoryAge: 3 * time.Second, WarmUp: 3 * time.Second, Lease: 3 * time.Second, Grace: time.Second,
		SettleTime: 2 * time.Second, FailurePause: 8 * time.Second, MaxPassedOver: 1, MinVoters: 1}
	if plan != AllPlan {
		l.WarmUp, l.SettleTime, l.FailurePause = 2*time.Second, time.Second, 2*time.Second
	}
	switch off {
	case "W1": // a view alone keeps one holder, so that two are wanted
		l.Reach, l.MinHolders = 3, 2
	case "W1 warm":
		l.Reach, l.MinHolders, l.WarmUp, l.FailurePause, l.Grace = 3, 2, 12*time.Second, 0, 0
	}
	return l
}

// smallRequests: r0 is asked for before its neighbours on the ring, which share no
// shard with each other. A search without a guard asks for what that guard is about as well.
func smallRequests(off Off, plan Plan) []maintenance.Request {
	first, second := []string{"r0"}, []string{"r1", "r3"}
	switch plan {
	case OnePlan, OneVoter:
		return []maintenance.Request{{ID: "q0", Names: []string{string(plan)}, Reason: "disk", MaxOutage: 5 * time.Second}}
	case TwoPlan:
		return []maintenance.Request{{ID: "q0", Names: first, Reason: "disk", MaxOutage: 5 * time.Second},
			{ID: "q1", Names: second[:1], Reason: "memory", MaxOutage: 5 * time.Second}}
	}
	switch off {
	case "W2 zone":
		second = []string{"r2"}
	case "W2 all":
		first = []string{"c2"}
	case "W2 voters":
		first, second = []string{"c0"}, []string{"c1"}
	case "W3", "W4 once":
		first, second = []string{"r1"}, []string{"r3"}
	case "W4 live":
		second = []string{"r0"}
	}
	return []maintenance.Request{
		{ID: "q0", Names: first, Reason: "disk", MaxOutage: 20 * time.Second},
		{ID: "q1", Names: second, Reason: "memory", MaxOutage: 20 * time.Second},
	}
}

func smallZone(name string) string {
	return map[string]string{"r0": "a", "r1": "b", "r2": "a", "r3": "c", "c0": "d", "c1": "e", "c2": "f"}[name]
}
