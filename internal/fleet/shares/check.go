package shares

import (
	"fmt"
	"maps"
	"slices"
)

// Check returns a violation of rule L5 in this co-ordinator's own state: the amounts lent must add up to the totals, no more may be lent
// than allowed, and no loan may last longer than its time. It cannot check whether all co-ordinators together keep to a guarantee.
func (s *Shares) Check() error {
	sums := map[uint32]int64{}
	for k, l := range s.lent {
		if k.peer != l.peer || k.account != l.account || l.amount <= 0 || l.expiresAt > s.now+lenderLoanDuration {
			return fmt.Errorf("L5: invalid loan %+v lent under key %+v at %v", *l, k, s.now)
		}
		sums[l.account] += l.amount
	}
	if !maps.Equal(sums, s.lentTotal) {
		return fmt.Errorf("L5: loans add up to %v, totals are %v", sums, s.lentTotal)
	}
	for _, a := range slices.Sorted(maps.Keys(sums)) {
		if limit := GuaranteeUnits / int64(s.minMembers) / LendDivisor; sums[a] > limit {
			return fmt.Errorf("L5: %d of account %d is lent, at most %d allowed", sums[a], a, limit)
		}
	}
	for k, l := range s.borrowed {
		if k.peer != l.peer || k.account != l.account || l.amount <= 0 || l.expiresAt > s.now+borrowerLoanDuration || k.peer == s.options.Name {
			return fmt.Errorf("L5: invalid loan %+v borrowed under key %+v at %v", *l, k, s.now)
		}
	}
	return nil
}
