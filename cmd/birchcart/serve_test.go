package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/standin"
	"birchcart/internal/testproc"
)

func TestMain(m *testing.M) { testproc.Main(m, main) }

// startAndAwaitList starts the program and waits until it has received a list of replicas.
func startAndAwaitList(t *testing.T, args ...string) (*exec.Cmd, *testproc.Log) {
	t.Helper()
	cmd, log := testproc.Command(append([]string{"serve"}, args...)...), &testproc.Log{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	log.Until(t, "a whole list")
	return cmd, log
}

// delayedAnswer returns a script that answers every part after a delay, with a value made from its id.
func delayedAnswer(after time.Duration) standin.Script {
	return func(a standin.Asked) standin.Does {
		return standin.Does{After: after, Value: []byte("v-" + a.ID), Score: 5}
	}
}

func startReplica(t *testing.T, script standin.Script) *standin.Replica {
	t.Helper()
	r, err := standin.NewReplica("r", script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// startDiscovery starts a discovery server that sends one list and then only keep-alives.
func startDiscovery(t *testing.T, list ...standin.Endpoint) *standin.Discovery {
	t.Helper()
	d, err := standin.NewDiscovery(list)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// deploy starts two replicas that answer after a delay, and discovery, and writes a configuration for them.
func deploy(t *testing.T, after time.Duration) (path, listen string) {
	t.Helper()
	return deployTo(t, delayedAnswer(after))
}

// deployTo starts two replicas that run a script, and discovery, and writes a configuration for them.
func deployTo(t *testing.T, script standin.Script) (path, listen string) {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	a, b, free := startReplica(t, script), startReplica(t, script), freeAddress(t)
	list := []standin.Endpoint{{Name: "r0", Address: a.Address(), Status: "Ready"}, {Name: "r1", Address: b.Address(), Group: 1, Status: "Ready"}}
	text := strings.NewReplacer("127.0.0.1:9080", free, "127.0.0.1:9200", startDiscovery(t, list...).Address(),
		"127.0.0.1:9101", a.Address(), "127.0.0.1:9102", b.Address()).Replace(string(raw))
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, free
}

// freeAddress returns a loopback address whose port is free.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// post sends a search with two buckets and returns the status and body of the answer.
func post(ctx context.Context, address, id string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/search",
		strings.NewReader(`{"buckets":[{"bucket":0,"part":0.5},{"bucket":3,"part":0.5}],"body":"c41e77d0"}`))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("X-Timeout-Ms", "2000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// The program becomes ready and answers a query. It then receives SIGTERM with one query in flight, and another query
// arrives during the drain: both must be answered and the exit must be clean.
func TestServeAndGracefulShutdown(t *testing.T) {
	const want = `{"finished":true,"found":[{"bucket":0,"item":"v-%s.0"},{"bucket":3,"item":"v-%s.3"}]}`
	asked, answer := make(chan string, 10), make(chan struct{})
	path, address := deployTo(t, func(a standin.Asked) standin.Does {
		d := delayedAnswer(0)(a)
		if strings.HasPrefix(a.ID, "b.") { // the query in flight at SIGTERM
			d.Until = answer
			asked <- a.ID
		}
		return d
	})
	cmd, log := startAndAwaitList(t, "--config", path)
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	for {
		r, err := http.Get("http://" + address + "/-/ready")
		if err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				break
			}
		}
		if ctx.Err() != nil {
			t.Fatalf("never ready: %v\n%s", err, log.String())
		}
		time.Sleep(5 * time.Millisecond)
	}
	check := func(id string) {
		status, body, err := post(ctx, address, id)
		if err != nil || status != 200 || body != fmt.Sprintf(want, id, id) {
			t.Errorf("%s: %d %q %v", id, status, body, err)
		}
	}
	check("a")
	var wg sync.WaitGroup
	wg.Go(func() { check("b") })
	for range 2 { // both parts have reached the replicas
		select {
		case <-asked:
		case <-ctx.Done():
			t.Fatal("the replicas did not receive both parts")
		}
	}
	cmd.Process.Signal(syscall.SIGTERM)
	log.Until(t, "draining")
	check("c")
	close(answer)
	wg.Wait()
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v\n%s", err, log.String())
	}
	if !strings.Contains(log.String(), "ended") {
		t.Errorf("logged %s", log.String())
	}
}

// SIGHUP must never end the program, however early or late it arrives. After it, the discovery address in the file
// applies, even over a --discovery flag given at startup. A half-written file changes nothing and is read again.
func TestReloadBySIGHUP(t *testing.T) {
	path, address := deploy(t, 50*time.Millisecond)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	second, third := startDiscovery(t).Address(), startDiscovery(t).Address()
	moved := func(to string) []byte {
		from := regexp.MustCompile(`"discovery": "[^"]*"`)
		return from.ReplaceAll(good, []byte(`"discovery": "`+to+`"`))
	}
	cmd, log := startAndAwaitList(t, "--config", path, "--discovery", startDiscovery(t).Address())
	write := func(text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
	}
	write(good[:len(good)/2])
	log.Until(t, "can't be read again")
	if err := os.WriteFile(path, moved(second), 0o600); err != nil { // without another SIGHUP: the program retries by itself
		t.Fatal(err)
	}
	log.Until(t, "to=\""+second)
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	if status, body, err := post(ctx, address, "a"); err != nil || status == 0 {
		t.Errorf("%d %q %v", status, body, err)
	}
	write(moved(third))
	write(moved(third))
	log.Until(t, "to=\""+third)
	cmd.Process.Signal(syscall.SIGTERM)
	log.Until(t, "draining")
	write(moved(second))
	log.Until(t, "from=\""+third)
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v\n%s", err, log.String())
	}
	if !strings.Contains(log.String(), "ended") {
		t.Errorf("logged %s", log.String())
	}
}

// A start with invalid arguments, an invalid configuration or an address in use must report the reason and exit with a
// non-zero status before the program listens.
func TestInvalidStartReportsReason(t *testing.T) {
	path, address := deploy(t, 0)
	taken, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for want, args := range map[string][]string{
		"EDGE_CONFIG":            {"serve"},
		"no such file":           {"serve", "--config", filepath.Join(t.TempDir(), "none.json")},
		"unexpected end":         {"serve", "--config", bad},
		"address already in use": {"serve", "--config", path},
		"unexpected argument":    {"nonsense"},
		"discovery":              {"check", "--config", path, "--discovery", "nowhere"},
	} {
		cmd := testproc.Command(args...)
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) {
			t.Errorf("%v: %v, %s", args, err, out)
		}
	}
	if out, err := testproc.Command("check", "--config", path).CombinedOutput(); err != nil || !strings.Contains(string(out), "2 replicas") {
		t.Errorf("%v, %s", err, out)
	}
}
