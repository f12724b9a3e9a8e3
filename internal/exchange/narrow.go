package exchange

import (
	"maps"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"birchcart/policy"
)

// narrowing is what a fleet lays over discovery's list: a replica in it wants nothing new, whatever discovery says. It
// only ever narrows. Its sizes are those of the list and of the set that was last given.
type narrowing struct {
	entries map[string]Entry // as discovery has them, without those that are gone
	drained map[string]bool
	stale   bool // the whole list before was from disk
	tell    func(list []Entry, stale bool)
	laid    func()
}

// drains is the news that the set of replicas to be drained is now this one.
type drains []string

// Narrowable makes the list one that Narrow may be laid over. Of what is given, nil is left out: after each news of the list
// tell gets it whole, as discovery has it and sorted by name, and whether it is an old one from disk; laid is called once for
// each set that Narrow gave, when from then on nothing new is decided for what is in it. Both are called in the turn, keep
// what they get, and must not block. To be called before Run.
func (e *Exchange) Narrowable(tell func(list []Entry, stale bool), laid func()) {
	e.narrowing = &narrowing{entries: map[string]Entry{}, drained: map[string]bool{}, tell: tell, laid: laid}
}

// Narrow has these replicas, and no others, shown as draining while discovery says that they are up. A name that is not
// on the list counts once it is. Without Narrowable before it does nothing.
func (e *Exchange) Narrow(drained []string) { e.put(drains(slices.Clone(drained))) }

// laidOver keeps the news of the list, and returns it as the decisions and the replica side are to have it.
func (e *Exchange) laidOver(l List) List {
	n := e.narrowing
	if n == nil {
		return l
	}
	if l.Full {
		clear(n.entries)
		n.stale = l.Stale
	}
	shown := l
	shown.Entries = make([]Entry, len(l.Entries))
	for i, entry := range l.Entries {
		if entry.State == policy.Removed {
			delete(n.entries, entry.Name)
		} else {
			n.entries[entry.Name] = entry
		}
		shown.Entries[i] = n.shown(entry)
	}
	if n.tell != nil {
		n.tell(slices.SortedFunc(maps.Values(n.entries), func(a, b Entry) int { return strings.Compare(a.Name, b.Name) }), n.stale)
	}
	return shown
}

// narrowed takes another set of drains: what differs by it is news of the list, and nothing else is.
func (e *Exchange) narrowed(set drains) {
	n := e.narrowing
	if n == nil {
		return
	}
	before := n.drained
	n.drained = make(map[string]bool, len(set))
	for _, name := range set {
		n.drained[name] = true
	}
	var changed []Entry
	for _, name := range slices.Sorted(maps.Keys(n.entries)) {
		if entry := n.entries[name]; entry.State == policy.Up && before[name] != n.drained[name] {
			changed = append(changed, n.shown(entry))
		}
	}
	if len(changed) > 0 {
		e.log.WithFields(logrus.Fields{"drained": len(n.drained), "changed": len(changed)}).Info("the fleet's drains over the list changed")
		e.shown(List{Entries: changed})
	}
	if n.laid != nil {
		n.laid()
	}
}

func (n *narrowing) shown(entry Entry) Entry {
	if entry.State == policy.Up && n.drained[entry.Name] {
		entry.State = policy.Draining
	}
	return entry
}
