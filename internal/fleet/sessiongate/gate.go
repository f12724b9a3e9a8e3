// Package sessiongate is the thin I/O around the owner of pinned sessions: it stands between the exchange, where queries come and
// end, and the agreed state. It decides nothing: what waits, runs or is rejected the owner says, in a goroutine of its
// own, so that the exchange's turn never waits for it or for what is agreed.
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
	inlineKeySize = 128  // bytes of a session's key that need no memory of their own
	maxPooled     = 4096 // inputs, and queries that have ended, whose memory is kept for the next ones
)

const (
	// BusyInterval is between steps while a query waits or runs, or an act has no answer: a wait ends by time. Twice as long: a
	// rejection after a wait comes that much later; half: twice the steps under load.
	BusyInterval = 5 * time.Millisecond
	// IdleInterval is between steps of which nothing is waited for. Twice as long: idle sessions end that much later.
	IdleInterval = 100 * time.Millisecond
	// ReportInterval is between looks at what is open and unsafe, and counts of idle sessions while this co-ordinator leaves: polls come as often at the most.
	ReportInterval = 200 * time.Millisecond
	// CheckInterval is between looks at whether the owner's rules hold. Twice as long: a fault is reported later; half: twice
	// the walks over all that is known.
	CheckInterval = 10 * time.Second
)

// Exchange is what this needs of the exchange.
type Exchange interface {
	Release(q *exchange.Query)
	Reject(q *exchange.Query, r exchange.Reply)
}

// Options of the pins. Functions must not block.
type Options struct {
	Name      string
	StartTime time.Time // of the own monotonic time
	Exchange  Exchange
	Log       *logrus.Entry
	Names     *settings.Names
	Policy    *policy.Config
	// Sessions is the own copy of the agreed sessions, read only inside of Look.
	Sessions *session.State
	WithLock func(do func())
	// Propose is given what is to be proposed, as of now.
	Propose func(acts []session.Act)
}

// Gate keeps the queries of pinned sessions in order. It is an exchange.Gate.
type Gate struct {
	options        Options
	owner          *sessionowner.Owner // run's alone
	checkedAt      time.Duration       // run's alone, as the next
	idleListedAt   time.Duration
	unsafeListedAt time.Duration // when the owner was last asked what is unsafe and open
	unsafeScratch  []sessionowner.UnsafeQuery
	stepOwner      func() // steps the owner with what is given; one for all steps, as it costs memory
	stepInputs     []sessionowner.Input
	stepOutputs    []sessionowner.Output
	leaseUntil     atomic.Int64 // own time until which a served answer may be given; 0: not
	holders        atomic.Pointer[[][]string]
	rules          atomic.Pointer[sessionRules]
	wake           chan struct{}
	seed           maphash.Seed // for clients' names

	mu              sync.Mutex
	inbox           []sessionowner.Input
	spareInbox      []sessionowner.Input // the one before, to be used again
	byQuery         map[*exchange.Query]*gatedQuery
	byToken         map[uint64]*gatedQuery
	ended           []*gatedQuery // the owner has not been notified of their end, or is just being notified
	spareQueries    []*gatedQuery // to be used again
	lastToken       uint64
	newLease        sessionowner.Lease // newest, not yet given
	index           uint64
	logEpoch        uint64
	agreedTime      time.Duration
	stateChanged    bool
	leaseChanged    bool
	stats           sessionowner.Stats
	idle            []session.ID // while it leaves
	unsafe          []peerproto.UnsafeQuery
	unsafeAsOf      time.Duration // own time as of which they are
	draining        bool
	awaitsAgreement bool // something waits for what is to be agreed
	hasWaiting      bool // the end of a query may let something else begin
}

// gatedQuery is one query that was taken. It is used again once the owner was notified of its end.
type gatedQuery struct {
	token     uint64
	query     *exchange.Query
	effect    policy.Effect
	responded atomic.Bool // the owner gave its response: no served answer any more
	// What the owner is given of it, in one piece of memory.
	arrived sessionowner.Arrived
	ended   sessionowner.QueryEnded
}

// sessionRules are what the operators' file pins.
type sessionRules struct {
	classes []bool // by class
	routes  []string
	lanes   []uint8 // by tenant + 1
}

// New makes them. Run begins.
func New(o Options) *Gate {
	p := &Gate{options: o, seed: maphash.MakeSeed(), wake: make(chan struct{}, 1), byQuery: map[*exchange.Query]*gatedQuery{}, byToken: map[uint64]*gatedQuery{}}
	p.stepOwner = func() { p.stepOutputs = p.owner.Step(p.now(), p.stepInputs) }
	p.holders.Store(&[][]string{})
	p.rules.Store(&sessionRules{classes: make([]bool, len(o.Policy.Classes)), lanes: make([]uint8, len(o.Names.Tenants)+1)})
	return p
}

// SetRules puts a section into force, for queries from now on. The first one also bounds the owner.
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

// SetHolders says which replicas hold each shard.
func (g *Gate) SetHolders(by [][]string) { g.holders.Store(&by) }

// Update passes on the agreed state, as far as it is applied here, of which era its log is, and of the own lease: sure until
// then, by the own monotonic time; 0 for none.
func (g *Gate) Update(index, era uint64, agreed, until time.Duration) {
	g.mu.Lock()
	g.stateChanged = g.stateChanged || index != g.index || era != g.logEpoch
	g.index, g.logEpoch, g.agreedTime = index, era, agreed
	g.newLease, g.leaseChanged = sessionowner.Lease{Until: until, Valid: until > 0}, true
	g.mu.Unlock()
	g.wakeUp()
}

// Drain says that this co-ordinator goes.
func (g *Gate) Drain() {
	g.mu.Lock()
	g.draining = true
	g.mu.Unlock()
	g.enqueue(sessionowner.Draining{})
}

// CancelDrain says that this co-ordinator does not leave any more.
func (g *Gate) CancelDrain() {
	g.mu.Lock()
	g.draining, g.idle = false, nil
	g.mu.Unlock()
	g.enqueue(sessionowner.DrainCancelled{})
}

// IdleSessions are sessions of which nothing was open at the last step, the longest unused first, while this co-ordinator leaves.
func (g *Gate) IdleSessions() []session.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// UnsafeQueries are the sessions with an open unsafe query, those that may be so for longest first, and for how long from now.
func (g *Gate) UnsafeQueries() []peerproto.UnsafeQuery {
	g.mu.Lock()
	defer g.mu.Unlock()
	gone := g.now() - g.unsafeAsOf
	var out []peerproto.UnsafeQuery
	for _, o := range g.unsafe {
		if o.TimeLeft -= gone; o.TimeLeft > 0 {
			out = append(out, o)
		}
	}
	return out
}

// Stats are the owner's counts as of its last step.
func (g *Gate) Stats() sessionowner.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// AwaitsAgreement says that something here waits for what is to be agreed, so that events of it is wanted soon.
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
