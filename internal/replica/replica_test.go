package replica

import (
	"bufio"
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
	"birchcart/internal/frame"
	"birchcart/policy"
)

// testTimeout is how long a busy machine may take for what an idle one does within milliseconds.
const testTimeout = time.Minute

// sink is a Sink that queues results for the test.
type sink struct {
	results      chan exchange.Result
	healthChecks chan exchange.HealthCheck
	onResult     func(exchange.Result) // if set, called before a result is queued
}

func (s *sink) AttemptEnded(r exchange.Result) {
	if s.onResult != nil {
		s.onResult(r)
	}
	s.results <- r
}

func (s *sink) HealthChecked(p exchange.HealthCheck) { s.healthChecks <- p }

// nextResult waits for the next result of an attempt.
func (s *sink) nextResult(t *testing.T) exchange.Result {
	t.Helper()
	select {
	case r := <-s.results:
		return r
	case <-time.After(testTimeout):
		t.Fatal("no attempt ended")
	}
	panic("unreachable")
}

// expectNoResult checks that no attempt ends within 30 ms.
func (s *sink) expectNoResult(t *testing.T) {
	t.Helper()
	select {
	case r := <-s.results:
		t.Fatalf("unexpected result: %+v", r)
	case <-time.After(30 * time.Millisecond):
	}
}

// peer is the replica's end of a connection.
type peer struct {
	t  *testing.T
	nc net.Conn
	in *bufio.Scanner
}

// readFrame waits for the next frame.
func (p *peer) readFrame() string {
	p.t.Helper()
	p.nc.SetReadDeadline(time.Now().Add(testTimeout))
	if !p.in.Scan() {
		p.t.Fatalf("no frame: %v", p.in.Err())
	}
	return p.in.Text()
}

// expectNoFrame checks that no frame arrives within 30 ms.
func (p *peer) expectNoFrame() {
	p.t.Helper()
	p.nc.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if p.in.Scan() {
		p.t.Fatalf("unexpected frame %q", p.in.Text())
	}
}

// sendFrame sends a frame with the given content, adding its length.
func (p *peer) sendFrame(rest string) {
	n := len(rest)
	p.nc.Write(append([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, rest...))
}

// expectClosed checks that the pool closes the connection.
func (p *peer) expectClosed() {
	p.t.Helper()
	p.nc.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := p.nc.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		p.t.Fatalf("the connection is still open: %v", err)
	}
}

// fixture is a pool with one replica, whose end of the connections the test controls.
type fixture struct {
	*testing.T
	pool *Pool
	sink *sink
	ln   net.Listener
}

func testLimits() config.Limits {
	return config.Limits{
		ReplicaLinks: 8, PerReplica: 2, Streams: 4, CallParts: 4, FrameBytes: 1000, ConnectTime: time.Second,
		FrameTime:   time.Second,
		ReplicaIdle: time.Minute, Silence: time.Minute, Remember: time.Minute, ProbeTime: time.Second,
		WriteTime: time.Second, LogEvery: time.Second,
	}
}

// newFixture returns a pool with one replica, number 1, that is up.
func newFixture(t *testing.T, l config.Limits) *fixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &fixture{T: t, ln: ln, sink: &sink{results: make(chan exchange.Result, 1000), healthChecks: make(chan exchange.HealthCheck, 100)}}
	s.pool = New(&config.Config{Limits: l, Policy: policy.Config{ReportNames: []string{"cpu"}}}, s.sink, logrus.NewEntry(log))
	s.setState(policy.Up)
	t.Cleanup(func() { ln.Close(); s.pool.Close() })
	return s
}

// setState updates the state of the replica.
func (s *fixture) setState(state policy.Readiness) {
	s.pool.Update([]exchange.Target{{Replica: 1, Name: "r", Address: s.ln.Addr().String(), State: state}})
}

// accept waits for the next connection to the replica.
func (s *fixture) accept() *peer {
	s.Helper()
	s.ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	nc, err := s.ln.Accept()
	if err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() { nc.Close() })
	p := &peer{t: s.T, nc: nc, in: bufio.NewScanner(nc)}
	p.in.Split(frame.Split(1000))
	return p
}

