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

// MaxPlanned asked machines are planned at once, by rank; the rest is counted in Result.Rest and planned as those are done.
// A plan of so many takes some tens of milliseconds. Twice as many take four times as long; half as many shorten how
// far ahead the order looks, which is still many waves.
const MaxPlanned = 1000

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
	Serving    bool    // a replica that is up and warm, or will be by itself: it counts as a holder from the second wave on
	Cold       bool    // serves, but not yet: no holder in the first wave
	InProgress bool    // in the plan already: it has a place in the first wave, and is no holder there
}

// Request is one machine that waits to go. Several asks of one machine count as the first by class.
type Request struct {
	Machine string
	Class   Class
}

// Problem is what a plan is made for.
type Problem struct {
	Limits    maintenance.Limits
	Machines  []Machine
	Requests  []Request // in the order of asking
	Load      float64   // in mean replicas kept busy
	LoadKnown bool      // false: the plan looks away from W3, by which nothing is granted until it is known
}

// Exclusion is an asked machine that no wave can take while the fleet is as it is, and the rule that keeps it.
type Exclusion struct{ Machine, Reason string }

// Result is a plan. The first wave may go now, beside what is out already; it is empty where that leaves no room. Each
// next one may go once all before it are back and warm.
type Result struct {
	Waves       [][]string // names: by class, then in the order of asking
	Bound       int        // no plan has fewer waves
	BoundReason string     // the limit that the bound comes from
	Excluded    []Exclusion
	Deferred    int // asked beyond Most, not in the waves; the bound counts them
}

// String is the line for the log: the number of waves and the bound beside it.
func (r Result) String() string {
	n := 0
	for _, w := range r.Waves {
		n += len(w)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d machines in %d waves, at least %d", n, len(r.Waves), r.Bound)
	if r.BoundReason != "" {
		fmt.Fprintf(&b, " (%s)", r.BoundReason)
	}
	if len(r.Excluded) > 0 {
		fmt.Fprintf(&b, ", %d kept (%s: %s)", len(r.Excluded), r.Excluded[0].Machine, r.Excluded[0].Reason)
	}
	if r.Deferred > 0 {
		fmt.Fprintf(&b, ", %d planned later", r.Deferred)
	}
	return b.String()
}

// fleet is the problem in numbers: what each shard, zone and the whole can spare.
type fleet struct {
	limits      maintenance.Limits
	reach       int
	spare       []int       // by shard: serving holders beyond those that must stay
	awayInFirst []int       // by shard: of these, how many do not serve in the first wave
	zones       []string    // sorted
	outByZone   []int       // by zone: places taken in the first wave
	out         int         // places taken in the first wave
	votersOut   int         // voters out in the first wave
	loadKnown   bool        // W3: there is a limit on the size that may be away,
	sizeBudget  float64     // this
	sizeAway    float64     // W3: size that is away in the first wave
	candidates  []candidate // by rank
	excluded    []Exclusion
}

// candidate is an asked machine that some wave can take.
type candidate struct {
	name     string
	class    Class
	position int // in the order of asking
	shards   []int
	zone     int
	size     float64 // that it takes from what is up and warm
	holders  int     // 1 if it counts as a holder
	cold     bool    // in the first wave it counts as none, and is away already
	voter    bool
	replica  bool
}

// slip is what sums of sizes may miss by in adding them up.
const sizeTolerance = 1e-9

func newFleet(p Problem) *fleet {
	f := &fleet{limits: p.Limits, loadKnown: p.LoadKnown}
	l := &f.limits
	f.reach = min(l.Reach, l.Cells)
	shards := max(0, min(l.Shards, l.Cells)) // shard s has the holders of s mod Cells
	f.spare, f.awayInFirst = make([]int, shards), make([]int, shards)
	for s := range f.spare {
		f.spare[s] = -l.MinHolders
	}
	for _, m := range p.Machines {
		if !slices.Contains(f.zones, m.Zone) {
			f.zones = append(f.zones, m.Zone)
		}
	}
	slices.Sort(f.zones)
	f.outByZone = make([]int, len(f.zones))
	votersUp, size, byName := 0, 0.0, make(map[string]*Machine, len(p.Machines))
	for i := range p.Machines {
		m := &p.Machines[i]
		byName[m.Name] = m
		if m.Voter && m.Serving {
			votersUp++
		}
		if m.InProgress {
			f.out++
			f.outByZone[f.zone(m.Zone)]++
			if m.Voter {
				f.votersOut++
			}
		}
		if !m.Replica || !m.Serving {
			continue
		}
		size += m.size()
		if m.InProgress || m.Cold {
			f.sizeAway += m.size()
		}
		for _, s := range f.shards(m.Cell) {
			f.spare[s]++
			if m.InProgress || m.Cold {
				f.awayInFirst[s]++
			}
		}
	}
	f.sizeBudget = size - p.Load*(1+l.Headroom)
	f.rankCandidates(p, byName, votersUp)
	return f
}

// rank puts the asked machines in order, by class, then as they were asked for, and keeps back those that can not go.
func (f *fleet) rankCandidates(p Problem, byName map[string]*Machine, votersUp int) {
	at := map[string]int{}
	for i, a := range p.Requests {
		m := byName[a.Machine]
		if m == nil || m.InProgress {
			continue // not in the inventory yet, or on its way
		}
		if k, twice := at[a.Machine]; twice {
			f.candidates[k].class = min(f.candidates[k].class, a.Class)
			continue
		}
		at[a.Machine] = len(f.candidates)
		c := candidate{name: m.Name, class: a.Class, position: i, zone: f.zone(m.Zone), voter: m.Voter, replica: m.Replica}
		if m.Replica {
			c.shards = f.shards(m.Cell)
			if m.Serving {
				c.holders, c.size, c.cold = 1, m.size(), m.Cold
			}
		}
		f.candidates = append(f.candidates, c)
	}
	f.candidates = slices.DeleteFunc(f.candidates, func(c candidate) bool {
		why := f.exclusionReason(&c, byName[c.name], votersUp)
		if why != "" {
			f.excluded = append(f.excluded, Exclusion{c.name, why})
		}
		return why != ""
	})
	slices.SortStableFunc(f.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.position, b.position))
	})
}

