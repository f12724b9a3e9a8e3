package replica

import (
	"time"

	"birchcart/internal/frame"
	"birchcart/policy"
)

// Pull builds what is to be written: calls, then parts that are given up, then probes. It is asked by the
// connection's goroutine just before it writes, so what was taken back by then never goes.
func (l *link) Pull(buf []byte) ([]byte, time.Time, error) {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	start := len(buf)
	if l.t.State == policy.Up {
		for _, call := range l.queue {
			buf = l.appendCall(buf, start, call, now)
		}
	}
	clear(l.queue)
	l.queue = l.queue[:0]
	for _, id := range l.giveUps {
		buf = frame.AppendGiveUp(buf, id)
	}
	l.giveUps = l.giveUps[:0]
	for _, pr := range l.probes {
		if !pr.written {
			pr.written = true
			buf = frame.AppendProbe(buf, p.probeLetter())
		}
	}
	l.pulled += int64(len(buf) - start)
	if !l.begun.IsZero() && !l.idle() { // what trickles counts from its first byte
		until := l.begun.Add(p.limits.FrameTime)
		if !now.Before(until) {
			return buf, until, errStalled
		}
		return buf, until, nil
	}
	if !l.idle() {
		return buf, time.Time{}, nil
	}
	until := l.idleAt.Add(p.limits.ReplicaIdle)
	if l.doubt() > 0 {
		until = l.doubtAt.Add(p.limits.Silence)
	}
	if l.retired || l.silent || !now.Before(until) {
		l.finished = true // chosen no more; a part that came first is seen above
		return buf, until, errIdle
	}
	return buf, until, nil
}

func (p *Pool) probeLetter() byte {
	if p.byProbe {
		return frame.Load
	}
	return frame.Probe
}

// appendCall appends one call without what was taken back meanwhile, and without what is not due after now: after a stop
// between the turn and the write a part whose time is over would go out with a millisecond, and run for nobody. Its
// timer takes it back as one that was never written.
func (l *link) appendCall(buf []byte, start int, call []*entry, now time.Time) []byte {
	parts := make([]frame.Part, 0, len(call))
	live := call[:0]
	for _, en := range call {
		if l.p.entries[en.a] != en {
			continue
		}
		a := en.a
		if !a.Due.After(now) {
			continue
		}
		parts = append(parts, frame.Part{
			ID: a.ID, Shard: a.Shard, Wait: max(1, a.Due.Sub(now).Milliseconds()), From: a.From, Whole: a.Whole,
			Text: a.Text,
		})
		live = append(live, en)
	}
	if len(parts) == 0 {
		return buf
	}
	buf = frame.AppendCall(buf, parts)
	if !l.anyWritten() {
		l.heardAt = now // until now it had nothing to say
	}
	for _, en := range live {
		en.written, en.end, en.at = true, l.pulled+int64(len(buf)-start), now
	}
	return buf
}

func (l *link) anyWritten() bool {
	for _, en := range l.parts {
		if en.written {
			return true
		}
	}
	return false
}

// Wrote counts what went out.
func (l *link) Wrote(n int) {
	l.p.mu.Lock()
	l.wrote += int64(n)
	l.p.mu.Unlock()
}
