package store

import (
	"os"
	"path/filepath"
	"testing"
)

// Archive must keep the files of each earlier voter in the directory and fail after MaxArchives.
func TestArchiveKeepsFilesUpToLimit(t *testing.T) {
	dir := t.TempDir()
	for range MaxArchives {
		if err := os.WriteFile(filepath.Join(dir, "council.db"), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := Archive(dir, "era-1"); err != nil {
			t.Fatal(err)
		}
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "era-1*", "council.db")); len(left) != MaxArchives {
		t.Errorf("%v", left)
	}
	if Archive(dir, "era-1") == nil {
		t.Error("more than MaxArchives archives were made")
	}
}
