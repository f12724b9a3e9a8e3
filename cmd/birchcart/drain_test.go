package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	acceptGracePeriod = 700 * time.Millisecond // after SIGTERM, new requests are accepted for this long
	clientTimeout     = 2 * time.Second
	killDeadline      = 3700 * time.Millisecond // after SIGTERM: the earliest SIGKILL for query deadlines of 3 s
)

// sender is a client that sends requests on one persistent connection until the connection is closed.
type sender struct {
	number int
	conn   net.Conn
	reader *bufio.Reader
	rng    *rand.Rand

	sent, served, refused, racedClose int
	racedCloseAt                      time.Time // when it sent the requests that raced with the close
}

func (s *sender) request() (id, text string) {
	s.sent++
	id = fmt.Sprintf("c%d-%d", s.number, s.sent)
	body := `{"buckets":[{"bucket":0,"part":0.5},{"bucket":3,"part":0.5}],"body":"c41e77d0"}`
	return id, fmt.Sprintf("POST /search HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, clientTimeout.Milliseconds(), len(body), body)
}

// readAnswer reads one answer. last reports that the connection closes after it, closed that the connection was
// closed before the first byte of it.
func (s *sender) readAnswer(id string, at time.Time) (last, closed bool, err error) {
	s.conn.SetReadDeadline(at.Add(clientTimeout + 500*time.Millisecond))
	if _, err := s.reader.Peek(1); err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return false, false, fmt.Errorf("%s: no answer before the deadline", id)
		}
		return true, true, nil
	}
	r, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return false, false, fmt.Errorf("%s: %w", id, err)
	}
	body, err := io.ReadAll(r.Body)
	want := fmt.Sprintf(`{"finished":true,"found":[{"bucket":0,"item":"v-%s.0"},{"bucket":3,"item":"v-%s.3"}]}`, id, id)
	switch {
	case err != nil:
		return false, false, fmt.Errorf("%s: %w", id, err)
	case r.StatusCode == 200 && string(body) == want:
		s.served++
	case r.StatusCode == 503:
		s.refused++
	default:
		return false, false, fmt.Errorf("%s: %d %q", id, r.StatusCode, body)
	}
	return r.Close, false, nil
}

// run sends requests until the connection is closed. One client in eight sends each request in two halves, one in
// eight pipelines two requests.
func (s *sender) run() error {
	for {
		s.conn.SetReadDeadline(time.Now().Add(time.Duration(s.rng.IntN(200)) * time.Millisecond))
		if _, err := s.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil // closed between requests
		}
		id, text := s.request()
		ids, at := []string{id}, time.Now()
		switch s.number % 8 {
		case 0:
			io.WriteString(s.conn, text[:len(text)/2])
			time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond)
			at = time.Now()
			io.WriteString(s.conn, text[len(text)/2:])
		case 1:
			secondID, secondText := s.request()
			ids = append(ids, secondID)
			io.WriteString(s.conn, text+secondText)
		default:
			io.WriteString(s.conn, text)
		}
		for i, id := range ids {
			last, closed, err := s.readAnswer(id, at)
			if err != nil {
				return err
			}
			if closed && i > 0 {
				return fmt.Errorf("%s: the connection was closed before a pipelined request was answered", id)
			}
			if closed {
				s.racedClose, s.racedCloseAt = len(ids), at
				return nil
			}
			if last && i < len(ids)-1 {
				return fmt.Errorf("%s: its answer closes the connection before %s is answered", id, ids[i+1])
			}
			if last {
				return nil
			}
		}
	}
}

// After SIGTERM, 200 clients continue to send on their connections until these are closed. Every accepted request
// must be answered before its deadline, whatever its state at the shutdown. A connection that is closed without an
// answer must be closed between requests, and the program must exit with status 0 before the earliest SIGKILL.
func TestDrainWith200PersistentClients(t *testing.T) {
	path, address := deploy(t, 30*time.Millisecond)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw = bytes.Replace(bytes.Replace(raw, []byte(`"sockets": 1024`), []byte(`"sockets": 2048`), 1), // idle connections count as well
		[]byte(`"open_cap": 200`), []byte(`"open_cap": 2000`), 1)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := startAndAwaitList(t, "--config", path)
	senders := make([]*sender, 200)
	for i := range senders {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		senders[i] = &sender{number: i, conn: conn, reader: bufio.NewReader(conn), rng: rand.New(rand.NewPCG(1, uint64(i)))}
	}
	var wg sync.WaitGroup
	for _, s := range senders {
		wg.Go(func() {
			if err := s.run(); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	signalledAt := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || time.Since(signalledAt) > killDeadline {
		t.Errorf("ended after %v with %v\n%s", time.Since(signalledAt), err, log.String())
	}
	elapsed := time.Since(signalledAt)
	wg.Wait()
	sent, served, refused, racedClose := 0, 0, 0, 0
	for _, s := range senders {
		sent, served, refused = sent+s.sent, served+s.served, refused+s.refused
		if s.racedClose == 0 {
			continue
		}
		racedClose += s.racedClose
		if s.racedCloseAt.Sub(signalledAt) < acceptGracePeriod-20*time.Millisecond {
			t.Errorf("client %d: its connection was closed on a request sent %v after SIGTERM", s.number, s.racedCloseAt.Sub(signalledAt))
		}
	}
	t.Logf("sent %d, served %d, refused %d, raced with the close %d, ended after %v", sent, served, refused, racedClose, elapsed)
	if served+refused+racedClose != sent || served < sent/2 || racedClose > len(senders)/16 {
		t.Errorf("sent %d, served %d, refused %d, raced with the close %d\n%s", sent, served, refused, racedClose, lastLines(log.String()))
	}
}

// lastLines returns the last five lines of a text.
func lastLines(text string) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
