package replica

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"birchcart/internal/duplexconn"
	"birchcart/internal/exchange"
	"birchcart/policy"
)

// holdDials has every connection wait, once it is dialled for real, until open is called: to the pool it is coming up.
// It must be called before the pool dials.
func (s *fixture) holdDials() (open func()) {
	gate := make(chan struct{})
	dial := s.pool.dial
	s.pool.dial = func(ctx context.Context, address string) (*net.TCPConn, error) {
		nc, err := dial(context.WithoutCancel(ctx), address) // it comes up even if it is given up in that moment
		<-gate
		return nc, err
	}
	opened := false
	open = func() {
		if !opened {
			opened = true
			close(gate)
		}
	}
	s.Cleanup(open)
	return open
}

// A replica that moved, or restarted, under its name: what waits for a connection to the old process is taken back as
// never run, probes too, and the connection gets nothing when it is up at last.
func TestQueuedPartIsNotSentToChangedReplica(t *testing.T) {
	for name, change := range map[string]func(*exchange.Target){
		"moved":     func(c *exchange.Target) { c.Address = "127.0.0.1:1" },
		"restarted": func(c *exchange.Target) { c.Started = time.Now() },
		"draining":  func(c *exchange.Target) { c.State = policy.Draining },
		"removed":   func(c *exchange.Target) { c.State = policy.Removed },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, testLimits())
			open := s.holdDials()
			a := attempt("q.1")
			s.pool.Send(1, []*exchange.Attempt{a})
			s.pool.CheckHealth(1)
			target := exchange.Target{Replica: 1, Name: "r", Address: s.ln.Addr().String(), State: policy.Up}
			change(&target)
			s.pool.Update([]exchange.Target{target})
			open()
			s.accept().expectClosed() // with no frame before
			if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.NotSent {
				t.Errorf("%+v", r)
			}
			if r := s.sink.nextHealthCheck(t); r.Outcome != policy.NotSent {
				t.Errorf("%+v", r)
			}
			s.eventually("the link stays", func() bool { return s.connCount() == 0 })
			s.sink.expectNoResult(t)
		})
	}
}

// A part may be queued on a connection in the moment in which its end has come and its goroutine has not looked: nothing
// of it is written there, and it goes on another connection. That an idle connection was closed says nothing against
// its replica.
func TestPartQueuedOnClosedConnectionMoves(t *testing.T) {
	s := newFixture(t, testLimits())
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.readFrame()
	p.sendFrame("Eq.1 hit 1 -\nv")
	s.sink.nextResult(t)
	a, b := attempt("q.2"), attempt("q.3")
	s.waitUntilParked()
	s.withConn(func(l *replicaConn) bool { // with the lock: the connection's goroutine can't take the end in yet
		p.nc.Close()
		s.eventually("the end does not come", func() bool { return !l.conn.Open() })
		s.pool.enqueue(l, []*exchange.Attempt{a, b})
		return true
	})
	next := s.accept()
	if f := next.readFrame(); !strings.HasPrefix(f, "Aq.2 ") || !strings.Contains(f, "q.3 ") {
		t.Fatalf("%q", f)
	}
	next.sendFrame("Eq.2 hit 1 -\nv")
	next.sendFrame("Eq.3 hit 1 -\nv")
	for range 2 {
		if r := s.sink.nextResult(t); r.Outcome != policy.OK {
			t.Errorf("%+v", r)
		}
	}
	s.eventually("the link stays", func() bool { return s.connCount() == 1 })
	s.sink.expectNoResult(t)
}

// A replica that closes each connection at once gets a part on two at the most, and has then taken none.
func TestPartIsRequeuedOnce(t *testing.T) {
	s := newFixture(t, testLimits())
	dialled := 0
	dial := s.pool.dial
	s.pool.dial = func(ctx context.Context, address string) (*net.TCPConn, error) {
		nc, err := dial(ctx, address)
		p := s.accept()
		p.nc.Close()
		for end := time.Now().Add(testTimeout); err == nil && !duplexconn.Waits(nc) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		dialled++
		return nc, err
	}
	a := attempt("q.1")
	s.pool.Send(1, []*exchange.Attempt{a})
	if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.Unreachable {
		t.Errorf("%+v", r)
	}
	s.eventually("the link stays", func() bool { return s.connCount() == 0 })
	if dialled != 2 {
		t.Errorf("%d connections were dialled", dialled)
	}
}

// nextHealthCheck waits for the end of a probe.
func (s *sink) nextHealthCheck(t *testing.T) exchange.HealthCheck {
	t.Helper()
	select {
	case r := <-s.healthChecks:
		return r
	case <-time.After(testTimeout):
		t.Fatal("no probe ended")
	}
	panic("unreachable")
}

// What a part tells of the time left is what is left when its connection is up, not when it was queued.
func TestRemainingTimeExcludesDialing(t *testing.T) {
	const left, waited = time.Hour, 20 * time.Minute
	s := newFixture(t, testLimits())
	open := s.holdDials()
	a := attempt("q.1")
	a.Due = time.Now().Add(left)
	s.pool.Send(1, []*exchange.Attempt{a})
	s.pool.mu.Lock()
	a.Due = a.Due.Add(-waited) // stands for as long a wait
	s.pool.mu.Unlock()
	open()
	f := s.accept().readFrame()
	var told time.Duration
	if _, err := fmt.Sscanf(f, "Aq.1 3 d=%d", &told); err != nil || told*time.Millisecond > left-waited || told*time.Millisecond < left-2*waited {
		t.Errorf("%q, %v", f, err)
	}
}

