package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// planted is a fault to plant in a copy of package policy: texts of its files and their replacements.
type planted struct {
	name  string
	edits [][3]string // file, text, replacement
}

var plantedFaults = []planted{
	{"parts sent to draining replicas", [][3]string{{"state.go", "if r.state == Up {\n\t\t\t\tp.holderBuf", "if r.state != Removed {\n\t\t\t\tp.holderBuf"},
		{"sending.go", "r.state != Up,                            // rule 3", "r.state == Removed,"}}},
	{"parts sent to removed replicas", [][3]string{{"state.go", "if r.state == Up {\n\t\t\t\tp.holderBuf", "if r.state != Draining {\n\t\t\t\tp.holderBuf"},
		{"sending.go", "r.state != Up,                            // rule 3", "r.state == Draining,"}}},
	{"last holder of a shard ignored", [][3]string{{"state.go", "for j := range min(p.cfg.Reach, p.cfg.Cells) {\n\t\tfor _, r", "for j := range min(p.cfg.Reach, p.cfg.Cells) - 1 {\n\t\tfor _, r"}}},
	{"holders of the next shard used", [][3]string{{"state.go", "p.cells[(shard+j)%p.cfg.Cells] {\n\t\t\tif r.state", "p.cells[(shard+j+1)%p.cfg.Cells] {\n\t\t\tif r.state"}}},
	{"one attempt too many", [][3]string{{"sending.go", "len(pt.attempts) >= p.maxAttempts(pt.query),", "len(pt.attempts) > p.maxAttempts(pt.query),"},
		{"outcomes.go", "if len(pt.attempts) >= p.maxAttempts(q) || ", "if len(pt.attempts) > p.maxAttempts(q) || "}}},
	{"cold replicas not protected", [][3]string{{"guards.go", "return cold && r.credit < 1", "return cold && r.credit < -1e9"}}},
	{"ties always to the first holder", [][3]string{{"choice.go", "if ties += w; uniform && p.rng.IntN(int(ties)) == 0 || !uniform && p.rng.Float64()*ties < w {", "if ties += w; ties < 0 {"}}},
	{"most loaded holder first", [][3]string{{"choice.go", "candidateRank == rank && n < load", "candidateRank == rank && n > load"}}},
	{"unsafe parts repeated", [][3]string{{"sending.go", "return c.Effect == Safe || first == nil ||", "return c.Effect == Safe || c.Effect == Unsafe || first == nil ||"}}},
	{"unsafe queries refused", [][3]string{{"answers.go", "a.Verb = Fail // rule 2", "a.Verb = Refuse //"}}},
	{"incomplete answers marked complete", [][3]string{{"answers.go", "p.finish(q, Action{Verb: Answer, Query: q.id, Complete: complete})", "p.finish(q, Action{Verb: Answer, Query: q.id, Complete: true})"}}},
	{"answers below the floor", [][3]string{{"answers.go", "return q.receivedWeight >= floor-weightTolerance", "return q.receivedWeight >= floor-1"}}},
	{"always m parts", [][3]string{{"count.go", "if backlog == 0 {", "if backlog < 0 {"}, {"count.go", "for s < k && backlog < ", "for s < k && backlog < -1 && backlog < "}}},
	{"always k parts", [][3]string{{"count.go", "if backlog == 0 {", "if backlog >= 0 {"}}},
	{"no scout", [][3]string{{"policy.go", "if q.scouting = q.step == 1 && q.mayBreak; q.scouting", "if q.scouting = q.step == 3 && q.mayBreak; q.scouting"}}},
	{"refusals without a retry delay", [][3]string{{"answers.go", "if a.Verb == Refuse && p.cfg.RetryAfter {", "if a.Verb == Answer && p.cfg.RetryAfter {"}}},
	{"suspect replicas not excluded", [][3]string{{"health.go", "if !r.suspect {", "if !r.suspect || class >= 0 {"}}},
	{"late parts not copied", [][3]string{{"time.go", "if !lost && age < late {", "if !lost || age < late {"}, {"time.go", "lost := age >= lostFactor*late", "lost := age >= 100*lostFactor*late"}}},
	{"busy holders not refused on arrival", [][3]string{{"guards.go", "if reachable < q.need {", "if reachable < -q.need {"}}},
	{"queries not ended before their deadline", [][3]string{{"time.go", "if q.deadline-p.now <= deadlineMargin*p.tick ||", "if q.deadline-p.now <= -deadlineMargin*p.tick ||"}, {"sending.go", "pt.closed || pt.received || pt.query.deadline-p.now <= p.tick,", "pt.closed || pt.received,"}}},
	{"health record of one class used for all", [][3]string{{"health.go", "own := &r.records[class]", "own := &r.records[0]"}}},
	{"tenants over their share not distinguished", [][3]string{{"guards.go", "if q.tenant < 0 || p.cfg.OverShareValue >= 1 {", "if q.tenant < 0 || p.cfg.OverShareValue >= 0 {"}}},
}

// Each fault planted in package policy must break at least one shipped expectation; otherwise the expectations would not
// detect the same fault in the real package. The test builds birchctl once for each fault, so -short skips it.
func TestPlantedFaultsAreFound(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the command for each fault")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range plantedFaults {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			overlay := map[string]map[string]string{"Replace": {}}
			texts := map[string]string{}
			for _, e := range m.edits {
				text, ok := texts[e[0]]
				if !ok {
					raw, err := os.ReadFile(filepath.Join(root, "policy", e[0]))
					if err != nil {
						t.Fatal(err)
					}
					text = string(raw)
				}
				if strings.Count(text, e[1]) != 1 {
					t.Fatalf("%s has %d of %q: update the text of this fault", e[0], strings.Count(text, e[1]), e[1])
				}
				texts[e[0]] = strings.Replace(text, e[1], e[2], 1)
			}
			for name, text := range texts {
				path := filepath.Join(dir, name)
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				overlay["Replace"][filepath.Join(root, "policy", name)] = path
			}
			raw, _ := json.Marshal(overlay)
			list, program := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "birchctl")
			if err := os.WriteFile(list, raw, 0o600); err != nil {
				t.Fatal(err)
			}
			build := exec.Command("go", "build", "-overlay", list, "-o", program, "./cmd/birchctl")
			build.Dir = root
			if out, err := build.CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			cmd := exec.Command(program, "-o", "json", "expect", "--operator", filepath.Join(root, "deploy/operator.jsonnet"))
			out, _ := cmd.Output()
			var results []outcome
			if err := json.Unmarshal(out, &results); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			var by []string
			for _, r := range results {
				if r.State == "broken" {
					by = append(by, r.Name)
				}
			}
			if len(by) == 0 {
				t.Error("no expectation detected the fault")
				return
			}
			t.Logf("| %s | %d | %s |", m.name, len(by), by[0])
		})
	}
}
