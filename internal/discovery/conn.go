package discovery

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"birchcart/internal/duplexconn"
)

// listConn is a connection to discovery that tells whether anything of it is still to be taken in: bytes that the kernel holds
// unread, or that were read and are not yet passed on.
type listConn struct {
	net.Conn
	raw     syscall.RawConn
	reading atomic.Bool // from before a read that finds something to the next that finds nothing
}

func newListConn(conn net.Conn) (*listConn, error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	return &listConn{Conn: conn, raw: raw}, nil
}

// Read reads as the connection does. What it takes from the kernel counts as pending at every moment: taking is set before.
func (c *listConn) Read(p []byte) (n int, err error) {
	pollErr := c.raw.Read(func(fd uintptr) bool {
		c.reading.Store(true)
		for n, err = syscall.Read(int(fd), p); errors.Is(err, syscall.EINTR); {
			n, err = syscall.Read(int(fd), p)
		}
		if errors.Is(err, syscall.EAGAIN) {
			c.reading.Store(false)
			return false
		}
		return true
	})
	switch {
	case pollErr != nil:
		c.reading.Store(false)
		return 0, pollErr
	case err != nil:
		return 0, os.NewSyscallError("read", err)
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// pending says whether something is to be taken in. The kernel is asked first: what the reader takes from it after that is seen by
// taking.
func (c *listConn) pending() bool { return duplexconn.Waits(c.Conn) || c.reading.Load() }

// listConns are the connections that are open.
type listConns struct {
	mu    sync.Mutex
	conns map[*listConn]struct{}
}

func (s *listConns) add(c *listConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*listConn]struct{}{}
	}
	s.conns[c] = struct{}{}
}

func (s *listConns) remove(c *listConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *listConns) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending() {
			return true
		}
	}
	return false
}
