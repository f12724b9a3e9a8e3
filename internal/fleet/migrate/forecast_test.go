package migrate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchcart/internal/fleet/session"
)

// countBook is a Book that only has the numbers of sessions and the limits.
type countBook struct {
	Book
	owned  map[string]int
	limits session.Limits
}

func (o *countBook) Owned(co string) int           { return o.owned[co] }
func (o *countBook) Limits() (session.Limits, int) { return o.limits, 1 }

// rollingView returns a view of n co-ordinators that go out in waves of waveSize, each with owned sessions and capacity for
// maxSessions.
func rollingView(n, owned, maxSessions, waveSize int) View {
	o := &countBook{owned: map[string]int{}, limits: session.Limits{InFlight: 100, PerMinute: 6000}}
	v := View{Book: o, Outage: time.Minute}
	for i := range n {
		name := fmt.Sprintf("c%03d", i)
		o.owned[name] = owned
		v.Coordinators = append(v.Coordinators, Coordinator{Name: name, Zone: fmt.Sprintf("z%d", i%3), Live: true, Rank: i / waveSize,
			Capacity: Capacity{MaxSessions: maxSessions, OwnedAtReport: owned, MaxQueries: 1 << 20, FreeMemory: 1 << 40}})
	}
	return v
}

// The forecast gives the number of moves and the end of a swap, and names limits that would meet a missed deadline.
func TestForecast(t *testing.T) {
	const s = time.Second
	slow := rollingView(10, 200, 300, 1)
	slow.Book.(*countBook).limits, slow.Deadline = session.Limits{InFlight: 4, PerMinute: 60}, 1200*s
	leaving := rollingView(10, 200, 300, 1)
	leaving.Coordinators[3].Leaving, leaving.Coordinators[3].Deadline = true, 1001*s
	spare := rollingView(10, 200, 300, 1)
	spare.Coordinators[9].Rank = RankNone
	full := rollingView(4, 100, 100, 1)
	for _, c := range []struct {
		name         string
		v            View
		moves, bound int
		end          time.Duration
		unplaced     int
		change       string
	}{
		{"no co-ordinator is back yet: the first wave moves twice", rollingView(10, 200, 300, 1), 2200, 2200, 1000*s + 10*time.Minute + 44*s, 0, ""},
		{"two at once", rollingView(10, 200, 300, 2), 2400, 2400, 1000*s + 5*time.Minute + 48*s, 0, ""},
		{"a co-ordinator that stays has capacity for half of them", spare, 1900, 1900, 1000*s + 9*time.Minute + 38*s, 0, ""},
		{"no capacity anywhere", full, 300, 500, 1000*s + 4*time.Minute + 6*s, 100, "capacity for 100 more sessions at the other co-ordinators while c000 is out"},
		{"too slow", slow, 2200, 2200, 1000*s + 10*time.Minute + 2200*s, 0, "or more out at once: 10 waves of 1m0s take longer than the time left"},
		{"deadline of one co-ordinator", leaving, 2200, 2200, 1000*s + 10*time.Minute + 44*s, 0,
			"a deadline of 1970-01-01T00:16:44Z or later for c003"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewForecast(1000*s, c.v, 2*s)
			if f.Moves != c.moves || f.Bound != c.bound || f.End != c.end || f.Unplaced != c.unplaced || f.MeetsDeadlines != (c.change == "") {
				t.Errorf("%+v, ends %v", f, f.End)
			}
			if !strings.Contains(strings.Join(f.RequiredChanges, "; "), c.change) {
				t.Errorf("required changes %q", f.RequiredChanges)
			}
		})
	}
	slow.Deadline = 1000*s + 20*time.Minute // half of this time is left for moves
	f := NewForecast(1000*s, slow, 2*s)
	want := "8 in flight instead of 4 and 220 a minute instead of 60, or a deadline of 1970-01-01T01:03:20Z or later for the swap"
	if len(f.RequiredChanges) != 1 || f.RequiredChanges[0] != want {
		t.Errorf("%q", f.RequiredChanges)
	}
	slow.Book.(*countBook).limits = session.Limits{InFlight: 8, PerMinute: 220}
	if f := NewForecast(1000*s, slow, 2*s); !f.MeetsDeadlines {
		t.Errorf("the required changes do not meet the deadline: %v", f.RequiredChanges)
	}
}

// No random placement of the sessions, wave by wave, needs fewer moves than the bound, and neither does the forecast.
func TestNoPlacementNeedsFewerMovesThanBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "n")
		v := rollingView(n, 0, 0, 1)
		owned := v.Book.(*countBook).owned
		for i := range v.Coordinators {
			c := &v.Coordinators[i]
			c.Rank = rapid.IntRange(RankNone, n-1).Draw(t, "rank")
			c.Capacity.MaxSessions = rapid.IntRange(0, 12).Draw(t, "room")
			owned[c.Name] = rapid.IntRange(0, c.Capacity.MaxSessions).Draw(t, "sessions")
			c.Capacity.OwnedAtReport = owned[c.Name]
		}
		f := NewForecast(0, v, 0)
		if f.Unplaced == 0 && f.Moves < f.Bound {
			t.Fatalf("forecast of %d moves, bound %d", f.Moves, f.Bound)
		}
		at := make([]int, n) // sessions by co-ordinator
		for i := range at {
			at[i] = owned[v.Coordinators[i].Name]
		}
		moves := 0
		for _, w := range remainingWaves(v.Coordinators) {
			for _, from := range w.members {
				for ; at[from] > 0; at[from]-- {
					var to []int
					for i := range at {
						if v.Coordinators[i].Rank != v.Coordinators[from].Rank && at[i] < v.Coordinators[i].Capacity.MaxSessions {
							to = append(to, i)
						}
					}
					if len(to) == 0 {
						return // this placement cannot be completed
					}
					at[rapid.SampledFrom(to).Draw(t, "to")]++
					moves++
				}
			}
		}
		if moves < f.Bound {
			t.Fatalf("%d moves were enough, the bound is %d", moves, f.Bound)
		}
	})
}
