package exchange

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/logs"
	"birchcart/internal/record"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// policyStartTime is the decisions' clock at our start: far from 0, which means 'long ago' in the list.
const policyStartTime = 1e6

// Exchange owns the decisions and what is open.
type Exchange struct {
	policy     *policy.Policy
	config     policy.Config
	names      *settings.Names
	limits     config.Limits
	log        *logrus.Entry
	limitedLog *logs.Limited
	replicas   Replicas
	watcher    Watcher
	start      time.Time

	listsQueued atomic.Int32 // changes of the list that are not yet in force

	mu    sync.Mutex
	inbox []message
	wake  chan struct{}

	// What follows belongs to the goroutine of Run.
	batch           []message // the inbox of this turn
	events          []policy.Event
	deferred        []policy.Event // for the next turn: second steps, and attempts that were withdrawn
	lastID          uint64
	record          *record.Writer // nil: nothing is recorded
	routes          *routeState    // nil: no query has one
	clientsGone     []*query       // their clients have gone in this turn
	queries         map[uint64]*query
	byRequestID     map[string]*query // open, or of late with parts sent: till its end their ids may be at replicas
	parts           map[uint64]*part
	openCount       int // queries and parts open
	replicasByName  map[string]*replicaEntry
	replicasByID    map[uint64]*replicaEntry
	timers          timers
	listIndex       int64     // discovery's version of the list in force
	turnAt          time.Time // the last turn
	counters        counters
	summaryLoggedAt time.Time
	outgoing        []outgoingCall
	observe         func(now float64, events []policy.Event, actions []policy.Action)

	drainOverlay   *drainOverlay // nil: nothing is laid over the list
	load           *Load         // nil: not measured
	sessionGate    SessionGate   // nil: no query is pinned
	laneGate       LaneGate      // nil: the fleet sheds nothing
	limitOverrides map[limitKey]*policy.Limits
}

// newQuery is one that is open.
type query struct {
	*Query
	id     uint64 // route the query, and of its group
	step   int
	parts  []*part
	sent   bool // an attempt has gone
	closed bool
	routes *routeState // under which it was taken; nil: none
	route  int

	secondStepAt time.Time // the turn in which the first part of the second step went

	// Of a session: pinned until its end was reported, and whether it waits, ran, and may have parts that still run.
	pinned, waiting, served, ran, mayStillRun bool
	openAttempts                              int    // attempts that have not ended
	sessionReply                              *Reply // yieldBy which its session ended it; nil: it did not

	laneVerdict LaneVerdict // laned: what the verdict of the lanes; the lanes are notified of its end
	inLane      bool
}

// part of a query's present step.
type part struct {
	id       uint64
	query    *query
	frameID  string // its id on the frames
	shard    int
	previous []int // second step
	complete bool
	attempts []*Attempt
	answered bool
	score    int64
	value    []byte
}

// replicaEntry is one replica that discovery named.
type replicaEntry struct {
	Target
	listed    bool
	removedAt time.Time // since when it is removed
}

// outgoingCall is what one turn sends to one replica.
type outgoingCall struct {
	replica  uint64
	attempts []*Attempt
}

// New returns an exchange; Join connects it before Run.
func New(cfg *config.Config, log *logrus.Entry) *Exchange {
	return &Exchange{
		policy: policy.New(cfg.Policy), config: cfg.Policy, names: cfg.Names, limits: cfg.Limits, log: log, limitedLog: logs.Limit(log, cfg.Limits.LogEvery),
		start: time.Now(), wake: make(chan struct{}, 1),
		queries: map[uint64]*query{}, byRequestID: map[string]*query{}, parts: map[uint64]*part{},
		replicasByName: map[string]*replicaEntry{}, replicasByID: map[uint64]*replicaEntry{},
	}
}

// Connect names the replica side and discovery.
func (e *Exchange) Connect(r Replicas, w Watcher) { e.replicas, e.watcher = r, w }

// Observe calls do after each turn of the decisions, with what went in and what came out; both hold until it returns.
// It must be called before Run, and do must not block: it runs in the turn.
func (e *Exchange) Observe(observe func(now float64, events []policy.Event, actions []policy.Action)) {
	e.observe = observe
}

// Submit takes a query from the client side. Like all of the following it may be called from anywhere.
func (e *Exchange) Submit(q *Query) { e.enqueue(q) }

// ClientGone says that the client of a query has gone. It may overtake the query's own Submit, which another goroutine calls.
func (e *Exchange) ClientGone(q *Query) {
	e.mu.Lock()
	q.clientGone = true
	e.mu.Unlock()
	e.enqueue(clientGone{q})
}

func (e *Exchange) isClientGone(q *Query) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return q.clientGone
}

// AttemptEnded takes the end of an attempt from the replica side.
func (e *Exchange) AttemptEnded(r Result) { e.enqueue(r) }

// HealthChecked takes the outcome of a health check.
func (e *Exchange) HealthChecked(p HealthCheck) { e.enqueue(p) }

