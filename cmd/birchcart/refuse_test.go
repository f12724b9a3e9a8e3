package main

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"birchcart/internal/testproc"
)

// refusals are edits of the shipped example that no deployment can mean, each with the place that has to be named.
var refusals = []struct{ old, other, place string }{
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

// Both verbs refuse bad settings at the start: one line that names the place, and a status that is not 0.
func TestBadSettingsAreRefused(t *testing.T) {
	path, _ := deploy(t, 0)
	for _, c := range refusals {
		other := otherSettings(t, path, c.old, c.other)
		for _, verb := range []string{"serve", "check"} {
			out, err := testproc.Command(verb, "--config", other).CombinedOutput()
			if err == nil || !strings.Contains(string(out), c.place) || strings.Count(strings.TrimSpace(string(out)), "\n") > 0 {
				t.Errorf("%s with %s: %v, %s", verb, c.other, err, out)
			}
		}
	}
}

// At a hangup bad settings leave the old ones in force, also while the list is on its way to another address: that move
// goes on, the one that the bad file names does not begin.
func TestBadSettingsAtAHangup(t *testing.T) {
	path, address := deploy(t, 0)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := serving(t, "--config", path)
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
	pending.awaitAsk(t)
	hangUp(strings.Replace(withDiscovery(string(good), never.address()), `"semantics": "repeatable"`, `"semantics": ""`, 1))
	log.Until(t, "settings.classes[0].semantics")
	pending.answer(listOfNone)
	log.Until(t, `to="`+pending.address())
	log.Until(t, "the configuration is left as it was")
	if n := never.asks(); n > 0 {
		t.Errorf("the address in a refused file was asked %d times", n)
	}
	if status, _ := ready(t, address); status != 200 {
		t.Errorf("ready answered %d", status)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v\n%s", err, log.String())
	}
}
