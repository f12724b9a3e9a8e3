package ogc

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

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

	now     atomic.Pointer[snapshot]
	ln      net.Listener
	http    *http.Server
	ending  atomic.Bool
	lastBy  atomic.Pointer[time.Time] // once told to end: when the last answer goes
	holding atomic.Int64              // bytes of answers that clients have not taken yet
}

// New returns a front for a file that has the section and was checked against the deployment.
func New(cfg *config.Config, f *operator.File, sink Sink, ready func() bool, entry *logrus.Entry) *Server {
	s := &Server{
		cfg: cfg, limits: cfg.Limits, sink: sink, ready: ready, log: logs.Limit(entry, cfg.Limits.LogEvery), key: randomKey(),
		ids: newIDs(),
	}
	s.now.Store(newSnapshot(f, cfg, s.key))
	s.http = &http.Server{
		Handler: s.handler(), MaxHeaderBytes: headBytes, ReadHeaderTimeout: s.limits.FirstTime, ReadTimeout: s.limits.RequestTime,
		WriteTimeout: s.limits.WriteTime, IdleTimeout: s.limits.ClientIdle, ErrorLog: log.New(io.Discard, "", 0),
	}
	return s
}

// Apply puts another file into force, for requests from now on. Where it listens stays.
func (s *Server) Apply(f *operator.File) {
	if f.Fronts.OGC != nil {
		s.now.Store(newSnapshot(f, s.cfg, s.key))
	}
}

// Listen takes the address, for FeatureClients connections at the most; further ones wait with the machine.
func (s *Server) Listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err == nil {
		s.ln = netutil.LimitListener(ln, max(leastSlots, s.limits.FeatureClients))
	}
	return err
}

// Addr is where the front listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Serve answers until Drain.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the front at once.
func (s *Server) Close() { s.http.Close() }

// Drain ends the front as the users' is ended: for a while it goes on, then it takes no more, and what it took is
// answered, however late its time is over: only SIGKILL may end that. It returns when the last connection is closed.
func (s *Server) Drain(ctx context.Context) {
	end := time.Now().Add(s.limits.EndTime)
	s.lastBy.Store(&end)
	s.ending.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.limits.DrainTime):
	}
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}
