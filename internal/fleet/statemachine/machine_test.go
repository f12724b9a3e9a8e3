package statemachine

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
)

// book is a part that records the commands that took effect, in order.
type book struct {
	Now   time.Duration
	Lines []string
}

func (b *book) Tick(now time.Duration) { b.Now = now }

func (b *book) Apply(now time.Duration, fence func() uint64, kind string, body []byte) error {
	if now != b.Now {
		return fmt.Errorf("no Tick at %v before Apply", now)
	}
	n := fence()
	switch kind {
	case "put":
		b.Lines = append(b.Lines, fmt.Sprintf("%s %d %v", body, n, now))
		return nil
	case "refuse":
		return errors.New("not now")
	}
	return fmt.Errorf("kind %q: %w", kind, ErrUnknown)
}

func (b *book) Check() error            { return nil }
func (b *book) Save() ([]byte, error)   { return json.Marshal(b) }
func (b *book) Load(raw []byte) error   { *b = book{}; return json.Unmarshal(raw, b) }
func newTestMachine() (*Machine, *book) { b := &book{}; return New(map[string]Part{"book": b}), b }
func encodeBookCommand(id, kind string, at time.Duration) []byte {
	return encodeCommand(Version, id, "book", kind, at)
}

func encodeCommand(v int, id, part, kind string, at time.Duration) []byte {
	b, err := json.Marshal(Command{V: v, ID: id, Part: part, Kind: kind, At: at, Body: json.RawMessage(`"` + id + `"`)})
	if err != nil {
		panic(err)
	}
	return b
}

// The same commands must lead to the same state, with commands repeated and snapshots loaded at any point.
func TestRepetitionAndSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, _ := newTestMachine()
		other, _ := newTestMachine()
		var log [][]byte
		now, at := time.Hour, uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += time.Duration(rapid.Int64Range(-int64(time.Minute), int64(3*time.Minute)).Draw(t, "step"))
			kind := rapid.SampledFrom([]string{"put", "put", "refuse"}).Draw(t, "kind")
			log = append(log, encodeBookCommand(fmt.Sprint(i), kind, now))
			want := plain.Apply(uint64(i+1), log[i])
			at++
			got := other.Apply(at, log[i])
			if fmt.Sprint(want) != fmt.Sprint(got) {
				t.Fatalf("command %d: %v and %v", i, want, got)
			}
			fence, before := other.Fence(), other.Now()
			for range rapid.IntRange(0, 3).Draw(t, "again") {
				at++
				j := rapid.IntRange(0, i).Draw(t, "which")
				if err := other.Apply(at, log[j]); !errors.Is(err, ErrDuplicate) && !errors.Is(err, ErrStale) {
					t.Fatalf("command %d repeated: %v", j, err)
				}
			}
			if other.Fence() != fence || other.Now() != before {
				t.Fatalf("a repeated command moved the fence from %d to %d, or the time", fence, other.Fence())
			}
			if rapid.Bool().Draw(t, "snapshot") {
				b, err := other.Save()
				if err != nil {
					t.Fatal(err)
				}
				other, _ = newTestMachine()
				if err := other.Load(b); err != nil {
					t.Fatal(err)
				}
				if again, _ := other.Save(); !bytes.Equal(again, b) || other.Index() != at {
					t.Fatalf("%s\nafter loading and saving is\n%s", b, again)
				}
			}
			if err := errors.Join(plain.Check(), other.Check()); err != nil {
				t.Fatal(err)
			}
		}
		if plain.Digest() != other.Digest() {
			t.Fatal("the states differ")
		}
	})
}

func wantError(t *testing.T, err error, target error, text string) {
	t.Helper()
	if !errors.Is(err, target) || !strings.Contains(err.Error(), text) {
		t.Fatalf("%v, want %v with %q", err, target, text)
	}
}

