package main

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"birchcart/internal/testproc"
)

// invalidSettings lists edits that make the shipped example invalid, each with the path of the setting that the error
// must name.
var invalidSettings = []struct{ old, other, place string }{
	{`"semantics": "repeatable"`, `"semantics": ""`, "settings.classes[0].semantics"},
	{`"semantics": "repeatable"`, `"semantics": "idempotent"`, "classes.0.semantics"},
	{`"name": "search", `, ``, "settings.classes[0].name"},
	{`"promise_s": 1.0, `, ``, "settings.classes[0].promise_s"},
	{`"promise_s": 1.0`, `"promise_s": "NaN"`, "classes.0.promise_s"},
	{`"need_by_class": [1.0]`, `"need_by_class": [1.5]`, "settings.family_info.need_by_class[0]"},
	{`"shards": 4`, `"shards": 0`, "settings.family_info.shards"},
	{`"fleet_size": 1`, `"fleet_size": 0`, "fleet_size"},
	{`"ordinal": 0`, `"ordinal": 1`, "settings.ordinal"},
	{`"membership_mode": "automatic"`, `"membership_mode": "gossip"`, "membership_mode"},
	{`"open_cap": 200`, `"open_cap": -1`, "settings.allowed.open_cap"},
	{`"sockets": 1024`, `"sockets": 16`, "limits.sockets"},
}

// serve and check must reject invalid settings at startup with one line that names the setting and a non-zero exit
// status.
func TestServeAndCheckRejectInvalidSettings(t *testing.T) {
	path, _ := deploy(t, 0)
	for _, c := range invalidSettings {
		other := replaceSetting(t, path, c.old, c.other)
		for _, verb := range []string{"serve", "check"} {
			out, err := testproc.Command(verb, "--config", other).CombinedOutput()
			if err == nil || !strings.Contains(string(out), c.place) || strings.Count(strings.TrimSpace(string(out)), "\n") > 0 {
				t.Errorf("%s with %s: %v, %s", verb, c.other, err, out)
			}
		}
	}
}

// A reload by SIGHUP with invalid settings must keep the old ones in force, also while a move to another discovery
// address is in progress: that move continues, and a move to the address in the invalid file does not begin.
func TestReloadRejectsInvalidSettings(t *testing.T) {
	path, address := deploy(t, 0)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := startAndAwaitList(t, "--config", path)
	pending := newGatedDiscovery(t)
	never := newGatedDiscovery(t)
	hangUp := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
	}
	hangUp(withDiscovery(string(good), pending.address()))
	pending.awaitRequest(t)
	hangUp(strings.Replace(withDiscovery(string(good), never.address()), `"semantics": "repeatable"`, `"semantics": ""`, 1))
	log.Until(t, "settings.classes[0].semantics")
	pending.respond(emptyList)
	log.Until(t, `to="`+pending.address())
	log.Until(t, "the configuration is left as it was")
	if n := never.requestCount(); n > 0 {
		t.Errorf("the discovery address in a rejected file received %d requests", n)
	}
	if status, _ := readyStatus(t, address); status != 200 {
		t.Errorf("readiness status is %d", status)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v\n%s", err, log.String())
	}
}
