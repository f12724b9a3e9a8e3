package fleetsim

import (
	"fmt"
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
	Whole         bool // nothing is left that was not seen
	cut           bool // a bound came before the end of a depth
}

func (f Found) String() string {
	s := fmt.Sprintf("%d states to depth %d in %v", f.States, f.Depth, f.Took.Round(time.Millisecond))
	if f.Whole {
		s += ", whole"
	}
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

// Hunt is what a search plays.
type Hunt struct {
	Plan    Plan
	Off     Off
	Left    budget            // how often each fault may come
	Depth   int               // most steps
	Most    int               // states
	Within  time.Duration     // 0: no bound
	Allowed func(string) bool // which actions; nil: all
}

// Search goes through all states of the small world, breadth first. Of those that were seen it keeps a sum and the way,
// some 40 bytes; whole are the front ones only.
func Search(h Hunt) Found {
	begin := time.Now()
	first := newSmall(h.Plan, h.Off, h.Left)
	seen := map[uint64]struct{}{first.digest(): {}}
	states := []reached{{-1, ""}}
	front, ids := []*small{first}, []int32{0}
	found := Found{States: 1, Err: first.err}
	over := func() bool { return len(states) >= h.Most || h.Within > 0 && time.Since(begin) > h.Within }
	for found.Err == nil && found.Depth < h.Depth && len(front) > 0 && !over() {
		var later []*small
		var laterIDs []int32
		found.cut = false
		for at := 0; at < len(front) && found.Err == nil; at += rowsMost {
			if found.cut = over(); found.cut {
				break
			}
			part := front[at:min(at+rowsMost, len(front))]
			for i, row := range expand(part, h.Allowed) {
				for _, n := range row {
					if _, ok := seen[n.sum]; ok || found.Err != nil {
						continue
					}
					seen[n.sum] = struct{}{}
					states = append(states, reached{ids[at+i], n.action})
					if n.s.err != nil {
						found.Err, found.Trace = n.s.err, trace(states)
					}
					later, laterIDs = append(later, n.s), append(laterIDs, int32(len(states)-1))
				}
			}
			clear(part) // so that they can go
		}
		front, ids = later, laterIDs
		if !found.cut {
			found.Depth++
		}
	}
	found.States, found.Took = len(states), time.Since(begin)
	if found.Whole = found.Err == nil && len(front) == 0 && !found.cut; found.Whole {
		found.Depth-- // the last step found nothing new
	}
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
