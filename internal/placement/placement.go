// Package placement tells where the shards of a deployment lie: who holds each, over which data centres, and what is
// lost when something goes. The ring is as the wire states it: shard s is held by the replicas of cells
// (s + j) mod cells, for j from 0 to reach - 1.
//
// It is pure and has no state beside the ring; it does not choose among holders, which is the decisions'.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Replica is one line of the list.
type Replica struct {
	Name       string
	DataCentre string
	Cell       int
	Up         bool
}

// Shape is the shape of the ring.
type Shape struct{ Cells, Reach, Shards int }

// Ring is a shape with the replicas in it.
type Ring struct {
	shape    Shape
	replicas []Replica
	cells    [][]int // places in replicas, by cell
}

// New returns the ring of a list. A cell out of range, or a name that stands twice, is an error.
func New(shape Shape, replicas []Replica) (*Ring, error) {
	if shape.Cells < 1 || shape.Reach < 1 || shape.Shards < 0 {
		return nil, fmt.Errorf("a ring of %d cells, reach %d and %d shards", shape.Cells, shape.Reach, shape.Shards)
	}
	r := &Ring{shape: shape, replicas: slices.Clone(replicas), cells: make([][]int, shape.Cells)}
	seen := map[string]bool{}
	for i, rep := range replicas {
		if rep.Cell < 0 || rep.Cell >= shape.Cells {
			return nil, fmt.Errorf("replica %s is in cell %d; there are cells 0 to %d", rep.Name, rep.Cell, shape.Cells-1)
		}
		if seen[rep.Name] {
			return nil, fmt.Errorf("replica %s is named twice", rep.Name)
		}
		seen[rep.Name] = true
		r.cells[rep.Cell] = append(r.cells[rep.Cell], i)
	}
	return r, nil
}

// Shards is the number of shards.
func (r *Ring) Shards() int { return r.shape.Shards }

// Replicas lists all, in the list's order; it is not to be changed.
func (r *Ring) Replicas() []Replica { return r.replicas }

// Find tells the replica of a name.
func (r *Ring) Find(name string) (Replica, bool) {
	i := slices.IndexFunc(r.replicas, func(x Replica) bool { return x.Name == name })
	if i < 0 {
		return Replica{}, false
	}
	return r.replicas[i], true
}

// cellsOf tells which cells hold a shard.
func (r *Ring) cellsOf(shard int) []int {
	cells := make([]int, 0, r.shape.Reach)
	for j := range min(r.shape.Reach, r.shape.Cells) {
		cells = append(cells, (shard+j)%r.shape.Cells)
	}
	return cells
}

// AllHolders lists the replicas that hold a shard, up or not, by the cells' order.
func (r *Ring) AllHolders(shard int) []Replica {
	var out []Replica
	for _, c := range r.cellsOf(shard) {
		for _, i := range r.cells[c] {
			out = append(out, r.replicas[i])
		}
	}
	return out
}

// Holders lists those of All that are up.
func (r *Ring) Holders(shard int) []Replica {
	return slices.DeleteFunc(r.AllHolders(shard), func(x Replica) bool { return !x.Up })
}

// DataCentres names those in which a shard has holders that are up, in rising order.
func (r *Ring) DataCentres(shard int) []string { return dataCentres(r.Holders(shard)) }

// AllDataCentres names those of the whole list.
func (r *Ring) AllDataCentres() []string { return dataCentres(r.replicas) }

func dataCentres(of []Replica) []string {
	var out []string
	for _, x := range of {
		out = append(out, x.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Unit is what can be lost at once.
type Unit uint8

// Units of failure, from one replica up to a data centre.
const (
	ReplicaUnit Unit = iota
	CellUnit
	DataCentreUnit
)

var unitNames = [...]string{"replica", "cell", "data centre"}

func (u Unit) String() string { return unitNames[u] }

// Loss is what is left when units are lost. Shards are rising.
type Loss struct {
	Unit            Unit
	LostUnits       []string // what was lost
	Holders         []int    // replicas left that are up, by shard
	MinHolders      int      // the least of these
	WeakestShards   []int    // the shards that have so few
	UncoveredShards []int    // shards with none
}

func (l *Loss) String() string {
	text := fmt.Sprintf("without %s %s: at least %d holders (shards %s)", l.Unit, strings.Join(l.LostUnits, " and "), l.MinHolders, FormatRanges(l.WeakestShards))
	if len(l.UncoveredShards) > 0 {
		text = fmt.Sprintf("without %s %s: shards %s have no holder", l.Unit, strings.Join(l.LostUnits, " and "), FormatRanges(l.UncoveredShards))
	}
	return text
}

// Losses goes over all losses of count units of a kind, 1 or 2, worst first: more shards gone, then fewer holders left.
// The cost is the number of losses times that of the holders touched, not of the ring: 1,000 replicas have 500,000 pairs.
func (r *Ring) Losses(unit Unit, count int) []Loss {
	groups := r.failureGroups(unit)
	base := make([]int, r.shape.Shards)
	for s := range base {
		base[s] = len(r.Holders(s))
	}
	var out []Loss
	for i := range groups {
		if count < 2 {
			out = append(out, r.lossOf(unit, base, groups[i]))
			continue
		}
		for j := i + 1; j < len(groups); j++ {
			out = append(out, r.lossOf(unit, base, groups[i], groups[j]))
		}
	}
	slices.SortStableFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(len(b.UncoveredShards), len(a.UncoveredShards)), cmp.Compare(a.MinHolders, b.MinHolders), cmp.Compare(len(b.WeakestShards), len(a.WeakestShards)))
	})
	return out
}

