package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/policy"
)

// shared is a discovery that all co-ordinators call, and that serves calls in turn: one takes serveTime, and one that would
// wait for longer than turnAway is refused, which takes refuseTime. A call that is left is served all the same.
type shared struct {
	ln net.Listener

	mu      sync.Mutex
	busy    time.Time // until then
	drained bool      // the next version, in which the replica drains, is there
	refused int
	muted   chan struct{} // closed when the watches that are open fall silent
}

const (
	callers    = 12
	serveTime  = 50 * time.Millisecond
	refuseTime = 10 * time.Millisecond
	turnAway   = 300 * time.Millisecond // some have to come again
)

// serve answers the calls of one connection.
func (s *shared) serve(nc net.Conn) {
	defer nc.Close()
	for r := bufio.NewReader(nc); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		for head := line; head != "\r\n"; {
			if head, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		taken, wait := s.call()
		time.Sleep(wait)
		target := strings.Fields(line)[1]
		switch {
		case !taken:
			io.WriteString(nc, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		case target == "/api/targets":
			io.WriteString(nc, whole(s.list(true)))
		default:
			s.watch(nc, strings.HasSuffix(target, "after=1"))
			return
		}
	}
}

// call takes one call, and tells how long it waits for its turn.
func (s *shared) call() (taken bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busy.Before(now) {
		s.busy = now
	}
	if s.busy.Sub(now) > turnAway {
		s.busy = s.busy.Add(refuseTime)
		s.refused++
		return false, 0
	}
	s.busy = s.busy.Add(serveTime)
	return true, s.busy.Sub(now)
}

func (s *shared) list(full bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained {
		return list(2, full, entry("v2", "Ready"))
	}
	return list(1, full, entry("v1", "Ready"))
}

// watch says first what was missed, and then that nothing changes, until it falls silent.
func (s *shared) watch(nc net.Conn, behind bool) {
	s.mu.Lock()
	muted, drained := s.muted, s.drained
	s.mu.Unlock()
	if io.WriteString(nc, opened); drained && behind {
		io.WriteString(nc, chunk(s.list(false)+"\n"))
	}
	for {
		select {
		case <-muted:
			io.Copy(io.Discard, nc) // until the other side leaves
			return
		case <-time.After(100 * time.Millisecond):
			if _, err := io.WriteString(nc, chunk("\n")); err != nil {
				return
			}
		}
	}
}

// All watches of a discovery that many co-ordinators share fall silent at once, and a change comes right after. Each has it
// before it counts as told, although discovery can't take all calls at once: calls that are left unanswered, and calls
// that follow a refusal at once, would keep it busy for ever.
func TestManyAskASharedDiscovery(t *testing.T) {
	s := &shared{ln: loopback(t), muted: make(chan struct{})}
	go func() {
		for {
			nc, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	t.Cleanup(func() { s.ln.Close() })
	var heard []func(string) time.Time
	for range callers {
		c, names, _ := runs(t, s.ln.Addr().String(), true)
		c.Watch()
		heard = append(heard, names)
	}
	for _, names := range heard {
		names("v1")
	}
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) { // all watches are open
		if s.mu.Lock(); s.busy.Before(time.Now()) {
			break
		}
		if s.mu.Unlock(); time.Now().After(end) {
			t.Fatal("the calls at the start were never served")
		}
	}
	silent := time.Now()
	s.drained = true
	close(s.muted)
	s.muted = make(chan struct{})
	s.mu.Unlock()
	for i, names := range heard {
		at := names("v2")
		if late := at.Sub(silent) - toldBy; late > 0 {
			t.Errorf("co-ordinator %d heard %v after it counts as told", i, late)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Log(fmt.Sprint(s.refused, " calls were refused"))
}

// Where the list is asked for, one that is held from before the start is watched at once: the answer tells what has changed.
func TestAHeldListIsWatchedAtOnce(t *testing.T) {
	a := newAgent(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &sink{make(chan exchange.ReplicaList, 10), make(chan struct{}, 10)}
	c := New(&config.Config{Discovery: a.address(), Policy: policy.Config{MustSubscribe: true}, Limits: calm}, 5, s, logrus.NewEntry(log))
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	c.Watch()
	nc, r := a.accept()
	a.expect(r, "/api/targets?watch=1&after=5")
	io.WriteString(nc, opened+chunk(list(6, false, entry("a", "Terminating"))+"\n"))
	if l := s.next(t); l.Full || len(l.Entries) != 1 || l.Entries[0].State != policy.Draining {
		t.Errorf("%+v", l)
	}
}
