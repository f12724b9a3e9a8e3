// Package fleet runs one co-ordinator's part in the fleet, beside its serving. Who talks to whom:
//
//	member ──letters──> mail ──┐                        ┌──> view.Step ──> drains laid over the exchange's list, grants file,
//	council ──changes, news────┼──> Node.run: one step ─┤                  polls to the leader, leave to go
//	exchange ──list, load──────┤    after any news, or   └──> drainctl.Step ──> proposals to the raft group (only while it leads)
//	SIGHUP ──operators' file───┘    ten times a second
//	exchange ──queries──> loadshed <──letters── member: lanes, beside all this (shedding.go); what is in force they read of the copy
//
// One goroutine (run) owns view, lead and what is known of polls; the agreed state is its copy's (copy.go). Nothing waits
// here for disk or network: proposals, checks of the lead, the grants file and the hand-over have goroutines of their own.
//
//	start.go  opens what the operators' file names          polls.go  polls, words and asks between co-ordinators
//	step.go   news to the pure parts, and what comes out    grants.go the site's file
//	asked.go  the operators' file as limits and requests    tell.go   the lines of the log
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
	// StepEvery is between steps without news. Twice as long: a drain is said as laid up to 0.1 s later; half: twice the
	// work at rest.
	StepEvery = 100 * time.Millisecond
	// StepSoonest is between steps with news. Twice as long: a told grant is known so much later; half: a leader that 300
	// co-ordinators poll steps twice as often.
	StepSoonest = 20 * time.Millisecond
	// FeedEvery is between the leader's looks at members and list, and between samples of the own load. Twice as long:
	// the leader sees what went a second later; half: twice the sorting of both.
	FeedEvery = time.Second
	// AskEvery is between attempts to hand a newer file to the leader. Twice as long: a file that got lost comes so much
	// later; half: twice the messages while there is no leader to agree to it.
	AskEvery = 5 * time.Second
	// ProposingMost are under way; more are left out, and the leader's step proposes them again.
	ProposingMost = 32
	// AwaitMost is the most that the start waits, before it listens for clients, until what was agreed is known here and
	// laid: discovery still has a machine that may go as ready. It is polled ten times a second meanwhile, and gossip has
	// the others know a new one within it. Twice as long: a start without a raft group is a second later; half: one that
	// gossip has not told of yet may send to a machine that may go.
	AwaitMost = time.Second
	// StopTime is the most that ending the fleet's part may take after the drain: SIGKILL may come.
	StopTime = 3 * time.Second
)

// Node is one co-ordinator's part. It is a serve.Beside.
type Node struct {
	s    serve.Host
	log  *logrus.Entry
	off  bool // the operators' file has no fleet
	name string
	// of the program, for the others to see
	version string
	dir     string // of the start

	member    *member.Members
	raftGroup *raftgroup.Group // nil: no vote
	state     *agreedstate.Copy
	// nil without the section of pinned sessions; its start decides
	sessions     *sessionpart.Part
	lanes        *lanepart.Part // likewise, of the section of lanes
	laneReceiver atomic.Pointer[lanepart.Part]
	mailbox      *mailbox.Queue
	load         *exchange.Load
	writer       *grantsfile.Writer
	start        time.Time

	ended    chan drainctl.ProposalResult
	verified chan verified
	closed   chan struct{} // the seat was given up
	looks    chan voters.Result
	drained  chan struct{} // the exchange goes by a set of drains
	wake     chan struct{}
	known    chan struct{} // closed once what was agreed is known here and laid, with the list
	stop     context.CancelFunc
	done     sync.WaitGroup
	leaving  atomic.Bool

	mu   sync.Mutex
	file *operator.File // in force
	list []exchange.Entry
	// The list is an old one from disk: what this co-ordinator serves with, and no observation of the leader's.
	stale bool
	news  bool // of file or list

	// What follows belongs to run.
	view      *view.View
	lead      *drainctl.Controller
	toView    []view.Input
	toLead    []drainctl.Input
	term      uint64 // in which this one leads; 0: it does not
	asks      peerproto.FileReport
	voters    map[string]bool
	names     []string // of the voters, sorted
	turn      int      // of the voter that is asked next while no leader is known
	leader    string   // as far as it is known here
	sent      peerproto.Poll
	answered  uint64 // number of the newest poll with a word of the leader
	sentTo    string
	namedAt   uint64 // number of the newest poll that was sent on to whom a word named
	silent    int    // polls in a row without a word of the leader
	answer    *view.PollAnswered
	answerAt  uint64          // index that the copy must reach before the answer counts as whole
	pollQueue pollqueue.Queue // not yet answered
	snapshots peerproto.SnapshotCache
	loads     map[string]inventory.LoadReport
	own       inventory.LoadReport
	proposing int
	index     uint64        // as last stepped with
	agreedNow time.Duration // with it
	era       uint64        // as last stepped with
	outlived  bool          // the seat is given up, as there is a raft group of a newer era
	stepped   bool
	drains    *drainstore.Store
	caught    bool // a whole answer came, to this process
	hasList   bool // the view has one
	knows     bool // known is closed
	fedAt     time.Duration
	seatsAt   time.Duration
	looking   bool   // at the raft group's voters
	lost      bool   // the store or its votes: no seat any more
	noSeat    string // why a seat that the raft group has for this one was not taken, as said last
	givingUp  bool   // the seat
	// agreedRevision is that of the limits in force; a file of an older one changes no voters.
	agreedRevision int
	listFed        time.Time
	askedAt        time.Duration
	grants         []view.Grant
	written        written
	toldAt         time.Duration
	halted         bool
	lines          lines
}

// New returns a node that Start starts.
func New() *Node { return &Node{} }

