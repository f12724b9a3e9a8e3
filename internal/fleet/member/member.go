// Package member says who is there: co-ordinators find each other and tell small records of themselves by gossip
// (memberlist, encrypted with a keyring from a file), and send each other single messages. Each piece of news has its
// age; what was not heard is Unknown, and nothing here is ever a promise: what must hold is agreed in the raft group.
package member

import (
	"errors"
	"fmt"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"birchcart/internal/fleet/logadapter"
)

// Of the gossip engine, for a fleet of 300 in one network at under 4 KB/s a node at rest.
const (
	// ProbeEvery: each member probes one other in this time, all in turn. Twice as long: a death is seen in twice
	// the time (suspicion lasts 4 * log10(members) of these, 10 s at 300); half: twice the packets at rest.
	ProbeEvery = time.Second
	// ProbeWait for an answer, then it is asked for through three others. Twice as long: nothing is left of
	// ProbeEvery for those; half: a member with a long pause of its collector is suspected.
	ProbeWait = 500 * time.Millisecond
	// GossipEvery and GossipTo: so often what is new goes to so many others. Twice as often: news is everywhere in
	// 2 s, not 4 s, at 300, and packets cost more in heads than in words; half: 8 s.
	GossipEvery = 500 * time.Millisecond
	GossipTo    = 2
	// StateEvery: a whole exchange of states with one other, over TCP; the engine stretches it to 5 times this at 300.
	// Twice as often: some 0.7 KB/s more there; half: what gossip missed is late.
	StateEvery = time.Minute
	// StreamWait is the most that one TCP message may take. Longer: a slow peer keeps its messages, and only its, waiting;
	// shorter: a snapshot over a narrow link is cut off.
	StreamWait = 3 * time.Second
	// PacketMost is the most that is put into one UDP packet, in bytes: below what an Ethernet link takes whole.
	PacketMost = 1400
	// ReclaimAfter: a dead member's name may come back at another address after this. Longer: a restarted process that got
	// another port is kept out; 0 would mean never.
	ReclaimAfter = time.Second
	// JoinEvery: so often one address that should be there and is not is tried, until all are; and a name that was heard
	// of for so long, but not yet by the engine, is asked for. Twice as long: two halves of a cut find each other later;
	// half: a gone machine costs a dial as often, and a whole state is asked for while gossip is still on its way.
	JoinEvery = 5 * time.Second
	// LeaveWait is how long leaving waits for its word to go out.
	LeaveWait = time.Second
)

// Most members that are remembered; the longest dead go first, and new names are refused while all are there.
const Most = 1024

// ForgetDead is the time after which a dead or left member is forgotten. Longer: names of machines long gone stay in lists; shorter: one
// that is away for a reboot is unknown, not dead.
const ForgetDead = 15 * time.Minute

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

	// Receive gets the messages that others Send, one after the other, off the engine's path. It may keep raw.
	Receive func(from string, raw []byte)

	// Transport, for tests, goes between the engine and its sockets.
	Transport func(memberlist.NodeAwareTransport) memberlist.NodeAwareTransport

	stateEvery time.Duration // for tests, instead of StateEvery if not 0
}

// Members is this process's part in the gossip.
type Members struct {
	o     Options
	log   *logrus.Entry
	list  *memberlist.Memberlist
	count *counted
	keys  *memberlist.Keyring

	news  news
	lanes lanes
	inbox inbox

	stop chan struct{}
	done sync.WaitGroup
	once sync.Once
}

