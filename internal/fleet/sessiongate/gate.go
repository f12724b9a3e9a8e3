// Package sessiongate connects the owner of pinned sessions to the exchange and to the raft group. It makes no decisions: the
// owner (package sessionowner) decides which queries wait, run or are rejected. The owner runs in its own goroutine, so that the
// exchange's loop never waits for it or for the agreed state.
//
//	exchange ──Pinned, Over──> inputs ──┐                    ┌──Release, Reject──> exchange
//	node ──Events (index, lease)──────────┼──> sessionowner.Step ────┤
//	clock ──────────────────────────────┘                    └──acts──> node, to the raft group
package sessiongate

import (
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
	"birchcart/internal/operator"
	"birchcart/internal/settings"
	"birchcart/policy"
)

const (
	inlineKeySize = 128  // longer session keys need an allocation
	maxPooled     = 4096 // limit of inputs, and of ended queries, whose memory is kept for reuse
)

const (
	// BusyInterval is the time between steps while a query waits or runs, or a proposed act is unconfirmed. Waits end by time: a
	// longer interval delays the rejection after a wait, and half of it doubles the steps under load.
	BusyInterval = 5 * time.Millisecond
	// IdleInterval is the time between steps while nothing waits or runs. A longer interval ends idle sessions later.
	IdleInterval = 100 * time.Millisecond
	// ReportInterval is the time between updates of the list of open unsafe queries and, while this co-ordinator drains, of idle
	// sessions. Polls, which carry both lists, are sent no more often.
	ReportInterval = 200 * time.Millisecond
	// CheckInterval is the time between checks of the owner's invariants. A longer interval reports a violation later; each check
	// walks over everything the owner knows.
	CheckInterval = 10 * time.Second
)

// Exchange is the part of the exchange that the gate uses.
type Exchange interface {
	Release(q *exchange.Query)
	Reject(q *exchange.Query, r exchange.Reply)
}

// Options are the options of a Gate. Functions must not block.
type Options struct {
	Name      string
	StartTime time.Time // zero of the local monotonic time
	Exchange  Exchange
	Log       *logrus.Entry
	Names     *settings.Names
	Policy    *policy.Config
	// Sessions is the local copy of the agreed sessions. It is only read inside WithLock.
	Sessions *session.State
	WithLock func(do func())
	// Propose proposes acts to the raft group. They are computed from the state at the time of the call.
	Propose func(acts []session.Act)
}

// Gate admits, orders and rejects the queries of pinned sessions. It implements exchange.Gate.
type Gate struct {
	options        Options
	owner          *sessionowner.Owner // this and the fields up to stepOutputs are used only by Run
	checkedAt      time.Duration       // time of the last checkInvariants
	idleListedAt   time.Duration
	unsafeListedAt time.Duration // time of the last collectUnsafe
	unsafeScratch  []sessionowner.UnsafeQuery
	stepOwner      func() // steps the owner with stepInputs; created once to avoid an allocation per step
	stepInputs     []sessionowner.Input
	stepOutputs    []sessionowner.Output
	leaseUntil     atomic.Int64 // local time until which a served answer may be given; 0 without a lease
	holders        atomic.Pointer[[][]string]
	rules          atomic.Pointer[sessionRules]
	wake           chan struct{}
	seed           maphash.Seed // for hashes of clients' names

	mu              sync.Mutex
	inbox           []sessionowner.Input
	spareInbox      []sessionowner.Input // the previous inbox, for reuse
	byQuery         map[*exchange.Query]*gatedQuery
	byToken         map[uint64]*gatedQuery
	ended           []*gatedQuery // the owner has not yet processed their end
	spareQueries    []*gatedQuery // for reuse
	lastToken       uint64
	newLease        sessionowner.Lease // newest lease, which the owner may not have received yet
	index           uint64
	logEpoch        uint64
	agreedTime      time.Duration
	stateChanged    bool
	leaseChanged    bool
	stats           sessionowner.Stats
	idle            []session.ID // idle sessions, while this co-ordinator drains
	unsafe          []peerproto.UnsafeQuery
	unsafeAsOf      time.Duration // local time at which unsafe was listed
	draining        bool
	awaitsAgreement bool // something waits for a change of the agreed state
	hasWaiting      bool // the end of a query may allow another one to begin
}

// gatedQuery is an admitted query. Its memory is reused after the owner has processed its end.
type gatedQuery struct {
	token     uint64
	query     *exchange.Query
	effect    policy.Effect
	responded atomic.Bool // the owner has responded: a served answer is no longer allowed
	// Inputs to the owner, kept here to avoid separate allocations.
	arrived sessionowner.Arrived
	ended   sessionowner.QueryEnded
}

