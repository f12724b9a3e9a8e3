package migrate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// reasonAwaitingSlots is the reason of a session that is offered once slots have arrived at its target.
const reasonAwaitingSlots = "slots are on their way to where it goes"

// planOffers makes the offers of a step, lane by lane. Within a lane idle sessions go first, and among these the sources with the
// earliest deadline.
func (p *Planner) planOffers(now time.Duration, v *View, plan *Plan) {
	var sources []*candidate
	for i := range p.site.candidates {
		if s := &p.site.candidates[i]; s.c.Leaving && s.c.Live {
			sources = append(sources, s)
			if s.owned > 0 {
				p.site.openPerSession[s.c.Name] = float64(s.c.Capacity.OpenQueries) / float64(max(s.owned, s.c.Capacity.OwnedAtReport))
			}
		}
	}
	slices.SortStableFunc(sources, func(a, b *candidate) int { return cmp.Compare(a.deadline(), b.deadline()) })
	p.rescan(now, v, sources)
	r := &offerRound{p: p, now: now, v: v, plan: plan, deferredIndex: map[deferReason]int{}, considered: map[session.ID]bool{}}
	r.budget()
	p.site.sources = sources
	for _, s := range sources {
		if s.owned > r.remaining {
			s.reservedSlots = 1 // for the sessions that stay for now
		}
	}
	if r.remaining <= 0 {
		r.deferAll(sources)
		return
	}
	lanes := r.readIdle(sources)
	for _, lane := range lanes {
		for _, s := range sources {
			r.offerLane(s, p.queues[s.c.Name].idle, lane, true)
		}
		for _, s := range sources {
			r.offerLane(s, p.queues[s.c.Name].sessions, lane, false)
		}
	}
}

// deadline returns the deadline of a leaving co-ordinator, or the maximum if it has none.
func (s *candidate) deadline() time.Duration {
	if s.c.Deadline == 0 {
		return 1<<63 - 1
	}
	return s.c.Deadline
}

// deferReason groups the deferred sessions of a step by source and reason.
type deferReason struct{ from, reason string }

// offerRound is the state of making the offers of one step.
type offerRound struct {
	p             *Planner
	now           time.Duration
	v             *View
	plan          *Plan
	remaining     int                 // offers that may still be made
	limitReason   string              // the limit that applies once remaining is 0
	deferredIndex map[deferReason]int // index in plan.Deferred
	considered    map[session.ID]bool
	unsafe        map[session.ID]time.Duration
}

// budget computes how many offers the limits allow. Offers that were planned and have not appeared in the book count both as in
// flight and as offered within the last minute.
func (r *offerRound) budget() {
	l, _ := r.v.Book.Limits()
	unseen := 0
	for i := range r.p.moves {
		if r.p.moves[i].phase == session.Free {
			unseen++
		}
	}
	inFlight, perMinute := l.InFlight-r.v.Book.Moving()-unseen, l.PerMinute-r.v.Book.RecentOffers()-unseen
	r.remaining, r.limitReason = MaxOffers, "the limit on offers in a step is reached"
	if inFlight < r.remaining {
		r.remaining, r.limitReason = inFlight, fmt.Sprintf("the limit of %d sessions in flight is reached", l.InFlight)
	}
	if perMinute < r.remaining {
		r.remaining, r.limitReason = perMinute, fmt.Sprintf("the limit of %d offers a minute is reached", l.PerMinute)
		if perMinute <= 0 && r.now >= r.v.Book.Now()+time.Second {
			r.plan.Tick = true
		}
	}
}

// deferAll records that all sessions wait because a limit is reached.
func (r *offerRound) deferAll(sources []*candidate) {
	for _, s := range sources {
		if s.owned > 0 {
			r.plan.Deferred = append(r.plan.Deferred, Deferred{From: s.c.Name, Sessions: s.owned, Reason: r.limitReason})
		}
	}
}

// readIdle reads the idle and unsafe sessions from the last reports of the sources, and returns the lanes of all sessions in
// order.
func (r *offerRound) readIdle(sources []*candidate) []uint8 {
	var has [256]bool
	r.unsafe = map[session.ID]time.Duration{}
	for _, s := range sources {
		q := r.p.queues[s.c.Name]
		q.idle = q.idle[:0]
		if q.readAt < 0 { // not read yet: it is not known which session goes first
			continue
		}
		for _, id := range s.c.Idle[:min(len(s.c.Idle), MaxExamined)] {
			if rec, ok := r.v.Book.Get(id); ok {
				q.idle = append(q.idle, entry{id, rec.Lane})
				has[rec.Lane] = true
			}
		}
		for _, e := range q.sessions {
			has[e.lane] = true
		}
		for _, u := range s.c.Unsafe[:min(len(s.c.Unsafe), MaxUnsafe)] {
			r.unsafe[u.ID] = u.Due
		}
	}
	var lanes []uint8
	for l := range has {
		if has[l] {
			lanes = append(lanes, uint8(l))
		}
	}
	return lanes
}

