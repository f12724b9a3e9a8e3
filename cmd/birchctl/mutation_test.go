package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// fault is one planted in a copy of the module: texts of its files and what stands there instead.
type planted struct {
	name  string
	edits [][3]string // file, text, instead
}

var plantedFaults = []planted{
	{"drain not kept", [][3]string{{"state.go", "if r.state == Up {\n\t\t\t\tp.scratch", "if r.state != Removed {\n\t\t\t\tp.scratch"},
		{"sending.go", "r.state != Up,                  // rule 3", "r.state == Removed,"}}},
	{"gone not kept", [][3]string{{"state.go", "if r.state == Up {\n\t\t\t\tp.scratch", "if r.state != Draining {\n\t\t\t\tp.scratch"},
		{"sending.go", "r.state != Up,                  // rule 3", "r.state == Draining,"}}},
	{"one holder ignored", [][3]string{{"state.go", "for j := range min(p.cfg.Reach, p.cfg.Cells) {\n\t\tfor _, r", "for j := range min(p.cfg.Reach, p.cfg.Cells) - 1 {\n\t\tfor _, r"}}},
	{"ring off by one", [][3]string{{"state.go", "p.cells[(shard+j)%p.cfg.Cells] {\n\t\t\tif r.state", "p.cells[(shard+j+1)%p.cfg.Cells] {\n\t\t\tif r.state"}}},
	{"one attempt too many", [][3]string{{"sending.go", "len(pt.attempts) >= p.attemptsMost(pt.q),", "len(pt.attempts) > p.attemptsMost(pt.q),"},
		{"outcomes.go", "if len(pt.attempts) >= p.attemptsMost(q) || ", "if len(pt.attempts) > p.attemptsMost(q) || "}}},
	{"cold guard off", [][3]string{{"guards.go", "return cold && r.credit < 1", "return cold && r.credit < -1e9"}}},
	{"tie always first", [][3]string{{"choice.go", "if ties += w; even && p.rng.IntN(int(ties)) == 0 || !even && p.rng.Float64()*ties < w {", "if ties += w; ties < 0 {"}}},
	{"most loaded first", [][3]string{{"choice.go", "rk == rank && n < load", "rk == rank && n > load"}}},
	{"unsafe parts repeated", [][3]string{{"sending.go", "return c.Effect == Safe || first == nil ||", "return c.Effect == Safe || c.Effect == Unsafe || first == nil ||"}}},
	{"unsafe queries refused", [][3]string{{"answers.go", "a.Verb = Fail // rule 2", "a.Verb = Refuse //"}}},
	{"short answers marked whole", [][3]string{{"answers.go", "p.final(q, Action{Verb: Answer, Query: q.id, Full: whole})", "p.final(q, Action{Verb: Answer, Query: q.id, Full: true})"}}},
	{"floor not kept", [][3]string{{"answers.go", "return q.in >= floor-weightSlip", "return q.in >= floor-1"}}},
	{"always m parts", [][3]string{{"count.go", "if backlog == 0 {", "if backlog < 0 {"}, {"count.go", "for s < k && backlog < ", "for s < k && backlog < -1 && backlog < "}}},
	{"always k parts", [][3]string{{"count.go", "if backlog == 0 {", "if backlog >= 0 {"}}},
	{"no scout", [][3]string{{"policy.go", "if q.scout = q.step == 1 && q.wary; q.scout", "if q.scout = q.step == 3 && q.wary; q.scout"}}},
	{"no time to come back", [][3]string{{"answers.go", "if a.Verb == Refuse && p.cfg.RetryAfter {", "if a.Verb == Answer && p.cfg.RetryAfter {"}}},
	{"suspects not left out", [][3]string{{"health.go", "if !r.suspect {", "if !r.suspect || class >= 0 {"}}},
	{"late parts not copied", [][3]string{{"time.go", "if !lost && age < late {", "if !lost || age < late {"}, {"time.go", "lost := age >= lostTimes*late", "lost := age >= 100*lostTimes*late"}}},
	{"given up only at the end", [][3]string{{"guards.go", "if hope < q.need {", "if hope < -q.need {"}}},
	{"never gives up", [][3]string{{"time.go", "if q.due-p.now <= dueMargin*p.tick ||", "if q.due-p.now <= -dueMargin*p.tick ||"}, {"sending.go", "pt.gone || pt.in || pt.q.due-p.now <= p.tick,", "pt.gone || pt.in,"}}},
	{"one class's record for all", [][3]string{{"health.go", "own := &r.classes[class]", "own := &r.classes[0]"}}},
	{"tenants not told apart", [][3]string{{"guards.go", "if q.tenant < 0 || p.cfg.OverShareKeep >= 1 {", "if q.tenant < 0 || p.cfg.OverShareKeep >= 0 {"}}},
}

// Each fault planted in the module must break a shipped expectation, or the expectations would not notice it in the
// module either. It builds the command once for each, so the short run leaves it out.
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
					t.Fatalf("%s has %d of %q: the fault must be planted anew", e[0], strings.Count(text, e[1]), e[1])
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
				t.Error("no expectation noticed it")
				return
			}
			t.Logf("| %s | %d | %s |", m.name, len(by), by[0])
		})
	}
}
