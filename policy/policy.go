package policy

// This module makes every decision of a co-ordinator: here constants, turn and arrivals, then count.go,
// choice, sending, outcomes, time, health, list, guards and answers. state.go keeps the records.

import "cmp"
import "math"
import "math/rand/v2"
import "slices"

const (
	// Latency model (DESIGN).
	startMean   = 0.2   // of the promise: first mean of a part's latency
	startSpread = 0.5   // of that mean: first 1/μ
	cutWorst    = 0.001 // of the samples: the worst that the model leaves out
	refresh     = 2.0   // s: period of the estimates (DESIGN's start value)
	memory      = 8.0   // promises: how far back samples count; a mix shift is forgotten by then
	leastSeen   = 8     // samples: fewer do not replace an estimate

	// Time.
	endless    = 3600.0 // s: more than any promise, for settings that name no class
	tickShare  = 0.01   // of the least promise: period of the look at what is open; ends rounding to 1 %
	dueMargin  = 2.0    // ticks before their end that queries are settled, keyed windows left: a turn may lag
	stallTicks = 4.0    // ticks without a turn: this instance stood still

	// Further attempts.
	pauseShare  = 0.1  // of the promise: first wait of a part that has no sound holder left, then doubled
	tailShare   = 0.98 // quantile of latencies after which a part counts as late: 2 % are
	workShare   = 0.02 // weight of the newest work hint: hints are rough, some 50 of them make the mean
	lateTimes   = 1.5  // medians: a part younger than this is never late, however tight the tail
	lateMost    = 5.0  // medians: one older is, or stalls of more than the tail's share would hide themselves
	lateLeast   = 0.1  // of the promise: nor younger than this; there is time, and copies cost work
	lostTimes   = 2.0  // times late: the part's answer is taken for lost, whatever else its replica answers
	copiesShare = 0.5  // of the budget that copies of late parts may use up: the rest is for failed ones
	ownExtra    = 0.20 // copies for each part taken, where no budget is stated: bounds a storm of them
	ownFree     = 8.0  // copies free of that share, so that a small instance has some
	ownSpan     = 4.0  // promises: window of that share

	// Health.
	queueShare = 0.2  // of the promise: recent latency from which queues have formed: many are late
	faultShare = 0.25 // weight of the newest outcome: two faults in a row show
	faultLimit = 0.3  // share of faults from which a replica is suspect
	paceShare  = 0.25 // weight of the newest answer in a replica's pace: little traffic brings few
	paceSharp  = 4.0  // power of the pace in a tie: half as swift again is five times as likely
	paceLeast  = 0.1  // of the mean: a pace under that says no more
	freshShare = 0.05 // weight of the newest answer where all replicas' are taken together
	fewHolders = 2    // holders of a shard: with so few, leaving one out doubles what the other gets
	trialGap   = 0.5  // promises between trials of a suspect
	trialShare = 0.1  // of the parts sent may be trials
	trialsMost = 2.0  // trials that may have been saved up
	fellSpan   = 24.0 // promises after a death in which queries send scouts: what kills comes seconds apart

	// Cold replicas.
	coldChance = 2.0 // roots of the expected parts: refills come evenly, when they are used is left to chance
	swiftShare = 0.2 // quantile of latencies that is taken for the work of a part
	coldMemory = 5.0 // tip_after: how far back answers are counted to infer what a warm one gives

	// Admission.
	shareSpan  = 3.0 // promises: window of a tenant's rate
	shareSlack = 0.7 // roots of a tenant's fair count beyond it that are let pass as chance
	waitShare  = 0.5 // of the promise: mean time of a part that still lets the last of them be in time
	slowShare  = 0.5 // of waitShare: recent latency, in promises, from which queues are taken to have formed
	fullOpen   = 0.9 // of max_open: from here late queries and those over a tenant's share make room
	leastRoom  = 2.0 // L: parts out that are always allowed; a start or a lull tells no rate
	leastOut   = 8.0 // parts out at one replica, of all co-ordinators if alike, that are always allowed
	rateSpan   = 2.0 // promises: window of one replica's rate
	probeShare = 0.1 // of what our share of the replicas can work on: what queries that go and see may use
	probeNews  = 0.5 // weight of the parts of such a query together

	// Answers.
	weightSlip = 1e-6 // of a whole: a sum of weights may miss by so much in adding them up
)

