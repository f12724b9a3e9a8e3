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

// listConn is a connection to discovery that reports whether it has unprocessed data: bytes in the kernel's receive buffer, or
// bytes that were read and are still being processed.
type listConn struct {
	net.Conn
	raw     syscall.RawConn
	reading atomic.Bool // set before each read; cleared when a read finds no data, so that it stays set while data is processed
}

// newListConn wraps a connection, which must give access to its file descriptor.
func newListConn(conn net.Conn) (*listConn, error) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	return &listConn{Conn: conn, raw: raw}, nil
}

// Read implements net.Conn. It sets reading before it takes data from the kernel, so that pending never misses the data.
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

// pending reports whether the connection has unprocessed data. The receive buffer is checked first: if the reader empties it
// after that check, reading is already set.
func (c *listConn) pending() bool { return duplexconn.Waits(c.Conn) || c.reading.Load() }

// listConns is the set of open connections.
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

// pending reports whether any open connection has unprocessed data.
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
