package migrate

import (
	"cmp"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// ShortListSize is how many receivers in a zone are looked at for one session. Twice as many: sessions spread over as many more,
// and a step takes so much longer; half: with many slots missing, fewer offers a step.
const ShortListSize = 16

// MaxShortListRebuilds short lists are made anew in a step because all of one were full. Twice as many: a step takes so much longer;
// half: offers wait for the next step.
const MaxShortListRebuilds = 16

// Tier of a receiver in the order of work: the lower is better.
type Tier uint8

// Tiers of receivers, the best first.
const (
	Staying   Tier = iota // stays, or is back: a session that moves there moves once
	LateWave              // goes in the later half of the waves still to come
	EarlyWave             // goes before: only while nobody else has room
)

// Receiver is one that may get a session.
type Receiver struct {
	Index       int // its place among the co-ordinators by name
	Count       int // how many there are
	Name        string
	Zone        string
	Rank        int
	Tier        Tier
	Load        int  // sessions, with those on their way to it
	MaxSessions int  // sessions
	NeedsSlots  bool // one more session needs slots that it does not have yet
	Distance    int  // in the ring of names from the one that leaves
}

// Prefer puts two receivers in order for a session of one that leaves: negative if a is the better.
type Prefer func(id session.ID, from *Coordinator, a, b *Receiver) int

// LookAhead prefers who is back or stays, then who goes late; in each the session's zone; of those that go the last;
// who needs no more slots; who is the least full.
func LookAhead(_ session.ID, from *Coordinator, a, b *Receiver) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), compareBool(b.Zone == from.Zone, a.Zone == from.Zone), cmp.Compare(b.Rank, a.Rank),
		compareBool(a.NeedsSlots, b.NeedsSlots), CompareLoad(a, b), cmp.Compare(a.Index, b.Index))
}

// truth puts false before true.
func compareBool(a, b bool) int {
	if a == b {
		return 0
	} else if a {
		return 1
	}
	return -1
}

// CompareLoad puts the one first of which less is taken.
func CompareLoad(a, b *Receiver) int { return cmp.Compare(a.Load*b.MaxSessions, b.Load*a.MaxSessions) }

// place is a co-ordinator in one step.
type candidate struct {
	Receiver
	c              *Coordinator
	owned          int
	inbound        int    // offered to it
	plannedInbound int    // offered to it, or put down for it, in this step
	eligible       bool   // may get sessions at all
	slotCapacity   int    // sessions that its slots are enough for, with those on their way to it
	heldCapacity   int    // sessions that the slots in its hand are enough for
	reservedSlots  int    // slots at each replica, while it leaves
	slotsByReplica []int  // slots by replica, with those on their way; nil: not read yet
	lackingReplica string // a replica at which no more slots are to be had for it now
}

// site is all of them, made anew in each step.
type site struct {
	candidates     []candidate
	byName         map[string]int
	sources        []*candidate    // live ones that leave, by deadline
	inTransfer     map[slotKey]int // slots in transfer, by their target
	arriving       map[slotKey]int // these, and those that were asked for
	spare          map[slotKey]int // that those who leave, or for "" nobody holds, can give
	shiftCounts    map[shiftKey]int
	shiftOrder     []shiftKey
	shortLists     map[string][]*candidate // by zone
	rebuilds       int                     // short lists that ran out in this step
	openPerSession map[string]float64      // of one that leaves: open queries of a session
}

func (s *site) find(name string) *candidate {
	if i, ok := s.byName[name]; ok {
		return &s.candidates[i]
	}
	return nil
}

