// Package testproc starts a command in its own tests: the test binary stands in for it, so that what runs is what was
// compiled for the test, with -race too.
package testproc

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"
)

// variable is set in the environment of a test binary that stands in for the command.
const variable = "BIRCHCART_MAIN"

// Main is all of a command's TestMain: it runs the tests, or main where the test binary stands in for the command.
func Main(m *testing.M, main func()) {
	if os.Getenv(variable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Command is the command with these arguments, not yet started, and without the settings that the tests' own environment
// may have (EDGE_).
func Command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "EDGE_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	// The race detector's runtime sleeps a second at each exit by default, which is not the command's time to end.
	cmd.Env = append(cmd.Env, variable+"=1", "GORACE=atexit_sleep_ms=0")
	return cmd
}

// Log is a buffer that is read while the command writes it.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write takes what the command logs.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String is all that was logged so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Until waits for a text in the log, 10 s at the most, and fails the test with the log if it does not come.
func (l *Log) Until(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !strings.Contains(l.String(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %q in the log:\n%s", text, l.String())
		}
	}
}
