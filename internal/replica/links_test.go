package replica

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/frame"
	"birchcart/policy"
)

// Parts beyond the limit of a connection must open another one; at the limit of connections they use the least loaded.
func TestPartsPerConnection(t *testing.T) {
	s := newFixture(t, testLimits())
	for i := range 5 {
		s.pool.Send(1, []*exchange.Attempt{attempt(fmt.Sprint("q.", i))})
	}
	first, second := s.accept(), s.accept()
	if first.nc.RemoteAddr().String() > second.nc.RemoteAddr().String() {
		first, second = second, first
	}
	n := 0
	for range 4 {
		first.nc.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if first.in.Scan() {
			n++
		}
	}
	if n != 4 && n != 1 {
		t.Errorf("%d parts on one connection", n)
	}
}

// Guards against choosing a connection that is ending: the receiver of its last valid answer may send the next part at once. That
// part must use another connection; on the ending one it would be reported as unreachable.
func TestNextPartAvoidsClosingConnection(t *testing.T) {
	s := newFixture(t, testLimits())
	s.sink.onResult = func(r exchange.Result) {
		if r.Attempt.ID == "q.1" {
			s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
		}
	}
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.readFrame()
	both := "\x00\x00\x00\x0eEq.1 hit 1 -\nv" + "\x00\x00\x00\x06Znoise"
	io.WriteString(p.nc, both)
	if r := s.sink.nextResult(t); r.Attempt.ID != "q.1" || r.Outcome != policy.OK {
		t.Fatalf("%+v", r)
	}
	next := s.accept()
	next.readFrame()
	next.sendFrame("Eq.2 hit 1 -\nv")
	if r := s.sink.nextResult(t); r.Attempt.ID != "q.2" || r.Outcome != policy.OK {
		t.Errorf("%+v", r)
	}
}

// Guards against treating a reset connection as a replica that went down. While another connection to the replica is open, the
// parts of the reset one have failed and may have run. If all connections end, the process has ended and they are broken.
func TestOneOfSeveralConnectionsIsReset(t *testing.T) {
	for _, all := range []bool{false, true} {
		l := testLimits()
		l.Spread, l.SiblingTime = 2, 20*time.Millisecond
		s := newFixture(t, l)
		s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
		first := s.accept()
		first.readFrame()
		s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
		first.readFrame()
		second := s.accept()
		s.eventually("the second connection did not open", func() bool {
			s.pool.mu.Lock()
			defer s.pool.mu.Unlock()
			return len(s.pool.targets[1].conns) == 2 && s.pool.targets[1].conns[1].conn != nil
		})
		s.pool.Send(1, []*exchange.Attempt{attempt("q.3")})
		second.readFrame()
		first.nc.(*net.TCPConn).SetLinger(0)
		first.nc.Close()
		want, n := policy.Failed, 2
		if all {
			second.nc.Close()
			want, n = policy.ConnectionBroken, 3
		}
		for range n {
			if r := s.sink.nextResult(t); r.Outcome != want {
				t.Errorf("all %v: %+v", all, r)
			}
		}
	}
}

// Guards against silent connections that look idle because their parts are cancelled early: connections that have answered must be
// preferred, a new one must be opened, and the silent one must be closed in the end. An answer makes it regular again.
func TestUnansweredConnectionIsUsedLast(t *testing.T) {
	l := testLimits()
	l.Spread, l.Silence = 2, 200*time.Millisecond
	s := newFixture(t, l)
	a := attempt("q.1")
	s.pool.Send(1, []*exchange.Attempt{a})
	first := s.accept()
	first.readFrame()
	s.pool.Cancel(a)
	first.readFrame()
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")}) // there is no other connection yet
	first.readFrame()
	second := s.accept()
	first.sendFrame("Eq.2 hit 1 -\nv") // the connection works after all
	s.sink.nextResult(t)
	b := attempt("q.3")
	s.pool.Send(1, []*exchange.Attempt{b})
	peers := [2]*peer{first, second}
	if second.nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); second.in.Scan() {
		peers = [2]*peer{second, first}
	} else {
		second.in = bufio.NewScanner(second.nc)
		second.in.Split(frame.Split(1000))
		first.readFrame()
	}
	s.pool.Cancel(b)
	peers[0].readFrame()
	for i := range 3 { // the unanswered connection has been idle longest and must stay unused
		s.pool.Send(1, []*exchange.Attempt{attempt(fmt.Sprint("r.", i))})
		peers[1].readFrame()
		peers[1].sendFrame(fmt.Sprint("Er.", i, " hit 1 -\nv"))
		s.sink.nextResult(t)
	}
	peers[0].expectClosed()
}

