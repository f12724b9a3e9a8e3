// Package laneconfig determines which configuration of lanes is in force. It compiles the lanes section of the operators' file for
// queries, keeps the sections that the raft group agreed on, and selects what a co-ordinator applies, also while two sections are
// in force together. The package is pure, without clock, goroutines or I/O, and sheds nothing itself.
package laneconfig

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"birchcart/internal/operator"
	"birchcart/internal/settings"
)

// MaxUnknown is the maximum number of unknown names that are kept in Set.Unknown.
const MaxUnknown = 8

// sumTolerance is by how much a sum of shares may exceed 1, to allow for rounding of decimal fractions.
const sumTolerance = 1e-9

// Set is a compiled section. It is read only and may be used by any number of goroutines.
type Set struct {
	Revision int
	Slot     time.Duration
	Lanes    []Lane    // in order: the first is shed last; the last takes all queries that no other lane has
	Accounts []Account // in the section's order; a merged set has those of the older set alone after them
	Classes  []Class   // by class index of the settings
	Tenants  []uint64  // hashes of the tenant names, by tenant index, for queries of no account
	Unknown  []string  // names in the section that the settings or routes here do not have, at most MaxUnknown

	accountByTenant, accountByRoute []int32 // -1 for none
	accountByMark                   map[string]int32
	previous                        *previousSet // of a merged set, else nil
}

// Lane is a priority lane. Shares are of the fleet's capacity.
type Lane struct {
	Name            string
	Floor, MaxShare float64 // MaxShare 0: no limit
	Lend            bool    // other accounts may use what its accounts leave of their guarantees
}

// Account is a group of queries with a common guarantee. Shares are of the fleet's capacity.
type Account struct {
	Name                string
	Lane                int
	Guarantee, MaxShare float64 // MaxShare 0: no limit
	Key                 uint64  // hash of the name, the same at all co-ordinators
}

// Class holds the options of a query class, for all lanes.
type Class struct {
	Floor          float64
	SendRetryAfter bool // a refusal contains a time to retry after, if the settings allow it
}

// LastLane returns the index of the standard lane.
func (s *Set) LastLane() int { return len(s.Lanes) - 1 }

// Compile compiles a section for the settings and routes of a co-ordinator, both by name. Tenants, routes and classes that these do
// not have are skipped, since another co-ordinator may have them; see Set.Unknown. It fails if the section is not valid at any
// co-ordinator.
func Compile(section *operator.Lanes, revision int, names *settings.Names, routes []string) (*Set, error) {
	if err := validate(section); err != nil {
		return nil, fmt.Errorf("laneconfig: revision %d: %w", revision, err)
	}
	s := &Set{
		Revision: revision, Slot: time.Duration(section.Slot * float64(time.Second)),
		accountByTenant: unassigned(len(names.Tenants)), accountByRoute: unassigned(len(routes)), accountByMark: map[string]int32{},
	}
	laneIndex := map[string]int{}
	for i := range section.Lanes {
		l := &section.Lanes[i]
		laneIndex[l.Name] = i
		s.Lanes = append(s.Lanes, Lane{l.Name, l.Floor, l.Most, l.Lends()})
	}
	tenantIndex, routeIndex := indexByName(names.Tenants), indexByName(routes)
	s.Accounts = make([]Account, len(section.Accounts))
	for i := range section.Accounts {
		a := &section.Accounts[i]
		s.Accounts[i] = Account{a.Name, laneIndex[a.Lane], a.Guarantee, a.Most, HashName(a.Name)}
		s.assignAccount(s.accountByTenant, tenantIndex, a.Tenants, i)
		s.assignAccount(s.accountByRoute, routeIndex, a.Routes, i)
		for _, mark := range a.Marks {
			s.accountByMark[mark] = int32(i)
		}
	}
	for _, name := range names.Classes {
		c := section.ClassOf(name)
		s.Classes = append(s.Classes, Class{c.Floor, c.Names()})
	}
	for _, name := range names.Tenants {
		s.Tenants = append(s.Tenants, HashName(name))
	}
	return s, nil
}

