package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/policy"
)

func TestParse(t *testing.T) {
	l, index, problems, err := Parse([]byte(`{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","address":"127.0.0.1:8443","zone":"a",
		"type":"m2","group":3,"status":"Terminating","weight":1.5,"since_ms":1700000000123},{"name":"s-2","status":"Gone"}]}`))
	if err != nil || index != 43 || l.Full || len(l.Entries) != 2 || problems != nil {
		t.Fatalf("%+v %d %v", l, index, err)
	}
	e := l.Entries[0]
	if e.State != policy.Draining || e.Cell != 3 || e.Size != 1.5 || e.Started.UnixMilli() != 1700000000123 || e.Zone != "a" {
		t.Errorf("%+v", e)
	}
	if g := l.Entries[1]; g.State != policy.Removed || !g.Started.IsZero() {
		t.Errorf("%+v", g)
	}
	for _, bad := range []string{"", "{", "[]", `{"snapshot":true}`, `{"index":"x"}`} {
		if _, _, _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

// One odd entry does not hold back the news of the others.
func TestParseKeepsValidEntries(t *testing.T) {
	l, _, problems, err := Parse([]byte(`{"index":1,"endpoints":[{"name":"","address":"a:1","status":"Ready"},
		{"name":"b","address":"nowhere","status":"Ready"},{"name":"c","address":"a:1","status":"Odd"},
		{"name":"d","address":"a:1","status":"Gone"}]}`))
	if err != nil || len(problems) != 3 || len(l.Entries) != 2 {
		t.Fatalf("%+v %q %v", l, problems, err)
	}
	if l.Entries[0].State != policy.Draining || l.Entries[1].State != policy.Removed {
		t.Errorf("%+v", l.Entries)
	}
}

type testSink struct {
	lists  chan exchange.ReplicaList
	failed chan struct{}
}

func (s *testSink) UpdateReplicas(l exchange.ReplicaList) { s.lists <- l }
func (s *testSink) WatchFailed()                          { s.failed <- struct{}{} }

func (s *testSink) next(t *testing.T) exchange.ReplicaList {
	t.Helper()
	select {
	case l := <-s.lists:
		return l
	case <-time.After(testTimeout):
		t.Fatal("no list came")
	}
	panic("unreachable")
}

// agent stands in for discovery: the test answers each request by hand.
type manualAgent struct {
	*testing.T
	ln net.Listener
}

func (a *manualAgent) accept() (net.Conn, *bufio.Reader) {
	a.Helper()
	a.ln.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	nc, err := a.ln.Accept()
	if err != nil {
		a.Fatal(err)
	}
	a.Cleanup(func() { nc.Close() })
	return nc, bufio.NewReader(nc)
}

func (a *manualAgent) expectRequest(r *bufio.Reader, target string) {
	a.Helper()
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			a.Fatal(err)
		}
		if first && !strings.HasPrefix(line, "GET "+target+" HTTP/1.1") {
			a.Fatalf("asked %q, want %s", line, target)
		}
		if line == "\r\n" {
			return
		}
	}
}

