// Package sessionowner is one co-ordinator's side of pinned sessions: which queries of a session begin and in which order,
// which wait, when a session is quiet enough to be handed on, and what a client is told. Pure: time comes in, by the own
// monotonic clock, and what is to be done comes out. What is agreed is read only; acts upon it go out as proposals and
// count when the state shows them.
//
// Each query that Arrived gets exactly one word: a served answer that MayAnswer allowed, or one Refuse, Recall or Fail. Of one
// that came to Run the keeper wants to hear Ended, whatever was told meanwhile: its slots are in use until then.
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
	Safe   Effect = iota // may run any number of times
	Keyed                // a repeat is dropped within the class's window
	Unsafe               // must not run twice
)

// Outcome of a query that Run began.
type Outcome uint8

// Outcomes of a query.
const (
	NotRun     Outcome = iota // nothing of it ran at a replica, and nothing of it will
	MayHaveRun                // without an answer, and some of it may have run
	Done                      // with an answer; it was given if MayAnswer allowed it
)

// Reason of a Refuse, Recall or Fail.
type Reason uint8

// Reasons of a Refuse, Recall or Fail.
const (
	Elsewhere Reason = iota // another co-ordinator owns the session
	NoLease                 // this one may not act now
	Waited                  // the share of its time that it may wait is over
	Full                    // too much is held here, or by this client
	Going                   // this co-ordinator leaves and takes no new session
	Moving                  // it was open when its session was to move
	Late                    // its client's time is over
	Lost                    // it began under an ownership that has ended
	Broken                  // it ended without an answer
	Repeated                // it ran before, or may have
)

var reasons = [...]string{"elsewhere", "no lease", "waited", "full", "going", "moving", "late", "lost", "broken", "repeated"}

// String names the reason.
func (r Reason) String() string { return reasons[r] }

// Reader is what a keeper reads of the agreed sessions; *session.Book is one. It is read during Step and MayAnswer; between
// them it may stay or move on, never back. What comes out of it is kept by copy only.
type Reader interface {
	Get(id session.ID) (session.Record, bool)
	// Flights yields the sessions that are offered or handed, ByOwner those of a co-ordinator, each in a fixed order.
	Flights(yield func(session.Record) bool)
	ByOwner(co string, yield func(session.Record) bool)
	Owned(co string) int
	Pool() *pool.Pool
	Limits() (l session.Limits, revision int)
}

// Input is news for a Step. A pointer to one will do as well, and costs no allocation where it is reused.
type Input interface{ input() }

type (
	// Arrived is a query of a pinned class. ID is the hash of what its client calls it, by which one that is not safe is known when it is
	// repeated; zero if it can't be. The Token is the caller's: not used again before the query's Ended, or its
	// word if it did not Run. Due, by the own clock, is when its client's time is over. Window is how long after its
	// beginning a repeat of a Keyed one is dropped. Needs, which the keeper holds on to and does not change, names the
	// replicas of which it reserves a slot each. Client is whoever is held to a share of what is bounded here.
	Arrived struct {
		Token   uint64
		Session session.ID
		Client  uint64
		ID      completed.ID
		Effect  Effect
		Lane    uint8
		Due     time.Duration
		Window  time.Duration
		Needs   []string
	}
	// Ended says that a query which Run began is over. What is out of it at replicas may run Until then, by the own clock: as
	// long it counts as open and its slots as in use; 0 for nothing out. Told: its client has a word already, by the caller; else the keeper
	// gives one where it gave none.
	Ended struct {
		Token   uint64
		Outcome Outcome
		Until   time.Duration
		Told    bool
	}
	// Left says that the client has gone: no word is to be given. One that runs has its Ended still.
	Left struct{ Token uint64 }
	// Applied is the own copy of the agreed state after it moved, at the agreed time. It comes before the Lease of the
	// poll that brought it.
	Applied struct {
		Book   Reader
		Index  uint64 // of the log; one lower than seen before counts for nothing
		Agreed time.Duration
		Era    uint64 // of the log, for which the same holds
	}
	// Lease is that of this co-ordinator, sure until then by the own clock; the drift is taken off already.
	Lease struct {
		Until time.Duration
		Sure  bool
	}
	// Leaving says that this co-ordinator goes: it takes no new session and hands over fast what is offered.
	Leaving struct{}
	// Staying takes a Leaving back.
	Staying struct{}
)

func (Arrived) input() {}
func (Ended) input()   {}
func (Left) input()    {}
func (Applied) input() {}
func (Lease) input()   {}
func (Leaving) input() {}
func (Staying) input() {}

// Output is something to be done before the next Step.
type Output interface{ output() }

