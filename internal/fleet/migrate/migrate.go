// Package migrate plans the moves of pinned sessions away from co-ordinators that go out for maintenance: which session moves to
// which co-ordinator, in which order, and which slots at replicas move with them. The package is pure: it uses no clock,
// goroutine, I/O or random number, and no result depends on the iteration order of a map. A plan is only a proposal of the leader:
// whatever the agreed state does not allow is refused when the plan is applied. The planner of a new leader continues from the
// agreed state alone. All times are agreed time.
package migrate

import (
	"time"

	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// RankNone is the rank of a co-ordinator that does not go out in this order of work, or that is already back.
const RankNone = -1

// SessionBytes is the memory that one more session is assumed to need at its owner: its maximum state, and the same again. With
// twice the value a receiver with little free memory counts as full at half of the sessions it could hold; with half the value it
// declines the last sessions offered to it.
const SessionBytes = 2048

// Book is the part of the agreed state of sessions that the planner reads. *session.State implements it.
type Book interface {
	Get(session.ID) (session.Record, bool)
	ByOwner(co string, yield func(session.Record) bool)
	Moves(yield func(session.Record) bool) // offered or handed-over sessions
	Owned(co string) int                   // includes handed-over sessions that it has not adopted yet
	Moving() int
	RecentOffers() int
	Limits() (session.Limits, int)
	Now() time.Duration
	BlockedUntil() time.Duration
}

// Slots is the part of the agreed state of slots at replicas that the planner reads. *pool.Pool implements it.
type Slots interface {
	Held(co, replica string) int
	Free(replica string) int
	Cap(replica string) int
	Transfers() []pool.Transfer
}

// Capacity is what a co-ordinator last reported about itself. No session is moved to a co-ordinator without a report.
type Capacity struct {
	MaxSessions   int   // sessions that it may own
	OwnedAtReport int   // sessions that it owned when it reported OpenQueries and FreeMemory
	OpenQueries   int   // open queries of its sessions
	MaxQueries    int   // limit on OpenQueries
	FreeMemory    int64 // bytes left for sessions
}

// Unsafe is a session with an open query that can neither be ended nor repeated at another co-ordinator.
type Unsafe struct {
	ID  session.ID
	Due time.Duration // latest time at which the query ends
}

// Coordinator describes one co-ordinator of the site to the planner.
type Coordinator struct {
	Name, Zone string
	Live       bool          // its lease has not expired, and it is neither terminating nor gone
	Rank       int           // its wave in the order of work, from 0; co-ordinators of one wave have the same rank; RankNone if it has none
	Leaving    bool          // it was granted to go out: its sessions have to be moved by Deadline
	Deadline   time.Duration // 0: none
	Capacity   Capacity
	Idle       []session.ID // some of its sessions that had no open query at its last report; the first MaxExamined are examined
	Unsafe     []Unsafe     // its sessions with an unsafe query at its last report; the first MaxUnsafe are examined
}

// View is the input of a step. Its slices are only read.
type View struct {
	Book            Book
	Slots           Slots         // nil: slots are ignored
	Coordinators    []Coordinator // sorted by name
	Replicas        []string      // sorted; a co-ordinator with sessions needs slots at each of them
	SessionsPerSlot int           // maximum number of sessions that share one slot at a replica; 0: slots are ignored
	Paused          bool          // by the operators: open offers are withdrawn and none are made
	Outage          time.Duration // how long a machine is out, as configured by the operators
	Deadline        time.Duration // of the whole swap; 0: none
}

// spareSessions returns how many more sessions a co-ordinator can take. owned sessions are its own, inbound sessions are offered
// to it, and open is the average number of open queries that each session brings. Slots are checked separately.
func (c *Coordinator) spareSessions(owned, inbound int, open float64) int {
	r := &c.Capacity
	n := r.MaxSessions - owned - inbound
	unreported := float64(max(0, owned-r.OwnedAtReport) + inbound) // sessions that its last report does not cover
	if open > 0 {
		n = min(n, int((float64(r.MaxQueries-r.OpenQueries)-float64(unreported*open))/open))
	} else if r.MaxQueries <= r.OpenQueries {
		return 0
	}
	return max(0, min(n, int(r.FreeMemory/SessionBytes)-int(unreported)))
}

// maxSessions returns how many sessions it can own in total once it is empty and back.
func (c *Coordinator) maxSessions() int { return max(0, c.Capacity.MaxSessions) }
