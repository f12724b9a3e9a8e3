// Package raftgroup replicates the fleet's agreed state. A group of 1, 3 or 5 voters replicates one raft log over its own TCP
// connections, persists it with package store, and each voter applies it to its state machine. All other co-ordinators have
// no vote; they ask a voter for what was committed after their index, see Since. No query waits for this package.
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

// Timeouts and intervals of the raft group.
const (
	// HeartbeatTimeout is the minimum time without a heartbeat after which a voter starts an election; each wait is drawn at
	// random from one to two times this value. With twice the value, replacing a dead leader takes over 3 s if the first
	// election is split; with half, a pause of one process triggers an election.
	HeartbeatTimeout = 500 * time.Millisecond
	// ElectionTimeout is the minimum time after which a candidate without a majority starts another election, at random up
	// to twice this value. The limits of HeartbeatTimeout apply.
	ElectionTimeout = 500 * time.Millisecond
	// LeaderLeaseTimeout is how long a leader without contact to a majority stays leader. It must be less than
	// HeartbeatTimeout, so that an old leader has stepped down before another is elected. With half the value, the leader steps
	// down at short pauses; raft rejects twice the value.
	LeaderLeaseTimeout = 400 * time.Millisecond
	// CommitTimeout is the delay, at random up to twice this value, after which an idle leader sends the commit index to the
	// voters. With twice the value, the other voters apply the last entry 0.4 s later; with half, an idle leader sends each
	// voter about 2 KB/s more.
	CommitTimeout = 100 * time.Millisecond
	// IOTimeout limits a connect or a write to a voter; a snapshot gets this time for each 256 KB. With twice the value, a dead
	// link is detected later, though elections do not depend on it; with half, snapshots fail on slow links.
	IOTimeout = time.Second
	// EnqueueTimeout limits how long a proposal waits to enter the log.
	EnqueueTimeout = time.Second
	// BarrierTimeout limits each attempt of a new leader to apply all earlier committed entries before it reports that it
	// leads. The leader then tries again.
	BarrierTimeout = 5 * time.Second
	// ChangeTimeout limits each step of a change of voters. A step that timed out may still take effect.
	ChangeTimeout = 5 * time.Second
)

// Size limits of the raft group.
const (
	// MaxPendingProposals limits concurrent proposals; further ones fail with ErrBusy.
	MaxPendingProposals = 256
	// MaxCommandSize is the maximum size of one command in bytes. It equals the state machine's MaxEntrySize.
	MaxCommandSize = 1 << 20
	// SnapshotThreshold is the number of new entries after which raft takes a snapshot. With twice the value, a restart
	// applies twice as many entries; with half, the whole state is written twice as often.
	SnapshotThreshold = 2048
	// TrailingLogs is the number of entries that stay in the log after a snapshot.
	TrailingLogs = 1024
	// SnapshotInterval is the interval, at random up to twice this value, at which raft checks whether a snapshot is due.
	SnapshotInterval = 30 * time.Second
	// MaxBufferedEntries limits the entries in memory that Since returns one by one. The oldest are dropped first; a reader
	// that needs dropped entries gets a snapshot.
	MaxBufferedEntries = 4096
	// MaxBufferedBytes limits the total size of these entries; the newest entry is always kept.
	MaxBufferedBytes = 4 << 20
)

// Errors of the raft group. Propose returns errors of the state machine unchanged.
var (
	// ErrOutcomeUnknown means that the proposal may or may not take effect. The same command, with the same id, may be
	// proposed again.
	ErrOutcomeUnknown = errors.New("raftgroup: it is unknown whether the proposal was committed")
	// ErrBusy means that MaxPendingProposals are pending or that raft did not accept the proposal within EnqueueTimeout.
	ErrBusy = errors.New("raftgroup: too many proposals are pending")
	// ErrTooLarge means that a command exceeds MaxCommandSize.
	ErrTooLarge = errors.New("raftgroup: the command is too large")
	// ErrClosed means that this voter was closed.
	ErrClosed = errors.New("raftgroup: closed")
)

// NotLeaderError is returned by operations that only the leader can perform. It names the leader if this voter knows one.
type NotLeaderError struct{ Name, Addr string }

func (e *NotLeaderError) Error() string {
	if e.Name == "" {
		return "raftgroup: not the leader, and no leader is known"
	}
	return fmt.Sprintf("raftgroup: not the leader; the leader is %s at %s", e.Name, e.Addr)
}

// Machine is the state machine to which the log is applied. Apply must be deterministic and returns an error for a command
// that it rejects. Its methods are called by one goroutine at a time; use WithLock to read its state.
type Machine interface {
	Apply(index uint64, raw []byte) error
	Save() ([]byte, error)
	Load([]byte) error
}

// Voter names one voter of the raft group and its address.
type Voter struct{ Name, Addr string }

// Options configure one voter of a raft group.
type Options struct {
	Name      string
	Dir       string // directory of the store; used by one process at a time
	Bind      string // host:port to listen on
	Advertise string // host:port that other voters connect to; empty means the bound address
	Voters    []Voter
	// Bootstrap writes a first configuration with Voters if Dir holds no raft state. Each of the first voters may set it, with
	// the same Voters. A voter that lost its disk must not set it, because it would forget its votes; it must rejoin under a new
	// name, see Replace.
	Bootstrap bool
	Machine   Machine
	Log       *logrus.Entry

	// Stream optionally wraps raft's connections, for example with encryption or with injected faults in tests.
	Stream func(raft.StreamLayer) raft.StreamLayer

	// TimeoutFactor multiplies HeartbeatTimeout, ElectionTimeout and LeaderLeaseTimeout, for machines under such load that
	// processes wait long for CPU time; 0 means 1. All voters must use the same value.
	TimeoutFactor int
	// clockFactor simulates a slow or fast clock in tests: this voter's timeouts are multiplied by it. 0 means 1.
	clockFactor float64

	// SnapshotThreshold, if not 0, replaces the constants SnapshotThreshold and TrailingLogs by the two fields.
	SnapshotThreshold, TrailingLogs uint64
	MaxBufferedEntries              int // 0 means the constant
	Store                           store.Options
}

