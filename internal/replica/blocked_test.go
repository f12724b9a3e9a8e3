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

// socketBufferSize is what the test asks for each direction of a socket; the kernel takes a few times that.
const socketBufferSize = 4 << 10

// bigText is more than the sockets of a connection hold with small buffers.
var bigText = []byte(strings.Repeat("q", 4<<20))

func longTimeoutLimits() config.Limits {
	l := testLimits()
	l.WriteTime, l.FrameBytes = testTimeout, 8<<20
	return l
}

// settled is for how long a full socket must take no more: within it the kernel, which asks a closed window first after
// 200 ms, has passed on what little still fitted there.
const socketSettleTime = 500 * time.Millisecond

// useSmallBuffers has connections hold little that the replica has not read. It must be called before one comes up.
func (s *fixture) useSmallBuffers() {
	s.Helper()
	raw, err := s.ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		s.Fatal(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { // connections inherit it, and it stays as it is
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferSize)
	}); err != nil || failed != nil {
		s.Fatal(err, failed)
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

// fillSockets has connections come up with full sockets: the replica reads *filled bytes before the first frame.
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

// link is the one connection of the replica.
func (s *fixture) withConn(look func(l *replicaConn) bool) bool {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	links := s.pool.targets[1].conns
	return len(links) > 0 && look(links[0])
}

// acceptFrames takes a connection on which frames of up to so many bytes come.
func (s *fixture) acceptFrames(most int) *peer {
	s.Helper()
	p := s.accept()
	p.in = bufio.NewScanner(p.nc)
	p.in.Buffer(nil, most)
	p.in.Split(frame.Split(most))
	return p
}

func (s *fixture) waitUntilBlocked() {
	s.Helper()
	s.eventually("the writer is not blocked", func() bool { return s.withConn(func(l *replicaConn) bool { return l.blocked }) })
}

// A call that waits behind another, of which a replica that hangs has taken a part, has not begun: it can be taken back,
// and does not go when the replica reads on.
func TestCallBehindBlockedCallIsUnstarted(t *testing.T) {
	s := newFixture(t, longTimeoutLimits())
	s.useSmallBuffers()
	open := s.holdDials()
	big, left, withdrawn := attempt("q.1"), attempt("q.2"), attempt("q.3")
	big.Text = bigText
	for _, a := range []*exchange.Attempt{big, left, withdrawn} {
		s.pool.Send(1, []*exchange.Attempt{a})
	}
	open()
	p := s.acceptFrames(8 << 20)
	s.waitUntilBlocked()
	if !s.pool.CancelUnsent(left) {
		t.Error("a call that has not begun could not be taken back")
	}
	if found, sent := s.pool.Cancel(withdrawn); !found || sent {
		t.Errorf("found %v, sent %v of a call that has not begun", found, sent)
	}
	s.pool.mu.Lock()
	s.pool.limits.PerReplica = 1 // the next one has to take this connection
	s.pool.mu.Unlock()
	s.pool.Send(1, []*exchange.Attempt{attempt("q.4")})
	for _, id := range []string{"q.1", "q.4"} {
		if f := p.readFrame(); !strings.HasPrefix(f, "A"+id+" ") {
			t.Errorf("a frame %q..., not of %s", f[:min(20, len(f))], id)
		}
	}
}

// sendUntilBlocked sends parts until the full socket takes no byte of one, and returns that.
func (s *fixture) sendUntilBlocked() *exchange.Attempt {
	s.Helper()
	for i := 0; ; i++ {
		a := attempt(fmt.Sprint("q.", i))
		s.pool.Send(1, []*exchange.Attempt{a})
		blocked := false
		s.eventually("a part neither went nor waits", func() bool {
			return s.withConn(func(l *replicaConn) bool {
				blocked = l.blocked
				en := s.pool.pending[a]
				return blocked || en != nil && en.written && en.frameEnd <= l.writtenBytes
			})
		})
		if blocked {
			return a
		}
	}
}

// A replica that is told to drain while it takes no bytes gets none of a call that has not begun.
func TestDrainWithdrawsUnstartedCallOfHungReplica(t *testing.T) {
	var filled int64
	l := longTimeoutLimits()
	l.PerReplica, l.Streams = 1, 1000
	s := newFixture(t, l)
	s.useSmallBuffers()
	s.fillSockets(&filled)
	a := s.sendUntilBlocked()
	p := s.accept()
	s.withConn(func(l *replicaConn) bool { filled += l.writtenBytes; return true })
	s.setState(policy.Draining)
	if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.NotSent {
		t.Errorf("%+v", r)
	}
	if _, err := io.CopyN(io.Discard, p.nc, filled); err != nil {
		t.Fatal(err)
	}
	p.expectNoFrame()
}

// What a call tells of the time left counts from when the replica takes its first byte.
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
	a.Due = time.Now().Add(left) // other than it was when the call was pulled first
	s.pool.mu.Unlock()
	if _, err := io.CopyN(io.Discard, p.nc, filled); err != nil {
		t.Fatal(err)
	}
	f := p.readFrame()
	for !strings.HasPrefix(f, "A"+a.ID+" ") {
		f = p.readFrame()
	}
	var told time.Duration
	if _, err := fmt.Sscanf(f, "A"+a.ID+" 3 d=%d", &told); err != nil || told*time.Millisecond < left/2 || told*time.Millisecond > left {
		t.Errorf("%q, %v", f, err)
	}
}

