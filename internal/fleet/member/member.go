// Package member implements group membership by gossip, on the memberlist library. Co-ordinators find each other, exchange small
// records about themselves and send each other single messages, encrypted with a keyring from a file. Each record carries its age, and
// an alive member whose record has not arrived is Unknown. Membership gives no guarantees: decisions that need agreement are made in the
// raft group.
package member

import (
	"errors"
	"fmt"
	"log"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/logadapter"
)

// Settings of memberlist, for a fleet of 300 members in one network that uses less than 4 KB/s per idle node.
const (
	// ProbeInterval is the time in which each member probes one other, all of them in turn. Doubling it would double the time to detect a
	// dead member (suspicion lasts 4 * log10(members) intervals, 10 s at 300 members); halving it would double the packets of an idle
	// fleet.
	ProbeInterval = time.Second
	// ProbeTimeout is the time to wait for an answer to a probe, before the member is probed indirectly through three others. Doubling it
	// would leave nothing of ProbeInterval for the indirect probes; with half, a member in a long garbage collection pause would be
	// suspected.
	ProbeTimeout = 500 * time.Millisecond
	// GossipInterval is the interval at which new records are sent to GossipNodes others. At 300 members a record reaches all of them in
	// 4 s. With half the interval it would take 2 s, but packets would consist more of headers than of records; with twice the interval
	// it would take 8 s.
	GossipInterval = 500 * time.Millisecond
	// GossipNodes is the number of members that new records are sent to in each GossipInterval.
	GossipNodes = 2
	// PushPullInterval is the interval of full state exchanges with one other member over TCP. memberlist stretches it to 5 times this at
	// 300 members. Halving it would cost about 0.7 KB/s more at that size; doubling it would delay records that gossip missed.
	PushPullInterval = time.Minute
	// TCPTimeout is the maximum time for one TCP message. A longer timeout would keep the messages to a slow peer waiting longer, though
	// no others; a shorter one would cut off a snapshot on a slow link.
	TCPTimeout = 3 * time.Second
	// MaxPacketSize is the maximum size of one UDP packet in bytes, below the size that Ethernet carries without fragmentation.
	MaxPacketSize = 1400
	// DeadNodeReclaimTime is the time after which the name of a dead member may be used at another address. A longer time would keep out a
	// restarted process that got another port; 0 would mean never.
	DeadNodeReclaimTime = time.Second
	// JoinInterval is the interval at which one of the missing addresses is joined, until none is missing. It is also the time after which
	// a full state is requested because a member's records have arrived but memberlist has not announced it. Doubling it would delay the
	// reconnection of the two sides of a network partition; halving it would dial missing machines twice as often, and would request full
	// states while gossip is still on its way.
	JoinInterval = 5 * time.Second
	// LeaveTimeout is how long Leave waits until its announcement has been sent.
	LeaveTimeout = time.Second
)

// bindAttempts is the number of additional attempts to find a port that is free for both TCP and UDP. Doubling it would delay the error on a
// machine without such a port; with half, a busy machine might be taken to have none.
const bindAttempts = 10

// MaxMembers is the maximum number of members in the table, including this one. The member that has been dead for longest is removed
// first, and new names are rejected while all members are alive.
const MaxMembers = 1024

// DeadRetention is the time after which a dead or left member is forgotten. A longer time would keep removed machines in lists; with a
// shorter one, a machine that reboots would become Unknown instead of Dead.
const DeadRetention = 15 * time.Minute

// Options are the settings of a member.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64   // of this process; increases with each start
	Bind        string   // host:port for UDP and TCP; port 0 selects a free one
	Advertise   string   // host:port that others use; empty for the bound address
	Join        []string // host:port of some other members
	Keys        string   // path of the keyring file
	Log         *logrus.Entry

	// Receive is called with the messages that other members Send, one at a time, on a goroutine that does not block memberlist. It may
	// keep raw.
	Receive func(from string, raw []byte)

	// Transport wraps the transport between memberlist and its sockets, for tests.
	Transport func(memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

	pushPullInterval time.Duration // replaces PushPullInterval if not 0, for tests
}

// Members is this process's member of the gossip group, with its table of the other members.
type Members struct {
	options Options
	log     *logrus.Entry
	list    *memberlist.Memberlist
	traffic *countingTransport
	keys    *memberlist.Keyring

	table  memberTable
	queues sendQueues
	inbox  inbox

	stop chan struct{}
	done sync.WaitGroup
	once sync.Once
}

// Open starts listening and keeps trying to join the other members in the background; it does not wait until it has joined.
func Open(o Options) (*Members, error) {
	if o.Name == "" || len(o.Name) > MaxNameLength || len(o.Zone) > MaxNameLength {
		return nil, fmt.Errorf("member: the name must have 1 to %d bytes and the zone at most as many", MaxNameLength)
	}
	if o.Log == nil {
		return nil, errors.New("member: Options.Log is not set")
	}
	keyring, err := readKeys(o.Keys)
	if err != nil {
		return nil, err
	}
	m := &Members{options: o, log: o.Log, keys: keyring, stop: make(chan struct{})}
	m.table.init(o)
	m.inbox.init(o.Receive)
	m.queues.init(m)
	logger := logadapter.New(o.Log).Standard()
	host, sockets, err := bind(o.Bind, logger)
	if err != nil {
		return nil, err
	}
	m.traffic = &countingTransport{NodeAwareTransport: sockets, source: net.ParseIP(host)}
	c, err := m.memberlistConfig(host, sockets.port(), logger)
	if err != nil {
		_ = sockets.Shutdown()
		return nil, err
	}
	if m.list, err = memberlist.Create(c); err != nil {
		_ = sockets.Shutdown()
		return nil, fmt.Errorf("member: %w", err)
	}
	m.done.Add(2)
	go m.run()
	go func() { defer m.done.Done(); m.inbox.run(m.stop) }()
	return m, nil
}

