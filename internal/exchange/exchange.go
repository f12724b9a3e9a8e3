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

// policyStartTime is the policy's clock, in seconds, when the exchange is created. It is far from 0, because a start time of 0 in
// the list means "long ago".
const policyStartTime = 1e6

// Exchange owns the policy, the open queries and their values. See the package comment.
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

	listsQueued atomic.Int32 // changes of the list that are not yet applied

	mu    sync.Mutex
	inbox []message
	wake  chan struct{}

	// The fields below are used only by the goroutine of Run, and before it starts.
	batch           []message // the inbox of this turn
	events          []policy.Event
	deferred        []policy.Event // events for the next turn: parts of second steps, ends of cancelled attempts
	lastID          uint64
	record          *record.Writer // nil: recording is off
	routes          *routeState    // nil: no routes are configured
	clientsGone     []*query       // queries to close at the end of this turn: client gone or rejected
	queries         map[uint64]*query
	byRequestID     map[string]*query // open, or closed with parts sent and not yet overdue: replicas may still hold those parts
	parts           map[uint64]*part
	openCount       int // open queries plus open parts
	replicasByName  map[string]*replicaEntry
	replicasByID    map[uint64]*replicaEntry
	timers          timers
	listIndex       int64     // discovery's version of the current list
	turnAt          time.Time // start of the current or last turn
	counters        counters
	summaryLoggedAt time.Time
	outgoing        []outgoingCall
	observe         func(now float64, events []policy.Event, actions []policy.Action)

	drainOverlay   *drainOverlay // nil: drains are not supported
	load           *Load         // nil: load is not measured
	sessionGate    SessionGate   // nil: there are no sessions
	laneGate       LaneGate      // nil: no load shedding
	combinedLimits map[limitKey]*policy.Limits
}

// query is a query and its state in the exchange.
type query struct {
	*Query
	id     uint64 // id for the policy, of the query and of its group of parts
	step   int
	parts  []*part
	sent   bool // an attempt was started
	closed bool
	routes *routeState // the table by which it was admitted; nil: none
	route  int

	secondStepAt time.Time // the turn that sent the first part of the second step

	// For queries of a session. pinned: the session gate admitted it and has not been notified of its end; waiting: for Release or
	// Reject; served: its reply had status Served; ran: a part ran or may have; mayStillRun: a part given up may still be running.
	pinned, waiting, served, ran, mayStillRun bool
	openAttempts                              int    // attempts that have not ended
	sessionReply                              *Reply // the reply of the session gate that rejected it while it was open; nil: none

	timerIndex int // of its timer in the heap, noTimer if there is none

	laneVerdict LaneVerdict // inLane: admitted with this verdict, and the lane gate has not been notified of its end
	inLane      bool
}

// part is one part of a query's current step.
type part struct {
	id       uint64
	query    *query
	frameID  string // its id in frames to replicas
	shard    int
	previous []int // second step: the shards that answered the first; else nil
	complete bool
	attempts []*Attempt
	answered bool
	score    int64
	value    []byte
}

// replicaEntry is a replica that discovery has listed.
type replicaEntry struct {
	Target
	listed    bool
	removedAt time.Time // when it was removed
}

// outgoingCall holds the attempts that one turn sends to a replica in one call.
type outgoingCall struct {
	replica  uint64
	attempts []*Attempt
}

// New returns an exchange. Connect must be called before Run.
func New(cfg *config.Config, log *logrus.Entry) *Exchange {
	return &Exchange{
		policy: policy.New(cfg.Policy), config: cfg.Policy, names: cfg.Names, limits: cfg.Limits, log: log, limitedLog: logs.Limit(log, cfg.Limits.LogEvery),
		start: time.Now(), wake: make(chan struct{}, 1),
		queries: map[uint64]*query{}, byRequestID: map[string]*query{}, parts: map[uint64]*part{},
		replicasByName: map[string]*replicaEntry{}, replicasByID: map[uint64]*replicaEntry{},
	}
}

// Connect sets the replica side and the discovery side of the exchange.
func (e *Exchange) Connect(r Replicas, w Watcher) { e.replicas, e.watcher = r, w }

// Observe registers a function that is called in each turn with the policy's input events and its actions. The slices are valid
// only until the function returns. It runs within the turn and must not block. Observe must be called before Run.
func (e *Exchange) Observe(observe func(now float64, events []policy.Event, actions []policy.Action)) {
	e.observe = observe
}

