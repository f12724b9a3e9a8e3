package member

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/memberlist"
)

// Limits on messages and on their queues.
const (
	// MaxPacketMessage is the maximum number of message bytes in one UDP packet. The rest is for memberlist's headers and the encryption.
	MaxPacketMessage = MaxPacketSize - 200
	// MaxMessageSize is the maximum number of bytes of one message.
	MaxMessageSize = 8 << 20
	// MaxQueuedMessages is the maximum number of large messages queued for one peer; further ones are rejected. With twice as many, more
	// messages would be outdated on arrival; with half, messages would be rejected while a snapshot is being sent.
	MaxQueuedMessages = 8
	// MaxQueuedBytes is the maximum number of bytes queued for one peer; the limit for all peers together is twice this.
	MaxQueuedBytes = 16 << 20
	// MaxInboxMessages is the maximum number of received messages that are queued here. Further ones are dropped, as the network may do, and
	// counted.
	MaxInboxMessages = 1024
	// MaxInboxBytes is the maximum number of bytes of received messages that are queued here, with the same effect.
	MaxInboxBytes = 32 << 20
)

// Errors of Send.
var (
	ErrUnknown  = errors.New("member: unknown member")
	ErrFull     = errors.New("member: the send queue is full")
	ErrTooLarge = errors.New("member: the message is too large")
	ErrClosed   = errors.New("member: closed")
)

// Send sends a message to a member, in one UDP packet if it fits, otherwise over TCP through a queue per peer, so that a slow peer
// does not delay others. It does not wait, and a nil error does not mean that the message arrives.
func (m *Members) Send(name string, raw []byte) error {
	if len(raw) > MaxMessageSize {
		return fmt.Errorf("%w: %d bytes, the maximum is %d", ErrTooLarge, len(raw), MaxMessageSize)
	}
	node, ok := m.table.node(name)
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknown, name)
	}
	b := make([]byte, 0, 2+len(m.options.Name)+len(raw))
	b = append(append(b, kindMessage, byte(len(m.options.Name))), m.options.Name...)
	b = append(b, raw...)
	if len(b) <= MaxPacketMessage {
		select {
		case <-m.stop:
			return ErrClosed
		default:
			return m.list.SendBestEffort(&node, b)
		}
	}
	return m.queues.enqueue(name, node, b)
}

// message is a large message queued for a peer.
type message struct {
	node memberlist.Node
	raw  []byte
}

// sendQueues holds a queue of large messages for each peer that has any, with a goroutine that ends when the queue is empty.
type sendQueues struct {
	m        *Members
	mu       sync.Mutex
	messages map[string][]message
	bytes    map[string]int
	total    int
	closed   bool
	done     sync.WaitGroup
}

func (q *sendQueues) init(m *Members) {
	q.m, q.messages, q.bytes = m, map[string][]message{}, map[string]int{}
}

func (q *sendQueues) enqueue(name string, node memberlist.Node, raw []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	queue, running := q.messages[name]
	if len(queue) >= MaxQueuedMessages || q.bytes[name]+len(raw) > MaxQueuedBytes || q.total+len(raw) > 2*MaxQueuedBytes {
		return fmt.Errorf("%w: %q", ErrFull, name)
	}
	q.messages[name] = append(queue, message{node, raw})
	q.bytes[name] += len(raw)
	q.total += len(raw)
	if !running {
		q.done.Add(1)
		go q.run(name)
	}
	return nil
}

func (q *sendQueues) run(name string) {
	defer q.done.Done()
	for {
		q.mu.Lock()
		queue := q.messages[name]
		if len(queue) == 0 || q.closed {
			q.total -= q.bytes[name]
			delete(q.messages, name)
			delete(q.bytes, name)
			q.mu.Unlock()
			return
		}
		next := queue[0]
		q.mu.Unlock()
		if err := q.m.list.SendReliable(&next.node, next.raw); err != nil {
			q.m.log.Debugf("sending %d bytes to %s: %v", len(next.raw), name, err)
		}
		q.mu.Lock()
		q.messages[name] = q.messages[name][1:]
		q.bytes[name] -= len(next.raw)
		q.total -= len(next.raw)
		q.mu.Unlock()
	}
}

// close ends the queues and waits for the messages being sent, for at most TCPTimeout.
func (q *sendQueues) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.done.Wait()
}

// inbox queues received messages for Options.Receive. Each begins with the length of the sender's name and the name.
type inbox struct {
	receive func(from string, raw []byte)
	queue   chan []byte
	bytes   atomic.Int64
	dropped atomic.Int64
}

func (i *inbox) init(to func(string, []byte)) {
	i.receive, i.queue = to, make(chan []byte, MaxInboxMessages)
}

func (i *inbox) enqueue(b []byte) {
	if i.receive == nil || len(b) < 1 || len(b) < 1+int(b[0]) {
		return
	}
	if i.bytes.Add(int64(len(b))) > MaxInboxBytes {
		i.bytes.Add(-int64(len(b)))
		i.dropped.Add(1)
		return
	}
	select {
	case i.queue <- append([]byte{}, b...):
	default:
		i.bytes.Add(-int64(len(b)))
		i.dropped.Add(1)
	}
}

func (i *inbox) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case b := <-i.queue:
			i.bytes.Add(-int64(len(b)))
			i.receive(string(b[1:1+b[0]]), b[1+b[0]:])
		}
	}
}

// Dropped returns the number of received messages that were dropped because the inbox was full.
func (m *Members) Dropped() int64 { return m.inbox.dropped.Load() }