// Open starts to listen and goes on trying to join the others until it has found them; it does not wait for that.
func Open(o Options) (*Members, error) {
	if o.Name == "" || len(o.Name) > NameMost || len(o.Zone) > NameMost {
		return nil, fmt.Errorf("member: a name of 1 to %d bytes is needed, a zone of at most as many", NameMost)
	}
	if o.Log == nil {
		return nil, errors.New("member: no log")
	}
	ring, err := readKeys(o.Keys)
	if err != nil {
		return nil, err
	}
	m := &Members{o: o, log: o.Log, keys: ring, stop: make(chan struct{})}
	m.news.init(o)
	m.inbox.init(o.Receive)
	m.lanes.init(m)
	lines := logadapter.New(o.Log)

	host, port, err := address(o.Bind)
	if err != nil {
		return nil, err
	}
	sockets, err := listen(host, port, lines.Standard())
	for try := 0; err != nil && port == 0 && try < 10; try++ { // a port free for TCP may be taken for UDP
		sockets, err = listen(host, port, lines.Standard())
	}
	if err != nil {
		return nil, fmt.Errorf("member: listening on %s: %w", o.Bind, err)
	}
	m.count = &counted{NodeAwareTransport: sockets, from: net.ParseIP(host)}

	c := memberlist.DefaultLANConfig()
	c.Name, c.Keyring, c.Logger = o.Name, ring, lines.Standard()
	c.BindAddr, c.BindPort = host, sockets.port()
	c.AdvertisePort = c.BindPort
	c.Transport = memberlist.NodeAwareTransport(m.count)
	if o.Transport != nil {
		c.Transport = o.Transport(m.count)
	}
	if o.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = address(o.Advertise); err != nil {
			_ = sockets.Shutdown()
			return nil, err
		}
	}
	c.ProbeInterval, c.ProbeTimeout = ProbeEvery, ProbeWait
	c.GossipInterval, c.GossipNodes = GossipEvery, GossipTo
	c.PushPullInterval, c.TCPTimeout = StateEvery, StreamWait
	c.UDPBufferSize, c.DeadNodeReclaimTime = PacketMost, ReclaimAfter
	if o.stateEvery > 0 {
		c.PushPullInterval = o.stateEvery
	}
	c.RequireNodeNames = false
	c.EnableCompression = false // records are a few dozen bytes, and snapshots come compressed or not by their own maker
	d := &delegate{m}
	c.Delegate, c.Events, c.Alive, c.Ping = d, d, d, d

	if m.list, err = memberlist.Create(c); err != nil {
		_ = sockets.Shutdown()
		return nil, fmt.Errorf("member: %w", err)
	}
	m.done.Add(2)
	go m.run()
	go func() { defer m.done.Done(); m.inbox.run(m.stop) }()
	return m, nil
}

func address(s string) (host string, port int, err error) {
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
	next, turn := time.Time{}, 0
	for {
		now := time.Now()
		m.news.beat(now)
		if !now.Before(next) {
			if missing := m.missing(now); len(missing) > 0 {
				_, _ = m.list.Join([]string{missing[turn%len(missing)]})
				turn++
			}
			next = now.Add(JoinEvery)
			if m.news.alone() {
				next = now.Add(ProbeEvery) // nobody yet: the start of a fleet should not take longer than it must
			}
		}
		select {
		case <-m.stop:
			return
		case <-tick.C:
		}
	}
}

// missing are the addresses to join that no living member has, and those of the dead. While a name is strange, the
// living are joined again too: the engine tells of a new member only so often, in a small fleet past one in a hundred,
// and whole states, which have it, would be exchanged only after one or two StateEvery.
func (m *Members) missing(now time.Time) (out []string) {
	there, dead := m.news.addresses()
	if m.news.strange(now) {
		for a := range there {
			out = append(out, a)
		}
		sort.Strings(out)
	}
	there[m.Addr()] = true
	for _, a := range append(append([]string{}, m.o.Join...), dead...) {
		if !there[a] {
			out = append(out, a)
			there[a] = true
		}
	}
	return out
}

// Addr is the address that others are told.
func (m *Members) Addr() string { return m.list.LocalNode().Address() }

// Traffic is what this member caused so far: the packets that it sent and the streams that it dialled, both ways, in
// bytes, with 28 for the heads of each packet. Summed over the fleet it counts each byte once.
func (m *Members) Traffic() int64 { return m.count.bytes.Load() }

// Packets is how many packets this member sent so far; what goes by streams is not among them.
func (m *Members) Packets() int64 { return m.count.sent.Load() }

// ReloadKeys reads the keyring's file again: first add a key everywhere as the second line, then make it the first, then take the
// old one out.
func (m *Members) ReloadKeys() error { return reloadKeys(m.o.Keys, m.keys) }

// Leave says that this member goes, so that it is not taken for dead. It takes LeaveWait at the most.
func (m *Members) Leave() error {
	select {
	case <-m.stop:
		return ErrClosed
	default:
	}
	farewell := m.news.leave()
	for _, n := range m.news.nodes() {
		_ = m.list.SendBestEffort(&n, farewell)
	}
	return m.list.Leave(LeaveWait)
}

// Close ends all of it without a word to the others.
func (m *Members) Close() error {
	var err error
	m.once.Do(func() {
		close(m.stop)
		err = m.list.Shutdown()
		m.lanes.wait()
		m.done.Wait()
	})
	return err
}
