// Package fleet runs one co-ordinator's part in the fleet, beside its serving. Node owns one loop (loop.go), which makes a step
// (step.go) after any event and else ten times a second:
//
//	member ──messages──> mailbox ──────────────┐                 ┌──> view.Step ──> drains applied by drainstore, grants file,
//	raftgroup ──leadership, entries, results───┼──> Node.step ───┤                  polls to the leader, leave to shut down
//	exchange ──endpoint list, load─────────────┤                 ├──> drainctl.Step ──> proposals to the raft group (leader only)
//	SIGHUP ──operators' file───────────────────┘                 └──> sessionpart.Step, lanepart.Step
//	exchange ──queries──> sessiongate, loadshed <──messages── member: beside all this, in goroutines of their own
//
// The loop owns the view, the drain controller and what is known of polls; the agreed state is agreedstate's. Nothing waits in the
// loop for disk or network: proposals, checks of the leadership, the grants file and the transfer of leadership have goroutines
// of their own.
//
//	node.go, start.go, shutdown.go  life cycle                        pollclient.go  polls of the leader, and its replies
//	messages.go                     messages between co-ordinators    pollserver.go  the leader's answers to polls
//	voters.go, epoch.go             this co-ordinator's vote          summary.go     the lines of the log
//
// What fails here is logged and never ends the serving: then this co-ordinator serves alone, by its own rules.
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

// Times of a node.
const (
	// StepInterval is between steps without news. Twice as long: a drain is reported as applied up to 0.1 s later; half: twice the
	// work at rest.
	StepInterval = 100 * time.Millisecond
	// MinStepInterval is between steps with news. Twice as long: an acknowledged grant is known so much later; half: a leader that 300
	// co-ordinators poll steps twice as often.
	MinStepInterval = 20 * time.Millisecond
	// FeedInterval is between the leader's looks at members and list, and between samples of the own load. Twice as long:
	// the leader sees what went a second later; half: twice the sorting of both.
	FeedInterval = time.Second
	// FileReportInterval is between attempts to hand a newer file to the leader. Twice as long: a file that got lost comes so much
	// later; half: twice the messages while there is no leader to agree to it.
	FileReportInterval = 5 * time.Second
	// MaxProposalsInFlight are under way; more are left out, and the leader's step proposes them again.
	MaxProposalsInFlight = 32
	// ReadyTimeout is the most that the start waits, before it listens for clients, until what was agreed is known here and
	// applied: discovery still has a machine that may go as ready. It is polled ten times a second meanwhile, and gossip has
	// the others know a new one within it. Twice as long: a start without a raft group is a second later; half: one that
	// gossip has not known of yet may send to a machine that may go.
	ReadyTimeout = time.Second
	// StopTimeout is the most that ending the fleet's part may take after the drain: SIGKILL may come.
	StopTimeout = 3 * time.Second
)

// Node is one co-ordinator's part. It is a serve.Extension.
type Node struct {
	host     serve.Host
	log      *logrus.Entry
	disabled bool // the operators' file has no fleet
	name     string
	version  string // of the program, for the others to see
	dir      string // of the start
	start    time.Time

	member       *member.Members
	raftGroup    *raftgroup.Group // nil: no vote
	state        *agreedstate.Copy
	sessions     *sessionpart.Part // nil without the section of pinned sessions; its start decides
	lanes        *lanepart.Part    // likewise, of the section of lanes
	laneReceiver atomic.Pointer[lanepart.Part]
	mailbox      *mailbox.Queue
	drains       *drainstore.Store
	load         *exchange.Load
	writer       *grantsfile.Writer

	// What goroutines of the node report to the loop.
	proposalResults chan drainctl.ProposalResult
	verifications   chan verification
	voterClosed     chan struct{}
	voterResults    chan voters.Result
	drainApplied    chan struct{} // the exchange goes by a set of drains
	wake            chan struct{}

	ready     chan struct{} // closed once what was agreed is known here and applied, with the endpoint list
	stop      context.CancelFunc
	done      sync.WaitGroup
	isLeaving atomic.Bool

	mu            sync.Mutex
	file          *operator.File // in force
	replicas      []exchange.Endpoint
	replicasStale bool // an old list from disk: what this co-ordinator serves with, and no observation of the leader's
	inputsChanged bool // file or replicas

	loopState // belongs to run
}

