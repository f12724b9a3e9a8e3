package cql

import (
	"github.com/paulmach/orb"
	"github.com/paulmach/orb/planar"
)

// Intersects tells whether two geometries share a point, on the plane of their co-ordinates. Polygons hold their
// borders. The time is that of the product of their points, which callers bound.
func Intersects(a, b orb.Geometry) bool {
	if a == nil || b == nil || !a.Bound().Intersects(b.Bound()) {
		return false
	}
	pa, pb := take(a), take(b)
	for _, p := range pa.points {
		if pb.holds(p) {
			return true
		}
	}
	for _, p := range pb.points {
		if pa.holds(p) {
			return true
		}
	}
	for _, s := range pa.segments {
		for _, t := range pb.segments {
			if cross(s[0], s[1], t[0], t[1]) {
				return true
			}
		}
	}
	return false
}

// pieces is a geometry taken apart.
type pieces struct {
	points   []orb.Point // all corners
	segments [][2]orb.Point
	polygons []orb.Polygon
}

func take(g orb.Geometry) *pieces {
	p := &pieces{}
	p.add(g)
	return p
}

func (p *pieces) line(points []orb.Point) {
	p.points = append(p.points, points...)
	for i := 1; i < len(points); i++ {
		p.segments = append(p.segments, [2]orb.Point{points[i-1], points[i]})
	}
}

func (p *pieces) add(g orb.Geometry) {
	switch g := g.(type) {
	case orb.Point:
		p.points = append(p.points, g)
	case orb.MultiPoint:
		p.points = append(p.points, g...)
	case orb.LineString:
		p.line(g)
	case orb.MultiLineString:
		for _, l := range g {
			p.line(l)
		}
	case orb.Ring:
		p.add(orb.Polygon{g})
	case orb.Polygon:
		for _, r := range g {
			p.line(r)
		}
		p.polygons = append(p.polygons, g)
	case orb.MultiPolygon:
		for _, x := range g {
			p.add(x)
		}
	case orb.Collection:
		for _, x := range g {
			p.add(x)
		}
	case orb.Bound:
		p.add(g.ToPolygon())
	}
}

// holds tells whether a point lies in a polygon, on a segment or on a point.
func (p *pieces) holds(pt orb.Point) bool {
	for _, poly := range p.polygons {
		if planar.PolygonContains(poly, pt) {
			return true
		}
	}
	for _, s := range p.segments {
		if turn(s[0], s[1], pt) == 0 && within(s[0], s[1], pt) {
			return true
		}
	}
	if len(p.segments) == 0 {
		for _, q := range p.points {
			if q == pt {
				return true
			}
		}
	}
	return false
}

// turn is the side of the line from a to b on which c lies: over, under, or 0 for on it.
func turn(a, b, c orb.Point) float64 {
	return (b[0]-a[0])*(c[1]-a[1]) - (b[1]-a[1])*(c[0]-a[0])
}

func within(a, b, c orb.Point) bool {
	return min(a[0], b[0]) <= c[0] && c[0] <= max(a[0], b[0]) && min(a[1], b[1]) <= c[1] && c[1] <= max(a[1], b[1])
}

func cross(a, b, c, d orb.Point) bool {
	return turn(a, b, c)*turn(a, b, d) < 0 && turn(c, d, a)*turn(c, d, b) < 0
}
