package pinned

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
	Rested        int // states from which all was let come to rest
	Err           error
	Trace         []string // to Err
	Took          time.Duration
}

func (f Found) String() string {
	s := fmt.Sprintf("%d states to depth %d, %d of them brought to rest, in %v", f.States, f.Depth, f.Rested, f.Took.Round(time.Millisecond))
	if f.Err != nil {
		s += fmt.Sprintf(": %v\n  %s", f.Err, strings.Join(f.Trace, "\n  "))
	}
	return s
}

// smallState is how a state is come to: by the moves of the one before, and one more. That takes 8 bytes where a copy takes some 10 kB, so a
// state is played anew from the beginning when its turn comes, and copied for each move that goes on from it.
type smallState struct {
	from int32
	move int16
	deep int16
}

type smallNext struct {
	move int16
	sum  uint64
	err  error
}

// Search goes through all states of the small world, breadth first, to a depth and up to so many states. Each restEvery-th state is also brought to rest.
func Search(off Off, depth, most, restEvery int, scope *Scope) Found {
	begin := time.Now()
	states := []smallState{{-1, 0, 0}}
	seen := map[uint64]bool{scope.begin(off).digest(): true}
	found := Found{}
	for at := 0; at < len(states) && len(states) < most && found.Err == nil; {
		if int(states[at].deep) >= depth {
			break
		}
		upTo := min(len(states), at+rowsAtOnce)
		for upTo > at+1 && states[upTo-1].deep > states[at].deep {
			upTo--
		}
		rows := make([][]smallNext, upTo-at)
		rests := make([]error, upTo-at)
		var wg sync.WaitGroup
		workers := runtime.GOMAXPROCS(0)
		for w := range workers {
			wg.Go(func() {
				for i := w; i < len(rows); i += workers {
					rows[i] = expand(off, states, at+i, scope)
					if restEvery > 0 && (at+i)%restEvery == 0 {
						s, _ := playTo(off, states, at+i, scope, false)
						rests[i] = s.rest()
					}
				}
			})
		}
		wg.Wait()
		for i, row := range rows {
			if restEvery > 0 && (at+i)%restEvery == 0 {
				found.Rested++
			}
			if rests[i] != nil && found.Err == nil {
				_, names := playTo(off, states, at+i, scope, true)
				found.Err, found.Trace = rests[i], append(names, "all comes to rest")
			}
			for _, n := range row {
				if seen[n.sum] || found.Err != nil {
					continue
				}
				seen[n.sum] = true
				states = append(states, smallState{int32(at + i), n.move, states[at+i].deep + 1})
				if n.err != nil {
					_, names := playTo(off, states, len(states)-1, scope, true)
					found.Err, found.Trace = n.err, names
				}
			}
		}
		found.Depth = int(states[at].deep)
		if upTo == len(states) || states[upTo].deep > states[at].deep {
			found.Depth++
		}
		at = upTo
	}
	found.States, found.Took = len(states), time.Since(begin)
	return found
}

// rowsAtOnce states are expanded between two looks at what was seen.
const rowsAtOnce = 256

// playTo plays the moves to a state, and names them.
func playTo(off Off, states []smallState, at int, scope *Scope, named bool) (*small, []string) {
	var path []int16
	for i := at; states[i].from >= 0; i = int(states[i].from) {
		path = append(path, states[i].move)
	}
	s := scope.begin(off)
	var names []string
	for i := len(path) - 1; i >= 0; i-- {
		m := s.allowed(scope)[path[i]]
		if named {
			names = append(names, m.name())
		}
		m.do()
	}
	s.again = false
	return s, names
}

func (s *small) allowed(scope *Scope) []move {
	all := s.moves()
	if scope == nil {
		return all
	}
	var out []move
	for _, m := range all {
		if scope.allows(m.tag) {
			out = append(out, m)
		}
	}
	return out
}

func expand(off Off, states []smallState, at int, scope *Scope) (out []smallNext) {
	from, _ := playTo(off, states, at, scope, false)
	for i := range from.allowed(scope) {
		s := from.clone()
		s.allowed(scope)[i].do()
		out = append(out, smallNext{int16(i), s.digest(), s.err})
	}
	return out
}

// Scope is what a search makes of the small world; nil is all of it.
type Scope struct {
	Tags         []string // of the moves that are made
	Polls, Waits int      // at most
}

func (c *Scope) allows(tag string) bool { return c == nil || slices.Contains(c.Tags, tag) }

// begin is the small world in this scope.
func (c *Scope) begin(off Off) *small {
	s := newSmall(off)
	if c != nil {
		s.left.Poll, s.left.Wait = c.Polls, c.Waits
	}
	return s
}

// ScopeOf is that of a search without one guard, so that it comes deep enough.
func ScopeOf(off Off) *Scope {
	of := func(polls, waits int, tags string) *Scope { return &Scope{strings.Fields(tags), polls, waits} }
	return map[Off]*Scope{
		OffLease:     of(4, 4, "send1a long releasea comes polla"),
		OffSending:   of(4, 4, "send1a long releasea comes polla"),
		OffReleasing: of(4, 4, "send1a long releasea comes polla"),
		OffSilence:   of(4, 4, "send1a short releasea comes"),
		OffGrace:     of(2, 1, "send0a runs send1b mid releasea comes pollb"),
		OffFresh:     of(3, 0, "send0a send1a runs crasha polla comes"),
		OffAsk:       of(4, 4, "send0a runs ends back stopa go long releasea comes"),
		OffEpoch:     of(4, 4, "offer0b offer0c withdraw polla comes send0a"),
		OffFreed:     of(4, 4, "send0a send2b send3b runs shift pollb comes"),
		OffEnded:     of(4, 4, "send0a send1a runs short polla comes"),
		OffAgain:     of(1, 2, "send0a runs ends short back polla comes"),
		OffLeader:    of(4, 4, "offer0c polla stopc comes go"),
	}[off]
}
