// Package shedding emulates a fleet that sheds load, in virtual time: co-ordinators with the true module behind the true lanes,
// pressure, shares and laneset; the replicas, the clients, the links between co-ordinators, the clocks and what befalls them are
// emulated. One seed gives one history. What the rules ask is judged from outside, by counts of what came and how it ended.
package shedding

import (
	"fmt"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
)

// Way is how the fleet's co-ordinators refuse.
type Way string

// Ways to refuse that are compared.
const (
	Lanes  Way = "lanes"
	Each   Way = "each"   // for itself, by the module alone
	Quotas Way = "quotas" // each co-ordinator has an even part of each lane's fixed share
	Even   Way = "even"   // one level for all queries alike, by the same controller
)

// Ways in the order of tables.
var Ways = []Way{Lanes, Each, Quotas, Even}

// Plan is one history's. Loads are in parts of what all replicas can do when warm.
type Plan struct {
	Seed         uint64            `json:"seed"`
	Coordinators int               `json:"coordinators"`
	Replicas     int               `json:"replicas"`
	Way          Way               `json:"way"`
	Calm         float64           `json:"calm"`    // load until Storm
	Load         float64           `json:"load"`    // and from then on
	Premium      float64           `json:"premium"` // of it, as part of what its accounts are guaranteed
	Storm        time.Duration     `json:"storm"`   // ns
	For          time.Duration     `json:"for"`     // ns, in all
	Retries      int               `json:"retries"` // of what is refused or fails
	Unmarked     bool              `json:"unmarked,omitempty"`
	Links        clockwork.Quality `json:"links"`
	Steps        []clockwork.Step  `json:"steps,omitempty"`
	Shape        string            `json:"shape,omitempty"` // of the load: "", "steps", "hot", "flood", "all premium"
	Calmed       time.Duration     `json:"calmed"`          // ns, at the end, with the load of before
	Ramp         time.Duration     `json:"ramp,omitempty"`  // ns, over which the storm's load comes
}

// Sizes gives how many replicas there are for so many co-ordinators: 300 of these have 200.
func Sizes(coordinators int) int {
	if coordinators <= 100 {
		return coordinators
	}
	return 100 + (coordinators-100)/2
}

// New gives a plan of a storm of so much load.
func New(coordinators int, load float64, seed uint64) Plan {
	return Plan{
		Seed: seed, Coordinators: coordinators, Replicas: Sizes(coordinators), Way: Lanes, Calm: 0.6, Load: load, Premium: 0.8,
		Storm: 14 * time.Second, For: 46 * time.Second, Calmed: 10 * time.Second, Retries: 1,
		Links: clockwork.Quality{Latency: time.Millisecond, Lost: 0.01},
	}
}

func (p Plan) String() string {
	return fmt.Sprintf("%s, %d co-ordinators, %.1f x, seed %d", p.Way, p.Coordinators, p.Load, p.Seed)
}

// Kinds of a Step. A is a part of the co-ordinators or replicas in hundredths, or a place; B besides.
const (
	Cut     = "cut"     // the first A hundredths of the co-ordinators hear nothing of the others, nor these of them
	OneWay  = "one way" // these hear the others, but are not heard
	LateBy  = "late"    // words up to 5 s late, some twice, out of order
	Lose    = "lose"    // A hundredths of all words are lost
	Crash   = "crash"   // A hundredths restart at once, and know nothing
	Stall   = "stall"   // co-ordinator A stands still
	Jump    = "jump"    // co-ordinator A's wall clock jumps by B seconds
	Lie     = "lie"     // A hundredths say a false figure for ever: B 0 nothing, 1 all is lost, 2 no number, 3 huge
	Replica = "half"    // A hundredths of the replicas go, and come back cold
	Move    = "move"    // the busiest account of the first lane moves to the last, at half of the co-ordinators first
)
