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

// What a replica says wrongly ends its connection. The part that it was for has failed and may have run; where it
// can be told, the others were only given up with the connection. That a replica could not use a frame of ours is
// another matter: its machine closes.
func TestBadFramesEndTheConnection(t *testing.T) {
	const failed, revoked, broken = policy.Failed, policy.Cancelled, policy.ConnectionBroken
	for bad, want := range map[string][2]policy.Outcome{
		"": {failed, failed}, "Z": {failed, failed}, "E": {failed, failed}, "C": {failed, failed},
		"E" + strings.Repeat("x", 1000): {failed, failed}, "Eq.9 hit 1 -\nx": {failed, failed},
		"Eq.1 hit\n": {failed, revoked}, "Eq.1 maybe 1 -\nx": {failed, revoked}, "Eq.1 hit x -\nx": {failed, revoked},
		"Eq.1 hit 1 -\nv\x00\x00\x00\x10Eq.2 hit 1 -\nv": {failed, revoked}, "Eq.1 hit 1 -\n\xff": {failed, revoked},
		"F no": {broken, broken},
	} {
		s := newStand(t, testLimits())
		s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
		p := s.accept()
		p.frame()
		s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
		p.frame()
		p.say(bad)
		got := map[string]policy.Outcome{}
		for range 2 {
			r := s.sink.next(t)
			got[r.Attempt.ID] = r.Outcome
		}
		if got["q.1"] != want[0] || got["q.2"] != want[1] {
			t.Errorf("%q: %v, want %v", bad, got, want)
		}
		p.ended()
	}
}

// Guards against frames that begin and do not go on, or only in trickles: they would hold all parts of their
// connection until the end of each.
func TestAStalledFrameEndsTheConnection(t *testing.T) {
	l := testLimits()
	l.FrameTime = 60 * time.Millisecond
	s := newStand(t, l)
	s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
	p := s.accept()
	p.frame()
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
	if r := s.sink.next(t); r.Outcome != policy.Failed || time.Since(began) > time.Second {
		t.Fatalf("%+v after %v", r, time.Since(began))
	}
	s.eventually("the link stays", func() bool { return s.links() == 0 })
}

// A good answer counts whatever comes behind it, and the connection on which that came gets no further part: it was
// looked at before the answer was told. A second copy leaves the connection as it is.
func TestWhatComesBehindAGoodAnswer(t *testing.T) {
	frame := func(text string) string { return string([]byte{0, 0, 0, byte(len(text))}) + text }
	good := frame("Eq.1 hit 1 -\nv")
	for behind, kept := range map[string]bool{
		good: true, "\x00\x00": false, "\x00\x00\x00\x05noise"[:7]: false, "no": false, "noise": false,
		frame("Znoise"): false, frame("Eq.7 hit 1 -\nv"): false,
	} {
		s := newStand(t, testLimits())
		s.pool.Send(1, []*exchange.Attempt{attempt("q.1")})
		p := s.accept()
		p.frame()
		io.WriteString(p.nc, good+behind)
		if r := s.sink.next(t); r.Outcome != policy.OK || string(r.Value) != "v" {
			t.Errorf("%q: %+v", behind, r)
		}
		s.pool.Send(1, []*exchange.Attempt{attempt("q.2")})
		if kept {
			p.frame()
			p.say("Eq.1 hit 1 -\nv") // even once more, and late
			p.say("Eq.2 hit 1 -\nv")
		} else {
			next := s.accept()
			next.frame()
			next.say("Eq.2 hit 1 -\nv")
			p.ended()
		}
		if r := s.sink.next(t); r.Attempt.ID != "q.2" || r.Outcome != policy.OK {
			t.Errorf("%q: %+v", behind, r)
		}
		s.sink.none(t)
	}
}

// A load report that can't be read is no report, and its answer is as good without.
func TestABadReportIsNoReport(t *testing.T) {
	s := newStand(t, testLimits())
	var p *peer
	for i, report := range []string{"=", "cpu", "cpu=NaN", "cpu=Inf", "cpu=-1", "cpu=0x", "two words"} {
		s.pool.Send(1, []*exchange.Attempt{attempt(fmt.Sprint("q.", i))})
		if p == nil {
			p = s.accept()
		}
		p.frame()
		p.say(fmt.Sprint("Eq.", i, " hit 1 ", report, "\nv"))
		if r := s.sink.next(t); r.Outcome != policy.OK || r.Report != nil {
			t.Errorf("%q: %+v", report, r)
		}
	}
	s.pool.reportsByHealthCheck = true
	s.pool.CheckHealth(1)
	p.frame()
	p.say("Dcpu=NaN")
	if r := <-s.sink.probes; r.Outcome != policy.OK || r.Report != nil {
		t.Errorf("%+v", r)
	}
}
