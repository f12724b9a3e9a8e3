package main

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/laneconfig"
	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/operator"
	"birchcart/internal/template"
)

// The test binary stands in for the command when it is started with this variable set.
func TestMain(m *testing.M) {
	template.Child()
	if os.Getenv("BIRCHCTL_MAIN") != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// ctl runs the command and returns its status and all that it says.
func ctl(t *testing.T, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "BIRCHCTL_MAIN=1")
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

const (
	shipped = "../../deploy/operator.jsonnet"
	wrong   = "../../examples/wrong/"
)

// wants are the messages that a wrong example must give, from its first lines; a bar parts alternatives.
func wants(t *testing.T, path string) [][]string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var out [][]string
	for _, line := range strings.Split(string(raw), "\n") {
		if want, ok := strings.CutPrefix(line, "// wants: "); ok {
			out = append(out, strings.Split(want, "|"))
		}
	}
	if len(out) == 0 {
		t.Errorf("%s does not say what it wants", path)
	}
	return out
}

// examples are the files of a pattern, of which there must be so many.
func examples(t *testing.T, pattern string, least int) []string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) < least {
		t.Fatalf("%d examples, %v", len(paths), err)
	}
	return paths
}

// some is all of the examples, or a quarter of them in a short run: each starts the program several times, which takes
// a second under the race detector.
func some(paths []string) []string {
	if !testing.Short() {
		return paths
	}
	var out []string
	for i := 0; i < len(paths); i += 4 {
		out = append(out, paths[i])
	}
	return out
}

func hasAll(t *testing.T, path, out string) {
	t.Helper()
	for _, alternatives := range wants(t, path) {
		found := false
		for _, w := range alternatives {
			found = found || strings.Contains(out, w)
		}
		if !found {
			t.Errorf("%s: no %q in:\n%s", path, alternatives, out)
		}
	}
}

func TestWrongOperatorFiles(t *testing.T) {
	paths := some(examples(t, wrong+"operator/*.jsonnet", 20))
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			status, out := ctl(t, "lint", "--operator", path)
			if status != statusUnread {
				t.Errorf("status %d", status)
			}
			if took := time.Since(began); took > 10*time.Second { // 4 s are the template's; the rest is a slow machine's
				t.Errorf("told after %v", took)
			}
			hasAll(t, path, out)
		})
	}
}

func TestWrongExpectations(t *testing.T) {
	paths := some(examples(t, wrong+"expect/*.jsonnet", 10))
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			status, out := ctl(t, "expect", "--operator", shipped, path)
			if unread := strings.Contains(out, "$."); unread && status != statusUnread || !unread && status != statusNotHeld {
				t.Errorf("status %d", status)
			}
			hasAll(t, path, out)
		})
	}
}

// A file that is too large is refused before it is read whole.
func TestHugeFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "huge.jsonnet")
	if err := os.WriteFile(path, bytes.Repeat([]byte("// more\n"), 10<<20/8), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, out := ctl(t, "lint", "--operator", path); status != statusUnread || !strings.Contains(out, "larger than 1 MB") {
		t.Errorf("%d: %s", status, out)
	}
}

func TestShippedFilesHold(t *testing.T) {
	for _, name := range []string{"fleet", "fleet-sessions", "fleet-lanes"} {
		if status, out := ctl(t, "lint", "--operator", "../../deploy/"+name+".jsonnet"); status != 0 {
			t.Errorf("%s: %d: %s", name, status, out)
		}
	}
	if status, out := ctl(t, "lint", "--strict", "--operator", shipped); status != 0 {
		t.Errorf("%d: %s", status, out)
	}
	report := filepath.Join(t.TempDir(), "junit.xml")
	status, out := ctl(t, "-o", "json", "expect", "--operator", shipped, "--junit", report)
	if status != 0 {
		t.Errorf("%d: %s", status, out)
	}
	var results []outcome
	if err := json.Unmarshal([]byte(out), &results); err != nil || len(results) < 25 {
		t.Errorf("%d results, %v", len(results), err)
	}
	var suites struct {
		Tests int `xml:"tests,attr"`
	}
	raw, _ := os.ReadFile(report)
	if err := xml.Unmarshal(raw, &suites); err != nil || suites.Tests != len(results) {
		t.Errorf("%d tests in the report, %v", suites.Tests, err)
	}
}

// What explain shows at a moment of a situation is what the module goes by there.
func TestExplainDuringADrain(t *testing.T) {
	status, out := ctl(t, "-o", "json", "explain", "--operator", shipped, "--class", "species-search", "--shard", "2",
		"--expect", "../../deploy/expect/drains.jsonnet", "--at", "a draining reader gets nothing new, and only then@1500")
	var e explained
	if err := json.Unmarshal([]byte(out), &e); status != 0 || err != nil {
		t.Fatalf("%d, %v: %s", status, err, out)
	}
	why := map[string]string{}
	for _, h := range e.Holders {
		why[h.Reader] = strings.Join(h.Why, ", ")
		if h.Reader == "r3.example.org" && h.Candidate {
			t.Error("a draining reader is a candidate")
		}
	}
	if len(e.Holders) != 3 || !strings.Contains(why["r3.example.org"], "draining") || e.Need != 3 || e.Parts != 4 {
		t.Errorf("%+v", e)
	}
}

