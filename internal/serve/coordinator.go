package serve

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/discovery"
	"birchcart/internal/exchange"
	"birchcart/internal/front"
	"birchcart/internal/ogc"
	"birchcart/internal/operator"
	"birchcart/internal/record"
	"birchcart/internal/replica"
	"birchcart/internal/replica/featureserver"
	"birchcart/policy"
)

const (
	recordFlushTimeout = 500 * time.Millisecond // at the end, for the disk; well before SIGKILL may come
	firstListTime      = 100 * time.Millisecond // for the agent's first list, before clients are accepted
	firstListLook      = time.Millisecond
)

// coordinator holds the parts of one co-ordinator: build makes them, start lets them run, drain ends the serving, close
// releases what build and start have opened.
type coordinator struct {
	original  *config.Config // as it was read
	config    *config.Config // the same, with the limits shared with the feature queries
	operator  *operator.File // nil if there is none
	args      Args
	process   *Process
	extension Extension // nil if there is none
	log       *logrus.Entry

	began     time.Time
	known     exchange.ReplicaList // the list of before the start, empty if there is none
	listKnown bool                 // known names a replica that is up, and is in use from the start
	exchange  *exchange.Exchange
	frames    *replica.Pool
	forward   *featureserver.Pool // nil if no query is forwarded to feature servers
	discovery *discovery.Client
	front     *front.Server
	features  *ogc.Server // nil if feature queries are off

	running context.Context // of the goroutines that outlive the drain's begin
	closers []func()        // what close runs, the last first
}

// onClose adds what close has to run.
func (c *coordinator) onClose(f func()) { c.closers = append(c.closers, f) }

// close releases what was opened, the last first.
func (c *coordinator) close() {
	for _, f := range slices.Backward(c.closers) {
		f()
	}
}

// withFeatures says that the operators' file opens the front for feature queries.
func (c *coordinator) withFeatures() bool { return c.operator != nil && c.operator.Fronts.OGC != nil }

// ready says that a load balancer may send clients here.
func (c *coordinator) ready() bool {
	return c.listKnown || c.discovery.HasList() || time.Since(c.began) >= c.config.Limits.ReadyBy
}

// build makes the parts and connects them. Nothing runs or listens yet.
func (c *coordinator) build(other *config.Config) error {
	c.began, c.config = time.Now(), c.original
	if c.withFeatures() {
		shared := *c.original
		shared.Limits = c.original.Limits.WithFeatures()
		c.config = &shared
	}
	tuneRuntime(c.config.Limits)
	c.exchange = exchange.New(c.config, c.log)
	replicas := c.buildReplicas()
	c.discovery = discovery.New(c.config, c.readKnownList(), c.exchange, c.log)
	c.exchange.Connect(replicas, c.discovery)
	c.frames.HoldForList(c.listPending)
	if c.forward != nil {
		c.forward.HoldForList(c.listPending)
	}
	c.buildFronts()
	if err := c.applyRoutes(); err != nil {
		return err
	}
	if err := c.openRecording(); err != nil {
		return err
	}
	if other != nil {
		r := newRehearsal(other, c.config.Limits.TellEvery, c.log)
		c.exchange.Observe(r.observe)
		c.onClose(r.close)
		c.log.Info("the settings of another configuration are watched")
	}
	return nil
}

// buildReplicas makes the client side: replicas that speak frames, and feature servers if queries are forwarded to them.
func (c *coordinator) buildReplicas() exchange.Replicas {
	if !c.withFeatures() || !c.operator.Fronts.OGC.Forward {
		c.frames = replica.New(c.config, c.exchange, c.log)
		return c.frames
	}
	frames, servers := c.config.Limits.WithForward()
	divided := *c.config
	divided.Limits = frames
	c.frames = replica.New(&divided, c.exchange, c.log)
	forward := featureserver.New(servers, c.exchange, c.log)
	c.onClose(forward.Close)
	c.forward = forward
	return replica.NewMux(c.frames, forward)
}

// listPending says whether discovery has written a change that the replica side does not know yet. Discovery is asked first: it
// passes a change on to the exchange before it is done with it.
func (c *coordinator) listPending() bool {
	return c.discovery.ListPending() || c.exchange.ListPending()
}

// readKnownList reads the list of before the start, and returns its index: NoIndex if there is none. It is passed on to the exchange
// at once where discovery is shared. An agent counts as heard from the first moment, and may have newer changes: its list is awaited.
func (c *coordinator) readKnownList() int64 {
	if len(c.config.Known) == 0 {
		return discovery.NoIndex
	}
	list, at, _, err := discovery.Parse(c.config.Known)
	if err != nil {
		c.log.WithError(err).Warn("the known list is passed over")
		return discovery.NoIndex
	}
	if len(list.Entries) == 0 { // an empty one is no ground for asking for changes alone
		return discovery.NoIndex
	}
	list.Full, list.Stale, list.Source = true, true, "configuration"
	if c.known = list; c.config.Policy.MustSubscribe {
		c.listKnown = slices.ContainsFunc(list.Entries, func(e exchange.Endpoint) bool { return e.State == policy.Up })
		c.exchange.UpdateReplicas(list)
	}
	return at
}

