package statemachine

import (
	"bytes"
	"os"
	"testing"
	"time"
)

// TestSnapshotOfEarlierVersionLoads loads a snapshot that this package wrote at commit 7c55f5a, when it was called ledger.
// The snapshot holds three commands and a new epoch. It must load, yield the same state, and be saved to the same bytes.
func TestSnapshotOfEarlierVersionLoads(t *testing.T) {
	old, err := os.ReadFile("testdata/snapshot-of-7c55f5a.txt")
	if err != nil {
		t.Fatal(err)
	}
	machine, _ := newTestMachine()
	if err := machine.Load(old); err != nil {
		t.Fatalf("snapshot of the earlier version refused: %v", err)
	}
	if machine.Index() != 3 || machine.Now() != 5*time.Second || machine.Fence() != 262147 || machine.Epoch() != 5 {
		t.Errorf("loaded index %d, now %v, fence %d, epoch %d; want 3, 5s, 262147, 5",
			machine.Index(), machine.Now(), machine.Fence(), machine.Epoch())
	}
	again, err := machine.Save()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, old) {
		t.Errorf("saved again, the snapshot differs from the earlier version's:\n%s\n%s", again, old)
	}
	replayed, _ := newTestMachine()
	for i, id := range []string{"a", "b", "c"} {
		if err := replayed.Apply(uint64(i+1), encodeBookCommand(id, "put", time.Duration(i+1)*time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	if err := replayed.Renew(5*time.Second, 9*time.Second); err != nil {
		t.Fatal(err)
	}
	if now, err := replayed.Save(); err != nil || !bytes.Equal(now, old) {
		t.Errorf("the same commands produce other bytes than in the earlier version (%v):\n%s\n%s", err, now, old)
	}
}
