package peerproto

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/session"
)

var validMessages = []Message{
	Poll{From: "a", Sequence: math.MaxUint64, Index: 3, Drains: []DrainStatus{{"r1", 4, false, ""}, {"r2", 5, true, "alone"}}, Load: 1.5, LoadKnown: true, Wall: 1 << 60,
		Sessions: &SessionLoad{Owned: 3, Open: 2, Queries: 9, Memory: 1 << 20, Idle: []session.ID{session.IDOf(0, nil)}}},
	Reply{Sequence: 9, From: "b", Leader: "b", Term: 2, FromLeader: true, After: 3, Index: 9, Entries: []Entry{{5, []byte{0, 255}}, {9, []byte("x")}}},
	Poll{From: "a", Sequence: 9, Sessions: &SessionLoad{Owned: 1, Unsafe: []UnsafeQuery{{session.IDOf(1, []byte("k")), time.Second}}}},
	Reply{Sequence: 9, From: "c", Leader: "b", Index: 1},
	Reply{Sequence: 9, From: "b", Leader: "b", FromLeader: true, Index: 7, Snapshot: []byte("whole")},
	Reply{Sequence: 9, From: "b", Leader: "b", FromLeader: true, Index: 7, Packed: []byte("packed")},
	FileReport{From: "a", Limits: maintenance.LimitsBody{Revision: 1}, Requests: maintenance.RequestsBody{Revision: 2,
		Requests: []maintenance.Request{{ID: "q", Names: []string{"r1"}, Reason: "disk"}}}},
	SessionActions{From: "a", Sequence: 3, Actions: []session.Act{{Kind: session.HandOver, ID: session.IDOf(1, []byte("k")), Epoch: 2, Fence: 7, Seq: 9, State: []byte{1}}}},
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, m := range validMessages {
		raw, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(raw)
		if err != nil || !reflect.DeepEqual(back, m) {
			t.Errorf("%+v was decoded as %+v, %v", m, back, err)
		}
	}
}

func TestEncodeAndDecodeEnforceLimits(t *testing.T) {
	// Long: one table with a row for each limit.
	long := strings.Repeat("x", MaxNameLength+1)
	for _, c := range []struct {
		text string
		m    Message
	}{
		{"no sequence number", Poll{From: "a"}},
		{"the sender has no name", Poll{Sequence: 1}},
		{"1024 at most", Poll{Sequence: 1, From: long}},
		{"drains, 4096", Poll{Sequence: 1, From: "a", Drains: make([]DrainStatus, MaxDrains+1)}},
		{"no fencing number", Poll{Sequence: 1, From: "a", Drains: []DrainStatus{{Machine: "r"}}}},
		{"a load of -1", Poll{Sequence: 1, From: "a", Load: -1}},
		{"a load of NaN", Poll{Sequence: 1, From: "a", Load: math.NaN()}},
		{"open -1 of 0", Poll{From: "a", Sequence: 1, Sessions: &SessionLoad{Open: -1}}},
		{"idle 1025 of at most 1024", Poll{From: "a", Sequence: 1, Sessions: &SessionLoad{Idle: make([]session.ID, MaxIdleSessions+1)}}},
		{"257 unsafe queries, 256", Poll{From: "a", Sequence: 1, Sessions: &SessionLoad{Unsafe: make([]UnsafeQuery, MaxUnsafeQueries+1)}}},
		{"open for 0s", Poll{From: "a", Sequence: 1, Sessions: &SessionLoad{Unsafe: make([]UnsafeQuery, 1)}}},
		{"open for 24h0m0.000000001s", Poll{From: "a", Sequence: 1, Sessions: &SessionLoad{Unsafe: []UnsafeQuery{{TimeLeft: MaxOpenTime + 1}}}}},
		{"a clock at -1ns", Poll{Sequence: 1, From: "a", Wall: -1}},
		{"no sequence number of a poll", Reply{From: "a"}},
		{"more than one of entries", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 1, Entries: []Entry{{1, nil}}, Snapshot: []byte{1}}},
		{"more than one of entries", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 1, Entries: []Entry{{1, nil}}, Packed: []byte{1}}},
		{"more than one of entries", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 1, Snapshot: []byte{1}, Packed: []byte{1}}},
		{"does not lead", Reply{Sequence: 1, From: "a", Index: 1, Packed: []byte{1}}},
		{"5242880 at most", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 1, Packed: make([]byte, MaxCompressedSize+1)}},
		{"does not lead", Reply{Sequence: 1, From: "a", Index: 1, Entries: []Entry{{1, nil}}}},
		{"entry 3 is not after 3", Reply{Sequence: 1, From: "a", FromLeader: true, After: 3, Index: 3, Entries: []Entry{{3, nil}}}},
		{"entry 2 is not after 2", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 3, Entries: []Entry{{2, nil}, {2, nil}}}},
		{"up to 1", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 1, Entries: []Entry{{2, nil}}}},
		{"entries, 4096", Reply{Sequence: 1, From: "a", FromLeader: true, Entries: make([]Entry, MaxEntries+1)}},
		{"524288 at most", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 2, Entries: []Entry{{1, make([]byte, MaxEntriesSize)}, {2, make([]byte, 1)}}}},
		{"1048576 at most", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 1, Entries: []Entry{{1, make([]byte, MaxEntrySize+1)}}}},
		{"16777216 at most", Reply{Sequence: 1, From: "a", FromLeader: true, Index: 1, Snapshot: make([]byte, MaxSnapshotSize+1)}},
		{"requests, 1024", FileReport{From: "a", Requests: maintenance.RequestsBody{Requests: make([]maintenance.Request, MaxRequests+1)}}},
		{"names, 16384", FileReport{From: "a", Requests: maintenance.RequestsBody{Requests: []maintenance.Request{{ID: "q", Names: make([]string, MaxNames+1)}}}}},
		{"has 0 session actions", SessionActions{From: "a", Sequence: 1}},
		{"has 10001 session actions", SessionActions{From: "a", Sequence: 1, Actions: make([]session.Act, session.MaxActs+1)}},
		{"no sequence number", SessionActions{From: "a", Actions: make([]session.Act, 1)}},
		{"a state of 1025", SessionActions{From: "a", Sequence: 1, Actions: []session.Act{{State: make([]byte, session.MaxStateBytes+1)}}}},
		{"a reason has 1025", FileReport{From: "a", Requests: maintenance.RequestsBody{Requests: []maintenance.Request{{ID: "q", Reason: long}}}}},
	} {
		if _, err := Encode(c.m); err == nil || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%T: want an error with %q, got %v", c.m, c.text, err)
		}
	}
	for raw, text := range map[string]string{
		"":                                    "0 bytes",
		"\x01":                                "1 bytes",
		"\x01z{}":                             "unknown kind",
		"\x01p{":                              "could not be decoded",
		"\x01p" + `{"from":"a","no":1}x`:      "1 bytes too many",
		"\x01p" + `{"from":"a"}`:              "no sequence number",
		"\x01p" + `{"from":"a","no":1,"b":1}`: "unknown field",
		"\x01p" + strings.Repeat(" ", MaxPollSize): "at most",
	} {
		if _, err := Decode([]byte(raw)); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%.30q: want an error with %q, got %v", raw, text, err)
		}
	}
	raw, _ := Encode(validMessages[0])
	raw[0] = Version + 1
	if _, err := Decode(raw); !errors.Is(err, ErrVersion) || !strings.Contains(err.Error(), "known is 1") {
		t.Errorf("a newer version gave %v", err)
	}
}

