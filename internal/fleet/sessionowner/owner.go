package sessionowner

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// Owner decides about the sessions and queries of one co-ordinator. It must not be used by several goroutines at once.
type Owner struct {
	name    string
	options Options

	now      time.Duration
	out      []Output
	draining bool

	leaseUntil time.Duration // end of the lease, 0 for none
	active     bool          // the lease was valid when it was last checked

	state      AgreedState
	index      uint64
	logEpoch   uint64
	agreedTime time.Duration // latest agreed time
	agreedAt   time.Duration // own time at which agreedTime was first seen
	limits     session.Limits

	sessions      map[session.ID]*sessionEntry
	queries       map[uint64]*query
	runningUnsafe []*query // running queries that are NonIdempotent
	clients       map[uint64]clientUsage
	timers        timerHeap
	phaseCounts   [Gone + 1]int // number of sessions in each phase
	idle          sessionList   // active sessions without open or waiting queries, longest unused first
	actQueue      sessionList   // sessions that have an act to propose or an agreed change to wait for, by due time
	waiting       int
	arrivals      uint64

	slots              map[string]*slot
	slotList           []*slot           // the values of slots, in order of creation
	requestedTransfers []pendingProposal // transfers of slots from here that wait for a Freed act
	pendingOffers      []pendingProposal // sessions offered or handed here for which there is no capacity
	offersDueAt        time.Duration     // next check of pendingOffers, 0 for none
	sweepAt            time.Duration
	hasSlots           bool // whether a slot is held at each of Options.Replicas

	freeSessions []*sessionEntry
	freeQueries  []*query
	stats        Stats
	invariants   invariantChecks
}

// clientUsage counts the sessions and waiting queries of a client.
type clientUsage struct{ sessions, waits int32 }

// pendingProposal is the fence of an offer, hand-over or transfer about which an act is proposed, and when the act is next due.
type pendingProposal struct {
	fence uint64
	dueAt time.Duration
}

// Stats holds the counters of an Owner. Sessions, Waiting and Open are current values, the others totals.
type Stats struct {
	Sessions, Waiting, Open                                                     int
	Arrived, Ran, Rejected, Cancelled, Failed, Allowed, Withheld                uint64
	Claimed, Adopted, Offered, Frozen, Handed, RolledBack, Resumed, Ended, Lost uint64
	Duplicates                                                                  uint64 // included in Failed
}

// New returns an Owner for the co-ordinator of that name.
func New(name string, o Options) *Owner {
	return &Owner{
		name: name, options: o.withDefaults(), sessions: map[session.ID]*sessionEntry{}, queries: map[uint64]*query{},
		clients: map[uint64]clientUsage{}, slots: map[string]*slot{}, hasSlots: true,
	}
}

// Stats returns the counters.
func (o *Owner) Stats() Stats {
	s := o.stats
	s.Sessions, s.Waiting, s.Open = len(o.sessions), o.waiting, len(o.queries)-o.waiting
	return s
}

// Phase returns the phase of a session at this co-ordinator.
func (o *Owner) Phase(id session.ID) Phase {
	if s := o.sessions[id]; s != nil {
		return s.phase
	}
	return Unknown
}

// Idle yields the sessions without open or waiting queries, longest unused first, with the time of their last use.
func (o *Owner) Idle(yield func(id session.ID, since time.Duration) bool) {
	for s := o.idle.head; s != nil; s = s.next {
		if !yield(s.id, s.lastUsed) {
			return
		}
	}
}

// UnsafeQuery is a session with an open NonIdempotent query, and how long the query may still be open.
type UnsafeQuery struct {
	ID       session.ID
	TimeLeft time.Duration
}

// Unsafe appends up to limit of the sessions with an open NonIdempotent query, those whose query may stay open longest first. Until
// such a query ends it can't be cancelled, nor its session be handed over.
func (o *Owner) Unsafe(to []UnsafeQuery, limit int) []UnsafeQuery {
	start := len(to)
	for _, q := range o.runningUnsafe {
		due := q.deadline
		if q.awaitingReplicas {
			due = max(due, q.timerAt)
		}
		if q.epoch == q.session.epoch && due > o.now {
			to = append(to, UnsafeQuery{q.session.id, due - o.now})
		}
	}
	slices.SortFunc(to[start:], func(a, b UnsafeQuery) int {
		return cmp.Or(cmp.Compare(b.TimeLeft, a.TimeLeft), bytes.Compare(a.ID[:], b.ID[:]))
	})
	return to[:min(len(to), start+limit)]
}

