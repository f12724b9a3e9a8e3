// Package front is the server side: it accepts clients, reads their queries, hands these to the exchange and
// writes the answers. A connection has one goroutine.
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

// Sink takes queries and the messages that their clients have gone.
type Sink interface {
	Submit(*exchange.Query)
	ClientGone(*exchange.Query)
}

// Server accepts clients.
type Server struct {
	limits           config.Limits
	names            *settings.Names
	shards           int
	idempotencyKeyed []bool          // by class
	maxClientWait    []time.Duration // by class: the longest that its clients wait, 0 if that is not told
	sink             Sink
	ready            func() bool
	log              *logs.Limited
	sessionHeader    string // request header with a session's key; "": none is read
	laneHeader       string // request header with a mark for the lanes; "": none is read
	ownerHeader      string // header of a rejection that names the session's co-ordinator; "": none is written

	listener     net.Listener
	acceptEnded  chan struct{} // closed when Serve has ended
	mu           sync.Mutex
	slotFreed    *sync.Cond // a connection has ended, or may be asked to by now
	conns        map[*clientConn]struct{}
	draining     atomic.Bool               // told to end
	closing      atomic.Bool               // past the time for clients to come: each answer closes its connection
	lastReplyBy  atomic.Pointer[time.Time] // once told to end: when the last answer goes
	partialBytes atomic.Int64              // bytes of requests that are not yet complete
	loggedAt     time.Time                 // of the last line on all connections being taken
	onEvict      func()                    // called with each look for room, for tests
}

// New returns a server. ready says whether a list has come.
func New(cfg *config.Config, sink Sink, ready func() bool, log *logrus.Entry) *Server {
	s := &Server{
		limits: cfg.Limits, names: cfg.Names, shards: cfg.Policy.Shards, sink: sink, ready: ready,
		log: logs.Limit(log, cfg.Limits.LogEvery), conns: map[*clientConn]struct{}{}, acceptEnded: make(chan struct{}),
		onEvict: func() {},
	}
	for _, c := range cfg.Policy.Classes {
		s.idempotencyKeyed = append(s.idempotencyKeyed, c.Effect == policy.Keyed)
		s.maxClientWait = append(s.maxClientWait, time.Duration(c.GiveUp*float64(time.Second)))
	}
	s.slotFreed = sync.NewCond(&s.mu)
	return s
}

// SetSessionHeader has the key of a query's session read from one request header, and the co-ordinator that has it named in another of
// a refusal, "" for not at all. To be called before Serve.
func (s *Server) SetSessionHeader(key, owner string) { s.sessionHeader, s.ownerHeader = key, owner }

// SetLaneHeader has the mark of a query, by which the fleet's lanes may know its account, read from one request header. To be called
// before Serve.
func (s *Server) SetLaneHeader(header string) { s.laneHeader = header }

// Listen takes the address; from then on connections are accepted by the machine.
func (s *Server) Listen(address string) error {
	ln, err := net.Listen("tcp", address)
	s.listener = ln
	return err
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts until the listener is closed, or at the end until nobody waits. It is called once. Up to Clients connections are served. Past that one that can be
// spared makes room; where there is none the new one gets a rejection, and past ClientsOver of those the rest wait
// with the machine, so that descriptors never run out.
func (s *Server) Serve(ctx context.Context) error {
	defer close(s.acceptEnded)
	go s.closeIdle(ctx)
	for empty := false; ; {
		s.mu.Lock()
		for len(s.conns) >= s.limits.Clients+s.limits.ClientsOver && !s.closing.Load() {
			if now := time.Now(); now.Sub(s.loggedAt) >= s.limits.LogEvery {
				s.loggedAt = now
				s.log.Warn("all connections are taken", s.connectionCounts())
			}
			if wanted := len(s.conns) - s.limits.Clients - s.limits.ClientsOver + 1; s.closingCount() < wanted {
				s.evict(nil)
			}
			s.onEvict()
			look := time.AfterFunc(s.limits.SlowRequest/4, func() { // one may be spared by then
				s.mu.Lock()
				s.slotFreed.Broadcast()
				s.mu.Unlock()
			})
			s.slotFreed.Wait()
			look.Stop()
		}
		full := len(s.conns) >= s.limits.Clients+s.limits.ClientsOver
		s.mu.Unlock()
		if full { // and leaving
			return s.listener.Close()
		}
		nc, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return nil
			}
			if s.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
				if empty {
					return s.listener.Close()
				}
				empty = s.extendAccept(acceptIdleTimeout)
				continue
			}
			s.log.Warn("accept failed", logrus.Fields{"error": err})
			time.Sleep(10 * time.Millisecond) // out of descriptors or memory for the moment
			continue
		}
		empty = false
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

// evict asks the client to go that can best be spared, among those alike the one that has waited longest. It is not the
// one that the room is for, which has sent nothing of use until its request is taken.
func (s *Server) evict(but *clientConn) bool {
	var best *clientConn
	var kind evictionPriority
	var since time.Time
	for c := range s.conns {
		if c == but {
			continue
		}
		if k, at := c.evictable(); k != notEvictable && (best == nil || k < kind || k == kind && at.Before(since)) {
			best, kind, since = c, k, at
		}
	}
	if best == nil {
		return false
	}
	return best.requestClose()
}

// closingCount counts the clients that were asked to close and will as soon as they have the processor.
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

// connectionCounts counts the connections by what they do, for the log.
func (s *Server) connectionCounts() logrus.Fields {
	f := logrus.Fields{"connections": len(s.conns)}
	n := map[string]int{}
	for c := range s.conns {
		c.mu.Lock()
		switch {
		case c.current != nil:
			n["open"]++
		case c.closing:
			n["closing"]++
		case !c.partialSince.IsZero():
			n["unfinished"]++
		case !c.sentValid:
			n["silent"]++
		default:
			n["idle"]++
		}
		c.mu.Unlock()
	}
	for kind, count := range n {
		f[kind] = count
	}
	return f
}

// closeIdle closes connections that are between requests, the longest first, while there are too many. Guards against
// clients that ask once and keep their connections: each may hold only so many, and with those kept for nothing it
// has none left to ask on, however few of ours are in use.
func (s *Server) closeIdle(ctx context.Context) {
	tick := time.NewTicker(s.limits.TidyEvery)
	defer tick.Stop()
	type kept struct {
		c     *clientConn
		since time.Time
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var between []kept
		s.mu.Lock()
		for c := range s.conns {
			if kind, since := c.evictable(); kind == evictIdle {
				between = append(between, kept{c, since})
			}
		}
		s.mu.Unlock()
		if over := len(between) - s.limits.IdleMost; over > 0 {
			slices.SortFunc(between, func(a, b kept) int { return a.since.Compare(b.since) })
			for _, k := range between[:over] {
				k.c.requestClose()
			}
		}
	}
}

// admitOverLimit looks once more for room for a client that came past the limit and has asked for something: there may be
// some by now. Without it the client is rejected.
func (s *Server) admitOverLimit(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) <= s.limits.Clients || s.evict(c) {
		c.overLimit = false
	}
	return !c.overLimit
}

// remove closes a connection and forgets it, for all others at once: who has seen its end finds its place free, and what
// is not counted holds no descriptor.
func (s *Server) remove(c *clientConn) {
	s.mu.Lock()
	c.conn.Close()
	delete(s.conns, c)
	s.slotFreed.Signal()
	s.mu.Unlock()
}
