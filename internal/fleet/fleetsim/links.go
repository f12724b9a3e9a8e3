package fleetsim

import (
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
)

// links are all directed ones. A cut is counted, since cuts may overlap.
type links struct {
	n       int
	quality clockwork.Quality
	cuts    []int16 // from*n + to
	rng     *rand.Rand
}

func newLinks(n int, quality clockwork.Quality, rng *rand.Rand) *links {
	return &links{n: n, quality: quality, cuts: make([]int16, n*n), rng: rng}
}

func (l *links) cut(from, to int, by int16) { l.cuts[from*l.n+to] += by }

func (l *links) open(from, to int) bool { return from == to || l.cuts[from*l.n+to] == 0 }

// both says whether two talk in both directions.
func (l *links) both(a, b int) bool { return l.open(a, b) && l.open(b, a) }

// deliveries draws when a word sent now arrives: not at all, once, or twice.
func (l *links) deliveries(from, to int) []time.Duration {
	if from == to {
		return []time.Duration{0}
	}
	if !l.open(from, to) || l.rng.Float64() < l.quality.Lost {
		return nil
	}
	first := l.delay()
	if l.rng.Float64() < l.quality.Twice {
		return []time.Duration{first, first + l.delay() + l.delay()}
	}
	return []time.Duration{first}
}

func (l *links) delay() time.Duration {
	d := l.quality.Latency + time.Duration(l.rng.Int64N(int64(l.quality.Latency)+1))
	if l.quality.Late > 0 && l.rng.Float64() < l.quality.Late {
		d += time.Duration(l.rng.Int64N(int64(l.quality.LateBy) + 1))
	}
	return d
}
