package laneconfig

import "slices"

// older is the set that a mixed one is held to as well.
type older struct {
	set *Set
	at  []int32 // by place in set.Accounts: place in the mixed set's
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
			moved[i] = min(i, s.Last())
			if i == old.Last() {
				moved[i] = s.Last()
			}
			continue
		}
		moved[i] = at
		l := &s.Lanes[at]
		l.Floor, l.Most, l.Lend = min(l.Floor, o.Floor), least(l.Most, o.Most), l.Lend && o.Lend
	}
	for i := range min(len(s.Classes), len(old.Classes)) {
		c, o := &s.Classes[i], old.Classes[i]
		c.Floor, c.ComeBack = min(c.Floor, o.Floor), c.ComeBack && o.ComeBack
	}
	byName := map[string]int{}
	for i := range next.Accounts {
		byName[next.Accounts[i].Name] = i
	}
	both := make([]bool, len(next.Accounts))
	s.older = &older{old, make([]int32, len(old.Accounts))}
	for i, o := range old.Accounts {
		at, same := byName[o.Name]
		if !same {
			at = len(s.Accounts)
			s.Accounts = append(s.Accounts, Account{o.Name, moved[o.Lane], 0, o.Most, o.Key})
		} else {
			a := &s.Accounts[at]
			a.Lane, a.Guarantee, a.Most = max(a.Lane, moved[o.Lane]), min(a.Guarantee, o.Guarantee), least(a.Most, o.Most)
			both[at] = true
		}
		s.older.at[i] = int32(at)
	}
	for i, is := range both {
		if !is {
			s.Accounts[i].Guarantee = 0
		}
	}
	return &s
}

// stricter picks the account of a query that is of account n by the mixed set's own lists, and of account o of the older
// set.
func (x *older) stricter(s *Set, n, o int) int {
	if o >= 0 {
		o = int(x.at[o])
	}
	if o == n {
		return n
	}
	down, up := s.Lane(o)-s.Lane(n), s.guarantee(n)-s.guarantee(o) // over 0: the older set's is the stricter
	switch {
	case down < 0 && up > 0 || down > 0 && up < 0:
		return -1
	case down > 0 || up > 0:
		return o
	}
	return n
}

func (s *Set) guarantee(account int) float64 {
	if account < 0 {
		return 0
	}
	return s.Accounts[account].Guarantee
}

// least is the lesser of two mosts, of which 0 is none.
func least(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
