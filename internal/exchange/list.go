package exchange

import (
	"hash/fnv"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/settings"
	"birchcart/policy"
)

// handleReplicaList applies a change of the endpoint list, with the drains added to it.
func (e *Exchange) handleReplicaList(l ReplicaList) { e.applyReplicaList(e.withDrains(l)) }

// applyReplicaList passes a change of the list, drains included, to the policy and the replica side in the same turn.
func (e *Exchange) applyReplicaList(l ReplicaList) {
	if l.Index != 0 { // 0: only the drains changed
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
		before := e.replicasByName[endpoint.Name].state()
		r := e.applyEndpoint(endpoint)
		if r == nil {
			continue
		}
		changed = append(changed, r.Target)
		ev.List = append(ev.List, e.policyEntry(r, endpoint))
		if !l.Full || before != r.State {
			e.logEndpoint(r, endpoint, &l)
		}
	}
	if l.Full {
		changed = append(changed, e.removeUnlisted()...)
		e.log.WithFields(logrus.Fields{"replicas": len(l.Entries), "stale": l.Stale, "index": l.Index, "source": l.Source, "call_age": l.Age.Round(time.Millisecond)}).Info("a whole list")
	}
	e.forgetRemoved()
	e.events = append(e.events, ev)
	e.replicas.Update(changed)
}

// state returns the state of a replica; one that is not known counts as up, so that a first list is not logged one by one.
func (r *replicaEntry) state() policy.Readiness {
	if r == nil {
		return policy.Up
	}
	return r.State
}

// applyEndpoint updates or adds the replica of an endpoint. It returns nil for a removed endpoint that was never listed.
func (e *Exchange) applyEndpoint(endpoint Endpoint) *replicaEntry {
	r := e.replicasByName[endpoint.Name]
	if r == nil {
		if endpoint.State == policy.Removed {
			return nil
		}
		r = &replicaEntry{Target: Target{Replica: e.newID(), Name: endpoint.Name}}
		e.replicasByName[endpoint.Name], e.replicasByID[r.Replica] = r, r
		e.log.WithFields(logrus.Fields{"replica": r.Name, "id": r.Replica, "address": endpoint.Address}).Info("new replica")
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

// policyEntry converts an endpoint to an entry of the policy's list.
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

func (e *Exchange) logEndpoint(r *replicaEntry, endpoint Endpoint, l *ReplicaList) {
	f := logrus.Fields{
		"replica": r.Name, "id": r.Replica, "state": stateNames[r.State], "index": e.listIndex, "source": l.Source,
		"call_age": l.Age.Round(time.Millisecond),
	}
	if !endpoint.Started.IsZero() {
		f["age"] = e.turnAt.Sub(endpoint.Started).Round(time.Millisecond)
	}
	e.log.WithFields(f).Info("replica list changed")
}

// removeUnlisted marks the replicas as removed that a full list does not name, and returns them.
func (e *Exchange) removeUnlisted() (changed []Target) {
	for _, r := range e.replicasByName {
		if !r.listed && r.State != policy.Removed {
			r.State, r.removedAt = policy.Removed, e.turnAt
			changed = append(changed, r.Target)
			e.log.WithFields(logrus.Fields{"replica": r.Name, "id": r.Replica, "index": e.listIndex}).Info("replica is not on the whole list")
		}
	}
	return changed
}

// forgetRemoved deletes replicas that were removed longer than Forget ago, so that the tables do not grow where replicas are replaced
// all day under new names. A replica that is listed again before then keeps its id.
func (e *Exchange) forgetRemoved() {
	for name, r := range e.replicasByName {
		if r.State == policy.Removed && e.turnAt.Sub(r.removedAt) > e.limits.Forget {
			delete(e.replicasByName, name)
			delete(e.replicasByID, r.Replica)
		}
	}
}

// nameHash returns an id of a replica that is the same at all co-ordinators; Target.Replica differs between them.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// stateNames names the states of a replica in logs.
var stateNames = map[policy.Readiness]string{policy.Up: "up", policy.Draining: "draining", policy.Removed: "removed"}
