package migrate

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// waitSlots is why a session is kept that goes once slots have come.
const waitSlots = "slots are on their way to where it goes"

// offer makes offers: by lane, in it idle sessions first, in each those of the one whose deadline is the first.
func (p *Planner) offer(now time.Duration, v *View, plan *Plan) {
	var sources []*place
	for i := range p.site.places {
		if s := &p.site.places[i]; s.c.Leaving && s.c.Live {
			sources = append(sources, s)
			if s.owned > 0 {
				p.site.open[s.c.Name] = float64(s.c.Room.Open) / float64(max(s.owned, s.c.Room.Told))
			}
		}
	}
	slices.SortStableFunc(sources, func(a, b *place) int { return cmp.Compare(a.deadline(), b.deadline()) })
	p.read(now, v, sources)
	r := &round{p: p, now: now, v: v, plan: plan, why: map[reason]int{}, done: map[session.ID]bool{}}
	r.budget()
	p.site.sources = sources
	for _, s := range sources {
		if s.owned > r.left {
			s.keeps = 1 // what stays for now goes on there
		}
	}
	if r.left <= 0 {
		r.none(sources)
		return
	}
	lanes := r.idle(sources)
	for _, lane := range lanes {
		for _, s := range sources {
			r.some(s, p.queues[s.c.Name].idle, lane, true)
		}
		for _, s := range sources {
			r.some(s, p.queues[s.c.Name].all, lane, false)
		}
	}
}

func (s *place) deadline() time.Duration {
	if s.c.Deadline == 0 {
		return 1<<63 - 1
	}
	return s.c.Deadline
}

// reason of a session's being kept, by source.
type reason struct{ from, why string }

// round is the making of the offers of one step.
type round struct {
	p      *Planner
	now    time.Duration
	v      *View
	plan   *Plan
	left   int    // offers that may still be made
	full   string // what would keep the next one once left is 0
	why    map[reason]int
	done   map[session.ID]bool
	unsafe map[session.ID]time.Duration
}

// budget is what the limits leave. What was planned and is not seen yet counts as both in flight and begun.
func (r *round) budget() {
	l, _ := r.v.Book.Limits()
	unseen := 0
	for i := range r.p.flights {
		if r.p.flights[i].phase == session.Free {
			unseen++
		}
	}
	flying, minute := l.InFlight-r.v.Book.Moving()-unseen, l.PerMinute-r.v.Book.RecentOffers()-unseen
	r.left, r.full = OffersMost, "so many are offered in a step"
	if flying < r.left {
		r.left, r.full = flying, fmt.Sprintf("%d are in flight", l.InFlight)
	}
	if minute < r.left {
		r.left, r.full = minute, fmt.Sprintf("%d were offered within a minute", l.PerMinute)
		if minute <= 0 && r.now >= r.v.Book.Now()+time.Second {
			r.plan.Tick = true
		}
	}
}

// none says that all sessions wait for the limits.
func (r *round) none(sources []*place) {
	for _, s := range sources {
		if s.owned > 0 {
			r.plan.Kept = append(r.plan.Kept, Kept{From: s.c.Name, Sessions: s.owned, Why: r.full})
		}
	}
}

// idle reads the sources' last words, and gives the lanes there are, in order.
func (r *round) idle(sources []*place) []uint8 {
	var has [256]bool
	r.unsafe = map[session.ID]time.Duration{}
	for _, s := range sources {
		q := r.p.queues[s.c.Name]
		q.idle = q.idle[:0]
		if q.at < 0 { // not read yet, so that nothing is known of what goes first
			continue
		}
		for _, id := range s.c.Idle[:min(len(s.c.Idle), IdleMost)] {
			if rec, ok := r.v.Book.Get(id); ok {
				q.idle = append(q.idle, entry{id, rec.Lane})
				has[rec.Lane] = true
			}
		}
		for _, e := range q.all {
			has[e.lane] = true
		}
		for _, u := range s.c.Unsafe[:min(len(s.c.Unsafe), UnsafeMost)] {
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
func (r *round) some(s *place, list []entry, lane uint8, idle bool) {
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
		if looked >= IdleMost {
			r.keep(s, e.id, "so many are looked at in a step")
			break
		}
		if r.left <= 0 {
			r.keep(s, e.id, r.full)
			break
		}
		if !r.done[e.id] && r.one(s, e.id) {
			looked++
		}
	}
}

// one offers a session, or keeps it and says why; false: it is no more the source's, or on its way.
func (r *round) one(s *place, id session.ID) bool {
	p := r.p
	rec, ok := r.v.Book.Get(id)
	if !ok || rec.Phase != session.Pinned || rec.Owner != s.c.Name {
		return false
	}
	if _, flying := p.index[id]; flying {
		return false
	}
	r.done[id] = true
	if why := p.rested(r.now, id); why != "" {
		r.keep(s, id, why)
		return true
	}
	limits, _ := r.v.Book.Limits()
	if due := r.unsafe[id]; due > r.now+limits.StepTimeout {
		r.keep(s, id, "an unsafe query of it may be open until "+clock(due))
		return true
	}
	to, wait, why := p.pick(r.now, r.v, s, id)
	if to == nil {
		r.keep(s, id, why)
		return true
	}
	to.here++
	if wait {
		r.keep(s, id, waitSlots)
		r.left-- // its place, while what comes after it could take the room
		return true
	}
	r.left--
	r.plan.Body.Offers = append(r.plan.Body.Offers, session.Offer{ID: id, Epoch: rec.Epoch, From: s.c.Name, To: to.c.Name})
	p.index[id] = len(p.flights)
	p.flights = append(p.flights, flight{id: id, from: s.c.Name, to: to.c.Name, epoch: rec.Epoch, since: rec.Since, at: r.now})
	return true
}

// keep counts a session that stays, by source and reason.
func (r *round) keep(s *place, id session.ID, why string) {
	k := reason{s.c.Name, why}
	i, ok := r.why[k]
	if !ok {
		i = len(r.plan.Kept)
		r.why[k] = i
		r.plan.Kept = append(r.plan.Kept, Kept{From: s.c.Name, Why: why, Example: id})
	}
	r.plan.Kept[i].Sessions++
}

// read takes the sessions of one that leaves out of the book, at most one such in a step.
func (p *Planner) read(now time.Duration, v *View, sources []*place) {
	var next *queue
	var who *place
	for _, s := range sources {
		q := p.queues[s.c.Name]
		if q == nil {
			q = &queue{at: -RescanEvery}
			p.queues[s.c.Name] = q
		}
		if s.owned > 0 && now >= q.at+RescanEvery && (next == nil || q.at < next.at) {
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
	next.at, next.all = now, next.all[:0]
	v.Book.ByOwner(who.c.Name, func(r session.Record) bool {
		if r.Phase == session.Pinned {
			next.all = append(next.all, entry{r.ID, r.Lane})
		}
		return true
	})
	slices.SortStableFunc(next.all, func(a, b entry) int { return cmp.Compare(a.lane, b.lane) })
}
