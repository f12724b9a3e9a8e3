package sessionowner

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// Owner is one co-ordinator's. Not for use by several goroutines at once.
type Owner struct {
	name    string
	options Options

	now      time.Duration
	out      []Output
	draining bool

	leaseUntil time.Duration // of the lease, 0 for none
	active     bool          // the lease was sure when it was last looked at

	state      AgreedState
	index      uint64
	logEpoch   uint64
	agreedTime time.Duration // and when that was first seen by the own clock
	agreedAt   time.Duration
	limits     session.Limits

	sessions      map[session.ID]*sessionEntry
	queries       map[uint64]*query
	runningUnsafe []*query // that run
	clients       map[uint64]clientUsage
	timers        timerHeap
	phaseCounts   [Gone + 1]int // sessions in each
	idle          sessionList   // pinned, nothing open or waiting, by their last use
	actQueue      sessionList   // with something to be proposed or looked at, by when that is due
	waiting       int
	arrivals      uint64

	slots              map[string]*slot
	slotList           []*slot           // the same, as they came
	requestedTransfers []pendingProposal // transfers that wait for a proposal from here
	pendingOffers      []pendingProposal // offered or handed here, without capacity
	offersDueAt        time.Duration     // at offers, if there are any
	sweepAt            time.Duration
	hasSlots           bool // a slot is held at each of Options.Replicas

	freeSessions []*sessionEntry
	freeQueries  []*query
	stats        Stats
	invariants   invariantChecks
}

// account is what a client has here.
type clientUsage struct{ sessions, waits int32 }

// pendingProposal is a number of an agreed thing for which something is proposed, and when that is due again.
type pendingProposal struct {
	fence uint64
	dueAt time.Duration
}

// Stats counts what happened here. Held is of now.
type Stats struct {
	Sessions, Waiting, Open                                                     int
	Arrived, Ran, Rejected, Cancelled, Failed, Allowed, Withheld                uint64
	Claimed, Adopted, Offered, Frozen, Handed, RolledBack, Resumed, Ended, Lost uint64
	Duplicates                                                                  uint64 // of the Failed
}

// New makes an owner of the co-ordinator of that name.
func New(name string, o Options) *Owner {
	return &Owner{
		name: name, options: o.withDefaults(), sessions: map[session.ID]*sessionEntry{}, queries: map[uint64]*query{},
		clients: map[uint64]clientUsage{}, slots: map[string]*slot{}, hasSlots: true,
	}
}

// Stats gives the counts.
func (o *Owner) Stats() Stats {
	s := o.stats
	s.Sessions, s.Waiting, s.Open = len(o.sessions), o.waiting, len(o.queries)-o.waiting
	return s
}

// Phase of a session here.
func (o *Owner) Phase(id session.ID) Phase {
	if s := o.sessions[id]; s != nil {
		return s.phase
	}
	return Unknown
}

// Idle yields the sessions of which nothing is open or waits, the longest unused first, and since when.
func (o *Owner) Idle(yield func(id session.ID, since time.Duration) bool) {
	for s := o.idle.head; s != nil; s = s.next {
		if !yield(s.id, s.lastUsed) {
			return
		}
	}
}

// UnsafeQuery is a session with an open unsafe query, and how long that may be so still.
type UnsafeQuery struct {
	ID       session.ID
	TimeLeft time.Duration
}

// Unsafe appends the sessions here with an open unsafe query that may be open for longest, most of them: neither can it be ended, nor its
// session handed before.
func (o *Owner) Unsafe(to []UnsafeQuery, limit int) []UnsafeQuery {
	first := len(to)
	for _, q := range o.runningUnsafe {
		due := q.deadline
		if q.awaitingReplicas {
			due = max(due, q.timerAt)
		}
		if q.epoch == q.session.epoch && due > o.now {
			to = append(to, UnsafeQuery{q.session.id, due - o.now})
		}
	}
	slices.SortFunc(to[first:], func(a, b UnsafeQuery) int {
		return cmp.Or(cmp.Compare(b.TimeLeft, a.TimeLeft), bytes.Compare(a.ID[:], b.ID[:]))
	})
	return to[:min(len(to), first+limit)]
}

// Step takes events at the own monotonic time now and returns what is to be done, in order. A time before the last one counts as
// the last one. The lease is looked at before anything else, so that after a stall nothing is done upon one that is over, and then
// what is over by its time. The result holds until the next call.
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

// mayAct says that this co-ordinator may act now.
func (o *Owner) mayAct() bool { return o.now < o.leaseUntil && o.state != nil }

func (o *Owner) handleLease(l Lease) {
	if o.leaseUntil = l.Until; !l.Valid {
		o.leaseUntil = 0
	}
	o.expireLease()
	if !o.active && o.mayAct() { // what was agreed meanwhile is not known of each
		o.active, o.sweepAt = true, o.now
	}
}

// expireLease ends what can't wait for another lease, in the order of arrival, once the one there was is over.
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
	o.log("the lease is over: %d queries that waited or ran were answered", len(all))
}

// startDraining stops the taking of sessions and hurries those that are offered.
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

// MayAnswer is asked right before a served answer is given: it says whether this co-ordinator may, at that very moment.
// If so, that is the query's response; if not, its QueryEnded brings another one. now is the own monotonic time.
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

// isOwner says that the agreed state has the session as this co-ordinator's to act for, in that epoch.
func (o *Owner) isOwner(s *sessionEntry, epoch uint64) bool {
	r, ok := o.state.Get(s.id)
	return ok && r.Owner == o.name && r.Epoch == epoch
}