// Policy is one instance.
type Policy struct {
	cfg  Config
	rng  *rand.Rand
	now  float64
	turn uint64
	out  []Action

	replicas map[uint64]*replica
	list     []*replica   // by id
	cells    [][]*replica // by cell, each by id
	scratch  []*replica
	queries  map[uint64]*query
	groups   map[uint64]*query
	parts    map[uint64]*part
	open     []*query // in order of arrival
	fresh    []*query // to be planned at the end of this turn
	models   []model
	inFlight int // attempts out
	stuck    int // of these, too long out
	up       int // replicas on the list that are up

	requests, extras   window   // all that came, further attempts
	routed             []window // further attempts by route, the first for queries of none
	none               Limits   // narrows nothing
	arrivals, done     window   // queries but retries, answers of parts
	tenants            []window // queries but retries
	trials             float64  // that may go now
	stress             ewma     // latency over promise, 1 for a part turned away
	stressAt           float64  // its newest sample
	probedAt           float64  // when the latest query was let in to see whether the queues have gone
	drag               ewma     // latest latencies over the estimates
	promise, tick      float64  // the least promise; the period of a look
	watchAt, refreshAt float64
	stalledAt          float64 // end of our last standstill
	fellAt             float64 // when the list last told of a death
	armed              bool
}

// New returns an instance that knows only its settings.
func New(cfg Config) *Policy {
	p := &Policy{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Ordinal))),
		replicas: map[uint64]*replica{}, cells: make([][]*replica, cfg.Cells),
		queries: map[uint64]*query{}, groups: map[uint64]*query{}, parts: map[uint64]*part{},
		models: make([]model, len(cfg.Classes)), tenants: make([]window, len(cfg.Tenants)),
	}
	if cfg.MaxAttempts <= 0 {
		p.cfg.MaxAttempts = math.MaxInt // no limit
	}
	p.promise = endless
	for i := range cfg.Classes {
		c, md := &cfg.Classes[i], &p.models[i]
		p.promise = min(p.promise, c.Promise)
		md.mean = startMean * c.Promise
		md.spread = startSpread * md.mean
		md.delta = md.mean - md.spread
		md.middle, md.swift = md.mean, md.mean
		md.tail = md.delta - math.Log(1-tailShare)*md.spread // of a shifted exponential
	}
	p.tick = max(cfg.Resolution, tickShare*p.promise)
	spans := max(cfg.ExtraSpan+dueMargin*cfg.Resolution, ownSpan*p.promise)
	p.requests.keep, p.extras.keep = spans, spans
	p.done.keep = max(coldMemory*cfg.TipAfter, p.promise)
	p.arrivals.keep = shareSpan * p.promise
	for i := range p.tenants {
		p.tenants[i].keep = p.arrivals.keep
	}
	return p
}

// Handle takes one turn: what happened at now, in order. The actions hold until the next call.
func (p *Policy) Handle(now float64, events []Event) []Action {
	// Guards against our own standstills, in which all replicas look silent: ages count from its end.
	if p.armed && now-p.now > stallTicks*p.tick {
		p.stalledAt = now
	}
	p.now, p.out = now, p.out[:0]
	p.turn++
	if p.cfg.MustAsk && now >= p.watchAt {
		p.watchAt = math.Inf(1) // until a call fails or the subscription drops
		p.act(Action{Verb: Watch})
	}
	for i := range events {
		p.take(&events[i])
	}
	due := !p.armed
	if due {
		p.look() // after all that came in this turn, or what has just been answered counts as late
	}
	for _, q := range p.fresh {
		p.plan(q)
	}
	p.fresh = p.fresh[:0]
	if due {
		p.armed = true
		p.act(Action{Verb: Timer, After: p.tick})
	}
	return p.out
}

func (p *Policy) act(a Action) { p.out = append(p.out, a) }

