// Package raftgroup keeps what must be agreed: 1, 3 or 5 voters keep one log (raft over its own TCP connections, on the store's
// disk) and apply it to one machine each, the state machine. All other co-ordinators have no vote; they ask a voter for what
// was committed since their index, see Since. Nothing here is waited for by any query.
package raftgroup

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/logadapter"
	"birchcart/internal/fleet/store"
)

// Times of the raft group.
const (
	// HeartbeatTimeout: a voter that heard no leader for this, or up to twice this (drawn anew each time), asks for an election.
	// Twice as long: a leader's death costs over 3 s where the first election is split; half: a pause of one process elects anew.
	HeartbeatTimeout = 500 * time.Millisecond
	// ElectionTimeout: a candidate that has no majority after this, or up to twice this, asks again. As HeartbeatTimeout.
	ElectionTimeout = 500 * time.Millisecond
	// LeaderLeaseTimeout: a leader that heard no majority for this steps down. It must be less than HeartbeatTimeout, so that an old leader
	// is silent before another is elected. Half: it steps down at short pauses; twice: refused.
	LeaderLeaseTimeout = 400 * time.Millisecond
	// CommitTimeout: without proposals, voters are told the commit index after this to twice this. Twice as long: the last entry
	// is applied 0.4 s later at the others; half: some 2 KB/s more between the leader and each voter, at rest.
	CommitTimeout = 100 * time.Millisecond
	// IOTimeout is the most that a connect or a write to a voter may take; a snapshot has this for each 256 KB. Twice as long:
	// a dead link is noticed later, though not by the election; half: a snapshot fails on a narrow link.
	IOTimeout = time.Second
	// EnqueueTimeout is how long a proposal waits to enter the log, BarrierTimeout how long an elected leader takes at the most to apply
	// what was committed before it says that it leads (then it tries again).
	EnqueueTimeout = time.Second
	BarrierTimeout = 5 * time.Second
	// ChangeTimeout is the most that each step of a change of voters takes; what was begun may still come to pass.
	ChangeTimeout = 5 * time.Second
)

// Bounds of the raft group.
const (
	// MaxPendingProposals are under way at once; further ones get ErrBusy.
	MaxPendingProposals = 256
	// MaxCommandSize is the most bytes of one command, the state machine's MaxEntrySize.
	MaxCommandSize = 1 << 20
	// SnapshotThreshold: so many entries after the last, a snapshot is made and the log cut to TrailingLogs. Twice as many:
	// a restart applies twice as much; half: twice as many writes of whole states.
	SnapshotThreshold = 2048
	TrailingLogs      = 1024
	// SnapshotInterval: so often it is looked whether one is due, or after up to twice this.
	SnapshotInterval = 30 * time.Second
	// MaxBufferedEntries and MaxBufferedBytes: of the entries that Since gives one by one, the oldest go first; who is further behind gets a
	// snapshot.
	MaxBufferedEntries = 4096
	MaxBufferedBytes   = 4 << 20
)

// Errors. Those that the machine returned come back as they are.
var (
	// ErrOutcomeUnknown: the proposal may or may not take effect; the same command, with its id, may be proposed again.
	ErrOutcomeUnknown = errors.New("raftgroup: it is not known whether the proposal was taken")
	ErrBusy           = errors.New("raftgroup: too many proposals are under way")
	ErrTooLarge       = errors.New("raftgroup: the command is too large")
	ErrClosed         = errors.New("raftgroup: closed")
)

// NotLeaderError is returned where only the leader can do something; it names the leader, if one is known here.
type NotLeaderError struct{ Name, Addr string }

func (e *NotLeaderError) Error() string {
	if e.Name == "" {
		return "raftgroup: not the leader, and none is known"
	}
	return fmt.Sprintf("raftgroup: not the leader, that is %s at %s", e.Name, e.Addr)
}

// Machine is what the log is applied to. Apply must be deterministic and returns an error for what it refuses. It is called
// by one goroutine at a time; use WithLock to read it.
type Machine interface {
	Apply(index uint64, raw []byte) error
	Save() ([]byte, error)
	Load([]byte) error
}

// Voter names one voter of the raft group and its address.
type Voter struct{ Name, Addr string }

