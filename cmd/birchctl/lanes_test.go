package main

import (
	"encoding/json"
	"strings"
	"testing"
)

// What lanes give a query: of whom it is, by what, and what that keeps.
func TestExplainLanes(t *testing.T) {
	const file = "../../deploy/fleet-lanes.jsonnet"
	for _, c := range []struct {
		args                string
		account, by, lane   string
		guarantee, here     float64
		most, floor         float64
		backKnown, backTold bool
	}{
		{"--tenant north", "", "nothing: it is in no account", "standard", 0, 0, 0, 0, false, false},
		{"--tenant coast --class tally-submit", "coast", "its tenant", "premium", 0.25, 0.05, 0, 0.05, true, false},
		{"--tenant south --mark ministry-9c02 --class trend-report", "ministry", "its mark", "premium", 0.15, 0.03, 0.3, 0.02, true, true},
	} {
		status, out := ctl(t, append([]string{"-o", "json", "explain", "--operator", file, "--lanes"}, strings.Fields(c.args)...)...)
		var e explainedLane
		if err := json.Unmarshal([]byte(out), &e); err != nil || status != 0 {
			t.Fatal(status, err, out)
		}
		if e.Account != c.account || e.By != c.by || e.Lane != c.lane || e.Guarantee != c.guarantee || e.Home != c.here || e.Most != c.most ||
			e.ClassLeft != c.floor || (e.Come != nil) != c.backKnown || e.Come != nil && *e.Come != c.backTold ||
			len(e.ShedOrder) != 3 || e.ShedOrder[0].Lane != "standard" || e.ShedOrder[2].Guarantee != 0.4 || e.Sure < 0.719 || e.Sure > 0.721 {
			t.Errorf("%s: %s", c.args, out)
		}
	}
	status, out := ctl(t, "explain", "--operator", file, "--lanes", "--tenant", "coast", "--class", "tally-submit")
	if status != 0 || !strings.Contains(out, "of account coast, by its tenant; lane premium") || !strings.Contains(out, "names no time to come back") {
		t.Errorf("%d: %s", status, out)
	}
	for want, args := range map[string][]string{
		"--tenant:": {"--operator", file, "--tenant", "cost"}, "--route:": {"--operator", file, "--route", "x"}, "no section fleet.lanes": {"--operator", shipped},
	} {
		if status, out := ctl(t, append([]string{"explain", "--lanes"}, args...)...); status != 2 || !strings.Contains(out, want) {
			t.Errorf("%d, %s; wanted %s", status, out, want)
		}
	}
}
