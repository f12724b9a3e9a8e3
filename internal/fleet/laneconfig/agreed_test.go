package laneconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchcart/internal/fleet/compress"
	"birchcart/internal/fleet/statemachine"
)

// packText returns a command body with an arbitrary text.
func packText(t rapid.TB, revision int, text string) SetBody {
	z, err := compress.Pack([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return SetBody{revision, checksum([]byte(text)), z}
}

func mustJSON(t rapid.TB, b any) []byte {
	out, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

const start = 1000 * time.Second

func (s *State) mustApply(t rapid.TB, now time.Duration, b SetBody) {
	s.Tick(now)
	if err := errors.Join(s.Apply(now, nil, KindSet, mustJSON(t, b)), s.Check()); err != nil {
		t.Fatal(err)
	}
}

func TestPreviousSectionEndsAfterOverlapDuration(t *testing.T) {
	a := New()
	if f, b := a.InForce(start); f != nil || b != nil || !a.Empty() || !a.Accepts(1, start) {
		t.Error("a new state has a section")
	}
	a.mustApply(t, start, packText(t, 4, "first"))
	if f, b := a.InForce(start); f.Revision != 4 || b != nil || a.Accepts(4, start) || !a.Accepts(5, start) {
		t.Error("the first section is not in force alone at once")
	}
	a.mustApply(t, start+time.Second, packText(t, 6, "second"))
	end := start + time.Second + OverlapDuration
	if f, b := a.InForce(end - 1); f.Revision != 6 || b.Revision != 4 || a.Accepts(7, end-1) {
		t.Error("the previous section is not in force as well")
	}
	if f, b := a.InForce(end); f.Revision != 6 || b != nil || !a.Accepts(7, end) {
		t.Error("two sections are in force after the overlap, without a command since")
	}
	if err := a.Apply(end-1, nil, KindSet, mustJSON(t, packText(t, 7, "third"))); err == nil || !strings.Contains(err.Error(), "in force together") {
		t.Error("a third section during the overlap:", err)
	}
	a.Tick(end)
	if err := a.Check(); err != nil || a.previous != nil {
		t.Error("two sections are in force after the overlap:", err)
	}
	a.mustApply(t, end, packText(t, 7, "third"))
}

func TestApplyRejectsInvalidCommands(t *testing.T) {
	a := New()
	a.mustApply(t, start, packText(t, 4, "first"))
	before, _ := a.Save()
	damaged, long, deep := packText(t, 5, "x"), packText(t, 5, "x"), packText(t, 5, strings.Repeat("x", MaxTextSize+1))
	damaged.Sum, long.Packed = long.Sum[:63]+"-", make([]byte, MaxPackedSize+1)
	for want, b := range map[string]any{
		"revision 4 is not above revision 4": packText(t, 4, "other"), "revision 3 is not above revision 4": packText(t, 3, "other"), "revision 0": packText(t, 0, ""), "but the command contains": damaged,
		"262145 bytes compressed": long, "limit 4194304": deep, "revision 1099511627777": packText(t, MaxRevision+1, "x"), "cannot unmarshal": 3,
	} {
		if err := a.Apply(start, nil, KindSet, mustJSON(t, b)); err == nil || errors.Is(err, statemachine.ErrUnknown) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	for kind, b := range map[string]string{"drop": `{}`, KindSet: `{"revision":9,"colour":1}`} {
		if err := a.Apply(start, nil, kind, []byte(b)); !errors.Is(err, statemachine.ErrUnknown) {
			t.Errorf("a command of a newer program: %v", err)
		}
	}
	if after, _ := a.Save(); !bytes.Equal(before, after) {
		t.Error("a rejected command changed the state")
	}
}

func newCopy(t rapid.TB) (*statemachine.Machine, *State) {
	a := New()
	return statemachine.New(map[string]statemachine.Part{Part: a}), a
}

// Guards against copies of the state that diverge. Commands come in any order, some of them twice, and one copy continues from
// snapshots of the other: the copies stay equal, the invariants hold, revisions only increase, and two sections are never in force
// together for OverlapDuration or longer.
func TestAnyOrderOfCommands(t *testing.T) {
	texts := make([]SetBody, 8)
	for i := range texts {
		texts[i] = packText(t, i+1, fmt.Sprint("text ", i))
	}
	rapid.Check(t, func(t *rapid.T) {
		one, a := newCopy(t)
		two, _ := newCopy(t)
		now, last := start, 0
		overlapSince := map[string]time.Duration{} // by pair of revisions
		for i := range rapid.IntRange(1, 30).Draw(t, "commands") {
			now += time.Duration(rapid.IntRange(-5, 10).Draw(t, "later")) * time.Second
			c := statemachine.Command{V: statemachine.Version, ID: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")), Part: Part, Kind: KindSet, At: now,
				Body: mustJSON(t, rapid.SampledFrom(texts).Draw(t, "section"))}
			entry, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			e1, e2 := one.Apply(uint64(i+1), entry), two.Apply(uint64(i+1), entry)
			if fmt.Sprint(e1) != fmt.Sprint(e2) || one.Check() != nil || one.Digest() != two.Digest() {
				t.Fatalf("%v, %v, %v", e1, e2, one.Check())
			}
			current, previous := a.InForce(one.Now())
			if current != nil {
				if current.Revision < last {
					t.Fatalf("revision %d after %d", current.Revision, last)
				}
				last = current.Revision
			}
			if previous != nil {
				pair := fmt.Sprint(previous.Revision, current.Revision)
				if _, seen := overlapSince[pair]; !seen {
					overlapSince[pair] = one.Now()
				}
				if one.Now() >= overlapSince[pair]+OverlapDuration {
					t.Fatalf("%s in force from %v to %v", pair, overlapSince[pair], one.Now())
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				saved, err := one.Save()
				if err != nil {
					t.Fatal(err)
				}
				two, _ = newCopy(t)
				if err := two.Load(saved); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// State that loads satisfies the invariants and saves to the same bytes again; if loading fails, nothing changes.
func FuzzLoad(f *testing.F) {
	a := New()
	empty, _ := a.Save()
	a.mustApply(f, start, packText(f, 1, "first"))
	first, _ := a.Save()
	a.mustApply(f, start+1, packText(f, 2, "second"))
	second, _ := a.Save()
	for _, seed := range [][]byte{empty, first, second, []byte(`{"v":2}`), []byte(`{"v":1,"before":{"revision":1}}`), second[:40]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		b := New()
		b.mustApply(t, start, packText(t, 9, "kept"))
		before, _ := b.Save()
		err := b.Load(raw)
		after, serr := b.Save()
		if serr != nil || b.Check() != nil || err != nil && !bytes.Equal(before, after) {
			t.Fatalf("%v, %v, %v\n%s", err, serr, b.Check(), after)
		}
		again := New()
		if err := again.Load(after); err != nil {
			t.Fatalf("%v\n%s", err, after)
		}
		if twice, _ := again.Save(); !bytes.Equal(twice, after) {
			t.Fatalf("%s\n%s", after, twice)
		}
		current, _ := b.InForce(start)
		if current != nil {
			if l, err := current.Section(); err == nil {
				_, _ = Compile(l, current.Revision, names, routes)
			}
		}
	})
}
