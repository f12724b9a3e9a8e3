package waveplan

import (
	"cmp"
	"slices"
)

const (
	// triesFree and triesEach bound the search for a plan of a given number of waves: a placing for each machine, so many
	// more for each to take wrong ones back, and a free number that makes plans of a few machines exact. Twice as many: a
	// plan that can not be had is given up later, by as much time. Half: a wave more where the limits are tight.
	triesEach = 3
	triesFree = 2000
)

// Plan makes a plan. It tries as many waves as the bound says, and then more, until all machines have their place.
// Looking ahead, it always places next the one with the fewest waves left that can take it, of these the one whose
// shards are the most asked for, in the first wave that can take it; a placing that leaves another machine none is taken
// back. Full waves first are what operators want, but can leave what is alike for the last ones, so that level ones are
// tried too.
func Plan(p Problem) Result {
	f := newFleet(p)
	r := Result{Kept: f.kept}
	r.Bound, r.Why = f.bound()
	if len(f.asks) > Most {
		r.Rest = len(f.asks) - Most
		f.asks = f.asks[:Most]
	}
	n := len(f.asks)
	if n == 0 {
		return r
	}
	var s *search
	for w, step := min(r.Bound, n+1), 1; ; w, step = min(w+step, n+1), step+w-r.Bound {
		// With a wave for each and one to spare there is always an empty one for the next, so this ends.
		s = newSearch(f, w)
		if s.place(0) {
			break
		}
		s = newSearch(f, w)
		if s.level = true; s.place(0) {
			break
		}
	}
	r.Waves = make([][]string, s.waves)
	for i, w := range s.wave {
		r.Waves[w] = append(r.Waves[w], f.asks[i].name)
	}
	for len(r.Waves[len(r.Waves)-1]) == 0 {
		r.Waves = r.Waves[:len(r.Waves)-1]
	}
	return r
}

// search places the machines of a fleet in a number of waves. Its tables are by machine, shard or zone, then wave.
type search struct {
	*fleet
	waves int
	level bool // routine ones go in the emptiest wave that can take them, not in the first
	tries int
	wave  []int // of each machine, -1 while it has none
	can   []bool
	open  []int // by machine: waves that can take it
	taken []int // by shard: holders away
	zoned []int // by zone: places taken
	all   []int // places taken
	votes []int
	sizes []float64
	big   float64 // the largest size asked
	near  [][]int // by machine: those that share a shard with it
	zone  [][]int // by zone: machines
}

func newSearch(f *fleet, waves int) *search {
	n := len(f.asks)
	s := &search{
		fleet: f, waves: waves, tries: triesEach*n + triesFree, wave: make([]int, n),
		can: make([]bool, n*waves), open: make([]int, n),
		taken: make([]int, len(f.spare)*waves), zoned: make([]int, len(f.zones)*waves), all: make([]int, waves),
		votes: make([]int, waves), sizes: make([]float64, waves), near: make([][]int, n), zone: make([][]int, len(f.zones)),
	}
	s.all[0], s.votes[0], s.sizes[0] = f.out, f.voter, f.cold
	for z, n := range f.busy {
		s.zoned[z*waves] = n
	}
	for sh, n := range f.away {
		s.taken[sh*waves] = n
	}
	byShard := make([][]int, len(f.spare))
	for i := range f.asks {
		for _, sh := range f.asks[i].shards {
			byShard[sh] = append(byShard[sh], i)
		}
		s.zone[f.asks[i].zone] = append(s.zone[f.asks[i].zone], i)
	}
	seen := make([]int, n)
	for i := range f.asks {
		s.wave[i] = -1
		for _, sh := range f.asks[i].shards {
			for _, k := range byShard[sh] {
				if k != i && seen[k] != i+1 {
					seen[k] = i + 1
					s.near[i] = append(s.near[i], k)
				}
			}
		}
		for w := 1; w < waves; w++ { // empty, and each can go alone
			s.can[i*waves+w] = true
		}
		s.open[i] = waves - 1
		s.look(i, 0)
		s.big = max(s.big, f.asks[i].size)
	}
	return s
}

