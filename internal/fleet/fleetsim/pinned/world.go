// Package pinned is the emulator of pinned sessions in virtual time: co-ordinators with the real keeper, view and copies of
// the agreed sessions that are late by words, a leader with the real planner, clients that send open loop and come back,
// replicas that run parts, and faults. All that happens follows from a Schedule: same seed, same bytes. What happens is
// told to package history, whose checker knows none of the deciding code. The council itself is played from above: one log,
// a leader that commits while it reaches a majority, and changes of leaders that keep or drop what was under way; package
// world plays its parts.
package pinned

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"birchcart/internal/fleet/fleetsim/clockwork"
	"birchcart/internal/fleet/fleetsim/pinned/history"
	"birchcart/internal/fleet/migrate"
	"birchcart/internal/fleet/session"
	"birchcart/internal/fleet/statemachine"
)

// World is one fleet with pinned sessions in virtual time, played by a schedule.
type World struct {
	clockwork.Queue
	s        *Schedule
	rng      *rand.Rand
	cos      []*co
	byName   map[string]*co
	replicas []*replica
	clients  []*client
	byID     map[session.ID]int32
	byPlace  map[string]*replica
	requests uint64
	cuts     []int16 // from*n + to
	parts    map[[2]int]int
	raftGroup

	limits  session.Limits
	leaving map[int]time.Duration // agreed deadline
	order   map[int]int           // ranks in a swap
	stands  map[int32]stand       // as last told
	caps    map[string]int

	checker *history.Checker
	digest  hash.Hash64
	newest  [newestMost]history.Event
	lines   int
	line    []byte
	err     error
	Loose   Loose
	Figures Figures
	Prefer  migrate.Prefer // of the planner; nil: its own
	Until   time.Time      // by the machine's clock, when to give up; zero: never
	// Of a shared world.
	was    map[session.ID][]changed
	lately []late
	// By name: what changed lately of the sessions that had to do with one, in order, and what is in flight from or to it, by id.
	latelyOf map[string][]late
	near     map[string][]session.ID
	logAt    []time.Duration
	stopped  map[session.ID]time.Duration
	erred    map[int32]bool // sessions of which a client saw an error since the swap began
	handed   map[int32]bool // sessions that moved since then
	// Trace is handed each line of the history.
	Trace func(string)
}

// Loose names guards of the emulated wiring that are left out, to see the checker find what they are for.
type Loose struct {
	Unconfirmed bool // a leader answers polls without asking its voters whether it still leads
	Releasing   bool // a leader gives a lease to one whose release is under way
	Fresh       bool // a process acts as soon as it has a lease, though parts of the one before may run
	Unasked     bool // served answers go out without MayAnswer
}

type stand struct {
	owner string
	epoch uint64
	phase session.Phase
}

// Result of one world.
type Result struct {
	Err     error
	Digest  uint64
	Lines   int
	Entries int
	Changes int // of leaders
	Figures history.Figures
	Last    []string
}

const newestMost = 60

// New builds a world at time 0.
func New(s *Schedule) *World {
	w := &World{s: s, byName: map[string]*co{}, byID: map[session.ID]int32{}, parts: map[[2]int]int{}, limits: s.Limits,
		leaving: map[int]time.Duration{}, order: map[int]int{}, stands: map[int32]stand{}, caps: map[string]int{}, digest: fnv.New64a(),
		was: map[session.ID][]changed{}, latelyOf: map[string][]late{}, near: map[string][]session.ID{}, stopped: map[session.ID]time.Duration{},
		byPlace: map[string]*replica{}, erred: map[int32]bool{}, handed: map[int32]bool{}}
	w.rng = clockwork.Rand(s.Seed, "world")
	w.cuts = make([]int16, s.Coordinators*s.Coordinators)
	w.raftGroup.leader, w.concerns = -1, map[string]bool{}
	w.top = newCopy()
	w.checker = history.New(history.Rules{Slack: 150 * time.Millisecond, OfferFor: 30 * time.Second})
	return w
}

func newCopy() *agreed {
	book := session.New()
	return &agreed{statemachine.New(map[string]statemachine.Part{Part: book}), book, 0}
}