func TestReplyIsTruncatedInOrder(t *testing.T) {
	var all []Entry
	for i := range 10 {
		all = append(all, Entry{uint64(i + 1), make([]byte, MaxEntriesSize/4)})
	}
	r := Reply{Sequence: 1, From: "a", FromLeader: true, Index: 10}
	var got []uint64
	for rounds := 0; len(got) < 10 && rounds < 4; rounds++ {
		if err := r.SetEntries(all[len(got):]); err != nil {
			t.Fatal(err)
		}
		if _, err := Encode(r); err != nil || r.Truncated != (len(got)+len(r.Entries) < 10) {
			t.Fatalf("%d entries after %d, truncated %v, %v", len(r.Entries), len(got), r.Truncated, err)
		}
		for _, e := range r.Entries {
			got = append(got, e.Index)
		}
		r.After = got[len(got)-1]
	}
	if fmt.Sprint(got) != "[1 2 3 4 5 6 7 8 9 10]" {
		t.Error(got)
	}
	if err := r.SetEntries(make([]Entry, MaxEntries+1)); err != nil || len(r.Entries) != MaxEntries || !r.Truncated {
		t.Errorf("%d entries in a reply, truncated %v, %v", len(r.Entries), r.Truncated, err)
	}
	r = Reply{Sequence: 1, From: "a", FromLeader: true, Index: 2}
	if err := r.SetEntries([]Entry{{1, make([]byte, MaxEntrySize)}, {2, nil}}); err != nil || len(r.Entries) != 1 || !r.Truncated {
		t.Errorf("%d entries beside a large one: %v", len(r.Entries), err)
	}
	if _, err := Encode(r); err != nil {
		t.Error(err)
	}
	if r.SetEntries([]Entry{{1, make([]byte, MaxEntrySize+1)}}) == nil {
		t.Error("an entry that cannot be sent was accepted")
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range validMessages {
		raw, _ := Encode(m)
		f.Add(raw)
	}
	f.Add([]byte("\x02p{}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err != nil {
			if m != nil || err.Error() == "" {
				t.Fatalf("rejected without an error text, or with a message: %v, %v", m, err)
			}
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("a decoded message cannot be encoded: %v", err)
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatalf("an encoded message cannot be decoded: %v", err)
		}
		if third, err := Encode(back); err != nil || !bytes.Equal(again, third) {
			t.Fatalf("%+v was decoded as %+v, %v", m, back, err)
		}
	})
}
