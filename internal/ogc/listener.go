package ogc

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// acceptIdleTimeout ends the accepting in a drain when no connection arrives for that long.
	acceptIdleTimeout = 5 * time.Millisecond
	// finalAcceptTimeout limits for how long a drain accepts connections while places are free.
	finalAcceptTimeout = 100 * time.Millisecond
	acceptRetryDelay   = 10 * time.Millisecond
)

// limitListener accepts connections while places are free, and one more; further ones wait in the kernel's listen queue. In a drain it first
// accepts those that wait there, since closing it would reset them.
type limitListener struct {
	net.Listener
	server   *Server
	places   chan struct{} // holds an element for each connection
	closed   chan struct{}
	closing  sync.Once
	acceptBy atomic.Pointer[time.Time] // deadline for accepting, set by drain
}

func newLimitListener(ln net.Listener, s *Server, places int) *limitListener {
	return &limitListener{Listener: ln, server: s, places: make(chan struct{}, places), closed: make(chan struct{})}
}

// Accept waits for a connection and for a free place. In a drain it returns net.ErrClosed once no connection waits in the listen
// queue, or after finalAcceptTimeout.
func (l *limitListener) Accept() (net.Conn, error) {
	nc, err := l.accept()
	if err != nil {
		return nil, err
	}
	if !l.acquire() {
		nc.Close()
		return nil, net.ErrClosed
	}
	return l.server.add(nc), nil
}

// acquire takes a place, and reports whether the listener is still open. While none is free, the most expendable connections are
// evicted. The time for which it waits in a drain is not lost to the connections in the listen queue.
func (l *limitListener) acquire() bool {
	select {
	case l.places <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(evictInterval)
	defer ticker.Stop()
	for acquired := false; !acquired; {
		l.server.evict()
		select {
		case l.places <- struct{}{}:
			acquired = true
		case <-l.closed:
			return false
		case <-ticker.C:
		}
	}
	if l.acceptBy.Load() != nil {
		l.drain()
	}
	return true
}

// accept accepts a connection. An error is likely a temporary lack of descriptors or memory, so it tries again.
func (l *limitListener) accept() (net.Conn, error) {
	for {
		by := l.acceptBy.Load()
		if by != nil {
			if !time.Now().Before(*by) {
				return nil, net.ErrClosed
			}
			l.setDeadline(time.Now().Add(acceptIdleTimeout))
		}
		nc, err := l.Listener.Accept()
		switch {
		case err == nil || errors.Is(err, net.ErrClosed):
			return nc, err
		case !errors.Is(err, os.ErrDeadlineExceeded):
			l.server.log.Warn("accept failed", logrus.Fields{"error": err})
			time.Sleep(acceptRetryDelay)
		case by != nil:
			return nil, net.ErrClosed
		}
	}
}

// drain ends the accepting once no connection waits in the listen queue.
func (l *limitListener) drain() {
	by := time.Now().Add(finalAcceptTimeout)
	l.acceptBy.Store(&by)
	l.setDeadline(time.Now())
}

func (l *limitListener) setDeadline(t time.Time) {
	if ln, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		ln.SetDeadline(t)
	}
}

// Close ends the accepting.
func (l *limitListener) Close() error {
	err := net.ErrClosed
	l.closing.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}
