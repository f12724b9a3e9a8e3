package serve

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/logs"
)

// fileReloader reads one file again at each hangup. A file that can't be used, or is not complete yet, is retried for a while.
type fileReloader struct {
	name   string       // in the log
	reload func() error // reads the file and puts it into force; an error leaves the former contents in force
	limits *config.Limits
	log    *logrus.Entry
}

// run reloads the file at each hangup until ctx ends. A further hangup restarts the attempts.
func (f *fileReloader) run(ctx context.Context, hangups <-chan struct{}) {
	var failures *logs.Limited // of the attempts since the last hangup
	var retry <-chan time.Time
	attempts := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			attempts, failures = f.limits.ReloadTries, logs.Limit(f.log, f.limits.LogEvery)
		case <-retry:
		}
		retry = nil
		err := f.reload()
		if err == nil {
			continue
		}
		failures.Warn(f.failure(err), logrus.Fields{"error": err})
		if attempts--; attempts > 0 {
			retry = time.After(f.limits.ReloadWait)
		} else {
			f.log.WithError(err).Error(f.name + " is left as it was")
		}
	}
}

// failure returns the log message of a failed attempt.
func (f *fileReloader) failure(err error) string {
	var unusable *unusableError
	if errors.As(err, &unusable) {
		return f.name + " can't be used"
	}
	return f.name + " can't be read again"
}

// unusableError says why a file that was read can't be put into force.
type unusableError struct{ error }
