package fleetsim

import (
	"runtime/debug"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchcart/internal/fleet/fleetsim/clockwork"
)

// Size gives the fleet's size of a seed: in a thousand 975 of 5 to 9 co-ordinators, more of few than of many, 23 of 15
// to 50 and 2 of 100 to 300.
func Size(seed uint64) int {
	rng := clockwork.Rand(seed, "size")
	switch k := rng.IntN(1000); {
	case k < 975:
		return 5 + min(rng.IntN(5), rng.IntN(5))
	case k < 998:
		return 15 + rng.IntN(36)
	default:
		return 100 + rng.IntN(201)
	}
}

// Broken is a world in which a promise was broken.
type Broken struct {
	Seed   uint64
	Result Result
}

// Sum is what many worlds came to.
type Sum struct {
	Worlds, Entries, Changes int
	Lines                    int
	Virtual                  time.Duration
	Sizes                    map[string]int
	Grants, Told, Went       int
	Lapsed, Failures         int
	Unplanned, CutOffSends   int
	GrantToTold              *hdrhistogram.Histogram // ms
	Broken                   []Broken
}

const brokenMost = 20 // that are kept; a load ends there

// Load plays the worlds of seeds, until too many broke. Each is told to done, from one goroutine at a time.
func Load(seeds clockwork.Seeds, done func(seed uint64, r Result)) Sum {
	sum := Sum{Sizes: map[string]int{}, GrantToTold: hdrhistogram.New(1, 600_000, 3)}
	defer debug.SetGCPercent(debug.SetGCPercent(2000)) // much is made, little is kept
	seeds.Play(func(seed uint64) func() {
		size := Size(seed)
		w := New(Draw(seed, size))
		r := w.Run()
		return func() {
			sum.add(seed, size, w.Now, r)
			if done != nil {
				done(seed, r)
			}
		}
	}, func() bool { return len(sum.Broken) >= brokenMost })
	sort.Slice(sum.Broken, func(i, j int) bool { return sum.Broken[i].Seed < sum.Broken[j].Seed })
	return sum
}

func (s *Sum) add(seed uint64, size int, virtual time.Duration, r Result) {
	switch {
	case size < 10:
		s.Sizes["5 to 9"]++
	case size < 100:
		s.Sizes["15 to 50"]++
	default:
		s.Sizes["100 to 300"]++
	}
	s.Worlds++
	s.Entries += r.Entries
	s.Changes += r.Changes
	s.Lines += r.Lines
	s.Virtual += virtual
	s.Grants += r.Figures.Grants
	s.Told += r.Figures.Told
	s.Went += r.Figures.Went
	s.Lapsed += r.Figures.Lapsed
	s.Failures += r.Figures.Failures
	s.Unplanned += r.Figures.Unplanned
	s.CutOffSends += r.Figures.CutOffSends
	for _, d := range r.Figures.GrantToTold {
		_ = s.GrantToTold.RecordValue(min(d.Milliseconds(), 600_000)) // within the range of the histogram
	}
	if r.Err != nil {
		s.Broken = append(s.Broken, Broken{seed, r})
	}
}
