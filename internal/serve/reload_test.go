package serve

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// moves notes where the list was moved to.
type moves struct{ to chan string }

func (m moves) Move(address string) { m.to <- address }

// reloading runs a reloader of a file that is half written at the hangup. It must be called in a bubble.
func reloading(t *testing.T) (write func(), moved moves) {
	t.Helper()
	whole, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	src := Source{Config: filepath.Join(t.TempDir(), "config.json")}
	keep := func(text []byte) {
		if err := os.WriteFile(src.Config, text, 0o600); err != nil {
			t.Error(err)
		}
	}
	keep(whole)
	cfg, err := src.Load()
	if err != nil {
		t.Fatal(err)
	}
	keep(whole[:len(whole)/2])
	process := NewProcess("panic")
	moved = moves{make(chan string, 10)}
	ctx, end := context.WithCancel(t.Context())
	hangups := make(chan os.Signal, 1)
	hangups <- os.Interrupt
	r := &reloader{config: cfg, source: src, discovery: moved, Process: process, log: process.Log().WithField("node", "n")}
	ended := make(chan struct{})
	go func() { r.run(ctx, hangups); close(ended) }()
	t.Cleanup(func() { end(); <-ended; process.Close() })
	return func() { keep(whole) }, moved
}

// A file that is half written at a hangup counts soon after it is whole, however late that is.
func TestReloadOfAHalfWrittenFileFollowsItsEnd(t *testing.T) {
	for _, after := range []time.Duration{150 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 2700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			write, moved := reloading(t)
			time.Sleep(after + time.Millisecond) // between two looks
			synctest.Wait()
			write()
			time.Sleep(110 * time.Millisecond)
			synctest.Wait()
			if len(moved.to) != 1 {
				t.Errorf("whole %v after the hangup: %d moves 0.11 s later, want 1", after, len(moved.to))
			}
		})
	}
}

// A file that stays half written is looked at for some seconds and then left; the settings stay as they were.
func TestReloadOfAHalfWrittenFileIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		write, moved := reloading(t)
		time.Sleep(4 * time.Second)
		synctest.Wait()
		write()
		time.Sleep(time.Minute)
		synctest.Wait()
		if len(moved.to) != 0 {
			t.Error("looked at again without a further hangup")
		}
	})
}
