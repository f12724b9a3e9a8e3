package ogc

import (
	"fmt"
	"math"
	"net/url"
	"testing"

	"github.com/paulmach/orb"

	"birchcart/internal/feature"
	"birchcart/internal/operator"
	"birchcart/internal/placement"
)

func FuzzBBox(f *testing.F) {
	for _, s := range []string{"1,2,3,4", "1,2,3,4,5,6", "NaN,0,0,0", "-180,-90,180,90", "1e400,0,0,0", ",,,", "0x1p3,1,9,9"} {
		f.Add(s, "")
		f.Add(s, mercator)
	}
	f.Fuzz(func(t *testing.T, value, crs string) {
		b, err := parseBBox(value, crs)
		if err != nil {
			return
		}
		for _, x := range extent(*b) {
			if math.IsNaN(x) || math.Abs(x) > 181 {
				t.Errorf("%q gives %v", value, *b)
			}
		}
		if b.Min[0] > b.Max[0] || b.Min[1] > b.Max[1] {
			t.Errorf("%q gives %v", value, *b)
		}
	})
}

func FuzzDatetime(f *testing.F) {
	for _, s := range []string{"2026-01-01", "2026-01-01T00:00:00Z/..", "../2026-01-01", "2026-01-01/2026-01-02", "..", "/"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, value string) {
		from, to, err := parseDatetime(value)
		if err == nil && (from.IsZero() && to.IsZero() || !from.IsZero() && !to.IsZero() && to.Before(from)) {
			t.Errorf("%q gives %v to %v", value, from, to)
		}
	})
}

func testSnapshot() *snapshot {
	return &snapshot{op: &operator.OGC{LimitUsual: 10, LimitMost: 100, PartsMost: 5}, key: []byte("0123456789abcdef"), digest: []byte("squares")}
}

func FuzzCursor(f *testing.F) {
	s := testSnapshot()
	f.Add(s.writeCursor(cursor{Shard: 3, After: "a.1"}, "c", url.Values{}))
	f.Add("AAAA")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := s.readCursor(text, "c", url.Values{})
		if err == nil && s.writeCursor(*c, "c", url.Values{}) == "" {
			t.Error("what was read can't be written")
		}
	})
}

func FuzzValue(f *testing.F) {
	f.Add([]byte(`{"features":[{"type":"Feature","id":"S.1","geometry":{"type":"Point","coordinates":[1,2]},"properties":{}}],"more":true}`))
	f.Add([]byte(`{"features":[]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := &feature.Request{Limit: 10, Squares: map[int][]string{1: {"S"}}}
		v, err := feature.Read(raw, r, 1)
		if err != nil {
			return
		}
		if again, err := feature.Read(v.Encode(), r, 1); err != nil || len(again.Features) != len(v.Features) {
			t.Errorf("%s: read again: %v", raw, err)
		}
	})
}

// A box finds what going over all squares finds.
func TestIndexFindsWhatALookAtAllFinds(t *testing.T) {
	var squares []placement.Square
	for i := range 400 {
		x, y := float64(i%20), float64(i/20)
		squares = append(squares, placement.Square{Name: fmt.Sprint(i), Bound: orb.Bound{Min: orb.Point{x, y}, Max: orb.Point{x + 1 + float64(i%3), y + 0.5}}})
	}
	index := placement.NewIndex(squares)
	for i := range 300 {
		b := orb.Bound{Min: orb.Point{float64(i%23) - 1.5, float64(i%19) - 0.7}}
		b.Max = orb.Point{b.Min[0] + float64(i%7), b.Min[1] + float64(i%5)}
		var want []string
		for _, s := range squares {
			if s.Bound.Intersects(b) {
				want = append(want, s.Name)
			}
		}
		var got []string
		for _, s := range index.Intersecting(b) {
			got = append(got, s.Name)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("%v: %v, want %v", b, got, want)
		}
	}
}

func BenchmarkBoxToShards(b *testing.B) {
	for _, n := range []int{100, 1000, 10000, 100000} {
		side := int(math.Sqrt(float64(n)))
		var squares []placement.Square
		for i := range n {
			x, y := float64(i%side)/float64(side)*20-17, float64(i/side)/float64(side)*15+21
			squares = append(squares, placement.Square{Name: fmt.Sprint(i), Bound: orb.Bound{Min: orb.Point{x, y}, Max: orb.Point{x + 20/float64(side), y + 15/float64(side)}}, Shards: []int{i % 1000}})
		}
		index := placement.NewIndex(squares)
		width := 20 / float64(side) * 3 // some 16 squares
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				byShard(index.Intersecting(orb.Bound{Min: orb.Point{-8, 30}, Max: orb.Point{-8 + width, 30 + width}}))
			}
		})
	}
}