// State is a change in this voter's role. With Leading, it was elected in Term and has applied all earlier committed entries.
// Without Leading, it leads no longer. With Failed, its store failed and it has left the raft group until it is opened again.
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
	stream         raft.StreamLayer // streamLayer, wrapped by Options.Stream if set
	fsm            *fsm
	proposalSlots  chan struct{}
	leaderCh       chan bool
	stateChanges   chan State
	stop           chan struct{}
	ready          chan struct{} // closed once NewRaft has succeeded (raft is set) or failed
	done           sync.WaitGroup
	closeOnce      sync.Once
	shutdownOnce   sync.Once
	shutdownFuture raft.Future // of raft's shutdown

	changeMu sync.Mutex // held during a change of voters

	mu           sync.Mutex
	failed       error
	unresponsive map[string]bool // voters that do not answer this leader's heartbeats
}

// Open starts this voter in the raft group. It does not wait for a leader.
func Open(o Options) (*Group, error) {
	if o.Name == "" || o.Machine == nil || o.Log == nil {
		return nil, errors.New("raftgroup: a name, a machine and a log are required")
	}
	g := &Group{
		options: o, log: o.Log, proposalSlots: make(chan struct{}, MaxPendingProposals), leaderCh: make(chan bool, 16), stateChanges: make(chan State, 16),
		stop: make(chan struct{}), ready: make(chan struct{}), unresponsive: map[string]bool{}, fsm: newFSM(o),
	}
	p, err := newComponents(o, g.fail)
	if err != nil {
		return nil, err
	}
	g.store, g.trans, g.streamLayer, g.stream = p.store, p.trans, p.streamLayer, p.stream
	p.conf.NotifyCh = g.leaderCh
	if o.Bootstrap {
		if err := bootstrap(o, p); err != nil {
			p.close()
			return nil, err
		}
	}
	// NewRaft runs in its own goroutine because a store failure may end that goroutine; see failStopStore.
	go func() {
		defer close(g.ready)
		defer func() {
			if r := recover(); r != nil {
				err = fmt.Errorf("raftgroup: %v", r)
			}
		}()
		g.raft, err = raft.NewRaft(p.conf, g.fsm, p.failStopStore, p.failStopStore, p.snaps, p.trans)
	}()
	<-g.ready
	if g.raft == nil {
		p.close()
		return nil, errors.Join(err, g.Failed())
	}
	g.raft.RegisterObserver(raft.NewObserver(nil, false, g.observe))
	g.done.Add(1)
	go g.watchLeadership()
	return g, nil
}

// components are the parts from which raft is built.
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
	p.conf.ShutdownOnRemove = false // the process itself closes its voter
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
	// MaxRPCsInFlight is 1 because pipelining can deadlock in the raft library: when the connection breaks, the goroutine that
	// reads responses exits, the sender waits forever for free capacity without noticing a shutdown, and the voter never stops.
	// Without pipelining the throughput is still sufficient: the log changes only a few times a second.
	p.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: p.stream, MaxPool: 3, MaxRPCsInFlight: 1, Timeout: IOTimeout, Logger: log,
	})
	return p, nil
}

// Propose appends a command to the log and waits until it is applied on this voter or ctx ends. Only the leader can propose.
func (g *Group) Propose(ctx context.Context, raw []byte) error {
	if len(raw) > MaxCommandSize {
		return fmt.Errorf("%w: %d bytes, the maximum is %d", ErrTooLarge, len(raw), MaxCommandSize)
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

// ProposeTimeout limits how long ProposeWithin waits for one proposal. With twice the value, a proposal occupies one of the
// MaxPendingProposals slots twice as long while there is no majority; with half, the outcome of a proposal on a slow disk is
// reported as unknown.
const ProposeTimeout = 3 * time.Second

// ProposeWithin calls Propose with a timeout of ProposeTimeout.
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
	default: // leadership lost, shut down, or a log write failed
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

func (g *Group) notLeaderError() error {
	name, addr := g.Leader()
	if name == g.options.Name {
		name, addr = "", "" // this voter is about to step down
	}
	return &NotLeaderError{name, addr}
}

// Leader returns the leader that this voter knows, or empty strings.
func (g *Group) Leader() (name, addr string) {
	a, id := g.raft.LeaderWithID()
	return string(id), string(a)
}

// LastIndex returns the index of the newest entry in this voter's log, committed or not; 0 for an empty log.
func (g *Group) LastIndex() uint64 { return g.raft.LastIndex() }

// Changes returns a channel of state changes. It buffers 16; when it is full, the oldest is dropped.
func (g *Group) Changes() <-chan State { return g.stateChanges }

// Addr returns the address that is advertised to the other voters.
func (g *Group) Addr() string { return string(g.trans.LocalAddr()) }

// Failed returns the store error because of which this voter left the raft group, or nil.
func (g *Group) Failed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failed
}

// Close stops this voter without notifying the others and keeps its store on disk. To give up
// leadership first, call TransferLeadership.
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

// shutdown stops raft on its first call and returns the future of that shutdown to every caller.
func (g *Group) shutdown() raft.Future {
	g.shutdownOnce.Do(func() {
		g.shutdownFuture = g.raft.Shutdown()
		_ = g.streamLayer.Close() // so that no raft goroutine keeps waiting for a connection
	})
	return g.shutdownFuture
}
