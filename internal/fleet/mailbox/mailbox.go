// Package mailbox provides the bounded queue of messages between the gossip and the node's loop. Writers never block: when the queue is
// full, the oldest message is dropped.
package mailbox

import (
	"sync/atomic"
	"time"
)

// MaxMessages is the maximum number of messages that wait for the node's loop. The oldest are dropped first, because polls, replies and reports are
// repeated. With twice as many, messages read after a stall are older; with half, a stall half as long loses messages at 300
// co-ordinators.
const MaxMessages = 1024

// MaxBytes is the maximum number of bytes of waiting messages: a message with the actions of many sessions may have several MB. Twice as many take
// that much more memory while the node's loop stalls; with half, a leader drops actions sooner, which are repeated.
const MaxBytes = 32 << 20

// Message is one message of another co-ordinator.
type Message struct {
	From string
	Raw  []byte
	At   time.Duration // local monotonic time at which it arrived
}

// Queue is the bounded queue. A reader receives from Messages and calls Release for each message.
type Queue struct {
	Messages chan Message
	size     atomic.Int64 // of the queued messages, added before a message is queued
	Dropped  atomic.Int64 // messages dropped since the start
}

// New returns an empty queue.
func New() *Queue { return &Queue{Messages: make(chan Message, MaxMessages)} }

// Put adds a message; if the queue is full, it drops the oldest ones first.
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

// Release subtracts a message that was received from Messages from the bytes in the queue.
func (q *Queue) Release(m Message) { q.size.Add(-int64(len(m.Raw))) }
