package migrate

import (
	"cmp"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// ShortList is how many receivers in a zone are looked at for one session. Twice as many: sessions spread over as many more,
// and a step takes so much longer; half: with many slots missing, fewer offers a step.
const ShortList = 16

// RebuildMost short lists are made anew in a step because all of one were full. Twice as many: a step takes so much longer;
// half: offers wait for the next step.
const RebuildMost = 16

// Tier of a receiver in the order of work: the lower is better.
type Tier uint8

// Tiers of receivers, the best first.
const (
	Safe Tier = iota // stays, or is back: a session that moves there moves once
	Late             // goes in the later half of the waves still to come
	Soon             // goes before: only while nobody else has room
)

// Receiver is one that may get a session.
type Receiver struct {
	At       int // its place among the co-ordinators by name
	Of       int // how many there are
	Name     string
	Zone     string
	Rank     int
	Tier     Tier
	Load     int  // sessions, with those on their way to it
	Most     int  // sessions
	NoSlots  bool // one more session needs slots that it does not have yet
	Distance int  // in the ring of names from the one that leaves
}

// Prefer puts two receivers in order for a session of one that leaves: negative if a is the better.
type Prefer func(id session.ID, from *Coordinator, a, b *Receiver) int

// LookAhead prefers who is back or stays, then who goes late; in each the session's zone; of those that go the last;
// who needs no more slots; who is the least full.
func LookAhead(_ session.ID, from *Coordinator, a, b *Receiver) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), truth(b.Zone == from.Zone, a.Zone == from.Zone), cmp.Compare(b.Rank, a.Rank),
		truth(a.NoSlots, b.NoSlots), Fuller(a, b), cmp.Compare(a.At, b.At))
}

// truth puts false before true.
func truth(a, b bool) int {
	if a == b {
		return 0
	} else if a {
		return 1
	}
	return -1
}

// Fuller puts the one first of which less is taken.
func Fuller(a, b *Receiver) int { return cmp.Compare(a.Load*b.Most, b.Load*a.Most) }

// place is a co-ordinator in one step.
type place struct {
	Receiver
	c       *Coordinator
	owned   int
	inbound int    // offered to it
	here    int    // offered to it, or put down for it, in this step
	takes   bool   // may get sessions at all
	slots   int    // sessions that its slots are enough for, with those on their way to it
	held    int    // sessions that the slots in its hand are enough for
	keeps   int    // slots at each replica, while it leaves
	have    []int  // slots by replica, with those on their way; nil: not read yet
	lack    string // a replica at which no more slots are to be had for it now
}

// site is all of them, made anew in each step.
type site struct {
	places   []place
	byName   map[string]int
	sources  []*place        // live ones that leave, by deadline
	way      map[slotKey]int // slots in transfer, by their target
	arriving map[slotKey]int // these, and those that were asked for
	spare    map[slotKey]int // that those who leave, or for "" nobody holds, can give
	asked    map[shiftKey]int
	askOrder []shiftKey
	short    map[string][]*place // by zone
	rebuilt  int                 // short lists that ran out in this step
	open     map[string]float64  // of one that leaves: open queries of a session
}

func (s *site) find(name string) *place {
	if i, ok := s.byName[name]; ok {
		return &s.places[i]
	}
	return nil
}

