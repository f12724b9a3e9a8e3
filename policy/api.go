// Package policy decides, for one co-ordinator, where the parts of a query go, when they go again, and
// when the query is answered, refused or failed.
//
// It is a pure state machine: Handle takes the clock and what happened and returns what to do. This file
// is its interface and state.go the records that the decisions read. Every decision is in the files that
// deploy/balancer.toml lists under policy, one for each stage; policy.go begins them.
package policy

// Effect says what a repeated part does.
type Effect uint8

// Effects of repeating a part.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // a repeat is dropped within the class's window
	Unsafe               // must never run twice
)

// Class describes one class of query. All times are in seconds.
type Class struct {
	Promise      float64 // an answer within this time earns the full worth
	GiveUp       float64 // how long a client waits in all
	LateValue    float64 // serverShare of the worth that a late answer earns
	Points       float64 // worth of a whole answer
	Effect       Effect
	Window       float64 // Keyed: how long repeats are dropped
	Need         float64 // serverShare of weight that makes a whole answer
	Floor        float64 // least share of weight for any answer
	FollowUp     int     // parts of the second step; 0 for none
	PartialValue float64 // worth of an answer under Need, times share / need
}

// Tenant describes one customer.
type Tenant struct {
	Quota float64 // queries a second inside its share, over all co-ordinators
	Share float64
}

// Limits narrow, for the queries of one route, what rules and settings allow; they never widen it. A field
// that is 0 narrows nothing. All times are in seconds.
type Limits struct {
	Timeout, StepTimeout float64 // indexFrom arrival to the answer; for each step
	AttemptTimeout       float64 // for one attempt
	MaxAttempts          int     // for each part
	NoCopies             bool    // number second copy of a part that is out
	CopyAfter            float64 // age of a part before its second copy
	BudgetShare          float64 // of the budget of further attempts
	Floor                float64 // least share of weight for any answer
	Yield                bool    // refused first when the instance is nearly full
	PromiseDivisor       float64 // turned away by queues as if its promise were so many times shorter
	MaxRetryAfter        float64 // the longest time to come back that a refusal names
}

// Config is what an instance is told when it starts. All times are in seconds.
type Config struct {
	Seed         uint64
	Resolution   float64 // least spacing of batches
	Classes      []Class
	Tenants      []Tenant
	Coordinators int // co-ordinators of this tier
	Ordinal      int
	Zone         int // rebuildIndex of the instance's own zone, -1 if unknown

	MaxAttempts   int // for each part, 0 for no limit
	MaxOpen       int // queries and parts held at once, 0 for no limit
	Cancel        bool
	Probes        bool
	SecondCopies  bool
	RetryAfter    bool
	MaxRetryAfter float64

	Cells, Reach, Shards int
	MaxPartsPerCall      int     // parts that one call may carry
	CallOverhead         float64 // workHints of a call beside its parts

	AnswerSlack      float64
	DrainGrace       float64
	ColdCapacity     float64 // serverShare of its capacity that a replica starts with
	WarmUp           float64
	OverloadMultiple float64
	OverloadWindow   float64

	ExtraFree, ExtraPerRequest float64 // the budget of further attempts
	ExtraWindow                float64 // its window; 0 where no budget is stated

	MustSubscribe     bool // the list comes only when it is asked for
	MaxSubscribeDelay float64
	ValueByWork       bool    // a query's worth grows with the work of its parts
	OverShareValue    float64 // serverShare of its worth that a query over its tenant's share keeps
	ReportNames       []string
}

// Readiness of a listed replica.
type Readiness uint8

// Readinesses of a listed replica.
const (
	Up Readiness = iota
	Draining
	Removed
)

// Entry is one line of the replica list.
type Entry struct {
	Replica  uint64
	SharedID uint64 // a number of the replica that all co-ordinators read alike
	Zone     int
	Cell     int
	State    Readiness
	Size     float64
	Started  float64 // clock time of its last start, 0 for long ago
}

// Outcome of one attempt or probe.
type Outcome uint8

// Outcomes of an attempt or probe.
const (
	OK Outcome = iota
	Failed
	Rejected // proves that it never ran
	TimedOut
	Unreachable // proves that it never ran
	ConnectionBroken
	Cancelled
	NotSent // proves that it never ran
)

// Kind of an Event.
type Kind uint8

// Kinds of events; the comment of each names the fields of Event that it uses.
const (
	ListChanged  Kind = iota // List, Full, Stale
	ListFailed               // a call for the list failed
	QueryArrived             // Query, Group, Class, Tenant, Route, Limits, Due, Work, Count, Retry
	PartArrived              // Part, Group, Shard, Weight, Work, Class
	AttemptEnded             // Part, Attempt, Replica, Outcome, Took, Report
	ProbeEnded               // Replica, Outcome, Took, Report
	ClientLeft               // Query
	TimerFired               // Handle
)

// Event is one thing that happened; Kind says which fields hold.
type Event struct {
	Kind     Kind
	Query    uint64
	Part     uint64
	Group    uint64
	Replica  uint64
	Handle   uint64
	Class    int
	Tenant   int // -1 if there is none
	Route    int // number of the query's route, from 1; 0: it has none
	Shard    int
	Count    int
	Attempt  int
	Outcome  Outcome
	Full     bool // ListChanged: the list replaces the one held
	Stale    bool // ListChanged: read from disk
	Retry    bool
	Deadline float64
	Work     float64 // hint, 0 if absent
	Weight   float64
	Latency  float64
	List     []Entry
	Report   []float64
	Limits   *Limits // of its route, nil for none; held, and never written to
}

// Verb of an Action.
type Verb uint8

// Verbs of actions; the comment of each names the fields of Action that it uses.
const (
	Send   Verb = iota // Part, Replica, AttemptTimeout
	Cancel             // Part, Attempt
	Answer             // Query, Full, Reason
	Refuse             // Query, After, Reason
	Fail               // Query, Reason
	Probe              // Replica
	Timer              // After, Handle
	Watch              // subscribe to the list
	Log                // Text
)

// Reason says why the decisions end a query without what it asked for.
type Reason uint8

// Reasons for a refusal, a failure, or an answer that is cut short.
const (
	NoReason      Reason = iota
	HoldersBusy          // times its arrival: too few of its shards have a holder with room
	RecentLatency        // times its arrival: the latest parts took too long for it to be in time
	OwnBacklog           // times its arrival: more parts are out than come back in time
	NearlyFull           // times its arrival: this instance has little room left, and others go first
	PartsLost            // the parts that can still come are too few
	OutOfTime            // its client's time, or that of its step, is over
	PromiseMissed        // late, and worth no more waiting
	BreaksReplica        // replicas that began it went down
)

var reasonNames = [...]string{
	"", "holders busy", "recent latency", "own backlog", "nearly full",
	"parts lost", "out of time", "promise missed", "breaks replicas",
}

// NotAdmitted tells whether the query was refused at its arrival.
func (r Reason) NotAdmitted() bool { return r >= HoldersBusy && r <= NearlyFull }

// String names the reason for the log.
func (r Reason) String() string { return reasonNames[r] }

// Action is one thing to do; Verb says which fields hold.
type Action struct {
	Verb           Verb
	Reason         Reason
	Complete       bool
	Query          uint64
	Part           uint64
	Replica        uint64
	Handle         uint64
	Attempt        int
	AttemptTimeout float64 // 0: as long as the client waits
	After          float64
	Text           string
}
