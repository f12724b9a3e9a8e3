// Package sessionowner is one co-ordinator's side of pinned sessions: which queries of a session begin and in which order,
// which wait, when a session is quiet enough to be handed on, and what a client is answered. Pure: time comes in, by the own
// monotonic clock, and what is to be done comes out. What is agreed is read only; acts upon it go out as proposals and
// count when the state shows them.
//
// Each query that Arrived gets exactly one response: a served answer that MayAnswer allowed, or one Reject, Cancel or Fail. Of one
// that came to Run the owner wants to hear Ended, whatever was answered meanwhile: its slots are in use until then.
package sessionowner

import (
	"time"

	"birchcart/internal/fleet/completed"
	"birchcart/internal/fleet/pool"
	"birchcart/internal/fleet/session"
)

// Effect of a query at a replica, as its class says.
type Effect uint8

// Effects of a query.
const (
	Idempotent    Effect = iota // may run any number of times
	Keyed                       // a repeat is dropped within the class's window
	NonIdempotent               // must not run twice
)

// Outcome of a query that Run began.
type Outcome uint8

// Outcomes of a query.
const (
	NotRun     Outcome = iota // nothing of it ran at a replica, and nothing of it will
	MayHaveRun                // without an answer, and some of it may have run
	Done                      // with an answer; it was given if MayAnswer allowed it
)

// Reason of a Reject, Cancel or Fail.
type Reason uint8

// Reasons of a Reject, Cancel or Fail.
const (
	NotOwner         Reason = iota // another co-ordinator owns the session
	NoLease                        // this one may not act now
	WaitTimeout                    // the share of its time that it may wait is over
	Overloaded                     // too much is held here, or by this client
	ShuttingDown                   // this co-ordinator leaves and takes no new session
	SessionMoving                  // it was open when its session was to move
	DeadlineExceeded               // its client's time is over
	OwnershipLost                  // it began under an ownership that has ended
	NoAnswer                       // it ended without an answer
	Duplicate                      // it ran before, or may have
)

var reasons = [...]string{"elsewhere", "no lease", "waited", "full", "going", "moving", "late", "lost", "broken", "repeated"}

// String names the reason.
func (r Reason) String() string { return reasons[r] }

// AgreedState is what an owner reads of the agreed sessions; *session.State is one. It is read during Step and MayAnswer; between
// them it may stay or move on, never back. What comes out of it is kept by copy only.
type AgreedState interface {
	Get(id session.ID) (session.Record, bool)
	// Moves yields the sessions that are offered or handed, ByOwner those of a co-ordinator, each in a fixed order.
	Moves(yield func(session.Record) bool)
	ByOwner(co string, yield func(session.Record) bool)
	Owned(co string) int
	Pool() *pool.Pool
	Limits() (l session.Limits, revision int)
}

// Input is events for a Step. A pointer to one will do as well, and costs no allocation where it is reused.
type Input interface{ input() }

type (
	// Arrived is a query of a pinned class. ID is the hash of what its client calls it, by which one that is not safe is known when it is
	// repeated; zero if it can't be. The Token is the caller's: not used again before the query's Ended, or its
	// response if it did not Run. Deadline, by the own clock, is when its client's time is over. Window is how long after its
	// beginning a repeat of a Keyed one is dropped. Replicas, which the owner holds on to and does not change, names the
	// replicas of which it reserves a slot each. Client is whoever is held to a share of what is bounded here.
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
	// QueryEnded says that a query which Run began is over. What is out of it at replicas may run Until then, by the own clock: as
	// long it counts as open and its slots as in use; 0 for nothing out. Responded: its client has a response already, by the caller; else the owner
	// gives one where it gave none.
	QueryEnded struct {
		Token     uint64
		Outcome   Outcome
		BusyUntil time.Duration
		Responded bool
	}
	// ClientGone says that the client has gone: no response is to be given. One that runs has its QueryEnded still.
	ClientGone struct{ Token uint64 }
	// Applied is the own copy of the agreed state after it moved, at the agreed time. It comes before the Lease of the
	// poll that brought it.
	Applied struct {
		State      AgreedState
		Index      uint64 // of the log; one lower than seen before counts for nothing
		AgreedTime time.Duration
		LogEpoch   uint64 // of the log, for which the same holds
	}
	// Lease is that of this co-ordinator, sure until then by the own clock; the drift is taken off already.
	Lease struct {
		Until time.Duration
		Valid bool
	}
	// Draining says that this co-ordinator goes: it takes no new session and hands over fast what is offered.
	Draining struct{}
	// DrainCancelled takes a Draining back.
	DrainCancelled struct{}
)

func (Arrived) input()        {}
func (QueryEnded) input()     {}
func (ClientGone) input()     {}
func (Applied) input()        {}
func (Lease) input()          {}
func (Draining) input()       {}
func (DrainCancelled) input() {}

