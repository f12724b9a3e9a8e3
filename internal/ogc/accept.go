package ogc

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/logs"
	"birchcart/internal/operator"
)

const (
	headBytes  = 72 << 10 // of a request: a box or a filter of 64 KB is to be told what is wrong with it, not cut off
	writeChunk = 32 << 10 // bytes that a client must take within a write's time
	leastSlots = 4        // connections
)

// Sink takes queries and the news that their clients have left.
type Sink interface {
	Submit(*exchange.Query)
	ClientGone(*exchange.Query)
}

// Server is the front.
type Server struct {
	cfg    *config.Config
	limits config.Limits
	sink   Sink
	ready  func() bool
	log    *logs.Limited
	key    []byte // of cursors, where the file has none
	ids    string // beginning of our queries' ids
	lastID atomic.Uint64

	now          atomic.Pointer[snapshot]
	listener     *limitListener
	http         *http.Server
	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	accepting    atomic.Bool               // Listen has been called, and Serve has not returned
	draining     atomic.Bool               // Drain has been called: each answer closes its connection
	lastReplyBy  atomic.Pointer[time.Time] // deadline for the last answer, set by Drain
	memory       *pageMemory
	aheadBytes   atomic.Int64 // bytes that have been read ahead on all connections
	partialBytes atomic.Int64 // bytes of incomplete requests on all connections
}

// New returns a front for a file that has the section and was checked against the deployment.
func New(cfg *config.Config, f *operator.File, sink Sink, ready func() bool, entry *logrus.Entry) *Server {
	s := &Server{
		cfg: cfg, limits: cfg.Limits, sink: sink, ready: ready, log: logs.Limit(entry, cfg.Limits.LogEvery), key: randomKey(),
		ids: newIDs(), conns: map[*clientConn]struct{}{}, memory: newPageMemory(cfg.Limits.UnreadBytes),
	}
	s.now.Store(s.newSnapshot(f))
	s.http = &http.Server{
		Handler: s.handler(), MaxHeaderBytes: headBytes, ReadHeaderTimeout: s.limits.FirstTime, ReadTimeout: s.limits.RequestTime,
		WriteTimeout: s.limits.WriteTime, IdleTimeout: s.limits.ClientIdle, ErrorLog: log.New(io.Discard, "", 0),
		ConnState: s.onState, ConnContext: withConn,
	}
	return s
}

// newSnapshot compiles a file for this server.
func (s *Server) newSnapshot(f *operator.File) *snapshot {
	compiled := newSnapshot(f, s.cfg, s.key)
	compiled.maxParts = min(compiled.op.PartsMost, s.memory.maxParts())
	return compiled
}

// Apply puts another file into force, for requests from now on. Where it listens stays.
func (s *Server) Apply(f *operator.File) {
	if f.Fronts.OGC != nil {
		s.now.Store(s.newSnapshot(f))
	}
}

// Listen takes the address, for FeatureClients connections at the most; further ones wait with the machine.
func (s *Server) Listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err == nil {
		s.listener = newLimitListener(ln, s, max(leastSlots, s.limits.FeatureClients))
		s.accepting.Store(true)
	}
	return err
}

// Addr is where the front listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts connections until Drain has accepted the last, or Close.
func (s *Server) Serve() error {
	defer s.accepting.Store(false)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// add registers an accepted connection.
func (s *Server) add(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, server: s, acceptedAt: time.Now()}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c
}

// remove deletes a connection and frees its place.
func (s *Server) remove(c *clientConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	<-s.listener.places
}

// connKey is the key of a request's connection in the request's context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns a request's connection.
func connOf(r *http.Request) *clientConn { return r.Context().Value(connKey{}).(*clientConn) }

// Close ends the front at once.
func (s *Server) Close() { s.http.Close() }
