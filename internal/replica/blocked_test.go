package replica

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/frame"
	"birchcart/policy"
)

// socketBufferSize is the buffer size that the tests request for each direction of a socket; the kernel allocates a small
// multiple of it.
const socketBufferSize = 4 << 10

// bigText is larger than the socket buffers of a connection with socketBufferSize.
var bigText = []byte(strings.Repeat("q", 4<<20))

// longTimeoutLimits returns limits under which no write times out and bigText fits into a frame.
func longTimeoutLimits() config.Limits {
	l := testLimits()
	l.WriteTime, l.FrameBytes = testTimeout, 8<<20
	return l
}

// socketSettleTime is how long a socket must accept no bytes to count as full. The kernel probes a closed window for the first
// time after 200 ms, so within this time it has transferred what still fits into the peer's buffer.
const socketSettleTime = 500 * time.Millisecond

// useSmallBuffers limits how much unread data new connections can hold. It must be called before the first one is opened.
func (s *fixture) useSmallBuffers() {
	s.Helper()
	raw, err := s.ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		s.Fatal(err)
	}
	var sockErr error
	if err := raw.Control(func(fd uintptr) { // accepted connections inherit the size, which disables automatic tuning
		sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferSize)
	}); err != nil || sockErr != nil {
		s.Fatal(err, sockErr)
	}
	dial := s.pool.dial
	s.pool.dial = func(ctx context.Context, address string) (*net.TCPConn, error) {
		nc, err := dial(ctx, address)
		if err == nil {
			nc.SetWriteBuffer(socketBufferSize)
		}
		return nc, err
	}
}

// fillSockets makes the pool open connections with full socket buffers: the replica has to read *filled bytes before the first
// frame.
func (s *fixture) fillSockets(filled *int64) {
	dial := s.pool.dial
	s.pool.dial = func(ctx context.Context, address string) (*net.TCPConn, error) {
		nc, err := dial(ctx, address)
		if err != nil {
			return nc, err
		}
		raw, err := nc.SyscallConn()
		if err != nil {
			return nil, err
		}
		for tookAt := time.Now(); time.Since(tookAt) < socketSettleTime; time.Sleep(time.Millisecond) {
			raw.Write(func(fd uintptr) bool {
				n, err := syscall.Write(int(fd), bigText[:64<<10])
				for ; n > 0 || errors.Is(err, syscall.EINTR); n, err = syscall.Write(int(fd), bigText[:64<<10]) {
					*filled += int64(max(0, n))
					tookAt = time.Now()
				}
				return true
			})
		}
		return nc, nil
	}
}

// withConn calls check with the replica's first connection while it holds the pool's lock. It returns false if there is none.
func (s *fixture) withConn(check func(rc *replicaConn) bool) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	conns := s.pool.targets[1].conns
	return len(conns) > 0 && check(conns[0])
}

// acceptFrames accepts a connection whose frames may have up to maxBytes bytes.
func (s *fixture) acceptFrames(maxBytes int) *peer {
	s.Helper()
	p := s.accept()
	p.in = bufio.NewScanner(p.nc)
	p.in.Buffer(nil, maxBytes)
	p.in.Split(frame.Split(maxBytes))
	return p
}

// waitUntilBlocked waits until the peer of the replica's connection accepts no more bytes.
func (s *fixture) waitUntilBlocked() {
	s.Helper()
	s.eventually("the connection did not block", func() bool { return s.withConn(func(rc *replicaConn) bool { return rc.blocked }) })
}

// A call that is queued behind one that a hung replica has accepted only in part is unstarted: it can be withdrawn, and must
// not be sent when the replica reads again.
func TestCallBehindBlockedCallIsUnstarted(t *testing.T) {
	s := newFixture(t, longTimeoutLimits())
	s.useSmallBuffers()
	release := s.holdDials()
	big, unsent, withdrawn := attempt("q.1"), attempt("q.2"), attempt("q.3")
	big.Text = bigText
	for _, a := range []*exchange.Attempt{big, unsent, withdrawn} {
		s.pool.Send(1, []*exchange.Attempt{a})
	}
	release()
	p := s.acceptFrames(8 << 20)
	s.waitUntilBlocked()
	if !s.pool.CancelUnsent(unsent) {
		t.Error("an unstarted call could not be withdrawn")
	}
	if found, sent := s.pool.Cancel(withdrawn); !found || sent {
		t.Errorf("Cancel of an unstarted call: found %v, sent %v; want true, false", found, sent)
	}
	s.pool.mu.Lock()
	s.pool.limits.PerReplica = 1 // the next call has to use this connection
	s.pool.mu.Unlock()
	s.pool.Send(1, []*exchange.Attempt{attempt("q.4")})
	for _, id := range []string{"q.1", "q.4"} {
		if f := p.readFrame(); !strings.HasPrefix(f, "A"+id+" ") {
			t.Errorf("got frame %q..., want one for %s", f[:min(20, len(f))], id)
		}
	}
}

