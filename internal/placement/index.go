package placement

import (
	"math"
	"slices"

	"github.com/paulmach/orb"
)

// Index finds the squares that touch a box, through a grid of even cells.
type Index struct {
	squares       []Square
	bound         orb.Bound
	columns, rows int
	cells         [][]int32 // places in squares, by row, then column
}

// Square is a named square and the shards with its records.
type Square struct {
	Name   string
	Bound  orb.Bound // CRS84: longitude, latitude
	Shards []int
}

const squaresPerCell = 2 // squares a cell, about: fewer make the grid large, more make each look long

// NewIndex returns an index of the squares. Squares without area are found as points.
func NewIndex(squares []Square) *Index {
	x := &Index{squares: slices.Clone(squares)}
	if len(squares) == 0 {
		return x
	}
	x.bound = squares[0].Bound
	for _, s := range squares {
		x.bound = x.bound.Union(s.Bound)
	}
	side := max(1, int(math.Sqrt(float64(len(squares))/squaresPerCell)))
	x.columns, x.rows = side, side
	x.cells = make([][]int32, x.columns*x.rows)
	for i, s := range x.squares {
		x.forEachCell(s.Bound, func(cell int) { x.cells[cell] = append(x.cells[cell], int32(i)) })
	}
	return x
}

func (x *Index) forEachCell(b orb.Bound, do func(cell int)) {
	x0, x1 := x.cellIndex(b.Min[0], 0, x.columns), x.cellIndex(b.Max[0], 0, x.columns)
	y0, y1 := x.cellIndex(b.Min[1], 1, x.rows), x.cellIndex(b.Max[1], 1, x.rows)
	for row := y0; row <= y1; row++ {
		for col := x0; col <= x1; col++ {
			do(row*x.columns + col)
		}
	}
}

func (x *Index) cellIndex(at float64, axis, n int) int {
	width := x.bound.Max[axis] - x.bound.Min[axis]
	if width <= 0 {
		return 0
	}
	return min(n-1, max(0, int((at-x.bound.Min[axis])/width*float64(n))))
}

// Squares lists all, in the order given.
func (x *Index) Squares() []Square { return x.squares }

// Bound is that of all squares together.
func (x *Index) Bound() orb.Bound { return x.bound }

// Intersecting lists the squares that share a point with the box, in the order given.
func (x *Index) Intersecting(b orb.Bound) []Square {
	if len(x.squares) == 0 || !x.bound.Intersects(b) {
		return nil
	}
	var at []int32
	x.forEachCell(b, func(cell int) {
		for _, i := range x.cells[cell] {
			if x.squares[i].Bound.Intersects(b) {
				at = append(at, i)
			}
		}
	})
	slices.Sort(at)
	at = slices.Compact(at)
	out := make([]Square, len(at))
	for i, j := range at {
		out[i] = x.squares[j]
	}
	return out
}
