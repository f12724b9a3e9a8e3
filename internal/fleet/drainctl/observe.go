package drainctl

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"birchcart/internal/fleet/maintenance"
)

// sortedList is the list by name, each once: the first said counts.
func sortedList(in []maintenance.Machine) []maintenance.Machine {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b maintenance.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b maintenance.Machine) bool { return a.Name == b.Name })
}

func sortedMembers(in []Member) []Member {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b Member) bool { return a.Name == b.Name })
}

// seen is the inventory as it is seen now, by name. What the agreed one has and the list has not is gone; a
// co-ordinator of which no news came is unknown at first.
func (l *Lead) seen() []maintenance.Machine {
	if l.merged == nil {
		for _, m := range l.list {
			m.Kind, m.Voter = maintenance.Replica, false
			l.merged = append(l.merged, m)
		}
		for _, m := range l.members {
			l.merged = append(l.merged, maintenance.Machine{Name: m.Name, Kind: maintenance.Coordinator, Zone: m.Zone, Status: m.Status,
				Started: m.Started, Voter: m.Voter})
		}
		l.merged = sortedList(l.merged)
	}
	all := l.merged[:len(l.merged):len(l.merged)]
	for _, m := range l.state.Machines() {
		if _, ok := slices.BinarySearchFunc(l.merged, m.Name, byName); ok {
			continue
		}
		if m.Status != maintenance.Gone {
			m.Status = maintenance.Gone
			if m.Kind == maintenance.Coordinator && l.now < l.since+MissingFor {
				m.Status = maintenance.Unknown
			}
		}
		all = append(all, m)
	}
	if len(all) == len(l.merged) {
		return all
	}
	return sortedList(all)
}

func byName(m maintenance.Machine, name string) int { return cmp.Compare(m.Name, name) }

// changed says whether the agreed inventory says something else. What is not told of a start is no news, nor is that
// one is gone which it does not have.
func (l *Lead) changed(m maintenance.Machine) bool {
	old, ok := l.state.Machine(m.Name)
	if m.Status == maintenance.Unknown || m.Started == 0 && m.Status != maintenance.Up {
		m.Started = old.Started
	}
	return ok && m != old || !ok && m.Status != maintenance.Gone
}

// load is the sum of what the co-ordinators told of theirs lately, scaled to all that may be serving: those that are not
// gone, though nothing is known of them, as a cut-off one goes on serving. Unknown if too few told.
func (l *Lead) load(age time.Duration) (load float64, known bool) {
	serving, told := 0, 0
	for _, m := range l.members {
		if m.Status == maintenance.Gone {
			continue
		}
		serving++
		if m.Status == maintenance.Up && m.LoadKnown && m.LoadAge+l.now-l.membersAt <= age {
			told++
			load += m.Load
		}
	}
	for _, m := range l.state.Machines() { // of whom this leader has no news at all
		if m.Kind != maintenance.Coordinator || m.Status == maintenance.Gone {
			continue
		}
		if _, ok := slices.BinarySearchFunc(l.members, m.Name, func(o Member, name string) int { return cmp.Compare(o.Name, name) }); !ok {
			serving++
		}
	}
	if told == 0 || float64(told) < LoadShare*float64(serving) {
		return 0, false
	}
	return load * float64(serving) / float64(told), true
}

// putObserve proposes what changed against the agreed inventory, or all of it if that is wanted; while something is open
// also when the last look is half as old as it may be. It is said to be of when the older of the two lists was
// confirmed, so that what is not confirmed any more grows old in the agreed state too.
func (l *Lead) putObserve(limits maintenance.Limits, open []maintenance.Item) {
	if !l.listed || !l.known || l.looked && l.now < l.lookedAt+ObserveSoonest {
		return
	}
	at := max(l.time-(l.now-min(l.listAt, l.membersAt)), 0)
	last, ever := l.state.ObservedAt()
	if ever && at < last || !l.news {
		return
	}
	l.news = false
	body := maintenance.ObserveBody{Complete: l.state.NeedsCompleteInventory(), ObservedAt: at}
	all := l.seen()
	for _, m := range all {
		if body.Complete || l.changed(m) {
			body.Machines = append(body.Machines, m)
		}
	}
	if cut := fits(body.Machines); cut < len(body.Machines) {
		l.inParts(&body, last)
	}
	body.Load, body.LoadKnown = l.load(limits.LoadAge)
	if len(body.Machines) == 0 && !body.Complete {
		if len(open) == 0 {
			return
		}
		_, _, known := l.state.ObservedLoad()
		fresh := min(limits.ListAge, limits.LoadAge) / 2
		if at-last < fresh && (known || !body.LoadKnown) {
			return
		}
	}
	if l.propose("observe", "observe", body, func() bool {
		when, ok := l.state.ObservedAt()
		return ok && when >= body.ObservedAt && len(l.differs(body.Machines)) == 0
	}) {
		l.looked, l.lookedAt = true, l.now
	}
}

// inParts makes a part of an observation that is too large for one command: changes that fit, or, once there are none left of
// a whole one, the word that all is as agreed. A part is of the time of the look before it, so that it makes nothing of
// what is not told yet look newer than it is.
func (l *Lead) inParts(body *maintenance.ObserveBody, last time.Duration) {
	whole := body.Complete
	body.Complete, body.Machines = false, l.differs(body.Machines)
	cut := fits(body.Machines)
	switch {
	case whole && len(body.Machines) == 0:
		body.Complete, body.Sum = true, l.state.InventoryDigest()
	case whole || cut < len(body.Machines):
		body.Machines = body.Machines[:cut]
		if last > 0 {
			body.ObservedAt = last
		}
	}
}

// fits is how many of the machines go into PartMost bytes, one at the least.
func fits(ms []maintenance.Machine) int {
	size := 0
	for i, m := range ms {
		raw, err := json.Marshal(m)
		if size += len(raw) + 1; err == nil && size > PartMost && i > 0 {
			return i
		}
	}
	return len(ms)
}

// differs are those that the agreed inventory does not have as they are.
func (l *Lead) differs(ms []maintenance.Machine) []maintenance.Machine {
	return slices.DeleteFunc(slices.Clone(ms), func(m maintenance.Machine) bool { return !l.changed(m) })
}
