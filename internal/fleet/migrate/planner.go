package migrate

import (
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

const (
	// MaxOffers limits the offers in one plan. With twice as many a log entry has 400 kB; with half as many the step becomes the
	// limit at 20,000 moves a minute.
	MaxOffers = 1000
	// MaxExamined limits how many idle sessions of a co-ordinator, and how many others, are examined in one step. With half as
	// many, long queries in them lead to fewer offers than possible; with twice as many a step takes correspondingly longer.
	MaxExamined = 2048
	// MaxUnsafe limits how many open unsafe queries of a co-ordinator are examined.
	MaxUnsafe = 1024
	// RescanInterval is how often the sessions of a leaving co-ordinator are read from the book again, to find the sessions opened
	// since and lanes that changed. Half of it doubles the cost of reading a book of 100,000 sessions; with twice as long the last
	// sessions wait that much longer before they move.
	RescanInterval = 5 * time.Second
	// ProposalTimeout is how long a proposed plan may take to appear in the book. After it, what has not appeared counts as lost
	// and is planned again. With twice as long a lost plan costs twice the time; with half of it a slow raft group gets the same
	// plan twice and refuses the second one.
	ProposalTimeout = 5 * time.Second
	// TargetRetryDelay is how long a session is not offered again to a target that declined it or let the offer expire. With twice
	// as long a target that has capacity again is passed over; with half of it a full target is asked twice as often.
	TargetRetryDelay = 30 * time.Second
	// TargetBackoff is how long a target that declined a session for lack of capacity gets no offer at all: its next report of its
	// capacity arrives within that time. With half of it the target declines again because the planner still uses the old report;
	// with twice as long a small error costs that much of the target's capacity.
	TargetBackoff = 2 * time.Second
	// InitialBackoff is how long a session is left alone after its first failed attempt. The time doubles with each further
	// failure until StuckAttempts of them; from then on it is MaxBackoff.
	InitialBackoff = 500 * time.Millisecond
	// StuckAttempts is the number of failed attempts after which a session is reported as one that does not move. With one more,
	// its client is subjected to one more freeze.
	StuckAttempts = 8
	// MaxBackoff is the backoff of a session that does not move. With half of it, two more places in flight are wasted on the
	// session every half minute.
	MaxBackoff = time.Minute
	// MaxFailureRecords limits the number of sessions whose failed attempts are remembered. The oldest record is dropped, and its
	// session may be offered again.
	MaxFailureRecords = 20_000
	// ForecastInterval is the time between two forecasts.
	ForecastInterval = 5 * time.Second
)

// Plan is the result of a step.
type Plan struct {
	Body     session.PlanBody // to be proposed unless it is empty
	Tick     bool             // agreed time has to advance, because a wait in the book has ended
	Deferred []Deferred
	Forecast Forecast // the last one, at most ForecastInterval old; zero if nothing goes out
}

// Empty reports whether there is nothing to propose.
func (p *Plan) Empty() bool {
	return len(p.Body.Offers)+len(p.Body.Withdrawals)+len(p.Body.Shifts)+len(p.Body.CancelledTransfers) == 0
}

// Deferred counts the sessions that should move but were not offered in this step, by owner and reason.
type Deferred struct {
	From     string
	Sessions int
	Reason   string
	Example  session.ID
}

// Options configures a planner.
type Options struct {
	// Prefer compares two receivers for a session, the better one first; nil: LookAhead.
	Prefer Prefer
}

// move is an offered move of a session, offered by this planner or by an earlier one.
type move struct {
	id          session.ID
	from, to    string
	epoch       uint64
	phaseSince  time.Duration // start of the session's phase when the move was offered
	offeredAt   time.Duration
	phaseUntil  time.Duration // end of the phase, once the move was seen in the book
	fence       uint64        // of the offer, once the move was seen in the book
	phase       session.Phase // as last seen; Free: not seen yet
	withdrawnAt time.Duration // when its withdrawal was planned; 0: not withdrawn
	seen        bool          // found in the book in this step
}

// queue holds the sessions that a leaving co-ordinator owned when they were last read.
type queue struct {
	readAt   time.Duration
	sessions []entry // sorted by lane, then by ID
	idle     []entry // idle sessions from its last report; read again in each step
}

type entry struct {
	id   session.ID
	lane uint8
}

// Planner keeps only state that improves its plans: what it offered, which moves failed and which targets declined. A new planner
// reads the moves in flight from the book, which also enforces the limits. A Planner must not be used concurrently.
type Planner struct {
	prefer             Prefer
	lookAhead          bool // prefer is LookAhead
	moves              []move
	index              map[session.ID]int // indexes in moves
	failures           map[session.ID]*failureRecord
	failureOrder       []session.ID             // keys of failures, oldest first
	targetBackoff      map[string]time.Duration // end of the backoff, by target
	queues             map[string]*queue
	incomingShifts     map[slotKey]pendingSlots
	outgoingShifts     map[slotKey]pendingSlots
	openTransfers      map[uint64]time.Duration // open transfers by fence, with the time at which they were first seen
	cancelledTransfers map[uint64]time.Duration // by fence, with the time at which their cancellation was planned
	supplyCursor       int                      // index of the candidate whose slots were checked last
	moveDuration       time.Duration            // moving average of the observed durations of moves; 0: none observed yet
	forecast           Forecast
	forecastAt         time.Duration
	hasForecast        bool
	site               site
}

// New returns a planner without state.
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

// Step plans the next moves. now is the leader's agreed time; if the book is ahead of it, the book's time is used.
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

// readMoves finds the moves in flight in the book and takes over those of an earlier planner.
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
			f.from, f.to, f.epoch, f.fence = from, to, r.Epoch, r.Fence // the offer may be another leader's
		}
		f.phaseUntil, f.phase, f.seen = r.Until, r.Phase, true
		return true
	})
}

