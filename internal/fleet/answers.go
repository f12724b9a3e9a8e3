package fleet

import "time"

const (
	// VerifyEvery is between checks with a majority that this one still leads; polls that come meanwhile are answered
	// together. Twice as long: answers come so much later; half: twice the rounds while a plan goes on.
	VerifyEvery = 30 * time.Millisecond
	// VerifyRest is so where none of those that wait says or lacks anything: their answers only lengthen leases, which count
	// from the sending of the polls, whenever the answer comes. What is agreed meanwhile ends the wait. Twice as long: leases
	// are lengthened so much later, by less than one poll's time; half: twice the rounds of a leader at rest.
	VerifyRest = 200 * time.Millisecond
)

// polled is a poll that waits for its answer.
type polled struct {
	no, index, era uint64
}

// waiting are the polls that wait for their answers, the newest of each sender, and when there may be one.
type waiting struct {
	by        map[string]polled
	presses   bool   // one of them said what the plan waits for, or its sender was silent for longer than polls are apart
	least     uint64 // no index of one of them is lower
	verifying bool
	at        time.Duration // the newest check began
}

// put takes a poll.
func (w *waiting) put(from string, p polled, presses bool) {
	if len(w.by) == 0 || p.index < w.least {
		w.least = p.index
	}
	w.by[from] = p
	w.presses = w.presses || presses
}

// press says whether those that wait are to be answered at once, what was agreed standing at an index.
func (w *waiting) press(agreed uint64) bool { return len(w.by) > 0 && (w.presses || w.least < agreed) }

// due says whether a check begins now.
func (w *waiting) due(now time.Duration, agreed uint64) bool {
	every := VerifyRest
	if w.press(agreed) {
		every = VerifyEvery
	}
	return !w.verifying && len(w.by) > 0 && now >= w.at+every
}

// begin gives those that the check which begins now is for.
func (w *waiting) begin(now time.Duration) map[string]polled {
	by := w.by
	w.by, w.presses, w.verifying, w.at = map[string]polled{}, false, true, now
	return by
}

// none forgets those that wait: this one leads no more.
func (w *waiting) none() {
	clear(w.by)
	w.presses = false
}
