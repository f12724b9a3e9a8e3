package completed

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

func newEntry(n int) Entry {
	return Entry{ID: IDOf(fmt.Sprint("q", n)), Outcome: MayHaveRun, Seq: uint32(n)}
}

func TestRecordAddFindAndShift(t *testing.T) {
	var r Record
	for n := 1; n <= MaxEntries+2; n++ {
		r = r.Add(newEntry(n))
	}
	_, second := r.Find(newEntry(2).ID)
	third, known := r.Find(newEntry(3).ID)
	if len(r) != MaxEntries || second || !known || third != newEntry(3) || !third.BlocksRepeat(0) {
		t.Fatalf("oldest entries not dropped first: %+v", r)
	}
	if again := r.Add(Entry{}); len(again) != MaxEntries || IDOf("") != (ID{}) {
		t.Fatal("query without an id was added")
	}
	if _, none := r.Find(ID{}); none {
		t.Fatal("query without an id was found")
	}
	// A keyed query: the window that ends first counts, and blocks repeats that may run beyond it.
	k := newEntry(20).WithWindowEnd(10 * time.Second)
	r = r.Add(k).Add(Entry{ID: k.ID, Outcome: Served, Seq: 21}.WithWindowEnd(15 * time.Second))
	if e, _ := r.Find(k.ID); e.WindowEnd() != 10*time.Second || e.Outcome != Served || e.Seq != 21 || e.BlocksRepeat(10*time.Second) || !e.BlocksRepeat(10*time.Second+1) || len(r) != MaxEntries {
		t.Fatalf("%+v", e)
	}
	// An entry that was not keyed once never becomes keyed.
	if e, _ := r.Add(Entry{ID: newEntry(20).ID, Outcome: MayHaveRun, Seq: 22}).Find(k.ID); e.Keyed || !e.BlocksRepeat(0) || e.Outcome != Served {
		t.Fatalf("%+v", e)
	}
	r = Record{k}
	r.ShiftWindows(-3 * time.Second)
	if r[0].WindowEnd() != 7*time.Second {
		t.Fatal(r[0].WindowEnd())
	}
	r.ShiftWindows(-time.Hour)
	if !r[0].BlocksRepeat(1) {
		t.Fatal("an expired window doesn't block a repeat")
	}
}

// The hash is part of the encoding in hand-overs and must not change. Short ids must not collide.
func TestIDOfIsStableAndUnique(t *testing.T) {
	if got := fmt.Sprintf("%x", IDOf("a1")); got != "1307b5454dbb" {
		t.Fatal(got)
	}
	seen := map[ID]int{}
	for n := range 200_000 {
		id := IDOf(fmt.Sprint("p", n%10, "-", n/10))
		if b, twice := seen[id]; twice {
			t.Fatal(b, n)
		}
		seen[id] = n
	}
}

func TestSaveAndLoad(t *testing.T) {
	r := Record{newEntry(1), newEntry(2).WithWindowEnd(7 * time.Second), newEntry(5)}
	r[2].Outcome = Served
	const clockOffset = 1_700_000_000 * time.Second
	raw := r.Save(9, clockOffset, 1024)
	got, err := Load(raw, 9, clockOffset)
	if err != nil || !reflect.DeepEqual(got, r) || len(raw) > 3*15 {
		t.Fatalf("%+v, %v, %d bytes", got, err, len(raw))
	}
	if part, err := Load(r.Save(9, clockOffset, len(raw)-1), 9, clockOffset); err != nil || !reflect.DeepEqual(part, r[1:]) {
		t.Fatalf("entries that don't fit must be dropped: %+v, %v", part, err)
	}
	if none, err := Load(nil, 0, 0); len(none) > 0 || err != nil || r.Save(9, 0, 5) != nil || (Record{}).Save(1, 0, 99) != nil {
		t.Fatal(none, err)
	}
	if late, err := Load(raw, 9, clockOffset+time.Hour); err != nil || late[1].WindowEnd() != 0 {
		t.Fatalf("window that ended long ago: %+v, %v", late, err)
	}
	corrupt := func(at int, b byte) []byte {
		s := append([]byte(nil), raw...)
		s[at] = b
		return s
	}
	duplicated := append(append([]byte{1, 2}, raw[2:10]...), raw[2:10]...)
	duplicated[17] = 1
	for name, bad := range map[string][]byte{
		"unknown version of a record of queries: 2, known is 1": corrupt(0, 2), "truncated": raw[:len(raw)-1], "truncated, or": {1}, "more than 8": corrupt(1, 9), "unknown outcome 3": corrupt(8, 3),
		"8 behind 9 after one 8": append(append([]byte{1, 2}, raw[2:10]...), append([]byte{9, 9, 9, 9, 9, 9}, raw[8:10]...)...), "twice": duplicated,
		"too many": append(append([]byte(nil), raw...), 0), "empty ID": append([]byte{1, 1, 0, 0, 0, 0, 0, 0}, raw[8:10]...), "9 behind 9": corrupt(9, 9),
	} {
		if _, err := Load(bad, 9, clockOffset); err == nil || !strings.Contains(err.Error(), name) || errors.Is(err, ErrVersion) != strings.Contains(name, "version") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(Record{newEntry(1), newEntry(2).WithWindowEnd(time.Second)}.Save(4, 0, 99), uint64(4), int64(0))
	f.Add([]byte{2, 0}, uint64(1), int64(1))
	f.Fuzz(func(t *testing.T, raw []byte, seq uint64, offset int64) {
		clockOffset := time.Duration(offset%(1<<40)) / TimeUnit * TimeUnit
		r, err := Load(raw, seq, clockOffset)
		if err != nil {
			return
		}
		if len(r) > MaxEntries {
			t.Fatal(len(r))
		}
		again, err := Load(r.Save(seq, clockOffset, 1<<10), seq, clockOffset)
		if err != nil || !reflect.DeepEqual(again, r) && len(r)+len(again) > 0 {
			t.Fatalf("%+v, then %+v, %v", r, again, err)
		}
		e := Entry{ID: IDOf(string(raw)), Outcome: Served}
		if r = r.Add(e); len(r) > MaxEntries {
			t.Fatal(len(r))
		}
		if got, _ := r.Find(e.ID); got.ID != e.ID {
			t.Fatalf("%+v", r)
		}
	})
}
