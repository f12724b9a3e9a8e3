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
		t.Fatalf("unexpected result: list %+v, index %d, error %v", l, index, err)
	}
	e := l.Entries[0]
	if e.State != policy.Draining || e.Cell != 3 || e.Size != 1.5 || e.Started.UnixMilli() != 1700000000123 || e.Zone != "a" {
		t.Errorf("unexpected entry: %+v", e)
	}
	if g := l.Entries[1]; g.State != policy.Removed || !g.Started.IsZero() {
		t.Errorf("unexpected removed entry: %+v", g)
	}
	for _, bad := range []string{"", "{", "[]", `{"snapshot":true}`, `{"index":"x"}`} {
		if _, _, _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("Parse(%q) returned no error", bad)
		}
	}
}

// Guards against one invalid entry that blocks the changes of the other replicas.
func TestParseKeepsValidEntries(t *testing.T) {
	l, _, problems, err := Parse([]byte(`{"index":1,"endpoints":[{"name":"","address":"a:1","status":"Ready"},
		{"name":"b","address":"nowhere","status":"Ready"},{"name":"c","address":"a:1","status":"Odd"},
		{"name":"d","address":"a:1","status":"Gone"}]}`))
	if err != nil || len(problems) != 3 || len(l.Entries) != 2 {
		t.Fatalf("unexpected result: list %+v, problems %q, error %v", l, problems, err)
	}
	if l.Entries[0].State != policy.Draining || l.Entries[1].State != policy.Removed {
		t.Errorf("unexpected entries: %+v", l.Entries)
	}
}

// testSink records the lists and the failures that a client passes on.
type testSink struct {
	lists  chan exchange.ReplicaList
	failed chan struct{}
}

func (s *testSink) UpdateReplicas(l exchange.ReplicaList) { s.lists <- l }
func (s *testSink) WatchFailed()                          { s.failed <- struct{}{} }

// next waits for the next list.
func (s *testSink) next(t *testing.T) exchange.ReplicaList {
	t.Helper()
	select {
	case l := <-s.lists:
		return l
	case <-time.After(testTimeout):
		t.Fatal("no list was received")
	}
	panic("unreachable")
}

// manualAgent is an agent whose responses the test writes one by one.
type manualAgent struct {
	*testing.T
	ln net.Listener
}

// accept waits for the next connection.
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

// expectRequest reads the head of a request, which must be for the target.
func (a *manualAgent) expectRequest(r *bufio.Reader, target string) {
	a.Helper()
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			a.Fatal(err)
		}
		if first && !strings.HasPrefix(line, "GET "+target+" HTTP/1.1") {
			a.Fatalf("request line %q, want target %s", line, target)
		}
		if line == "\r\n" {
			return
		}
	}
}

