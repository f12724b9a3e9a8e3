package fleet

import (
	"sync/atomic"
	"time"
)

// MailMost is the messages that wait for the node's goroutine. The oldest goes first: polls, words and asks come again.
// Twice as many: what is read after a stall is older; half: a stall of half the length loses some at 300 co-ordinators.
const MailMost = 1024

// MailBytes bounds them as well: a letter may have some MB, as one with the acts of many sessions. Twice as many: that much more
// memory while the node's goroutine stalls; half: a leader loses acts sooner, which come again.
const MailBytes = 32 << 20

// letter is one message of another co-ordinator.
type letter struct {
	from string
	raw  []byte
	at   time.Duration // own time of its coming
}

// mail is a bounded queue that never keeps its writers waiting.
type mail struct {
	queue   chan letter
	bytes   atomic.Int64 // in the queue; those that put them know them first
	dropped atomic.Int64
}

func newMail() *mail { return &mail{queue: make(chan letter, MailMost)} }

// put adds a letter; if there is no room the oldest are dropped for it.
func (m *mail) put(l letter) {
	full := m.bytes.Add(int64(len(l.raw))) > MailBytes
	for {
		if !full {
			select {
			case m.queue <- l:
				return
			default:
			}
		}
		select {
		case old := <-m.queue:
			m.took(old)
			m.dropped.Add(1)
		default:
		}
		full = m.bytes.Load() > MailBytes && len(m.queue) > 0
	}
}

// took notes that a letter is out of the queue.
func (m *mail) took(l letter) { m.bytes.Add(-int64(len(l.raw))) }
