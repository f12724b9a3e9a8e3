package laneconfig

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"birchcart/internal/operator"
)

func TestStricterDemotesAtOnceAndPromotesLater(t *testing.T) {
	old := compile(t, section(), 1)
	l := section()
	l.Slot = 20
	l.Lanes[0].Floor, l.Lanes[1].Lend = 0.02, nil
	l.Accounts[0].Lane = "rest"                                 // the coast moves down
	l.Accounts[1].Guarantee, l.Accounts[1].Most = 0.3, 0.4      // the office has more
	l.Accounts[1].Marks = append(l.Accounts[1].Marks, "k3")     // and one more mark
	l.Accounts[2].Name, l.Accounts[2].Guarantee = "south2", 0.2 // the south has another name
	l.Accounts = append(l.Accounts, operator.Account{Name: "north", Lane: "gold", Tenants: []string{"north"}, Guarantee: 0.1})
	next := compile(t, l, 2)
	s := Stricter(old, next)
	if s.Revision != 2 || s.Slot != next.Slot || s.Lanes[0].Floor != 0.02 || s.Lanes[0].Lend != true || s.Lanes[1].Lend {
		t.Errorf("%+v", s)
	}
	for _, c := range []struct {
		tenant, route int
		mark          string
		want          string
	}{
		{2, 1, "", "coast rest 0.3 0"}, // moved down at once
		{2, 1, "k1", "office gold 0.1 0.2"},
		{2, 1, "k3", "none"}, // the coast's till then: of the lane further down, but with more guaranteed than the office
		{0, 1, "k3", "none"}, // that of who moves up
		{0, 1, "", "none"},
		{1, 1, "", "south2 silver 0 0"}, // the same lane under another name, with no guarantee till then
	} {
		at, got := s.AccountOf(c.tenant, c.route, c.mark), "none"
		if at >= 0 {
			a := s.Accounts[at]
			got = fmt.Sprint(a.Name, " ", s.Lanes[a.Lane].Name, " ", a.Guarantee, " ", a.MaxShare)
		}
		if got != c.want {
			t.Errorf("%+v: %s", c, got)
		}
	}
	if Stricter(nil, next) != next || Stricter(next, next) != next {
		t.Error("one alone is another set")
	}
}

// drawSection is any section over the lanes and accounts of a small world.
func drawSection(t *rapid.T) *operator.Lanes {
	l := &operator.Lanes{Slot: 10}
	share := func(of string) float64 { return float64(rapid.IntRange(0, 8).Draw(t, of)) / 100 }
	most := func(of string, least float64) float64 {
		if !rapid.Bool().Draw(t, of) {
			return 0
		}
		return least + share(of)
	}
	for _, name := range rapid.Permutation([]string{"a", "b", "c"}).Draw(t, "lanes")[:rapid.IntRange(1, 3).Draw(t, "n")] {
		lend := rapid.Bool().Draw(t, "lend")
		l.Lanes = append(l.Lanes, operator.Lane{Name: name, Floor: 0.01 + share("floor"), Most: most("most", 0.2), Lend: &lend})
	}
	keys := rapid.Permutation([]string{"t north", "t south", "t coast", "r fast", "r rest", "m k1", "m k2"}).Draw(t, "keys")
	for _, name := range rapid.Permutation([]string{"x", "y", "z"}).Draw(t, "accounts") {
		a := operator.Account{Name: name, Lane: rapid.SampledFrom(l.Lanes).Draw(t, "lane").Name, Guarantee: share("guarantee")}
		a.Most = most("most of it", a.Guarantee)
		n := rapid.IntRange(0, len(keys)).Draw(t, "keys of it")
		for _, k := range keys[:n] {
			list := map[byte]*[]string{'t': &a.Tenants, 'r': &a.Routes, 'm': &a.Marks}[k[0]]
			*list = append(*list, k[2:])
		}
		keys = keys[n:]
		if n > 0 {
			l.Accounts = append(l.Accounts, a)
		}
	}
	return l
}

// Compile any two sets the mixed one gives no query a better lane, guarantee, most or floor than either, and promises no more than
// either; a third over it gives no more than any.
func TestTheStricterOfTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*Set
		for i := range 3 {
			s, err := Compile(drawSection(t), i+1, names, routes)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, s)
		}
		mixed := Stricter(Stricter(all[0], all[1]), all[2])
		two := Stricter(all[1], all[2])
		for tenant := -1; tenant < 3; tenant++ {
			for route := -1; route < 2; route++ {
				for _, mark := range []string{"", "k1", "k2", "k3"} {
					at := two.AccountOf(tenant, route, mark)
					for _, s := range all[1:] {
						checkNotMore(t, two, at, s, s.AccountOf(tenant, route, mark))
					}
					if at := mixed.AccountOf(tenant, route, mark); mixed.LaneOf(at) < all[2].LaneOf(all[2].AccountOf(tenant, route, mark)) ||
						mixed.guaranteeOf(at) > all[2].guaranteeOf(all[2].AccountOf(tenant, route, mark)) {
						t.Fatalf("three: %d %d %q", tenant, route, mark)
					}
				}
			}
		}
		for _, s := range all[1:] {
			if totalGuarantee(two) > totalGuarantee(s)+sumTolerance {
				t.Fatalf("%v guaranteed, %v by %d alone", totalGuarantee(two), totalGuarantee(s), s.Revision)
			}
		}
	})
}

// checkNotMore says that a of the mixed set has no more than b of one of the two.
func checkNotMore(t *rapid.T, mixed *Set, a int, one *Set, b int) {
	if mixed.guaranteeOf(a) > one.guaranteeOf(b) {
		t.Fatalf("a guarantee of %v, of %v by %d alone", mixed.guaranteeOf(a), one.guaranteeOf(b), one.Revision)
	}
	have, had := mixed.Lanes[mixed.LaneOf(a)], one.Lanes[one.LaneOf(b)]
	if one.Revision == mixed.Revision && mixed.LaneOf(a) < one.LaneOf(b) {
		t.Fatalf("lane %s, of %s by %d alone", have.Name, had.Name, one.Revision)
	}
	if have.Name == had.Name && (have.Floor > had.Floor || have.Lend && !had.Lend || had.MaxShare > 0 && (have.MaxShare == 0 || have.MaxShare > had.MaxShare)) {
		t.Fatalf("%+v, of %+v by %d alone", have, had, one.Revision)
	}
	for i, l := range mixed.Lanes { // the older one's lane, if both have it
		if one.Revision != mixed.Revision && l.Name == had.Name && mixed.LaneOf(a) < i {
			t.Fatalf("lane %s, of %s by %d alone", have.Name, had.Name, one.Revision)
		}
	}
	if a >= 0 && b >= 0 && mixed.Accounts[a].Name == one.Accounts[b].Name {
		if m, most := mixed.Accounts[a].MaxShare, one.Accounts[b].MaxShare; most > 0 && (m == 0 || m > most) {
			t.Fatalf("a most of %v, of %v by %d alone", m, most, one.Revision)
		}
	}
}

func totalGuarantee(s *Set) (sum float64) {
	for _, a := range s.Accounts {
		sum += a.Guarantee
	}
	return sum
}
