package sessionowner

import (
	"time"

	"birchcart/internal/fleet/completed"
)

// query is one that waits or runs.
type query struct {
	token  uint64
	no     uint64 // of its arrival here
	client uint64
	id     completed.ID
	s      *sess
	needs  []string
	due    time.Duration
	window time.Duration // Keyed: how long; from its beginning, when that has its time
	key    time.Duration // in the heap: when something is to be done
	place  int32         // there, -1: not in it
	spot   int           // Unsafe, and it runs: in Keeper.unsafe
	epoch  uint64        // under which it began
	seq    uint64

	effect  Effect
	runs    bool // else it waits
	over    bool // it counts for its session no more
	told    bool // its client has its word, or has gone
	strays  bool // it has ended, and what is out of it is waited for
	allowed bool // its served answer was allowed: that was its word

	prev, next *query // of the session's that wait, or of those that run
	began      time.Duration
}

// list of queries in the order in which they came into it.
type list struct{ head, tail *query }

func (l *list) add(q *query) {
	q.prev, q.next = l.tail, nil
	if l.tail == nil {
		l.head = q
	} else {
		l.tail.next = q
	}
	l.tail = q
}

func (l *list) drop(q *query) {
	if q.prev == nil {
		l.head = q.next
	} else {
		q.prev.next = q.next
	}
	if q.next == nil {
		l.tail = q.prev
	} else {
		q.next.prev = q.prev
	}
	q.prev, q.next = nil, nil
}

// heap of the queries by when something is to be done about them, and then by their arrival.
type heap []*query

func before(a, b *query) bool { return a.key < b.key || a.key == b.key && a.no < b.no }

func (h heap) put(i int, q *query) {
	h[i] = q
	q.place = int32(i)
}

func (h heap) up(i int) {
	q := h[i]
	for i > 0 {
		over := (i - 1) / 2
		if !before(q, h[over]) {
			break
		}
		h.put(i, h[over])
		i = over
	}
	h.put(i, q)
}

func (h heap) down(i int) {
	q := h[i]
	for {
		c := 2*i + 1
		if c >= len(h) {
			break
		}
		if c+1 < len(h) && before(h[c+1], h[c]) {
			c++
		}
		if !before(h[c], q) {
			break
		}
		h.put(i, h[c])
		i = c
	}
	h.put(i, q)
}

// set puts a query in, or moves it to another time.
func (h *heap) set(q *query, at time.Duration) {
	q.key = at
	if q.place < 0 {
		*h = append(*h, q)
		h.up(len(*h) - 1)
		return
	}
	i := int(q.place)
	h.up(i)
	h.down(int(q.place))
}

func (h *heap) drop(q *query) {
	if q.place < 0 {
		return
	}
	i, last := int(q.place), len(*h)-1
	moved := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.place = -1
	if i < last {
		h.put(i, moved)
		h.up(i)
		h.down(int(moved.place))
	}
}

// sess is what is kept of a session.
type sess struct {
	id     [16]byte
	epoch  uint64 // of the ownership; claiming: of an ownership of before that has to end first
	seq    uint64 // queries begun
	fence  uint64 // frozen: of the offer
	client uint64 // who opened it here
	used   time.Duration
	again  time.Duration    // acting: when its act is due again
	ran    completed.Record // its latest queries that must not run twice; adopting: their windows by the time since the hand
	handed time.Duration    // adopting: own time of the first proposal to adopt it, and the agreed one of the hand
	wait   list
	open   list // until their Ended, so beyond over

	waits uint16
	runs  uint16 // open and not over
	alone uint16 // of these, Keyed or Unsafe
	left  uint16 // open and over
	phase Phase
	lane  uint8

	idle    bool // in the list of idle ones, else in acting, or in none
	acts    bool // in the list of those acting
	counted bool // against its client
	adopts  bool // this process has proposed to adopt it
	unread  bool // adopting: what the hand carried is of no form that is known here

	prev, next         *sess // of idle ones or those acting
	at                 *slot // where its first waiting query lacks a slot
	prevSlot, nextSlot *sess // of those that lack one there
}

// ring of sessions, in the order in which they came into it.
type ring struct {
	head, tail *sess
	n          int
}

func (r *ring) add(s *sess) {
	s.prev, s.next = r.tail, nil
	if r.tail == nil {
		r.head = s
	} else {
		r.tail.next = s
	}
	r.tail = s
	r.n++
}

func (r *ring) drop(s *sess) {
	if s.prev == nil {
		r.head = s.next
	} else {
		s.prev.next = s.next
	}
	if s.next == nil {
		r.tail = s.prev
	} else {
		s.next.prev = s.prev
	}
	s.prev, s.next = nil, nil
	r.n--
}
