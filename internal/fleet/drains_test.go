package fleet

import (
	"path/filepath"
	"testing"

	"birchcart/internal/fleet/drainstore"

	"birchcart/internal/operator"
)

// The folder of the start counts until the end, whatever a file that is read again says.
func TestDrainStoreKeepsStartDirAfterReload(t *testing.T) {
	file := func(dir string) *operator.File { return &operator.File{Fleet: &operator.Fleet{Dir: dir}} }
	n := &Node{dir: "a", file: file("a")}
	drains := n.newDrainStore()
	n.file = file("b")
	if got := drains.Path(); got != filepath.Join("a", drainstore.FileName) {
		t.Errorf("the drains are kept in %s", got)
	}
}
