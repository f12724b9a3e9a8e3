package placement

import (
	"math"
	"slices"

	"github.com/paulmach/orb"
)

// Index finds the squares that intersect a box. It divides the bound of all squares into a grid of cells of equal
// size and lists the squares of each cell.
type Index struct {
	squares       []Square
	bound         orb.Bound
	columns, rows int
	cells         [][]int32 // indexes into squares, row by row
}

// Square is a named rectangle of the map and the shards that hold its records.
type Square struct {
	Name   string
	Bound  orb.Bound // CRS84: longitude, latitude
	Shards []int
}

const squaresPerCell = 2 // approximate squares per grid cell: fewer enlarge the grid, more lengthen each lookup

// NewIndex returns an index of the squares. A square without area is indexed as a point or a line.
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

// forEachCell calls visit with each grid cell that the box b intersects, clamped to the bound of the index.
func (x *Index) forEachCell(b orb.Bound, visit func(cell int)) {
	x0, x1 := x.cellIndex(b.Min[0], 0, x.columns), x.cellIndex(b.Max[0], 0, x.columns)
	y0, y1 := x.cellIndex(b.Min[1], 1, x.rows), x.cellIndex(b.Max[1], 1, x.rows)
	for row := y0; row <= y1; row++ {
		for col := x0; col <= x1; col++ {
			visit(row*x.columns + col)
		}
	}
}

// cellIndex returns the column (axis 0) or row (axis 1) of a coordinate in a grid with the given number of cells on
// that axis. Coordinates outside the bound map to the first or last cell.
func (x *Index) cellIndex(coordinate float64, axis, cells int) int {
	width := x.bound.Max[axis] - x.bound.Min[axis]
	if width <= 0 {
		return 0
	}
	return min(cells-1, max(0, int((coordinate-x.bound.Min[axis])/width*float64(cells))))
}

// Squares returns all squares in the order in which they were passed to NewIndex.
func (x *Index) Squares() []Square { return x.squares }

// Bound returns the smallest box that contains all squares.
func (x *Index) Bound() orb.Bound { return x.bound }

// Intersecting returns the squares that share at least one point with the box b, in the order of Squares.
func (x *Index) Intersecting(b orb.Bound) []Square {
	if len(x.squares) == 0 || !x.bound.Intersects(b) {
		return nil
	}
	var found []int32
	x.forEachCell(b, func(cell int) {
		for _, i := range x.cells[cell] {
			if x.squares[i].Bound.Intersects(b) {
				found = append(found, i)
			}
		}
	})
	slices.Sort(found)
	found = slices.Compact(found)
	out := make([]Square, len(found))
	for i, j := range found {
		out[i] = x.squares[j]
	}
	return out
}
