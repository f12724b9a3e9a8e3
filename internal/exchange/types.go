// Package exchange is the only place where clients and replicas meet. One goroutine owns the decisions, the
// queries that are open and their values: it gathers what both sides report, gives it to the decisions in
// turns, and hands out what they want done. It never touches a socket and never blocks.
package exchange

import (
	"time"

	"birchcart/internal/route"
	"birchcart/policy"
)

// Query is a client's query, as the client side read it.
type Query struct {
	ID            string
	Class, Tenant int
	Retry         bool
	Front         route.Front
	Header        func(name string) string // nil: routes see no headers of it; names in lower case
	Client        string                   // its client, for a budget of retries; "" where none is given
	Session       string                   // key of its session, as the client named it; "" for none
	LaneMark      string                   // as the client named it for the lanes; "" for none
	Received, Due time.Time                // Received: the last byte was read
	Parts         []Part
	Text          []byte
	// Reply takes the one answer. It is called from the exchange's goroutine and must not block.
	Reply func(Reply)

	clientGone bool // its client has left; under the exchange's lock
}

// Part is one part that a query asks for. Work is in seconds, 0 if no hint came.
type Part struct {
	Shard        int
	Weight, Work float64
}

// Status of a reply.
type Status uint8

// Statuses of a reply.
const (
	Served   Status = iota
	Rejected        // a retry is harmless
	Failed          // nothing is promised
	Conflict        // a query of the same id is open
)

// Reply ends a query.
type Reply struct {
	Status     Status
	Complete   bool
	Values     []Value
	RetryAfter time.Duration // Rejected: when to retry; 0 for no advice
	Reason     policy.Reason // Rejected, Failed: why the decisions ended it, for the log
	Owner      string        // Rejected: the co-ordinator that has its session; "" if none is named
}

// Value is what a replica gave for one part.
type Value struct {
	Shard int
	Item  []byte
}

// Attempt is one part on its way to one replica. The replica side reads its exported fields and reports its
// end with it.
type Attempt struct {
	ID       string // route the part
	Shard    int
	Text     []byte
	Due      time.Time
	Previous []int // second step: the shards that were in, else nil
	Complete bool

	part    *part
	replica uint64
	number  int
	sentAt  float64
	ended   bool
}

// Result is how an attempt ended, as the replica side saw it.
type Result struct {
	Attempt *Attempt
	Outcome policy.Outcome
	At      time.Time
	Score   int64
	Report  []float64
	Value   []byte
}

// HealthCheck is the outcome of a health check.
type HealthCheck struct {
	Replica uint64
	Outcome policy.Outcome
	At      time.Time
	Took    time.Duration
	Report  []float64
}

// Endpoint is one replica on discovery's list.
type Endpoint struct {
	Name, Address, Zone string
	Kind                string // what it speaks, as discovery names its type
	Cell                int
	State               policy.Readiness
	Size                float64
	Started             time.Time // zero for long ago
}

// ReplicaList is a change of the endpoint list: a full one, or the endpoints that changed.
type ReplicaList struct {
	Entries     []Endpoint
	Index       int64 // discovery's version of the list with this change
	Full, Stale bool
}

// Target is where a replica is to be reached.
type Target struct {
	Replica uint64
	Name    string
	Kind    string
	Address string
	State   policy.Readiness
	Started time.Time
}

// Replicas is the replica side. Nothing here blocks. Results come back by Ended and Probed.
type Replicas interface {
	// Update takes changed targets; what is not up gets nothing that is not yet written.
	Update(changed []Target)
	// Send sends attempts as one call.
	Send(replica uint64, call []*Attempt)
	// Cancel takes back an attempt. found is false if it has ended; sent says that it may have run.
	Cancel(a *Attempt) (found, sent bool)
	// CancelUnsent takes back an attempt that is not yet written, and says whether it was.
	CancelUnsent(a *Attempt) bool
	// CheckHealth sends a health check, or asks for the load report.
	CheckHealth(replica uint64)
}

// Watcher is the side of discovery.
type Watcher interface{ Watch() }
