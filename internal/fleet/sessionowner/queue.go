package sessionowner

import (
	"time"

	"birchcart/internal/fleet/completed"
)

// query is a waiting or running query.
type query struct {
	token       uint64
	arrival     uint64 // order of arrival at this owner
	client      uint64
	id          completed.ID
	session     *sessionEntry
	replicas    []string
	deadline    time.Duration
	window      time.Duration // Keyed: how long after startedAt repeats are dropped
	timerAt     time.Duration // when it is due in the timer heap
	heapIndex   int32         // index in the timer heap, -1 if absent
	unsafeIndex int           // index in Owner.runningUnsafe, for a running NonIdempotent query
	epoch       uint64        // ownership epoch in which it started
	seq         uint64        // sequence number in its session

	effect           Effect
	running          bool // false while it waits
	detached         bool // no longer counted as running in its session
	responded        bool // its client has had its response, or has disconnected
	awaitingReplicas bool // it has ended, and its parts may still run at replicas
	answerAllowed    bool // MayAnswer allowed its served answer, which is its response

	prev, next *query // in the session's waitingQueries or openQueries
	startedAt  time.Duration
}

// queryList is a linked list of queries in the order in which they were added.
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

// timerHeap is a heap of queries by due time, then by arrival.
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

// schedule adds a query, or changes its due time.
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

// sessionEntry is the local state of a session.
type sessionEntry struct {
	id              [16]byte
	epoch           uint64 // of the ownership; claiming: of the latest ended ownership, which the claim must name
	seq             uint64 // sequence number of the query that started last
	fence           uint64 // quiescing and frozen: fence of the offer
	client          uint64 // the client that opened it here
	lastUsed        time.Duration
	actDueAt        time.Duration    // in actQueue: when its act is due again
	completed       completed.Record // latest queries that must not run twice; adopting: with window ends relative to the hand-over
	adoptProposedAt time.Duration    // adopting: own time of the first Adopt proposal, plus the agreed time of the hand-over
	waitingQueries  queryList
	openQueries     queryList // started queries until their QueryEnded or BusyUntil, detached ones included

	waitingCount   uint16
	runningCount   uint16 // open and not detached
	exclusiveCount uint16 // of the running ones, Keyed or NonIdempotent
	detachedCount  uint16 // open and detached
	phase          Phase
	lane           uint8

	idle             bool // in Owner.idle
	inActQueue       bool // in Owner.actQueue
	countedForClient bool // counted in the usage of its client
	adoptProposed    bool // this process has proposed to adopt it
	unreadable       bool // adopting: the state of the hand-over could not be decoded

	prev, next         *sessionEntry // in Owner.idle or Owner.actQueue
	blockedAt          *slot         // the slot that its first waiting query needs and that is not available
	prevSlot, nextSlot *sessionEntry // in the queue of blockedAt
}

// sessionList is a linked list of sessions in the order in which they were added.
type sessionList struct {
	head, tail *sessionEntry
	n          int
}

func (l *sessionList) add(s *sessionEntry) {
	s.prev, s.next = l.tail, nil
	if l.tail == nil {
		l.head = s
	} else {
		l.tail.next = s
	}
	l.tail = s
	l.n++
}

func (l *sessionList) remove(s *sessionEntry) {
	if s.prev == nil {
		l.head = s.next
	} else {
		s.prev.next = s.next
	}
	if s.next == nil {
		l.tail = s.prev
	} else {
		s.next.prev = s.prev
	}
	s.prev, s.next = nil, nil
	l.n--
}
