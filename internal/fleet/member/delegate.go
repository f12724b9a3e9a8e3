package member

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"birchcart/internal/fleet/sourceaddr"
)

// delegate is what the engine calls. It calls with its own locks held: nothing here waits or calls back.
type delegate struct{ m *Members }

// The first byte of a message between members.
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
		d.records(b[1:])
	case kindMessage:
		d.m.inbox.put(b[1:])
	default:
		d.m.log.Debugf("a message of a kind that this program does not know: %d", b[0])
	}
}

func (d *delegate) records(b []byte) {
	if err := d.m.news.take(b, time.Now()); err != nil {
		d.m.log.Debug(err)
	}
}

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	if b := d.m.news.some(limit-overhead, time.Now()); b != nil {
		return [][]byte{b}
	}
	return nil
}

func (d *delegate) LocalState(bool) []byte { return d.m.news.all(time.Now()) }

func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	if len(b) > 0 && b[0] == kindRecords {
		d.records(b[1:])
	}
}

func (d *delegate) NotifyJoin(n *memberlist.Node)        { d.m.news.engine(n, true) }
func (d *delegate) NotifyUpdate(n *memberlist.Node)      { d.m.news.engine(n, true) }
func (d *delegate) NotifyLeave(n *memberlist.Node)       { d.m.news.engine(n, false) }
func (d *delegate) NotifyAlive(n *memberlist.Node) error { return d.m.news.room(n.Name) }

// AckPayload tells the own record in the answer to a probe: news at first hand for a few bytes.
func (d *delegate) AckPayload() []byte {
	d.m.news.mu.Lock()
	defer d.m.news.mu.Unlock()
	return d.m.news.own(nil, time.Now())
}

func (d *delegate) NotifyPingComplete(_ *memberlist.Node, _ time.Duration, payload []byte) {
	d.records(payload)
}

// counted counts the bytes on the sockets, and dials from the address that the member listens at.
type counted struct {
	memberlist.NodeAwareTransport
	bytes atomic.Int64
	sent  atomic.Int64 // packets
	from  net.IP       // where it listens; nil if that is no address
}

// head is what IP and UDP add to a packet, in bytes.
const head = 28

func (c *counted) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	c.sent.Add(1)
	c.bytes.Add(int64(len(b) + head))
	return c.NodeAwareTransport.WriteToAddress(b, a)
}

func (c *counted) WriteTo(b []byte, addr string) (time.Time, error) {
	c.sent.Add(1)
	c.bytes.Add(int64(len(b) + head))
	return c.NodeAwareTransport.WriteTo(b, addr)
}

func (c *counted) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	// The engine's own dial leaves the source to the kernel.
	conn, err := sourceaddr.Dial(c.from, a.Addr, wait)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, c: c}, nil
}

// countedConn counts both ways at the side that dialled.
type countedConn struct {
	net.Conn
	c *counted
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.bytes.Add(int64(n))
	return n, err
}
