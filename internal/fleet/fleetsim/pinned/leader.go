package pinned

import (
	"encoding/json"
	"fmt"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
	"birchcart/internal/fleet/view"
)

// lead is what a leader remembers in its term.
type lead struct {
	term      uint64
	since     time.Duration // own
	heard     map[string]time.Duration
	at        map[int]int     // up to where others had the log when they last told, or were told
	releasing map[string]bool // proposed, and not yet known what came of it
	planner   *migrate.Planner
	planning  bool // a plan of this term is under way
	limiting  bool
	ticking   bool
	handMade  []session.Offer
	shifts    []session.Shift
	no        int
	spreadAt  time.Duration // own
	base      time.Duration // agreed time that it proposed last
}

const leadEvery = 100 * time.Millisecond

// spreadEvery is between two entries that deal slots, as a steward's.
const spreadEvery = 200 * time.Millisecond

// leads begins a term, with all that is agreed in the own copy.
func (c *co) leads(term uint64) {
	c.lead = &lead{term: term, since: c.mono(), heard: map[string]time.Duration{}, at: map[int]int{}, releasing: map[string]bool{},
		planner: migrate.New(migrate.Options{Prefer: c.w.Prefer})}
	c.hint = c.id
	c.follow(len(c.w.log))
	c.leadTurn(c.lead)
}

// time is the agreed time by this leader's clock.
func (l *lead) time(c *co) time.Duration {
	l.base = max(l.base, clockwork.Epoch+c.mono(), c.reading().Now())
	return l.base
}

func (l *lead) propose(c *co, kind string, body any, done func(error)) {
	raw, err := json.Marshal(body)
	c.w.fail(err)
	l.no++
	cmd := statemachine.Command{V: statemachine.Version, ID: fmt.Sprintf("t%d-%d", l.term, l.no), Part: Part, Kind: kind, Body: raw, At: l.time(c)}
	c.w.propose(c, l.term, cmd, func(err error) {
		if c.lead == l {
			done(err)
		}
	})
}

// leadTurn looks at what is to be proposed. A leader that hears of a later term leads no more.
func (c *co) leadTurn(l *lead) {
	w := c.w
	if c.lead != l {
		return
	}
	if w.term != l.term && w.open(w.leader, c.id) {
		c.lead, c.hint = nil, w.leader
		return
	}
	c.later(leadEvery, func() { c.leadTurn(l) })
	if w.term != l.term || len(w.pipe) > 64 {
		return
	}
	w.compact(c)
	book := c.reading()
	limits, revision := book.Limits()
	if revision < w.limits.Revision && !l.limiting {
		l.limiting = true
		l.propose(c, session.KindLimits, session.LimitsBody{Limits: w.limits}, func(error) { l.limiting = false })
	}
	if revision == 0 {
		return
	}
	c.release(l, limits)
	if !l.planning {
		c.plan(l, limits)
	}
	if book.Moving() > 0 && !l.ticking && l.time(c)-book.Now() > time.Second {
		c.tickAgreed(l)
	}
}

func (c *co) tickAgreed(l *lead) {
	l.ticking = true
	l.propose(c, session.KindTick, session.TickBody{}, func(error) { l.ticking = false })
}

// release frees what co-ordinators have that were silent for long enough.
func (c *co) release(l *lead, limits session.Limits) {
	need := limits.SilentFor()
	for _, o := range c.w.cos {
		silent := c.silence(l, o.name)
		if silent <= need || l.releasing[o.name] || !c.has(o.name) {
			continue
		}
		l.releasing[o.name] = true
		l.propose(c, session.KindRelease, session.ReleaseBody{Name: o.name, Silent: silent, At: l.time(c)}, func(error) { delete(l.releasing, o.name) })
	}
}

func (c *co) silence(l *lead, name string) time.Duration {
	if name == c.name {
		return 0
	}
	return c.mono() - max(l.since, l.heard[name])
}

// has says that something is a co-ordinator's, as agreed.
func (c *co) has(name string) bool {
	book := c.reading()
	if book.Owned(name) > 0 {
		return true
	}
	for _, r := range c.w.replicas {
		if book.Pool().Held(name, r.name) > 0 {
			return true
		}
	}
	return false
}

// plan lets the planner say what moves, and gives free slots to those that have few.
func (c *co) plan(l *lead, limits session.Limits) {
	w := c.w
	book := c.reading()
	now := l.time(c)
	v := migrate.View{Book: book, Slots: book.Pool(), Outage: w.s.Away}
	for _, r := range w.replicas {
		v.Replicas = append(v.Replicas, r.name)
	}
	for i, o := range w.cos {
		rank, ok := w.order[i]
		if !ok {
			rank = migrate.RankNone
		}
		deadline, leaving := w.leaving[i]
		owned := book.Owned(o.name)
		v.Coordinators = append(v.Coordinators, migrate.Coordinator{Name: o.name, Zone: fmt.Sprint("z", i%3), Rank: rank, Leaving: leaving, Deadline: deadline,
			Live:     (o.up || w.Now-o.downAt < 2*time.Second) && c.silence(l, o.name) < limits.Lease,
			Capacity: migrate.Capacity{MaxSessions: w.roomOf(), OwnedAtReport: owned, OpenQueries: 0, MaxQueries: 1 << 16, FreeMemory: 1 << 32}})
	}
	plan := l.planner.Step(now, v)
	if w.s.Shared {
		w.Figures.forecast(plan.Forecast)
	}
	body := plan.Body
	body.Offers = append(body.Offers, l.handMade...)
	body.Shifts = append(body.Shifts, l.shifts...)
	l.handMade, l.shifts = nil, nil
	if len(body.Shifts) == 0 && (!w.s.Shared || c.mono() >= l.spreadAt) {
		l.spreadAt = c.mono() + time.Second
		if body.Shifts = c.spread(l, limits); len(body.Shifts) == session.MaxActs/2 { // there is more to deal
			l.spreadAt = c.mono() + spreadEvery
		}
	}
	if plan.Tick && !l.ticking {
		c.tickAgreed(l)
	}
	if len(body.Offers)+len(body.Withdrawals)+len(body.Shifts)+len(body.CancelledTransfers) > 0 {
		l.planning = true
		l.propose(c, session.KindPlan, body, func(error) { l.planning = false })
	}
}

// roomOf is how many sessions each co-ordinator takes: a fair share and a third.
func (w *World) roomOf() int {
	return w.s.Sessions*4/(3*max(1, w.s.Coordinators-w.s.Abreast)) + 2
}

// spread gives free slots to those who hold less than their share.
func (c *co) spread(l *lead, limits session.Limits) (shifts []session.Shift) {
	w := c.w
	book := c.reading()
	for _, r := range w.replicas {
		free := book.Pool().Free(r.name)
		share := max(1, limits.Caps[r.name]/len(w.cos))
		for i, o := range w.cos {
			if free <= 0 {
				break
			}
			if _, leaving := w.leaving[i]; leaving || !o.up || c.silence(l, o.name) > 2*view.PollInterval+time.Second {
				continue
			}
			if n := min(free, share-book.Pool().Held(o.name, r.name)); n > 0 {
				if len(shifts) == session.MaxActs/2 {
					return shifts
				}
				shifts = append(shifts, session.Shift{To: o.name, Replica: r.name, N: n})
				free -= n
			}
		}
	}
	return shifts
}
