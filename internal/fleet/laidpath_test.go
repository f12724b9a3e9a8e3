package fleet

import (
	"path/filepath"
	"testing"

	"birchcart/internal/operator"
)

// The folder of the start counts until the end, whatever a file that is read again says.
func TestLaidStaysInTheFolderOfTheStart(t *testing.T) {
	file := func(dir string) *operator.File { return &operator.File{Fleet: &operator.Fleet{Dir: dir}} }
	n := &Node{dir: "a", file: file("a")}
	n.file = file("b")
	if got := n.laidPath(); got != filepath.Join("a", laidFile) {
		t.Errorf("the drains are kept in %s", got)
	}
}
