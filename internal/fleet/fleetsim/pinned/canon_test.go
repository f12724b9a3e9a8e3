package pinned

import (
	"maps"
	"testing"
)

// goesOn are the sums of what follows a state, and what breaks, in no order.
func goesOn(s *small, scope *Scope) map[uint64]string {
	out := map[uint64]string{}
	for i := range s.allowed(scope) {
		n := s.clone()
		n.allowed(scope)[i].do()
		says := ""
		if n.err != nil {
			says = n.err.Error()[:2]
		}
		out[n.digest()] = says
	}
	return out
}

// States that count as one go on alike, and a copy goes on as what it was made of and leaves that as it was: among all moves, and deeper, where
// a guard is left out, among those that it is about.
func TestOneStateGoesOnAlike(t *testing.T) {
	most := 400
	if testing.Short() {
		most = 150
	}
	states, again := 0, 0
	for _, off := range append([]Off{""}, Offs...) {
		scope := ScopeOf(off)
		first := scope.begin(off)
		seen, all := map[uint64]*small{first.digest(): first}, []*small{first}
		for at := 0; at < len(all) && len(all) < most; at++ {
			s := all[at]
			if s.err != nil {
				continue
			}
			before := s.digest()
			for i, m := range s.allowed(scope) {
				n := s.clone()
				n.allowed(scope)[i].do()
				sum := n.digest()
				old := seen[sum]
				if old == nil {
					seen[sum], all = n, append(all, n)
					continue
				}
				if again++; again%8 == 0 && n.err == nil && !maps.Equal(goesOn(old, scope), goesOn(n, scope)) {
					t.Fatalf("without %q, after %q: what follows at %v is not what follows at %v", off, m.name(), old.now, n.now)
				}
			}
			if s.digest() != before {
				t.Fatal("a move of a copy changes what it was made of")
			}
		}
		states += len(all)
	}
	t.Logf("%d states, %d came again", states, again)
}
