package migrate

import (
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

const (
	// OffersMost in one plan. Twice as many: an entry of the log has 400 kB; half: at 20,000 moves a minute the limit is met.
	OffersMost = 1000
	// IdleMost of a co-ordinator's idle sessions, and as many of what is not idle, are looked at in one step. Half: with
	// long queries in them, fewer offers than could be; twice: a step takes so much longer.
	IdleMost = 2048
	// UnsafeMost of a co-ordinator's open unsafe queries are looked at.
	UnsafeMost = 1024
	// RescanEvery is how often the sessions of one that leaves are read anew: those that were opened since, with lanes of
	// late. Half: twice the cost of reading a book of 100,000; twice: the last ones wait so long before they move.
	RescanEvery = 5 * time.Second
	// ProposeFor is how long a plan may take to be seen in the book. After it what was not seen is taken for lost and is
	// planned again. Twice: a lost plan costs as long; half: a slow council is asked twice, and refuses.
	ProposeFor = 5 * time.Second
	// AskAgain is how long a target that declined a session, or let the offer's time pass, is not asked again for it. Twice:
	// one that has room again is left out; half: a full one is asked so much more often.
	AskAgain = 30 * time.Second
	// RestTarget is how long a target that declined for lack of room gets no offer at all: its next word of its room is
	// there by then. Half: it declines again by an old word; twice: a small slip costs so much of its room.
	RestTarget = 2 * time.Second
	// RestFirst is how long a session rests after its first attempt that failed, twice as long after each further one, up to
	// AttemptsMost of them, from where on it rests RestLast.
	RestFirst = 500 * time.Millisecond
	// AttemptsMost before a session is named as one that does not move. One more: its client meets one more freeze.
	AttemptsMost = 8
	// RestLast is the rest of such a one. Half: half a minute later two more places in flight are wasted on it.
	RestLast = time.Minute
	// TriedMost sessions are remembered that came back from an attempt; the oldest is forgotten and may be asked again.
	TriedMost = 20_000
	// ForecastEvery is how often the forecast is made anew.
	ForecastEvery = 5 * time.Second
)

// Plan is what a step wants.
type Plan struct {
	Body     session.PlanBody // to be proposed, unless it is empty
	Tick     bool             // agreed time is to be moved on: what waits for it in the book is over by now
	Kept     []Kept
	Forecast Forecast // of the last ForecastEvery; zero if nothing goes out
}

// Empty says that there is nothing to propose.
func (p *Plan) Empty() bool {
	return len(p.Body.Offers)+len(p.Body.Withdrawals)+len(p.Body.Shifts)+len(p.Body.CancelledTransfers) == 0
}

// Kept are sessions that should move and were not offered, looked at in this step, by reason.
type Kept struct {
	From     string
	Sessions int
	Why      string
	Example  session.ID
}

// Options of a planner.
type Options struct {
	// Prefer puts two receivers in order for a session, the better one first; nil: LookAhead.
	Prefer Prefer
}

// flight is a move that was offered, by this planner or one before it.
type flight struct {
	id       session.ID
	from, to string
	epoch    uint64
	since    time.Duration // of the session's phase when it was offered
	at       time.Duration
	until    time.Duration // of the phase, once seen
	fence    uint64        // of the offer, once seen
	phase    session.Phase // as last seen; Free: not yet
	called   time.Duration // when it was called off; 0: not
	live     bool          // seen in this step
}

// queue is what one that leaves owned when that was last read, by lane, then by id.
type queue struct {
	at   time.Duration
	all  []entry
	idle []entry // in this step, of its last word
}

type entry struct {
	id   session.ID
	lane uint8
}

// Planner remembers only what makes plans better: what it offered, what came back, which targets declined. One that
// starts anew finds what is in flight in the book, which holds the limits too. Not for two goroutines at once.
type Planner struct {
	prefer   Prefer
	own      bool // the preference is LookAhead
	flights  []flight
	index    map[session.ID]int
	tried    map[session.ID]*tried
	order    []session.ID // of tried, oldest first
	rests    map[string]time.Duration
	queues   map[string]*queue
	coming   map[slotKey]pendingSlots
	going    map[slotKey]pendingSlots
	shifts   map[uint64]time.Duration // transfers that are open, since when they were seen
	backs    map[uint64]time.Duration // those that were called back, when
	turn     int                      // whose slots are looked at next
	takes    time.Duration            // that a move takes, as seen of late; 0: none yet
	forecast Forecast
	foreseen time.Duration
	begun    bool
	site     site
}

// New makes a planner that knows nothing yet.
func New(o Options) *Planner {
	p := &Planner{
		prefer: o.Prefer, index: map[session.ID]int{}, tried: map[session.ID]*tried{}, rests: map[string]time.Duration{},
		queues: map[string]*queue{}, coming: map[slotKey]pendingSlots{}, going: map[slotKey]pendingSlots{}, shifts: map[uint64]time.Duration{},
		backs: map[uint64]time.Duration{},
	}
	if p.prefer == nil {
		p.prefer, p.own = LookAhead, true
	}
	return p
}

// Step plans what to do now. now is the leader's agreed time, at least that of the book.
func (p *Planner) Step(now time.Duration, v View) Plan {
	now = max(now, v.Book.Now())
	var plan Plan
	p.look(now, &v)
	p.settle(now, &v)
	p.site.count(p, now, &v)
	p.callOff(now, &v, &plan)
	if !v.Paused && now >= v.Book.BlockedUntil() {
		p.offer(now, &v, &plan)
		p.supply(&v)
		p.site.shift(p, now, &v, &plan)
	}
	p.foresee(now, &v, &plan)
	return plan
}

// look finds in the book what is in flight, and takes over what an earlier planner left.
func (p *Planner) look(now time.Duration, v *View) {
	for i := range p.flights {
		p.flights[i].live = false
	}
	v.Book.Moves(func(r session.Record) bool {
		i, ok := p.index[r.ID]
		from, to := r.Owner, r.To
		if r.Phase == session.HandedOver {
			from, to = r.Source, r.Owner
		}
		if !ok {
			i = len(p.flights)
			p.index[r.ID] = i
			p.flights = append(p.flights, flight{id: r.ID, from: from, to: to, epoch: r.Epoch, at: r.Since})
		}
		f := &p.flights[i]
		if r.Phase == session.Offered {
			if f.fence != r.Fence {
				f.called = 0
			}
			f.from, f.to, f.epoch, f.fence = from, to, r.Epoch, r.Fence // it may be another leader's
		}
		f.until, f.phase, f.live = r.Until, r.Phase, true
		return true
	})
}

// settle sees what came of the offers that are no more in flight.
func (p *Planner) settle(now time.Duration, v *View) {
	keep := p.flights[:0]
	for _, f := range p.flights {
		if f.live || p.came(now, v, &f) {
			keep = append(keep, f)
		} else {
			delete(p.index, f.id)
		}
	}
	p.flights = keep
	for i := range p.flights {
		p.index[p.flights[i].id] = i
	}
	n := 0
	for n < len(p.order) { // the oldest go once nothing of theirs counts, or there are too many
		t := p.tried[p.order[n]]
		if t != nil && len(p.order)-n <= TriedMost && now < t.rest+4*AskAgain {
			break
		}
		delete(p.tried, p.order[n])
		n++
	}
	p.order = p.order[n:]
}

// came says whether an offer that the book does not show still counts: it may not have been applied yet.
func (p *Planner) came(now time.Duration, v *View, f *flight) bool {
	r, ok := v.Book.Get(f.id)
	switch {
	case !ok:
		p.forget(f.id)
	case r.Owner == f.to:
		p.forget(f.id)
		took := min(max(r.Since-f.at, 0), time.Minute)
		if p.takes == 0 {
			p.takes = took
		}
		p.takes += (took - p.takes) / 8
	case r.Owner != f.from:
	case f.phase == session.Free && r.Since == f.since && r.Epoch == f.epoch:
		return now < f.at+ProposeFor
	case f.called > 0:
	default:
		p.failed(now, v, f, r)
	}
	return false
}

// callOff withdraws open offers that should not go on: the operators stopped the work or took the request back, the
// target is gone or goes itself, the source can not hand any more. What is handed stays.
func (p *Planner) callOff(now time.Duration, v *View, plan *Plan) {
	for i := range p.flights {
		f := &p.flights[i]
		if !f.live {
			continue
		}
		if now >= f.until {
			plan.Tick = true
		}
		if now >= f.until || f.phase != session.Offered {
			continue
		}
		from, to := p.site.find(f.from), p.site.find(f.to)
		goes := from != nil && from.c.Live && from.c.Leaving && to != nil && to.c.Live && !to.c.Leaving
		if (v.Paused || !goes) && (f.called == 0 || now >= f.called+ProposeFor) && len(plan.Body.Withdrawals) < OffersMost {
			f.called = now
			plan.Body.Withdrawals = append(plan.Body.Withdrawals, session.Withdrawal{ID: f.id, Epoch: f.epoch, Fence: f.fence})
		}
	}
	p.callBack(now, v, plan)
}

// foresee makes the forecast anew now and then, while something goes out.
func (p *Planner) foresee(now time.Duration, v *View, plan *Plan) {
	out := slices.ContainsFunc(v.Coordinators, func(c Coordinator) bool { return c.Leaving || c.Rank >= 0 })
	if !out {
		p.forecast, p.begun = Forecast{}, false
		return
	}
	if !p.begun || now >= p.foreseen+ForecastEvery {
		p.begun, p.foreseen = true, now
		p.forecast = Foresee(now, *v, p.takes)
	}
	plan.Forecast = p.forecast
}
