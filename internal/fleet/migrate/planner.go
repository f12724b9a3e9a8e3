package migrate

import (
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

const (
	// MaxOffers in one plan. Twice as many: an entry of the log has 400 kB; half: at 20,000 moves a minute the limit is met.
	MaxOffers = 1000
	// MaxExamined of a co-ordinator's idle sessions, and as many of what is not idle, are looked at in one step. Half: with
	// long queries in them, fewer offers than could be; twice: a step takes so much longer.
	MaxExamined = 2048
	// MaxUnsafe of a co-ordinator's open unsafe queries are looked at.
	MaxUnsafe = 1024
	// RescanInterval is how often the sessions of one that leaves are read anew: those that were opened since, with lanes of
	// late. Half: twice the cost of reading a book of 100,000; twice: the last ones wait so long before they move.
	RescanInterval = 5 * time.Second
	// ProposalTimeout is how long a plan may take to be seen in the book. After it what was not seen is taken for lost and is
	// planned again. Twice: a lost plan costs as long; half: a slow council is asked twice, and refuses.
	ProposalTimeout = 5 * time.Second
	// TargetRetryDelay is how long a target that declined a session, or let the offer's time pass, is not asked again for it. Twice:
	// one that has room again is left out; half: a full one is asked so much more often.
	TargetRetryDelay = 30 * time.Second
	// TargetBackoff is how long a target that declined for lack of room gets no offer at all: its next word of its room is
	// there by then. Half: it declines again by an old word; twice: a small slip costs so much of its room.
	TargetBackoff = 2 * time.Second
	// InitialBackoff is how long a session rests after its first attempt that failed, twice as long after each further one, up to
	// StuckAttempts of them, from where on it rests MaxBackoff.
	InitialBackoff = 500 * time.Millisecond
	// StuckAttempts before a session is named as one that does not move. One more: its client meets one more freeze.
	StuckAttempts = 8
	// MaxBackoff is the rest of such a one. Half: half a minute later two more places in flight are wasted on it.
	MaxBackoff = time.Minute
	// MaxFailureRecords sessions are remembered that came back from an attempt; the oldest is forgotten and may be asked again.
	MaxFailureRecords = 20_000
	// ForecastInterval is how often the forecast is made anew.
	ForecastInterval = 5 * time.Second
)

// Plan is what a step wants.
type Plan struct {
	Body     session.PlanBody // to be proposed, unless it is empty
	Tick     bool             // agreed time is to be moved on: what waits for it in the book is over by now
	Deferred []Deferred
	Forecast Forecast // of the last ForecastInterval; zero if nothing goes out
}

// Empty says that there is nothing to propose.
func (p *Plan) Empty() bool {
	return len(p.Body.Offers)+len(p.Body.Withdrawals)+len(p.Body.Shifts)+len(p.Body.CancelledTransfers) == 0
}

// Unplaced are sessions that should move and were not offered, looked at in this step, by reason.
type Deferred struct {
	From     string
	Sessions int
	Reason   string
	Example  session.ID
}

// Options of a planner.
type Options struct {
	// Prefer puts two receivers in order for a session, the better one first; nil: LookAhead.
	Prefer Prefer
}

// flight is a move that was offered, by this planner or one before it.
type move struct {
	id          session.ID
	from, to    string
	epoch       uint64
	phaseSince  time.Duration // of the session's phase when it was offered
	offeredAt   time.Duration
	phaseUntil  time.Duration // of the phase, once seen
	fence       uint64        // of the offer, once seen
	phase       session.Phase // as last seen; Free: not yet
	withdrawnAt time.Duration // when it was called off; 0: not
	seen        bool          // seen in this step
}

// queue is what one that leaves owned when that was last read, by lane, then by id.
type queue struct {
	readAt   time.Duration
	sessions []entry
	idle     []entry // in this step, of its last word
}

type entry struct {
	id   session.ID
	lane uint8
}

// Planner remembers only what makes plans better: what it offered, what came back, which targets declined. One that
// starts anew finds what is in flight in the book, which holds the limits too. Not for two goroutines at once.
type Planner struct {
	prefer             Prefer
	lookAhead          bool // the preference is LookAhead
	moves              []move
	index              map[session.ID]int
	failures           map[session.ID]*failureRecord
	failureOrder       []session.ID // of tried, oldest first
	targetBackoff      map[string]time.Duration
	queues             map[string]*queue
	incomingShifts     map[slotKey]pendingSlots
	outgoingShifts     map[slotKey]pendingSlots
	openTransfers      map[uint64]time.Duration // transfers that are open, since when they were seen
	cancelledTransfers map[uint64]time.Duration // those that were called back, when
	supplyCursor       int                      // whose slots are looked at next
	moveDuration       time.Duration            // that a move takes, as seen of late; 0: none yet
	forecast           Forecast
	forecastAt         time.Duration
	hasForecast        bool
	site               site
}

// New makes a planner that knows nothing yet.
func New(o Options) *Planner {
	p := &Planner{
		prefer: o.Prefer, index: map[session.ID]int{}, failures: map[session.ID]*failureRecord{}, targetBackoff: map[string]time.Duration{},
		queues: map[string]*queue{}, incomingShifts: map[slotKey]pendingSlots{}, outgoingShifts: map[slotKey]pendingSlots{}, openTransfers: map[uint64]time.Duration{},
		cancelledTransfers: map[uint64]time.Duration{},
	}
	if p.prefer == nil {
		p.prefer, p.lookAhead = LookAhead, true
	}
	return p
}

// Step plans what to do now. now is the leader's agreed time, at least that of the book.
func (p *Planner) Step(now time.Duration, v View) Plan {
	now = max(now, v.Book.Now())
	var plan Plan
	p.readMoves(now, &v)
	p.resolveMoves(now, &v)
	p.site.reset(p, now, &v)
	p.withdrawOffers(now, &v, &plan)
	if !v.Paused && now >= v.Book.BlockedUntil() {
		p.planOffers(now, &v, &plan)
		p.supplySlots(&v)
		p.site.planShifts(p, now, &v, &plan)
	}
	p.updateForecast(now, &v, &plan)
	return plan
}

// look finds in the book what is in flight, and takes over what an earlier planner left.
func (p *Planner) readMoves(now time.Duration, v *View) {
	for i := range p.moves {
		p.moves[i].seen = false
	}
	v.Book.Moves(func(r session.Record) bool {
		i, ok := p.index[r.ID]
		from, to := r.Owner, r.To
		if r.Phase == session.HandedOver {
			from, to = r.Source, r.Owner
		}
		if !ok {
			i = len(p.moves)
			p.index[r.ID] = i
			p.moves = append(p.moves, move{id: r.ID, from: from, to: to, epoch: r.Epoch, offeredAt: r.Since})
		}
		f := &p.moves[i]
		if r.Phase == session.Offered {
			if f.fence != r.Fence {
				f.withdrawnAt = 0
			}
			f.from, f.to, f.epoch, f.fence = from, to, r.Epoch, r.Fence // it may be another leader's
		}
		f.phaseUntil, f.phase, f.seen = r.Until, r.Phase, true
		return true
	})
}

// settle sees what came of the offers that are no more in flight.
func (p *Planner) resolveMoves(now time.Duration, v *View) {
	keep := p.moves[:0]
	for _, f := range p.moves {
		if f.seen || p.stillPending(now, v, &f) {
			keep = append(keep, f)
		} else {
			delete(p.index, f.id)
		}
	}
	p.moves = keep
	for i := range p.moves {
		p.index[p.moves[i].id] = i
	}
	n := 0
	for n < len(p.failureOrder) { // the oldest go once nothing of theirs counts, or there are too many
		t := p.failures[p.failureOrder[n]]
		if t != nil && len(p.failureOrder)-n <= MaxFailureRecords && now < t.retryAt+4*TargetRetryDelay {
			break
		}
		delete(p.failures, p.failureOrder[n])
		n++
	}
	p.failureOrder = p.failureOrder[n:]
}

// came says whether an offer that the book does not show still counts: it may not have been applied yet.
func (p *Planner) stillPending(now time.Duration, v *View, f *move) bool {
	r, ok := v.Book.Get(f.id)
	switch {
	case !ok:
		p.clearFailures(f.id)
	case r.Owner == f.to:
		p.clearFailures(f.id)
		took := min(max(r.Since-f.offeredAt, 0), time.Minute)
		if p.moveDuration == 0 {
			p.moveDuration = took
		}
		p.moveDuration += (took - p.moveDuration) / 8
	case r.Owner != f.from:
	case f.phase == session.Free && r.Since == f.phaseSince && r.Epoch == f.epoch:
		return now < f.offeredAt+ProposalTimeout
	case f.withdrawnAt > 0:
	default:
		p.recordFailure(now, v, f, r)
	}
	return false
}

// withdrawOffers withdraws open offers that should not go on: the operators stopped the work or took the request back, the
// target is gone or goes itself, the source can not hand any more. What is handed stays.
func (p *Planner) withdrawOffers(now time.Duration, v *View, plan *Plan) {
	for i := range p.moves {
		f := &p.moves[i]
		if !f.seen {
			continue
		}
		if now >= f.phaseUntil {
			plan.Tick = true
		}
		if now >= f.phaseUntil || f.phase != session.Offered {
			continue
		}
		from, to := p.site.find(f.from), p.site.find(f.to)
		goes := from != nil && from.c.Live && from.c.Leaving && to != nil && to.c.Live && !to.c.Leaving
		if (v.Paused || !goes) && (f.withdrawnAt == 0 || now >= f.withdrawnAt+ProposalTimeout) && len(plan.Body.Withdrawals) < MaxOffers {
			f.withdrawnAt = now
			plan.Body.Withdrawals = append(plan.Body.Withdrawals, session.Withdrawal{ID: f.id, Epoch: f.epoch, Fence: f.fence})
		}
	}
	p.cancelTransfers(now, v, plan)
}

// foresee makes the forecast anew now and then, while something goes out.
func (p *Planner) updateForecast(now time.Duration, v *View, plan *Plan) {
	out := slices.ContainsFunc(v.Coordinators, func(c Coordinator) bool { return c.Leaving || c.Rank >= 0 })
	if !out {
		p.forecast, p.hasForecast = Forecast{}, false
		return
	}
	if !p.hasForecast || now >= p.forecastAt+ForecastInterval {
		p.hasForecast, p.forecastAt = true, now
		p.forecast = NewForecast(now, *v, p.moveDuration)
	}
	plan.Forecast = p.forecast
}
