package replica

import (
	"syscall"
	"testing"
)

// shrinkAcceptQueue sets the accept queue of a listener to its minimum length.
func shrinkAcceptQueue(t *testing.T, raw syscall.RawConn) {
	t.Helper()
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	if listenErr != nil {
		t.Fatal(listenErr)
	}
}
