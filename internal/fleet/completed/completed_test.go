package completed

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

func of(n int) Entry {
	return Entry{ID: IDOf(fmt.Sprint("q", n)), How: MayHaveRun, Seq: uint32(n)}
}

func TestRecord(t *testing.T) {
	var r Record
	for n := 1; n <= Most+2; n++ {
		r = r.Note(of(n))
	}
	_, second := r.Find(of(2).ID)
	third, known := r.Find(of(3).ID)
	if len(r) != Most || second || !known || third != of(3) || !third.Bars(0) {
		t.Fatalf("the oldest do not go first: %+v", r)
	}
	if again := r.Note(Entry{}); len(again) != Most || IDOf("") != (ID{}) {
		t.Fatal("one without an id is remembered")
	}
	if _, none := r.Find(ID{}); none {
		t.Fatal("one without an id is found")
	}
	// A keyed one: its first window counts, and a repeat that may run beyond it does not begin.
	k := of(20).Keys(10 * time.Second)
	r = r.Note(k).Note(Entry{ID: k.ID, How: Served, Seq: 21}.Keys(15 * time.Second))
	if e, _ := r.Find(k.ID); e.Until() != 10*time.Second || e.How != Served || e.Seq != 21 || e.Bars(10*time.Second) || !e.Bars(10*time.Second+1) || len(r) != Most {
		t.Fatalf("%+v", e)
	}
	// One that was unsafe once stays so.
	if e, _ := r.Note(Entry{ID: of(20).ID, How: MayHaveRun, Seq: 22}).Find(k.ID); e.Keyed || !e.Bars(0) || e.How != Served {
		t.Fatalf("%+v", e)
	}
	r = Record{k}
	r.Shift(-3 * time.Second)
	if r[0].Until() != 7*time.Second {
		t.Fatal(r[0].Until())
	}
	r.Shift(-time.Hour)
	if !r[0].Bars(1) {
		t.Fatal("a window that is over")
	}
}

// The hash is part of the form that a hand carries, and no two of many short ids have the same.
func TestIDs(t *testing.T) {
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

func TestSaved(t *testing.T) {
	r := Record{of(1), of(2).Keys(7 * time.Second), of(5)}
	r[2].How = Served
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
	if late, err := Load(raw, 9, ahead+time.Hour); err != nil || late[1].Until() != 0 {
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
	f.Add(Record{of(1), of(2).Keys(time.Second)}.Save(4, 0, 99), uint64(4), int64(0))
	f.Add([]byte{2, 0}, uint64(1), int64(1))
	f.Fuzz(func(t *testing.T, raw []byte, seq uint64, ahead int64) {
		a := time.Duration(ahead%(1<<40)) / Unit * Unit
		r, err := Load(raw, seq, a)
		if err != nil {
			return
		}
		if len(r) > Most {
			t.Fatal(len(r))
		}
		again, err := Load(r.Save(seq, a, 1<<10), seq, a)
		if err != nil || !reflect.DeepEqual(again, r) && len(r)+len(again) > 0 {
			t.Fatalf("%+v, then %+v, %v", r, again, err)
		}
		e := Entry{ID: IDOf(string(raw)), How: Served}
		if r = r.Note(e); len(r) > Most {
			t.Fatal(len(r))
		}
		if got, _ := r.Find(e.ID); got.ID != e.ID {
			t.Fatalf("%+v", r)
		}
	})
}
