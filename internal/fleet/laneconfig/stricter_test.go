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
	l.Accounts[0].Lane = "rest"                                 // coast moves to a lower lane
	l.Accounts[1].Guarantee, l.Accounts[1].Most = 0.3, 0.4      // office gets a larger guarantee and limit
	l.Accounts[1].Marks = append(l.Accounts[1].Marks, "k3")     // and one more mark
	l.Accounts[2].Name, l.Accounts[2].Guarantee = "south2", 0.2 // south gets another name
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
		{2, 1, "", "coast rest 0.3 0"}, // the lower lane applies at once
		{2, 1, "k1", "office gold 0.1 0.2"},
		{2, 1, "k3", "none"}, // old gives it to coast, with a lower lane but a larger guarantee than office
		{0, 1, "k3", "none"}, // k3 moves to a higher lane only later
		{0, 1, "", "none"},
		{1, 1, "", "south2 silver 0 0"}, // the same lane under another name, without a guarantee until then
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
		t.Error("a single set was changed")
	}
}

// drawSection draws a section with up to three lanes and three accounts.
func drawSection(t *rapid.T) *operator.Lanes {
	l := &operator.Lanes{Slot: 10}
	drawShare := func(label string) float64 { return float64(rapid.IntRange(0, 8).Draw(t, label)) / 100 }
	drawLimit := func(label string, minimum float64) float64 {
		if !rapid.Bool().Draw(t, label) {
			return 0
		}
		return minimum + drawShare(label)
	}
	for _, name := range rapid.Permutation([]string{"a", "b", "c"}).Draw(t, "lanes")[:rapid.IntRange(1, 3).Draw(t, "n")] {
		lend := rapid.Bool().Draw(t, "lend")
		l.Lanes = append(l.Lanes, operator.Lane{Name: name, Floor: 0.01 + drawShare("floor"), Most: drawLimit("max share", 0.2), Lend: &lend})
	}
	keys := rapid.Permutation([]string{"t north", "t south", "t coast", "r fast", "r rest", "m k1", "m k2"}).Draw(t, "keys")
	for _, name := range rapid.Permutation([]string{"x", "y", "z"}).Draw(t, "accounts") {
		a := operator.Account{Name: name, Lane: rapid.SampledFrom(l.Lanes).Draw(t, "lane").Name, Guarantee: drawShare("guarantee")}
		a.Most = drawLimit("max share of account", a.Guarantee)
		n := rapid.IntRange(0, len(keys)).Draw(t, "key count")
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

// Guards against a merged set that gives more than one of its sources. No query gets a better lane, a larger guarantee, limit or
// floor than by either source, and the guarantees do not add up to more than those of either. A set merged with a third one gives
// no more than the third.
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
		ofThree := Stricter(Stricter(all[0], all[1]), all[2])
		ofTwo := Stricter(all[1], all[2])
		for tenant := -1; tenant < 3; tenant++ {
			for route := -1; route < 2; route++ {
				for _, mark := range []string{"", "k1", "k2", "k3"} {
					at := ofTwo.AccountOf(tenant, route, mark)
					for _, s := range all[1:] {
						checkNotMore(t, ofTwo, at, s, s.AccountOf(tenant, route, mark))
					}
					if at := ofThree.AccountOf(tenant, route, mark); ofThree.LaneOf(at) < all[2].LaneOf(all[2].AccountOf(tenant, route, mark)) ||
						ofThree.guaranteeOf(at) > all[2].guaranteeOf(all[2].AccountOf(tenant, route, mark)) {
						t.Fatalf("three sets: tenant %d, route %d, mark %q", tenant, route, mark)
					}
				}
			}
		}
		for _, s := range all[1:] {
			if totalGuarantee(ofTwo) > totalGuarantee(s)+sumTolerance {
				t.Fatalf("%v guaranteed in all, %v by revision %d alone", totalGuarantee(ofTwo), totalGuarantee(s), s.Revision)
			}
		}
	})
}

// checkNotMore fails the test if an account of the merged set gets more than its account in one of the sources.
func checkNotMore(t *rapid.T, merged *Set, mergedAccount int, source *Set, sourceAccount int) {
	if merged.guaranteeOf(mergedAccount) > source.guaranteeOf(sourceAccount) {
		t.Fatalf("guarantee %v, but %v by revision %d alone", merged.guaranteeOf(mergedAccount), source.guaranteeOf(sourceAccount), source.Revision)
	}
	mergedLane, sourceLane := merged.Lanes[merged.LaneOf(mergedAccount)], source.Lanes[source.LaneOf(sourceAccount)]
	if source.Revision == merged.Revision && merged.LaneOf(mergedAccount) < source.LaneOf(sourceAccount) {
		t.Fatalf("lane %s, but %s by revision %d alone", mergedLane.Name, sourceLane.Name, source.Revision)
	}
	if mergedLane.Name == sourceLane.Name && (mergedLane.Floor > sourceLane.Floor || mergedLane.Lend && !sourceLane.Lend || sourceLane.MaxShare > 0 && (mergedLane.MaxShare == 0 || mergedLane.MaxShare > sourceLane.MaxShare)) {
		t.Fatalf("lane %+v, but %+v by revision %d alone", mergedLane, sourceLane, source.Revision)
	}
	for i, l := range merged.Lanes { // the lane of the older set, if both sets have it
		if source.Revision != merged.Revision && l.Name == sourceLane.Name && merged.LaneOf(mergedAccount) < i {
			t.Fatalf("lane %s, but %s by revision %d alone", mergedLane.Name, sourceLane.Name, source.Revision)
		}
	}
	if mergedAccount >= 0 && sourceAccount >= 0 && merged.Accounts[mergedAccount].Name == source.Accounts[sourceAccount].Name {
		if mergedShare, sourceShare := merged.Accounts[mergedAccount].MaxShare, source.Accounts[sourceAccount].MaxShare; sourceShare > 0 && (mergedShare == 0 || mergedShare > sourceShare) {
			t.Fatalf("maximum share %v, but %v by revision %d alone", mergedShare, sourceShare, source.Revision)
		}
	}
}

func totalGuarantee(s *Set) (sum float64) {
	for _, a := range s.Accounts {
		sum += a.Guarantee
	}
	return sum
}
