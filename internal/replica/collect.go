package replica

import (
	"bufio"
	"fmt"
	"slices"
	"time"

	"birchcart/internal/exchange"
	"birchcart/internal/frame"
	"birchcart/policy"
)

// outcomeByStatus maps the status in an answer frame to the outcome of the attempt.
var outcomeByStatus = map[string]policy.Outcome{
	frame.Hit: policy.OK, frame.Fault: policy.Failed, frame.Overload: policy.Rejected,
}

// reader reads from the connection. Before each read it reports the answers that earlier reads returned.
type reader struct{ rc *replicaConn }

func (r reader) Read(p []byte) (int, error) {
	r.rc.reportAnswers()
	return r.rc.conn.Read(p)
}

// trackFrames wraps a split function so that frameStartedAt tells whether, and since when, an incomplete frame is arriving.
func (c *replicaConn) trackFrames(f bufio.SplitFunc) bufio.SplitFunc {
	return func(data []byte, atEOF bool) (int, []byte, error) {
		n, token, err := f(data, atEOF)
		c.pool.mu.Lock()
		if token != nil || len(data) == 0 {
			c.frameStartedAt = time.Time{}
		} else if c.frameStartedAt.IsZero() {
			c.frameStartedAt = c.conn.ReadAt()
		}
		c.pool.mu.Unlock()
		return n, token, err
	}
}

// handleFrame processes one frame from the replica. An error ends the connection.
func (c *replicaConn) handleFrame(f []byte) error {
	c.pool.mu.Lock()
	c.lastReadAt, c.silent, c.suspectSince = c.conn.ReadAt(), false, time.Time{}
	c.pool.mu.Unlock()
	switch frameType, rest := f[0], f[1:]; frameType {
	case frame.Answer:
		return c.handleAnswer(rest)
	case frame.Probe, frame.Load:
		return c.handleHealthReport(rest)
	case frame.Unfit:
		return fmt.Errorf("replica rejected a frame as invalid: %q", rest[:min(len(rest), 200)])
	default:
		return &malformedFrame{reason: fmt.Sprintf("unknown frame type %q", frameType)}
	}
}

// handleAnswer records the answer to a part; reportAnswers reports it later. Late and duplicate answers are ignored.
func (c *replicaConn) handleAnswer(rest []byte) error {
	r, err := frame.ParseAnswer(rest)
	if err != nil {
		return &malformedFrame{id: string(r.ID), reason: err.Error()}
	}
	report, err := frame.ParseReport(r.Report, c.pool.reportNames)
	if err != nil {
		c.pool.log.Warn("ignoring an invalid load report", map[string]any{"error": err})
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	pa := c.parts[string(r.ID)]
	if pa == nil || !pa.written || pa.answer != nil {
		if _, late := c.lateParts[string(r.ID)]; late || pa != nil && pa.answer != nil {
			return nil
		}
		return &malformedFrame{reason: fmt.Sprintf("answer to a part that was not sent: %q", r.ID[:min(len(r.ID), 200)])}
	}
	pa.answer = &exchange.Result{
		Attempt: pa.attempt, Outcome: outcomeByStatus[string(r.End)], At: c.conn.ReadAt(), Score: r.Score, Report: report,
		Value: slices.Clone(r.Value),
	}
	c.answeredAttempts = append(c.answeredAttempts, pa)
	return nil
}

// reportAnswers reports the answers that have been read, once all data that arrived with them has been processed. An idle
// connection on which part of another frame has arrived is retired first, so that it gets no new part and is closed.
func (c *replicaConn) reportAnswers() {
	p := c.pool
	p.mu.Lock()
	var out []exchange.Result
	for _, pa := range c.answeredAttempts {
		if p.pending[pa.attempt] == pa { // otherwise the attempt was cancelled in the meantime
			p.dropAttempt(pa)
			c.expectLateAnswer(pa.attempt.ID, pa.answer.At)
			out = append(out, *pa.answer)
		}
	}
	clear(c.answeredAttempts)
	c.answeredAttempts = c.answeredAttempts[:0]
	if !c.frameStartedAt.IsZero() && c.isIdle() {
		c.retired = true
	}
	p.mu.Unlock()
	p.reportResults(out)
}

// handleHealthReport processes the answer to the oldest health check. Answers arrive in the order of the checks.
func (c *replicaConn) handleHealthReport(rest []byte) error {
	c.pool.mu.Lock()
	if len(c.healthChecks) == 0 || !c.healthChecks[0].written {
		c.pool.mu.Unlock()
		return &malformedFrame{reason: "answer to a health check that was not sent"}
	}
	hc := c.healthChecks[0]
	c.healthChecks = c.healthChecks[1:]
	c.pool.mu.Unlock()
	o, report := policy.OK, []float64(nil)
	switch string(rest) {
	case frame.Hit, "-":
	case frame.Fault:
		o = policy.Failed
	default:
		var err error
		if report, err = frame.ParseReport(rest, c.pool.reportNames); err != nil {
			c.pool.log.Warn("ignoring an invalid load report", map[string]any{"error": err})
		}
	}
	c.pool.healthCheckEnded(hc, o, report)
	return nil
}
