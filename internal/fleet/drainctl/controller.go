// Package drainctl implements the drain controller of the raft group's leader. From the membership, the replica list and the
// polls it proposes commands for the agreed maintenance state. It is pure: time and events are its input, proposals its output.
// Each command is checked again when it is applied, so that a stale or faulty leader cannot grant what the agreed state forbids.
// While nothing is requested and nothing changes, it proposes nothing.
package drainctl

import (
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/statemachine"
)

// Timeouts, intervals and limits of a leader.
const (
	// MaxDriftDivisor bounds the drift between two clocks to one part in MaxDriftDivisor; silence limits are extended by it. If
	// half as much drift were allowed for, a co-ordinator with a slow clock could still hold its lease after it counts as silent.
	MaxDriftDivisor = 100
	// MaxPendingProposals bounds the proposals whose outcome is unknown; a new one waits for a free place. Twice as many would
	// cause more rejections, because the state changes in the meantime; with half as many, a slow raft group would delay commands
	// that need not wait for each other.
	MaxPendingProposals = 8
	// MaxPendingGrants bounds the grants among the pending proposals.
	MaxPendingGrants = 4
	// ProposalTimeout is the time after which a proposal without an outcome is proposed again, with the same bytes so that it
	// takes effect once. Twice as long would make a lost proposal cost twice the time; with half as long, a slow raft group's log
	// would contain most proposals twice.
	ProposalTimeout = 3 * time.Second
	// MaxProposalAttempts is how often a command is proposed. After that it is dropped, and what is needed then is decided anew.
	MaxProposalAttempts = 3
	// RejectedBackoff is the wait before the same command is proposed again after a rejection. Half as long would double the
	// rejected entries in the log.
	RejectedBackoff = 2 * time.Second
	// ConfigErrorInterval is the time between attempts to propose the content of an invalid file, and between log lines about it.
	// Half as long would log twice as many lines where one is enough; twice as long would delay the acceptance of the file once
	// the agreed state allows it.
	ConfigErrorInterval = time.Minute
	// MinObserveInterval is the time between two observations. Twice as long would delay the detection of a machine that has
	// gone; with half as long, a flapping machine would fill the log twice as fast.
	MinObserveInterval = 500 * time.Millisecond
	// ActiveTickInterval is the time between commands while a grant is active, because its end is detected by agreed time;
	// PendingTickInterval applies while items are only pending. Twice as long would detect ends that much later; half as long
	// would double the entries of an idle plan.
	ActiveTickInterval  = time.Second
	PendingTickInterval = 10 * time.Second
	// MaxObservationSize is the size in bytes of the machines in one observation; larger ones are split into parts,
	// MinObserveInterval apart. With twice as much, one entry would occupy a link between voters for longer; with half as much,
	// observing an inventory of 10,000 machines would take twice as long.
	MaxObservationSize = 384 << 10
	// AcknowledgeSlack is how long a live co-ordinator may take to report that it applies a drain, in addition to the time in
	// which every co-ordinator has either polled or exceeded silenceLimit. After that the grant is withdrawn. With half as long,
	// a slow replica list would cost a grant.
	AcknowledgeSlack = 10 * time.Second
	// StartTimeout is how long the site's tools have to start once a machine's drain is acknowledged. With twice as long, a
	// machine that is never taken out would occupy its place in the plan for longer; with half as long, tools that poll once a
	// minute would miss their turn.
	StartTimeout = 3 * time.Minute
	// InitialGrantBackoff is the wait before a machine is granted again if its grant ended before it was acknowledged; each
	// further attempt doubles it. With half as long, a transient cause such as a slow replica list would use up all attempts of
	// the request.
	InitialGrantBackoff = 15 * time.Second
	// MemberDiscoveryGrace is how long after the election a co-ordinator that is missing from the membership counts as unknown
	// instead of gone, because a leader that has just started does not know all members yet. With half as long, a false failure
	// could pause the plan.
	MemberDiscoveryGrace = 10 * time.Second
	// MaxReorderDelay is the time within which a poll with a lower sequence number counts as reordered; a later one comes from a
	// new process whose clock went back. Twice as long would delay trust in such a process; with half as long, a very late poll
	// would be taken for the newest.
	MaxReorderDelay = 3 * time.Second
	// MaxPollers is the number of co-ordinators whose polls are remembered; the one that has been silent for longest is dropped
	// first.
	MaxPollers = 2048
	// CatchUpDivisor slows agreed time down while the wall clock is behind it: agreed time then advances by one part in
	// CatchUpDivisor less than the monotonic clock, so that the wall clock catches up even if the monotonic clock is fast by the
	// maximum drift. Without the slowdown agreed time would run ever further ahead, and machines would count as warm before they
	// are; with twice the slowdown, ends would be detected that much later.
	CatchUpDivisor = MaxDriftDivisor / 2
	// MinLoadCoverage is the smallest share of the live co-ordinators that must have reported their load recently for the fleet's
	// load to count as known.
	MinLoadCoverage = 0.8
)

