package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchcart/internal/feature"
	"birchcart/internal/standin"
)

// wideCounts are features of some 1.2 KB, so that a page of a thousand has over 1 MB.
func wideCounts(places []standin.Place, each int) (standin.Counts, error) {
	out := standin.Counts{}
	note := strings.Repeat("seen from the dike, ", 50)
	for _, p := range places {
		for n := range each {
			raw, err := json.Marshal(map[string]any{
				"type": "Feature", "id": fmt.Sprintf("%s.%05d", p.Name, n),
				"geometry":   map[string]any{"type": "Point", "coordinates": p.Bound.Center()},
				"properties": map[string]any{"species": "osprey", "count": n, "verified": true, "observed": "2026-01-10T08:00:00Z", "note": note},
			})
			if err != nil {
				return nil, err
			}
			f, err := feature.Parse(raw)
			if err != nil {
				return nil, err
			}
			out[p.Name] = append(out[p.Name], *f)
		}
	}
	return out, nil
}

var refusalShape = standin.FleetShape{
	Replicas: 12, Cells: 12, Reach: 3, Shards: 48, Classes: []standin.FleetClass{
		{Name: "species-search", Promise: 2.5, GiveUp: 6, Semantics: "repeatable", Need: 1, Floor: 1},
		{Name: "tally-submit", Promise: 1.5, GiveUp: 5, Semantics: "once", Need: 1, Floor: 1},
	},
}

const (
	wideClients = 3
	wideRounds  = 6 // pages that a client asks for on a connection, one at a time
)

// featureRefusedAfterRun: clients of a repeatable class take their large answers slowly, or soundly without the disruption. Beside them
// a sound client asks queries of a class of which no part may run twice. One that is answered 503 may come again, so no part
// of it may have run.
func featureRefusedAfterRun(s *stage) error {
	counts, err := wideCounts(places(refusalShape.Shards), 44)
	if err != nil {
		return err
	}
	fleet, address, err := s.featureStage(refusalShape, counts.Does, 48)
	if err != nil {
		return err
	}
	const wide = "/collections/species-search/items?limit=10000"
	began := time.Now()
	if status, err := s.ask("http://" + address + wide); err != nil || status != http.StatusOK {
		return fmt.Errorf("the wide page: status %d, %v", status, err)
	}
	s.note("one wide page, alone: %v", time.Since(began))
	ended := time.Now().Add(20 * time.Second)
	ran := func(mark string) (n int) {
		for _, a := range asked(fleet, time.Time{}) {
			if strings.Contains(string(a.Text), mark) {
				n++
			}
		}
		return n
	}
	var clients sync.WaitGroup
	var refused, after, answered, other int
	wides := make([]net.Conn, wideClients)
	for i := 0; time.Now().Before(ended); i++ {
		for j := range wides {
			if i%wideRounds == 0 {
				if wides[j] != nil {
					wides[j].Close()
				}
				if wides[j], err = net.Dial("tcp", address); err != nil {
					return err
				}
			}
			if fmt.Fprintf(wides[j], "GET %s HTTP/1.1\r\nHost: counts.example\r\n\r\n", wide); !s.trouble {
				clients.Go(func() { takePage(wides[j]) })
			}
		}
		time.Sleep(300 * time.Millisecond)
		mark := strconv.Itoa(100000 + i)
		q := url.Values{"filter": {"count <> " + mark}, "limit": {"10000"}}
		began := time.Now()
		status, err := s.ask("http://" + address + "/collections/tally-submit/items?" + q.Encode())
		s.note("tally %d: status %d after %v, %v", i, status, time.Since(began).Round(time.Millisecond), err)
		switch {
		case err != nil:
		case status == http.StatusOK:
			answered++
		case status == http.StatusServiceUnavailable:
			refused++
			n := ran(mark)
			if n == 0 {
				break
			}
			after++
			s.note("tally %d was refused, and its %d parts had reached readers, which answered them", i, n)
			if after > 1 {
				break
			}
			clients.Wait()
			time.Sleep(2 * time.Second)
			again, _ := s.ask("http://" + address + "/collections/tally-submit/items?" + q.Encode())
			s.note("tally %d came again, as a refusal allows: status %d; its parts have reached readers %d times in all", i, again, ran(mark))
		default:
			other++
		}
		clients.Wait()
		time.Sleep(600 * time.Millisecond)
	}
	for _, c := range wides {
		c.Close()
	}
	clients.Wait()
	s.note("tallies: %d answered, %d refused, of these %d after they had run, %d other answers", answered, refused, after, other)
	if answered == 0 {
		return fmt.Errorf("no tally was answered")
	}
	if after > 0 {
		return broken("%d queries of a class whose parts may not run twice were refused (503) after their part had run", after)
	}
	return nil
}

func (s *stage) ask(link string) (int, error) {
	req, err := http.NewRequest(http.MethodGet, link, nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Accept-Encoding", "identity")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// takePage takes an answer.
func takePage(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
