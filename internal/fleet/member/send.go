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
	// SmallMost is the most bytes that go in one UDP packet, which leaves room for the engine's heads and the encryption.
	SmallMost = PacketMost - 200
	// LargeMost is the most bytes of one message.
	LargeMost = 8 << 20
	// LaneMost is how many large messages wait for one peer; further ones are refused. Twice as many: more that is old when it
	// comes; half: a snapshot on its way refuses the next words.
	LaneMost = 8
	// LaneBytes is the most bytes that wait for one peer; for all together twice this.
	LaneBytes = 16 << 20
	// InboxMost and InboxBytes: at the most so many messages and bytes wait here; further ones are dropped, as the
	// network might, and counted.
	InboxMost  = 1024
	InboxBytes = 32 << 20
)

// Errors of Send.
var (
	ErrUnknown = errors.New("member: nobody of this name was heard of")
	ErrFull    = errors.New("member: too much waits for this peer")
	ErrLarge   = errors.New("member: the message is too large")
	ErrClosed  = errors.New("member: closed")
)

// Send sends a message to a member, in one UDP packet if it fits, else over TCP in the peer's own lane, so that no slow
// peer delays another. It does not wait, and nil is no promise that it arrives.
func (m *Members) Send(name string, raw []byte) error {
	if len(raw) > LargeMost {
		return fmt.Errorf("%w: %d bytes, %d at the most", ErrLarge, len(raw), LargeMost)
	}
	node, ok := m.news.node(name)
	if !ok {
		return fmt.Errorf("%w: %q", ErrUnknown, name)
	}
	b := make([]byte, 0, 2+len(m.o.Name)+len(raw))
	b = append(append(b, kindMessage, byte(len(m.o.Name))), m.o.Name...)
	b = append(b, raw...)
	if len(b) <= SmallMost {
		select {
		case <-m.stop:
			return ErrClosed
		default:
			return m.list.SendBestEffort(&node, b)
		}
	}
	return m.lanes.put(name, node, b)
}

type message struct {
	node memberlist.Node
	raw  []byte
}

// lanes has a queue for each peer to which something large is under way; its goroutine ends when it is empty.
type lanes struct {
	m      *Members
	mu     sync.Mutex
	by     map[string][]message
	bytes  map[string]int
	total  int
	closed bool
	done   sync.WaitGroup
}

func (l *lanes) init(m *Members) {
	l.m, l.by, l.bytes = m, map[string][]message{}, map[string]int{}
}

func (l *lanes) put(name string, node memberlist.Node, raw []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	queue, running := l.by[name]
	if len(queue) >= LaneMost || l.bytes[name]+len(raw) > LaneBytes || l.total+len(raw) > 2*LaneBytes {
		return fmt.Errorf("%w: %q", ErrFull, name)
	}
	l.by[name] = append(queue, message{node, raw})
	l.bytes[name] += len(raw)
	l.total += len(raw)
	if !running {
		l.done.Add(1)
		go l.run(name)
	}
	return nil
}

func (l *lanes) run(name string) {
	defer l.done.Done()
	for {
		l.mu.Lock()
		queue := l.by[name]
		if len(queue) == 0 || l.closed {
			l.total -= l.bytes[name]
			delete(l.by, name)
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
		l.by[name] = l.by[name][1:]
		l.bytes[name] -= len(next.raw)
		l.total -= len(next.raw)
		l.mu.Unlock()
	}
}

// wait ends the lanes; what is under way takes StreamWait at the most.
func (l *lanes) wait() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.done.Wait()
}

type inbox struct {
	to      func(from string, raw []byte)
	queue   chan []byte
	bytes   atomic.Int64
	dropped atomic.Int64
}

func (i *inbox) init(to func(string, []byte)) {
	i.to, i.queue = to, make(chan []byte, InboxMost)
}

func (i *inbox) put(b []byte) {
	if i.to == nil || len(b) < 1 || len(b) < 1+int(b[0]) {
		return
	}
	if i.bytes.Add(int64(len(b))) > InboxBytes {
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
			i.to(string(b[1:1+b[0]]), b[1+b[0]:])
		}
	}
}

// Dropped is how many messages found the inbox full.
func (m *Members) Dropped() int64 { return m.inbox.dropped.Load() }