// Part is the name of the maintenance state in the state machine. It is stored, so it keeps the name of earlier versions.
const Part = "takeout"

// Member is a co-ordinator as gossip reports it.
type Member struct {
	Name      string
	Zone      string
	Status    maintenance.Status
	Started   time.Duration // since the Unix epoch; 0: unknown
	Voter     bool
	Load      float64 // in average replicas kept busy; valid if LoadKnown
	LoadKnown bool
	LoadAge   time.Duration
}

// Input is an event that Step processes.
type Input interface{ input() }

type (
	// Elected says that this node, named NodeName, leads in Term and that its copy of the state contains all earlier entries.
	Elected struct {
		Term     uint64
		NodeName string
	}
	// Deposed says that this node no longer leads, or is no longer allowed to.
	Deposed struct{}
	// Polled is a poll that was received while leading. Sequence orders the polls of one co-ordinator; 0: unknown. Wall is its
	// sender's wall clock when it was sent, since the Unix epoch; 0: unknown.
	Polled struct {
		From     string
		Sequence uint64
		Index    uint64
		Drains   []peerproto.DrainStatus
		Wall     time.Duration
	}
	// Membership is the complete gossip membership as of now, this node included.
	Membership struct{ Members []Member }
	// ReplicaList is the list of replicas, which discovery last confirmed Age ago. It must be sent again whenever it is
	// confirmed, even if it has not changed: an unconfirmed list ages, and an old list allows no grants.
	ReplicaList struct {
		Replicas []maintenance.Machine
		Age      time.Duration
	}
	// MaintenanceFile is the content of an operators' file, the local one or a follower's. The highest revision counts. If two
	// contents have the same revision, the agreed one counts and the difference is logged.
	MaintenanceFile struct {
		Limits   maintenance.LimitsBody
		Requests maintenance.RequestsBody
	}
	// Applied is the local copy of the agreed state. It is read in this Step and in later ones.
	Applied struct {
		State *maintenance.State
		Index uint64
		Now   time.Duration
		Epoch uint64 // of the log; indexes of different epochs are not comparable
	}
	// ProposalResult is the outcome of a proposal: Err is nil, or why it was rejected or failed.
	ProposalResult struct {
		ID  string
		Err error
	}
)

func (Elected) input()         {}
func (Deposed) input()         {}
func (Polled) input()          {}
func (Membership) input()      {}
func (ReplicaList) input()     {}
func (MaintenanceFile) input() {}
func (Applied) input()         {}
func (ProposalResult) input()  {}

// Output is an action for the caller.
type Output interface{ output() }

type (
	// Propose is a command for the raft group's log. A repeated proposal has the same bytes.
	Propose struct{ Command statemachine.Command }
	// Log is a line for the log.
	Log struct{ Text string }
)

func (Propose) output() {}
func (Log) output()     {}

// Order returns the items to consider for a grant, in order of preference. The first one that may be granted is granted.
type Order func(s *maintenance.State, now time.Duration) []maintenance.Item

