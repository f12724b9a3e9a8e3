package front

import (
	"context"
	"time"
)

// isReady says whether clients should come.
func (s *Server) isReady() bool { return !s.draining.Load() && s.ready() }

// mayRespond says whether a request that has begun may still be answered: not from the moment for the last answers on.
func (s *Server) mayRespond() bool {
	end := s.lastReplyBy.Load()
	return end == nil || time.Now().Before(*end)
}

// Drain ends the service. For a while it goes on accepting, since clients and their front learn of the end late, and
// serves the connections that are there as before: whoever takes our place may be starting still, and a client that is
// sent away has nowhere to go then. From then on each answer closes its connection unless a further request has begun
// there, idle ones are closed, and what is open or half read is waited for. What comes during the drain is given up in
// time before the process may be killed.
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
	// Guards against requests that the machine has taken and nobody has read: the listener's end resets what waits there.
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
		left := len(s.conns)
		idle := make([]*clientConn, 0, left)
		for c := range s.conns {
			idle = append(idle, c)
		}
		s.mu.Unlock()
		if left == 0 && (s.acceptHasEnded() || !s.mayRespond()) {
			tick.Stop()
			return
		}
		for _, c := range idle {
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

// acceptHasEnded says whether the accepting has ended: until then a connection that was accepted may not be among the others.
func (s *Server) acceptHasEnded() bool {
	select {
	case <-s.acceptEnded:
		return true
	default:
		return false
	}
}

// extendAccept lets the accepting go on for a time, from now; false if the listener knows no times.
func (s *Server) extendAccept(during time.Duration) bool {
	ln, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	return ok && ln.SetDeadline(time.Now().Add(during)) == nil
}

const (
	drainTick = 20 * time.Millisecond // how often the drain looks for connections that are done
	// acceptIdleTimeout without anybody to accept ends the accepting. Twice as long ends later by so much; half as long and a
	// busy machine finds nobody though one waits.
	acceptIdleTimeout = 5 * time.Millisecond
	// finalAcceptTimeout bounds the accepting at the end: clients that go on coming are refused by the machine then. Half as long
	// and a process that gets a quarter of a core does not come round to it.
	finalAcceptTimeout = 100 * time.Millisecond
)
