package serve

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/config"
	"birchcart/internal/logs"
)

const (
	maxBlockedReads = 4           // of one file; each may hold a thread, and hangups may come in any number
	slowRead        = time.Second // a read that takes longer is logged
)

var errReadsBlocked = errors.New("earlier reads of the file still block")

// readFile reads a file and returns what puts its contents into force, which is not called before the read is over. An error of
// either leaves the former contents in force.
type readFile func() (apply func() error, err error)

// fileReloader reads one file again at each hangup. A file that can't be used, or is not complete yet, is retried for a while. A read
// that blocks is abandoned at the next hangup, at which the path may lead to another file.
type fileReloader struct {
	name   string // in the log
	read   readFile
	limits *config.Limits
	log    *logrus.Entry

	failures *logs.Limited    // of the attempts since the last hangup
	attempts int              // left since the last hangup
	retry    <-chan time.Time // nil if no retry is due
	results  chan readResult
	reading  int              // reads that have not returned yet, abandoned ones included
	current  int              // number of the newest read; the results of earlier ones are abandoned
	slow     <-chan time.Time // fires if the newest read takes long
}

// readResult is the result of a read.
type readResult struct {
	number int
	apply  func() error
	err    error
}

// run reloads the file at each hangup until ctx ends.
func (f *fileReloader) run(ctx context.Context, hangups <-chan struct{}) {
	f.results = make(chan readResult, maxBlockedReads) // a read that returns after ctx has ended doesn't wait
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			f.attempts, f.failures = f.limits.ReloadTries, logs.Limit(f.log, f.limits.LogEvery)
			f.startRead()
		case <-f.retry:
			f.startRead()
		case <-f.slow:
			f.log.Warn(f.name + " is still being read")
		case r := <-f.results:
			f.reading--
			if r.number == f.current {
				f.finish(r)
			}
		}
	}
}

// startRead begins an attempt, and abandons the one before.
func (f *fileReloader) startRead() {
	f.current++
	f.retry, f.slow = nil, nil
	if f.reading == maxBlockedReads {
		f.failed(errReadsBlocked)
		return
	}
	f.reading++
	f.slow = time.After(slowRead)
	number := f.current
	go func() {
		apply, err := f.read()
		f.results <- readResult{number, apply, err}
	}()
}

// finish puts into force what the newest read has returned.
func (f *fileReloader) finish(r readResult) {
	f.slow = nil
	err := r.err
	if err == nil {
		err = r.apply()
	}
	if err != nil {
		f.failed(err)
	}
}

// failed logs why an attempt failed, and schedules the next one if any are left.
func (f *fileReloader) failed(err error) {
	f.failures.Warn(f.failure(err), logrus.Fields{"error": err})
	if f.attempts--; f.attempts > 0 {
		f.retry = time.After(f.limits.ReloadWait)
	} else {
		f.log.WithError(err).Error(f.name + " is left as it was")
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