// agreed is a copy of the agreed state.
type agreed struct {
	led   *statemachine.Machine
	book  *session.State
	index int
}

// Part is the name of the sessions in the state machine.
const Part = "sessions"

// Run plays the schedule to its end, or to the first promise that is broken.
func (w *World) Run() Result {
	clocks := clockwork.Rand(w.s.Seed, "clocks")
	for i := range w.s.Replicas {
		r := &replica{w: w, n: i, name: replicaName(i), up: true, runs: map[partKey]func(bool){}}
		w.replicas, w.byPlace[r.name] = append(w.replicas, r), r
	}
	for i := range w.s.Coordinators {
		c := &co{w: w, id: i, name: fmt.Sprintf("c%d", i), rate: 1 + w.s.Drift*(2*clocks.Float64()-1)}
		w.cos, w.byName[c.name] = append(w.cos, c), c
	}
	for _, c := range w.cos {
		c.start()
	}
	for i := range w.s.Sessions {
		w.addClient(int32(i))
	}
	w.After(0, w.elect)
	w.After(watchEvery, w.watch)
	for _, step := range w.s.Steps {
		w.After(step.At, func() { w.play(step) })
	}
	w.Play(w.s.End, func() bool { return w.err != nil || w.s.Shared && (w.swapped() || w.overdue()) })
	w.compare()
	w.tell(history.Event{Kind: history.Closed, Quiet: w.Now - w.s.Healed()})
	return Result{Err: w.err, Digest: w.digest.Sum64(), Lines: w.lines, Entries: len(w.log), Changes: int(w.term), Figures: w.checker.Figures,
		Last: w.last()}
}

// overdue says, now and then, that it is to be given up.
func (w *World) overdue() bool {
	return w.Laid%1024 == 0 && !w.Until.IsZero() && time.Now().After(w.Until)
}

// compare finds a copy that has all of the log and is not what it should be.
func (w *World) compare() {
	for _, c := range w.cos {
		if !w.s.Shared && c.copy.index == len(w.log) && c.copy.led.Digest() != w.top.led.Digest() {
			w.fail(fmt.Errorf("copies: that of %s differs after entry %d", c.name, c.copy.index))
		}
	}
}

func (w *World) last() (lines []string) {
	for i := max(0, w.lines-newestMost); i < w.lines; i++ {
		lines = append(lines, w.newest[i%newestMost].String())
	}
	return lines
}

func (w *World) fail(err error) {
	if w.err == nil && err != nil {
		w.err = err
	}
}

// tell adds a line to the history and has it checked.
func (w *World) tell(e history.Event) {
	if w.err != nil {
		return
	}
	e.At = w.Now
	w.line = e.Append(w.line[:0])
	w.digest.Write(w.line)
	w.newest[w.lines%newestMost] = e
	w.lines++
	if w.Trace != nil {
		w.Trace(e.String())
	}
	w.fail(w.checker.Add(e))
}

// link draws the way of one word over a connection.
func (w *World) link() time.Duration {
	return w.s.Link.Latency + time.Duration(w.rng.Int64N(int64(w.s.Link.Latency)+1))
}

func (w *World) open(from, to int) bool { return from == to || w.cuts[from*len(w.cos)+to] == 0 }

func (w *World) both(a, b int) bool { return w.open(a, b) && w.open(b, a) }

func (w *World) partCut(c *co, r *replica) bool { return w.parts[[2]int{c.id, r.n}] > 0 }

// send lets a word go from one co-ordinator to another: it may be lost, late, come twice, or behind a later one.
func (w *World) send(from, to int, do func(*co)) {
	if !w.open(from, to) || from != to && w.rng.Float64() < w.s.Link.Lost {
		return
	}
	times := 1
	if from != to && w.rng.Float64() < w.s.Link.Twice {
		times = 2
	}
	for range times {
		d := w.link()
		if w.rng.Float64() < w.s.Link.Late {
			d += clockwork.Between(w.rng, 0, w.s.Link.LateBy)
		}
		if from == to {
			d = 0
		}
		w.After(d, func() {
			o := w.cos[to]
			o.deliver(o.inc, func() { do(o) })
		})
	}
}
