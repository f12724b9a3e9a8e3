package ogc

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"birchcart/internal/config"
)

// acceptedPair returns both ends of a connection, the client's first.
func acceptedPair(t *testing.T) (peer, accepted net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	accepted, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return peer, accepted
}

// Guards against a drain that closes a resting connection while a request waits on it unread: its client takes it for received.
func TestConnectionWithUnreadRequestIsNotClosed(t *testing.T) {
	peer, nc := acceptedPair(t)
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	s := &Server{limits: config.Limits{SlowRequest: time.Millisecond}}
	c := &clientConn{Conn: nc, server: s, requests: requestScanner{complete: 1}, answered: 1} // its goroutine has not been scheduled yet
	c.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := io.WriteString(peer, request); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	c.requestClose()
	b := make([]byte, len(request))
	if n, err := io.ReadFull(c, b); err != nil || string(b) != request {
		t.Fatalf("read %q, %v", b[:n], err)
	}
	if c.requestClose(); c.closeRequested {
		t.Error("the connection may close with a request pending")
	}
	c.answered++
	c.requestClose()
	if _, err := c.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is not closed although no input waits: %v", err)
	}
}

// The end of a request is found however the stream is cut, and with bare line feeds.
func TestRequestScanner(t *testing.T) {
	for _, c := range []struct {
		text string
		want requestScanner
	}{
		{"", requestScanner{}},
		{"G", requestScanner{partial: true, inLine: true}},
		{"GET / HTTP/1.1\r\nHost: x\r\n", requestScanner{partial: true, lines: 2}},
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", requestScanner{complete: 1}},
		{"GET / HTTP/1.1\nHost: x\n\nGET", requestScanner{complete: 1, partial: true, inLine: true}},
		{"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n", requestScanner{complete: 2}},
	} {
		for cut := range len(c.text) + 1 {
			var s requestScanner
			s.scan([]byte(c.text[:cut]))
			s.scan([]byte(c.text[cut:]))
			if s != c.want {
				t.Errorf("%q cut at %d: %+v, want %+v", c.text, cut, s, c.want)
			}
		}
	}
}

// Guards against an eviction that is lost, since the HTTP server sets the deadline of its next read right after it.
func TestEvictionOutlivesDeadlineOfNextRead(t *testing.T) {
	_, nc := acceptedPair(t)
	c := &clientConn{Conn: nc, server: &Server{}, requests: requestScanner{complete: 1}, answered: 1, idleSince: time.Now()}
	c.requestEviction()
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	began := time.Now()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) > 10*time.Second {
		t.Errorf("%v after %v, want the end of the connection at once", err, time.Since(began))
	}
}
