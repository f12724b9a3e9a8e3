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
		if k.peer != l.peer || k.account != l.account || l.amount <= 0 || l.until > s.now+lenderFor {
			return fmt.Errorf("L5: lent %+v, under %+v at %v", *l, k, s.now)
		}
		sums[l.account] += l.amount
	}
	if !maps.Equal(sums, s.lentSum) {
		return fmt.Errorf("L5: lent %v, counted %v", sums, s.lentSum)
	}
	for _, a := range slices.Sorted(maps.Keys(sums)) {
		if most := Whole / int64(s.fewest) / LendPart; sums[a] > most {
			return fmt.Errorf("L5: %d of account %d is lent, %d at the most", sums[a], a, most)
		}
	}
	for k, l := range s.borrowed {
		if k.peer != l.peer || k.account != l.account || l.amount <= 0 || l.until > s.now+borrowerFor || k.peer == s.o.Name {
			return fmt.Errorf("L5: borrowed %+v, under %+v at %v", *l, k, s.now)
		}
	}
	return nil
}