// now is the own monotonic time.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// Start opens what the operators' file names. Without its section it does nothing at all.
func (n *Node) Start(s serve.Host) error {
	n.s, n.log = s, s.Log.WithField("part", "fleet")
	if s.Operator == nil || s.Operator.Fleet == nil {
		n.off = true
		n.log.Info("the operators' file has no fleet: serving alone")
		return nil
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.init(s)
	if err := n.open(); err != nil {
		return err
	}
	s.Exchange.Narrowable(n.listed, n.drainsApplied)
	n.drains.Restore()
	n.load = s.Exchange.Load()
	n.openSessions(ctx, s)
	n.openLanes(ctx, s)
	n.done.Go(func() { n.run(ctx) })
	return nil
}

// AwaitReady waits for the first whole answer of the raft group and until what it brought is laid, for AwaitMost at the most.
// After that this co-ordinator serves as one that is cut off does.
func (n *Node) AwaitReady(ctx context.Context) {
	if n.off {
		return
	}
	most := time.NewTimer(AwaitMost)
	defer most.Stop()
	select {
	case <-n.known:
	case <-ctx.Done():
	case <-most.C:
		n.log.WithField("waited", AwaitMost).Warn("what the fleet agreed is not known yet: serving as one that is cut off")
	}
}

// listed takes the list from the exchange.
func (n *Node) listed(list []exchange.Entry, stale bool) {
	n.mu.Lock()
	n.list, n.stale, n.news = list, stale, true
	n.mu.Unlock()
	n.nudge()
}

// drainsApplied is the exchange's confirmation that it goes by the newest set of drains. One is applied at a time.
func (n *Node) drainsApplied() {
	select {
	case n.drained <- struct{}{}:
	default:
	}
}

// Reload takes the operators' file that was read again.
func (n *Node) Reload(f *operator.File) error {
	switch {
	case n.off && f.Fleet != nil:
		return errors.New("$.fleet: a fleet begins at a start of the program")
	case n.off:
		return nil
	case f.Fleet == nil:
		return errors.New("$.fleet: is missing; a fleet ends with the program")
	case (f.Fleet.Sessions != nil) != (n.sessions != nil):
		return errors.New("$.fleet.sessions: pinned sessions begin and end with the program")
	case (f.Fleet.Lanes != nil) != (n.lanes != nil):
		return errors.New("$.fleet.lanes: lanes begin and end with the program")
	}
	if err := sessionpart.Validate(f.Fleet, n.s.Config.Names, &n.s.Config.Policy); err != nil {
		return err
	}
	if err := lanepart.Validate(f, n.s.Config.Names); err != nil {
		return err
	}
	if err := n.member.ReloadKeys(); err != nil {
		return err
	}
	n.mu.Lock()
	was := n.file.Fleet.Lanes
	n.file, n.news = f, true
	n.mu.Unlock()
	n.warnOfHeader(was, f.Fleet.Lanes)
	n.nudge()
	return nil
}

func (n *Node) nudge() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// run steps soon after any news, and else every StepEvery.
func (n *Node) run(ctx context.Context) {
	tick := time.NewTicker(StepEvery)
	defer tick.Stop()
	soon := time.NewTimer(0)
	defer soon.Stop()
	last := time.Time{}
	for {
		var changes <-chan raftgroup.State
		var news <-chan struct{}
		if n.raftGroup != nil {
			changes, news = n.raftGroup.Changes(), n.raftGroup.Updates()
		}
		select {
		case <-ctx.Done():
			return
		case l := <-n.mailbox.Messages:
			n.mailbox.Taken(l)
			waits := !n.letter(l)
			for range len(n.mailbox.Messages) { // one step for all that came meanwhile
				select {
				case l := <-n.mailbox.Messages:
					n.mailbox.Taken(l)
					waits = !n.letter(l) && waits
				default: // some were dropped meanwhile
				}
			}
			if waits { // for the next tick
				continue
			}
		case s := <-changes:
			n.change(s)
		case <-news:
		case e := <-n.ended:
			n.proposing--
			if e.ID != "" {
				n.toLead = append(n.toLead, e)
			}
		case v := <-n.verified:
			n.reply(v)
			if !v.presses && !n.pollQueue.Urgent(n.index) {
				continue
			}
		case <-n.closed:
			n.raftGroup, n.givingUp = nil, false
			n.state.Attach(nil)
			n.setAside()
		case l := <-n.looks:
			n.lookedAt(l)
		case <-n.drained:
			n.drains.Applied()
		case err := <-n.drains.Saved():
			n.drains.HandleSaved(err)
		case <-n.wake:
		case <-soon.C:
		case <-tick.C:
		}
		switch passed := time.Since(last); {
		case n.drains.Busy():
		case passed < StepSoonest:
			soon.Reset(StepSoonest - passed)
		default:
			n.step()
			last = time.Now()
		}
		if !n.knows && n.caught && n.hasList && !n.drains.Busy() {
			n.knows = true
			close(n.known)
		}
	}
}

// change takes the raft group's word of who leads.
func (n *Node) change(s raftgroup.State) {
	switch {
	case s.Failed != nil:
		n.log.WithError(s.Failed).Error("this co-ordinator's vote is out of the raft group until it is started again; queries are served as before")
		n.lost = true
		n.depose()
		n.giveUp()
	case s.Leading:
		n.term = s.Term
		n.log.WithField("term", s.Term).Info("leads the raft group")
		n.toLead = append(n.toLead, drainctl.Elected{Term: s.Term, Own: n.name}, drainctl.MaintenanceFile{Limits: n.asks.Limits, Requests: n.asks.Requests})
		n.fedAt, n.listFed = 0, time.Time{} // list and members are told at once
		clear(n.loads)
	default:
		n.depose()
	}
}
