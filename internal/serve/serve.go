// Package serve runs a co-ordinator: it puts the sides together, serves until it is told to end, drains, and reads its
// files again on SIGHUP. Programs share it; each has its own command line, and what it runs beside the serving.
package serve

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
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
	memoryShare = 0.6                    // of the memory limit for the heap; stacks, the program and the kernel take of it too
	recordFlush = 500 * time.Millisecond // at the end, for the disk; well before SIGKILL may come
	gcPercent   = 200                    // the heap is small: collect less often, and harder only near the limit
)

// Run serves until SIGTERM or an interrupt, and reads the files again at each hangup. Beside, nil for none, is run too.
func Run(args Args, p *Process, hangups <-chan os.Signal, beside Beside) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// For good: once stop has run a further SIGTERM would end the process while it writes the last lines of its log.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, os.Interrupt)
	cfg, op, err := args.Files()
	if err != nil {
		return err
	}
	if err := fits(cfg, op, beside); err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	other, err := loadRehearsal(args.Rehearse, cfg)
	if err != nil {
		return err
	}
	p.apply(op)
	return serve(ctx, cfg, other, op, args, hangups, p, beside)
}

// fit keeps the runtime within the machine: one thread for each whole core, and a heap below the limit.
func fit(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(l.Memory)))
}

// serve runs a co-ordinator until ctx ends, and then until all that it took is answered. The settings of other, nil
// for none, are watched.
func serve(ctx context.Context, cfg, other *config.Config, op *operator.File, args Args, hangups <-chan os.Signal, p *Process, beside Beside) error {
	log := p.log.WithField("node", cfg.Name)
	began := time.Now()
	given := cfg
	withFeatures := op != nil && op.Fronts.OGC != nil
	if withFeatures {
		shared := *cfg
		shared.Limits = cfg.Limits.WithFeatures()
		cfg = &shared
	}
	fit(cfg.Limits)
	ex := exchange.New(cfg, log)
	var replicas exchange.Replicas
	var pool *replica.Pool
	if withFeatures && op.Fronts.OGC.Forward {
		frames, servers := cfg.Limits.WithForward()
		parted := *cfg
		parted.Limits = frames
		pool = replica.New(&parted, ex, log)
		forward := featureserver.New(servers, ex, log)
		defer forward.Close()
		replicas = replica.NewMux(pool, forward)
	} else {
		pool = replica.New(cfg, ex, log)
		replicas = pool
	}
	index, known := discovery.NoIndex, false
	if len(cfg.Known) > 0 {
		list, at, _, err := discovery.Parse(cfg.Known)
		if err != nil {
			log.WithError(err).Warn("the known list is passed over")
		} else {
			list.Full, list.Stale = true, true
			if len(list.Entries) > 0 { // an empty one is no ground for asking for changes alone
				index = at
			}
			known = slices.ContainsFunc(list.Entries, func(e exchange.Entry) bool { return e.State == policy.Up })
			ex.Listed(list)
		}
	}
	disc := discovery.New(cfg, index, ex, log)
	ex.Join(replicas, disc)
	ready := func() bool { return known || disc.HasList() || time.Since(began) >= cfg.Limits.ReadyBy }
	server := front.New(cfg, ex, ready, log)
	if op != nil && op.Fleet != nil && op.Fleet.Sessions != nil {
		server.Pin(op.Fleet.Sessions.Header, op.Fleet.Sessions.Owner)
	}
	if op != nil && op.Fleet != nil && op.Fleet.Lanes != nil {
		server.Mark(op.Fleet.Lanes.Header)
	}
	var features *ogc.Server
	if withFeatures {
		features = ogc.New(cfg, op, ex, ready, log)
	}
	listen := func() error {
		if err := server.Listen(cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if features != nil {
			if err := features.Listen(op.Fronts.OGC.Listen); err != nil {
				return fmt.Errorf("listen for feature queries: %w", err)
			}
		}
		return nil
	}
	if op != nil {
		table, err := op.Table(cfg.Names, cfg.Policy.Shards)
		if err != nil {
			return fmt.Errorf("operators' file: %w", err)
		}
		if table != nil {
			ex.Routes(table)
		}
	}
	if args.Record != "" {
		f, err := os.OpenFile(args.Record, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600) // what was recorded before is kept
		if err != nil {
			return fmt.Errorf("recording: %w", err)
		}
		defer f.Close()
		w := record.NewWriter(f, cfg.Name, time.Now())
		ex.Record(w)
		defer func() {
			if err := w.Close(recordFlush); err != nil {
				log.WithError(err).Error("the recording is not whole")
			}
		}()
	}
	if other != nil {
		r := newRehearsal(other, cfg.Limits.TellEvery, log)
		ex.Observe(r.turn)
		defer r.end()
		log.Info("the settings of another configuration are watched")
	}
	if ctx.Err() != nil { // nothing was taken yet, and a listener's end would cut off whoever came meanwhile
		log.Info("told to end before it listened")
		return nil
	}
	if beside == nil { // after all that can refuse a start: what the machine has accepted by then would be lost
		if err := listen(); err != nil {
			return err
		}
	}
	if beside != nil {
		var endByIt context.CancelFunc
		ctx, endByIt = context.WithCancel(ctx)
		defer endByIt()
		defer beside.Stop()
		if err := beside.Start(Serving{Config: given, Operator: op, Exchange: ex, Heard: disc.Heard, Log: log, End: endByIt}); err != nil {
			return err
		}
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	go ex.Run(running)
	go disc.Run(running)
	go (&reloader{cfg: given, src: args.Source, disc: disc, Process: p, features: features, ex: ex, beside: beside, log: log}).run(running, hangups)
	if beside != nil {
		beside.Await(ctx) // before it listens: a query that came meanwhile would wait too
		if err := listen(); err != nil {
			return err
		}
	}
	served := make(chan error, 2)
	go func() { served <- server.Serve(running) }()
	if withFeatures {
		go func() {
			if err := features.Serve(); err != nil {
				served <- err
			}
		}()
		log.WithField("listen", features.Addr()).Info("serving feature queries")
	}
	log.WithFields(logrus.Fields{
		"listen": cfg.Listen, "discovery": cfg.Discovery, "classes": len(cfg.Policy.Classes),
		"replicas_known": known, "memory": cfg.Limits.Memory, "descriptors": cfg.Limits.Sockets,
	}).Info("serving")
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	told := time.Now()
	log.Info("told to end: draining")
	var both sync.WaitGroup
	if withFeatures {
		both.Go(func() { features.Drain(running) })
	}
	if beside != nil {
		both.Go(beside.Leave)
	}
	server.Drain(running)
	both.Wait()
	pool.Close()
	log.WithField("after", time.Since(told).Round(time.Millisecond)).Info("ended")
	return nil
}
