// Package member says who is there: co-ordinators find each other and exchange small records of themselves by gossip
// (memberlist, encrypted with a keyring from a file), and send each other single messages. Each record has its
// age; what was not heard is Unknown, and nothing here is ever a promise: what must hold is agreed in the raft group.
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

// Of memberlist, for a fleet of 300 in one network at under 4 KB/s a node at rest.
const (
	// ProbeInterval: each member probes one other in this time, all in turn. Twice as long: a death is seen in twice
	// the time (suspicion lasts 4 * log10(members) of these, 10 s at 300); half: twice the packets at rest.
	ProbeInterval = time.Second
	// ProbeTimeout for an answer, then it is asked for through three others. Twice as long: nothing is left of
	// ProbeInterval for those; half: a member with a long pause of its collector is suspected.
	ProbeTimeout = 500 * time.Millisecond
	// GossipInterval and GossipNodes: how often what is new goes to how many others. Twice as often: a record is everywhere in
	// 2 s, not 4 s, at 300, and packets cost more in heads than in words; half: 8 s.
	GossipInterval = 500 * time.Millisecond
	GossipNodes    = 2
	// PushPullInterval: a whole exchange of states with one other, over TCP; memberlist stretches it to 5 times this at 300.
	// Twice as often: some 0.7 KB/s more there; half: what gossip missed is late.
	PushPullInterval = time.Minute
	// TCPTimeout is the most that one TCP message may take. Longer: a slow peer keeps its messages, and only its, waiting;
	// shorter: a snapshot over a narrow link is cut off.
	TCPTimeout = 3 * time.Second
	// MaxPacketSize is the maximum size of one UDP packet, in bytes: below what an Ethernet link takes whole.
	MaxPacketSize = 1400
	// DeadNodeReclaimTime: a dead member's name may come back at another address after this. Longer: a restarted process that got
	// another port is kept out; 0 would mean never.
	DeadNodeReclaimTime = time.Second
	// JoinInterval: how often one address that should be there and is not is tried, until all are; and a name that was heard
	// of for so long, but not yet by memberlist, is asked for. Twice as long: two halves of a cut find each other later;
	// half: a gone machine costs a dial as often, and a whole state is asked for while gossip is still on its way.
	JoinInterval = 5 * time.Second
	// LeaveTimeout is how long leaving waits until that is sent.
	LeaveTimeout = time.Second
)

// bindAttempts is how often a free port for both TCP and UDP is looked for. Twice as many: a machine without one is told so
// later; half: a busy machine is taken for such.
const bindAttempts = 10

// MaxMembers members that are remembered; the longest dead go first, and new names are refused while all are there.
const MaxMembers = 1024

// DeadRetention is the time after which a dead or left member is forgotten. Longer: names of machines long gone stay in lists; shorter: one
// that is away for a reboot is unknown, not dead.
const DeadRetention = 15 * time.Minute

// Options of a member.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64   // of this process; grows with each start
	Bind        string   // host:port, UDP and TCP; port 0 takes a free one
	Advertise   string   // host:port that others use; empty: as bound
	Join        []string // host:port of some others
	Keys        string   // the keyring's file
	Log         *logrus.Entry

	// Receive receives the messages that others Send, one after the other, off memberlist's path. It may keep raw.
	Receive func(from string, raw []byte)

	// Transport, for tests, goes between memberlist and its sockets.
	Transport func(memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

	pushPullInterval time.Duration // for tests, instead of PushPullInterval if not 0
}

// Members is this process's part in the gossip.
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

// Open starts to listen and goes on trying to join the others until it has found them; it does not wait for that.
func Open(o Options) (*Members, error) {
	if o.Name == "" || len(o.Name) > MaxNameLength || len(o.Zone) > MaxNameLength {
		return nil, fmt.Errorf("member: a name of 1 to %d bytes is needed, a zone of at most as many", MaxNameLength)
	}
	if o.Log == nil {
		return nil, errors.New("member: no log")
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

// bind listens at host:port; for port 0 it tries several, as a port that is free for TCP may be taken for UDP.
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

// memberlistConfig is memberlist's configuration for this member, which listens at host and port.
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
	c.EnableCompression = false // records are a few dozen bytes, and snapshots come compressed or not by their own maker
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
		return "", 0, fmt.Errorf("member: %q is not an address and port", s)
	}
	return host, port, nil
}

// run beats, joins and forgets.
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
				nextJoin = now.Add(ProbeInterval) // nobody yet: the start of a fleet should not take longer than it must
			}
		}
		select {
		case <-m.stop:
			return
		case <-tick.C:
		}
	}
}

// addressesToJoin are the addresses to join that no living member has, and those of the dead. While a name is unknown to memberlist, the
// living are joined again too: memberlist announces a new member only so often, in a small fleet past one in a hundred,
// and whole states, which have it, would be exchanged only after one or two PushPullInterval.
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

// Addr is the address that others get.
func (m *Members) Addr() string { return m.list.LocalNode().Address() }

// Traffic is what this member caused so far: the packets that it sent and the streams that it dialled, both ways, in
// bytes, with 28 for the heads of each packet. Summed over the fleet it counts each byte once.
func (m *Members) Traffic() int64 { return m.traffic.bytes.Load() }

// Packets is how many packets this member sent so far; what goes by streams is not among them.
func (m *Members) Packets() int64 { return m.traffic.sent.Load() }

// ReloadKeys reads the keyring's file again: first add a key everywhere as the second line, then make it the first, then take the
// old one out.
func (m *Members) ReloadKeys() error { return reloadKeys(m.options.Keys, m.keys) }

// Leave announces that this member leaves, so that it is not taken for dead. It takes LeaveTimeout at the most.
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

// Close ends all of it without announcing it.
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
