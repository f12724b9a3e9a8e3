// Package policy makes the decisions of one co-ordinator: to which replica each part of a query is sent, when
// a part is sent again, and when the query is answered, refused or failed.
//
// It is a pure state machine: Handle takes the current time and a batch of events and returns the actions to
// perform. This file declares its interface and state.go the records that the decisions read. The decisions
// are in the files that deploy/balancer.toml lists under policy, one file per stage, starting with policy.go.
//
// The decisions keep six rules, which comments cite by number:
//
//  1. A query gets exactly one final answer, before its deadline, and no part of it is sent afterwards.
//  2. A part that may have run is not sent again, and its query is not refused, unless its class's Effect
//     allows it.
//  3. No part is sent to a replica that is draining or removed.
//  4. A cold replica gets no more than this instance's share of the load that it can take.
//  5. No answer is given below the floor, and none is marked complete that is not.
//  6. Extra attempts stay within their budget, and the attempts of each part within its limits.
package policy

// Effect says whether a part may run more than once.
type Effect uint8

// The effects of running a part again.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // replicas drop a repeat within the class's Window
	Unsafe               // must never run twice
)

// Class describes one class of queries. All times are in seconds.
type Class struct {
	Promise      float64 // target latency: an answer within it earns the full value
	GiveUp       float64 // total time that a client waits
	LateValue    float64 // share of the value that an answer after Promise earns
	Points       float64 // value of a complete answer
	Effect       Effect
	Window       float64 // Keyed: how long replicas drop repeats
	Need         float64 // share of the parts' weight that makes an answer complete
	Floor        float64 // minimum share of weight for any answer
	FollowUp     int     // number of parts of the second step, 0 if there is none
	PartialValue float64 // value of an answer below Need, to be multiplied by its share over Need
}

// Tenant describes one customer.
type Tenant struct {
	Quota float64 // queries per second that count as within its share, over all co-ordinators
	Share float64 // of all queries
}

// Limits restrict the queries of one route further than rules and settings do; they never allow more than
// these. A field that is 0 restricts nothing. All times are in seconds.
type Limits struct {
	Timeout, StepTimeout float64 // from arrival to the answer; for each step
	AttemptTimeout       float64 // for one attempt
	MaxAttempts          int     // for each part
	NoCopies             bool    // no second copy of a part that is in flight
	CopyAfter            float64 // minimum age of a part's first attempt before its second copy
	BudgetShare          float64 // share of the budget of extra attempts (retries and second copies)
	Floor                float64 // minimum share of weight for any answer
	Yield                bool    // refused first when the instance is nearly full
	PromiseDivisor       float64 // admission divides the promise by this when it checks for queueing
	MaxRetryAfter        float64 // longest retry delay that a refusal names
}

// Config holds the settings of an instance, fixed at its start. All times are in seconds.
type Config struct {
	Seed         uint64
	Resolution   float64 // minimum time between two batches of events
	Classes      []Class
	Tenants      []Tenant
	Coordinators int // number of co-ordinators of this tier
	Ordinal      int // number of this instance among them, from 0
	Zone         int // index of this instance's own zone, -1 if unknown

	MaxAttempts   int     // for each part, 0 for no limit
	MaxOpen       int     // queries and parts held at once, 0 for no limit
	Cancel        bool    // attempts may be cancelled
	Probes        bool    // health-check probes may be sent
	SecondCopies  bool    // a part may have two attempts in flight at once
	RetryAfter    bool    // refusals may name a retry delay
	MaxRetryAfter float64 // the longest that they may name

	// Shard s is held by the replicas of Reach consecutive cells, starting with cell s modulo Cells.
	Cells, Reach, Shards int
	MaxPartsPerCall      int     // number of parts that one call may carry
	CallOverhead         float64 // work of a call in addition to that of its parts

	AnswerSlack      float64 // tolerance of rule 1: time after a query's deadline
	DrainGrace       float64 // tolerance of rule 3: time after a replica began to drain
	ColdCapacity     float64 // share of its capacity that a replica has right after its start
	WarmUp           float64 // time from a replica's start to its full capacity
	OverloadMultiple float64 // load at which a cold replica fails, over its capacity; 0: no limit
	OverloadWindow   float64 // time for which it withstands that load

	ExtraFree, ExtraPerRequest float64 // budget of extra attempts: a fixed number, and more per request
	ExtraWindow                float64 // time window of that budget; 0 if no budget is configured

	MustSubscribe     bool     // the replica list is delivered only after a Watch action
	MaxSubscribeDelay float64  // longest time to a new subscription after one failed
	ValueByWork       bool     // a query's value grows with the work of its parts
	OverShareValue    float64  // share of the value left to a query over its tenant's share
	ReportNames       []string // names of the values in Event.Report
}

