// Package fleet runs one co-ordinator's membership in the fleet, in parallel with its serving of queries. Node owns one loop
// (loop.go), which makes a step (step.go) after any event and at least ten times a second:
//
//	member ──messages──> mailbox ──────────────┐                 ┌──> view.Step ──> drains applied by drainstore, grants file,
//	raftgroup ──leadership, entries, results───┼──> Node.step ───┤                  polls to the leader, leave to shut down
//	exchange ──endpoint list, load─────────────┤                 ├──> drainctl.Step ──> proposals to the raft group (leader only)
//	SIGHUP ──operators' file───────────────────┘                 └──> sessionpart.Step, lanepart.Step
//	exchange ──queries──> sessiongate, loadshed <──messages── member: outside the loop, in separate goroutines
//
// The loop owns the view, the drain controller and the state of polls; package agreedstate owns the agreed state. The loop never
// waits for disk or network: proposals, checks of the leadership, the grants file and the transfer of leadership run in separate
// goroutines.
//
//	node.go, start.go, shutdown.go  life cycle                        pollclient.go  polls to the leader, and its replies
//	messages.go                     messages between co-ordinators    pollserver.go  the leader's answers to polls
//	voters.go, epoch.go             this co-ordinator's vote          summary.go     log lines
//
// A failure here is logged and never stops the serving of queries: the co-ordinator then serves alone, by its own rules.
package fleet

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"birchcart/internal/fleet/lanepart"
	"birchcart/internal/fleet/sessionpart"

	"birchcart/internal/fleet/drainstore"

	"birchcart/internal/fleet/agreedstate"
	"birchcart/internal/fleet/grantsfile"
	"birchcart/internal/fleet/inventory"
	"birchcart/internal/fleet/mailbox"
	"birchcart/internal/fleet/pollqueue"
	"birchcart/internal/fleet/voters"

	"github.com/sirupsen/logrus"

	"birchcart/internal/exchange"
	"birchcart/internal/fleet/drainctl"
	"birchcart/internal/fleet/member"
	"birchcart/internal/fleet/peerproto"
	"birchcart/internal/fleet/raftgroup"
	"birchcart/internal/fleet/view"
	"birchcart/internal/operator"
	"birchcart/internal/serve"
)

// Intervals, timeouts and limits of a node.
const (
	// StepInterval is the time between steps when no event occurs. Twice as long reports an applied drain up to 0.1 s later; half
	// doubles the work of an idle node.
	StepInterval = 100 * time.Millisecond
	// MinStepInterval is the minimum time between steps that follow events. Twice as long delays the knowledge of an acknowledged grant
	// by as much; half makes a leader that 300 co-ordinators poll step twice as often.
	MinStepInterval = 20 * time.Millisecond
	// FeedInterval is the time between the leader's reads of the members and the endpoint list, and between samples of the local load.
	// Twice as long, the leader notices a lost machine a second later; half doubles the sorting of both lists.
	FeedInterval = time.Second
	// FileReportInterval is the time between attempts to send a newer operators' file to the leader. Twice as long delays a lost
	// report by as much; half doubles the messages while no leader can commit it.
	FileReportInterval = 5 * time.Second
	// MaxProposalsInFlight is the maximum number of proposals in flight. Further ones are dropped, and a later step of the leader
	// proposes them again.
	MaxProposalsInFlight = 32
	// ReadyTimeout is how long the start waits at most, before it listens for clients, until the agreed state is known and applied
	// here: discovery still lists a machine as ready that already has a grant to go. During the wait the leader is polled ten times a
	// second, and gossip announces a new member to the others within it. Twice as long delays a start without a reachable raft group
	// by a second; with half of it, a co-ordinator that gossip has not announced yet may send queries to a machine that may go.
	ReadyTimeout = time.Second
	// StopTimeout is how long Stop may take at most after the drain; a longer stop risks a SIGKILL.
	StopTimeout = 3 * time.Second
)

