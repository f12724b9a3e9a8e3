package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/fleet/grantsfile"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/fleet/member"
	"birchcart/internal/operator"
	"birchcart/internal/serve"
	"birchcart/internal/standin"
	"birchcart/policy"
)

// This file measures the traffic and the load of an idle fleet: real nodes on separate loopback addresses, each voter in a separate process, the
// followers about sixty to a process. Traffic is counted at the sockets and CPU time by the kernel, not reported by the nodes.

const (
	idlePartEnv      = "BIRCHCART_REST_PART"
	idleProfileEnv   = "BIRCHCART_REST_PROFILE" // a folder for the CPU profiles of each process while joining and while idle
	idleMeasureTime  = 20 * time.Second         // length of the measurement
	idleJoinTimeout  = 30 * time.Second         // for each process of followers to join, at most
	idleStartTimeout = 240 * time.Second        // until all nodes have joined on a busy machine; it takes about 10 s on a quiet one
)

// idleProcessConfig says which nodes of the fleet a child process runs.
type idleProcessConfig struct {
	Dir      string
	From, To int
	Replicas int
}

// idleNodeStats holds the totals of one node so far. Streams, CPU and Memory are those of its whole process.
type idleNodeStats struct {
	Node           int
	Bytes, Packets int64 // of the gossip, including messages sent over it
	Streams        int64 // bytes that the process read and wrote, on stream sockets and files
	CPU            time.Duration
	Up             int // members that the node considers up
	Memory         int64
}

// idleAddress returns the loopback address of a node, at a port.
func idleAddress(i, port int) string {
	pid := os.Getppid()
	if os.Getenv(idlePartEnv) == "" {
		pid = os.Getpid()
	}
	return fmt.Sprintf("127.%d.%d.%d:%d", 100+pid%20, 1+(pid/20)%120*2+i/250, 1+i%250, port)
}

// idleGrantsPath returns the path of a node's grants file.
func idleGrantsPath(dir string, i int) string { return filepath.Join(dir, fmt.Sprint("grants", i)) }

// noTraffic stands in for the replicas and discovery, and does nothing: the test sends no queries.
type noTraffic struct{}

func (noTraffic) Update([]exchange.Target)                    {}
func (noTraffic) Send(uint64, []*exchange.Attempt)            {}
func (noTraffic) Cancel(*exchange.Attempt) (found, sent bool) { return false, false }
func (noTraffic) CancelUnsent(*exchange.Attempt) bool         { return false }
func (noTraffic) CheckHealth(uint64)                          {}
func (noTraffic) Watch()                                      {}

