package pinned

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/sessionowner"
)

// Figures of a world, beside those of its history.
type Figures struct {
	Pause       *hdrhistogram.Histogram // of sessions at planned moves, in ms
	Latency     *hdrhistogram.Histogram // of queries that were served, from the first try, in ms
	Moved       int                     // sessions handed over and adopted
	Repeated    int                     // served unsafe queries that were repeated, and failed at once
	Elsewhere   int                     // of them, those at another co-ordinator than the one that served them
	Queries     int
	Lost        int // queries that ended without a served answer
	Errors      int // of them and others, failed answers and broken connections that clients saw
	Sessions    int // that moved
	Clean       int // of them, those of which no client saw an error in the swap
	First       migrate.Forecast
	SwapBegin   time.Duration
	SwapEnd     time.Duration
	SwapDone    bool
	SwapStopped bool
}

func (f *Figures) forecast(g migrate.Forecast) {
	if f.First.Moves == 0 {
		f.First = g
	}
}

// Measure lets a world measure pauses and latencies.
func (w *World) Measure() {
	w.Figures.Pause = hdrhistogram.New(1, 600_000, 3)
	w.Figures.Latency = hdrhistogram.New(1, 600_000, 3)
}

// done is the end of a query at its client.
func (w *World) done(q *query, served bool) {
	w.Figures.Queries++
	w.Figures.Errors += q.errs
	switch {
	case !served:
		w.Figures.Lost++
	case w.Figures.Latency != nil:
		_ = w.Figures.Latency.RecordValue(int64((w.Now - q.first) / time.Millisecond)) // at most 12 s, within the range
	}
}

// errs notes that a client of a session saw an error.
func (w *World) errs(n int32) {
	if w.Figures.SwapBegin > 0 {
		w.erred[n] = true
	}
}

// swapped says that the swap is over, and what came of it is known.
func (w *World) swapped() bool {
	f := &w.Figures
	if f.SwapStopped || f.SwapDone && w.Now > f.SwapEnd+10*time.Second {
		f.Sessions, f.Clean = len(w.handed), 0
		for n := range w.handed {
			if !w.erred[n] {
				f.Clean++
			}
		}
		return true
	}
	return false
}

// moved sees a change of what is agreed of a session.
func (w *World) moved(n int32, was, now stand) {
	if was.phase == session.HandedOver && now.phase == session.Pinned {
		w.Figures.Moved++
		w.handed[n] = true
	}
}

// paused notes when sessions stopped being served at their source, and when they began to be at their target.
func (c *co) paused() {
	w := c.w
	if w.Figures.Pause == nil {
		return
	}
	for r := range c.reader().Moves {
		switch {
		case r.Owner == c.name && r.Phase == session.Offered:
			p := c.keeper.Phase(r.ID)
			if _, known := w.stopped[r.ID]; !known && (p == sessionowner.Quiescing || p == sessionowner.Frozen) {
				w.stopped[r.ID] = w.Now
			}
		case r.Owner == c.name && r.Phase == session.HandedOver:
			c.quiescing[r.ID] = w.Now
		}
	}
	for id := range c.quiescing {
		if c.keeper.Phase(id) != sessionowner.Active {
			continue
		}
		delete(c.quiescing, id)
		if at, known := w.stopped[id]; known {
			delete(w.stopped, id)
			_ = w.Figures.Pause.RecordValue(int64((w.Now - at) / time.Millisecond))
		}
	}
}
