package laneconfig

import "slices"

// previousSet is the older set whose limits a merged set applies as well.
type previousSet struct {
	set          *Set
	accountIndex []int32 // index in the merged set's Accounts, by index in set.Accounts
}

// Stricter returns next with the limits of old applied as well, so that a query gets no more than either set gives it. Lanes, their
// order and the slot are those of next. A lane or an account that both sets have by name gets the smaller guarantee, floor and
// maximum share, and an account the lower of the two lanes. An account that only one set has is guaranteed nothing, so the sum of
// the guarantees is not above that of either set. A query that the two sets give to different accounts belongs to the account that
// has neither the higher lane nor the larger guarantee; if each account is better in one respect, it belongs to none. As a result
// an account moves to a lower lane at once, and to a higher one only when old is no longer in force.
func Stricter(old, next *Set) *Set {
	if old == nil || old == next {
		return next
	}
	merged := *next
	merged.Lanes, merged.Accounts, merged.Classes = slices.Clone(next.Lanes), slices.Clone(next.Accounts), slices.Clone(next.Classes)
	laneIndex := map[string]int{}
	for i := range merged.Lanes {
		laneIndex[merged.Lanes[i].Name] = i
	}
	mergedLane := make([]int, len(old.Lanes)) // by lane of old: index in merged.Lanes
	for i, o := range old.Lanes {
		index, found := laneIndex[o.Name]
		if !found {
			mergedLane[i] = min(i, merged.LastLane())
			if i == old.LastLane() {
				mergedLane[i] = merged.LastLane()
			}
			continue
		}
		mergedLane[i] = index
		l := &merged.Lanes[index]
		l.Floor, l.MaxShare, l.Lend = min(l.Floor, o.Floor), stricterLimit(l.MaxShare, o.MaxShare), l.Lend && o.Lend
	}
	for i := range min(len(merged.Classes), len(old.Classes)) {
		c, o := &merged.Classes[i], old.Classes[i]
		c.Floor, c.SendRetryAfter = min(c.Floor, o.Floor), c.SendRetryAfter && o.SendRetryAfter
	}
	accountIndex := map[string]int{}
	for i := range next.Accounts {
		accountIndex[next.Accounts[i].Name] = i
	}
	inBoth := make([]bool, len(next.Accounts))
	merged.previous = &previousSet{old, make([]int32, len(old.Accounts))}
	for i, o := range old.Accounts {
		index, found := accountIndex[o.Name]
		if !found {
			index = len(merged.Accounts)
			merged.Accounts = append(merged.Accounts, Account{o.Name, mergedLane[o.Lane], 0, o.MaxShare, o.Key})
		} else {
			a := &merged.Accounts[index]
			a.Lane, a.Guarantee, a.MaxShare = max(a.Lane, mergedLane[o.Lane]), min(a.Guarantee, o.Guarantee), stricterLimit(a.MaxShare, o.MaxShare)
			inBoth[index] = true
		}
		merged.previous.accountIndex[i] = int32(index)
	}
	for i, found := range inBoth {
		if !found {
			merged.Accounts[i].Guarantee = 0
		}
	}
	return &merged
}

// stricterAccount returns the account of a query, given its account next by the merged set's own section and its account old by the
// previous set.
func (p *previousSet) stricterAccount(s *Set, next, old int) int {
	if old >= 0 {
		old = int(p.accountIndex[old])
	}
	if old == next {
		return next
	}
	laneDiff, guaranteeDiff := s.LaneOf(old)-s.LaneOf(next), s.guaranteeOf(next)-s.guaranteeOf(old) // above 0 if old is the stricter one
	switch {
	case laneDiff < 0 && guaranteeDiff > 0 || laneDiff > 0 && guaranteeDiff < 0:
		return -1
	case laneDiff > 0 || guaranteeDiff > 0:
		return old
	}
	return next
}

func (s *Set) guaranteeOf(account int) float64 {
	if account < 0 {
		return 0
	}
	return s.Accounts[account].Guarantee
}

// stricterLimit returns the smaller of two maximum shares, where 0 means no limit.
func stricterLimit(a, b float64) float64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}
