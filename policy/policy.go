package policy

// This module makes every decision of a co-ordinator: here constants, turn and arrivals, then count.go,
// choice, sending, outcomes, time, health, list, guards and answers. state.go keeps the records.

import "cmp"
import "math"
import "math/rand/v2"
import "slices"

const (
	// Latency model (DESIGN).
	initialMean   = 0.2   // of the promise: first mean of a part's latency
	initialSpread = 0.5   // of that mean: first 1/μ
	trimmedShare  = 0.001 // of the samples: the worst that the model leaves out
	refreshPeriod = 2.0   // s: period of the estimates (DESIGN's start value)
	historySpan   = 8.0   // promises: how far back samples count; a mix shift is forgotten by then
	minSamples    = 8     // samples: fewer do not replace an estimate

	// Time.
	defaultPromise = 3600.0 // s: more than any promise, for settings that name no class
	tickShare      = 0.01   // of the least promise: period of the look at what is open; ends rounding to 1 %
	deadlineMargin = 2.0    // ticks before their end that queries are settled, keyed windows left: a turn may lag
	stallTicks     = 4.0    // ticks without a turn: this instance stood still

	// Further attempts.
	backoffShare           = 0.1  // of the promise: first wait of a part that has no sound holder left, then doubled
	lateQuantile           = 0.98 // quantile of latencies after which a part counts as late: 2 % are
	workHintWeight         = 0.02 // weight of the newest work hint: hints are rough, some 50 of them make the mean
	minLateMedians         = 1.5  // medians: a part younger than this is never late, however tight the tail
	maxLateMedians         = 5.0  // medians: one older is, or stalls of more than the tail's share would hide themselves
	minLateShare           = 0.1  // of the promise: nor younger than this; there is time, and copies cost work
	lostFactor             = 2.0  // times late: the part's answer is taken for lost, whatever else its replica answers
	copyBudgetShare        = 0.5  // of the budget that copies of late parts may use up: the rest is for failed ones
	defaultExtraPerRequest = 0.20 // copies for each part taken, where no budget is stated: bounds a storm of them
	defaultExtraFree       = 8.0  // copies free of that share, so that a small instance has some
	defaultExtraWindow     = 4.0  // promises: window of that share

	// Health.
	queueingThreshold   = 0.2  // of the promise: recent latency from which queues have formed: many are late
	faultWeight         = 0.25 // weight of the newest outcome: two faults in a row show
	faultThreshold      = 0.3  // serverShare of faults from which a replica is suspect
	slownessWeight      = 0.25 // weight of the newest answer in a replica's pace: little traffic brings few
	slownessPower       = 4.0  // power of the pace in a tie: half as swift again is five times as likely
	minSlowness         = 0.1  // of the mean: a pace under that says no more
	latencySampleWeight = 0.05 // weight of the newest answer where all replicas' are taken together
	fewHolders          = 2    // holders of a shard: with so few, leaving one out doubles what the other gets
	trialInterval       = 0.5  // promises between trials of a suspect
	trialShare          = 0.1  // of the parts sent may be trials
	maxTrialCredit      = 2.0  // trialCredit that may have been saved up
	crashWindow         = 24.0 // promises after a death in which queries send scouts: what kills comes seconds apart

	// Cold replicas.
	coldDeviations = 2.0 // roots of the expected parts: refills come evenly, when they are used is left to chance
	fastQuantile   = 0.2 // quantile of latencies that is taken for the work of a part
	coldHistory    = 5.0 // tip_after: how far back answers are counted to infer what a warm one gives

	// Admission.
	tenantWindow       = 3.0 // promises: window of a tenant's rate
	tenantDeviations   = 0.7 // roots of a tenant's fair count beyond it that are let pass as chance
	maxWaitShare       = 0.5 // of the promise: mean time of a part that still lets the last of them be in time
	slowLatencyShare   = 0.5 // of maxWaitShare: recent latency, in promises, from which queues are taken to have formed
	nearlyFullShare    = 0.9 // of max_open: from here late queries and those over a tenant's share make room
	minInFlightShares  = 2.0 // L: parts out that are always allowed; a start or a lull tells no rate
	minReplicaInFlight = 8.0 // parts out at one replica, of all co-ordinators if alike, that are always allowed
	rateWindow         = 2.0 // promises: window of one replica's rate
	maxProbeShare      = 0.1 // of what our share of the replicas can work on: what queries that go and see may use
	probeWeight        = 0.5 // weight of the parts of such a query together

	// Answers.
	weightTolerance = 1e-6 // of a whole: a sum of weights may miss by so much in adding them up
)

// Policy is one instance.
type Policy struct {
	cfg     Config
	rng     *rand.Rand
	now     float64
	turn    uint64
	actions []Action

	replicas        map[uint64]*replica
	list            []*replica   // by id
	cells           [][]*replica // by cell, each by id
	holderBuf       []*replica
	queries         map[uint64]*query
	queriesByGroup  map[uint64]*query
	parts           map[uint64]*part
	openQueries     []*query // received order of arrival
	toPlan          []*query // to be planned at the end of this turn
	models          []model
	inFlight        int // attempts out
	overdueInFlight int // of these, too long out
	upCount         int // replicas on the list that are up

	requests, extraAttempts window   // all that came, further attempts
	extraByRoute            []window // further attempts by route, the first for queries of none
	noLimits                Limits   // narrows nothing
	arrivals, answers       window   // queries but retries, answers of parts
	tenantArrivals          []window // queries but retries
	trialCredit             float64  // that may go now
	recentLatency           ewma     // latency over promise, 1 for a part turned away
	recentLatencyAt         float64  // its newest sample
	lastProbeAt             float64  // when the latest query was let in to see whether the queues have gone
	slowdown                ewma     // latest latencies over the estimates
	minPromise, tick        float64  // the least promise; the period of a look
	subscribeAt, refreshAt  float64
	stallEndedAt            float64 // closeQuery of our last standstill
	lastCrashAt             float64 // when the list last told of a death
	timerArmed              bool
}

