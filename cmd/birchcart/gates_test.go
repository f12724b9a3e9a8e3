package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/standin"
)

const gateWait = 10 * time.Second // for a gate to be reached; a test that waits as long has failed

// gatedDiscovery takes asks and holds them until it is told what to answer; from then on it pulses.
type gatedDiscovery struct {
	listener net.Listener
	asked    chan struct{} // an ask has come
	open     chan struct{} // closed once there is an answer

	mu    sync.Mutex
	count int
	list  standin.List
}

func newGatedDiscovery(t *testing.T) *gatedDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &gatedDiscovery{listener: listener, asked: make(chan struct{}, 1), open: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return d
}

func (d *gatedDiscovery) address() string { return d.listener.Addr().String() }

// asks is how many asks have come.
func (d *gatedDiscovery) asks() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// awaitAsk returns once it has been asked.
func (d *gatedDiscovery) awaitAsk(t *testing.T) {
	t.Helper()
	select {
	case <-d.asked:
	case <-time.After(gateWait):
		t.Fatal("discovery was not asked")
	}
}

// answer opens the gate. It is called once.
func (d *gatedDiscovery) answer(list standin.List) {
	d.mu.Lock()
	d.list = list
	d.mu.Unlock()
	close(d.open)
}

func (d *gatedDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.count++
	d.mu.Unlock()
	select {
	case d.asked <- struct{}{}:
	default:
	}
	select {
	case <-d.open:
	case <-r.Context().Done():
		return
	}
	if r.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		json.NewEncoder(w).Encode(d.list)
		return
	}
	pulse := time.NewTicker(50 * time.Millisecond)
	defer pulse.Stop()
	for {
		if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-pulse.C:
		}
	}
}

var listOfNone = standin.List{Index: 1, Snapshot: true, Endpoints: []standin.Endpoint{}}

// gatedFile is a file whose reader is held until the test writes: a named pipe.
type gatedFile struct{ path string }

func newGatedFile(t *testing.T) gatedFile {
	t.Helper()
	f := gatedFile{filepath.Join(t.TempDir(), "gated.json")}
	if err := syscall.Mkfifo(f.path, 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// awaitRead returns once a reader has opened the file; it is held until what is returned is closed.
func (f gatedFile) awaitRead(t *testing.T) *os.File {
	t.Helper()
	type opened struct {
		file *os.File
		err  error
	}
	done := make(chan opened, 1)
	go func() {
		file, err := os.OpenFile(f.path, os.O_WRONLY, 0)
		done <- opened{file, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			t.Fatal(o.err)
		}
		t.Cleanup(func() { o.file.Close() })
		return o.file
	case <-time.After(gateWait):
		t.Fatal("nobody reads the file")
		return nil
	}
}

// give writes the whole text and lets the reader go.
func give(t *testing.T, file *os.File, text string) {
	t.Helper()
	if _, err := io.WriteString(file, text); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// gatedReplica holds every part until it is released, or for good.
type gatedReplica struct {
	*standin.Replica
	got     chan struct{} // a part has come
	release chan struct{} // closed to let all go
}

func newGatedReplica(t *testing.T) *gatedReplica {
	t.Helper()
	g := &gatedReplica{got: make(chan struct{}, 100), release: make(chan struct{})}
	var err error
	g.Replica, err = standin.NewReplica("g", func(a standin.Asked) standin.Does {
		g.got <- struct{}{}
		<-g.release
		return standin.Does{Value: []byte("v-" + a.ID), Score: 5}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func (g *gatedReplica) awaitPart(t *testing.T) {
	t.Helper()
	select {
	case <-g.got:
	case <-time.After(gateWait):
		t.Fatal("no part came")
	}
}

var discoveryField = regexp.MustCompile(`"discovery": "[^"]*"`)

// withDiscovery is a configuration with another address of discovery.
func withDiscovery(text, address string) string {
	return discoveryField.ReplaceAllString(text, `"discovery": "`+address+`"`)
}

// ready asks once whether clients should come.
func ready(t *testing.T, address string) (status int, err error) {
	t.Helper()
	r, err := http.Get("http://" + address + "/-/ready")
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// awaitReady asks until the answer is this status, and tells after how long.
func awaitReady(t *testing.T, address string, want int) time.Duration {
	t.Helper()
	began := time.Now()
	for status := 0; status != want; {
		if time.Since(began) > gateWait {
			t.Fatalf("ready answers %d after %v", status, gateWait)
		}
		if status, _ = ready(t, address); status != want {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}
