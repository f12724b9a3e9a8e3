package pressure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MembersMost is of how many co-ordinators words are kept.
	MembersMost = 1024
	// FreshFor is for how long a word counts.
	FreshFor = 2 * time.Second
	// youngFor is for how long one counts for Fleet.Young.
	youngFor = time.Second
	// passFor is until what age a word is passed on, passMost how often.
	passFor  = time.Second
	passMost = 2
)

type heard struct {
	Word
	at     time.Duration // when its figures were of
	has    bool
	passed int
}

// News is what was heard of the fleet's co-ordinators, the own word among them.
type News struct {
	names []string // in order
	words []heard  // of each
	place map[string]int

	scratch scratch
}

// Members says who there is, self included: of others no word is taken. Who stays keeps what was heard of it. Of more than
// MembersMost the first in order count.
func (n *News) Members(names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	names = names[:min(len(names), MembersMost)]
	if slices.Equal(names, n.names) {
		return
	}
	words, place := make([]heard, len(names)), make(map[string]int, len(names))
	for i, name := range names {
		if j, ok := n.place[name]; ok {
			words[i] = n.words[j]
		}
		place[name] = i
	}
	n.names, n.words, n.place = names, words, place
}

// Hear takes a word, true if it is news: by incarnation and number the newest of its sender. The same word again is at most
// younger. Figures of no honest co-ordinator (see Word.bound) are put within bounds or the word is left.
func (n *News) Hear(now time.Duration, w Word) bool {
	i, ok := n.place[w.From]
	if !ok || w.Age < 0 || w.Age > AgeMost || !w.bound() {
		return false
	}
	h, at := &n.words[i], now-w.Age
	if h.has {
		if c := cmp.Or(cmp.Compare(w.Incarnation, h.Incarnation), cmp.Compare(w.Seq, h.Seq)); c < 0 {
			return false
		} else if c == 0 {
			h.at = max(h.at, at)
			return false
		}
	}
	*h = heard{Word: w, at: at, has: true}
	return true
}

// bound tells whether all numbers are such, and puts them within bounds.
func (w *Word) bound() bool {
	for _, v := range []*float64{&w.Pressure, &w.Level} {
		if *v != *v {
			return false
		}
		*v = min(1, max(0, *v))
	}
	for _, v := range []*float64{&w.Asked, &w.InTime, &w.Done, &w.Sure} {
		if *v != *v {
			return false
		}
		*v = min(RateMost, max(0, *v))
	}
	for j := range w.ByLane {
		if w.ByLane[j] != w.ByLane[j] {
			return false
		}
		w.ByLane[j] = min(w.Asked, max(0, w.ByLane[j]))
	}
	return true
}

// Some gives words to pass on beside the own one, at most room of them: who was passed on least, then the youngest. It counts
// them as passed on.
func (n *News) Some(now time.Duration, self string, room int) []Word {
	var pick []int
	for i := range n.words {
		if h := &n.words[i]; h.has && h.passed < passMost && now-h.at <= passFor && h.From != self {
			pick = append(pick, i)
		}
	}
	slices.SortFunc(pick, func(a, b int) int {
		x, y := &n.words[a], &n.words[b]
		return cmp.Or(cmp.Compare(x.passed, y.passed), cmp.Compare(y.at, x.at), cmp.Compare(a, b))
	})
	out := make([]Word, 0, min(room, len(pick)))
	for _, i := range pick[:min(max(0, room), len(pick))] {
		h := &n.words[i]
		h.passed++
		w := h.Word
		w.Age = max(0, now-h.at)
		out = append(out, w)
	}
	return out
}

// Ahead is the highest revision that at least two members name, or one of two: who goes by a lower one is behind. A single
// false word names none.
func (n *News) Ahead(now time.Duration) int {
	first, second := 0, 0
	for i := range n.words {
		h := &n.words[i]
		if !h.has || now-h.at > AgeMost {
			continue
		}
		if h.Revision > first {
			first, second = h.Revision, first
		} else if h.Revision > second {
			second = h.Revision
		}
	}
	if len(n.words) <= 2 {
		return first
	}
	return second
}
