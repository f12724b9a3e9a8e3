package exchange

import "birchcart/policy"

// message is what other goroutines send to the exchange through its inbox. A turn handles control messages first; otherwise
// messages are handled in order of arrival.
type message interface{ handle(e *Exchange) }

// control is a message that a turn handles before all others, so that changes of the list, drains and routes are in effect before
// the turn sends anything.
type control interface {
	message
	isControl()
}

// clientGone is the message that the client of a query has disconnected.
type clientGone struct{ q *Query }

// watchFailed is the message that a watch of the list failed or has ended.
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
func (c clientGone) handle(e *Exchange)   { e.handleClientGone(c.q) }
func (r releaseQuery) handle(e *Exchange) { e.handleRelease(r.q) }
func (r rejectQuery) handle(e *Exchange)  { e.handleRejection(r.q, r.r) }
func (r Result) handle(e *Exchange)       { e.handleResult(r) }
func (h HealthCheck) handle(e *Exchange)  { e.handleHealthCheck(h) }
