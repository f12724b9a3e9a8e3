// Package sessiongate is the thin I/O around a keeper of pinned sessions: it stands between the exchange, where queries come and
// end, and the agreed state. It decides nothing: what waits, runs or is turned away the keeper says, in a goroutine of its
// own, so that the exchange's turn never waits for it or for what is agreed.
//
//	exchange ──Pinned, Over──> inputs ──┐                    ┌──Release, TurnAway──> exchange
//	node ──News (index, lease)──────────┼──> sessionowner.Step ────┤
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
	keyRoom   = 128  // bytes of a session's key that need no memory of their own
	spareMost = 4096 // inputs, and queries that have ended, whose room is kept for the next ones
)

const (
	// StepBusy is between steps while a query waits or runs, or an act has no answer: a wait ends by time. Twice as long: a
	// refusal after a wait comes that much later; half: twice the steps under load.
	StepBusy = 5 * time.Millisecond
	// StepIdle is between steps of which nothing is waited for. Twice as long: idle sessions end that much later.
	StepIdle = 100 * time.Millisecond
	// IdleEvery is between looks at what is open and unsafe, and counts of idle sessions while this co-ordinator leaves: polls come as often at the most.
	IdleEvery = 200 * time.Millisecond
	// CheckEvery is between looks at whether the keeper's rules hold. Twice as long: a fault is told of later; half: twice
	// the walks over all that is known.
	CheckEvery = 10 * time.Second
)

// Exchange is what this needs of the exchange.
type Exchange interface {
	Release(q *exchange.Query)
	TurnAway(q *exchange.Query, r exchange.Reply)
}

// Options of the pins. Functions must not block.
type Options struct {
	Name     string
	Start    time.Time // of the own monotonic time
	Exchange Exchange
	Log      *logrus.Entry
	Names    *settings.Names
	Policy   *policy.Config
	// Book is the own copy of the agreed sessions, read only inside of Look.
	Book *session.Book
	Look func(do func())
	// Propose is given what is to be proposed, as of now.
	Propose func(acts []session.Act)
}

// Pins keeps the queries of pinned sessions in order. It is an exchange.Pins.
type Pins struct {
	o       Options
	keeper  *sessionowner.Keeper // run's alone
	checked time.Duration        // run's alone, as the next
	idledAt time.Duration
	askedAt time.Duration // when the keeper was last asked what is unsafe and open
	opened  []sessionowner.UnsafeQuery
	look    func() // steps the keeper with what is given; one for all steps, as it costs memory
	given   []sessionowner.Input
	words   []sessionowner.Output
	lease   atomic.Int64 // own time until which a served answer may be given; 0: not
	holders atomic.Pointer[[][]string]
	file    atomic.Pointer[rules]
	wake    chan struct{}
	seed    maphash.Seed // for clients' names

	mu     sync.Mutex
	in     []sessionowner.Input
	spare  []sessionowner.Input // the one before, to be used again
	by     map[*exchange.Query]*pin
	tokens map[uint64]*pin
	ended  []*pin // the keeper has not been told of their end, or is just being told
	free   []*pin // to be used again
	last   uint64
	lent   sessionowner.Lease // newest, not yet given
	index  uint64
	era    uint64
	agreed time.Duration
	moved  bool
	news   bool
	sums   sessionowner.Sums
	idle   []session.ID // while it leaves
	unsafe []peerproto.UnsafeQuery
	openAt time.Duration // own time as of which they are
	leaves bool
	busy   bool // something waits for what is to be agreed
	waits  bool // the end of a query may let something else begin
}

// pin is one query that was taken. It is used again once the keeper was told of its end.
type pin struct {
	token  uint64
	q      *exchange.Query
	effect policy.Effect
	told   atomic.Bool // the keeper gave its word: no served answer any more
	// What the keeper is told of it, in one piece of memory.
	arrived sessionowner.Arrived
	ended   sessionowner.Ended
}

