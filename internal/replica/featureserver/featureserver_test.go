package featureserver_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/feature"
	"birchcart/internal/replica/featureserver"
	"birchcart/internal/standin"
	"birchcart/policy"
)

type sink struct {
	results chan exchange.Result
	probes  chan exchange.HealthCheck
}

func (s *sink) AttemptEnded(r exchange.Result)       { s.results <- r }
func (s *sink) HealthChecked(p exchange.HealthCheck) { s.probes <- p }

type stand struct {
	*testing.T
	pool   *featureserver.Pool
	sink   *sink
	server *standin.FeatureServer
}

func newStand(t *testing.T, change func(*config.Limits)) *stand {
	t.Helper()
	server, err := standin.NewFeatureServer(standin.MakeCounts(1, []standin.Place{standin.PlaceOf(3), standin.PlaceOf(4)}, 20))
	if err != nil {
		t.Fatal(err)
	}
	l := config.Limits{
		ReplicaLinks: 4, PerReplica: 4, FrameBytes: 68 << 10, HeadBytes: 16 << 10, ConnectTime: time.Second, FrameTime: 300 * time.Millisecond,
		ReplicaIdle: time.Minute, ProbeTime: time.Second, WriteTime: time.Second, LogEvery: time.Second,
	}
	if change != nil {
		change(&l)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &stand{T: t, sink: &sink{make(chan exchange.Result, 100), make(chan exchange.HealthCheck, 10)}, server: server}
	s.pool = featureserver.New(l, s.sink, logrus.NewEntry(log))
	s.set(server.Address(), policy.Up)
	t.Cleanup(func() { s.pool.Close(); server.Close() })
	return s
}

func (s *stand) set(address string, state policy.Readiness) {
	s.pool.Update([]exchange.Target{{Replica: 1, Name: "f", Kind: "ogc", Address: address, State: state}})
}

func (s *stand) send(wait time.Duration) *exchange.Attempt {
	r := feature.Request{Collection: "counts", Squares: map[int][]string{3: {"S-03"}}, Limit: 100, Filter: "count > 0"}
	a := &exchange.Attempt{ID: "q.3", Shard: 3, Text: r.Encode(), Due: time.Now().Add(wait)}
	s.pool.Send(1, []*exchange.Attempt{a})
	return a
}

func (s *stand) next() exchange.Result {
	s.Helper()
	select {
	case r := <-s.sink.results:
		return r
	case <-time.After(5 * time.Second):
		s.Fatal("no result came")
	}
	panic("unreachable")
}

// Each way in which a server may answer, and the proof that it gives.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		do   standin.Answers
		want policy.Outcome
	}{
		"soundly": {standin.Soundly, policy.OK}, "truncated": {standin.Truncated, policy.Failed}, "bad JSON": {standin.BadJSON, policy.Failed},
		"wrong type": {standin.WrongType, policy.Failed}, "redirect": {standin.Redirect, policy.Failed}, "60 MB": {standin.Huge, policy.Failed},
		"another square": {standin.OtherSquare, policy.Failed}, "500": {standin.Error500, policy.Failed},
		"refused with proof": {standin.Refusing, policy.Rejected}, "refused without": {standin.Refusing503, policy.Failed},
		"closed": {standin.Closing, policy.ConnectionBroken}, "crawling": {standin.Crawling, policy.Failed}, "hanging": {standin.Hanging, policy.ConnectionBroken},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStand(t, nil)
			s.server.Set(c.do)
			began := time.Now()
			a := s.send(400 * time.Millisecond)
			r := s.next()
			if r.Attempt != a || r.Outcome != c.want || time.Since(began) > 3*time.Second {
				t.Errorf("outcome %d after %v, want %d", r.Outcome, time.Since(began), c.want)
			}
			if c.want == policy.OK {
				v, err := feature.Read(r.Value, &feature.Request{Limit: 100, Squares: map[int][]string{3: {"S-03"}}}, 3)
				if err != nil || len(v.Features) != 20 || v.Matched != 20 || v.More {
					t.Errorf("%v, %+v", err, v)
				}
			}
			if s.server.Asked() != 1 {
				t.Errorf("it was asked %d times", s.server.Asked())
			}
		})
	}
}