// loopState is what the node's loop owns.
type loopState struct {
	view             *view.View
	viewInputs       []view.Input
	controller       *drainctl.Controller
	controllerInputs []drainctl.Input

	term       uint64        // in which this one leads; 0: it does not
	index      uint64        // of what was agreed, as of the last step
	epoch      uint64        // of its log
	agreedTime time.Duration // with it
	stepped    bool          // there was a step
	halted     bool          // the copy of the agreed state can't go on

	caughtUp    bool // a complete answer came to this process
	hasReplicas bool // the view has the endpoint list
	readyClosed bool // ready is closed

	fileReport     peerproto.FileReport // what the own file says
	fileReportAt   time.Duration        // when it was sent to the leader
	agreedRevision int                  // of the limits in force; a file of an older one changes no voters

	ownLoad           inventory.LoadReport
	controllerFedAt   time.Duration // when the controller got members and replicas
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

// pollClientState is of the polls that this co-ordinator sends.
type pollClientState struct {
	leader             string // as far as it is known here
	voterNames         []string
	nextVoter          int // of voterNames, to be asked next while no leader is known
	lastPoll           peerproto.Poll
	polledTo           string
	answeredSequence   uint64 // number of the newest poll with a reply of the leader
	forwardedSequence  uint64 // number of the newest poll that was sent on to whom a reply named
	unansweredPolls    int    // in a row
	pendingAnswer      *view.PollAnswered
	pendingAnswerIndex uint64 // index that the copy must reach before the answer counts as complete
}

// pollServerState is of the polls that this co-ordinator answers while it leads.
type pollServerState struct {
	pollQueue pollqueue.Queue
	snapshots peerproto.SnapshotCache
	loads     map[string]inventory.LoadReport
}

// voterState is of the raft group's voters and this co-ordinator's own vote.
type voterState struct {
	voters           map[string]bool // of the raft group, by the leader
	votersCheckedAt  time.Duration
	checkingVoters   bool
	closingVoter     bool
	storeLost        bool   // the store or its votes: no vote any more
	superseded       bool   // the voter is closed, as there is a raft group of a newer epoch
	loggedVoterError string // why the own voter could not be opened, as logged last
}

// New returns a node that Start starts.
func New() *Node { return &Node{} }

// now is the own monotonic time.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Start opens what the operators' file names. Without its section it does nothing at all.
func (n *Node) Start(s serve.Host) error {
	n.host, n.log = s, s.Log.WithField("part", "fleet")
	if s.Operator == nil || s.Operator.Fleet == nil {
		n.disabled = true
		n.log.Info("the operators' file has no fleet: serving alone")
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

// AwaitReady waits for the first complete answer of the raft group and until what it brought is applied, for ReadyTimeout at the most.
// After that this co-ordinator serves as one that is cut off does.
func (n *Node) AwaitReady(ctx context.Context) {
	if n.disabled {
		return
	}
	most := time.NewTimer(ReadyTimeout)
	defer most.Stop()
	select {
	case <-n.ready:
	case <-ctx.Done():
	case <-most.C:
		n.log.WithField("waited", ReadyTimeout).Warn("what the fleet agreed is not known yet: serving as one that is cut off")
	}
}

// setReplicas takes the list from the exchange.
func (n *Node) setReplicas(list []exchange.Endpoint, stale bool) {
	n.mu.Lock()
	n.replicas, n.replicasStale, n.inputsChanged = list, stale, true
	n.mu.Unlock()
	n.wakeUp()
}

// drainsApplied is the exchange's confirmation that it goes by the newest set of drains. One is applied at a time.
func (n *Node) drainsApplied() {
	select {
	case n.drainApplied <- struct{}{}:
	default:
	}
}

// Reload takes the operators' file that was read again.
func (n *Node) Reload(f *operator.File) error {
	switch {
	case n.disabled && f.Fleet != nil:
		return errors.New("$.fleet: a fleet begins at a start of the program")
	case n.disabled:
		return nil
	case f.Fleet == nil:
		return errors.New("$.fleet: is missing; a fleet ends with the program")
	case (f.Fleet.Sessions != nil) != (n.sessions != nil):
		return errors.New("$.fleet.sessions: pinned sessions begin and end with the program")
	case (f.Fleet.Lanes != nil) != (n.lanes != nil):
		return errors.New("$.fleet.lanes: lanes begin and end with the program")
	}
	if err := sessionpart.Validate(f.Fleet, n.host.Config.Names, &n.host.Config.Policy); err != nil {
		return err
	}
	if err := lanepart.Validate(f, n.host.Config.Names); err != nil {
		return err
	}
	if err := n.member.ReloadKeys(); err != nil {
		return err
	}
	n.mu.Lock()
	was := n.file.Fleet.Lanes
	n.file, n.inputsChanged = f, true
	n.mu.Unlock()
	n.warnHeaderChange(was, f.Fleet.Lanes)
	n.wakeUp()
	return nil
}

func (n *Node) wakeUp() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
