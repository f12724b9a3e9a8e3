// Package logs keeps the log from harming the service: it bounds how often a peer can cause a line, and a line never
// waits for whoever reads the log. It owns neither what is logged nor where.
package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Limited writes one line of a kind in each span, and tells how many it left out.
type Limited struct {
	log   *logrus.Entry
	every time.Duration

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	next    time.Time
	skipped int
}

// Limit returns a limited log.
func Limit(log *logrus.Entry, every time.Duration) *Limited {
	return &Limited{log: log, every: every, kinds: map[string]*kind{}}
}

// Debug writes a line if the log is at the level debug, each one: whoever asks for that level wants all of them.
func (l *Limited) Debug(text string, fields logrus.Fields) {
	if l.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		l.log.WithFields(fields).Debug(text)
	}
}

// Warn writes a line; its text, which must be a constant, is its kind.
func (l *Limited) Warn(text string, fields logrus.Fields) {
	now := time.Now()
	l.mu.Lock()
	k := l.kinds[text]
	if k == nil {
		k = &kind{}
		l.kinds[text] = k
	}
	if now.Before(k.next) {
		k.skipped++
		l.mu.Unlock()
		return
	}
	skipped := k.skipped
	k.next, k.skipped = now.Add(l.every), 0
	l.mu.Unlock()
	entry := l.log.WithFields(fields)
	if skipped > 0 {
		entry = entry.WithField("left_out", skipped)
	}
	entry.Warn(text)
}
