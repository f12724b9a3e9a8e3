package config

import (
	"strings"
	"testing"
	"time"

	"birchcart/internal/settings"
	"birchcart/policy"
)

const full = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"index":41,"snapshot":true,"endpoints":[]},
 "settings":{"resolution_s":0.005,"fleet_size":3,"ordinal":2,"zone":"b","failure_domains":["a","b"],"unknown":{"x":[{"y":null}]},
  "allowed":{"attempts_cap":3,"cancelling":true,"conn_idle_s":30.0,"connect_timeout_s":0.25,"streams_per_conn":32,"open_cap":97},
  "classes":[{"name":"a","promise_s":2.5,"semantics":"repeatable"},{"name":"b","promise_s":1.5,"semantics":"once"}],
  "family_info":{"cells":12,"reach":2,"shards":24,"per_call":4,"need_by_class":[0.75,1],"floor_by_class":[0.5,1],"follow_up":[0,5]},
  "reporting":{"how":"inline","names":["cpu"]},"tenants":[{"name":"t","quota_rps":6,"share":0.5}]}}`

func TestConfig(t *testing.T) {
	c, err := Parse([]byte(full), Source{Listen: "127.0.0.9:1"})
	if err != nil {
		t.Fatal(err)
	}
	p := c.Policy
	if c.Name != "n3" || c.Listen != "127.0.0.9:1" || p.Seed != 0x8c1f30d27a5be964 || p.Zone != 1 || p.Coordinators != 3 {
		t.Errorf("%+v", c)
	}
	if len(p.Classes) != 2 || p.Classes[0].Need != 0.75 || p.Classes[1].FollowUp != 5 || p.Classes[1].Effect != policy.Unsafe {
		t.Errorf("%+v", p.Classes)
	}
	if len(c.Names.Classes) != 2 || c.Names.Classes[1] != "b" || p.Tenants[0].Quota != 6 || p.ReportNames[0] != "cpu" {
		t.Errorf("%+v", c.Names)
	}
	l := c.Limits
	if l.ConnectTime != 250*time.Millisecond || l.ReplicaIdle >= 30*time.Second || l.Streams != 32 || l.CallParts != 4 || l.Held != 97 {
		t.Errorf("%+v", l)
	}
}

// Descriptors of all kinds together stay under the limit, whatever it is.
func TestDescriptorsStayUnderTheLimit(t *testing.T) {
	for _, n := range []int{64, 256, 1024, 65536} {
		l := limits(machine{Sockets: n}, nothing())
		if sum := l.Clients + l.ClientsOver + l.ReplicaLinks + fixedSockets; sum > n || l.Clients < 1 || l.ReplicaLinks < 1 {
			t.Errorf("%d of %d descriptors, %+v", sum, n, l)
		}
	}
}

// One clock for the list: what a silent watch missed counts as told 6 s after it fell silent, what the agent has after an
// outage at once; the least grace of the rules is 0.25 s and 50 ms. The sums stand in docs/design.md.
func TestTheListIsHeardBeforeItCountsAsTold(t *testing.T) {
	l := limits(machine{}, nothing())
	const toldAfter, pulse, grace = 6 * time.Second, 2 * time.Second, 300 * time.Millisecond
	if l.WatchSilence < pulse+pulse/4 {
		t.Errorf("a pulse that is a little late counts as silence: %v", l.WatchSilence)
	}
	if sum := l.WatchSilence + l.RedialFirst + l.RedialMost + l.AgentTime; sum > toldAfter {
		t.Errorf("what a silent watch missed is had after %v", sum)
	}
	if sum := 2 * l.WatchSilence; sum < toldAfter { // where the decisions are told after the second of them
		t.Errorf("asked for %v on our own", sum)
	}
	const open, heldUp, answer = 5, 150 * time.Millisecond, 25 * time.Millisecond // discovery's asks at the most; of the grace
	if l.RedialMost+heldUp+answer > grace || l.AgentTime/2 > open*l.RedialMost {
		t.Errorf("%v from one ask to the next, each open for %v with no answer", l.RedialMost, l.AgentTime/2)
	}
}

// What a small machine buffers at the most leaves room for the rest.
func TestBuffersFitASmallMachine(t *testing.T) {
	l := limits(machine{Sockets: 256, MemoryMB: 32}, nothing())
	links := int64(l.ReplicaLinks) * int64(l.FrameBytes)
	if sum := 2*l.UnreadBytes + 2*int64(l.ListBytes) + links; sum > l.Memory*3/4 {
		t.Errorf("%d of %d bytes", sum, l.Memory)
	}
	if l.IdleMost < 8 || l.IdleMost > l.Clients/2 || l.Clients < l.Sockets/3 {
		t.Errorf("%d idle of %d connections", l.IdleMost, l.Clients)
	}
}

func TestBadConfigurations(t *testing.T) {
	for want, text := range map[string]string{
		"unexpected end":        full[:40],
		"listen":                strings.Replace(full, "127.0.0.1:8443", "nowhere", 1),
		"discovery":             strings.Replace(full, "127.0.0.2:8500", "", 1),
		"seed":                  strings.Replace(full, "8c1f", "xyz", 1),
		"no settings":           `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2"}`,
		"no class":              `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{}}`,
		`"classes.1.promise_s"`: strings.Replace(full, `"promise_s":1.5`, `"promise_s":"soon"`, 1),
		`"classes.1.semantics"`: strings.Replace(full, `"once"`, `"never"`, 1),
	} {
		if _, err := Parse([]byte(text), Source{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	if _, err := Load(Source{}); err == nil {
		t.Error("no file was taken")
	}
	if _, err := Load(Source{Path: t.TempDir() + "/none"}); err == nil {
		t.Error("a missing file was taken")
	}
}

func nothing() *settings.Reader { return &settings.Reader{} }
