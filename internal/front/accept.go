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

// Sink takes queries and the news that their clients have left.
type Sink interface {
	Submit(*exchange.Query)
	ClientGone(*exchange.Query)
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
	pinned string // request header with a session's key; "": none is read
	marked string // request header with a mark for the lanes; "": none is read
	owner  string // header of a refusal that names the session's co-ordinator; "": none is written

	ln      net.Listener
	taken   chan struct{} // closed when Serve has ended
	mu      sync.Mutex
	room    *sync.Cond // a connection has ended, or may be asked to by now
	conns   map[*client]struct{}
	ending  atomic.Bool               // told to end
	leaving atomic.Bool               // past the time for clients to come: each answer closes its connection
	lastBy  atomic.Pointer[time.Time] // once told to end: when the last answer goes
	unread  atomic.Int64              // bytes of requests that are not yet whole
	toldAt  time.Time                 // of the last line on all connections being taken
	looked  func()                    // called with each look for room, for tests
}

// New returns a server. ready tells whether a list has been had.
func New(cfg *config.Config, sink Sink, ready func() bool, log *logrus.Entry) *Server {
	s := &Server{
		limits: cfg.Limits, names: cfg.Names, shards: cfg.Policy.Shards, sink: sink, ready: ready,
		log: logs.Limit(log, cfg.Limits.LogEvery), conns: map[*client]struct{}{}, taken: make(chan struct{}),
		looked: func() {},
	}
	for _, c := range cfg.Policy.Classes {
		s.keyed = append(s.keyed, c.Effect == policy.Keyed)
		s.giveUp = append(s.giveUp, time.Duration(c.GiveUp*float64(time.Second)))
	}
	s.room = sync.NewCond(&s.mu)
	return s
}

// Pin has the key of a query's session read from one request header, and the co-ordinator that has it named in another of
// a refusal, "" for not at all. To be called before Serve.
func (s *Server) Pin(key, owner string) { s.pinned, s.owner = key, owner }

// Mark has the mark of a query, by which the fleet's lanes may know its account, read from one request header. To be called
// before Serve.
func (s *Server) Mark(header string) { s.marked = header }

// Listen takes the address; from then on connections are accepted by the machine.
func (s *Server) Listen(address string) error {
	ln, err := net.Listen("tcp", address)
	s.ln = ln
	return err
}

// Addr is where the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve accepts until the listener is closed, or at the end until nobody waits. It is called once. Up to Clients connections are served. Past that one that can be
// spared makes room; where there is none the new one gets a refusal, and past ClientsOver of those the rest wait
// with the machine, so that descriptors never run out.
func (s *Server) Serve(ctx context.Context) error {
	defer close(s.taken)
	go s.tidy(ctx)
	for empty := false; ; {
		s.mu.Lock()
		for len(s.conns) >= s.limits.Clients+s.limits.ClientsOver && !s.leaving.Load() {
			if now := time.Now(); now.Sub(s.toldAt) >= s.limits.LogEvery {
				s.toldAt = now
				s.log.Warn("all connections are taken", s.census())
			}
			if wanted := len(s.conns) - s.limits.Clients - s.limits.ClientsOver + 1; s.going() < wanted {
				s.evict(nil)
			}
			s.looked()
			look := time.AfterFunc(s.limits.SlowRequest/4, func() { // one may be spared by then
				s.mu.Lock()
				s.room.Broadcast()
				s.mu.Unlock()
			})
			s.room.Wait()
			look.Stop()
		}
		full := len(s.conns) >= s.limits.Clients+s.limits.ClientsOver
		s.mu.Unlock()
		if full { // and leaving
			return s.ln.Close()
		}
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return nil
			}
			if s.leaving.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
				if empty {
					return s.ln.Close()
				}
				empty = s.look(lookTime)
				continue
			}
			s.log.Warn("accept failed", logrus.Fields{"error": err})
			time.Sleep(10 * time.Millisecond) // out of descriptors or memory for the moment
			continue
		}
		empty = false
		s.mu.Lock()
		c := newClient(s, nc)
		if len(s.conns) >= s.limits.Clients {
			c.over = !s.evict(c)
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// evict asks the client to go that can best be spared, among those alike the one that has waited longest. It is not the
// one that the room is for, which has sent nothing of use until its request is taken.
func (s *Server) evict(but *client) bool {
	var best *client
	var kind spare
	var since time.Time
	for c := range s.conns {
		if c == but {
			continue
		}
		if k, at := c.spared(); k != needed && (best == nil || k < kind || k == kind && at.Before(since)) {
			best, kind, since = c, k, at
		}
	}
	if best == nil {
		return false
	}
	return best.hangUp()
}

// going counts the clients that were asked to go and will as soon as they have the processor.
func (s *Server) going() (n int) {
	for c := range s.conns {
		c.mu.Lock()
		if c.hung && !c.stuck() {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// census tells what the connections are, for the log.
func (s *Server) census() logrus.Fields {
	f := logrus.Fields{"connections": len(s.conns)}
	n := map[string]int{}
	for c := range s.conns {
		c.mu.Lock()
		switch {
		case c.asked != nil:
			n["open"]++
		case c.closing:
			n["closing"]++
		case !c.partial.IsZero():
			n["unfinished"]++
		case !c.good:
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

// tidy closes connections that are between requests, the longest first, while there are too many. Guards against
// clients that ask once and keep their connections: each may hold only so many, and with those kept for nothing it
// has none left to ask on, however few of ours are in use.
func (s *Server) tidy(ctx context.Context) {
	tick := time.NewTicker(s.limits.TidyEvery)
	defer tick.Stop()
	type kept struct {
		c     *client
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
			if kind, since := c.spared(); kind == idle {
				between = append(between, kept{c, since})
			}
		}
		s.mu.Unlock()
		if over := len(between) - s.limits.IdleMost; over > 0 {
			slices.SortFunc(between, func(a, b kept) int { return a.since.Compare(b.since) })
			for _, k := range between[:over] {
				k.c.hangUp()
			}
		}
	}
}

// relieve looks once more for room for a client that came past the limit and has asked for something: there may be
// some by now. Without it the client is refused.
func (s *Server) relieve(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) <= s.limits.Clients || s.evict(c) {
		c.over = false
	}
	return !c.over
}

// gone closes a connection and forgets it, for all others at once: who has seen its end finds its place free, and what
// is not counted holds no descriptor.
func (s *Server) gone(c *client) {
	s.mu.Lock()
	c.conn.Close()
	delete(s.conns, c)
	s.room.Signal()
	s.mu.Unlock()
}
