// Package logadapter forwards log lines of the libraries for consensus and gossip to the program's log. Each line keeps its level. The
// number of lines is limited, because a library that meets a fault logs it at each attempt.
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

// Limits of the forwarded lines.
const (
	// Window is the period in which at most MaxLines lines are written, one of each kind. Lines over the limit are counted, and the
	// count is logged with the first line of the next window. A kind is a line's level and its text without numbers and the rest of
	// the words that contain them (terms, addresses, times). With twice as many lines, a broken link or a lost majority fills the
	// log; with half, the line that explains the fault may be left out.
	Window = 10 * time.Second
	// MaxLines is the maximum number of lines in a Window.
	MaxLines = 20

	// maxLineLength is the number of bytes after which a line is truncated.
	maxLineLength = 512
)

// Writer is an io.Writer that takes one whole line per call, as the libraries' loggers write them.
type Writer struct {
	entry *logrus.Entry

	mu          sync.Mutex
	windowStart time.Time       // start of the window
	lines       int             // written in the window
	suppressed  int             // lines left out in the window
	kinds       map[string]bool // kinds written in the window, MaxLines at most
}

// lineKind returns the kind of a line: its level, and its text with each word cut at its first digit.
func lineKind(level logrus.Level, text string) string {
	var b strings.Builder
	b.WriteString(level.String())
	number := false
	for _, r := range text {
		switch {
		case r >= '0' && r <= '9':
			number = true
		case number && !unicode.IsSpace(r): // the rest of an address, a time or a machine's name
		default:
			number = false
			b.WriteRune(r)
		}
	}
	return b.String()
}

// New returns a writer that logs to an entry; with nil it drops all lines.
func New(to *logrus.Entry) *Writer { return &Writer{entry: to} }

// Write forwards a line that contains its level, such as "[WARN] memberlist: ...".
func (w *Writer) Write(line []byte) (int, error) {
	level := hclog.Info
	for _, l := range []struct {
		marker string
		level  hclog.Level
	}{{"[DEBUG]", hclog.Debug}, {"[WARN]", hclog.Warn}, {"[ERR", hclog.Error}, {"[TRACE]", hclog.Trace}} {
		if bytes.Contains(line, []byte(l.marker)) {
			level = l.level
			break
		}
	}
	return w.LevelWrite(level, line)
}

// LevelWrite forwards a line at a level.
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
	kind := lineKind(out, text)
	w.mu.Lock()
	now := time.Now()
	suppressed := 0
	if now.Sub(w.windowStart) >= Window {
		w.windowStart, w.lines, suppressed, w.suppressed = now, 0, w.suppressed, 0
		w.kinds = map[string]bool{}
	}
	drop := w.kinds[kind] || w.lines >= MaxLines
	if drop {
		w.suppressed++
	} else {
		w.lines++
		w.kinds[kind] = true
	}
	w.mu.Unlock()
	if suppressed > 0 {
		w.entry.Warnf("%d library log lines left out", suppressed)
	}
	if !drop {
		w.entry.Log(out, text)
	}
	return len(line), nil
}

// Hclog returns a logger for libraries that use hclog's interface.
func (w *Writer) Hclog(name string) hclog.Logger {
	level := hclog.Info
	if w.entry == nil {
		level = hclog.Off
	} else if w.entry.Logger.IsLevelEnabled(logrus.DebugLevel) {
		level = hclog.Debug
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: w, DisableTime: true})
}

// Standard returns a logger for libraries that use the standard library's log package.
func (w *Writer) Standard() *log.Logger { return log.New(w, "", 0) }

// String returns how many lines were written and left out in the current window.
func (w *Writer) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d lines, %d left out", w.lines, w.suppressed)
}
