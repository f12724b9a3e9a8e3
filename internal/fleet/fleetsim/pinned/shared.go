package pinned

import (
	"bytes"
	"reflect"
	"slices"
	"time"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
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
func (c *co) reader() sessionowner.AgreedState {
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

// some yields, of the sessions that changed lately and had to do with this co-ordinator before, and of those that are some now, what is of a
// kind as it is seen from here, each once.
func (p past) some(now func(func(session.ID) bool), is func(session.Record) bool, yield func(session.Record) bool) {
	w := p.c.w
	var seen map[session.ID]bool
	look := func(id session.ID) bool {
		if seen[id] {
			return true
		}
		r, ok := p.Get(id)
		return !ok || !is(r) || yield(r)
	}
	all := w.latelyOf[p.c.name]
	for i := len(all) - 1; i >= 0 && all[i].index > p.c.copy.index; i-- {
		if !look(all[i].id) {
			return
		}
		if seen == nil {
			seen = map[session.ID]bool{}
		}
		seen[all[i].id] = true
	}
	now(look)
}

// Moves are those that this co-ordinator has to do with: a keeper passes over all others.
func (p past) Moves(yield func(session.Record) bool) {
	now := func(look func(session.ID) bool) {
		for _, id := range p.c.w.near[p.c.name] {
			if !look(id) {
				return
			}
		}
	}
	p.some(now, func(r session.Record) bool { return inFlight(r) && slices.Contains(concerned(r), p.c.name) }, yield)
}

func (p past) ByOwner(name string, yield func(session.Record) bool) {
	now := func(look func(session.ID) bool) {
		p.c.w.top.book.ByOwner(name, func(r session.Record) bool { return look(r.ID) })
	}
	p.some(now, func(r session.Record) bool { return r.Owner == name }, yield)
}

func inFlight(r session.Record) bool {
	return r.Phase == session.Offered || r.Phase == session.HandedOver
}

// concerned are those that a session has to do with.
func concerned(r session.Record) (names []string) {
	for _, name := range []string{r.Owner, r.To, r.Source} {
		if name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
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

// remembers is how long ago an entry may be that a co-ordinator does not have yet, in a shared world: one is stopped there for 5 s at most,
// and polls lost in a row leave it behind for longer. Half: it may see what is newer than its log; twice: so much more is remembered.
const remembers = 20 * time.Second

// records are what sessions are before an entry.
func (w *World) records(ids []session.ID) (was []changed) {
	for _, id := range ids {
		r, ok := w.top.book.Get(id)
		was = append(was, changed{len(w.log), r, ok})
	}
	return was
}

// remember keeps what sessions were before the entry that was just applied, and gives those that it changed.
func (w *World) remember(ids []session.ID, was []changed) (out []session.ID) {
	w.logAt = append(w.logAt, w.Now)
	for i, id := range ids {
		r, ok := w.top.book.Get(id)
		if ok == was[i].ok && reflect.DeepEqual(r, was[i].was) {
			continue
		}
		if n := len(w.was[id]); n > 0 && w.was[id][n-1].index == len(w.log) {
			continue // named twice in the entry
		}
		out = append(out, id)
		w.was[id] = append(w.was[id], was[i])
		w.lately = append(w.lately, late{len(w.log), id})
		w.index(id, was[i], changed{0, r, ok})
	}
	n := 0
	for n < len(w.lately) && w.logAt[w.lately[n].index-1] < w.Now-remembers {
		id := w.lately[n].id
		if w.was[id] = w.was[id][1:]; len(w.was[id]) == 0 {
			delete(w.was, id)
		}
		n++
	}
	w.lately = w.lately[n:]
	return out
}

// index keeps, by co-ordinator, what is in flight and what changed lately.
func (w *World) index(id session.ID, was, now changed) {
	if was.ok {
		for _, name := range concerned(was.was) {
			all := append(w.latelyOf[name], late{len(w.log), id})
			n := 0
			for w.logAt[all[n].index-1] < w.Now-remembers {
				n++
			}
			w.latelyOf[name] = all[n:]
		}
	}
	near := func(r changed, in bool) {
		if !r.ok || !inFlight(r.was) {
			return
		}
		for _, name := range concerned(r.was) {
			all := w.near[name]
			at, found := slices.BinarySearchFunc(all, id, func(a, b session.ID) int { return bytes.Compare(a[:], b[:]) })
			switch {
			case in && !found:
				w.near[name] = slices.Insert(all, at, id)
			case !in && found:
				w.near[name] = slices.Delete(all, at, at+1)
			}
		}
	}
	near(was, false)
	near(now, true)
}
