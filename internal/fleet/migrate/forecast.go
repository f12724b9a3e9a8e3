package migrate

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// DefaultMoveDuration is the assumed duration of a move, from its offer to its adoption, until one has been observed: two rounds
// of polls. Where the limit on sessions in flight determines the rate, twice as long makes a forecast too late by the same factor,
// and half of it makes it too early.
const DefaultMoveDuration = 2 * time.Second

// MaxRequiredChanges limits the entries of Forecast.RequiredChanges; the last entry counts the ones left out.
const MaxRequiredChanges = 16

// Forecast estimates the rest of a swap, assuming that no session is opened or ended meanwhile.
type Forecast struct {
	Moves           int // moves of this plan
	Bound           int // lower bound on the moves of any plan, see minMoves
	Waves           int
	Unplaced        int           // sessions that no other co-ordinator has capacity for when their owner goes out
	End             time.Duration // agreed time by which the last machine is back; 0: never
	MeetsDeadlines  bool          // whether all deadlines are met
	RequiredChanges []string      // what would have to change to meet the deadlines
	// AtRisk lists the first MaxRequiredChanges sessions with an unsafe query that may be open past the deadline of their owner or
	// of the swap. No change of a limit helps them.
	AtRisk []session.ID
}

// String returns the line for the log.
func (f Forecast) String() string {
	s := fmt.Sprintf("%d moves in %d waves, at least %d", f.Moves, f.Waves, f.Bound)
	if f.End > 0 {
		s += ", ends " + time.Unix(0, int64(f.End)).UTC().Format(time.RFC3339)
	}
	if !f.MeetsDeadlines {
		s += ", deadlines are not met"
	}
	return s
}

// requireChange records that a deadline is missed or sessions are unplaced, and what would have to change.
func (f *Forecast) requireChange(format string, args ...any) {
	f.MeetsDeadlines = false
	f.RequiredChanges = append(f.RequiredChanges, fmt.Sprintf(format, args...))
}

// wave is a group of co-ordinators that go out together.
type wave struct {
	rank    int
	members []int // indexes of co-ordinators
	moves   int
}

// remainingWaves returns the waves still to come, in order. The co-ordinators that are leaving now form the first wave.
func remainingWaves(cs []Coordinator) []wave {
	var out []wave
	at := map[int]int{}
	for i := range cs {
		rank := cs[i].Rank
		if cs[i].Leaving {
			rank = math.MinInt
		} else if rank < 0 {
			continue
		}
		k, ok := at[rank]
		if !ok {
			k, at[rank] = len(out), len(out)
			out = append(out, wave{rank: rank})
		}
		out[k].members = append(out[k].members, i)
	}
	slices.SortFunc(out, func(a, b wave) int { return cmp.Compare(a.rank, b.rank) })
	return out
}

// minMoves returns a lower bound on the number of moves of any plan.
//
// Each session whose owner goes out has to move at least once. A session that moves to a co-ordinator that goes out later has to
// move again; one that moves to a co-ordinator that stays or is back does not. Consider the moment at which a wave is out. The
// sessions of all owners that have gone out so far are at other co-ordinators, and those that stay or are back hold at most as
// many of them as they have capacity for. Each of the others has moved to a co-ordinator that goes out later and has another move
// ahead of it. The bound is therefore the number of sessions to move, plus the largest excess over all waves: the sessions moved
// off so far minus that capacity. Before the first wave no co-ordinator is back, so without one that stays all sessions of the
// first wave move twice.
func minMoves(cs []Coordinator, waves []wave, owned []int) int {
	sum, availableCapacity, extra := 0, 0, 0
	for i := range cs {
		if c := &cs[i]; c.Live && c.Rank < 0 && !c.Leaving {
			availableCapacity += max(0, c.maxSessions()-owned[i])
		}
	}
	for _, w := range waves {
		for _, i := range w.members {
			sum += owned[i]
		}
		extra = max(extra, sum-availableCapacity)
		for _, i := range w.members {
			availableCapacity += cs[i].maxSessions()
		}
	}
	return sum + extra
}

// NewForecast simulates all remaining waves with counts of sessions. moveDuration is the observed duration of a move; 0:
// DefaultMoveDuration.
func NewForecast(now time.Duration, v View, moveDuration time.Duration) Forecast {
	if moveDuration <= 0 {
		moveDuration = DefaultMoveDuration
	}
	cs := v.Coordinators
	waves, owned := remainingWaves(cs), make([]int, len(cs))
	for i := range cs {
		owned[i] = v.Book.Owned(cs[i].Name)
	}
	f := Forecast{Waves: len(waves), MeetsDeadlines: true, Bound: minMoves(cs, waves, owned)}
	if len(waves) == 0 {
		f.End = now
		return f
	}
	f.findAtRisk(v)
	f.checkSlots(v, owned)
	f.simulateMoves(cs, waves, owned)
	f.estimateTimes(now, v, waves, moveDuration)
	if n := len(f.RequiredChanges); n > MaxRequiredChanges {
		f.RequiredChanges = append(f.RequiredChanges[:MaxRequiredChanges-1], fmt.Sprintf("%d more required changes", n-MaxRequiredChanges+1))
	}
	return f
}

