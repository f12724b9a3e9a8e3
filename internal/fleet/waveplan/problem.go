// Package waveplan plans in which order machines go out for work. Machines that may be away together go in one wave; beside
// the plan stands a number of waves that no plan can go below. It is pure: no clock, goroutine, I/O or random number, and
// the same problem gives the same plan. A plan is only a proposal: the rules of package maintenance are checked again when a
// grant is applied, and nothing here can loosen them.
package waveplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"birchcart/internal/fleet/maintenance"
)

// Most asked machines are planned at once, by rank; the rest is counted in Result.Rest and planned as those are done.
// A plan of so many takes some tens of milliseconds. Twice as many take four times as long; half as many shorten how
// far ahead the order looks, which is still many waves.
const Most = 1000

// Class of an asked machine: the lower goes in the earlier waves.
type Class int

// Classes, in the order of the waves.
const (
	Reserved Class = iota // passed over too often: its turn is reserved (W5)
	Urgent
	Routine
)

// Machine is one line of the inventory as the plan sees it.
type Machine struct {
	Name, Zone string
	Replica    bool
	Voter      bool
	Cell       int     // of a replica
	Size       float64 // of a replica, in mean ones; 0 counts as 1
	Serves     bool    // a replica that is up and warm, or will be by itself: it counts as a holder from the second wave on
	Cold       bool    // serves, but not yet: no holder in the first wave
	Busy       bool    // in the plan already: it has a place in the first wave, and is no holder there
}

// Ask is one machine that waits to go. Several asks of one machine count as the first by class.
type Ask struct {
	Machine string
	Class   Class
}

// Problem is what a plan is made for.
type Problem struct {
	Limits    maintenance.Limits
	Machines  []Machine
	Asks      []Ask   // in the order of asking
	Load      float64 // in mean replicas kept busy
	LoadKnown bool    // false: the plan looks away from W3, by which nothing is granted until it is known
}

// Kept is an asked machine that no wave can take while the fleet is as it is, and the rule that keeps it.
type Kept struct{ Machine, Why string }

// Result is a plan. The first wave may go now, beside what is out already; it is empty where that leaves no room. Each
// next one may go once all before it are back and warm.
type Result struct {
	Waves [][]string // names: by class, then in the order of asking
	Bound int        // no plan has fewer waves
	Why   string     // the limit that the bound comes from
	Kept  []Kept
	Rest  int // asked beyond Most, not in the waves; the bound counts them
}

