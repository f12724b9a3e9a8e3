package migrate

import (
	"cmp"
	"slices"
	"time"

	"birchcart/internal/fleet/session"
)

// ShortListSize is how many receivers in a zone are considered for one session. With twice as many, sessions spread over more
// receivers and a step takes correspondingly longer; with half as many, a step makes fewer offers when many slots are missing.
const ShortListSize = 16

// MaxShortListRebuilds limits how many short lists are rebuilt in a step because all receivers of a list were full. With twice as
// many a step takes correspondingly longer; with half as many, offers wait for the next step.
const MaxShortListRebuilds = 16

// Tier ranks a receiver by its place in the order of work; lower is better.
type Tier uint8

// Tiers of receivers, best first.
const (
	Staying   Tier = iota // stays, or is back: a session that moves there moves once
	LateWave              // goes out in the later half of the waves still to come
	EarlyWave             // goes out earlier: used only while no other receiver has capacity
)

// Receiver is a co-ordinator that may take a session.
type Receiver struct {
	Index       int // its index among the co-ordinators, which are sorted by name
	Count       int // number of co-ordinators
	Name        string
	Zone        string
	Rank        int
	Tier        Tier
	Load        int  // sessions that it owns or that are offered to it
	MaxSessions int  // sessions that it may own
	NeedsSlots  bool // one more session needs slots that it does not have yet
	Distance    int  // from the leaving co-ordinator in the ring of names
}

// Prefer compares two receivers for a session of a leaving co-ordinator. It returns a negative number if a is better.
type Prefer func(id session.ID, from *Coordinator, a, b *Receiver) int

// LookAhead prefers receivers that stay or are back, then those that go out late. Within a tier it prefers the zone of the
// session's owner, then the receivers that go out last, then those that need no more slots, then the least full.
func LookAhead(_ session.ID, from *Coordinator, a, b *Receiver) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), compareBool(b.Zone == from.Zone, a.Zone == from.Zone), cmp.Compare(b.Rank, a.Rank),
		compareBool(a.NeedsSlots, b.NeedsSlots), CompareLoad(a, b), cmp.Compare(a.Index, b.Index))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	if a == b {
		return 0
	} else if a {
		return 1
	}
	return -1
}

// CompareLoad orders receivers by the used share of their capacity, lowest first.
func CompareLoad(a, b *Receiver) int { return cmp.Compare(a.Load*b.MaxSessions, b.Load*a.MaxSessions) }

// candidate is a co-ordinator and its state in one step.
type candidate struct {
	Receiver
	c              *Coordinator
	owned          int
	inbound        int    // sessions offered to it
	plannedInbound int    // sessions that this step plans to move to it
	eligible       bool   // may take sessions at all
	slotCapacity   int    // sessions that its slots suffice for, including slots in transfer to it
	heldCapacity   int    // sessions that the slots it holds suffice for
	reservedSlots  int    // slots that it keeps at each replica while it is leaving
	slotsByReplica []int  // includes slots in transfer to it; nil: not read yet
	lackingReplica string // a replica that has no more slots for it now
}

// site holds the state of all co-ordinators in one step. It is rebuilt in each step.
type site struct {
	candidates     []candidate
	byName         map[string]int
	sources        []*candidate    // live co-ordinators that are leaving, by deadline
	inTransfer     map[slotKey]int // slots in transfer, by target
	arriving       map[slotKey]int // inTransfer, and slots in proposed shifts that have not appeared yet
	spare          map[slotKey]int // slots that a leaving co-ordinator can give up, or free slots if the name is ""
	shiftCounts    map[shiftKey]int
	shiftOrder     []shiftKey
	shortLists     map[string][]*candidate // by listKey
	rebuilds       int                     // short lists rebuilt in this step
	openPerSession map[string]float64      // open queries per session, by leaving co-ordinator
}

// find returns the candidate of that name, or nil if there is none.
func (s *site) find(name string) *candidate {
	if i, ok := s.byName[name]; ok {
		return &s.candidates[i]
	}
	return nil
}

// reset rebuilds the site from the view: how many sessions each co-ordinator owns and is about to receive.
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
	for name, until := range p.targetBackoff { // the order does not matter: entries are independent
		if now >= until {
			delete(p.targetBackoff, name)
		}
	}
}

// listKey returns the key of the short list for sessions of from. With LookAhead all co-ordinators of a zone share a list.
func (s *site) listKey(p *Planner, from *candidate) string {
	if p.lookAhead {
		return "zone " + from.c.Zone
	}
	return from.c.Name
}

// shortList returns the receivers that may take sessions of a leaving co-ordinator. With LookAhead the list is sorted and
// truncated to ShortListSize; there is one for each zone, since the order depends on the zone of the owner.
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

// pick returns the best receiver for a session, or the reason why there is none. If wait is set, the session is offered to the
// receiver only once slots for it have arrived there.
func (p *Planner) pick(now time.Duration, v *View, from *candidate, id session.ID) (best *candidate, wait bool, reason string) {
	s, slotReason := &p.site, ""
	reason = "no other has room"
	for {
		list, barred := s.shortList(p, from), false
		if best, barred = p.best(now, v, from, id, list); barred {
			reason = "co-ordinators with capacity did not take it recently"
		}
		switch {
		case best == nil && len(list) == ShortListSize && s.rebuilds < MaxShortListRebuilds:
			s.rebuilds++
			delete(s.shortLists, s.listKey(p, from))
			if next := s.shortList(p, from); len(next) > 0 && next[0] != list[0] {
				continue
			}
			return nil, false, cmp.Or(slotReason, reason)
		case best == nil:
			return nil, false, cmp.Or(slotReason, reason)
		case best.NeedsSlots && !s.requestSlots(p, v, best):
			slotReason = "co-ordinators with capacity lack slots at " + best.lackingReplica
			continue
		}
		return best, v.SessionsPerSlot > 0 && best.owned+best.inbound+best.plannedInbound+1 > best.heldCapacity, ""
	}
}

// best returns the best receiver of a list by the preference. barred reports that a receiver with capacity was left out because it
// recently failed to take the session.
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