func TestOrderTimeAndFence(t *testing.T) {
	m, b := newTestMachine()
	if err := m.Apply(3, encodeBookCommand("a", "put", time.Hour)); err != nil {
		t.Fatal(err)
	}
	wantError(t, m.Apply(3, encodeBookCommand("b", "put", time.Hour)), ErrIndex, "3, applied up to 3")
	wantError(t, m.Apply(4, encodeBookCommand("c", "refuse", 2*time.Hour)), ErrRejected, "not now")
	if m.Index() != 4 || m.Now() != 2*time.Hour || m.Fence() != 1 {
		t.Fatalf("index %d, now %v, fence %d", m.Index(), m.Now(), m.Fence())
	}
	if err := m.Apply(5, encodeBookCommand("d", "put", 2*time.Hour-IDRetention)); err != nil { // behind agreed time, but not stale
		t.Fatal(err)
	}
	wantError(t, m.Apply(6, encodeBookCommand("e", "put", 2*time.Hour-IDRetention-1)), ErrStale, "e is 10m0.000000001s behind")
	wantError(t, m.Apply(7, []byte("{")), ErrRejected, "command cannot be decoded")
	wantError(t, m.Apply(8, encodeBookCommand("", "put", 3*time.Hour)), ErrRejected, "id must have 1 to")
	wantError(t, m.Apply(9, encodeBookCommand("f", "put", MaxTime+1)), ErrRejected, "since the epoch")
	if got := strings.Join(b.Lines, ", "); got != `"a" 1 1h0m0s, "d" 2 2h0m0s` || m.Index() != 9 {
		t.Fatal(got)
	}
}

