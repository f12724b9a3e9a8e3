package migrate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// reasonAwaitingSlots is why a session is kept that goes once slots have come.
const reasonAwaitingSlots = "slots are on their way to where it goes"

// offer makes offers: by lane, in it idle sessions first, in each those of the one whose deadline is the first.
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
			s.reservedSlots = 1 // what stays for now goes on there
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

func (s *candidate) deadline() time.Duration {
	if s.c.Deadline == 0 {
		return 1<<63 - 1
	}
	return s.c.Deadline
}

// reason of a session's being kept, by source.
type deferReason struct{ from, reason string }

// round is the making of the offers of one step.
type offerRound struct {
	p             *Planner
	now           time.Duration
	v             *View
	plan          *Plan
	remaining     int    // offers that may still be made
	limitReason   string // what would keep the next one once left is 0
	deferredIndex map[deferReason]int
	considered    map[session.ID]bool
	unsafe        map[session.ID]time.Duration
}

// budget is what the limits leave. What was planned and is not seen yet counts as both in flight and begun.
func (r *offerRound) budget() {
	l, _ := r.v.Book.Limits()
	unseen := 0
	for i := range r.p.moves {
		if r.p.moves[i].phase == session.Free {
			unseen++
		}
	}
	flying, minute := l.InFlight-r.v.Book.Moving()-unseen, l.PerMinute-r.v.Book.RecentOffers()-unseen
	r.remaining, r.limitReason = MaxOffers, "so many are offered in a step"
	if flying < r.remaining {
		r.remaining, r.limitReason = flying, fmt.Sprintf("%d are in flight", l.InFlight)
	}
	if minute < r.remaining {
		r.remaining, r.limitReason = minute, fmt.Sprintf("%d were offered within a minute", l.PerMinute)
		if minute <= 0 && r.now >= r.v.Book.Now()+time.Second {
			r.plan.Tick = true
		}
	}
}

// none says that all sessions wait for the limits.
func (r *offerRound) deferAll(sources []*candidate) {
	for _, s := range sources {
		if s.owned > 0 {
			r.plan.Deferred = append(r.plan.Deferred, Deferred{From: s.c.Name, Sessions: s.owned, Reason: r.limitReason})
		}
	}
}

// idle reads the sources' last words, and gives the lanes there are, in order.
func (r *offerRound) readIdle(sources []*candidate) []uint8 {
	var has [256]bool
	r.unsafe = map[session.ID]time.Duration{}
	for _, s := range sources {
		q := r.p.queues[s.c.Name]
		q.idle = q.idle[:0]
		if q.readAt < 0 { // not read yet, so that nothing is known of what goes first
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

// some offers the sessions of one lane out of a list.
func (r *offerRound) offerLane(s *candidate, list []entry, lane uint8, idle bool) {
	at := 0
	if !idle { // in order of lanes
		at, _ = slices.BinarySearchFunc(list, lane, func(e entry, l uint8) int { return cmp.Compare(e.lane, l) })
	}
	looked := 0
	for _, e := range list[at:] {
		if e.lane != lane {
			if idle {
				continue
			}
			break
		}
		if looked >= MaxExamined {
			r.deferSession(s, e.id, "so many are looked at in a step")
			break
		}
		if r.remaining <= 0 {
			r.deferSession(s, e.id, r.limitReason)
			break
		}
		if !r.considered[e.id] && r.offerSession(s, e.id) {
			looked++
		}
	}
}

// one offers a session, or keeps it and says why; false: it is no more the source's, or on its way.
func (r *offerRound) offerSession(s *candidate, id session.ID) bool {
	p := r.p
	rec, ok := r.v.Book.Get(id)
	if !ok || rec.Phase != session.Pinned || rec.Owner != s.c.Name {
		return false
	}
	if _, flying := p.index[id]; flying {
		return false
	}
	r.considered[id] = true
	if why := p.backoffReason(r.now, id); why != "" {
		r.deferSession(s, id, why)
		return true
	}
	limits, _ := r.v.Book.Limits()
	if due := r.unsafe[id]; due > r.now+limits.StepTimeout {
		r.deferSession(s, id, "an unsafe query of it may be open until "+formatTime(due))
		return true
	}
	to, wait, why := p.pick(r.now, r.v, s, id)
	if to == nil {
		r.deferSession(s, id, why)
		return true
	}
	to.plannedInbound++
	if wait {
		r.deferSession(s, id, reasonAwaitingSlots)
		r.remaining-- // its place, while what comes after it could take the room
		return true
	}
	r.remaining--
	r.plan.Body.Offers = append(r.plan.Body.Offers, session.Offer{ID: id, Epoch: rec.Epoch, From: s.c.Name, To: to.c.Name})
	p.index[id] = len(p.moves)
	p.moves = append(p.moves, move{id: id, from: s.c.Name, to: to.c.Name, epoch: rec.Epoch, phaseSince: rec.Since, offeredAt: r.now})
	return true
}

// keep counts a session that stays, by source and reason.
func (r *offerRound) deferSession(s *candidate, id session.ID, why string) {
	k := deferReason{s.c.Name, why}
	i, ok := r.deferredIndex[k]
	if !ok {
		i = len(r.plan.Deferred)
		r.deferredIndex[k] = i
		r.plan.Deferred = append(r.plan.Deferred, Deferred{From: s.c.Name, Reason: why, Example: id})
	}
	r.plan.Deferred[i].Sessions++
}

// read takes the sessions of one that leaves out of the book, at most one such in a step.
func (p *Planner) rescan(now time.Duration, v *View, sources []*candidate) {
	var next *queue
	var who *candidate
	for _, s := range sources {
		q := p.queues[s.c.Name]
		if q == nil {
			q = &queue{readAt: -RescanInterval}
			p.queues[s.c.Name] = q
		}
		if s.owned > 0 && now >= q.readAt+RescanInterval && (next == nil || q.readAt < next.readAt) {
			next, who = q, s
		}
	}
	for name := range p.queues { // in any order: each is on its own
		if s := p.site.find(name); s == nil || !s.c.Leaving {
			delete(p.queues, name)
		}
	}
	if next == nil {
		return
	}
	next.readAt, next.sessions = now, next.sessions[:0]
	v.Book.ByOwner(who.c.Name, func(r session.Record) bool {
		if r.Phase == session.Pinned {
			next.sessions = append(next.sessions, entry{r.ID, r.Lane})
		}
		return true
	})
	slices.SortStableFunc(next.sessions, func(a, b entry) int { return cmp.Compare(a.lane, b.lane) })
}
