package serve

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/rehearse"
	"birchcart/policy"
)

// loadRehearsal reads the configuration whose settings are watched beside those in force; of it only the settings
// count. No path, no configuration.
func loadRehearsal(path string, live *config.Config) (*config.Config, error) {
	if path == "" {
		return nil, nil
	}
	other, err := config.Load(config.Source{Path: path, Name: live.Name, Listen: live.Listen, Discovery: live.Discovery})
	if err == nil {
		err = errors.Join(config.Impossible(other), rehearse.Fits(live, other))
	}
	if err != nil {
		return nil, fmt.Errorf("rehearsal %s: %w", path, err)
	}
	other.Policy.Seed = live.Policy.Seed
	return other, nil
}

// rehearsal watches the settings of another configuration and tells of it where the summary does.
type rehearsal struct {
	every time.Duration
	log   *logrus.Entry

	mu    sync.Mutex // turns come from the exchange's goroutine, the last word from the one that ends it
	watch *rehearse.Watch
	told  time.Time
}

func newRehearsal(other *config.Config, every time.Duration, log *logrus.Entry) *rehearsal {
	return &rehearsal{watch: rehearse.New(other.Policy), every: every, log: log, told: time.Now()}
}

// turn takes a turn of the live decisions. A fault of the watch ends the watch and nothing else.
func (r *rehearsal) turn(now float64, events []policy.Event, actions []policy.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watch == nil {
		return
	}
	defer func() {
		if fault := recover(); fault != nil {
			r.watch = nil
			r.log.WithField("fault", fault).Error("the rehearsal has ended; the service goes on")
		}
	}()
	r.watch.Turn(now, events, actions)
	if time.Since(r.told) >= r.every {
		r.tell()
	}
}

// end tells of the whole.
func (r *rehearsal) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watch != nil {
		r.tell()
	}
}

// tell logs the counts since the start.
func (r *rehearsal) tell() {
	c := r.watch.Counts()
	f := logrus.Fields{"queries": c.Queries, "differ": c.Differ}
	for _, k := range rehearse.Kinds() {
		f[k.String()] = c.By[k]
	}
	r.log.WithFields(f).Info("rehearsal")
	r.told = time.Now()
}