// Output is something to be done before the next Step.
type Output interface{ output() }

type (
	// Run begins a query: its parts may go to replicas. Seq is its place in its session.
	Run struct {
		Token uint64
		Seq   uint64
	}
	// Reject answers the client that retrying after RetryAfter is harmless; Owner is where, if known.
	Reject struct {
		Token      uint64
		Reason     Reason
		RetryAfter time.Duration
		Owner      string
	}
	// Fail answers the client that nothing is promised: it may have run.
	Fail struct {
		Token  uint64
		Reason Reason
	}
	// Cancel ends a query that runs, if it still does, and answers its client as Reject does.
	Cancel struct {
		Token      uint64
		Reason     Reason
		RetryAfter time.Duration
		Owner      string
	}
	// Propose is to be proposed to the raft group as of now; it comes again until the agreed state shows what came of it.
	Propose struct{ session.Act }
	// Log is a line for the log.
	Log struct{ Text string }
)

func (Run) output()     {}
func (Reject) output()  {}
func (Fail) output()    {}
func (Cancel) output()  {}
func (Propose) output() {}
func (Log) output()     {}

// Times and bounds of an owner.
const (
	// MaxWaitDivisor is the part of its own time, one of so many, that a query may wait here, for whatever reason. What is left
	// has to do for its way to the owner, and there for waiting once more and for running. Twice the share: one that is rejected has half of its
	// time left; half: a claim has to be agreed in an eighth of it.
	MaxWaitDivisor = 4
	// KeyedRetryDivisor is the part of its window, one of so many, in which a keyed query that may have run is asked to retry:
	// the rest is for coming, waiting and running. Twice the share: the repeat may come behind the window and act again;
	// half: a keyed query blocks a hand-over sooner, until its end.
	KeyedRetryDivisor = 2
	// CancelDelay is how long open queries may go on that could be cancelled for a hand-over, so that the most come to their
	// end by themselves. Twice as long: the session stands still that much longer; half: more answers that were nearly there are asked for again.
	CancelDelay = 100 * time.Millisecond
	// ActRetryInterval is between two proposals of one act whose fate is not known. Twice as long: a lost one costs a frozen session
	// that much more; half: twice the entries while the raft group is slow.
	ActRetryInterval = 300 * time.Millisecond
	// ClaimRetention is how long a claim is known here after the last query that waited for it, so that a client which comes back finds it. Twice as long: more room
	// taken by claims that come to nothing; half: a slow raft group's claims are ended and claimed anew.
	ClaimRetention = 10 * time.Second
	// AdoptTimeout, in agreed time, is how long a session that is offered or handed to this co-ordinator may lack slots here before it is declined: they may be on their way.
	// Twice as long: a session stands still that much longer for nothing; half: hand-overs come back because of a slow shift.
	AdoptTimeout = 2 * time.Second
	// SweepInterval is between two looks at all sessions, if as many are not known here as are agreed to be here: those of a process before,
	// of a claim given up, or released meanwhile. One comes with each new lease too. Twice as long: such a one is in the way of its client's next claim longer; half: twice the cost.
	SweepInterval = time.Minute
	// RetryAfterMoved, RetryAfterWait and RetryAfterOverload are when a rejected client may come again: of a session that is elsewhere, of one
	// that waits for something here, and where there is no capacity. Each is spread by up to as much again. Twice as long: clients idle; half: twice the rejections.
	RetryAfterMoved    = 10 * time.Millisecond
	RetryAfterWait     = 200 * time.Millisecond
	RetryAfterOverload = time.Second
	// MaxActsPerStep bounds the acts that one Step repeats; the longest unrepeated go first.
	MaxActsPerStep = 1000
)

// Options bound an owner. Zero values stand for the defaults.
type Options struct {
	MaxSessions int // sessions known here, 100,000; a client has at most as many as are left for all others
	MaxQueries  int // queries known here, waiting and running, 65,536
	MaxWaiting  int // queries that wait in one session, 64; beyond, they are rejected at once
	// Replicas are those of which a slot each has to be held before a session is adopted; nil asks for none.
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

// Phase of a session as this co-ordinator knows it.
type Phase uint8

// Phases of a session at this co-ordinator.
const (
	Unknown   Phase = iota // nothing is kept of it
	Claiming               // queries wait for the claim
	Active                 // served here
	Quiescing              // offered: nothing new begins, what is open comes to its end
	Frozen                 // nothing is open, the hand is proposed
	Adopting               // handed here, not yet adopted
	Ending                 // its end is proposed
	Gone                   // another's or free, and something of before is still out at replicas
)

var phases = [...]string{"unknown", "claiming", "pinned", "quiescing", "frozen", "adopting", "ending", "gone"}

// String names the phase.
func (p Phase) String() string { return phases[p] }
