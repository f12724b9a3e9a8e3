package member

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/memberlist"
)

// Limits of messages and of the queues that hold them.
const (
	// MaxPacketMessage is the maximum number of bytes that go in one UDP packet, which leaves room for memberlist's heads and the encryption.
	MaxPacketMessage = MaxPacketSize - 200
	// MaxMessageSize is the maximum number of bytes of one message.
	MaxMessageSize = 8 << 20
	// MaxQueuedMessages is how many large messages wait for one peer; further ones are refused. Twice as many: more that is old when it
	// comes; half: a snapshot on its way refuses the next words.
	MaxQueuedMessages = 8
	// MaxQueuedBytes is the maximum number of bytes that wait for one peer; for all together twice this.
	MaxQueuedBytes = 16 << 20
	// MaxInboxMessages and MaxInboxBytes: at the most so many messages and bytes wait here; further ones are dropped, as the
	// network might, and counted.
	MaxInboxMessages = 1024
	MaxInboxBytes    = 32 << 20
)

// Errors of Send.
var (
	ErrUnknown  = errors.New("member: nobody of this name was heard of")
	ErrFull     = errors.New("member: too much waits for this peer")
	ErrTooLarge = errors.New("member: the message is too large")
	ErrClosed   = errors.New("member: closed")
)

// Send sends a message to a member, in one UDP packet if it fits, else over TCP in the peer's own queue, so that no slow
// peer delays another. It does not wait, and nil is no promise that it arrives.
func (m *Members) Send(name string, raw []byte) error {
	if len(raw) > MaxMessageSize {
		return fmt.Errorf("%w: %d bytes, %d at the most", ErrTooLarge, len(raw), MaxMessageSize)
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

type message struct {
	node memberlist.Node
	raw  []byte
}

// queues has a queue for each peer to which something large is under way; its goroutine ends when it is empty.
type sendQueues struct {
	m        *Members
	mu       sync.Mutex
	messages map[string][]message
	bytes    map[string]int
	total    int
	closed   bool
	done     sync.WaitGroup
}

func (l *sendQueues) init(m *Members) {
	l.m, l.messages, l.bytes = m, map[string][]message{}, map[string]int{}
}

func (l *sendQueues) enqueue(name string, node memberlist.Node, raw []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	queue, running := l.messages[name]
	if len(queue) >= MaxQueuedMessages || l.bytes[name]+len(raw) > MaxQueuedBytes || l.total+len(raw) > 2*MaxQueuedBytes {
		return fmt.Errorf("%w: %q", ErrFull, name)
	}
	l.messages[name] = append(queue, message{node, raw})
	l.bytes[name] += len(raw)
	l.total += len(raw)
	if !running {
		l.done.Add(1)
		go l.run(name)
	}
	return nil
}

func (l *sendQueues) run(name string) {
	defer l.done.Done()
	for {
		l.mu.Lock()
		queue := l.messages[name]
		if len(queue) == 0 || l.closed {
			l.total -= l.bytes[name]
			delete(l.messages, name)
			delete(l.bytes, name)
			l.mu.Unlock()
			return
		}
		next := queue[0]
		l.mu.Unlock()
		if err := l.m.list.SendReliable(&next.node, next.raw); err != nil {
			l.m.log.Debugf("%d bytes to %s: %v", len(next.raw), name, err)
		}
		l.mu.Lock()
		l.messages[name] = l.messages[name][1:]
		l.bytes[name] -= len(next.raw)
		l.total -= len(next.raw)
		l.mu.Unlock()
	}
}

// close ends the queues; what is under way takes TCPTimeout at the most.
func (l *sendQueues) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.done.Wait()
}

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

// Dropped is how many messages found the inbox full.
func (m *Members) Dropped() int64 { return m.inbox.dropped.Load() }
