// Package council is what must be agreed: 1, 3 or 5 voters keep one log (raft over its own TCP connections, on the store's
// disk) and apply it to one machine each, the ledger. All other co-ordinators have no vote; they ask a voter for what
// was committed since their index, see Since. Nothing here is waited for by any query.
package council

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

// Times of the council.
const (
	// HeartbeatMost: a voter that heard no leader for this, or up to twice this (drawn anew each time), asks for an election.
	// Twice as long: a leader's death costs over 3 s where the first election is split; half: a pause of one process elects anew.
	HeartbeatMost = 500 * time.Millisecond
	// ElectionMost: a candidate that has no majority after this, or up to twice this, asks again. As HeartbeatMost.
	ElectionMost = 500 * time.Millisecond
	// LeaseMost: a leader that heard no majority for this steps down. It must be less than HeartbeatMost, so that an old leader
	// is silent before another is elected. Half: it steps down at short pauses; twice: refused.
	LeaseMost = 400 * time.Millisecond
	// CommitEvery: without proposals, voters are told the commit index after this to twice this. Twice as long: the last entry
	// is applied 0.4 s later at the others; half: some 2 KB/s more between the leader and each voter, at rest.
	CommitEvery = 100 * time.Millisecond
	// WireMost is the most that a connect or a write to a voter may take; a snapshot has this for each 256 KB. Twice as long:
	// a dead link is noticed later, though not by the election; half: a snapshot fails on a narrow link.
	WireMost = time.Second
	// EnterMost is how long a proposal waits to enter the log, BarrierMost how long an elected leader takes at the most to apply
	// what was committed before it says that it leads (then it tries again).
	EnterMost   = time.Second
	BarrierMost = 5 * time.Second
	// ChangeMost is the most that each step of a change of voters takes; what was begun may still come to pass.
	ChangeMost = 5 * time.Second
)

// Bounds of the council.
const (
	// ProposalsMost are under way at once; further ones get ErrBusy.
	ProposalsMost = 256
	// CommandMost is the most bytes of one command, the ledger's EntryMost.
	CommandMost = 1 << 20
	// SnapshotAfter: so many entries after the last, a snapshot is made and the log cut to TrailingLogs. Twice as many:
	// a restart applies twice as much; half: twice as many writes of whole states.
	SnapshotAfter = 2048
	TrailingLogs  = 1024
	// SnapshotLook: so often it is looked whether one is due, or after up to twice this.
	SnapshotLook = 30 * time.Second
	// RingMost and RingBytes: of the entries that Since gives one by one, the oldest go first; who is further behind gets a
	// snapshot.
	RingMost  = 4096
	RingBytes = 4 << 20
)

// Errors. Those that the machine returned come back as they are.
var (
	// ErrUnsure: the proposal may or may not take effect; the same command, with its id, may be proposed again.
	ErrUnsure = errors.New("council: it is not known whether the proposal was taken")
	ErrBusy   = errors.New("council: too many proposals are under way")
	ErrLarge  = errors.New("council: the command is too large")
	ErrClosed = errors.New("council: closed")
)

// NotLeader is returned where only the leader can do something; it names the leader, if one is known here.
type NotLeader struct{ Name, Addr string }

func (e *NotLeader) Error() string {
	if e.Name == "" {
		return "council: not the leader, and none is known"
	}
	return fmt.Sprintf("council: not the leader, that is %s at %s", e.Name, e.Addr)
}

// Machine is what the log is applied to. Apply must be deterministic and returns an error for what it refuses. It is called
// by one goroutine at a time; use Look to read it.
type Machine interface {
	Apply(index uint64, raw []byte) error
	Save() ([]byte, error)
	Load([]byte) error
}

// Voter is one seat.
type Voter struct{ Name, Addr string }

