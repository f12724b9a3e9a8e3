// Package waveplan plans the order in which machines are taken out for maintenance. Machines that may be away together go in one
// wave; each plan comes with a lower bound on the number of waves. The package is pure: it uses no clock, goroutine, I/O or
// random number, and the same problem gives the same plan. A plan is only a proposal: the rules of package maintenance are
// checked again when a grant is applied, and nothing here can loosen them.
package waveplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"birchcart/internal/fleet/maintenance"
)

// MaxPlanned is the number of requested machines that are planned at once, by rank; the others are counted in Result.Deferred and
// planned once those are done. A plan of that size takes some tens of milliseconds. Twice as many would take four times as long;
// half as many would plan fewer waves ahead, though still many.
const MaxPlanned = 1000

// Class is the urgency of a request: lower classes go in earlier waves.
type Class int

// Classes in the order of the waves.
const (
	Reserved Class = iota // passed over too often, so its turn is reserved (W5)
	Urgent
	Routine
)

// Machine is an entry of the inventory as the plan sees it.
type Machine struct {
	Name, Zone string
	Replica    bool
	Voter      bool
	Cell       int     // of a replica
	Size       float64 // of a replica, relative to the average replica; 0 counts as 1
	Serving    bool    // up and warm, or will be so without intervention: a replica counts as a holder from the second wave on
	Cold       bool    // serving, but not warm yet: no holder in the first wave
	InProgress bool    // its maintenance is in progress: it takes a place in the first wave and is no holder there
}

// Request is a request to take a machine out. Of several requests for one machine the first by class counts.
type Request struct {
	Machine string
	Class   Class
}

// Problem is the input of a plan.
type Problem struct {
	Limits    maintenance.Limits
	Machines  []Machine
	Requests  []Request // in the order in which they were made
	Load      float64   // in average replicas kept busy
	LoadKnown bool      // false: the plan ignores W3, under which nothing is granted until the load is known
}

// Exclusion is a requested machine that no wave can take in the fleet's current condition, and the rule that prevents it.
type Exclusion struct{ Machine, Reason string }

// Result is a plan. The first wave may go now, in addition to what is out already; it is empty if there is no room. Each further
// wave may go once all machines of the earlier ones are back and warm.
type Result struct {
	Waves       [][]string // machine names: by class, then in the order of the requests
	Bound       int        // a lower bound: no plan has fewer waves
	BoundReason string     // the limit that the bound comes from
	Excluded    []Exclusion
	Deferred    int // requested beyond MaxPlanned: not in the waves, but counted in the bound
}

// String returns a summary for the log: the number of waves and the bound.
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

// fleet is the problem in numbers: what each shard, each zone and the whole can spare.
type fleet struct {
	limits      maintenance.Limits
	reach       int
	spare       []int       // by shard: serving holders beyond MinHolders
	awayInFirst []int       // by shard: serving holders that are away or cold in the first wave
	zones       []string    // sorted
	outByZone   []int       // by zone: machines out in the first wave
	out         int         // machines out in the first wave
	votersOut   int         // voters out in the first wave
	loadKnown   bool        // W3 limits the size that may be away to sizeBudget
	sizeBudget  float64     // W3: size that may be away
	sizeAway    float64     // W3: size that is away or cold in the first wave
	candidates  []candidate // by rank
	excluded    []Exclusion
}

// candidate is a requested machine that some wave can take.
type candidate struct {
	name     string
	class    Class
	position int // in the order of the requests
	shards   []int
	zone     int
	size     float64 // taken from the size that is up and warm
	holders  int     // 1 if it counts as a holder
	cold     bool    // not a holder in the first wave, where its size is already away
	voter    bool
	replica  bool
}

// sizeTolerance is the allowed rounding error of a sum of sizes.
const sizeTolerance = 1e-9

// newFleet computes the numbers of a problem.
func newFleet(p Problem) *fleet {
	f := &fleet{limits: p.Limits, loadKnown: p.LoadKnown}
	l := &f.limits
	f.reach = min(l.Reach, l.Cells)
	shards := max(0, min(l.Shards, l.Cells)) // more shards than cells repeat: shard s has the holders of shard s mod Cells
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

// rankCandidates sorts the requested machines by class, then in the order of the requests, and excludes those that no wave can
// take.
func (f *fleet) rankCandidates(p Problem, byName map[string]*Machine, votersUp int) {
	at := map[string]int{}
	for i, a := range p.Requests {
		m := byName[a.Machine]
		if m == nil || m.InProgress {
			continue // not in the inventory yet, or already in progress
		}
		if k, duplicate := at[a.Machine]; duplicate {
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
		reason := f.exclusionReason(&c, byName[c.name], votersUp)
		if reason != "" {
			f.excluded = append(f.excluded, Exclusion{c.name, reason})
		}
		return reason != ""
	})
	slices.SortStableFunc(f.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.position, b.position))
	})
}

// exclusionReason returns why no wave can take a machine, or an empty string.
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
		return "W2: no machine may be out"
	case m.Voter && left < l.MinVoters:
		return fmt.Sprintf("W2: %d voters would be left up, %d wanted", left, l.MinVoters)
	case f.loadKnown && m.Replica && c.size > f.sizeBudget+sizeTolerance:
		return fmt.Sprintf("W3: a size of %.2f may be away, the machine has %.2f", f.sizeBudget, c.size)
	}
	return ""
}

// zone returns the index of a zone.
func (f *fleet) zone(name string) int {
	i, _ := slices.BinarySearch(f.zones, name)
	return i
}

// shards returns the shards that a cell holds.
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

// size returns the size of a replica, 1 if it is not set.
func (m *Machine) size() float64 {
	if m.Size == 0 {
		return 1
	}
	return m.Size
}
