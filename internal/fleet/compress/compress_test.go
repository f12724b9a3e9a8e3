package compress

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// What is packed comes back, and any frame that was changed, cut or holds more than is allowed is refused.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "raw"), rapid.IntRange(1, 2000).Draw(t, "times"))
		packed, err := Pack(raw)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := Unpack(packed, len(raw)); err != nil || !bytes.Equal(back, raw) {
			t.Fatalf("%d bytes came back as %d: %v", len(raw), len(back), err)
		}
		if _, err := Unpack(packed, len(raw)-1); err == nil {
			t.Fatal("more than allowed was taken")
		}
		if _, err := Unpack(packed[:rapid.IntRange(0, len(packed)-1).Draw(t, "cut")], len(raw)); err == nil {
			t.Fatal("a torn frame was taken")
		}
		at := rapid.IntRange(0, len(packed)-1).Draw(t, "at")
		packed[at] ^= byte(1 + rapid.IntRange(0, 254).Draw(t, "flip"))
		if back, err := Unpack(packed, len(raw)); err == nil && !bytes.Equal(back, raw) {
			t.Fatal("a damaged frame gave something else")
		}
	})
}

// A frame that says little and holds much makes no room for it.
func TestUnpackBoundsMemory(t *testing.T) {
	packed, err := Pack(make([]byte, 64<<20))
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > 64<<10 {
		t.Fatalf("%d bytes", len(packed))
	}
	if n := testing.AllocsPerRun(1, func() { _, err = Unpack(packed, 1<<20) }); err == nil || n > 20 {
		t.Errorf("%v after %v allocations", err, n)
	}
}
