package serve

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/exchange"
	"birchcart/internal/logs"
	"birchcart/internal/ogc"
	"birchcart/internal/operator"
)

// reloader reads the configuration again at each SIGHUP, for as long as the process lives.
type reloader struct {
	config    *config.Config // as it was at the start
	source    Source
	discovery interface{ Move(address string) }
	*Process
	features  *ogc.Server // nil if there is none
	exchange  *exchange.Exchange
	extension Extension // nil if there is none
	log       *logrus.Entry
	failures  *logs.Limited // of the looks since the last hangup
}

// run takes the file at each SIGHUP. One that can't be read, or is not complete yet, changes nothing and is retried for a while; a
// further SIGHUP begins anew.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	attempts := 0
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			attempts, r.failures = r.config.Limits.ReloadTries, logs.Limit(r.log, r.config.Limits.LogEvery)
		case <-retry:
		}
		if retry = nil; r.reload() {
			continue
		}
		if attempts--; attempts > 0 {
			retry = time.After(r.config.Limits.ReloadWait)
		} else {
			r.log.Error("the configuration is left as it was")
		}
	}
}

// reload reads both files and swaps in what may change without a restart; false leaves all as it was.
func (r *reloader) reload() bool {
	cfg, err := config.Reload(config.Source{Path: r.source.Config, Name: r.source.Name, Listen: r.source.Listen})
	if err != nil {
		return r.failed("the configuration can't be read again", err)
	}
	op, err := readOperator(r.source.Operator)
	if err != nil {
		return r.failed("the operators' file can't be read again", err)
	}
	if op != nil {
		if err := r.swapOperator(op); err != nil {
			return r.failed("the operators' file can't be used", err)
		}
	}
	r.applyOperator(op)
	same := *cfg // but for what changes with each writing
	same.Discovery, same.Known, same.Policy.Seed = r.config.Discovery, r.config.Known, r.config.Policy.Seed
	r.log.WithFields(logrus.Fields{
		"discovery": cfg.Discovery, "waits_for_restart": !reflect.DeepEqual(&same, r.config),
	}).Info("the configuration was read again")
	r.discovery.Move(cfg.Discovery)
	return true
}

// failed logs why a reload changes nothing.
func (r *reloader) failed(message string, err error) bool {
	r.failures.Warn(message, logrus.Fields{"error": err})
	return false
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
