package replica

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"birchcart/internal/duplexconn"
	"birchcart/internal/exchange"
	"birchcart/policy"
)

// pulledCall is a call that the connection's goroutine has built and not yet passed to the kernel, a point at which the machine may
// suspend the goroutine.
type pulledCall struct {
	*fixture
	attempt     *exchange.Attempt
	resumeWrite func() // continues where the goroutine was suspended
	peer        net.Conn
}

// newPulledCall returns a pool whose only connection has just built the frame of a call.
func newPulledCall(t *testing.T) *pulledCall {
	t.Helper()
	s := newFixture(t, testLimits())
	s.pool.dial = func(ctx context.Context, _ string) (*net.TCPConn, error) { // never connects: the test acts as the connection's goroutine
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p := &pulledCall{fixture: s, attempt: attempt("q.1")}
	s.pool.Send(1, []*exchange.Attempt{p.attempt})
	own, err := net.Dial("tcp", s.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { own.Close() })
	if p.peer, err = s.ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.peer.Close() })
	s.pool.mu.Lock()
	rc := s.pool.targets[1].conns[0]
	w := writer{own.(*net.TCPConn), rc}
	rc.conn = duplexconn.New(w, rc, time.Second).ReadFirst()
	s.pool.mu.Unlock()
	out, _, err := rc.Pull(nil)
	if err != nil || len(out) == 0 {
		t.Fatalf("%q, %v", out, err)
	}
	p.resumeWrite = func() {
		if _, err := w.Write(out); err != nil {
			t.Error(err)
		}
		if _, err := rc.conn.Flush(); err != nil && !errors.Is(err, errIdle) { // as the goroutine does when it is woken
			t.Error(err)
		}
	}
	return p
}

// expectNothingWritten checks that no bytes arrive at the replica for 100 ms.
func (p *pulledCall) expectNothingWritten(t *testing.T) {
	t.Helper()
	p.peer.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var b [100]byte
	if n, err := p.peer.Read(b[:]); n > 0 || !timedOut(err) {
		t.Errorf("%q arrived, error %v", b[:n], err)
	}
}

// timedOut reports whether err is a network timeout.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// The goroutine of a connection may be suspended after it has built a frame and before it passes it to the kernel. If the part is
// withdrawn in that time, nothing of it must be sent, and it counts as never run. In an operators' run, a part of a refused
// query arrived at a draining replica 0.29 s after the refusal.
func TestNothingTakenBackIsWrittenAfterAStop(t *testing.T) {
	for name, takeBack := range map[string]func(t *testing.T, p *pulledCall){
		"the replica drains":     func(_ *testing.T, p *pulledCall) { p.setState(policy.Draining) },
		"the replica is removed": func(_ *testing.T, p *pulledCall) { p.setState(policy.Removed) },
		"its query has ended":    func(_ *testing.T, p *pulledCall) { p.pool.CancelUnsent(p.attempt) },
		"the attempt is cancelled": func(t *testing.T, p *pulledCall) {
			if found, sent := p.pool.Cancel(p.attempt); !found || sent {
				t.Errorf("Cancel of an unwritten part: found %v, sent %v; want true, false", found, sent)
			}
		},
		"its client's time is over": func(_ *testing.T, p *pulledCall) { time.Sleep(time.Until(p.attempt.Due)) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPulledCall(t)
			if name == "its client's time is over" {
				p.attempt.Due = time.Now().Add(50 * time.Millisecond)
			}
			takeBack(t, p)
			p.resumeWrite()
			p.expectNothingWritten(t)
			if strings.HasPrefix(name, "the replica") { // in the other cases the caller of the withdrawal reports the result
				if r := p.sink.nextResult(t); r.Attempt != p.attempt || r.Outcome != policy.NotSent {
					t.Errorf("%+v", r)
				}
			}
			p.sink.expectNoResult(t)
		})
	}
}

// A part that has not been withdrawn must be sent, even after a pause.
func TestPartIsWrittenAfterPause(t *testing.T) {
	p := newPulledCall(t)
	time.Sleep(30 * time.Millisecond)
	p.resumeWrite()
	p.peer.SetReadDeadline(time.Now().Add(testTimeout))
	var b [4]byte
	if _, err := p.peer.Read(b[:]); err != nil {
		t.Error(err)
	}
}

// A part must wait while a change of the replica list is pending, be sent when none is, and be sent at the latest after
// maxConsecutiveHolds checks if the change stays pending.
func TestPartWaitsForPendingList(t *testing.T) {
	for name, ends := range map[string]bool{"the list is processed": true, "the list never ends": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, testLimits())
			var pending atomic.Bool
			pending.Store(true)
			polls := make(chan struct{}, 10*maxConsecutiveHolds)
			s.pool.HoldForList(func() bool { polls <- struct{}{}; return pending.Load() })
			s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
			p := s.accept()
			for range maxConsecutiveHolds / 2 {
				<-polls
			}
			if duplexconn.Waits(p.nc) {
				t.Error("the part was written while a list was pending")
			}
			if pending.Store(!ends); !ends {
				for range maxConsecutiveHolds / 2 {
					<-polls
				}
			}
			if f := p.readFrame(); !strings.HasPrefix(f, "Aq.1 ") {
				t.Errorf("%q", f)
			}
		})
	}
}

// While calls are held, the checks for a pending list must be holdInterval apart, however many calls wait on the connection.
// Checks in a busy loop would take the processor from the reader of the list, and reach maxConsecutiveHolds at once.
func TestPendingListIsPolledAtIntervals(t *testing.T) {
	s := newFixture(t, testLimits())
	var polls atomic.Int64
	s.pool.HoldForList(func() bool { polls.Add(1); return true })
	began := time.Now()
	for _, id := range []string{"q.1", "q.2", "q.3", "q.4"} {
		s.pool.Send(1, []*exchange.Attempt{attempt(id)})
	}
	s.accept()
	time.Sleep(50 * time.Millisecond)
	n := polls.Load()
	if maxPolls := int64(s.connCount())*int64(time.Since(began)/holdInterval) + 4; n > maxPolls || n == 0 {
		t.Errorf("%d checks within %v, want 1 to %d", n, time.Since(began), maxPolls)
	}
}

// A part that is held for a pending list must be withdrawn if that list says that the replica drains.
func TestDrainWithdrawsHeldPart(t *testing.T) {
	s := newFixture(t, testLimits())
	held := make(chan struct{}, 10*maxConsecutiveHolds)
	s.pool.HoldForList(func() bool { held <- struct{}{}; return true })
	a := attempt("q.1")
	s.pool.Send(1, []*exchange.Attempt{a})
	p := s.accept()
	<-held
	s.setState(policy.Draining)
	if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.NotSent {
		t.Errorf("%+v", r)
	}
	p.expectClosed()
}
