package fleetsim

import (
	"fmt"
	"reflect"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/maintenance"
)

// canon digests a copy of the agreed state as it counts by its own time. Commands that it remembers are those in grants.
func (b *book) canon() uint64 {
	if b.sum == 0 {
		now, old := b.led.Now()-clockwork.Epoch, oldShort
		if l, _ := b.out.Limits(); l.FailurePause > oldShort/maintenance.MaxPauseFactor {
			old = oldMost
		}
		b.sum = canonOf(now, old, b.led)*31 + canonOf(now, old, b.out)
	}
	return b.sum
}

// digest of all that the future depends on, as it counts now.
func (s *small) digest() uint64 {
	old := oldMost
	if s.plan != AllPlan {
		old = oldShort
	}
	c := canon{now: s.now, old: old}
	if s.sum == 0 {
		s.sum = canonOf(s.now, old, s.checker)
		s.sumAt = s.now
	}
	c.word(s.sum)
	c.time(s.sumAt, whole)
	c.word(uint64(s.leader))
	c.word(s.term)
	c.value(reflect.ValueOf(s.rooms), whole)
	c.value(reflect.ValueOf(s.cut), whole)
	c.value(reflect.ValueOf(s.left), whole)
	last := s.books[len(s.books)-1]
	c.word(last.canon())
	c.time(last.led.Now(), whole)
	c.value(reflect.ValueOf(s.list), whole)
	if s.left.Again > 0 {
		for _, g := range s.grants {
			c.text(g.machine)
			c.time(g.at, whole)
		}
	}
	c.word(uint64(len(s.grants)))
	for i := range s.nodes {
		n := &s.nodes[i]
		if n.sum == 0 {
			n.sum = canonOf(s.now, old, n.view)
			n.sumAt = s.now
		}
		c.word(n.sum)
		c.time(n.sumAt, whole)
		at := s.books[n.applied]
		c.word(at.canon())
		c.time(at.led.Now(), whole)
		c.word(uint64(len(s.books) - n.applied))
		if n.leads {
			c.word(n.term)
			for j := range s.nodes {
				c.word(uint64(min(s.silent(i, j), old)))
			}
			c.value(reflect.ValueOf(n.laid), whole)
		}
		c.value(reflect.ValueOf(n.drains), whole)
		c.value(reflect.ValueOf(n.file), whole)
		c.value(reflect.ValueOf(n.list), whole)
		c.word(uint64(n.knows)<<32 | uint64(n.fails))
	}
	s.starts(&c)
	var words uint64
	for _, w := range s.words { // their order is that of their sending, and at once is when they are delivered
		e := canon{now: s.now, old: old, sum: words}
		e.value(reflect.ValueOf(w.Laid), whole)
		of := w.From
		if w.Answer {
			of = w.To
		}
		e.word(s.nodes[of].polled - w.No)
		e.word(uint64(w.From)<<32 | uint64(w.To)<<1)
		e.value(reflect.ValueOf(w.Answer), whole)
		if w.Answer {
			e.word(uint64(len(s.books) - w.Index))
			e.word(w.Term)
		}
		if at, ok := s.nodes[of].sent[w.No]; ok {
			e.time(at, whole)
		}
		words = e.sum
	}
	c.word(words)
	return c.sum
}

// starts says which copies of a machine's start are its newest: old ones count as one otherwise.
func (s *small) starts(c *canon) {
	for j, r := range s.rooms {
		var same uint64
		for i := range s.nodes {
			n := &s.nodes[i]
			m, _ := s.books[n.applied].out.Machine(fmt.Sprintf("r%d", j))
			if m.Started == r.start {
				same |= 1 << (2 * i)
			}
			if n.list[j].Started == r.start {
				same |= 2 << (2 * i)
			}
		}
		if m, _ := s.books[len(s.books)-1].out.Machine(fmt.Sprintf("r%d", j)); m.Started == r.start {
			same |= 1 << 62
		}
		c.word(same)
	}
}
