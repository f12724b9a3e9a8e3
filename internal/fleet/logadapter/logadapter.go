// Package logadapter carries what the libraries of the fleet (consensus, gossip) write about themselves into our own log:
// one line each, at its own level, and never more than a stated number, since a library that meets a fault says so
// at each attempt.
package logadapter

import (
	"bytes"
	"fmt"
	"log"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/hashicorp/go-hclog"
	"github.com/sirupsen/logrus"
)

// Limits of what is written.
const (
	// Window and Most: at most Most lines in a Window, and one of each kind; what is over is counted and told with the
	// first line of the next window. A kind is a line's level and its text without numbers and what follows them in a
	// word (terms, addresses, times). Twice as many: a broken link or a lost majority fills the log; half: the line that
	// explains may be left out.
	Window   = 10 * time.Second
	MaxLines = 20

	// longest is the most of one line, in bytes, that is kept.
	maxLineLength = 512
)

// Writer is an io.Writer of whole lines, as the libraries' loggers write them.
type Writer struct {
	entry *logrus.Entry

	mu          sync.Mutex
	windowStart time.Time // the window
	lines       int
	suppressed  int
	kinds       map[string]bool // that were written in the window: Most at the most
}

// kind of a line.
func lineKind(level logrus.Level, text string) string {
	var b strings.Builder
	b.WriteString(level.String())
	number := false
	for _, r := range text {
		switch {
		case r >= '0' && r <= '9':
			number = true
		case number && !unicode.IsSpace(r): // the rest of an address, a time, a name of a machine
		default:
			number = false
			b.WriteRune(r)
		}
	}
	return b.String()
}

// New writes to an entry; a nil one drops everything.
func New(to *logrus.Entry) *Writer { return &Writer{entry: to} }

// Write takes a line that says its level itself, as "[WARN] memberlist: ...".
func (w *Writer) Write(line []byte) (int, error) {
	level := hclog.Info
	for _, l := range []struct {
		word  string
		level hclog.Level
	}{{"[DEBUG]", hclog.Debug}, {"[WARN]", hclog.Warn}, {"[ERR", hclog.Error}, {"[TRACE]", hclog.Trace}} {
		if bytes.Contains(line, []byte(l.word)) {
			level = l.level
			break
		}
	}
	return w.LevelWrite(level, line)
}

// LevelWrite takes a line and its level.
func (w *Writer) LevelWrite(level hclog.Level, line []byte) (int, error) {
	out := logrus.DebugLevel
	switch level {
	case hclog.Warn:
		out = logrus.WarnLevel
	case hclog.Error:
		out = logrus.ErrorLevel
	}
	if w.entry == nil || !w.entry.Logger.IsLevelEnabled(out) {
		return len(line), nil
	}
	text := string(line[:min(len(line), maxLineLength)])
	if i := strings.Index(text, "] "); i >= 0 && strings.HasPrefix(text, "[") {
		text = text[i+2:]
	}
	text = strings.TrimSpace(text)
	of := lineKind(out, text)
	w.mu.Lock()
	now := time.Now()
	over := 0
	if now.Sub(w.windowStart) >= Window {
		w.windowStart, w.lines, over, w.suppressed = now, 0, w.suppressed, 0
		w.kinds = map[string]bool{}
	}
	drop := w.kinds[of] || w.lines >= MaxLines
	if drop {
		w.suppressed++
	} else {
		w.lines++
		w.kinds[of] = true
	}
	w.mu.Unlock()
	if over > 0 {
		w.entry.Warnf("%d lines of the engine left out", over)
	}
	if !drop {
		w.entry.Log(out, text)
	}
	return len(line), nil
}

// Hclog is a logger for libraries that want hclog's interface.
func (w *Writer) Hclog(name string) hclog.Logger {
	level := hclog.Info
	if w.entry == nil {
		level = hclog.Off
	} else if w.entry.Logger.IsLevelEnabled(logrus.DebugLevel) {
		level = hclog.Debug
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: w, DisableTime: true})
}

// Standard is a logger for libraries that want the standard library's.
func (w *Writer) Standard() *log.Logger { return log.New(w, "", 0) }

// String tells how many lines of this window were left out.
func (w *Writer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d lines, %d left out", w.lines, w.suppressed)
}
