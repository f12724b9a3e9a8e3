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

// site is a deployment of several co-ordinators.
type site struct {
	*testing.T
	dir       string
	fleet     *standin.Fleet
	serve     []string
	gossip    []string
	raftGroup []string
	voters    []int
	procs     []*process
	logs      []*testproc.Log
	revision  int
	extra     map[string]any // of the fleet section
}

// process is one co-ordinator; several may Wait for its end.
type process struct {
	*exec.Cmd
	ended chan struct{}
	err   error
}

func (p *process) Wait() error {
	<-p.ended
	return p.err
}

// sites counts those of this process.
var sites atomic.Int32

// stands holds as many as there are sites at a time. A site is four or five processes that keep heartbeats of well under
// a second: with one for two cores they keep them, with all tests' sites at once each leader is lost again and again.
var stands = make(chan struct{}, max(1, runtime.NumCPU()/4))

// own is a loopback address that no other site has, also of a test process beside this one. Its ports lie below those that
// the kernel deals out.
func own(site, process int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+(pid>>8)%120, 1+pid%254, 1+(site*10+process)%250)
}

func newSite(t *testing.T, processes int, voters ...int) *site {
	t.Helper()
	stands <- struct{}{}
	t.Cleanup(func() { <-stands })
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
	s := &site{T: t, dir: t.TempDir(), fleet: f, voters: voters, extra: map[string]any{}}
	key := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))
	s.file("keys", []byte(key+"\n"))
	at := int(sites.Add(1))
	for i := range processes {
		s.serve = append(s.serve, own(at, i)+":9080")
		s.gossip, s.raftGroup = append(s.gossip, own(at, i)+":7946"), append(s.raftGroup, own(at, i)+":7300")
		var c map[string]any
		if err := json.Unmarshal(f.Config(s.serve[i]), &c); err != nil {
			t.Fatal(err)
		}
		set := c["settings"].(map[string]any)
		c["name"], c["limits"] = fmt.Sprint("n", i), map[string]any{"cores": 1, "memory_mb": 512, "sockets": 2048}
		set["fleet_size"], set["ordinal"], set["zone"] = processes, i, standin.DataCentres[i%3]
		set["invariants"].(map[string]any)["warm_up_s"] = 1
		s.file(fmt.Sprint("config", i), s.json(c))
	}
	return s
}

func (s *site) file(name string, raw []byte) {
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

// ask writes a next revision of all operators' files.
func (s *site) ask(found bool, work ...any) {
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
		for k, v := range s.extra {
			section[k] = v
		}
		s.file(fmt.Sprint("operator", i), s.json(map[string]any{
			"version": 1, "placement": map[string]any{"holders_least": 2}, "fleet": section,
		}))
	}
}

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

// startAll starts all, as a new fleet, and waits until one leads and all are ready.
func (s *site) startAll() {
	s.Helper()
	s.startOnly(len(s.serve))
}

// startOnly starts the first ones only.
func (s *site) startOnly(many int) {
	s.Helper()
	s.ask(true)
	for i := range many {
		s.start(i)
	}
	s.until("a leader", func() bool {
		return slices.ContainsFunc(s.logs, func(l *testproc.Log) bool { return strings.Contains(l.String(), "leads the raft group") })
	})
	s.until("all are ready", func() bool {
		for _, at := range s.serve[:many] {
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

func (s *site) hangUp() {
	for _, p := range s.procs {
		p.Process.Signal(syscall.SIGHUP)
	}
}

// says tells whether one has a text in its log.
func (s *site) says(i int, text string) func() bool {
	return func() bool { return strings.Contains(s.logs[i].String(), text) }
}

// until waits for a condition; it fails with the ends of all logs.
func (s *site) until(what string, holds func() bool) {
	s.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for i, l := range s.logs {
				text := l.String()
				s.Logf("n%d:\n%s", i, text[max(0, len(text)-3000):])
			}
			s.Fatalf("not in time: %s", what)
		}
	}
}

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

func (s *site) grants(i int) grants {
	var g grants
	raw, err := os.ReadFile(filepath.Join(s.dir, fmt.Sprint("grants", i)))
	if err == nil {
		err = json.Unmarshal(raw, &g)
	}
	if err != nil && !os.IsNotExist(err) {
		s.Errorf("a grants file is not whole: %v", err)
	}
	return g
}

// phase tells whether all of the co-ordinators' files have a machine in that phase.
func (s *site) phase(machine string, p maintenance.Phase) func() bool {
	return func() bool {
		for i := range s.serve {
			if !slices.ContainsFunc(s.grants(i).Items, func(it maintenance.Item) bool { return it.Machine == machine && it.Phase == p }) {
				return false
			}
		}
		return true
	}
}

// stream sends queries to all co-ordinators.
func (s *site) stream() (end func() (sent, answered, whole int)) { return s.streamTo(-1) }

// streamTo sends queries to one of the co-ordinators, many of them and to what r5 holds, or for -1 to all in turn and to all
// that there is, until end is called, which waits for the last answer and tells how many
// were answered, and how many whole: on a busy machine some are late.
func (s *site) streamTo(one int) (end func() (sent, answered, whole int)) {
	ctx, stop := context.WithCancel(context.Background())
	s.Cleanup(stop)
	var sent, answered, whole int
	client := &http.Client{Timeout: 3 * time.Second}
	var wg sync.WaitGroup
	var mu sync.Mutex
	wg.Go(func() {
		every := 10 * time.Millisecond
		if one >= 0 {
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
				if one >= 0 {
					to, first = one, 4
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
