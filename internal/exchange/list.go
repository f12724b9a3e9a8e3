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
		for _, r := range e.replicasByName {
			r.listed = false
		}
	}
	for _, endpoint := range l.Entries {
		r := e.applyEndpoint(endpoint)
		if r == nil {
			continue
		}
		changed = append(changed, r.Target)
		ev.List = append(ev.List, e.policyEntry(r, endpoint))
		if !l.Full {
			e.logEndpoint(r, endpoint)
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
	r := e.replicasByName[endpoint.Name]
	if r == nil {
		if endpoint.State == policy.Removed {
			return nil
		}
		r = &replicaEntry{Target: Target{Replica: e.newID(), Name: endpoint.Name}}
		e.replicasByName[endpoint.Name], e.replicasByID[r.Replica] = r, r
		e.log.WithFields(logrus.Fields{"replica": r.Name, "id": r.Replica, "address": endpoint.Address}).Info("a new replica")
	}
	r.listed = true
	if endpoint.State == policy.Removed && r.State != policy.Removed {
		r.removedAt = e.turnAt
	}
	if r.State = endpoint.State; endpoint.State != policy.Removed {
		r.Address, r.Started, r.Kind = endpoint.Address, endpoint.Started, endpoint.Kind
	}
	return r
}

// policyEntry is an endpoint as the decisions take it.
func (e *Exchange) policyEntry(r *replicaEntry, endpoint Endpoint) policy.Entry {
	started := 0.0
	if !endpoint.Started.IsZero() {
		started = max(0, e.policyTime(endpoint.Started))
	}
	return policy.Entry{
		Replica: r.Replica, SharedID: nameHash(endpoint.Name), Zone: settings.Place(e.names.Zones, endpoint.Zone), Cell: endpoint.Cell,
		State: endpoint.State, Size: endpoint.Size, Started: started,
	}
}

func (e *Exchange) logEndpoint(r *replicaEntry, endpoint Endpoint) {
	f := logrus.Fields{"replica": r.Name, "id": r.Replica, "state": stateNames[r.State], "index": e.listIndex}
	if !endpoint.Started.IsZero() {
		f["age"] = e.turnAt.Sub(endpoint.Started).Round(time.Millisecond)
	}
	e.log.WithFields(f).Info("the list changed")
}

// removeUnlisted removes the replicas that a full list does not name.
func (e *Exchange) removeUnlisted() (changed []Target) {
	for _, r := range e.replicasByName {
		if !r.listed && r.State != policy.Removed {
			r.State, r.removedAt = policy.Removed, e.turnAt
			changed = append(changed, r.Target)
		}
	}
	return changed
}

// forgetRemoved guards against growth where replicas are replaced all day under new names. One that comes again within the time
// is the same as before.
func (e *Exchange) forgetRemoved() {
	for name, r := range e.replicasByName {
		if r.State == policy.Removed && e.turnAt.Sub(r.removedAt) > e.limits.Forget {
			delete(e.replicasByName, name)
			delete(e.replicasByID, r.Replica)
		}
	}
}

// nameHash is a number of a replica that all co-ordinators read alike: their ids of it are their own.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

var stateNames = map[policy.Readiness]string{policy.Up: "up", policy.Draining: "draining", policy.Removed: "removed"}
