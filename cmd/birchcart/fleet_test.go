package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/testproc"
)

// This program does not support the fleet section. It must report that at startup, in check, and when a reload
// brings such a section.
func TestFleetSectionRejected(t *testing.T) {
	path, _ := deploy(t, time.Millisecond)
	const section = `{"version":1,"placement":{"holders_least":1},"fleet":{"revision":1,"voters":{"n0":{"address":"127.0.0.1:1"},` +
		`"n1":{"address":"127.0.0.1:2"},"n2":{"address":"127.0.0.1:3"}},"gossip":{"bind":"127.0.0.1:4","join":["127.0.0.1:5"]},` +
		`"keys_file":"k","dir":"d","out_by_zone":1,"out_most":1,"parts_per_replica":1}}`
	path = replaceSetting(t, path, `"fleet_size": 1`, `"fleet_size": 3`)
	path = replaceSetting(t, path, `"memory_mb": 192, "sockets": 1024`, `"memory_mb": 512, "sockets": 2048`)
	op := filepath.Join(t.TempDir(), "operator.json")
	write := func(text string) {
		if err := os.WriteFile(op, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(section)
	for _, verb := range []string{"serve", "check"} {
		out, err := testproc.Command(verb, "--config", path, "--operator", op).CombinedOutput()
		if err == nil || !strings.Contains(string(out), "$.fleet") || !strings.Contains(string(out), "start birchcart-fleet") {
			t.Errorf("%s: %v, %s", verb, err, out)
		}
	}
	write(`{"version":1}`)
	cmd, log := startAndAwaitList(t, "--config", path, "--operator", op)
	write(section)
	cmd.Process.Signal(syscall.SIGHUP)
	log.Until(t, "start birchcart-fleet")
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, log.String())
	}
}
