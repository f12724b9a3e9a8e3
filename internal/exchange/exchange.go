package exchange

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/record"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// epoch is the decisions' clock at our start: far from 0, which means 'long ago' in the list.
const epoch = 1e6

// Exchange owns the decisions and what is open.
type Exchange struct {
	policy   *policy.Policy
	cfg      policy.Config
	names    *settings.Names
	limits   config.Limits
	log      *logrus.Entry
	replicas Replicas
	watcher  Watcher
	start    time.Time

	mu    sync.Mutex
	inbox []message
	wake  chan struct{}

	// What follows belongs to the goroutine of Run.
	taken   []message // the inbox of this turn
	events  []policy.Event
	next    []policy.Event // for the next turn: second steps, and attempts that were withdrawn
	lastID  uint64
	record  *record.Writer // nil: nothing is recorded
	routes  *routes        // nil: no query has one
	leaving []*query       // their clients have gone in this turn
	queries map[uint64]*query
	byID    map[string]*query // open, or of late with parts sent: till its end their ids may be at replicas
	parts   map[uint64]*part
	held    int // queries and parts open
	targets map[string]*known
	ids     map[uint64]*known
	timers  timers
	turned  time.Time // the last turn
	sums    sums
	toldAt  time.Time
	calls   []call
	observe func(now float64, events []policy.Event, actions []policy.Action)

	narrowing *narrowing // nil: nothing is laid over the list
	load      *Load      // nil: not measured
	pins      Pins       // nil: no query is pinned
	lanes     Lanes      // nil: the fleet sheds nothing
	yielding  map[bounded]*policy.Limits
}

// query is one that is open.
type query struct {
	*Query
	id    uint64 // of the query, and of its group
	step  int
	parts []*part
	sent  bool // an attempt has gone
	over  bool
	way   *routes // under which it was taken; nil: none
	route int

	opened time.Time // the turn in which the first part of the second step went

	// Of a session: pinned until its end was told, and whether it waits, ran, and may have parts that still run.
	pinned, waits, served, ran, strays bool
	out                                int    // attempts that have not ended
	last                               *Reply // by which its session ended it; nil: it did not

	entered Entered // laned: what the lanes said; they are told of its end
	laned   bool
}

// part of a query's present step.
type part struct {
	id       uint64
	q        *query
	name     string // its id on the frames
	shard    int
	from     []int // second step
	whole    bool
	attempts []*Attempt
	in       bool
	score    int64
	value    []byte
}

// known is one replica that discovery named.
type known struct {
	Target
	listed bool
	goneAt time.Time // since when it is removed
}

// call is what one turn sends to one replica.
type call struct {
	replica  uint64
	attempts []*Attempt
}

// New returns an exchange; Join connects it before Run.
func New(cfg *config.Config, log *logrus.Entry) *Exchange {
	return &Exchange{
		policy: policy.New(cfg.Policy), cfg: cfg.Policy, names: cfg.Names, limits: cfg.Limits, log: log,
		start: time.Now(), wake: make(chan struct{}, 1),
		queries: map[uint64]*query{}, byID: map[string]*query{}, parts: map[uint64]*part{},
		targets: map[string]*known{}, ids: map[uint64]*known{},
	}
}

// Join names the replica side and discovery.
func (e *Exchange) Join(r Replicas, w Watcher) { e.replicas, e.watcher = r, w }

// Observe calls do after each turn of the decisions, with what went in and what came out; both hold until it returns.
// It must be called before Run, and do must not block: it runs in the turn.
func (e *Exchange) Observe(do func(now float64, events []policy.Event, actions []policy.Action)) {
	e.observe = do
}

// Submit takes a query from the client side. Like all of the following it may be called from anywhere.
func (e *Exchange) Submit(q *Query) { e.put(q) }

// Leave tells that the client of a query has gone. It may overtake the query's own Submit, which another goroutine calls.
func (e *Exchange) Leave(q *Query) {
	e.mu.Lock()
	q.gone = true
	e.mu.Unlock()
	e.put(left{q})
}

func (e *Exchange) hasLeft(q *Query) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return q.gone
}

// Ended takes the end of an attempt from the replica side.
func (e *Exchange) Ended(r Result) { e.put(r) }

// Probed takes the end of a probe.
func (e *Exchange) Probed(p Probed) { e.put(p) }

