package mailbox

import (
	"fmt"
	"testing"
)

// Waiting messages are limited by number and by bytes; the newest are kept, in order.
func TestQueueIsBoundedByCountAndBytes(t *testing.T) {
	for _, size := range []int{10, 1 << 20, 3 << 20} {
		m := New()
		raw := make([]byte, size)
		for range 2 * MaxMessages {
			m.Put(Message{From: "old", Raw: raw})
		}
		m.Put(Message{From: "new", Raw: raw})
		n, last, queued := 0, "", m.size.Load()
		for len(m.Messages) > 0 {
			l := <-m.Messages
			m.Release(l)
			n, last = n+1, l.From
		}
		if want := min(MaxMessages, MaxBytes/size); n != want || last != "new" || queued != int64(n*size) || m.size.Load() != 0 {
			t.Errorf("%d messages of %d bytes, %d bytes in all, the last %q, want %d; %d bytes are left", n, size, queued, last, want, m.size.Load())
		}
	}
}

// A full queue drops the oldest messages, and Put never blocks.
func TestFullQueueDropsOldest(t *testing.T) {
	m := New()
	for i := range MaxMessages + 10 {
		m.Put(Message{From: fmt.Sprint(i)})
	}
	if first := <-m.Messages; first.From != "10" || m.Dropped.Load() != 10 || len(m.Messages) != MaxMessages-1 {
		t.Errorf("the first is %s of %d, %d were dropped", first.From, len(m.Messages), m.Dropped.Load())
	}
}
