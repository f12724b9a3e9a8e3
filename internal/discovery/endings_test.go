package discovery

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchcart/policy"
)

// multiline spreads an object over several lines.
func multiline(raw string) string {
	return strings.ReplaceAll(strings.ReplaceAll(raw, "{", "{\n  "), ",", ",\n  ")
}

// byteChunks returns a text in chunks of one byte.
func byteChunks(text string) string {
	var b strings.Builder
	for i := range len(text) {
		b.WriteString(chunk(text[i : i+1]))
	}
	return b.String()
}

// resetConn closes a connection with a TCP reset.
func resetConn(nc net.Conn) {
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// openWatch makes the client read a full list at index 41 and open a watch on the same connection.
func openWatch(t *testing.T, a *manualAgent, s *testSink, entries ...string) net.Conn {
	t.Helper()
	nc, r := a.serveList(41, entries...)
	s.next(t)
	a.acceptWatch(nc, r, 41)
	return nc
}

// nextRequest returns the next connection and the target of its request.
func (a *manualAgent) nextRequest() (net.Conn, string) {
	a.Helper()
	nc, r := a.accept()
	line, err := r.ReadString('\n')
	for head := line; err == nil && head != "\r\n"; {
		head, err = r.ReadString('\n')
	}
	if err != nil {
		a.Fatal(err)
	}
	return nc, strings.Fields(line)[1]
}

// The objects of a watch must be found in any layout and split, each at its last byte, without a further connection.
func TestObjectsInAnyLayout(t *testing.T) {
	first, second := listJSON(42, false, endpointJSON("a", "Terminating")), listJSON(43, false, endpointJSON("b", "Terminating"))
	withNote := strings.Replace(first, `"index"`, `"note":"}{\" ][\\","index"`, 1)
	for name, text := range map[string]string{
		"a line each":                chunk(first + "\n" + second + "\n"),
		"over several lines":         chunk(multiline(first) + "\n" + multiline(second) + "\n"),
		"over lines, byte by byte":   byteChunks("\n" + multiline(first) + "\n\n" + multiline(second)),
		"over lines that end in CR":  chunk(strings.ReplaceAll(multiline(first)+"\n"+multiline(second)+"\n", "\n", "\r\n")),
		"two on a line":              chunk(first + " " + second + "\n"),
		"two with nothing between":   chunk(first + second),
		"no end of the line":         chunk(first) + chunk(second),
		"braces and quotes in texts": chunk(withNote + "\n" + second + "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, s, _ := startAgentWith(t, false, longLimits)
			nc := openWatch(t, a, s, endpointJSON("a", "Ready"), endpointJSON("b", "Ready"))
			io.WriteString(nc, text)
			for _, want := range []string{"a", "b"} {
				if l := s.next(t); l.Full || len(l.Entries) != 1 || l.Entries[0].Name != want || l.Entries[0].State != policy.Draining {
					t.Fatalf("got %+v, want the change of %s", l, want)
				}
			}
		})
	}
}

// A truncated object must not be applied; the full list that is requested next holds its change.
func TestTruncatedObjectIsNotApplied(t *testing.T) {
	for name, endConn := range map[string]func(net.Conn){"end": func(nc net.Conn) { nc.Close() }, "reset": resetConn} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, s, _ := startAgentWith(t, false, longLimits)
			nc := openWatch(t, a, s, endpointJSON("a", "Ready"))
			change := listJSON(42, false, endpointJSON("a", "Terminating"))
			io.WriteString(nc, chunk(change[:len(change)-1]))
			endConn(nc)
			nc, target := a.nextRequest()
			if len(s.lists) > 0 {
				t.Error("a truncated object was applied")
			}
			if target != listTarget { // a watch after 41 might be silent, and the change counts as delivered already
				t.Fatalf("request for %s, want the full list", target)
			}
			io.WriteString(nc, httpResponse(listJSON(42, true, endpointJSON("a", "Terminating"))))
			if l := s.next(t); !l.Full || l.Entries[0].State != policy.Draining {
				t.Fatalf("unexpected list: %+v", l)
			}
		})
	}
}