// Step handles events at the own monotonic time now and returns the outputs to carry out, in order. A time earlier than that of a
// previous call is replaced by the previous one. The lease is checked first, so that nothing is done on an expired lease after a
// stall, and timed-out queries next. The result is valid until the next call.
func (o *Owner) Step(now time.Duration, in []Input) []Output {
	clear(o.out)
	o.out = o.out[:0]
	o.now = max(o.now, now)
	o.expireLease()
	o.expireQueries()
	for _, i := range in {
		o.handle(i)
	}
	o.expireQueries()
	if o.mayAct() {
		o.repeatActs()
		o.repeatFreed()
		o.endIdleSessions()
		o.reconcile()
	}
	return o.out
}

func (o *Owner) handle(in Input) {
	switch in := in.(type) {
	case *Arrived:
		o.handleArrival(in)
	case Arrived:
		o.handleArrival(&in)
	case *QueryEnded:
		o.handleEnd(in)
	case QueryEnded:
		o.handleEnd(&in)
	case ClientGone:
		o.handleClientGone(in.Token)
	case *ClientGone:
		o.handleClientGone(in.Token)
	case Applied:
		o.handleApplied(in)
	case *Applied:
		o.handleApplied(*in)
	case Lease:
		o.handleLease(in)
	case *Lease:
		o.handleLease(*in)
	case Draining, *Draining:
		o.startDraining()
	case DrainCancelled, *DrainCancelled:
		o.draining = false
	}
}

func (o *Owner) log(format string, a ...any) { o.out = append(o.out, Log{fmt.Sprintf(format, a...)}) }

// mayAct reports whether this co-ordinator may act now: it holds a valid lease and has seen an agreed state.
func (o *Owner) mayAct() bool { return o.now < o.leaseUntil && o.state != nil }

func (o *Owner) handleLease(l Lease) {
	if o.leaseUntil = l.Until; !l.Valid {
		o.leaseUntil = 0
	}
	o.expireLease()
	if !o.active && o.mayAct() { // sessions may have changed while there was no lease
		o.active, o.sweepAt = true, o.now
	}
}

// expireLease answers all waiting and running queries, in order of arrival, once the lease has expired.
func (o *Owner) expireLease() {
	if !o.active || o.mayAct() {
		return
	}
	o.active = false
	all := o.byArrival()
	for _, q := range all {
		switch {
		case !q.running:
			o.rejectAndContinue(q, NoLease, RetryAfterWait, "")
		default:
			o.abort(q, NoLease, "")
		}
	}
	o.log("lease expired: answered %d waiting or running queries", len(all))
}

// startDraining stops taking new sessions and speeds up the hand-over of offered ones.
func (o *Owner) startDraining() {
	if o.draining {
		return
	}
	o.draining = true
	s := o.actQueue.head
	for n := o.actQueue.n; n > 0; n-- {
		next := s.next
		switch s.phase {
		case Claiming:
			o.rejectAllWaiting(s, ShuttingDown, "")
		case Quiescing:
			o.cancelNow(s)
		}
		s = next
	}
}

// MayAnswer reports whether a served answer may be given to the client at this moment, and must be called right before that.
// If it may, the answer is the query's response; otherwise the QueryEnded of the query produces another response. now is the own
// monotonic time.
func (o *Owner) MayAnswer(now time.Duration, token uint64) bool {
	q := o.queries[token]
	if q == nil || !q.running || q.detached || q.responded {
		return false
	}
	if q.answerAllowed {
		return true
	}
	now = max(now, o.now)
	if now >= o.leaseUntil || now >= q.deadline || !o.isOwner(q.session, q.epoch) {
		o.stats.Withheld++
		return false
	}
	q.answerAllowed = true
	o.stats.Allowed++
	o.invariants.checkAnswer(o, now, q)
	return true
}

// isOwner reports whether the agreed state names this co-ordinator as the owner of the session in that epoch.
func (o *Owner) isOwner(s *sessionEntry, epoch uint64) bool {
	r, ok := o.state.Get(s.id)
	return ok && r.Owner == o.name && r.Epoch == epoch
}
