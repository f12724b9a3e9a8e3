package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/standin"
	"birchcart/internal/testproc"
)

// site is a test deployment of several co-ordinator processes with replicas and discovery.
type site struct {
	*testing.T
	dir           string
	fleet         *standin.Fleet
	serve         []string
	gossip        []string
	raftGroup     []string
	voters        []int
	procs         []*process
	logs          []*testproc.Log
	revision      int
	extraSettings map[string]any // further settings of the fleet section
}

// process is one co-ordinator. Unlike exec.Cmd, several goroutines may call Wait.
type process struct {
	*exec.Cmd
	ended chan struct{}
	err   error
}

// Wait waits for the process to exit and returns its error.
func (p *process) Wait() error {
	<-p.ended
	return p.err
}

// siteCount counts the sites of this test process.
var siteCount atomic.Int32

// siteSlots limits the number of concurrent sites. A site has four or five processes with heartbeat intervals well below
// a second. One site per two cores keeps to these; with the sites of all tests at once, every leader is lost repeatedly.
var siteSlots = make(chan struct{}, max(1, runtime.NumCPU()/4))

// siteAddress returns a loopback address that no other site uses, also not one of a concurrent test process. The ports
// used with it lie below the kernel's ephemeral range.
func siteAddress(site, process int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+(pid>>8)%120, 1+pid%254, 1+(site*10+process)%250)
}

// newSite creates a site and writes its configurations. It starts no co-ordinator.
func newSite(t *testing.T, processes int, voters ...int) *site {
	t.Helper()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	f, err := standin.NewFleet(standin.FleetShape{
		Replicas: 12, Cells: 6, Reach: 2, Shards: 6,
		Classes: []standin.FleetClass{{Name: "search", Promise: 1, GiveUp: 2.5, Semantics: "repeatable", Need: 1, Floor: 1}},
	}, func(a standin.Asked) standin.Does {
		return standin.Does{After: 2 * time.Millisecond, Value: []byte("v")}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	s := &site{T: t, dir: t.TempDir(), fleet: f, voters: voters, extraSettings: map[string]any{}}
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	s.writeFile("keys", []byte(key+"\n"))
	number := int(siteCount.Add(1))
	for i := range processes {
		s.serve = append(s.serve, siteAddress(number, i)+":9080")
		s.gossip, s.raftGroup = append(s.gossip, siteAddress(number, i)+":7946"), append(s.raftGroup, siteAddress(number, i)+":7300")
		var c map[string]any
		if err := json.Unmarshal(f.Config(s.serve[i]), &c); err != nil {
			t.Fatal(err)
		}
		set := c["settings"].(map[string]any)
		c["name"], c["limits"] = fmt.Sprint("n", i), map[string]any{"cores": 1, "memory_mb": 512, "sockets": 2048}
		set["fleet_size"], set["ordinal"], set["zone"] = processes, i, standin.DataCentres[i%3]
		set["invariants"].(map[string]any)["warm_up_s"] = 1
		s.writeFile(fmt.Sprint("config", i), s.json(c))
	}
	return s
}

// writeFile writes a file in the site's folder.
func (s *site) writeFile(name string, raw []byte) {
	s.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), raw, 0o600); err != nil {
		s.Fatal(err)
	}
}

func (s *site) json(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		s.Fatal(err)
	}
	return raw
}

// writeOperatorFiles writes the next revision of all operators' files, with these maintenance requests.
func (s *site) writeOperatorFiles(found bool, work ...any) {
	s.Helper()
	s.revision++
	voters := map[string]any{}
	for _, i := range s.voters {
		voters[fmt.Sprint("n", i)] = map[string]any{"address": s.raftGroup[i], "zone": standin.DataCentres[i%3]}
	}
	for i := range s.serve {
		section := map[string]any{
			"revision": s.revision, "voters": voters, "council": map[string]any{"found": found},
			"gossip":    map[string]any{"bind": s.gossip[i], "join": s.gossip},
			"keys_file": filepath.Join(s.dir, "keys"), "dir": filepath.Join(s.dir, fmt.Sprint("disk", i)),
			"grants_file": filepath.Join(s.dir, fmt.Sprint("grants", i)), "lease_ms": 3000, "grace_ms": 200, "settle_ms": 1000,
			"calm_ms": 500, "load_age_ms": 10000, "list_age_ms": 10000, "out_by_zone": 1, "out_most": 2, "parts_per_replica": 10, "work": work,
		}
		for k, v := range s.extraSettings {
			section[k] = v
		}
		s.writeFile(fmt.Sprint("operator", i), s.json(map[string]any{
			"version": 1, "placement": map[string]any{"holders_least": 2}, "fleet": section,
		}))
	}
}

// start starts or restarts one co-ordinator.
func (s *site) start(i int) {
	s.Helper()
	cmd, log := testproc.Command("serve", "--config", filepath.Join(s.dir, fmt.Sprint("config", i)), "--operator", filepath.Join(s.dir, fmt.Sprint("operator", i))), &testproc.Log{}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		s.Fatal(err)
	}
	p := &process{Cmd: cmd, ended: make(chan struct{})}
	go func() { p.err = cmd.Wait(); close(p.ended) }()
	s.Cleanup(func() { cmd.Process.Kill(); p.Wait() })
	if i < len(s.procs) {
		s.procs[i], s.logs[i] = p, log
		return
	}
	s.procs, s.logs = append(s.procs, p), append(s.logs, log)
}

