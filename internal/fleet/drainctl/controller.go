// Package drainctl is the drain controller of the raft group's leader: from the membership, the replica list and the polls it
// proposes commands for the agreed maintenance order. Pure: time and events come in, proposals go out. Whatever it proposes is
// checked again when it is applied, so a stale or wrong leader cannot grant what the agreed state forbids. At rest, with nothing requested, it proposes nothing.
package drainctl

import (
	"errors"
	"fmt"
	"time"

	"birchcart/internal/fleet/maintenance"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/statemachine"
)

// Times and bounds of a leader.
const (
	// MaxDriftDivisor bounds by how much two clocks may run apart, as one part of so many: silence is counted longer by it. Half as much
	// drift allowed for: a co-ordinator with a slow clock may keep its lease after it is counted as silent.
	MaxDriftDivisor = 100
	// MaxPendingProposals is the bound on proposals whose outcome is not known. Twice as many: more that are rejected since the state moved
	// meanwhile; half: a slow raft group holds up words that need not wait for each other. A new one waits for a free place.
	MaxPendingProposals = 8
	// MaxPendingGrants is the bound on the grants among them.
	MaxPendingGrants = 4
	// ProposalTimeout is until a proposal of which nothing came is proposed again, by the same bytes, so that it acts once.
	// Twice as long: a lost one costs as much more; half: a slow raft group's log has most of them twice.
	ProposalTimeout = 3 * time.Second
	// MaxProposalAttempts is how often one is proposed. After that it is given up, and what is wanted then is decided anew.
	MaxProposalAttempts = 3
	// RejectedBackoff is until the same is proposed again after a rejection. Half as long: twice the rejected entries in the log.
	RejectedBackoff = 2 * time.Second
	// ConfigErrorInterval is between attempts at, and lines about, what a file says wrongly. Half as long: twice the lines of
	// which one is enough; twice: a mended leader's state takes the file so much later.
	ConfigErrorInterval = time.Minute
	// MinObserveInterval is between two observations. Twice as long: a machine that went is known so much later; half as
	// long: a flapping machine fills the log twice as fast.
	MinObserveInterval = 500 * time.Millisecond
	// ActiveTickInterval is between commands while a grant lives, as its ends are found by agreed time; PendingTickInterval while something
	// only waits. Twice as long: ends are found so much later; half: twice the entries at rest of a plan.
	ActiveTickInterval  = time.Second
	PendingTickInterval = 10 * time.Second
	// MaxObservationSize is the bytes of machines in one observation; more are observed in parts, MinObserveInterval apart. Twice
	// as much: a link between voters is held for longer by one entry; half: an inventory of 10,000 takes twice as long to observe.
	MaxObservationSize = 384 << 10
	// AcknowledgeSlack is how long, after the time in which any co-ordinator has either polled or is silent for long, a live one
	// may take to say that it applies a drain. Then the grant is withdrawn. Half as long: a slow list costs a grant.
	AcknowledgeSlack = 10 * time.Second
	// StartTimeout is how long the site's tools have to begin, once a machine's drain is acknowledged. Twice as long: a place in the plan is
	// held so much longer by who does not come; half as long: tools that look once a minute miss their turn.
	StartTimeout = 3 * time.Minute
	// InitialGrantBackoff is until a machine whose grant ended before it was acknowledged is granted again, doubled each time after. Half
	// as long: a cause that passes, as a list that is slow, uses up all the times that it is requested again.
	InitialGrantBackoff = 15 * time.Second
	// MemberDiscoveryGrace is how long after the election a co-ordinator without any news counts as unknown, not as gone: a
	// leader that has just started does not know all members yet. Half as long: a false failure may pause the plan.
	MemberDiscoveryGrace = 10 * time.Second
	// MaxReorderDelay is within how long a poll of a lower number is one that was overtaken; later it is of a new process whose
	// clock went back. Twice as long: such a one is believed so much later; half: a very late poll is taken for the newest.
	MaxReorderDelay = 3 * time.Second
	// MaxPollers is the co-ordinators whose polls are remembered; the one silent for longest goes first.
	MaxPollers = 2048
	// CatchUpDivisor: while the own wall's clock is behind agreed time, that goes on slower than the own monotonic clock, by one
	// part of so many, so that the wall catches up though the monotonic one be fast by the drift. At its full pace it
	// would carry agreed time ever further ahead, and machines would count as warm before they are; twice as slow, ends
	// are found later by so much more.
	CatchUpDivisor = MaxDriftDivisor / 2
	// MinLoadCoverage is the least share of the live co-ordinators that have reported their load lately, for it to be known.
	MinLoadCoverage = 0.8
)

