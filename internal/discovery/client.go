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

// Sink receives the endpoint list and its changes, and is notified of failures where the policy requests the watches.
type Sink interface {
	// UpdateReplicas applies a full list or a change.
	UpdateReplicas(exchange.ReplicaList)
	// WatchFailed reports that a short watch ended or that requests keep failing.
	WatchFailed()
}

// Client watches the endpoint list. Each address is read by a feed, which has its own goroutine. There is one feed, except during
// a move to another address: the old feed continues until the new one has read a full list.
type Client struct {
	onDemand       bool // the policy requests the watches
	retry          retryPolicy
	limits         config.Limits
	sink           Sink
	log            *logrus.Entry
	limitedLog     *logs.Limited
	watchRequested chan struct{}
	hasList        atomic.Bool
	confirmedAt    atomic.Pointer[time.Time] // last time at which a watch of the active address confirmed the list
	feeds          sync.WaitGroup
	conns          listConns
	current        atomic.Pointer[feed] // active, for ListPending

	mu      sync.Mutex
	ctx     context.Context // the context of Run, nil before Run
	active  *feed           // the feed whose list is in use
	pending *feed           // the feed of a new address until it has read a full list, otherwise nil
}

// NoIndex is the index of a client without a list.
const NoIndex int64 = -1

// New returns a client whose list is known up to index, or is empty if index is NoIndex. A list that was saved before the start
// may be out of date, so the client requests the full list from an agent. From a shared discovery it requests a watch after
// index, whose response begins with the changes since then: one call instead of two while many co-ordinators may be starting.
func New(cfg *config.Config, index int64, sink Sink, log *logrus.Entry) *Client {
	c := &Client{
		onDemand: cfg.Policy.MustSubscribe, limits: cfg.Limits, sink: sink, log: log,
		limitedLog: logs.Limit(log, cfg.Limits.LogEvery), watchRequested: make(chan struct{}, 1),
		retry: newRetryPolicy(cfg.Policy.MustSubscribe, &cfg.Limits),
	}
	c.active = &feed{client: c, address: cfg.Discovery, index: index, fullListNeeded: !c.retry.shared || index == NoIndex, confirmedAt: time.Now()}
	c.current.Store(c.active)
	return c
}

// Watch requests the list where the policy requests the watches. The first call starts the client; later calls have no effect.
// It does not block.
func (c *Client) Watch() {
	select {
	case c.watchRequested <- struct{}{}:
	default:
	}
}

// ListPending reports whether discovery may have a change that was not passed on to the sink yet: either a connection has
// unprocessed data, or an agent was not heard for too long to rely on the list. Such a change counts as delivered already.
// ListPending does not block on the network and may be called from any goroutine.
func (c *Client) ListPending() bool {
	// The connections come first: if a watch ends between the two checks, the second one finds no sound watch.
	return c.conns.pending() || !c.current.Load().isCurrent(time.Now())
}

// UseUnlessListed passes a list of before the start on to the sink if discovery has not sent one yet.
func (c *Client) UseUnlessListed(list exchange.ReplicaList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasList.Load() {
		c.sink.UpdateReplicas(list)
	}
}

// HasList reports whether discovery has sent a list.
func (c *Client) HasList() bool { return c.hasList.Load() }

// ConfirmedAt returns when a watch last confirmed that the list is current, or the zero time.
func (c *Client) ConfirmedAt() time.Time {
	if at := c.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// confirm records that a feed has confirmed the list, if the feed is active.
func (c *Client) confirm(f *feed) {
	if c.isActive(f) {
		now := time.Now()
		c.confirmedAt.Store(&now)
	}
}

// Run keeps the list up to date until the context ends.
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

// Move changes the address of discovery. The list stays in use and the old address is read until the new one has sent a full
// list. A further call before that replaces the move. Move may be called from any goroutine.
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

// startFeed runs a feed in a goroutine unless the client is stopped.
func (c *Client) startFeed(f *feed) {
	if c.ctx.Err() != nil {
		return
	}
	var ctx context.Context
	ctx, f.cancel = context.WithCancel(c.ctx)
	c.feeds.Go(func() { f.run(ctx) })
}

// isActive reports whether the list of a feed is in use.
func (c *Client) isActive(f *feed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active == f
}

// logRequest logs the next request and the reason for it.
func (c *Client) logRequest(f *feed) {
	c.log.WithFields(logrus.Fields{
		"full": f.needsFullList(), "index": f.index, "address": f.address, "backoff": f.backoff,
		"unconfirmed": time.Since(f.confirmedAt).Round(time.Millisecond), "reason": f.lastErr,
	}).Info("the list is requested")
}

// logWatchEnd logs why a connection ended, or why a request was interrupted.
func (c *Client) logWatchEnd(f *feed, s *stream, err error) {
	fields := logrus.Fields{"error": err, "index": f.index, "address": f.address, "unconfirmed": time.Since(f.confirmedAt).Round(time.Millisecond)}
	if s != nil {
		fields["call_age"], fields["watching"] = time.Since(s.startedAt).Round(time.Millisecond), s.watching
	}
	c.limitedLog.Warn("the watch for changes of the list ended", fields)
}

// logMissedChange logs that a check has found a change which the watch has not reported.
func (c *Client) logMissedChange(w *watchCheck, index int64) {
	fields := logrus.Fields{
		"index": w.feed.heldIndex.Load(), "found": index, "address": w.feed.address,
		"call_age": time.Since(w.watch.startedAt).Round(time.Millisecond),
	}
	if heard := w.watch.heardAt.Load(); heard != nil {
		fields["heartbeat_age"] = time.Since(*heard).Round(time.Millisecond)
	}
	c.log.WithFields(fields).Warn("the watch has not reported a change that discovery has")
}

// logRequestFailure logs why an attempt failed.
func (c *Client) logRequestFailure(f *feed, err error) {
	c.limitedLog.Warn("a request for the list failed", logrus.Fields{"error": err, "index": f.index, "address": f.address})
}
