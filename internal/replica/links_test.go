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

// More parts than a connection may carry open another; at the most, they go on the least loaded.
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

// Guards against choosing a connection that is ending: whoever is told of its last good answer may send the next part in
// the same moment, and that part has to go to another one. It used to be told as unreachable.
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

// Guards against taking a connection that was cut for a machine that went down: while another one is open still its
// parts have failed and may have run. A process that ends takes all of them.
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
		s.eventually("the second is not up", func() bool {
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

// Guards against connections that have fallen silent and look idle, since their parts are given up early: one that has
// answered goes first, a new one is opened beside, and in the end it is left. An answer clears it.
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
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")}) // there is no other yet
	first.readFrame()
	second := s.accept()
	first.sendFrame("Eq.2 hit 1 -\nv") // in order after all
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
	for i := range 3 { // the one that said nothing has been idle longest, and stays unused
		s.pool.Send(1, []*exchange.Attempt{attempt(fmt.Sprint("r.", i))})
		peers[1].readFrame()
		peers[1].sendFrame(fmt.Sprint("Er.", i, " hit 1 -\nv"))
		s.sink.nextResult(t)
	}
	peers[0].expectClosed()
}

// Parts share a connection only while others come up: one spoilt answer takes along all that is out beside it.
func TestPartsAreSpreadOverConnections(t *testing.T) {
	l := testLimits()
	l.Spread = 2
	s := newFixture(t, l)
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	first := s.accept()
	first.readFrame()
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")}) // shares, and opens another
	first.readFrame()
	second := s.accept()
	s.eventually("the second is not up", func() bool {
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

// What is remembered of parts that have ended is forgotten in time.
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
	if k := s.pool.targets[1].conns[0]; len(k.lateParts) > 2 || len(k.lateOrder) != len(k.lateParts) {
		t.Errorf("%d and %d are remembered", len(k.lateParts), len(k.lateOrder))
	}
}

// A connection is left well before the replica closes it, and a replica that closes one while it is idle
// costs no part.
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
	s.eventually("the link stays", func() bool { return s.connCount() == 0 })
	s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
	p = s.accept()
	p.readFrame()
	p.sendFrame("Eq.2 hit 1 -\nv")
	s.sink.nextResult(t)
	p.nc.Close()
	s.eventually("the closed link stays", func() bool { return s.connCount() == 0 })
	s.sink.expectNoResult(t)
}

// Guards against machines that vanish: where parts are out and nothing was heard, new parts take a new
// connection, and the silent one goes when its parts have ended.
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

// At the limit of connections an idle one of another replica makes room; where none is idle, the part is told
// as never run.
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
