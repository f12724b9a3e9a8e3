package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/standin"
)

// Shape of the fleets here: twelve replicas on a ring of six cells, two of them for each shard.
const (
	replicas = 12
	cells    = 6
	reach    = 2
	shards   = 6
	voters   = 5 // so that one may go: a majority and one to spare stay

	warmUp     = 1500 * time.Millisecond
	answerTime = 5 * time.Millisecond // of a stand-in replica
	streamRate = 100.0                // queries/s, to all co-ordinators together
	startTime  = 60 * time.Second     // limit for a process to be ready, on a machine with a load of 200 and more
	leadTime   = 60 * time.Second     // limit for a first leader
	endTime    = 15 * time.Second     // limit for a process to end when it is asked to
)

var zones = standin.DataCentres

// Options of a run.
type Options struct {
	Program  string // path of the co-ordinator with the fleet in it
	Dir      string // for logs, disks and files; must exist
	Replicas bool   // swap the replicas
	Also     bool   // and the co-ordinators
	Laneless bool   // storms without the section of lanes
	Debug    bool   // the processes log at debug
	Limit    time.Duration
	Terms    Terms // set by Play from the schedule
}

// args start a process by the files in its folder.
func (o Options) args(dir string) []string {
	args := []string{"serve", "--config", filepath.Join(dir, "config.json"), "--operator", filepath.Join(dir, "operator.json")}
	if o.Debug {
		args = append(args, "--log-level", "debug")
	}
	return args
}

// Cluster is a fleet of processes with its stand-ins.
type Cluster struct {
	opt    Options
	site   Site
	net    *Net
	procs  []*Process
	fleet  *standin.Fleet
	files  *Files
	stream *Stream
	pinned *Sessions // nil: none
	tally  tallies
	storm  *Storm // nil: none
	queues *queues
	limits maintenance.Limits
	began  time.Time
	rng    *rand.Rand

	mu       sync.Mutex
	h        History
	wanted   map[string]bool   // asked for, and to be done in the end
	handled  map[string]uint64 // the highest fence by which a machine went
	expected []bool            // to run
	swapping []bool            // out by its grant: it is started again by itself
	last     map[string][]int
	pending  map[Act]int
	events   []string
	seats    []int // places of those that vote, as the operators' file has it
	seated   []int // those that took the seats of others, in turn
	lies     []*standin.Discovery
	founded  bool // the raft group; whoever starts anew from here on only joins it
	dead     chan struct{}
	work     sync.WaitGroup
}

// NewCluster starts the stand-ins and puts up relays and files; no process runs yet.
func NewCluster(opt Options, processes int, seed uint64) (*Cluster, error) {
	site, err := FreeSite(processes)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		opt: opt, site: site, net: NewNet(seed), began: time.Now(), rng: rand.New(rand.NewPCG(seed, 0xc1)), wanted: map[string]bool{},
		handled: map[string]uint64{}, expected: make([]bool, processes), swapping: make([]bool, processes), last: map[string][]int{}, pending: map[Act]int{},
		dead: make(chan struct{}), limits: opt.Terms.limits(),
	}
	for i := range min(voters, processes) {
		c.seats = append(c.seats, i)
	}
	h := &c.h
	h.Limits, h.Bears, h.Answer = c.limits, or(opt.Terms.Bears, bears), or(opt.Terms.Answer, answerTime)
	h.Relayed, h.Wait = opt.Terms.Relays, or(opt.Terms.Wait, clientWait)
	h.Deaf, h.Silent = make([][]Span, processes), make([][]Span, processes)
	h.Disturbed, h.Down, h.Ending, h.Stopped = make([][]Span, processes), make([][]Span, processes), make([][]Span, processes), make([][]Span, processes)
	if c.fleet, err = standin.NewFleet(standin.FleetShape{
		Replicas: replicas, Cells: cells, Reach: reach, Shards: shards,
		Classes: classes(&opt.Terms),
		Listen:  func(i int) string { return site.Replica(i).String() },
	}, nil); err != nil {
		site.Leave()
		return nil, err
	}
	if opt.Terms.Relays {
		if err := c.doors(processes); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	for i, r := range c.fleet.Replicas {
		c.fleet.SetScript(i, c.script(r.Name))
		h.Machines = append(h.Machines, maintenance.Machine{Name: r.Name, Kind: maintenance.Replica, Zone: zones[i%3], Cell: i % cells})
	}
	var paths, serving []string
	for i := range processes {
		name := fmt.Sprintf("n%d", i)
		h.Machines = append(h.Machines, maintenance.Machine{Name: name, Kind: maintenance.Coordinator, Zone: zones[i%3], Voter: i < voters})
		for _, port := range []int{GossipPort, CouncilPort} {
			if _, err := c.net.Relay(name, site.Relay(i, port), site.Bind(i, port), port == GossipPort); err != nil {
				return nil, errors.Join(err, c.Close())
			}
		}
		dir := filepath.Join(opt.Dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, errors.Join(err, c.Close())
		}
		config, err := c.config(i, processes, c.discovery(i))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, "config.json"), config, 0o600)
		}
		if err == nil {
			err = c.operator(i, "")
		}
		if err != nil {
			return nil, errors.Join(err, c.Close())
		}
		c.procs = append(c.procs, &Process{
			Name: name, Path: opt.Program, Dir: filepath.Join(dir, "disk"), Log: filepath.Join(dir, "log"), Runs: c.net.Runs,
			Args: opt.args(dir),
		})
		paths = append(paths, c.grants(i))
		serving = append(serving, site.Bind(i, ServePort).String())
	}
	c.files = WatchFiles(paths)
	c.tally.count = map[int]int{}
	if n := opt.Terms.Sessions; n > 0 {
		c.pinned = &Sessions{Addresses: serving, Many: n, Shards: shards, Rate: sessionRate, Seed: seed, Both: opt.Terms.Both, Wait: opt.Terms.Wait}
	}
	if opt.Terms.Storm > 0 {
		c.queues = newQueues()
		c.storm = &Storm{Addresses: serving, Payers: payers(), Shards: shards, Capacity: replicas / workTook.Seconds(), Seed: seed}
	}
	c.stream = &Stream{Addresses: serving, Shards: shards, Rate: or(opt.Terms.Rate, streamRate), Seed: seed}
	return c, nil
}

