package main

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchcart/internal/standin"
)

// countsServer is a process of a feature server: it answers soundly, each query after some work, and notes when it was asked.
type countsServer struct {
	name string
	ln   net.Listener

	mu    sync.Mutex
	asked []time.Time
}

func newCountsServer(name string, from *standin.FeatureServer, work time.Duration) (*countsServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &countsServer{name: name, ln: ln}
	behind := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: from.Address()})
	behind.ErrorLog = log.New(io.Discard, "", 0)
	behind.ModifyResponse = func(r *http.Response) error { // whole, with its length
		body, err := io.ReadAll(r.Body)
		r.Body.Close()
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		r.TransferEncoding = nil
		r.Header.Set("Content-Length", strconv.Itoa(len(body)))
		return err
	}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/items") {
			c.mu.Lock()
			c.asked = append(c.asked, time.Now())
			c.mu.Unlock()
			time.Sleep(work)
		}
		behind.ServeHTTP(w, r)
	}))
	return c, nil
}

func (c *countsServer) address() string { return c.ln.Addr().String() }

func (c *countsServer) askedAt() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.asked...)
}

const replacedServers = 6

// replacedFeatureServers: queries are forwarded to feature servers. Two of them are replaced under their names, one after the other:
// the old process is told as Terminating, and then the new one as Ready, at another address and with a newer start.
func replacedFeatureServers(s *stage) error {
	shape := standin.FleetShape{
		Replicas: replacedServers, Cells: replacedServers, Reach: 3, Shards: 12, Classes: []standin.FleetClass{
			{Name: "species-search", Promise: 2.5, GiveUp: 6, Semantics: "repeatable", Need: 0.75, Floor: 0.5},
		},
	}
	fleet, err := standin.NewFleet(shape, func(standin.Asked) standin.Does { return standin.Does{Trouble: standin.Fault} })
	if err != nil {
		return err
	}
	s.later = append(s.later, fleet.Close)
	source, err := standin.NewFeatureServer(standin.MakeCounts(7, places(shape.Shards), 30))
	if err != nil {
		return err
	}
	s.later = append(s.later, source.Close)
	const work = 400 * time.Millisecond
	servers := make([]*countsServer, replacedServers)
	for i := range servers {
		if servers[i], err = newCountsServer(fmt.Sprintf("r%d", i), source, work); err != nil {
			return err
		}
		fleet.Discovery.Set(servers[i].name, func(e *standin.Endpoint) { e.Address, e.Type = servers[i].address(), "ogc" })
	}
	listen, err := freePort()
	if err != nil {
		return err
	}
	front, err := freePort()
	if err != nil {
		return err
	}
	config, op := filepath.Join(s.dir, "config.json"), filepath.Join(s.dir, "operator.json")
	if err := os.WriteFile(config, fleet.Config(listen), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(op, bytes.Replace(fleet.Operator(front), []byte(`"listen":`), []byte(`"forward": true, "listen":`), 1), 0o600); err != nil {
		return err
	}
	command, err := s.runCommand()
	if err != nil {
		return err
	}
	p, err := s.start("co-ordinator", command, "EDGE_CONFIG="+config, "EDGE_OPERATOR="+op)
	if err != nil {
		return err
	}
	if err := awaitReady(p, listen); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 12 {
		clients.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				west := -12 + float64(n%7)
				status, err := s.ask(fmt.Sprintf("http://%s/collections/species-search/items?limit=50&bbox=%.2f,28.1,%.2f,28.9", front, west+0.1, west+3.5))
				if err != nil {
					s.note("query: %v", err)
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	type replaced struct {
		old  *countsServer
		told time.Time
	}
	var gone []replaced
	if s.trouble {
		for i := range 2 {
			old := servers[i]
			gone = append(gone, replaced{old, time.Now()})
			fleet.Discovery.Set(old.name, func(e *standin.Endpoint) { e.Status = "Terminating" })
			s.note("%s at %s drains", old.name, old.address())
			time.Sleep(150 * time.Millisecond)
			next, err := newCountsServer(old.name, source, work)
			if err != nil {
				return err
			}
			fleet.Discovery.Set(old.name, func(e *standin.Endpoint) {
				e.Status, e.Address, e.Since = "Ready", next.address(), time.Now().UnixMilli()
			})
			s.note("%s is ready at %s, started now", old.name, next.address())
			servers[i] = next
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	clients.Wait()
	s.note("answers by status: %v", statuses)
	if statuses[http.StatusOK] < 100 {
		return fmt.Errorf("too few queries were answered")
	}
	late := 0
	for _, g := range gone {
		n := 0
		var last time.Duration
		for _, at := range g.old.askedAt() {
			if behind := at.Sub(g.told); behind > drainGrace+200*time.Millisecond {
				n, last = n+1, behind
			}
		}
		s.note("the old process of %s got %d queries later than the grace after its drain was told, the last %.1f s after it", g.old.name, n, last.Seconds())
		late += n
	}
	if late > 0 {
		return broken("%d queries went to old processes that were told as draining, later than the grace", late)
	}
	return nil
}
