package replica

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"birchcart/internal/exchange"
	"birchcart/policy"
)

// A malformed frame from a replica must end its connection. The part that it answers has failed and may have run; if that part
// can be identified, the others on the connection count as cancelled, otherwise all have failed. An F frame says that the
// replica rejected a frame of this side; the replica closes the connection then, so the connection counts as broken.
func TestMalformedFrameClosesConnection(t *testing.T) {
	const failed, cancelled, broken = policy.Failed, policy.Cancelled, policy.ConnectionBroken
	for bad, want := range map[string][2]policy.Outcome{
		"": {failed, failed}, "Z": {failed, failed}, "E": {failed, failed}, "C": {failed, failed},
		"E" + strings.Repeat("x", 1000): {failed, failed}, "Eq.9 hit 1 -\nx": {failed, failed},
		"Eq.1 hit\n": {failed, cancelled}, "Eq.1 maybe 1 -\nx": {failed, cancelled}, "Eq.1 hit x -\nx": {failed, cancelled},
		"Eq.1 hit 1 -\nv\x00\x00\x00\x10Eq.2 hit 1 -\nv": {failed, cancelled}, "Eq.1 hit 1 -\n\xff": {failed, cancelled},
		"F no": {broken, broken},
	} {
		s := newFixture(t, testLimits())
		s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
		p := s.accept()
		p.readFrame()
		s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
		p.readFrame()
		p.sendFrame(bad)
		got := map[string]policy.Outcome{}
		for range 2 {
			r := s.sink.nextResult(t)
			got[r.Attempt.ID] = r.Outcome
		}
		if got["q.1"] != want[0] || got["q.2"] != want[1] {
			t.Errorf("%q: %v, want %v", bad, got, want)
		}
		p.expectClosed()
	}
}

// Guards against frames that stall or arrive byte by byte: they would delay all parts of their connection until the deadlines
// of the parts.
func TestStalledFrameClosesConnection(t *testing.T) {
	l := testLimits()
	l.FrameTime = 60 * time.Millisecond
	s := newFixture(t, l)
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.readFrame()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for _, b := range []byte("\x00\x00\x00\x10Eq.1 hit 1 -\nv") {
			p.nc.Write([]byte{b})
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	began := time.Now()
	if r := s.sink.nextResult(t); r.Outcome != policy.Failed || time.Since(began) > time.Second {
		t.Fatalf("%+v after %v", r, time.Since(began))
	}
	s.eventually("the connection is still open", func() bool { return s.connCount() == 0 })
}

// A valid answer counts whatever bytes follow it. If other bytes follow, the connection must get no further part, because they
// are processed before the answer is reported. A second copy of the answer must leave the connection in use.
func TestBytesAfterValidAnswer(t *testing.T) {
	frame := func(text string) string { return string([]byte{0, 0, 0, byte(len(text))}) + text }
	good := frame("Eq.1 hit 1 -\nv")
	for trailing, reused := range map[string]bool{
		good: true, "\x00\x00": false, "\x00\x00\x00\x05noise"[:7]: false, "no": false, "noise": false,
		frame("Znoise"): false, frame("Eq.7 hit 1 -\nv"): false,
	} {
		s := newFixture(t, testLimits())
		s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
		p := s.accept()
		p.readFrame()
		io.WriteString(p.nc, good+trailing)
		if r := s.sink.nextResult(t); r.Outcome != policy.OK || string(r.Value) != "v" {
			t.Errorf("%q: %+v", trailing, r)
		}
		s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
		if reused {
			p.readFrame()
			p.sendFrame("Eq.1 hit 1 -\nv") // a late third copy
			p.sendFrame("Eq.2 hit 1 -\nv")
		} else {
			next := s.accept()
			next.readFrame()
			next.sendFrame("Eq.2 hit 1 -\nv")
			p.expectClosed()
		}
		if r := s.sink.nextResult(t); r.Attempt.ID != "q.2" || r.Outcome != policy.OK {
			t.Errorf("%q: %+v", trailing, r)
		}
		s.sink.expectNoResult(t)
	}
}

// An invalid load report must be ignored; its answer counts without the report.
func TestMalformedReportIsIgnored(t *testing.T) {
	s := newFixture(t, testLimits())
	var p *peer
	for i, report := range []string{"=", "cpu", "cpu=NaN", "cpu=Inf", "cpu=-1", "cpu=0x", "two words"} {
		s.pool.Send(1, []*exchange.Attempt{attempt(fmt.Sprint("q.", i))})
		if p == nil {
			p = s.accept()
		}
		p.readFrame()
		p.sendFrame(fmt.Sprint("Eq.", i, " hit 1 ", report, "\nv"))
		if r := s.sink.nextResult(t); r.Outcome != policy.OK || r.Report != nil {
			t.Errorf("%q: %+v", report, r)
		}
	}
	s.pool.reportsByHealthCheck = true
	s.pool.CheckHealth(1)
	p.readFrame()
	p.sendFrame("Dcpu=NaN")
	if r := <-s.sink.healthChecks; r.Outcome != policy.OK || r.Report != nil {
		t.Errorf("%+v", r)
	}
}
