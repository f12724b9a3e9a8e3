// Package clockwork is what the emulators of fleets have in common: virtual time in which things are done in order, numbers drawn by seed
// and use, what a schedule is made of, and many seeds played beside each other. It knows nothing of what is played.
package clockwork

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

// Queue does what was laid in it in the order of true time, equal times in the order of laying.
type Queue struct {
	Now    time.Duration // true time since the world began
	Laid   uint64        // how much was laid so far
	events events
}

// At lays something for a time, or for now if that has passed.
func (q *Queue) At(at time.Duration, do func()) {
	q.Laid++
	q.events.push(event{max(at, q.Now), q.Laid, do})
}

// After lays something for so long from now.
func (q *Queue) After(d time.Duration, do func()) { q.At(q.Now+d, do) }

// Play goes on until the given true time, or as soon as stop says so.
func (q *Queue) Play(until time.Duration, stop func() bool) {
	for len(q.events) > 0 && q.events[0].at <= until && !stop() {
		next := q.events.pop()
		q.Now = next.at
		next.do()
	}
	if !stop() {
		q.Now = max(q.Now, until)
	}
}
