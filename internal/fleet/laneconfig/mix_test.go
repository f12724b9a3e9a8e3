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
	state, selector := New(), NewSelector(names, routes)
	now, fileSection, peerRevision := start, &first, 0
	clock := time.Minute
	step := func(what, lane string, changes bool, wantNote string) *Set {
		t.Helper()
		current, previous := state.InForce(now)
		set, changed, note := selector.Select(SelectorInput{Now: clock, AgreedTime: now, Current: current, Previous: previous, FileSection: fileSection, PeerRevision: peerRevision})
		got := "no lanes"
		if set != nil {
			got = set.Lanes[set.LaneOf(set.AccountOf(2, 1, ""))].Name
		}
		if got != lane || changed != changes || (wantNote == "") != (note == "") || !strings.Contains(note, wantNote) {
			t.Fatalf("%s: %s, changed %v, %q", what, got, changed, note)
		}
		return set
	}
	step("nothing is agreed on", "gold", true, "that of the local file applies")
	peerRevision = 5
	step("others have a higher revision", "gold", false, "others apply 5")
	peerRevision = 1
	state.mustApply(t, now, first)
	step("the first section, as in the file", "gold", false, "")
	peerRevision = 2
	step("behind", "gold", false, "it applies lanes of revision 1, others apply 2")
	fileSection = &second
	step("behind, and the file has the revision", "rest", true, "the stricter combination of it and revision 2 of the local file applies")
	peerRevision = 1
	step("no longer behind", "gold", true, "")
	state.mustApply(t, now, second)
	both := step("both sections", "rest", true, "")
	if both.previous == nil || both.Revision != 2 {
		t.Errorf("not a merged set: %+v", both)
	}
	clock += OverlapDuration
	if one := step("the second section alone", "rest", true, ""); one.previous != nil {
		t.Error("the first section still applies")
	}
	now += OverlapDuration
	state.Tick(now)
	state.mustApply(t, now, packText(t, 3, `{"lanes":[{"name":"a","colour":"red"}]}`))
	step("a section of a newer program", "rest", false, "cannot be used here")
	step("a section of a newer program", "rest", false, "cannot be used here")
	fileSection = nil
	step("no section in the file", "no lanes", true, "")
	fileSection = &second
	now += OverlapDuration
	step("only a section of a newer program", "no lanes", false, "cannot be used here")
}