// count puts together who owns and awaits how many.
func (s *site) count(p *Planner, now time.Duration, v *View) {
	n := len(v.Coordinators)
	*s = site{places: s.places[:0], byName: make(map[string]int, n), way: map[slotKey]int{}, arriving: map[slotKey]int{},
		spare: map[slotKey]int{}, asked: map[shiftKey]int{}, short: map[string][]*place{}, open: map[string]float64{}}
	var ranks []int
	for i := range v.Coordinators {
		c := &v.Coordinators[i]
		if c.Rank >= 0 && !c.Leaving {
			ranks = append(ranks, c.Rank)
		}
		s.byName[c.Name] = i
		s.places = append(s.places, place{
			Receiver: Receiver{At: i, Of: n, Name: c.Name, Zone: c.Zone, Rank: c.Rank, Most: max(1, c.Room.Sessions)},
			c:        c, owned: v.Book.Owned(c.Name), takes: c.Live && !c.Leaving && now >= p.rests[c.Name],
		})
	}
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	for i := range s.places {
		pl := &s.places[i]
		switch {
		case pl.c.Rank < 0:
			pl.Tier = Safe
		case len(ranks) > 0 && pl.c.Rank >= ranks[len(ranks)/2]:
			pl.Tier = Late
		default:
			pl.Tier = Soon
		}
		pl.Load = pl.owned
	}
	for _, f := range p.flights {
		if to := s.find(f.to); to != nil && f.phase != session.HandedOver {
			to.inbound++
			to.Load++
		}
	}
	s.transfers(p, now, v)
	for name, until := range p.rests { // in any order: each is on its own
		if now >= until {
			delete(p.rests, name)
		}
	}
}

// listKey: by LookAhead the list is the same for all of a zone.
func (s *site) listKey(p *Planner, from *place) string {
	if p.own {
		return "zone " + from.c.Zone
	}
	return from.c.Name
}

// shortList is who may get sessions of one that leaves: of each zone apart, since that is looked at before what is in it.
func (s *site) shortList(p *Planner, from *place) []*place {
	key := s.listKey(p, from)
	if l, ok := s.short[key]; ok {
		return l
	}
	l := make([]*place, 0, len(s.places))
	for i := range s.places {
		to := &s.places[i]
		if to != from && to.takes && to.lack == "" && to.c.room(to.owned, to.inbound+to.here, s.open[from.c.Name]) > 0 {
			l = append(l, to)
		}
	}
	if p.own {
		slices.SortFunc(l, func(a, b *place) int { return LookAhead(session.ID{}, from.c, &a.Receiver, &b.Receiver) })
		l = l[:min(len(l), ShortList)]
	}
	s.short[key] = l
	return l
}

// pick is the best receiver for a session, or why there is none. wait: it is to have the session once its slots are there.
func (p *Planner) pick(now time.Duration, v *View, from *place, id session.ID) (best *place, wait bool, why string) {
	s, lack := &p.site, ""
	why = "no other has room"
	for {
		list, again := s.shortList(p, from), false
		if best, again = p.best(now, v, from, id, list); again {
			why = "who has room did not take it of late"
		}
		switch {
		case best == nil && len(list) == ShortList && s.rebuilt < RebuildMost:
			s.rebuilt++
			delete(s.short, s.listKey(p, from))
			if next := s.shortList(p, from); len(next) > 0 && next[0] != list[0] {
				continue
			}
			return nil, false, cmp.Or(lack, why)
		case best == nil:
			return nil, false, cmp.Or(lack, why)
		case best.NoSlots && !s.ask(p, v, best):
			lack = "who has room lacks slots at " + best.lack
			continue
		}
		return best, v.PerSlot > 0 && best.owned+best.inbound+best.here+1 > best.held, ""
	}
}

// best of a list, by the preference. barred: one with room was left out since it did not take the session of late.
func (p *Planner) best(now time.Duration, v *View, from *place, id session.ID, list []*place) (best *place, barred bool) {
	s, n := &p.site, len(p.site.places)
	for _, to := range list {
		if to.lack != "" || to.c.room(to.owned, to.inbound+to.here, s.open[from.c.Name]) <= 0 {
			continue
		}
		if p.barred(now, id, to.c.Name) {
			barred = true
			continue
		}
		to.Load = to.owned + to.inbound + to.here
		to.Distance = (to.At - from.At + n) % n
		to.NoSlots = s.noSlots(v, to)
		if best == nil || p.prefer(id, from.c, &to.Receiver, &best.Receiver) < 0 {
			best = to
		}
	}
	return best, barred
}
