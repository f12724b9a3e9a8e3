// Package migrate plans where pinned sessions go when the machine of their co-ordinator goes out for work: which session to
// which co-ordinator, in which order, and which slots at replicas go with them. It is pure: no clock, goroutine, I/O or
// random number, and no order from a map. A plan is only a proposal of the leader's: what the agreed state does not allow
// is refused when it is applied. A planner of a new leader goes on from the agreed state alone. All times are agreed time.
package migrate

import (
	"time"

	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// RankNone is the rank of a co-ordinator that does not go out in this order of work, or has gone and is back.
const RankNone = -1

// SessionBytes is what one more session is taken to need at its owner: its state at most, and as much again. Twice as
// much: a receiver with little memory left is full at half its sessions; half: it declines the last ones.
const SessionBytes = 2048

// Book is what the planner reads of the agreed state of sessions; *session.State is one.
type Book interface {
	Get(session.ID) (session.Record, bool)
	ByOwner(co string, yield func(session.Record) bool)
	Moves(yield func(session.Record) bool) // offered or handed
	Owned(co string) int                   // handed ones that it has not adopted too
	Moving() int
	RecentOffers() int
	Limits() (session.Limits, int)
	Now() time.Duration
	BlockedUntil() time.Duration
}

// Slots is what the planner reads of the agreed slots at replicas; *pool.Pool is one.
type Slots interface {
	Held(co, replica string) int
	Free(replica string) int
	Cap(replica string) int
	Transfers() []pool.Transfer
}

// Capacity is what a co-ordinator last told of itself. Where it told nothing, nothing is known, and nothing goes there.
type Capacity struct {
	MaxSessions   int   // it may own at most
	OwnedAtReport int   // it owned when it told of Open and Memory
	OpenQueries   int   // open queries of sessions
	MaxQueries    int   // that may be open at most
	FreeMemory    int64 // bytes left for sessions
}

// Unsafe is a session with an open query that can neither be ended nor begun again elsewhere.
type Unsafe struct {
	ID  session.ID
	Due time.Duration // the latest that it ends
}

// Coordinator is one line of the site as the planner sees it.
type Coordinator struct {
	Name, Zone string
	Live       bool          // its lease runs, and it is neither terminating nor gone
	Rank       int           // its turn in the order of work, from 0; those that go together have the same; Stays: none
	Leaving    bool          // its going out was granted: its sessions are to be off by Deadline
	Deadline   time.Duration // 0: none
	Capacity   Capacity
	Idle       []session.ID // of its sessions, some without an open query by its last word, MaxExamined are looked at
	Unsafe     []Unsafe     // of its sessions, by its last word; MaxUnsafe are looked at
}

// View is all that a step sees. Slices are read only.
type View struct {
	Book            Book
	Slots           Slots         // nil: none
	Coordinators    []Coordinator // by name
	Replicas        []string      // sorted; at each a co-ordinator with sessions needs slots
	SessionsPerSlot int           // sessions that share one slot at a replica, at most; 0: slots are not looked at
	Paused          bool          // by the operators: open offers are withdrawn, none is made
	Outage          time.Duration // that a machine is out for, as the operators say
	Deadline        time.Duration // of the whole swap; 0: none
}

// room is how many more sessions a co-ordinator can take, with inbound ones on their way to it, each bringing open queries.
// Slots are looked at apart.
func (c *Coordinator) spareSessions(owned, inbound int, open float64) int {
	r := &c.Capacity
	n := r.MaxSessions - owned - inbound
	since := float64(max(0, owned-r.OwnedAtReport) + inbound) // it has not told of these
	if open > 0 {
		n = min(n, int((float64(r.MaxQueries-r.OpenQueries)-float64(since*open))/open))
	} else if r.MaxQueries <= r.OpenQueries {
		return 0
	}
	return max(0, min(n, int(r.FreeMemory/SessionBytes)-int(since)))
}

// capacity is how many sessions it can own in all, once it is empty and back.
func (c *Coordinator) maxSessions() int { return max(0, c.Capacity.MaxSessions) }
