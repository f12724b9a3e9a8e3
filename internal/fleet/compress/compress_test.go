package compress

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// Unpack returns what was packed, and refuses any frame that was changed, truncated or holds more than allowed.
func TestPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "raw"), rapid.IntRange(1, 2000).Draw(t, "times"))
		packed, err := Pack(raw)
		if err != nil {
			t.Fatal(err)
		}
		if unpacked, err := Unpack(packed, len(raw)); err != nil || !bytes.Equal(unpacked, raw) {
			t.Fatalf("%d bytes were unpacked as %d: %v", len(raw), len(unpacked), err)
		}
		if _, err := Unpack(packed, len(raw)-1); err == nil {
			t.Fatal("a frame that holds more than allowed was unpacked")
		}
		if _, err := Unpack(packed[:rapid.IntRange(0, len(packed)-1).Draw(t, "cut")], len(raw)); err == nil {
			t.Fatal("a truncated frame was unpacked")
		}
		at := rapid.IntRange(0, len(packed)-1).Draw(t, "at")
		packed[at] ^= byte(1 + rapid.IntRange(0, 254).Draw(t, "flip"))
		if unpacked, err := Unpack(packed, len(raw)); err == nil && !bytes.Equal(unpacked, raw) {
			t.Fatal("a damaged frame was unpacked to other content")
		}
	})
}

// A small frame with a large content is refused without allocating memory for the content.
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
