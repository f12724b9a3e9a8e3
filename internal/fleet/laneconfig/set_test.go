package laneconfig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
)

var (
	names  = &settings.Names{Classes: []string{"search", "submit"}, Tenants: []string{"north", "south", "coast"}}
	routes = []string{"fast", "rest"}
)

// section returns a small section: lane gold for tenant coast and two marks, lane silver for tenant south.
func section() *operator.Lanes {
	no := false
	return &operator.Lanes{
		Header: "X-Account", Slot: 10,
		Lanes: []operator.Lane{{Name: "gold", Floor: 0.05, Most: 0.8}, {Name: "silver", Floor: 0.04, Lend: &no}, {Name: "rest", Floor: 0.03}},
		Accounts: []operator.Account{
			{Name: "coast", Lane: "gold", Tenants: []string{"coast"}, Guarantee: 0.3},
			{Name: "office", Lane: "gold", Marks: []string{"k1", "k2"}, Guarantee: 0.1, Most: 0.2},
			{Name: "south", Lane: "silver", Tenants: []string{"south", "west"}, Routes: []string{"fast"}, Guarantee: 0.1},
		},
		Classes: map[string]operator.LaneClass{"submit": {Floor: 0.06, ComeBack: &no}},
	}
}

func compile(t testing.TB, l *operator.Lanes, revision int) *Set {
	t.Helper()
	s, err := Compile(l, revision, names, routes)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestAccountLookup(t *testing.T) {
	s := compile(t, section(), 3)
	for _, c := range []struct {
		tenant, route int
		mark          string
		want          int
	}{
		{0, 1, "", -1}, {-1, -1, "", -1}, {7, 9, "k3", -1}, {2, 1, "", 0}, {1, -1, "", 2},
		{2, 0, "", 2}, {2, 0, "k1", 1}, {1, 0, "k2", 1}, {2, 1, "K2", 0},
	} {
		if got := s.AccountOf(c.tenant, c.route, c.mark); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
	if s.LaneOf(-1) != 2 || s.LaneOf(1) != 0 || s.LaneOf(2) != 1 || s.LastLane() != 2 {
		t.Errorf("lanes %d, %d, %d", s.LaneOf(-1), s.LaneOf(1), s.LaneOf(2))
	}
	if fmt.Sprint(s.Classes) != "[{0.02 true} {0.06 false}]" || fmt.Sprint(s.Lanes) != "[{gold 0.05 0.8 true} {silver 0.04 0 false} {rest 0.03 0 true}]" ||
		fmt.Sprint(s.Unknown) != "[west]" || s.Tenants[2] != s.Accounts[0].Key || s.Accounts[0].Key == s.Accounts[1].Key {
		t.Errorf("%+v", s)
	}
}

func TestCompileRejectsInvalidSections(t *testing.T) {
	for want, spoil := range map[string]func(*operator.Lanes){
		"0 lanes":                func(l *operator.Lanes) { l.Lanes = nil },
		"two lanes":              func(l *operator.Lanes) { l.Lanes[1].Name = "gold" },
		"two accounts":           func(l *operator.Lanes) { l.Accounts[1].Name = "coast" },
		"which does not exist":   func(l *operator.Lanes) { l.Accounts[1].Lane = "bronze" },
		"slot is 0 s":            func(l *operator.Lanes) { l.Slot = 0 },
		"add up to more than 1":  func(l *operator.Lanes) { l.Accounts[0].Guarantee = 0.9 },
		"is not between 0 and 1": func(l *operator.Lanes) { l.Accounts[0].Most = -1 },
		"10001 accounts":         func(l *operator.Lanes) { l.Accounts = make([]operator.Account, operator.AccountsMost+1) },
		"40001 tenants":          func(l *operator.Lanes) { l.Accounts[0].Marks = make([]string, operator.KeysMost-5) },
	} {
		l := section()
		spoil(l)
		if _, err := Compile(l, 1, names, routes); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// largestSection returns a section with the maximum number of accounts, most of them with a mark of 32 random digits.
func largestSection() *operator.Lanes {
	l, rng := section(), rand.New(rand.NewPCG(1, 2))
	for i := len(l.Accounts); i < operator.AccountsMost; i++ {
		mark := fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
		l.Accounts = append(l.Accounts, operator.Account{Name: fmt.Sprint("account-", i), Lane: "gold", Marks: []string{mark}, Guarantee: 1e-5})
	}
	return l
}

func TestSectionRoundTripAndSizeLimits(t *testing.T) {
	b, err := NewSetBody(largestSection(), 1)
	if err != nil || len(b.Packed) < MaxPackedSize/2 {
		t.Fatalf("%d bytes, %v", len(b.Packed), err)
	}
	t.Logf("10,000 accounts: %d bytes compressed", len(b.Packed))
	l, err := b.Section()
	if again, err2 := NewSetBody(l, 1); err != nil || err2 != nil || again.Sum != b.Sum || len(l.Accounts) != operator.AccountsMost {
		t.Error(err, err2)
	}
	tooLarge := largestSection()
	for i := range tooLarge.Accounts {
		tooLarge.Accounts[i].Name = fmt.Sprint(i, HashName(fmt.Sprint(i)), HashName(fmt.Sprint(-i)))
	}
	if _, err := NewSetBody(tooLarge, 1); err == nil || !strings.Contains(err.Error(), "fewer accounts") {
		t.Error("a section that is too large was accepted:", err)
	}
	b.Sum = strings.Repeat("0", 64)
	if _, err := b.Section(); err == nil {
		t.Error("a wrong checksum was accepted")
	}
	newer := packText(t, 1, `{"lanes":[{"name":"a","colour":"red"}]}`)
	if _, err := newer.Section(); !errors.Is(err, statemachine.ErrUnknown) {
		t.Error("a field of a newer program:", err)
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	s := compile(t, largestSection(), 1)
	mark := largestSection().Accounts[7000].Marks[0]
	for name, set := range map[string]*Set{"plain": s, "merged": Stricter(compile(t, section(), 1), s)} {
		if n := testing.AllocsPerRun(100, func() { sink = set.AccountOf(1, 1, mark) + set.LaneOf(sink) + set.AccountOf(2, 0, "other") }); n != 0 {
			t.Errorf("%s: %v", name, n)
		}
	}
}

var sink int

func BenchmarkAccount(b *testing.B) {
	l := largestSection()
	s := compile(b, l, 1)
	for name, set := range map[string]*Set{"plain": s, "merged": Stricter(compile(b, l, 1), s)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				sink = set.AccountOf(1, 1, l.Accounts[3+i*7919%9000].Marks[0])
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	for l := largestSection(); b.Loop(); {
		compile(b, l, 1)
	}
}

// The summary checks all parts of the state every few seconds, and no command can be applied meanwhile.
func BenchmarkCheck(b *testing.B) {
	body, err := NewSetBody(largestSection(), 1)
	if err != nil {
		b.Fatal(err)
	}
	a := New()
	a.mustApply(b, start, body)
	for b.Loop() {
		if err := a.Check(); err != nil {
			b.Fatal(err)
		}
	}
}
