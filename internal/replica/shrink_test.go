package replica

import (
	"syscall"
	"testing"
)

// shrink gives a listener the shortest accept queue.
func shrinkAcceptQueue(t *testing.T, raw syscall.RawConn) {
	t.Helper()
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	if failed != nil {
		t.Fatal(failed)
	}
}