// takes is how many holders, and what size, a machine takes from a wave.
func (c *candidate) takes(w int) (own int, size float64) {
	if c.cold && w == 0 {
		return 0, 0
	}
	return c.own, c.size
}

// look says anew whether a wave can take a machine.
func (s *search) look(i, w int) {
	was, c := s.can[i*s.waves+w], &s.asks[i]
	own, size := c.takes(w)
	is := s.all[w] < s.lim.MaxOut && s.zoned[c.zone*s.waves+w] < s.lim.MaxOutPerZone && !(c.voter && s.votes[w] > 0) &&
		(!s.lack || !c.replica || s.sizes[w]+size <= s.room+slip)
	for k := 0; is && k < len(c.shards); k++ {
		sh := c.shards[k]
		is = s.taken[sh*s.waves+w]+own <= s.spare[sh]
	}
	if is == was {
		return
	}
	s.can[i*s.waves+w] = is
	if is {
		s.open[i]++
	} else {
		s.open[i]--
	}
}

// put places a machine in a wave, by +1, or takes it back, by -1, and looks again at those that it matters to.
func (s *search) put(i, w, by int) {
	c := &s.asks[i]
	own, size := c.takes(w)
	s.wave[i] = w
	if by < 0 {
		s.wave[i] = -1
	}
	s.all[w] += by
	s.zoned[c.zone*s.waves+w] += by
	for _, sh := range c.shards {
		s.taken[sh*s.waves+w] += by * own
	}
	before := s.sizes[w]
	s.sizes[w] += float64(by) * size
	if c.voter {
		s.votes[w] += by
	}
	full := func(n, most int) bool { return n == most || n-by == most }
	switch {
	case full(s.all[w], s.lim.MaxOut) || c.voter || s.lack && max(before, s.sizes[w])+s.big > s.room:
		for k := range s.asks {
			s.look(k, w)
		}
	case full(s.zoned[c.zone*s.waves+w], s.lim.MaxOutPerZone):
		for _, k := range s.zone[c.zone] {
			s.look(k, w)
		}
		fallthrough
	default:
		for _, k := range s.near[i] {
			s.look(k, w)
		}
	}
}

// next is the machine to place: the first class, then the fewest waves left, then the most conflicted, then the first
// asked. ok is false if one is left without a wave.
func (s *search) next() (best int, ok bool) {
	best = -1
	for i := range s.asks {
		if s.wave[i] >= 0 {
			continue
		}
		if s.open[i] == 0 {
			return -1, false
		}
		if best < 0 || cmp.Or(cmp.Compare(s.asks[i].class, s.asks[best].class), cmp.Compare(s.open[i], s.open[best]),
			cmp.Compare(len(s.near[best]), len(s.near[i]))) < 0 {
			best = i
		}
	}
	return best, true
}

// place places what has no wave yet, done says how many have; false: not in so many waves, or not found in time.
func (s *search) place(done int) bool {
	if done == len(s.asks) {
		return true
	}
	i, ok := s.next()
	if !ok {
		return false
	}
	order := make([]int, 0, s.waves)
	for w, empty := 0, false; w < s.waves; w++ {
		if !s.can[i*s.waves+w] || empty && s.all[w] == 0 {
			continue // of empty ones the first does for all
		}
		empty = empty || w > 0 && s.all[w] == 0
		order = append(order, w)
	}
	if s.level && s.asks[i].class == Routine {
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.all[a], s.all[b]) })
	}
	for _, w := range order {
		if s.tries--; s.tries < 0 {
			return false
		}
		s.put(i, w, 1)
		if s.place(done + 1) {
			return true
		}
		s.put(i, w, -1)
	}
	return false
}
