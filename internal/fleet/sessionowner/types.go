// Package sessionowner implements one co-ordinator's side of pinned sessions. It decides which queries of a session start and in
// which order, which ones wait, when a session may be handed to another co-ordinator, and what each client is answered. The package
// is pure: the caller passes in events and the time of its own monotonic clock, and carries out the returned outputs. The agreed
// state is only read. Changes to it are returned as proposals and take effect once the agreed state shows them.
//
// Each Arrived query gets exactly one response: a served answer that MayAnswer allowed, or one Reject, Cancel or Fail. After a
// Run the owner must also receive the query's QueryEnded, whatever was answered meanwhile, since the query's slots stay in use until
// then.
package sessionowner

import (
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// Effect says whether a query may run more than once at a replica, as its class defines it.
type Effect uint8

// Effects of a query.
const (
	Idempotent    Effect = iota // may run any number of times
	Keyed                       // a repeat within the class's window is dropped
	NonIdempotent               // must not run twice
)

// Outcome is how a query that was started with Run ended.
type Outcome uint8

// Outcomes of a query.
const (
	NotRun     Outcome = iota // nothing of it ran at a replica or will run
	MayHaveRun                // it ended without an answer, and some of it may have run
	Done                      // it ended with an answer, which was given if MayAnswer allowed it
)

// Reason says why a query got a Reject, Cancel or Fail.
type Reason uint8

// Reasons of a Reject, Cancel or Fail.
const (
	NotOwner         Reason = iota // another co-ordinator owns the session
	NoLease                        // this co-ordinator holds no valid lease
	WaitTimeout                    // the query waited for the share of its time that it may wait
	Overloaded                     // too many queries or sessions are held here, or by this client
	ShuttingDown                   // this co-ordinator is draining and takes no new session
	SessionMoving                  // the query was open when its session was to be handed over
	DeadlineExceeded               // the client's deadline has passed
	OwnershipLost                  // the query started under an ownership that has ended
	NoAnswer                       // the query ended without an answer
	Duplicate                      // the query ran before, or may have run
)

var reasons = [...]string{"elsewhere", "no lease", "waited", "full", "going", "moving", "late", "lost", "broken", "repeated"}

// String returns the name of the reason.
func (r Reason) String() string { return reasons[r] }

// AgreedState is the part of the agreed session state that an Owner reads; *session.State implements it. The Owner reads it during
// Step and MayAnswer. Between these calls the state may stay or advance but never go back. The Owner copies what it keeps.
type AgreedState interface {
	Get(id session.ID) (session.Record, bool)
	// Moves yields the sessions that are offered or handed, and ByOwner those that a co-ordinator owns, each in a fixed order.
	Moves(yield func(session.Record) bool)
	ByOwner(co string, yield func(session.Record) bool)
	Owned(co string) int
	Pool() *pool.Pool
	Limits() (l session.Limits, revision int)
}

// Input is an event for Step. A pointer to an event is accepted too, and saves an allocation if the caller reuses the event.
type Input interface{ input() }

type (
	// Arrived says that a query of a pinned class has arrived.
	//
	// The caller chooses Token, and must not reuse it before the query's QueryEnded or, if the query did not Run, its response. ID is the hash of the client's own id for the query, by which a repeat of a Keyed or NonIdempotent query is
	// recognised; it is zero if the client gave none. Deadline, by the own clock, is when the client's time is over. Window is how
	// long after the start of a Keyed query its repeats are dropped. Replicas names the replicas at each of which the query needs a
	// slot; the owner keeps the slice and does not change it. Client identifies the client against whose share of the limits the
	// query counts.
	Arrived struct {
		Token    uint64
		Session  session.ID
		Client   uint64
		ID       completed.ID
		Effect   Effect
		Lane     uint8
		Deadline time.Duration
		Window   time.Duration
		Replicas []string
	}
	// QueryEnded says that a query that was started with Run has ended. Its parts may still run at replicas until BusyUntil, by
	// the own clock; until then the query counts as open and its slots as in use. BusyUntil is 0 if no part is left at a replica.
	// Responded says that the caller has already given the client a response; otherwise the owner gives one if it has given none.
	QueryEnded struct {
		Token     uint64
		Outcome   Outcome
		BusyUntil time.Duration
		Responded bool
	}
	// ClientGone says that the client has disconnected and needs no response. A running query still needs its QueryEnded.
	ClientGone struct{ Token uint64 }
	// Applied delivers the own copy of the agreed state after it advanced, with the agreed time. It comes before the Lease of the
	// same poll.
	Applied struct {
		State      AgreedState
		Index      uint64 // index in the log; a state is ignored if an earlier one of the same LogEpoch had a higher index
		AgreedTime time.Duration
		LogEpoch   uint64 // epoch of the log; a state is ignored if an earlier one had a higher epoch
	}
	// Lease is the lease of this co-ordinator, valid until Until by the own clock. Clock drift has already been subtracted.
	Lease struct {
		Until time.Duration
		Valid bool
	}
	// Draining says that this co-ordinator is shutting down: it takes no new session, and hands over offered ones without delay.
	Draining struct{}
	// DrainCancelled revokes a Draining.
	DrainCancelled struct{}
)

func (Arrived) input()        {}
func (QueryEnded) input()     {}
func (ClientGone) input()     {}
func (Applied) input()        {}
func (Lease) input()          {}
func (Draining) input()       {}
func (DrainCancelled) input() {}

// Output is something that the caller must do before the next Step.
type Output interface{ output() }

type (
	// Run starts a query: its parts may be sent to replicas. Seq is its sequence number in its session.
	Run struct {
		Token uint64
		Seq   uint64
	}
	// Reject answers the client that it may safely retry after RetryAfter. Owner is the co-ordinator to retry at, if known.
	Reject struct {
		Token      uint64
		Reason     Reason
		RetryAfter time.Duration
		Owner      string
	}
	// Fail answers the client that the query failed and may have run.
	Fail struct {
		Token  uint64
		Reason Reason
	}
	// Cancel stops a query if it is still running, and answers its client as Reject does.
	Cancel struct {
		Token      uint64
		Reason     Reason
		RetryAfter time.Duration
		Owner      string
	}
	// Propose is an act to be proposed to the raft group now. It is repeated until the agreed state shows the outcome.
	Propose struct{ session.Act }
	// Log is a message for the log.
	Log struct{ Text string }
)

func (Run) output()     {}
func (Reject) output()  {}
func (Fail) output()    {}
func (Cancel) output()  {}
func (Propose) output() {}
func (Log) output()     {}

// Times and limits of an owner.
const (
	// MaxWaitDivisor limits the time that a query waits here, for whatever reason, to 1/MaxWaitDivisor of its remaining time. The
	// rest is for reaching the owner, waiting there once more, and running. With twice the share, a rejected query has only half of its
	// time left; with half of it, a claim would have to be agreed within an eighth.
	MaxWaitDivisor = 4
	// KeyedRetryDivisor sets when the client of a keyed query that may have run is asked to retry: only in the first
	// 1/KeyedRetryDivisor of the window. The rest of the window is for the retry to arrive, wait and run. With twice the share, the repeat may come after the
	// window and take effect again; with half of it, it becomes impossible sooner to cancel a keyed
	// query, which then blocks a hand-over until it ends.
	KeyedRetryDivisor = 2
	// CancelDelay is how long open queries that could be cancelled for a hand-over may go on, so that most of them end by
	// themselves. Twice the delay stops the session for that much longer; with half of it, more queries that had nearly finished
	// are repeated.
	CancelDelay = 100 * time.Millisecond
	// ActRetryInterval is the time between two proposals of an act whose outcome is not known. Twice the interval keeps a frozen
	// session waiting that much longer after a lost proposal; half of it doubles the log entries while the raft group is slow.
	ActRetryInterval = 300 * time.Millisecond
	// ClaimRetention is how long a claim is kept after the last query that waited for it, so that a client that retries finds it.
	// Twice the time lets abandoned claims take more capacity; with half of it, claims that a slow raft group has not agreed yet are
	// ended and made again.
	ClaimRetention = 10 * time.Second
	// AdoptTimeout, in agreed time, is how long a session that is offered or handed to this co-ordinator may wait for slots here
	// before it is declined, since the slots may be on their way. With twice the time, a session that gets no slots is stopped that
	// much longer; with half of it, a slow transfer of slots makes hand-overs fail.
	AdoptTimeout = 2 * time.Second
	// SweepInterval is the time between two reconciliations of all sessions, which take place if the number of sessions known here
	// differs from the number agreed to be here. Such sessions belong to a previous process or an abandoned claim, or were released
	// meanwhile. Each new lease triggers a reconciliation too. Twice the interval lets such a session block its client's next claim
	// for longer; half of it doubles the cost.
	SweepInterval = time.Minute
	// RetryAfterMoved, RetryAfterWait and RetryAfterOverload are the base delays after which a rejected client may retry: if the
	// session is elsewhere, if the query waited for something here, and if there is no capacity. Jitter adds up to the same again.
	// Twice the delays leave clients idle; half of them double the rejections.
	RetryAfterMoved    = 10 * time.Millisecond
	RetryAfterWait     = 200 * time.Millisecond
	RetryAfterOverload = time.Second
	// MaxActsPerStep limits the acts that one Step repeats. The ones that are longest due go first.
	MaxActsPerStep = 1000
)

// Options sets the limits of an Owner. Zero values stand for the defaults.
type Options struct {
	MaxSessions int // sessions known here, by default 100,000; a client may open at most as many as are left for all others
	MaxQueries  int // queries known here, waiting and running, by default 65,536
	MaxWaiting  int // queries that wait in one session, by default 64; further ones are rejected at once
	// Replicas lists the replicas at each of which a slot must be held before a session is adopted; nil requires none.
	Replicas []string
}

func (o Options) withDefaults() Options {
	if o.MaxSessions <= 0 {
		o.MaxSessions = 100_000
	}
	if o.MaxQueries <= 0 {
		o.MaxQueries = 1 << 16
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = 64
	}
	return o
}

// Phase is the state of a session as this co-ordinator knows it.
type Phase uint8

// Phases of a session at this co-ordinator.
const (
	Unknown   Phase = iota // nothing is known of the session
	Claiming               // queries wait for the claim to be agreed
	Active                 // the session is served here
	Quiescing              // the session is offered: no new query starts, and open ones end
	Frozen                 // no query is open, and the hand-over is proposed
	Adopting               // handed here, not adopted yet
	Ending                 // the end of the session is proposed
	Gone                   // owned by another co-ordinator or by none, with parts of earlier queries still at replicas
)

var phases = [...]string{"unknown", "claiming", "pinned", "quiescing", "frozen", "adopting", "ending", "gone"}

// String returns the name of the phase.
func (p Phase) String() string { return phases[p] }