func TestRenderWritesWholeOrNotAtAll(t *testing.T) {
	to := filepath.Join(t.TempDir(), "operator.json")
	if status, out := ctl(t, "render", shipped, "--to", to); status != 0 {
		t.Fatalf("%d: %s", status, out)
	}
	before, err := os.ReadFile(to)
	if err != nil || !json.Valid(before) {
		t.Fatalf("%v: %s", err, before)
	}
	if status, _ := ctl(t, "render", wrong+"operator/level.jsonnet", "--to", to); status != statusUnread {
		t.Errorf("status %d", status)
	}
	if after, _ := os.ReadFile(to); !bytes.Equal(before, after) {
		t.Error("a wrong file took the place of the old one")
	}
}

// A search finds a claim that holds only as long as nothing happens, and shows few steps.
func TestSearchFindsAndShrinks(t *testing.T) {
	path := filepath.Join(t.TempDir(), "e.jsonnet")
	const text = `{ expectations: [{ name: 'never again', seeds: 2, for_ms: 1000, whatever_comes: true,
		load: [{ class: 'species-search', every_ms: 20, parts: 3 }], readers: { least_ms: 5, mean_ms: 1 },
		claims: [{ further: { most_per_part: 0 } }] }] }`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, out := ctl(t, "expect", "--operator", shipped, path); status != 0 {
		t.Fatalf("it does not hold as written: %d: %s", status, out)
	}
	status, out := ctl(t, "-o", "json", "expect", "--operator", shipped, "--search", "2s", path)
	if i := strings.Index(out, "["); i >= 0 {
		out = out[i:]
	}
	var results []outcome
	if i := strings.LastIndex(out, "]"); i >= 0 {
		out = out[:i+1]
	}
	if err := json.Unmarshal([]byte(out), &results); err != nil || status != statusNotHeld {
		t.Fatalf("%d, %v: %s", status, err, out)
	}
	if f := results[0].Found; f == nil || len(f.Steps) == 0 || len(f.Steps) > 2 {
		t.Errorf("found %+v", f)
	}
}

func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		status int
		says   string
		args   []string
	}{
		{0, "birchctl", []string{"version"}},
		{0, "complete", []string{"completion", "bash"}},
		{2, "expected", []string{}},
		{2, "no configuration", []string{"lint"}},
		{2, "no such file", []string{"lint", "--operator", "none.jsonnet"}},
		{2, "no expectation's name matches", []string{"expect", "--operator", shipped, "--run", "no such name"}},
		{2, `is "trend-report" meant?`, []string{"explain", "--operator", shipped, "--class", "trend-reprt", "--shard", "1"}},
		{2, "from 0 to 23", []string{"explain", "--operator", shipped, "--class", "trend-report", "--shard", "24"}},
	} {
		if status, out := ctl(t, c.args...); status != c.status || !strings.Contains(out, c.says) {
			t.Errorf("%v: status %d: %s", c.args, status, out)
		}
	}
}

// What a session's key comes to: its id, what pins it, who owns it by a snapshot, and what clients are told.
func TestExplainSession(t *testing.T) {
	b := session.New()
	id := session.IDOf(2, []byte("k")) // coast, by its place
	for kind, body := range map[string]any{session.KindLimits: session.LimitsBody{Limits: session.Limits{Revision: 1, Lease: time.Second, Grace: time.Second,
		StepTimeout: time.Second, IdleTimeout: time.Second, MaxSessions: 9, Slots: 1}}} {
		raw, _ := json.Marshal(body)
		if err := b.Apply(0, nil, kind, raw); err != nil {
			t.Fatal(err)
		}
	}
	raw, _ := json.Marshal(session.ActsBody{From: "bircher", Acts: []session.Act{{Kind: session.Claim, ID: id}}})
	if err := b.Apply(0, nil, session.KindActs, raw); err != nil {
		t.Fatal(err)
	}
	lanes := laneconfig.New()
	set, err := laneconfig.NewSetBody(&operator.Lanes{}, 1)
	raw, _ = json.Marshal(set)
	if err = errors.Join(err, lanes.Apply(0, nil, laneconfig.KindSet, raw)); err != nil {
		t.Fatal(err)
	}
	raw, err = statemachine.New(map[string]statemachine.Part{"takeout": maintenance.New(), "sessions": b, laneconfig.Part: lanes}).Save()
	path := filepath.Join(t.TempDir(), "snapshot")
	if err = errors.Join(err, os.WriteFile(path, raw, 0o600)); err != nil {
		t.Fatal(err)
	}
	const file = "../../deploy/fleet-sessions.jsonnet"
	status, out := ctl(t, "-o", "json", "explain", "--operator", file, "--session", "k", "--tenant", "coast", "--snapshot", path)
	var e explainedSession
	if err := json.Unmarshal([]byte(out), &e); err != nil || status != 0 {
		t.Fatal(status, err, out)
	}
	if e.ID != id.String() || e.Lane != 0 || len(e.Classes) != 2 || len(e.Phases) != 5 || e.Agreed == nil || *e.Agreed != (agreedSession{Phase: "pinned", Owner: "bircher", Epoch: 1}) {
		t.Errorf("%s", out)
	}
	for _, c := range []struct {
		says string
		args []string
	}{{"--tenant is needed", nil}, {"--tenant:", []string{"--tenant", "cost"}}, {"--snapshot:", []string{"--tenant", "coast", "--snapshot", file}}} {
		if status, out := ctl(t, append([]string{"explain", "--operator", file, "--session", "k"}, c.args...)...); status != 2 || !strings.Contains(out, c.says) {
			t.Errorf("%d, %s; wanted %s", status, out, c.says)
		}
	}
	if status, out := ctl(t, "explain", "--operator", shipped, "--session", "k"); status != 2 || !strings.Contains(out, "nothing is pinned") {
		t.Errorf("%d, %s", status, out)
	}
}
