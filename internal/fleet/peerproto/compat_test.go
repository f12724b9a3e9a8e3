package peerproto

import (
	"reflect"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/session"
)

// TestWireFormatIsUnchanged compares encoded messages with the bytes that the program wrote at commit 7c55f5a, so that
// co-ordinators of both versions can exchange messages.
func TestWireFormatIsUnchanged(t *testing.T) {
	for _, c := range []struct {
		name    string
		message Message
		bytes   string
	}{
		{"poll", Poll{From: "a", Sequence: 7, Index: 3, Epoch: 2, Load: 1.5, LoadKnown: true, Wall: time.Hour,
			Drains: []DrainStatus{{Machine: "r1", Fence: 9}, {Machine: "r2", Fence: 10, Rejected: true, Reason: "shard 3"}},
			Sessions: &SessionLoad{Owned: 2, Open: 1, Queries: 50, Memory: 4096, Idle: []session.ID{{1}},
				Unsafe: []UnsafeQuery{{ID: session.ID{2}, TimeLeft: time.Second}}}},
			"\x01" + `p{"from":"a","no":7,"index":3,"era":2,"laid":[{"machine":"r1","fence":9},{"machine":"r2","fence":10,"refused":true,"why":"shard 3"}],` +
				`"load":1.5,"load_known":true,"wall":3600000000000,"pinned":{"owned":2,"open":1,"queries":50,"memory":4096,` +
				`"idle":["01000000000000000000000000000000"],"unsafe":[{"id":"02000000000000000000000000000000","left":1000000000}]}}`},
		{"reply", Reply{Sequence: 7, From: "b", Leader: "b", Term: 4, FromLeader: true, Epoch: 2, NotInInventory: true, After: 3, Index: 5,
			Entries: []Entry{{Index: 4, Raw: []byte("x")}}, Truncated: true},
			"\x01" + `w{"no":7,"from":"b","leader":"b","term":4,"led":true,"era":2,"unlisted":true,"since":3,"index":5,"entries":[{"index":4,"raw":"eA=="}],"more":true}`},
		{"file report", FileReport{From: "a", Limits: maintenance.LimitsBody{Revision: 1}, Requests: maintenance.RequestsBody{Revision: 2,
			Requests: []maintenance.Request{{ID: "q", Names: []string{"r1"}, Reason: "work", MaxOutage: time.Hour}}}},
			"\x01" + `a{"from":"a","limits":{"revision":1,"limits":{"cells":0,"reach":0,"shards":0,"holders_least":0,"out_by_zone":0,"out_most":0,` +
				`"headroom":0,"load_age":0,"list_age":0,"warm_up":0,"lease":0,"grace":0,"settle":0,"calm":0,"passed_most":0,"voters_least":0}},` +
				`"asks":{"revision":2,"requests":[{"id":"q","names":["r1"],"reason":"work","for":3600000000000}]}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw, err := Encode(c.message)
			if err != nil || string(raw) != c.bytes {
				t.Errorf("encoded as\n%q, %v; the earlier version wrote\n%q", raw, err, c.bytes)
			}
			back, err := Decode([]byte(c.bytes))
			if err != nil || !reflect.DeepEqual(back, c.message) {
				t.Errorf("the earlier version's bytes are decoded as %+v, %v", back, err)
			}
		})
	}
}