// simulateMoves moves the sessions of each wave to co-ordinators that stay or are back, and the rest to those that go out last.
func (f *Forecast) simulateMoves(cs []Coordinator, waves []wave, owned []int) {
	available := 0
	for i := range cs {
		if c := &cs[i]; c.Live && c.Rank < 0 && !c.Leaving {
			available += c.spareSessions(owned[i], 0, 0)
		}
	}
	for k := range waves {
		leaving := 0
		for _, i := range waves[k].members {
			leaving += owned[i]
		}
		placed := min(leaving, available)
		available -= placed
		unplaced := leaving - placed
		for l := len(waves) - 1; l > k && unplaced > 0; l-- {
			for _, i := range waves[l].members {
				if c := &cs[i]; c.Live {
					n := min(unplaced, c.spareSessions(owned[i], 0, 0))
					owned[i] += n
					unplaced -= n
				}
			}
		}
		if unplaced > 0 {
			f.Unplaced += unplaced
			first := cs[waves[k].members[0]].Name
			f.requireChange("capacity for %d more sessions at the other co-ordinators while %s is out", unplaced, first)
		}
		waves[k].moves = leaving - unplaced
		f.Moves += leaving - unplaced
		for _, i := range waves[k].members {
			available += cs[i].maxSessions()
		}
	}
}

// findAtRisk records the sessions that may not be movable by their deadline because of an unsafe query.
func (f *Forecast) findAtRisk(v View) {
	for i := range v.Coordinators {
		c := &v.Coordinators[i]
		until := c.Deadline
		if !c.Leaving || until == 0 || v.Deadline > 0 && v.Deadline < until {
			until = v.Deadline
		}
		if until == 0 || !c.Leaving && c.Rank < 0 {
			continue
		}
		for _, u := range c.Unsafe[:min(len(c.Unsafe), MaxUnsafe)] {
			if u.Due > until && len(f.AtRisk) < MaxRequiredChanges {
				f.AtRisk = append(f.AtRisk, u.ID)
				f.requireChange("session %s at %s: may not be movable by %s because an unsafe query may be open until %s", u.ID, c.Name,
					formatTime(until), formatTime(u.Due))
			}
		}
	}
}

// checkSlots records the replicas that have fewer slots than all sessions need, with the need rounded up for each co-ordinator.
func (f *Forecast) checkSlots(v View, owned []int) {
	if v.SessionsPerSlot <= 0 || v.Slots == nil {
		return
	}
	need := 0
	for _, n := range owned {
		need += (n + v.SessionsPerSlot - 1) / v.SessionsPerSlot
	}
	for _, r := range v.Replicas {
		if n := v.Slots.Cap(r); n < need {
			f.requireChange("%d slots at %s instead of %d", need, r, n)
		}
	}
}

// estimateTimes estimates the end of each wave, and records what would have to change to meet the deadlines.
func (f *Forecast) estimateTimes(now time.Duration, v View, waves []wave, moveDuration time.Duration) {
	limits, _ := v.Book.Limits()
	rate := min(float64(limits.PerMinute)/60, float64(limits.InFlight)/moveDuration.Seconds()) // moves a second
	if rate <= 0 && f.Moves > 0 {
		f.requireChange("limits above zero: %d in flight, %d a minute", limits.InFlight, limits.PerMinute)
		return
	}
	at := now
	for k := range waves {
		if waves[k].moves > 0 {
			at += max(moveDuration, time.Duration(float64(waves[k].moves)/rate*float64(time.Second)))
		}
		for _, i := range waves[k].members {
			if c := &v.Coordinators[i]; c.Leaving && c.Deadline > 0 && at > c.Deadline {
				f.requireFaster(c.Name, limits, waves[k].moves, c.Deadline-now, at, moveDuration)
			}
		}
		at += v.Outage
	}
	f.End = at
	if v.Deadline > 0 && at > v.Deadline {
		if left := v.Deadline - now - time.Duration(len(waves))*v.Outage; left > 0 {
			f.requireFaster("the swap", limits, f.Moves, left, at, moveDuration)
		} else {
			f.requireChange("a deadline of %s or later for the swap, or more out at once: %d waves of %v take longer than the time left",
				formatTime(at), len(waves), v.Outage)
		}
	}
}

// requireFaster records which limits would allow the given number of moves in the time left, and the deadline that would be met
// without a change.
func (f *Forecast) requireFaster(subject string, l session.Limits, moves int, left, end, moveDuration time.Duration) {
	if left < moveDuration {
		f.requireChange("a deadline of %s or later for %s", formatTime(end), subject)
		return
	}
	rate, change := float64(moves)/left.Seconds(), ""
	if n := int(math.Ceil(rate * moveDuration.Seconds())); n > l.InFlight {
		change = fmt.Sprintf("%d in flight instead of %d", n, l.InFlight)
	}
	if n := int(math.Ceil(rate * 60)); n > l.PerMinute {
		if change != "" {
			change += " and "
		}
		change += fmt.Sprintf("%d a minute instead of %d", n, l.PerMinute)
	}
	if change == "" {
		change = "more even waves"
	}
	f.requireChange("%s, or a deadline of %s or later for %s", change, formatTime(end), subject)
}

// formatTime formats an agreed time in UTC, rounded up to the second.
func formatTime(at time.Duration) string {
	return time.Unix(0, int64(at+time.Second-1)).UTC().Format(time.RFC3339)
}
