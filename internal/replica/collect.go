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

var outcomes = map[string]policy.Outcome{
	frame.Hit: policy.OK, frame.Fault: policy.Failed, frame.Overload: policy.Rejected,
}

// reader tells what was read before it reads on.
type reader struct{ l *link }

func (r reader) Read(p []byte) (int, error) {
	r.l.tell()
	return r.l.conn.Read(p)
}

// split notes whether a frame has begun that is not whole.
func (l *link) split(f bufio.SplitFunc) bufio.SplitFunc {
	return func(data []byte, atEOF bool) (int, []byte, error) {
		n, token, err := f(data, atEOF)
		l.p.mu.Lock()
		if token != nil || len(data) == 0 {
			l.begun = time.Time{}
		} else if l.begun.IsZero() {
			l.begun = l.conn.ReadAt()
		}
		l.p.mu.Unlock()
		return n, token, err
	}
}

// collect takes in one frame from the replica. An error ends the connection.
func (l *link) collect(f []byte) error {
	l.p.mu.Lock()
	l.heardAt, l.silent, l.doubtAt = l.conn.ReadAt(), false, time.Time{}
	l.p.mu.Unlock()
	switch letter, rest := f[0], f[1:]; letter {
	case frame.Answer:
		return l.answered(rest)
	case frame.Probe, frame.Load:
		return l.probed(rest)
	case frame.Unfit:
		return fmt.Errorf("the replica could not use a frame: %q", rest[:min(len(rest), 200)])
	default:
		return &spoilt{why: fmt.Sprintf("unknown frame %q", letter)}
	}
}

func (l *link) answered(rest []byte) error {
	r, err := frame.ParseAnswer(rest)
	if err != nil {
		return &spoilt{id: string(r.ID), why: err.Error()}
	}
	report, err := frame.ParseReport(r.Report, l.p.reports)
	if err != nil {
		l.p.log.Warn("a load report is passed over", map[string]any{"error": err})
	}
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	en := l.parts[string(r.ID)]
	if en == nil || !en.written || en.answer != nil {
		if _, expected := l.ghosts[string(r.ID)]; expected || en != nil && en.answer != nil {
			return nil
		}
		return &spoilt{why: fmt.Sprintf("an answer to a part that was not asked: %q", r.ID[:min(len(r.ID), 200)])}
	}
	en.answer = &exchange.Result{
		Attempt: en.a, Outcome: outcomes[string(r.End)], At: l.conn.ReadAt(), Score: r.Score, Report: report,
		Value: slices.Clone(r.Value),
	}
	l.read = append(l.read, en)
	return nil
}

// tell passes on what was read, once all that came with it has been looked at: a connection on which more came
// than belongs to its answers gets no new part, and is closed.
func (l *link) tell() {
	p := l.p
	p.mu.Lock()
	var out []exchange.Result
	for _, en := range l.read {
		if p.entries[en.a] == en { // else it was given up meanwhile
			p.forget(en)
			l.expect(en.a.ID, en.answer.At)
			out = append(out, *en.answer)
		}
	}
	clear(l.read)
	l.read = l.read[:0]
	if !l.begun.IsZero() && l.idle() {
		l.retired = true
	}
	p.mu.Unlock()
	p.tell(out)
}

func (l *link) probed(rest []byte) error {
	l.p.mu.Lock()
	if len(l.probes) == 0 || !l.probes[0].written {
		l.p.mu.Unlock()
		return &spoilt{why: "an answer to a probe that was not asked"}
	}
	pr := l.probes[0]
	l.probes = l.probes[1:]
	l.p.mu.Unlock()
	o, report := policy.OK, []float64(nil)
	switch string(rest) {
	case frame.Hit, "-":
	case frame.Fault:
		o = policy.Failed
	default:
		var err error
		if report, err = frame.ParseReport(rest, l.p.reports); err != nil {
			l.p.log.Warn("a load report is passed over", map[string]any{"error": err})
		}
	}
	l.p.probeEnded(pr, o, report)
	return nil
}
