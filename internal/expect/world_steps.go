package expect

import (
	"slices"

	"birchcart/internal/settings"
	"birchcart/policy"
)

// happen brings a step about.
func (w *world) happen(s *Step) {
	w.rec.happened = append(w.rec.happened, s)
	if s.Peers != "" {
		w.peers++
		w.later(s.For, func() { w.peers-- })
	}
	for _, i := range w.befalls(s) {
		r := &w.readers[i]
		if s.Is != "" {
			w.become(i, s)
		}
		for class := range r.answers {
			if s.Class != "" && class != settings.Place(w.d.Names.Classes, s.Class) {
				continue
			}
			if s.Answers != "" {
				r.answers[class] = s.Answers
				w.later(s.For, func() { r.answers[class] = "ok" })
			}
			if s.Slow > 0 {
				r.slow[class] = s.Slow
				w.later(s.For, func() { r.slow[class] = 1 })
			}
		}
	}
}

func (w *world) later(ms float64, undo func()) {
	if ms > 0 {
		w.put(item{at: w.now + ms/1000, kind: overItem, undo: undo})
	}
}

var states = map[string]policy.Readiness{
	"ready": policy.Up, "started": policy.Up, "draining": policy.Draining, "gone": policy.Removed,
}

// become changes what is so, and lets the list tell of it.
func (w *world) become(i int, s *Step) {
	r := &w.readers[i]
	e := w.entry(i)
	e.State = states[s.Is]
	if s.Is == "started" {
		e.Started = w.now
	}
	if !s.ToldOnly {
		if s.Is == "gone" || s.Is == "started" { // what it had is lost
			for _, a := range slices.Clone(r.out) {
				w.end(a, policy.ConnectionBroken)
			}
		}
		r.up = s.Is != "gone"
		r.started = e.Started
	}
	if s.Untold {
		return
	}
	for _, late := range append([]float64{0}, s.Again...) {
		w.put(item{at: w.now + (s.Late+late)/1000, kind: newsItem, reader: i, entry: e})
	}
}

func (w *world) tell(i int, e policy.Entry) {
	w.readers[i].told = e.State
	w.rec.tells = append(w.rec.tells, tell{w.ms(), i, e.State, e.Started > 0})
	w.events = append(w.events, policy.Event{Kind: policy.ListChanged, List: []policy.Entry{e}, Tenant: -1})
}