func endpointJSON(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q}`, name, status)
}

func listJSON(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

func httpResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Limits for agents that answer by hand: in brisk a silence ends soon, in calm none ever does.
var (
	shortLimits = config.Limits{
		HeadBytes: 1000, BodyBytes: 1000, ListBytes: 1000, WatchSilence: 500 * time.Millisecond, AgentTime: 200 * time.Millisecond, LogEvery: time.Second,
		RedialFirst: time.Millisecond, RedialMost: 200 * time.Millisecond,
		CallTime: 200 * time.Millisecond, CallFirst: time.Millisecond, CallMost: 200 * time.Millisecond,
	}
	longLimits = config.Limits{
		HeadBytes: 1000, BodyBytes: 1000, ListBytes: 1000, WatchSilence: 2 * testTimeout, AgentTime: 2 * testTimeout, LogEvery: time.Second,
		RedialFirst: time.Millisecond, RedialMost: 200 * time.Millisecond,
		CallTime: 2 * testTimeout, CallFirst: time.Millisecond, CallMost: 200 * time.Millisecond,
	}
)

func startAgent(t *testing.T, onDemand bool) (*manualAgent, *testSink, *Client) {
	return startAgentWith(t, onDemand, shortLimits)
}

func startAgentWith(t *testing.T, onDemand bool, limits config.Limits) (*manualAgent, *testSink, *Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &testSink{make(chan exchange.ReplicaList, 10), make(chan struct{}, 10)}
	index := int64(5)
	if onDemand { // else the watch is opened at once: see TestSharedDiscoveryWatchesKnownListAtOnce
		index = NoIndex
	}
	c := New(&config.Config{Discovery: ln.Addr().String(), Policy: policy.Config{MustSubscribe: onDemand}, Limits: limits}, index, s, logrus.NewEntry(log))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); ln.Close(); <-done })
	return &manualAgent{t, ln}, s, c
}

// The whole list, then changes as they come, with empty lines between and lines cut across chunks; when the
// watch is silent over its pulse the list is had again.
func TestListThenWatch(t *testing.T) {
	a, s, c := startAgent(t, false)
	nc, r := a.accept()
	a.expectRequest(r, "/api/targets")
	io.WriteString(nc, httpResponse(listJSON(41, true, endpointJSON("a", "Ready"), endpointJSON("b", "Ready"))))
	if l := s.next(t); !l.Full || len(l.Entries) != 2 {
		t.Fatalf("%+v", l)
	}
	a.expectRequest(r, "/api/targets?watch=1&after=41")
	if !c.HasList() { // it is asked on only after the list was taken
		t.Error("the list does not count")
	}
	change := listJSON(43, false, endpointJSON("a", "Gone")) + "\n"
	io.WriteString(nc, watchHead+chunk("\n")+chunk(change[:20])+chunk(change[20:]+"\n"))
	if l := s.next(t); l.Full || l.Entries[0].State != policy.Removed {
		t.Fatalf("%+v", l)
	}
	io.WriteString(nc, chunk(listJSON(42, false, endpointJSON("b", "Gone"))+"\n")) // older than what is held
	nc, r = a.serveList(43, endpointJSON("b", "Ready"))                            // after the silence
	if l := s.next(t); !l.Full {
		t.Fatalf("%+v", l)
	}
	a.acceptWatch(nc, r, 43)
	io.WriteString(nc, chunk(listJSON(44, false, endpointJSON("b", "Terminating"))+"\n"))
	if l := s.next(t); l.Entries[0].Name != "b" || l.Entries[0].State != policy.Draining {
		t.Fatalf("%+v", l)
	}
}

// A line that can't be read is passed over; what it said comes with the whole list.
func TestInvalidObjectRequestsFullList(t *testing.T) {
	a, s, _ := startAgent(t, false)
	nc, r := a.accept()
	a.expectRequest(r, "/api/targets")
	io.WriteString(nc, httpResponse(listJSON(41, true, endpointJSON("a", "Ready"))))
	s.next(t)
	a.expectRequest(r, "/api/targets?watch=1&after=41")
	io.WriteString(nc, watchHead+chunk("nonsense\n"))
	nc, r = a.accept()
	a.expectRequest(r, "/api/targets")
	io.WriteString(nc, httpResponse(listJSON(42, true, endpointJSON("a", "Ready"))))
	if l := s.next(t); !l.Full {
		t.Fatalf("%+v", l)
	}
}

// Failures of every kind lead to a new try.
func TestFailedRequestsAreRetried(t *testing.T) {
	a, s, _ := startAgent(t, false)
	for _, answer := range []string{
		"", "nonsense\r\n\r\n", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", httpResponse("{"), httpResponse(strings.Repeat("x", 2000)),
		"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
	} {
		nc, r := a.accept()
		a.expectRequest(r, "/api/targets")
		io.WriteString(nc, answer)
		nc.Close()
	}
	nc, r := a.accept()
	a.expectRequest(r, "/api/targets")
	io.WriteString(nc, httpResponse(listJSON(41, true, endpointJSON("a", "Ready"))))
	s.next(t)
}

// Where the decisions ask for the list, nothing is asked before their word. They hear when it can't be had, again and
// again, while it is asked for no more often than the pace has it.
func TestSharedDiscoveryRequestsAreBounded(t *testing.T) {
	limits := shortLimits
	limits.CallFirst, limits.CallMost = 20*time.Millisecond, 100*time.Millisecond
	a, s, c := startAgentWith(t, true, limits)
	a.expectNoRequest()
	c.Watch()
	began, requests := time.Now(), 0
	for failures := 0; failures < 2; {
		a.ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Millisecond))
		if nc, err := a.ln.Accept(); err == nil {
			requests++
			nc.Close()
		}
		select {
		case <-s.failed:
			failures++
		default:
		}
	}
	// Waits are half at the least: 10, 20, 40 ms, and 50 from then on.
	if limit := int(time.Since(began)/(limits.CallMost/2)) + 4; requests > limit {
		t.Errorf("asked %d times, %d allowed", requests, limit)
	}
}

// quiet holds that nobody comes.
func (a *manualAgent) expectNoRequest() {
	a.Helper()
	a.ln.(*net.TCPListener).SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := a.ln.Accept(); err == nil {
		a.Fatal("asked without being told to")
	}
}

func newManualAgent(t *testing.T) *manualAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return &manualAgent{t, ln}
}

func (a *manualAgent) address() string { return a.ln.Addr().String() }

// lists takes a connection that asks for the whole list and answers it.
func (a *manualAgent) serveList(index int, entries ...string) (net.Conn, *bufio.Reader) {
	a.Helper()
	nc, r := a.accept()
	a.expectRequest(r, "/api/targets")
	io.WriteString(nc, httpResponse(listJSON(index, true, entries...)))
	return nc, r
}

// watched answers the watch that follows on the connection.
func (a *manualAgent) acceptWatch(nc net.Conn, r *bufio.Reader, index int) {
	a.Helper()
	a.expectRequest(r, fmt.Sprint("/api/targets?watch=1&after=", index))
	io.WriteString(nc, watchHead)
}

// ended tells that the other side has closed.
func (a *manualAgent) expectClosed(nc net.Conn) {
	a.Helper()
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := nc.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		a.Fatalf("still open: %v", err)
	}
}

// A move takes the whole list from the new address, whose versions count from anywhere, and until it has that the
// old address is heard. From then on the old one is left and its word counts no more.
func TestMove(t *testing.T) {
	a, s, c := startAgent(t, false)
	oldConn, r := a.serveList(41, endpointJSON("a", "Ready"), endpointJSON("b", "Ready"))
	s.next(t)
	a.acceptWatch(oldConn, r, 41)
	b := newManualAgent(t)
	c.Move(b.address())
	c.Move(b.address()) // told twice: nothing is begun anew
	nc, r := b.accept()
	b.expectRequest(r, "/api/targets")
	io.WriteString(oldConn, chunk(listJSON(42, false, endpointJSON("a", "Gone"))+"\n"))
	if l := s.next(t); l.Full || l.Entries[0].State != policy.Removed {
		t.Fatalf("%+v", l)
	}
	io.WriteString(nc, httpResponse(listJSON(3, true, endpointJSON("b", "Ready"))))
	if l := s.next(t); !l.Full || len(l.Entries) != 1 {
		t.Fatalf("%+v", l)
	}
	a.expectClosed(oldConn)
	b.acceptWatch(nc, r, 3)
	io.WriteString(nc, chunk(listJSON(4, false, endpointJSON("b", "Terminating"))+"\n"))
	if l := s.next(t); l.Entries[0].State != policy.Draining {
		t.Fatalf("%+v", l)
	}
	a.ln.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := a.ln.Accept(); err == nil {
		t.Error("the old address was dialled again")
	}
}

// Several moves at once end at the last address, and one that can't be had is tried again while the list goes on
// coming from the old one.
func TestLastMoveWins(t *testing.T) {
	a, s, c := startAgent(t, false)
	oldConn, r := a.serveList(41, endpointJSON("a", "Ready"))
	s.next(t)
	a.acceptWatch(oldConn, r, 41)
	intermediate, b, closed := newManualAgent(t), newManualAgent(t), newManualAgent(t)
	closed.ln.Close()
	c.Move(intermediate.address())
	nc, r := intermediate.accept()
	intermediate.expectRequest(r, "/api/targets")
	c.Move(closed.address())
	intermediate.expectClosed(nc)
	time.Sleep(20 * time.Millisecond)
	io.WriteString(oldConn, chunk(listJSON(42, false, endpointJSON("a", "Terminating"))+"\n"))
	if l := s.next(t); l.Entries[0].State != policy.Draining {
		t.Fatalf("%+v", l)
	}
	c.Move(b.address())
	b.serveList(1, endpointJSON("a", "Ready"), endpointJSON("z", "Ready"))
	if l := s.next(t); !l.Full || len(l.Entries) != 2 {
		t.Fatalf("%+v", l)
	}
	a.expectClosed(oldConn)
	c.Move(a.address()) // and back again: its versions are not those of before
	a.serveList(2, endpointJSON("a", "Ready"))
	if l := s.next(t); !l.Full || len(l.Entries) != 1 {
		t.Fatalf("%+v", l)
	}
}

// An agent that takes the connection and says nothing is left soon, also when the list moves to it.
func TestMoveToASilentAddress(t *testing.T) {
	_, s, c := startAgent(t, false)
	b := newManualAgent(t)
	c.Move(b.address())
	b.accept()
	b.serveList(1, endpointJSON("a", "Ready"))
	s.next(t)
}

// Where the decisions ask for the list, a move needs no word of theirs, and its failures are not told them while
// the old address is heard.
func TestMoveOfSharedDiscovery(t *testing.T) {
	a, s, c := startAgentWith(t, true, longLimits)
	c.Watch()
	oldConn, r := a.serveList(41, endpointJSON("a", "Ready"))
	s.next(t)
	a.acceptWatch(oldConn, r, 41)
	b := newManualAgent(t)
	c.Move(b.address())
	nc, _ := b.accept()
	nc.Close()
	nc, _ = b.serveList(1, endpointJSON("a", "Ready"))
	s.next(t)
	if len(s.failed) > 0 {
		t.Error("a failure of the move was told")
	}
	nc.Close()
	<-s.failed
	c.Watch()
	nc, r = b.accept()
	b.acceptWatch(nc, r, 1)
}