// sessionRules select the queries that belong to pinned sessions, from the operators' file.
type sessionRules struct {
	classes []bool   // whether the class is pinned, by class
	routes  []string // pinned routes; empty: all
	lanes   []uint8  // priority lane, by tenant + 1; index 0 is for no tenant
}

// New returns a gate. Run starts it.
func New(o Options) *Gate {
	g := &Gate{options: o, seed: maphash.MakeSeed(), wake: make(chan struct{}, 1), byQuery: map[*exchange.Query]*gatedQuery{}, byToken: map[uint64]*gatedQuery{}}
	g.stepOwner = func() { g.stepOutputs = g.owner.Step(g.now(), g.stepInputs) }
	g.holders.Store(&[][]string{})
	g.rules.Store(&sessionRules{classes: make([]bool, len(o.Policy.Classes)), lanes: make([]uint8, len(o.Names.Tenants)+1)})
	return g
}

// SetRules applies a section of the operators' file to new queries. The first call also creates the owner, with the section's
// limit of sessions.
func (g *Gate) SetRules(s *operator.Sessions) {
	r := &sessionRules{classes: make([]bool, len(g.options.Policy.Classes)), lanes: make([]uint8, len(g.options.Names.Tenants)+1), routes: slices.Clone(s.Routes)}
	for _, name := range s.Classes {
		if c := settings.Place(g.options.Names.Classes, name); c >= 0 {
			r.classes[c] = true
		}
	}
	for i := range r.lanes {
		r.lanes[i] = uint8(min(len(s.Premium), 255))
	}
	for i, name := range s.Premium {
		if t := settings.Place(g.options.Names.Tenants, name); t >= 0 {
			r.lanes[t+1] = uint8(min(i, 255))
		}
	}
	g.rules.Store(r)
	if g.owner == nil {
		g.owner = sessionowner.New(g.options.Name, sessionowner.Options{MaxSessions: s.Most})
	}
}

// SetHolders sets the replicas that hold each shard.
func (g *Gate) SetHolders(holders [][]string) { g.holders.Store(&holders) }

// Update notifies the owner of the index up to which the agreed state is applied here, the epoch of its log, the agreed time, and
// the local monotonic time until which this co-ordinator's lease is certain, 0 without a lease.
func (g *Gate) Update(index, logEpoch uint64, agreedTime, leaseUntil time.Duration) {
	g.mu.Lock()
	g.stateChanged = g.stateChanged || index != g.index || logEpoch != g.logEpoch
	g.index, g.logEpoch, g.agreedTime = index, logEpoch, agreedTime
	g.newLease, g.leaseChanged = sessionowner.Lease{Until: leaseUntil, Valid: leaseUntil > 0}, true
	g.mu.Unlock()
	g.wakeUp()
}

// Drain notifies the owner that this co-ordinator is leaving.
func (g *Gate) Drain() {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
	g.enqueue(sessionowner.Draining{})
}

// CancelDrain notifies the owner that this co-ordinator stays after all.
func (g *Gate) CancelDrain() {
	g.mu.Lock()
	g.draining, g.idle = false, nil
	g.mu.Unlock()
	g.enqueue(sessionowner.DrainCancelled{})
}

// IdleSessions returns the sessions without an open query as of the last listing, the longest unused first, while this
// co-ordinator drains; else nil.
func (g *Gate) IdleSessions() []session.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// UnsafeQueries returns the sessions with an open unsafe query and the time for which it may still be open, the longest first.
func (g *Gate) UnsafeQueries() []peerproto.UnsafeQuery {
	g.mu.Lock()
	defer g.mu.Unlock()
	elapsed := g.now() - g.unsafeAsOf
	var out []peerproto.UnsafeQuery
	for _, o := range g.unsafe {
		if o.TimeLeft -= elapsed; o.TimeLeft > 0 {
			out = append(out, o)
		}
	}
	return out
}

// Stats returns the owner's counts as of its last step.
func (g *Gate) Stats() sessionowner.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// AwaitsAgreement reports whether something here waits for a change of the agreed state, so that this co-ordinator should poll
// for it soon.
func (g *Gate) AwaitsAgreement() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.awaitsAgreement
}

func (g *Gate) enqueue(in sessionowner.Input) {
	g.mu.Lock()
	g.inbox = append(g.inbox, in)
	g.mu.Unlock()
	g.wakeUp()
}

func (g *Gate) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Gate) now() time.Duration { return time.Since(g.options.StartTime) }
