// Package front is the HTTP server for clients: it accepts connections, parses queries, submits them to the
// exchange and writes the answers. One goroutine serves each connection.
package front

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/logs"
	"birchcart/internal/settings"
	"birchcart/policy"
)

// Sink receives queries, and is notified when the client of a query has disconnected.
type Sink interface {
	Submit(*exchange.Query)
	ClientGone(*exchange.Query)
}

// Server accepts client connections and serves their queries.
type Server struct {
	limits           config.Limits
	names            *settings.Names
	shards           int
	idempotencyKeyed []bool          // by class: whether its effect is policy.Keyed
	maxClientWait    []time.Duration // by class: the longest time that its clients wait, 0 if unknown
	sink             Sink
	ready            func() bool
	log              *logs.Limited
	sessionHeader    string // request header that carries the session key; empty if none is read
	laneHeader       string // request header that carries the lane mark; empty if none is read
	ownerHeader      string // header of a rejection that names the session's co-ordinator; empty if none is written

	listener     net.Listener
	acceptEnded  chan struct{} // closed when Serve returns
	mu           sync.Mutex
	slotFreed    *sync.Cond // signalled when a connection has ended, or when one may have become evictable
	conns        map[*clientConn]struct{}
	draining     atomic.Bool               // Drain has been called
	closing      atomic.Bool               // DrainTime is over: each answer closes its connection
	lastReplyBy  atomic.Pointer[time.Time] // deadline for the last answer, set by Drain
	partialBytes atomic.Int64              // total size of all incomplete requests
	pacer        *acceptPacer
	loggedAt     time.Time // when "all connections are in use" was last logged
	onEvict      func()    // test hook, called on each attempt to free a connection slot
}

// New returns a server. ready reports whether a replica list has been received.
func New(cfg *config.Config, sink Sink, ready func() bool, log *logrus.Entry) *Server {
	s := &Server{
		limits: cfg.Limits, names: cfg.Names, shards: cfg.Policy.Shards, sink: sink, ready: ready,
		log: logs.Limit(log, cfg.Limits.LogEvery), conns: map[*clientConn]struct{}{}, acceptEnded: make(chan struct{}),
		onEvict: func() {}, pacer: newAcceptPacer(cfg.Limits.Cores),
	}
	for _, c := range cfg.Policy.Classes {
		s.idempotencyKeyed = append(s.idempotencyKeyed, c.Effect == policy.Keyed)
		s.maxClientWait = append(s.maxClientWait, time.Duration(c.GiveUp*float64(time.Second)))
	}
	s.slotFreed = sync.NewCond(&s.mu)
	return s
}

// SetSessionHeader sets the request header that carries a query's session key, and the header of a rejection that names
// the co-ordinator that owns the session. An empty name disables the header. It must be called before Serve.
func (s *Server) SetSessionHeader(key, owner string) { s.sessionHeader, s.ownerHeader = key, owner }

// SetLaneHeader sets the request header that carries a query's lane mark, from which the fleet's lanes may identify its
// account. It must be called before Serve.
func (s *Server) SetLaneHeader(header string) { s.laneHeader = header }