// connCount returns the number of the pool's connections.
func (s *fixture) connCount() int {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.pool.openConns
}

// eventually waits until ok returns true and fails the test with the message what on a timeout.
func (s *fixture) eventually(what string, ok func() bool) {
	s.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.Fatal(what)
		}
	}
}

// attempt returns an attempt that is due in a minute.
func attempt(id string) *exchange.Attempt {
	return &exchange.Attempt{ID: id, Shard: 3, Text: []byte("q"), Due: time.Now().Add(time.Minute)}
}

// The parts of a call are sent in one frame, their answers may arrive in any order, and the connection is reused.
func TestCallAndAnswers(t *testing.T) {
	s := newFixture(t, testLimits())
	a, b := attempt("q.1"), attempt("q.2")
	s.pool.Send(1, []*exchange.Attempt{a, b})
	p := s.accept()
	if f := p.readFrame(); !strings.HasPrefix(f, "Aq.1 3 d=5") || strings.Count(f, "\n") != 2 {
		t.Fatalf("%q", f)
	}
	p.sendFrame("Eq.2 hit 7 util=0.5\nvalue 2")
	r := s.sink.nextResult(t)
	if r.Attempt != b || r.Outcome != policy.OK || r.Score != 7 || string(r.Value) != "value 2" || r.Report[0] != 0.5 {
		t.Fatalf("%+v", r)
	}
	p.sendFrame("Eq.1 fault - -\n")
	if r = s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.Failed {
		t.Fatalf("%+v", r)
	}
	c := attempt("q.3")
	s.pool.Send(1, []*exchange.Attempt{c})
	p.readFrame()
	p.sendFrame("Eq.3 overload - -\n")
	if r = s.sink.nextResult(t); r.Outcome != policy.Rejected {
		t.Fatalf("%+v", r)
	}
	if n := s.connCount(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// When a connection ends, a part whose frame was written may have run.
func TestBrokenConnectionOutcome(t *testing.T) {
	s := newFixture(t, testLimits())
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1"), attempt("q.2")})
	p := s.accept()
	p.readFrame()
	p.nc.Close()
	for range 2 {
		if r := s.sink.nextResult(t); r.Outcome != policy.ConnectionBroken {
			t.Fatalf("%+v", r)
		}
	}
}

// A part whose connection is refused has never run.
func TestRefusedConnectionOutcome(t *testing.T) {
	s := newFixture(t, testLimits())
	s.ln.Close()
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	if r := s.sink.nextResult(t); r.Outcome != policy.Unreachable {
		t.Fatalf("%+v", r)
	}
	s.eventually("the connection is still counted", func() bool { return s.connCount() == 0 })
}

// A frame that the end of the connection cuts off never arrived completely, so its part never ran; the bytes written decide.
func TestPartiallyWrittenFrameOutcome(t *testing.T) {
	l := testLimits()
	l.WriteTime = 50 * time.Millisecond
	s := newFixture(t, l)
	small, big := attempt("q.1"), attempt("q.2")
	big.Text = make([]byte, 64<<20) // more than the socket buffers hold for a peer that does not read
	s.pool.Send(1, []*exchange.Attempt{small})
	s.accept().readFrame()
	s.pool.Send(1, []*exchange.Attempt{big})
	got := map[string]policy.Outcome{}
	for range 2 {
		r := s.sink.nextResult(t)
		got[r.Attempt.ID] = r.Outcome
	}
	if got["q.1"] != policy.ConnectionBroken || got["q.2"] != policy.Unreachable {
		t.Fatalf("%v", got)
	}
}

// hangingAddress returns the address of a listener whose accept queue is full, so that dials to it hang as with a machine that
// does not respond.
func hangingAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	shrinkAcceptQueue(t, raw)
	for range 16 { // fill the queue; nothing accepts
		nc, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return ln.Addr().String()
		}
		t.Cleanup(func() { nc.Close() })
	}
	t.Skip("this machine completes every dial")
	return ""
}

