// Package laneconfig is which configuration of lanes is in force: the operators' section compiled for queries, the part of
// the agreed log that settles its revision, and what a co-ordinator goes by while two are in force together. It is pure:
// no clock, goroutine or I/O. It sheds nothing itself.
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

// MaxUnknown of the section's names that this co-ordinator doesn't know are told of.
const MaxUnknown = 8

// sumTolerance is what sums of shares as they are written may be over 1.
const sumTolerance = 1e-9

// Set is a section, compiled. It is read only, by any number of goroutines.
type Set struct {
	Revision int
	Slot     time.Duration
	Lanes    []Lane    // in order: the first is shed last, the last is everybody else's
	Accounts []Account // in the section's order; of a mixed set, those that only the older one has follow
	Classes  []Class   // by their places in the settings
	Tenants  []uint64  // keys of tenants by their places, for queries of no account
	Unknown  []string  // some names of the section that settings or routes here don't have

	accountByTenant, accountByRoute []int32 // account by place, -1 for none
	accountByMark                   map[string]int32
	previous                        *previousSet // of a mixed set
}

// LaneOf is one lane. Shares are of the fleet's capacity.
type Lane struct {
	Name            string
	Floor, MaxShare float64 // MaxShare 0: none
	Lend            bool
}

// AccountOf is one account.
type Account struct {
	Name                string
	Lane                int
	Guarantee, MaxShare float64 // MaxShare 0: none
	Key                 uint64  // of its name, the same at all co-ordinators
}

// Class is what holds for a class's queries in all lanes.
type Class struct {
	Floor          float64
	SendRetryAfter bool // a refusal names a time to come back, where settings allow
}

// LastLane is the standard lane.
func (s *Set) LastLane() int { return len(s.Lanes) - 1 }

// Compile compiles a section for a co-ordinator's settings and routes, both by name. Tenants, routes and classes that these
// don't have are passed over, since another co-ordinator's may: see Unknown. An error says what no section can mean.
func Compile(section *operator.Lanes, revision int, names *settings.Names, routes []string) (*Set, error) {
	if err := validate(section); err != nil {
		return nil, fmt.Errorf("laneconfig: revision %d: %w", revision, err)
	}
	s := &Set{
		Revision: revision, Slot: time.Duration(section.Slot * float64(time.Second)),
		accountByTenant: unassigned(len(names.Tenants)), accountByRoute: unassigned(len(routes)), accountByMark: map[string]int32{},
	}
	lanes := map[string]int{}
	for i := range section.Lanes {
		l := &section.Lanes[i]
		lanes[l.Name] = i
		s.Lanes = append(s.Lanes, Lane{l.Name, l.Floor, l.Most, l.Lends()})
	}
	tenantAt, routeAt := indexByName(names.Tenants), indexByName(routes)
	s.Accounts = make([]Account, len(section.Accounts))
	for i := range section.Accounts {
		a := &section.Accounts[i]
		s.Accounts[i] = Account{a.Name, lanes[a.Lane], a.Guarantee, a.Most, HashName(a.Name)}
		s.assignAccount(s.accountByTenant, tenantAt, a.Tenants, i)
		s.assignAccount(s.accountByRoute, routeAt, a.Routes, i)
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

func (s *Set) assignAccount(to []int32, at map[string]int, list []string, account int) {
	for _, name := range list {
		if i, ok := at[name]; ok {
			to[i] = int32(account)
		} else if len(s.Unknown) < MaxUnknown {
			s.Unknown = append(s.Unknown, name)
		}
	}
}

// AccountOf is the place of the account that a query belongs to, -1 for none: by its mark, else by its route, else by its
// tenant. Tenant and route are places, -1 for none; mark is "" for none.
func (s *Set) AccountOf(tenant, route int, mark string) int {
	at := s.lookupAccount(tenant, route, mark)
	if s.previous == nil {
		return at
	}
	return s.previous.stricterAccount(s, at, s.previous.set.AccountOf(tenant, route, mark))
}

func (s *Set) lookupAccount(tenant, route int, mark string) int {
	if mark != "" {
		if at, ok := s.accountByMark[mark]; ok {
			return int(at)
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

// LaneOf is the lane of an account, the last one of none.
func (s *Set) LaneOf(account int) int {
	if account < 0 {
		return s.LastLane()
	}
	return s.Accounts[account].Lane
}

// HashName of a name is the same at all co-ordinators: 64-bit FNV-1a, mixed once more so that short names differ in all bits.
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
	at := make(map[string]int, len(names))
	for i, name := range names {
		at[name] = i
	}
	return at
}

// validate refuses what can't be compiled. A section that was read from a file has been looked at in words; one that was
// agreed comes from another program.
func validate(l *operator.Lanes) error {
	if n := len(l.Lanes); n < 1 || n > operator.LanesMost {
		return fmt.Errorf("%d lanes, 1 to %d are right", n, operator.LanesMost)
	}
	if n := len(l.Accounts); n > operator.AccountsMost {
		return fmt.Errorf("%d accounts, %d at most", n, operator.AccountsMost)
	}
	if !(l.Slot >= 1 && l.Slot <= 3600) {
		return fmt.Errorf("a slot of %v s, 1 to 3600 are right", l.Slot)
	}
	sum, bad := 0.0, false
	share := func(x float64) {
		bad = bad || math.IsNaN(x) || x < 0 || x > 1
		sum += x
	}
	lanes := map[string]bool{}
	for i := range l.Lanes {
		if lanes[l.Lanes[i].Name] {
			return fmt.Errorf("two lanes of the name %.40q", l.Lanes[i].Name)
		}
		lanes[l.Lanes[i].Name] = true
		share(l.Lanes[i].Floor)
		bad = bad || !(l.Lanes[i].Most >= 0 && l.Lanes[i].Most <= 1)
	}
	names, keys := map[string]bool{}, 0
	for i := range l.Accounts {
		a := &l.Accounts[i]
		if !lanes[a.Lane] {
			return fmt.Errorf("account %.40q is in lane %.40q, which there is not", a.Name, a.Lane)
		}
		if names[a.Name] {
			return fmt.Errorf("two accounts of the name %.40q", a.Name)
		}
		names[a.Name] = true
		keys += len(a.Tenants) + len(a.Marks) + len(a.Routes)
		share(a.Guarantee)
		bad = bad || !(a.Most >= 0 && a.Most <= 1)
	}
	if keys > operator.KeysMost {
		return fmt.Errorf("%d tenants, marks and routes, %d at most", keys, operator.KeysMost)
	}
	if bad || sum > 1+sumTolerance {
		return errors.New("guarantees and floors that are no shares, or over 1 in all")
	}
	return nil
}