// Whoever is told of an answer may give up another part whose answer was read with it: that one's end is on its way then,
// and comes once; the replica is told nothing.
func TestCancelAfterAnswerWasRead(t *testing.T) {
	s := newFixture(t, testLimits())
	a, b := attempt("q.1"), attempt("q.2")
	withdrawn := make(chan [2]bool, 1)
	s.sink.onResult = func(r exchange.Result) {
		if r.Attempt == a {
			found, sent := s.pool.Cancel(b)
			withdrawn <- [2]bool{found, sent}
		}
	}
	s.pool.Send(1, []*exchange.Attempt{a, b})
	p := s.accept()
	p.readFrame()
	io.WriteString(p.nc, "\x00\x00\x00\x0eEq.1 hit 1 -\nv"+"\x00\x00\x00\x0eEq.2 hit 1 -\nv")
	for _, want := range []*exchange.Attempt{a, b} {
		if r := s.sink.nextResult(t); r.Attempt != want || r.Outcome != policy.OK {
			t.Errorf("%+v", r)
		}
	}
	if got := <-withdrawn; got != [2]bool{} {
		t.Errorf("found and sent: %v", got)
	}
	s.sink.expectNoResult(t)
	p.expectNoFrame()
}

// waitUntilParked waits until the goroutines of all connections wait for their peers: they have looked at what is queued then, and
// will not before they are woken.
func (s *fixture) waitUntilParked() {
	s.Helper()
	s.eventually("a connection's goroutine does not rest", func() bool {
		stacks := make([]byte, 1<<20)
		found := false
		for stack := range strings.SplitSeq(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
			if !strings.Contains(stack, "replica.(*replicaConn).run(") {
				continue
			}
			if head, _, _ := strings.Cut(stack, "\n"); !strings.Contains(head, "[IO wait") {
				return false
			}
			found = true
		}
		return found
	})
}

// acknowledged tells that the other machine's kernel has all that was said.
func (p *peer) acknowledged() bool {
	raw, err := p.nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		p.t.Fatal(err)
	}
	var left int32
	var failed syscall.Errno
	raw.Control(func(fd uintptr) {
		_, _, failed = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&left)))
	})
	return failed == 0 && left == 0
}

// A part may be queued on an idle connection in the moment in which half a line has come there. Nothing that is out can be
// meant, so the part goes on another connection, and not on one that would end under it.
func TestPartQueuedBehindPartialFrameMoves(t *testing.T) {
	s := newFixture(t, testLimits())
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.readFrame()
	p.sendFrame("Eq.1 hit 1 -\nv")
	s.sink.nextResult(t)
	s.waitUntilParked()
	s.withConn(func(l *replicaConn) bool { // with the lock: the connection's goroutine can't look at it yet
		io.WriteString(p.nc, "\x00\x00\x00\x0eEq.9 ")
		s.eventually("the bytes do not come", p.acknowledged)
		s.pool.enqueue(l, []*exchange.Attempt{attempt("q.2")})
		return true
	})
	next := s.accept()
	if f := next.readFrame(); !strings.HasPrefix(f, "Aq.2 ") {
		t.Fatalf("%q", f)
	}
	next.sendFrame("Eq.2 hit 1 -\nv")
	if r := s.sink.nextResult(t); r.Outcome != policy.OK {
		t.Errorf("%+v", r)
	}
	p.expectClosed()
}

// A connection that is still dialled when its replica moved, restarted, drains or is gone is given up, and its place is free
// at once: a handshake later would cost the replica work, and nothing would come of it.
func TestDialIsCancelledWhenReplicaChanges(t *testing.T) {
	for name, change := range map[string]func(*exchange.Target){
		"moved":     func(c *exchange.Target) { c.Address = "127.0.0.1:1" },
		"restarted": func(c *exchange.Target) { c.Started = time.Now() },
		"draining":  func(c *exchange.Target) { c.State = policy.Draining },
		"removed":   func(c *exchange.Target) { c.State = policy.Removed },
	} {
		t.Run(name, func(t *testing.T) {
			l := testLimits()
			l.ConnectTime = 10 * testTimeout
			s := newFixture(t, l)
			target := exchange.Target{Replica: 2, Name: "h", Address: hangingAddress(t), State: policy.Up}
			s.pool.Update([]exchange.Target{target})
			a := attempt("q.1")
			s.pool.Send(2, []*exchange.Attempt{a})
			if n := s.connCount(); n != 1 {
				t.Fatalf("%d connections, want the one that is dialled", n)
			}
			change(&target)
			s.pool.Update([]exchange.Target{target})
			if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.NotSent {
				t.Errorf("%+v", r)
			}
			s.eventually("the dialling goes on", func() bool { return s.connCount() == 0 })
		})
	}
}