type (
	// Run begins a query: its parts may go to replicas. Seq is its place in its session.
	Run struct {
		Token uint64
		Seq   uint64
	}
	// Refuse tells the client that coming again After that time is harmless; Owner is where, if known.
	Refuse struct {
		Token uint64
		Why   Reason
		After time.Duration
		Owner string
	}
	// Fail tells the client that nothing is promised: it may have run.
	Fail struct {
		Token uint64
		Why   Reason
	}
	// Recall ends a query that runs, if it still does, and tells its client as Refuse does.
	Recall struct {
		Token uint64
		Why   Reason
		After time.Duration
		Owner string
	}
	// Act is to be proposed to the raft group as of now; it comes again until the agreed state shows what came of it.
	Act struct{ session.Act }
	// Log is a line for the log.
	Log struct{ Text string }
)

func (Run) output()    {}
func (Refuse) output() {}
func (Fail) output()   {}
func (Recall) output() {}
func (Act) output()    {}
func (Log) output()    {}

// Times and bounds of a keeper.
const (
	// WaitShare is the part of its own time, one of so many, that a query may wait here, for whatever reason. What is left
	// has to do for its way to the owner, and there for waiting once more and for running. Twice the share: one that is refused has half of its
	// time left; half: a claim has to be agreed in an eighth of it.
	WaitShare = 4
	// KeyedShare is the part of its window, one of so many, in which a keyed query that may have run is told to come again:
	// the rest is for coming, waiting and running. Twice the share: the repeat may come behind the window and act again;
	// half: a keyed query blocks a hand-over sooner, until its end.
	KeyedShare = 2
	// RecallAfter is how long open queries may go on that could be recalled for a hand-over, so that the most come to their
	// end by themselves. Twice as long: the session stands still that much longer; half: more answers that were nearly there are asked for again.
	RecallAfter = 100 * time.Millisecond
	// ActAgain is between two proposals of one act whose fate is not known. Twice as long: a lost one costs a frozen session
	// that much more; half: twice the entries while the raft group is slow.
	ActAgain = 300 * time.Millisecond
	// ClaimKeep is how long a claim is known here after the last query that waited for it, so that a client which comes back finds it. Twice as long: more room
	// taken by claims that come to nothing; half: a slow raft group's claims are ended and claimed anew.
	ClaimKeep = 10 * time.Second
	// AdoptWait, in agreed time, is how long a session that is offered or handed to this co-ordinator may lack slots here before it is declined: they may be on their way.
	// Twice as long: a session stands still that much longer for nothing; half: hand-overs come back because of a slow shift.
	AdoptWait = 2 * time.Second
	// SweepEvery is between two looks at all sessions, if as many are not known here as are agreed to be here: those of a process before,
	// of a claim given up, or released meanwhile. One comes with each new lease too. Twice as long: such a one is in the way of its client's next claim longer; half: twice the cost.
	SweepEvery = time.Minute
	// BackSoon, BackLater and BackFull are when a refused client may come again: of a session that is elsewhere, of one
	// that waits for something here, and where there is no room. Each is spread by up to as much again. Twice as long: clients idle; half: twice the refusals.
	BackSoon  = 10 * time.Millisecond
	BackLater = 200 * time.Millisecond
	BackFull  = time.Second
	// ActsMost bounds the acts that one Step repeats; the longest unrepeated go first.
	ActsMost = 1000
)

// Options bound a keeper. Zero values stand for the defaults.
type Options struct {
	SessionsMost int // sessions known here, 100,000; a client has at most as many as are left for all others
	QueriesMost  int // queries known here, waiting and running, 65,536
	WaitsMost    int // queries that wait in one session, 64; beyond, they are refused at once
	// Replicas are those of which a slot each has to be held before a session is adopted; nil asks for none.
	Replicas []string
}

func (o Options) filled() Options {
	if o.SessionsMost <= 0 {
		o.SessionsMost = 100_000
	}
	if o.QueriesMost <= 0 {
		o.QueriesMost = 1 << 16
	}
	if o.WaitsMost <= 0 {
		o.WaitsMost = 64
	}
	return o
}

// Phase of a session as this co-ordinator knows it.
type Phase uint8

// Phases of a session at this co-ordinator.
const (
	Unknown   Phase = iota // nothing is kept of it
	Claiming               // queries wait for the claim
	Pinned                 // served here
	Quiescing              // offered: nothing new begins, what is open comes to its end
	Frozen                 // nothing is open, the hand is proposed
	Adopting               // handed here, not yet adopted
	Ending                 // its end is proposed
	Gone                   // another's or free, and something of before is still out at replicas
)

var phases = [...]string{"unknown", "claiming", "pinned", "quiescing", "frozen", "adopting", "ending", "gone"}

// String names the phase.
func (p Phase) String() string { return phases[p] }