// A full list in a response without a length, or with Connection: close, is complete at the end of its object, whatever happens to
// the connection. The watch must follow on a new connection.
func TestListThatEndsWithConnection(t *testing.T) {
	body := listJSON(41, true, endpointJSON("a", "Ready"))
	for name, c := range map[string]struct {
		head   string
		finish func(net.Conn)
	}{
		"closed":         {"HTTP/1.1 200 OK\r\n\r\n", func(nc net.Conn) { nc.Close() }},
		"closed, HTTP 1": {"HTTP/1.0 200 OK\r\n\r\n", func(nc net.Conn) { nc.Close() }},
		"left open":      {"HTTP/1.1 200 OK\r\n\r\n", noAnswer},
		"says close":     {fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(body)), noAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, s, client := startAgentWith(t, false, longLimits)
			truncated, _ := a.nextRequest() // the first response is truncated and must not count as a list
			io.WriteString(truncated, "HTTP/1.1 200 OK\r\n\r\n"+body[:len(body)-1])
			truncated.Close()
			nc, target := a.nextRequest()
			if client.HasList() || target != listTarget {
				t.Fatalf("a truncated list was applied, or a watch was requested: target %s", target)
			}
			io.WriteString(nc, c.head+body)
			c.finish(nc)
			if l := s.next(t); !l.Full || len(l.Entries) != 1 {
				t.Fatalf("unexpected list: %+v", l)
			}
			nc, target = a.nextRequest()
			if target != watchTarget(41) {
				t.Fatalf("request for %s, want a watch after index 41", target)
			}
			io.WriteString(nc, watchHead+chunk(listJSON(42, false, endpointJSON("a", "Gone"))))
			if l := s.next(t); l.Full || l.Entries[0].State != policy.Removed {
				t.Fatalf("unexpected list: %+v", l)
			}
		})
	}
}

// With a shared discovery, a connection that closes after the full list must not be reported as a failure, and the watch must be
// opened without a request of the policy.
func TestSharedDiscoveryCloseAfterListIsNoFailure(t *testing.T) {
	a, s, c := startAgentWith(t, true, longLimits)
	c.Watch()
	nc, _ := a.nextRequest()
	body := listJSON(41, true, endpointJSON("a", "Ready"))
	io.WriteString(nc, fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	nc.Close()
	s.next(t)
	nc, _ = a.nextRequest()
	if len(s.failed) > 0 {
		t.Error("WatchFailed was called after a complete list")
	}
	io.WriteString(nc, watchHead)
}

// An object in a watch with an index below the current one may be old or from a restarted discovery. The client must not apply it,
// must end the watch, and must request the full list. That list is applied whatever its index, and so are the changes after it.
func TestLowerIndexRequestsFullList(t *testing.T) {
	for name, staleObject := range map[string]string{
		"a change":     listJSON(43, false, endpointJSON("a", "Ready"), endpointJSON("z", "Ready")),
		"a whole list": listJSON(43, true, endpointJSON("a", "Ready"), endpointJSON("b", "Ready")),
	} {
		for _, newIndex := range []int{46, 3} {
			t.Run(fmt.Sprint(name, " and then ", newIndex), func(t *testing.T) {
				t.Parallel()
				a, s, _ := startAgentWith(t, false, longLimits)
				nc := openWatch(t, a, s, endpointJSON("a", "Ready"), endpointJSON("b", "Ready"))
				io.WriteString(nc, chunk(listJSON(45, false, endpointJSON("a", "Terminating"))+"\n"))
				s.next(t)
				io.WriteString(nc, chunk(staleObject+"\n"))
				go func() { // heartbeats continue, so that the watch does not time out
					for writeAfter(nc, 20*time.Millisecond, chunk("\n")) == nil {
					}
				}()
				newConn, r := a.serveList(newIndex, endpointJSON("a", "Gone"))
				if l := s.next(t); !l.Full || len(l.Entries) != 1 || l.Entries[0].State != policy.Removed {
					t.Fatalf("got %+v, want the newly requested list", l)
				}
				a.acceptWatch(newConn, r, newIndex)
				io.WriteString(newConn, chunk(listJSON(newIndex+1, false, endpointJSON("y", "Ready"))+"\n"))
				if l := s.next(t); l.Full || l.Entries[0].Name != "y" {
					t.Fatalf("unexpected list: %+v", l)
				}
			})
		}
	}
}

// The first object of a watch may be the full list, which is applied at any index. A later full list is applied only if its index is
// not below the current one. The changes after a full list are compared with its index.
func TestFullListInWatch(t *testing.T) {
	for _, index := range []int{3, 41, 60} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			t.Parallel()
			a, s, _ := startAgentWith(t, false, longLimits)
			nc := openWatch(t, a, s, endpointJSON("a", "Ready"), endpointJSON("b", "Ready"))
			io.WriteString(nc, chunk(listJSON(index, true, endpointJSON("a", "Ready"))+"\n"))
			if l := s.next(t); !l.Full || len(l.Entries) != 1 {
				t.Fatalf("unexpected list: %+v", l)
			}
			io.WriteString(nc, chunk(listJSON(index+1, false, endpointJSON("a", "Terminating"))+"\n"))
			if l := s.next(t); l.Full || l.Entries[0].State != policy.Draining {
				t.Fatalf("unexpected list: %+v", l)
			}
			io.WriteString(nc, chunk(listJSON(index+1, true, endpointJSON("z", "Ready"))+"\n"))
			if l := s.next(t); !l.Full || l.Entries[0].Name != "z" {
				t.Fatalf("unexpected list: %+v", l)
			}
		})
	}
}