// runIdleProcess is the body of a child process: for each line on its input it writes the totals of its nodes.
func runIdleProcess(raw string) {
	// Long: the whole child process: its set-up, then its answers line by line.
	var p idleProcessConfig
	fail := func(err error) {
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	fail(json.Unmarshal([]byte(raw), &p))
	log := logrus.New()
	log.SetLevel(logrus.FatalLevel)
	var nodes []*Node
	for i := p.From; i < p.To; i++ {
		name := fmt.Sprintf("n%03d", i)
		text, err := os.ReadFile(filepath.Join(p.Dir, "config"))
		fail(err)
		cfg, err := config.Parse(text, config.Source{Name: name, Listen: idleAddress(i, 9080)})
		fail(err)
		text, err = os.ReadFile(filepath.Join(p.Dir, fmt.Sprint("operator", i)))
		fail(err)
		op, err := operator.Read(text)
		fail(err)
		e := exchange.New(cfg, logrus.NewEntry(log))
		e.Connect(noTraffic{}, noTraffic{})
		n := New()
		fail(n.Start(serve.Host{Config: cfg, Operator: op, Exchange: e, ListConfirmedAt: time.Now, Log: logrus.NewEntry(log).WithField("node", name), Shutdown: func() {}}))
		go e.Run(context.Background())
		list := exchange.ReplicaList{Full: true}
		for r := range p.Replicas {
			list.Entries = append(list.Entries, exchange.Endpoint{Name: fmt.Sprintf("r%04d", r), Address: "127.0.0.1:9", Zone: standin.DataCentres[r%3],
				Cell: r % 6, State: policy.Up, Size: 1})
		}
		e.UpdateReplicas(list)
		nodes = append(nodes, n)
	}
	profile := idleProfiler(p.From, fail)
	profile("join")
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		if in.Text() != "" {
			profile(in.Text())
		}
		var all []idleNodeStats
		var usage syscall.Rusage
		fail(syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
		var streams int64
		for _, line := range strings.Split(string(must(os.ReadFile("/proc/self/io"))), "\n") {
			if k, v, _ := strings.Cut(line, ": "); k == "rchar" || k == "wchar" {
				streams += must(strconv.ParseInt(v, 10, 64))
			}
		}
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		for i, n := range nodes {
			c := idleNodeStats{Node: p.From + i, Bytes: n.member.Traffic(), Packets: n.member.Packets(), Streams: streams, Memory: usage.Maxrss << 10,
				CPU: time.Duration(usage.Utime.Nano() + usage.Stime.Nano())}
			for _, m := range n.member.Members() {
				if m.State == member.Alive {
					c.Up++
				}
			}
			all = append(all, c)
		}
		fail(json.NewEncoder(os.Stdout).Encode(all))
	}
}

// idleProfiler returns a function that ends the running CPU profile of this process and starts the next one; "end" starts none.
func idleProfiler(from int, fail func(error)) func(part string) {
	dir := os.Getenv(idleProfileEnv)
	var f *os.File
	return func(part string) {
		if f != nil {
			pprof.StopCPUProfile()
			fail(f.Close())
			f = nil
		}
		if dir != "" && part != "end" {
			var err error
			f, err = os.Create(filepath.Join(dir, fmt.Sprintf("%s-%03d.pprof", part, from)))
			fail(err)
			fail(pprof.StartCPUProfile(f))
		}
	}
}

// must returns v, or panics on an error.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

type idleProcess struct {
	in  io.Writer
	out *bufio.Reader
}

// TestRest measures an idle fleet; `make fleet-rest` runs it. Limits: 4,000 bytes/s for a follower, 5 % of a core for the leader.
func TestRest(t *testing.T) {
	// Long: one measurement over several processes, with set-up and report.
	nodeCount, err := strconv.Atoi(os.Getenv("BIRCHCART_REST"))
	if err != nil || nodeCount < 6 || nodeCount > 400 {
		t.Skip("set BIRCHCART_REST to the number of nodes, 6 to 400, of which five vote")
	}
	dir := t.TempDir()
	f, err := standin.NewFleet(standin.FleetShape{Replicas: 12, Cells: 6, Reach: 2, Shards: 6,
		Classes: []standin.FleetClass{{Name: "search", Promise: 1, GiveUp: 2.5, Semantics: "repeatable", Need: 1, Floor: 1}},
	}, func(standin.Asked) standin.Does { return standin.Does{} })
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	write := func(name string, raw []byte) {
		if err := os.WriteFile(filepath.Join(dir, name), raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("config", f.Config("127.0.0.1:9080"))
	write("keys", []byte(base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{7}, 32))+"\n"))
	voters, join := map[string]any{}, []string{}
	for i := range 5 {
		voters[fmt.Sprintf("n%03d", i)] = map[string]any{"address": idleAddress(i, 7300), "zone": standin.DataCentres[i%3]}
		join = append(join, idleAddress(i, 7946))
	}
	for i := range nodeCount {
		write(fmt.Sprint("operator", i), must(json.Marshal(map[string]any{"version": 1, "placement": map[string]any{"holders_least": 2},
			"fleet": map[string]any{"revision": 1, "voters": voters, "council": map[string]any{"found": true},
				"gossip": map[string]any{"bind": idleAddress(i, 7946), "join": join}, "keys_file": filepath.Join(dir, "keys"),
				"dir": filepath.Join(dir, fmt.Sprint("disk", i)), "grants_file": idleGrantsPath(dir, i), "out_by_zone": 1, "out_most": 2,
				"parts_per_replica": 10, "work": []any{}}})))
	}
	var all []idleProcess
	start := func(from, to int) {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), idlePartEnv+"="+string(must(json.Marshal(idleProcessConfig{dir, from, to, 900}))), fmt.Sprint("GOMAXPROCS=", min(1+to-from, runtime.NumCPU())))
		cmd.Stderr = os.Stderr
		in, out := must(cmd.StdinPipe()), must(cmd.StdoutPipe())
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { in.Close(); cmd.Process.Kill(); cmd.Wait() })
		all = append(all, idleProcess{in, bufio.NewReaderSize(out, 1<<20)})
	}
	count := func(part string) (by []idleNodeStats) {
		t.Helper()
		for _, p := range all {
			fmt.Fprintln(p.in, part)
		}
		for _, p := range all {
			var stats []idleNodeStats
			if line, err := p.out.ReadBytes('\n'); err != nil || json.Unmarshal(line, &stats) != nil {
				t.Fatalf("a process has ended: %v", err)
			}
			by = append(by, stats...)
		}
		return by
	}
	began := time.Now()
	for i := range 5 {
		start(i, i+1)
	}
	for from := 5; from < nodeCount; from += 59 {
		start(from, min(from+59, nodeCount))
		for began := time.Now(); time.Since(began) < idleJoinTimeout; time.Sleep(time.Second) { // waits for each group to join: a real fleet is not started within a second either
			all := count("")
			if slices.MinFunc(all, func(a, b idleNodeStats) int { return a.Up - b.Up }).Up == len(all) {
				break
			}
		}
	}
	leaseHolders := func() (n int, leader string) { // counts the nodes whose grants file shows a valid lease and the same leader
		var index uint64
		for i := range nodeCount {
			var g grantsfile.File
			raw, err := os.ReadFile(idleGrantsPath(dir, i))
			if err != nil || json.Unmarshal(raw, &g) != nil || g.CutOff || g.Leader == "" || leader != "" && g.Leader != leader {
				continue
			}
			leader, index = g.Leader, max(index, g.Index)
			n++
		}
		return n, leader
	}
	for loggedAt := time.Now(); ; {
		n, leader := leaseHolders()
		up := slices.MinFunc(count(""), func(a, b idleNodeStats) int { return a.Up - b.Up }).Up
		if n == nodeCount && up == nodeCount {
			t.Logf("all %d nodes have joined after %v, %s leads", n, time.Since(began).Round(time.Second), leader)
			break
		}
		if time.Since(began) > idleStartTimeout {
			count("end")
			t.Fatalf("%d of %d nodes hold a lease, the lowest count of members up is %d, after %v", n, nodeCount, up, idleStartTimeout)
		}
		if time.Since(loggedAt) > 20*time.Second {
			loggedAt = time.Now()
			t.Logf("after %v %d of %d nodes hold a lease, the lowest count of members up is %d", time.Since(began).Round(time.Second), n, nodeCount, up)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(5 * time.Second) // lets the traffic of the last join subside
	_, leader := leaseHolders()
	before, at := count("rest"), time.Now()
	time.Sleep(idleMeasureTime)
	after, span := count("end"), time.Since(at).Seconds()
	leased, newLeader := leaseHolders()
	reportTraffic := func(role string, from, to int) {
		var bytes, packets, maxBytes int64
		for i := from; i < to; i++ {
			b := after[i].Bytes - before[i].Bytes
			bytes, packets, maxBytes = bytes+b, packets+after[i].Packets-before[i].Packets, max(maxBytes, b)
		}
		n := float64(to-from) * span
		t.Logf("%s: mean %.2f KB/s and %.1f packets/s per node, maximum %.2f KB/s", role, float64(bytes)/n/1000, float64(packets)/n,
			float64(maxBytes)/span/1000)
		if role == "followers" && float64(bytes)/n > 4000 {
			t.Errorf("a follower causes %.0f bytes/s, limit 4,000", float64(bytes)/n)
		}
	}
	reportTraffic("followers", 5, nodeCount)
	for i := range 5 {
		role := "voter"
		cpu := (after[i].CPU - before[i].CPU).Seconds() / span
		if fmt.Sprintf("n%03d", i) == leader {
			role = "leader"
			if cpu > 0.05 {
				t.Errorf("the leader uses %.1f %% of a core, limit 5", 100*cpu)
			}
		}
		reportTraffic(role, i, i+1)
		t.Logf("  %.2f %% of a core, %.1f KB/s read and written by streams, peak memory %d MB", 100*cpu, float64(after[i].Streams-before[i].Streams)/span/1000,
			after[i].Memory>>20)
	}
	var cpu time.Duration
	memory := int64(0)
	for i := 5; i < nodeCount; i += 59 {
		cpu += after[i].CPU - before[i].CPU
		memory += after[i].Memory >> 20 // of the process
	}
	t.Logf("followers: %.1f %% of a core each, %d MB each", 100*cpu.Seconds()/span/float64(nodeCount-5), memory/int64(nodeCount-5))
	if leased != nodeCount || newLeader != leader {
		t.Errorf("%d of %d nodes hold a lease at the end, leader %s before and %s after: the fleet was not idle", leased, nodeCount, leader, newLeader)
	}
}
