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

// wide lays an object out over lines.
func multiline(raw string) string {
	return strings.ReplaceAll(strings.ReplaceAll(raw, "{", "{\n  "), ",", ",\n  ")
}

// bytewise is a text in chunks of one byte.
func byteChunks(text string) string {
	var b strings.Builder
	for i := range len(text) {
		b.WriteString(chunk(text[i : i+1]))
	}
	return b.String()
}

// reset ends a connection with a reset, whatever it holds.
func resetConn(nc net.Conn) {
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
}

// watching has the client take a whole list at version 41 and open a watch on the same connection.
func openWatch(t *testing.T, a *manualAgent, s *testSink, entries ...string) net.Conn {
	t.Helper()
	nc, r := a.serveList(41, entries...)
	s.next(t)
	a.acceptWatch(nc, r, 41)
	return nc
}

// asked is a connection with what it asks for.
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

// The objects of a watch are had in whatever shape and pieces they come, each at its last byte and all from the one watch.
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
					t.Fatalf("%+v, not the change of %s", l, want)
				}
			}
		})
	}
}

// An object that is cut off is not taken, and what it said is had from the next call.
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
				t.Error("half an object was taken")
			}
			if target != listTarget { // a watch after 41 might be silent, and what the agent has counts already
				t.Fatalf("asked for %s", target)
			}
			io.WriteString(nc, httpResponse(listJSON(42, true, endpointJSON("a", "Terminating"))))
			if l := s.next(t); !l.Full || l.Entries[0].State != policy.Draining {
				t.Fatalf("%+v", l)
			}
		})
	}
}

// A whole list whose answer names no length ends with its connection, and is whole with the object's end, whatever
// becomes of the connection. The watch follows on another.
func TestListThatEndsWithConnection(t *testing.T) {
	body := listJSON(41, true, endpointJSON("a", "Ready"))
	for name, c := range map[string]struct {
		head string
		then func(net.Conn)
	}{
		"closed":         {"HTTP/1.1 200 OK\r\n\r\n", func(nc net.Conn) { nc.Close() }},
		"closed, HTTP 1": {"HTTP/1.0 200 OK\r\n\r\n", func(nc net.Conn) { nc.Close() }},
		"left open":      {"HTTP/1.1 200 OK\r\n\r\n", noAnswer},
		"says close":     {fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(body)), noAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, s, client := startAgentWith(t, false, longLimits)
			truncated, _ := a.nextRequest() // the first is cut short: that is no list
			io.WriteString(truncated, "HTTP/1.1 200 OK\r\n\r\n"+body[:len(body)-1])
			truncated.Close()
			nc, target := a.nextRequest()
			if client.HasList() || target != listTarget {
				t.Fatalf("half a list was taken; asked for %s", target)
			}
			io.WriteString(nc, c.head+body)
			c.then(nc)
			if l := s.next(t); !l.Full || len(l.Entries) != 1 {
				t.Fatalf("%+v", l)
			}
			nc, target = a.nextRequest()
			if target != watchTarget(41) {
				t.Fatalf("asked for %s", target)
			}
			io.WriteString(nc, watchHead+chunk(listJSON(42, false, endpointJSON("a", "Gone"))))
			if l := s.next(t); l.Full || l.Entries[0].State != policy.Removed {
				t.Fatalf("%+v", l)
			}
		})
	}
}

// Where the decisions ask, a connection that ends with the whole list is no failure: the watch is opened without them.
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
		t.Error("a list that was had was told as a failure")
	}
	io.WriteString(nc, watchHead)
}

// What a watch says below the version that is held may be old or of a discovery that began anew: it is not taken, nor is
// the watch trusted further, and a fresh list tells. That one counts whatever its index, and what follows it too.
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
				go func() { // as far as pulses go all is well
					for writeAfter(nc, 20*time.Millisecond, chunk("\n")) == nil {
					}
				}()
				newConn, r := a.serveList(newIndex, endpointJSON("a", "Gone"))
				if l := s.next(t); !l.Full || len(l.Entries) != 1 || l.Entries[0].State != policy.Removed {
					t.Fatalf("%+v: not the fresh list", l)
				}
				a.acceptWatch(newConn, r, newIndex)
				io.WriteString(newConn, chunk(listJSON(newIndex+1, false, endpointJSON("y", "Ready"))+"\n"))
				if l := s.next(t); l.Full || l.Entries[0].Name != "y" {
					t.Fatalf("%+v", l)
				}
			})
		}
	}
}

// The first answer of a watch may be the whole list. It is fresh, and counts at any index; one further on counts from
// the version that is held. The changes after it go by its index.
func TestFullListInWatch(t *testing.T) {
	for _, index := range []int{3, 41, 60} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			t.Parallel()
			a, s, _ := startAgentWith(t, false, longLimits)
			nc := openWatch(t, a, s, endpointJSON("a", "Ready"), endpointJSON("b", "Ready"))
			io.WriteString(nc, chunk(listJSON(index, true, endpointJSON("a", "Ready"))+"\n"))
			if l := s.next(t); !l.Full || len(l.Entries) != 1 {
				t.Fatalf("%+v", l)
			}
			io.WriteString(nc, chunk(listJSON(index+1, false, endpointJSON("a", "Terminating"))+"\n"))
			if l := s.next(t); l.Full || l.Entries[0].State != policy.Draining {
				t.Fatalf("%+v", l)
			}
			io.WriteString(nc, chunk(listJSON(index+1, true, endpointJSON("z", "Ready"))+"\n"))
			if l := s.next(t); !l.Full || l.Entries[0].Name != "z" {
				t.Fatalf("%+v", l)
			}
		})
	}
}