// Options of a council's seat.
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

	// Patience multiplies HeartbeatMost, ElectionMost and LeaseMost, for machines so loaded that a process waits for its turn
	// for long; 0 is 1. All voters must have the same.
	Patience int
	// pace is how much slower this seat's clock runs than others', for tests: its times are so much longer. 0 is 1.
	pace float64

	// SnapshotAfter, TrailingLogs, RingMost: 0 for the constants.
	SnapshotAfter, TrailingLogs uint64
	RingMost                    int
	Store                       store.Options
}

// State is a change of this seat: elected in a term, with all that was committed before applied; no longer leading; or, with
// Failed, out of the council until it is opened again because its store cannot write.
type State struct {
	Leading bool
	Term    uint64
	Failed  error
}

// Council is one seat.
type Council struct {
	o      Options
	log    *logrus.Entry
	raft   *raft.Raft
	store  *store.Store
	trans  *raft.NetworkTransport
	layer  *layer
	stream raft.StreamLayer // around it
	seat   *seat
	slots  chan struct{}
	led    chan bool
	states chan State
	stop   chan struct{}
	ready  chan struct{} // closed once raft is set, or never will be
	done   sync.WaitGroup
	once   sync.Once
	down   sync.Once
	ended  raft.Future // of raft

	changing sync.Mutex // one change of voters at a time

	mu     sync.Mutex
	failed error
	silent map[string]bool // voters that do not answer this leader
}

// Open takes the seat. It does not wait for a leader.
func Open(o Options) (*Council, error) {
	if o.Name == "" || o.Machine == nil || o.Log == nil {
		return nil, errors.New("council: a name, a machine and a log are needed")
	}
	c := &Council{
		o: o, log: o.Log, slots: make(chan struct{}, ProposalsMost), led: make(chan bool, 16), states: make(chan State, 16),
		stop: make(chan struct{}), ready: make(chan struct{}), silent: map[string]bool{}, seat: newSeat(o),
	}
	p, err := prepare(o, c.fail)
	if err != nil {
		return nil, err
	}
	c.store, c.trans, c.layer, c.stream = p.store, p.trans, p.layer, p.stream
	p.conf.NotifyCh = c.led
	if o.Bootstrap {
		if err := bootstrap(o, p); err != nil {
			p.close()
			return nil, err
		}
	}
	// In a goroutine of its own, which a failing store may end; see guarded.
	go func() {
		defer close(c.ready)
		defer func() {
			if r := recover(); r != nil {
				err = fmt.Errorf("council: %v", r)
			}
		}()
		c.raft, err = raft.NewRaft(p.conf, c.seat, p.guarded, p.guarded, p.snaps, p.trans)
	}()
	<-c.ready
	if c.raft == nil {
		p.close()
		return nil, errors.Join(err, c.Failed())
	}
	c.raft.RegisterObserver(raft.NewObserver(nil, false, c.observe))
	c.done.Add(1)
	go c.announce()
	return c, nil
}

// prepared is what a raft is made of.
type prepared struct {
	conf    *raft.Config
	store   *store.Store
	guarded *guarded
	snaps   *raft.FileSnapshotStore
	trans   *raft.NetworkTransport
	layer   *layer
	stream  raft.StreamLayer
}

func (p *prepared) close() {
	_ = p.trans.Close()
	_ = p.store.Close()
}

func (o *Options) paced(d time.Duration) time.Duration {
	if o.pace == 0 {
		return d
	}
	return time.Duration(o.pace * float64(d))
}

