package exchange

import (
	"maps"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"birchcart/policy"
)

// drainOverlay is what a fleet's drains change in discovery's list: a replica in it wants nothing new, whatever discovery says. It
// only ever narrows. Its sizes are those of the list and of the set that was last given.
type drainOverlay struct {
	entries   map[string]Endpoint // as discovery has them, without those that are gone
	drained   map[string]bool
	stale     bool // the full list before was from disk
	onList    func(list []Endpoint, stale bool)
	onApplied func()
}

// setDrains is the message that the set of replicas to be drained is now this one.
type setDrains []string

// WatchReplicas begins to keep discovery's list apart from what SetDrains changes in it. Of what is given, nil is left out: after
// each change onList gets the complete list, as discovery has it and sorted by name, and whether it is an old one from disk;
// onApplied is called once for each set that SetDrains gave, when from then on nothing new is decided for what is in it. Both are
// called in the turn, may keep what they get, and must not block. To be called before Run.
func (e *Exchange) WatchReplicas(onList func(list []Endpoint, stale bool), onApplied func()) {
	e.drainOverlay = &drainOverlay{entries: map[string]Endpoint{}, drained: map[string]bool{}, onList: onList, onApplied: onApplied}
}

// SetDrains has these replicas, and no others, shown as draining while discovery says that they are up. A name that is not
// on the list counts once it is. Without WatchReplicas before it does nothing.
func (e *Exchange) SetDrains(drained []string) { e.enqueue(setDrains(slices.Clone(drained))) }

// withDrains keeps a change of the endpoint list, and returns it as the decisions and the replica side are to have it.
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

// handleDrains takes another set of drains: what differs by it is a change of the endpoint list, and nothing else is.
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
		e.log.WithFields(logrus.Fields{"drained": len(d.drained), "changed": len(changed)}).Info("the fleet's drains over the list changed")
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
