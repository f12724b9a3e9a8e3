package duplexconn

import (
	"errors"
	"net"
	"syscall"
)

// Open says whether the peer's machine holds the connection still, as far as has been heard. It may be called from
// anywhere.
func (c *Conn) Open() bool {
	n, err := peek(c.nc)
	return n > 0 || nothing(err)
}

// Waits says whether bytes or the end of the connection can be read at once. It may be called from anywhere.
func (c *Conn) Waits() bool { return Waits(c.nc) }

// Waits says whether bytes or the end of a connection can be read at once.
func Waits(nc net.Conn) bool {
	_, err := peek(nc)
	return !nothing(err)
}

func nothing(err error) bool { return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) }

// peek looks at what a read would find at once. A read deadline in the past hides that from a read, but not from it.
func peek(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	if gone := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); gone != nil {
		return 0, gone
	}
	return n, err
}
