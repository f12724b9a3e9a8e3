package pressure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxMembers is of how many co-ordinators words are kept.
	MaxMembers = 1024
	// FreshWindow is for how long a word counts.
	FreshWindow = 2 * time.Second
	// recentWindow is for how long one counts for Fleet.Young.
	recentWindow = time.Second
	// forwardWindow is until what age a word is passed on, maxForwards how often.
	forwardWindow = time.Second
	maxForwards   = 2
)

type receivedReport struct {
	Report
	measuredAt time.Duration // when its figures were of
	present    bool
	forwards   int
}

// Reports is what was heard of the fleet's co-ordinators, the own word among them.
type Reports struct {
	names   []string         // in order
	entries []receivedReport // of each
	index   map[string]int

	scratch scratch
}

// SetMembers says who there is, self included: of others no word is taken. Who stays keeps what was heard of it. Of more than
// MaxMembers the first in order count.
func (n *Reports) SetMembers(names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	names = names[:min(len(names), MaxMembers)]
	if slices.Equal(names, n.names) {
		return
	}
	words, place := make([]receivedReport, len(names)), make(map[string]int, len(names))
	for i, name := range names {
		if j, ok := n.index[name]; ok {
			words[i] = n.entries[j]
		}
		place[name] = i
	}
	n.names, n.entries, n.index = names, words, place
}

// Add takes a word, true if it is news: by incarnation and number the newest of its sender. The same word again is at most
// younger. Figures of no honest co-ordinator (see Word.bound) are put within bounds or the word is left.
func (n *Reports) Add(now time.Duration, w Report) bool {
	i, ok := n.index[w.From]
	if !ok || w.Age < 0 || w.Age > MaxAge || !w.clamp() {
		return false
	}
	h, at := &n.entries[i], now-w.Age
	if h.present {
		if c := cmp.Or(cmp.Compare(w.Incarnation, h.Incarnation), cmp.Compare(w.Seq, h.Seq)); c < 0 {
			return false
		} else if c == 0 {
			h.measuredAt = max(h.measuredAt, at)
			return false
		}
	}
	*h = receivedReport{Report: w, measuredAt: at, present: true}
	return true
}

// clamp tells whether all numbers are such, and puts them within bounds.
func (w *Report) clamp() bool {
	for _, v := range []*float64{&w.Pressure, &w.Level} {
		if *v != *v {
			return false
		}
		*v = min(1, max(0, *v))
	}
	for _, v := range []*float64{&w.Offered, &w.InTime, &w.Completed, &w.Guaranteed} {
		if *v != *v {
			return false
		}
		*v = min(MaxRate, max(0, *v))
	}
	for j := range w.ByLane {
		if w.ByLane[j] != w.ByLane[j] {
			return false
		}
		w.ByLane[j] = min(w.Offered, max(0, w.ByLane[j]))
	}
	return true
}

// SelectForForwarding gives words to pass on beside the own one, at most room of them: who was passed on least, then the youngest. It counts
// them as passed on.
func (n *Reports) SelectForForwarding(now time.Duration, self string, room int) []Report {
	var pick []int
	for i := range n.entries {
		if h := &n.entries[i]; h.present && h.forwards < maxForwards && now-h.measuredAt <= forwardWindow && h.From != self {
			pick = append(pick, i)
		}
	}
	slices.SortFunc(pick, func(a, b int) int {
		x, y := &n.entries[a], &n.entries[b]
		return cmp.Or(cmp.Compare(x.forwards, y.forwards), cmp.Compare(y.measuredAt, x.measuredAt), cmp.Compare(a, b))
	})
	out := make([]Report, 0, min(room, len(pick)))
	for _, i := range pick[:min(max(0, room), len(pick))] {
		h := &n.entries[i]
		h.forwards++
		w := h.Report
		w.Age = max(0, now-h.measuredAt)
		out = append(out, w)
	}
	return out
}

// NewestRevision is the highest revision that at least two members name, or one of two: who goes by a lower one is behind. A single
// false word names none.
func (n *Reports) NewestRevision(now time.Duration) int {
	first, second := 0, 0
	for i := range n.entries {
		h := &n.entries[i]
		if !h.present || now-h.measuredAt > MaxAge {
			continue
		}
		if h.Revision > first {
			first, second = h.Revision, first
		} else if h.Revision > second {
			second = h.Revision
		}
	}
	if len(n.entries) <= 2 {
		return first
	}
	return second
}
