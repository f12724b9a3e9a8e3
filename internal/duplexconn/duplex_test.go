package duplexconn

import (
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"testing"
	"time"
)

// queue is a source that others fill.
type queue struct {
	mu    sync.Mutex
	out   []byte
	until time.Time
	end   error
	wrote int
}

func (q *queue) Pull(buf []byte) ([]byte, time.Time, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	buf = append(buf, q.out...)
	q.out = nil
	if !q.until.IsZero() && time.Now().After(q.until) {
		return buf, q.until, errors.New("time is up")
	}
	return buf, q.until, q.end
}

func (q *queue) Wrote(n int) { q.wrote += n }

func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// What is queued while the goroutine sits in Read goes out, and the same Read still sees the peer leave.
func TestWritesWhileReading(t *testing.T) {
	peer, mine := pair(t)
	q := &queue{}
	c := New(mine, q, time.Second)
	ended := make(chan error, 1)
	go func() {
		var b [10]byte
		_, err := c.Read(b[:])
		ended <- err
	}()
	for range 100 { // a wake must not be lost, wherever the goroutine is
		q.mu.Lock()
		q.out = append(q.out, 'x')
		q.mu.Unlock()
		c.Wake()
		var b [1]byte
		peer.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(peer, b[:]); err != nil || b[0] != 'x' {
			t.Fatalf("%q, %v", b, err)
		}
	}
	peer.Close()
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Fatalf("ended by %v", err)
	}
	if q.wrote != 100 {
		t.Errorf("told of %d bytes", q.wrote)
	}
}

func TestTheSourceEndsTheConnection(t *testing.T) {
	peer, mine := pair(t)
	done := errors.New("done")
	q := &queue{out: []byte("bye"), end: done}
	if _, err := New(mine, q, time.Second).Read(make([]byte, 1)); err != done {
		t.Fatalf("%v", err)
	}
	var b [3]byte
	if _, err := io.ReadFull(peer, b[:]); err != nil || string(b[:]) != "bye" {
		t.Fatalf("%q, %v", b, err)
	}
}

func TestTheSourceIsAskedWhenItsTimeHasCome(t *testing.T) {
	_, mine := pair(t)
	q := &queue{until: time.Now().Add(20 * time.Millisecond)}
	if _, err := New(mine, q, time.Second).Read(make([]byte, 1)); err == nil || err.Error() != "time is up" {
		t.Fatalf("%v", err)
	}
}

// A peer that takes nothing holds the goroutine for the write time and no longer, and the count tells how much
// went out.
func TestAPeerThatDoesNotRead(t *testing.T) {
	_, mine := pair(t)
	q := &queue{out: make([]byte, 64<<20)}
	began := time.Now()
	if _, err := New(mine, q, 50*time.Millisecond).Read(make([]byte, 1)); err == nil {
		t.Fatal("wrote to a peer that does not read")
	}
	if d := time.Since(began); d > 5*time.Second || q.wrote >= 64<<20 {
		t.Errorf("took %v, wrote %d", d, q.wrote)
	}
}

// Guards against requests that are written to a connection whose peer has closed it, which then may have run for all
// that is known: the end is read before anything is written. Bytes that wait are read first, too, and what is queued
// goes out after them.
func TestReadFirst(t *testing.T) {
	peer, mine := pair(t)
	q := &queue{out: []byte("bye")}
	io.WriteString(peer, "x")
	time.Sleep(20 * time.Millisecond)
	c := New(mine, q, time.Second).ReadFirst()
	c.Wake()
	var b [10]byte
	if n, err := c.Read(b[:]); n != 1 || err != nil || q.wrote != 0 {
		t.Fatalf("read %d bytes, %v, wrote %d", n, err, q.wrote)
	}
	go func() {
		io.ReadFull(peer, b[:3])
		peer.Close()
	}()
	if _, err := c.Read(b[5:]); err != io.EOF || q.wrote != 3 {
		t.Fatalf("%v, wrote %d", err, q.wrote)
	}
	q.out = []byte("more")
	c.Wake()
	if _, err := c.Read(b[:]); err != io.EOF || q.wrote != 3 {
		t.Fatalf("%v, wrote %d", err, q.wrote)
	}
}

// A peer that has sent on without being asked and then leaves is seen to leave, behind many times what is read at once,
// whether or not something is queued meanwhile.
func TestRestFindsTheEnd(t *testing.T) {
	peer, mine := pair(t)
	if _, err := peer.Write(make([]byte, 100_000)); err != nil {
		t.Fatal(err)
	}
	peer.Close()
	ended := make(chan error, 1)
	go func() {
		ended <- New(mine, &queue{}, time.Second).Rest(RestLimits{Burst: 10_000, Pause: time.Millisecond, Total: math.MaxInt})
	}()
	select {
	case err := <-ended:
		if !errors.Is(err, io.EOF) {
			t.Errorf("ended by %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the end was not found")
	}
}

// counted counts what is read.
type counted struct {
	net.Conn
	mu   sync.Mutex
	read int
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.read += n
	c.mu.Unlock()
	return n, err
}

// Guards against peers that send without end: no more is read in a tick than was allowed, and what is queued in the pause
// goes out in it. The source's end and its time are heeded there, too.
func TestRestPauses(t *testing.T) {
	const most = 10_000
	for name, end := range map[string]func(*queue){
		"by itself": func(q *queue) { q.end = errors.New("done") },
		"by time":   func(q *queue) { q.until = time.Now().Add(20 * time.Millisecond) },
	} {
		peer, mine := pair(t)
		if _, err := peer.Write(make([]byte, 10*most)); err != nil {
			t.Fatal(err)
		}
		count, q := &counted{Conn: mine}, &queue{}
		c := New(count, q, time.Second)
		ended := make(chan error, 1)
		go func() { ended <- c.Rest(RestLimits{Burst: most, Pause: time.Hour, Total: math.MaxInt}) }()
		for stop := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			count.mu.Lock()
			read := count.read
			count.mu.Unlock()
			if read >= most {
				break
			}
			if time.Now().After(stop) {
				t.Fatalf("%s: %d bytes were read", name, read)
			}
		}
		for range 3 { // each wake is heard in the pause
			q.mu.Lock()
			q.out = []byte("x")
			q.mu.Unlock()
			c.Wake()
			peer.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		q.mu.Lock()
		end(q)
		q.mu.Unlock()
		c.Wake()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: not ended", name)
		}
		if count.read != most {
			t.Errorf("%s: %d bytes were read in a tick, want %d", name, count.read, most)
		}
	}
}
