package front

import (
	"context"
	"time"
)

// isReady reports whether clients should send requests to this server.
func (s *Server) isReady() bool { return !s.draining.Load() && s.ready() }

// mayRespond reports whether an incomplete request may still be answered. Once the deadline for the last answer has passed
// it may not.
func (s *Server) mayRespond() bool {
	end := s.lastReplyBy.Load()
	return end == nil || time.Now().Before(*end)
}

// Drain shuts the server down gracefully. For DrainTime it accepts connections and serves the existing ones as before:
// clients and load balancers learn of the shutdown late, and a successor may still be starting, so that rejected clients
// would have no other server. After that each answer closes its connection unless another request has begun on it, idle
// connections are closed, and pending queries and partly read requests are waited for. Queries received during the drain
// are due before the process may be killed.
func (s *Server) Drain(ctx context.Context) {
	end := time.Now().Add(s.limits.EndTime)
	s.lastReplyBy.Store(&end)
	s.draining.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.limits.DrainTime):
	}
	s.closing.Store(true)
	s.mu.Lock()
	s.slotFreed.Broadcast()
	s.mu.Unlock()
	// Connections that wait in the kernel's listen queue may carry requests, and closing the listener would reset them.
	if s.extendAccept(0) {
		select {
		case <-s.acceptEnded:
		case <-ctx.Done():
		case <-time.After(finalAcceptTimeout):
		}
	}
	s.listener.Close()
	for tick := time.NewTicker(drainTick); ; {
		s.mu.Lock()
		remaining := len(s.conns)
		conns := make([]*clientConn, 0, remaining)
		for c := range s.conns {
			conns = append(conns, c)
		}
		s.mu.Unlock()
		if remaining == 0 && (s.acceptHasEnded() || !s.mayRespond()) {
			tick.Stop()
			return
		}
		for _, c := range conns {
			c.requestClose()
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

// acceptHasEnded reports whether Serve has returned. Until then there may be an accepted connection that is not yet in conns.
func (s *Server) acceptHasEnded() bool {
	select {
	case <-s.acceptEnded:
		return true
	default:
		return false
	}
}

// extendAccept sets the deadline for accepting connections to d from now. It returns false if the listener does not support
// deadlines.
func (s *Server) extendAccept(d time.Duration) bool {
	ln, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && ln.SetDeadline(time.Now().Add(d)) == nil
}

const (
	drainTick = 20 * time.Millisecond // interval at which Drain checks for connections that can close
	// acceptIdleTimeout ends the accepting when no connection arrives for that long. Twice as long would delay the end of
	// the drain by as much; with half as long, a busy machine misses a connection that waits in the listen queue.
	acceptIdleTimeout = 5 * time.Millisecond
	// finalAcceptTimeout limits how long Drain goes on accepting; after that the kernel refuses new connections. With half
	// as long, a process limited to a quarter of a core may not get to run the accept loop.
	finalAcceptTimeout = 100 * time.Millisecond
)