// A part that waits for its connection must not be sent after it is cancelled or its replica starts to drain.
func TestWithdrawnPartIsNotSent(t *testing.T) {
	l := testLimits()
	l.ConnectTime = 30 * time.Second
	s := newFixture(t, l)
	s.pool.Update([]exchange.Target{{Replica: 2, Name: "h", Address: hangingAddress(t), State: policy.Up}})
	a, b, c := attempt("q.1"), attempt("q.2"), attempt("q.3")
	s.pool.Send(2, []*exchange.Attempt{a})
	s.pool.Send(2, []*exchange.Attempt{b})
	s.pool.Send(2, []*exchange.Attempt{c})
	if found, sent := s.pool.Cancel(a); !found || sent {
		t.Fatalf("found %v, sent %v", found, sent)
	}
	if !s.pool.CancelUnsent(b) || s.pool.CancelUnsent(b) {
		t.Fatal("an unsent part was not withdrawn exactly once")
	}
	s.pool.Update([]exchange.Target{{Replica: 2, Name: "h", Address: "127.0.0.1:1", State: policy.Draining}})
	if r := s.sink.nextResult(t); r.Attempt != c || r.Outcome != policy.NotSent {
		t.Fatalf("%+v", r)
	}
	s.sink.expectNoResult(t)
}

// If the process is suspended between the decision to send and the write, some parts may have expired. They must not be written
// and can be withdrawn as unsent; the other parts of the call must be sent.
func TestExpiredPartIsNotWritten(t *testing.T) {
	s := newFixture(t, testLimits())
	late, good := attempt("q.1"), attempt("q.2")
	late.Due = time.Now().Add(-time.Millisecond)
	s.pool.Send(1, []*exchange.Attempt{late, good})
	p := s.accept()
	if f := p.readFrame(); strings.Contains(f, "q.1") || !strings.Contains(f, "q.2") {
		t.Fatalf("frame %q", f)
	}
	if found, sent := s.pool.Cancel(late); !found || sent {
		t.Fatalf("found %v, sent %v", found, sent)
	}
	p.sendFrame("Eq.2 hit 1 -\nv")
	if r := s.sink.nextResult(t); r.Attempt != good || r.Outcome != policy.OK {
		t.Fatalf("%+v", r)
	}
	p.expectNoFrame() // no frame for the expired part, not even a cancellation
}

// A dial that hangs must not affect the parts of other replicas; its own parts never ran.
func TestHangingDialDoesNotAffectOtherReplicas(t *testing.T) {
	l := testLimits()
	l.ConnectTime = 300 * time.Millisecond
	s := newFixture(t, l)
	s.pool.Update([]exchange.Target{{Replica: 2, Name: "h", Address: hangingAddress(t), State: policy.Up}})
	lost, kept := attempt("q.1"), attempt("q.2")
	s.pool.Send(2, []*exchange.Attempt{lost})
	s.pool.Send(1, []*exchange.Attempt{kept})
	p := s.accept()
	p.readFrame()
	p.sendFrame("Eq.2 hit 1 -\nv")
	if r := s.sink.nextResult(t); r.Attempt != kept {
		t.Fatalf("%+v", r)
	}
	if r := s.sink.nextResult(t); r.Attempt != lost || r.Outcome != policy.Unreachable {
		t.Fatalf("%+v", r)
	}
}

// Cancelling a sent part must send a cancellation to the replica; an answer that crosses it is ignored.
func TestCancelSentPart(t *testing.T) {
	s := newFixture(t, testLimits())
	a := attempt("q.1")
	s.pool.Send(1, []*exchange.Attempt{a})
	p := s.accept()
	p.readFrame()
	if s.pool.CancelUnsent(a) {
		t.Fatal("a written part was withdrawn")
	}
	if found, sent := s.pool.Cancel(a); !found || !sent {
		t.Fatalf("found %v, sent %v", found, sent)
	}
	if f := p.readFrame(); f != "Bq.1" {
		t.Fatalf("%q", f)
	}
	p.sendFrame("Eq.1 hit 1 -\nlate")
	s.sink.expectNoResult(t)
	// Another id can use the same connection: the late answer did not end it.
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
	p.readFrame()
	if n := s.connCount(); n != 1 {
		t.Errorf("%d connections, want 1: the late answer ended one", n)
	}
}