// rules are what the operators' file pins.
type rules struct {
	classes []bool // by class
	routes  []string
	lanes   []uint8 // by tenant + 1
}

// New makes them. Run begins.
func New(o Options) *Pins {
	p := &Pins{o: o, seed: maphash.MakeSeed(), wake: make(chan struct{}, 1), by: map[*exchange.Query]*pin{}, tokens: map[uint64]*pin{}}
	p.look = func() { p.words = p.keeper.Step(p.now(), p.given) }
	p.holders.Store(&[][]string{})
	p.file.Store(&rules{classes: make([]bool, len(o.Policy.Classes)), lanes: make([]uint8, len(o.Names.Tenants)+1)})
	return p
}

// File puts a section into force, for queries from now on. The first one also bounds the keeper.
func (p *Pins) File(s *operator.Sessions) {
	r := &rules{classes: make([]bool, len(p.o.Policy.Classes)), lanes: make([]uint8, len(p.o.Names.Tenants)+1), routes: slices.Clone(s.Routes)}
	for _, name := range s.Classes {
		if c := settings.Place(p.o.Names.Classes, name); c >= 0 {
			r.classes[c] = true
		}
	}
	for i := range r.lanes {
		r.lanes[i] = uint8(min(len(s.Premium), 255))
	}
	for i, name := range s.Premium {
		if t := settings.Place(p.o.Names.Tenants, name); t >= 0 {
			r.lanes[t+1] = uint8(min(i, 255))
		}
	}
	p.file.Store(r)
	if p.keeper == nil {
		p.keeper = sessionowner.New(p.o.Name, sessionowner.Options{SessionsMost: s.Most})
	}
}

// Holders says which replicas hold each shard.
func (p *Pins) Holders(by [][]string) { p.holders.Store(&by) }

// News tells of the agreed state, as far as it is applied here, of which era its log is, and of the own lease: sure until
// then, by the own monotonic time; 0 for none.
func (p *Pins) News(index, era uint64, agreed, until time.Duration) {
	p.mu.Lock()
	p.moved = p.moved || index != p.index || era != p.era
	p.index, p.era, p.agreed = index, era, agreed
	p.lent, p.news = sessionowner.Lease{Until: until, Sure: until > 0}, true
	p.mu.Unlock()
	p.nudge()
}

// Leave says that this co-ordinator goes.
func (p *Pins) Leave() {
	p.mu.Lock()
	p.leaves = true
	p.mu.Unlock()
	p.put(sessionowner.Leaving{})
}

// Stay says that this co-ordinator goes no more.
func (p *Pins) Stay() {
	p.mu.Lock()
	p.leaves, p.idle = false, nil
	p.mu.Unlock()
	p.put(sessionowner.Staying{})
}

// Idle are sessions of which nothing was open at the last step, the longest unused first, while this co-ordinator leaves.
func (p *Pins) Idle() []session.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idle
}

// Unsafe are the sessions with an open unsafe query, those that may be so for longest first, and for how long from now.
func (p *Pins) Unsafe() []peerproto.UnsafeQuery {
	p.mu.Lock()
	defer p.mu.Unlock()
	gone := p.now() - p.openAt
	var out []peerproto.UnsafeQuery
	for _, o := range p.unsafe {
		if o.TimeLeft -= gone; o.TimeLeft > 0 {
			out = append(out, o)
		}
	}
	return out
}

// Sums are the keeper's counts as of its last step.
func (p *Pins) Sums() sessionowner.Sums {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sums
}

// Waits says that something here waits for what is to be agreed, so that news of it is wanted soon.
func (p *Pins) Waits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.busy
}

func (p *Pins) put(in sessionowner.Input) {
	p.mu.Lock()
	p.in = append(p.in, in)
	p.mu.Unlock()
	p.nudge()
}

func (p *Pins) nudge() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *Pins) now() time.Duration { return time.Since(p.o.Start) }
