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
	keepsAccepting = 700 * time.Millisecond // after SIGTERM
	clientWaits    = 2 * time.Second
	lastKill       = 3700 * time.Millisecond // after SIGTERM: the soonest SIGKILL for deadlines of 3 s
)

// sender is one client that keeps its connection and sends on it until it ends.
type sender struct {
	no  int
	nc  net.Conn
	in  *bufio.Reader
	rng *rand.Rand

	sent, served, refused, crossed int
	crossedAt                      time.Time // when it sent what was met by the connection's end
}

func (s *sender) request() (id, text string) {
	s.sent++
	id = fmt.Sprintf("c%d-%d", s.no, s.sent)
	body := `{"buckets":[{"bucket":0,"part":0.5},{"bucket":3,"part":0.5}],"body":"c41e77d0"}`
	return id, fmt.Sprintf("POST /search HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, clientWaits.Milliseconds(), len(body), body)
}

// answer reads one answer; last tells that the connection ends with it, met that it ended with no byte of it.
func (s *sender) answer(id string, at time.Time) (last, met bool, err error) {
	s.nc.SetReadDeadline(at.Add(clientWaits + 500*time.Millisecond))
	if _, err := s.in.Peek(1); err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return false, false, fmt.Errorf("%s: no answer in time", id)
		}
		return true, true, nil
	}
	r, err := http.ReadResponse(s.in, nil)
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

// run sends until its connection ends. One in eight sends in two halves, one in eight two at once.
func (s *sender) run() error {
	for {
		s.nc.SetReadDeadline(time.Now().Add(time.Duration(s.rng.IntN(200)) * time.Millisecond))
		if _, err := s.in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil // closed between requests
		}
		id, text := s.request()
		ids, at := []string{id}, time.Now()
		switch s.no % 8 {
		case 0:
			io.WriteString(s.nc, text[:len(text)/2])
			time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond)
			at = time.Now()
			io.WriteString(s.nc, text[len(text)/2:])
		case 1:
			second, more := s.request()
			ids = append(ids, second)
			io.WriteString(s.nc, text+more)
		default:
			io.WriteString(s.nc, text)
		}
		for i, id := range ids {
			last, met, err := s.answer(id, at)
			if err != nil {
				return err
			}
			if met && i > 0 {
				return fmt.Errorf("%s: the connection ended over what was sent ahead", id)
			}
			if met {
				s.crossed, s.crossedAt = len(ids), at
				return nil
			}
			if last && i < len(ids)-1 {
				return fmt.Errorf("%s: its answer closes the connection over %s", id, ids[i+1])
			}
			if last {
				return nil
			}
		}
	}
}

// Two hundred clients go on sending on their connections after SIGTERM, for as long as these stay open. All that was
// taken is answered, in its time, wherever in it the end falls; a connection that ends with no answer ends between
// requests, and the program exits with 0 before it may be killed.
func TestTwoHundredClientsAtTheEnd(t *testing.T) {
	path, address := deploy(t, 30*time.Millisecond)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw = bytes.Replace(bytes.Replace(raw, []byte(`"sockets": 1024`), []byte(`"sockets": 2048`), 1), // idle connections are kept
		[]byte(`"open_cap": 200`), []byte(`"open_cap": 2000`), 1)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := serving(t, "--config", path)
	senders := make([]*sender, 200)
	for i := range senders {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		senders[i] = &sender{no: i, nc: nc, in: bufio.NewReader(nc), rng: rand.New(rand.NewPCG(1, uint64(i)))}
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
	told := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || time.Since(told) > lastKill {
		t.Errorf("ended after %v with %v\n%s", time.Since(told), err, log.String())
	}
	took := time.Since(told)
	wg.Wait()
	sent, served, refused, crossed := 0, 0, 0, 0
	for _, s := range senders {
		sent, served, refused = sent+s.sent, served+s.served, refused+s.refused
		if s.crossed == 0 {
			continue
		}
		crossed += s.crossed
		if s.crossedAt.Sub(told) < keepsAccepting-20*time.Millisecond {
			t.Errorf("client %d: its connection ended over what it sent %v after SIGTERM", s.no, s.crossedAt.Sub(told))
		}
	}
	t.Logf("sent %d, served %d, refused %d, crossed the close %d, ended after %v", sent, served, refused, crossed, took)
	if served+refused+crossed != sent || served < sent/2 || crossed > len(senders)/16 {
		t.Errorf("sent %d, served %d, refused %d, crossed the close %d\n%s", sent, served, refused, crossed, lastLines(log.String()))
	}
}

func lastLines(text string) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