// bind listens on host:port. For port 0 it tries several ports, because a port that is free for TCP may be in use for UDP.
func bind(address string, lines *log.Logger) (host string, s *sockets, err error) {
	host, port, err := parseAddress(address)
	if err != nil {
		return "", nil, err
	}
	s, err = listen(host, port, lines)
	for attempt := 0; err != nil && port == 0 && attempt < bindAttempts; attempt++ {
		s, err = listen(host, port, lines)
	}
	if err != nil {
		return "", nil, fmt.Errorf("member: listening on %s: %w", address, err)
	}
	return host, s, nil
}

// memberlistConfig returns memberlist's configuration for this member, which listens on host and port.
func (m *Members) memberlistConfig(host string, port int, lines *log.Logger) (*memberlist.Config, error) {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Keyring, c.Logger = m.options.Name, m.keys, lines
	c.BindAddr, c.BindPort, c.AdvertisePort = host, port, port
	c.Transport = memberlist.NodeAwareTransport(m.traffic)
	if m.options.Transport != nil {
		c.Transport = m.options.Transport(m.traffic)
	}
	if m.options.Advertise != "" {
		var err error
		if c.AdvertiseAddr, c.AdvertisePort, err = parseAddress(m.options.Advertise); err != nil {
			return nil, err
		}
	}
	c.ProbeInterval, c.ProbeTimeout = ProbeInterval, ProbeTimeout
	c.GossipInterval, c.GossipNodes = GossipInterval, GossipNodes
	c.PushPullInterval, c.TCPTimeout = PushPullInterval, TCPTimeout
	c.UDPBufferSize, c.DeadNodeReclaimTime = MaxPacketSize, DeadNodeReclaimTime
	if m.options.pushPullInterval > 0 {
		c.PushPullInterval = m.options.pushPullInterval
	}
	c.RequireNodeNames = false
	c.EnableCompression = false // records have a few dozen bytes, and the sender of a snapshot decides whether to compress it
	d := &delegate{m}
	c.Delegate, c.Events, c.Alive, c.Ping = d, d, d, d
	return c, nil
}

func parseAddress(s string) (host string, port int, err error) {
	host, p, err := net.SplitHostPort(s)
	if err == nil {
		port, err = strconv.Atoi(p)
	}
	if err != nil || port < 0 || port > 65535 {
		return "", 0, fmt.Errorf("member: %q is not of the form host:port", s)
	}
	return host, port, nil
}

// run renews this member's record, forgets members that have been dead for DeadRetention and joins missing members, until Close.
func (m *Members) run() {
	defer m.done.Done()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	nextJoin, joinIndex := time.Time{}, 0
	for {
		now := time.Now()
		m.table.heartbeat(now)
		if !now.Before(nextJoin) {
			if missing := m.addressesToJoin(now); len(missing) > 0 {
				_, _ = m.list.Join([]string{missing[joinIndex%len(missing)]})
				joinIndex++
			}
			nextJoin = now.Add(JoinInterval)
			if m.table.noneAlive() {
				nextJoin = now.Add(ProbeInterval) // no other member found yet: retry sooner, so that a starting fleet connects quickly
			}
		}
		select {
		case <-m.stop:
			return
		case <-tick.C:
		}
	}
}

// addressesToJoin returns the configured addresses that no alive member has, and the addresses of dead members. While memberlist does not
// know a member whose records arrive, it also returns the addresses of the alive members. memberlist announces a new member only a limited
// number of times, which misses one in a hundred members in a small fleet, and a full state exchange, which would contain the
// member, follows only after one or two PushPullInterval.
func (m *Members) addressesToJoin(now time.Time) (out []string) {
	known, dead := m.table.addresses()
	if m.table.hasUnknownMember(now) {
		for a := range known {
			out = append(out, a)
		}
		sort.Strings(out)
	}
	known[m.Addr()] = true
	for _, a := range append(append([]string{}, m.options.Join...), dead...) {
		if !known[a] {
			out = append(out, a)
			known[a] = true
		}
	}
	return out
}

// Addr returns the address that is advertised to other members.
func (m *Members) Addr() string { return m.list.LocalNode().Address() }

// Traffic returns the number of bytes that this member caused so far: the packets that it sent, with 28 bytes of headers each, and both
// directions of the streams that it dialled. Summed over the fleet, each byte is counted once.
func (m *Members) Traffic() int64 { return m.traffic.bytes.Load() }

// Packets returns the number of packets that this member sent so far, without streams.
func (m *Members) Packets() int64 { return m.traffic.sent.Load() }

// ReadKeys reads the keyring file again.
func (m *Members) ReadKeys() (Keys, error) { return parseKeys(m.options.Keys) }

// SetKeys replaces the keys in force. To rotate a key, add the new key as the second line on all members, then move it to the first
// line, then remove the old one, with a reload after each step.
func (m *Members) SetKeys(keys Keys) error { return setKeys(m.keys, keys) }

// Leave announces that this member leaves, so that it is not taken to be dead. It takes at most LeaveTimeout.
func (m *Members) Leave() error {
	select {
	case <-m.stop:
		return ErrClosed
	default:
	}
	leaveRecord := m.table.leave()
	for _, n := range m.table.nodes() {
		_ = m.list.SendBestEffort(&n, leaveRecord)
	}
	return m.list.Leave(LeaveTimeout)
}

// Close stops the member without announcing that it leaves.
func (m *Members) Close() error {
	var err error
	m.once.Do(func() {
		close(m.stop)
		err = m.list.Shutdown()
		m.queues.close()
		m.done.Wait()
	})
	return err
}
