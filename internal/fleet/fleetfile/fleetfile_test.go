package fleetfile

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/operator"
	"birchcart/policy"
)

// file returns an operators' file with five voters and the given work.
func file(t *testing.T, work string) *operator.File {
	t.Helper()
	f, err := operator.Read([]byte(`{"version":1,"placement":{"holders_least":2},"fleet":{"revision":7,"voters":{` +
		`"a":{"address":"h:1"},"b":{"address":"h:2"},"c":{"address":"h:3"},"d":{"address":"h:4"},"e":{"address":"h:5"}},` +
		`"gossip":{"bind":"h:6","join":["h:6"]},"keys_file":"k","dir":"d","out_by_zone":1,"out_most":3,"parts_per_replica":4,` +
		`"grace_ms":250,"headroom":0,"work":` + work + `}}`))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Limits converts the file's units to durations and applies the defaults of settings that are absent.
func TestLimitsFromFileAndSettings(t *testing.T) {
	got := Limits(file(t, `[]`), &policy.Config{Cells: 6, Reach: 2, Shards: 12, WarmUp: 1.5})
	want := maintenance.LimitsBody{Revision: 7, Limits: maintenance.Limits{
		Cells: 6, Reach: 2, Shards: 12, MinHolders: 2, MaxOutPerZone: 1, MaxOut: 3, MaxLoadAge: 15 * time.Second, MaxInventoryAge: 15 * time.Second,
		WarmUp: 1500 * time.Millisecond, Lease: 10 * time.Second, Grace: 250 * time.Millisecond, SettleTime: 30 * time.Second,
		FailurePause: time.Minute, MaxPassedOver: 8, MinVoters: 4,
	}}
	if got != want {
		t.Errorf("%+v", got)
	}
}

// The same request gets the same ID from every co-ordinator, whatever the order of its names and keys; any other difference gives
// another ID. The agreed state accepts all of these requests.
func TestRequestIDDependsOnContent(t *testing.T) {
	const base = `{"names":["r1","r2"],"reason":"disk","for_s":60}`
	id := func(work string) string { return Requests(file(t, "["+work+"]")).Requests[0].ID }
	if id(base) != id(`{"for_s":60.0,"reason":"disk","names":["r2","r1"],"priority":"routine"}`) {
		t.Error("the same request has two IDs")
	}
	seen := map[string]string{id(base): base}
	var all []string
	for _, other := range []string{
		`{"names":["r1"],"reason":"disk","for_s":60}`,
		`{"names":["r1","r2"],"reason":"disks","for_s":60}`,
		`{"names":["r1","r2"],"reason":"disk","for_s":61}`,
		`{"names":["r1","r2"],"reason":"disk","for_s":60,"priority":"urgent"}`,
		`{"names":["r1","r2"],"reason":"disk","for_s":60,"earliest":"2026-12-02T22:00:00Z"}`,
		`{"names":["r1","r2"],"reason":"disk","for_s":60,"latest":"2026-12-02T22:00:00+01:00"}`,
		`{"kind":"replica","reason":"disk","for_s":60}`,
		`{"kind":"co-ordinator","reason":"disk","for_s":60}`,
		`{"kind":"replica","zone":"z","reason":"disk","for_s":60}`,
		`{"prefix":"z","reason":"disk","for_s":60}`,
	} {
		requestID := id(other)
		if seen[requestID] != "" {
			t.Errorf("%s and %s have the same ID", other, seen[requestID])
		}
		seen[requestID] = other
		all = append(all, other)
	}
	requests := Requests(file(t, "["+strings.Join(all, ",")+"]"))
	if r := requests.Requests[5]; r.Latest != time.Duration(time.Date(2026, 12, 2, 21, 0, 0, 0, time.UTC).UnixNano()) || r.MaxOutage != time.Minute {
		t.Errorf("%+v", r)
	}
	if err := applyRequests(requests); err != nil {
		t.Error(err)
	}
}

// Work on a voter causes a warning if the raft group has three voters, but not if it has five. Work on other machines never does.
func TestWarningsForWorkOnNeededVoters(t *testing.T) {
	f := file(t, `[{"names":["a","r1"],"reason":"disk","for_s":60},{"kind":"co-ordinator","reason":"disk","for_s":60},
		{"prefix":"r","reason":"disk","for_s":60},{"kind":"replica","reason":"disk","for_s":60},{"names":["x"],"reason":"disk","for_s":60},
		{"zone":"z","reason":"disk","for_s":60}]`)
	if got := Warnings(f); got != nil {
		t.Errorf("with five voters: %q", got)
	}
	delete(f.Fleet.Voters, "d")
	delete(f.Fleet.Voters, "e")
	got := Warnings(f)
	if len(got) != 2 || !strings.HasPrefix(got[0], "$.fleet.work[0]: a: never") || !strings.HasPrefix(got[1], "$.fleet.work[1]: a, b, c: never") {
		t.Errorf("%q", got)
	}
	v := f.Fleet.Voters["b"]
	v.Zone = "z"
	f.Fleet.Voters["b"] = v
	if got := Warnings(f); len(got) != 3 || !strings.HasPrefix(got[2], "$.fleet.work[5]: b: never") {
		t.Errorf("%q", got)
	}
	if Warnings(nil) != nil || Warnings(&operator.File{}) != nil {
		t.Error("warnings for a file without a fleet section")
	}
}

// applyRequests applies requests to an empty maintenance state.
func applyRequests(requests maintenance.RequestsBody) error {
	body, err := json.Marshal(requests)
	if err != nil {
		return err
	}
	return maintenance.New().Apply(time.Second, func() uint64 { return 1 }, "asks", body)
}
