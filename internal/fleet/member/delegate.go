package member

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"birchcart/internal/fleet/sourceaddr"
)

// delegate implements memberlist's callbacks. memberlist calls them with its locks held, so they must not block or call memberlist.
type delegate struct{ m *Members }

// Kinds of messages between members: the first byte of a message.
const (
	kindRecords = 'r'
	kindMessage = 'm'
)

func (d *delegate) NodeMeta(int) []byte { return nil }

func (d *delegate) NotifyMsg(b []byte) {
	if len(b) == 0 {
		return
	}
	switch b[0] {
	case kindRecords:
		d.mergeRecords(b[1:])
	case kindMessage:
		d.m.inbox.enqueue(b[1:])
	default:
		d.m.log.Debugf("ignored a message of unknown kind %d", b[0])
	}
}

func (d *delegate) mergeRecords(b []byte) {
	if err := d.m.table.merge(b, time.Now()); err != nil {
		d.m.log.Debug(err)
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	if b := d.m.table.broadcast(limit-overhead, time.Now()); b != nil {
		return [][]byte{b}
	}
	return nil
}

func (d *delegate) LocalState(bool) []byte { return d.m.table.allRecords(time.Now()) }

func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	if len(b) > 0 && b[0] == kindRecords {
		d.mergeRecords(b[1:])
	}
}

func (d *delegate) NotifyJoin(n *memberlist.Node)        { d.m.table.setState(n, true) }
func (d *delegate) NotifyUpdate(n *memberlist.Node)      { d.m.table.setState(n, true) }
func (d *delegate) NotifyLeave(n *memberlist.Node)       { d.m.table.setState(n, false) }
func (d *delegate) NotifyAlive(n *memberlist.Node) error { return d.m.table.checkCapacity(n.Name) }

// AckPayload adds this member's record to the answer to a probe, so that the prober gets it directly from its source for a few bytes.
func (d *delegate) AckPayload() []byte {
	d.m.table.mu.Lock()
	defer d.m.table.mu.Unlock()
	return d.m.table.appendOwn(nil, time.Now())
}

func (d *delegate) NotifyPingComplete(_ *memberlist.Node, _ time.Duration, payload []byte) {
	d.mergeRecords(payload)
}

// countingTransport counts the bytes sent and received, and dials from the address on which the member listens.
type countingTransport struct {
	memberlist.NodeAwareTransport
	bytes  atomic.Int64
	sent   atomic.Int64 // packets
	source net.IP       // listen address; nil if it is not an IP address
}

// packetOverhead is the size of the IP and UDP headers of a packet in bytes.
const packetOverhead = 28

func (c *countingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	c.sent.Add(1)
	c.bytes.Add(int64(len(b) + packetOverhead))
	return c.NodeAwareTransport.WriteToAddress(b, a)
}

func (c *countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	c.sent.Add(1)
	c.bytes.Add(int64(len(b) + packetOverhead))
	return c.NodeAwareTransport.WriteTo(b, addr)
}

func (c *countingTransport) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	// memberlist's own dialling leaves the source address to the kernel.
	conn, err := sourceaddr.Dial(c.source, a.Addr, wait)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, transport: c}, nil
}

// countingConn counts the bytes in both directions of a connection at the side that dialled it.
type countingConn struct {
	net.Conn
	transport *countingTransport
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.bytes.Add(int64(n))
	return n, err
}
