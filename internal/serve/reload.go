package serve

import (
	"context"
	"os"
	"reflect"
	"sync"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/ogc"
	"birchcart/internal/operator"
)

// reloader reads the files again at each SIGHUP, for as long as the process lives. Each file is read, retried and put into force on its
// own: one that fails, or whose read blocks, keeps only its own former contents in force and delays no other.
type reloader struct {
	config    *config.Config // as it was at the start
	source    Source
	discovery interface{ Move(address string) }
	*Process
	features  *ogc.Server // nil if there is none
	exchange  *exchange.Exchange
	extension Extension // nil if there is none
	log       *logrus.Entry
}

// run passes each hangup on to the reloaders of all files until ctx ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	var running sync.WaitGroup
	defer running.Wait()
	var pending []chan struct{}
	for _, file := range r.files() {
		c := make(chan struct{}, 1)
		pending = append(pending, c)
		running.Go(func() { file.run(ctx, c) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		for _, c := range pending {
			select {
			case c <- struct{}{}:
			default: // the file is read again after this hangup in any case
			}
		}
	}
}

// files returns a reloader for each file that this process reads again.
func (r *reloader) files() []*fileReloader {
	files := []*fileReloader{r.file("the configuration", r.readConfig)}
	if r.source.Operator != "" {
		files = append(files, r.file("the operators' file", r.readOperator))
	}
	if r.extension != nil {
		files = append(files, r.file("the keys file", r.extension.ReadKeys))
	}
	return files
}

// file returns the reloader of one file.
func (r *reloader) file(name string, read readFile) *fileReloader {
	return &fileReloader{name: name, read: read, limits: &r.config.Limits, log: r.log}
}

// readConfig reads the configuration.
func (r *reloader) readConfig() (apply func() error, err error) {
	cfg, err := config.Reload(config.Source{Path: r.source.Config, Name: r.source.Name, Listen: r.source.Listen})
	if err != nil {
		return nil, err
	}
	return func() error { r.applyConfig(cfg); return nil }, nil
}

// applyConfig applies what may change without a restart, the address of discovery.
func (r *reloader) applyConfig(cfg *config.Config) {
	same := *cfg // but for what changes with each writing
	same.Discovery, same.Known, same.Policy.Seed = r.config.Discovery, r.config.Known, r.config.Policy.Seed
	r.log.WithFields(logrus.Fields{
		"discovery": cfg.Discovery, "waits_for_restart": !reflect.DeepEqual(&same, r.config),
	}).Info("the configuration was read again")
	r.discovery.Move(cfg.Discovery)
}

// readOperator reads the operators' file.
func (r *reloader) readOperator() (apply func() error, err error) {
	op, err := readOperator(r.source.Operator)
	if err != nil {
		return nil, err
	}
	return func() error {
		if err := r.swapOperator(op); err != nil {
			return &unusableError{err}
		}
		r.applyOperator(op)
		r.log.Info("the operators' file was read again")
		return nil
	}, nil
}

// swapOperator checks the whole operators' file against the settings in force, and only then puts it into force.
func (r *reloader) swapOperator(op *operator.File) error {
	if err := op.AgainstNames(r.config.Names, &r.config.Policy); err != nil {
		return err
	}
	table, err := op.Table(r.config.Names, r.config.Policy.Shards)
	if err != nil {
		return err
	}
	if err := checkExtension(r.config, op, r.extension); err != nil {
		return err
	}
	if r.extension != nil {
		if err := r.extension.Reload(op); err != nil {
			return err
		}
	}
	r.exchange.SetRoutes(table)
	if r.features != nil {
		r.features.Apply(op)
	}
	return nil
}
