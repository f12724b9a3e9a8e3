package harness

import (
	"strings"
	"time"
)

// checkQueries: each query taken gets one answer, in time. One of which a replica got a part was taken.
func (h *History) checkQueries(v *Verdict) {
	finished, taken := 0, map[string]bool{}
	for _, p := range h.Parts {
		taken[p.Query] = true
	}
	for _, q := range h.Sent {
		v.Fates[q.Fate]++
		if q.Finished {
			finished++
		}
		down := meets(h.Down[q.To], q.At, q.End)
		took := q.End.Sub(q.At)
		stopped := meets(h.Stopped[q.To], q.At, q.End)
		busy := took > clientWait && meets(h.Busy, q.At, q.End)
		switch {
		case busy && !stopped && (q.Fate == Answered || strings.Contains(q.Err, "i/o timeout")):
			v.Busy++
		case busy && q.Fate == NoAnswer && !taken[q.ID]:
			v.Unread++
		case q.Fate == NoAnswer && !taken[q.ID] && meets(h.Ending[q.To], q.At, q.End):
			v.Closed++
		case q.Fate == Twice || q.Fate == Odd && !down:
			v.broken("query %s: %s: %s", q.ID, q.Fate, q.Err)
		case (q.Fate == NoAnswer || q.Fate == Crossed && taken[q.ID]) && !down && !stopped:
			v.broken("query %s to process %d: no answer for %v: %s (a part was sent: %v, on a connection of its own: %v, on a busy machine: %v)", q.ID,
				q.To, took.Round(time.Millisecond), q.Err, taken[q.ID], q.Fresh, busy)
		case q.Fate == NotTaken && !down && !stopped && !meets(h.Ending[q.To], q.At, q.End):
			v.broken("query %s: process %d took nothing: %s", q.ID, q.To, q.Err)
		case q.Fate == Answered && !stopped:
			v.Slowest = max(v.Slowest, took)
			if took > clientWait+answerSlip {
				v.broken("query %s to process %d: answered after %v", q.ID, q.To, took.Round(time.Millisecond))
			}
		}
	}
	if n := v.Fates[Answered]; n > 0 {
		v.Served = float64(finished) / float64(n)
	}
}
