package exchange

import (
	"maps"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"birchcart/policy"
)

// drainOverlay applies the fleet's drains to discovery's list: a drained replica gets no new parts even if discovery lists it as
// up. It never makes a replica available that discovery does not. Its memory is bounded by the list and the latest set of drains.
type drainOverlay struct {
	entries   map[string]Endpoint // as discovery lists them, without removed ones
	drained   map[string]bool
	stale     bool // the last full list was read from disk
	onList    func(list []Endpoint, stale bool)
	onApplied func()
}

// setDrains is the message that replaces the set of replicas to drain.
type setDrains []string

// WatchReplicas enables SetDrains and reports the endpoint list; it must be called before Run. After each change, onList gets the
// complete list as discovery has it, sorted by name, and whether that list is a stale one from disk. onApplied is called once for
// each set passed to SetDrains; from then on the policy chooses none of the set's replicas for new parts. Either function may be
// nil. Both are called within a turn and must not block; they may keep their arguments.
func (e *Exchange) WatchReplicas(onList func(list []Endpoint, stale bool), onApplied func()) {
	e.drainOverlay = &drainOverlay{entries: map[string]Endpoint{}, drained: map[string]bool{}, onList: onList, onApplied: onApplied}
}

// SetDrains replaces the set of drained replicas: those that discovery lists as up are treated as draining. A name that is not on
// the list takes effect once it is listed. SetDrains does nothing unless WatchReplicas was called before.
func (e *Exchange) SetDrains(drained []string) { e.enqueue(setDrains(slices.Clone(drained))) }

// withDrains stores a change of the endpoint list and returns it with the drains applied, for the policy and the replica side.
func (e *Exchange) withDrains(l ReplicaList) ReplicaList {
	d := e.drainOverlay
	if d == nil {
		return l
	}
	if l.Full {
		clear(d.entries)
		d.stale = l.Stale
	}
	shown := l
	shown.Entries = make([]Endpoint, len(l.Entries))
	for i, entry := range l.Entries {
		if entry.State == policy.Removed {
			delete(d.entries, entry.Name)
		} else {
			d.entries[entry.Name] = entry
		}
		shown.Entries[i] = d.overlay(entry)
	}
	if d.onList != nil {
		d.onList(slices.SortedFunc(maps.Values(d.entries), func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) }), d.stale)
	}
	return shown
}

// handleDrains replaces the set of drains. Only replicas whose state changes by it are passed on, as a change of the endpoint list.
func (e *Exchange) handleDrains(set setDrains) {
	d := e.drainOverlay
	if d == nil {
		return
	}
	before := d.drained
	d.drained = make(map[string]bool, len(set))
	for _, name := range set {
		d.drained[name] = true
	}
	var changed []Endpoint
	for _, name := range slices.Sorted(maps.Keys(d.entries)) {
		if entry := d.entries[name]; entry.State == policy.Up && before[name] != d.drained[name] {
			changed = append(changed, d.overlay(entry))
		}
	}
	if len(changed) > 0 {
		e.log.WithFields(logrus.Fields{"drained": len(d.drained), "changed": len(changed)}).Info("fleet drains changed")
		e.applyReplicaList(ReplicaList{Entries: changed})
	}
	if d.onApplied != nil {
		d.onApplied()
	}
}

func (d *drainOverlay) overlay(entry Endpoint) Endpoint {
	if entry.State == policy.Up && d.drained[entry.Name] {
		entry.State = policy.Draining
	}
	return entry
}