// Controller is the drain controller of a node that leads or may become leader. It is not safe for concurrent use.
type Controller struct {
	order Order
	out   []Output

	leading    bool
	mayPropose bool // as of the last Step
	name       string
	term       uint64
	electedAt  time.Duration // monotonic time of the election
	seq        uint64        // number of the latest proposal in the term

	state      *maintenance.State
	index      uint64
	epoch      uint64
	agreedTime time.Duration // latest applied
	now        time.Duration // monotonic time of this Step
	time       time.Duration // estimate of agreed time: the wall clock or, while that is behind, base plus most of the time since baseAt
	base       time.Duration // latest agreed time applied or proposed, first seen at the monotonic time baseAt
	baseAt     time.Duration

	replicas                 []maintenance.Machine // sorted by name, without duplicates
	replicasKnown            bool
	inventory                []maintenance.Machine // replicas and members, sorted by name; nil: to be rebuilt
	replicasAt               time.Duration         // monotonic time at which the list was confirmed
	members                  []Member              // sorted by name, without duplicates
	membersAt                time.Duration
	membersKnown             bool
	limits                   maintenance.LimitsBody
	requests                 maintenance.RequestsBody
	verifiedRequestsRevision int // revision whose requests were found equal to the agreed ones; 0: not compared yet

	clockAhead               bool // the local wall clock is ahead of the majority, since clockAheadAt
	clockAheadAt, handOverAt time.Duration
	clocksUnknown            bool // too few other clocks are known, since clocksUnknownAt
	clocksUnknownAt          time.Duration
	clockBehind              bool // the local wall clock is behind the majority, since clockBehindAt
	clockBehindAt            time.Duration
	clockBehindLogged        bool

	pollers          map[string]*poller
	grantedAt        map[uint64]time.Duration // by fence: monotonic time at which the granted item was first seen in this term
	pending          []pendingProposal        // proposals whose outcome is unknown
	backoffUntil     map[string]time.Duration // by subject: until when a rejected proposal is not repeated
	observed         bool                     // an observation was proposed in this term, last at observedAt
	observedAt       time.Duration
	inventoryChanged bool        // the list, members or agreed state were updated since the inventories were compared
	lastSearch       grantSearch // last search for a grant that found none
}

// grantSearch records at which index and time a search for a grant found none.
type grantSearch struct {
	index uint64
	at    time.Duration
	valid bool
}

// New returns a controller. Without an order it uses ByRequestTime.
func New(order Order) *Controller {
	if order == nil {
		order = ByRequestTime
	}
	return &Controller{order: order}
}

// Step processes events at the monotonic time now, when the wall clock shows wall since the Unix epoch, and returns what to do.
// The result is valid until the next call. The agreed state of the latest Applied must not change during the call.
func (c *Controller) Step(now, wall time.Duration, in []Input) []Output {
	c.out = c.out[:0]
	c.now = max(now, c.now)
	for _, i := range in {
		c.handle(i)
	}
	projected := max(c.base+(c.now-c.baseAt)-(c.now-c.baseAt)/CatchUpDivisor, 0)
	wall, wait := c.chooseClock(wall, projected)
	c.time = max(wall, projected)
	if c.mayPropose = c.leading && c.state != nil && !wait && c.mayUseClock(wall, projected); !c.mayPropose {
		return c.out
	}
	c.retryProposals()
	c.proposeFile()
	limits, revision := c.state.Limits()
	if revision == 0 {
		return c.out
	}
	open := c.state.Open()
	c.proposeAcknowledged(limits, open)
	c.proposeObserve(limits, open)
	c.proposeGrant(limits, open)
	c.proposeTick(open)
	return c.out
}