// offerLane offers the sessions of one lane from a list.
func (r *offerRound) offerLane(s *candidate, list []entry, lane uint8, idle bool) {
	at := 0
	if !idle { // the list is sorted by lane
		at, _ = slices.BinarySearchFunc(list, lane, func(e entry, l uint8) int { return cmp.Compare(e.lane, l) })
	}
	examined := 0
	for _, e := range list[at:] {
		if e.lane != lane {
			if idle {
				continue
			}
			break
		}
		if examined >= MaxExamined {
			r.deferSession(s, e.id, "the limit on sessions examined in a step is reached")
			break
		}
		if r.remaining <= 0 {
			r.deferSession(s, e.id, r.limitReason)
			break
		}
		if !r.considered[e.id] && r.offerSession(s, e.id) {
			examined++
		}
	}
}

// offerSession offers a session or records why it is deferred. It returns false if the source no longer owns the session or the
// session is already moving.
func (r *offerRound) offerSession(s *candidate, id session.ID) bool {
	p := r.p
	rec, ok := r.v.Book.Get(id)
	if !ok || rec.Phase != session.Pinned || rec.Owner != s.c.Name {
		return false
	}
	if _, moving := p.index[id]; moving {
		return false
	}
	r.considered[id] = true
	if reason := p.backoffReason(r.now, id); reason != "" {
		r.deferSession(s, id, reason)
		return true
	}
	limits, _ := r.v.Book.Limits()
	if due := r.unsafe[id]; due > r.now+limits.StepTimeout {
		r.deferSession(s, id, "an unsafe query may be open until "+formatTime(due))
		return true
	}
	to, wait, reason := p.pick(r.now, r.v, s, id)
	if to == nil {
		r.deferSession(s, id, reason)
		return true
	}
	to.plannedInbound++
	if wait {
		r.deferSession(s, id, reasonAwaitingSlots)
		r.remaining-- // keeps a place in flight for it, so that later sessions do not use up the limit
		return true
	}
	r.remaining--
	r.plan.Body.Offers = append(r.plan.Body.Offers, session.Offer{ID: id, Epoch: rec.Epoch, From: s.c.Name, To: to.c.Name})
	p.index[id] = len(p.moves)
	p.moves = append(p.moves, move{id: id, from: s.c.Name, to: to.c.Name, epoch: rec.Epoch, phaseSince: rec.Since, offeredAt: r.now})
	return true
}

// deferSession counts a session that is not offered, by source and reason.
func (r *offerRound) deferSession(s *candidate, id session.ID, reason string) {
	k := deferReason{s.c.Name, reason}
	i, ok := r.deferredIndex[k]
	if !ok {
		i = len(r.plan.Deferred)
		r.deferredIndex[k] = i
		r.plan.Deferred = append(r.plan.Deferred, Deferred{From: s.c.Name, Reason: reason, Example: id})
	}
	r.plan.Deferred[i].Sessions++
}

// rescan reads the sessions of leaving co-ordinators from the book, those of at most one co-ordinator in a step.
func (p *Planner) rescan(now time.Duration, v *View, sources []*candidate) {
	var next *queue
	var source *candidate
	for _, s := range sources {
		q := p.queues[s.c.Name]
		if q == nil {
			q = &queue{readAt: -RescanInterval}
			p.queues[s.c.Name] = q
		}
		if s.owned > 0 && now >= q.readAt+RescanInterval && (next == nil || q.readAt < next.readAt) {
			next, source = q, s
		}
	}
	for name := range p.queues { // the order does not matter: entries are independent
		if s := p.site.find(name); s == nil || !s.c.Leaving {
			delete(p.queues, name)
		}
	}
	if next == nil {
		return
	}
	next.readAt, next.sessions = now, next.sessions[:0]
	v.Book.ByOwner(source.c.Name, func(r session.Record) bool {
		if r.Phase == session.Pinned {
			next.sessions = append(next.sessions, entry{r.ID, r.Lane})
		}
		return true
	})
	slices.SortStableFunc(next.sessions, func(a, b entry) int { return cmp.Compare(a.lane, b.lane) })
}
