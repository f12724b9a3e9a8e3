package world

import (
	"fmt"
	"hash/fnv"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// Found is what a search came to.
type Found struct {
	States, Depth int // every state to that depth was seen, some beyond
	Err           error
	Trace         []string // to Err
	Took          time.Duration
	cut           bool // the bound of states came before the end of a depth
}

func (f Found) String() string {
	s := fmt.Sprintf("%d states to depth %d in %v", f.States, f.Depth, f.Took.Round(time.Millisecond))
	if f.Err != nil {
		s += fmt.Sprintf(": %v\n  %s", f.Err, strings.Join(f.Trace, "\n  "))
	}
	return s
}

type reached struct {
	from   int32
	action string
}

type next struct {
	s      *small
	sum    uint64
	action string
}

// Search goes through all states of the small world, breadth first, to a depth and up to so many states. Allowed, if not
// nil, says which actions are played.
func Search(off Off, left budget, depth, most int, allowed func(string) bool) Found {
	begin := time.Now()
	first := newSmall(off, left)
	seen := map[uint64]bool{first.digest(): true}
	states := []reached{{-1, ""}}
	front, ids := []*small{first}, []int32{0}
	found := Found{States: 1, Err: first.err}
	for found.Err == nil && found.Depth < depth && len(front) > 0 && found.States < most {
		var later []*small
		var laterIDs []int32
		for at := 0; at < len(front) && found.Err == nil && len(states) < most; at += rowsMost {
			part := front[at:min(at+rowsMost, len(front))]
			for i, row := range expand(part, allowed) {
				for _, n := range row {
					if seen[n.sum] || found.Err != nil {
						continue
					}
					seen[n.sum] = true
					states = append(states, reached{ids[at+i], n.action})
					if n.s.err != nil {
						found.Err, found.Trace = n.s.err, trace(states)
					}
					later, laterIDs = append(later, n.s), append(laterIDs, int32(len(states)-1))
				}
			}
			clear(part) // so that they can go
			found.cut = at+rowsMost < len(front)
		}
		front, ids = later, laterIDs
		found.Depth++
		found.States = len(states)
	}
	if found.cut && found.Err == nil {
		found.Depth--
	}
	found.Took = time.Since(begin)
	return found
}

// rowsMost is the states that are expanded at once; all that follow them are kept until they were compared.
const rowsMost = 256

func expand(front []*small, allowed func(string) bool) [][]next {
	rows := make([][]next, len(front))
	var wg sync.WaitGroup
	workers := runtime.GOMAXPROCS(0)
	for w := range workers {
		wg.Go(func() {
			for i := w; i < len(front); i += workers {
				rows[i] = front[i].successors(allowed)
			}
		})
	}
	wg.Wait()
	return rows
}

func trace(states []reached) (lines []string) {
	for at := int32(len(states) - 1); at > 0; at = states[at].from {
		lines = append(lines, states[at].action)
	}
	slices.Reverse(lines)
	return lines
}

func (s *small) successors(allowed func(string) bool) (out []next) {
	for _, a := range s.actions() {
		if allowed != nil && !allowed(a.name) {
			continue
		}
		t := *s
		t.ownChecker = false
		if a.do(&t) {
			out = append(out, next{&t, t.digest(), a.name})
		}
	}
	return out
}

// digest of all that the future depends on.
func (s *small) digest() uint64 {
	h := fnv.New64a()
	if s.sum == 0 {
		deepDigest(h, s.checker)
		s.sum = h.Sum64()
		h.Reset()
	}
	fmt.Fprint(h, s.sum, s.now, s.leader, s.term, s.rooms, s.cut, s.left, len(s.grants), s.books[len(s.books)-1].dig, s.list, s.orders)
	for i := range s.nodes {
		n := &s.nodes[i]
		if n.sum == 0 {
			v := fnv.New64a()
			deepDigest(v, n.view)
			n.sum = v.Sum64()
		}
		fmt.Fprint(h, n.sum, s.books[n.applied].dig, n.leads, n.term, n.since, n.heard, n.laid, n.drains, n.file, n.knows, n.fails)
	}
	words := make([]string, 0, len(s.words))
	for _, w := range s.words {
		words = append(words, fmt.Sprint(w))
	}
	slices.Sort(words)
	fmt.Fprint(h, words)
	return h.Sum64()
}
