package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"birchcart/policy"
)

// edited is the full configuration with one text in place of another.
func edited(t *testing.T, old, other string) []byte {
	t.Helper()
	if strings.Count(full, old) != 1 {
		t.Fatalf("%q stands %d times in the configuration", old, strings.Count(full, old))
	}
	return []byte(strings.Replace(full, old, other, 1))
}

// What no deployment can mean, or would be served otherwise than it says, is refused on one line that names the place.
func TestRefused(t *testing.T) {
	const first = `{"name":"a","promise_s":2.5,"semantics":"repeatable"}`
	const tenant = `{"name":"t","quota_rps":6,"share":0.5}`
	for _, c := range []struct{ old, other, place string }{
		{first, `{"name":"a","promise_s":2.5}`, "settings.classes[0].semantics"},
		{first, `{"name":"a","promise_s":2.5,"semantics":""}`, "settings.classes[0].semantics"},
		{first, `{"name":"a","promise_s":2.5,"semantics":"idempotent"}`, "classes.0.semantics"},
		{first, `{"name":"a","semantics":"repeatable"}`, "settings.classes[0].promise_s: is missing"},
		{first, `{"name":"a","promise_s":0,"semantics":"repeatable"}`, "settings.classes[0].promise_s"},
		{first, `{"name":"a","promise_s":-1,"semantics":"repeatable"}`, "settings.classes[0].promise_s"},
		{first, `{"name":"a","promise_s":"NaN","semantics":"repeatable"}`, "classes.0.promise_s"},
		{first, `{"name":"a","promise_s":"Inf","semantics":"repeatable"}`, "classes.0.promise_s"},
		{first, `{"name":"a","promise_s":2.5,"give_up_s":-3,"semantics":"repeatable"}`, "settings.classes[0].give_up_s"},
		{first, `{"name":"a","promise_s":2.5,"window_s":-0.1,"semantics":"by_key"}`, "settings.classes[0].window_s"},
		{first, `{"name":"a","promise_s":2.5,"points":-1,"semantics":"repeatable"}`, "settings.classes[0].points"},
		{first, `{"promise_s":2.5,"semantics":"repeatable"}`, "settings.classes[0].name"},
		{first, `{"name":"b","promise_s":2.5,"semantics":"repeatable"}`, "settings.classes[1].name"},
		{first, `null`, "settings.classes[0].name"},
		{`"classes":[`, `"classes":[],"x":[`, "no class"},
		{`"classes":[`, `"classes":{"count":2000000000},"x":[`, "settings.classes: a list"},
		{`"need_by_class":[0.75,1]`, `"need_by_class":[1.5,1]`, "settings.family_info.need_by_class[0]"},
		{`"need_by_class":[0.75,1]`, `"need_by_class":[0,1]`, "settings.family_info.need_by_class[0]"},
		{`"need_by_class":[0.75,1]`, `"need_by_class":["NaN",1]`, "family_info.need_by_class"},
		{`"floor_by_class":[0.5,1]`, `"floor_by_class":[-0.5,1]`, "settings.family_info.floor_by_class[0]"},
		{`"floor_by_class":[0.5,1]`, `"floor_by_class":[0.8,1]`, "settings.family_info.floor_by_class[0]"},
		{`"follow_up":[0,5]`, `"follow_up":[0,-5]`, "settings.family_info.follow_up[1]"},
		{`"follow_up":[0,5]`, `"follow_up":[0,2.5]`, "family_info.follow_up"},
		{`"shards":24`, `"shards":0`, "settings.family_info.shards"},
		{`"shards":24,`, ``, "settings.family_info.shards: is missing"},
		{`"shards":24`, `"shards":1e300`, "family_info.shards"},
		{`"fleet_size":3`, `"fleet_size":0`, "fleet_size"},
		{`"ordinal":2`, `"ordinal":3`, "settings.ordinal"},
		{`"ordinal":2`, `"ordinal":-1`, "settings.ordinal"},
		{`"resolution_s":0.005`, `"resolution_s":-0.005`, "settings.resolution_s"},
		{`"resolution_s":0.005`, `"resolution_s":0.005,"membership_mode":"gossip"`, "membership_mode"},
		{`"attempts_cap":3`, `"attempts_cap":-1`, "settings.allowed.attempts_cap"},
		{`"attempts_cap":3`, `"attempts_cap":1.5`, "allowed.attempts_cap"},
		{`"open_cap":97`, `"open_cap":-1`, "settings.allowed.open_cap"},
		{`"connect_timeout_s":0.25`, `"connect_timeout_s":-1`, "settings.allowed.connect_timeout_s"},
		{`"conn_idle_s":30.0`, `"conn_idle_s":-1`, "settings.allowed.conn_idle_s"},
		{`"reporting":`, `"invariants":{"cold_from":1.2},"reporting":`, "settings.invariants.cold_from"},
		{`"reporting":`, `"invariants":{"fall_multiple":-2},"reporting":`, "settings.invariants.fall_multiple"},
		{tenant, `{"name":"t","share":1.2}`, "settings.tenants[0].share"},
		{tenant, `{"name":"t","quota_rps":-6,"share":0.5}`, "settings.tenants[0].quota_rps"},
		{tenant, `{"name":"t","share":0.7},{"name":"u","share":0.7}`, "settings.tenants: shares that add up to 1.4"},
		{tenant, `{"name":"t","share":0.1},{"name":"t","share":0.1}`, "settings.tenants[1].name"},
		{tenant, `{"share":0.1}`, "settings.tenants[0].name"},
		{`"sockets":1024`, `"sockets":-1`, "limits.sockets"},
		{`"sockets":1024`, `"sockets":20`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
	} {
		_, err := Parse(edited(t, c.old, c.other), Source{})
		if err == nil || !strings.Contains(err.Error(), c.place) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.other, err)
		}
	}
}

