package laneconfig

import "slices"

// previous is the set that a mixed one is held to as well.
type previousSet struct {
	set          *Set
	accountIndex []int32 // by place in set.Accounts: place in the mixed set's
}

// Stricter is next, held to old as well: a query has what both give it. Lanes, slot and order are next's; a lane or an
// account that both have by name has the lesser guarantee, floor and most, and the lane further down. An account that
// only one of them has is guaranteed nothing; so guarantees make no more than either's. A query that belongs to two
// accounts by the two is of the one in the lane further down and with the lesser guarantee, and of none if that is two, so
// that who moves up does it when old is out of force, and who moves down at once.
func Stricter(old, next *Set) *Set {
	if old == nil || old == next {
		return next
	}
	s := *next
	s.Lanes, s.Accounts, s.Classes = slices.Clone(next.Lanes), slices.Clone(next.Accounts), slices.Clone(next.Classes)
	laneAt := map[string]int{}
	for i := range s.Lanes {
		laneAt[s.Lanes[i].Name] = i
	}
	moved := make([]int, len(old.Lanes)) // lanes of old, in s
	for i, o := range old.Lanes {
		at, same := laneAt[o.Name]
		if !same {
			moved[i] = min(i, s.LastLane())
			if i == old.LastLane() {
				moved[i] = s.LastLane()
			}
			continue
		}
		moved[i] = at
		l := &s.Lanes[at]
		l.Floor, l.MaxShare, l.Lend = min(l.Floor, o.Floor), stricterLimit(l.MaxShare, o.MaxShare), l.Lend && o.Lend
	}
	for i := range min(len(s.Classes), len(old.Classes)) {
		c, o := &s.Classes[i], old.Classes[i]
		c.Floor, c.SendRetryAfter = min(c.Floor, o.Floor), c.SendRetryAfter && o.SendRetryAfter
	}
	byName := map[string]int{}
	for i := range next.Accounts {
		byName[next.Accounts[i].Name] = i
	}
	both := make([]bool, len(next.Accounts))
	s.previous = &previousSet{old, make([]int32, len(old.Accounts))}
	for i, o := range old.Accounts {
		at, same := byName[o.Name]
		if !same {
			at = len(s.Accounts)
			s.Accounts = append(s.Accounts, Account{o.Name, moved[o.Lane], 0, o.MaxShare, o.Key})
		} else {
			a := &s.Accounts[at]
			a.Lane, a.Guarantee, a.MaxShare = max(a.Lane, moved[o.Lane]), min(a.Guarantee, o.Guarantee), stricterLimit(a.MaxShare, o.MaxShare)
			both[at] = true
		}
		s.previous.accountIndex[i] = int32(at)
	}
	for i, is := range both {
		if !is {
			s.Accounts[i].Guarantee = 0
		}
	}
	return &s
}

// stricterAccount picks the account of a query that is of account n by the mixed set's own lists, and of account o of the older
// set.
func (x *previousSet) stricterAccount(s *Set, n, o int) int {
	if o >= 0 {
		o = int(x.accountIndex[o])
	}
	if o == n {
		return n
	}
	down, up := s.LaneOf(o)-s.LaneOf(n), s.guaranteeOf(n)-s.guaranteeOf(o) // over 0: the older set's is the stricter
	switch {
	case down < 0 && up > 0 || down > 0 && up < 0:
		return -1
	case down > 0 || up > 0:
		return o
	}
	return n
}

func (s *Set) guaranteeOf(account int) float64 {
	if account < 0 {
		return 0
	}
	return s.Accounts[account].Guarantee
}

// stricterLimit is the lesser of two mosts, of which 0 is none.
func stricterLimit(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
