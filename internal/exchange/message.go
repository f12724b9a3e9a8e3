package exchange

import "birchcart/policy"

// message is what reaches the exchange from other goroutines, one after the other, by its inbox.
type message interface{ take(e *Exchange) }

// news is a message that a turn takes before all others: what was read of the list, and of what narrows or routes by it,
// is in force before anything is sent.
type news interface {
	message
	isNews()
}

// left is the news that a client went away.
type left struct{ q *Query }

// listFailed is the news that a watch could not be had or has ended.
type listFailed struct{}

func (l List) take(e *Exchange)    { e.listed(l) }
func (r *routes) take(e *Exchange) { e.routed(r) }
func (d drains) take(e *Exchange)  { e.narrowed(d) }
func (listFailed) take(e *Exchange) {
	e.events = append(e.events, policy.Event{Kind: policy.ListFailed})
}

func (List) isNews()       {}
func (*routes) isNews()    {}
func (drains) isNews()     {}
func (listFailed) isNews() {}

func (q *Query) take(e *Exchange)   { e.arrived(q) }
func (l left) take(e *Exchange)     { e.left(l.q) }
func (r release) take(e *Exchange)  { e.released(r.q) }
func (t turnAway) take(e *Exchange) { e.turnedAway(t.q, t.r) }
func (r Result) take(e *Exchange)   { e.ended(r) }
func (p Probed) take(e *Exchange)   { e.probed(p) }