// Options of a raft group's voter.
type Options struct {
	Name      string
	Dir       string // of the store; one process at a time
	Bind      string // host:port to listen on
	Advertise string // host:port that others use; empty: as bound
	Voters    []Voter
	// Bootstrap sets the first council up with Voters where Dir holds none. All of the first voters may say so, with the same
	// Voters. A voter whose disk was lost must not: it would forget its votes. It comes back under a new name, see Replace.
	Bootstrap bool
	Machine   Machine
	Log       *logrus.Entry

	// Stream may go between raft and its connections: encryption, or a test's faults.
	Stream func(raft.StreamLayer) raft.StreamLayer

	// TimeoutFactor multiplies HeartbeatTimeout, ElectionTimeout and LeaderLeaseTimeout, for machines so loaded that a process waits for its turn
	// for long; 0 is 1. All voters must have the same.
	TimeoutFactor int
	// pace is how much slower this voter's clock runs than others', for tests: its times are so much longer. 0 is 1.
	clockFactor float64

	// SnapshotThreshold, TrailingLogs, MaxBufferedEntries: 0 for the constants.
	SnapshotThreshold, TrailingLogs uint64
	MaxBufferedEntries              int
	Store                           store.Options
}

// State is a change of this voter: elected in a term, with all that was committed before applied; no longer leading; or, with
// Failed, out of the raft group until it is opened again because its store cannot write.
type State struct {
	Leading bool
	Term    uint64
	Failed  error
}

// Group is this process's voter in the raft group: raft, its store, transport and state machine.
type Group struct {
	options        Options
	log            *logrus.Entry
	raft           *raft.Raft
	store          *store.Store
	trans          *raft.NetworkTransport
	streamLayer    *streamLayer
	stream         raft.StreamLayer // around it
	fsm            *fsm
	proposalSlots  chan struct{}
	leaderCh       chan bool
	stateChanges   chan State
	stop           chan struct{}
	ready          chan struct{} // closed once raft is set, or never will be
	done           sync.WaitGroup
	closeOnce      sync.Once
	shutdownOnce   sync.Once
	shutdownFuture raft.Future // of raft

	changeMu sync.Mutex // one change of voters at a time

	mu           sync.Mutex
	failed       error
	unresponsive map[string]bool // voters that do not answer this leader
}

// Open starts this voter in the raft group. It does not wait for a leader.
func Open(o Options) (*Group, error) {
	if o.Name == "" || o.Machine == nil || o.Log == nil {
		return nil, errors.New("raftgroup: a name, a machine and a log are needed")
	}
	c := &Group{
		options: o, log: o.Log, proposalSlots: make(chan struct{}, MaxPendingProposals), leaderCh: make(chan bool, 16), stateChanges: make(chan State, 16),
		stop: make(chan struct{}), ready: make(chan struct{}), unresponsive: map[string]bool{}, fsm: newFSM(o),
	}
	p, err := newComponents(o, c.fail)
	if err != nil {
		return nil, err
	}
	c.store, c.trans, c.streamLayer, c.stream = p.store, p.trans, p.streamLayer, p.stream
	p.conf.NotifyCh = c.leaderCh
	if o.Bootstrap {
		if err := bootstrap(o, p); err != nil {
			p.close()
			return nil, err
		}
	}
	// In a goroutine of its own, which a failing store may end; see failStopStore.
	go func() {
		defer close(c.ready)
		defer func() {
			if r := recover(); r != nil {
				err = fmt.Errorf("raftgroup: %v", r)
			}
		}()
		c.raft, err = raft.NewRaft(p.conf, c.fsm, p.failStopStore, p.failStopStore, p.snaps, p.trans)
	}()
	<-c.ready
	if c.raft == nil {
		p.close()
		return nil, errors.Join(err, c.Failed())
	}
	c.raft.RegisterObserver(raft.NewObserver(nil, false, c.observe))
	c.done.Add(1)
	go c.watchLeadership()
	return c, nil
}

// prepared is what a raft is made of.
type components struct {
	conf          *raft.Config
	store         *store.Store
	failStopStore *failStopStore
	snaps         *raft.FileSnapshotStore
	trans         *raft.NetworkTransport
	streamLayer   *streamLayer
	stream        raft.StreamLayer
}

func (p *components) close() {
	_ = p.trans.Close()
	_ = p.store.Close()
}

func (o *Options) scaleTimeout(d time.Duration) time.Duration {
	if o.clockFactor == 0 {
		return d
	}
	return time.Duration(o.clockFactor * float64(d))
}