// Past MaxRetainedIDs the oldest id is dropped, and no command as old as the dropped one may take effect again.
func TestOldestIDIsDroppedAtLimit(t *testing.T) {
	m, _ := newTestMachine()
	for i := range MaxRetainedIDs + 1 {
		if err := m.Apply(uint64(i+1), encodeBookCommand(fmt.Sprint(i), "put", time.Hour+time.Duration(i/2))); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.Check(); err != nil {
		t.Fatal(err)
	}
	wantError(t, m.Apply(1<<20, encodeBookCommand("0", "put", time.Hour)), ErrStale, "")
	wantError(t, m.Apply(1<<20+1, encodeBookCommand("2", "put", time.Hour+1)), ErrDuplicate, "")
}

func TestUnknownHalts(t *testing.T) {
	for message, entry := range map[string][]byte{
		"command version 2, this program reads 1": encodeCommand(2, "x", "book", "put", 1),
		`part "pool"`:              encodeCommand(1, "x", "pool", "put", 1),
		"command version 7":        []byte(`{"v":7,"id":5,"deadline":2}`),
		`kind "new"`:               encodeCommand(1, "x", "book", "new", 1),
		`unknown field "deadline"`: []byte(`{"v":1,"id":"x","part":"book","kind":"put","at":1,"deadline":2}`),
	} {
		m, _ := newTestMachine()
		kept, _ := m.Save()
		wantError(t, m.Apply(1, entry), ErrVersion, message)
		wantError(t, m.Apply(2, encodeBookCommand("y", "put", 1)), ErrVersion, "entry 1")
		if m.Halted() == nil || m.Index() != 0 {
			t.Fatalf("halted: %v at %d", m.Halted(), m.Index())
		}
		if _, err := m.Save(); err == nil {
			t.Fatal("a halted state machine saved a snapshot")
		}
		if err := m.Load(kept); err != nil || m.Halted() != nil {
			t.Fatal(err, m.Halted())
		}
	}
}

func TestTornSnapshots(t *testing.T) {
	m, b := newTestMachine()
	if err := m.Apply(1, encodeBookCommand("a", "put", 1)); err != nil {
		t.Fatal(err)
	}
	good, _ := m.Save()
	into, kept := newTestMachine()
	*kept = *b
	before := into.Digest()
	for n := range good {
		if into.Load(good[:n]) == nil {
			t.Fatalf("loaded with %d of %d bytes", n, len(good))
		}
		bad := bytes.Clone(good)
		bad[n] ^= 1
		if into.Load(bad) == nil {
			t.Fatalf("loaded with byte %d changed", n)
		}
	}
	newer := bytes.Replace(good, []byte("birchcart-ledger 1 "), []byte("birchcart-ledger 2 "), 1)
	wantError(t, into.Load(newer), ErrVersion, "snapshot version 2, this program reads 1")
	two := New(map[string]Part{"book": &book{}, "pool": &book{}})
	wantError(t, two.Load(good), ErrVersion, "without \"pool\", which this program requires")
	if into.Digest() != before {
		t.Fatal("a rejected snapshot changed the state")
	}
}

// If one part fails to load, all parts must keep their former state.
func TestLoadTakesAllOrNothing(t *testing.T) {
	from := New(map[string]Part{"a": &book{Lines: []string{"new"}}, "b": &book{}})
	kept := &book{Lines: []string{"old"}}
	into := New(map[string]Part{"a": kept, "b": &rejectingPart{}})
	b, _ := from.Save()
	if into.Load(b) == nil || kept.Lines[0] != "old" {
		t.Fatalf("the load succeeded or changed the other part: %v", kept.Lines)
	}
}

type rejectingPart struct{ book }

// optionalPart is a part that was added to the state machine after "book".
type optionalPart struct{ book }

func (o *optionalPart) Empty() bool { return len(o.Lines) == 0 }
func (o *optionalPart) Clear()      { o.book = book{} }

// An Optional part must be left out of snapshots while it is empty, be cleared by loading a snapshot without it, and keep its
// state if another part fails to load. Programs without the part must reject snapshots that contain it.
func TestOptionalPartIsOmittedWhileEmpty(t *testing.T) {
	late := &optionalPart{}
	older, newer := New(map[string]Part{"book": &book{}}), New(map[string]Part{"book": &book{}, "a": late})
	plain, _ := older.Save()
	if same, _ := newer.Save(); !bytes.Equal(plain, same) || older.Digest() != newer.Digest() {
		t.Errorf("%s\n%s", plain, same)
	}
	late.Lines = []string{"something"}
	with, _ := newer.Save()
	wantError(t, older.Load(with), ErrVersion, "part \"a\", which this program does not have")
	again := &optionalPart{}
	if err := New(map[string]Part{"book": &book{}, "a": again}).Load(with); err != nil || len(again.Lines) != 1 {
		t.Error(err, again.Lines)
	}
	if failing := New(map[string]Part{"a": late, "book": &rejectingPart{}}); failing.Load(plain) == nil || len(late.Lines) != 1 {
		t.Error("a rejected snapshot without the optional part cleared it")
	}
	if err := newer.Load(plain); err != nil || !late.Empty() {
		t.Error(err, late.Lines)
	}
}

func (*rejectingPart) Load([]byte) error { return errors.New("not this") }

// A large command is compressed for the log and takes effect like any other. A compressed command that is truncated or too
// large must be rejected, because every co-ordinator rejects it alike; one of a newer version or with an unknown field halts.
func TestPackedCommands(t *testing.T) {
	large := strings.Repeat("name ", CompressAbove/4)
	body, _ := json.Marshal(large)
	c := Command{V: Version, ID: "1", Part: "book", Kind: "put", At: time.Hour, Body: body}
	raw, err := c.Encode()
	if err != nil || len(raw) > CompressAbove/4 || !bytes.HasPrefix(raw, packedPrefix) {
		t.Fatalf("%d bytes: %v", len(raw), err)
	}
	m, b := newTestMachine()
	if err := m.Apply(1, raw); err != nil || len(b.Lines) != 1 || !strings.HasPrefix(b.Lines[0], string(body)) {
		t.Fatalf("%v, %d lines", err, len(b.Lines))
	}
	if err := m.Apply(2, raw); !errors.Is(err, ErrDuplicate) {
		t.Error(err)
	}
	packedCommand := func(inner []byte) []byte {
		z, err := compress.Pack(inner)
		if err != nil {
			t.Fatal(err)
		}
		out, _ := json.Marshal(packed{versionPacked, z})
		return out
	}
	index := uint64(2)
	for name, raw := range map[string][]byte{
		"truncated":  packedCommand(raw[:len(raw)/2])[:40],
		"no frame":   []byte(`{"v":2,"z":"AAAA"}`),
		"too large":  packedCommand(make([]byte, MaxCommandSize+1)),
		"no command": packedCommand([]byte("{}x")),
	} {
		index++
		if err := m.Apply(index, raw); !errors.Is(err, ErrRejected) || m.Halted() != nil || m.Index() != index {
			t.Errorf("%s: %v, index %d", name, err, m.Index())
		}
	}
	for _, raw := range [][]byte{packedCommand(raw), []byte(`{"v":2,"z":"AAAA","y":1}`), []byte(`{"v":2,"part":"book"}`), packedCommand(bytes.Replace(mustEncode(t, "9"), []byte(`"v":1`), []byte(`"v":3`), 1))} {
		m, _ := newTestMachine()
		if err := m.Apply(1, raw); !errors.Is(err, ErrVersion) || m.Halted() == nil || m.Index() != 0 {
			t.Errorf("%.60s: %v", raw, err)
		}
	}
	c.Body, _ = json.Marshal(strings.Repeat(large, 100))
	if _, err := c.Encode(); err == nil || !strings.Contains(err.Error(), "are allowed") {
		t.Errorf("a command that is too large even when compressed: %v", err)
	}
}

func mustEncode(t *testing.T, id string) []byte {
	t.Helper()
	raw, err := Command{V: Version, ID: id, Part: "book", Kind: "put", At: time.Hour}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
