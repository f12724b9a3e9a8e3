package raftgroup

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"birchcart/internal/fleet/sourceaddr"
)

// MaxConns limits open connections, incoming and outgoing together; further ones are refused. Raft holds up to about 10 to
// each voter.
const MaxConns = 128

// streamLayer implements raft.StreamLayer over TCP. It tracks all connections and closes them in Close, because raft leaves
// them open when it shuts down.
type streamLayer struct {
	net.Listener
	addr     net.Addr
	sourceIP net.IP // address it listens on, also used as the source of outgoing connections

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

type advertisedAddr string

func (advertisedAddr) Network() string  { return "tcp" }
func (a advertisedAddr) String() string { return string(a) }

func listen(o Options) (*streamLayer, error) {
	l, err := net.Listen("tcp", o.Bind)
	if err != nil {
		return nil, fmt.Errorf("raftgroup: listening: %w", err)
	}
	s := &streamLayer{Listener: l, addr: l.Addr(), conns: map[net.Conn]bool{}}
	if at, ok := l.Addr().(*net.TCPAddr); ok {
		s.sourceIP = at.IP
	}
	if o.Advertise != "" {
		s.addr = advertisedAddr(o.Advertise)
	}
	return s, nil
}

func (s *streamLayer) Addr() net.Addr { return s.addr }

func (s *streamLayer) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, err := s.track(conn); err == nil {
			return c, nil
		}
	}
}

func (s *streamLayer) Dial(a raft.ServerAddress, wait time.Duration) (net.Conn, error) {
	conn, err := sourceaddr.Dial(s.sourceIP, string(a), wait)
	if err != nil {
		return nil, err
	}
	return s.track(conn)
}

func (s *streamLayer) track(conn net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= MaxConns {
		conn.Close()
		return nil, fmt.Errorf("raftgroup: connection refused: %d are open, closed: %v", len(s.conns), s.closed)
	}
	c := &trackedConn{conn, s}
	s.conns[c] = true
	return c, nil
}

// Close closes the listener and all connections. It may be called more than once.
func (s *streamLayer) Close() error {
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	var all []net.Conn
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.Close()
	}
	if !first {
		return nil
	}
	return s.Listener.Close()
}

type trackedConn struct {
	net.Conn
	layer *streamLayer
}

func (c *trackedConn) Close() error {
	c.layer.mu.Lock()
	delete(c.layer.conns, c)
	c.layer.mu.Unlock()
	return c.Conn.Close()
}
