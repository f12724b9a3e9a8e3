package maintenance_test

import (
	"bytes"
	"os"
	"testing"

	"birchcart/internal/fleet/maintenance"
)

// TestStateOfEarlierVersion checks compatibility with the version before the package was renamed (takeout, at 7c55f5a): its saved
// state loads and is saved to the same bytes, and the same commands give the same digest. Otherwise co-ordinators of the two
// versions would disagree on the state.
func TestStateOfEarlierVersion(t *testing.T) {
	old, err := os.ReadFile("testdata/state-of-7c55f5a.json")
	if err != nil {
		t.Fatal(err)
	}
	t.Run("a saved state loads and is saved to the same bytes", func(t *testing.T) {
		s := maintenance.New()
		if err := s.Load(old); err != nil {
			t.Fatalf("state of the earlier version rejected: %v", err)
		}
		again, err := s.Save()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(again, old) {
			t.Errorf("saved again, the state differs:\n%s\n%s", again, old)
		}
	})
	t.Run("the same commands give the same digest", func(t *testing.T) {
		const digestThen, grantsThen = 6483368069660924322, 14
		if digest, grants := runRandomCommands(t, 77, 150); digest != digestThen || grants != grantsThen {
			t.Errorf("digest %d after %d grants; the earlier version has %d after %d", digest, grants, uint64(digestThen), grantsThen)
		}
	})
}
