package world

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// only lets the actions through that hold one of the words.
func only(words ...string) func(string) bool {
	return func(name string) bool {
		for _, w := range words {
			if strings.Contains(name, w) {
				return true
			}
		}
		return false
	}
}

// guards are taken out one at a time; each breaks its promise within 12 steps, with a small part of the actions.
var guards = []struct {
	off   Off
	left  budget
	says  string
	plays []string
}{
	{"W1", budget{}, "W1: ", []string{"passes", "grants", "told", "goes"}},
	{"W1 warm", budget{Fail: 1}, "W1: ", []string{"passes", "r0 fails", "r0 is up again", "grants r1", "told", "goes"}},
	{"W2 zone", budget{}, "W2: ", []string{"grants"}},
	{"W2 all", budget{}, "W2: ", []string{"grants"}},
	{"W2 voters", budget{}, "W2: ", []string{"grants"}},
	{"W3", budget{}, "W3: ", []string{"passes", "grants", "told", "goes"}},
	{"W4 live", budget{}, "W4: ", []string{"grants"}},
	{"W4 once", budget{Withdraw: 1, Again: 1}, "W4: ", []string{"passes", "grants r1", "withdraws", "comes again"}},
	{"W5", budget{}, "W5: ", []string{"grants"}},
	{"W6", budget{Fail: 1}, "W6: ", []string{"passes", "r2 fails", "grants r0"}},
	{"W7", budget{Cut: 1}, "W7: ", []string{"cut", "grants r1"}},
	{"told", budget{}, "told: ", []string{"passes", "grants r1", "told"}},
	{"drain", budget{}, "told: ", []string{"passes", "grants r1", "told"}},
	{"election", budget{Cut: 1, Elect: 1}, "told: ", []string{"passes", "c0 to c1 is cut", "elected", "grants r1", "told"}},
	{"confirm", budget{Cut: 1, Elect: 1}, "told: ", []string{"passes", "c0 to c1 is cut", "c1 is elected", "grants r1", "told"}},
}

func TestEachGuardTakenOut(t *testing.T) {
	if testing.Short() {
		t.Skip("one goroutine, nothing for -race; the full form runs it")
	}
	for _, g := range guards {
		found := Search(g.off, g.left, 12, 60000, only(g.plays...))
		t.Logf("without %s: %s", g.off, found)
		if found.Err == nil || !strings.HasPrefix(found.Err.Error(), g.says) || len(found.Trace) > 12 {
			t.Errorf("without %s: want %q broken", g.off, g.says)
		}
	}
}

// TestSearch: nothing is broken with all guards in place, whatever comes in which order: one crash, one cut, one word
// lost, one late and one twice, one failure, one election, one grant that comes again. BIRCHCART_SEARCH states are seen,
// 4,000 without it.
func TestSearch(t *testing.T) {
	most := 4000
	if s := os.Getenv("BIRCHCART_SEARCH"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		most = n
	}
	all := budget{Crash: 1, Cut: 1, Lose: 1, Late: 1, Repeat: 1, Elect: 1, Again: 1, Fail: 1, Withdraw: 1}
	for _, c := range []struct {
		what  string
		left  budget
		plays func(string) bool
	}{
		{"all", all, nil},
		{"no faults", budget{}, nil},
		{"one machine, all faults of co-ordinators and words", budget{Crash: 1, Cut: 1, Lose: 1, Late: 1, Repeat: 1, Elect: 1},
			func(name string) bool {
				return !strings.Contains(name, "grants r0") && !strings.Contains(name, "grants r3")
			}},
	} {
		found := Search("", c.left, 40, most, c.plays)
		t.Logf("%s: %s", c.what, found)
		if found.Err != nil {
			t.Errorf("%s: %s", c.what, found)
		}
		if found.States < most/4 {
			t.Errorf("%s: only %s", c.what, found)
		}
	}
}
