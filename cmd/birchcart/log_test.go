package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/testproc"
)

const setPipeSize = 1031 // F_SETPIPE_SZ, fcntl(2)

// The reader of the log stops reading: queries must still be answered. Once it reads again, the log must report the
// dropped lines, as JSON because the operators' file sets that format. A SIGHUP with an invalid operators' file keeps the
// settings in force; with a valid one the new settings apply.
func TestBlockedLogReaderDoesNotBlockQueries(t *testing.T) {
	path, address := deploy(t, 5*time.Millisecond)
	op := filepath.Join(t.TempDir(), "operator.json")
	write := func(text string) {
		if err := os.WriteFile(op, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`{"version":1,"process":{"log":{"format":"json","level":"debug","queue":16}}}`)
	cmd := testproc.Command("serve", "--config", path, "--operator", op)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), setPipeSize, 4096); errno != 0 {
		t.Fatal(errno)
	}
	cmd.Stderr = w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	defer cmd.Process.Kill()
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	for ctx.Err() == nil { // until it listens
		if _, _, err := post(ctx, address, "first"); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	var wg sync.WaitGroup
	for g := range 10 {
		wg.Go(func() {
			for i := range 20 {
				if status, body, err := post(ctx, address, fmt.Sprintf("q%d-%d", g, i)); err != nil || status == 0 {
					t.Errorf("query %d-%d: %d %q %v", g, i, status, body, err)
					return
				}
			}
		})
	}
	wg.Wait()
	lines := make(chan string, 10000)
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(r); in.Scan(); {
			lines <- in.Text()
		}
	}()
	until := func(text string) {
		t.Helper()
		for {
			select {
			case line, ok := <-lines:
				if !ok {
					t.Fatalf("the log ended without %q", text)
				}
				if strings.Contains(line, text) {
					return
				}
				if !json.Valid([]byte(line)) {
					t.Fatalf("%q is not valid JSON", line)
				}
			case <-ctx.Done():
				t.Fatalf("no %q in the log", text)
			}
		}
	}
	until("log lines were dropped")
	write(`{"version":1,"process":{"log":{"format":"yaml"}}}`)
	cmd.Process.Signal(syscall.SIGHUP)
	until("operators' file can't be read again")
	write(`{"version":1,"process":{"log":{"format":"json","level":"debug","queue":2000}}}`)
	cmd.Process.Signal(syscall.SIGHUP)
	until("the operators' file was read again")
	cmd.Process.Signal(syscall.SIGTERM)
	until(`"msg":"ended"`)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// check --strict must reject values that are out of range or contradictory, and keys that are not known.
func TestCheckRejectsInvalidConfiguration(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"cold_from": 0.22`, `"cold_from": 7`, "settings.invariants.cold_from: 7 stands there; a share from 0 to 1 is right"},
		{`"drain_grace_s": 0.25`, `"drain_grace_s": -1`, "settings.invariants.drain_grace_s: -1 stands there"},
		{`"floor_by_class": [1.0]`, `"floor_by_class": [1.0], "x": 1`, "settings.family_info.x"},
		{`"need_by_class": [1.0]`, `"need_by_class": [0.5]`, "settings.family_info.floor_by_class[0]: 1 stands there; at most the need"},
		{`"group": 1`, `"group": 2`, "replica r1 is in cell 2; there are cells 0 to 1"},
		{`"name": "r1"`, `"name": "r0"`, "replica r0 is named twice"},
		{`"allowed"`, `"allowd"`, `settings.allowd: "allowd" is not known; is "allowed" meant?`},
		{`"give_up_s": 3.0`, `"give_up_s": 0.5`, "clients would leave before the promise"},
		{`"promise_s": 1.0`, `"promise_s": 0`, "promise_s: 0 stands there; more than 0 s is right"},
		{`"reach": 2`, `"reach": 3`, "settings.family_info.reach: 3 stands there; there are only 2 cells"},
	} {
		path := filepath.Join(t.TempDir(), "c.json")
		text := strings.Replace(string(raw), c.from, c.to, 1)
		if text == string(raw) {
			t.Fatalf("the example does not contain %s", c.from)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, err := testproc.Command("check", "--strict", "--config", path).CombinedOutput(); err == nil || !strings.Contains(string(out), c.want) {
			t.Errorf("%s: %v, %s", c.to, err, out)
		}
	}
	if out, err := testproc.Command("check", "--strict", "--config", "../../deploy/example.json").CombinedOutput(); err != nil {
		t.Errorf("the example: %v, %s", err, out)
	}
}
