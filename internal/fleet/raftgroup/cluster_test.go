package raftgroup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingMachine is a state machine that records the applied commands.
type recordingMachine struct {
	Words   []string
	Indexes []uint64
	loads   int
}

func (l *recordingMachine) Apply(index uint64, raw []byte) error {
	switch string(raw) {
	case "refused":
		return errors.New("the machine rejects it")
	case "panic":
		panic("test panic")
	}
	if n := len(l.Indexes); n > 0 && l.Indexes[n-1] >= index {
		return fmt.Errorf("entry %d after %d", index, l.Indexes[n-1])
	}
	l.Words, l.Indexes = append(l.Words, string(raw)), append(l.Indexes, index)
	return nil
}
func (l *recordingMachine) Save() ([]byte, error) { return json.Marshal(l) }
func (l *recordingMachine) Load(b []byte) error {
	n := recordingMachine{loads: l.loads + 1}
	if err := json.Unmarshal(b, &n); err != nil {
		return err
	}
	*l = n
	return nil
}

// links controls the directed connections between voters. Data sent over a cut link is dropped silently, as on a network.
type links struct {
	mu         sync.Mutex
	cut        map[[2]string]bool
	conns      map[*faultyConn]bool
	bytes      atomic.Int64
	writeDelay atomic.Int64 // delay of each write, in nanoseconds
}

func (l *links) setCut(cut bool, pairs ...[2]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range pairs {
		l.cut[p] = cut
	}
	if !cut { // a stream that lost data cannot continue
		for c := range l.conns {
			c.Conn.Close()
		}
	}
}

func (l *links) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]string{from, to}]
}

type faultyLayer struct {
	raft.StreamLayer
	links *links
	from  string
}

func (f *faultyLayer) Dial(a raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	to := string(a)
	if f.links.isCut(f.from, to) || f.links.isCut(to, f.from) {
		time.Sleep(wait)
		return nil, os.ErrDeadlineExceeded
	}
	c, err := f.StreamLayer.Dial(a, wait)
	if err != nil {
		return nil, err
	}
	x := &faultyConn{Conn: c, layer: f, to: to}
	f.links.mu.Lock()
	f.links.conns[x] = true
	f.links.mu.Unlock()
	return x, nil
}

type faultyConn struct {
	net.Conn
	layer *faultyLayer
	to    string
}

func (c *faultyConn) Write(b []byte) (int, error) {
	c.layer.links.bytes.Add(int64(len(b)))
	if c.layer.links.isCut(c.layer.from, c.to) {
		return len(b), nil
	}
	time.Sleep(time.Duration(c.layer.links.writeDelay.Load()))
	return c.Conn.Write(b)
}

func (c *faultyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.layer.links.bytes.Add(int64(n))
		if err != nil || !c.layer.links.isCut(c.to, c.layer.from) {
			return n, err
		}
	}
}

func (c *faultyConn) Close() error {
	c.layer.links.mu.Lock()
	delete(c.layer.links.conns, c)
	c.layer.links.mu.Unlock()
	return c.Conn.Close()
}

// cluster is a raft group whose voters all run in this process.
type cluster struct {
	t         *testing.T
	dir       string
	links     *links
	voters    []Voter
	groups    map[string]*Group
	machines  map[string]*recordingMachine
	configure func(o *Options)
}

var addressCount atomic.Int64

// freeAddr returns a loopback address that is unique to this process, so that no other process uses its port.
func freeAddr(*testing.T) string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, 1+n/250, 1+n%250, 7000+os.Getpid()%10_000)
}

func newCluster(t *testing.T, n int, change func(o *Options)) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), configure: change, links: &links{cut: map[[2]string]bool{}, conns: map[*faultyConn]bool{}},
		groups: map[string]*Group{}, machines: map[string]*recordingMachine{}}
	for i := range n {
		c.voters = append(c.voters, Voter{fmt.Sprint("v", i), freeAddr(t)})
	}
	for _, v := range c.voters {
		c.open(v, true)
	}
	t.Cleanup(func() {
		for name := range c.groups {
			c.close(name)
		}
	})
	return c
}

func (c *cluster) options(v Voter) Options {
	l := logrus.New()
	l.SetLevel(logrus.FatalLevel)
	o := Options{Name: v.Name, Dir: filepath.Join(c.dir, v.Name), Bind: v.Addr, Voters: c.voters, Machine: &recordingMachine{}, TimeoutFactor: 2,
		Log:    logrus.NewEntry(l),
		Stream: func(s raft.StreamLayer) raft.StreamLayer { return &faultyLayer{s, c.links, v.Addr} }}
	if c.configure != nil {
		c.configure(&o)
	}
	return o
}

func (c *cluster) open(v Voter, bootstrap bool) *Group {
	c.t.Helper()
	o := c.options(v)
	o.Bootstrap = bootstrap
	s, err := Open(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.groups[v.Name], c.machines[v.Name] = s, o.Machine.(*recordingMachine)
	return s
}

func (c *cluster) close(name string) {
	if err := c.groups[name].Close(); err != nil && c.groups[name].Failed() == nil {
		c.t.Error(err)
	}
	delete(c.groups, name)
}

func (c *cluster) voter(name string) Voter {
	for _, v := range c.voters {
		if v.Name == name {
			return v
		}
	}
	c.t.Fatalf("no voter %s", name)
	return Voter{}
}

// waitLimit limits waits that take seconds on an idle machine and much longer on a busy one.
const waitLimit = 90 * time.Second

func waitFor(t *testing.T, what string, limit time.Duration, f func() bool) time.Duration {
	t.Helper()
	for start := time.Now(); ; time.Sleep(2 * time.Millisecond) {
		if f() {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// leader waits for a leader that can commit entries, ignoring the voter named except.
func (c *cluster) leader(except string) (name string, took time.Duration) {
	c.t.Helper()
	took = waitFor(c.t, "a leader", waitLimit, func() bool {
		for n, s := range c.groups {
			if n != except && s.raft.State() == raft.Leader && s.raft.Barrier(time.Second).Error() == nil {
				name = n
				return true
			}
		}
		return false
	})
	return name, took
}

func propose(s *Group, word string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return s.Propose(ctx, []byte(word))
}

func (c *cluster) mustPropose(name string, words ...string) {
	c.t.Helper()
	for _, w := range words {
		if err := propose(c.groups[name], w); err != nil {
			c.t.Fatalf("%s: %v", w, err)
		}
	}
}

func (c *cluster) state(name string) (s string) {
	c.groups[name].WithLock(func() { b, _ := c.machines[name].Save(); s = string(b) })
	return s
}

// waitUntilEqual waits until all open voters have the same state and returns it.
func (c *cluster) waitUntilEqual() string {
	c.t.Helper()
	var first string
	waitFor(c.t, "all voters have the same state", waitLimit, func() bool {
		first = ""
		for name := range c.groups {
			if s := c.state(name); first == "" {
				first = s
			} else if s != first {
				return false
			}
		}
		return true
	})
	return first
}