// UpdateReplicas takes a change of the endpoint list.
func (e *Exchange) UpdateReplicas(l ReplicaList) {
	e.listsQueued.Add(1)
	e.enqueue(l)
}

// ListPending says whether a change of the list was taken that the replica side does not know yet.
func (e *Exchange) ListPending() bool { return e.listsQueued.Load() > 0 }

// WatchFailed says that a watch could not be opened or has ended.
func (e *Exchange) WatchFailed() { e.enqueue(watchFailed{}) }

func (e *Exchange) enqueue(m message) {
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
		e.armTimer(timer)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
		if gap := time.Duration(e.config.Resolution*float64(time.Second)) - time.Since(e.turnAt); gap > 0 {
			time.Sleep(gap)
		}
		e.turn()
	}
}

// armTimer sets the timer to the next thing that is due.
func (e *Exchange) armTimer(timer *time.Timer) {
	switch {
	case len(e.deferred) > 0:
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
	e.batch, e.inbox = e.inbox, e.batch[:0]
	e.mu.Unlock()
	e.turnAt = time.Now()
	e.logStall()
	e.events = e.events[:0]
	for _, m := range e.batch {
		if _, ahead := m.(control); ahead {
			m.handle(e)
		}
	}
	e.events = append(e.events, e.deferred...)
	e.deferred = e.deferred[:0]
	for _, m := range e.batch {
		if _, ahead := m.(control); !ahead {
			m.handle(e)
		}
	}
	clear(e.batch)
	e.fireTimers()
	now := e.policyTime(e.turnAt)
	actions := e.policy.Handle(now, e.events)
	if e.observe != nil {
		e.observe(now, e.events, actions)
	}
	for i := range actions {
		e.execute(&actions[i])
	}
	e.closeGoneClients()
	e.flush()
	if e.turnAt.Sub(e.summaryLoggedAt) >= e.limits.TellEvery {
		e.logSummary()
	}
}

// counters count what happened since the last summary.
type counters struct {
	queries, attempts, rejectedFull int
	replies                         [Conflict + 1]int
	reasons                         [policy.BreaksReplica + 1]int // route refusals and failures by the decisions
	clientsGone                     int
	outcomes                        [policy.NotSent + 1]int
}

// notAdmitted counts the queries that the decisions refused at their arrival, for whatever reason.
func (c *counters) notAdmitted() (sum int) {
	for reason, n := range c.reasons {
		if policy.Reason(reason).NotAdmitted() {
			sum += n
		}
	}
	return sum
}

// logSummary logs what an on-call reader wants to see at a glance.
func (e *Exchange) logSummary() {
	if s := &e.counters; s.queries > 0 || len(e.queries) > 0 {
		e.log.WithFields(logrus.Fields{
			"queries": s.queries, "served": s.replies[Served], "refused": s.replies[Rejected],
			"failed": s.replies[Failed], "left": s.clientsGone, "full": s.rejectedFull, "open": len(e.queries), "held": e.openCount,
			"attempts": s.attempts, "ok": s.outcomes[policy.OK], "fault": s.outcomes[policy.Failed],
			"overload": s.outcomes[policy.Rejected], "unreachable": s.outcomes[policy.Unreachable],
			"broken": s.outcomes[policy.ConnectionBroken], "timed_out": s.outcomes[policy.TimedOut],
			"given_up": s.outcomes[policy.Cancelled], "not_admitted": s.notAdmitted(),
			"holders_busy": s.reasons[policy.HoldersBusy], "recent_latency": s.reasons[policy.RecentLatency],
			"own_backlog": s.reasons[policy.OwnBacklog], "nearly_full": s.reasons[policy.NearlyFull],
			"parts_lost": s.reasons[policy.PartsLost], "out_of_time": s.reasons[policy.OutOfTime],
			"promise_missed": s.reasons[policy.PromiseMissed], "breaks_replica": s.reasons[policy.BreaksReplica],
			"list": e.listIndex,
		}).Info("summary")
	}
	e.logRoutes()
	e.counters, e.summaryLoggedAt = counters{}, e.turnAt
}

// policyTime translates a time into the decisions' seconds.
func (e *Exchange) policyTime(t time.Time) float64 { return policyStartTime + t.Sub(e.start).Seconds() }

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

// fireTimers reports what is due by now.
func (e *Exchange) fireTimers() {
	for len(e.timers) > 0 && !e.timers[0].at.After(e.turnAt) {
		t := heap.Pop(&e.timers).(timer)
		switch {
		case t.attempt != nil:
			e.expire(t.attempt)
		case t.query != nil:
			e.queryOverdue(t.query)
		default:
			e.events = append(e.events, policy.Event{Kind: policy.TimerFired, Handle: t.handle})
		}
	}
}

func (e *Exchange) schedule(seconds float64, t timer) {
	t.at = e.turnAt.Add(time.Duration(seconds * float64(time.Second)))
	heap.Push(&e.timers, t)
}
