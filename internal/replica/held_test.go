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

// pulled is a call that the connection's goroutine has built and not yet handed to the kernel: there the machine may hold it up.
type pulledCall struct {
	*fixture
	attempt     *exchange.Attempt
	resumeWrite func() // goes on where the goroutine was held up
	peer        net.Conn
}

// newPulledCall has a pool whose only connection has just built the frame of a call.
func newPulledCall(t *testing.T) *pulledCall {
	t.Helper()
	s := newFixture(t, testLimits())
	s.pool.dial = func(ctx context.Context, _ string) (*net.TCPConn, error) { // the test plays the goroutine itself
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
	link := s.pool.targets[1].conns[0]
	w := writer{own.(*net.TCPConn), link}
	link.conn = duplexconn.New(w, link, time.Second).ReadFirst()
	s.pool.mu.Unlock()
	out, _, err := link.Pull(nil)
	if err != nil || len(out) == 0 {
		t.Fatalf("%q, %v", out, err)
	}
	p.resumeWrite = func() {
		if _, err := w.Write(out); err != nil {
			t.Error(err)
		}
		if _, err := link.conn.Flush(); err != nil && !errors.Is(err, errIdle) { // as the goroutine does when it is woken
			t.Error(err)
		}
	}
	return p
}

// quiet holds that nothing has come at the replica.
func (p *pulledCall) expectNothingWritten(t *testing.T) {
	t.Helper()
	p.peer.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var b [100]byte
	if n, err := p.peer.Read(b[:]); n > 0 || !timedOut(err) {
		t.Errorf("%q came, %v", b[:n], err)
	}
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// A frame is built, and the goroutine is held up before it hands it to the kernel. What takes the part back meanwhile holds:
// nothing of it goes out, and the part is known never to have run. An operators' run had a part of a refused query arrive 0.29 s
// after the refusal, at a replica that drained.
func TestNothingTakenBackIsWrittenAfterAStop(t *testing.T) {
	for name, takeBack := range map[string]func(t *testing.T, p *pulledCall){
		"the replica drains":  func(_ *testing.T, p *pulledCall) { p.setState(policy.Draining) },
		"the replica is gone": func(_ *testing.T, p *pulledCall) { p.setState(policy.Removed) },
		"its query has ended": func(_ *testing.T, p *pulledCall) { p.pool.CancelUnsent(p.attempt) },
		"the attempt is given up": func(t *testing.T, p *pulledCall) {
			if found, sent := p.pool.Cancel(p.attempt); !found || sent {
				t.Errorf("found %v, sent %v: it has not gone", found, sent)
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
			if strings.HasPrefix(name, "the replica") { // the others' ends are told by whoever takes them back
				if r := p.sink.nextResult(t); r.Attempt != p.attempt || r.Outcome != policy.NotSent {
					t.Errorf("%+v", r)
				}
			}
			p.sink.expectNoResult(t)
		})
	}
}

// What nobody has taken back goes out, late or not.
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

// A part waits while a change of the list is pending, goes when none is, and goes in the end where that never ceases.
func TestPartWaitsForPendingList(t *testing.T) {
	for name, ceases := range map[string]bool{"that is taken in": true, "that never ends": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixture(t, testLimits())
			var pending atomic.Bool
			pending.Store(true)
			looks := make(chan struct{}, 10*maxConsecutiveHolds)
			s.pool.HoldForList(func() bool { looks <- struct{}{}; return pending.Load() })
			s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
			p := s.accept()
			for range maxConsecutiveHolds / 2 {
				<-looks
			}
			if duplexconn.Waits(p.nc) {
				t.Error("the part did not wait")
			}
			if pending.Store(!ceases); !ceases {
				for range maxConsecutiveHolds / 2 {
					<-looks
				}
			}
			if f := p.readFrame(); !strings.HasPrefix(f, "Aq.1 ") {
				t.Errorf("%q", f)
			}
		})
	}
}

// While calls are held, looks are a step apart, however many calls wait on the connection: looks without end would take the processor
// from the reader of the list, and come to their bound at once.
func TestPendingListIsPolledAtIntervals(t *testing.T) {
	s := newFixture(t, testLimits())
	var looks atomic.Int64
	s.pool.HoldForList(func() bool { looks.Add(1); return true })
	began := time.Now()
	for _, id := range []string{"q.1", "q.2", "q.3", "q.4"} {
		s.pool.Send(1, []*exchange.Attempt{attempt(id)})
	}
	s.accept()
	time.Sleep(50 * time.Millisecond)
	n := looks.Load()
	if most := int64(s.connCount())*int64(time.Since(began)/holdInterval) + 4; n > most || n == 0 {
		t.Errorf("%d looks within %v, %d allowed", n, time.Since(began), most)
	}
}

// A pending list that tells of the replica's drain takes the part back.
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
