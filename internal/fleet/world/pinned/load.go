package pinned

import (
	"runtime"
	"sync"
	"time"

	"birchcart/internal/fleet/world/pinned/history"
)

// Sum of many worlds.
type Sum struct {
	Worlds, Lines, Entries, Changes int
	Virtual                         time.Duration
	Figures                         history.Figures
	Broken                          []uint64 // seeds
}

// Load plays the worlds of seeds from first on, some at once, until count or the time is over. Each is handed to done.
func Load(first uint64, count int, within time.Duration, done func(seed uint64, r Result)) (sum Sum) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin, next := time.Now(), first
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= first+uint64(count) || within > 0 && time.Since(begin) > within {
					return
				}
				s := Draw(seed)
				r := New(s).Run()
				mu.Lock()
				sum.add(seed, s, r)
				done(seed, r)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
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
