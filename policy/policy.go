package policy

// This module makes every decision of a co-ordinator. Its interface is api.go; state.go keeps the records.
// Order: constants, turn, arrival, part count, replica choice, sending, outcomes, time, health, guards,
// answers. Times are seconds. Settings are what Config says, observation is what this instance saw itself.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

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
	lossLimit   = 0.05 // share of attempts that are late while their replicas answer others: answers get lost
	lossMost    = 3.0  // medians, in place of lateMost, while they do
	copiesShare = 0.5  // of the budget that copies of late parts may use up: the rest is for failed ones
	ownExtra    = 0.20 // copies for each part taken, where no budget is stated: bounds a storm of them
	ownFree     = 8.0  // copies free of that share, so that a small instance has some
	ownSpan     = 4.0  // promises: window of that share

	// Health.
	faultShare  = 0.25 // weight of the newest outcome: two faults in a row show
	faultLimit  = 0.3  // share of faults from which a replica is suspect
	paceShare   = 0.2  // weight of the newest latency
	freshShare  = 0.05 // weight of the newest answer where all replicas' are taken together
	paceLimit   = 2.5  // times the middle pace of the list: slower is suspect; queueing alone stays under
	paceLeast   = 4    // samples before a pace is believed
	silentTimes = 3.0  // times late without any answer from a replica that owes one: silent
	trialGap    = 0.5  // promises between trials of a suspect
	trialsOK    = 2    // good trials in a row that end the suspicion

	// Cold replicas.
	coldSafety = 0.6 // of the inferred budget: peers' traffic is uneven and capacity only inferred
	coldChance = 3.0 // roots of the expected parts: sums of chance stay under that in all but 1 of 1000
	swiftShare = 0.2 // quantile of latencies that is taken for the work of a part
	coldMemory = 5.0 // tip_after: how far back answers are counted to infer what a warm one gives

	// Admission.
	shareSpan  = 3.0 // promises: window of a tenant's rate
	shareSlack = 0.7 // roots of a tenant's fair count beyond it that are let pass as chance
	waitShare  = 0.4 // of the promise: mean time of a part that still lets the last of them be in time
	slowShare  = 0.5 // of waitShare: recent latency, in promises, from which queues are taken to have formed
	valueMost  = 1.5 // most that a query's worth for its work stretches or shrinks its time of a part
	fullOpen   = 0.9 // of max_open: from here late queries and those over a tenant's share make room
	leastRoom  = 2.0 // L: parts out that are always allowed; a start or a lull tells no rate
	leastOut   = 8.0 // parts out at one replica, of all co-ordinators if alike, that are always allowed
	rateSpan   = 2.0 // promises: window of one replica's rate

	// Answers.
	weightSlip = 1e-6 // of a whole: a sum of weights may miss by rounding
)

// model is what a class's recent part latencies say.
type model struct {
	delta, spread float64 // Δ and 1/μ
	mean          float64
	swift, middle float64 // quantiles: about the work alone, and the median
	tail          float64 // the latency from which a part is late
	seen          samples
	work          ewma // hints of parts
}

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
	inFlight int
	up       int // replicas on the list that are up

	requests, extras   window   // all that came, further attempts
	arrivals, done     window   // queries but retries, answers of parts
	tenants            []window // queries but retries
	ahead              ewma     // calls already out where attempts went
	stress             ewma     // latency over promise
	drag               ewma     // latest latencies over the estimates
	losses             ewma     // share of attempts that were late while their replica answered others
	value              ewma     // worth for the work of a part
	promise, tick      float64  // the least promise; the period of a look
	watchAt, refreshAt float64
	stalledAt          float64 // end of our last standstill
	logAt              float64
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
	p.promise = endless
	for i := range cfg.Classes {
		c, md := &cfg.Classes[i], &p.models[i]
		p.promise = math.Min(p.promise, c.Promise)
		md.mean = startMean * c.Promise
		md.spread = startSpread * md.mean
		md.delta = md.mean - md.spread
		md.middle, md.swift = md.mean, md.mean
		md.tail = md.delta - math.Log(1-tailShare)*md.spread // of a shifted exponential
	}
	p.tick = math.Max(cfg.Resolution, tickShare*p.promise)
	spans := math.Max(cfg.ExtraSpan+dueMargin*cfg.Resolution, ownSpan*p.promise)
	p.requests.keep, p.extras.keep = spans, spans
	p.done.keep = math.Max(coldMemory*cfg.TipAfter, p.promise)
	p.arrivals.keep = shareSpan * p.promise
	for i := range p.tenants {
		p.tenants[i].keep = p.arrivals.keep
	}
	return p
}

