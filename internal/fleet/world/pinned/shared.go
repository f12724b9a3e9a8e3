package pinned

import (
	"time"

	"birchcart/internal/fleet/keeper"
	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// reading is what a leader reads of its own copy. In a shared world that is the state above all, which a leader has at once.
type reading interface {
	migrate.Book
	Pool() *pool.Pool
}

func (c *co) reading() reading {
	if c.w.s.Shared {
		return c.w.top.book
	}
	return c.copy.book
}

// reader is what the keeper reads.
func (c *co) reader() keeper.Reader {
	if c.w.s.Shared {
		return past{c}
	}
	return c.copy.book
}

// changed is what a session was until an entry.
type changed struct {
	index int
	was   session.Record
	ok    bool
}

// past reads the shared state as it was at the entry up to which this co-ordinator has the log. Slots, limits and counts
// are read as they are now.
type past struct{ c *co }

func (p past) Get(id session.ID) (session.Record, bool) {
	w := p.c.w
	for _, ch := range w.was[id] {
		if ch.index > p.c.copy.index {
			return ch.was, ch.ok
		}
	}
	return w.top.book.Get(id)
}

// some yields those of the sessions that are now, or were lately, of a kind; each once, as they are seen from here.
func (p past) some(now func(func(session.Record) bool), is func(session.Record) bool, yield func(session.Record) bool) {
	w := p.c.w
	seen := map[session.ID]bool{}
	look := func(id session.ID) bool {
		if seen[id] {
			return true
		}
		seen[id] = true
		r, ok := p.Get(id)
		return !ok || !is(r) || yield(r)
	}
	for i := len(w.lately) - 1; i >= 0 && w.lately[i].index > p.c.copy.index; i-- {
		if !look(w.lately[i].id) {
			return
		}
	}
	now(func(r session.Record) bool { return look(r.ID) })
}

func (p past) Flights(yield func(session.Record) bool) {
	p.some(p.c.w.top.book.Flights, func(r session.Record) bool { return r.Phase == session.Offered || r.Phase == session.Handed }, yield)
}

func (p past) ByOwner(name string, yield func(session.Record) bool) {
	p.some(func(yield func(session.Record) bool) { p.c.w.top.book.ByOwner(name, yield) }, func(r session.Record) bool { return r.Owner == name }, yield)
}

// Owned is as it is now.
func (p past) Owned(name string) int { return p.c.w.top.book.Owned(name) }

func (p past) Pool() *pool.Pool { return p.c.w.top.book.Pool() }

func (p past) Limits() (session.Limits, int) { return p.c.w.top.book.Limits() }

// late is a session that an entry changed.
type late struct {
	index int
	id    session.ID
}

// remembers is how long ago an entry may be that a co-ordinator does not have yet, in a shared world, which has no faults.
const remembers = 10 * time.Second

// remember keeps what sessions were before an entry.
func (w *World) remember(ids []session.ID) {
	index := len(w.log)
	for _, id := range ids {
		if n := len(w.was[id]); n > 0 && w.was[id][n-1].index == index {
			continue
		}
		r, ok := w.top.book.Get(id)
		w.was[id] = append(w.was[id], changed{index, r, ok})
		w.lately = append(w.lately, late{index, id})
	}
	w.logAt = append(w.logAt, w.now)
	n := 0
	for n < len(w.lately) && w.logAt[w.lately[n].index-1] < w.now-remembers {
		id := w.lately[n].id
		if w.was[id] = w.was[id][1:]; len(w.was[id]) == 0 {
			delete(w.was, id)
		}
		n++
	}
	w.lately = w.lately[n:]
}
