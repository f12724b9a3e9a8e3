// Package serve runs a co-ordinator: it builds its parts, serves until it is told to end, drains, and reads its files again on
// SIGHUP. Programs share it; each has its own command line, and the extension that it runs beside the serving.
package serve

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"birchcart/internal/config"
	"birchcart/internal/operator"
)

const (
	heapFraction = 0.6 // of the memory limit for the heap; stacks, the program and the kernel take of it too
	gcPercent    = 200 // the heap is small: collect less often, and harder only near the limit
)

// Run serves until SIGTERM or an interrupt, and reads the files again at each hangup. The extension, nil for none, is run too.
func Run(args Args, p *Process, hangups <-chan os.Signal, extension Extension) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// For good: once stop has run a further SIGTERM would end the process while it writes the last lines of its log.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM, os.Interrupt)
	cfg, op, err := args.Files()
	if err != nil {
		return err
	}
	if err := checkExtension(cfg, op, extension); err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	other, err := loadRehearsal(args.Rehearse, cfg)
	if err != nil {
		return err
	}
	p.applyOperator(op)
	return serve(ctx, cfg, other, op, args, hangups, p, extension)
}

// serve runs a co-ordinator until ctx ends, and then until all that it took is answered. The settings of other, nil for none,
// are watched.
func serve(ctx context.Context, cfg, other *config.Config, op *operator.File, args Args, hangups <-chan os.Signal, p *Process, extension Extension) error {
	c := &coordinator{original: cfg, operator: op, args: args, process: p, extension: extension, log: p.log.WithField("node", cfg.Name)}
	defer c.close()
	if err := c.build(other); err != nil {
		return err
	}
	if ctx.Err() != nil { // nothing was taken yet, and a listener's end would cut off whoever came meanwhile
		c.log.Info("told to end before it listened")
		return nil
	}
	ctx, served, err := c.start(ctx, hangups)
	if err != nil {
		return err
	}
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	c.drain()
	return nil
}

// tuneRuntime keeps the runtime within the machine: one thread for each whole core, and a heap below the limit.
func tuneRuntime(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(l.Memory)))
}
