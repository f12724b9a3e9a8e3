package pinned

import (
	"reflect"
	"slices"

	"birchcart/internal/fleet/session"
)

// digest of all that the future depends on.
func (s *small) digest() uint64 {
	c := canon{now: s.now, old: oldMost, books: map[*session.State]uint64{}, ranks: map[string][]uint64{}, gets: true}
	s.digestInto(&c)
	c.sum, c.gets = 0, false
	index := c.ranks["index"]
	slices.Sort(index)
	c.ranks["index"] = slices.Compact(index)
	s.digestInto(&c)
	return c.sum
}

func (s *small) digestInto(c *canon) {
	if s.err != nil { // what is broken already is never one with what is not
		c.text(s.err.Error())
	}
	c.rank("index", uint64(len(s.books)-1))
	c.book(s.top())
	for _, v := range []any{s.fence, s.asked, s.tokens, s.heard, s.releasing, s.left} {
		c.value(reflect.ValueOf(v), whole, "")
	}
	for i := range s.nodes {
		n := s.nodes[i]
		c.book(s.books[n.applied])
		if n.sure || n.until > 0 {
			c.value(reflect.ValueOf(n.until), ahead, "")
		}
		c.rank("index", uint64(n.applied))
		for _, is := range []bool{n.sure, n.asleep, n.started, n.started && s.now < n.born+smallLimits.Grace} {
			c.value(reflect.ValueOf(is), whole, "")
		}
		if n.started && s.now < n.born+smallLimits.Grace {
			c.time(n.born, whole)
		}
		c.part(reflect.ValueOf(n.keeper).Elem())
	}
	for _, q := range s.queries {
		if q.request == 0 { // its last try is over
			q = smallQueryState{tries: q.tries, over: q.over}
		}
		if q.parts != 3 {
			q.outcome = 0
		}
		c.value(reflect.ValueOf(q), whole, "")
	}
	var words uint64 // in any order
	for _, w := range s.words {
		e := canon{now: c.now, old: c.old, books: c.books, ranks: c.ranks, gets: c.gets}
		if w.answer {
			e.book(s.books[w.index])
			e.rank("index", uint64(w.index))
			w.index = 0
		}
		e.value(reflect.ValueOf(w), whole, "")
		words += e.sum
	}
	c.word(words)
	was := c.old
	c.old = oldChecked
	c.part(reflect.ValueOf(s.checker).Elem())
	c.old = was
}
