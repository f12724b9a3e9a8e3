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
		t.Fatalf("the oldest do not go first: %+v", r)
	}
	if again := r.Add(Entry{}); len(again) != MaxEntries || IDOf("") != (ID{}) {
		t.Fatal("one without an id is remembered")
	}
	if _, none := r.Find(ID{}); none {
		t.Fatal("one without an id is found")
	}
	// A keyed one: its first window counts, and a repeat that may run beyond it does not begin.
	k := newEntry(20).WithWindowEnd(10 * time.Second)
	r = r.Add(k).Add(Entry{ID: k.ID, Outcome: Served, Seq: 21}.WithWindowEnd(15 * time.Second))
	if e, _ := r.Find(k.ID); e.WindowEnd() != 10*time.Second || e.Outcome != Served || e.Seq != 21 || e.BlocksRepeat(10*time.Second) || !e.BlocksRepeat(10*time.Second+1) || len(r) != MaxEntries {
		t.Fatalf("%+v", e)
	}
	// One that was unsafe once stays so.
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
		t.Fatal("a window that is over")
	}
}

// The hash is part of the form that a hand carries, and no two of many short ids have the same.
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
	const ahead = 1_700_000_000 * time.Second
	raw := r.Save(9, ahead, 1024)
	got, err := Load(raw, 9, ahead)
	if err != nil || !reflect.DeepEqual(got, r) || len(raw) > 3*15 {
		t.Fatalf("%+v, %v, %d bytes", got, err, len(raw))
	}
	if part, err := Load(r.Save(9, ahead, len(raw)-1), 9, ahead); err != nil || !reflect.DeepEqual(part, r[1:]) {
		t.Fatalf("what does not fit: %+v, %v", part, err)
	}
	if none, err := Load(nil, 0, 0); len(none) > 0 || err != nil || r.Save(9, 0, 5) != nil || (Record{}).Save(1, 0, 99) != nil {
		t.Fatal(none, err)
	}
	if late, err := Load(raw, 9, ahead+time.Hour); err != nil || late[1].WindowEnd() != 0 {
		t.Fatalf("a window that ended long ago: %+v, %v", late, err)
	}
	spoilt := func(at int, b byte) []byte {
		s := append([]byte(nil), raw...)
		s[at] = b
		return s
	}
	twice := append(append([]byte{1, 2}, raw[2:10]...), raw[2:10]...)
	twice[17] = 1
	for name, bad := range map[string][]byte{
		"unknown version of a record of queries: 2, known is 1": spoilt(0, 2), "torn": raw[:len(raw)-1], "torn, or": {1}, "more than 8": spoilt(1, 9), "ended as 3": spoilt(8, 3),
		"8 behind 9 after one 8": append(append([]byte{1, 2}, raw[2:10]...), append([]byte{9, 9, 9, 9, 9, 9}, raw[8:10]...)...), "twice": twice,
		"too many": append(append([]byte(nil), raw...), 0), "none's": append([]byte{1, 1, 0, 0, 0, 0, 0, 0}, raw[8:10]...), "9 behind 9": spoilt(9, 9),
	} {
		if _, err := Load(bad, 9, ahead); err == nil || !strings.Contains(err.Error(), name) || errors.Is(err, ErrVersion) != strings.Contains(name, "version") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(Record{newEntry(1), newEntry(2).WithWindowEnd(time.Second)}.Save(4, 0, 99), uint64(4), int64(0))
	f.Add([]byte{2, 0}, uint64(1), int64(1))
	f.Fuzz(func(t *testing.T, raw []byte, seq uint64, ahead int64) {
		a := time.Duration(ahead%(1<<40)) / TimeUnit * TimeUnit
		r, err := Load(raw, seq, a)
		if err != nil {
			return
		}
		if len(r) > MaxEntries {
			t.Fatal(len(r))
		}
		again, err := Load(r.Save(seq, a, 1<<10), seq, a)
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