// A connection that takes no bytes is reset: a part whose frame was cut never ran, one whose frame was taken whole by
// then may have, and what had not begun goes on another connection.
func TestResetRequeuesUnstartedCall(t *testing.T) {
	s := newFixture(t, longTimeoutLimits())
	s.useSmallBuffers()
	open := s.holdDials()
	whole, cut, behind := attempt("q.1"), attempt("q.2"), attempt("q.3")
	cut.Text = bigText
	for _, a := range []*exchange.Attempt{whole, cut, behind} {
		s.pool.Send(1, []*exchange.Attempt{a})
	}
	open()
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

// New parts do not queue up behind a call that a replica does not take.
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

// A replica drains, moves or restarts between the pull of a call and the kernel's word that it takes no byte of it: the
// call is taken back then, and does not wait for the replica that was.
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
			l := s.pool.targets[1].conns[0] // its own goroutine is held: the test plays it
			if out, _, _ := l.Pull(nil); len(out) == 0 {
				t.Fatal("nothing was pulled")
			}
			target := exchange.Target{Replica: 1, Name: "r", Address: s.ln.Addr().String(), State: policy.Up}
			change(&target)
			s.pool.Update([]exchange.Target{target})
			if !l.putBack() {
				t.Fatal("nothing was put back")
			}
			if out, _, _ := l.Pull(nil); len(out) != 0 {
				t.Errorf("pulled again: %q", out)
			}
			select {
			case r := <-s.sink.results:
				if r.Attempt != a || r.Outcome != policy.NotSent {
					t.Errorf("%+v", r)
				}
			default:
				t.Error("its end was not told")
			}
		})
	}
}

// Of a frame in whose middle a replica hangs the rest does not go out once nobody waits for its parts: the attempt would
// begin with its last byte, for a client that has left.
func TestPartialFrameIsAbortedWhenQueryEnds(t *testing.T) {
	for name, end := range map[string]func(*Pool, *exchange.Attempt) (sent bool){
		"withdrawn":                 func(p *Pool, a *exchange.Attempt) bool { _, sent := p.Cancel(a); return sent },
		"query over, no cancelling": func(p *Pool, a *exchange.Attempt) bool { return !p.CancelUnsent(a) },
	} {
		t.Run(name, func(t *testing.T) {
			l := longTimeoutLimits()
			l.WriteTime = 10 * testTimeout // it is not the time for writing that ends it
			s := newFixture(t, l)
			s.useSmallBuffers()
			big := attempt("q.1")
			big.Text = bigText
			s.pool.Send(1, []*exchange.Attempt{big})
			p := s.accept()
			s.waitUntilBlocked()
			if !end(s.pool, big) {
				t.Error("a frame that may be whole by now was taken for one that never ran")
			}
			s.eventually("the connection goes on", func() bool { return s.connCount() == 0 })
			n, err := io.Copy(io.Discard, p.nc)
			if n >= int64(len(bigText)) {
				t.Errorf("%d bytes went out: all of the frame", n)
			}
			if err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Error(err)
			}
		})
	}
}

// The rest of a frame goes out where somebody waits still: for another part of it, or for one that went before.
func TestPartialFrameContinuesForOtherParts(t *testing.T) {
	t.Run("of the same frame", func(t *testing.T) {
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
			t.Errorf("a frame without the part that is waited for: %q...", f[:min(40, len(f))])
		}
	})
	t.Run("of one before", func(t *testing.T) {
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