// resolveMoves handles the results of the offers that are no longer in flight.
func (p *Planner) resolveMoves(now time.Duration, v *View) {
	pending := p.moves[:0]
	for _, f := range p.moves {
		if f.seen || p.stillPending(now, v, &f) {
			pending = append(pending, f)
		} else {
			delete(p.index, f.id)
		}
	}
	p.moves = pending
	for i := range p.moves {
		p.index[p.moves[i].id] = i
	}
	n := 0
	for n < len(p.failureOrder) { // drops the oldest records once they no longer matter or there are too many
		t := p.failures[p.failureOrder[n]]
		if t != nil && len(p.failureOrder)-n <= MaxFailureRecords && now < t.retryAt+4*TargetRetryDelay {
			break
		}
		delete(p.failures, p.failureOrder[n])
		n++
	}
	p.failureOrder = p.failureOrder[n:]
}

// stillPending reports whether an offer that is not in the book may still be applied. If not, it records whether the move
// succeeded or failed.
func (p *Planner) stillPending(now time.Duration, v *View, f *move) bool {
	r, ok := v.Book.Get(f.id)
	switch {
	case !ok:
		p.clearFailures(f.id)
	case r.Owner == f.to:
		p.clearFailures(f.id)
		duration := min(max(r.Since-f.offeredAt, 0), time.Minute)
		if p.moveDuration == 0 {
			p.moveDuration = duration
		}
		p.moveDuration += (duration - p.moveDuration) / 8
	case r.Owner != f.from:
	case f.phase == session.Free && r.Since == f.phaseSince && r.Epoch == f.epoch:
		return now < f.offeredAt+ProposalTimeout
	case f.withdrawnAt > 0:
	default:
		p.recordFailure(now, v, f, r)
	}
	return false
}

// withdrawOffers withdraws open offers that should not proceed because the operators paused the work or cancelled the request, the
// target is gone or leaving itself, or the source can no longer hand sessions over. Moves that are already handed over continue.
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
		valid := from != nil && from.c.Live && from.c.Leaving && to != nil && to.c.Live && !to.c.Leaving
		if (v.Paused || !valid) && (f.withdrawnAt == 0 || now >= f.withdrawnAt+ProposalTimeout) && len(plan.Body.Withdrawals) < MaxOffers {
			f.withdrawnAt = now
			plan.Body.Withdrawals = append(plan.Body.Withdrawals, session.Withdrawal{ID: f.id, Epoch: f.epoch, Fence: f.fence})
		}
	}
	p.cancelTransfers(now, v, plan)
}

// updateForecast makes a new forecast every ForecastInterval while a co-ordinator is leaving or scheduled to leave.
func (p *Planner) updateForecast(now time.Duration, v *View, plan *Plan) {
	leaving := slices.ContainsFunc(v.Coordinators, func(c Coordinator) bool { return c.Leaving || c.Rank >= 0 })
	if !leaving {
		p.forecast, p.hasForecast = Forecast{}, false
		return
	}
	if !p.hasForecast || now >= p.forecastAt+ForecastInterval {
		p.hasForecast, p.forecastAt = true, now
		p.forecast = NewForecast(now, *v, p.moveDuration)
	}
	plan.Forecast = p.forecast
}