// String is the line for the log: the number of waves and the bound beside it.
func (r Result) String() string {
	n := 0
	for _, w := range r.Waves {
		n += len(w)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d machines in %d waves, at least %d", n, len(r.Waves), r.Bound)
	if r.Why != "" {
		fmt.Fprintf(&b, " (%s)", r.Why)
	}
	if len(r.Kept) > 0 {
		fmt.Fprintf(&b, ", %d kept (%s: %s)", len(r.Kept), r.Kept[0].Machine, r.Kept[0].Why)
	}
	if r.Rest > 0 {
		fmt.Fprintf(&b, ", %d planned later", r.Rest)
	}
	return b.String()
}

// fleet is the problem in numbers: what each shard, zone and the whole can spare.
type fleet struct {
	lim   maintenance.Limits
	reach int
	spare []int       // by shard: serving holders beyond those that must stay
	away  []int       // by shard: of these, how many do not serve in the first wave
	zones []string    // sorted
	busy  []int       // by zone: places taken in the first wave
	out   int         // places taken in the first wave
	voter int         // voters out in the first wave
	lack  bool        // W3: there is a limit on the size that may be away,
	room  float64     // this
	cold  float64     // W3: size that is away in the first wave
	asks  []candidate // by rank
	kept  []Kept
}

// candidate is an asked machine that some wave can take.
type candidate struct {
	name    string
	class   Class
	place   int // in the order of asking
	shards  []int
	zone    int
	size    float64 // that it takes from what is up and warm
	own     int     // 1 if it counts as a holder
	cold    bool    // in the first wave it counts as none, and is away already
	voter   bool
	replica bool
}

// slip is what sums of sizes may miss by in adding them up.
const slip = 1e-9

func newFleet(p Problem) *fleet {
	f := &fleet{lim: p.Limits, lack: p.LoadKnown}
	l := &f.lim
	f.reach = min(l.Reach, l.Cells)
	shards := max(0, min(l.Shards, l.Cells)) // shard s has the holders of s mod Cells
	f.spare, f.away = make([]int, shards), make([]int, shards)
	for s := range f.spare {
		f.spare[s] = -l.MinHolders
	}
	for _, m := range p.Machines {
		if !slices.Contains(f.zones, m.Zone) {
			f.zones = append(f.zones, m.Zone)
		}
	}
	slices.Sort(f.zones)
	f.busy = make([]int, len(f.zones))
	votersUp, size, byName := 0, 0.0, make(map[string]*Machine, len(p.Machines))
	for i := range p.Machines {
		m := &p.Machines[i]
		byName[m.Name] = m
		if m.Voter && m.Serves {
			votersUp++
		}
		if m.Busy {
			f.out++
			f.busy[f.zone(m.Zone)]++
			if m.Voter {
				f.voter++
			}
		}
		if !m.Replica || !m.Serves {
			continue
		}
		size += m.size()
		if m.Busy || m.Cold {
			f.cold += m.size()
		}
		for _, s := range f.shards(m.Cell) {
			f.spare[s]++
			if m.Busy || m.Cold {
				f.away[s]++
			}
		}
	}
	f.room = size - p.Load*(1+l.Headroom)
	f.rank(p, byName, votersUp)
	return f
}

// rank puts the asked machines in order, by class, then as they were asked for, and keeps back those that can not go.
func (f *fleet) rank(p Problem, byName map[string]*Machine, votersUp int) {
	at := map[string]int{}
	for i, a := range p.Asks {
		m := byName[a.Machine]
		if m == nil || m.Busy {
			continue // not in the inventory yet, or on its way
		}
		if k, twice := at[a.Machine]; twice {
			f.asks[k].class = min(f.asks[k].class, a.Class)
			continue
		}
		at[a.Machine] = len(f.asks)
		c := candidate{name: m.Name, class: a.Class, place: i, zone: f.zone(m.Zone), voter: m.Voter, replica: m.Replica}
		if m.Replica {
			c.shards = f.shards(m.Cell)
			if m.Serves {
				c.own, c.size, c.cold = 1, m.size(), m.Cold
			}
		}
		f.asks = append(f.asks, c)
	}
	f.asks = slices.DeleteFunc(f.asks, func(c candidate) bool {
		why := f.never(&c, byName[c.name], votersUp)
		if why != "" {
			f.kept = append(f.kept, Kept{c.name, why})
		}
		return why != ""
	})
	slices.SortStableFunc(f.asks, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.place, b.place))
	})
}

// never says why no wave can take a machine, or nothing.
func (f *fleet) never(c *candidate, m *Machine, votersUp int) string {
	l := &f.lim
	if m.Replica && (m.Cell < 0 || m.Cell >= l.Cells) {
		return fmt.Sprintf("W1: cell %d is not in a ring of %d", m.Cell, l.Cells)
	}
	for _, s := range c.shards {
		if f.spare[s] < c.own {
			return fmt.Sprintf("W1: shard %d would be left with %d holders up and warm, %d wanted",
				s, f.spare[s]+l.MinHolders-c.own, l.MinHolders)
		}
	}
	left := votersUp
	if m.Serves {
		left--
	}
	switch {
	case l.MaxOut < 1 || l.MaxOutPerZone < 1:
		return "W2: none may be out"
	case m.Voter && left < l.MinVoters:
		return fmt.Sprintf("W2: %d voters would be left up, %d wanted", left, l.MinVoters)
	case f.lack && m.Replica && c.size > f.room+slip:
		return fmt.Sprintf("W3: %.2f of the size may be away, this is %.2f", f.room, c.size)
	}
	return ""
}

func (f *fleet) zone(name string) int {
	i, _ := slices.BinarySearch(f.zones, name)
	return i
}

// shards are those that a cell holds.
func (f *fleet) shards(cell int) []int {
	if cell < 0 || cell >= f.lim.Cells {
		return nil
	}
	out := make([]int, 0, f.reach)
	for j := range f.reach {
		if s := (cell - j + f.lim.Cells) % f.lim.Cells; s < len(f.spare) {
			out = append(out, s)
		}
	}
	return out
}

func (m *Machine) size() float64 {
	if m.Size == 0 {
		return 1
	}
	return m.Size
}
