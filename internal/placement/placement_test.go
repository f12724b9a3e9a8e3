package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newTestRing returns a ring whose replicas are all up, assigned to the cells in turn, with the cells assigned to three
// data centres in turn.
func newTestRing(cells, reach, shards, replicas int) *Ring {
	var list []Replica
	for i := range replicas {
		list = append(list, Replica{
			Name: fmt.Sprint("r", i), DataCentre: string(rune('a' + i%cells%3)), Cell: i % cells, Up: true,
		})
	}
	r, err := New(Shape{cells, reach, shards}, list)
	if err != nil {
		panic(err)
	}
	return r
}

// With four cells over three data centres, the adjacent cells 3 and 0 are in the same data centre. The shards that these
// two cells hold, 3 and 7, have both holders in one data centre; all other shards have their holders in two.
func TestDataCentreSpreadAtRingSeam(t *testing.T) {
	r := newTestRing(4, 2, 8, 4)
	var short []int
	for s := range r.Shards() {
		if len(r.DataCentres(s)) < 2 {
			short = append(short, s)
		}
	}
	if got := FormatRanges(short); got != "3, 7" {
		t.Errorf("shards %s have all holders in one data centre, want 3, 7", got)
	}
}

// Losing data centre a, with cells 0 and 3, leaves shards 3 and 7 without holders.
func TestDataCentreLoss(t *testing.T) {
	r := newTestRing(4, 2, 8, 4)
	worst := r.Losses(DataCentreUnit, 1)[0]
	if worst.LostUnits[0] != "a" || FormatRanges(worst.UncoveredShards) != "3, 7" {
		t.Fatal(worst.String())
	}
	if worst.CanComplete([]int{2, 3}, 1) || !worst.CanComplete([]int{2, 3}, 0.5) || !worst.CanComplete([]int{0, 1, 2}, 1) {
		t.Error("CanComplete is wrong for queries over shards that lost all holders")
	}
	if got := worst.CompletableShare(2, 1); got != 0.5 {
		t.Errorf("a share of %v of the queries over two shards can be complete, want 0.5", got)
	}
}

// New must reject cells out of range and duplicate names.
func TestNewRejectsInvalidLists(t *testing.T) {
	for _, list := range [][]Replica{{{Name: "a", Cell: 4}}, {{Name: "a", Cell: -1}}, {{Name: "a"}, {Name: "a", Cell: 1}}} {
		if _, err := New(Shape{4, 2, 8}, list); err == nil {
			t.Errorf("New accepted the invalid list %v", list)
		}
	}
}

// For any ring, the holders that a loss leaves must equal a direct count of the holders whose unit is not among the lost.
func TestLossesMatchDirectCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := rapid.IntRange(1, 9).Draw(t, "cells")
		r := newTestRing(cells, rapid.IntRange(1, 10).Draw(t, "reach"), rapid.IntRange(1, 30).Draw(t, "shards"), rapid.IntRange(2, 25).Draw(t, "replicas"))
		for i := range r.replicas {
			r.replicas[i].Up = rapid.Bool().Draw(t, "up")
		}
		unit := Unit(rapid.IntRange(0, 2).Draw(t, "unit"))
		for _, l := range r.Losses(unit, rapid.IntRange(1, 2).Draw(t, "count")) {
			for s, n := range l.Holders {
				left := slices.DeleteFunc(r.Holders(s), func(x Replica) bool {
					name := [...]string{x.Name, fmt.Sprint(x.Cell), x.DataCentre}[unit]
					return slices.Contains(l.LostUnits, name)
				})
				if len(left) != n {
					t.Fatalf("shard %d: the direct count leaves %d holders, the loss %d", s, n, len(left))
				}
			}
			if l.MinHolders != slices.Min(l.Holders) {
				t.Fatalf("MinHolders is %d for holders %v", l.MinHolders, l.Holders)
			}
		}
	})
}

func BenchmarkDoubleLosses1000(b *testing.B) {
	r := newTestRing(999, 3, 2000, 999)
	for b.Loop() {
		r.Losses(ReplicaUnit, 1)
	}
}
