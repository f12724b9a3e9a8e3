package clockwork

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// What was laid comes by time, equal times in the order of laying, what is laid for the past comes now, and nothing past the end.
func TestQueue(t *testing.T) {
	var q Queue
	var did []int
	lay := func(at time.Duration, n int) { q.At(at, func() { did = append(did, n) }) }
	for i := range 100 {
		lay(time.Duration(i*37%10)*time.Second, i)
	}
	q.At(3500*time.Millisecond, func() { lay(time.Second, 1000) })
	q.Play(8*time.Second, func() bool { return false })
	at := slices.Index(did, 1000)
	if q.Now != 8*time.Second || len(did) != 91 || at != 40 {
		t.Fatalf("%v: %v", q.Now, did)
	}
	did = slices.Delete(did, at, at+1)
	if !slices.IsSortedFunc(did, func(a, b int) int { return 1000*(a*37%10-b*37%10) + a - b }) {
		t.Error(did)
	}
}

// Each seed is played once, and none after enough.
func TestSeeds(t *testing.T) {
	var got []uint64
	play := func(seed uint64) func() { return func() { got = append(got, seed) } }
	Seeds{First: 5, Count: 50}.Play(play, func() bool { return false })
	if slices.Sort(got); len(got) != 50 || got[0] != 5 || got[49] != 54 || len(slices.Compact(got)) != 50 {
		t.Error(got)
	}
	got = nil
	Seeds{First: 1, Count: 1 << 30}.Play(play, func() bool { return len(got) >= 20 })
	if len(got) < 20 || len(got) > 1000 {
		t.Error(len(got))
	}
}

// A schedule that was printed is read again.
func TestPrintedAndRead(t *testing.T) {
	file := filepath.Join(t.TempDir(), "schedule")
	step := Step{At: 3, For: 4, Kind: "cut", B: 2}
	if err := os.WriteFile(file, []byte(Print(step)), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := Read[Step](file); err != nil || *got != step || Healed([]Step{step, {At: 5}}) != 7 {
		t.Error(got, err)
	}
}
