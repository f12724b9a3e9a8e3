package sessionowner

import (
	"slices"

	"birchcart/internal/fleet/session"
)

// slot is a replica and what is in use there. S2 rests on it: used goes up only below held.
type slot struct {
	name       string
	used, held int
	head, tail *sess // whose first waiting query lacks one here, in their order
	blocked    int
	turns      int // of these, how many may try once more
}

// block lets a session wait for its turn.
func (l *slot) block(s *sess) {
	s.at = l
	s.prevSlot, s.nextSlot = l.tail, nil
	if l.tail == nil {
		l.head = s
	} else {
		l.tail.nextSlot = s
	}
	l.tail = s
	l.blocked++
}

func (l *slot) unblock(s *sess) {
	if s.prevSlot == nil {
		l.head = s.nextSlot
	} else {
		s.prevSlot.nextSlot = s.nextSlot
	}
	if s.nextSlot == nil {
		l.tail = s.prevSlot
	} else {
		s.nextSlot.prevSlot = s.prevSlot
	}
	s.prevSlot, s.nextSlot, s.at = nil, nil, nil
	l.blocked--
}

func (k *Keeper) slot(name string) *slot {
	l := k.slots[name]
	if l == nil {
		l = &slot{name: name, held: k.book.Pool().Held(k.name, name)}
		k.slots[name] = l
		k.sites = append(k.sites, l)
	}
	return l
}

// reserve takes a slot at each replica that the query needs, or none and says where one lacks. Where others wait for one it is
// their turn, unless woken says that it is this one's.
func (k *Keeper) reserve(q *query, woken *slot) *slot {
	for i, name := range q.needs {
		l := k.slot(name)
		if l.used >= l.held || l.head != nil && woken == nil {
			for _, name := range q.needs[:i] {
				k.slots[name].used--
			}
			return l
		}
		l.used++
	}
	return nil
}

// giveBack ends the use of a query's slots, and wakes who waits for them.
func (k *Keeper) giveBack(q *query) {
	for _, name := range q.needs {
		k.slots[name].used--
	}
	for _, name := range q.needs {
		l := k.slots[name]
		l.turns = l.blocked
	}
	for {
		var first *slot // whose turn came first, of those where one is free
		for _, name := range q.needs {
			if l := k.slots[name]; l.turn() && (first == nil || l.head.wait.head.no < first.head.wait.head.no) {
				first = l
			}
		}
		if first == nil {
			break
		}
		k.wake(first)
	}
	for i := range k.asked { // what is left may do now
		if k.asked[i].at == 0 {
			k.freed(&k.asked[i])
		}
	}
}

// turn says that one that waits for a slot here may try again.
func (l *slot) turn() bool { return l.turns > 0 && l.head != nil && l.used < l.held }

// wake lets the first try again that waits for a slot.
func (k *Keeper) wake(l *slot) {
	l.turns--
	s := l.head
	l.unblock(s)
	k.pump(s, l)
	if s.phase == Pinned && s.at == nil {
		k.settle(s)
	}
}

// shifted takes over how many slots may be used now, and what is asked for.
func (k *Keeper) shifted() {
	p := k.book.Pool()
	k.roomy = true
	for _, name := range k.o.Replicas {
		k.roomy = k.roomy && p.Held(k.name, name) > 0
	}
	old := k.asked
	k.asked = nil
	for _, t := range p.Asked(k.name) {
		w := paced{fence: t.Fence}
		if i := slices.IndexFunc(old, func(o paced) bool { return o.fence == t.Fence }); i >= 0 {
			w = old[i]
		}
		k.asked = append(k.asked, w)
	}
	for _, l := range k.sites {
		l.held = p.Held(k.name, l.name)
	}
	for i := range k.asked {
		if k.asked[i].at == 0 {
			k.freed(&k.asked[i])
		}
	}
	for _, l := range k.sites {
		for l.turns = l.blocked; l.turn(); {
			k.wake(l)
		}
	}
}

// free says again what was said of the slots, as long as it is asked for.
func (k *Keeper) free() {
	for i := range k.asked {
		if k.asked[i].at <= k.now {
			k.freed(&k.asked[i])
		}
	}
}

// freed says that a transfer leaves no more in use here than may be, once that is so.
func (k *Keeper) freed(w *paced) {
	t, ok := k.book.Pool().Transfer(w.fence)
	if !ok || !k.ready() {
		return
	}
	if l := k.slots[t.Replica]; l != nil && l.used > l.held {
		return
	}
	w.at = k.now + ActAgain
	k.act(session.Act{Kind: session.Freed, Fence: w.fence})
}

// trim forgets the replicas of which nothing is held, in use or waited for.
func (k *Keeper) trim() {
	k.sites = slices.DeleteFunc(k.sites, func(l *slot) bool {
		if l.used > 0 || l.held > 0 || l.head != nil {
			return false
		}
		delete(k.slots, l.name)
		return true
	})
}
