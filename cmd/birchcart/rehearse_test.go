package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/testproc"
)

// replaceSetting writes a copy of a configuration with one text replaced, and returns its path.
func replaceSetting(t *testing.T, path, old, replacement string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(raw), old) != 1 {
		t.Fatalf("%q occurs %d times in the configuration, want 1", old, strings.Count(string(raw), old))
	}
	out := filepath.Join(t.TempDir(), "other.json")
	if err := os.WriteFile(out, []byte(strings.Replace(string(raw), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return out
}

// With a rehearsal, clients must get the same answers as without, and the counts must be in the log. Rehearsing the
// settings in force must count no difference; rehearsing other settings must count some.
func TestRehearsalCounts(t *testing.T) {
	for _, c := range []struct {
		name, old, other string
		differ           bool
	}{
		{"same", `"need_by_class": [1.0]`, `"need_by_class": [1.0]`, false},
		{"half is enough", `"need_by_class": [1.0], "floor_by_class": [1.0]`, `"need_by_class": [0.5], "floor_by_class": [0.5]`, true},
	} {
		path, address := deploy(t, 20*time.Millisecond)
		cmd, log := startAndAwaitList(t, "--config", path, "--rehearse", replaceSetting(t, path, c.old, c.other))
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		const n = 20
		for i := range n {
			id := fmt.Sprint("q", i)
			want := fmt.Sprintf(`{"finished":true,"found":[{"bucket":0,"item":"v-%s.0"},{"bucket":3,"item":"v-%s.3"}]}`, id, id)
			if status, body, err := post(ctx, address, id); err != nil || status != 200 || body != want {
				t.Fatalf("%s: %d %s %v", c.name, status, body, err)
			}
		}
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Fatalf("%s: %v\n%s", c.name, err, log.String())
		}
		m := regexp.MustCompile(`msg=rehearsal .*differ=(\d+) .*queries=(\d+)`).FindStringSubmatch(log.String())
		if m == nil {
			t.Fatalf("%s: no counts in the log:\n%s", c.name, log.String())
		}
		differ, _ := strconv.Atoi(m[1])
		if m[2] != strconv.Itoa(n) || (differ > 0) != c.differ {
			t.Errorf("%s: %s", c.name, m[0])
		}
	}
}

// Settings that can't be rehearsed must be rejected at startup with one line that names the setting and a non-zero exit
// status.
func TestInvalidRehearsalRejected(t *testing.T) {
	path, _ := deploy(t, time.Millisecond)
	for _, c := range []struct{ old, other, place string }{
		{`"cells": 2`, `"cells": 3`, "settings.family_info.cells"},
		{`"name": "search"`, `"name": "seek"`, "settings.classes"},
		{`"tip_after_s": 1.0`, `"tip_after_s": 0`, "settings.invariants.tip_after_s"},
		{`"warm_up_s": 18.0`, `"warm_up_s": 0`, "settings.invariants.warm_up_s"},
		{`"max_retry_after_s": 0.5`, `"max_retry_after_s": 0`, "settings.allowed.max_retry_after_s"},
		{`"attempts_cap": 3`, `"attempts_cap": 1`, "settings.allowed.second_copies"},
		{`"membership_mode": "automatic"`, `"membership_mode": "sometimes"`, "membership_mode"},
		{`"fleet_size": 1`, `"fleet_size": -3`, "fleet_size"},
		{`"fleet_size": 1, "ordinal": 0`, `"fleet_size": 2, "ordinal": 2`, "settings.ordinal"},
		{`"cold_from": 0.22`, `"cold_from": -1`, "settings.invariants.cold_from"},
		{`"attempts_cap": 3`, `"attempts_cap": "three"`, "allowed.attempts_cap"},
	} {
		other := replaceSetting(t, path, c.old, c.other)
		for _, verb := range []string{"serve", "check"} {
			out, err := testproc.Command(verb, "--config", path, "--rehearse", other).CombinedOutput()
			if err == nil || !strings.Contains(string(out), c.place) || strings.Count(strings.TrimSpace(string(out)), "\n") > 0 {
				t.Errorf("%s with %s: %v, %s", verb, c.other, err, out)
			}
		}
	}
	if out, err := testproc.Command("serve", "--config", path, "--rehearse", filepath.Join(t.TempDir(), "none.json")).CombinedOutput(); err == nil {
		t.Errorf("a rehearsal file that does not exist was accepted: %s", out)
	}
}

// The README rehearses example-moved.json beside example.json: that must pass check.
func TestShippedRehearsalExample(t *testing.T) {
	out, err := testproc.Command("check", "--config", "../../deploy/example.json", "--rehearse", "../../deploy/example-moved.json").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
}