// emptyWatches are watches that end, or never begin, without a complete object or heartbeat.
var emptyWatches = map[string]func(net.Conn){
	"closed unanswered":     func(nc net.Conn) { nc.Close() },
	"reset unanswered":      resetConn,
	"500":                   respond("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
	"503, closed":           func(nc net.Conn) { io.WriteString(nc, "HTTP/1.1 503 No\r\nConnection: close\r\n\r\nno"); nc.Close() },
	"unanswered":            noAnswer,
	"a head that trickles":  trickle("HTTP/1.1 200 OK\r\nX: y"),
	"closed after the head": func(nc net.Conn) { io.WriteString(nc, watchHead); nc.Close() },
	"reset after the head":  func(nc net.Conn) { io.WriteString(nc, watchHead); resetConn(nc) },
	"ended after the head":  respond(watchHead + "0\r\n\r\n"),
	"no length, closed":     func(nc net.Conn) { io.WriteString(nc, "HTTP/1.0 200 OK\r\n\r\n"); nc.Close() },
	"reset in an object": func(nc net.Conn) {
		io.WriteString(nc, watchHead+chunk(`{"index":2,`))
		resetConn(nc)
	},
	"an object with no end": respond(watchHead + chunk(`{"index":2,`) + "0\r\n\r\n"),
}

// While every watch ends without a report, the client must read the full list well before a change counts as delivered: with an
// agent, and with a shared discovery without further requests of the policy.
func TestEmptyWatchesAreFollowedByFullList(t *testing.T) {
	for name, fail := range emptyWatches {
		for _, onDemand := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", on demand: ", onDemand), func(t *testing.T) {
				t.Parallel()
				s := newScriptedAgent(t, listenLoopback(t))
				endedAt := make(chan time.Time, 1000)
				s.setAnswers(1, nil, func(nc net.Conn) {
					endedAt <- time.Now()
					s.setAnswers(2, nil, fail) // from now on, so that no watch reports index 2
					fail(nc)
				})
				c, waitForReplica, _ := startClient(t, s.ln.Addr().String(), onDemand)
				c.Watch()
				waitForReplica("v1")
				limit := scaledLimits.RedialMost + slack // an agent's changes count as delivered at once
				if name == "unanswered" || name == "a head that trickles" {
					limit += scaledLimits.AgentTime // the watch does not end by itself
				}
				if onDemand { // two calls that time out, or failed calls for WatchSilence and the longest backoff
					limit = max(2*scaledLimits.CallTime, scaledLimits.WatchSilence+scaledLimits.CallMost) + slack
				}
				checkLatency(t, waitForReplica("v2"), <-endedAt, min(limit, deliveryLimit))
			})
		}
	}
}

