package front

import (
	"context"
	"time"
)

// isReady tells whether clients should come.
func (s *Server) isReady() bool { return !s.ending.Load() && s.ready() }

// hears tells whether a request that has begun may still be answered: not from the moment for the last answers on.
func (s *Server) hears() bool {
	end := s.lastBy.Load()
	return end == nil || time.Now().Before(*end)
}

// Drain ends the service. For a while it goes on accepting, since clients and their front learn of the end late, and
// serves the connections that are there as before: whoever takes our place may be starting still, and a client that is
// sent away has nowhere to go then. From then on each answer closes its connection unless a further request has begun
// there, idle ones are closed, and what is open or half read is waited for. What comes during the drain is given up in
// time before the process may be killed.
func (s *Server) Drain(ctx context.Context) {
	end := time.Now().Add(s.limits.EndTime)
	s.lastBy.Store(&end)
	s.ending.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.limits.DrainTime):
	}
	s.leaving.Store(true)
	s.mu.Lock()
	s.room.Broadcast()
	s.mu.Unlock()
	// Guards against requests that the machine has taken and nobody has read: the listener's end resets what waits there.
	if s.look(0) {
		select {
		case <-s.taken:
		case <-ctx.Done():
		case <-time.After(takeMost):
		}
	}
	s.ln.Close()
	for tick := time.NewTicker(drainTick); ; {
		s.mu.Lock()
		left := len(s.conns)
		idle := make([]*client, 0, left)
		for c := range s.conns {
			idle = append(idle, c)
		}
		s.mu.Unlock()
		if left == 0 && (s.hasTaken() || !s.hears()) {
			tick.Stop()
			return
		}
		for _, c := range idle {
			c.hangUp()
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

// hasTaken tells whether the accepting has ended: until then a connection that was accepted may not be among the others.
func (s *Server) hasTaken() bool {
	select {
	case <-s.taken:
		return true
	default:
		return false
	}
}

// look lets the accepting go on for a time, from now; false if the listener knows no times.
func (s *Server) look(during time.Duration) bool {
	ln, ok := s.ln.(interface{ SetDeadline(time.Time) error })
	return ok && ln.SetDeadline(time.Now().Add(during)) == nil
}

const (
	drainTick = 20 * time.Millisecond // how often the drain looks for connections that are done
	// lookTime without anybody to accept ends the accepting. Twice as long ends later by so much; half as long and a
	// busy machine finds nobody though one waits.
	lookTime = 5 * time.Millisecond
	// takeMost bounds the accepting at the end: clients that go on coming are refused by the machine then. Half as long
	// and a process that gets a quarter of a core does not come round to it.
	takeMost = 100 * time.Millisecond
)