// New returns an instance that knows only its settings.
func New(cfg Config) *Policy {
	p := &Policy{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Ordinal))),
		replicas: map[uint64]*replica{}, cells: make([][]*replica, cfg.Cells),
		queries: map[uint64]*query{}, queriesByGroup: map[uint64]*query{}, parts: map[uint64]*part{},
		models: make([]model, len(cfg.Classes)), tenantArrivals: make([]window, len(cfg.Tenants)),
	}
	if cfg.MaxAttempts <= 0 {
		p.cfg.MaxAttempts = math.MaxInt // number limit
	}
	p.minPromise = defaultPromise
	for i := range cfg.Classes {
		c, md := &cfg.Classes[i], &p.models[i]
		p.minPromise = min(p.minPromise, c.Promise)
		md.mean = initialMean * c.Promise
		md.spread = initialSpread * md.mean
		md.delta = md.mean - md.spread
		md.median, md.fast = md.mean, md.mean
		md.lateLatency = md.delta - math.Log(1-lateQuantile)*md.spread // of a shifted exponential
	}
	p.tick = max(cfg.Resolution, tickShare*p.minPromise)
	spans := max(cfg.ExtraWindow+deadlineMargin*cfg.Resolution, defaultExtraWindow*p.minPromise)
	p.requests.retention, p.extraAttempts.retention = spans, spans
	p.answers.retention = max(coldHistory*cfg.OverloadWindow, p.minPromise)
	p.arrivals.retention = tenantWindow * p.minPromise
	for i := range p.tenantArrivals {
		p.tenantArrivals[i].retention = p.arrivals.retention
	}
	return p
}

// Handle takes one turn: what happened at now, in order. The actions hold until the next call.
func (p *Policy) Handle(now float64, events []Event) []Action {
	// Guards against our own standstills, in which all replicas look silent: ages count from its end.
	if p.timerArmed && now-p.now > stallTicks*p.tick {
		p.stallEndedAt = now
	}
	p.now, p.actions = now, p.actions[:0]
	p.turn++
	if p.cfg.MustSubscribe && now >= p.subscribeAt {
		p.subscribeAt = math.Inf(1) // until a call fails or the subscription drops
		p.emit(Action{Verb: Watch})
	}
	for i := range events {
		p.handleEvent(&events[i])
	}
	due := !p.timerArmed
	if due {
		p.checkOpenQueries() // after all that came in this turn, or what has just been answered counts as late
	}
	for _, q := range p.toPlan {
		p.plan(q)
	}
	p.toPlan = p.toPlan[:0]
	if due {
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
		p.subscribeAt = p.now + min(p.minPromise, cmp.Or(p.cfg.MaxSubscribeDelay, p.minPromise)) // the held list stays in force
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
	if !ev.Retry { // a client's new try of what it asked before is no more traffic of its tenant's
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
		if md.workHints.n >= minSamples { // guards against copies of costly parts, which are late for their work
			pt.workRatio = max(1, ev.Work/md.workHints.value)
		}
		md.workHints.add(ev.Work, workHintWeight)
	}
	q.parts = append(q.parts, pt)
	p.parts[pt.id] = pt
}

// plan admits a query and asks for as many of its parts as the design says.
func (p *Policy) plan(q *query) {
	if q.ended || len(q.parts) == 0 {
		return
	}
	q.need = len(q.parts)
	if q.step == 1 {
		// Guards against weights that travel rounded: those of 59 parts sum to 0.999991, never to a whole.
		sum := 0.0
		for _, pt := range q.parts {
			sum += pt.weight
		}
		for _, pt := range q.parts {
			pt.weight /= max(sum, weightTolerance)
		}
		q.need = neededParts(&p.cfg.Classes[q.class], q.need)
		if why := p.admissionRefusal(q); why != NoReason {
			p.giveUp(q, why)
			return
		}
	}
	// Guards against queries that bring down each replica that begins a part of them: one that a client
	// asks again sends one part ahead as a scout, and so do all for a while after a replica died. The rest
	// goes when that has come in, or has been out for long enough to have begun and broke nothing.
	q.mayBreak = q.retry || p.lastCrashAt > 0 && p.now-p.lastCrashAt < crashWindow*p.minPromise
	if q.scouting = q.step == 1 && q.mayBreak; q.scouting {
		p.requestParts(q, 1)
	} else {
		p.requestPlanned(q)
	}
}

func (p *Policy) requestPlanned(q *query) {
	q.scouting = false
	p.requestParts(q, p.partCount(q.class, q.need, len(q.parts)))
}

// requestParts sends first attempts until n parts have been asked for. Where fewer than all go, those go first
// whose holders are healthy and least loaded, heavier before lighter: they are the likeliest to be in time.
func (p *Policy) requestParts(q *query, n int) {
	var wait []*part
	for _, pt := range q.parts {
		if !pt.requested && !pt.exhausted {
			wait = append(wait, pt)
		}
	}
	if n -= q.requested; n < len(wait) {
		for _, pt := range wait {
			if r, rank := p.pickReplica(pt); r != nil {
				pt.rank, pt.load = rank, r.openCalls
			} else {
				pt.rank = math.MaxInt
			}
		}
		slices.SortStableFunc(wait, func(a, b *part) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.load, b.load),
				cmp.Compare(b.weight, a.weight))
		})
	}
	for i := 0; i < len(wait) && i < n; i++ {
		wait[i].requested = true
		q.requested++
		p.trySend(wait[i], false)
	}
}