// count puts together who owns and awaits how many.
func (s *site) reset(p *Planner, now time.Duration, v *View) {
	n := len(v.Coordinators)
	*s = site{candidates: s.candidates[:0], byName: make(map[string]int, n), inTransfer: map[slotKey]int{}, arriving: map[slotKey]int{},
		spare: map[slotKey]int{}, shiftCounts: map[shiftKey]int{}, shortLists: map[string][]*candidate{}, openPerSession: map[string]float64{}}
	var ranks []int
	for i := range v.Coordinators {
		c := &v.Coordinators[i]
		if c.Rank >= 0 && !c.Leaving {
			ranks = append(ranks, c.Rank)
		}
		s.byName[c.Name] = i
		s.candidates = append(s.candidates, candidate{
			Receiver: Receiver{Index: i, Count: n, Name: c.Name, Zone: c.Zone, Rank: c.Rank, MaxSessions: max(1, c.Capacity.MaxSessions)},
			c:        c, owned: v.Book.Owned(c.Name), eligible: c.Live && !c.Leaving && now >= p.targetBackoff[c.Name],
		})
	}
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	for i := range s.candidates {
		pl := &s.candidates[i]
		switch {
		case pl.c.Rank < 0:
			pl.Tier = Staying
		case len(ranks) > 0 && pl.c.Rank >= ranks[len(ranks)/2]:
			pl.Tier = LateWave
		default:
			pl.Tier = EarlyWave
		}
		pl.Load = pl.owned
	}
	for _, f := range p.moves {
		if to := s.find(f.to); to != nil && f.phase != session.HandedOver {
			to.inbound++
			to.Load++
		}
	}
	s.countTransfers(p, now, v)
	for name, until := range p.targetBackoff { // in any order: each is on its own
		if now >= until {
			delete(p.targetBackoff, name)
		}
	}
}

// listKey: by LookAhead the list is the same for all of a zone.
func (s *site) listKey(p *Planner, from *candidate) string {
	if p.lookAhead {
		return "zone " + from.c.Zone
	}
	return from.c.Name
}

// shortList is who may get sessions of one that leaves: of each zone apart, since that is looked at before what is in it.
func (s *site) shortList(p *Planner, from *candidate) []*candidate {
	key := s.listKey(p, from)
	if l, ok := s.shortLists[key]; ok {
		return l
	}
	l := make([]*candidate, 0, len(s.candidates))
	for i := range s.candidates {
		to := &s.candidates[i]
		if to != from && to.eligible && to.lackingReplica == "" && to.c.spareSessions(to.owned, to.inbound+to.plannedInbound, s.openPerSession[from.c.Name]) > 0 {
			l = append(l, to)
		}
	}
	if p.lookAhead {
		slices.SortFunc(l, func(a, b *candidate) int { return LookAhead(session.ID{}, from.c, &a.Receiver, &b.Receiver) })
		l = l[:min(len(l), ShortListSize)]
	}
	s.shortLists[key] = l
	return l
}

// pick is the best receiver for a session, or why there is none. wait: it is to have the session once its slots are there.
func (p *Planner) pick(now time.Duration, v *View, from *candidate, id session.ID) (best *candidate, wait bool, why string) {
	s, lack := &p.site, ""
	why = "no other has room"
	for {
		list, again := s.shortList(p, from), false
		if best, again = p.best(now, v, from, id, list); again {
			why = "who has room did not take it of late"
		}
		switch {
		case best == nil && len(list) == ShortListSize && s.rebuilds < MaxShortListRebuilds:
			s.rebuilds++
			delete(s.shortLists, s.listKey(p, from))
			if next := s.shortList(p, from); len(next) > 0 && next[0] != list[0] {
				continue
			}
			return nil, false, cmp.Or(lack, why)
		case best == nil:
			return nil, false, cmp.Or(lack, why)
		case best.NeedsSlots && !s.requestSlots(p, v, best):
			lack = "who has room lacks slots at " + best.lackingReplica
			continue
		}
		return best, v.SessionsPerSlot > 0 && best.owned+best.inbound+best.plannedInbound+1 > best.heldCapacity, ""
	}
}

// best of a list, by the preference. barred: one with room was left out since it did not take the session of late.
func (p *Planner) best(now time.Duration, v *View, from *candidate, id session.ID, list []*candidate) (best *candidate, barred bool) {
	s, n := &p.site, len(p.site.candidates)
	for _, to := range list {
		if to.lackingReplica != "" || to.c.spareSessions(to.owned, to.inbound+to.plannedInbound, s.openPerSession[from.c.Name]) <= 0 {
			continue
		}
		if p.isExcluded(now, id, to.c.Name) {
			barred = true
			continue
		}
		to.Load = to.owned + to.inbound + to.plannedInbound
		to.Distance = (to.Index - from.Index + n) % n
		to.NeedsSlots = s.needsSlots(v, to)
		if best == nil || p.prefer(id, from.c, &to.Receiver, &best.Receiver) < 0 {
			best = to
		}
	}
	return best, barred
}
