package replica

import (
	"slices"
	"time"

	"birchcart/internal/frame"
	"birchcart/policy"
)

// Pull builds what is to be written: calls one by one, then parts that are given up and probes. It is asked by the
// connection's goroutine just before it writes, so what was taken back by then never goes; nor does a call wait in
// the buffer behind another of which a peer that is busy takes no more.
func (l *link) Pull(buf []byte) ([]byte, time.Time, error) {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	start := len(buf)
	if !l.begun.IsZero() && len(l.queue) > 0 && !l.anyWritten() {
		l.finished = true
		return buf, now, errStray
	}
	if buf = l.appendNextCall(buf, now); len(buf) == start {
		buf = l.appendAsides(buf)
	} else if len(l.queue) > 0 || len(l.giveUps) > 0 || len(l.probes) > 0 && !l.probes[len(l.probes)-1].written {
		l.wake() // for the rest
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

// appendNextCall appends the first call in the queue of which a part is still to be sent.
func (l *link) appendNextCall(buf []byte, now time.Time) []byte {
	l.unbegun, l.unbegunBytes = nil, 0
	if l.t.State != policy.Up {
		clear(l.queue)
		l.queue = l.queue[:0]
	}
	start := len(buf)
	for len(l.queue) > 0 && len(buf) == start {
		call := l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		buf = l.appendCall(buf, start, call, now)
	}
	return buf
}

// appendAsides appends what is not a call: the ids of parts that are given up, and probes.
func (l *link) appendAsides(buf []byte) []byte {
	for _, id := range l.giveUps {
		buf = frame.AppendGiveUp(buf, id)
	}
	l.giveUps = l.giveUps[:0]
	for _, pr := range l.probes {
		if !pr.written {
			pr.written = true
			buf = frame.AppendProbe(buf, l.p.probeLetter())
		}
	}
	return buf
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
			ID: a.ID, Shard: a.Shard, Wait: max(1, a.Due.Sub(now).Milliseconds()), From: a.Previous, Whole: a.Complete,
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
	l.unbegun, l.unbegunBytes = live, int64(len(buf)-start)
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
