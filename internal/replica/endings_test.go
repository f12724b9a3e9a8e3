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

// holdDials delays every connection after its TCP handshake until release is called; the pool sees it as still dialing. It must
// be called before the pool dials.
func (s *fixture) holdDials() (release func()) {
	gate := make(chan struct{})
	dial := s.pool.dial
	s.pool.dial = func(ctx context.Context, address string) (*net.TCPConn, error) {
		nc, err := dial(context.WithoutCancel(ctx), address) // completes even if the pool cancels the dial at the same time
		<-gate
		return nc, err
	}
	opened := false
	release = func() {
		if !opened {
			opened = true
			close(gate)
		}
	}
	s.Cleanup(release)
	return release
}

// When a replica moves, restarts, drains or is removed, parts and health checks that wait for a connection to the old process must
// be withdrawn as never run, and the connection must get no frame once it is open.
func TestQueuedPartIsNotSentToChangedReplica(t *testing.T) {
	for name, change := range map[string]func(*exchange.Target){
		"moved":     func(c *exchange.Target) { c.Address = "127.0.0.1:1" },
		"restarted": func(c *exchange.Target) { c.Started = time.Now() },
		"draining":  func(c *exchange.Target) { c.State = policy.Draining },
		"removed":   func(c *exchange.Target) { c.State = policy.Removed },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, testLimits())
			release := s.holdDials()
			a := attempt("q.1")
			s.pool.Send(1, []*exchange.Attempt{a})
			s.pool.CheckHealth(1)
			target := exchange.Target{Replica: 1, Name: "r", Address: s.ln.Addr().String(), State: policy.Up}
			change(&target)
			s.pool.Update([]exchange.Target{target})
			release()
			s.accept().expectClosed() // without a frame before the close
			if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.NotSent {
				t.Errorf("%+v", r)
			}
			if r := s.sink.nextHealthCheck(t); r.Outcome != policy.NotSent {
				t.Errorf("%+v", r)
			}
			s.eventually("the connection is still open", func() bool { return s.connCount() == 0 })
			s.sink.expectNoResult(t)
		})
	}
}

// A part may be queued on a connection that the replica has closed before the connection's goroutine sees the close. Nothing of it
// must be written there, and it must move to another connection: the end of an idle connection does not mean that the
// replica is unreachable.
func TestPartQueuedOnClosedConnectionMoves(t *testing.T) {
	s := newFixture(t, testLimits())
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.readFrame()
	p.sendFrame("Eq.1 hit 1 -\nv")
	s.sink.nextResult(t)
	a, b := attempt("q.2"), attempt("q.3")
	s.waitUntilParked()
	s.withConn(func(rc *replicaConn) bool { // the lock is held, so the connection's goroutine cannot process the close yet
		p.nc.Close()
		s.eventually("the close did not arrive", func() bool { return !rc.conn.Open() })
		s.pool.enqueue(rc, []*exchange.Attempt{a, b})
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
	s.eventually("the closed connection is still counted", func() bool { return s.connCount() == 1 })
	s.sink.expectNoResult(t)
}

// If a replica closes each connection at once, a part must be tried on two connections only and then end as unreachable.
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
	s.eventually("the connection is still open", func() bool { return s.connCount() == 0 })
	if dialled != 2 {
		t.Errorf("%d connections were dialled", dialled)
	}
}

// nextHealthCheck waits for the result of a health check.
func (s *sink) nextHealthCheck(t *testing.T) exchange.HealthCheck {
	t.Helper()
	select {
	case r := <-s.healthChecks:
		return r
	case <-time.After(testTimeout):
		t.Fatal("no health check ended")
	}
	panic("unreachable")
}

// The remaining time in a part's frame must be that at which its connection is open, not that at which the part was queued.
func TestRemainingTimeExcludesDialing(t *testing.T) {
	const left, waited = time.Hour, 20 * time.Minute
	s := newFixture(t, testLimits())
	release := s.holdDials()
	a := attempt("q.1")
	a.Due = time.Now().Add(left)
	s.pool.Send(1, []*exchange.Attempt{a})
	s.pool.mu.Lock()
	a.Due = a.Due.Add(-waited) // simulates a wait of this length
	s.pool.mu.Unlock()
	release()
	f := s.accept().readFrame()
	var remaining time.Duration
	if _, err := fmt.Sscanf(f, "Aq.1 3 d=%d", &remaining); err != nil || remaining*time.Millisecond > left-waited || remaining*time.Millisecond < left-2*waited {
		t.Errorf("%q, %v", f, err)
	}
}

// The receiver of an answer may cancel another part whose answer was read at the same time. That answer must still be reported,
// exactly once, and no cancellation must be sent to the replica.
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
		t.Errorf("Cancel returned found and sent %v, want both false", got)
	}
	s.sink.expectNoResult(t)
	p.expectNoFrame()
}

// waitUntilParked waits until the goroutines of all connections wait for I/O. They have then checked their queues and do not check
// again until they are woken.
func (s *fixture) waitUntilParked() {
	s.Helper()
	s.eventually("a connection's goroutine did not wait for I/O", func() bool {
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

// acknowledged reports whether the receiving kernel has acknowledged all bytes that were sent.
func (p *peer) acknowledged() bool {
	raw, err := p.nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		p.t.Fatal(err)
	}
	var unacknowledged int32
	var errno syscall.Errno
	raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&unacknowledged)))
	})
	return errno == 0 && unacknowledged == 0
}

// A part may be queued on an idle connection on which an incomplete frame has just arrived. The frame answers no outstanding part,
// so the connection is about to end and the part must move to another one.
func TestPartQueuedBehindPartialFrameMoves(t *testing.T) {
	s := newFixture(t, testLimits())
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.readFrame()
	p.sendFrame("Eq.1 hit 1 -\nv")
	s.sink.nextResult(t)
	s.waitUntilParked()
	s.withConn(func(rc *replicaConn) bool { // the lock is held, so the connection's goroutine cannot process the bytes yet
		io.WriteString(p.nc, "\x00\x00\x00\x0eEq.9 ")
		s.eventually("the bytes were not acknowledged", p.acknowledged)
		s.pool.enqueue(rc, []*exchange.Attempt{attempt("q.2")})
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

// If a replica moves, restarts, drains or is removed during dialing, the dial must be cancelled and its connection no longer
// counted: completing the handshake later would cost the replica work for nothing.
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
				t.Fatalf("%d connections, want one, in dialing", n)
			}
			change(&target)
			s.pool.Update([]exchange.Target{target})
			if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.NotSent {
				t.Errorf("%+v", r)
			}
			s.eventually("the dial was not cancelled", func() bool { return s.connCount() == 0 })
		})
	}
}