// startAll starts all co-ordinators as a new fleet and waits until one leads and all are ready.
func (s *site) startAll() {
	s.Helper()
	s.startOnly(len(s.serve))
}

// startOnly starts the first count co-ordinators as a new fleet and waits until one leads and they are ready.
func (s *site) startOnly(count int) {
	s.Helper()
	s.writeOperatorFiles(true)
	for i := range count {
		s.start(i)
	}
	s.waitFor("a leader", func() bool {
		return slices.ContainsFunc(s.logs, func(l *testproc.Log) bool { return strings.Contains(l.String(), "leads the raft group") })
	})
	s.waitFor("all are ready", func() bool {
		for _, at := range s.serve[:count] {
			r, err := http.Get("http://" + at + "/-/ready")
			if err != nil {
				return false
			}
			r.Body.Close()
			if r.StatusCode != 200 {
				return false
			}
		}
		return true
	})
}

// reloadAll sends SIGHUP to all co-ordinators.
func (s *site) reloadAll() {
	for _, p := range s.procs {
		p.Process.Signal(syscall.SIGHUP)
	}
}

// logContains returns a condition: the log of a co-ordinator contains a text.
func (s *site) logContains(i int, text string) func() bool {
	return func() bool { return strings.Contains(s.logs[i].String(), text) }
}

// waitFor waits up to 20 s for a condition. If it does not become true, the test fails and shows the ends of all logs.
func (s *site) waitFor(what string, condition func() bool) {
	s.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for i, l := range s.logs {
				text := l.String()
				s.Logf("n%d:\n%s", i, text[max(0, len(text)-3000):])
			}
			s.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// grants is the content of a grants file.
type grants struct {
	Version int                `json:"version"`
	Name    string             `json:"name"`
	CutOff  bool               `json:"cut_off"`
	Items   []maintenance.Item `json:"items"`
	Grants  []struct {
		Machine, Reason string
		Fence           uint64
		StartBefore     time.Time `json:"start_before"`
		Until           time.Time
	} `json:"grants"`
}

// grants reads the grants file of a co-ordinator. A missing file yields the zero value.
func (s *site) grants(i int) grants {
	var g grants
	raw, err := os.ReadFile(filepath.Join(s.dir, fmt.Sprint("grants", i)))
	if err == nil {
		err = json.Unmarshal(raw, &g)
	}
	if err != nil && !os.IsNotExist(err) {
		s.Errorf("a grants file is incomplete: %v", err)
	}
	return g
}

// phaseReached returns a condition: the grants files of all co-ordinators show a machine in a phase.
func (s *site) phaseReached(machine string, p maintenance.Phase) func() bool {
	return func() bool {
		for i := range s.serve {
			if !slices.ContainsFunc(s.grants(i).Items, func(it maintenance.Item) bool { return it.Machine == machine && it.Phase == p }) {
				return false
			}
		}
		return true
	}
}

// startQueries sends queries to all co-ordinators.
func (s *site) startQueries() (end func() (sent, answered, whole int)) { return s.startQueriesTo(-1) }

// startQueriesTo sends queries until end is called. With target -1 they go to all co-ordinators and all shards in turn;
// otherwise to one co-ordinator, at five times the rate and only for shards that r5 holds. end waits for the last answer
// and returns how many queries were sent, answered, and answered completely: on a busy machine some are late.
func (s *site) startQueriesTo(target int) (end func() (sent, answered, whole int)) {
	ctx, stop := context.WithCancel(context.Background())
	s.Cleanup(stop)
	var sent, answered, whole int
	client := &http.Client{Timeout: 3 * time.Second}
	var wg sync.WaitGroup
	var mu sync.Mutex
	wg.Go(func() {
		every := 10 * time.Millisecond
		if target >= 0 {
			every = 2 * time.Millisecond
		}
		tick := time.NewTicker(every)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			wg.Go(func() {
				to, first := i%len(s.serve), i%6
				if target >= 0 {
					to, first = target, 4
				}
				body := fmt.Sprintf(`{"buckets":[{"bucket":%d,"part":0.5},{"bucket":%d,"part":0.5}],"body":"00"}`, first, (first+1)%6)
				r, _ := http.NewRequest("POST", "http://"+s.serve[to]+"/search", strings.NewReader(body))
				r.Header.Set("X-Request-ID", fmt.Sprint("q", i))
				r.Header.Set("X-Timeout-Ms", "2000")
				resp, err := client.Do(r)
				ok := false
				if err == nil {
					text, _ := io.ReadAll(resp.Body)
					resp.Body.Close()
					ok = resp.StatusCode == 200 && strings.Contains(string(text), `"finished":true`)
				}
				mu.Lock()
				defer mu.Unlock()
				sent++
				if err == nil {
					answered++
				}
				if ok {
					whole++
				}
			})
		}
	})
	return func() (int, int, int) {
		stop()
		wg.Wait()
		return sent, answered, whole
	}
}