func (p *Policy) take(ev *Event) {
	switch ev.Kind {
	case QueryArrived:
		p.queryArrived(ev)
	case PartArrived:
		p.partArrived(ev)
	case AttemptEnded:
		p.attemptEnded(ev)
	case ClientLeft:
		if q := p.queries[ev.Query]; q != nil {
			p.end(q)
		}
	case TimerFired:
		p.armed = false
	case ListChanged:
		p.listChanged(ev)
	case ListFailed:
		p.watchAt = p.now + min(p.promise, cmp.Or(p.cfg.MustAskIn, p.promise)) // the held list stays in force
	}
}

// Arrival.

func (p *Policy) queryArrived(ev *Event) {
	q := &query{
		id: ev.Query, group: ev.Group, class: ev.Class, tenant: ev.Tenant,
		route: ev.Route, lim: cmp.Or(ev.Limits, &p.none),
		arrived: p.now, due: ev.Due, step: 1, stepAt: p.now, retry: ev.Retry,
	}
	for len(p.routed) <= q.route {
		p.routed = append(p.routed, window{keep: p.extras.keep})
	}
	if q.lim.Time > 0 {
		q.due = min(q.due, p.now+q.lim.Time)
	}
	p.queries[q.id], p.groups[q.group] = q, q
	p.open = append(p.open, q)
	p.fresh = append(p.fresh, q)
	p.requests.add(p.now)
	if !ev.Retry { // a client's new try of what it asked before is no more traffic of its tenant's
		p.arrivals.add(p.now)
		if q.tenant >= 0 {
			p.tenants[q.tenant].add(p.now)
		}
	}
}

func (p *Policy) partArrived(ev *Event) {
	p.requests.add(p.now)
	q := p.groups[ev.Group]
	if q == nil || q.over {
		return
	}
	if q.step == 2 && !slices.Contains(p.fresh, q) {
		p.fresh = append(p.fresh, q)
	}
	pt := &part{id: ev.Part, q: q, shard: ev.Shard, weight: ev.Weight, heavy: 1}
	if md := &p.models[q.class]; ev.Work > 0 {
		if md.work.n >= leastSeen { // guards against copies of costly parts, which are late for their work
			pt.heavy = max(1, ev.Work/md.work.value)
		}
		md.work.add(ev.Work, workShare)
	}
	q.parts = append(q.parts, pt)
	p.parts[pt.id] = pt
}

// plan admits a query and asks for as many of its parts as the design says.
func (p *Policy) plan(q *query) {
	if q.over || len(q.parts) == 0 {
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
			pt.weight /= max(sum, weightSlip)
		}
		q.need = needOf(&p.cfg.Classes[q.class], q.need)
		if why := p.notAdmitted(q); why != NoReason {
			p.giveUp(q, why)
			return
		}
	}
	// Guards against queries that bring down each replica that begins a part of them: one that a client
	// asks again sends one part ahead as a scout, and so do all for a while after a replica died. The rest
	// goes when that has come in, or has been out for long enough to have begun and broke nothing.
	q.wary = q.retry || p.fellAt > 0 && p.now-p.fellAt < fellSpan*p.promise
	if q.scout = q.step == 1 && q.wary; q.scout {
		p.askFor(q, 1)
	} else {
		p.askAll(q)
	}
}

func (p *Policy) askAll(q *query) {
	q.scout = false
	p.askFor(q, p.partCount(q.class, q.need, len(q.parts)))
}

// askFor sends first attempts until n parts have been asked for. Where fewer than all go, those go first
// whose holders are healthy and least loaded, heavier before lighter: they are the likeliest to be in time.
func (p *Policy) askFor(q *query, n int) {
	var wait []*part
	for _, pt := range q.parts {
		if !pt.sent && !pt.dead {
			wait = append(wait, pt)
		}
	}
	if n -= q.asked; n < len(wait) {
		for _, pt := range wait {
			if r, rank := p.pick(pt); r != nil {
				pt.rank, pt.load = rank, r.calls
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
		wait[i].sent = true
		q.asked++
		p.try(wait[i], false)
	}
}