// never says why no wave can take a machine, or nothing.
func (f *fleet) exclusionReason(c *candidate, m *Machine, votersUp int) string {
	l := &f.limits
	if m.Replica && (m.Cell < 0 || m.Cell >= l.Cells) {
		return fmt.Sprintf("W1: cell %d is not in a ring of %d", m.Cell, l.Cells)
	}
	for _, s := range c.shards {
		if f.spare[s] < c.holders {
			return fmt.Sprintf("W1: shard %d would be left with %d holders up and warm, %d wanted",
				s, f.spare[s]+l.MinHolders-c.holders, l.MinHolders)
		}
	}
	left := votersUp
	if m.Serving {
		left--
	}
	switch {
	case l.MaxOut < 1 || l.MaxOutPerZone < 1:
		return "W2: none may be out"
	case m.Voter && left < l.MinVoters:
		return fmt.Sprintf("W2: %d voters would be left up, %d wanted", left, l.MinVoters)
	case f.loadKnown && m.Replica && c.size > f.sizeBudget+sizeTolerance:
		return fmt.Sprintf("W3: %.2f of the size may be away, this is %.2f", f.sizeBudget, c.size)
	}
	return ""
}

func (f *fleet) zone(name string) int {
	i, _ := slices.BinarySearch(f.zones, name)
	return i
}

// shards are those that a cell holds.
func (f *fleet) shards(cell int) []int {
	if cell < 0 || cell >= f.limits.Cells {
		return nil
	}
	out := make([]int, 0, f.reach)
	for j := range f.reach {
		if s := (cell - j + f.limits.Cells) % f.limits.Cells; s < len(f.spare) {
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