func (c *Controller) handle(in Input) {
	switch in := in.(type) {
	case Elected:
		if c.leading && in.Term <= c.term {
			return
		}
		if in.Term != c.term {
			c.seq = 0
		}
		c.reset()
		c.leading, c.term, c.name, c.electedAt = true, in.Term, in.NodeName, c.now
		c.log("leading in term %d", in.Term)
	case Deposed:
		if c.leading {
			c.log("leads no more; %d proposals may still act", len(c.pending))
		}
		c.leading = false
		c.reset()
	case Polled:
		if c.leading {
			c.handlePoll(in)
		}
	case Membership:
		c.members, c.membersAt, c.membersKnown, c.inventoryChanged = sortedMembers(in.Members), c.now, true, true
		c.inventory = nil
	case ReplicaList:
		c.replicas, c.replicasAt, c.replicasKnown, c.inventoryChanged = sortedMachines(in.Replicas), c.now-in.Age, true, true
		c.inventory = nil
	case MaintenanceFile:
		if in.Limits.Revision > 0 && in.Limits.Revision >= c.limits.Revision {
			c.limits = in.Limits
		}
		if in.Requests.Revision > 0 && in.Requests.Revision >= c.requests.Revision {
			c.requests, c.verifiedRequestsRevision = in.Requests, 0
		}
	case Applied:
		if in.State != nil && in.Epoch > c.epoch {
			c.epoch, c.index, c.agreedTime, c.base, c.baseAt, c.inventoryChanged = in.Epoch, 0, 0, 0, c.now, true
			c.lastSearch = grantSearch{}
		}
		if in.State != nil && in.Epoch == c.epoch && in.Index >= c.index {
			c.inventoryChanged = c.inventoryChanged || in.Index != c.index
			c.state, c.index, c.agreedTime = in.State, in.Index, max(c.agreedTime, in.Now)
			c.advanceAgreedTime(in.Now)
		}
	case ProposalResult:
		c.handleResult(in)
	}
}

// advanceAgreedTime records an agreed time that was applied or proposed.
func (c *Controller) advanceAgreedTime(agreed time.Duration) {
	if agreed > c.base {
		c.base, c.baseAt = agreed, c.now
	}
}

// reset clears what is valid for one term only.
func (c *Controller) reset() {
	c.pollers = map[string]*poller{}
	c.grantedAt = map[uint64]time.Duration{}
	c.backoffUntil = map[string]time.Duration{}
	c.pending, c.observed, c.lastSearch, c.inventoryChanged = nil, false, grantSearch{}, true
	c.clockAhead, c.clocksUnknown, c.clockBehind = false, false, false
}

func (c *Controller) log(format string, a ...any) {
	c.out = append(c.out, Log{fmt.Sprintf(format, a...)})
}

// Check returns an error if an invariant is violated: P1 a controller that does not lead has no pending proposals and no pollers,
// P2 the number of pending proposals is within its limits, P3 the number of pollers is within its limit, P4 each pending proposal
// is of the current term.
func (c *Controller) Check() error {
	if !c.leading && (len(c.pending) > 0 || len(c.pollers) > 0) {
		return fmt.Errorf("P1: not leading, but has %d pending proposals and %d pollers", len(c.pending), len(c.pollers))
	}
	if n := c.countPending("grant "); len(c.pending) > MaxPendingProposals || n > MaxPendingGrants {
		return fmt.Errorf("P2: %d proposals are pending, %d of them grants; at most %d and %d are allowed", len(c.pending), n, MaxPendingProposals, MaxPendingGrants)
	}
	if len(c.pollers) > MaxPollers {
		return fmt.Errorf("P3: the polls of %d co-ordinators are remembered, at most %d are allowed", len(c.pollers), MaxPollers)
	}
	for _, p := range c.pending {
		if p.term != c.term {
			return errors.New("P4: proposal " + p.command.ID + " is not of this term")
		}
	}
	return nil
}

// Time returns the agreed time for a command that is proposed outside Step, as of the latest Step. It returns false while nothing
// may be proposed because this node does not lead or its clock is not usable.
func (c *Controller) Time() (time.Duration, bool) { return c.time, c.leading && c.mayPropose }

// SilentFor returns how long nothing has been received from a co-ordinator while this node leads: since its last poll or since
// the election.
func (c *Controller) SilentFor(name string) time.Duration { return c.silentFor(name) }
