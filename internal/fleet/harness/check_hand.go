package harness

import (
	"fmt"
	"slices"
	"time"
)

const (
	// orderMost runs before one are looked at for its order.
	orderMost = 64
	// handSlip is how much later a client may read an answer than it was written, on a machine that does not keep up. The cases
	// that it is to tell apart, of a co-ordinator that woke after its lease, are seconds over it.
	handSlip = 2 * time.Second
)

// late tells whether a run came after its client had ended that try, and had asked the query of another run since, which came first.
func late(asked []Asked, run, before Run) bool {
	find := func(r Run) int {
		return slices.IndexFunc(asked, func(x Asked) bool { return x.Query == r.Query && x.Try == r.Try })
	}
	x, y := find(run), find(before)
	return x < 0 || y < 0 || !asked[x].End.After(asked[y].At)
}

// checkHand: S1. No co-ordinator gives a served answer of a session once another has begun queries of it; and what came of the
// answers that a stopped one had in its hand is counted.
func (h *History) checkHand(v *Verdict, s *SessionVerdict, id int, asked []Asked, runs []Run) {
	for i, a := range asked {
		if slices.ContainsFunc(asked[:i], func(b Asked) bool { return b.Query != a.Query && b.At.Before(a.End) && a.At.Before(b.End) }) {
			s.Beside++
		}
		own := time.Time{}
		elsewhere := false
		for _, r := range runs {
			if r.Query == a.Query && r.Try == a.Try {
				own = r.At
			}
		}
		if own.IsZero() {
			continue
		}
		for _, r := range runs {
			if r.Process == a.To || !r.At.After(own) || !r.At.Before(a.End.Add(-handSlip)) {
				continue
			}
			elsewhere = true
			if a.Status == 200 {
				v.broken("S1: process %d gave its answer of query %d of session %d %v after process %d had run query %d", a.To, a.Query, id,
					a.End.Sub(r.At).Round(time.Millisecond), r.Process, r.Query)
			}
		}
		for _, x := range h.Stopped[a.To] {
			// upTime is added at its end, which is noted after the wake.
			if woke := x.To.Add(-upTime - handSlip); a.At.Before(x.From) && a.End.After(woke) && x.From.Before(woke) {
				s.InHand[fmt.Sprintf("tally %v: %d", a.Tally, a.Status)]++
				if elsewhere {
					s.HandTaken++
				}
				break
			}
		}
	}
}
