package exchange

import "birchcart/policy"

// message is what reaches the exchange from other goroutines, one after the other, by its inbox.
type message interface{ handle(e *Exchange) }

// control is a message that a turn takes before all others: what was read of the list, and of what narrows or routes by it,
// is in force before anything is sent.
type control interface {
	message
	isControl()
}

// handleClientGone is the message that a client has gone.
type clientGone struct{ q *Query }

// watchFailed is the message that a watch failed or has ended.
type watchFailed struct{}

func (l ReplicaList) handle(e *Exchange) {
	e.handleReplicaList(l)
	e.listsQueued.Add(-1)
}
func (r *routeState) handle(e *Exchange) { e.handleRoutes(r) }
func (d setDrains) handle(e *Exchange)   { e.handleDrains(d) }
func (watchFailed) handle(e *Exchange) {
	e.events = append(e.events, policy.Event{Kind: policy.ListFailed})
}

func (ReplicaList) isControl() {}
func (*routeState) isControl() {}
func (setDrains) isControl()   {}
func (watchFailed) isControl() {}

func (q *Query) handle(e *Exchange)       { e.handleQuery(q) }
func (l clientGone) handle(e *Exchange)   { e.handleClientGone(l.q) }
func (r releaseQuery) handle(e *Exchange) { e.handleRelease(r.q) }
func (t rejectQuery) handle(e *Exchange)  { e.handleRejection(t.q, t.r) }
func (r Result) handle(e *Exchange)       { e.handleResult(r) }
func (p HealthCheck) handle(e *Exchange)  { e.handleHealthCheck(p) }
