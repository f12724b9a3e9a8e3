// Package pinned is the emulator of pinned sessions in virtual time: co-ordinators with the real keeper, view and copies of
// the agreed sessions that are late by words, a leader with the real planner, clients that send open loop and come back,
// replicas that run parts, and faults. All that happens follows from a Schedule: same seed, same bytes. What happens is
// told to package history, whose checker knows none of the deciding code. The council itself is played from above: one log,
// a leader that commits while it reaches a majority, and changes of leaders that keep or drop what was under way; package
// world plays its parts.
package pinned

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Epoch is the Unix time at which every world begins.
const Epoch = 1_900_000_000 * time.Second

type timer struct {
	at  time.Duration
	seq uint64
	do  func()
}

// timers are ordered by time, then by the order of laying.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, *x.(*timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return &x
}

// clockwork runs what was laid in it in the order of true time.
type clockwork struct {
	now    time.Duration // true time since the world began
	seq    uint64
	timers timers
}

func (q *clockwork) after(d time.Duration, do func()) {
	q.seq++
	heap.Push(&q.timers, &timer{q.now + max(d, 0), q.seq, do})
}

// run goes on until the given true time, or as soon as stop says so.
func (q *clockwork) run(until time.Duration, stop func() bool) {
	for len(q.timers) > 0 && q.timers[0].at <= until && !stop() {
		next := heap.Pop(&q.timers).(*timer)
		q.now = next.at
		next.do()
	}
	if !stop() {
		q.now = max(q.now, until)
	}
}

// newRand gives the numbers of one use in one seed.
func newRand(seed uint64, use string) *rand.Rand {
	sum := uint64(14695981039346656037)
	for _, b := range []byte(use) {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(seed, sum))
}

// between draws a time from low to high.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
