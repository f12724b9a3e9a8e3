package waveplan

import (
	"cmp"
	"slices"
)

const (
	// triesPerMachine and baseTries bound the search for a plan with a given number of waves: one assignment for each machine and
	// triesPerMachine-1 more for each to undo wrong ones, plus baseTries, which makes plans of a few machines exact. Twice as
	// many would double the time until an impossible number of waves is given up; half as many would cost one more wave where the
	// limits are tight.
	triesPerMachine = 3
	baseTries       = 2000
)

// Plan computes a plan. It tries the number of waves that the bound allows, and then larger numbers, until every machine has a
// wave. The search assigns next the machine with the fewest waves left that can take it, of these the one that shares shards with
// the most other requested machines, to the first wave that can take it; an assignment that leaves another machine without a wave
// is undone. Operators want full waves first, but filling them can leave machines with the same constraints for the last waves,
// so balanced waves are tried too.
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
		// With one wave for each machine and one more, an empty wave is always left for the next machine, so the loop ends.
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

// search assigns the machines of a fleet to a number of waves. Its tables are indexed by machine, shard or zone, then by wave.
type search struct {
	*fleet
	waves           int
	balanced        bool // routine machines go in the emptiest wave that can take them, not in the first one
	tries           int
	assigned        []int  // by machine: its wave, or -1
	allowed         []bool // by machine and wave: the wave can take the machine
	openWaves       []int  // by machine: number of waves that can take it
	waveHoldersAway []int  // by shard and wave: holders away
	waveZoneOut     []int  // by zone and wave: machines out
	waveOut         []int  // by wave: machines out
	waveVotersOut   []int
	waveSizeAway    []float64
	maxSize         float64 // the largest size of a candidate
	neighbours      [][]int // by machine: the candidates that share a shard with it
	zoneMembers     [][]int // by zone: its candidates
}

// newSearch returns a search in which no machine is assigned yet.
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
		for w := 1; w < waves; w++ { // later waves are empty, and each candidate can go alone
			s.allowed[i*waves+w] = true
		}
		s.openWaves[i] = waves - 1
		s.updateAllowed(i, 0)
		s.maxSize = max(s.maxSize, f.candidates[i].size)
	}
	return s
}

// usage returns how many holders and what size the machine takes from wave w.
func (c *candidate) usage(w int) (holders int, size float64) {
	if c.cold && w == 0 {
		return 0, 0
	}
	return c.holders, c.size
}

// updateAllowed recomputes whether wave w can take machine i.
func (s *search) updateAllowed(i, w int) {
	wasAllowed, c := s.allowed[i*s.waves+w], &s.candidates[i]
	holders, size := c.usage(w)
	isAllowed := s.waveOut[w] < s.limits.MaxOut && s.waveZoneOut[c.zone*s.waves+w] < s.limits.MaxOutPerZone && !(c.voter && s.waveVotersOut[w] > 0) &&
		(!s.loadKnown || !c.replica || s.waveSizeAway[w]+size <= s.sizeBudget+sizeTolerance)
	for k := 0; isAllowed && k < len(c.shards); k++ {
		sh := c.shards[k]
		isAllowed = s.waveHoldersAway[sh*s.waves+w]+holders <= s.spare[sh]
	}
	if isAllowed == wasAllowed {
		return
	}
	s.allowed[i*s.waves+w] = isAllowed
	if isAllowed {
		s.openWaves[i]++
	} else {
		s.openWaves[i]--
	}
}

// assign assigns machine i to wave w if delta is +1, or undoes that if delta is -1, and updates the candidates that are affected.
func (s *search) assign(i, w, delta int) {
	c := &s.candidates[i]
	holders, size := c.usage(w)
	s.assigned[i] = w
	if delta < 0 {
		s.assigned[i] = -1
	}
	s.waveOut[w] += delta
	s.waveZoneOut[c.zone*s.waves+w] += delta
	for _, sh := range c.shards {
		s.waveHoldersAway[sh*s.waves+w] += delta * holders
	}
	before := s.waveSizeAway[w]
	s.waveSizeAway[w] += float64(delta) * size
	if c.voter {
		s.waveVotersOut[w] += delta
	}
	atLimit := func(n, limit int) bool { return n == limit || n-delta == limit }
	switch {
	case atLimit(s.waveOut[w], s.limits.MaxOut) || c.voter || s.loadKnown && max(before, s.waveSizeAway[w])+s.maxSize > s.sizeBudget:
		for k := range s.candidates {
			s.updateAllowed(k, w)
		}
	case atLimit(s.waveZoneOut[c.zone*s.waves+w], s.limits.MaxOutPerZone):
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

// next returns the machine to assign next: the first by class, then the one with the fewest waves left, then the one with the
// most neighbours, then the first by request. ok is false if a machine has no wave left.
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

// place assigns the machines that have no wave yet; done is the number of those that have one. It returns false if the number of
// waves is too small or no plan was found within the allowed tries.
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
			continue // empty waves are equivalent: only the first is tried
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
