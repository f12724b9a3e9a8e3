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

// rehearsal watches the settings of another configuration and logs what differs as often as the summary is logged.
type rehearsal struct {
	interval time.Duration
	log      *logrus.Entry

	mu       sync.Mutex // turns come from the exchange's goroutine, the last counts from the one that ends it
	watch    *rehearse.Watch
	loggedAt time.Time
}

func newRehearsal(other *config.Config, every time.Duration, log *logrus.Entry) *rehearsal {
	return &rehearsal{watch: rehearse.New(other.Policy), interval: every, log: log, loggedAt: time.Now()}
}

// observe takes a turn of the live decisions. A fault of the watch ends the watch and nothing else.
func (r *rehearsal) observe(now float64, events []policy.Event, actions []policy.Action) {
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
	if time.Since(r.loggedAt) >= r.interval {
		r.logCounts()
	}
}

// close tells of the whole.
func (r *rehearsal) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watch != nil {
		r.logCounts()
	}
}

// logCounts logs the counts since the start.
func (r *rehearsal) logCounts() {
	c := r.watch.Counts()
	f := logrus.Fields{"queries": c.Queries, "differ": c.Differ}
	for _, k := range rehearse.Kinds() {
		f[k.String()] = c.By[k]
	}
	r.log.WithFields(f).Info("rehearsal")
	r.loggedAt = time.Now()
}
