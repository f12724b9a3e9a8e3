package migrate

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// DefaultMoveDuration is what one move is taken to need from its offer to its adoption while none has been seen: two rounds of polls.
// Twice as much: a forecast is late by as much where sessions in flight are the limit; half: it is early.
const DefaultMoveDuration = 2 * time.Second

// MaxRequiredChanges lines say what would have to give; the rest are counted in the last.
const MaxRequiredChanges = 16

// Forecast is what a swap comes to, from now on, if nobody opens or ends a session meanwhile.
type Forecast struct {
	Moves           int // this plan makes
	Bound           int // no plan makes fewer, see bound
	Waves           int
	Unplaced        int           // sessions for which there will be no room anywhere when their owner goes
	End             time.Duration // agreed time by which the last machine is back; 0: never
	MeetsDeadlines  bool          // all deadlines are met, by this forecast
	RequiredChanges []string      // what would have to give, in words
	// AtRisk are sessions with an unsafe query that may be open longer than their owner's deadline, or the swap's: no limit
	// that gives changes that. The first MaxRequiredChanges.
	AtRisk []session.ID
}

// String is the line for the log.
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

func (f *Forecast) requireChange(format string, args ...any) {
	f.MeetsDeadlines = false
	f.RequiredChanges = append(f.RequiredChanges, fmt.Sprintf(format, args...))
}

// turn is what goes out together.
type wave struct {
	rank    int
	members []int // indexes of co-ordinators
	moves   int
}

// turns are the waves still to come, in order; those that leave now are the first.
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

// bound is a number of moves that no plan goes below. Each session whose owner goes has to move at least once: that is their
// sum. A move to one that goes later is followed by another; a move to one that stays or is back need not be. Look at the time
// at which a wave is out: the sessions of all owners that went by then are elsewhere, at most as many as there is room for at those
// that stay or are back; each of the others sits at one that goes later, has made a move there, and has one more before
// it. So to the sum comes, for the wave where that is the most, what was off by then less that room. Before the first wave
// nobody is back: without one that stays, all of the first wave's sessions move twice.
func minMoves(cs []Coordinator, waves []wave, owned []int) int {
	sum, safe, extra := 0, 0, 0
	for i := range cs {
		if c := &cs[i]; c.Live && c.Rank < 0 && !c.Leaving {
			safe += max(0, c.maxSessions()-owned[i])
		}
	}
	for _, w := range waves {
		for _, i := range w.members {
			sum += owned[i]
		}
		extra = max(extra, sum-safe)
		for _, i := range w.members {
			safe += cs[i].maxSessions()
		}
	}
	return sum + extra
}

// NewForecast plays the whole order by numbers of sessions. takes is how long a move was seen to take; 0: DefaultMoveDuration.
func NewForecast(now time.Duration, v View, takes time.Duration) Forecast {
	if takes <= 0 {
		takes = DefaultMoveDuration
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
	f.estimateTimes(now, v, waves, takes)
	if n := len(f.RequiredChanges); n > MaxRequiredChanges {
		f.RequiredChanges = append(f.RequiredChanges[:MaxRequiredChanges-1], fmt.Sprintf("%d more of the kind", n-MaxRequiredChanges+1))
	}
	return f
}

// play moves each wave's sessions to those that stay or are back, the rest to those that go last.
func (f *Forecast) simulateMoves(cs []Coordinator, waves []wave, owned []int) {
	safe := 0
	for i := range cs {
		if c := &cs[i]; c.Live && c.Rank < 0 && !c.Leaving {
			safe += c.spareSessions(owned[i], 0, 0)
		}
	}
	for k := range waves {
		load := 0
		for _, i := range waves[k].members {
			load += owned[i]
		}
		fits := min(load, safe)
		safe -= fits
		left := load - fits
		for l := len(waves) - 1; l > k && left > 0; l-- {
			for _, i := range waves[l].members {
				if c := &cs[i]; c.Live {
					n := min(left, c.spareSessions(owned[i], 0, 0))
					owned[i] += n
					left -= n
				}
			}
		}
		if left > 0 {
			f.Unplaced += left
			first := cs[waves[k].members[0]].Name
			f.requireChange("room for %d more sessions at the others while %s is away", left, first)
		}
		waves[k].moves = load - left
		f.Moves += load - left
		for _, i := range waves[k].members {
			safe += cs[i].maxSessions()
		}
	}
}

// unsure names what can not be promised.
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
				f.requireChange("session %s at %s: no move can be promised by %s, an unsafe query of it may be open until %s", u.ID, c.Name,
					formatTime(until), formatTime(u.Due))
			}
		}
	}
}

// slots says at which replicas the slots are fewer than all sessions need, each co-ordinator for itself.
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

// times says when each wave ends, and what would make the deadlines.
func (f *Forecast) estimateTimes(now time.Duration, v View, waves []wave, takes time.Duration) {
	limits, _ := v.Book.Limits()
	rate := min(float64(limits.PerMinute)/60, float64(limits.InFlight)/takes.Seconds()) // in a second
	if rate <= 0 && f.Moves > 0 {
		f.requireChange("a limit of more than none: %d in flight, %d a minute", limits.InFlight, limits.PerMinute)
		return
	}
	at := now
	for k := range waves {
		if waves[k].moves > 0 {
			at += max(takes, time.Duration(float64(waves[k].moves)/rate*float64(time.Second)))
		}
		for _, i := range waves[k].members {
			if c := &v.Coordinators[i]; c.Leaving && c.Deadline > 0 && at > c.Deadline {
				f.requireFaster(c.Name, limits, waves[k].moves, c.Deadline-now, at, takes)
			}
		}
		at += v.Outage
	}
	f.End = at
	if v.Deadline > 0 && at > v.Deadline {
		if left := v.Deadline - now - time.Duration(len(waves))*v.Outage; left > 0 {
			f.requireFaster("the swap", limits, f.Moves, left, at, takes)
		} else {
			f.requireChange("a deadline of %s or later for the swap, or more out at once: %d waves of %v are longer than what is left",
				formatTime(at), len(waves), v.Outage)
		}
	}
}

// faster says what would get so many moves done in what is left.
func (f *Forecast) requireFaster(what string, l session.Limits, moves int, left, at, takes time.Duration) {
	if left < takes {
		f.requireChange("a deadline of %s or later for %s", formatTime(at), what)
		return
	}
	need, words := float64(moves)/left.Seconds(), ""
	if n := int(math.Ceil(need * takes.Seconds())); n > l.InFlight {
		words = fmt.Sprintf("%d in flight instead of %d", n, l.InFlight)
	}
	if n := int(math.Ceil(need * 60)); n > l.PerMinute {
		if words != "" {
			words += " and "
		}
		words += fmt.Sprintf("%d a minute instead of %d", n, l.PerMinute)
	}
	if words == "" {
		words = "waves that move more evenly"
	}
	f.requireChange("%s, or a deadline of %s or later for %s", words, formatTime(at), what)
}

// clock is an agreed time as people read it: UTC, rounded up to the second.
func formatTime(at time.Duration) string {
	return time.Unix(0, int64(at+time.Second-1)).UTC().Format(time.RFC3339)
}
