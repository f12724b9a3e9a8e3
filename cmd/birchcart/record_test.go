package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/record"
	"birchcart/internal/testproc"
)

// Every query received must be in the recording together with its end, and an existing recording must not be
// overwritten.
func TestRecord(t *testing.T) {
	path, address := deploy(t, 2*time.Millisecond)
	to := filepath.Join(t.TempDir(), "day.rec")
	cmd, log := startAndAwaitList(t, "--config", path, "--record", to)
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	const n = 30
	for i := range n {
		if status, _, err := post(ctx, address, fmt.Sprint("q", i)); err != nil || status != 200 {
			t.Fatalf("%d %v", status, err)
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	f, err := os.Open(to)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := record.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	open, ended := map[uint64]bool{}, 0
	for {
		rec, err := r.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		switch rec.Kind {
		case "query":
			open[rec.Number] = len(rec.Shards) == 2 && rec.Class == "search" && rec.Wait == 2_000_000
		case "end":
			if open[rec.Number] && rec.Status == "whole" && rec.In == 2 {
				ended++
			}
			delete(open, rec.Number)
		}
	}
	if ended != n || len(open) > 0 {
		t.Errorf("%d of %d queries are recorded with their ends, %d without", ended, n, len(open))
	}
	if out, err := testproc.Command("serve", "--config", path, "--record", to).CombinedOutput(); err == nil {
		t.Errorf("an existing recording was overwritten: %s", out)
	}
}
