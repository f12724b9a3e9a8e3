package waveplan

import (
	"cmp"
	"slices"
)

const (
	// baseTries and triesPerMachine bound the search for a plan of a given number of waves: a placing for each machine, so many
	// more for each to take wrong ones back, and a free number that makes plans of a few machines exact. Twice as many: a
	// plan that can not be had is given up later, by as much time. Half: a wave more where the limits are tight.
	triesPerMachine = 3
	baseTries       = 2000
)

// Plan makes a plan. It tries as many waves as the bound says, and then more, until all machines have their place.
// Looking ahead, it always places next the one with the fewest waves left that can take it, of these the one whose
// shards are the most asked for, in the first wave that can take it; a placing that leaves another machine none is taken
// back. Full waves first are what operators want, but can leave what is alike for the last ones, so that level ones are
// tried too.
func Plan(p Problem) Result {
	f := newFleet(p)
	r := Result{Excluded: f.excluded}
	r.Bound, r.BoundReason = f.bound()
	if len(f.candidates) > MaxPlanned {
		r.Deferred = len(f.candidates) - MaxPlanned
		f.candidates = f.candidates[:MaxPlanned]
	}
	n := len(f.candidates)
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
		if s.balanced = true; s.place(0) {
			break
		}
	}
	r.Waves = make([][]string, s.waves)
	for i, w := range s.assigned {
		r.Waves[w] = append(r.Waves[w], f.candidates[i].name)
	}
	for len(r.Waves[len(r.Waves)-1]) == 0 {
		r.Waves = r.Waves[:len(r.Waves)-1]
	}
	return r
}

// search places the machines of a fleet in a number of waves. Its tables are by machine, shard or zone, then wave.
type search struct {
	*fleet
	waves           int
	balanced        bool // routine ones go in the emptiest wave that can take them, not in the first
	tries           int
	assigned        []int // of each machine, -1 while it has none
	allowed         []bool
	openWaves       []int // by machine: waves that can take it
	waveHoldersAway []int // by shard: holders away
	waveZoneOut     []int // by zone: places taken
	waveOut         []int // places taken
	waveVotersOut   []int
	waveSizeAway    []float64
	maxSize         float64 // the largest size asked
	neighbours      [][]int // by machine: those that share a shard with it
	zoneMembers     [][]int // by zone: machines
}

func newSearch(f *fleet, waves int) *search {
	n := len(f.candidates)
	s := &search{
		fleet: f, waves: waves, tries: triesPerMachine*n + baseTries, assigned: make([]int, n),
		allowed: make([]bool, n*waves), openWaves: make([]int, n),
		waveHoldersAway: make([]int, len(f.spare)*waves), waveZoneOut: make([]int, len(f.zones)*waves), waveOut: make([]int, waves),
		waveVotersOut: make([]int, waves), waveSizeAway: make([]float64, waves), neighbours: make([][]int, n), zoneMembers: make([][]int, len(f.zones)),
	}
	s.waveOut[0], s.waveVotersOut[0], s.waveSizeAway[0] = f.out, f.votersOut, f.sizeAway
	for z, n := range f.outByZone {
		s.waveZoneOut[z*waves] = n
	}
	for sh, n := range f.awayInFirst {
		s.waveHoldersAway[sh*waves] = n
	}
	byShard := make([][]int, len(f.spare))
	for i := range f.candidates {
		for _, sh := range f.candidates[i].shards {
			byShard[sh] = append(byShard[sh], i)
		}
		s.zoneMembers[f.candidates[i].zone] = append(s.zoneMembers[f.candidates[i].zone], i)
	}
	seen := make([]int, n)
	for i := range f.candidates {
		s.assigned[i] = -1
		for _, sh := range f.candidates[i].shards {
			for _, k := range byShard[sh] {
				if k != i && seen[k] != i+1 {
					seen[k] = i + 1
					s.neighbours[i] = append(s.neighbours[i], k)
				}
			}
		}
		for w := 1; w < waves; w++ { // empty, and each can go alone
			s.allowed[i*waves+w] = true
		}
		s.openWaves[i] = waves - 1
		s.updateAllowed(i, 0)
		s.maxSize = max(s.maxSize, f.candidates[i].size)
	}
	return s
}