// Submit hands a query from the client side to the exchange. Like the methods that follow, it may be called from any goroutine.
func (e *Exchange) Submit(q *Query) { e.enqueue(q) }

// ClientGone reports that the client of a query has disconnected. Another goroutine may call the query's Submit, so ClientGone can
// come before it.
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

// AttemptEnded reports the end of an attempt; the replica side calls it.
func (e *Exchange) AttemptEnded(r Result) { e.enqueue(r) }

// HealthChecked reports the outcome of a health check.
func (e *Exchange) HealthChecked(h HealthCheck) { e.enqueue(h) }

// UpdateReplicas passes on a change of the endpoint list.
func (e *Exchange) UpdateReplicas(l ReplicaList) {
	e.listsQueued.Add(1)
	e.enqueue(l)
}

// ListPending reports whether a change passed to UpdateReplicas has not yet reached the replica side.
func (e *Exchange) ListPending() bool { return e.listsQueued.Load() > 0 }

// WatchFailed reports that a watch of the list could not be opened or has ended.
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

// Run runs turns until the context ends. A turn runs when a message has arrived or a timer is due, at least the settings'
// resolution after the turn before, the same spacing as on the bench.
func (e *Exchange) Run(ctx context.Context) {
	e.turn() // the first turn has no events and lets the policy set its timer
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

// armTimer sets the timer to when the next turn is due.
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

// turn passes all messages and due timers to the policy and carries out the actions that it returns.
func (e *Exchange) turn() {
	e.mu.Lock()
	e.batch, e.inbox = e.inbox, e.batch[:0]
	e.mu.Unlock()
	e.turnAt = time.Now()
	e.logStall()
	e.events = e.events[:0]
	for _, m := range e.batch {
		if _, isControl := m.(control); isControl {
			m.handle(e)
		}
	}
	e.events = append(e.events, e.deferred...)
	e.deferred = e.deferred[:0]
	for _, m := range e.batch {
		if _, isControl := m.(control); !isControl {
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

// counters counts what happened since the last summary.
type counters struct {
	queries, attempts, rejectedFull int
	replies                         [Conflict + 1]int
	reasons                         [policy.BreaksReplica + 1]int // of refusals and failures by the policy
	abandoned                       int
	outcomes                        [policy.NotSent + 1]int
}

// notAdmitted returns how many queries the policy refused when they arrived, over all reasons.
func (c *counters) notAdmitted() (sum int) {
	for reason, n := range c.reasons {
		if policy.Reason(reason).NotAdmitted() {
			sum += n
		}
	}
	return sum
}

// logSummary logs the counters since the last summary for on-call engineers, then resets them.
func (e *Exchange) logSummary() {
	if s := &e.counters; s.queries > 0 || len(e.queries) > 0 {
		e.log.WithFields(logrus.Fields{
			"queries": s.queries, "served": s.replies[Served], "refused": s.replies[Rejected],
			"failed": s.replies[Failed], "left": s.abandoned, "full": s.rejectedFull, "open": len(e.queries), "held": e.openCount,
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

// policyTime converts a time to seconds on the policy's clock.
func (e *Exchange) policyTime(t time.Time) float64 { return policyStartTime + t.Sub(e.start).Seconds() }

// timer is the deadline of an attempt or of a query or, if both are nil, a timer of the policy with its handle.
type timer struct {
	at      time.Time
	handle  uint64
	attempt *Attempt
	query   *query
}

// timers is a heap of timers, the earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].setIndex(i)
	t[j].setIndex(j)
}

func (t *timers) Push(x any) {
	added := x.(timer)
	added.setIndex(len(*t))
	*t = append(*t, added)
}

func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	x.setIndex(noTimer)
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// noTimer is the index of a timer that is not in the heap.
const noTimer = -1

// setIndex records where a timer is in the heap.
func (t *timer) setIndex(i int) {
	switch {
	case t.attempt != nil:
		t.attempt.timerIndex = i
	case t.query != nil:
		t.query.timerIndex = i
	}
}

// remove removes the timer at an index, if there is one. A timer that stayed until it is due would keep what it refers to in memory.
func (t *timers) remove(index int) {
	if index != noTimer {
		heap.Remove(t, index)
	}
}

// fireTimers handles all timers that are due in this turn.
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
