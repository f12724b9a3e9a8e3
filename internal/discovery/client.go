package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/logs"
)

// Sink receives the endpoint list and its changes.
type Sink interface {
	UpdateReplicas(exchange.ReplicaList)
	WatchFailed()
}

// Client watches the endpoint list. A feed is one goroutine with one connection. There is one of them, except while the list
// moves to another address: then the old one goes on until the new one has a full list.
type Client struct {
	onDemand       bool // the decisions say when to watch
	retry          retryPolicy
	limits         config.Limits
	sink           Sink
	log            *logrus.Entry
	limitedLog     *logs.Limited
	watchRequested chan struct{}
	hasList        atomic.Bool
	confirmedAt    atomic.Pointer[time.Time] // last confirmation by a watch, or a full list, from the active address
	feeds          sync.WaitGroup
	conns          listConns
	unconfirmed    atomic.Bool // a watch has ended, and what it did not bring may count already

	mu      sync.Mutex
	ctx     context.Context // of Run, nil before
	active  *feed           // whose list is in force
	pending *feed           // at the address that was configured last, until it is active
}

// NoIndex is the index where there is no list.
const NoIndex int64 = -1

// New returns a client that has the list up to index already, or NoIndex. A list from before the start may be old: an agent is
// asked for the full one. A shared discovery reports what has changed since with the watch, by one call instead of two in the
// moment in which many may start.
func New(cfg *config.Config, index int64, sink Sink, log *logrus.Entry) *Client {
	c := &Client{
		onDemand: cfg.Policy.MustSubscribe, limits: cfg.Limits, sink: sink, log: log,
		limitedLog: logs.Limit(log, cfg.Limits.LogEvery), watchRequested: make(chan struct{}, 1),
		retry: newRetryPolicy(cfg.Policy.MustSubscribe, &cfg.Limits),
	}
	c.active = &feed{client: c, address: cfg.Discovery, index: index, fullListNeeded: !c.retry.shared || index == NoIndex, confirmedAt: time.Now()}
	return c
}

// Watch requests a watch, where the deployment has the decisions poll. It does not block.
func (c *Client) Watch() {
	select {
	case c.watchRequested <- struct{}{}:
	default:
	}
}

// ListPending says whether discovery has written something that has not been passed on to the sink, or may have meant to: a watch has
// ended and the full list has not come, for a moment. It counts as notified already. It does not block and may be called from any goroutine.
func (c *Client) ListPending() bool { return c.unconfirmed.Load() || c.conns.pending() }

// HasList says whether discovery has sent a list.
func (c *Client) HasList() bool { return c.hasList.Load() }

// ConfirmedAt is when the watch last confirmed that the list holds, zero for never.
func (c *Client) ConfirmedAt() time.Time {
	if at := c.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *Client) confirm(f *feed) {
	if c.isActive(f) {
		now := time.Now()
		c.confirmedAt.Store(&now)
	}
}

// Run watches until the context ends.
func (c *Client) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.startFeed(c.active)
	if c.pending != nil {
		c.startFeed(c.pending)
	}
	c.mu.Unlock()
	<-ctx.Done()
	c.feeds.Wait()
}

// Move changes to another address. The list stays in force, and the old address is read, until the new one has sent a full
// list; a move that follows before that replaces it. It may be called from any goroutine.
func (c *Client) Move(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.active
	if c.pending != nil {
		latest = c.pending
	}
	if latest.address == address {
		return
	}
	if c.pending != nil && c.pending.cancel != nil {
		c.pending.cancel()
	}
	c.pending = &feed{client: c, address: address, fullListNeeded: true}
	if c.ctx != nil {
		c.startFeed(c.pending)
	}
}

func (c *Client) startFeed(f *feed) {
	if c.ctx.Err() != nil {
		return
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(c.ctx)
	c.feeds.Go(func() { f.run(ctx) })
}

// isActive says whether a feed's list is in force.
func (c *Client) isActive(f *feed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active == f
}

// logRequest logs what is requested next, and why.
func (c *Client) logRequest(f *feed) {
	c.log.WithFields(logrus.Fields{
		"full": f.needsFullList(), "index": f.index, "address": f.address, "backoff": f.backoff,
		"unconfirmed": time.Since(f.confirmedAt).Round(time.Millisecond), "reason": f.lastErr,
	}).Info("the list is requested")
}

// logWatchEnd logs why a connection is of no more use.
func (c *Client) logWatchEnd(f *feed, err error) {
	c.limitedLog.Warn("the watch of the list ended", logrus.Fields{"error": err, "index": f.index, "address": f.address})
}

// logRequestFailure logs why a request has no answer.
func (c *Client) logRequestFailure(f *feed, err error) {
	c.limitedLog.Warn("a request for the list failed", logrus.Fields{"error": err, "index": f.index, "address": f.address})
}