// endpointJSON returns the JSON of one replica.
func endpointJSON(name, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q}`, name, status)
}

// listJSON returns the JSON of a full list or of a change.
func listJSON(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

// httpResponse returns a complete response with a body.
func httpResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// chunk returns a text as one chunk of a chunked response.
func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// watchHead is the head of the response to a watch.
const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Limits for tests with a manualAgent: with shortLimits a silent connection times out soon, with longLimits never during a test.
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

// startAgent starts a manualAgent and a client of it with shortLimits.
func startAgent(t *testing.T, onDemand bool) (*manualAgent, *testSink, *Client) {
	return startAgentWith(t, onDemand, shortLimits)
}

// startAgentWith is startAgent with other limits.
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
	if onDemand { // with an index, the client would request a watch first: see TestSharedDiscoveryWatchesKnownListAtOnce
		index = NoIndex
	}
	c := New(&config.Config{Discovery: ln.Addr().String(), Policy: policy.Config{MustSubscribe: onDemand}, Limits: limits}, index, s, logrus.NewEntry(log))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); ln.Close(); <-done })
	return &manualAgent{t, ln}, s, c
}

// The client must read the full list and then each change at once, with empty lines between them and lines split across chunks.
// After an object with an index below the current one it must request the full list again.
func TestListThenWatch(t *testing.T) {
	a, s, c := startAgent(t, false)
	nc, r := a.accept()
	a.expectRequest(r, "/api/targets")
	io.WriteString(nc, httpResponse(listJSON(41, true, endpointJSON("a", "Ready"), endpointJSON("b", "Ready"))))
	if l := s.next(t); !l.Full || len(l.Entries) != 2 {
		t.Fatalf("unexpected list: %+v", l)
	}
	a.expectRequest(r, "/api/targets?watch=1&after=41")
	if !c.HasList() { // the client requests the watch after it has applied the list
		t.Error("HasList is false after the full list")
	}
	change := listJSON(43, false, endpointJSON("a", "Gone")) + "\n"
	io.WriteString(nc, watchHead+chunk("\n")+chunk(change[:20])+chunk(change[20:]+"\n"))
	if l := s.next(t); l.Full || l.Entries[0].State != policy.Removed {
		t.Fatalf("unexpected list: %+v", l)
	}
	io.WriteString(nc, chunk(listJSON(42, false, endpointJSON("b", "Gone"))+"\n")) // below the current index, so it is not applied
	nc, r = a.serveList(43, endpointJSON("b", "Ready"))                            // the client closes the watch and requests the full list
	if l := s.next(t); !l.Full {
		t.Fatalf("unexpected list: %+v", l)
	}
	a.acceptWatch(nc, r, 43)
	io.WriteString(nc, chunk(listJSON(44, false, endpointJSON("b", "Terminating"))+"\n"))
	if l := s.next(t); l.Entries[0].Name != "b" || l.Entries[0].State != policy.Draining {
		t.Fatalf("unexpected list: %+v", l)
	}
}

// An invalid object in a watch must lead to a request for the full list, which holds what the object would have reported.
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
		t.Fatalf("unexpected list: %+v", l)
	}
}

// A failed request of any kind must be retried.
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

// With a shared discovery, the client must send no request before the policy requests a watch. While requests fail, the policy must
// be notified repeatedly, and the requests must stay within the backoff.
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
	// With jitter, a backoff is at least half its length: 10, 20 and 40 ms, and 50 ms from then on.
	if limit := int(time.Since(began)/(limits.CallMost/2)) + 4; requests > limit {
		t.Errorf("%d requests, want at most %d", requests, limit)
	}
}

// expectNoRequest fails the test if a connection arrives within 50 ms.
func (a *manualAgent) expectNoRequest() {
	a.Helper()
	a.ln.(*net.TCPListener).SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := a.ln.Accept(); err == nil {
		a.Fatal("the client connected before the policy requested a watch")
	}
}

// newManualAgent starts an agent without a client.
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

// serveList accepts a connection and answers its request for the full list.
func (a *manualAgent) serveList(index int, entries ...string) (net.Conn, *bufio.Reader) {
	a.Helper()
	nc, r := a.accept()
	a.expectRequest(r, "/api/targets")
	io.WriteString(nc, httpResponse(listJSON(index, true, entries...)))
	return nc, r
}

// acceptWatch answers the request for a watch after an index with the head of a response.
func (a *manualAgent) acceptWatch(nc net.Conn, r *bufio.Reader, index int) {
	a.Helper()
	a.expectRequest(r, fmt.Sprint("/api/targets?watch=1&after=", index))
	io.WriteString(nc, watchHead)
}

// expectClosed fails the test unless the client closes the connection.
func (a *manualAgent) expectClosed(nc net.Conn) {
	a.Helper()
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := nc.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
		a.Fatalf("the connection is still open: %v", err)
	}
}

// A move must read the full list from the new address, whose indexes are independent of the old ones. Changes from the old address
// must be applied until then, and its connection closed afterwards.
func TestMove(t *testing.T) {
	a, s, c := startAgent(t, false)
	oldConn, r := a.serveList(41, endpointJSON("a", "Ready"), endpointJSON("b", "Ready"))
	s.next(t)
	a.acceptWatch(oldConn, r, 41)
	b := newManualAgent(t)
	c.Move(b.address())
	c.Move(b.address()) // the same address again: the move is not restarted
	nc, r := b.accept()
	b.expectRequest(r, "/api/targets")
	io.WriteString(oldConn, chunk(listJSON(42, false, endpointJSON("a", "Gone"))+"\n"))
	if l := s.next(t); l.Full || l.Entries[0].State != policy.Removed {
		t.Fatalf("unexpected list: %+v", l)
	}
	io.WriteString(nc, httpResponse(listJSON(3, true, endpointJSON("b", "Ready"))))
	if l := s.next(t); !l.Full || len(l.Entries) != 1 {
		t.Fatalf("unexpected list: %+v", l)
	}
	a.expectClosed(oldConn)
	b.acceptWatch(nc, r, 3)
	io.WriteString(nc, chunk(listJSON(4, false, endpointJSON("b", "Terminating"))+"\n"))
	if l := s.next(t); l.Entries[0].State != policy.Draining {
		t.Fatalf("unexpected list: %+v", l)
	}
	a.ln.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := a.ln.Accept(); err == nil {
		t.Error("the old address was dialled again")
	}
}

// Of several moves, the last address must be used. While the new address is unreachable, changes from the old one must be applied.
func TestLastMoveWins(t *testing.T) {
	a, s, c := startAgent(t, false)
	oldConn, r := a.serveList(41, endpointJSON("a", "Ready"))
	s.next(t)
	a.acceptWatch(oldConn, r, 41)
	intermediate, b, unreachable := newManualAgent(t), newManualAgent(t), newManualAgent(t)
	unreachable.ln.Close()
	c.Move(intermediate.address())
	nc, r := intermediate.accept()
	intermediate.expectRequest(r, "/api/targets")
	c.Move(unreachable.address())
	intermediate.expectClosed(nc)
	time.Sleep(20 * time.Millisecond)
	io.WriteString(oldConn, chunk(listJSON(42, false, endpointJSON("a", "Terminating"))+"\n"))
	if l := s.next(t); l.Entries[0].State != policy.Draining {
		t.Fatalf("unexpected list: %+v", l)
	}
	c.Move(b.address())
	b.serveList(1, endpointJSON("a", "Ready"), endpointJSON("z", "Ready"))
	if l := s.next(t); !l.Full || len(l.Entries) != 2 {
		t.Fatalf("unexpected list: %+v", l)
	}
	a.expectClosed(oldConn)
	c.Move(a.address()) // back to the first address, whose indexes have restarted
	a.serveList(2, endpointJSON("a", "Ready"))
	if l := s.next(t); !l.Full || len(l.Entries) != 1 {
		t.Fatalf("unexpected list: %+v", l)
	}
}

// A move to an agent that accepts a connection and sends nothing must be retried on a new connection.
func TestMoveToASilentAddress(t *testing.T) {
	_, s, c := startAgent(t, false)
	b := newManualAgent(t)
	c.Move(b.address())
	b.accept()
	b.serveList(1, endpointJSON("a", "Ready"))
	s.next(t)
}

// With a shared discovery, a move must need no request of the policy, and its failures must not be reported to the policy while the
// old address is read.
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
		t.Error("a failure of the move was reported to the policy")
	}
	nc.Close()
	<-s.failed
	c.Watch()
	nc, r = b.accept()
	b.acceptWatch(nc, r, 1)
}