// Listen binds the address. From then on the kernel accepts connections into the listen queue.
func (s *Server) Listen(address string) error {
	ln, err := net.Listen("tcp", address)
	s.listener = ln
	return err
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts connections until the listener is closed or, at the end of a drain, until no connection waits in the
// listen queue. It must be called only once. Up to Clients connections are served. A connection beyond that evicts an
// expendable one; if there is none, it gets a rejection. Once there are ClientsOver such connections, further ones stay in
// the kernel's listen queue, so that the process never runs out of descriptors.
func (s *Server) Serve(ctx context.Context) error {
	defer close(s.acceptEnded)
	go s.closeIdle(ctx)
	for extended := false; ; {
		s.mu.Lock()
		for len(s.conns) >= s.limits.Clients+s.limits.ClientsOver && !s.closing.Load() {
			if now := time.Now(); now.Sub(s.loggedAt) >= s.limits.LogEvery {
				s.loggedAt = now
				s.log.Warn("all connections are in use", s.connectionCounts())
			}
			if wanted := len(s.conns) - s.limits.Clients - s.limits.ClientsOver + 1; s.closingCount() < wanted {
				s.evict(nil)
			}
			s.onEvict()
			recheck := time.AfterFunc(s.limits.SlowRequest/4, func() { // a connection may have become evictable by then
				s.mu.Lock()
				s.slotFreed.Broadcast()
				s.mu.Unlock()
			})
			s.slotFreed.Wait()
			recheck.Stop()
		}
		full := len(s.conns) >= s.limits.Clients+s.limits.ClientsOver
		s.mu.Unlock()
		if full { // the loop above ended because the drain is closing connections
			return s.listener.Close()
		}
		if !s.closing.Load() {
			s.pacer.wait()
		}
		nc, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return nil
			}
			if s.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
				if extended {
					return s.listener.Close()
				}
				extended = s.extendAccept(acceptIdleTimeout)
				continue
			}
			s.log.Warn("accept failed", logrus.Fields{"error": err})
			time.Sleep(10 * time.Millisecond) // likely a temporary lack of descriptors or memory
			continue
		}
		extended = false
		s.mu.Lock()
		c := newClientConn(s, nc)
		if len(s.conns) >= s.limits.Clients {
			c.overLimit = !s.evict(c)
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// evict requests the close of the most expendable connection; among connections of equal priority, of the one that has
// been in its state longest. It reports whether a connection will close. The connection for which the slot is wanted is
// excluded: until its request is accepted it has sent no valid request, so it might be chosen itself.
func (s *Server) evict(except *clientConn) bool {
	var best *clientConn
	var priority evictionPriority
	var since time.Time
	for c := range s.conns {
		if c == except {
			continue
		}
		if p, at := c.evictable(); p != notEvictable && (best == nil || p < priority || p == priority && at.Before(since)) {
			best, priority, since = c, p, at
		}
	}
	if best == nil {
		return false
	}
	return best.requestClose()
}

// closingCount counts the connections whose close was requested and that close as soon as their goroutine is scheduled.
func (s *Server) closingCount() (n int) {
	for c := range s.conns {
		c.mu.Lock()
		if c.closeRequested && !c.isWriteBlocked() {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// connectionCounts counts the connections by state, for the log.
func (s *Server) connectionCounts() logrus.Fields {
	fields := logrus.Fields{"connections": len(s.conns)}
	counts := map[string]int{}
	for c := range s.conns {
		c.mu.Lock()
		switch {
		case c.current != nil:
			counts["open"]++
		case c.closing:
			counts["closing"]++
		case !c.partialSince.IsZero():
			counts["unfinished"]++
		case !c.sentValid:
			counts["silent"]++
		default:
			counts["idle"]++
		}
		c.mu.Unlock()
	}
	for state, count := range counts {
		fields[state] = count
	}
	return fields
}

// closeIdle closes connections that are between requests while there are more than IdleMost, the longest idle first. It
// guards against clients that send one request and keep the connection: a client may hold a limited number of connections,
// and if all of them are idle it has none left to query on, however few connections the server has in use.
func (s *Server) closeIdle(ctx context.Context) {
	tick := time.NewTicker(s.limits.TidyEvery)
	defer tick.Stop()
	type idleConn struct {
		c     *clientConn
		since time.Time
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var idle []idleConn
		s.mu.Lock()
		for c := range s.conns {
			if priority, since := c.evictable(); priority == evictIdle {
				idle = append(idle, idleConn{c, since})
			}
		}
		s.mu.Unlock()
		if excess := len(idle) - s.limits.IdleMost; excess > 0 {
			slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
			for _, conn := range idle[:excess] {
				conn.c.requestClose()
			}
		}
	}
}

// admitOverLimit tries again to free a slot for a connection over the limit that has sent a request, since a slot may have
// become free or a connection evictable meanwhile. If it returns false, the request is rejected.
func (s *Server) admitOverLimit(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) <= s.limits.Clients || s.evict(c) {
		c.overLimit = false
	}
	return !c.overLimit
}

// remove closes a connection and deletes it from the server in one critical section: a client that has seen the close
// finds the slot free, and a connection that is not counted holds no descriptor.
func (s *Server) remove(c *clientConn) {
	s.mu.Lock()
	c.conn.Close()
	delete(s.conns, c)
	s.slotFreed.Signal()
	s.mu.Unlock()
}
