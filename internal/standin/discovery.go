package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Endpoint is one line of discovery's list, as it travels.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // Ready, Terminating or Gone
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// List is discovery's list, or changes of it, as it travels.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Discovery gives a list and then its changes to all who watch.
type Discovery struct {
	ln net.Listener

	mu      sync.Mutex
	list    List
	changes []List // since the start, by index
	news    chan struct{}
}

const discoveryPulse = 50 * time.Millisecond

// NewDiscovery starts a discovery on loopback with this list.
func NewDiscovery(endpoints []Endpoint) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{ln: ln, list: List{Index: 1, Snapshot: true, Endpoints: slices.Clone(endpoints)}, news: make(chan struct{})}
	go http.Serve(ln, http.HandlerFunc(d.serve))
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.ln.Addr().String() }

// Close ends it; watches that are open end with their connections.
func (d *Discovery) Close() { d.ln.Close() }

// List is the list as it stands.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.list
	l.Endpoints = slices.Clone(l.Endpoints)
	return l
}

// Set changes the line of a replica by name and tells all who watch.
func (d *Discovery) Set(name string, change func(*Endpoint)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.list.Endpoints {
		e := &d.list.Endpoints[i]
		if e.Name != name {
			continue
		}
		change(e)
		d.list.Index++
		d.changes = append(d.changes, List{Index: d.list.Index, Endpoints: []Endpoint{*e}})
		close(d.news)
		d.news = make(chan struct{})
		return
	}
}

// Add puts a further line on the list and tells all who watch.
func (d *Discovery) Add(e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Index++
	d.list.Endpoints = append(d.list.Endpoints, e)
	d.changes = append(d.changes, List{Index: d.list.Index, Endpoints: []Endpoint{e}})
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(d.List())
		return
	}
	var seen int64
	fmt.Sscan(r.URL.Query().Get("after"), &seen)
	if seen == 0 {
		seen = d.List().Index
	}
	pulse := time.NewTicker(discoveryPulse)
	defer pulse.Stop()
	for {
		d.mu.Lock()
		news := d.news
		var due []List
		for _, c := range d.changes {
			if c.Index > seen {
				due = append(due, c)
			}
		}
		d.mu.Unlock()
		enc := json.NewEncoder(w)
		for _, c := range due {
			if enc.Encode(c) != nil {
				return
			}
			seen = c.Index
		}
		if len(due) == 0 {
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-news:
		case <-pulse.C:
		}
	}
}
