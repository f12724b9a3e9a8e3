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
)

// reloader reads the configuration again at each SIGHUP, for as long as the process lives.
type reloader struct {
	cfg  *config.Config // as it was at the start
	src  Source
	disc interface{ Move(address string) }
	*Process
	features *ogc.Server // nil if there is none
	ex       *exchange.Exchange
	beside   Beside // nil if there is none
	log      *logrus.Entry
	failures *logs.Limited // of the looks since the last hangup
}

// run takes the file at each SIGHUP. One that can't be read, or is not whole yet, changes nothing and is looked at
// again for a while; a further SIGHUP begins anew.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	tries := 0
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			tries, r.failures = r.cfg.Limits.ReloadTries, logs.Limit(r.log, r.cfg.Limits.LogEvery)
		case <-again:
		}
		if again = nil; r.reload() {
			continue
		}
		if tries--; tries > 0 {
			again = time.After(r.cfg.Limits.ReloadWait)
		} else {
			r.log.Error("the configuration is left as it was")
		}
	}
}

func (r *reloader) reload() bool {
	src := config.Source{Path: r.src.Config, Name: r.src.Name, Listen: r.src.Listen}
	cfg, err := config.Reload(src)
	if err != nil {
		r.failures.Warn("the configuration can't be read again", logrus.Fields{"error": err})
		return false
	}
	op, err := readOperator(r.src.Operator)
	if err != nil {
		r.failures.Warn("the operators' file can't be read again", logrus.Fields{"error": err})
		return false
	}
	if op != nil {
		if err := op.AgainstNames(r.cfg.Names, &r.cfg.Policy); err != nil {
			r.failures.Warn("the operators' file can't be used", logrus.Fields{"error": err})
			return false
		}
		table, err := op.Table(r.cfg.Names, r.cfg.Policy.Shards)
		if err != nil {
			r.failures.Warn("the operators' file can't be used", logrus.Fields{"error": err})
			return false
		}
		if err := fits(r.cfg, op, r.beside); err != nil {
			r.failures.Warn("the operators' file can't be used", logrus.Fields{"error": err})
			return false
		}
		if r.beside != nil {
			if err := r.beside.Reload(op); err != nil {
				r.failures.Warn("the operators' file can't be used", logrus.Fields{"error": err})
				return false
			}
		}
		r.ex.Routes(table)
		if r.features != nil {
			r.features.Apply(op)
		}
	}
	r.apply(op)
	same := *cfg // but for what changes with each writing
	same.Discovery, same.Known, same.Policy.Seed = r.cfg.Discovery, r.cfg.Known, r.cfg.Policy.Seed
	r.log.WithFields(logrus.Fields{
		"discovery": cfg.Discovery, "waits_for_restart": !reflect.DeepEqual(&same, r.cfg),
	}).Info("the configuration was read again")
	r.disc.Move(cfg.Discovery)
	return true
}
