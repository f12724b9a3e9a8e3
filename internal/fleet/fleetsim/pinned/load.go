package pinned

import (
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/pinned/history"
)

// Sum of many worlds.
type Sum struct {
	Worlds, Lines, Entries, Changes int
	Virtual                         time.Duration
	Figures                         history.Figures
	Broken                          []uint64 // seeds
}

// Load plays the worlds of seeds. Each is handed to done, by one goroutine at a time.
func Load(seeds clockwork.Seeds, done func(seed uint64, r Result)) (sum Sum) {
	seeds.Play(func(seed uint64) func() {
		s := Draw(seed)
		r := New(s).Run()
		return func() {
			sum.add(seed, s, r)
			done(seed, r)
		}
	}, func() bool { return false })
	return sum
}

func (sum *Sum) add(seed uint64, s *Schedule, r Result) {
	f := &sum.Figures
	sum.Worlds++
	sum.Lines += r.Lines
	sum.Entries += r.Entries
	sum.Changes += r.Changes
	sum.Virtual += s.End
	f.Sent += r.Figures.Sent
	f.Served += r.Figures.Served
	f.Refused += r.Figures.Refused
	f.Failed += r.Figures.Failed
	f.Broken += r.Figures.Broken
	f.Left += r.Figures.Left
	f.Moves += r.Figures.Moves
	f.Frees += r.Figures.Frees
	f.Runs += r.Figures.Runs
	f.InUseMost = max(f.InUseMost, r.Figures.InUseMost)
	if r.Err != nil {
		sum.Broken = append(sum.Broken, seed)
	}
}
