package shedding

import (
	"fmt"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// What the fleet is made of. Figures hold for these.
const (
	workMean   = 0.080 // s of one worker's time for a mean part
	workers    = 2     // of a replica, that take parts in the order of their coming
	queueMost  = 200   // parts that wait at one replica before it refuses
	promise    = 1.0   // s
	warmUp     = 15.0  // s
	coldFrom   = 0.25
	holders    = 4 // of a shard
	partsMean  = 3 // of a query, 1 to 5
	updates    = 0.1
	premiums   = 8    // accounts of the first lane
	guarantee  = 0.04 // of each
	businesses = 12   // accounts of the second
	smaller    = 0.01 // guarantee of each
	tenants    = 60   // of no account
	uneven     = 5    // times the traffic of the quietest co-ordinator at the busiest
)

var floors = [...]float64{0.02, 0.04, 0.06}

const (
	premium = iota
	business
	standard
	lanesHere
)

const (
	search = iota // safe
	update        // must not run twice
)

// stream is one account's or tenant's traffic.
type stream struct {
	account int // place in the set, -1: none
	lane    int
	key     uint64
	share   float64 // of its lane's traffic
	ensured float64 // guarantee
}

func streams() (out []stream) {
	add := func(n, lane int, ensured float64, account bool) {
		sum := 0.0
		for i := range n {
			sum += 1 + float64(i%4)
		}
		for i := range n {
			s := stream{account: -1, lane: lane, key: laneconfig.HashName(fmt.Sprint("t", len(out))), share: (1 + float64(i%4)) / sum, ensured: ensured}
			if lane == premium {
				s.share = 1 / float64(n)
			}
			if account {
				s.account = len(out)
			}
			out = append(out, s)
		}
	}
	add(premiums, premium, guarantee, true)
	add(businesses, business, smaller, true)
	add(tenants, standard, 0, false)
	return out
}

func section() *operator.Lanes {
	l := &operator.Lanes{Slot: operator.LaneSlot, Lanes: []operator.Lane{{Name: "premium", Floor: floors[0]}, {Name: "business", Floor: floors[1]}, {Name: "standard", Floor: floors[2]}}}
	for i, s := range streams() {
		if s.account >= 0 {
			l.Accounts = append(l.Accounts, operator.Account{Name: fmt.Sprint("a", i), Lane: l.Lanes[s.lane].Name, Tenants: []string{fmt.Sprint("t", i)}, Guarantee: s.ensured})
		}
	}
	return l
}

func compile(l *operator.Lanes, revision int) (*laneconfig.Set, error) {
	names := &settings.Names{Classes: []string{"search", "update"}}
	for i := range streams() {
		names.Tenants = append(names.Tenants, fmt.Sprint("t", i))
	}
	return laneconfig.Compile(l, revision, names, nil)
}

// moved is the section in which the first account is in the last lane, without a guarantee.
func moved() *operator.Lanes {
	l := section()
	l.Accounts[0].Lane, l.Accounts[0].Guarantee = "standard", 0
	return l
}

// config is the module's, of one co-ordinator.
func (w *World) config(i int) policy.Config {
	r := w.plan.Replicas
	return policy.Config{
		Seed: w.plan.Seed*1_000_003 + uint64(i), Resolution: 0.005, Coordinators: w.plan.Coordinators, Ordinal: i, Zone: -1,
		Classes: []policy.Class{
			{Promise: promise, GiveUp: 3, LateValue: 0.1, Points: 1, Effect: policy.Safe, Need: 1, Floor: 1},
			{Promise: promise, GiveUp: 3, LateValue: 0.1, Points: 1, Effect: policy.Unsafe, Need: 1, Floor: 1},
		},
		MaxAttempts: 3, MaxOpen: 400, Cancel: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: 0.5,
		Cells: max(1, r/2), Reach: holders / 2, Shards: max(1, r/2), MaxPartsPerCall: 1,
		AnswerSlack: 0.02, DrainGrace: 0.25, ColdCapacity: coldFrom, WarmUp: warmUp, OverloadMultiple: 2, OverloadWindow: 1,
		OverShareValue: 1,
	}
}

// capacity is cost a second, of all replicas when warm: mean parts.
func (w *World) capacity() float64 { return float64(w.plan.Replicas) * workers / workMean }
