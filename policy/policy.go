package policy

// This file holds the constants, the handling of a turn, and the arrival of queries and parts. The other
// decisions are in count.go, choice.go, sending.go, outcomes.go, time.go, health.go, list.go, guards.go and
// answers.go; state.go declares the records.

import "cmp"
import "math"
import "math/rand/v2"
import "slices"

// Unless noted, a value in promises is a multiple of the shortest promise of all classes, and "the promise"
// is that of the class in question.
const (
	// Latency model (DESIGN).
	initialMean   = 0.2   // of the promise: mean latency of a part before there are samples
	initialSpread = 0.5   // of that mean: 1/μ before there are samples
	trimmedShare  = 0.001 // of the samples: the slowest, which the model leaves out
	refreshPeriod = 2.0   // s between updates of the estimates (DESIGN's start value)
	historySpan   = 8.0   // promises: maximum age of samples; a changed mix of queries is forgotten by then
	minSamples    = 8     // fewer do not replace an estimate

	// Time.
	defaultPromise = 3600.0 // s: the shortest promise if settings name no class; longer than any real one
	tickShare      = 0.01   // of the shortest promise: period of checkOpenQueries, which rounds ends to 1 %
	// deadlineMargin is how many ticks before their end queries are settled and the windows of keyed parts
	// count as closed, because a turn may be delayed.
	deadlineMargin = 2.0
	stallTicks     = 4.0 // ticks without a turn: this instance was stalled

	// Extra attempts.
	backoffShare   = 0.1  // of the promise: first backoff of a part without a healthy holder, then doubled
	lateQuantile   = 0.98 // of latencies: a slower part counts as late, so 2 % of them do
	workHintWeight = 0.02 // of the newest work hint: hints are rough, so about 50 of them make the mean
	minLateMedians = 1.5  // medians: a younger part is never late, however narrow the distribution
	// maxLateMedians is the age, in medians, from which a part is always late. Without it, stalls of more
	// parts than lie beyond lateQuantile would raise the latency at that quantile and go unnoticed.
	maxLateMedians = 5.0
	minLateShare   = 0.1 // of the promise: a younger part is never late; there is time, and copies cost work
	// lostFactor times the late age is the age from which a part's answer is presumed lost, even if its
	// replica answers other parts.
	lostFactor             = 2.0
	copyBudgetShare        = 0.5  // of the budget: for copies of late parts; the rest is for failed parts
	defaultExtraPerRequest = 0.20 // copies per request if no budget is configured: limits a storm of copies
	defaultExtraFree       = 8.0  // copies beyond that share, so that a small instance has some
	defaultExtraWindow     = 4.0  // promises: window of that share

	// Health.
	queueingThreshold = 0.2  // of the promise: recent latency from which queues have formed; many are late
	faultWeight       = 0.25 // of the newest outcome: two faults in a row exceed the threshold
	faultThreshold    = 0.3  // share of faults above which a replica is suspect
	slownessWeight    = 0.25 // of the newest answer; high, because there are few answers under little traffic
	slownessPower     = 4.0  // in a tie: a replica 1.5 times as fast is five times as likely to be chosen
	minSlowness       = 0.1  // of the mean: a lower slowness has no further effect
	// latencySampleWeight is the weight of the newest answer in averages over all replicas.
	latencySampleWeight = 0.05
	fewHolders          = 2   // holders of a shard: excluding one of so few doubles the load of the other
	trialInterval       = 0.5 // promises between trials of a suspect replica
	trialShare          = 0.1 // of the parts sent: limit for trials
	maxTrialCredit      = 2.0 // trials that may be saved up
	// crashWindow is for how many promises after a replica went down all queries send a scout first: queries
	// that crash replicas arrive seconds apart.
	crashWindow = 24.0

	// Cold replicas.

	// coldDeviations is how many standard deviations (square roots of the expected number of parts) the
	// expected number of parts stays below the limit: credit accrues evenly, but is used at random times.
	coldDeviations = 2.0
	fastQuantile   = 0.2 // of latencies: taken for the work of a part without waiting
	coldHistory    = 5.0 // overload windows: answers are counted so far back to infer a warm replica's rate

	// Admission.
	tenantWindow     = 3.0 // promises: window of a tenant's rate
	tenantDeviations = 0.7 // square roots of a tenant's fair count: excess that is random variation
	maxWaitShare     = 0.5 // of the promise: mean latency at which a query's last part is still in time
	slowLatencyShare = 0.5 // of maxWaitShare: recent latency, in promises, that is taken to show queueing
	// nearlyFullShare is the share of MaxOpen above which late queries end early, and queries of tenants over
	// their share are refused, to make room for others.
	nearlyFullShare = 0.9
	// minInFlightShares times L parts may always be in flight: after a start or with little traffic the rate
	// of answers is not known.
	minInFlightShares = 2.0
	// minReplicaInFlight is how many parts may always be in flight at one replica, from all co-ordinators
	// together if these have equal traffic.
	minReplicaInFlight = 8.0
	rateWindow         = 2.0 // promises: window of one replica's rate of answers
	// maxProbeShare is the share of the capacity of this instance's share of the replicas that probes may use
	// (see admitProbe).
	maxProbeShare = 0.1
	probeWeight   = 0.5 // of all parts of a probe together in the recent latency

	// Answers.
	weightTolerance = 1e-6 // of a whole: rounding error of a sum of weights
)

