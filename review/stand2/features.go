package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"birchcart/internal/standin"
)

// featureStage starts readers, discovery and one co-ordinator with the front for feature queries.
func (s *stage) featureStage(shape standin.FleetShape, script standin.Script, memoryMB int) (fleet *standin.Fleet, address string, err error) {
	if fleet, err = standin.NewFleet(shape, script); err != nil {
		return nil, "", err
	}
	s.later = append(s.later, fleet.Close)
	listen, err := freePort()
	if err != nil {
		return nil, "", err
	}
	if address, err = freePort(); err != nil {
		return nil, "", err
	}
	config, op := filepath.Join(s.dir, "config.json"), filepath.Join(s.dir, "operator.json")
	if err := os.WriteFile(config, bytes.Replace(fleet.Config(listen), []byte(`"memory_mb": 192`), fmt.Appendf(nil, `"memory_mb": %d`, memoryMB), 1), 0o600); err != nil {
		return nil, "", err
	}
	if err := os.WriteFile(op, bytes.Replace(fleet.Operator(address), []byte(`"listen":`), []byte(`"parts_most": 48, "limit_most": 10000, "listen":`), 1), 0o600); err != nil {
		return nil, "", err
	}
	command, err := s.runCommand()
	if err != nil {
		return nil, "", err
	}
	p, err := s.start("co-ordinator", command, "EDGE_CONFIG="+config, "EDGE_OPERATOR="+op)
	if err != nil {
		return nil, "", err
	}
	return fleet, address, awaitReady(p, listen)
}

// freePort is an address of loopback that nobody has now.
func freePort() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// awaitReady waits until a co-ordinator says that it is ready.
func awaitReady(p *process, listen string) error {
	for range 300 {
		if !p.alive() {
			return fmt.Errorf("the co-ordinator ended")
		}
		if resp, err := http.Get("http://" + listen + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the co-ordinator was not ready within 30 s")
}

var leaveShape = standin.FleetShape{
	Replicas: 12, Cells: 12, Reach: 3, Shards: 24, Classes: []standin.FleetClass{
		{Name: "trend-report", Promise: 2.5, GiveUp: 6, Semantics: "repeatable", Need: 1, Floor: 1},
	},
}

func places(n int) []standin.Place {
	out := make([]standin.Place, n)
	for i := range out {
		out[i] = standin.PlaceOf(i)
	}
	return out
}

// After the close of its connection a client has gone: what begins later than goneWithin is a break.
const (
	goneWithin = 100 * time.Millisecond
	goneSlack  = 100 * time.Millisecond // for the machine: of the test, not of the rule
)

const (
	partWork    = 200 * time.Millisecond
	slower      = 10 // times, of slowReaders of the 12 readers
	slowReaders = 2
	leaving     = 3 // clients
)

// featureClientLeaves: clients send two feature queries each, the second while the first is out, read nothing, and close their
// connections. Two of twelve readers have just become ten times slower, with the disruption and without, so that parts get further attempts.
func featureClientLeaves(s *stage) error {
	counts := standin.MakeCounts(7, places(leaveShape.Shards), 30)
	does := func(work time.Duration) standin.Script {
		return func(a standin.Asked) standin.Does {
			d := counts.Does(a)
			d.After = work
			return d
		}
	}
	fleet, address, err := s.featureStage(leaveShape, does(partWork), 192)
	if err != nil {
		return err
	}
	const path = "/collections/trend-report/items?limit=20"
	for i := range 20 {
		status, err := s.ask("http://" + address + path)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			s.note("usual query %d: status %d", i, status)
		}
	}
	s.note("20 usual queries answered, %d parts at the readers", len(asked(fleet, time.Time{})))
	for i := range slowReaders {
		fleet.SetScript(i, does(slower*partWork))
	}
	request := "GET " + path + " HTTP/1.1\r\nHost: counts.example\r\n\r\n"
	sentAt := time.Now()
	var conns []net.Conn
	for range leaving {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	for range 2 {
		for _, conn := range conns {
			if _, err := conn.Write([]byte(request)); err != nil {
				return err
			}
		}
		s.note("each of %d clients sent a feature query", leaving)
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if !s.trouble {
		for i, conn := range conns {
			in := bufio.NewReader(conn)
			for n := range 2 {
				conn.SetReadDeadline(time.Now().Add(15 * time.Second))
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					return fmt.Errorf("client %d, answer %d: %w", i, n, err)
				}
				size, _ := io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				s.note("client %d, answer %d: status %d, %d bytes", i, n, resp.StatusCode, size)
			}
		}
	}
	for _, conn := range conns {
		conn.Close()
	}
	closedAt := time.Now()
	s.note("the clients closed their connections")
	time.Sleep(7 * time.Second)
	late := 0
	for _, a := range asked(fleet, sentAt) {
		behind := a.At.Sub(closedAt)
		s.note("part %s of shard %d reached its reader %+.3f s from the close", a.ID, a.Shard, behind.Seconds())
		if behind > goneWithin+goneSlack {
			late++
		}
	}
	if late > 0 {
		return broken("%d attempts began more than 0.1 s after the clients had closed their connections", late)
	}
	return nil
}

// asked are the parts that readers got since, in order.
func asked(f *standin.Fleet, since time.Time) []standin.Asked {
	var out []standin.Asked
	for _, r := range f.Replicas {
		for _, a := range r.Asked() {
			if a.At.After(since) {
				out = append(out, a)
			}
		}
	}
	slices.SortFunc(out, func(a, b standin.Asked) int { return a.At.Compare(b.At) })
	return out
}
