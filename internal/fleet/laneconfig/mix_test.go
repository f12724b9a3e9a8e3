package laneconfig

import (
	"strings"
	"testing"
	"time"
)

func TestSelectorChoosesSections(t *testing.T) {
	first, err := NewSetBody(section(), 1)
	if err != nil {
		t.Fatal(err)
	}
	l := section()
	l.Accounts[0].Lane = "rest"
	second, err := NewSetBody(l, 2)
	if err != nil {
		t.Fatal(err)
	}
	a, m := New(), NewSelector(names, routes)
	now, own, heard := start, &first, 0
	clock := time.Minute
	step := func(what, lane string, changes bool, notes string) *Set {
		t.Helper()
		force, before := a.InForce(now)
		set, changed, note := m.Select(SelectorInput{Now: clock, AgreedTime: now, Current: force, Previous: before, FileSection: own, PeerRevision: heard})
		got := "no lanes"
		if set != nil {
			got = set.Lanes[set.LaneOf(set.AccountOf(2, 1, ""))].Name
		}
		if got != lane || changed != changes || (notes == "") != (note == "") || !strings.Contains(note, notes) {
			t.Fatalf("%s: %s, changed %v, %q", what, got, changed, note)
		}
		return set
	}
	step("nothing is agreed", "gold", true, "those of the own file count")
	heard = 5
	step("others know more", "gold", false, "others go by 5")
	heard = 1
	a.mustApply(t, now, first)
	step("the first, as in the file", "gold", false, "")
	heard = 2
	step("behind", "gold", false, "revision 1 are applied here, others go by 2")
	own = &second
	step("behind, the file has it", "rest", true, "the stricter of it and the own file's revision 2")
	heard = 1
	step("that was none", "gold", true, "")
	a.mustApply(t, now, second)
	two := step("both", "rest", true, "")
	if two.previous == nil || two.Revision != 2 {
		t.Errorf("not of both: %+v", two)
	}
	clock += OverlapDuration
	if one := step("the second alone", "rest", true, ""); one.previous != nil {
		t.Error("the first counts still")
	}
	now += OverlapDuration
	a.Tick(now)
	a.mustApply(t, now, packText(t, 3, `{"lanes":[{"name":"a","colour":"red"}]}`))
	step("of a newer program", "rest", false, "can't be used here")
	step("of a newer program", "rest", false, "can't be used here")
	own = nil
	step("the file has none any more", "no lanes", true, "")
	own = &second
	now += OverlapDuration
	step("of a newer program alone", "no lanes", false, "can't be used here")
}
