package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// clientWait is the time that each query grants, in ms on the wire.
	clientWait = 2 * time.Second
	// answerSlip is what an answer may be over that: the promised slack, and this machine's own delays under load.
	answerSlip = 500 * time.Millisecond
	// clientMost is after how long a client stops listening, and has had no answer.
	clientMost = 10 * time.Second
	// openMost bounds the queries that are open at once at one process; more are not sent, and counted as kept back.
	openMost = 64
	// tailWait is for how long a client listens for a second answer after its first.
	tailWait = 20 * time.Millisecond
)

// Fate is how a query ended at its client.
type Fate string

// Fates of a query.
const (
	Answered Fate = "answered" // with any status
	NotTaken Fate = "not taken"
	NoAnswer Fate = "no answer"
	Crossed  Fate = "crossed" // on a kept connection that was closed: it may have met the close, and then a client sends it again
	Twice    Fate = "two answers"
	Odd      Fate = "not an answer"
	KeptBack Fate = "kept back" // by the client: too many are open
)

// Sent is one query, as its client saw it.
type Sent struct {
	ID       string
	At, End  time.Time
	To       int // place of the process
	Fate     Fate
	Status   int
	Finished bool // with all that it asked for
	Fresh    bool // on a connection of its own
	Err      string
}

// Stream sends queries at a steady rate to all processes in turn, whatever becomes of those before.
type Stream struct {
	Addresses []string
	Shards    int
	Rate      float64 // queries/s, to all together; Quicken changes it
	Seed      uint64

	mu     sync.Mutex
	sent   []Sent
	open   []int
	idle   [][]net.Conn
	wg     sync.WaitGroup
	ended  chan struct{}
	closed bool
}

// Start begins to send.
func (s *Stream) Start() {
	s.open, s.idle, s.ended = make([]int, len(s.Addresses)), make([][]net.Conn, len(s.Addresses)), make(chan struct{})
	s.wg.Go(func() {
		rng := rand.New(rand.NewPCG(s.Seed, 0x57))
		at := time.Now()
		for n := 0; ; n++ {
			s.mu.Lock()
			rate := s.Rate
			s.mu.Unlock()
			at = at.Add(time.Duration(float64(time.Second) / rate))
			t := time.NewTimer(time.Until(at))
			select {
			case <-t.C:
			case <-s.ended:
				t.Stop()
				return
			}
			to, shard, fresh := n%len(s.Addresses), rng.IntN(s.Shards), rng.IntN(2) == 0
			s.wg.Go(func() { s.one(n, to, shard, fresh) })
		}
	})
}

// Quicken has it send so many queries/s from now on.
func (s *Stream) Quicken(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Rate = rate
}

// Stop ends it, waits for all that is open, and lists all that was sent.
func (s *Stream) Stop() []Sent {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.ended)
	}
	s.mu.Unlock()
	s.wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cs := range s.idle {
		for _, c := range cs {
			c.Close()
		}
	}
	s.idle = make([][]net.Conn, len(s.Addresses))
	return s.sent
}

// QueryOf tells to which process a part's query was sent, by the part's id; -1 for no query of a stream's.
func QueryOf(id string) int {
	text, _, ok := strings.Cut(strings.TrimPrefix(id, "q"), "-")
	to, err := strconv.Atoi(text)
	if !ok || err != nil || !strings.HasPrefix(id, "q") {
		return -1
	}
	return to
}

func (s *Stream) one(n, to, shard int, fresh bool) {
	q := Sent{ID: fmt.Sprintf("q%d-%d", to, n), At: time.Now(), To: to, Fresh: fresh}
	s.mu.Lock()
	if s.open[to] >= openMost {
		q.Fate, q.End = KeptBack, q.At
		s.sent = append(s.sent, q)
		s.mu.Unlock()
		return
	}
	s.open[to]++
	var nc net.Conn
	if last := len(s.idle[to]) - 1; last >= 0 && !fresh {
		nc, s.idle[to] = s.idle[to][last], s.idle[to][:last]
	}
	s.mu.Unlock()
	reused := nc != nil
	var err error
	if reused {
		nc.SetReadDeadline(time.Time{}) // else one that has passed tells nothing
	}
	if reused && closedMeanwhile(nc) {
		nc.Close()
		nc, reused = nil, false
	}
	if nc == nil {
		nc, err = net.DialTimeout("tcp4", s.Addresses[to], clientWait)
	}
	keep := false
	if err != nil {
		q.Fate, q.Err = NotTaken, err.Error()
	} else {
		keep = q.ask(nc, shard, reused)
	}
	q.End = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[to]--
	s.sent = append(s.sent, q)
	if keep && !fresh && !s.closed {
		s.idle[to] = append(s.idle[to], nc)
	} else if nc != nil {
		nc.Close()
	}
}

// closedMeanwhile tells whether the other side has closed a connection on which nothing was open, or said something. It looks
// without a time: a read with a short one ends without a look on a machine that does not keep up.
func closedMeanwhile(nc net.Conn) bool {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err != nil || !open
}

// ask sends the query and reads what comes of it. It tells whether the connection may be used again.
func (q *Sent) ask(nc net.Conn, shard int, reused bool) bool {
	nc.SetDeadline(q.At.Add(clientMost))
	body := fmt.Sprintf(`{"buckets":[{"bucket":%d,"part":1}],"body":"c41e77d0"}`, shard)
	head := fmt.Sprintf("POST /search HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n",
		q.ID, clientWait.Milliseconds(), len(body))
	if q.Fresh {
		head += "Connection: close\r\n"
	}
	if _, err := io.WriteString(nc, head+"\r\n"+body); err != nil {
		q.Fate, q.Err = NoAnswer, err.Error()
		if reused && closedBy(err) {
			q.Fate = Crossed
		}
		return false
	}
	in := bufio.NewReader(nc)
	if _, err := in.Peek(1); err != nil {
		q.Fate, q.Err = NoAnswer, err.Error()
		if reused && closedBy(err) {
			q.Fate = Crossed
		}
		return false
	}
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		q.Fate, q.Err = Odd, err.Error()
		return false
	}
	text, err := io.ReadAll(r.Body)
	r.Body.Close()
	if err != nil {
		q.Fate, q.Err = Odd, err.Error()
		return false
	}
	q.Fate, q.Status = Answered, r.StatusCode
	q.Finished = r.StatusCode == 200 && strings.Contains(string(text), `"finished":true`)
	if r.StatusCode == 200 && q.Finished && !strings.Contains(string(text), "v-"+q.ID+".") {
		q.Fate, q.Err = Odd, "another query's: "+string(text)
	}
	nc.SetReadDeadline(time.Now().Add(tailWait))
	if b, err := in.Peek(1); len(b) > 0 {
		q.Fate = Twice
		return false
	} else if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return !r.Close
}
