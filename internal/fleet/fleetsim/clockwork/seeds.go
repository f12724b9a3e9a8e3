package clockwork

import (
	"fmt"
	"runtime"
	"sync"
	"time"
)

// Seeds says which are played.
type Seeds struct {
	First  uint64        `default:"1" help:"First seed."`
	Count  int           `default:"1000" help:"How many."`
	Within time.Duration `help:"Stop after so long."`
}

// Play plays the seeds, some beside each other, until all are played, the time is over or enough says so. What play gives is done by one at a
// time, as enough is asked.
func (s Seeds) Play(play func(seed uint64) (sum func()), enough func() bool) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin, next := time.Now(), s.First
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				over := seed >= s.First+uint64(s.Count) || s.Within > 0 && time.Since(begin) > s.Within || enough()
				mu.Unlock()
				if over {
					return
				}
				sum := play(seed)
				mu.Lock()
				sum()
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// Pace says how fast so many worlds were played since then.
func Pace(worlds int, begin time.Time) string {
	took := time.Since(begin)
	return fmt.Sprintf("%d worlds in %v, %.1f a second", worlds, took.Round(time.Second), float64(worlds)/took.Seconds())
}
