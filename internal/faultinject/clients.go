package faultinject

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is one that a client sent, and how it ended.
type Request struct {
	ID      string
	Unsafe  bool
	Sent    time.Time // its last byte was written
	Wait    time.Duration
	Status  int       // of its answer, 0 for none
	Ended   time.Time // the answer's last byte, or the end of the connection
	Left    time.Time // the client closed its connection, zero if it did not
	Crossed bool      // the connection ended before any byte of an answer
	Repeat  bool      // it goes again on a new connection, since the close of the one before crossed it
	Err     string    // what is wrong with its answer
}

// Traffic is what clients send: Connections of them, each sending one request after the other on a connection that it keeps for as
// long as it stays open.
type Traffic struct {
	Address     string
	Shards      int
	Connections int
	Think       time.Duration // mean pause between an answer and the next request
	Wait        time.Duration // what clients wait for an answer
	UnsafeClass string        // "" for none
	SafeClass   string
	UnsafeShare float64 // of the requests
	LeaveShare  float64 // of the requests: the client closes before the answer
	Seed        uint64

	number   atomic.Uint64
	stopping atomic.Bool
	running  sync.WaitGroup
	mu       sync.Mutex
	requests []Request
}

// Start has the clients begin.
func (t *Traffic) Start() {
	for i := range t.Connections {
		t.running.Go(func() { t.client(rand.New(rand.NewPCG(t.Seed, uint64(i)))) })
	}
}

// Stop has each client end after its open request, and returns all requests.
func (t *Traffic) Stop() []Request {
	t.stopping.Store(true)
	t.running.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

func (t *Traffic) add(r Request) {
	t.mu.Lock()
	t.requests = append(t.requests, r)
	t.mu.Unlock()
}

// Served is how many requests were answered with 200 so far.
func (t *Traffic) Served() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.requests {
		if t.requests[i].Status == http.StatusOK {
			n++
		}
	}
	return n
}

const reconnectWait = 20 * time.Millisecond // where nobody listens

// client opens connections until the traffic stops.
func (t *Traffic) client(rng *rand.Rand) {
	var again *Request
	for !t.stopping.Load() || again != nil {
		conn, err := net.Dial("tcp", t.Address)
		if err != nil {
			if again != nil { // refused: it was never read, and its client gives up
				again = nil
			}
			time.Sleep(reconnectWait)
			continue
		}
		again = t.converse(conn, rng, again)
		conn.Close()
	}
}

// converse sends requests on one connection until it ends. It returns a request that the connection's end has crossed and that
// goes once more on a new one.
func (t *Traffic) converse(conn net.Conn, rng *rand.Rand, first *Request) (again *Request) {
	in := bufio.NewReader(conn)
	for {
		if first == nil && t.stopping.Load() {
			return nil
		}
		r := t.next(rng)
		if first != nil {
			r.Repeat, first = true, nil
		}
		leave := rng.Float64() < t.LeaveShare
		if _, err := io.WriteString(conn, t.text(&r, rng)); err != nil {
			r.Crossed, r.Ended = true, time.Now()
			t.add(r)
			return t.crossed(&r)
		}
		r.Sent = time.Now()
		if leave {
			time.Sleep(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			r.Left = time.Now()
			conn.Close()
			r.Ended = r.Left
			t.add(r)
			return nil
		}
		last := t.await(conn, in, &r)
		t.add(r)
		if r.Crossed {
			return t.crossed(&r)
		}
		if last {
			return nil
		}
		pause := time.Duration(rng.ExpFloat64() * float64(t.Think))
		conn.SetReadDeadline(time.Now().Add(pause))
		if _, err := in.Peek(1); !errors.Is(err, errTimeout(err)) {
			return nil // closed between requests
		}
	}
}

// errTimeout is the error itself if it tells of a time that ran out, else one that it is not.
func errTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return errNoTimeout
}

var errNoTimeout = errors.New("no timeout")

// crossed is the request that goes again, nil if this one did already.
func (t *Traffic) crossed(r *Request) *Request {
	if r.Repeat {
		return nil
	}
	return r
}

func (t *Traffic) next(rng *rand.Rand) Request {
	return Request{
		ID: fmt.Sprintf("%016x", t.Seed<<32|t.number.Add(1)), Wait: t.Wait,
		Unsafe: t.UnsafeClass != "" && rng.Float64() < t.UnsafeShare,
	}
}

// text is a request for all shards; an unsafe one is for a single shard.
func (t *Traffic) text(r *Request, rng *rand.Rand) string {
	class, shards := t.SafeClass, make([]int, t.Shards)
	for i := range shards {
		shards[i] = i
	}
	if r.Unsafe {
		class, shards = t.UnsafeClass, []int{rng.IntN(t.Shards)}
	}
	var parts []string
	for _, shard := range shards {
		parts = append(parts, fmt.Sprintf(`{"bucket":%d,"part":%.6f}`, shard, 1/float64(len(shards))))
	}
	body := `{"buckets":[` + strings.Join(parts, ",") + `],"body":"c41e77d0"}`
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: service\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		class, r.ID, r.Wait.Milliseconds(), len(body), body)
}

// lateAnswer is how long after its time a client still reads: later, an answer counts as none.
const lateAnswer = 500 * time.Millisecond

// await reads one answer; last says that the connection ends with it.
func (t *Traffic) await(conn net.Conn, in *bufio.Reader, r *Request) (last bool) {
	conn.SetReadDeadline(r.Sent.Add(r.Wait + lateAnswer))
	defer func() { r.Ended = time.Now() }()
	if _, err := in.Peek(1); err != nil {
		if errors.Is(err, errTimeout(err)) {
			r.Err = "no answer in its time"
			return true
		}
		r.Crossed = true
		return true
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		r.Err = "answer: " + err.Error()
		return true
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.Err = "body: " + err.Error()
		return true
	}
	r.Status = resp.StatusCode
	if r.Status == http.StatusOK && !strings.Contains(string(body), `"item":"v-`+r.ID+".") {
		r.Err = "an answer to something else: " + string(body)
	}
	return resp.Close
}
