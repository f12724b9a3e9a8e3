package exchange

import (
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/settings"
	"birchcart/policy"
)

// listed takes news of the list.
func (e *Exchange) listed(l List) { e.shown(e.laidOver(l)) }

// shown hands on the list as it is shown: the decisions and the replica side learn of it in the same turn.
func (e *Exchange) shown(l List) {
	ev := policy.Event{Kind: policy.ListChanged, Full: l.Full, Stale: l.Stale, Tenant: -1}
	var changed []Target
	if l.Full {
		for _, k := range e.targets {
			k.listed = false
		}
	}
	for _, entry := range l.Entries {
		k := e.targets[entry.Name]
		if k == nil {
			if entry.State == policy.Removed {
				continue // gone before it was heard of
			}
			k = &known{Target: Target{Replica: e.newID(), Name: entry.Name}}
			e.targets[entry.Name], e.ids[k.Replica] = k, k
			e.log.WithFields(logrus.Fields{"replica": k.Name, "id": k.Replica, "address": entry.Address}).Info("a new replica")
		}
		k.listed = true
		if entry.State == policy.Removed && k.State != policy.Removed {
			k.goneAt = e.turned
		}
		if k.State = entry.State; entry.State != policy.Removed {
			k.Address, k.Started, k.Kind = entry.Address, entry.Started, entry.Kind
		}
		started := 0.0
		if !entry.Started.IsZero() {
			started = max(0, e.clock(entry.Started))
		}
		changed = append(changed, k.Target)
		ev.List = append(ev.List, policy.Entry{
			Replica: k.Replica, Common: common(entry.Name), Zone: settings.Place(e.names.Zones, entry.Zone), Cell: entry.Cell,
			State: entry.State, Size: entry.Size, Started: started,
		})
		if !l.Full {
			f := logrus.Fields{"replica": k.Name, "id": k.Replica, "state": stateNames[k.State]}
			if !entry.Started.IsZero() {
				f["age"] = e.turned.Sub(entry.Started).Round(time.Millisecond)
			}
			e.log.WithFields(f).Info("the list changed")
		}
	}
	if l.Full {
		for _, k := range e.targets {
			if !k.listed && k.State != policy.Removed {
				k.State, k.goneAt = policy.Removed, e.turned
				changed = append(changed, k.Target)
			}
		}
		e.log.WithFields(logrus.Fields{"replicas": len(l.Entries), "stale": l.Stale}).Info("a whole list")
	}
	// Guards against growth where replicas are replaced all day under new names. One that comes again within the
	// time is the same as before.
	for name, k := range e.targets {
		if k.State == policy.Removed && e.turned.Sub(k.goneAt) > e.limits.Forget {
			delete(e.targets, name)
			delete(e.ids, k.Replica)
		}
	}
	e.events = append(e.events, ev)
	e.replicas.Update(changed)
}

// common is a number of a replica that all co-ordinators read alike: their ids of it are their own.
func common(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

var stateNames = map[policy.Readiness]string{policy.Up: "up", policy.Draining: "draining", policy.Removed: "removed"}
