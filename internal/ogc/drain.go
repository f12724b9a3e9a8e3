package ogc

import (
	"context"
	"maps"
	"slices"
	"time"
)

// drainTick is the interval at which Drain checks for connections that can close.
const drainTick = 20 * time.Millisecond

// mayRespond reports whether an incomplete request may still be answered. Once the deadline for the last answer has passed
// it may not.
func (s *Server) mayRespond() bool {
	end := s.lastReplyBy.Load()
	return end == nil || time.Now().Before(*end)
}

// Drain shuts the server down gracefully. For DrainTime it accepts connections as before, since clients and load balancers
// learn of the shutdown late. After that idle connections are closed, and pending queries and partly read requests are waited
// for. Queries received during the drain are due before the process may be killed; those from before keep their time.
//
// The HTTP library's Shutdown would drop requests that are read in part, or while it runs.
func (s *Server) Drain(ctx context.Context) {
	end := time.Now().Add(s.limits.EndTime)
	s.lastReplyBy.Store(&end)
	s.draining.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.limits.DrainTime):
	}
	s.listener.drain()
	for tick := time.NewTicker(drainTick); !s.closeIdle(); {
		select {
		case <-ctx.Done():
			tick.Stop()
			s.Close()
			return
		case <-tick.C:
		}
	}
	s.Close()
}

// closeIdle asks the connections that may close to do so, and reports whether none is left and no further one is accepted.
func (s *Server) closeIdle() (drained bool) {
	accepting := s.accepting.Load()
	if !s.mayRespond() {
		s.listener.Close()
		accepting = false // also if Serve was never called
	}
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		c.requestClose()
	}
	return len(conns) == 0 && !accepting
}
