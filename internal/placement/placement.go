// Package placement computes which replicas hold the shards of a deployment, over which data centres the holders of a
// shard are spread, and which shards lose holders when replicas, cells or data centres fail. The ring is defined by the
// wire protocol: shard s is held by the replicas of cells (s + j) mod cells, for j from 0 to reach - 1.
//
// The package is pure and keeps no state other than the ring. It does not choose among the holders of a shard; package
// policy does.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Replica is one replica of the list that New takes.
type Replica struct {
	Name       string
	DataCentre string
	Cell       int
	Up         bool
}

// Shape holds the parameters of a ring: the number of cells, the number of consecutive cells that hold a shard, and
// the number of shards.
type Shape struct{ Cells, Reach, Shards int }

// Ring is a shape together with the replicas in its cells.
type Ring struct {
	shape    Shape
	replicas []Replica
	cells    [][]int // indexes into replicas, by cell
}

// New returns the ring with the listed replicas. An invalid shape, a cell out of range or a duplicate name is an error.
func New(shape Shape, replicas []Replica) (*Ring, error) {
	if shape.Cells < 1 || shape.Reach < 1 || shape.Shards < 0 {
		return nil, fmt.Errorf("invalid ring shape: %d cells, reach %d, %d shards", shape.Cells, shape.Reach, shape.Shards)
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

// Shards returns the number of shards.
func (r *Ring) Shards() int { return r.shape.Shards }

// Replicas returns all replicas in the order of the list. The caller must not modify the result.
func (r *Ring) Replicas() []Replica { return r.replicas }

// Find returns the replica with the given name and whether there is one.
func (r *Ring) Find(name string) (Replica, bool) {
	i := slices.IndexFunc(r.replicas, func(x Replica) bool { return x.Name == name })
	if i < 0 {
		return Replica{}, false
	}
	return r.replicas[i], true
}

// cellsOf returns the cells whose replicas hold a shard.
func (r *Ring) cellsOf(shard int) []int {
	cells := make([]int, 0, r.shape.Reach)
	for j := range min(r.shape.Reach, r.shape.Cells) {
		cells = append(cells, (shard+j)%r.shape.Cells)
	}
	return cells
}

// AllHolders returns the replicas that hold a shard, whether up or not, in the order of cells (shard + j) mod cells.
func (r *Ring) AllHolders(shard int) []Replica {
	var out []Replica
	for _, c := range r.cellsOf(shard) {
		for _, i := range r.cells[c] {
			out = append(out, r.replicas[i])
		}
	}
	return out
}

// Holders returns the replicas of AllHolders that are up.
func (r *Ring) Holders(shard int) []Replica {
	return slices.DeleteFunc(r.AllHolders(shard), func(x Replica) bool { return !x.Up })
}

// DataCentres returns the names of the data centres in which a shard has holders that are up, in ascending order.
func (r *Ring) DataCentres(shard int) []string { return dataCentres(r.Holders(shard)) }

// AllDataCentres returns the names of the data centres of all replicas, in ascending order.
func (r *Ring) AllDataCentres() []string { return dataCentres(r.replicas) }

// dataCentres returns the distinct data centres of replicas in ascending order.
func dataCentres(replicas []Replica) []string {
	var out []string
	for _, x := range replicas {
		out = append(out, x.DataCentre)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Unit is a unit of failure: what fails as a whole.
type Unit uint8

// The units of failure, from the smallest to the largest.
const (
	ReplicaUnit Unit = iota
	CellUnit
	DataCentreUnit
)

// unitNames holds the results of Unit.String.
var unitNames = [...]string{"replica", "cell", "data centre"}

func (u Unit) String() string { return unitNames[u] }

// Loss describes the holders that remain when some units fail. Its lists of shards are in ascending order.
type Loss struct {
	Unit            Unit
	LostUnits       []string // names of the units that fail
	Holders         []int    // number of remaining holders that are up, by shard
	MinHolders      int      // minimum of Holders
	WeakestShards   []int    // shards with MinHolders holders
	UncoveredShards []int    // shards without a holder
}

func (l *Loss) String() string {
	text := fmt.Sprintf("without %s %s: at least %d holders (shards %s)",
		l.Unit, strings.Join(l.LostUnits, " and "), l.MinHolders, FormatRanges(l.WeakestShards))
	if len(l.UncoveredShards) > 0 {
		text = fmt.Sprintf("without %s %s: shards %s have no holder", l.Unit, strings.Join(l.LostUnits, " and "), FormatRanges(l.UncoveredShards))
	}
	return text
}

// Losses returns all losses of count units of one kind, where count is 1 or 2, worst first: a loss is worse if it leaves
// more shards without a holder, then if its minimum of remaining holders is lower, then if more shards are at that
// minimum. Each loss updates only the shards that the lost replicas hold and does not recount the holders of the whole
// ring, because 1,000 replicas already have about 500,000 pairs.
func (r *Ring) Losses(unit Unit, count int) []Loss {
	groups := r.failureGroups(unit)
	holders := make([]int, r.shape.Shards)
	for s := range holders {
		holders[s] = len(r.Holders(s))
	}
	var out []Loss
	for i := range groups {
		if count < 2 {
			out = append(out, r.lossOf(unit, holders, groups[i]))
			continue
		}
		for j := i + 1; j < len(groups); j++ {
			out = append(out, r.lossOf(unit, holders, groups[i], groups[j]))
		}
	}
	slices.SortStableFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(len(b.UncoveredShards), len(a.UncoveredShards)), cmp.Compare(a.MinHolders, b.MinHolders),
			cmp.Compare(len(b.WeakestShards), len(a.WeakestShards)))
	})
	return out
}

// failureGroup is one unit of failure with the replicas that fail together in it.
type failureGroup struct {
	name    string
	members []int // indexes into Ring.replicas
}

// failureGroups groups the replicas that are up by unit, ordered by the length of the name, then by the name.
func (r *Ring) failureGroups(unit Unit) []failureGroup {
	var out []failureGroup
	indexByName := map[string]int{}
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
		index, ok := indexByName[name]
		if !ok {
			index = len(out)
			indexByName[name] = index
			out = append(out, failureGroup{name: name})
		}
		out[index].members = append(out[index].members, i)
	}
	slices.SortFunc(out, func(a, b failureGroup) int {
		return cmp.Or(cmp.Compare(len(a.name), len(b.name)), cmp.Compare(a.name, b.name))
	})
	return out
}