// Connections are used again, and one that the server has closed meanwhile is seen before anything is written.
func TestKeptConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := newStand(t, nil)
	s.set(ln.Addr().String(), policy.Up)
	const empty = `{"type":"FeatureCollection","features":[]}`
	answer := func(nc net.Conn) {
		buf := make([]byte, 4096)
		n, err := nc.Read(buf)
		if err != nil || !strings.HasPrefix(string(buf[:n]), "GET /collections/counts/items?") {
			t.Errorf("%v %q", err, buf[:n])
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: application/geo+json\r\nContent-Length: 42\r\n\r\n"+empty)
	}
	s.send(time.Second)
	first, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	answer(first)
	if r := s.next(); r.Outcome != policy.OK {
		t.Fatalf("%+v", r)
	}
	s.send(time.Second)
	answer(first)
	if r := s.next(); r.Outcome != policy.OK {
		t.Fatalf("%+v", r)
	}
	first.Close()
	time.Sleep(20 * time.Millisecond)
	s.send(time.Second)
	second, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	answer(second)
	if r := s.next(); r.Outcome != policy.OK {
		t.Errorf("%+v", r)
	}
}

func TestUnreachableAndWithdrawn(t *testing.T) {
	s := newStand(t, nil)
	s.set("127.0.0.1:1", policy.Up)
	s.send(time.Second)
	if r := s.next(); r.Outcome != policy.Unreachable {
		t.Errorf("%+v", r)
	}
	s.set(s.server.Address(), policy.Up)
	s.server.Set(standin.Hanging)
	a := s.send(time.Minute)
	for end := time.Now().Add(5 * time.Second); s.server.Asked() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if s.pool.CancelUnsent(a) {
		t.Error("what was written can't be unsent")
	}
	if found, sent := s.pool.Cancel(a); !found || !sent {
		t.Errorf("found %v, sent %v", found, sent)
	}
	if found, _ := s.pool.Cancel(a); found {
		t.Error("withdrawn twice")
	}
	s.set(s.server.Address(), policy.Draining)
	s.send(time.Second)
	if r := s.next(); r.Outcome != policy.Unreachable || s.server.Asked() != 1 {
		t.Errorf("%+v; a draining server was asked %d times", r, s.server.Asked())
	}
}

// No more connections than its share, and the one that is idle makes room.
func TestConnectionsAreBounded(t *testing.T) {
	s := newStand(t, func(l *config.Limits) { l.ReplicaLinks = 2 })
	s.server.Set(standin.Hanging)
	for range 3 {
		s.send(300 * time.Millisecond)
	}
	if r := s.next(); r.Outcome != policy.Unreachable {
		t.Errorf("%+v", r)
	}
	for range 2 {
		s.next()
	}
	s.server.Set(standin.Soundly)
	s.send(time.Second)
	if r := s.next(); r.Outcome != policy.OK {
		t.Errorf("%+v", r)
	}
	s.pool.CheckHealth(1)
	if p := <-s.sink.probes; p.Outcome != policy.OK {
		t.Errorf("%+v", p)
	}
}

// A part waits while a change of the list is pending; one that tells of the server's drain takes it back.
func TestAPartWaitsForAPendingList(t *testing.T) {
	for name, drains := range map[string]bool{"of others": false, "of its drain": true} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t, nil)
			looks, pending := make(chan struct{}, 1000), atomic.Bool{}
			pending.Store(true)
			s.pool.HoldForList(func() bool { looks <- struct{}{}; return pending.Load() })
			a := s.send(5 * time.Second)
			for range 10 {
				<-looks
			}
			want := policy.OK
			if drains {
				s.set(s.server.Address(), policy.Draining)
				want = policy.NotSent
			}
			pending.Store(false)
			if r := s.next(); r.Attempt != a || r.Outcome != want {
				t.Errorf("%+v", r)
			}
		})
	}
}