// assignAccount assigns the named tenants or routes to an account. Names that do not exist here are added to s.Unknown.
func (s *Set) assignAccount(accounts []int32, index map[string]int, names []string, account int) {
	for _, name := range names {
		if i, ok := index[name]; ok {
			accounts[i] = int32(account)
		} else if len(s.Unknown) < MaxUnknown {
			s.Unknown = append(s.Unknown, name)
		}
	}
}

// AccountOf returns the index of the account that a query belongs to, -1 for none: by its mark, else by its route, else by its
// tenant. tenant and route are indexes, -1 for none; mark is "" for none.
func (s *Set) AccountOf(tenant, route int, mark string) int {
	account := s.lookupAccount(tenant, route, mark)
	if s.previous == nil {
		return account
	}
	return s.previous.stricterAccount(s, account, s.previous.set.AccountOf(tenant, route, mark))
}

// lookupAccount returns the account by this set's own section.
func (s *Set) lookupAccount(tenant, route int, mark string) int {
	if mark != "" {
		if account, ok := s.accountByMark[mark]; ok {
			return int(account)
		}
	}
	if uint(route) < uint(len(s.accountByRoute)) && s.accountByRoute[route] >= 0 {
		return int(s.accountByRoute[route])
	}
	if uint(tenant) < uint(len(s.accountByTenant)) {
		return int(s.accountByTenant[tenant])
	}
	return -1
}

// LaneOf returns the lane of an account; without an account, the last one.
func (s *Set) LaneOf(account int) int {
	if account < 0 {
		return s.LastLane()
	}
	return s.Accounts[account].Lane
}

// HashName returns a hash of a name that is the same at all co-ordinators: 64-bit FNV-1a with a final mixing step, so that short
// names differ in all bits.
func HashName(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

func unassigned(n int) []int32 { return slices.Repeat([]int32{-1}, n) }

func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// validate rejects a section that cannot be compiled. A section of the local file has been checked before, with better messages; an
// agreed one comes from another program.
func validate(l *operator.Lanes) error {
	if n := len(l.Lanes); n < 1 || n > operator.LanesMost {
		return fmt.Errorf("%d lanes, must be 1 to %d", n, operator.LanesMost)
	}
	if n := len(l.Accounts); n > operator.AccountsMost {
		return fmt.Errorf("%d accounts, at most %d are allowed", n, operator.AccountsMost)
	}
	if !(l.Slot >= 1 && l.Slot <= 3600) {
		return fmt.Errorf("slot is %v s, must be 1 to 3600 s", l.Slot)
	}
	sum, invalid := 0.0, false
	addShare := func(x float64) {
		invalid = invalid || math.IsNaN(x) || x < 0 || x > 1
		sum += x
	}
	lanes := map[string]bool{}
	for i := range l.Lanes {
		if lanes[l.Lanes[i].Name] {
			return fmt.Errorf("two lanes are named %.40q", l.Lanes[i].Name)
		}
		lanes[l.Lanes[i].Name] = true
		addShare(l.Lanes[i].Floor)
		invalid = invalid || !(l.Lanes[i].Most >= 0 && l.Lanes[i].Most <= 1)
	}
	names, keyCount := map[string]bool{}, 0
	for i := range l.Accounts {
		a := &l.Accounts[i]
		if !lanes[a.Lane] {
			return fmt.Errorf("account %.40q is in lane %.40q, which does not exist", a.Name, a.Lane)
		}
		if names[a.Name] {
			return fmt.Errorf("two accounts are named %.40q", a.Name)
		}
		names[a.Name] = true
		keyCount += len(a.Tenants) + len(a.Marks) + len(a.Routes)
		addShare(a.Guarantee)
		invalid = invalid || !(a.Most >= 0 && a.Most <= 1)
	}
	if keyCount > operator.KeysMost {
		return fmt.Errorf("%d tenants, marks and routes, at most %d are allowed", keyCount, operator.KeysMost)
	}
	if invalid || sum > 1+sumTolerance {
		return errors.New("a guarantee, floor or limit is not between 0 and 1, or guarantees and floors add up to more than 1")
	}
	return nil
}
