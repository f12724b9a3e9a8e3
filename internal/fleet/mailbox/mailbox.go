// Package mailbox is the bounded queue of messages between the gossip and the node's loop. Its writers never wait: when it is full
// the oldest message is dropped.
package mailbox

import (
	"sync/atomic"
	"time"
)

// MaxMessages that wait for the node's loop. The oldest goes first: polls, replies and reports come again.
// Twice as many: what is read after a stall is older; half: a stall of half the length loses some at 300 co-ordinators.
const MaxMessages = 1024

// MaxBytes bounds them as well: a message may have some MB, as one with the acts of many sessions. Twice as many: that much more
// memory while the node's loop stalls; half: a leader loses acts sooner, which come again.
const MaxBytes = 32 << 20

// Message is one message of another co-ordinator.
type Message struct {
	From string
	Raw  []byte
	At   time.Duration // own time of its coming
}

// Queue is the bounded queue. A reader takes from Messages, and calls Taken for each.
type Queue struct {
	Messages chan Message
	size     atomic.Int64 // of the queued messages, added before a message is queued
	Dropped  atomic.Int64
}

// New makes an empty queue.
func New() *Queue { return &Queue{Messages: make(chan Message, MaxMessages)} }

// Put adds a message; if the queue is full the oldest are dropped for it.
func (q *Queue) Put(m Message) {
	full := q.size.Add(int64(len(m.Raw))) > MaxBytes
	for {
		if !full {
			select {
			case q.Messages <- m:
				return
			default:
			}
		}
		select {
		case old := <-q.Messages:
			q.Release(old)
			q.Dropped.Add(1)
		default:
		}
		full = q.size.Load() > MaxBytes && len(q.Messages) > 0
	}
}

// Release notes that a message was taken out of the queue.
func (q *Queue) Release(m Message) { q.size.Add(-int64(len(m.Raw))) }
