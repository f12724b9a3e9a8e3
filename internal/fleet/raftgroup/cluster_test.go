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

// list is a machine that keeps what was applied.
type list struct {
	Words   []string
	Indexes []uint64
	loads   int
}

func (l *list) Apply(index uint64, raw []byte) error {
	switch string(raw) {
	case "refused":
		return errors.New("the machine refuses")
	case "panic":
		panic("the machine is at a loss")
	}
	if n := len(l.Indexes); n > 0 && l.Indexes[n-1] >= index {
		return fmt.Errorf("entry %d after %d", index, l.Indexes[n-1])
	}
	l.Words, l.Indexes = append(l.Words, string(raw)), append(l.Indexes, index)
	return nil
}
func (l *list) Save() ([]byte, error) { return json.Marshal(l) }
func (l *list) Load(b []byte) error {
	n := list{loads: l.loads + 1}
	if err := json.Unmarshal(b, &n); err != nil {
		return err
	}
	*l = n
	return nil
}

// links are directed; what goes over one that is cut is swallowed, as a network does it.
type links struct {
	mu    sync.Mutex
	cut   map[[2]string]bool
	conns map[*link]bool
	bytes atomic.Int64
	late  atomic.Int64 // each write waits for so many nanoseconds
}

func (l *links) set(cut bool, pairs ...[2]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range pairs {
		l.cut[p] = cut
	}
	if !cut { // what was swallowed does not come any more
		for c := range l.conns {
			c.Conn.Close()
		}
	}
}

func (l *links) is(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]string{from, to}]
}

type faulty struct {
	raft.StreamLayer
	l    *links
	from string
}

func (f *faulty) Dial(a raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	to := string(a)
	if f.l.is(f.from, to) || f.l.is(to, f.from) {
		time.Sleep(wait)
		return nil, os.ErrDeadlineExceeded
	}
	c, err := f.StreamLayer.Dial(a, wait)
	if err != nil {
		return nil, err
	}
	x := &link{Conn: c, f: f, to: to}
	f.l.mu.Lock()
	f.l.conns[x] = true
	f.l.mu.Unlock()
	return x, nil
}

type link struct {
	net.Conn
	f  *faulty
	to string
}

func (c *link) Write(b []byte) (int, error) {
	c.f.l.bytes.Add(int64(len(b)))
	if c.f.l.is(c.f.from, c.to) {
		return len(b), nil
	}
	time.Sleep(time.Duration(c.f.l.late.Load()))
	return c.Conn.Write(b)
}

func (c *link) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.f.l.bytes.Add(int64(n))
		if err != nil || !c.f.l.is(c.to, c.f.from) {
			return n, err
		}
	}
}

func (c *link) Close() error {
	c.f.l.mu.Lock()
	delete(c.f.l.conns, c)
	c.f.l.mu.Unlock()
	return c.Conn.Close()
}

// cluster is a raft group in one process.
type cluster struct {
	t        *testing.T
	dir      string
	links    *links
	voters   []Voter
	seats    map[string]*Group
	machines map[string]*list
	change   func(o *Options)
}

var seats atomic.Int64

// free gives an address of this process's own in the loopback network, so that nobody else takes its port.
func free(*testing.T) string {
	n := seats.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200, 1+n/250, 1+n%250, 7000+os.Getpid()%10_000)
}

func newCluster(t *testing.T, n int, change func(o *Options)) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), change: change, links: &links{cut: map[[2]string]bool{}, conns: map[*link]bool{}},
		seats: map[string]*Group{}, machines: map[string]*list{}}
	for i := range n {
		c.voters = append(c.voters, Voter{fmt.Sprint("v", i), free(t)})
	}
	for _, v := range c.voters {
		c.open(v, true)
	}
	t.Cleanup(func() {
		for name := range c.seats {
			c.close(name)
		}
	})
	return c
}

func (c *cluster) options(v Voter) Options {
	l := logrus.New()
	l.SetLevel(logrus.FatalLevel)
	o := Options{Name: v.Name, Dir: filepath.Join(c.dir, v.Name), Bind: v.Addr, Voters: c.voters, Machine: &list{}, Patience: 2,
		Log:    logrus.NewEntry(l),
		Stream: func(s raft.StreamLayer) raft.StreamLayer { return &faulty{s, c.links, v.Addr} }}
	if c.change != nil {
		c.change(&o)
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
	c.seats[v.Name], c.machines[v.Name] = s, o.Machine.(*list)
	return s
}

func (c *cluster) close(name string) {
	if err := c.seats[name].Close(); err != nil && c.seats[name].Failed() == nil {
		c.t.Error(err)
	}
	delete(c.seats, name)
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

// patience is how long a busy machine may take to what comes in seconds on a quiet one.
const patience = 90 * time.Second

func until(t *testing.T, what string, limit time.Duration, f func() bool) time.Duration {
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

// leader waits for one that leads and can propose, other than the one named.
func (c *cluster) leader(but string) (name string, took time.Duration) {
	c.t.Helper()
	took = until(c.t, "a leader", patience, func() bool {
		for n, s := range c.seats {
			if n != but && s.raft.State() == raft.Leader && s.raft.Barrier(time.Second).Error() == nil {
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

func (c *cluster) must(name string, words ...string) {
	c.t.Helper()
	for _, w := range words {
		if err := propose(c.seats[name], w); err != nil {
			c.t.Fatalf("%s: %v", w, err)
		}
	}
}

func (c *cluster) state(name string) (s string) {
	c.seats[name].WithLock(func() { b, _ := c.machines[name].Save(); s = string(b) })
	return s
}

// same waits until all open seats have applied the same.
func (c *cluster) same() string {
	c.t.Helper()
	var first string
	until(c.t, "all the same", patience, func() bool {
		first = ""
		for name := range c.seats {
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