// A part with the id of a cancelled one must use another connection, so that a late answer is not taken for its own.
func TestReusedIDTakesAnotherConnection(t *testing.T) {
	s := newFixture(t, testLimits())
	a := attempt("q.1")
	s.pool.Send(1, []*exchange.Attempt{a})
	p := s.accept()
	p.readFrame()
	s.pool.Cancel(a)
	p.readFrame()
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	second := s.accept()
	if f := second.readFrame(); !strings.HasPrefix(f, "Aq.1 ") {
		t.Fatalf("%q", f)
	}
	p.sendFrame("Eq.1 fault - -\n") // the late answer to the first
	s.sink.expectNoResult(t)
}

// A draining replica must get no new parts, may answer those it has, and its connection must then be closed.
func TestDrain(t *testing.T) {
	s := newFixture(t, testLimits())
	a := attempt("q.1")
	s.pool.Send(1, []*exchange.Attempt{a})
	p := s.accept()
	p.readFrame()
	s.setState(policy.Draining)
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
	if r := s.sink.nextResult(t); r.Outcome != policy.Unreachable {
		t.Fatalf("%+v", r)
	}
	p.expectNoFrame()
	p.in = bufio.NewScanner(p.nc)
	p.sendFrame("Eq.1 hit 1 -\nv")
	if r := s.sink.nextResult(t); r.Attempt != a || r.Outcome != policy.OK {
		t.Fatalf("%+v", r)
	}
	p.expectClosed()
}

// Health checks are answered in order, may ask for the load, and time out.
func TestHealthChecks(t *testing.T) {
	s := newFixture(t, testLimits())
	s.pool.CheckHealth(1)
	s.pool.CheckHealth(1)
	p := s.accept()
	if f := p.readFrame() + p.readFrame(); f != "CC" {
		t.Fatalf("%q", f)
	}
	p.sendFrame("Chit")
	if r := <-s.sink.healthChecks; r.Outcome != policy.OK || r.Replica != 1 {
		t.Fatalf("%+v", r)
	}
	p.sendFrame("Cfault")
	if r := <-s.sink.healthChecks; r.Outcome != policy.Failed {
		t.Fatalf("%+v", r)
	}
	s.pool.reportsByHealthCheck = true
	s.pool.CheckHealth(1)
	if f := p.readFrame(); f != "D" {
		t.Fatalf("%q", f)
	}
	p.sendFrame("Dutil=0.25")
	if r := <-s.sink.healthChecks; r.Outcome != policy.OK || r.Report[0] != 0.25 {
		t.Fatalf("%+v", r)
	}
	s.pool.limits.ProbeTime = 10 * time.Millisecond
	s.pool.CheckHealth(1)
	if r := <-s.sink.healthChecks; r.Outcome != policy.TimedOut {
		t.Fatalf("%+v", r)
	}
}

// Sends and cancels from several goroutines at once, for the race detector; each attempt must end exactly once.
func TestConcurrentCalls(t *testing.T) {
	s := newFixture(t, testLimits())
	go func() {
		for {
			nc, err := s.ln.Accept()
			if err != nil {
				return
			}
			go func() {
				p := &peer{t: t, nc: nc, in: bufio.NewScanner(nc)}
				p.in.Split(frame.Split(1000))
				for p.in.Scan() {
					if f := p.in.Text(); f[0] == 'A' {
						id, _, _ := strings.Cut(f[1:], " ")
						p.sendFrame("E" + id + " hit 1 -\nv")
					}
				}
			}()
		}
	}()
	var wg sync.WaitGroup
	const each = 50
	for g := range 4 {
		wg.Go(func() {
			for i := range each {
				a := attempt(fmt.Sprintf("%d-%d.1", g, i))
				s.pool.Send(1, []*exchange.Attempt{a})
				if i%5 == 0 {
					if found, _ := s.pool.Cancel(a); found {
						s.sink.AttemptEnded(exchange.Result{Attempt: a, Outcome: policy.Cancelled})
					}
				}
			}
		})
	}
	wg.Wait()
	for range 4 * each {
		s.sink.nextResult(t)
	}
	s.sink.expectNoResult(t)
}