// classes of the queries; with sessions there are some that may not run twice.
func classes(t *Terms) []standin.FleetClass {
	give := max(2.5, 1.25*t.Wait.Seconds())
	out := []standin.FleetClass{{Name: "search", Promise: 1, GiveUp: give, Semantics: "repeatable", Need: 1, Floor: 1}}
	if t.Sessions > 0 || t.Storm > 0 {
		out = append(out, standin.FleetClass{Name: "tally", Promise: 1, GiveUp: 2.5, Semantics: "once", Need: 1, Floor: 1})
	}
	return out
}

// script answers each part with its id, and notes it.
func (c *Cluster) script(machine string) standin.Script {
	return func(a standin.Asked) standin.Does {
		if c.queues != nil {
			return standin.Does{After: c.queues.take(a.ID, machine, a.At), Value: []byte("v-" + a.ID)}
		}
		if value, ok := c.tally.run(a.ID, machine, a.Text, a.At); ok {
			return standin.Does{After: c.h.Answer, Value: value}
		}
		query, _, _ := strings.Cut(a.ID, ".")
		c.mu.Lock()
		c.h.Parts = append(c.h.Parts, Part{a.At, QueryOf(a.ID), machine, query})
		c.mu.Unlock()
		return standin.Does{After: c.h.Answer, Value: []byte("v-" + a.ID)}
	}
}

func (c *Cluster) grants(i int) string {
	return filepath.Join(c.opt.Dir, fmt.Sprintf("n%d", i), "grants.json")
}

// config is the platform's file of a process.
func (c *Cluster) config(i, processes int, discovery string) ([]byte, error) {
	var f map[string]any
	if err := json.Unmarshal(c.fleet.Config(c.site.Bind(i, ServePort).String()), &f); err != nil {
		return nil, err
	}
	f["discovery"] = discovery
	f["name"] = fmt.Sprintf("n%d", i)
	f["seed"] = fmt.Sprintf("5eed5eed5eed5e%02x", i)
	f["limits"] = map[string]any{"cores": 1, "memory_mb": 320, "sockets": 2048}
	settings := f["settings"].(map[string]any)
	settings["fleet_size"], settings["ordinal"], settings["zone"] = processes, i, zones[i%3]
	settings["invariants"].(map[string]any)["warm_up_s"] = warmUp.Seconds()
	return json.MarshalIndent(f, "", "  ")
}

// Close ends all that runs and all stand-ins.
func (c *Cluster) Close() error {
	select {
	case <-c.dead:
	default:
		close(c.dead)
	}
	var wg sync.WaitGroup
	for _, p := range c.procs {
		wg.Go(func() { p.Kill() })
	}
	wg.Wait()
	c.work.Wait()
	if c.stream != nil && c.stream.ended != nil {
		c.stream.Stop()
	}
	if c.files != nil {
		c.files.Close()
	}
	c.net.Close()
	c.fleet.Close()
	for _, d := range c.lies {
		d.Close()
	}
	c.site.Leave()
	return nil
}

// note keeps a line of what was done, for a failure's report.
func (c *Cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf("%8.3f ", time.Since(c.began).Seconds())+fmt.Sprintf(format, args...))
}

// wrong notes what breaks a promise at once.
func (c *Cluster) wrong(format string, args ...any) {
	c.note("WRONG: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.h.Wrong = append(c.h.Wrong, fmt.Sprintf(format, args...))
}

// StartAll starts all processes and waits till each is ready and one leads.
func (c *Cluster) StartAll() error {
	for i := range c.procs {
		if err := c.start(i); err != nil {
			return err
		}
	}
	for i := range c.procs {
		if !c.ready(i, startTime) {
			return fmt.Errorf("%s is not ready after %v:\n%s", c.procs[i].Name, startTime, c.tail(i))
		}
	}
	if !c.until(leadTime, func() bool { return c.Leader() >= 0 }) {
		return fmt.Errorf("nobody leads after %v:\n%s", leadTime, c.tail(0))
	}
	c.founded = true
	for i := range c.procs {
		if err := c.operator(i, ""); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) start(i int) error {
	if err := c.procs[i].Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.expected[i] = true // not before: the watch would take it for one that ended
	c.mu.Unlock()
	return nil
}

var client = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (c *Cluster) ready(i int, limit time.Duration) bool {
	return c.until(limit, func() bool {
		r, err := client.Get("http://" + c.stream.Addresses[i] + "/-/ready")
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == 200
	})
}

// until looks often until a condition holds; false at the limit or when the cluster is closed.
func (c *Cluster) until(limit time.Duration, holds func() bool) bool {
	end := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(end) || !c.sleep(25*time.Millisecond) {
			return false
		}
	}
	return true
}

// sleep is false if the cluster is closed meanwhile.
func (c *Cluster) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.dead:
		return false
	}
}

// luck is a time below most, by the run's seed.
func (c *Cluster) luck(most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(most)))
}