// Parts may share a connection only while others are being dialed, because one malformed answer ends all parts on its connection.
func TestPartsAreSpreadOverConnections(t *testing.T) {
	l := testLimits()
	l.Spread = 2
	s := newFixture(t, l)
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	first := s.accept()
	first.readFrame()
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")}) // shares the connection and opens another
	first.readFrame()
	second := s.accept()
	s.eventually("the second connection did not open", func() bool {
		s.pool.mu.Lock()
		defer s.pool.mu.Unlock()
		return len(s.pool.targets[1].conns) == 2 && s.pool.targets[1].conns[1].conn != nil
	})
	s.pool.Send(1, []*exchange.Attempt{attempt("q.3")})
	second.readFrame()
	second.sendFrame("Z")
	if r := s.sink.nextResult(t); r.Attempt.ID != "q.3" {
		t.Fatalf("%+v", r)
	}
	first.sendFrame("Eq.2 hit 1 -\nv")
	first.sendFrame("Eq.1 hit 1 -\nv")
	for range 2 {
		if r := s.sink.nextResult(t); r.Outcome != policy.OK {
			t.Fatalf("%+v", r)
		}
	}
}

// The records of ended parts must be dropped after the Remember limit.
func TestEndedPartsAreForgotten(t *testing.T) {
	l := testLimits()
	l.Remember = time.Millisecond
	s := newFixture(t, l)
	for i := range 50 {
		s.pool.Send(1, []*exchange.Attempt{attempt(fmt.Sprint("q.", i))})
		if i == 0 {
			p := s.accept()
			go func() {
				for p.in.Scan() {
					id, _, _ := strings.Cut(p.in.Text()[1:], " ")
					p.sendFrame("E" + id + " hit 1 -\nv")
				}
			}()
		}
		s.sink.nextResult(t)
		time.Sleep(2 * time.Millisecond)
	}
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	if rc := s.pool.targets[1].conns[0]; len(rc.lateParts) > 2 || len(rc.lateOrder) != len(rc.lateParts) {
		t.Errorf("%d parts and %d ids are recorded", len(rc.lateParts), len(rc.lateOrder))
	}
}

// The pool must close an idle connection after the ReplicaIdle limit, before the replica would, and a replica that closes an
// idle connection must cause no part to fail.
func TestIdleConnections(t *testing.T) {
	l := testLimits()
	l.ReplicaIdle = 50 * time.Millisecond
	s := newFixture(t, l)
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.readFrame()
	p.sendFrame("Eq.1 hit 1 -\nv")
	s.sink.nextResult(t)
	p.expectClosed()
	s.eventually("the connection is still open", func() bool { return s.connCount() == 0 })
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
	p = s.accept()
	p.readFrame()
	p.sendFrame("Eq.2 hit 1 -\nv")
	s.sink.nextResult(t)
	p.nc.Close()
	s.eventually("the connection that the replica closed is still counted", func() bool { return s.connCount() == 0 })
	s.sink.expectNoResult(t)
}

// Guards against machines that disappear: if parts are outstanding and nothing has been read for the silence limit, new parts must
// use a new connection, and the silent one must be closed when its parts have ended.
func TestSilentConnectionGetsNoNewPart(t *testing.T) {
	l := testLimits()
	l.Silence = 20 * time.Millisecond
	s := newFixture(t, l)
	a := attempt("q.1")
	s.pool.Send(1, []*exchange.Attempt{a})
	p := s.accept()
	p.readFrame()
	time.Sleep(40 * time.Millisecond)
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
	second := s.accept()
	if f := second.readFrame(); !strings.HasPrefix(f, "Aq.2 ") {
		t.Fatalf("%q", f)
	}
	s.pool.Cancel(a)
	p.readFrame()
	p.expectClosed()
}

// At the limit of connections, an idle connection to another replica must be closed for a new one; if none is idle, the part must
// end as unreachable.
func TestConnectionLimit(t *testing.T) {
	l := testLimits()
	l.ReplicaLinks = 1
	s := newFixture(t, l)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	s.pool.Update([]exchange.Target{{Replica: 2, Name: "o", Address: other.Addr().String(), State: policy.Up}})
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.readFrame()
	s.pool.Send(2, []*exchange.Attempt{attempt("q.2")})
	if r := s.sink.nextResult(t); r.Outcome != policy.Unreachable {
		t.Fatalf("%+v", r)
	}
	p.sendFrame("Eq.1 hit 1 -\nv")
	s.sink.nextResult(t)
	s.pool.Send(2, []*exchange.Attempt{attempt("q.3")})
	p.expectClosed()
	nc, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
}
