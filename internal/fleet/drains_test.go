package fleet

import (
	"path/filepath"
	"testing"

	"birchcart/internal/fleet/drainstore"

	"birchcart/internal/operator"
)

// The drain store stays in the folder configured at start, even if a reloaded operators' file names another folder.
func TestDrainStoreKeepsStartDirAfterReload(t *testing.T) {
	file := func(dir string) *operator.File { return &operator.File{Fleet: &operator.Fleet{Dir: dir}} }
	n := &Node{dir: "a", file: file("a")}
	drains := n.newDrainStore()
	n.file = file("b")
	if got := drains.Path(); got != filepath.Join("a", drainstore.FileName) {
		t.Errorf("the drains are stored in %s", got)
	}
}