// takes is how many holders, and what size, a machine takes from a wave.
func (c *candidate) usage(w int) (own int, size float64) {
	if c.cold && w == 0 {
		return 0, 0
	}
	return c.holders, c.size
}

// look says anew whether a wave can take a machine.
func (s *search) updateAllowed(i, w int) {
	was, c := s.allowed[i*s.waves+w], &s.candidates[i]
	own, size := c.usage(w)
	is := s.waveOut[w] < s.limits.MaxOut && s.waveZoneOut[c.zone*s.waves+w] < s.limits.MaxOutPerZone && !(c.voter && s.waveVotersOut[w] > 0) &&
		(!s.loadKnown || !c.replica || s.waveSizeAway[w]+size <= s.sizeBudget+sizeTolerance)
	for k := 0; is && k < len(c.shards); k++ {
		sh := c.shards[k]
		is = s.waveHoldersAway[sh*s.waves+w]+own <= s.spare[sh]
	}
	if is == was {
		return
	}
	s.allowed[i*s.waves+w] = is
	if is {
		s.openWaves[i]++
	} else {
		s.openWaves[i]--
	}
}

// put places a machine in a wave, by +1, or takes it back, by -1, and looks again at those that it matters to.
func (s *search) assign(i, w, by int) {
	c := &s.candidates[i]
	own, size := c.usage(w)
	s.assigned[i] = w
	if by < 0 {
		s.assigned[i] = -1
	}
	s.waveOut[w] += by
	s.waveZoneOut[c.zone*s.waves+w] += by
	for _, sh := range c.shards {
		s.waveHoldersAway[sh*s.waves+w] += by * own
	}
	before := s.waveSizeAway[w]
	s.waveSizeAway[w] += float64(by) * size
	if c.voter {
		s.waveVotersOut[w] += by
	}
	full := func(n, most int) bool { return n == most || n-by == most }
	switch {
	case full(s.waveOut[w], s.limits.MaxOut) || c.voter || s.loadKnown && max(before, s.waveSizeAway[w])+s.maxSize > s.sizeBudget:
		for k := range s.candidates {
			s.updateAllowed(k, w)
		}
	case full(s.waveZoneOut[c.zone*s.waves+w], s.limits.MaxOutPerZone):
		for _, k := range s.zoneMembers[c.zone] {
			s.updateAllowed(k, w)
		}
		fallthrough
	default:
		for _, k := range s.neighbours[i] {
			s.updateAllowed(k, w)
		}
	}
}

// next is the machine to place: the first class, then the fewest waves left, then the most conflicted, then the first
// asked. ok is false if one is left without a wave.
func (s *search) next() (best int, ok bool) {
	best = -1
	for i := range s.candidates {
		if s.assigned[i] >= 0 {
			continue
		}
		if s.openWaves[i] == 0 {
			return -1, false
		}
		if best < 0 || cmp.Or(cmp.Compare(s.candidates[i].class, s.candidates[best].class), cmp.Compare(s.openWaves[i], s.openWaves[best]),
			cmp.Compare(len(s.neighbours[best]), len(s.neighbours[i]))) < 0 {
			best = i
		}
	}
	return best, true
}

// place places what has no wave yet, done says how many have; false: not in so many waves, or not found in time.
func (s *search) place(done int) bool {
	if done == len(s.candidates) {
		return true
	}
	i, ok := s.next()
	if !ok {
		return false
	}
	order := make([]int, 0, s.waves)
	for w, empty := 0, false; w < s.waves; w++ {
		if !s.allowed[i*s.waves+w] || empty && s.waveOut[w] == 0 {
			continue // of empty ones the first does for all
		}
		empty = empty || w > 0 && s.waveOut[w] == 0
		order = append(order, w)
	}
	if s.balanced && s.candidates[i].class == Routine {
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.waveOut[a], s.waveOut[b]) })
	}
	for _, w := range order {
		if s.tries--; s.tries < 0 {
			return false
		}
		s.assign(i, w, 1)
		if s.place(done + 1) {
			return true
		}
		s.assign(i, w, -1)
	}
	return false
}