// A watch ends when its next heartbeat is long due. A second silent watch would take too long, so the client must request the full
// list at once.
func TestWatchThatEndsLateIsFollowedByFullList(t *testing.T) {
	t.Parallel()
	s := newScriptedAgent(t, listenLoopback(t))
	lastHeartbeat := make(chan time.Time, 1)
	s.setAnswers(1, nil, func(nc net.Conn) {
		io.WriteString(nc, watchHead+chunk("\n"))
		lastHeartbeat <- time.Now()
		time.Sleep(scaledLimits.WatchSilence * 9 / 10)
		s.setAnswers(2, nil, func(nc net.Conn) {
			time.Sleep(scaledLimits.AgentTime * 9 / 10) // the response head is in time; nothing follows
			io.WriteString(nc, watchHead)
		})
		nc.Close()
	})
	_, waitForReplica, _ := startClient(t, s.ln.Addr().String(), false)
	waitForReplica("v1")
	checkLatency(t, waitForReplica("v2"), <-lastHeartbeat, min(scaledLimits.WatchSilence+scaledLimits.RedialMost+slack, deliveryLimit))
}

// The time until a late response head must count towards the silence limit of the watch.
func TestLateResponseHeadCountsAsSilence(t *testing.T) {
	t.Parallel()
	s := newScriptedAgent(t, listenLoopback(t))
	requestedAt := make(chan time.Time, 1)
	s.setAnswers(1, nil, func(nc net.Conn) {
		requestedAt <- time.Now()
		s.setAnswers(2, nil, nil)
		time.Sleep(scaledLimits.AgentTime * 9 / 10)
		io.WriteString(nc, watchHead)
	})
	_, waitForReplica, _ := startClient(t, s.ln.Addr().String(), false)
	waitForReplica("v1")
	checkLatency(t, waitForReplica("v2"), <-requestedAt, scaledLimits.WatchSilence+scaledLimits.RedialFirst+slack)
}

// With a shared discovery, after the policy was notified of an outage, the client must read the list once discovery recovers, without
// a further request of the policy.
func TestSharedDiscoveryRecoversWithoutWatchRequest(t *testing.T) {
	for name, fail := range failingLists {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedAgent(t, listenLoopback(t))
			s.setAnswers(1, nil, func(nc net.Conn) {
				s.setAnswers(1, fail, fail)
				resetConn(nc)
			})
			c, waitForReplica, failed := startClient(t, s.ln.Addr().String(), true)
			c.Watch()
			waitForReplica("v1")
			for range 2 { // once for the end of the watch, once for the failed requests
				select {
				case <-failed:
				case <-time.After(testTimeout):
					t.Fatal("WatchFailed was not called")
				}
			}
			s.setAnswers(2, nil, nil)
			recoveredAt := time.Now()
			checkLatency(t, waitForReplica("v2"), recoveredAt, max(scaledLimits.CallTime, scaledLimits.CallMost)+slack)
		})
	}
}

// A reopened watch ends soon, which is reported to the policy as a failure. The client must not wait for the policy: it must have the
// change that the watch did not report before the change counts as delivered.
func TestSharedDiscoveryShortWatchIsFollowedInTime(t *testing.T) {
	t.Parallel()
	s := newScriptedAgent(t, listenLoopback(t))
	lastHeartbeat := make(chan time.Time, 1)
	s.setAnswers(1, nil, func(nc net.Conn) {
		io.WriteString(nc, watchHead)
		time.Sleep(scaledLimits.AgentTime * 12 / 10) // lasts long enough to be reopened without a report to the policy
		io.WriteString(nc, chunk("\n"))
		lastHeartbeat <- time.Now()
		s.setAnswers(2, nil, func(nc net.Conn) {
			time.Sleep(scaledLimits.AgentTime * 8 / 10)
			io.WriteString(nc, watchHead)
			time.Sleep(scaledLimits.AgentTime * 9 / 10)
			nc.Close()
		})
		nc.Close()
	})
	c, waitForReplica, _ := startClient(t, s.ln.Addr().String(), true)
	c.Watch()
	waitForReplica("v1")
	checkLatency(t, waitForReplica("v2"), <-lastHeartbeat, deliveryLimit-slack)
}

