package logs

import (
	"io"
	"sync"
	"time"
)

// Queue is an io.Writer that never waits: lines queue up to a bound and one goroutine writes them on. What finds the
// queue full is dropped and counted, and the log tells how many as soon as it is read again.
type Queue struct {
	to      io.Writer
	dropped func(n int) []byte

	mu      sync.Mutex
	lines   [][]byte
	most    int
	usual   int
	lost    int
	closed  bool
	wake    chan struct{}
	written chan struct{} // closed when the last line is out after Close
}

// NewQueue returns a queue of at most so many lines before to. The line that tells of dropped ones comes from dropped.
func NewQueue(to io.Writer, most int, dropped func(n int) []byte) *Queue {
	q := &Queue{to: to, dropped: dropped, most: most, usual: most, wake: make(chan struct{}, 1), written: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line; it always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	if q.closed || len(q.lines) >= q.most {
		q.lost++
	} else {
		q.lines = append(q.lines, append([]byte(nil), line...))
	}
	q.mu.Unlock()
	q.nudge()
	return len(line), nil
}

// Resize changes how many lines may wait; 0 is what it was made with.
func (q *Queue) Resize(most int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.most = most; most <= 0 {
		q.most = q.usual
	}
}

// Close lets what waits be written, for so long at the most. Lines that come later are dropped.
func (q *Queue) Close(wait time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.nudge()
	select {
	case <-q.written:
	case <-time.After(wait):
	}
}

func (q *Queue) nudge() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Queue) run() {
	defer close(q.written)
	for {
		q.mu.Lock()
		lines, lost, closed := q.lines, q.lost, q.closed
		q.lines, q.lost = nil, 0
		q.mu.Unlock()
		for _, line := range lines {
			q.to.Write(line) // whoever reads the log may be gone; there is nowhere else to say so
		}
		if lost > 0 {
			q.to.Write(q.dropped(lost))
		}
		if len(lines) == 0 && lost == 0 {
			if closed {
				return
			}
			<-q.wake
		}
	}
}
