package fleet

import (
	"sync/atomic"
	"time"
)

// MailMost is the messages that wait for the node's goroutine. The oldest goes first: polls, words and asks come again.
// Twice as many: what is read after a stall is older; half: a stall of half the length loses some at 300 co-ordinators.
const MailMost = 1024

// letter is one message of another co-ordinator.
type letter struct {
	from string
	raw  []byte
	at   time.Duration // own time of its coming
}

// mail is a bounded queue that never keeps its writers waiting.
type mail struct {
	queue   chan letter
	dropped atomic.Int64
}

func newMail() *mail { return &mail{queue: make(chan letter, MailMost)} }

// put adds a letter; if there is no room the oldest is dropped for it.
func (m *mail) put(l letter) {
	for {
		select {
		case m.queue <- l:
			return
		default:
		}
		select {
		case <-m.queue:
			m.dropped.Add(1)
		default:
		}
	}
}