// Policy is the state of one co-ordinator instance.
type Policy struct {
	cfg     Config
	rng     *rand.Rand
	now     float64
	turn    uint64
	actions []Action

	replicas        map[uint64]*replica
	list            []*replica   // ordered by id
	cells           [][]*replica // by cell, each ordered by id
	holderBuf       []*replica
	queries         map[uint64]*query
	queriesByGroup  map[uint64]*query
	parts           map[uint64]*part
	openQueries     []*query // in order of arrival
	toPlan          []*query // queries to plan at the end of this turn
	models          []model
	inFlight        int // number of attempts in flight
	overdueInFlight int // of these, in flight for too long
	upCount         int // number of listed replicas that are up

	requests, extraAttempts window   // arrivals of queries and parts; extra attempts
	extraByRoute            []window // extra attempts by route; index 0: no route
	noLimits                Limits   // restricts nothing
	arrivals, answers       window   // arrivals of queries without clients' retries; answers of parts
	tenantArrivals          []window // arrivals of queries without clients' retries, by tenant
	trialCredit             float64  // trials that may be sent now
	recentLatency           ewma     // latency over promise, 1 for a rejected part
	recentLatencyAt         float64  // time of its newest sample
	lastProbeAt             float64  // when the latest probe was admitted (see admitProbe)
	slowdown                ewma     // recent latency over the estimated mean
	minPromise, tick        float64  // shortest promise of all classes; period of checkOpenQueries
	subscribeAt, refreshAt  float64
	stallEndedAt            float64 // end of the last stall of this instance
	lastCrashAt             float64 // when the list last showed that a replica went down without a drain
	timerArmed              bool
}

// New returns an instance without any replicas or history.
func New(cfg Config) *Policy {
	p := &Policy{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Ordinal))),
		replicas: map[uint64]*replica{}, cells: make([][]*replica, cfg.Cells),
		queries: map[uint64]*query{}, queriesByGroup: map[uint64]*query{}, parts: map[uint64]*part{},
		models: make([]model, len(cfg.Classes)), tenantArrivals: make([]window, len(cfg.Tenants)),
	}
	if cfg.MaxAttempts <= 0 {
		p.cfg.MaxAttempts = math.MaxInt // no limit
	}
	p.minPromise = defaultPromise
	for i := range cfg.Classes {
		c, md := &cfg.Classes[i], &p.models[i]
		p.minPromise = min(p.minPromise, c.Promise)
		md.mean = initialMean * c.Promise
		md.spread = initialSpread * md.mean
		md.delta = md.mean - md.spread
		md.median, md.fast = md.mean, md.mean
		// The quantile of a shifted exponential distribution.
		md.lateLatency = md.delta - math.Log(1-lateQuantile)*md.spread
	}
	p.tick = max(cfg.Resolution, tickShare*p.minPromise)
	retention := max(cfg.ExtraWindow+deadlineMargin*cfg.Resolution, defaultExtraWindow*p.minPromise)
	p.requests.retention, p.extraAttempts.retention = retention, retention
	p.answers.retention = max(coldHistory*cfg.OverloadWindow, p.minPromise)
	p.arrivals.retention = tenantWindow * p.minPromise
	for i := range p.tenantArrivals {
		p.tenantArrivals[i].retention = p.arrivals.retention
	}
	return p
}

// Handle processes one turn: the events that happened by now, in order. The returned slice is valid until the
// next call.
func (p *Policy) Handle(now float64, events []Event) []Action {
	// During a stall of this instance all replicas look silent. To not blame them, the ages of attempts
	// count from the end of the stall.
	if p.timerArmed && now-p.now > stallTicks*p.tick {
		p.stallEndedAt = now
	}
	p.now, p.actions = now, p.actions[:0]
	p.turn++
	if p.cfg.MustSubscribe && now >= p.subscribeAt {
		p.subscribeAt = math.Inf(1) // until a request fails or the subscription drops
		p.emit(Action{Verb: Watch})
	}
	for i := range events {
		p.handleEvent(&events[i])
	}
	tickDue := !p.timerArmed
	if tickDue {
		p.checkOpenQueries() // after the events, so that parts answered in this turn don't count as late
	}
	for _, q := range p.toPlan {
		p.plan(q)
	}
	p.toPlan = p.toPlan[:0]
	if tickDue {
		p.timerArmed = true
		p.emit(Action{Verb: Timer, After: p.tick})
	}
	return p.actions
}

