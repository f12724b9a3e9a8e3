// Package front is the server side: it accepts clients, reads their queries, hands these to the exchange and
// writes the answers. A connection has one goroutine.
package front

import (
	"context"
	"errors"
	"net"
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

// Sink takes queries and the news that their clients have left.
type Sink interface {
	Submit(*exchange.Query)
	Leave(*exchange.Query)
}

// Server accepts clients.
type Server struct {
	limits config.Limits
	names  *settings.Names
	shards int
	keyed  []bool          // by class
	giveUp []time.Duration // by class: the longest that its clients wait, 0 if that is not told
	sink   Sink
	ready  func() bool
	log    *logs.Limited

	ln      net.Listener
	mu      sync.Mutex
	room    *sync.Cond // a connection has ended, or may be asked to by now
	conns   map[*client]struct{}
	ending  atomic.Bool               // told to end
	leaving atomic.Bool               // past the time for clients to come: each answer closes its connection
	lastBy  atomic.Pointer[time.Time] // once told to end: when the last answer goes
	unread  atomic.Int64              // bytes of requests that are not yet whole
}

// New returns a server. ready tells whether a list has been had.
func New(cfg *config.Config, sink Sink, ready func() bool, log *logrus.Entry) *Server {
	s := &Server{
		limits: cfg.Limits, names: cfg.Names, shards: cfg.Policy.Shards, sink: sink, ready: ready,
		log: logs.Limit(log, cfg.Limits.LogEvery), conns: map[*client]struct{}{},
	}
	for _, c := range cfg.Policy.Classes {
		s.keyed = append(s.keyed, c.Effect == policy.Keyed)
		s.giveUp = append(s.giveUp, time.Duration(c.GiveUp*float64(time.Second)))
	}
	s.room = sync.NewCond(&s.mu)
	return s
}

// Listen takes the address; from then on connections are accepted by the machine.
func (s *Server) Listen(address string) error {
	ln, err := net.Listen("tcp", address)
	s.ln = ln
	return err
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve accepts until the listener is closed. Up to Clients connections are served. Past that one that can be
// spared makes room; where there is none the new one gets a refusal, and past ClientsOver of those the rest wait
// with the machine, so that descriptors never run out.
func (s *Server) Serve(ctx context.Context) error {
	for {
		s.mu.Lock()
		for len(s.conns) >= s.limits.Clients+s.limits.ClientsOver && !s.ending.Load() {
			s.log.Warn("all connections are taken", logrus.Fields{"connections": len(s.conns)})
			s.evict()
			look := time.AfterFunc(s.limits.SlowRequest/4, s.room.Broadcast) // one may be spared by then
			s.room.Wait()
			look.Stop()
		}
		s.mu.Unlock()
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return nil
			}
			s.log.Warn("accept failed", logrus.Fields{"error": err})
			time.Sleep(10 * time.Millisecond) // out of descriptors or memory for the moment
			continue
		}
		s.mu.Lock()
		c := newClient(s, nc)
		if len(s.conns) >= s.limits.Clients {
			c.over = !s.evict()
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// evict asks the client to go that can best be spared, among those alike the one that has waited longest.
func (s *Server) evict() bool {
	var best *client
	var kind spare
	var since time.Time
	for c := range s.conns {
		if k, at := c.spared(); k != needed && (best == nil || k < kind || k == kind && at.Before(since)) {
			best, kind, since = c, k, at
		}
	}
	if best == nil {
		return false
	}
	best.hangUp()
	return true
}

// relieve looks once more for room for a client that came past the limit and has asked for something: there may be
// some by now. Without it the client is refused.
func (s *Server) relieve(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) <= s.limits.Clients || s.evict() {
		c.over = false
	}
	return !c.over
}

// gone forgets a connection.
func (s *Server) gone(c *client) {
	s.mu.Lock()
	delete(s.conns, c)
	s.room.Signal()
	s.mu.Unlock()
}