// sendUntilBlocked sends parts until the full socket accepts no byte of one, and returns that part's attempt.
func (s *fixture) sendUntilBlocked() *exchange.Attempt {
	s.Helper()
	for i := 0; ; i++ {
		a := attempt(fmt.Sprint("q.", i))
		s.pool.Send(1, []*exchange.Attempt{a})
		blocked := false
		s.eventually("a part was neither written nor blocked", func() bool {
			return s.withConn(func(rc *replicaConn) bool {
				blocked = rc.blocked
				pa := s.pool.pending[a]
				return blocked || pa != nil && pa.written && pa.frameEnd <= rc.writtenBytes
			})
		})
		if blocked {
			return a
		}
	}
}

// A replica that starts to drain while it accepts no bytes must get no byte of an unstarted call.
func TestDrainWithdrawsUnstartedCallOfHungReplica(t *testing.T) {
	var filled int64
	l := longTimeoutLimits()
	l.PerReplica, l.Streams = 1, 1000
	s := newFixture(t, l)
	s.useSmallBuffers()
	s.fillSockets(&filled)
	a := s.sendUntilBlocked()
	p := s.accept()
	s.withConn(func(rc *replicaConn) bool { filled += rc.writtenBytes; return true })
	s.setState(policy.Draining)
	if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.NotSent {
		t.Errorf("%+v", r)
	}
	if _, err := io.CopyN(io.Discard, p.nc, filled); err != nil {
		t.Fatal(err)
	}
	p.expectNoFrame()
}

// The remaining time in a call must be that at which the replica accepts the call's first byte.
func TestRemainingTimeCountsFromFirstByte(t *testing.T) {
	const left = 10 * time.Minute
	var filled int64
	l := longTimeoutLimits()
	l.PerReplica, l.Streams = 1, 1000
	s := newFixture(t, l)
	s.useSmallBuffers()
	s.fillSockets(&filled)
	a := s.sendUntilBlocked()
	p := s.accept()
	s.pool.mu.Lock()
	a.Due = time.Now().Add(left) // differs from the value when the call was first pulled
	s.pool.mu.Unlock()
	if _, err := io.CopyN(io.Discard, p.nc, filled); err != nil {
		t.Fatal(err)
	}
	f := p.readFrame()
	for !strings.HasPrefix(f, "A"+a.ID+" ") {
		f = p.readFrame()
	}
	var remaining time.Duration
	if _, err := fmt.Sscanf(f, "A"+a.ID+" 3 d=%d", &remaining); err != nil || remaining*time.Millisecond < left/2 || remaining*time.Millisecond > left {
		t.Errorf("%q, %v", f, err)
	}
}

// When a blocked connection is reset, a part whose frame was cut off has never run, a part whose frame was written completely may
// have run, and an unstarted call must move to another connection.
func TestResetRequeuesUnstartedCall(t *testing.T) {
	s := newFixture(t, longTimeoutLimits())
	s.useSmallBuffers()
	release := s.holdDials()
	whole, cut, behind := attempt("q.1"), attempt("q.2"), attempt("q.3")
	cut.Text = bigText
	for _, a := range []*exchange.Attempt{whole, cut, behind} {
		s.pool.Send(1, []*exchange.Attempt{a})
	}
	release()
	p := s.accept()
	p.readFrame()
	s.waitUntilBlocked()
	p.nc.(*net.TCPConn).SetLinger(0)
	p.nc.Close()
	got := map[*exchange.Attempt]policy.Outcome{}
	for range 2 {
		r := s.sink.nextResult(t)
		got[r.Attempt] = r.Outcome
	}
	if got[whole] != policy.ConnectionBroken || got[cut] != policy.Unreachable {
		t.Errorf("whole %v, cut %v", got[whole], got[cut])
	}
	if f := s.accept().readFrame(); !strings.HasPrefix(f, "A"+behind.ID+" ") {
		t.Errorf("%q", f)
	}
}

// New parts must not queue up behind a call that a replica does not accept.
func TestBlockedConnectionGetsNoNewPart(t *testing.T) {
	s := newFixture(t, longTimeoutLimits())
	s.useSmallBuffers()
	big := attempt("q.1")
	big.Text = bigText
	s.pool.Send(1, []*exchange.Attempt{big})
	s.accept()
	s.waitUntilBlocked()
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
	if f := s.accept().readFrame(); !strings.HasPrefix(f, "Aq.2 ") {
		t.Errorf("%q", f)
	}
}