func newComponents(o Options, fail func(error)) (*components, error) {
	log := logadapter.New(o.Log).Hclog("raft")
	p := &components{conf: raft.DefaultConfig()}
	p.conf.LocalID = raft.ServerID(o.Name)
	patience := time.Duration(max(1, o.TimeoutFactor))
	p.conf.HeartbeatTimeout, p.conf.ElectionTimeout = o.scaleTimeout(patience*HeartbeatTimeout), o.scaleTimeout(patience*ElectionTimeout)
	p.conf.LeaderLeaseTimeout, p.conf.CommitTimeout = o.scaleTimeout(patience*LeaderLeaseTimeout), o.scaleTimeout(CommitTimeout)
	p.conf.SnapshotThreshold, p.conf.TrailingLogs = SnapshotThreshold, TrailingLogs
	p.conf.SnapshotInterval = SnapshotInterval
	if o.SnapshotThreshold > 0 {
		p.conf.SnapshotThreshold, p.conf.TrailingLogs = o.SnapshotThreshold, o.TrailingLogs
	}
	p.conf.ShutdownOnRemove = false // the process decides when it closes its voter
	p.conf.NoLegacyTelemetry = true
	p.conf.Logger = log

	var err error
	if p.store, err = store.Open(o.Dir, o.Store); err != nil {
		return nil, err
	}
	p.failStopStore = &failStopStore{Store: p.store, fail: fail}
	if p.snaps, err = store.Snapshots(o.Dir, log); err != nil {
		_ = p.store.Close()
		return nil, err
	}
	if p.streamLayer, err = listen(o); err != nil {
		_ = p.store.Close()
		return nil, err
	}
	p.stream = p.streamLayer
	if o.Stream != nil {
		p.stream = o.Stream(p.streamLayer)
	}
	// One request at a time to a voter: with more the engine's sender waits for room that its reader, who left when the
	// connection broke, never makes, and a voter never ends (the sender can't see the end there). The log moves a few times a second.
	p.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: p.stream, MaxPool: 3, MaxRPCsInFlight: 1, Timeout: IOTimeout, Logger: log,
	})
	return p, nil
}

// Propose puts a command into the log and waits until it was applied here, or until ctx ends. Only the leader can.
func (g *Group) Propose(ctx context.Context, raw []byte) error {
	if len(raw) > MaxCommandSize {
		return fmt.Errorf("%w: %d bytes, %d at the most", ErrTooLarge, len(raw), MaxCommandSize)
	}
	if g.raft.State() != raft.Leader {
		return g.notLeaderError()
	}
	select {
	case g.proposalSlots <- struct{}{}:
	default:
		return ErrBusy
	}
	result := make(chan error, 1)
	go func() {
		defer func() { <-g.proposalSlots }()
		f := g.raft.Apply(raw, EnqueueTimeout)
		err := f.Error()
		if err == nil {
			err, _ = f.Response().(error)
		} else {
			err = g.wrapRaftError(err)
		}
		result <- err
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case <-g.stop:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ErrClosed)
	}
}

// ProposeTimeout is how long ProposeWithin waits for the end of one proposal. Twice as long: a place among those under way is held so
// much longer while there is no majority; half: one that a slow disk takes is not known to have acted.
const ProposeTimeout = 3 * time.Second

// ProposeWithin is Propose for ProposeTimeout at the most.
func (g *Group) ProposeWithin(raw []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), ProposeTimeout)
	defer cancel()
	return g.Propose(ctx, raw)
}

func (g *Group) wrapRaftError(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return g.notLeaderError()
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return ErrBusy
	default: // leadership lost, shut down, a write of the log failed
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

func (g *Group) notLeaderError() error {
	name, addr := g.Leader()
	if name == g.options.Name {
		name, addr = "", "" // it is about to step down
	}
	return &NotLeaderError{name, addr}
}

// Leader is the one that this voter believes in, or "".
func (g *Group) Leader() (name, addr string) {
	a, id := g.raft.LeaderWithID()
	return string(id), string(a)
}

// LastIndex is the index of the newest entry in this voter's log, committed or not; 0 for an empty one.
func (g *Group) LastIndex() uint64 { return g.raft.LastIndex() }

// Changes tells of elections and their ends; of 16 that nobody took, the oldest goes.
func (g *Group) Changes() <-chan State { return g.stateChanges }

// Addr is the address that others are told.
func (g *Group) Addr() string { return string(g.trans.LocalAddr()) }

// Failed is why this voter is out of the raft group, or nil.
func (g *Group) Failed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed
}

// Close stops this voter and leaves its store as it is, without a word; see TransferLeadership for before.
func (g *Group) Close() error {
	var err error
	g.closeOnce.Do(func() {
		close(g.stop)
		err = g.shutdown().Error()
		g.done.Wait()
		err = errors.Join(err, g.trans.Close(), g.store.Close())
	})
	return err
}

// shutdown ends raft once; each caller may wait for it.
func (g *Group) shutdown() raft.Future {
	g.shutdownOnce.Do(func() {
		g.shutdownFuture = g.raft.Shutdown()
		_ = g.streamLayer.Close() // so that nothing of raft's waits for a link
	})
	return g.shutdownFuture
}
