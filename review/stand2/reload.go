package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchcart/internal/standin"
)

// proxy passes connections on to an address until it is closed.
type proxy struct {
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
	taken int
}

func newProxy(to string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, in, out)
			p.taken++
			p.mu.Unlock()
			go func() { io.Copy(out, in); out.Close() }()
			go func() { io.Copy(in, out); in.Close() }()
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken
}

// refuse takes no new connection from now on.
func (p *proxy) refuse() { p.ln.Close() }

// cut closes the open connections.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}

const (
	toldAfter  = 4 * time.Second                            // after SIGHUP, at the latest
	drainGrace = 250*time.Millisecond + 50*time.Millisecond // of the settings, and that of the sockets
	leftOver   = 700 * time.Millisecond                     // for the machine: of the test, not of the rule
)

// reloadMovesDiscovery: the configuration is replaced and names another address of discovery, and SIGHUP comes. With the disruption the
// operators' file, replaced at the same time, has a route that the program refuses. Then a replica begins to drain.
func reloadMovesDiscovery(s *stage) error {
	shape := standin.FleetShape{
		Replicas: 6, Cells: 6, Reach: 3, Shards: 12, Classes: []standin.FleetClass{
			{Name: "species-search", Promise: 0.8, GiveUp: 3, Semantics: "repeatable", Need: 0.75, Floor: 0.5},
		},
	}
	fleet, err := standin.NewFleet(shape, func(a standin.Asked) standin.Does {
		return standin.Does{After: 5 * time.Millisecond, Value: []byte("v" + a.ID)}
	})
	if err != nil {
		return err
	}
	s.later = append(s.later, fleet.Close)
	first, err := newProxy(fleet.Discovery.Address())
	if err != nil {
		return err
	}
	second, err := newProxy(fleet.Discovery.Address())
	if err != nil {
		return err
	}
	s.later = append(s.later, first.refuse, first.cut, second.refuse, second.cut)
	listen, err := freePort()
	if err != nil {
		return err
	}
	front, err := freePort()
	if err != nil {
		return err
	}
	config, op := filepath.Join(s.dir, "config.json"), filepath.Join(s.dir, "operator.json")
	write := func(discovery string, attempts int) error {
		routes := fmt.Appendf(nil, `"routes": [{"name": "search", "match": {"class": "species-search"}, "limits": {"attempts": %d}},
			{"name": "rest", "default": true}], "squares":`, attempts)
		if err := replaceFile(op, bytes.Replace(fleet.Operator(front), []byte(`"squares":`), routes, 1)); err != nil {
			return err
		}
		return replaceFile(config, shape.Config(listen, discovery, fleet.Discovery.List()))
	}
	if err := write(first.address(), 2); err != nil {
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
	stop, done := make(chan struct{}), make(chan int)
	go func() { done <- s.searches(listen, stop) }()
	time.Sleep(3 * time.Second)
	attempts := 2
	if s.trouble {
		attempts = 99 // the settings allow 3
	}
	if err := write(second.address(), attempts); err != nil {
		return err
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	hangup := time.Now()
	first.refuse()
	s.note("both files replaced (attempts of the route: %d), SIGHUP; the first address of discovery takes no new connection", attempts)
	time.Sleep(1500 * time.Millisecond)
	first.cut()
	s.note("the first address has closed its connections")
	time.Sleep(time.Second)
	fleet.Discovery.Set("r0", func(e *standin.Endpoint) { e.Status = "Terminating" })
	told := hangup.Add(toldAfter)
	s.note("r0 begins to drain; this counts as told %.1f s after SIGHUP", toldAfter.Seconds())
	time.Sleep(12 * time.Second)
	close(stop)
	answered := <-done
	s.note("%d searches answered; the second address of discovery took %d connections", answered, second.accepted())
	late := 0
	for _, a := range fleet.Replicas[0].Asked() {
		if a.At.After(told.Add(drainGrace + leftOver)) {
			if late++; late <= 20 {
				s.note("part %s reached r0 %.3f s after it counted as told", a.ID, a.At.Sub(told).Seconds())
			}
		}
	}
	if !p.alive() {
		return broken("the co-ordinator ended")
	}
	if answered == 0 {
		return fmt.Errorf("no search was answered")
	}
	if late > 0 {
		return broken("%d parts were sent to a replica that drains, later than the grace after it counted as told", late)
	}
	return nil
}

// replaceFile writes a file beside and renames it.
func replaceFile(path string, raw []byte) error {
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// searches asks some 40 queries a second until told to stop, and returns how many were answered.
func (s *stage) searches(listen string, stop chan struct{}) (answered int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return answered
		case <-time.After(25 * time.Millisecond):
		}
		var buckets []map[string]any
		for k := range 4 {
			buckets = append(buckets, map[string]any{"bucket": (i + k) % 12, "part": 0.25})
		}
		body, _ := json.Marshal(map[string]any{"buckets": buckets, "body": "c41e77d0"})
		req, err := http.NewRequest(http.MethodPost, "http://"+listen+"/species-search", strings.NewReader(string(body)))
		if err != nil {
			return answered
		}
		req.Header.Set("X-Request-ID", fmt.Sprintf("q%d", i))
		req.Header.Set("X-Timeout-Ms", "2000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			s.note("search %d: %v", i, err)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			answered++
		}
	}
}
