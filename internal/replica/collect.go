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

var outcomeByStatus = map[string]policy.Outcome{
	frame.Hit: policy.OK, frame.Fault: policy.Failed, frame.Overload: policy.Rejected,
}

// reader tells what was read before it reads on.
type reader struct{ rc *replicaConn }

func (r reader) Read(p []byte) (int, error) {
	r.rc.reportAnswers()
	return r.rc.conn.Read(p)
}

// split notes whether a frame has begun that is not whole.
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

// collect takes in one frame from the replica. An error ends the connection.
func (c *replicaConn) handleFrame(f []byte) error {
	c.pool.mu.Lock()
	c.lastReadAt, c.silent, c.suspectSince = c.conn.ReadAt(), false, time.Time{}
	c.pool.mu.Unlock()
	switch letter, rest := f[0], f[1:]; letter {
	case frame.Answer:
		return c.handleAnswer(rest)
	case frame.Probe, frame.Load:
		return c.handleHealthReport(rest)
	case frame.Unfit:
		return fmt.Errorf("the replica could not use a frame: %q", rest[:min(len(rest), 200)])
	default:
		return &malformedFrame{reason: fmt.Sprintf("unknown frame %q", letter)}
	}
}

func (c *replicaConn) handleAnswer(rest []byte) error {
	r, err := frame.ParseAnswer(rest)
	if err != nil {
		return &malformedFrame{id: string(r.ID), reason: err.Error()}
	}
	report, err := frame.ParseReport(r.Report, c.pool.reportNames)
	if err != nil {
		c.pool.log.Warn("a load report is passed over", map[string]any{"error": err})
	}
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	en := c.parts[string(r.ID)]
	if en == nil || !en.written || en.answer != nil {
		if _, expected := c.lateParts[string(r.ID)]; expected || en != nil && en.answer != nil {
			return nil
		}
		return &malformedFrame{reason: fmt.Sprintf("an answer to a part that was not asked: %q", r.ID[:min(len(r.ID), 200)])}
	}
	en.answer = &exchange.Result{
		Attempt: en.attempt, Outcome: outcomeByStatus[string(r.End)], At: c.conn.ReadAt(), Score: r.Score, Report: report,
		Value: slices.Clone(r.Value),
	}
	c.answeredAttempts = append(c.answeredAttempts, en)
	return nil
}

// report passes on what was read, once all that came with it has been looked at: a connection on which more came
// than belongs to its answers gets no new part, and is closed.
func (c *replicaConn) reportAnswers() {
	p := c.pool
	p.mu.Lock()
	var out []exchange.Result
	for _, en := range c.answeredAttempts {
		if p.pending[en.attempt] == en { // else it was given up meanwhile
			p.dropAttempt(en)
			c.expectLateAnswer(en.attempt.ID, en.answer.At)
			out = append(out, *en.answer)
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

func (c *replicaConn) handleHealthReport(rest []byte) error {
	c.pool.mu.Lock()
	if len(c.healthChecks) == 0 || !c.healthChecks[0].written {
		c.pool.mu.Unlock()
		return &malformedFrame{reason: "an answer to a probe that was not asked"}
	}
	pr := c.healthChecks[0]
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
			c.pool.log.Warn("a load report is passed over", map[string]any{"error": err})
		}
	}
	c.pool.healthCheckEnded(pr, o, report)
	return nil
}