// Readiness is the state of a listed replica.
type Readiness uint8

// The states of a listed replica.
const (
	Up Readiness = iota
	Draining
	Removed
)

// Entry describes one replica of the replica list.
type Entry struct {
	Replica  uint64
	SharedID uint64 // number of the replica that is the same at all co-ordinators
	Zone     int
	Cell     int
	State    Readiness
	Size     float64
	Started  float64 // time of its last start, 0 if that was long ago
}

// Outcome is the result of one attempt or probe.
type Outcome uint8

// The outcomes of an attempt or probe.
const (
	OK       Outcome = iota
	Failed           // the replica answered with a failure
	Rejected         // refused by the replica; proves that it never ran
	TimedOut
	Unreachable      // no connection; proves that it never ran
	ConnectionBroken // the connection was lost while the attempt was in flight
	Cancelled        // ended by a Cancel action
	NotSent          // given up before it was sent; proves that it never ran
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events. Each comment names the fields of Event that are set.
const (
	ListChanged  Kind = iota // List, Full, Stale
	ListFailed               // a request for the replica list failed
	QueryArrived             // Query, Group, Class, Tenant, Route, Limits, Deadline, Work, Count, Retry
	PartArrived              // Part, Group, Shard, Weight, Work, Class
	AttemptEnded             // Part, Attempt, Replica, Outcome, Latency, Report
	ProbeEnded               // Replica, Outcome, Latency, Report
	ClientLeft               // Query
	TimerFired               // Handle
)

// Event is something that happened. Kind determines which fields are set.
type Event struct {
	Kind     Kind
	Query    uint64
	Part     uint64
	Group    uint64
	Replica  uint64
	Handle   uint64
	Class    int
	Tenant   int // -1 if there is none
	Route    int // number of the query's route, from 1; 0 if it has none
	Shard    int
	Count    int
	Attempt  int
	Outcome  Outcome
	Full     bool // ListChanged: List replaces the whole previous list
	Stale    bool // ListChanged: List was read from disk
	Retry    bool
	Deadline float64
	Work     float64 // hint of the work to do, 0 if absent
	Weight   float64
	Latency  float64
	List     []Entry
	Report   []float64
	Limits   *Limits // of the query's route, nil for none; kept by reference and never modified
}

// Verb is the kind of an Action.
type Verb uint8

// The verbs of actions. Each comment names the fields of Action that are set.
const (
	Send   Verb = iota // Part, Replica, AttemptTimeout
	Cancel             // Part, Attempt
	Answer             // Query, Complete, Reason
	Refuse             // Query, After, Reason
	Fail               // Query, Reason
	Probe              // Replica
	Timer              // After, Handle
	Watch              // subscribe to the replica list
	Log                // Text
)

// Reason says why a query was ended without a complete answer.
type Reason uint8

// The reasons for a refusal, a failure or an incomplete answer.
const (
	NoReason      Reason = iota
	HoldersBusy          // on arrival: too few of its shards have a holder with free capacity
	RecentLatency        // on arrival: recent parts took too long for it to meet its promise
	OwnBacklog           // on arrival: more parts are in flight than are answered in time
	NearlyFull           // on arrival: this instance is nearly full, and other queries have priority
	PartsLost            // too few parts can still be answered
	OutOfTime            // the time of its client or its step is over
	PromiseMissed        // past its promise, and further waiting gains no value
	BreaksReplica        // replicas went down while they ran its parts
)

var reasonNames = [...]string{
	"", "holders busy", "recent latency", "own backlog", "nearly full",
	"parts lost", "out of time", "promise missed", "breaks replicas",
}

// NotAdmitted reports whether the query was refused on arrival.
func (r Reason) NotAdmitted() bool { return r >= HoldersBusy && r <= NearlyFull }

// String returns the name of the reason, as it is logged.
func (r Reason) String() string { return reasonNames[r] }

// Action is something to do. Verb determines which fields are set.
type Action struct {
	Verb           Verb
	Reason         Reason
	Complete       bool
	Query          uint64
	Part           uint64
	Replica        uint64
	Handle         uint64
	Attempt        int
	AttemptTimeout float64 // 0 for as long as the client waits
	After          float64
	Text           string // of a Log action
}
