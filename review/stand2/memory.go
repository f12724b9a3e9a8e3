package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"birchcart/internal/standin"
)

var burstShape = standin.FleetShape{
	Replicas: 12, Cells: 12, Reach: 3, Shards: 24, Classes: []standin.FleetClass{
		{Name: "species-search", Promise: 2.5, GiveUp: 6, Semantics: "repeatable", Need: 0.75, Floor: 0.5},
	},
}

const (
	burstClients = 40
	burstMemory  = 96 // MB, of the configuration
)

// featureBurst: clients of the front for feature queries ask for wide pages, many at once or, without the disruption, one at a time. The
// process must stay within its memory.
func featureBurst(s *stage) error {
	counts, err := wideCounts(places(burstShape.Shards), 44)
	if err != nil {
		return err
	}
	fleet, err := standin.NewFleet(burstShape, func(a standin.Asked) standin.Does {
		d := counts.Does(a)
		d.After = 150 * time.Millisecond
		return d
	})
	if err != nil {
		return err
	}
	s.later = append(s.later, fleet.Close)
	listen, err := freePort()
	if err != nil {
		return err
	}
	front, err := freePort()
	if err != nil {
		return err
	}
	text := bytes.Replace(fleet.Config(listen), []byte(`"open_cap": 2000`), []byte(`"open_cap": 600`), 1)
	text = bytes.Replace(text, []byte(`"memory_mb": 192`), fmt.Appendf(nil, `"memory_mb": %d`, burstMemory), 1)
	config, op := filepath.Join(s.dir, "config.json"), filepath.Join(s.dir, "operator.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(op, fleet.Operator(front), 0o600); err != nil {
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
	var mu sync.Mutex
	statuses := map[int]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	n := burstClients
	if !s.trouble {
		n = 1
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: n}}
	for range n {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				resp, err := client.Get("http://" + front + "/collections/species-search/items?limit=1000")
				status := 0
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					status = resp.StatusCode
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	most, ended := 0, time.Now().Add(15*time.Second)
	for time.Now().Before(ended) {
		time.Sleep(100 * time.Millisecond)
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(raw)) {
			var kb int
			if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil && kb > most {
				most = kb
				s.note("resident memory: %d MB", kb>>10)
			}
		}
	}
	close(stop)
	clients.Wait()
	s.note("answers by status: %v, most memory %d MB of %d", statuses, most>>10, burstMemory)
	if statuses[http.StatusOK] == 0 {
		return fmt.Errorf("no query was answered")
	}
	if most > burstMemory<<10 {
		return broken("the process used %d MB of the %d that it may, and would have been killed", most>>10, burstMemory)
	}
	return nil
}