// Node is one co-ordinator's membership in the fleet. It implements serve.Extension.
type Node struct {
	host     serve.Host
	log      *logrus.Entry
	disabled bool // the operators' file has no fleet section
	name     string
	version  string // program version, published to the other members
	dir      string // data folder as configured at start
	start    time.Time

	member       *member.Members
	raftGroup    *raftgroup.Group // nil: this co-ordinator has no vote
	state        *agreedstate.Copy
	sessions     *sessionpart.Part // nil if the file had no section of pinned sessions at start
	lanes        *lanepart.Part    // nil if the file had no section of lanes at start
	laneReceiver atomic.Pointer[lanepart.Part]
	mailbox      *mailbox.Queue
	drains       *drainstore.Store
	load         *exchange.Load
	writer       *grantsfile.Writer

	// Channels on which goroutines of the node report to the loop.
	proposalResults chan drainctl.ProposalResult
	verifications   chan verification
	voterClosed     chan struct{}
	voterResults    chan voters.Result
	drainApplied    chan struct{} // the exchange has applied a set of drains
	wake            chan struct{}

	ready     chan struct{} // closed once the agreed state is known and applied here and the endpoint list has arrived
	stop      context.CancelFunc
	done      sync.WaitGroup
	isLeaving atomic.Bool

	mu            sync.Mutex
	file          *operator.File // the operators' file in force
	replicas      []exchange.Endpoint
	replicasStale bool // replicas is an old list from disk: good enough to serve, but the leader must not take it as an observation
	inputsChanged bool // file or replicas changed since the last step

	loopState // used only by the goroutine of run
}

// loopState is the state that only the node's loop reads and writes.
type loopState struct {
	view             *view.View
	viewInputs       []view.Input
	controller       *drainctl.Controller
	controllerInputs []drainctl.Input

	term       uint64        // term in which this co-ordinator leads; 0: it does not lead
	index      uint64        // index of the agreed state at the last step
	epoch      uint64        // epoch of the log at the last step
	agreedTime time.Duration // agreed time at the last step
	stepped    bool          // at least one step was made
	halted     bool          // the copy of the agreed state can't apply further entries

	caughtUp    bool // this process received a complete reply of the leader
	hasReplicas bool // the view received the endpoint list
	readyClosed bool // the channel ready is closed

	fileReport     peerproto.FileReport // limits and requests of the local operators' file
	fileReportAt   time.Duration        // when fileReport was last sent to the leader
	agreedRevision int                  // revision of the limits in force; a file of an older revision changes no voters

	ownLoad           inventory.LoadReport
	controllerFedAt   time.Duration // when the controller last received members and replicas
	replicasFedAt     time.Time
	proposalsInFlight int

	grants     []view.Grant
	written    writtenGrants
	summaryAt  time.Duration
	messageLog limitedLog

	pollClientState
	pollServerState
	voterState
}

// pollClientState is the state of the polls that this co-ordinator sends.
type pollClientState struct {
	leader             string // last known leader; "": unknown
	voterNames         []string
	nextVoter          int // index into voterNames of the voter polled next while no leader is known
	lastPoll           peerproto.Poll
	polledTo           string
	answeredSequence   uint64 // sequence number of the newest poll that the leader replied to
	forwardedSequence  uint64 // sequence number of the newest poll that was resent to the leader named in a reply
	unansweredPolls    int    // consecutive polls without a reply of the leader
	pendingAnswer      *view.PollAnswered
	pendingAnswerIndex uint64 // index that the copy must reach before the answer counts as complete
}

// pollServerState is the state of the polls that this co-ordinator answers while it leads.
type pollServerState struct {
	pollQueue pollqueue.Queue
	snapshots peerproto.SnapshotCache
	loads     map[string]inventory.LoadReport
}

// voterState is the state of the raft group's voters and of this co-ordinator's own vote.
type voterState struct {
	voters           map[string]bool // voters of the raft group, maintained by the leader
	votersCheckedAt  time.Duration
	checkingVoters   bool
	closingVoter     bool
	storeLost        bool   // the store or the votes recorded in it are lost: this co-ordinator must not vote
	superseded       bool   // the voter was closed because there is a raft group of a newer epoch
	loggedVoterError string // the last logged error of opening the local voter
}

