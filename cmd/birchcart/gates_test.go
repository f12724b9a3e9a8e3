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

const gateTimeout = 10 * time.Second // limit for each wait in these tests; reaching it fails the test

// gatedDiscovery accepts requests and holds them until the test sets a list. From then on it answers with that list,
// and on a watch sends only keep-alives.
type gatedDiscovery struct {
	listener  net.Listener
	requested chan struct{} // a request has arrived
	released  chan struct{} // closed once the list is set

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
	d := &gatedDiscovery{listener: listener, requested: make(chan struct{}, 1), released: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return d
}

func (d *gatedDiscovery) address() string { return d.listener.Addr().String() }

// requestCount returns the number of requests received.
func (d *gatedDiscovery) requestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// awaitRequest returns once a request has arrived.
func (d *gatedDiscovery) awaitRequest(t *testing.T) {
	t.Helper()
	select {
	case <-d.requested:
	case <-time.After(gateTimeout):
		t.Fatal("discovery received no request")
	}
}

// respond sets the list and releases the held requests. It may be called only once.
func (d *gatedDiscovery) respond(list standin.List) {
	d.mu.Lock()
	d.list = list
	d.mu.Unlock()
	close(d.released)
}

func (d *gatedDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.count++
	d.mu.Unlock()
	select {
	case d.requested <- struct{}{}:
	default:
	}
	select {
	case <-d.released:
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

var emptyList = standin.List{Index: 1, Snapshot: true, Endpoints: []standin.Endpoint{}}

// gatedFile is a named pipe: its reader blocks until the test writes.
type gatedFile struct{ path string }

func newGatedFile(t *testing.T) gatedFile {
	t.Helper()
	f := gatedFile{filepath.Join(t.TempDir(), "gated.json")}
	if err := syscall.Mkfifo(f.path, 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// awaitReader returns once a reader has opened the file. The reader blocks until the returned file is closed.
func (f gatedFile) awaitReader(t *testing.T) *os.File {
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
	case <-time.After(gateTimeout):
		t.Fatal("no reader opened the file")
		return nil
	}
}

// writeAndClose writes the whole text and closes the file, which releases the reader.
func writeAndClose(t *testing.T, file *os.File, text string) {
	t.Helper()
	if _, err := io.WriteString(file, text); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

// gatedReplica holds every part until release is closed.
type gatedReplica struct {
	*standin.Replica
	received chan struct{} // a part has arrived
	release  chan struct{} // closed to answer all held parts
}

func newGatedReplica(t *testing.T) *gatedReplica {
	t.Helper()
	g := &gatedReplica{received: make(chan struct{}, 100), release: make(chan struct{})}
	var err error
	g.Replica, err = standin.NewReplica("g", func(a standin.Asked) standin.Does {
		g.received <- struct{}{}
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
	case <-g.received:
	case <-time.After(gateTimeout):
		t.Fatal("no part arrived")
	}
}

var discoveryField = regexp.MustCompile(`"discovery": "[^"]*"`)

// withDiscovery returns the configuration with the address of discovery replaced.
func withDiscovery(text, address string) string {
	return discoveryField.ReplaceAllString(text, `"discovery": "`+address+`"`)
}

// readyStatus requests the readiness endpoint once and returns the HTTP status.
func readyStatus(t *testing.T, address string) (status int, err error) {
	t.Helper()
	r, err := http.Get("http://" + address + "/-/ready")
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, err
}

// awaitReady polls the readiness endpoint until it returns the wanted status, and returns the time that took.
func awaitReady(t *testing.T, address string, want int) time.Duration {
	t.Helper()
	began := time.Now()
	for status := 0; status != want; {
		if time.Since(began) > gateTimeout {
			t.Fatalf("readiness status is %d after %v", status, gateTimeout)
		}
		if status, _ = readyStatus(t, address); status != want {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}