// Listed takes news of the list.
func (e *Exchange) Listed(l List) { e.put(l) }

// ListFailed tells that a watch could not be had or has ended.
func (e *Exchange) ListFailed() { e.put(listFailed{}) }

func (e *Exchange) put(m message) {
	e.mu.Lock()
	e.inbox = append(e.inbox, m)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run plays turns until the context ends. Turns lie at least the settings' resolution apart, as on the bench,
// and are taken when something happened or a timer is due.
func (e *Exchange) Run(ctx context.Context) {
	e.turn() // the module's first, which arms its timer
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		e.sleep(timer)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
		if gap := time.Duration(e.cfg.Resolution*float64(time.Second)) - time.Since(e.turned); gap > 0 {
			time.Sleep(gap)
		}
		e.turn()
	}
}

// sleep sets the timer to the next thing that is due.
func (e *Exchange) sleep(timer *time.Timer) {
	switch {
	case len(e.next) > 0:
		timer.Reset(0)
	case len(e.timers) > 0:
		timer.Reset(time.Until(e.timers[0].at))
	default:
		timer.Stop()
	}
}

// turn is one round: all that came in goes to the decisions, and what they want is done.
func (e *Exchange) turn() {
	e.mu.Lock()
	e.taken, e.inbox = e.inbox, e.taken[:0]
	e.mu.Unlock()
	e.turned = time.Now()
	e.events = e.events[:0]
	for _, m := range e.taken {
		if _, ahead := m.(news); ahead {
			m.take(e)
		}
	}
	e.events = append(e.events, e.next...)
	e.next = e.next[:0]
	for _, m := range e.taken {
		if _, ahead := m.(news); !ahead {
			m.take(e)
		}
	}
	clear(e.taken)
	e.due()
	now := e.clock(e.turned)
	actions := e.policy.Handle(now, e.events)
	if e.observe != nil {
		e.observe(now, e.events, actions)
	}
	for i := range actions {
		e.do(&actions[i])
	}
	e.closeLeft()
	e.flush()
	if e.turned.Sub(e.toldAt) >= e.limits.TellEvery {
		e.tell()
	}
}

// sums count what happened since the last line that told of it.
type sums struct {
	queries, attempts, full int
	replies                 [Conflict + 1]int
	left                    int
	outcomes                [policy.Moot + 1]int
}

// tell logs what an on-call reader wants to see at a glance.
func (e *Exchange) tell() {
	if s := &e.sums; s.queries > 0 || len(e.queries) > 0 {
		e.log.WithFields(logrus.Fields{
			"queries": s.queries, "served": s.replies[Served], "refused": s.replies[Refused],
			"failed": s.replies[Failed], "left": s.left, "full": s.full, "open": len(e.queries), "held": e.held,
			"attempts": s.attempts, "ok": s.outcomes[policy.OK], "fault": s.outcomes[policy.Failed],
			"overload": s.outcomes[policy.Rejected], "unreachable": s.outcomes[policy.Unreachable],
			"broken": s.outcomes[policy.Broken], "timed_out": s.outcomes[policy.TimedOut],
			"given_up": s.outcomes[policy.Revoked],
		}).Info("summary")
	}
	e.tellRoutes()
	e.sums, e.toldAt = sums{}, e.turned
}

// clock translates a time into the decisions' seconds.
func (e *Exchange) clock(t time.Time) float64 { return epoch + t.Sub(e.start).Seconds() }

// timer is one thing that will be due: the decisions' own, the end of an attempt or of a query.
type timer struct {
	at      time.Time
	handle  uint64
	attempt *Attempt
	query   *query
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// due reports what is due by now.
func (e *Exchange) due() {
	for len(e.timers) > 0 && !e.timers[0].at.After(e.turned) {
		t := heap.Pop(&e.timers).(timer)
		switch {
		case t.attempt != nil:
			e.expire(t.attempt)
		case t.query != nil:
			e.overdue(t.query)
		default:
			e.events = append(e.events, policy.Event{Kind: policy.TimerFired, Handle: t.handle})
		}
	}
}

func (e *Exchange) after(seconds float64, t timer) {
	t.at = e.turned.Add(time.Duration(seconds * float64(time.Second)))
	heap.Push(&e.timers, t)
}