// New returns a node that does nothing until Start.
func New() *Node { return &Node{} }

// now returns the monotonic time since the node's start.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Start opens the stores and sockets that the operators' file names and starts the loop. Without a fleet section in the file it only
// logs that.
func (n *Node) Start(s serve.Host) error {
	n.host, n.log = s, s.Log.WithField("part", "fleet")
	if s.Operator == nil || s.Operator.Fleet == nil {
		n.disabled = true
		n.log.Info("the operators' file has no fleet section: serving alone")
		return nil
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.init(s)
	if err := n.open(); err != nil {
		return err
	}
	s.Exchange.WatchReplicas(n.setReplicas, n.drainsApplied)
	n.drains.Restore()
	n.load = s.Exchange.Load()
	n.openSessions(ctx, s)
	n.openLanes(ctx, s)
	n.done.Go(func() { n.run(ctx) })
	return nil
}

// AwaitReady waits until the first complete reply of the leader is applied, for ReadyTimeout at most. After the timeout this
// co-ordinator serves like one that is cut off from the raft group.
func (n *Node) AwaitReady(ctx context.Context) {
	if n.disabled {
		return
	}
	timeout := time.NewTimer(ReadyTimeout)
	defer timeout.Stop()
	select {
	case <-n.ready:
	case <-ctx.Done():
	case <-timeout.C:
		n.log.WithField("waited", ReadyTimeout).Warn("the agreed state is not known yet: serving as one that is cut off")
	}
}

// setReplicas stores the endpoint list from the exchange for the next step.
func (n *Node) setReplicas(list []exchange.Endpoint, stale bool) {
	n.mu.Lock()
	n.replicas, n.replicasStale, n.inputsChanged = list, stale, true
	n.mu.Unlock()
	n.wakeUp()
}

// drainsApplied is called by the exchange once it has applied the newest set of drains. Only one set is applied at a time.
func (n *Node) drainsApplied() {
	select {
	case n.drainApplied <- struct{}{}:
	default:
	}
}

// Reload puts a reloaded operators' file in force, or returns why it can't be.
func (n *Node) Reload(f *operator.File) error {
	switch {
	case n.disabled && f.Fleet != nil:
		return errors.New("$.fleet: a fleet section can only be added at a restart")
	case n.disabled:
		return nil
	case f.Fleet == nil:
		return errors.New("$.fleet: is missing; a fleet section can only be removed at a restart")
	case (f.Fleet.Sessions != nil) != (n.sessions != nil):
		return errors.New("$.fleet.sessions: pinned sessions can only be added or removed at a restart")
	case (f.Fleet.Lanes != nil) != (n.lanes != nil):
		return errors.New("$.fleet.lanes: lanes can only be added or removed at a restart")
	}
	if err := sessionpart.Validate(f.Fleet, n.host.Config.Names, &n.host.Config.Policy); err != nil {
		return err
	}
	if err := lanepart.Validate(f, n.host.Config.Names); err != nil {
		return err
	}
	n.mu.Lock()
	oldLanes := n.file.Fleet.Lanes
	n.file, n.inputsChanged = f, true
	n.mu.Unlock()
	n.warnHeaderChange(oldLanes, f.Fleet.Lanes)
	n.wakeUp()
	return nil
}

// ReadKeys reads the keys of the gossip that are in the keys file now, and returns what puts them in force.
func (n *Node) ReadKeys() (apply func() error, err error) {
	if n.disabled {
		return func() error { return nil }, nil
	}
	keys, err := n.member.ReadKeys()
	if err != nil {
		return nil, err
	}
	return func() error {
		if err := n.member.SetKeys(keys); err != nil {
			return err
		}
		n.log.Info("the keys file was read again")
		return nil
	}, nil
}

// wakeUp makes the loop take a step soon.
func (n *Node) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
