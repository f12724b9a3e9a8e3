package sessionowner

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// Keeper is one co-ordinator's. Not for use by several goroutines at once.
type Keeper struct {
	name string
	o    Options

	now     time.Duration
	out     []Output
	leaving bool

	until  time.Duration // of the lease, 0 for none
	acting bool          // the lease was sure when it was last looked at

	book     Reader
	index    uint64
	era      uint64
	agreed   time.Duration // and when that was first seen by the own clock
	agreedAt time.Duration
	limits   session.Limits

	sessions map[session.ID]*sess
	queries  map[uint64]*query
	unsafe   []*query // that run
	clients  map[uint64]account
	timers   heap
	phases   [Gone + 1]int // sessions in each
	idle     ring          // pinned, nothing open or waiting, by their last use
	acts     ring          // with something to be proposed or looked at, by when that is due
	waits    int
	no       uint64

	slots  map[string]*slot
	sites  []*slot       // the same, as they came
	asked  []paced       // transfers that wait for a word from here
	offers []paced       // offered or handed here, without room
	lookAt time.Duration // at offers, if there are any
	sweep  time.Duration
	roomy  bool // a slot is held at each of Options.Replicas

	freeSessions []*sess
	freeQueries  []*query
	sums         Sums
	seen         evidence
}

// account is what a client has here.
type account struct{ sessions, waits int32 }

// paced is a number of an agreed thing for which something is proposed, and when that is due again.
type paced struct {
	fence uint64
	at    time.Duration
}

// Sums counts what happened here. Held is of now.
type Sums struct {
	Held, Waiting, Open                                                        int
	Arrived, Ran, Refused, Recalled, Failed, Allowed, Withheld                 uint64
	Claimed, Adopted, Offered, Frozen, Handed, RolledBack, Thawed, Ended, Lost uint64
	Repeated                                                                   uint64 // of the Failed
}

// New makes a keeper of the co-ordinator of that name.
func New(name string, o Options) *Keeper {
	return &Keeper{
		name: name, o: o.filled(), sessions: map[session.ID]*sess{}, queries: map[uint64]*query{},
		clients: map[uint64]account{}, slots: map[string]*slot{}, roomy: true,
	}
}

// Sums gives the counts.
func (k *Keeper) Sums() Sums {
	s := k.sums
	s.Held, s.Waiting, s.Open = len(k.sessions), k.waits, len(k.queries)-k.waits
	return s
}

// Phase of a session here.
func (k *Keeper) Phase(id session.ID) Phase {
	if s := k.sessions[id]; s != nil {
		return s.phase
	}
	return Unknown
}

// Idle yields the sessions of which nothing is open or waits, the longest unused first, and since when.
func (k *Keeper) Idle(yield func(id session.ID, since time.Duration) bool) {
	for s := k.idle.head; s != nil; s = s.next {
		if !yield(s.id, s.used) {
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
func (k *Keeper) Unsafe(to []UnsafeQuery, most int) []UnsafeQuery {
	first := len(to)
	for _, q := range k.unsafe {
		due := q.due
		if q.strays {
			due = max(due, q.key)
		}
		if q.epoch == q.s.epoch && due > k.now {
			to = append(to, UnsafeQuery{q.s.id, due - k.now})
		}
	}
	slices.SortFunc(to[first:], func(a, b UnsafeQuery) int {
		return cmp.Or(cmp.Compare(b.TimeLeft, a.TimeLeft), bytes.Compare(a.ID[:], b.ID[:]))
	})
	return to[:min(len(to), first+most)]
}

// Step takes news at the own monotonic time now and returns what is to be done, in order. A time before the last one counts as
// the last one. The lease is looked at before anything else, so that after a stall nothing is done upon one that is over, and then
// what is over by its time. The result holds until the next call.
func (k *Keeper) Step(now time.Duration, in []Input) []Output {
	clear(k.out)
	k.out = k.out[:0]
	k.now = max(k.now, now)
	k.lapse()
	k.overdue()
	for _, i := range in {
		k.take(i)
	}
	k.overdue()
	if k.ready() {
		k.repeat()
		k.free()
		k.endIdle()
		k.adrift()
	}
	return k.out
}

func (k *Keeper) take(in Input) {
	switch in := in.(type) {
	case *Arrived:
		k.arrived(in)
	case Arrived:
		k.arrived(&in)
	case *Ended:
		k.ended(in)
	case Ended:
		k.ended(&in)
	case Left:
		k.left(in.Token)
	case *Left:
		k.left(in.Token)
	case Applied:
		k.applied(in)
	case *Applied:
		k.applied(*in)
	case Lease:
		k.lease(in)
	case *Lease:
		k.lease(*in)
	case Leaving, *Leaving:
		k.leave()
	case Staying, *Staying:
		k.leaving = false
	}
}

func (k *Keeper) say(format string, a ...any) { k.out = append(k.out, Log{fmt.Sprintf(format, a...)}) }

// ready says that this co-ordinator may act now.
func (k *Keeper) ready() bool { return k.now < k.until && k.book != nil }

func (k *Keeper) lease(l Lease) {
	if k.until = l.Until; !l.Sure {
		k.until = 0
	}
	k.lapse()
	if !k.acting && k.ready() { // what was agreed meanwhile is not known of each
		k.acting, k.sweep = true, k.now
	}
}

// lapse ends what can't wait for another lease, in the order of arrival, once the one there was is over.
func (k *Keeper) lapse() {
	if !k.acting || k.ready() {
		return
	}
	k.acting = false
	all := k.byArrival()
	for _, q := range all {
		switch {
		case !q.runs:
			k.refuse(q, NoLease, BackLater, "")
		default:
			k.tell(q, NoLease, "")
		}
	}
	k.say("the lease is over: %d queries that waited or ran were told", len(all))
}

// leave stops the taking of sessions and hurries those that are offered.
func (k *Keeper) leave() {
	if k.leaving {
		return
	}
	k.leaving = true
	s := k.acts.head
	for n := k.acts.n; n > 0; n-- {
		next := s.next
		switch s.phase {
		case Claiming:
			k.refuseAll(s, Going, "")
		case Quiescing:
			k.hurry(s)
		}
		s = next
	}
}

// MayAnswer is asked right before a served answer is given: it says whether this co-ordinator may, at that very moment.
// If so, that is the query's word; if not, its Ended brings another one. now is the own monotonic time.
func (k *Keeper) MayAnswer(now time.Duration, token uint64) bool {
	q := k.queries[token]
	if q == nil || !q.runs || q.over || q.told {
		return false
	}
	if q.allowed {
		return true
	}
	now = max(now, k.now)
	if now >= k.until || now >= q.due || !k.ours(q.s, q.epoch) {
		k.sums.Withheld++
		return false
	}
	q.allowed = true
	k.sums.Allowed++
	k.seen.answered(k, now, q)
	return true
}

// ours says that the agreed state has the session as this co-ordinator's to act for, in that epoch.
func (k *Keeper) ours(s *sess, epoch uint64) bool {
	r, ok := k.book.Get(s.id)
	return ok && r.Owner == k.name && r.Epoch == epoch
}