// awaitList waits until the agent has sent its list, for firstListTime at the most, so that clients who come first are not refused. If
// the agent stays silent until ReadyBy, the list of before the start is used.
func (c *coordinator) awaitList(ctx context.Context) {
	if c.config.Policy.MustSubscribe || len(c.known.Entries) == 0 {
		return
	}
	fallback := time.AfterFunc(time.Until(c.began.Add(c.config.Limits.ReadyBy)), func() { c.discovery.UseUnlessListed(c.known) })
	c.onClose(func() { fallback.Stop() })
	for end := time.Now().Add(firstListTime); !c.discovery.HasList() && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(firstListLook):
		}
	}
}

// buildFronts makes the server side.
func (c *coordinator) buildFronts() {
	c.front = front.New(c.config, c.exchange, c.ready, c.log)
	if c.operator != nil && c.operator.Fleet != nil {
		if s := c.operator.Fleet.Sessions; s != nil {
			c.front.SetSessionHeader(s.Header, s.Owner)
		}
		if l := c.operator.Fleet.Lanes; l != nil {
			c.front.SetLaneHeader(l.Header)
		}
	}
	if c.withFeatures() {
		c.features = ogc.New(c.config, c.operator, c.exchange, c.ready, c.log)
	}
}

// applyRoutes puts the routes of the operators' file into force.
func (c *coordinator) applyRoutes() error {
	if c.operator == nil {
		return nil
	}
	table, err := c.operator.Table(c.config.Names, c.config.Policy.Shards)
	if err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	if table != nil {
		c.exchange.SetRoutes(table)
	}
	return nil
}

// openRecording begins to record the traffic, if the command line asks for it.
func (c *coordinator) openRecording() error {
	if c.args.Record == "" {
		return nil
	}
	f, err := os.OpenFile(c.args.Record, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600) // what was recorded before is kept
	if err != nil {
		return fmt.Errorf("recording: %w", err)
	}
	c.onClose(func() { _ = f.Close() })
	w := record.NewWriter(f, c.config.Name, time.Now())
	c.exchange.Record(w)
	c.onClose(func() {
		if err := w.Close(recordFlushTimeout); err != nil {
			c.log.WithError(err).Error("the recording is not whole")
		}
	})
	return nil
}

// listen opens the addresses for clients.
func (c *coordinator) listen() error {
	if err := c.front.Listen(c.config.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if c.features == nil {
		return nil
	}
	if err := c.features.Listen(c.operator.Fronts.OGC.Listen); err != nil {
		return fmt.Errorf("listen for feature queries: %w", err)
	}
	return nil
}

// start lets the parts run. It returns the context at whose end the drain begins, and a channel for the error with which a front
// ends by itself.
func (c *coordinator) start(ctx context.Context, hangups <-chan os.Signal) (context.Context, <-chan error, error) {
	if c.extension == nil { // after all that can refuse a start: what the machine has accepted by then would be lost
		if err := c.listen(); err != nil {
			return ctx, nil, err
		}
	} else {
		var err error
		if ctx, err = c.startExtension(ctx); err != nil {
			return ctx, nil, err
		}
	}
	var stop context.CancelFunc
	c.running, stop = context.WithCancel(context.Background())
	c.onClose(stop)
	go c.exchange.Run(c.running)
	go c.discovery.Run(c.running)
	r := &reloader{config: c.original, source: c.args.Source, discovery: c.discovery, Process: c.process,
		features: c.features, exchange: c.exchange, extension: c.extension, log: c.log}
	go r.run(c.running, hangups)
	if c.extension != nil {
		c.extension.AwaitReady(ctx) // before it listens: a query that came meanwhile would wait too
		if err := c.listen(); err != nil {
			return ctx, nil, err
		}
	}
	c.awaitList(ctx)
	return ctx, c.serveFronts(), nil
}

// startExtension starts the extension, which may end the context that it returns.
func (c *coordinator) startExtension(ctx context.Context) (context.Context, error) {
	ctx, shutdown := context.WithCancel(ctx)
	c.onClose(shutdown)
	c.onClose(c.extension.Stop)
	return ctx, c.extension.Start(Host{Config: c.original, Operator: c.operator, Exchange: c.exchange,
		ListConfirmedAt: c.discovery.ConfirmedAt, Log: c.log, Shutdown: shutdown})
}

// serveFronts begins to accept clients.
func (c *coordinator) serveFronts() <-chan error {
	served := make(chan error, 2)
	go func() { served <- c.front.Serve(c.running) }()
	if c.features != nil {
		go func() {
			if err := c.features.Serve(); err != nil {
				served <- err
			}
		}()
		c.log.WithField("listen", c.features.Addr()).Info("serving feature queries")
	}
	c.log.WithFields(logrus.Fields{
		"listen": c.config.Listen, "discovery": c.config.Discovery, "classes": len(c.config.Policy.Classes),
		"replicas_known": c.listKnown || c.discovery.HasList(), "memory": c.config.Limits.Memory, "descriptors": c.config.Limits.Sockets,
	}).Info("serving")
	return served
}

// drain answers all that was taken, and closes the connections to replicas.
func (c *coordinator) drain() {
	began := time.Now()
	c.log.Info("told to end: draining")
	var others sync.WaitGroup
	if c.features != nil {
		others.Go(func() { c.features.Drain(c.running) })
	}
	if c.extension != nil {
		others.Go(c.extension.Drain)
	}
	c.front.Drain(c.running)
	others.Wait()
	c.frames.Close()
	c.log.WithField("after", time.Since(began).Round(time.Millisecond)).Info("ended")
}
