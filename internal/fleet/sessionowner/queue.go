package sessionowner

import (
	"time"

	"birchcart/internal/fleet/completed"
)

// query is one that waits or runs.
type query struct {
	token       uint64
	arrival     uint64 // of its arrival here
	client      uint64
	id          completed.ID
	session     *sessionEntry
	replicas    []string
	deadline    time.Duration
	window      time.Duration // Keyed: how long; from its beginning, when that has its time
	timerAt     time.Duration // in the heap: when something is to be done
	heapIndex   int32         // there, -1: not in it
	unsafeIndex int           // Unsafe, and it runs: in Keeper.unsafe
	epoch       uint64        // under which it began
	seq         uint64

	effect           Effect
	running          bool // else it waits
	detached         bool // it counts for its session no more
	responded        bool // its client has its response, or has gone
	awaitingReplicas bool // it has ended, and what is out of it is waited for
	answerAllowed    bool // its served answer was allowed: that was its response

	prev, next *query // of the session's that wait, or of those that run
	startedAt  time.Duration
}

// queryList of queries in the order in which they came into it.
type queryList struct{ head, tail *query }

func (l *queryList) add(q *query) {
	q.prev, q.next = l.tail, nil
	if l.tail == nil {
		l.head = q
	} else {
		l.tail.next = q
	}
	l.tail = q
}

func (l *queryList) remove(q *query) {
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

// timerHeap of the queries by when something is to be done about them, and then by their arrival.
type timerHeap []*query

func earlier(a, b *query) bool {
	return a.timerAt < b.timerAt || a.timerAt == b.timerAt && a.arrival < b.arrival
}

func (h timerHeap) place(i int, q *query) {
	h[i] = q
	q.heapIndex = int32(i)
}

func (h timerHeap) up(i int) {
	q := h[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !earlier(q, h[parent]) {
			break
		}
		h.place(i, h[parent])
		i = parent
	}
	h.place(i, q)
}

func (h timerHeap) down(i int) {
	q := h[i]
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && earlier(h[child+1], h[child]) {
			child++
		}
		if !earlier(h[child], q) {
			break
		}
		h.place(i, h[child])
		i = child
	}
	h.place(i, q)
}

// schedule puts a query in, or moves it to another time.
func (h *timerHeap) schedule(q *query, at time.Duration) {
	q.timerAt = at
	if q.heapIndex < 0 {
		*h = append(*h, q)
		h.up(len(*h) - 1)
		return
	}
	i := int(q.heapIndex)
	h.up(i)
	h.down(int(q.heapIndex))
}

func (h *timerHeap) remove(q *query) {
	if q.heapIndex < 0 {
		return
	}
	i, last := int(q.heapIndex), len(*h)-1
	moved := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.heapIndex = -1
	if i < last {
		h.place(i, moved)
		h.up(i)
		h.down(int(moved.heapIndex))
	}
}

// sessionEntry is what is kept of a session.
type sessionEntry struct {
	id              [16]byte
	epoch           uint64 // of the ownership; claiming: of an ownership of before that has to end first
	seq             uint64 // queries begun
	fence           uint64 // frozen: of the offer
	client          uint64 // who opened it here
	lastUsed        time.Duration
	actDueAt        time.Duration    // acting: when its act is due again
	completed       completed.Record // its latest queries that must not run twice; adopting: their windows by the time since the hand
	adoptProposedAt time.Duration    // adopting: own time of the first proposal to adopt it, and the agreed one of the hand
	waitingQueries  queryList
	openQueries     queryList // until their Ended, so beyond over

	waitingCount   uint16
	runningCount   uint16 // open and not over
	exclusiveCount uint16 // of these, Keyed or Unsafe
	detachedCount  uint16 // open and over
	phase          Phase
	lane           uint8

	idle             bool // in the list of idle ones, else in acting, or in none
	inActQueue       bool // in the list of those acting
	countedForClient bool // against its client
	adoptProposed    bool // this process has proposed to adopt it
	unreadable       bool // adopting: what the hand carried is of no form that is known here

	prev, next         *sessionEntry // of idle ones or those acting
	blockedAt          *slot         // where its first waiting query lacks a slot
	prevSlot, nextSlot *sessionEntry // of those that lack one there
}

// sessionList of sessions, in the order in which they came into it.
type sessionList struct {
	head, tail *sessionEntry
	n          int
}

func (r *sessionList) add(s *sessionEntry) {
	s.prev, s.next = r.tail, nil
	if r.tail == nil {
		r.head = s
	} else {
		r.tail.next = s
	}
	r.tail = s
	r.n++
}

func (r *sessionList) remove(s *sessionEntry) {
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
