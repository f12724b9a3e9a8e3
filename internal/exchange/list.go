package exchange

import (
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/settings"
	"birchcart/policy"
)

// handleReplicaList takes a change of the endpoint list.
func (e *Exchange) handleReplicaList(l ReplicaList) { e.applyReplicaList(e.withDrains(l)) }

// applyReplicaList hands on the list as it is shown: the decisions and the replica side learn of it in the same turn.
func (e *Exchange) applyReplicaList(l ReplicaList) {
	if l.Index != 0 { // else drains changed, not the list
		e.listIndex = l.Index
	}
	ev := policy.Event{Kind: policy.ListChanged, Full: l.Full, Stale: l.Stale, Tenant: -1}
	var changed []Target
	if l.Full {
		for _, k := range e.replicasByName {
			k.listed = false
		}
	}
	for _, endpoint := range l.Entries {
		k := e.applyEndpoint(endpoint)
		if k == nil {
			continue
		}
		changed = append(changed, k.Target)
		ev.List = append(ev.List, e.policyEntry(k, endpoint))
		if !l.Full {
			e.logEndpoint(k, endpoint)
		}
	}
	if l.Full {
		changed = append(changed, e.removeUnlisted()...)
		e.log.WithFields(logrus.Fields{"replicas": len(l.Entries), "stale": l.Stale, "index": l.Index}).Info("a whole list")
	}
	e.forgetRemoved()
	e.events = append(e.events, ev)
	e.replicas.Update(changed)
}

// applyEndpoint updates or adds the replica of an endpoint; nil for one that was removed before it was known.
func (e *Exchange) applyEndpoint(endpoint Endpoint) *replicaEntry {
	k := e.replicasByName[endpoint.Name]
	if k == nil {
		if endpoint.State == policy.Removed {
			return nil
		}
		k = &replicaEntry{Target: Target{Replica: e.newID(), Name: endpoint.Name}}
		e.replicasByName[endpoint.Name], e.replicasByID[k.Replica] = k, k
		e.log.WithFields(logrus.Fields{"replica": k.Name, "id": k.Replica, "address": endpoint.Address}).Info("a new replica")
	}
	k.listed = true
	if endpoint.State == policy.Removed && k.State != policy.Removed {
		k.goneAt = e.turnAt
	}
	if k.State = endpoint.State; endpoint.State != policy.Removed {
		k.Address, k.Started, k.Kind = endpoint.Address, endpoint.Started, endpoint.Kind
	}
	return k
}

// policyEntry is an endpoint as the decisions take it.
func (e *Exchange) policyEntry(k *replicaEntry, endpoint Endpoint) policy.Entry {
	started := 0.0
	if !endpoint.Started.IsZero() {
		started = max(0, e.decisionTime(endpoint.Started))
	}
	return policy.Entry{
		Replica: k.Replica, SharedID: common(endpoint.Name), Zone: settings.Place(e.names.Zones, endpoint.Zone), Cell: endpoint.Cell,
		State: endpoint.State, Size: endpoint.Size, Started: started,
	}
}

func (e *Exchange) logEndpoint(k *replicaEntry, endpoint Endpoint) {
	f := logrus.Fields{"replica": k.Name, "id": k.Replica, "state": stateNames[k.State], "index": e.listIndex}
	if !endpoint.Started.IsZero() {
		f["age"] = e.turnAt.Sub(endpoint.Started).Round(time.Millisecond)
	}
	e.log.WithFields(f).Info("the list changed")
}

// removeUnlisted removes the replicas that a full list does not name.
func (e *Exchange) removeUnlisted() (changed []Target) {
	for _, k := range e.replicasByName {
		if !k.listed && k.State != policy.Removed {
			k.State, k.goneAt = policy.Removed, e.turnAt
			changed = append(changed, k.Target)
		}
	}
	return changed
}

// forgetRemoved guards against growth where replicas are replaced all day under new names. One that comes again within the time
// is the same as before.
func (e *Exchange) forgetRemoved() {
	for name, k := range e.replicasByName {
		if k.State == policy.Removed && e.turnAt.Sub(k.goneAt) > e.limits.Forget {
			delete(e.replicasByName, name)
			delete(e.replicasByID, k.Replica)
		}
	}
}

// common is a number of a replica that all co-ordinators read alike: their ids of it are their own.
func common(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

var stateNames = map[policy.Readiness]string{policy.Up: "up", policy.Draining: "draining", policy.Removed: "removed"}
