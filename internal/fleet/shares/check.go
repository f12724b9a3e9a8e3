package shares

import (
	"fmt"
	"maps"
	"slices"
)

// Check names what does not hold of L5 in the own books: what is lent is counted, no more is lent than may be, and no loan lasts
// longer than its time. That all books together keep to the guarantee is for one who sees them all.
func (s *Shares) Check() error {
	sums := map[uint32]int64{}
	for k, l := range s.lent {
		if k.peer != l.peer || k.account != l.account || l.amount <= 0 || l.expiresAt > s.now+lenderLoanDuration {
			return fmt.Errorf("L5: lent %+v, under %+v at %v", *l, k, s.now)
		}
		sums[l.account] += l.amount
	}
	if !maps.Equal(sums, s.lentTotal) {
		return fmt.Errorf("L5: lent %v, counted %v", sums, s.lentTotal)
	}
	for _, a := range slices.Sorted(maps.Keys(sums)) {
		if limit := GuaranteeUnits / int64(s.minMembers) / LendDivisor; sums[a] > limit {
			return fmt.Errorf("L5: %d of account %d is lent, %d at the most", sums[a], a, limit)
		}
	}
	for k, l := range s.borrowed {
		if k.peer != l.peer || k.account != l.account || l.amount <= 0 || l.expiresAt > s.now+borrowerLoanDuration || k.peer == s.options.Name {
			return fmt.Errorf("L5: borrowed %+v, under %+v at %v", *l, k, s.now)
		}
	}
	return nil
}