// If a replica drains, moves or restarts after a call was pulled and before the kernel reports that it accepts no byte of it, the
// call must be withdrawn and not wait for the old address or process.
func TestPutBackCallIsNotSentToChangedReplica(t *testing.T) {
	for name, change := range map[string]func(*exchange.Target){
		"moved":     func(c *exchange.Target) { c.Address = "127.0.0.1:1" },
		"restarted": func(c *exchange.Target) { c.Started = time.Now() },
		"draining":  func(c *exchange.Target) { c.State = policy.Draining },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, testLimits())
			s.holdDials()
			a := attempt("q.1")
			s.pool.Send(1, []*exchange.Attempt{a})
			rc := s.pool.targets[1].conns[0] // its goroutine is held in dialing; the test acts in its place
			if out, _, _ := rc.Pull(nil); len(out) == 0 {
				t.Fatal("Pull returned no bytes")
			}
			target := exchange.Target{Replica: 1, Name: "r", Address: s.ln.Addr().String(), State: policy.Up}
			change(&target)
			s.pool.Update([]exchange.Target{target})
			if !rc.putBack() {
				t.Fatal("putBack found no call")
			}
			if out, _, _ := rc.Pull(nil); len(out) != 0 {
				t.Errorf("the withdrawn call was pulled again: %q", out)
			}
			select {
			case r := <-s.sink.results:
				if r.Attempt != a || r.Outcome != policy.NotSent {
					t.Errorf("%+v", r)
				}
			default:
				t.Error("the attempt's result was not reported")
			}
		})
	}
}

// If a replica hangs in the middle of a frame, the rest of the frame must not be sent once no client waits for its parts: the
// last byte would start an attempt for a client that has left.
func TestPartialFrameIsAbortedWhenQueryEnds(t *testing.T) {
	for name, end := range map[string]func(*Pool, *exchange.Attempt) (sent bool){
		"attempt cancelled":          func(p *Pool, a *exchange.Attempt) bool { _, sent := p.Cancel(a); return sent },
		"query ended, no cancelling": func(p *Pool, a *exchange.Attempt) bool { return !p.CancelUnsent(a) },
	} {
		t.Run(name, func(t *testing.T) {
			l := longTimeoutLimits()
			l.WriteTime = 10 * testTimeout // so that the write timeout does not end the connection
			s := newFixture(t, l)
			s.useSmallBuffers()
			big := attempt("q.1")
			big.Text = bigText
			s.pool.Send(1, []*exchange.Attempt{big})
			p := s.accept()
			s.waitUntilBlocked()
			if !end(s.pool, big) {
				t.Error("a frame that may be complete counted as never sent")
			}
			s.eventually("the connection is still open", func() bool { return s.connCount() == 0 })
			n, err := io.Copy(io.Discard, p.nc)
			if n >= int64(len(bigText)) {
				t.Errorf("%d bytes were sent, which is the whole frame", n)
			}
			if err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Error(err)
			}
		})
	}
}

// The rest of a partly written frame must be sent if a client still waits for another part of that frame or for a part that was
// written earlier on the connection.
func TestPartialFrameContinuesForOtherParts(t *testing.T) {
	t.Run("part of the same frame", func(t *testing.T) {
		l := longTimeoutLimits()
		l.Streams = 2
		s := newFixture(t, l)
		s.useSmallBuffers()
		big, other := attempt("q.1"), attempt("r.1")
		big.Text = bigText
		s.pool.Send(1, []*exchange.Attempt{big, other})
		p := s.acceptFrames(8 << 20)
		s.waitUntilBlocked()
		s.pool.Cancel(big)
		if f := p.readFrame(); !strings.Contains(f, "r.1 ") {
			t.Errorf("the frame lacks the part that is still awaited: %q...", f[:min(40, len(f))])
		}
	})
	t.Run("part of an earlier frame", func(t *testing.T) {
		l := longTimeoutLimits()
		l.PerReplica, l.Streams = 1, 2
		s := newFixture(t, l)
		s.useSmallBuffers()
		before, big := attempt("r.1"), attempt("q.1")
		big.Text = bigText
		s.pool.Send(1, []*exchange.Attempt{before})
		p := s.acceptFrames(8 << 20)
		p.readFrame()
		s.pool.Send(1, []*exchange.Attempt{big})
		s.waitUntilBlocked()
		s.pool.Cancel(big)
		p.readFrame()
		p.sendFrame("Er.1 hit 0 -\nvalue")
		if r := s.sink.nextResult(t); r.Attempt != before || r.Outcome != policy.OK {
			t.Errorf("%+v", r)
		}
	})
}
