// Package world is the project's own emulator of a fleet, in virtual time: many instances of the pure packages (view,
// lead, ledger, takeout) over an agreed log that changes its leaders, links that lose, delay, repeat and reorder,
// processes that stall, crash and lose their disk, clocks that run up to 1 % apart, machines that go, fail and come
// back, and a discovery whose news is late. All that happens follows from a Schedule: same seed, same bytes. What
// happens is told to package history, whose checker knows none of the deciding code.
package world

import "time"

// Epoch is the Unix time at which every world begins, by a right clock.
const Epoch = 1_900_000_000 * time.Second

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// events is a heap by time, then by the order of laying.
type events []event

func (e events) less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e *events) push(x event) {
	*e = append(*e, x)
	h := *e
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(i, up) {
			return
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (e *events) pop() event {
	h := *e
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	*e = h
	for i := 0; ; {
		down := 2*i + 1
		if down >= last {
			return first
		}
		if down+1 < last && h.less(down+1, down) {
			down++
		}
		if !h.less(down, i) {
			return first
		}
		h[i], h[down] = h[down], h[i]
		i = down
	}
}

// queue runs what was laid in it in the order of true time, equal times in the order of laying.
type queue struct {
	now    time.Duration // true time since the world began
	seq    uint64
	events events
}

func (q *queue) at(at time.Duration, do func()) {
	q.seq++
	q.events.push(event{max(at, q.now), q.seq, do})
}

func (q *queue) after(d time.Duration, do func()) { q.at(q.now+d, do) }

// run goes on until the given true time, or as soon as stop says so.
func (q *queue) run(until time.Duration, stop func() bool) {
	for len(q.events) > 0 && q.events[0].at <= until && !stop() {
		next := q.events.pop()
		q.now = next.at
		next.do()
	}
	if !stop() {
		q.now = max(q.now, until)
	}
}

// clock is one machine's: its monotonic one runs rate times as fast as true time, its wall's is kept offset away from it.
type clock struct {
	rate   float64
	offset time.Duration
}

// mono is the monotonic reading, by which no offset shows.
func (c clock) mono(now time.Duration) time.Duration { return time.Duration(float64(now) * c.rate) }

// wall is the time since the Unix epoch that the machine takes it to be.
func (c clock) wall(now time.Duration) time.Duration { return Epoch + now + c.offset }