// All mistakes of one file stand on its one line, and the type tells them apart.
func TestRefusalTellsAll(t *testing.T) {
	_, err := Parse(edited(t, `"shards":24,"per_call":4,"need_by_class":[0.75,1]`, `"shards":0,"per_call":4,"need_by_class":[0.75,2]`), Source{})
	var r *Refusal
	if !errors.As(err, &r) || len(r.Mistakes) != 2 || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
}

// What a platform may mean is taken: a start that is refused serves nobody.
func TestTaken(t *testing.T) {
	const first = `{"name":"a","promise_s":2.5,"semantics":"repeatable"}`
	for _, c := range []struct{ old, other string }{
		{`"open_cap":97`, `"open_cap":0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000`},
		{`"attempts_cap":3`, `"attempts_cap":0`},
		{`"attempts_cap":3`, `"attempts_cap":1,"second_copies":true`},
		{`"attempts_cap":3`, `"attempts_cap":3.0,"retry_after":true,"max_retry_after_s":0`},
		{`"connect_timeout_s":0.25,`, ``},
		{`"connect_timeout_s":0.25`, `"connect_timeout_s":0`},
		{`"conn_idle_s":30.0`, `"conn_idle_s":0`},
		{`"streams_per_conn":32`, `"streams_per_conn":0`},
		{first, `{"name":"a","promise_s":2.5,"give_up_s":0,"points":0,"semantics":"repeatable"}`},
		{first, `{"name":"a","promise_s":2.5,"give_up_s":0.2,"semantics":"repeatable"}`}, // deadlines shortened for a day
		{first, `{"name":"a","promise_s":0.05,"give_up_s":0.2,"semantics":"repeatable"}`},
		{first, `{"name":"a","promise_s":20,"give_up_s":30,"window_s":0.1,"semantics":"by_key"}`},
		{first, `{"name":"a","promise_s":2.5,"semantics":"by_key"}`},
		{first, `{"name":"a","promise_s":2.5,"semantics":"once","group":"all","stream":false,"aim_stretch":3}`},
		{`,"tenants":[{"name":"t","quota_rps":6,"share":0.5}]`, ``},
		{`[{"name":"t","quota_rps":6,"share":0.5}]`, `[]`},
		{`{"name":"t","quota_rps":6,"share":0.5}`, `{"name":"t","quota_rps":0,"share":0}`},
		{`{"name":"t","quota_rps":6,"share":0.5}`, `{"name":"t","share":0.34},{"name":"u","share":0.34},{"name":"v","share":0.33}`},
		{`"zone":"b","failure_domains":["a","b"],`, ``},
		{`"zone":"b","failure_domains":["a","b"]`, `"zone":"","failure_domains":[]`},
		{`"fleet_size":3,"ordinal":2`, `"fleet_size":300,"ordinal":299`},
		{`"fleet_size":3,"ordinal":2,`, ``},
		{`"resolution_s":0.005,`, ``},
		{`"reach":2`, `"reach":20`},
		{`"floor_by_class":[0.5,1]`, `"floor_by_class":[0,1]`},
		{`"need_by_class":[0.75,1],"floor_by_class":[0.5,1]`, `"need_by_class":[0.8333333,1],"floor_by_class":[0.8333333333333334,1]`},
		{`"need_by_class":[0.75,1],"floor_by_class":[0.5,1],"follow_up":[0,5]`, `"short_worth":[0.9,0]`},
		{`"reporting":{"how":"inline","names":["cpu"]}`, `"invariants":{"cold_from":0,"warm_up_s":0,"fall_multiple":0,"tip_after_s":0,"must_ask_in_s":10}`},
		{`"reporting":{"how":"inline","names":["cpu"]}`, `"invariants":{"cold_from":1,"warm_up_s":0,"fall_multiple":2.5,"tip_after_s":1}`},
		{`"cores":1.0,"memory_mb":192,"sockets":1024`, ``},
		{`"memory_mb":192,"sockets":1024`, `"memory_mb":0,"sockets":0`},
		{`"known":{"index":41,"snapshot":true,"endpoints":[]},`, ``},
		{`"known":{"index":41,"snapshot":true,"endpoints":[]}`, `"known":null`},
		{`"known":{"index":41,"snapshot":true,"endpoints":[]}`, `"known":{"index":"no"}`},
	} {
		if _, err := Parse(edited(t, c.old, c.other), Source{}); err != nil {
			t.Errorf("%s: %v", c.other, err)
		}
	}
}