// During any failure of the old address, with an agent or a shared discovery, a move must read the list from the new address at
// once.
func TestMoveDuringFailures(t *testing.T) {
	for name, fail := range emptyWatches {
		for _, onDemand := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", on demand: ", onDemand), func(t *testing.T) {
				t.Parallel()
				a, b := newScriptedAgent(t, listenLoopback(t)), newScriptedAgent(t, listenLoopback(t))
				failed := make(chan struct{}, 1000)
				a.setAnswers(1, nil, func(nc net.Conn) {
					a.setAnswers(1, fail, fail)
					fail(nc)
					failed <- struct{}{}
				})
				b.setAnswers(3, nil, nil)
				c, waitForReplica, _ := startClient(t, a.ln.Addr().String(), onDemand)
				c.Watch()
				waitForReplica("v1")
				if !strings.HasPrefix(name, "a head") { // this watch writes until the client closes it
					<-failed
				}
				movedAt := time.Now()
				c.Move(b.ln.Addr().String())
				checkLatency(t, waitForReplica("v3"), movedAt, scaledLimits.RedialMost+slack)
				expectConns(t, a, 0)
				expectConns(t, b, 1)
			})
		}
	}
}

// expectConns waits until an agent has the wanted number of open connections.
func expectConns(t *testing.T, s *scriptedAgent, want int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); s.addConns(0) != want; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open, want %d", s.addConns(0), want)
		}
	}
}

// If several requests in flight are answered at the same time, one response must be used and the other connections closed.
func TestConcurrentAnswersGiveOneList(t *testing.T) {
	t.Parallel()
	s := newScriptedAgent(t, listenLoopback(t))
	received, maxConns, release := make(chan struct{}, 1000), atomic.Int32{}, make(chan struct{})
	s.setAnswers(1, func(nc net.Conn) {
		if n := int32(s.addConns(0)); n > maxConns.Load() {
			maxConns.Store(n)
		}
		received <- struct{}{}
		<-release
		io.WriteString(nc, httpResponse(listJSON(2, true, endpointJSON("v2", "Ready"))))
	}, nil)
	_, waitForReplica, _ := startClient(t, s.ln.Addr().String(), false)
	for range maxConcurrentRequests {
		<-received
	}
	s.setAnswers(2, nil, nil)
	close(release)
	waitForReplica("v2")
	expectConns(t, s, 1)
	if n := maxConns.Load(); n > maxConcurrentRequests+1 { // one may not be closed yet
		t.Errorf("%d connections were open at the same time, want at most %d", n, maxConcurrentRequests)
	}
}

// matchCounter is a log writer that counts the lines that hold a substring.
type matchCounter struct {
	substring string
	count     atomic.Int32
}

func (f *matchCounter) Write(line []byte) (int, error) {
	if strings.Contains(string(line), f.substring) {
		f.count.Add(1)
	}
	return len(line), nil
}

// Guards against a client that does not recover from a lack of file descriptors: after any number of failed attempts, it must read
// the list as soon as a descriptor is available.
func TestRequestsResumeAfterDescriptorExhaustion(t *testing.T) {
	s := newScriptedAgent(t, listenLoopback(t))
	resetWatch := make(chan struct{})
	s.setAnswers(1, nil, func(nc net.Conn) {
		<-resetWatch
		s.setAnswers(2, nil, respond(watchHead+chunk(listJSON(2, false, endpointJSON("v2", "Ready"))+"\n")))
		resetConn(nc)
	})
	refused := &matchCounter{substring: "too many open files"}
	limits := scaledLimits
	limits.LogEvery = time.Nanosecond // every failure is logged
	_, waitForReplica, _ := startClientWith(t, s.ln.Addr().String(), false, limits, refused)
	waitForReplica("v1")
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	restore := func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Fatal(err)
		}
	}
	defer restore()
	exhausted := before
	exhausted.Cur = 3 // room for the standard streams: new descriptors are refused, open ones stay usable
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &exhausted); err != nil {
		t.Fatal(err)
	}
	close(resetWatch)
	for deadline := time.Now().Add(testTimeout); refused.count.Load() <= 2*maxConcurrentRequests; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("only %d attempts failed for lack of descriptors", refused.count.Load())
		}
	}
	restore()
	restoredAt := time.Now()
	checkLatency(t, waitForReplica("v2"), restoredAt, scaledLimits.AgentTime+scaledLimits.RedialMost+slack)
}
