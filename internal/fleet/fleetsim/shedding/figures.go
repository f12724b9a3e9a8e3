package shedding

import "math"

// Figures of one history.
type Figures struct {
	Premium     float64 // in time of what the first lane asked within its guarantees, in the storm
	PremiumCalm float64
	Settled     float64            // the same from 5 s after the storm's begin on
	Lane        [lanesHere]float64 // in time of what each asked in the storm, by first tries
	Floor       [lanesHere]float64 // in time in the storm, of any try, over what the floor is of capacity
	Worth       float64            // all that was in time in the storm, of capacity
	Level       float64            // mean over the storm's last 10 s
	Reaction    float64            // s from the storm's begin until the level is and stays near that; -1: never
	Recovery    float64            // s from its end until the level is under 0.02; -1: never
	Swings      float64            // up and down again by a twentieth, a minute, from 5 s after the begin
	Differ      float64            // between co-ordinators' levels, on the mean from 5 s after the begin
	Spread      [lanesHere]float64 // in time over asked: best over worst fifth of co-ordinators by traffic
	Account     float64            // the worst such of an account of the first lane, over fifths
	Bytes       float64            // of words, a second and co-ordinator
	WorstFloor  float64            // L1: least admitted over a lane's floor in a window; 9: none was cut
	WorstSure   float64            // L2: the most refused of what was within guarantees in a window
	Broken      int
	Ends        [lanesHere]sums
}

func share(a, b float64) float64 {
	if b <= 0 {
		return math.NaN()
	}
	return a / b
}

// Figures of the world after its end.
func (w *World) Figures() (f Figures) {
	j := &w.judge
	f.Premium, f.PremiumCalm = share(j.sure[1].InTime, j.sure[1].Asked), share(j.sure[0].InTime, j.sure[0].Asked)
	f.Settled = share(j.settled.InTime, j.settled.Asked)
	span := (w.plan.stormEnd() - w.plan.Storm).Seconds()
	for i := range f.Lane {
		s := &j.lanes[1][i]
		f.Lane[i], f.Ends[i] = share(s.InTime, s.Asked), *s
		f.Floor[i] = share(s.All, floors[i]*w.capacity()*span)
		f.Worth += share(s.All, w.capacity()*span)
		f.Spread[i] = ratio(&j.laneRank[i])
	}
	for i := range w.streams {
		if w.streams[i].lane == premium {
			f.Account = max(f.Account, ratio(&j.spread[i]))
		}
	}
	f.Bytes = float64(w.bytes) / w.plan.For.Seconds() / float64(len(w.cos))
	f.WorstFloor, f.WorstSure, f.Broken = j.windows.WorstFloor, j.windows.WorstSure, len(w.Broken)
	w.levels(&f)
	return f
}

// ratio is of the best to the worst fifth.
func ratio(by *[ranks]sums) float64 {
	low, high := 2.0, 0.0
	for i := range by {
		if by[i].Asked > 0 {
			x := by[i].InTime / by[i].Asked
			low, high = min(low, x), max(high, x)
		}
	}
	if low == 2 {
		return 0
	}
	return high / max(low, 1e-3)
}

func (w *World) levels(f *Figures) {
	begin, end := w.plan.Storm.Seconds(), w.plan.stormEnd().Seconds()
	n, m := 0.0, 0.0
	for _, h := range w.judge.History {
		if h.At > end-10 && h.At <= end {
			f.Level += h.Level
			n++
		}
		if h.At > begin+5 && h.At <= end {
			f.Differ += h.High - h.Low
			m++
		}
	}
	f.Level /= max(1, n)
	f.Differ /= max(1, m)
	f.Reaction, f.Recovery = -1, -1
	for _, h := range w.judge.History {
		switch near := math.Abs(h.Level-f.Level) < 0.1; {
		case h.At > begin && h.At <= end && near && f.Reaction < 0:
			f.Reaction = h.At - begin
		case h.At > begin && h.At <= min(end, begin+5) && !near: // it stays
			f.Reaction = -1
		case h.At > end && h.Level < 0.02 && f.Recovery < 0:
			f.Recovery = h.At - end
		}
	}
	turns, at, up := 0, math.NaN(), false
	for _, h := range w.judge.History {
		if h.At <= begin+5 || h.At > end {
			continue
		}
		const by = 0.05
		switch {
		case math.IsNaN(at):
			at = h.Level
		case up && h.Level > at || !up && h.Level < at:
			at = h.Level
		case up && h.Level < at-by || !up && h.Level > at+by:
			up, at = !up, h.Level
			turns++
		}
	}
	f.Swings = float64(turns) / 2 / max(1e-9, end-begin-5) * 60
}

// History is the world's, by quarters of a second.
func (w *World) History() []Moment { return w.judge.History }