func (p *Policy) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Policy) handleEvent(ev *Event) {
	switch ev.Kind {
	case QueryArrived:
		p.queryArrived(ev)
	case PartArrived:
		p.partArrived(ev)
	case AttemptEnded:
		p.attemptEnded(ev)
	case ClientLeft:
		if q := p.queries[ev.Query]; q != nil {
			p.closeQuery(q)
		}
	case TimerFired:
		p.timerArmed = false
	case ListChanged:
		p.listChanged(ev)
	case ListFailed:
		// The current list stays in use.
		p.subscribeAt = p.now + min(p.minPromise, cmp.Or(p.cfg.MaxSubscribeDelay, p.minPromise))
	}
}

// Arrival.

func (p *Policy) queryArrived(ev *Event) {
	q := &query{
		id: ev.Query, group: ev.Group, class: ev.Class, tenant: ev.Tenant,
		route: ev.Route, limits: cmp.Or(ev.Limits, &p.noLimits),
		arrivedAt: p.now, deadline: ev.Deadline, step: 1, stepStart: p.now, retry: ev.Retry,
	}
	for len(p.extraByRoute) <= q.route {
		p.extraByRoute = append(p.extraByRoute, window{retention: p.extraAttempts.retention})
	}
	if q.limits.Timeout > 0 {
		q.deadline = min(q.deadline, p.now+q.limits.Timeout)
	}
	p.queries[q.id], p.queriesByGroup[q.group] = q, q
	p.openQueries = append(p.openQueries, q)
	p.toPlan = append(p.toPlan, q)
	p.requests.add(p.now)
	if !ev.Retry { // a client's retry doesn't count as additional traffic of its tenant
		p.arrivals.add(p.now)
		if q.tenant >= 0 {
			p.tenantArrivals[q.tenant].add(p.now)
		}
	}
}

func (p *Policy) partArrived(ev *Event) {
	p.requests.add(p.now)
	q := p.queriesByGroup[ev.Group]
	if q == nil || q.ended {
		return
	}
	if q.step == 2 && !slices.Contains(p.toPlan, q) {
		p.toPlan = append(p.toPlan, q)
	}
	pt := &part{id: ev.Part, query: q, shard: ev.Shard, weight: ev.Weight, workRatio: 1}
	if md := &p.models[q.class]; ev.Work > 0 {
		if md.workHints.n >= minSamples { // avoids second copies of parts that are slow due to their work
			pt.workRatio = max(1, ev.Work/md.workHints.value)
		}
		md.workHints.add(ev.Work, workHintWeight)
	}
	q.parts = append(q.parts, pt)
	p.parts[pt.id] = pt
}

// plan admits or refuses a query and sends its first parts: one as a scout, or as many as partCount says.
func (p *Policy) plan(q *query) {
	if q.ended || len(q.parts) == 0 {
		return
	}
	q.need = len(q.parts)
	if q.step == 1 {
		// Weights are rounded in transit: those of 59 parts sum to 0.999991 and would never be complete.
		// They are normalised to a sum of 1.
		sum := 0.0
		for _, pt := range q.parts {
			sum += pt.weight
		}
		for _, pt := range q.parts {
			pt.weight /= max(sum, weightTolerance)
		}
		q.need = neededParts(&p.cfg.Classes[q.class], q.need)
		if reason := p.admissionRefusal(q); reason != NoReason {
			p.giveUp(q, reason)
			return
		}
	}
	// A query may crash every replica that runs a part of it. To limit the damage, a client's retry sends
	// one part first as a scout, and so does every query for a while after a replica went down. The other
	// parts follow when the scout is answered, or has been in flight long enough to have started running
	// without bringing its replica down.
	q.mayBreak = q.retry || p.lastCrashAt > 0 && p.now-p.lastCrashAt < crashWindow*p.minPromise
	if q.scouting = q.step == 1 && q.mayBreak; q.scouting {
		p.requestParts(q, 1)
	} else {
		p.requestPlanned(q)
	}
}

// requestPlanned sends as many of a query's parts as partCount says. A query with a scout no longer waits for
// it.
func (p *Policy) requestPlanned(q *query) {
	q.scouting = false
	p.requestParts(q, p.partCount(q.class, q.need, len(q.parts)))
}

// requestParts sends first attempts until n parts are requested. If not all parts are sent, those whose
// holders are healthy and least loaded go first, as they are the likeliest to be in time; among equals the
// part with more weight.
func (p *Policy) requestParts(q *query, n int) {
	var candidates []*part
	for _, pt := range q.parts {
		if !pt.requested && !pt.exhausted {
			candidates = append(candidates, pt)
		}
	}
	if n -= q.requested; n < len(candidates) {
		for _, pt := range candidates {
			if r, rank := p.pickReplica(pt); r != nil {
				pt.rank, pt.load = rank, r.openCalls
			} else {
				pt.rank = math.MaxInt
			}
		}
		slices.SortStableFunc(candidates, func(a, b *part) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.load, b.load),
				cmp.Compare(b.weight, a.weight))
		})
	}
	for i := 0; i < len(candidates) && i < n; i++ {
		candidates[i].requested = true
		q.requested++
		p.trySend(candidates[i], false)
	}
}