// wordless are watches that end, or never begin, without having told anything.
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

// While every watch ends wordless, the whole list is had well before a change counts as told: where the list is pushed, and
// where it is asked for and the decisions' word does not come.
func TestEmptyWatchesAreFollowedByFullList(t *testing.T) {
	for name, fail := range emptyWatches {
		for _, onDemand := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", asked for: ", onDemand), func(t *testing.T) {
				t.Parallel()
				s := newScriptedAgent(t, listenLoopback(t))
				endedAt := make(chan time.Time, 1000)
				s.setAnswers(1, nil, func(nc net.Conn) {
					endedAt <- time.Now()
					s.setAnswers(2, nil, fail) // for good: no watch ever tells of it
					fail(nc)
				})
				c, waitForReplica, _ := startClient(t, s.ln.Addr().String(), onDemand)
				c.Watch()
				waitForReplica("v1")
				limit := scaledLimits.RedialMost + slack // an agent's changes count at once
				if name == "unanswered" || name == "a head that trickles" {
					limit += scaledLimits.AgentTime // it has not ended
				}
				if onDemand { // after two calls with no answer, or some that failed and the longest wait
					limit = max(2*scaledLimits.CallTime, scaledLimits.WatchSilence+scaledLimits.CallMost) + slack
				}
				checkLatency(t, waitForReplica("v2"), <-endedAt, min(limit, deliveryLimit))
			})
		}
	}
}

// A watch that ends when its next word is long due leaves no time for another that says nothing: the whole list is asked
// for at once.
func TestWatchThatEndsLateIsFollowedByFullList(t *testing.T) {
	t.Parallel()
	s := newScriptedAgent(t, listenLoopback(t))
	lastHeartbeat := make(chan time.Time, 1)
	s.setAnswers(1, nil, func(nc net.Conn) {
		io.WriteString(nc, watchHead+chunk("\n"))
		lastHeartbeat <- time.Now()
		time.Sleep(scaledLimits.WatchSilence * 9 / 10)
		s.setAnswers(2, nil, func(nc net.Conn) {
			time.Sleep(scaledLimits.AgentTime * 9 / 10) // a head in time, and then nothing
			io.WriteString(nc, watchHead)
		})
		nc.Close()
	})
	_, waitForReplica, _ := startClient(t, s.ln.Addr().String(), false)
	waitForReplica("v1")
	checkLatency(t, waitForReplica("v2"), <-lastHeartbeat, min(scaledLimits.WatchSilence+scaledLimits.RedialMost+slack, deliveryLimit))
}

// A head that comes late takes of the time that the watch has for its first word.
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

// Where the list is asked for and the decisions were told that it can't be had, what there is when discovery is back does
// not wait for them.
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
			for range 2 { // the end of the watch, and then that it can't be had again
				select {
				case <-failed:
				case <-time.After(testTimeout):
					t.Fatal("not told")
				}
			}
			s.setAnswers(2, nil, nil)
			recoveredAt := time.Now()
			checkLatency(t, waitForReplica("v2"), recoveredAt, max(scaledLimits.CallTime, scaledLimits.CallMost)+slack)
		})
	}
}

// A watch that is opened anew, ends soon and is told the decisions as a failure is not waited for by them: what it does
// not tell is had before it counts as told.
func TestSharedDiscoveryShortWatchIsFollowedInTime(t *testing.T) {
	t.Parallel()
	s := newScriptedAgent(t, listenLoopback(t))
	lastHeartbeat := make(chan time.Time, 1)
	s.setAnswers(1, nil, func(nc net.Conn) {
		io.WriteString(nc, watchHead)
		time.Sleep(scaledLimits.AgentTime * 12 / 10) // long enough to be asked for again without them
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

// A move in the middle of whatever becomes of the old address, and whether or not the decisions are waited for, has the
// list from the new one at once.
func TestMoveDuringFailures(t *testing.T) {
	for name, fail := range emptyWatches {
		for _, onDemand := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", asked for: ", onDemand), func(t *testing.T) {
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
				if !strings.HasPrefix(name, "a head") { // that one goes on until it is left
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

// shut holds that an agent has so many connections open, soon.
func expectConns(t *testing.T, s *scriptedAgent, want int) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); s.addConns(0) != want; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open, want %d", s.addConns(0), want)
		}
	}
}

// Asks that were open all together and are answered in one moment give one list; the others' connections are closed.
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
	if n := maxConns.Load(); n > maxConcurrentRequests+1 { // one may still be ending
		t.Errorf("%d were open at once, %d allowed", n, maxConcurrentRequests)
	}
}

// failures counts what a log tells of failed asks, by what its line holds.
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

// While the process has no descriptor left the list can't be asked for; it is had as soon as there is one, after however
// many asks.
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
	limits.LogEvery = time.Nanosecond // each is told
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
	exhausted.Cur = 3 // the standard streams: any further one is refused, while what is open goes on
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &exhausted); err != nil {
		t.Fatal(err)
	}
	close(resetWatch)
	for deadline := time.Now().Add(testTimeout); refused.count.Load() <= 2*maxConcurrentRequests; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%d asks were refused", refused.count.Load())
		}
	}
	restore()
	restoredAt := time.Now()
	checkLatency(t, waitForReplica("v2"), restoredAt, scaledLimits.AgentTime+scaledLimits.RedialMost+slack)
}