// lossOf returns the loss of the given groups, starting from the number of holders of each shard before the loss.
// A replica in cell c holds the shards s with (c - s) mod cells < reach.
func (r *Ring) lossOf(unit Unit, holders []int, lost ...failureGroup) Loss {
	l := Loss{Unit: unit, Holders: slices.Clone(holders), MinHolders: math.MaxInt}
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

// CanComplete reports whether a query over the given shards can still be complete after the loss. The shards have equal
// weights, and completeShare is the share of the weight that a complete answer needs.
func (l *Loss) CanComplete(shards []int, completeShare float64) bool {
	covered := 0
	for _, s := range shards {
		if l.Holders[s] > 0 {
			covered++
		}
	}
	return float64(covered) >= completeShare*float64(len(shards))-1e-9
}

// CompletableShare returns the share, from 0 to 1, of the queries over parts consecutive shards that can still be
// complete after the loss. Shards wrap around at the end of the ring; weights and completeShare are as in CanComplete.
func (l *Loss) CompletableShare(parts int, completeShare float64) float64 {
	n := len(l.Holders)
	if n == 0 || parts < 1 {
		return 0
	}
	completable, shards := 0, make([]int, min(parts, n))
	for first := range n {
		for i := range shards {
			shards[i] = (first + i) % n
		}
		if l.CanComplete(shards, completeShare) {
			completable++
		}
	}
	return float64(completable) / float64(n)
}

// FormatRanges formats ascending numbers as a list of ranges, such as "0-3, 7", and an empty list as "none".
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