type failureGroup struct {
	name    string
	members []int // places of replicas
}

func (r *Ring) failureGroups(unit Unit) []failureGroup {
	var out []failureGroup
	at := map[string]int{}
	for i, x := range r.replicas {
		if !x.Up {
			continue
		}
		name := x.Name
		switch unit {
		case CellUnit:
			name = fmt.Sprint(x.Cell)
		case DataCentreUnit:
			name = x.DataCentre
		}
		k, ok := at[name]
		if !ok {
			k = len(out)
			at[name] = k
			out = append(out, failureGroup{name: name})
		}
		out[k].members = append(out[k].members, i)
	}
	slices.SortFunc(out, func(a, b failureGroup) int {
		return cmp.Or(cmp.Compare(len(a.name), len(b.name)), cmp.Compare(a.name, b.name))
	})
	return out
}

// lose counts down from base. A replica in cell c holds the shards s with (c - s) mod cells < reach.
func (r *Ring) lossOf(unit Unit, base []int, lost ...failureGroup) Loss {
	l := Loss{Unit: unit, Holders: slices.Clone(base), MinHolders: math.MaxInt}
	for _, g := range lost {
		l.LostUnits = append(l.LostUnits, g.name)
		for _, i := range g.members {
			for j := range min(r.shape.Reach, r.shape.Cells) {
				first := ((r.replicas[i].Cell-j)%r.shape.Cells + r.shape.Cells) % r.shape.Cells
				for s := first; s < r.shape.Shards; s += r.shape.Cells {
					l.Holders[s]--
				}
			}
		}
	}
	for s, n := range l.Holders {
		if n == 0 {
			l.UncoveredShards = append(l.UncoveredShards, s)
		}
		if n < l.MinHolders {
			l.MinHolders, l.WeakestShards = n, l.WeakestShards[:0]
		}
		if n == l.MinHolders {
			l.WeakestShards = append(l.WeakestShards, s)
		}
	}
	if len(l.Holders) == 0 {
		l.MinHolders = 0
	}
	return l
}

// CanComplete tells whether a query over these shards, with equal weights, can still be whole where need is the share of
// weight that makes it so.
func (l *Loss) CanComplete(shards []int, need float64) bool {
	in := 0
	for _, s := range shards {
		if l.Holders[s] > 0 {
			in++
		}
	}
	return float64(in) >= need*float64(len(shards))-1e-9
}

// CompletableShare tells, for queries over parts different shards with equal weights, the share of all sets of consecutive shards
// that can still be whole: 1 if no such query suffers, 0 if none can be whole.
func (l *Loss) CompletableShare(parts int, need float64) float64 {
	n := len(l.Holders)
	if n == 0 || parts < 1 {
		return 0
	}
	good, set := 0, make([]int, min(parts, n))
	for from := range n {
		for i := range set {
			set[i] = (from + i) % n
		}
		if l.CanComplete(set, need) {
			good++
		}
	}
	return float64(good) / float64(n)
}

// FormatRanges writes rising numbers as 0-3, 7.
func FormatRanges(list []int) string {
	var parts []string
	for i := 0; i < len(list); {
		j := i
		for j+1 < len(list) && list[j+1] == list[j]+1 {
			j++
		}
		switch {
		case j == i:
			parts = append(parts, fmt.Sprint(list[i]))
		case j == i+1:
			parts = append(parts, fmt.Sprint(list[i]), fmt.Sprint(list[j]))
		default:
			parts = append(parts, fmt.Sprintf("%d-%d", list[i], list[j]))
		}
		i = j + 1
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
