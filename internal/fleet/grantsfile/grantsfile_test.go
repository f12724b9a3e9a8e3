package grantsfile

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/maintenance"
)

// The file is replaced atomically, the newest waiting content is written, and a failure to write is logged once.
func TestGrantsFileIsReplacedAtomically(t *testing.T) {
	dir := t.TempDir()
	var output strings.Builder
	log := logrus.New()
	log.SetOutput(&output)
	w := NewWriter(filepath.Join(dir, "grants"), logrus.NewEntry(log))
	for i := range 500 {
		w.Put(File{Version: Version, Index: uint64(i), Items: []maintenance.Item{{Machine: "r", Reason: strings.Repeat("x", i)}}})
	}
	w.Close()
	var f File
	raw, err := os.ReadFile(filepath.Join(dir, "grants"))
	if err != nil || json.Unmarshal(raw, &f) != nil || f.Index != 499 {
		t.Errorf("%v, index %d", err, f.Index)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 1 {
		t.Errorf("%v remain in the folder", left)
	}
	w = NewWriter(filepath.Join(dir, "none", "grants"), logrus.NewEntry(log))
	w.Put(File{})
	w.Close()
	if strings.Count(output.String(), "can't be written") != 1 {
		t.Error(output.String())
	}
}

func TestRecentItemsIsBounded(t *testing.T) {
	var all []maintenance.Item
	for i := range MaxItems + 100 {
		all = append(all, maintenance.Item{Machine: fmt.Sprint(i), EndedAt: time.Duration(i%2) * time.Hour})
	}
	if out := RecentItems(slices.Clone(all), time.Hour); len(out) != MaxItems || slices.ContainsFunc(out[:100], func(it maintenance.Item) bool { return it.EndedAt > 0 }) {
		t.Errorf("%d items, or the items that ended first are among them", len(out))
	}
	if out := RecentItems(all, time.Hour+ItemRetention+1); len(out) != MaxItems/2+50 {
		t.Errorf("%d items", len(out))
	}
}
