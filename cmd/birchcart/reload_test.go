package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// refusedOperatorFile is well formed, but names a shard that no deployment here has.
const refusedOperatorFile = `{"version":1,"squares":{"MA-34":{"shards":[9999]}}}`

// A sound configuration must move discovery at SIGHUP whichever way the operators' file fails beside it, over SIGHUPs in a row, and the
// process must go on serving. Guards against the fault of review case 9, where the new address was never asked.
func TestReloadMovesDiscoveryBesideFailingOperatorFile(t *testing.T) {
	for _, c := range []struct {
		name, logged string
		fail         func(path string) error
	}{
		{"refused", "the operators' file can't be used", func(path string) error { return os.WriteFile(path, []byte(refusedOperatorFile), 0o600) }},
		{"half written", "the operators' file can't be read again", func(path string) error { return os.WriteFile(path, []byte(`{"version":1,`), 0o600) }},
		{"missing", "the operators' file can't be read again", os.Remove},
		{"blocked", "", func(path string) error {
			if err := os.Remove(path); err != nil {
				return err
			}
			return syscall.Mkfifo(path, 0o600)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path, address := deploy(t, 0)
			good := readFile(t, path)
			op := filepath.Join(t.TempDir(), "operator.json")
			if err := os.WriteFile(op, []byte(`{"version":1}`), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd, log := startAndAwaitList(t, "--config", path, "--operator", op)
			if err := c.fail(op); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				next := startDiscovery(t).Address()
				if err := os.WriteFile(path, []byte(withDiscovery(good, next)), 0o600); err != nil {
					t.Fatal(err)
				}
				cmd.Process.Signal(syscall.SIGHUP)
				log.Until(t, `to="`+next)
			}
			if c.logged != "" {
				log.Until(t, c.logged)
				log.Until(t, "the operators' file is left as it was")
			}
			ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
			defer stop()
			if status, body, err := post(ctx, address, "a"); err != nil || status == 0 {
				t.Errorf("%d %q %v", status, body, err)
			}
			if text := log.String(); strings.Contains(text, "the configuration is left as it was") {
				t.Errorf("logged %s", text)
			}
			expectCleanExit(t, cmd, log, terminate(cmd))
		})
	}
}

// A sound operators' file must count at SIGHUP although the configuration beside it can't be used.
func TestReloadOfOperatorFileBesideFailingConfiguration(t *testing.T) {
	path, _ := deploy(t, 0)
	op := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(op, []byte(`{"version":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := startAndAwaitList(t, "--config", path, "--operator", op)
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(op, []byte(`{"version":1,"process":{"log":{"level":"debug"}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	log.Until(t, "the operators' file was read again")
	log.Until(t, "the configuration is left as it was")
	expectCleanExit(t, cmd, log, terminate(cmd))
}