// Part is the name of the maintenance order in the state machine; it is stored, so it keeps the name of earlier versions.
const Part = "takeout"

// Member is a co-ordinator by gossip.
type Member struct {
	Name      string
	Zone      string
	Status    maintenance.Status
	Started   time.Duration // since the Unix epoch; 0: not known
	Voter     bool
	Load      float64 // mean replicas that it keeps busy, if LoadKnown
	LoadKnown bool
	LoadAge   time.Duration
}

// Input is an event for a Step.
type Input interface{ input() }

type (
	// Elected says that this process, by the name Own, leads in the term, with its own copy caught up with all before it.
	Elected struct {
		Term     uint64
		NodeName string
	}
	// Deposed says that it no longer does, or may not.
	Deposed struct{}
	// Polled is a poll that was received while leading. No orders those of one co-ordinator; 0: not known. Wall is what its
	// sender's clock showed when it was sent, since the Unix epoch; 0: not known.
	Polled struct {
		From     string
		Sequence uint64
		Index    uint64
		Drains   []peerproto.DrainStatus
		Wall     time.Duration
	}
	// Membership is the gossip membership, whole and with the own name, as they are now.
	Membership struct{ Members []Member }
	// ReplicaList is the list of replicas as discovery last confirmed it, so long ago. It must come again when confirmed,
	// though nothing changed: what is not confirmed grows old and grants nothing.
	ReplicaList struct {
		Replicas []maintenance.Machine
		Age      time.Duration
	}
	// MaintenanceFile is what an operators' file says, the own one or a follower's. The newest revision of either counts; of two
	// that differ under one number, the agreed one, and a line tells.
	MaintenanceFile struct {
		Limits   maintenance.LimitsBody
		Requests maintenance.RequestsBody
	}
	// Applied is the own copy of the agreed state. It is read in this Step and those after it.
	Applied struct {
		State *maintenance.State
		Index uint64
		Now   time.Duration
		Epoch uint64 // of the log; an index of another era says nothing
	}
	// ProposalResult says what came of a proposal: nil, or why it was rejected or failed.
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

// Output is something to be done.
type Output interface{ output() }

type (
	// Propose is a command for the raft group's log. One that comes again has the same bytes.
	Propose struct{ Command statemachine.Command }
	// Log is a line for the log.
	Log struct{ Text string }
)

func (Propose) output() {}
func (Log) output()     {}

// Order gives the items that may be asked about, in the order in which they should go. The first that may go is granted.
type Order func(s *maintenance.State, now time.Duration) []maintenance.Item

// Controller is a leader's, or one that may become it. Not for use by several goroutines at once.
type Controller struct {
	order Order
	out   []Output

	leading    bool
	mayPropose bool // propose, as of the last Step
	name       string
	term       uint64
	electedAt  time.Duration // own time of the election
	seq        uint64        // of the newest proposal in the term

	state      *maintenance.State
	index      uint64
	epoch      uint64
	agreedTime time.Duration // as applied
	now        time.Duration // own monotonic, of this Step
	time       time.Duration // agreed time as far as known: the wall's, or while that is behind, base and most of what passed since
	base       time.Duration // the newest agreed time that was applied or proposed, first at the own time baseAt
	baseAt     time.Duration

	replicas                 []maintenance.Machine // by name, each once
	replicasKnown            bool
	inventory                []maintenance.Machine // of list and members, by name; nil: one of both came since
	replicasAt               time.Duration         // own time at which it was confirmed
	members                  []Member              // by name, each once
	membersAt                time.Duration
	membersKnown             bool // members came
	limits                   maintenance.LimitsBody
	requests                 maintenance.RequestsBody
	verifiedRequestsRevision int // revision under which asks says what was agreed; 0: not compared yet

	clockAhead               bool // the own wall's clock is ahead of the others', since clockAheadAt
	clockAheadAt, handOverAt time.Duration
	clocksUnknown            bool // too few others' clocks are known, since clocksUnknownAt
	clocksUnknownAt          time.Duration
	clockBehind              bool // the own wall's clock is behind the others', since clockBehindAt; a line says so
	clockBehindAt            time.Duration
	clockBehindLogged        bool

	pollers          map[string]*poller
	grantedAt        map[uint64]time.Duration // by fence, own time since when a granted item is known in this term
	pending          []pendingProposal        // those whose end is not known
	backoffUntil     map[string]time.Duration // what was rejected, by what it is, and until when it is not proposed again
	observed         bool                     // an observation was proposed in this term, at observedAt
	observedAt       time.Duration
	inventoryChanged bool        // lists, members or the agreed state came since the inventories were compared
	lastSearch       grantSearch // of the last search for a grant that found none
}

type grantSearch struct {
	index uint64
	at    time.Duration
	valid bool
}

// New makes one. Without an order, reserved ones go first, then urgent ones, then by asking.
func New(order Order) *Controller {
	if order == nil {
		order = ByRequestTime
	}
	return &Controller{order: order}
}

// Step takes events at the own monotonic time now, when the wall's clock shows wall since the Unix epoch, and returns what
// to propose. The result holds until the next call. The agreed state of the newest Applied must not change meanwhile.
func (c *Controller) Step(now, wall time.Duration, in []Input) []Output {
	c.out = c.out[:0]
	c.now = max(now, c.now)
	for _, i := range in {
		c.handle(i)
	}
	pace := max(c.base+(c.now-c.baseAt)-(c.now-c.baseAt)/CatchUpDivisor, 0)
	wall, wait := c.chooseClock(wall, pace)
	c.time = max(wall, pace)
	if c.mayPropose = c.leading && c.state != nil && !wait && c.mayUseClock(wall, pace); !c.mayPropose {
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
		c.log("leads in term %d", in.Term)
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

// advanceAgreedTime takes an agreed time that was applied or proposed.
func (c *Controller) advanceAgreedTime(agreed time.Duration) {
	if agreed > c.base {
		c.base, c.baseAt = agreed, c.now
	}
}

// reset forgets what holds for one term only.
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

// Check names what does not hold: P1 one that does not lead waits for proposals or counts silence, P2 more proposals
// wait than may, P3 more polls are remembered than may, P4 a proposal's id is not of this term.
func (c *Controller) Check() error {
	if !c.leading && (len(c.pending) > 0 || len(c.pollers) > 0) {
		return fmt.Errorf("P1: leads no more, and waits for %d proposals and counts the silence of %d", len(c.pending), len(c.pollers))
	}
	if n := c.countPending("grant "); len(c.pending) > MaxPendingProposals || n > MaxPendingGrants {
		return fmt.Errorf("P2: %d proposals wait, %d of grants; %d and %d at most", len(c.pending), n, MaxPendingProposals, MaxPendingGrants)
	}
	if len(c.pollers) > MaxPollers {
		return fmt.Errorf("P3: the polls of %d are remembered, %d at most", len(c.pollers), MaxPollers)
	}
	for _, p := range c.pending {
		if p.term != c.term {
			return errors.New("P4: proposal " + p.command.ID + " is not of this term")
		}
	}
	return nil
}

// Time is the agreed time for a command that is proposed beside those of Step, as of the newest Step; false while nothing
// may be proposed: this one does not lead, or its clock is not one to go by.
func (c *Controller) Time() (time.Duration, bool) { return c.time, c.leading && c.mayPropose }

// SilentFor is how long nothing was heard of a co-ordinator while this one leads: since its last poll, or the own election.
func (c *Controller) SilentFor(name string) time.Duration { return c.silentFor(name) }