// A class of each effect and of deadlines from 50 ms to a minute gives limits that hold: none is 0 where 0 would mean that
// there is none, the end lies before the process may be killed, and an answer is expected for as long as it may come.
func TestLimitsHoldForShortAndLongDeadlines(t *testing.T) {
	for _, giveUp := range []float64{0, 0.05, 0.2, 1, 3, 30, 60} {
		text := strings.Replace(full, `"promise_s":2.5`, fmt.Sprintf(`"promise_s":0.04,"give_up_s":%g`, giveUp), 1)
		text = strings.Replace(text, `"promise_s":1.5`, fmt.Sprintf(`"promise_s":0.04,"give_up_s":%g`, giveUp), 1)
		text = strings.Replace(text, `"conn_idle_s":30.0,"connect_timeout_s":0.25,`, "", 1)
		c, err := Parse([]byte(text), Source{})
		if err != nil {
			t.Fatal(err)
		}
		l, deadline := c.Limits, seconds(giveUp)
		if giveUp == 0 {
			deadline = 3 * time.Second // not told: the page's most
		}
		const comes = 700 * time.Millisecond // after SIGTERM
		if kill := comes + min(deadline, 3*time.Second); l.EndTime <= comes || l.EndTime >= kill {
			t.Errorf("deadlines of %v: all is answered %v after SIGTERM, killed after %v", deadline, l.EndTime, kill)
		}
		if l.Remember < deadline {
			t.Errorf("deadlines of %v: an answer is expected for %v", deadline, l.Remember)
		}
		if l.ConnectTime <= 0 || l.Silence <= 0 || l.FrameTime <= 0 || l.ProbeTime <= 0 || l.ReplicaIdle <= 0 {
			t.Errorf("%+v", l)
		}
	}
}

// 0 can't be meant for these two: it would dial without end, and close every connection at once.
func TestZeroTimesAreNotTold(t *testing.T) {
	var told, zero *Config
	var err error
	if told, err = Parse(edited(t, `"conn_idle_s":30.0,"connect_timeout_s":0.25,`, ``), Source{}); err != nil {
		t.Fatal(err)
	}
	if zero, err = Parse(edited(t, `"conn_idle_s":30.0,"connect_timeout_s":0.25`, `"conn_idle_s":0,"connect_timeout_s":0`), Source{}); err != nil {
		t.Fatal(err)
	}
	if told.Limits != zero.Limits || zero.Limits.ConnectTime != absentConnect {
		t.Errorf("%+v\n%+v", told.Limits, zero.Limits)
	}
}

// The settings of the wire's page, with a class of each effect, are taken as they stand.
func TestSettingsOfThePlatform(t *testing.T) {
	class := func(name, semantics string) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "promise_s": 2.5, "give_up_s": 6.0, "group": "all",
			"late_worth": 0.1, "points": 2.0, "stream": false, "window_s": 5.0}
	}
	settings := map[string]any{
		"fleet_size": 300, "ordinal": 17, "zone": "x", "failure_domains": []string{"x"}, "membership_mode": "subscribe",
		"over_share_worth": 1.0, "worth_by": "request", "layer": 0, "family": "fanout", "resolution_s": 0.005,
		"allowed": map[string]any{"attempts_cap": 4, "open_cap": 136, "conn_idle_s": 15.0, "connect_timeout_s": 0.25, "peers": false},
		"classes": []any{class("a", "repeatable"), class("b", "by_key"), class("c", "once")},
		"family_info": map[string]any{"cells": 12, "reach": 2, "shards": 24, "per_call": 16, "overhead_s": 0.0,
			"need_by_class": []float64{5.0 / 6, 1, 1}, "floor_by_class": []float64{5.0 / 6, 1, 1}, "follow_up": []int{0, 5, 0},
			"short_worth": []float64{.9, .9, .9}, "warm_keys": false},
		"invariants": map[string]any{"answer_slack_s": 0.02, "cold_from": 0.22, "drain_grace_s": 0.25, "fall_multiple": 2.0,
			"must_ask_in_s": 10.0, "tip_after_s": 1.0, "warm_up_s": 18.0},
		"prices": map[string]any{"waste": 0.03}, "goal": map[string]any{"whole": 0.4}, "reporting": map[string]any{"how": "off"},
	}
	raw, err := json.Marshal(map[string]any{"name": "n17", "listen": "10.0.0.4:8443", "discovery": "10.2.0.1:8500",
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(raw, Source{})
	if err != nil {
		t.Fatal(err)
	}
	for i, effect := range []policy.Effect{policy.Safe, policy.Keyed, policy.Unsafe} {
		if c.Policy.Classes[i].Effect != effect {
			t.Errorf("class %d: %v", i, c.Policy.Classes[i].Effect)
		}
	}
}
