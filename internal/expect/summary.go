package expect

import (
	"fmt"
	"slices"
)

// Summary is what an expectation came to over all its seeds.
type Summary struct {
	Expectation *Expectation
	Seeds       int
	BrokenSeeds int
	First       *Verdict  // the first broken one, by seed
	Vacuous     []Finding // claims that no seed put to the test
	Sends       int
}

// State tells the whole: broken if any seed broke it, vacuous if some claim was never put to the test.
func (s *Summary) State() State {
	switch {
	case s.BrokenSeeds > 0:
		return Broken
	case len(s.Vacuous) > 0:
		return Vacuous
	}
	return Held
}

// Sum puts together the verdicts of all seeds, in any order.
func Sum(e *Expectation, verdicts []Verdict) Summary {
	s := Summary{Expectation: e, Seeds: len(verdicts)}
	empty := map[string]int{}
	found := map[string]Finding{}
	for i := range verdicts {
		v := &verdicts[i]
		s.Sends += v.Sends
		if v.Broken() {
			s.BrokenSeeds++
			if s.First == nil || v.Seed < s.First.Seed {
				s.First = v
			}
		}
		for _, f := range v.Findings {
			if f.State == Vacuous {
				key := fmt.Sprint(f.Claim, f.Kind)
				empty[key]++
				found[key] = f
			}
		}
	}
	for key, n := range empty {
		if n == len(verdicts) {
			s.Vacuous = append(s.Vacuous, found[key])
		}
	}
	slices.SortFunc(s.Vacuous, func(a, b Finding) int { return a.Claim - b.Claim })
	return s
}
