package serve

import (
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"birchcart/internal/boundedfile"
	"birchcart/internal/config"
	"birchcart/internal/logs"
	"birchcart/internal/operator"
)

const (
	logQueueLines   = 1024                   // lines that wait; some 0.2 MB of the least machine's 32, and seconds of a loud day
	logFlushTimeout = 500 * time.Millisecond // at the end, for whoever reads the log; well before SIGKILL may come
	timeFormat      = "15:04:05.000"
)

// Process is what belongs to the process and not to the service: today its log.
type Process struct {
	log   *logrus.Logger
	logs  *logs.Queue
	level string // given by flag or variable, over the operators' file's
}

// NewProcess returns one that logs at a level, "" for what the operators' file says.
func NewProcess(level string) *Process {
	p := &Process{log: logrus.New(), level: level}
	p.logs = logs.NewQueue(os.Stderr, logQueueLines, func(n int) []byte {
		e := p.log.WithField("lines", n)
		e.Time, e.Level, e.Message = time.Now(), logrus.WarnLevel, "log lines were dropped: the log is not read fast enough"
		line, err := e.Bytes()
		if err != nil {
			return nil
		}
		return line
	})
	p.log.SetOutput(p.logs)
	p.applyOperator(nil)
	return p
}

// Log is the process's log.
func (p *Process) Log() *logrus.Logger { return p.log }

// Close ends the log once it is written, or after a moment if nobody reads it.
func (p *Process) Close() { p.logs.Close(logFlushTimeout) }

// applyOperator puts into force what the operators' file says, nil for none.
func (p *Process) applyOperator(op *operator.File) {
	settings := operator.Log{}
	if op != nil {
		settings = op.Process.Log
	}
	for _, name := range []string{p.level, settings.Level, "info"} {
		if level, err := logrus.ParseLevel(name); err == nil {
			p.log.SetLevel(level)
			break
		}
	}
	if settings.Format == "json" {
		p.log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		p.log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	}
	p.logs.Resize(max(settings.Queue, 0))
}

// readOperator reads the rendered operators' file; no path, no file.
func readOperator(path string) (*operator.File, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := boundedfile.Read(path, config.MaxFileBytes)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	op, err := operator.Read(raw)
	if err != nil {
		return nil, fmt.Errorf("operators' file %s: %w (birchctl render writes what is read here)", path, err)
	}
	return op, nil
}