func prepare(o Options, fail func(error)) (*prepared, error) {
	log := logadapter.New(o.Log).Hclog("raft")
	p := &prepared{conf: raft.DefaultConfig()}
	p.conf.LocalID = raft.ServerID(o.Name)
	patience := time.Duration(max(1, o.Patience))
	p.conf.HeartbeatTimeout, p.conf.ElectionTimeout = o.paced(patience*HeartbeatMost), o.paced(patience*ElectionMost)
	p.conf.LeaderLeaseTimeout, p.conf.CommitTimeout = o.paced(patience*LeaseMost), o.paced(CommitEvery)
	p.conf.SnapshotThreshold, p.conf.TrailingLogs = SnapshotAfter, TrailingLogs
	p.conf.SnapshotInterval = SnapshotLook
	if o.SnapshotAfter > 0 {
		p.conf.SnapshotThreshold, p.conf.TrailingLogs = o.SnapshotAfter, o.TrailingLogs
	}
	p.conf.ShutdownOnRemove = false // the process decides when it closes its seat
	p.conf.NoLegacyTelemetry = true
	p.conf.Logger = log

	var err error
	if p.store, err = store.Open(o.Dir, o.Store); err != nil {
		return nil, err
	}
	p.guarded = &guarded{Store: p.store, fail: fail}
	if p.snaps, err = store.Snapshots(o.Dir, log); err != nil {
		_ = p.store.Close()
		return nil, err
	}
	if p.layer, err = listen(o); err != nil {
		_ = p.store.Close()
		return nil, err
	}
	p.stream = p.layer
	if o.Stream != nil {
		p.stream = o.Stream(p.layer)
	}
	// One request at a time to a voter: with more the engine's sender waits for room that its reader, who left when the
	// connection broke, never makes, and a seat never ends (the sender can't see the end there). The log moves a few times a second.
	p.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: p.stream, MaxPool: 3, MaxRPCsInFlight: 1, Timeout: WireMost, Logger: log,
	})
	return p, nil
}

// Propose puts a command into the log and waits until it was applied here, or until ctx ends. Only the leader can.
func (c *Council) Propose(ctx context.Context, raw []byte) error {
	if len(raw) > CommandMost {
		return fmt.Errorf("%w: %d bytes, %d at the most", ErrLarge, len(raw), CommandMost)
	}
	if c.raft.State() != raft.Leader {
		return c.notLeader()
	}
	select {
	case c.slots <- struct{}{}:
	default:
		return ErrBusy
	}
	result := make(chan error, 1)
	go func() {
		defer func() { <-c.slots }()
		f := c.raft.Apply(raw, EnterMost)
		err := f.Error()
		if err == nil {
			err, _ = f.Response().(error)
		} else {
			err = c.explain(err)
		}
		result <- err
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnsure, ctx.Err())
	case <-c.stop:
		return fmt.Errorf("%w: %w", ErrUnsure, ErrClosed)
	}
}

func (c *Council) explain(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return c.notLeader()
	case errors.Is(err, raft.ErrEnqueueTimeout):
		return ErrBusy
	default: // leadership lost, shut down, a write of the log failed
		return fmt.Errorf("%w: %w", ErrUnsure, err)
	}
}

func (c *Council) notLeader() error {
	name, addr := c.Leader()
	if name == c.o.Name {
		name, addr = "", "" // it is about to step down
	}
	return &NotLeader{name, addr}
}

// Leader is the one that this seat believes in, or "".
func (c *Council) Leader() (name, addr string) {
	a, id := c.raft.LeaderWithID()
	return string(id), string(a)
}

// Last is the index of the newest entry in this seat's log, committed or not; 0 for an empty one.
func (c *Council) Last() uint64 { return c.raft.LastIndex() }

// Changes tells of elections and their ends; of 16 that nobody took, the oldest goes.
func (c *Council) Changes() <-chan State { return c.states }

// Addr is the address that others are told.
func (c *Council) Addr() string { return string(c.trans.LocalAddr()) }

// Failed is why this seat is out of the council, or nil.
func (c *Council) Failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// Close leaves the seat as it is, without a word; see HandOver for before.
func (c *Council) Close() error {
	var err error
	c.once.Do(func() {
		close(c.stop)
		err = c.shutdown().Error()
		c.done.Wait()
		err = errors.Join(err, c.trans.Close(), c.store.Close())
	})
	return err
}

// shutdown ends raft once; each caller may wait for it.
func (c *Council) shutdown() raft.Future {
	c.down.Do(func() {
		c.ended = c.raft.Shutdown()
		_ = c.layer.Close() // so that nothing of raft's waits for a link
	})
	return c.ended
}
