// Package exchange connects the client side and the replica side of a co-ordinator; nothing else joins the two. One
// goroutine, started by Exchange.Run, owns the policy, the open queries and their values. It works in turns: a turn
// collects the messages that both sides sent to its inbox, passes them to the policy as events, and carries out the
// actions that the policy returns. It uses no sockets and never blocks on either side.
package exchange

import (
	"time"

	"birchcart/internal/route"
	"birchcart/policy"
)

// Query is a client's query as parsed by the client side.
type Query struct {
	ID            string
	Class, Tenant int
	Retry         bool
	Front         route.Front
	Header        func(name string) string // by lower-case name; nil: routes see no headers
	Client        string                   // key of its client's retry budget; "" for none
	Session       string                   // key of its session as sent by the client; "" for none
	LaneMark      string                   // its lane mark as sent by the client; "" for none
	Received, Due time.Time                // Received: when its last byte was read
	Parts         []Part
	Text          []byte
	// Reply receives the query's only reply, if its client has not disconnected. It is called from the exchange's goroutine
	// and must not block.
	Reply func(Reply)

	clientGone bool // its client has disconnected; guarded by Exchange.mu
}

// Part is one part of a query. Work is a hint in seconds, 0 if there is none.
type Part struct {
	Shard        int
	Weight, Work float64
}

// Status of a reply.
type Status uint8

// Statuses of a reply.
const (
	Served   Status = iota
	Rejected        // a retry is safe
	Failed          // a retry may not be safe
	Conflict        // a query with the same id is open, or its parts may still be at replicas
)

// Reply is the final reply to a query.
type Reply struct {
	Status     Status
	Complete   bool
	Values     []Value
	RetryAfter time.Duration // Rejected: when to retry; 0 for no advice
	Reason     policy.Reason // Rejected, Failed: why the policy ended the query, for the log
	Owner      string        // Rejected: the co-ordinator that owns its session; "" if not given
}

// Value is a replica's value for one part.
type Value struct {
	Shard int
	Item  []byte
}

// Attempt is one try to have a replica run a part. The replica side reads its exported fields and reports its end
// in a Result. Complete is set in the second step if the result of the first was complete.
type Attempt struct {
	ID       string // id of the part in frames
	Shard    int
	Text     []byte
	Due      time.Time
	Previous []int // second step: the shards that answered the first; else nil
	Complete bool

	ListIndex int64 // version of the replica list by which the replica was chosen

	part       *part
	replica    uint64
	number     int
	sentAt     float64
	ended      bool
	timerIndex int // of its timer in the heap, noTimer if there is none
}

// Result is the end of an attempt as reported by the replica side. Report holds the replica's load report, if any.
type Result struct {
	Attempt *Attempt
	Outcome policy.Outcome
	At      time.Time
	Score   int64
	Report  []float64
	Value   []byte
}

// HealthCheck is the outcome of a health check. Report holds the replica's load report, if any.
type HealthCheck struct {
	Replica uint64
	Outcome policy.Outcome
	At      time.Time
	Took    time.Duration
	Report  []float64
}

// Endpoint is a replica on discovery's list. Size is the weight that discovery gives it, 1 by default.
type Endpoint struct {
	Name, Address, Zone string
	Kind                string // its protocol, which discovery calls its type
	Cell                int
	State               policy.Readiness
	Size                float64
	Started             time.Time // zero: long ago
}

// ReplicaList is a change of the endpoint list: either the full list or only the endpoints that changed.
// Stale marks a list that discovery read from disk.
type ReplicaList struct {
	Entries     []Endpoint
	Index       int64 // discovery's version of the list after this change
	Full, Stale bool
	Source      string        // the call that brought it, for the log
	Age         time.Duration // since that call was made, for the log
}

// Target is a replica and the address at which it is reached.
type Target struct {
	Replica uint64
	Name    string
	Kind    string
	Address string
	State   policy.Readiness
	Started time.Time
}

// Replicas is the replica side. Its methods do not block. It reports results by Exchange.AttemptEnded and
// Exchange.HealthChecked.
type Replicas interface {
	// Update applies changed targets. Attempts that are not yet written are not sent to a target that is not up.
	Update(changed []Target)
	// Send sends attempts to a replica as one call.
	Send(replica uint64, call []*Attempt)
	// Cancel cancels an attempt. found is false if the attempt has already ended; sent is true if it may have run.
	Cancel(a *Attempt) (found, sent bool)
	// CancelUnsent cancels an attempt only if it is not yet written, and reports whether it did.
	CancelUnsent(a *Attempt) bool
	// CheckHealth sends a replica a health check, or asks it for its load report.
	CheckHealth(replica uint64)
}

// Watcher is the discovery side. Watch opens a watch of the endpoint list and does not block.
type Watcher interface{ Watch() }
