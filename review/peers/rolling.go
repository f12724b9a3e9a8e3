package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"birchcart/internal/standin"
)

// Figures of the case.
const (
	rollingReaders = 12
	rollingSteps   = 3                      // the pages: half of the replicas are replaced, a quarter drains and stays up
	stepEvery      = 2 * time.Second        // from one step to the next
	backAfter      = 100 * time.Millisecond // from Terminating to Ready at the new address: the new process was started before
	rollingRate    = 12                     // feature queries a second
	rollingWork    = 230 * time.Millisecond // of a part: 170 to 230 ms at rabat-counts
	// Nothing new later than 250 ms after the co-ordinator was told; limits on sockets are 50 ms longer, and a co-ordinator may be held
	// up for 150 ms more on a machine that is busy.
	drainLimit = 450 * time.Millisecond
)

// featureProcess is one process of a reader that is a feature server. It answers as long as it runs, also while it drains: each square
// has one feature, which names the process.
type featureProcess struct {
	r    *caseRun
	name string
	ln   net.Listener

	mu      sync.Mutex
	begun   time.Time // when the newest request came
	drained time.Time // when discovery was told that it drains; zero: it doesn't
	late    int       // requests that came over drainLimit later
}

var squareInFilter = regexp.MustCompile(`'(S-\d\d)'`)

func (r *caseRun) startFeatureProcess(name string) (*featureProcess, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &featureProcess{r: r, name: name, ln: ln}
	r.atEnd(func() { ln.Close() })
	go http.Serve(ln, p)
	return p, nil
}

func (p *featureProcess) address() string { return p.ln.Addr().String() }

func (p *featureProcess) drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drained = time.Now()
}

// awaitWork waits, for 2 s at the most, until the process has begun a part within the last 20 ms, as it always has under full traffic.
func (p *featureProcess) awaitWork() {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		p.mu.Lock()
		begun := p.begun
		p.mu.Unlock()
		if !begun.IsZero() && time.Since(begun) < 20*time.Millisecond {
			return
		}
	}
}

func (p *featureProcess) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !strings.HasSuffix(req.URL.Path, "/items") {
		io.WriteString(w, "{}")
		return
	}
	filter := req.URL.Query().Get("filter")
	p.mu.Lock()
	p.begun = time.Now()
	if !p.drained.IsZero() {
		since := time.Since(p.drained)
		p.r.note("%s, which drains, is asked %v after that was told: %s", p.name, since.Round(time.Millisecond), filter)
		if since > drainLimit {
			if p.late++; p.late == 1 {
				p.r.breaks("%s is asked %v after the co-ordinator was told that it drains", p.name, since.Round(time.Millisecond))
			}
		}
	}
	p.mu.Unlock()
	time.Sleep(rollingWork)
	features := []any{}
	for _, m := range squareInFilter.FindAllStringSubmatch(filter, 1) {
		if !strings.Contains(filter, "id >") {
			features = append(features, map[string]any{
				"type": "Feature", "id": m[1] + ".00001", "geometry": nil,
				"properties": map[string]any{"species": p.name, "count": 1, "observed": "2026-01-01T00:00:00Z", "verified": true},
			})
		}
	}
	w.Header().Set("Content-Type", "application/geo+json")
	json.NewEncoder(w).Encode(map[string]any{"type": "FeatureCollection", "features": features, "numberMatched": len(features)})
}

// rollingFeatureServers: feature queries while a quarter of the readers, which are feature servers, is replaced one after the other.
// Each comes back under its name with a newer start at a new address; the old process drains and stays up.
func rollingFeatureServers(r *caseRun) error {
	fleet, err := standin.NewFleet(standin.FleetShape{
		Replicas: rollingReaders, Cells: rollingReaders, Reach: 2, Shards: 24,
		Classes: []standin.FleetClass{{Name: "counts", Promise: 2.5, GiveUp: 6, Semantics: "repeatable", Need: 1, Floor: 0.5}},
	}, nil)
	if err != nil {
		return err
	}
	r.atEnd(fleet.Close)
	old := make([]*featureProcess, rollingReaders)
	for i := range old {
		if old[i], err = r.startFeatureProcess(fmt.Sprintf("the first process of r%d", i)); err != nil {
			return err
		}
		fleet.Discovery.Set(fmt.Sprint("r", i), func(e *standin.Endpoint) { e.Address, e.Type = old[i].address(), "ogc" })
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	features, err := freeAddress()
	if err != nil {
		return err
	}
	var operator map[string]any
	if err := json.Unmarshal(fleet.Operator(features), &operator); err != nil {
		return err
	}
	operator["fronts"].(map[string]any)["ogc"].(map[string]any)["forward"] = true
	raw, err := json.Marshal(operator)
	if err != nil {
		return err
	}
	configPath, operatorPath := filepath.Join(r.dir, "config.json"), filepath.Join(r.dir, "operator.json")
	if err := os.WriteFile(configPath, fleet.Config(listen), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(operatorPath, raw, 0o600); err != nil {
		return err
	}
	line, err := command("--config " + configPath + " --operator " + operatorPath)
	if err != nil {
		return err
	}
	if _, err := r.program("co-ordinator", line); err != nil {
		return err
	}
	if err := awaitReady(listen); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { r.keepAsking(features, stop) })
	time.Sleep(2 * time.Second)
	for i := range rollingSteps {
		if r.trouble {
			if err := r.replaceReader(fleet, old[i], i); err != nil {
				return err
			}
		}
		time.Sleep(stepEvery)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	for i, p := range old {
		p.mu.Lock()
		if !p.drained.IsZero() {
			r.note("r%d: %d requests came to its first process over %v after its drain was told", i, p.late, drainLimit)
		}
		p.mu.Unlock()
	}
	return nil
}

// replaceReader starts the new process of a reader, has discovery tell that the old one drains, and then that the reader is back.
func (r *caseRun) replaceReader(fleet *standin.Fleet, old *featureProcess, i int) error {
	next, err := r.startFeatureProcess(fmt.Sprintf("the second process of r%d", i))
	if err != nil {
		return err
	}
	name := fmt.Sprint("r", i)
	old.awaitWork()
	started := time.Now().UnixMilli()
	fleet.Discovery.Set(name, func(e *standin.Endpoint) { e.Status = "Terminating" })
	old.drain()
	r.note("discovery tells: %s is Terminating", name)
	time.Sleep(backAfter)
	fleet.Discovery.Set(name, func(e *standin.Endpoint) { e.Address, e.Status, e.Since = next.address(), "Ready", started })
	r.note("discovery tells: %s is Ready at a new address, with a newer start", name)
	return nil
}

// keepAsking asks for the feature of each square in turn.
func (r *caseRun) keepAsking(address string, stop <-chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(time.Second / rollingRate)
	defer tick.Stop()
	for n := 0; ; n++ {
		square := fmt.Sprintf("S-%02d", n%24)
		open.Go(func() {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+"/collections/counts/items/"+square+".00001", nil)
			if err != nil {
				panic(err)
			}
			client := http.Client{Timeout: 8 * time.Second}
			resp, err := client.Do(req)
			if err != nil {
				r.note("the query of %s has no answer: %v", square, reason(err))
				return
			}
			defer resp.Body.Close()
			var f struct {
				Properties struct {
					Species string `json:"species"`
				} `json:"properties"`
			}
			json.NewDecoder(resp.Body).Decode(&f) // another form has no species
			r.note("the query of %s: status %d, given by %s", square, resp.StatusCode, f.Properties.Species)
		})
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}
