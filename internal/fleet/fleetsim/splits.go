package fleetsim

import (
	"strings"
	"time"
)

// single are the faults of a search, each alone. A crash or a cut may bring an election.
var single = []struct {
	name string
	left budget
}{
	{"crash", budget{Crash: 1, Elect: 1}}, {"cut", budget{Cut: 1, Elect: 1}}, {"word lost", budget{Lose: 1}},
	{"word late", budget{Late: 1}}, {"word repeated", budget{Repeat: 1}}, {"machine fails", budget{Fail: 1}},
	{"grant repeated", budget{Again: 1}}, {"withdrawal", budget{Withdraw: 1}},
}

func (b budget) and(o budget) budget {
	return budget{max(b.Crash, o.Crash), max(b.Cut, o.Cut), max(b.Lose, o.Lose), max(b.Late, o.Late), max(b.Repeat, o.Repeat),
		max(b.Fail, o.Fail), max(b.Elect, o.Elect), max(b.Again, o.Again), max(b.Withdraw, o.Withdraw)}
}

// Splits searches a plan without faults and with each fault alone, or with each pair of them, each search for so long at
// most. A grant repeated and a withdrawal need a grant, which needs no fault.
func Splits(plan Plan, pairs bool, within time.Duration, each func(faults string, f Found)) {
	hunt := func(name string, left budget) {
		each(name, Search(Hunt{Plan: plan, Left: left, Depth: 10_000, Most: 5_000_000, Within: within}))
	}
	if !pairs {
		hunt("none", budget{})
		for _, f := range single {
			hunt(f.name, f.left)
		}
		return
	}
	for i, f := range single {
		for _, g := range single[i+1:] {
			hunt(strings.Join([]string{f.name, g.name}, ", "), f.left.and(g.left))
		}
	}
}