// Handle takes one turn: what happened at now, in order. The actions hold until the next call.
func (p *Policy) Handle(now float64, events []Event) []Action {
	// Guards against our own standstills (no CPU, a long collection): what was out meanwhile looks late, and
	// all replicas silent, though only we were. Ages then count from the end of it.
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
		p.watchAt = p.now + p.promise // the list that is held stays in force meanwhile
	}
}

// Arrival.

func (p *Policy) queryArrived(ev *Event) {
	q := &query{
		id: ev.Query, group: ev.Group, class: ev.Class, tenant: ev.Tenant,
		arrived: p.now, due: ev.Due, step: 1,
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
			pt.heavy = math.Max(1, ev.Work/md.work.value)
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
	c := &p.cfg.Classes[q.class]
	k := len(q.parts)
	q.need = k
	if q.step == 1 {
		q.need = min(k, max(1, int(math.Ceil(c.Need*float64(k)-weightSlip))))
		if p.turnedAway(q) {
			p.giveUp(q)
			return
		}
	}
	p.askFor(q, p.partCount(q.class, q.need, k))
}

// askFor sends first attempts until n parts have been asked for. Where fewer than all go, those go first
// whose holders are healthy and least loaded, heavier ones before lighter: these are the likeliest to make
// the answer. A part whose holders are all unfit thus is left out whenever the rest suffices.
func (p *Policy) askFor(q *query, n int) {
	var wait []*part
	for _, pt := range q.parts {
		if pt.sent {
			n--
		} else if !pt.dead {
			wait = append(wait, pt)
		}
	}
	if n < len(wait) {
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
		p.try(wait[i], false)
	}
}

// Part count (DESIGN; FAST CLOUD sec. IV and V).

// share is L: the instance's share of the servers that hold the class's shards, at least m.
func (p *Policy) share(m int) float64 {
	return math.Max(float64(m), float64(p.up)/float64(p.cfg.Aggregators))
}

// threshold is Q_s: the backlog, in queries, at which s and s+1 parts have the same modelled delay.
func (md *model) threshold(m, s int, l float64) float64 {
	capacity := func(s int) float64 { return l / (float64(s)*md.delta + float64(m)*md.spread) }
	queue := func(s int, c float64) float64 { return float64(s+1) / (2 * float64(s) * c) } // times λ/(C−λ)
	c1, c2 := capacity(s), capacity(s+1)
	b1, b2 := queue(s, c1), queue(s+1, c2)
	gain := md.spread * (1/float64(s-m+1) - 1/float64(s+1)) // service time that one more part saves
	// λ·b2/(C2−λ) − λ·b1/(C1−λ) = gain, as a quadratic in λ.
	qa := gain + b2 - b1
	qb := -(gain*(c1+c2) + b2*c1 - b1*c2)
	qc := gain * c1 * c2
	disc := qb*qb - 4*qa*qc
	if disc < 0 {
		return math.Inf(1)
	}
	// The smaller root in a form that holds for qa near zero.
	root := 2 * qc / (-qb + math.Sqrt(disc))
	if md.delta <= 0 || !(root > 0 && root < c2) { // without Δ one more part never costs capacity
		return math.Inf(1)
	}
	return root * root * b1 / (c1 - root)
}

// partCount is s: k on an empty backlog, m on a long one.
func (p *Policy) partCount(class, m, k int) int {
	l := p.share(m)
	backlog := math.Max(0, float64(p.inFlight)-l) / float64(m)
	if backlog == 0 {
		return k
	}
	s := m
	for s < k && backlog < p.models[class].threshold(m, s, l) {
		s++
	}
	return s
}

// learn refreshes the estimates.
func (p *Policy) learn() {
	for i := range p.models {
		md := &p.models[i]
		x := md.seen.recent(p.now - memory*p.cfg.Classes[i].Promise)
		if len(x) < leastSeen {
			continue
		}
		md.swift, md.middle, md.tail = quantile(x, swiftShare), quantile(x, 0.5), quantile(x, tailShare)
		x = x[:len(x)-int(cutWorst*float64(len(x)))]
		md.mean, md.spread = moments(x)
		md.delta = math.Max(0, md.mean-md.spread)
	}
}

// Replica choice.

// pick returns the holder with fewest of our calls out among the fittest, ties at random, and how unfit
// it is: 0 sound, 1 suspect, 2 tried for this part before, 3 both. Parts that share a call count once.
func (p *Policy) pick(pt *part) (best *replica, rank int) {
	load, ties := 0, 0
	for _, r := range p.holders(pt.shard) {
		rk, busy := 0, p.coldShut(r)
		if r.suspect && !p.trialDue(r, pt) {
			rk = 1
		}
		for _, a := range pt.attempts {
			if a.r == r {
				busy = busy || !a.ended
				rk |= 2
			}
		}
		switch n := r.calls; {
		case busy:
		case best == nil || rk < rank || rk == rank && n < load:
			best, rank, load, ties = r, rk, n, 1
		case rk == rank && n == load:
			if ties++; p.rng.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best, rank
}

// Sending.

// try sends one attempt for a part where some holder may take it now; otherwise the part waits for a look.
func (p *Policy) try(pt *part, hedge bool) bool {
	r, rank := p.pick(pt)
	if r == nil || hedge && rank > 0 {
		return false
	}
	if n := len(pt.attempts); pt.out == 0 && n > 0 && rank > 0 {
		// Guards against quick failures at all holders (a restart of them all, a lost link) that use up a
		// part's attempts within milliseconds: with no sound holder left to try, wait ever longer.
		wait := pauseShare * p.cfg.Classes[pt.q.class].Promise * math.Exp2(float64(n-1))
		if pt.retryAt = pt.attempts[n-1].sentAt + wait; pt.retryAt > p.now {
			return false
		}
	}
	return p.send(pt, r, hedge)
}

// send is the one place from which attempts go; every rule on sending is kept here.
func (p *Policy) send(pt *part, r *replica, hedge bool) bool {
	again := len(pt.attempts) > 0
	switch {
	case pt.gone || pt.in || pt.q.due-p.now <= p.tick, // rule 1: nothing after the end
		p.spent(pt),
		again && !p.mayRepeat(pt), // rule 2
		pt.out > 0 && (!p.cfg.SecondCopies || pt.out > 1),
		r.state != Up,            // rule 3
		p.coldShut(r),            // rule 4
		again && !p.spend(hedge): // rule 6, last since it books the attempt
		return false
	}
	r.credit-- // while it is cold
	if r.call == nil || r.call.turn != p.turn || r.call.parts >= p.cfg.CallParts {
		r.call = &call{turn: p.turn}
	}
	if r.call.out == 0 {
		r.calls++
	}
	r.call.parts++
	r.call.out++
	a := &attempt{p: pt, r: r, call: r.call, no: len(pt.attempts), sentAt: p.now, ahead: r.calls - 1}
	p.ahead.add(float64(a.ahead), freshShare)
	pt.attempts = append(pt.attempts, a)
	pt.out++
	pt.sent = true
	r.outs = append(r.outs, a)
	p.inFlight++
	p.act(Action{Verb: Send, Part: pt.id, Replica: r.id})
	return true
}

// spent tells that a part has had all its attempts.
func (p *Policy) spent(pt *part) bool {
	return p.cfg.MaxAttempts > 0 && len(pt.attempts) >= p.cfg.MaxAttempts
}

// mayRepeat is rule 2: an unsafe part goes again only when no attempt can have run; a keyed one that may
// have run only within the window from the first such attempt, less the time that a turn can lag.
func (p *Policy) mayRepeat(pt *part) bool {
	c, first := &p.cfg.Classes[pt.q.class], pt.firstRun()
	inWindow := first != nil && p.now < first.sentAt+c.Window-dueMargin*p.tick
	return c.Effect == Safe || first == nil || c.Effect == Keyed && inWindow
}

// spend is the one ledger of attempts beyond a part's first (rule 6). Where no budget is stated, second
// copies alone are bounded, against storms of our own making.
func (p *Policy) spend(hedge bool) bool {
	free, share, span := p.cfg.ExtraFree, p.cfg.ExtraPerRequest, p.cfg.ExtraSpan
	if span <= 0 {
		if !hedge {
			return true
		}
		free, share, span = ownFree, ownExtra, ownSpan*p.promise
	}
	// Requests on the window's edge are left out and attempts on it counted: either reading is kept.
	taken := p.requests.count(p.now - span + p.cfg.Resolution)
	used := p.extras.count(p.now - span - p.cfg.Resolution)
	limit := free + share*float64(taken)
	if hedge {
		limit *= copiesShare
	}
	if float64(used+1) > limit {
		return false
	}
	p.extras.add(p.now)
	return true
}

// Outcomes.

func (p *Policy) attemptEnded(ev *Event) {
	pt := p.parts[ev.Part]
	if pt == nil || ev.Attempt < 0 || ev.Attempt >= len(pt.attempts) || pt.attempts[ev.Attempt].ended {
		return
	}
	a, q := pt.attempts[ev.Attempt], pt.q
	a.ended = true
	a.neverRan = ev.Outcome == Rejected || ev.Outcome == Unreachable || ev.Outcome == Moot
	a.r.drop(a)
	pt.out--
	p.inFlight--
	p.judge(a, ev.Outcome, ev.Took)
	if ev.Outcome == OK {
		p.done.add(p.now)
		a.r.done.add(p.now)
	}
	if ev.Outcome == OK && a.sentAt >= p.stalledAt {
		p.models[q.class].seen.add(p.now, ev.Took)
		p.drag.add(ev.Took/p.models[q.class].mean, freshShare)
		p.stress.add(ev.Took/p.cfg.Classes[q.class].Promise, freshShare)
	}
	switch {
	case pt.gone: // its query or step has ended, and this answer counts no more
		if pt.out == 0 {
			delete(p.parts, pt.id)
		}
		return
	case ev.Outcome != OK:
		p.again(pt)
		return
	case pt.in:
		return
	}
	pt.in = true
	q.in += pt.weight
	q.inCount++
	p.revoke(pt, pt.out)
	p.settle(q)
}

// again goes on after an attempt that failed.
func (p *Policy) again(pt *part) {
	q := pt.q
	if pt.in || pt.out > 0 {
		return
	}
	if p.spent(pt) || !p.mayRepeat(pt) {
		pt.dead = true
	}
	asked := 0
	for _, o := range q.parts {
		if o.sent {
			asked++
		}
	}
	if asked < len(q.parts) { // a part held back costs no further attempt, so it goes before a repeat
		p.askFor(q, asked+1)
	} else if !pt.dead {
		p.try(pt, false)
	}
	if pt.dead {
		p.settle(q)
	}
}

// Time.

// look goes over what is open once a tick.
func (p *Policy) look() {
	if p.now >= p.refreshAt {
		p.refreshAt = p.now + refresh
		p.learn()
	}
	p.watchHealth()
	for _, q := range p.open {
		if !q.over {
			p.lookAt(q)
		}
	}
	p.open = slices.DeleteFunc(p.open, func(q *query) bool { return q.over })
}

// late is the age from which a part of the class counts as late. It grows at once with the latest answers:
// guards against a fleet that slows down as a whole, or a costlier mix, where estimates some promises old
// make every part late and the copies of all of them make it worse.
func (p *Policy) late(class int) float64 {
	md, most, scale := &p.models[class], lateMost, math.Max(1, p.drag.value)
	if p.losses.value > lossLimit { // then waiting longer brings nothing, and what is lost costs no one work
		most, scale = lossMost, 1
	}
	return scale * math.Max(lateLeast*p.cfg.Classes[class].Promise,
		math.Max(lateTimes*md.middle, math.Min(most*md.middle, md.tail)))
}

// age is for how long an attempt has been out, as far as we were there to see its end.
func (p *Policy) age(a *attempt) float64 { return p.now - math.Max(a.sentAt, p.stalledAt) }

func (p *Policy) lookAt(q *query) {
	c := &p.cfg.Classes[q.class]
	if q.due-p.now <= dueMargin*p.tick {
		p.giveUp(q)
		return
	}
	if age := p.now - q.arrived; age+p.tick >= c.Promise {
		// After the promise a short answer may be worth more than waiting for the whole, and a class that
		// earns nothing late is given up: its parts only keep others waiting. So is any late one while the
		// instance is full, since a new query in its place may earn its whole worth.
		if p.shortWorth(q) > c.LateWorth || age >= c.Promise && (c.LateWorth == 0 || p.full()) {
			p.giveUp(q)
			return
		}
	}
	base := p.late(q.class)
	for _, pt := range q.parts {
		if q.over {
			return
		}
		if pt.in || pt.dead || !pt.sent {
			continue
		}
		late := base * pt.heavy
		if pt.out == 0 {
			if pt.retryAt <= p.now {
				if len(pt.attempts) == 0 {
					p.try(pt, false)
				} else {
					p.again(pt)
				}
			}
			continue
		}
		if pt.out > 1 {
			if last := pt.attempts[len(pt.attempts)-1]; p.age(last) >= lostTimes*late && !p.spent(pt) {
				p.revoke(pt, 1) // both copies seem lost: make room for one more
			}
			continue
		}
		a := pt.attempts[len(pt.attempts)-1]
		age := p.age(a)
		// Guards against answers that never come from a replica that goes on answering others (a stuck
		// worker, a lost reply): the part goes elsewhere though no replica looks unsound.
		lost := age >= lostTimes*late
		if !lost && !a.r.suspect && age < late {
			continue
		}
		if !p.releaseOne(q, base) {
			p.try(pt, !lost)
		}
	}
}

// releaseOne answers lateness without a second copy where it can: parts that are out in good time may
// suffice, or a part that was held back goes first. It tells whether that is so.
func (p *Policy) releaseOne(q *query, late float64) bool {
	asked, good := 0, q.inCount
	for _, pt := range q.parts {
		if pt.sent {
			asked++
		}
		if !pt.in && pt.out > 0 {
			if a := pt.attempts[len(pt.attempts)-1]; !a.r.suspect && p.age(a) < late*pt.heavy {
				good++
			}
		}
	}
	if good >= q.need {
		return true
	}
	if asked == len(q.parts) {
		return false
	}
	p.askFor(q, asked+1)
	return true
}

// Health. One suspicion for each replica, whatever the symptom: faults, silence, or a slow pace. It only
// narrows the choice; a shard whose holders are all suspect still uses them.

func (p *Policy) judge(a *attempt, o Outcome, took float64) {
	r := a.r
	switch o {
	case OK:
		r.heardAt, r.down = p.now, false
		r.faults.add(0, faultShare)
		p.losses.add(0, freshShare)
		if a.sentAt < p.stalledAt {
			return // how long it took was not seen
		}
		r.pace.add(took/p.expected(a), paceShare)
		if r.suspect && a.sentAt > r.since {
			if took <= paceLimit*p.expected(a) {
				if r.passed++; r.passed >= trialsOK {
					r.suspect, r.pace, r.faults = false, ewma{}, ewma{}
					p.log("replica %d taken back", r.id)
				}
			} else {
				r.passed = 0
			}
		}
	case Revoked, Moot:
		// A revoked attempt ended by our own wish. Its age is a bound on its latency: when it is already
		// slow, that is news of a replica that second copies would otherwise hide. Not so where the replica
		// has answered later parts meanwhile: that one answer was lost, and the replica is not slow.
		if r.heardAt > a.sentAt && took >= p.late(a.p.q.class)*a.p.heavy {
			p.losses.add(1, freshShare)
		}
		seen := math.Max(r.heardAt, p.stalledAt) < a.sentAt
		if x := took / p.expected(a); seen && x > math.Max(1, r.pace.value) {
			r.pace.add(x, paceShare)
		}
		if r.suspect && r.heardAt < r.since {
			r.trialAt = p.now + trialGap*p.promise // a trial by which a silent one is silent still
		}
	default:
		if o != TimedOut {
			r.heardAt = p.now
		}
		r.faults.add(1, faultShare)
		r.passed = 0
		if o != Failed { // down or full; one that only fails some parts is tried again at once
			r.trialAt, r.down = p.now+trialGap*p.promise, o != TimedOut
		}
		if r.faults.value > faultLimit && r.faults.n > 1 || o == Unreachable || o == Broken {
			p.suspect(r, "faults")
		}
	}
}

// expected is the latency that an attempt's class and the calls ahead of it explain. Without the latter the
// mates of a failed replica, which take its load, look slow for it and are left out as well.
func (p *Policy) expected(a *attempt) float64 {
	return p.models[a.p.q.class].mean * a.p.heavy * float64(1+a.ahead) / (1 + p.ahead.value)
}

func (p *Policy) suspect(r *replica, why string) {
	if !r.suspect {
		r.suspect, r.since, r.passed = true, p.now, 0
		r.trialAt = p.now + trialGap*p.promise
		p.log("replica %d suspect: %s", r.id, why)
	}
}

// watchHealth looks for silence and for a pace far from that of the others.
func (p *Policy) watchHealth() {
	var paces []float64
	for _, r := range p.list {
		if r.pace.n >= paceLeast && r.state == Up {
			paces = append(paces, r.pace.value)
		}
	}
	slices.Sort(paces)
	middle := quantile(paces, 0.5)
	for _, r := range p.list {
		if r.suspect {
			continue
		}
		if r.pace.n >= paceLeast && len(paces) > 2 && r.pace.value > paceLimit*math.Max(1, middle) {
			p.suspect(r, "slow")
		}
		if len(r.outs) > 0 {
			a := r.outs[0]
			if r.heardAt < a.sentAt && p.age(a) > silentTimes*p.late(a.p.q.class)*a.p.heavy {
				p.suspect(r, "silent")
			}
		}
	}
}

// trialDue tells whether a suspect may have this part as a trial: one at a time, and only a part that may
// go elsewhere as well should the trial fail.
func (p *Policy) trialDue(r *replica, pt *part) bool {
	return r.trialAt <= p.now && len(r.outs) == 0 && len(pt.attempts) == 0 &&
		p.cfg.Classes[pt.q.class].Effect == Safe && p.cfg.SecondCopies
}

// The list.

func (p *Policy) listChanged(ev *Event) {
	if ev.Full {
		for _, r := range p.list {
			r.state = Removed
		}
	}
	for _, e := range ev.List {
		r := p.replicas[e.Replica]
		if r == nil {
			r = &replica{id: e.Replica, done: window{keep: rateSpan * p.promise}}
			p.replicas[e.Replica] = r
			p.list = append(p.list, r)
		}
		if e.State != Removed {
			r.cell = e.Cell
			if e.Started > r.started {
				if r.started > 0 || r.suspect {
					r.suspect, r.down, r.pace, r.faults = false, false, ewma{}, ewma{}
				}
				r.started, r.credit, r.creditAt = e.Started, p.rng.Float64(), p.now
			}
		}
		r.state = e.State
	}
	p.index()
}

// Guards.

// coldRate is how many parts a second this instance may send to a cold replica (rule 4), and false for a
// warm one. Capacity is not told. Two lower bounds on it: the answers that a replica gives us on average,
// times the co-ordinators, and one core at the swift latency of the slowest class: little of it is waiting.
// Where our share is a part or more in the window, even gaps keep it; where it is less, the sum with the
// peers is left to chance, and its mean must lie so far under the limit that chance does not pass it.
func (p *Policy) coldRate(r *replica) (float64, bool) {
	age, peers := p.now-r.started, float64(p.cfg.Aggregators)
	if r.started <= 0 || age >= p.cfg.WarmUp || p.cfg.FallMultiple <= 0 {
		return 0, false
	}
	level := p.cfg.ColdFrom + (1-p.cfg.ColdFrom)*math.Max(0, age-p.cfg.TipAfter)/p.cfg.WarmUp
	longest := 0.0
	for i := range p.models {
		longest = math.Max(longest, p.models[i].swift)
	}
	span := coldMemory * p.cfg.TipAfter
	seen := float64(p.done.count(p.now-span)) / span / float64(max(1, p.up)) * peers
	limit := p.cfg.FallMultiple * level * math.Max(seen, 1/longest) * p.cfg.TipAfter
	parts := coldSafety * limit
	if parts < peers {
		root := (math.Sqrt(coldChance*coldChance+4*limit) - coldChance) / 2
		parts = math.Min(parts, root*root)
	}
	return parts / p.cfg.TipAfter / peers, true
}

// coldShut tells whether a replica is cold and has had what it may take by now. Credit starts at random:
// guards against all co-ordinators sending their first part as soon as they are told of a new start.
func (p *Policy) coldShut(r *replica) bool {
	rate, cold := p.coldRate(r)
	r.credit, r.creditAt = math.Min(1, r.credit+rate*(p.now-r.creditAt)), p.now
	return cold && r.credit < 1
}

// turnedAway decides on a query at its arrival. By Little's law the parts out, over the rate at which parts
// come back, are the time that a new part will take. Where that leaves too little of the promise the query
// is refused, earlier if its tenant is over its share. It is asked of all sound replicas together, and of
// the holders of each shard. Guards against queues that make every answer late, whatever filled them (a
// burst, a flood, retries, lost or slow replicas, a hot key), and against work for queries that cannot be
// whole since all holders of a shard refuse connections.
func (p *Policy) turnedAway(q *query) bool {
	c, out := &p.cfg.Classes[q.class], 0
	for _, r := range p.list {
		if !r.suspect {
			out += len(r.outs)
		}
	}
	time := math.Min(c.Promise, q.due-p.now) // clients that leave early set the pace
	wait := waitShare * time
	if c.FollowUp > 0 {
		wait /= 2 // the promise holds for both steps
	}
	value := c.Points // for the work of a part
	if !p.cfg.WorthByWork {
		value /= float64(q.need)
	}
	p.value.add(value, workShare)
	if p.value.value > 0 {
		wait *= math.Max(1/valueMost, math.Min(valueMost, math.Sqrt(value/p.value.value)))
	}
	over := p.overShare(q)
	wait /= over
	blind := p.now-p.stalledAt < p.promise // our own standstill tells no rate
	hope, least := len(q.parts), math.Max(1, leastOut/float64(p.cfg.Aggregators))
	for _, pt := range q.parts {
		if !slices.ContainsFunc(p.holders(pt.shard), func(r *replica) bool {
			rate := float64(r.done.count(p.now-rateSpan*p.promise)) / (rateSpan * p.promise)
			return (!r.down || p.now >= r.trialAt) &&
				(blind || float64(len(r.outs)) <= math.Max(least, wait*rate))
		}) {
			hope--
		}
	}
	if hope < q.need {
		return true
	}
	// A rate seen in a lull says little, so latencies must show the queues as well.
	slow := p.stress.value*c.Promise > slowShare*waitShare*time/over
	room := wait * float64(p.done.count(p.now-p.promise)) / p.promise
	return p.full() && over > 1 || slow && float64(out) > math.Max(leastRoom*p.share(q.need)/over, room)
}

// full tells that queries will soon be turned away before they reach this instance.
func (p *Policy) full() bool {
	return p.cfg.MaxOpen > 0 && float64(len(p.queries)+len(p.parts)) > fullOpen*float64(p.cfg.MaxOpen)
}

// overShare tells how many times over its share a query's tenant is, at least 1. Only this instance's own
// traffic is known, so the tenant must be over both its part of the quota and its share of what comes here.
func (p *Policy) overShare(q *query) float64 {
	if q.tenant < 0 || p.cfg.OverShareKeep >= 1 {
		return 1
	}
	t, span := &p.cfg.Tenants[q.tenant], shareSpan*p.promise
	mine := float64(p.tenants[q.tenant].count(p.now - span))
	all := float64(p.arrivals.count(p.now - span))
	fair := math.Max(span*t.Quota/float64(p.cfg.Aggregators), t.Share*all)
	return math.Max(1, mine/math.Max(1, fair+shareSlack*math.Sqrt(fair)))
}

// Answers.

// settle answers a query that has enough, and gives up one that can no longer have it.
func (p *Policy) settle(q *query) {
	c := &p.cfg.Classes[q.class]
	need, hope := c.Need, q.in
	if q.step == 2 {
		need = 1
	}
	for _, pt := range q.parts {
		if !pt.in && !pt.dead {
			hope += pt.weight
		}
	}
	switch {
	case q.in >= need-weightSlip && (q.step == 1 || q.inCount == len(q.parts)):
		p.answer(q)
	case hope < need-weightSlip && p.shortWorth(q) > 0:
		p.answer(q)
	case hope < math.Min(need, c.Floor)-weightSlip:
		p.giveUp(q)
	}
}

// shortWorth is what an answer from the parts that are in would earn, as a share of a whole one's.
func (p *Policy) shortWorth(q *query) float64 {
	c := &p.cfg.Classes[q.class]
	if !p.floorMet(q) || q.inCount == 0 {
		return 0
	}
	return c.ShortWorth * math.Min(1, q.in/c.Need)
}

func (p *Policy) floorMet(q *query) bool {
	c := &p.cfg.Classes[q.class]
	if q.step == 2 && c.Floor >= c.Need {
		return q.inCount == len(q.parts)
	}
	return q.in >= c.Floor-weightSlip
}

// giveUp ends a query at once: with what is in where that may be told, else by a refusal where no part
// can have run or a repeat does no harm, else by a failure.
func (p *Policy) giveUp(q *query) {
	if p.floorMet(q) && q.inCount > 0 {
		p.answer(q)
		return
	}
	a := Action{Verb: Refuse, Query: q.id}
	ran := func(pt *part) bool { return pt.firstRun() != nil }
	if p.cfg.Classes[q.class].Effect != Safe && (q.step == 2 || slices.ContainsFunc(q.parts, ran)) {
		a.Verb = Fail // rule 2; what the first step ran is forgotten by now, and its parts with it
	}
	if a.Verb == Refuse && p.cfg.RetryAfter {
		a.After = math.Min(p.cfg.MaxRetryAfter, p.models[q.class].mean)
	}
	p.final(q, a)
}

// answer ends a query, or its first step, from the parts that are in (rule 5).
func (p *Policy) answer(q *query) {
	c := &p.cfg.Classes[q.class]
	if !p.floorMet(q) {
		return
	}
	whole := q.in >= c.Need-weightSlip
	if q.step == 2 {
		whole = q.firstWhole && q.inCount == len(q.parts)
	}
	if q.step == 1 && c.FollowUp > 0 {
		p.act(Action{Verb: Answer, Query: q.id, Full: whole})
		p.release(q)
		q.step, q.firstWhole = 2, whole
		q.parts, q.in, q.inCount = nil, 0, 0
		return
	}
	p.final(q, Action{Verb: Answer, Query: q.id, Full: whole})
}

// final is the one place from which a query's final answer goes (rule 1).
func (p *Policy) final(q *query, a Action) {
	if q.over {
		return
	}
	p.act(a)
	p.end(q)
}

// end forgets a query; what is still out of it is cancelled.
func (p *Policy) end(q *query) {
	q.over = true
	p.release(q)
	delete(p.queries, q.id)
	delete(p.groups, q.group)
}

// release ends the parts of a step.
func (p *Policy) release(q *query) {
	for _, pt := range q.parts {
		p.revoke(pt, pt.out)
		if pt.out == 0 {
			delete(p.parts, pt.id)
		}
		pt.gone = true
	}
}

// revoke cancels the first n attempts that are out of a part.
func (p *Policy) revoke(pt *part, n int) {
	for _, a := range pt.attempts {
		if a.ended || n == 0 {
			continue
		}
		if n--; !a.revoked && p.cfg.Cancel {
			a.revoked = true
			p.act(Action{Verb: Cancel, Part: pt.id, Attempt: a.no})
		}
	}
}

// log says what changed, at most once a tick.
func (p *Policy) log(format string, args ...any) {
	if p.now >= p.logAt {
		p.logAt = p.now + p.tick
		p.act(Action{Verb: Log, Text: fmt.Sprintf(format, args...)})
	}
}
